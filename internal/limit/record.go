package limit

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// keyPrefix is the prefix of the records in the store.
const keyPrefix = "limits/"

// share is the part of one member incarnation. Excess is what a lowered limit takes from it: it reserves tasks that
// still run and allows no start.
type share struct {
	Member      ident.MemberID    `json:"member"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Part        int               `json:"part"`
	Excess      int               `json:"excess,omitempty"`
	// Nonce names the member's last write that took effect. Unlike the record's it survives the writes of others.
	Nonce string `json:"nonce,omitempty"`
}

// record is the value of limits/<team>. The sum of Part minus Excess never exceeds Limit, and a part grows from the
// pool only while the sum of Part stays within the limit.
type record struct {
	Limit       int               `json:"limit"`
	Parts       []share           `json:"parts,omitempty"`
	Writer      ident.MemberID    `json:"writer"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Nonce       string            `json:"nonce"`
}

// decode parses and checks a record, so that a damaged one never grants a start.
func decode(item platform.Item) (record, error) {
	var r record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return record{}, fmt.Errorf("parse %s: %w", item.Key, err)
	}
	usable := 0
	for _, p := range r.Parts {
		if p.Part < 0 || p.Excess < 0 || p.Excess > p.Part || p.Part > maxLimit {
			return record{}, fmt.Errorf("parse %s: part of %s is out of range", item.Key, p.Member)
		}
		usable += p.Part - p.Excess
	}
	if usable > r.Limit || r.Limit > maxLimit {
		return record{}, fmt.Errorf("parse %s: %w", item.Key, errSum)
	}
	return r, nil
}

// maxLimit bounds a limit, so that products of two limits stay within int64.
const maxLimit = 1 << 30

var errSum = errors.New("sum of the parts exceeds the limit")

func (r record) clone() record {
	r.Parts = slices.Clone(r.Parts)
	return r
}

// find returns the share of an incarnation, or an empty one.
func (r record) find(id ident.MemberID, incarnation ident.Incarnation) share {
	for _, p := range r.Parts {
		if p.Member == id && p.Incarnation == incarnation {
			return p
		}
	}
	return share{Member: id, Incarnation: incarnation}
}

// set replaces the share of an incarnation and drops it when it is empty. One with a nonce stays until its member died.
func (r *record) set(s share) {
	s.Excess = min(s.Excess, s.Part)
	i := slices.IndexFunc(r.Parts, func(p share) bool { return p.Member == s.Member && p.Incarnation == s.Incarnation })
	switch {
	case i >= 0 && s.Part == 0 && s.Nonce == "":
		r.Parts = slices.Delete(r.Parts, i, i+1)
	case i >= 0:
		r.Parts[i] = s
	case s.Part > 0 || s.Nonce != "":
		r.Parts = append(r.Parts, s)
	}
}

// sum is the amount that is reserved for tasks.
func (r record) sum() int {
	total := 0
	for _, p := range r.Parts {
		total += p.Part
	}
	return total
}

// rescale sets the limit. A lowered limit reduces what each part allows in proportion; the rest becomes excess, which
// disappears once the parts fit the limit again.
func (r *record) rescale(limit int) {
	for i, p := range r.Parts {
		if limit < r.Limit {
			r.Parts[i].Excess = p.Part - scale(p.Part-p.Excess, limit, r.Limit)
		}
	}
	r.Limit = limit
	if r.sum() <= limit {
		for i := range r.Parts {
			r.Parts[i].Excess = 0
		}
	}
}

// scale is n*limit/old, rounded down, so that scaled parts never exceed the limit.
func scale(n, limit, old int) int {
	if limit >= old {
		return n
	}
	return int(int64(n) * int64(limit) / int64(old))
}

// move transfers n between two shares, taking what allows starts first, and returns how much was moved.
func (r *record) move(from, to share, n int) int {
	n = min(n, from.Part)
	if n <= 0 {
		return 0
	}
	excess := max(0, n-(from.Part-from.Excess))
	from.Part, from.Excess = from.Part-n, from.Excess-excess
	to.Part, to.Excess = to.Part+n, to.Excess+excess
	r.set(from)
	r.set(to)
	return n
}

// dead returns the shares of incarnations that are not in the view.
func (r record) dead(v member.View) []share {
	var dead []share
	for _, p := range r.Parts {
		if !v.HasIncarnation(p.Member, p.Incarnation) {
			dead = append(dead, p)
		}
	}
	return dead
}
