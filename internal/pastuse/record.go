package pastuse

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// MaxRecordBytes bounds a record, which the leader writes every 10 s; 512 teams with names of 60 bytes need 48 KB.
const MaxRecordBytes = 64 << 10

// record is the stored form of a ledger. It holds totals, so that writing it again changes nothing.
type record struct {
	At    int64                            `json:"at"` // time of day in Unix milliseconds
	Teams map[ident.TeamID][3]ShareSeconds `json:"teams"`
}

// Encode returns the record of the ledger at a time of day, with at most MaxTeams teams and MaxRecordBytes bytes. The teams with the least
// use are left out.
func (l Ledger) Encode(at time.Time) ([]byte, error) {
	kept := l.Clone()
	for n := MaxTeams; ; n /= 2 {
		kept.trim(n)
		r := record{At: at.UnixMilli(), Teams: make(map[ident.TeamID][3]ShareSeconds, len(kept.teams))}
		for t, u := range kept.teams {
			r.Teams[t] = [3]ShareSeconds{rounded(u.Total), rounded(u.Copies), rounded(u.Discarded)}
		}
		value, err := json.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("encode past use: %w", err)
		}
		if len(value) <= MaxRecordBytes || n == 0 {
			return value, nil
		}
	}
}

// Decode returns the ledger of a record and the time of day at which it was written. The caller decays it by the time since then.
func Decode(value []byte, halfLife time.Duration) (Ledger, time.Time, error) {
	l := New(halfLife)
	if len(value) > MaxRecordBytes {
		return l, time.Time{}, fmt.Errorf("decode past use: %d bytes, more than %d", len(value), MaxRecordBytes)
	}
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return l, time.Time{}, fmt.Errorf("decode past use: %w", err)
	}
	for t, u := range r.Teams {
		l.Add(t, Use{Total: u[0], Copies: u[1], Discarded: u[2]})
	}
	l.trim(MaxTeams)
	return l, time.UnixMilli(r.At), nil
}

// rounded keeps records short. Five digits are far finer than a level.
func rounded(x ShareSeconds) ShareSeconds {
	if x <= 0 {
		return 0
	}
	scale := math.Pow(10, 4-math.Floor(math.Log10(float64(x))))
	return ShareSeconds(math.Round(float64(x)*scale) / scale)
}
