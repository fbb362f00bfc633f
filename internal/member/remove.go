package member

import (
	"context"
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Reasons why Remove refuses. The record is unchanged after each of them.
var (
	ErrUnknownMember = errors.New("no such member in the view")
	// ErrStillRunning reports a member that holds its lease or answers a probe; the operator may confirm its removal.
	ErrStillRunning = errors.New("the member still runs")
	// ErrLastMember reports that the removal would leave no member that isn't unreachable.
	ErrLastMember = errors.New("the last reachable member can't be removed")
	// ErrMemberChanged reports that the member was removed, rejoined or changed its state during the call.
	ErrMemberChanged = errors.New("the member's entry changed during the call")
	// ErrUnsafeRemoval reports that the preconditions of a removal aren't met at present; a later call may succeed.
	ErrUnsafeRemoval = errors.New("the member can't be removed now")
)

// LeaseState is whether a member holds its presence lease.
type LeaseState string

// States of a presence lease.
const (
	LeaseHeld    LeaseState = "held"
	LeaseNotHeld LeaseState = "gone"
	LeaseUnknown LeaseState = "unknown" // the presence keys can't be read
)

// Status is a member of the view with the state of its lease.
type Status struct {
	Member
	Lease LeaseState `json:"lease"`
}

// List returns the members of the view, in id order.
func (g *Group) List() []Status {
	instances, synced := g.presenceCache.instances()
	var list []Status
	for _, m := range g.View().Members {
		s := Status{Member: m, Lease: LeaseNotHeld}
		if _, held := instances[m.ID]; held {
			s.Lease = LeaseHeld
		}
		if !synced {
			s.Lease = LeaseUnknown
		}
		list = append(list, s)
	}
	return list
}

// Remove removes a member from the view for an operator, under the same rules as evaluate, except that members of an
// unreachable region are removed too. With confirmed it also removes a running member that holds its lease: that member
// reads of its removal in the record, drops its work and rejoins. A running member without a lease isn't removed, because
// it would continue without learning of its removal.
func (g *Group) Remove(ctx context.Context, id ident.MemberID, confirmed bool) (Member, error) {
	started := g.config.Now()
	if err := g.Refresh(ctx); err != nil {
		return Member{}, err
	}
	s := g.snapshot.Load()
	m, ok := s.view.Find(id)
	switch {
	case !ok:
		return Member{}, fmt.Errorf("%w: %s", ErrUnknownMember, id)
	case !s.joined:
		return m, fmt.Errorf("%w: this daemon isn't in the view itself", ErrUnsafeRemoval)
	case !g.reachesHalf(ctx, s):
		return m, fmt.Errorf("%w: fewer than half of the active members answer", ErrUnsafeRemoval)
	}
	answers := m.ID == s.self.ID
	if !answers {
		known, _ := g.presenceCache.instances()
		answers = g.probeAll(ctx, s, known, []Member{m})[0]
	}
	instances, err := g.confirmPresence(ctx, started)
	if err != nil {
		return m, err
	}
	_, held := instances[m.ID]
	switch {
	case !confirmed && (held || answers):
		return m, fmt.Errorf("%w: its lease is held: %t, it answers probes: %t", ErrStillRunning, held, answers)
	case answers && !held:
		return m, fmt.Errorf("%w: it answers probes without a lease, so it would not learn of its removal", ErrUnsafeRemoval)
	}
	done, err := g.applyTransitions(ctx, []transition{{member: m}})
	if err != nil {
		return m, err
	}
	if now, ok := g.View().Find(id); len(done) == 0 && ok && now == m {
		return m, fmt.Errorf("%w: %s", ErrLastMember, id)
	}
	if len(done) == 0 {
		return m, fmt.Errorf("%w: %s", ErrMemberChanged, id)
	}
	return m, nil
}
