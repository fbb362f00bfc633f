package coordinator_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// misdirectedCalls delays calls to an address at which another server responds, and counts them.
type misdirectedCalls struct {
	address       string
	delay         time.Duration
	starts, polls atomic.Int32
}

// mismatch waits for the reply of the other server and returns it.
func (m *misdirectedCalls) mismatch(calls *atomic.Int32) error {
	calls.Add(1)
	time.Sleep(m.delay)
	return fmt.Errorf("status 421: %w", coordinator.ErrInstanceMismatch)
}

// wrap returns a client whose calls to the address go to the other server.
func (m *misdirectedCalls) wrap(c coordinator.ServerClient) coordinator.ServerClient {
	wrapped := c
	wrapped.Start = func(ctx context.Context, f sched.FencingToken, cmd sched.StartCommand) (time.Duration, error) {
		if cmd.Server.Address == m.address {
			return 0, m.mismatch(&m.starts)
		}
		return c.Start(ctx, f, cmd)
	}
	wrapped.Poll = func(ctx context.Context, f sched.FencingToken, cmd sched.PollCommand) (sched.Inventory, error) {
		if cmd.Server.Address == m.address {
			return sched.Inventory{}, m.mismatch(&m.polls)
		}
		return c.Poll(ctx, f, cmd)
	}
	return wrapped
}

// Guards against a server that is never polled again, and against a start that is never given up: the registration of a server
// was corrected while a call to a wrong address was in progress, and the 421 from there was ignored as outdated.
func TestMisdirectedCallEndsAfterTheServerRegistersElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		submitLate bool // the job is submitted while the wrong address is registered
		calls      func(*misdirectedCalls) int32
	}{
		"poll":  {calls: func(m *misdirectedCalls) int32 { return m.polls.Load() }},
		"start": {submitLate: true, calls: func(m *misdirectedCalls) int32 { return m.starts.Load() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const work = 2 * time.Second
			cell := newCell(t, 1, work)
			misdirected := &misdirectedCalls{address: "wrong:1", delay: 300 * time.Millisecond}
			cell.serverClient = misdirected.wrap(cell.fleet.Client())
			a := cell.start("a", 0)
			cell.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" })
			time.Sleep(300 * time.Millisecond) // for the first poll
			server := sched.Server{ID: "s0", Incarnation: 1, Address: "s0:1", Service: "pool", Capacity: taskDemand.Times(4)}
			wrong := server
			wrong.Address = misdirected.address
			if !c.submitLate {
				cell.mustSubmit(a, 1, 1)
				cell.await("the start", 3*time.Second, func() bool { n, _ := cell.fleet.StartCounts(); return n > 0 })
			}
			cell.register(wrong)
			if c.submitLate {
				time.Sleep(200 * time.Millisecond) // for the watch of the registrations
				cell.mustSubmit(a, 1, 1)
			}
			cell.await("a call to the wrong address", 3*time.Second, func() bool { return c.calls(misdirected) > 0 })
			cell.register(server)
			cell.awaitCompleted(a, 1, 12*time.Second)
		})
	}
}
