package ownership

import (
	"testing"
	"time"
)

// Guards against tasks that run twice after a member was removed: the member that adopts its jobs starts what no complete
// inventory lists, and a result that an attach had returned wasn't listed before it was reported.
func TestInventoryIncompleteBeforeResults(t *testing.T) {
	// completeAtResults returns the number of results that are reported to a member while its inventory is complete.
	completeAtResults := func(n *node) *int {
		count := new(int)
		n.update(func(node *node) {
			node.onFinished = func() {
				if _, complete := n.InventoryComplete(); complete {
					*count++
				}
			}
		})
		return count
	}
	for name, run := range map[string]func(c *cluster) *int{
		"takeover": func(c *cluster) *int {
			owner, other := twoMembers(c)
			owner.expectStart("h", batchTask("t"), nil)
			owner.kill()
			time.Sleep(time.Second + time.Millisecond) // a millisecond past the task's end, as timers of one instant run in any order
			count := completeAtResults(other)
			c.publishView(other.id)
			time.Sleep(settleTime)
			other.expectEvents("attached h running=0 finished=1 slots=4", "finished h t succeeded")
			return count
		},
		"missed view": func(c *cluster) *int {
			c.addHost("h")
			n := c.startMember("a")
			view := c.publishView("a")
			time.Sleep(settleTime)
			n.expectStart("h", batchTask("t"), nil)
			time.Sleep(settleTime)
			count := completeAtResults(n)
			n.freezeView(&view)
			c.publishView("a")
			c.publishView("a")
			n.freezeView(nil)
			n.ViewChanged()
			time.Sleep(settleTime)
			n.expectEvents("attached h running=0 finished=0 slots=4", "finished h t succeeded",
				"attached h running=0 finished=1 slots=4", "finished h t succeeded")
			return count
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(c *cluster) {
				if count := *run(c); count > 0 {
					c.Errorf("%d results were reported while the inventory counted as complete", count)
				}
			})
		})
	}
}
