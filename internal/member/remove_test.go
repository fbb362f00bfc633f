package member

import (
	"errors"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// remove lets an operator remove a member through another one and compares the error.
func (c *cell) remove(via, id ident.MemberID, confirmed bool, want error) {
	c.t.Helper()
	_ = c.node(via).Refresh(c.t.Context())
	before := c.node(via).View().Epoch
	_, err := c.node(via).Remove(c.t.Context(), id, confirmed)
	if !errors.Is(err, want) {
		c.t.Fatalf("remove %s through %s: got %v, want %v", id, via, err, want)
	}
	if after := c.node(via).View().Epoch; err == nil && after != before+1 {
		c.t.Errorf("remove %s: epoch %d after %d", id, after, before)
	}
}

// Guards against a removal by an operator that breaks the rules of the membership, removes a member twice or leaves
// a view without members, and against a removed member that stays removed although it runs.
func TestRemove(t *testing.T) {
	vanish := func(c *cell) {
		c.set(kill, tunis...)
		c.steps(manySteps)
		c.want("after the region died", with(active(sfax...), Unreachable, tunis...))
	}
	cases := map[string]func(c *cell){
		"a region that died": func(c *cell) {
			vanish(c)
			for i, id := range tunis {
				c.remove(sfax[i], id, false, nil)
			}
			c.steps(manySteps)
			c.want("at the end", active(sfax...))
		},
		"a running member": func(c *cell) {
			c.remove("sfax-1", "tunis-1", false, ErrRunning)
			c.remove("sfax-1", "sfax-1", false, ErrRunning)
			c.steps(ttlSteps)
			c.want("at the end", active(both...))
			c.wantRemoved("tunis-1", 0)
		},
		"a running member, confirmed": func(c *cell) {
			for _, id := range []ident.MemberID{"tunis-1", "sfax-1"} {
				old := c.node(id).Self().Incarnation
				c.remove("sfax-1", id, true, nil)
				c.steps(ttlSteps)
				c.wantRemoved(id, 1)
				if now := c.node(id).Self().Incarnation; now <= old {
					c.t.Errorf("%s rejoined with incarnation %d after %d", id, now, old)
				}
			}
			c.want("at the end", active(both...))
		},
		"a member that died a moment ago": func(c *cell) {
			c.set(kill, "tunis-1")
			c.remove("sfax-1", "tunis-1", false, ErrRunning) // its lease is held
			c.remove("sfax-1", "tunis-1", true, nil)
		},
		"a running member without a lease": func(c *cell) {
			c.server.CutOff("tunis")
			c.steps(2 * ttlSteps)
			c.remove("sfax-1", "tunis-1", true, ErrNotNow)
		},
		"fewer than half answer": func(c *cell) {
			c.cut = true
			c.set(pause, "sfax-3")
			c.remove("sfax-1", "tunis-1", true, ErrNotNow)
		},
		"unknown member": func(c *cell) { c.remove("sfax-1", "tunis-9", true, ErrNoMember) },
		"store down": func(c *cell) {
			vanish(c)
			c.server.SetDown(true)
			c.remove("sfax-1", "tunis-1", true, platform.ErrUnavailable)
			c.steps(ttlSteps)
			c.server.SetDown(false)
			c.steps(1)
			c.remove("sfax-1", "tunis-1", false, ErrNotNow) // healthy for less than one period
			c.steps(2 * ttlSteps)
			c.remove("sfax-1", "tunis-1", false, nil)
		},
		"store fails between the probes and the write": func(c *cell) {
			vanish(c)
			c.hook = func() error { c.server.SetDown(true); return nil }
			c.remove("sfax-1", "tunis-1", false, platform.ErrUnavailable)
			c.want("afterwards", with(active(sfax...), Unreachable, tunis...))
		},
		"lost reply": func(c *cell) {
			vanish(c)
			c.lose = KeyMembers
			c.remove("sfax-1", "tunis-1", false, nil)
		},
		"two operators, one member": func(c *cell) {
			vanish(c)
			c.hook = func() error { c.remove("sfax-2", "tunis-1", false, nil); return nil }
			c.remove("sfax-1", "tunis-1", false, ErrChanged)
			c.steps(ttlSteps)
			c.want("at the end", with(active(sfax...), Unreachable, "tunis-2", "tunis-3"))
		},
		"two operators, the last two members": func(c *cell) {
			vanish(c)
			c.remove("sfax-2", "sfax-3", true, nil)
			c.set(pause, "sfax-3")
			c.hook = func() error { c.remove("sfax-2", "sfax-1", true, nil); return nil }
			c.remove("sfax-1", "sfax-2", true, ErrLast)
			c.remove("sfax-2", "sfax-2", true, ErrLast)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t)
			c.start(both...)
			run(c)
		})
	}
}
