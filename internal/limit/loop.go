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
	// maxParallelTeams bounds the teams that are processed at once, so that a slow peer or call of one team doesn't
	// delay the others.
	maxParallelTeams = 8
	// peersPerAttempt bounds the members that get a request in one attempt. Those with the largest allocations come
	// first.
	peersPerAttempt = 3
	// peerRequestTimeout bounds one request to a member. It covers the store call of that member.
	peerRequestTimeout = time.Second
)

// Run requests, returns and transfers allocations until ctx ends.
func (a *Allocator) Run(ctx context.Context) error {
	ticker := time.NewTicker(a.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.wake:
		}
		a.tick(ctx)
	}
}

// tick makes one attempt for every team that is due.
func (a *Allocator) tick(ctx context.Context) {
	now := a.config.Now()
	a.resizeBudget(now)
	view, self := a.config.View(), a.config.Self()
	if a.storePaused(now) || !view.HasIncarnation(self.ID, self.Incarnation) {
		return
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelTeams)
	var first, later []*team
	for _, id := range a.config.Teams() {
		_, unlock := a.lockTeam(id) // creates the state of teams without tasks, which get a floor too
		unlock()
	}
	for i := range a.shards {
		missed, due := a.due(&a.shards[i], now, view)
		first, later = append(first, missed...), append(later, due...)
	}
	// Teams with waiting tasks use the call budget before those that only prepare for expected starts. The order
	// changes with time.
	for _, t := range append(rotate(first, now), later...) {
		group.Go(func() error {
			a.attempt(ctx, t, self, view)
			return nil
		})
	}
	_ = group.Wait() // attempts return no errors
}

// storePaused reports whether store calls are paused because the store was unavailable a moment ago. Allocations
// don't change during the pause.
func (a *Allocator) storePaused(now time.Time) bool { return now.UnixNano() < a.storeResumeAt.Load() }

// rotate sorts the teams by ID and returns them from a starting point that changes every second.
func rotate(teams []*team, now time.Time) []*team {
	if len(teams) == 0 {
		return nil
	}
	slices.SortFunc(teams, func(a, b *team) int { return cmp.Compare(a.id, b.id) })
	i := int(uint64(now.Unix()) * 7 % uint64(len(teams)))
	return append(slices.Clone(teams[i:]), teams[:i]...)
}

// due returns the teams of a shard with tasks that didn't fit, and separately the other teams that need a write or a
// larger allocation.
func (a *Allocator) due(sh *shard, now time.Time, view member.View) (missed, due []*team) {
	sh.lock.Lock()
	defer sh.lock.Unlock()
	for _, t := range sh.teams {
		limit, ok := a.config.Limit(t.id)
		if now.Sub(t.demand.lastMiss) > missTTL {
			t.demand.missed = 0
		}
		t.demand.rollWindow(now)
		switch {
		case !ok || now.Before(t.demand.nextAttempt):
		case t.free(limit) < max(0, t.demand.missed):
			missed = append(missed, t)
		case t.needsMore(limit) || t.needsWrite(limit) || a.floorDue(t, limit, now, view):
			due = append(due, t)
		}
	}
	return missed, due
}

// needsWrite reports whether the record must change for another reason than the need for a larger allocation.
func (t *team) needsWrite(limit int) bool {
	return len(t.handovers) > 0 || t.givenUncertain > 0 || t.adopted > 0 || t.limit > limit || t.canReleaseExcess()
}

// canReleaseExcess reports whether tasks have ended that were running above a lowered limit.
func (t *team) canReleaseExcess() bool {
	return t.allocation.Excess > 0 && t.allocation.Size > max(t.allocation.Size-t.allocation.Excess, t.used)
}

// attempt makes one attempt for a team: one write with all changes that this member can make alone, then requests to
// peers.
func (a *Allocator) attempt(ctx context.Context, t *team, self member.Member, view member.View) {
	select {
	case t.writeLock <- struct{}{}:
	default:
		return // a request of a peer is being handled
	}
	t.cacheValid = false // peers may have written the record since
	limit, _ := a.config.Limit(t.id)
	_, unlock := a.lockTeam(t.id)
	floor := a.floorDue(t, limit, a.config.Now(), view)
	unlock()
	before := a.startable(t)
	c, err := a.write(ctx, t, self, func(r *record, c *change) bool {
		changed := a.editRecord(t, self, view, r, c)
		return floor && grantFloors(r, t.id, view) || changed
	})
	allocations := t.cached.Allocations
	<-t.writeLock
	outcome := satisfied
	switch {
	case a.startable(t) > before || c.adopted+len(c.handovers) > 0:
		outcome = increased
	case err != nil:
		outcome = postponed
		a.logFailure(t, err)
	case a.stillNeedsMore(t):
		outcome = unmet
	}
	if err == nil && a.stillNeedsMore(t) && a.requestFromPeers(ctx, t, self, view, allocations) {
		outcome = increased
	}
	_, unlock = a.lockTeam(t.id)
	if floor {
		a.scheduleFloor(t, err)
	}
	if !floor || outcome != satisfied { // an attempt for the floor alone doesn't delay the next one for waiting tasks
		t.demand.schedule(outcome, a.config.Now(), a.config.Interval)
	}
	unlock()
	if outcome == increased {
		a.config.OnIncrease(t.id)
	}
}

// editRecord applies this member's changes to the record: pending handovers, the allocations of adopted tasks, the
// allocations of dead members whose tasks have all ended, the excess over a lowered limit, and an increase from the
// unallocated pool.
func (a *Allocator) editRecord(t *team, self member.Member, view member.View, r *record, c *change) bool {
	limit := r.Limit
	_, unlock := a.lockTeam(t.id)
	handovers, adopted, used := slices.Clone(t.handovers), t.adopted, t.used
	want, missing := 0, max(1, t.demand.missed)-t.free(limit)
	if t.needsMore(limit) {
		want = t.requestSize(limit)
	}
	unlock()
	recorded := t.cached.find(self.ID, self.Incarnation)
	changed := r.find(self.ID, self.Incarnation) != recorded
	for _, h := range handovers {
		n := r.move(r.find(self.ID, self.Incarnation), r.find(h.to.ID, h.to.Incarnation), h.n)
		if n == 0 {
			break
		}
		c.handovers, changed = append(c.handovers, handover{h.to, n}), true
	}
	for _, d := range r.dead(view) {
		c.adopted += r.move(d, r.find(self.ID, self.Incarnation), adopted-c.adopted)
	}
	changed = a.reclaimDead(r, view) || changed || c.adopted > 0
	own := r.find(self.ID, self.Incarnation)
	if remaining := max(own.Size-own.Excess, used); own.Excess > 0 && remaining < own.Size {
		own.Excess -= own.Size - remaining
		own.Size = remaining
		changed = true
	}
	pool := limit - r.total() - (own.Size - r.find(self.ID, self.Incarnation).Size)
	if want > 0 {
		// Take at least half of an equal share of the pool and at most a whole one: a new team on all members then
		// needs few writes, and the first members leave some of the pool to the others.
		share := pool / max(1, len(view.Members))
		want = min(max(want, share/2), max(missing, share))
	}
	if c.fromPool = max(0, min(want-c.adopted, pool)); c.fromPool > 0 {
		own.Size += c.fromPool
		changed = true
	}
	r.set(own)
	return changed
}

// reclaimDead returns the allocations of dead members to the pool once the tasks of all dead members have ended. It
// waits for all of them, because the allocation of one dead member may cover an adopted task of another one.
func (a *Allocator) reclaimDead(r *record, view member.View) bool {
	dead := r.dead(view)
	for _, d := range dead {
		if !a.config.TasksEnded(d.Member, d.Incarnation) {
			return false
		}
	}
	for _, d := range dead {
		r.set(allocation{Member: d.Member, Incarnation: d.Incarnation})
	}
	return len(dead) > 0
}

// requestFromPeers sends requests to the members with the largest allocations, rotating over several attempts. It
// reads the record after a member gave something or may have, and reports whether this member's allocation grew.
func (a *Allocator) requestFromPeers(ctx context.Context, t *team, self member.Member, view member.View, allocations []allocation) bool {
	holders := slices.DeleteFunc(slices.Clone(allocations), func(p allocation) bool {
		m, ok := view.Find(p.Member)
		return !ok || m.Incarnation != p.Incarnation || m.ID == self.ID || m.State == member.Unreachable || p.Size == 0
	})
	slices.SortFunc(holders, func(a, b allocation) int {
		return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Member, b.Member))
	})
	for range min(peersPerAttempt, len(holders)) {
		if !a.peerLimiter.AllowN(a.config.Now(), 1) {
			return false
		}
		_, unlock := a.lockTeam(t.id)
		limit, _ := a.config.Limit(t.id)
		want := t.requestSize(limit)
		unlock()
		reply, err := a.sendRequest(ctx, t, holders[t.nextPeer%len(holders)].Member, self, view, want)
		if err == nil && reply.Released == 0 {
			t.nextPeer++
			continue
		}
		if err != nil {
			a.config.Log.V(1).Info("request for allocation from a peer failed", "team", t.id, "error", err.Error())
		}
		return a.refresh(ctx, t, self)
	}
	return false
}

func (a *Allocator) sendRequest(
	ctx context.Context, t *team, to ident.MemberID, self member.Member, view member.View, want int,
) (wire.LimitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	sender := wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: view.Epoch}
	return a.config.Request(ctx, to, wire.LimitRequest{Sender: sender, Team: t.id, Amount: want})
}

// refresh reads the record and reports whether this member's allocation grew.
func (a *Allocator) refresh(ctx context.Context, t *team, self member.Member) bool {
	select {
	case t.writeLock <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-t.writeLock }()
	before := a.startable(t)
	t.cacheValid = false
	if err := a.load(ctx, t, self, a.generation(t)); err != nil {
		a.logFailure(t, err)
		return false
	}
	return a.startable(t) > before
}

// startable is the recorded allocation that allows starts.
func (a *Allocator) startable(t *team) int {
	_, unlock := a.lockTeam(t.id)
	defer unlock()
	return t.allocation.Size - t.allocation.Excess
}

func (a *Allocator) stillNeedsMore(t *team) bool {
	limit, ok := a.config.Limit(t.id)
	_, unlock := a.lockTeam(t.id)
	defer unlock()
	if ok && t.adopted > 0 && t.free(limit) >= 0 {
		t.adopted = 0 // other allocations cover these tasks, so the allocations of dead members stay as they are
	}
	return ok && t.needsMore(limit)
}

// logFailure logs errors that matter to an operator. Conflicts and an exhausted budget are part of normal operation.
func (a *Allocator) logFailure(t *team, err error) {
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, errBudgetExhausted) {
		a.config.Log.Info("failed to change the allocation of a team's limit", "team", t.id, "error", err.Error())
	}
}
