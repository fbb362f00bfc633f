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

// HandleRequest gives up an unused part. The own use is lowered first, then one compare-and-swap moves the part to
// the sender. When its outcome is unknown, the part counts as given until the record has been read.
func (s *Split) HandleRequest(ctx context.Context, r wire.LimitRequest) (wire.LimitReply, error) {
	view, self := s.config.View(), s.config.Self()
	if !view.HasIncarnation(r.Member, r.Incarnation) || !view.HasIncarnation(self.ID, self.Incarnation) || r.Member == self.ID {
		return wire.LimitReply{}, fmt.Errorf("limit request of %s: %w", r.Member, errNotMember)
	}
	limit, ok := s.config.Limit(r.Team)
	if !ok || r.Want <= 0 || s.paused(s.config.Now()) {
		return wire.LimitReply{}, nil
	}
	t, unlock := s.locked(r.Team)
	spare, unread := t.spare(limit, s.config.Now()), t.share.Part == 0
	unlock()
	if spare == 0 && !unread {
		return wire.LimitReply{}, nil
	}
	select {
	case t.writer <- struct{}{}:
		defer func() { <-t.writer }()
	case <-ctx.Done():
		return wire.LimitReply{}, fmt.Errorf("limit request: %w", ctx.Err())
	}
	if unread { // another member may have written the floor
		t.known = false
		if err := s.load(ctx, t, self, s.generation(t)); err != nil {
			s.report(t, err)
			return wire.LimitReply{}, nil
		}
	}
	_, unlock = s.locked(r.Team)
	t.giving = min(r.Want, t.spare(limit, s.config.Now()))
	giving := t.giving
	unlock()
	if giving == 0 {
		return wire.LimitReply{}, nil
	}
	c, err := s.write(ctx, t, self, func(next *record, c *change) bool {
		own, taker := next.find(self.ID, self.Incarnation), next.find(r.Member, r.Incarnation)
		_, unlock := s.locked(t.id)
		c.given = max(0, min(giving, own.Part-own.Excess-t.promised()-t.used))
		if t.demand.missed > 0 {
			c.given = balanced(c.given, own.Part, taker.Part)
		}
		unlock()
		return next.move(own, taker, c.given) > 0
	})
	_, unlock = s.locked(r.Team)
	t.giving = 0
	if c.given > 0 {
		t.demand.gave = s.config.Now()
	}
	unlock()
	switch {
	case err == nil:
		return wire.LimitReply{Given: c.given}, nil
	case errors.Is(err, errBudget), errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrConflict):
		return wire.LimitReply{}, nil
	}
	return wire.LimitReply{}, fmt.Errorf("give part of %s: %w", r.Team, err)
}

// Calls counts the calls of the store since the start.
type Calls struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Conflicts uint64 `json:"conflicts"`
	Unknown   uint64 `json:"unknown"`
	Errors    uint64 `json:"errors"`
}

// Calls returns the counters of store calls.
func (s *Split) Calls() Calls {
	return Calls{
		Reads: s.storeReads.Load(), Writes: s.storeWrites.Load(), Conflicts: s.storeConflicts.Load(),
		Unknown: s.storeUnknown.Load(), Errors: s.storeErrors.Load(),
	}
}

// teamDump is a team's entry in the state dump.
type teamDump struct {
	Team      ident.TeamID `json:"team"`
	Limit     int          `json:"limit"`
	Part      int          `json:"part"`
	Excess    int          `json:"excess,omitempty"`
	Usable    int          `json:"usable"`
	Used      int          `json:"used"`
	Adopted   int          `json:"adopted,omitempty"`
	Given     int          `json:"given-unsettled,omitempty"`
	Handovers int          `json:"handovers,omitempty"`
	Rate      float64      `json:"starts-per-second"`
	Missed    int          `json:"missed,omitempty"`
}

// Dump returns the state of all teams and the counters as JSON.
func (s *Split) Dump() json.RawMessage {
	ids := slices.Clone(s.config.Teams())
	for i := range s.shards {
		sh := &s.shards[i]
		sh.lock.Lock()
		for id := range sh.teams {
			ids = append(ids, id)
		}
		sh.lock.Unlock()
	}
	slices.Sort(ids)
	teams := []teamDump{}
	for _, id := range slices.Compact(ids) {
		limit, _ := s.config.Limit(id)
		t, unlock := s.locked(id)
		teams = append(teams, teamDump{
			Team: id, Limit: limit, Part: t.share.Part, Excess: t.share.Excess, Usable: t.usable(limit), Used: t.used,
			Adopted: t.adopted, Given: t.giving + t.lowered, Handovers: t.promised(), Rate: t.demand.rate, Missed: t.demand.missed,
		})
		unlock()
	}
	raw, err := json.Marshal(struct {
		Calls Calls      `json:"store-calls"`
		Teams []teamDump `json:"teams"`
	}{s.Calls(), teams})
	if err != nil {
		return json.RawMessage(`{}`)
	}
	return raw
}
