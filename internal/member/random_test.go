package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TestRandomFailures guards against combinations of failures from which the membership doesn't recover, and in which
// it removes a member that was running all the time.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCell(t)
			c.start(both...)
			random := rand.New(rand.NewPCG(seed, seed))
			safe := []ident.MemberID{sfax[seed%3], tunis[seed/3%3]} // neither dies, nor pauses, nor restarts
			victims := slices.DeleteFunc(slices.Clone(both), func(id ident.MemberID) bool { return slices.Contains(safe, id) })
			for range 40 {
				id := victims[random.IntN(len(victims))]
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
					c.server.CutOff("tunis")
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
			for _, id := range safe {
				c.wantRemoved(id, 0)
			}
		})
	}
}
