package member

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

var (
	sfax  = []ident.MemberID{"sfax-1", "sfax-2", "sfax-3"}
	tunis = []ident.MemberID{"tunis-1", "tunis-2", "tunis-3"}
	both  = append(slices.Clone(sfax), tunis...)
)

func with(all map[ident.MemberID]State, state State, ids ...ident.MemberID) map[ident.MemberID]State {
	all = maps.Clone(all)
	for _, id := range ids {
		all[id] = state
	}
	return all
}

// failures are run in stepped cells with the members of both regions; the store is in region sfax.
var failures = map[string]func(c *cell){
	"a dead member is removed once": func(c *cell) {
		before := c.node("sfax-2").View().Epoch
		c.set(kill, "sfax-3")
		c.steps(manySteps)
		c.want("after the death", active("sfax-1", "sfax-2", "tunis-1", "tunis-2", "tunis-3"))
		if after := c.node("sfax-2").View().Epoch; after != before+1 {
			c.t.Fatalf("epoch %d after %d: racing evaluators changed the record twice", after, before)
		}
	},
	"the evaluator dies": func(c *cell) {
		c.set(kill, "sfax-1") // the lowest id
		c.steps(manySteps)
		c.want("after the death", active("sfax-2", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
	},
	"a member without lease that answers probes stays": func(c *cell) {
		c.server.CutOff("tunis") // the store refuses the region, but the members reach each other
		c.steps(manySteps)
		c.want("without leases", active(both...))
	},
	"a long store outage removes nobody": func(c *cell) {
		c.server.SetDown(true)
		c.steps(manySteps) // every lease lapses
		c.server.SetDown(false)
		before := c.node("sfax-1").View().Epoch
		c.steps(manySteps)
		c.want("after the outage", active(both...))
		if after := c.node("sfax-1").View().Epoch; after != before {
			c.t.Fatalf("epoch %d after %d", after, before)
		}
	},
	"a member dies during a store outage": func(c *cell) {
		c.server.SetDown(true)
		c.set(kill, "sfax-1")
		c.steps(manySteps)
		c.want("during the outage", active(both...))
		c.server.SetDown(false)
		c.steps(ttlSteps) // the store has been healthy for less than one period
		c.want("one period after the outage", active(both...))
		c.steps(manySteps)
		c.want("at the end", active("sfax-2", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
	},
	"the store fails again before a period has passed": func(c *cell) {
		c.set(kill, "sfax-1")
		for range manySteps / ttlSteps {
			c.server.SetDown(true)
			c.steps(1)
			c.server.SetDown(false)
			c.steps(ttlSteps - 1)
		}
		c.want("with a failing store", active(both...))
	},
	"a paused member finds itself removed and rejoins": func(c *cell) {
		before := c.node("sfax-2").Self().Incarnation
		c.set(pause, "sfax-2")
		c.steps(manySteps)
		c.want("during the pause", active("sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
		c.set(resume, "sfax-2")
		c.steps(3)
		c.wantRemoved("sfax-2", 1)
		c.want("after the pause", active(both...))
		if after := c.node("sfax-2").Self().Incarnation; after <= before || !c.node("sfax-2").Joined() {
			c.t.Fatalf("incarnation %d after %d", after, before)
		}
	},
	"an evaluator that was paused removes nobody by old knowledge": func(c *cell) {
		c.set(pause, both...)
		c.steps(manySteps) // every lease lapses
		c.set(resume, "sfax-1")
		c.steps(ttlSteps)
		c.want("one period after the pause of one member", active(both...))
		c.set(resume, both...)
		c.steps(manySteps)
		c.want("at the end", active(both...))
		for _, id := range both {
			c.wantRemoved(id, 0)
		}
	},
	"a region that vanishes is unreachable and comes back": func(c *cell) {
		c.cutOff(true)
		c.steps(manySteps)
		c.want("without the link", with(active(both...), Unreachable, tunis...))
		c.cutOff(false)
		c.steps(manySteps)
		c.want("with the link", active(both...))
		for _, id := range both {
			c.wantRemoved(id, 0)
		}
	},
	"a region comes back by probes while the store refuses it": func(c *cell) {
		c.cutOff(true)
		c.steps(manySteps)
		c.cutOff(false)
		c.server.CutOff("tunis")
		c.steps(manySteps)
		c.want("with probes only", active(both...))
	},
	"a member dies while its region is unreachable": func(c *cell) {
		c.cutOff(true)
		c.steps(manySteps)
		c.set(kill, "tunis-2")
		c.steps(manySteps)
		c.want("without the link", with(active(both...), Unreachable, tunis...))
		c.cutOff(false)
		c.steps(manySteps)
		c.want("with the link", active("sfax-1", "sfax-2", "sfax-3", "tunis-1", "tunis-3"))
	},
	"one member of another region dies": func(c *cell) {
		c.set(kill, "tunis-2")
		c.steps(manySteps)
		c.want("after the death", active("sfax-1", "sfax-2", "sfax-3", "tunis-1", "tunis-3"))
	},
	"the leases of a region that is cut off lapse one after another": func(c *cell) {
		c.set(pause, "tunis-1")
		c.steps(ttlSteps - 1) // its lease lapses at the next steps, those of its neighbours a period later
		c.set(resume, "tunis-1")
		c.cutOff(true)
		c.steps(manySteps)
		c.want("without the link", with(active(both...), Unreachable, tunis...))
	},
	"the link fails during a store outage": func(c *cell) {
		c.server.SetDown(true)
		c.steps(ttlSteps)
		c.cutOff(true)
		c.steps(manySteps)
		c.want("both down", active(both...))
		c.server.SetDown(false)
		c.steps(manySteps)
		c.want("store up", with(active(both...), Unreachable, tunis...))
		c.cutOff(false)
		c.steps(manySteps)
		c.want("at the end", active(both...))
	},
	"an evaluator that was paused for less than its lease waits as well": func(c *cell) {
		c.set(kill, "sfax-2")
		c.set(pause, "sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3")
		c.steps(ttlSteps - 2) // the others renew just in time, and the lease of the dead one lapses after the pause
		c.set(resume, both...)
		c.steps(ttlSteps - 1)
		c.want("less than a period after the pause", active(both...))
		c.steps(manySteps)
		c.want("at the end", active("sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
	},
	"all processes are paused while one probes": func(c *cell) {
		c.set(pause, "sfax-2")
		c.steps(ttlSteps - 1)
		c.hook = func() error {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.clock = c.clock.Add(testTTL - testInterval)
			return context.DeadlineExceeded
		}
		c.steps(1) // the lease of sfax-2 lapses and its probe meets the pause
		if c.hook != nil {
			c.t.Fatal("nobody probed")
		}
		c.set(resume, "sfax-2")
		c.steps(manySteps)
		c.want("at the end", active(both...))
		c.wantRemoved("sfax-2", 0)
	},
	"a lease returns while its member is probed": func(c *cell) {
		c.set(pause, "sfax-2")
		c.steps(ttlSteps - 1)
		c.hook = func() error { return errors.Join(c.node("sfax-2").maintain(c.t.Context()), errors.New("no answer")) }
		c.steps(1)
		c.set(resume, "sfax-2")
		c.steps(manySteps)
		c.want("at the end", active(both...))
		c.wantRemoved("sfax-2", 0)
	},
	"the record is deleted": func(c *cell) {
		item, err := c.server.Store().Get(c.t.Context(), KeyMembers)
		if err := errors.Join(err, c.server.Store().Delete(c.t.Context(), KeyMembers, item.Revision)); err != nil {
			c.t.Fatal(err)
		}
		c.steps(manySteps)
		c.want("without a record", active(both...))
	},
	"the store loses every lease without failing a call": func(c *cell) {
		for _, n := range c.nodes {
			if err := n.store.revoke(c.t.Context(), n.presence.lease); err != nil {
				c.t.Fatal(err)
			}
		}
		c.set(pause, "sfax-2")
		c.steps(ttlSteps - 1)
		c.set(resume, "sfax-2")
		c.steps(manySteps)
		c.want("at the end", active(both...))
		c.wantRemoved("sfax-2", 0)
	},
	"a presence key that was deleted is written again": func(c *cell) {
		key := PrefixAlive + "sfax-2"
		item, err := c.server.Store().Get(c.t.Context(), key)
		if err := errors.Join(err, c.server.Store().Delete(c.t.Context(), key, item.Revision)); err != nil {
			c.t.Fatal(err)
		}
		c.steps(3)
		if _, err := c.server.Store().Get(c.t.Context(), key); err != nil {
			c.t.Fatal(err)
		}
	},
	"the reply of a removal is lost": func(c *cell) {
		before := c.node("sfax-1").View().Epoch
		c.lose = KeyMembers
		c.set(kill, "sfax-2")
		c.steps(manySteps)
		c.want("after the death", active("sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
		n := c.node("sfax-1")
		if n.View().Epoch != before+1 || n.counters.settled.Load() != 1 || n.counters.removals.Load() != 1 {
			c.t.Fatalf("epoch %d after %d, dump %+v", n.View().Epoch, before, n.Dump())
		}
	},
	"the reply of a join is lost": func(c *cell) {
		before := c.node("sfax-1").View().Epoch
		for i, key := range []string{KeyMembers, PrefixAlive + "sfax-5"} {
			id := ident.MemberID(fmt.Sprintf("sfax-%d", 4+i))
			c.lose = key
			c.start(id)
			if n := c.node(id); n.counters.settled.Load() != 1 || !n.Joined() {
				c.t.Fatalf("dump %+v", n.Dump())
			}
		}
		c.want("after the joins", active(append(slices.Clone(both), "sfax-4", "sfax-5")...))
		if after := c.node("sfax-1").View().Epoch; after != before+2 {
			c.t.Fatalf("epoch %d after %d", after, before)
		}
	},
	"an old record is not taken over": func(c *cell) {
		n := c.node("sfax-1")
		before := n.View().Epoch
		n.adopt(record{Epoch: before - 1}, 1)
		if n.View().Epoch != before || !n.Joined() {
			c.t.Fatalf("epoch %d after %d", n.View().Epoch, before)
		}
	},
	"the others of the own region die at once": func(c *cell) {
		c.set(kill, "sfax-2", "sfax-3")
		c.steps(manySteps)
		c.want("after the deaths", active("sfax-1", "tunis-1", "tunis-2", "tunis-3"))
	},
	"a region comes back by leases while its probes fail": func(c *cell) {
		c.cutOff(true)
		c.steps(manySteps)
		c.server.CutOff()
		c.steps(manySteps)
		c.want("with leases only", active(both...))
	},
	"a member of a region that comes back answers late": func(c *cell) {
		for offset := range ttlSteps { // the evaluations fall on different steps of the pause
			c.cutOff(true)
			c.steps(manySteps + offset)
			c.set(pause, "tunis-2")
			c.cutOff(false)
			c.steps(ttlSteps - 1)
			c.set(resume, "tunis-2")
			c.steps(manySteps)
			c.want("with the link", active(both...))
			c.wantRemoved("tunis-2", 0)
		}
	},
	"a restarted process replaces its old incarnation": func(c *cell) {
		old := c.node("sfax-2")
		c.add(c.now, "sfax-2")
		c.steps(ttlSteps)
		c.want("after the restart", active(both...))
		if now := c.node("sfax-2").Self().Incarnation; now <= old.Self().Incarnation {
			c.t.Fatalf("incarnation %d after %d", now, old.Self().Incarnation)
		}
		old.round(c.t) // the old process was only paused
		old.round(c.t)
		if old.removed != 1 || !errors.Is(old.err, ErrReplaced) {
			c.t.Fatalf("old process: %d calls of OnRemoved, error %v", old.removed, old.err)
		}
		c.steps(manySteps)
		c.want("at the end", active(both...))
		c.wantRemoved("sfax-2", 0)
	},
	"a drain during an outage is carried out afterwards": func(c *cell) {
		c.server.SetDown(true)
		if err := c.node("sfax-2").Drain(c.t.Context()); err == nil {
			c.t.Fatal("drained without a store")
		}
		c.steps(ttlSteps)
		c.server.SetDown(false)
		c.steps(ttlSteps)
		c.want("after the outage", with(active(both...), Draining, "sfax-2"))
		if err := c.node("sfax-2").Leave(c.t.Context()); err != nil {
			c.t.Fatal(err)
		}
		c.set(kill, "sfax-2")
		c.steps(2)
		c.want("after leaving", active("sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
		c.wantRemoved("sfax-2", 0)
	},
}

// TestFailures guards against the removal of a live member, and against a dead member that stays.
func TestFailures(t *testing.T) {
	for name, run := range failures {
		for _, via := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/indirect-probes=%v", name, via), func(t *testing.T) {
				t.Parallel()
				c := newCell(t)
				c.via = via
				c.start(both...)
				c.want("at the start", active(both...))
				run(c)
			})
		}
	}
}
