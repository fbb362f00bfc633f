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

// keyPrefix is the prefix of the records' keys in the store.
const keyPrefix = "limits/"

// allocation is the amount of a team's limit that one member incarnation holds. Excess is the amount above a lowered
// limit: it covers tasks that still run and allows no start.
type allocation struct {
	Member      ident.MemberID    `json:"member"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Size        int               `json:"part"`
	Excess      int               `json:"excess,omitempty"`
	// Nonce identifies the member's last write that took effect. Unlike the record's nonce it survives the writes of
	// other members.
	Nonce string `json:"nonce,omitempty"`
}

// record is the value of limits/<team>. The sum of Size minus Excess never exceeds Limit, and an allocation grows
// from the unallocated pool only while the sum of Size stays within Limit.
type record struct {
	Limit       int               `json:"limit"`
	Allocations []allocation      `json:"parts,omitempty"`
	Writer      ident.MemberID    `json:"writer"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Nonce       string            `json:"nonce"`
}

// decode parses and validates a record, so that a damaged one never allows a start.
func decode(item platform.Item) (record, error) {
	var r record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return record{}, fmt.Errorf("parse %s: %w", item.Key, err)
	}
	usable := 0
	for _, p := range r.Allocations {
		if p.Size < 0 || p.Excess < 0 || p.Excess > p.Size || p.Size > maxLimit {
			return record{}, fmt.Errorf("parse %s: allocation of member %s is out of range", item.Key, p.Member)
		}
		usable += p.Size - p.Excess
	}
	if usable > r.Limit || r.Limit > maxLimit {
		return record{}, fmt.Errorf("parse %s: %w", item.Key, errSumExceedsLimit)
	}
	return r, nil
}

// maxLimit bounds a limit, so that the product of two limits fits into an int64.
const maxLimit = 1 << 30

var errSumExceedsLimit = errors.New("sum of the allocations exceeds the limit")

func (r record) clone() record {
	r.Allocations = slices.Clone(r.Allocations)
	return r
}

// find returns the allocation of an incarnation, or an empty one.
func (r record) find(id ident.MemberID, incarnation ident.Incarnation) allocation {
	for _, p := range r.Allocations {
		if p.Member == id && p.Incarnation == incarnation {
			return p
		}
	}
	return allocation{Member: id, Incarnation: incarnation}
}

// set replaces the allocation of an incarnation and removes it when it is empty. An empty allocation with a nonce
// stays until its member has died.
func (r *record) set(s allocation) {
	s.Excess = min(s.Excess, s.Size)
	i := slices.IndexFunc(r.Allocations, func(p allocation) bool { return p.Member == s.Member && p.Incarnation == s.Incarnation })
	switch {
	case i >= 0 && s.Size == 0 && s.Nonce == "":
		r.Allocations = slices.Delete(r.Allocations, i, i+1)
	case i >= 0:
		r.Allocations[i] = s
	case s.Size > 0 || s.Nonce != "":
		r.Allocations = append(r.Allocations, s)
	}
}

// total is the sum of all allocations, including excess.
func (r record) total() int {
	total := 0
	for _, p := range r.Allocations {
		total += p.Size
	}
	return total
}

// rescale sets the limit. A lowered limit reduces the startable amount of each allocation in proportion. The rest
// becomes excess, which is cleared once the allocations fit the limit again.
func (r *record) rescale(limit int) {
	for i, p := range r.Allocations {
		if limit < r.Limit {
			r.Allocations[i].Excess = p.Size - scale(p.Size-p.Excess, limit, r.Limit)
		}
	}
	r.Limit = limit
	if r.total() <= limit {
		for i := range r.Allocations {
			r.Allocations[i].Excess = 0
		}
	}
}

// scale returns n*limit/old, rounded down, so that scaled allocations never exceed the limit.
func scale(n, limit, old int) int {
	if limit >= old {
		return n
	}
	return int(int64(n) * int64(limit) / int64(old))
}

// move transfers n between two allocations, taking the startable amount before the excess, and returns the amount
// moved.
func (r *record) move(from, to allocation, n int) int {
	n = min(n, from.Size)
	if n <= 0 {
		return 0
	}
	excess := max(0, n-(from.Size-from.Excess))
	from.Size, from.Excess = from.Size-n, from.Excess-excess
	to.Size, to.Excess = to.Size+n, to.Excess+excess
	r.set(from)
	r.set(to)
	return n
}

// dead returns the allocations of incarnations that are not in the view.
func (r record) dead(v member.View) []allocation {
	var dead []allocation
	for _, p := range r.Allocations {
		if !v.HasIncarnation(p.Member, p.Incarnation) {
			dead = append(dead, p)
		}
	}
	return dead
}
