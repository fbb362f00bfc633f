package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TestResultBeforeResume guards against a task that stays in the running phase forever, because its result came after
// its attempt was redirected to the adopting daemon, but before that daemon knew of the task.
func TestResultBeforeResume(t *testing.T) {
	d := newTestDispatcher(t)
	acknowledged := make(chan ident.AttemptID, 1)
	d.config.Servers.Acknowledge = func(_ ident.HostID, a ident.AttemptID) { acknowledged <- a }
	d.config.Servers.InventoryComplete = func() (ident.Epoch, bool) { return 1, true }
	answer := []byte("answer")
	d.deliver("host", backend.Result{
		Attempt: "attempt", Job: "job", Team: "team", Origin: "entry-1", Exit: backend.ExitSucceeded,
		Answer: answer, Length: len(answer), Checksum: backend.Checksum(answer),
	})
	ends := make(chan Completion, 1)
	w := Work{Kind: api.KindBatch, OnDone: func(f Completion, acknowledge func()) { acknowledge(); ends <- f }}
	w.Task = backend.Task{Job: "job", Team: "team"}
	err := d.Resume(w, AdoptedAttempt{AdoptedAttempt: wire.AdoptedAttempt{Attempt: "attempt", Job: "job", Host: "host"}, Owner: "entry-1"})
	if err != nil {
		t.Fatal(err)
	}
	d.audit()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	select {
	case f := <-ends:
		if f.Outcome != api.Answered || string(f.Result.Answer) != "answer" || <-acknowledged != "attempt" {
			t.Errorf("ended as %+v", f)
		}
	case <-ctx.Done():
		t.Error("the result was not delivered to the resumed task")
	}
	d.cancelBase()
	d.wg.Wait()
}

// Guards against retries beyond the bound of a queue: a resumed task counted as having had one attempt.
func TestAttemptsOfResumedTask(t *testing.T) {
	for attempts, want := range map[int]int{0: 1, 3: 3} {
		d := newTestDispatcher(t)
		w := Work{Kind: api.KindBatch, Task: backend.Task{Job: "job", Team: "team"}}
		a := AdoptedAttempt{AdoptedAttempt: wire.AdoptedAttempt{Attempt: "attempt", Job: "job"}, Owner: "entry-1", Attempts: attempts}
		if err := d.Resume(w, a); err != nil {
			t.Fatal(err)
		}
		if s, ok := d.Status(w.key()); !ok || s.Attempts != want {
			t.Errorf("resumed after %d attempts: %+v, %v, want %d attempts", attempts, s, ok, want)
		}
	}
}
