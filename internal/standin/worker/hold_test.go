package worker

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a hold that a task's run time ends, and against one that keeps its task after it is switched off.
func TestHold(t *testing.T) {
	expired := make(chan func(), 1)
	w := New(Config{
		Host: "host", Capacity: resource.Vector{CPU: resource.Cores(8), Slots: 8},
		AfterFunc: func(d time.Duration, f func()) func() bool {
			if d == time.Second {
				expired <- f
			}
			return func() bool { return true }
		},
	})
	defer w.Close()
	server, fence := w.Server(), backend.Fence{Epoch: 1, Owner: "a", AttachNumber: 1}
	if _, err := server.Attach(t.Context(), fence, 60_000); err != nil {
		t.Fatal(err)
	}
	w.Faults().Hold(true)
	if err := server.Start(t.Context(), fence, backend.Task{Attempt: "a", Job: "j", RunTime: 1000}); err != nil {
		t.Fatal(err)
	}
	(<-expired)()
	if exit := w.Runs()[0].Exit; exit != "" {
		t.Errorf("the held task ended as %s", exit)
	}
	w.Faults().Hold(false)
	for range 1000 {
		if w.Runs()[0].Exit == backend.ExitSucceeded {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the task goes on after the hold")
}
