package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// Guards against a leader that formats the details of thousands of starts and ends a second for a log that doesn't show them.
func TestDetailsAreNotFormattedUnlessShown(t *testing.T) {
	ended := []sched.FinishedRun{{Number: 1, Task: sched.TaskID{Job: "5c0e7a21d94b36f8", Index: 1000}, Run: 2000}, {Number: 2}, {Number: 3}}
	m, _ := newLoggedTerm(t)
	m.config.ServerClient = ServerClient{
		Start: func(context.Context, sched.FencingToken, sched.StartCommand) (time.Duration, error) {
			return time.Second, nil
		},
		Poll: func(context.Context, sched.FencingToken, sched.PollCommand) (sched.Inventory, error) {
			return sched.Inventory{Finished: ended}, nil
		},
	}
	start := sched.StartCommand{
		Server: sched.Server{ID: "i-4ca7157f"}, Task: ended[0].Task, Run: 2000, Attempt: 1000, JobAge: 1234567 * time.Microsecond,
	}
	poll := sched.PollCommand{Server: start.Server, EndsAfter: time.Second, Timeout: time.Second}
	for name, c := range map[string]struct {
		handle func()
		most   float64 // for what the handling itself needs
	}{
		"start":      {func() { m.startRun(start) }, 3},
		"three ends": {func() { m.pollServer(poll) }, 12},
	} {
		t.Run(name, func(t *testing.T) {
			if n := testing.AllocsPerRun(100, c.handle); n > c.most {
				t.Errorf("%v allocations, want at most %v", n, c.most)
			}
		})
	}
}
