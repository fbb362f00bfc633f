package limit

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"golang.org/x/sync/errgroup"
)

const (
	// parallelTeams bounds the teams that are worked on at once, so that one slow peer or call doesn't hold up others.
	parallelTeams = 8
	// asksPerAttempt bounds the members that are asked in one attempt, those with the largest parts first.
	asksPerAttempt = 3
	// askTimeout bounds one request to a member; it covers the member's own store call.
	askTimeout = time.Second
)

// Run requests, returns and transfers parts until ctx ends.
func (s *Split) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.wake:
		}
		s.tick(ctx)
	}
}

// tick makes one attempt for every team that is due.
func (s *Split) tick(ctx context.Context) {
	now := s.config.Now()
	s.resize(now)
	view, self := s.config.View(), s.config.Self()
	if s.paused(now) || !view.HasIncarnation(self.ID, self.Incarnation) {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelTeams)
	var first, later []*team
	for _, id := range s.config.Teams() {
		_, unlock := s.locked(id) // teams without work get a floor too
		unlock()
	}
	for i := range s.shards {
		short, due := s.due(&s.shards[i], now, view)
		first, later = append(first, short...), append(later, due...)
	}
	// Teams with waiting tasks use the budget before those that only look ahead, and the order changes with time.
	for _, t := range append(rotate(first, now), later...) {
		group.Go(func() error {
			s.attempt(ctx, t, self, view)
			return nil
		})
	}
	_ = group.Wait() // attempts report no errors
}

// paused reports whether the store was unavailable a moment ago; the parts are frozen then.
func (s *Split) paused(now time.Time) bool { return now.UnixNano() < s.resume.Load() }

// rotate begins a list at another place every second.
func rotate(teams []*team, now time.Time) []*team {
	if len(teams) == 0 {
		return nil
	}
	slices.SortFunc(teams, func(a, b *team) int { return cmp.Compare(a.id, b.id) })
	i := int(uint64(now.Unix()) * 7 % uint64(len(teams)))
	return append(slices.Clone(teams[i:]), teams[:i]...)
}

// due lists the teams of a shard with tasks that didn't fit, and the others that need a write or more of their limit.
func (s *Split) due(sh *shard, now time.Time, view member.View) (short, due []*team) {
	sh.lock.Lock()
	defer sh.lock.Unlock()
	for _, t := range sh.teams {
		limit, ok := s.config.Limit(t.id)
		if now.Sub(t.demand.missAt) > missedLife {
			t.demand.missed = 0
		}
		t.demand.roll(now)
		switch {
		case !ok || now.Before(t.demand.next):
		case t.free(limit) < max(0, t.demand.missed):
			short = append(short, t)
		case t.wants(limit) || t.mustWrite(limit) || s.lacksFloor(t, limit, now, view):
			due = append(due, t)
		}
	}
	return short, due
}

// mustWrite reports whether the record must change for another reason than the need for more.
func (t *team) mustWrite(limit int) bool {
	return len(t.handovers) > 0 || t.lowered > 0 || t.adopted > 0 || t.limit > limit || t.shrinks()
}

// shrinks reports whether tasks ended that were running above a lowered limit.
func (t *team) shrinks() bool {
	return t.share.Excess > 0 && t.share.Part > max(t.share.Part-t.share.Excess, t.used)
}

// attempt does one round for a team: one write with everything that this member may do alone, then requests to peers.
func (s *Split) attempt(ctx context.Context, t *team, self member.Member, view member.View) {
	select {
	case t.writer <- struct{}{}:
	default:
		return // a peer's request is being served
	}
	t.known = false // what peers took or gave since isn't in the cached record
	limit, _ := s.config.Limit(t.id)
	_, unlock := s.locked(t.id)
	floor := s.lacksFloor(t, limit, s.config.Now(), view)
	unlock()
	before := s.own(t)
	c, err := s.write(ctx, t, self, func(r *record, c *change) bool {
		changed := s.plan(t, self, view, r, c)
		return floor && seed(r, t.id, view) || changed
	})
	parts := t.rec.Parts
	<-t.writer
	outcome := steady
	switch {
	case s.own(t) > before || c.moved+len(c.handed) > 0:
		outcome = gained
	case err != nil:
		outcome = postponed
		s.report(t, err)
	case s.stillWants(t):
		outcome = fruitless
	}
	if err == nil && s.stillWants(t) && s.request(ctx, t, self, view, parts) {
		outcome = gained
	}
	_, unlock = s.locked(t.id)
	if floor {
		s.nextFloor(t, err)
	}
	if !floor || outcome != steady { // an attempt for the floor alone doesn't put off the next one for waiting tasks
		t.demand.result(outcome, s.config.Now(), s.config.Interval)
	}
	unlock()
	if outcome == gained {
		s.config.Gained(t.id)
	}
}

// plan edits the record: handovers, parts of adopted tasks, parts of dead members that run nothing, the excess over a
// lowered limit, and a chunk from the pool.
func (s *Split) plan(t *team, self member.Member, view member.View, r *record, c *change) bool {
	limit := r.Limit
	_, unlock := s.locked(t.id)
	handovers, adopted, used := slices.Clone(t.handovers), t.adopted, t.used
	want, missing := 0, max(1, t.demand.missed)-t.free(limit)
	if t.wants(limit) {
		want = t.want(limit)
	}
	unlock()
	recorded := t.rec.find(self.ID, self.Incarnation)
	changed := r.find(self.ID, self.Incarnation) != recorded
	for _, h := range handovers {
		n := r.move(r.find(self.ID, self.Incarnation), r.find(h.to.ID, h.to.Incarnation), h.n)
		if n == 0 {
			break
		}
		c.handed, changed = append(c.handed, handover{h.to, n}), true
	}
	for _, d := range r.dead(view) {
		c.moved += r.move(d, r.find(self.ID, self.Incarnation), adopted-c.moved)
	}
	changed = s.clear(r, view) || changed || c.moved > 0
	own := r.find(self.ID, self.Incarnation)
	if keep := max(own.Part-own.Excess, used); own.Excess > 0 && keep < own.Part {
		own.Excess -= own.Part - keep
		own.Part = keep
		changed = true
	}
	pool := limit - r.sum() - (own.Part - r.find(self.ID, self.Incarnation).Part)
	if want > 0 {
		// At least half of an equal share of the pool and at most a whole one: a new team on all members needs few
		// writes, and the first members leave room to the others.
		share := pool / max(1, len(view.Members))
		want = min(max(want, share/2), max(missing, share))
	}
	if c.taken = max(0, min(want-c.moved, pool)); c.taken > 0 {
		own.Part += c.taken
		changed = true
	}
	r.set(own)
	return changed
}

// clear returns the parts of dead members to the pool once none of them runs a task. It waits for all of them,
// because an adopted task may have been covered by the part of another dead member than its own.
func (s *Split) clear(r *record, view member.View) bool {
	dead := r.dead(view)
	for _, d := range dead {
		if !s.config.Cleared(d.Member, d.Incarnation) {
			return false
		}
	}
	for _, d := range dead {
		r.set(share{Member: d.Member, Incarnation: d.Incarnation})
	}
	return len(dead) > 0
}

// request asks the members with the largest parts, in turn over several attempts, and reads the record when one gave
// something or may have.
func (s *Split) request(ctx context.Context, t *team, self member.Member, view member.View, parts []share) bool {
	holders := slices.DeleteFunc(slices.Clone(parts), func(p share) bool {
		m, ok := view.Find(p.Member)
		return !ok || m.Incarnation != p.Incarnation || m.ID == self.ID || m.State == member.Unreachable || p.Part == 0
	})
	slices.SortFunc(holders, func(a, b share) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Member, b.Member))
	})
	for range min(asksPerAttempt, len(holders)) {
		if !s.asks.AllowN(s.config.Now(), 1) {
			return false
		}
		_, unlock := s.locked(t.id)
		limit, _ := s.config.Limit(t.id)
		want := t.want(limit)
		unlock()
		reply, err := s.ask(ctx, t, holders[t.asked%len(holders)].Member, self, view, want)
		if err == nil && reply.Given == 0 {
			t.asked++
			continue
		}
		if err != nil {
			s.config.Log.V(1).Info("request for a part failed", "team", t.id, "error", err.Error())
		}
		return s.refresh(ctx, t, self)
	}
	return false
}

func (s *Split) ask(ctx context.Context, t *team, to ident.MemberID, self member.Member, view member.View, want int) (wire.LimitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sender := wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: view.Epoch}
	return s.config.Ask(ctx, to, wire.LimitRequest{Sender: sender, Team: t.id, Want: want})
}

// refresh reads the record and reports whether the own part grew.
func (s *Split) refresh(ctx context.Context, t *team, self member.Member) bool {
	select {
	case t.writer <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-t.writer }()
	before := s.own(t)
	t.known = false
	if err := s.load(ctx, t, self, s.generation(t)); err != nil {
		s.report(t, err)
		return false
	}
	return s.own(t) > before
}

// own is the recorded part that allows starts.
func (s *Split) own(t *team) int {
	_, unlock := s.locked(t.id)
	defer unlock()
	return t.share.Part - t.share.Excess
}

func (s *Split) stillWants(t *team) bool {
	limit, ok := s.config.Limit(t.id)
	_, unlock := s.locked(t.id)
	defer unlock()
	if ok && t.adopted > 0 && t.free(limit) >= 0 {
		t.adopted = 0 // covered by other parts; what the dead members reserve is left to them
	}
	return ok && t.wants(limit)
}

// report logs what an operator should know; conflicts and the budget are part of normal work.
func (s *Split) report(t *team, err error) {
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, errBudget) {
		s.config.Log.Info("part of a limit could not be changed", "team", t.id, "error", err.Error())
	}
}
