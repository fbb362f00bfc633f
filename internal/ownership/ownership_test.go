package ownership

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against two owners, doubled tasks and lost results when members, links and backend servers fail. Each case
// names the mechanism without which it fails.
func TestFailures(t *testing.T) {
	cases := map[string]func(c *cluster){
		"normal course": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectComplete(true)
			a.expectStart("h", batchTask("t"), nil)
			time.Sleep(settleTime)
			a.Acknowledge("h", "t")
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=0 slots=4", "finished h t succeeded")
			c.publishView()
			time.Sleep(settleTime)
			a.expectEvents("detached h dropped")
			a.expectStart("h", batchTask("u"), ErrNotOwner)
		},
		// Fence at the backend server: the old owner's check of its lease was before the pause.
		"paused owner wakes and sends a start": func(c *cluster) {
			c.addHost("h")
			a, b := c.startMember("a"), c.startMember("b")
			old := c.publishView("a")
			time.Sleep(settleTime)
			a.freezeView(&old)
			a.blockCalls()
			refused := make(chan struct{})
			go func() {
				defer close(refused)
				a.expectStart("h", serviceTask("late", "job"), backend.ErrStaleEpoch)
			}()
			synctest.Wait() // the start has passed the table's own check
			c.publishView("b")
			time.Sleep(settleTime)
			b.expectStart("h", serviceTask("new", "job"), nil)
			a.unblockCalls()
			<-refused
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=0 slots=4", "detached h moved")
			b.expectEvents("attached h running=0 finished=0 slots=4")
			b.expectComplete(true)
		},
		// Own clock: the server can't refuse, because it is cut off and its lease may have lapsed.
		"owner stops by its own clock": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.update(func(n *node) { n.disconnected = true })
			time.Sleep(renewalsPerLease*minRenewal + time.Second)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrLeaseLapsed)
		},
		// Idempotent start and stop: the caller can find out what happened.
		"reply of a start lost after the effect": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			// The command is repeated until a reply tells that the attempt is known.
			w.Faults().LoseReply(worker.OpStart, 3)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrDuplicate)
			// Without any reply the outcome stays unknown.
			w.Faults().LoseReply(worker.OpStart, 1+maxStartRetries)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrUnknownOutcome)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrDuplicate)
			if state, err := a.Stop(context.Background(), "h", "t"); state != backend.StopStopped || err != nil {
				c.Errorf("stop: %v, %v", state, err)
			}
			if n := len(w.Runs()); n != 1 {
				c.Errorf("%d runs, want 1", n)
			}
		},
		// Cursor: a lost poll reply must not lose the results in it.
		"reply of a poll lost": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", batchTask("t"), nil)
			w.Faults().LoseReply(worker.OpPoll, 2)
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=0 slots=4", "finished h t succeeded")
		},
		// Lapse bound: a task may be restarted only when no lease can be left.
		"dead backend server": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", serviceTask("t", "job"), nil)
			w.Faults().Vanish(true)
			time.Sleep(renewalsPerLease * minRenewal)
			a.expectEvents("attached h running=0 finished=0 slots=4")
			time.Sleep(lapseTime)
			a.expectEvents("detached h lapsed")
			if exit := w.Runs()[0].Exit; exit != backend.ExitLeaseLapsed {
				c.Errorf("exit %q at the time of the report", exit)
			}
			a.expectComplete(true)
			w.Faults().Vanish(false)
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=1 slots=4", "finished h t lease-lapsed")
			a.expectStart("h", serviceTask("t2", "job"), nil)
		},
		// Silence: calls that take effect without a reply renew the lease for ever, so the tasks are never given up.
		"no reply for a whole lease": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", serviceTask("t", "job"), nil)
			w.Faults().LoseReplies(1)
			time.Sleep(renewalsPerLease * minRenewal)
			a.expectEvents("attached h running=0 finished=0 slots=4")
			time.Sleep(2 * lapseTime)
			a.expectEvents("detached h lapsed")
			if exit := w.Runs()[0].Exit; exit != backend.ExitLeaseLapsed {
				c.Errorf("exit %q after the report", exit)
			}
			w.Faults().LoseReplies(0)
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=1 slots=4", "finished h t lease-lapsed")
		},
		// Boot id: the old inventory and capacity no longer hold.
		"host returns with fewer slots": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", serviceTask("t", "job"), nil)
			w.Restart(slots(2))
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=0 slots=4", "detached h lapsed", "attached h running=0 finished=0 slots=2")
			a.expectStart("h", serviceTask("t2", "job"), nil)
		},
		// Poll that returns early: the flag is known within 3 s although the poll may wait longer.
		"leaving host says so": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			w.Leave(true)
			time.Sleep(3 * time.Second)
			w.Faults().Vanish(true) // the refusal must be the table's own
			a.expectStart("h", serviceTask("t", "job"), backend.ErrLeaving)
		},
		"leaving host in the list": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			c.setHost("h", func(h *platform.Host) { h.State = platform.HostLeaving })
			time.Sleep(3 * time.Second)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrLeaving)
		},
		// Removal of the incarnation takes effect at once.
		"drop": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", serviceTask("t", "job"), nil)
			a.Drop()
			a.expectStart("h", serviceTask("u", "job-u"), ErrNotOwner)
			time.Sleep(settleTime) // the view still has the dropped incarnation
			a.expectEvents("attached h running=0 finished=0 slots=4", "detached h dropped")
		},
		// Attach with the newer epoch only when a server is gained; without a gap nothing is attached again.
		"epochs": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectComplete(true)
			a.expectEvents("attached h running=0 finished=0 slots=4")
			old := c.view
			a.freezeView(&old)
			c.publishView("a")
			c.publishView("a")
			a.freezeView(nil)
			a.blockCalls()
			a.ViewChanged()
			a.expectComplete(false) // another member may have been owner in the view that was missed
			a.unblockCalls()
			a.expectComplete(true) // without waiting for the end of the poll in flight
			a.expectEvents("attached h running=0 finished=0 slots=4")
		},
		// Order of one host's events: the new entry waits for the last event of the old one.
		"address changes": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.update(func(n *node) { n.slowDetach = true })
			c.setHost("h", func(h *platform.Host) { h.Address = "h:2" })
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=0 slots=4", "detached h moved", "attached h running=0 finished=0 slots=4")
		},
		// A refused start ends a poll that hangs on a dead connection.
		"restart seen by a start first": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.update(func(n *node) { n.hangPolls = true })
			time.Sleep(minRenewal)
			a.update(func(n *node) { n.hangPolls = false })
			w.Restart(slots(4))
			a.expectStart("h", serviceTask("t", "job"), backend.ErrLeaseLapsed)
			a.expectEvents("attached h running=0 finished=0 slots=4", "detached h lapsed", "attached h running=0 finished=0 slots=4")
		},
		// A view may be seen by an attach before the reconciliation with it.
		"attach between a view change and its reconciliation": func(c *cluster) {
			w := c.addHost("h")
			a, b := c.startMember("a"), c.startMember("b")
			c.publishView("a")
			time.Sleep(settleTime)
			c.mu.Lock()
			c.view = member.View{Epoch: 9, Members: []member.Member{{ID: "b", Incarnation: 1, State: member.Active}}}
			c.mu.Unlock()
			w.Restart(slots(4))
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=0 slots=4")
			b.ViewChanged()
			b.expectComplete(true)
		},
		// Spacing: a server whose replies ignore the wait must not use up the control budget.
		"replies without a wait": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			var usual, polls atomic.Int32
			a.update(func(n *node) { n.onPoll = func(*backend.PollRequest) { usual.Add(1) } })
			time.Sleep(settleTime)
			a.update(func(n *node) { n.onPoll = func(r *backend.PollRequest) { polls.Add(1); r.Wait = 0 } })
			time.Sleep(settleTime)
			if polls.Load() > 4*usual.Load() {
				c.Errorf("%d polls, usually %d", polls.Load(), usual.Load())
			}
		},
		// Many acknowledgements interrupt the poll.
		"acknowledgements": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			for range acknowledgementFlushSize - 1 {
				a.Acknowledge("h", ident.AttemptID(ident.Random("t")))
			}
			synctest.Wait()
			if n := a.Dump().Hosts[0].Acknowledgements; n != acknowledgementFlushSize-1 {
				c.Errorf("%d acknowledgements wait, want %d", n, acknowledgementFlushSize-1)
			}
			a.Acknowledge("h", "last")
			synctest.Wait()
			if n := a.Dump().Hosts[0].Acknowledgements; n != 0 {
				c.Errorf("%d acknowledgements wait", n)
			}
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { runInBubble(t, run) })
	}
}
