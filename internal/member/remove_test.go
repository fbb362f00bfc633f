package member

import (
	"errors"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// expectRemove removes a member through the process via, as an operator does, and compares the error.
func (c *cluster) expectRemove(via, id ident.MemberID, confirmed bool, want error) {
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

// TestRemove guards against a removal by an operator that breaks the rules of the membership, removes a member twice or
// leaves a view without members, and against a removed member that doesn't rejoin although it runs.
func TestRemove(t *testing.T) {
	killTunis := func(c *cluster) {
		c.update(kill, tunis...)
		c.runSteps(convergenceSteps)
		c.expectMembers("after the region died", withState(allActive(sfax...), Unreachable, tunis...))
	}
	cases := map[string]func(c *cluster){
		"a region that died": func(c *cluster) {
			killTunis(c)
			for i, id := range tunis {
				c.expectRemove(sfax[i], id, false, nil)
			}
			c.runSteps(convergenceSteps)
			c.expectMembers("at the end", allActive(sfax...))
		},
		"a running member": func(c *cluster) {
			c.expectRemove("sfax-1", "tunis-1", false, ErrStillRunning)
			c.expectRemove("sfax-1", "sfax-1", false, ErrStillRunning)
			c.runSteps(ttlSteps)
			c.expectMembers("at the end", allActive(both...))
			c.expectRemovals("tunis-1", 0)
		},
		"a running member, confirmed": func(c *cluster) {
			for _, id := range []ident.MemberID{"tunis-1", "sfax-1"} {
				old := c.node(id).Self().Incarnation
				c.expectRemove("sfax-1", id, true, nil)
				c.runSteps(ttlSteps)
				c.expectRemovals(id, 1)
				if now := c.node(id).Self().Incarnation; now <= old {
					c.t.Errorf("%s rejoined with incarnation %d after %d", id, now, old)
				}
			}
			c.expectMembers("at the end", allActive(both...))
		},
		"a dead member that still holds its lease": func(c *cluster) {
			c.update(kill, "tunis-1")
			c.expectRemove("sfax-1", "tunis-1", false, ErrStillRunning) // its lease is held
			c.expectRemove("sfax-1", "tunis-1", true, nil)
		},
		"a running member without a lease": func(c *cluster) {
			c.server.CutOffRegions("tunis")
			c.runSteps(2 * ttlSteps)
			c.expectRemove("sfax-1", "tunis-1", true, ErrUnsafeRemoval)
		},
		"fewer than half of the active members answer": func(c *cluster) {
			c.linkLost = true
			c.update(pause, "sfax-3")
			c.expectRemove("sfax-1", "tunis-1", true, ErrUnsafeRemoval)
		},
		"unknown member": func(c *cluster) { c.expectRemove("sfax-1", "tunis-9", true, ErrUnknownMember) },
		"store down": func(c *cluster) {
			killTunis(c)
			c.server.SetDown(true)
			c.expectRemove("sfax-1", "tunis-1", true, platform.ErrUnavailable)
			c.runSteps(ttlSteps)
			c.server.SetDown(false)
			c.runSteps(1)
			c.expectRemove("sfax-1", "tunis-1", false, ErrUnsafeRemoval) // healthy for less than one period
			c.runSteps(2 * ttlSteps)
			c.expectRemove("sfax-1", "tunis-1", false, nil)
		},
		"store fails between the probes and the write": func(c *cluster) {
			killTunis(c)
			c.onNextProbe = func() error { c.server.SetDown(true); return nil }
			c.expectRemove("sfax-1", "tunis-1", false, platform.ErrUnavailable)
			c.expectMembers("afterwards", withState(allActive(sfax...), Unreachable, tunis...))
		},
		"lost reply": func(c *cluster) {
			killTunis(c)
			c.loseReplyOf = KeyMembers
			c.expectRemove("sfax-1", "tunis-1", false, nil)
		},
		"two operators, one member": func(c *cluster) {
			killTunis(c)
			c.onNextProbe = func() error { c.expectRemove("sfax-2", "tunis-1", false, nil); return nil }
			c.expectRemove("sfax-1", "tunis-1", false, ErrMemberChanged)
			c.runSteps(ttlSteps)
			c.expectMembers("at the end", withState(allActive(sfax...), Unreachable, "tunis-2", "tunis-3"))
		},
		"two operators, the last two members": func(c *cluster) {
			killTunis(c)
			c.expectRemove("sfax-2", "sfax-3", true, nil)
			c.update(pause, "sfax-3")
			c.onNextProbe = func() error { c.expectRemove("sfax-2", "sfax-1", true, nil); return nil }
			c.expectRemove("sfax-1", "sfax-2", true, ErrLastMember)
			c.expectRemove("sfax-2", "sfax-2", true, ErrLastMember)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.joinMembers(both...)
			run(c)
		})
	}
}
