package coordinator_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// countedConn counts the writes to a connection between daemons.
type countedConn struct {
	net.Conn
	writes *atomic.Int64
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// countOperations lets the daemon that is started next count its calls to servers and its messages to other daemons.
func (c *testCell) countOperations(all coordinator.ServerClient) (calls, messages *atomic.Int64) {
	calls, messages = &atomic.Int64{}, &atomic.Int64{}
	counted := all
	counted.Start = func(ctx context.Context, f sched.FencingToken, cmd sched.StartCommand) (time.Duration, error) {
		calls.Add(1)
		return all.Start(ctx, f, cmd)
	}
	counted.Poll = func(ctx context.Context, f sched.FencingToken, cmd sched.PollCommand) (sched.Inventory, error) {
		calls.Add(1)
		return all.Poll(ctx, f, cmd)
	}
	c.serverClient = counted
	c.peerDial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countedConn{conn, messages}, err
	}
	return calls, messages
}

// Guards against a leader that makes the calls for each start and each end itself: its processor bounds the whole fleet then, and what it
// reads late makes servers look full (issue 43).
func TestLeaderOfManyServersLeavesTheirCallsToOtherDaemons(t *testing.T) {
	t.Parallel()
	const jobs, tasksPerJob = 60, 12
	c := newCell(t, 40, taskTime)
	c.maxDirectServers = 0
	all := c.serverClient
	calls, messages := c.countOperations(all)
	a := c.start("a", 0)
	c.await("leader a", 5*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	otherCalls, _ := c.countOperations(all)
	b := c.start("b", time.Second)
	c.start("c", time.Second)
	c.await("the view of b", 5*time.Second, func() bool { return b.leader() == "a" && b.configured() })
	time.Sleep(2 * time.Second) // the proxies get ready
	calls.Store(0)
	messages.Store(0)
	c.mustSubmit(b, jobs, tasksPerJob)
	c.awaitCompleted(b, jobs, 30*time.Second)
	starts, _ := c.fleet.StartCounts()
	t.Logf("%d starts; the leader made %d calls to servers and wrote %d messages; another daemon made %d calls", starts, calls.Load(),
		messages.Load(), otherCalls.Load())
	if starts < jobs*tasksPerJob {
		t.Fatalf("%d starts, want at least %d", starts, jobs*tasksPerJob)
	}
	if n := calls.Load(); n > int64(starts)/10 {
		t.Errorf("the leader made %d calls to servers for %d starts", n, starts)
	}
	if n := messages.Load(); n > int64(starts) {
		t.Errorf("the leader wrote %d messages for %d starts", n, starts)
	}
}

// Guards against work that is held back or runs twice since the daemon is lost that makes the calls to its servers. That loss shows
// nothing about the servers (issue 43).
func TestLossOfAProxyIsNotTheServers(t *testing.T) {
	t.Parallel()
	const jobs, tasksPerJob = 30, 8
	c := newCell(t, 10, 400*time.Millisecond)
	c.maxDirectServers = 0
	a := c.start("a", 0)
	c.await("leader a", 5*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	var others []*daemon
	for _, name := range []ident.MemberID{"b", "c", "d"} {
		others = append(others, c.start(name, time.Second))
	}
	c.await("the view of b", 5*time.Second, func() bool { return others[0].leader() == "a" && others[0].configured() })
	time.Sleep(1500 * time.Millisecond)
	c.mustSubmit(a, jobs, tasksPerJob)
	for _, d := range others {
		time.Sleep(700 * time.Millisecond)
		d.stop()
	}
	c.awaitCompleted(a, jobs, 10*time.Second)
	if starts, tasks := c.fleet.StartCounts(); starts != tasks {
		t.Errorf("%d starts of %d tasks", starts, tasks)
	}
}

// Guards against tasks that run twice or stay without a run while the data centres of a leader and of its proxies are cut off in turn, so
// that commands are handed over to proxies that send them late or not at all.
func TestTasksRunOnceWhileProxiesAreCutOff(t *testing.T) {
	t.Parallel()
	for _, cut := range []time.Duration{900 * time.Millisecond, 9 * time.Second} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			t.Parallel()
			c := newCutCell(t, []site{{"duluth-a", 3}, {"toledo-a", 3}, {"cleveland-b", 2}}, durationOf, func(c *testCell) { c.maxDirectServers = 0 })
			c.playCuts(3, cut, 3*time.Second)
			c.awaitAccepted(30 * time.Second)
			for _, v := range c.fleet.Violations() {
				t.Error(v)
			}
			starts, tasks := c.fleet.StartCounts()
			t.Logf("%d accepted jobs, %d starts of %d tasks", len(c.accepted), starts, tasks)
			if len(c.accepted) == 0 {
				t.Error("no job was accepted")
			}
		})
	}
}

// Guards against servers that count as lost as long as their proxy can't reach them, although it answers the leader and the leader or
// another daemon would reach them.
func TestServersBeyondTheReachOfTheirProxyAreUsed(t *testing.T) {
	t.Parallel()
	const jobs, tasksPerJob = 10, 4
	c := newCell(t, 10, taskTime)
	c.maxDirectServers = 0
	all := c.serverClient
	a := c.start("a", 0)
	c.await("leader a", 5*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	c.serverClient = coordinator.ServerClient{
		Start: func(context.Context, sched.FencingToken, sched.StartCommand) (time.Duration, error) {
			time.Sleep(450 * time.Millisecond)
			return 0, coordinator.ErrNotSent
		},
		Stop: func(context.Context, sched.FencingToken, sched.StopCommand) (time.Duration, error) {
			time.Sleep(450 * time.Millisecond)
			return 0, coordinator.ErrNotSent
		},
		Throttle: all.Throttle,
		Poll: func(ctx context.Context, _ sched.FencingToken, _ sched.PollCommand) (sched.Inventory, error) {
			<-ctx.Done()
			return sched.Inventory{}, coordinator.ErrNotSent
		},
		CloseConnections: all.CloseConnections, Advise: all.Advise,
	}
	b := c.start("b", time.Second)
	c.serverClient = all
	c.start("c", 1200*time.Millisecond)
	c.await("the view of b", 5*time.Second, func() bool { return b.leader() == "a" && b.configured() })
	time.Sleep(2 * time.Second) // b and c get ready; b is preferred
	c.mustSubmit(a, jobs, tasksPerJob)
	c.awaitCompleted(a, jobs, 15*time.Second)
}
