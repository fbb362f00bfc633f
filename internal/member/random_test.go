package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TestRandomFailures guards against combinations of failures from which the membership doesn't recover, or in which it
// removes a member that ran all the time.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.joinMembers(both...)
			random := rand.New(rand.NewPCG(seed, seed))
			safe := []ident.MemberID{sfax[seed%3], tunis[seed/3%3]} // never killed, paused or restarted
			victims := slices.DeleteFunc(slices.Clone(both), func(id ident.MemberID) bool { return slices.Contains(safe, id) })
			for range 40 {
				id := victims[random.IntN(len(victims))]
				switch random.IntN(9) {
				case 0:
					c.server.SetDown(!c.server.Faults().Down)
				case 1:
					c.setLinkLost(!c.linkLost)
				case 2:
					c.update(kill, id)
				case 3:
					c.update(pause, id)
				case 4:
					c.update(resume, id)
				case 5:
					c.startProcesses(c.now, id)
				case 6:
					c.server.SetReplyLoss(0.2 * float64(random.IntN(3)))
				case 7:
					c.server.CutOffRegions("tunis")
				case 8:
					c.server.CutOffRegions()
				}
				c.runSteps(random.IntN(3 * ttlSteps))
			}
			c.server.SetDown(false)
			c.server.SetReplyLoss(0)
			c.setLinkLost(false)
			c.update(resume, both...)
			for id, n := range c.nodes {
				if n.dead {
					c.startProcesses(c.now, id)
				}
			}
			c.runSteps(2 * convergenceSteps)
			c.expectMembers("after the repair", allActive(both...))
			for _, id := range safe {
				c.expectRemovals(id, 0)
			}
		})
	}
}
