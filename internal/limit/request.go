package limit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// HandleRequest gives unused allocation to the sender. It first lowers what may be started here, then moves the
// amount to the sender by one compare-and-swap. If the outcome of the write is unknown, the amount counts as given
// until the record has been read.
func (a *Allocator) HandleRequest(ctx context.Context, r wire.LimitRequest) (wire.LimitReply, error) {
	view, self := a.config.View(), a.config.Self()
	if !view.HasIncarnation(r.Member, r.Incarnation) || !view.HasIncarnation(self.ID, self.Incarnation) || r.Member == self.ID {
		return wire.LimitReply{}, fmt.Errorf("limit request of member %s: %w", r.Member, errNotMember)
	}
	limit, ok := a.config.Limit(r.Team)
	if !ok || r.Amount <= 0 || a.storePaused(a.config.Now()) {
		return wire.LimitReply{}, nil
	}
	t, unlock := a.lockTeam(r.Team)
	spare, mayBeStale := t.spare(limit, a.config.Now()), t.allocation.Size == 0
	unlock()
	if spare == 0 && !mayBeStale {
		return wire.LimitReply{}, nil
	}
	select {
	case t.writeLock <- struct{}{}:
		defer func() { <-t.writeLock }()
	case <-ctx.Done():
		return wire.LimitReply{}, fmt.Errorf("wait for the write lock of a limit record: %w", ctx.Err())
	}
	if mayBeStale { // another member may have written this member's floor
		t.cacheValid = false
		if err := a.load(ctx, t, self, a.generation(t)); err != nil {
			a.logFailure(t, err)
			return wire.LimitReply{}, nil
		}
	}
	_, unlock = a.lockTeam(r.Team)
	t.givenInFlight = min(r.Amount, t.spare(limit, a.config.Now()))
	giving := t.givenInFlight
	unlock()
	if giving == 0 {
		return wire.LimitReply{}, nil
	}
	c, err := a.write(ctx, t, self, func(next *record, c *change) bool {
		own, taker := next.find(self.ID, self.Incarnation), next.find(r.Member, r.Incarnation)
		_, unlock := a.lockTeam(t.id)
		c.given = max(0, min(giving, own.Size-own.Excess-t.pendingHandover()-t.used))
		if t.demand.missed > 0 {
			c.given = capToBalance(c.given, own.Size, taker.Size)
		}
		unlock()
		return next.move(own, taker, c.given) > 0
	})
	_, unlock = a.lockTeam(r.Team)
	t.givenInFlight = 0
	if c.given > 0 {
		t.demand.lastGiven = a.config.Now()
	}
	unlock()
	switch {
	case err == nil:
		return wire.LimitReply{Released: c.given}, nil
	case errors.Is(err, errBudgetExhausted), errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrConflict):
		return wire.LimitReply{}, nil
	}
	return wire.LimitReply{}, fmt.Errorf("give allocation of team %s: %w", r.Team, err)
}

// Calls counts the store calls since the start of the process.
type Calls struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Conflicts uint64 `json:"conflicts"`
	Unknown   uint64 `json:"unknown"`
	Errors    uint64 `json:"errors"`
}

// Calls returns the counters of store calls.
func (a *Allocator) Calls() Calls {
	return Calls{
		Reads: a.storeReads.Load(), Writes: a.storeWrites.Load(), Conflicts: a.storeConflicts.Load(),
		Unknown: a.storeUnknown.Load(), Errors: a.storeErrors.Load(),
	}
}

// teamDump is the entry of one team in the state dump.
type teamDump struct {
	Team       ident.TeamID `json:"team"`
	Limit      int          `json:"limit"`
	Allocation int          `json:"part"`
	Excess     int          `json:"excess,omitempty"`
	Usable     int          `json:"usable"`
	Used       int          `json:"used"`
	Adopted    int          `json:"adopted,omitempty"`
	Given      int          `json:"given-unsettled,omitempty"`
	Handovers  int          `json:"handovers,omitempty"`
	Rate       float64      `json:"starts-per-second"`
	Missed     int          `json:"missed,omitempty"`
}

// Dump returns the call counters and the state of all teams as JSON.
func (a *Allocator) Dump() json.RawMessage {
	ids := slices.Clone(a.config.Teams())
	for i := range a.shards {
		sh := &a.shards[i]
		sh.lock.Lock()
		for id := range sh.teams {
			ids = append(ids, id)
		}
		sh.lock.Unlock()
	}
	slices.Sort(ids)
	teams := []teamDump{}
	for _, id := range slices.Compact(ids) {
		limit, _ := a.config.Limit(id)
		t, unlock := a.lockTeam(id)
		teams = append(teams, teamDump{
			Team: id, Limit: limit, Allocation: t.allocation.Size, Excess: t.allocation.Excess, Usable: t.usable(limit), Used: t.used,
			Adopted: t.adopted, Given: t.givenInFlight + t.givenUncertain, Handovers: t.pendingHandover(),
			Rate: t.demand.rate, Missed: t.demand.missed,
		})
		unlock()
	}
	raw, err := json.Marshal(struct {
		Calls Calls      `json:"store-calls"`
		Teams []teamDump `json:"teams"`
	}{a.Calls(), teams})
	if err != nil {
		return json.RawMessage(`{}`)
	}
	return raw
}
