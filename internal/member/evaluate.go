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
	// directProbes is the number of direct probes that must fail, so that one lost message removes nobody.
	directProbes = 2
	// indirectProbes is the number of other members that are asked to probe a suspect. It covers a whole cell of entry
	// hosts, because a removal must be sure that no member reaches the suspect; see Isolated.
	indirectProbes = 16
	// maxProbes bounds the probes in flight.
	maxProbes = 16
)

// evaluation is the state of the evaluator; only its loop uses it.
type evaluation struct {
	lastTick time.Time
	noticed  map[ident.MemberID]notice
	present  map[ident.Region]time.Time // since when a region has at least one present member
}

// notice is a member whose entry in the record may need a change.
type notice struct {
	incarnation ident.Incarnation
	since       time.Time
	next        time.Time // earliest next evaluation
}

// verdict is a change of one member's entry.
type verdict struct {
	member Member
	next   State // empty means removal
}

func newEvaluation(now time.Time) *evaluation {
	return &evaluation{
		lastTick: now, noticed: map[ident.MemberID]notice{}, present: map[ident.Region]time.Time{},
	}
}

// evaluateAll looks for members to remove, to mark as unreachable or to restore, once per interval.
func (g *Group) evaluateAll(ctx context.Context) error {
	e := newEvaluation(g.config.Now())
	ticker := time.NewTicker(g.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := g.evaluate(ctx, e); err != nil && ctx.Err() == nil {
			g.config.Log.V(1).Info("evaluation failed", "error", err.Error())
		}
	}
}

// evaluate runs one round.
func (g *Group) evaluate(ctx context.Context, e *evaluation) error {
	now := g.config.Now()
	gap := now.Sub(e.lastTick)
	e.lastTick = now
	defer func() { e.lastTick = g.config.Now() }()
	if gap > g.config.LeaseTTL/2+g.config.Interval {
		// This process was paused: what it knows of the store and of the others is outdated.
		g.counters.clockGaps.Add(1)
		g.config.Log.Info("own clock jumped, probably a pause", "gap", gap.String())
		g.health.reset()
		if err := g.Refresh(ctx); err != nil {
			return err
		}
	}
	s := g.snapshot.Load()
	alive, synced := g.watch.present()
	if !s.joined || !synced || g.leaving.Load() || !g.health.steady(g.config.LeaseTTL) {
		clear(e.noticed)
		clear(e.present)
		return nil
	}
	e.follow(s.view, alive, now)
	due := g.due(e, s, alive, now)
	if len(due) == 0 {
		return nil
	}
	verdicts := g.judge(ctx, e, s, alive, due)
	for _, m := range due {
		n := e.noticed[m.ID]
		n.next = now.Add(g.config.LeaseTTL)
		e.noticed[m.ID] = n
	}
	if len(verdicts) > 0 && !g.mayRemove(ctx, s) {
		g.config.Log.V(1).Info("fewer than half of the active members answer, so nobody is removed")
		verdicts = slices.DeleteFunc(verdicts, func(v verdict) bool { return v.next == "" })
	}
	if len(verdicts) == 0 {
		return nil
	}
	return g.execute(ctx, verdicts, now)
}

// follow updates since when members have been noticed and since when regions have been present.
func (e *evaluation) follow(v View, alive map[ident.MemberID]string, now time.Time) {
	regions := map[ident.Region]bool{}
	for _, m := range v.Members {
		_, present := alive[m.ID]
		regions[m.Region] = regions[m.Region] || present
		if present && m.State != Unreachable {
			delete(e.noticed, m.ID)
			continue
		}
		if n, ok := e.noticed[m.ID]; !ok || n.incarnation != m.Incarnation {
			e.noticed[m.ID] = notice{incarnation: m.Incarnation, since: now}
		}
	}
	for id := range e.noticed {
		if _, ok := v.Find(id); !ok {
			delete(e.noticed, id)
		}
	}
	for r, present := range regions {
		if _, ok := e.present[r]; !present {
			delete(e.present, r)
		} else if !ok {
			e.present[r] = now
		}
	}
}

// due returns the noticed members that this process should evaluate now. The present active member with the lowest
// id does it at once, and each further one after a delay in which those before it should have finished.
func (g *Group) due(e *evaluation, s *snapshot, alive map[ident.MemberID]string, now time.Time) []Member {
	rank := 0
	for _, m := range s.view.Members {
		if _, present := alive[m.ID]; present && m.State == Active && m.ID < s.self.ID {
			rank++
		}
	}
	delay := time.Duration(rank) * (2*g.config.Interval + (directProbes+1)*g.config.ProbeTimeout)
	var due []Member
	for _, m := range s.view.Members {
		n, ok := e.noticed[m.ID]
		if ok && now.Sub(n.since) >= delay && !now.Before(n.next) && (m.ID != s.self.ID || m.State == Unreachable) {
			due = append(due, m)
		}
	}
	return due
}

// judge probes the due members and decides on them.
func (g *Group) judge(
	ctx context.Context, e *evaluation, s *snapshot, alive map[ident.MemberID]string, due []Member,
) []verdict {
	var verdicts []verdict
	var absent []Member
	for _, m := range due {
		if _, present := alive[m.ID]; present || m.ID == s.self.ID {
			verdicts = append(verdicts, verdict{member: m, next: Active})
			continue
		}
		absent = append(absent, m)
	}
	reached := g.probeAll(ctx, s, alive, absent)
	var dead []Member
	for i, m := range absent {
		switch {
		case !reached[i]:
			dead = append(dead, m)
		case m.State == Unreachable:
			verdicts = append(verdicts, verdict{member: m, next: Active})
		}
	}
	links := map[ident.Region]link{}
	for _, m := range dead {
		if m.Region == s.self.Region {
			verdicts = append(verdicts, verdict{member: m})
			continue
		}
		l, known := links[m.Region]
		if !known {
			l = g.probeLink(ctx, s, alive, m.Region, dead)
			links[m.Region] = l
		}
		verdicts = append(verdicts, g.judgeRemote(e, l, m)...)
	}
	return verdicts
}

// link is what is known of the way to another region.
type link struct {
	vanished bool // every member of the region is absent and fails its probes
	answers  bool // a present member of the region answered a probe
}

// probeLink looks at the members of a region other than the dead ones.
func (g *Group) probeLink(
	ctx context.Context, s *snapshot, alive map[ident.MemberID]string, r ident.Region, dead []Member,
) link {
	var others, present []Member
	for _, m := range s.view.Members {
		if m.Region != r || slices.Contains(dead, m) {
			continue
		}
		others = append(others, m)
		if _, ok := alive[m.ID]; ok {
			present = append(present, m)
		}
	}
	if len(present) == 0 {
		// The others are absent too; they are not due yet or answered their probes.
		reached := g.probeAll(ctx, s, alive, others)
		answers := slices.Contains(reached, true)
		return link{vanished: !answers, answers: answers}
	}
	reached := g.probeAll(ctx, s, alive, present[:min(len(present), indirectProbes)])
	return link{answers: slices.Contains(reached, true)}
}

// judgeRemote decides on a member of another region that is absent and fails its probes.
func (g *Group) judgeRemote(e *evaluation, l link, m Member) []verdict {
	now := g.config.Now()
	if l.vanished {
		if m.State == Active {
			return []verdict{{member: m, next: Unreachable}}
		}
		return nil
	}
	// Leases of a region that is being cut off lapse one after another. The member's own death is certain only when
	// its neighbours answer, or when their leases outlive its own by two periods.
	if !l.answers && now.Sub(e.noticed[m.ID].since) < 2*g.config.LeaseTTL {
		return nil
	}
	// A region that returns gets one period in which its members reconnect.
	since, ok := e.present[m.Region]
	if m.State == Unreachable && (!ok || now.Sub(since) < g.config.LeaseTTL) {
		return nil
	}
	return []verdict{{member: m}}
}

// execute reads the presence keys once more and changes the record.
func (g *Group) execute(ctx context.Context, verdicts []verdict, started time.Time) error {
	alive, err := g.present(ctx, started)
	if err != nil {
		return err
	}
	_, err = g.apply(ctx, slices.DeleteFunc(verdicts, func(v verdict) bool {
		_, present := alive[v.member.ID]
		return present && v.next != Active
	}))
	return err
}

// present reads the presence keys after the probes, and fails unless the store has been healthy for one lease
// period and the evaluation is recent.
func (g *Group) present(ctx context.Context, started time.Time) (map[ident.MemberID]string, error) {
	items, err := g.store.list(ctx, PrefixAlive)
	if err != nil {
		return nil, fmt.Errorf("confirm absence: %w", err)
	}
	limit := g.config.LeaseTTL + 2*(directProbes+1)*g.config.ProbeTimeout
	if g.config.Now().Sub(started) > limit || !g.health.steady(g.config.LeaseTTL) {
		return nil, fmt.Errorf("%w: the store has not been healthy for one lease period, or the probes took too long", ErrNotNow)
	}
	return presentInstances(items), nil
}

// apply changes the record and returns the verdicts that were carried out. A verdict on an entry that has changed
// since is left out, and so is the removal of the last member that isn't unreachable: evaluators that remove each
// other must not leave a view without members.
func (g *Group) apply(ctx context.Context, verdicts []verdict) ([]verdict, error) {
	var done []verdict
	err := g.change(ctx, func(next *record) bool {
		done = done[:0]
		for _, v := range verdicts {
			e := next.find(v.member.ID)
			if e == nil || e.Incarnation != v.member.Incarnation || e.State != v.member.State {
				continue
			}
			if v.next != "" {
				e.State = v.next
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
		g.count(v)
	}
	return done, nil
}

func (g *Group) count(v verdict) {
	switch v.next {
	case "":
		g.counters.removals.Add(1)
	case Unreachable:
		g.counters.unreachable.Add(1)
	case Active:
		g.counters.restored.Add(1)
	}
	g.config.Log.Info("member entry changed", "member", v.member.ID, "incarnation", v.member.Incarnation,
		"from", v.member.State, "to", v.next)
}

// probeAll reports for each target whether a direct or an indirect probe succeeded.
func (g *Group) probeAll(ctx context.Context, s *snapshot, alive map[ident.MemberID]string, targets []Member) []bool {
	reached := make([]bool, len(targets))
	var group errgroup.Group
	group.SetLimit(maxProbes)
	for i, m := range targets {
		group.Go(func() error {
			reached[i] = g.reach(ctx, s, alive, m)
			return nil
		})
	}
	_ = group.Wait() // the probes report through reached
	return reached
}

func (g *Group) reach(ctx context.Context, s *snapshot, alive map[ident.MemberID]string, m Member) bool {
	probe := func(f func(context.Context) error) bool {
		bounded, cancel := context.WithTimeout(ctx, g.config.ProbeTimeout)
		defer cancel()
		started := g.config.Now()
		err := f(bounded)
		if g.config.Now().Sub(started) > g.config.ProbeTimeout+g.config.LeaseTTL/2 {
			g.health.reset() // this process was paused, so the failure of the probe and the lapse of leases show nothing
		}
		return err == nil
	}
	for range directProbes {
		if probe(func(ctx context.Context) error { return g.config.Probe(ctx, m) }) {
			return true
		}
	}
	if g.config.ProbeVia == nil {
		return false
	}
	for _, via := range intermediaries(s, alive, m) {
		if probe(func(ctx context.Context) error { return g.config.ProbeVia(ctx, via, m) }) {
			return true
		}
	}
	return false
}

// intermediaries returns present members to probe through, those in the region of the target first.
func intermediaries(s *snapshot, alive map[ident.MemberID]string, target Member) []Member {
	var near, far []Member
	for _, m := range s.view.Members {
		_, present := alive[m.ID]
		switch {
		case !present || m.ID == s.self.ID || m.ID == target.ID:
		case m.Region == target.Region:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	all := append(near, far...)
	return all[:min(len(all), indirectProbes)]
}
