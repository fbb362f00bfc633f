package member

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// directProbeAttempts is how many direct probes must fail in a row, so that one lost message removes no member.
	directProbeAttempts = 2
	// maxIntermediaries bounds the members that are asked to probe a target indirectly. It covers all entry hosts of a
	// cell, because a removal requires that no member reaches the target; see Isolated.
	maxIntermediaries = 16
	// maxParallelProbes bounds the probes that run at the same time.
	maxParallelProbes = 16
)

// evaluatorState is what evaluateLoop keeps between rounds; no other goroutine uses it.
type evaluatorState struct {
	lastRound          time.Time
	candidates         map[ident.MemberID]candidate
	regionPresentSince map[ident.Region]time.Time // start of the time in which a region has had a present member
}

// candidate is a member that is absent or marked as unreachable, so its entry may have to change.
type candidate struct {
	incarnation    ident.Incarnation
	since          time.Time
	nextEvaluation time.Time // earliest next evaluation
}

// transition is a new state of one member's entry, or its removal.
type transition struct {
	member   Member
	newState State // empty means removal
}

func newEvaluatorState(now time.Time) *evaluatorState {
	return &evaluatorState{
		lastRound: now, candidates: map[ident.MemberID]candidate{}, regionPresentSince: map[ident.Region]time.Time{},
	}
}

// evaluateLoop checks once per interval which members to remove, to mark as unreachable or to restore.
func (g *Group) evaluateLoop(ctx context.Context) error {
	e := newEvaluatorState(g.config.Now())
	ticker := time.NewTicker(g.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := g.evaluate(ctx, e); err != nil && ctx.Err() == nil {
			g.config.Log.V(1).Info("membership evaluation failed", "error", err.Error())
		}
	}
}

// evaluate runs one round of evaluateLoop.
func (g *Group) evaluate(ctx context.Context, e *evaluatorState) error {
	now := g.config.Now()
	gap := now.Sub(e.lastRound)
	e.lastRound = now
	defer func() { e.lastRound = g.config.Now() }()
	if gap > g.config.LeaseTTL/2+g.config.Interval {
		// This process was paused, so what it last saw of the store and of the other members is outdated.
		g.counters.clockGaps.Add(1)
		g.config.Log.Info("process clock jumped, the process was probably paused", "gap", gap.String())
		g.health.reset()
		if err := g.Refresh(ctx); err != nil {
			return err
		}
	}
	s := g.snapshot.Load()
	instances, synced := g.presenceCache.instances()
	if !s.joined || !synced || g.leaving.Load() || !g.health.healthyFor(g.config.LeaseTTL) {
		clear(e.candidates)
		clear(e.regionPresentSince)
		return nil
	}
	e.updateCandidates(s.view, instances, now)
	due := g.dueCandidates(e, s, instances, now)
	if len(due) == 0 {
		return nil
	}
	transitions := g.decideTransitions(ctx, e, s, instances, due)
	for _, m := range due {
		n := e.candidates[m.ID]
		n.nextEvaluation = now.Add(g.config.LeaseTTL)
		e.candidates[m.ID] = n
	}
	if len(transitions) > 0 && !g.reachesHalf(ctx, s) {
		g.config.Log.V(1).Info("fewer than half of the active members answer probes, so no member is removed")
		transitions = slices.DeleteFunc(transitions, func(v transition) bool { return v.newState == "" })
	}
	if len(transitions) == 0 {
		return nil
	}
	return g.confirmAndApply(ctx, transitions, now)
}

// updateCandidates adds and drops candidates, and tracks since when each region has had a present member.
func (e *evaluatorState) updateCandidates(v View, instances map[ident.MemberID]string, now time.Time) {
	regions := map[ident.Region]bool{}
	for _, m := range v.Members {
		_, present := instances[m.ID]
		regions[m.Region] = regions[m.Region] || present
		if present && m.State != Unreachable {
			delete(e.candidates, m.ID)
			continue
		}
		if n, ok := e.candidates[m.ID]; !ok || n.incarnation != m.Incarnation {
			e.candidates[m.ID] = candidate{incarnation: m.Incarnation, since: now}
		}
	}
	for id := range e.candidates {
		if _, ok := v.Find(id); !ok {
			delete(e.candidates, id)
		}
	}
	for r, present := range regions {
		if _, ok := e.regionPresentSince[r]; !present {
			delete(e.regionPresentSince, r)
		} else if !ok {
			e.regionPresentSince[r] = now
		}
	}
}

// dueCandidates returns the candidates that this process should evaluate now. The present active member with the lowest
// id evaluates at once; each further one, in id order, first waits long enough for those before it to finish.
func (g *Group) dueCandidates(e *evaluatorState, s *snapshot, instances map[ident.MemberID]string, now time.Time) []Member {
	rank := 0
	for _, m := range s.view.Members {
		if _, present := instances[m.ID]; present && m.State == Active && m.ID < s.self.ID {
			rank++
		}
	}
	delay := time.Duration(rank) * (2*g.config.Interval + (directProbeAttempts+1)*g.config.ProbeTimeout)
	var due []Member
	for _, m := range s.view.Members {
		n, ok := e.candidates[m.ID]
		if ok && now.Sub(n.since) >= delay && !now.Before(n.nextEvaluation) && (m.ID != s.self.ID || m.State == Unreachable) {
			due = append(due, m)
		}
	}
	return due
}

// decideTransitions probes the due members and decides how their entries change.
func (g *Group) decideTransitions(
	ctx context.Context, e *evaluatorState, s *snapshot, instances map[ident.MemberID]string, due []Member,
) []transition {
	var transitions []transition
	var absent []Member
	for _, m := range due {
		if _, present := instances[m.ID]; present || m.ID == s.self.ID {
			transitions = append(transitions, transition{member: m, newState: Active})
			continue
		}
		absent = append(absent, m)
	}
	reached := g.probeAll(ctx, s, instances, absent)
	var dead []Member
	for i, m := range absent {
		switch {
		case !reached[i]:
			dead = append(dead, m)
		case m.State == Unreachable:
			transitions = append(transitions, transition{member: m, newState: Active})
		}
	}
	regions := map[ident.Region]regionStatus{}
	for _, m := range dead {
		if m.Region == s.self.Region {
			transitions = append(transitions, transition{member: m})
			continue
		}
		status, known := regions[m.Region]
		if !known {
			status = g.probeRegion(ctx, s, instances, m.Region, dead)
			regions[m.Region] = status
		}
		transitions = append(transitions, g.decideRemote(e, status, m)...)
	}
	return transitions
}

// regionStatus is what probes showed about the members of another region.
type regionStatus struct {
	unreachable bool // every member of the region is absent and fails its probes
	answered    bool // a member of the region other than the dead ones answered a probe
}

// probeRegion probes the members of a region other than the dead ones.
func (g *Group) probeRegion(
	ctx context.Context, s *snapshot, instances map[ident.MemberID]string, r ident.Region, dead []Member,
) regionStatus {
	var others, present []Member
	for _, m := range s.view.Members {
		if m.Region != r || slices.Contains(dead, m) {
			continue
		}
		others = append(others, m)
		if _, ok := instances[m.ID]; ok {
			present = append(present, m)
		}
	}
	if len(present) == 0 {
		// The others are absent too; they are not due yet or answered their probes.
		reached := g.probeAll(ctx, s, instances, others)
		answers := slices.Contains(reached, true)
		return regionStatus{unreachable: !answers, answered: answers}
	}
	reached := g.probeAll(ctx, s, instances, present[:min(len(present), maxIntermediaries)])
	return regionStatus{answered: slices.Contains(reached, true)}
}

// decideRemote decides how the entry of an absent member of another region changes after its probes failed.
func (g *Group) decideRemote(e *evaluatorState, l regionStatus, m Member) []transition {
	now := g.config.Now()
	if l.unreachable {
		if m.State == Active {
			return []transition{{member: m, newState: Unreachable}}
		}
		return nil
	}
	// When a region is cut off, the leases of its members lapse one after another. So a member counts as dead only
	// when other members of its region answer, or when their leases outlive its own by two lease periods.
	if !l.answered && now.Sub(e.candidates[m.ID].since) < 2*g.config.LeaseTTL {
		return nil
	}
	// After a region becomes reachable again, its members have one lease period to reconnect.
	since, ok := e.regionPresentSince[m.Region]
	if m.State == Unreachable && (!ok || now.Sub(since) < g.config.LeaseTTL) {
		return nil
	}
	return []transition{{member: m}}
}

// confirmAndApply reads the presence keys again and writes the transitions to the record. A member that is present by now
// is neither removed nor marked as unreachable.
func (g *Group) confirmAndApply(ctx context.Context, transitions []transition, started time.Time) error {
	instances, err := g.confirmPresence(ctx, started)
	if err != nil {
		return err
	}
	_, err = g.applyTransitions(ctx, slices.DeleteFunc(transitions, func(v transition) bool {
		_, present := instances[v.member.ID]
		return present && v.newState != Active
	}))
	return err
}

// confirmPresence reads the presence keys after the probes. It fails unless the store has been healthy for one lease
// period and the probes started recently.
func (g *Group) confirmPresence(ctx context.Context, started time.Time) (map[ident.MemberID]string, error) {
	items, err := g.store.list(ctx, PrefixPresence)
	if err != nil {
		return nil, fmt.Errorf("list presence keys to confirm absence: %w", err)
	}
	limit := g.config.LeaseTTL + 2*(directProbeAttempts+1)*g.config.ProbeTimeout
	if g.config.Now().Sub(started) > limit || !g.health.healthyFor(g.config.LeaseTTL) {
		return nil, fmt.Errorf("%w: the store has not been healthy for one lease period, or the probes took too long", ErrUnsafeRemoval)
	}
	return presentInstances(items), nil
}

// applyTransitions writes the transitions to the record and returns those that took effect. It skips a transition whose
// entry has changed since, and the removal of the last member that isn't unreachable: evaluators that remove each
// other must not leave a view without members.
func (g *Group) applyTransitions(ctx context.Context, transitions []transition) ([]transition, error) {
	var done []transition
	err := g.updateRecord(ctx, func(next *record) bool {
		done = done[:0]
		for _, v := range transitions {
			e := next.find(v.member.ID)
			if e == nil || e.Incarnation != v.member.Incarnation || e.State != v.member.State {
				continue
			}
			if v.newState != "" {
				e.State = v.newState
			} else if slices.ContainsFunc(next.Members, func(o entry) bool { return o.ID != e.ID && o.State != Unreachable }) {
				next.remove(v.member.ID)
			} else {
				continue
			}
			done = append(done, v)
		}
		return len(done) > 0
	})
	if err != nil {
		return nil, err
	}
	for _, v := range done {
		g.countTransition(v)
	}
	return done, nil
}

func (g *Group) countTransition(v transition) {
	switch v.newState {
	case "":
		g.counters.removals.Add(1)
	case Unreachable:
		g.counters.unreachable.Add(1)
	case Active:
		g.counters.restored.Add(1)
	}
	g.config.Log.Info("member entry changed", "member", v.member.ID, "incarnation", v.member.Incarnation,
		"from", v.member.State, "to", v.newState)
}

// probeAll reports for each target whether a direct or an indirect probe succeeded.
func (g *Group) probeAll(ctx context.Context, s *snapshot, instances map[ident.MemberID]string, targets []Member) []bool {
	reached := make([]bool, len(targets))
	var group errgroup.Group
	group.SetLimit(maxParallelProbes)
	for i, m := range targets {
		group.Go(func() error {
			reached[i] = g.probeMember(ctx, s, instances, m)
			return nil
		})
	}
	_ = group.Wait() // the probes report through reached
	return reached
}

func (g *Group) probeMember(ctx context.Context, s *snapshot, instances map[ident.MemberID]string, m Member) bool {
	probe := func(f func(context.Context) error) bool {
		callCtx, cancel := context.WithTimeout(ctx, g.config.ProbeTimeout)
		defer cancel()
		started := g.config.Now()
		err := f(callCtx)
		if g.config.Now().Sub(started) > g.config.ProbeTimeout+g.config.LeaseTTL/2 {
			g.health.reset() // this process was paused, so neither the failed probe nor lapsed leases prove anything
		}
		return err == nil
	}
	for range directProbeAttempts {
		if probe(func(ctx context.Context) error { return g.config.Probe(ctx, m) }) {
			return true
		}
	}
	if g.config.ProbeVia == nil {
		return false
	}
	for _, via := range intermediaries(s, instances, m) {
		if probe(func(ctx context.Context) error { return g.config.ProbeVia(ctx, via, m) }) {
			return true
		}
	}
	return false
}

// intermediaries returns the present members that can probe the target indirectly, those in its region first.
func intermediaries(s *snapshot, instances map[ident.MemberID]string, target Member) []Member {
	var near, far []Member
	for _, m := range s.view.Members {
		_, present := instances[m.ID]
		switch {
		case !present || m.ID == s.self.ID || m.ID == target.ID:
		case m.Region == target.Region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), maxIntermediaries)]
}
