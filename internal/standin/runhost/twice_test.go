package runhost

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a task that runs on two hosts at once unnoticed, or that is reported so although the lease of its former host has
// expired by that host's clock.
func TestRunsAtOnce(t *testing.T) {
	const lease = 4 * time.Second
	for name, c := range map[string]struct {
		clockRate  float64 // of the first host
		pause      time.Duration
		violations int
	}{
		"at once":                                 {1, 0, 1},
		"before the lease expires":                {1, lease - 10*time.Millisecond, 1},
		"after the lease has expired":             {1, lease + 10*time.Millisecond, 0},
		"before the lease expires, slow clock":    {0.98, lease + 70*time.Millisecond, 1},
		"after the lease has expired, slow clock": {0.98, lease + 90*time.Millisecond, 0},
		"after the lease has expired, fast clock": {1.02, lease - 70*time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(
					func(sched.TaskID) time.Duration { return time.Minute },
					func(sched.TaskID) resource.Vector { return resource.Vector{CPU: 1} })
				task := sched.TaskID{Job: "j"}
				start := func(id sched.ServerID, run sched.RunNumber) {
					t.Helper()
					deadline := f.hosts[id].clock(time.Now()) + lease
					if _, err := f.start(t.Context(), 1, sched.StartCommand{
						Server: sched.Server{ID: id}, Task: task, Run: run, Deadline: deadline,
					}); err != nil {
						t.Fatal(err)
					}
				}
				for _, id := range []sched.ServerID{"s0", "s1"} {
					f.Add(sched.Server{ID: id, Capacity: resource.Vector{CPU: 10}})
				}
				f.SetClockRate("s0", c.clockRate)
				start("s0", 1)
				time.Sleep(c.pause)
				start("s1", 2)
				if v := f.Violations(); len(v) != c.violations {
					t.Errorf("violations %q, want %d", strings.Join(v, "; "), c.violations)
				}
			})
		})
	}
}
