package member

import (
	"context"
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Reasons why Remove refuses. The record is unchanged after each of them.
var (
	ErrNoMember = errors.New("no such member in the view")
	// ErrRunning reports a member that holds its lease or answers a probe; the operator may confirm its removal.
	ErrRunning = errors.New("the member still runs")
	// ErrLast reports that no member would stay that isn't unreachable.
	ErrLast = errors.New("the last reachable member can't be removed")
	// ErrChanged reports that the member was removed, has rejoined or changed its state during the call.
	ErrChanged = errors.New("the member's entry was changed meanwhile")
	// ErrNotNow reports that the rules of a removal don't hold at present.
	ErrNotNow = errors.New("the member can't be removed now")
)

// Lease tells whether a member holds its presence lease.
type Lease string

// States of a presence lease.
const (
	LeaseHeld    Lease = "held"
	LeaseGone    Lease = "gone"
	LeaseUnknown Lease = "unknown" // the presence keys can't be read
)

// Status is a member of the view with the state of its lease.
type Status struct {
	Member
	Lease Lease `json:"lease"`
}

// List returns the members of the view, in id order.
func (g *Group) List() []Status {
	alive, synced := g.watch.present()
	var list []Status
	for _, m := range g.View().Members {
		s := Status{Member: m, Lease: LeaseGone}
		if _, held := alive[m.ID]; held {
			s.Lease = LeaseHeld
		}
		if !synced {
			s.Lease = LeaseUnknown
		}
		list = append(list, s)
	}
	return list
}

// Remove takes a member out of the view for an operator, under the same rules as evaluate but without the wait that
// keeps a vanished region in the view. With confirmed it also removes a running member, if that holds its lease: it
// then reads of its removal, drops everything and rejoins. One without a lease would go on without knowing.
func (g *Group) Remove(ctx context.Context, id ident.MemberID, confirmed bool) (Member, error) {
	started := g.config.Now()
	if err := g.Refresh(ctx); err != nil {
		return Member{}, err
	}
	s := g.snapshot.Load()
	m, ok := s.view.Find(id)
	switch {
	case !ok:
		return Member{}, fmt.Errorf("%w: %s", ErrNoMember, id)
	case !s.joined:
		return m, fmt.Errorf("%w: this daemon isn't in the view itself", ErrNotNow)
	case !g.mayRemove(ctx, s):
		return m, fmt.Errorf("%w: fewer than half of the active members answer", ErrNotNow)
	}
	answers := m.ID == s.self.ID
	if !answers {
		known, _ := g.watch.present()
		answers = g.probeAll(ctx, s, known, []Member{m})[0]
	}
	alive, err := g.present(ctx, started)
	if err != nil {
		return m, err
	}
	_, held := alive[m.ID]
	switch {
	case !confirmed && (held || answers):
		return m, fmt.Errorf("%w: its lease is held: %t, it answers probes: %t", ErrRunning, held, answers)
	case answers && !held:
		return m, fmt.Errorf("%w: it answers probes without a lease, so it would not learn of its removal", ErrNotNow)
	}
	done, err := g.apply(ctx, []verdict{{member: m}})
	if err != nil {
		return m, err
	}
	if now, ok := g.View().Find(id); len(done) == 0 && ok && now == m {
		return m, fmt.Errorf("%w: %s", ErrLast, id)
	}
	if len(done) == 0 {
		return m, fmt.Errorf("%w: %s", ErrChanged, id)
	}
	return m, nil
}
