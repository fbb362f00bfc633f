package member

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

var (
	west = []ident.MemberID{"west-1", "west-2", "west-3"}
	east = []ident.MemberID{"east-1", "east-2", "east-3"}
	both = append(slices.Clone(west), east...)
)

func with(all map[ident.MemberID]State, state State, ids ...ident.MemberID) map[ident.MemberID]State {
	all = maps.Clone(all)
	for _, id := range ids {
		all[id] = state
	}
	return all
}

// failures are run in stepped cells with the members of both regions; the store is in region west.
var failures = map[string]func(c *cell){
	"a dead member is removed once": func(c *cell) {
		before := c.node("west-2").View().Epoch
		c.set(kill, "west-1")
		c.steps(manySteps)
		c.want("after the death", active("west-2", "west-3", "east-1", "east-2", "east-3"))
		if after := c.node("west-2").View().Epoch; after != before+1 {
			c.t.Fatalf("epoch %d after %d: racing evaluators changed the record twice", after, before)
		}
	},
	"the evaluator dies": func(c *cell) {
		c.set(kill, "east-1") // the lowest id
		c.steps(manySteps)
		c.want("after the death", active("west-1", "west-2", "west-3", "east-2", "east-3"))
	},
	"a member without lease that answers probes stays": func(c *cell) {
		c.server.CutOff("east") // the store refuses the region, but the members reach each other
		c.steps(manySteps)
		c.want("without leases", active(both...))
	},
	"a long store outage removes nobody": func(c *cell) {
		c.server.SetDown(true)
		c.steps(manySteps) // every lease lapses
		c.server.SetDown(false)
		before := c.node("west-1").View().Epoch
		c.steps(manySteps)
		c.want("after the outage", active(both...))
		if after := c.node("west-1").View().Epoch; after != before {
			c.t.Fatalf("epoch %d after %d", after, before)
		}
	},
	"a member dies during a store outage": func(c *cell) {
		c.server.SetDown(true)
		c.set(kill, "west-1")
		c.steps(manySteps)
		c.want("during the outage", active(both...))
		c.server.SetDown(false)
		c.steps(ttlSteps) // the store has been healthy for less than one period
		c.want("one period after the outage", active(both...))
		c.steps(manySteps)
		c.want("at the end", active("west-2", "west-3", "east-1", "east-2", "east-3"))
	},
	"the store fails again before a period has passed": func(c *cell) {
		c.set(kill, "west-1")
		for range manySteps / ttlSteps {
			c.server.SetDown(true)
			c.steps(1)
			c.server.SetDown(false)
			c.steps(ttlSteps - 1)
		}
		c.want("with a failing store", active(both...))
	},
	"a paused member finds itself removed and rejoins": func(c *cell) {
		before := c.node("west-2").Self().Incarnation
		c.set(pause, "west-2")
		c.steps(manySteps)
		c.want("during the pause", active("west-1", "west-3", "east-1", "east-2", "east-3"))
		c.set(resume, "west-2")
		c.steps(3)
		c.wantRemoved("west-2", 1)
		c.want("after the pause", active(both...))
		if after := c.node("west-2").Self().Incarnation; after <= before || !c.node("west-2").Joined() {
			c.t.Fatalf("incarnation %d after %d", after, before)
		}
	},
	"an evaluator that was paused removes nobody by old knowledge": func(c *cell) {
		c.set(pause, both...)
		c.steps(manySteps) // every lease lapses
		c.set(resume, "east-1")
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
		c.want("without the link", with(active(both...), Unreachable, east...))
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
		c.server.CutOff("east")
		c.steps(manySteps)
		c.want("with probes only", active(both...))
	},
	"a member dies while its region is unreachable": func(c *cell) {
		c.cutOff(true)
		c.steps(manySteps)
		c.set(kill, "east-2")
		c.steps(manySteps)
		c.want("without the link", with(active(both...), Unreachable, east...))
		c.cutOff(false)
		c.steps(manySteps)
		c.want("with the link", active("west-1", "west-2", "west-3", "east-1", "east-3"))
	},
	"one member of another region dies": func(c *cell) {
		c.set(kill, "west-2")
		c.steps(manySteps)
		c.want("after the death", active("west-1", "west-3", "east-1", "east-2", "east-3"))
	},
	"the leases of a region that is cut off lapse one after another": func(c *cell) {
		c.set(pause, "east-1")
		c.steps(ttlSteps - 1) // its lease lapses at the next steps, those of its neighbours a period later
		c.set(resume, "east-1")
		c.cutOff(true)
		c.steps(manySteps)
		c.want("without the link", with(active(both...), Unreachable, east...))
	},
	"the link fails during a store outage": func(c *cell) {
		c.server.SetDown(true)
		c.steps(ttlSteps)
		c.cutOff(true)
		c.steps(manySteps)
		c.want("both down", active(both...))
		c.server.SetDown(false)
		c.steps(manySteps)
		c.want("store up", with(active(both...), Unreachable, east...))
		c.cutOff(false)
		c.steps(manySteps)
		c.want("at the end", active(both...))
	},
	"a restarted process replaces its old incarnation": func(c *cell) {
		old := c.node("west-2")
		c.add(c.now, "west-2")
		c.steps(ttlSteps)
		c.want("after the restart", active(both...))
		if now := c.node("west-2").Self().Incarnation; now <= old.Self().Incarnation {
			c.t.Fatalf("incarnation %d after %d", now, old.Self().Incarnation)
		}
		old.round(c.t) // the old process was only paused
		old.last = old.deliver(old.last)
		old.round(c.t)
		if old.removed != 1 || !errors.Is(old.err, ErrReplaced) {
			c.t.Fatalf("old process: %d calls of OnRemoved, error %v", old.removed, old.err)
		}
		c.steps(manySteps)
		c.want("at the end", active(both...))
		c.wantRemoved("west-2", 0)
	},
	"a drain during an outage is carried out afterwards": func(c *cell) {
		c.server.SetDown(true)
		if err := c.node("west-2").Drain(c.t.Context()); err == nil {
			c.t.Fatal("drained without a store")
		}
		c.steps(ttlSteps)
		c.server.SetDown(false)
		c.steps(ttlSteps)
		c.want("after the outage", with(active(both...), Draining, "west-2"))
		if err := c.node("west-2").Leave(c.t.Context()); err != nil {
			c.t.Fatal(err)
		}
		c.set(kill, "west-2")
		c.steps(2)
		c.want("after leaving", active("west-1", "west-3", "east-1", "east-2", "east-3"))
		c.wantRemoved("west-2", 0)
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

// TestRandomFailures guards against combinations of failures from which the membership doesn't recover.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCell(t)
			c.start(both...)
			random := rand.New(rand.NewPCG(seed, seed))
			for range 60 {
				id := both[random.IntN(len(both))]
				switch random.IntN(9) {
				case 0:
					c.server.SetDown(!c.server.Faults().Down)
				case 1:
					c.cutOff(!c.cut)
				case 2:
					c.set(kill, id)
				case 3:
					c.set(pause, id)
				case 4:
					c.set(resume, id)
				case 5:
					c.add(c.now, id)
				case 6:
					c.server.LoseProbability(0.2 * float64(random.IntN(3)))
				case 7:
					c.server.CutOff("east")
				case 8:
					c.server.CutOff()
				}
				c.steps(random.IntN(3 * ttlSteps))
			}
			c.server.SetDown(false)
			c.server.LoseProbability(0)
			c.cutOff(false)
			c.set(resume, both...)
			for id, n := range c.nodes {
				if n.dead {
					c.add(c.now, id)
				}
			}
			c.steps(2 * manySteps)
			c.want("after the repair", active(both...))
		})
	}
}
