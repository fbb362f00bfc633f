package worker

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a task that completes after its run time in spite of a hold, and against one that doesn't complete after the
// hold ends.
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
		t.Errorf("the task exited as %s during the hold", exit)
	}
	w.Faults().Hold(false)
	for range 1000 {
		if w.Runs()[0].Exit == backend.ExitSucceeded {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the task is still running 10 s after the end of the hold")
}
