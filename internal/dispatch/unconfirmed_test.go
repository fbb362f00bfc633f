package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// lookups are the calls by which a daemon learns whether an attempt runs or has a result at another one.
func lookups(d *Dispatcher, r backend.Result) map[string]func() bool {
	ctx := context.Background()
	sender := wire.Sender{Member: "adopter", Incarnation: 1}
	return map[string]func() bool{
		"adopt-origin": func() bool {
			reply, err := d.HandleAdoptOrigin(ctx, wire.AdoptOriginRequest{Sender: sender, Origin: r.Origin, Jobs: []ident.JobID{r.Job}})
			return err == nil && slices.ContainsFunc(reply.Attempts, func(a wire.AdoptedAttempt) bool { return a.Attempt == r.Attempt })
		},
		"query": func() bool {
			reply, err := d.HandleQuery(ctx, wire.QueryRequest{Sender: sender, Attempt: r.Attempt})
			return err == nil && reply.Known
		},
		"find": func() bool {
			reply, err := d.HandleFind(ctx, wire.FindRequest{Sender: sender, ClaimKey: wire.ClaimKey{Team: r.Team, Request: r.Request}})
			return err == nil && reply.Known
		},
	}
}

// placeAttempt places an attempt of a removed origin on the host and returns its result.
func placeAttempt(d *Dispatcher, id ident.AttemptID) backend.Result {
	task := backend.Task{
		Attempt: id, Job: "job", Team: "team", Request: ident.RequestID("request of " + id), Origin: "removed",
		Demand: resource.Vector{CPU: 1, Slots: 1},
	}
	d.config.Pool.Attach(platform.Host{ID: "host"}, backend.Inventory{
		Capacity: task.Demand, Running: []backend.Running{{Task: task}},
	})
	answer := []byte("answer")
	return backend.Result{
		Attempt: id, Job: task.Job, Team: task.Team, Request: task.Request, Origin: task.Origin, Exit: backend.ExitSucceeded,
		Answer: answer, Length: len(answer), Checksum: backend.Checksum(answer),
	}
}

func newLookupDispatcher(t *testing.T) *Dispatcher {
	d := newTestDispatcher(t)
	d.config.Servers.InventoryComplete = func() (ident.Epoch, bool) { return 1, true }
	d.config.Servers.Acknowledge = func(ident.HostID, ident.AttemptID) {}
	t.Cleanup(func() {
		d.cancelBase()
		d.wg.Wait()
	})
	return d
}

// Guards against tasks that run twice: an attempt whose result just arrived was neither listed as running nor as ended, so a
// daemon that adopted its job, or whose audit looked for it, took it for lost.
func TestLookupWhileResultArrives(t *testing.T) {
	names := []string{"adopt-origin", "query", "find"}
	for _, name := range names {
		t.Run(name+" after the release", func(t *testing.T) {
			d := newLookupDispatcher(t)
			r := placeAttempt(d, "attempt")
			looked, known := false, false
			d.config.Limits.Release = func(ident.TeamID, int) { looked, known = true, lookups(d, r)[name]() }
			d.Finished("host", r)
			if !looked || !known {
				t.Errorf("looked for the attempt %v, known %v, want both", looked, known)
			}
		})
		t.Run(name+" at the same time", func(t *testing.T) {
			d := newLookupDispatcher(t)
			for i := range 300 {
				r := placeAttempt(d, ident.AttemptID(fmt.Sprint("attempt-", i)))
				lookup := lookups(d, r)[name]
				var wg sync.WaitGroup
				wg.Go(func() { d.Finished("host", r) })
				known := lookup()
				wg.Wait()
				if !known {
					t.Fatalf("attempt %d isn't known", i)
				}
			}
		})
	}
}

// Guards against tasks that run twice: a result that waited to be sent to another origin wasn't known meanwhile.
func TestLookupDuringRedelivery(t *testing.T) {
	d := newLookupDispatcher(t)
	r := placeAttempt(d, "attempt")
	d.Finished("host", r)
	calls := lookups(d, r)
	if !calls["adopt-origin"]() {
		t.Fatal("adopt-origin doesn't list the result")
	}
	for _, name := range []string{"query", "find"} {
		if !calls[name]() {
			t.Errorf("%s doesn't know the attempt", name)
		}
	}
}

// Guards against a task that stays in the running phase forever: its result was sent to the adopting daemon before that knew of
// the task, and then counted as being sent, so that no audit asked for it with success.
func TestResultRedeliveredBeforeResume(t *testing.T) {
	d := newLookupDispatcher(t)
	r := placeAttempt(d, "attempt")
	d.Finished("host", r)
	d.wg.Wait() // until no push to the removed origin is in progress
	self := wire.Sender{Member: d.config.Self().ID, Incarnation: 1}
	adopted, err := d.HandleAdoptOrigin(t.Context(), wire.AdoptOriginRequest{Sender: self, Origin: r.Origin, Jobs: []ident.JobID{r.Job}})
	if err != nil || len(adopted.Attempts) != 1 {
		t.Fatalf("adopted %+v, %v", adopted, err)
	}
	time.Sleep(2 * pushRetryPause)
	ends := make(chan Completion, 1)
	w := Work{Kind: api.KindBatch, OnDone: func(f Completion, acknowledge func()) { acknowledge(); ends <- f }}
	w.Task = backend.Task{Job: r.Job, Team: r.Team}
	if err := d.Resume(w, AdoptedAttempt{AdoptedAttempt: adopted.Attempts[0], Owner: self.Member}); err != nil {
		t.Fatal(err)
	}
	d.audit()
	select {
	case f := <-ends:
		if f.Outcome != api.Answered {
			t.Errorf("ended as %+v", f)
		}
	case <-time.After(10 * time.Second):
		t.Error("the result was not delivered to the resumed task")
	}
}
