package coordinator_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

// reachingWhile limits a client to some servers while a cut lasts.
func reachingWhile(client coordinator.ServerClient, cut *atomic.Bool, servers ...sched.ServerID) coordinator.ServerClient {
	limited, reduced := client, reaching(client, servers...)
	limited.Start = func(ctx context.Context, f sched.FencingToken, cmd sched.StartCommand) (time.Duration, error) {
		if cut.Load() {
			return reduced.Start(ctx, f, cmd)
		}
		return client.Start(ctx, f, cmd)
	}
	limited.Stop = func(ctx context.Context, f sched.FencingToken, cmd sched.StopCommand) (time.Duration, error) {
		if cut.Load() {
			return reduced.Stop(ctx, f, cmd)
		}
		return client.Stop(ctx, f, cmd)
	}
	limited.Poll = func(ctx context.Context, f sched.FencingToken, cmd sched.PollCommand) (sched.Inventory, error) {
		if cut.Load() {
			return reduced.Poll(ctx, f, cmd)
		}
		return client.Poll(ctx, f, cmd)
	}
	return limited
}

const splitServers = 6

// serverIDs returns the ids of the servers of a cell from one number up to before another.
func serverIDs(from, to int) []sched.ServerID {
	var ids []sched.ServerID
	for i := range to - from {
		ids = append(ids, sched.ServerID(fmt.Sprintf("s%d", from+i)))
	}
	return ids
}

// Guards against tasks that run twice (review/13): a daemon that the leader doesn't know takes over while the leader, with all daemons that it
// knows, is cut off from the store. Each side reaches some of the servers.
func TestDaemonAddedDuringACut(t *testing.T) {
	for name, play := range map[string]struct {
		beside    int // servers beside the former leader
		peer      bool
		restarted time.Duration // by when the newcomer has started the tasks again; 0 if the former leader goes on
	}{
		"few servers beside the leader":             {1, false, 15 * time.Second},
		"few servers beside the leader and a peer":  {1, true, 15 * time.Second},
		"half of the servers beside the leader":     {3, false, 22 * time.Second},
		"most servers beside the leader":            {5, false, 0},
		"most servers beside the leader and a peer": {5, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const tasks = 3
			c, cut := newCell(t, splitServers, time.Minute), &atomic.Bool{}
			all := c.serverClient
			c.serverClient = reachingWhile(all, cut, serverIDs(0, play.beside)...)
			a := c.startWithStore(cutStore{c.store, cut}, "a", 0)
			c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" })
			if play.peer {
				b := c.startWithStore(cutStore{c.store, cut}, "b", 300*time.Millisecond)
				c.await("the view of b", 3*time.Second, func() bool { return b.leader() == "a" })
			}
			c.mustSubmit(a, 1, tasks)
			c.await("starts", 3*time.Second, func() bool { n, _ := c.fleet.StartCounts(); return n == tasks })
			if c.fleet.RunningOn("s0") != tasks {
				t.Fatal("the tasks don't run beside the leader")
			}
			cut.Store(true)
			time.Sleep(500 * time.Millisecond)
			c.serverClient = reachingWhile(all, cut, serverIDs(play.beside, splitServers)...)
			d := c.start("d", 0)
			c.await("a takeover", 5*time.Second, func() bool { return d.leader() == "d" })
			if play.restarted > 0 {
				c.await("restart of the tasks", play.restarted, func() bool { n, _ := c.fleet.StartCounts(); return n == 2*tasks })
			} else {
				time.Sleep(12 * time.Second)
				if n, running := startsOf(c), c.fleet.RunningTasks(jobID(0)); n != tasks || running != tasks {
					t.Errorf("%d starts and %d running tasks, want %d each", n, running, tasks)
				}
			}
			cut.Store(false)
			time.Sleep(2 * time.Second)
			if n := c.fleet.RunningTasks(jobID(0)); n != tasks {
				t.Errorf("%d running tasks after the cut, want %d", n, tasks)
			}
			for _, v := range c.fleet.Violations() {
				t.Error(v)
			}
		})
	}
}

func startsOf(c *testCell) int {
	n, _ := c.fleet.StartCounts()
	return n
}

// Guards against a newcomer that waits for servers longer than needed: the only daemon is lost for good, also together with the server of
// its tasks.
func TestReplacementOfTheOnlyDaemon(t *testing.T) {
	for name, lost := range map[string][]sched.ServerID{"no server lost": nil, "its server lost": {"s0"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const tasks = 3
			c := newCell(t, splitServers, time.Minute)
			all := c.serverClient
			a := c.start("a", 0)
			c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" })
			c.mustSubmit(a, 1, tasks)
			c.await("starts", 3*time.Second, func() bool { return startsOf(c) == tasks })
			began := time.Now()
			a.stop()
			c.serverClient = reaching(all, slices.DeleteFunc(serverIDs(0, splitServers), func(id sched.ServerID) bool { return slices.Contains(lost, id) })...)
			for _, id := range lost {
				c.fleet.SetUnresponsive(id, true)
			}
			c.start("d", 0)
			if len(lost) == 0 {
				time.Sleep(9 * time.Second)
				if n, running := startsOf(c), c.fleet.RunningTasks(jobID(0)); n != tasks || running != tasks {
					t.Errorf("%d starts and %d running tasks, want %d each", n, running, tasks)
				}
				return
			}
			c.await("restart of the tasks", 15*time.Second, func() bool { return startsOf(c) == 2*tasks })
			t.Logf("restarted after %s", time.Since(began))
		})
	}
}

// Guards against runs that lapse although only the store is silent: the only daemon reaches all servers.
func TestOnlyDaemonGoesOnWithoutStore(t *testing.T) {
	forEachOutage(t, func(t *testing.T, pauseLeases bool) {
		const tasks = 8 // on two of the servers; the others are idle
		c := newCell(t, 3, time.Minute)
		a := c.start("a", 0)
		c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" })
		c.mustSubmit(a, 1, tasks)
		c.await("starts", 3*time.Second, func() bool { return startsOf(c) == tasks })
		c.store.PauseLeases(pauseLeases)
		c.store.SetFault(func(string, string) txstore.Fault { return txstore.Unavailable })
		time.Sleep(12 * time.Second)
		if n := c.fleet.RunningTasks(jobID(0)); n != tasks {
			t.Errorf("%d of %d tasks run in an outage of 12 s", n, tasks)
		}
		c.store.SetFault(nil)
		c.store.PauseLeases(false)
		time.Sleep(3 * time.Second)
		if n := startsOf(c); n != tasks {
			t.Errorf("%d starts of %d tasks, want one each", n, tasks)
		}
	})
}
