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

func withState(all map[ident.MemberID]State, state State, ids ...ident.MemberID) map[ident.MemberID]State {
	all = maps.Clone(all)
	for _, id := range ids {
		all[id] = state
	}
	return all
}

// steppedCases run in stepped clusters with the members of both regions; the store is in region sfax.
var steppedCases = map[string]func(c *cluster){
	"a dead member is removed once": func(c *cluster) {
		before := c.node("sfax-2").View().Epoch
		c.update(kill, "sfax-3")
		c.runSteps(convergenceSteps)
		c.expectMembers("after the death", allActive("sfax-1", "sfax-2", "tunis-1", "tunis-2", "tunis-3"))
		if after := c.node("sfax-2").View().Epoch; after != before+1 {
			c.t.Fatalf("epoch %d after %d: racing evaluators changed the record twice", after, before)
		}
	},
	"the member that evaluates first dies": func(c *cluster) {
		c.update(kill, "sfax-1") // the lowest id
		c.runSteps(convergenceSteps)
		c.expectMembers("after the death", allActive("sfax-2", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
	},
	"a member without a lease that answers probes is kept": func(c *cluster) {
		c.server.CutOffRegions("tunis") // the store refuses the region, but the members reach each other
		c.runSteps(convergenceSteps)
		c.expectMembers("without leases", allActive(both...))
	},
	"a long store outage removes nobody": func(c *cluster) {
		c.server.SetDown(true)
		c.runSteps(convergenceSteps) // every lease lapses
		c.server.SetDown(false)
		before := c.node("sfax-1").View().Epoch
		c.runSteps(convergenceSteps)
		c.expectMembers("after the outage", allActive(both...))
		if after := c.node("sfax-1").View().Epoch; after != before {
			c.t.Fatalf("epoch %d after %d", after, before)
		}
	},
	"a member dies during a store outage": func(c *cluster) {
		c.server.SetDown(true)
		c.update(kill, "sfax-1")
		c.runSteps(convergenceSteps)
		c.expectMembers("during the outage", allActive(both...))
		c.server.SetDown(false)
		c.runSteps(ttlSteps) // the store has been healthy for less than one period
		c.expectMembers("one period after the outage", allActive(both...))
		c.runSteps(convergenceSteps)
		c.expectMembers("at the end", allActive("sfax-2", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
	},
	"the store fails again in every lease period": func(c *cluster) {
		c.update(kill, "sfax-1")
		for range convergenceSteps / ttlSteps {
			c.server.SetDown(true)
			c.runSteps(1)
			c.server.SetDown(false)
			c.runSteps(ttlSteps - 1)
		}
		c.expectMembers("with a failing store", allActive(both...))
	},
	"a paused member finds itself removed and rejoins": func(c *cluster) {
		before := c.node("sfax-2").Self().Incarnation
		c.update(pause, "sfax-2")
		c.runSteps(convergenceSteps)
		c.expectMembers("during the pause", allActive("sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
		c.update(resume, "sfax-2")
		c.runSteps(3)
		c.expectRemovals("sfax-2", 1)
		c.expectMembers("after the pause", allActive(both...))
		if after := c.node("sfax-2").Self().Incarnation; after <= before || !c.node("sfax-2").Joined() {
			c.t.Fatalf("incarnation %d after %d", after, before)
		}
	},
	"an evaluator that was paused removes nobody because of outdated state": func(c *cluster) {
		c.update(pause, both...)
		c.runSteps(convergenceSteps) // every lease lapses
		c.update(resume, "sfax-1")
		c.runSteps(ttlSteps)
		c.expectMembers("one period after the pause of one member", allActive(both...))
		c.update(resume, both...)
		c.runSteps(convergenceSteps)
		c.expectMembers("at the end", allActive(both...))
		for _, id := range both {
			c.expectRemovals(id, 0)
		}
	},
	"a region is unreachable until its link is restored": func(c *cluster) {
		c.setLinkLost(true)
		c.runSteps(convergenceSteps)
		c.expectMembers("without the link", withState(allActive(both...), Unreachable, tunis...))
		c.setLinkLost(false)
		c.runSteps(convergenceSteps)
		c.expectMembers("with the link", allActive(both...))
		for _, id := range both {
			c.expectRemovals(id, 0)
		}
	},
	"probes restore a region that the store still refuses": func(c *cluster) {
		c.setLinkLost(true)
		c.runSteps(convergenceSteps)
		c.setLinkLost(false)
		c.server.CutOffRegions("tunis")
		c.runSteps(convergenceSteps)
		c.expectMembers("with probes only", allActive(both...))
	},
	"a member dies while its region is unreachable": func(c *cluster) {
		c.setLinkLost(true)
		c.runSteps(convergenceSteps)
		c.update(kill, "tunis-2")
		c.runSteps(convergenceSteps)
		c.expectMembers("without the link", withState(allActive(both...), Unreachable, tunis...))
		c.setLinkLost(false)
		c.runSteps(convergenceSteps)
		c.expectMembers("with the link", allActive("sfax-1", "sfax-2", "sfax-3", "tunis-1", "tunis-3"))
	},
	"one member of another region dies": func(c *cluster) {
		c.update(kill, "tunis-2")
		c.runSteps(convergenceSteps)
		c.expectMembers("after the death", allActive("sfax-1", "sfax-2", "sfax-3", "tunis-1", "tunis-3"))
	},
	"the leases of a region that is cut off lapse one after another": func(c *cluster) {
		c.update(pause, "tunis-1")
		c.runSteps(ttlSteps - 1) // its lease lapses at the next steps, those of the other members of its region a period later
		c.update(resume, "tunis-1")
		c.setLinkLost(true)
		c.runSteps(convergenceSteps)
		c.expectMembers("without the link", withState(allActive(both...), Unreachable, tunis...))
	},
	"the link fails during a store outage": func(c *cluster) {
		c.server.SetDown(true)
		c.runSteps(ttlSteps)
		c.setLinkLost(true)
		c.runSteps(convergenceSteps)
		c.expectMembers("both down", allActive(both...))
		c.server.SetDown(false)
		c.runSteps(convergenceSteps)
		c.expectMembers("store up", withState(allActive(both...), Unreachable, tunis...))
		c.setLinkLost(false)
		c.runSteps(convergenceSteps)
		c.expectMembers("at the end", allActive(both...))
	},
	"an evaluator that was paused for less than its lease waits a period too": func(c *cluster) {
		c.update(kill, "sfax-2")
		c.update(pause, "sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3")
		c.runSteps(ttlSteps - 2) // the others renew just in time, and the lease of the dead one lapses after the pause
		c.update(resume, both...)
		c.runSteps(ttlSteps - 1)
		c.expectMembers("less than a period after the pause", allActive(both...))
		c.runSteps(convergenceSteps)
		c.expectMembers("at the end", allActive("sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
	},
	"all processes are paused during a probe": func(c *cluster) {
		c.update(pause, "sfax-2")
		c.runSteps(ttlSteps - 1)
		c.onNextProbe = func() error {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.clock = c.clock.Add(testTTL - testInterval)
			return context.DeadlineExceeded
		}
		c.runSteps(1) // the lease of sfax-2 lapses, and the pause happens during its probe
		if c.onNextProbe != nil {
			c.t.Fatal("no member was probed")
		}
		c.update(resume, "sfax-2")
		c.runSteps(convergenceSteps)
		c.expectMembers("at the end", allActive(both...))
		c.expectRemovals("sfax-2", 0)
	},
	"a member regains its lease while it is probed": func(c *cluster) {
		c.update(pause, "sfax-2")
		c.runSteps(ttlSteps - 1)
		c.onNextProbe = func() error { return errors.Join(c.node("sfax-2").maintain(c.t.Context()), errors.New("no answer")) }
		c.runSteps(1)
		c.update(resume, "sfax-2")
		c.runSteps(convergenceSteps)
		c.expectMembers("at the end", allActive(both...))
		c.expectRemovals("sfax-2", 0)
	},
	"the record is deleted": func(c *cluster) {
		item, err := c.server.Store().Get(c.t.Context(), KeyMembers)
		if err := errors.Join(err, c.server.Store().Delete(c.t.Context(), KeyMembers, item.Revision)); err != nil {
			c.t.Fatal(err)
		}
		c.runSteps(convergenceSteps)
		c.expectMembers("without a record", allActive(both...))
	},
	"the store loses every lease without failing a call": func(c *cluster) {
		for _, n := range c.nodes {
			if err := n.store.revoke(c.t.Context(), n.presence.lease); err != nil {
				c.t.Fatal(err)
			}
		}
		c.update(pause, "sfax-2")
		c.runSteps(ttlSteps - 1)
		c.update(resume, "sfax-2")
		c.runSteps(convergenceSteps)
		c.expectMembers("at the end", allActive(both...))
		c.expectRemovals("sfax-2", 0)
	},
	"a presence key that was deleted is written again": func(c *cluster) {
		key := PrefixPresence + "sfax-2"
		item, err := c.server.Store().Get(c.t.Context(), key)
		if err := errors.Join(err, c.server.Store().Delete(c.t.Context(), key, item.Revision)); err != nil {
			c.t.Fatal(err)
		}
		c.runSteps(3)
		if _, err := c.server.Store().Get(c.t.Context(), key); err != nil {
			c.t.Fatal(err)
		}
	},
	"the reply of a removal is lost": func(c *cluster) {
		before := c.node("sfax-1").View().Epoch
		c.loseReplyOf = KeyMembers
		c.update(kill, "sfax-2")
		c.runSteps(convergenceSteps)
		c.expectMembers("after the death", allActive("sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
		n := c.node("sfax-1")
		if n.View().Epoch != before+1 || n.counters.resolvedWrites.Load() != 1 || n.counters.removals.Load() != 1 {
			c.t.Fatalf("epoch %d after %d, dump %+v", n.View().Epoch, before, n.Dump())
		}
	},
	"the reply of a join is lost": func(c *cluster) {
		before := c.node("sfax-1").View().Epoch
		for i, key := range []string{KeyMembers, PrefixPresence + "sfax-5"} {
			id := ident.MemberID(fmt.Sprintf("sfax-%d", 4+i))
			c.loseReplyOf = key
			c.joinMembers(id)
			if n := c.node(id); n.counters.resolvedWrites.Load() != 1 || !n.Joined() {
				c.t.Fatalf("dump %+v", n.Dump())
			}
		}
		c.expectMembers("after the joins", allActive(append(slices.Clone(both), "sfax-4", "sfax-5")...))
		if after := c.node("sfax-1").View().Epoch; after != before+2 {
			c.t.Fatalf("epoch %d after %d", after, before)
		}
	},
	"an older record is ignored": func(c *cluster) {
		n := c.node("sfax-1")
		before := n.View().Epoch
		n.installRecord(record{Epoch: before - 1}, 1)
		if n.View().Epoch != before || !n.Joined() {
			c.t.Fatalf("epoch %d after %d", n.View().Epoch, before)
		}
	},
	"all other members of a region die at the same time": func(c *cluster) {
		c.update(kill, "sfax-2", "sfax-3")
		c.runSteps(convergenceSteps)
		c.expectMembers("after the deaths", allActive("sfax-1", "tunis-1", "tunis-2", "tunis-3"))
	},
	"leases restore a region whose probes still fail": func(c *cluster) {
		c.setLinkLost(true)
		c.runSteps(convergenceSteps)
		c.server.CutOffRegions()
		c.runSteps(convergenceSteps)
		c.expectMembers("with leases only", allActive(both...))
	},
	"a member of a restored region answers late": func(c *cluster) {
		for offset := range ttlSteps { // the evaluations fall on different steps of the pause
			c.setLinkLost(true)
			c.runSteps(convergenceSteps + offset)
			c.update(pause, "tunis-2")
			c.setLinkLost(false)
			c.runSteps(ttlSteps - 1)
			c.update(resume, "tunis-2")
			c.runSteps(convergenceSteps)
			c.expectMembers("with the link", allActive(both...))
			c.expectRemovals("tunis-2", 0)
		}
	},
	"a restarted process replaces its old incarnation": func(c *cluster) {
		old := c.node("sfax-2")
		c.startProcesses(c.now, "sfax-2")
		c.runSteps(ttlSteps)
		c.expectMembers("after the restart", allActive(both...))
		if now := c.node("sfax-2").Self().Incarnation; now <= old.Self().Incarnation {
			c.t.Fatalf("incarnation %d after %d", now, old.Self().Incarnation)
		}
		old.runRound(c.t) // the old process was only paused
		old.runRound(c.t)
		if old.removals != 1 || !errors.Is(old.err, ErrReplaced) {
			c.t.Fatalf("old process: %d calls of OnRemoved, error %v", old.removals, old.err)
		}
		c.runSteps(convergenceSteps)
		c.expectMembers("at the end", allActive(both...))
		c.expectRemovals("sfax-2", 0)
	},
	"a drain during an outage is carried out afterwards": func(c *cluster) {
		c.server.SetDown(true)
		if err := c.node("sfax-2").Drain(c.t.Context()); err == nil {
			c.t.Fatal("drained without a store")
		}
		c.runSteps(ttlSteps)
		c.server.SetDown(false)
		c.runSteps(ttlSteps)
		c.expectMembers("after the outage", withState(allActive(both...), Draining, "sfax-2"))
		if err := c.node("sfax-2").Leave(c.t.Context()); err != nil {
			c.t.Fatal(err)
		}
		c.update(kill, "sfax-2")
		c.runSteps(2)
		c.expectMembers("after leaving", allActive("sfax-1", "sfax-3", "tunis-1", "tunis-2", "tunis-3"))
		c.expectRemovals("sfax-2", 0)
	},
}

// TestMemberStoreAndLinkFailures guards against the removal of a live member, and against a dead member that stays in the view.
func TestMemberStoreAndLinkFailures(t *testing.T) {
	for name, run := range steppedCases {
		for _, via := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/indirect-probes=%v", name, via), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t)
				c.indirectProbes = via
				c.joinMembers(both...)
				c.expectMembers("at the start", allActive(both...))
				run(c)
			})
		}
	}
}
