package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a task that is done twice (review/12): a leader that had lost the store started it on a server that had restarted under
// its id. The deadline on the former incarnation's clock gave the run the longest lease, which the next leader didn't know of.
func TestIsolatedLeaderStartsNothingOnARestartedServer(t *testing.T) {
	for name, play := range map[string]struct {
		restarts []time.Duration // since the cut
		due      time.Duration
	}{
		"restart before the start":     {[]time.Duration{200 * time.Millisecond}, 600 * time.Millisecond},
		"two restarts":                 {[]time.Duration{200 * time.Millisecond, 500 * time.Millisecond}, 800 * time.Millisecond},
		"start short after the cut":    {[]time.Duration{100 * time.Millisecond}, 400 * time.Millisecond},
		"start a second after the cut": {[]time.Duration{time.Second}, 1600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newIsolationCell(t, 200*time.Millisecond)
			began := time.Now().Add(1500 * time.Millisecond)
			c.submitTimed(c.a, began.Add(play.due))
			time.Sleep(time.Until(began))
			c.cut.Store(true)
			for _, at := range play.restarts {
				time.Sleep(time.Until(began.Add(at)))
				c.fleet.Crash("s0")
			}
			c.await("the end of the task beside the store", 15*time.Second, func() bool { return c.c.read(jobID(0)).State == sched.StateCompleted })
			c.cut.Store(false)
			time.Sleep(2 * time.Second) // the ends on s0 are reported
			for _, v := range c.fleet.Violations() {
				t.Error(v)
			}
		})
	}
}

// submitTimed submits a job of one task that is due once.
func (c *isolationCell) submitTimed(d *daemon, due time.Time) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r := d.gateway.Submit(ctx, request(jobID(0)), func(ident.JobID) (*sched.Job, error) {
		return &sched.Job{Repetitions: 1, StartAt: due, Steps: []sched.Step{{
			Count: 1, Demand: resource.Vector{CPU: resource.Cores(1), Memory: 100}, Estimate: 200 * time.Millisecond,
		}}}, nil
	})
	if r.Kind != entry.Accepted {
		c.t.Fatalf("not accepted: %s", r.Reason)
	}
}
