package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/blame"
	"github.com/rosemaryspoke/rosemaryspoke/internal/fleet"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// newTestDispatcher returns a dispatcher without backend servers and peers.
func newTestDispatcher(t testing.TB) *Dispatcher {
	t.Helper()
	self := member.Member{ID: "entry-1", Incarnation: 1, Region: "r", DataCentre: "dc", State: member.Active}
	view := func() member.View { return member.View{Epoch: 1, Members: []member.Member{self}} }
	pool, err := placement.New(placement.Config{Now: time.Now})
	if err != nil {
		t.Fatal(err)
	}
	f, err := fleet.New(fleet.Config{
		Self: func() member.Member { return self }, View: view, OwnUsage: pool.TeamUsage, OwnCapacity: pool.CapacityByDataCentre,
		Backlog: func() int { return 0 }, ConfigVersion: func() ident.Version { return 1 },
		PushSummary: func(context.Context, ident.MemberID, wire.Summary) (wire.SummaryReply, error) {
			return wire.SummaryReply{}, nil
		},
		Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	b, err := blame.New(blame.Config{Now: time.Now})
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(Config{
		Self: func() member.Member { return self }, View: view, Pool: pool, Fleet: f, Blame: b,
		Limits:  Limits{Reserve: func(ident.TeamID, int) bool { return true }, Cancel: func(ident.TeamID, int) {}, Release: func(ident.TeamID, int) {}},
		Servers: Servers{Start: func(context.Context, ident.HostID, backend.Task) error { return nil }},
		Peers: Peers{Forward: func(context.Context, ident.MemberID, wire.ForwardRequest) (wire.ForwardReply, error) {
			return wire.ForwardReply{}, nil
		}},
		QueueLimit: func(ident.TeamID) int { return 10 }, Weight: func(ident.TeamID) float64 { return 1 },
		DominantShare: func(ident.TeamID) float64 { return 0 }, Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a deadlock when a caller stops waiting, or a job is cancelled, while its task is offered: the
// removal from the queue waited for the verdict while it held the lock that the verdict needs, and the daemon never
// started anything again.
func TestEndDuringPlacement(t *testing.T) {
	for name, end := range map[string]func(d *Dispatcher, k Key){
		"abandon": func(d *Dispatcher, k Key) {
			if got := d.Abandon(t.Context(), k, "gone"); got != api.NotRun {
				t.Errorf("abandoned with outcome %s, want not-run", got)
			}
		},
		"cancel": func(d *Dispatcher, k Key) { d.Cancel(k, "gone") },
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t)
			ends := make(chan Completion, 2)
			w := Work{Kind: api.KindRequest, OnDone: func(f Completion, _ func()) { ends <- f }}
			w.Task = backend.Task{Job: "job", Team: "team", Queue: "queue", Demand: resource.Vector{CPU: 1, Slots: 1}}
			e := &entry{key: w.key(), work: w, phase: queued, submitted: time.Now()}
			s := d.shard(e.key.Job)
			s.entries[e.key] = e
			if err := d.queue.Push(queue.Item[*entry]{Key: e.key.String(), Team: "team", Demand: w.Task.Demand, Value: e}); err != nil {
				t.Fatal(err)
			}
			offered, ended := make(chan struct{}), make(chan struct{})
			go func() {
				<-offered
				end(d, e.key)
				close(ended)
			}()
			tried := make(chan struct{})
			go func() {
				defer close(tried)
				d.queue.Offer(func(i queue.Item[*entry]) queue.Verdict {
					close(offered)
					time.Sleep(50 * time.Millisecond) // lets the abandonment or cancellation reach the queue
					return d.tryPlace(i)
				})
			}()
			for _, c := range []chan struct{}{tried, ended} {
				select {
				case <-c:
				case <-time.After(10 * time.Second):
					t.Fatal("deadlock between the end of the task and its offer")
				}
			}
			if f := <-ends; f.Outcome != api.NotRun || len(ends) != 0 || d.queue.Len() != 0 {
				t.Errorf("ended as %+v, %d more completions, %d tasks queued", f, len(ends), d.queue.Len())
			}
		})
	}
}
