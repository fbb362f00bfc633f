package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

// Guards against tasks that run again after they are done: while progress can't be recorded, a server has more ended runs than it
// lists, and the leader goes on or is replaced.
func TestMoreEndsThanAServerLists(t *testing.T) {
	const tasks, listedEnds = 150, 20
	for name, replaceLeader := range map[string]bool{"of the same leader": false, "of a former leader": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t, 2, 20*time.Millisecond)
			c.fleet.SetListedEnds(listedEnds)
			a := c.start("a", 0)
			c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" })
			b := c.start("b", 50*time.Millisecond)
			c.await("the view of b", 3*time.Second, func() bool { return b.leader() == "a" && b.configured() })
			c.store.SetFault(func(call, key string) txstore.Fault {
				if call == "transact" && strings.HasPrefix(key, "progress/") {
					return txstore.Unavailable
				}
				return txstore.None
			})
			c.mustSubmit(b, 1, tasks)
			c.await("a full list of ends", 5*time.Second, func() bool { return c.fleet.Unacknowledged("s0") > listedEnds })
			time.Sleep(time.Second)
			if replaceLeader {
				a.stop()
				c.await("leader b", 5*time.Second, func() bool { return b.leader() == "b" })
				time.Sleep(time.Second)
			}
			c.store.SetFault(nil)
			c.awaitCompleted(b, 1, 20*time.Second)
			if starts, _ := c.fleet.StartCounts(); starts != tasks {
				t.Errorf("%d starts of %d tasks", starts, tasks)
			}
		})
	}
}
