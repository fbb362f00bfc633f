// Package pastuse keeps how much of the fleet each team has used over the last hours. A Ledger is plain data: it has no clock and does no
// I/O, and its results depend only on the calls made.
package pastuse

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// MaxTeams bounds the ledger and its record. Beyond it, the teams with the least use are dropped.
	MaxTeams = 512
	// MaxGap bounds one decay: a time of day that was set forwards for a while mustn't erase all use.
	MaxGap = 7 * 24 * time.Hour
	// minUse is the use below which a team is dropped. It is far below the use of one core of a large fleet in a second, so that a team with
	// little use still adds up.
	minUse ShareSeconds = 1e-9
	// maxUse bounds a team's use. A full fleet with the longest half-life that the settings admit gives some 4e6.
	maxUse ShareSeconds = 1e9
)

// ShareSeconds is an amount of use: a team's dominant share of the fleet's capacity times seconds. A team that uses the whole fleet for a
// minute has used 60.
type ShareSeconds float64

// Use is what a team has used. Copies and Discarded are parts of Total.
type Use struct {
	Total     ShareSeconds `json:"total"`
	Copies    ShareSeconds `json:"copies,omitempty"`    // speculative copies of tasks
	Discarded ShareSeconds `json:"discarded,omitempty"` // other runs that ended without a result or a checkpoint
}

// Ledger holds the decayed use of each team. New creates one.
type Ledger struct {
	halfLife time.Duration
	teams    map[ident.TeamID]Use
}

// New returns an empty ledger whose use decays by half in each half-life, which has to be positive.
func New(halfLife time.Duration) Ledger {
	return Ledger{halfLife: halfLife, teams: map[ident.TeamID]Use{}}
}

// Clone returns an independent copy.
func (l Ledger) Clone() Ledger { return Ledger{halfLife: l.halfLife, teams: maps.Clone(l.teams)} }

// Len returns the number of teams with use.
func (l Ledger) Len() int { return len(l.teams) }

// Use returns what a team has used.
func (l Ledger) Use(t ident.TeamID) Use { return l.teams[t] }

// Teams returns the teams with use, those with the most use first and equal ones by name.
func (l Ledger) Teams() []ident.TeamID {
	return slices.SortedFunc(maps.Keys(l.teams), func(a, b ident.TeamID) int {
		return cmp.Or(cmp.Compare(l.teams[b].Total, l.teams[a].Total), cmp.Compare(a, b))
	})
}

// Add adds use to a team. Amounts that aren't positive numbers add nothing. The parts never exceed the total: they are measured run by
// run, and the dominant resource of a run may be another than that of its team.
func (l Ledger) Add(t ident.TeamID, u Use) {
	sum := l.teams[t]
	sum = Use{sum.Total + positive(u.Total), sum.Copies + positive(u.Copies), sum.Discarded + positive(u.Discarded)}
	sum = sum.normalised()
	if sum.Total > 0 {
		l.teams[t] = sum
	}
}

// Reset forgets the use of a team and reports whether there was any.
func (l Ledger) Reset(t ident.TeamID) bool {
	_, ok := l.teams[t]
	delete(l.teams, t)
	return ok
}

// Decay lets time pass. A negative time counts as zero and a longer one than MaxGap as MaxGap. It also drops the teams with the least use
// beyond MaxTeams.
func (l Ledger) Decay(d time.Duration) {
	d = min(max(d, 0), MaxGap)
	factor := ShareSeconds(math.Exp2(-float64(d) / float64(l.halfLife)))
	for t, u := range l.teams {
		u = Use{u.Total * factor, u.Copies * factor, u.Discarded * factor}
		if u.Total < minUse {
			delete(l.teams, t)
			continue
		}
		l.teams[t] = u
	}
	l.trim(MaxTeams)
}

// trim drops the teams with the least use beyond a number.
func (l Ledger) trim(n int) {
	if len(l.teams) <= n {
		return
	}
	for _, t := range l.Teams()[n:] {
		delete(l.teams, t)
	}
}

// normalised returns use within its bounds.
func (u Use) normalised() Use {
	u.Total = min(u.Total, maxUse)
	u.Copies = min(u.Copies, u.Total)
	u.Discarded = min(u.Discarded, u.Total-u.Copies)
	return u
}

func positive(x ShareSeconds) ShareSeconds {
	if x > 0 && x <= maxUse {
		return x
	}
	return 0
}
