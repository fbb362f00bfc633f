package dispatch

import (
	"context"
	"errors"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestForwardedReservation guards against an allocation of the limit that two daemons use, or that is lost, after a
// task was forwarded.
func TestForwardedReservation(t *testing.T) {
	undelivered, lost := errors.New("not connected"), errors.New("connection broke")
	for name, c := range map[string]struct {
		reply               wire.ForwardReply
		err                 error
		unreserved          bool
		transferred, cancel int
	}{
		"allocation used":     {reply: wire.ForwardReply{Accepted: true, AllocationUsed: true}, transferred: 1},
		"allocation not used": {reply: wire.ForwardReply{Accepted: true}, cancel: 1},
		"refused":             {cancel: 1},
		"not delivered":       {err: undelivered, cancel: 1},
		"reply lost":          {err: lost, transferred: 1},
		"nothing reserved":    {reply: wire.ForwardReply{Accepted: true}, unreserved: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t)
			var transferred, cancel int
			d.config.Limits.Transfer = func(ident.TeamID, int, member.Member) { transferred++ }
			d.config.Limits.Cancel = func(ident.TeamID, int) { cancel++ }
			d.config.Peers.Forward = func(context.Context, ident.MemberID, wire.ForwardRequest) (wire.ForwardReply, error) {
				return c.reply, c.err
			}
			d.config.Peers.NotDelivered = func(err error) bool { return errors.Is(err, undelivered) }
			e := &entry{key: Key{Job: "job"}, work: Work{Kind: api.KindBatch, Task: backend.Task{Job: "job", Team: "team"}}, phase: placing, attempts: 1}
			d.shard("job").entries[e.key] = e
			d.forward(t.Context(), e, member.Member{ID: "entry-2", Incarnation: 1}, false, !c.unreserved)
			if transferred != c.transferred || cancel != c.cancel {
				t.Errorf("transferred %d reservations and cancelled %d, want %d and %d", transferred, cancel, c.transferred, c.cancel)
			}
		})
	}
}

// TestForwardOnSenderAllocation guards against a forwarded task that is refused although its sender offers allocation
// of the limit, or that is counted against the allocation of a sender which is no longer in the view.
func TestForwardOnSenderAllocation(t *testing.T) {
	task := resource.Vector{CPU: 1, Slots: 1}
	for name, c := range map[string]struct {
		own, offered bool
		sender       ident.MemberID
		want         wire.ForwardReply
		counted      int
	}{
		"own allocation":      {own: true, offered: true, sender: "entry-1", want: wire.ForwardReply{Accepted: true, Host: "host"}, counted: 1},
		"sender's allocation": {offered: true, sender: "entry-1", want: wire.ForwardReply{Accepted: true, Host: "host", AllocationUsed: true}, counted: 1},
		"no allocation":       {sender: "entry-1", want: wire.ForwardReply{Reason: "no allocation of the team's limit is left"}},
		"removed sender":      {offered: true, sender: "gone", want: wire.ForwardReply{Reason: "sender gone with incarnation 1 isn't in the member view"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t)
			counted := 0
			d.config.Limits = Limits{
				Reserve: func(_ ident.TeamID, n int) bool {
					if c.own {
						counted += n
					}
					return c.own
				},
				Accept: func(_ ident.TeamID, n int) bool { counted += n; return true },
				Cancel: func(_ ident.TeamID, n int) { counted -= n },
			}
			d.config.Pool.Attach(platform.Host{ID: "host"}, backend.Inventory{Capacity: task})
			reply, err := d.HandleForward(t.Context(), wire.ForwardRequest{
				Sender: wire.Sender{Member: c.sender, Incarnation: 1}, AllocationReserved: c.offered, Kind: string(api.KindBatch),
				Task: backend.Task{Attempt: "attempt", Job: "job", Team: "team", Demand: task},
			})
			if err != nil || reply != c.want || counted != c.counted {
				t.Errorf("reply %+v, %v, counted %d; want %+v, counted %d", reply, err, counted, c.want, c.counted)
			}
			d.cancelBase()
			d.wg.Wait()
		})
	}
}
