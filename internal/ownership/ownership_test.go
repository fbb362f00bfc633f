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

// Guards against two owners, tasks that run twice and lost results when members, links and backend servers fail. The
// comment of a case names the mechanism that it covers.
func TestMemberLinkAndServerFailures(t *testing.T) {
	cases := map[string]func(c *cluster){
		"no failure": func(c *cluster) {
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
		// Fencing at the backend server: the old owner checked its lease before the pause.
		"owner resumes from a pause and sends a start": func(c *cluster) {
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
			synctest.Wait() // until the start has passed the table's own check
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
		// Lease check by the owner's own clock: a disconnected server can't refuse the start.
		"disconnected owner refuses starts after its lease": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.update(func(n *node) { n.disconnected = true })
			time.Sleep(renewalsPerLease*minRenewal + time.Second)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrLeaseLapsed)
		},
		// Idempotent start and stop: the caller can find out whether the start took effect.
		"reply of a start lost after it took effect": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			// The command is retried until a reply reports the attempt as a duplicate.
			w.Faults().LoseNextReplies(worker.OpStart, 3)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrDuplicate)
			// Without any reply the outcome stays unknown.
			w.Faults().LoseNextReplies(worker.OpStart, 1+maxStartRetries)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrUnknownOutcome)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrDuplicate)
			if state, err := a.Stop(context.Background(), "h", "t"); state != backend.StopStopped || err != nil {
				c.Errorf("stop: %v, %v", state, err)
			}
			if n := len(w.Runs()); n != 1 {
				c.Errorf("%d runs, want 1", n)
			}
		},
		// Cursor: results in a lost poll reply are sent again.
		"reply of a poll lost": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", batchTask("t"), nil)
			w.Faults().LoseNextReplies(worker.OpPoll, 2)
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=0 slots=4", "finished h t succeeded")
		},
		// Bound of the lease: a host is reported as lapsed, so that its tasks may restart, only when no lease can be left.
		"dead backend server": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", serviceTask("t", "job"), nil)
			w.Faults().Partition(true)
			time.Sleep(renewalsPerLease * minRenewal)
			a.expectEvents("attached h running=0 finished=0 slots=4")
			time.Sleep(lapseTime)
			a.expectEvents("detached h lapsed")
			if exit := w.Runs()[0].Exit; exit != backend.ExitLeaseLapsed {
				c.Errorf("exit %q when the lapse was reported, want lease-lapsed", exit)
			}
			a.expectComplete(true)
			w.Faults().Partition(false)
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=1 slots=4", "finished h t lease-lapsed")
			a.expectStart("h", serviceTask("t2", "job"), nil)
		},
		// Quiet period: calls that take effect without a reply would renew the lease forever, and the lapse would never be
		// reported.
		"no reply for a whole lease": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", serviceTask("t", "job"), nil)
			w.Faults().SetReplyLoss(1)
			time.Sleep(renewalsPerLease * minRenewal)
			a.expectEvents("attached h running=0 finished=0 slots=4")
			time.Sleep(2 * lapseTime)
			a.expectEvents("detached h lapsed")
			if exit := w.Runs()[0].Exit; exit != backend.ExitLeaseLapsed {
				c.Errorf("exit %q after the lapse was reported, want lease-lapsed", exit)
			}
			w.Faults().SetReplyLoss(0)
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=1 slots=4", "finished h t lease-lapsed")
		},
		// Boot id: after a restart the old inventory and capacity are invalid.
		"host restarts with fewer slots": func(c *cluster) {
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
		// Early poll reply: the leaving flag is known within 3 s although the poll may wait longer.
		"server reports that it is leaving": func(c *cluster) {
			w := c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			w.SetLeaving(true)
			time.Sleep(3 * time.Second)
			w.Faults().Partition(true) // the table itself must refuse the start
			a.expectStart("h", serviceTask("t", "job"), backend.ErrLeaving)
		},
		"host list marks a host as leaving": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			c.setHost("h", func(h *platform.Host) { h.State = platform.HostLeaving })
			time.Sleep(3 * time.Second)
			a.expectStart("h", serviceTask("t", "job"), backend.ErrLeaving)
		},
		// Drop of a removed incarnation takes effect at once, although the view still has that incarnation.
		"own incarnation is dropped": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.expectStart("h", serviceTask("t", "job"), nil)
			a.Drop()
			a.expectStart("h", serviceTask("u", "job-u"), ErrNotOwner)
			time.Sleep(settleTime) // a reconciliation must not attach again
			a.expectEvents("attached h running=0 finished=0 slots=4", "detached h dropped")
		},
		// Confirmation without an attach: an owner that saw every view keeps its attach; after a missed view it attaches
		// again.
		"owner misses a view": func(c *cluster) {
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
			a.expectComplete(false) // another member may have been the owner in the missed view
			a.unblockCalls()
			a.expectComplete(true) // without waiting for the end of the poll in flight
			a.expectEvents("attached h running=0 finished=0 slots=4")
		},
		// Order of a host's events: the new entry waits until the old one has reported Detached.
		"host changes its address": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			a.update(func(n *node) { n.slowDetach = true })
			c.setHost("h", func(h *platform.Host) { h.Address = "h:2" })
			time.Sleep(settleTime)
			a.expectEvents("attached h running=0 finished=0 slots=4", "detached h moved", "attached h running=0 finished=0 slots=4")
		},
		// Cancelled poll: a refused start cancels a poll that hangs on a dead connection.
		"start is the first call after a restart": func(c *cluster) {
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
		// Owner check before an attach: the view may be newer than the last reconciliation.
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
		// Backoff after early replies: a server that ignores the wait must not use up the control traffic budget.
		"server replies without waiting": func(c *cluster) {
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
				c.Errorf("%d polls when the server doesn't wait, %d when it waits", polls.Load(), usual.Load())
			}
		},
		// Flush of acknowledgements: many pending ones cancel the poll in flight.
		"many pending acknowledgements": func(c *cluster) {
			c.addHost("h")
			a := c.startMember("a")
			c.publishView("a")
			time.Sleep(settleTime)
			for range acknowledgementFlushSize - 1 {
				a.Acknowledge("h", ident.AttemptID(ident.Random("t")))
			}
			synctest.Wait()
			if n := a.Dump().Hosts[0].Acknowledgements; n != acknowledgementFlushSize-1 {
				c.Errorf("%d acknowledgements are pending, want %d", n, acknowledgementFlushSize-1)
			}
			a.Acknowledge("h", "last")
			synctest.Wait()
			if n := a.Dump().Hosts[0].Acknowledgements; n != 0 {
				c.Errorf("%d acknowledgements are pending, want 0", n)
			}
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { runInBubble(t, run) })
	}
}
