package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a throttle command that is lost for good: its error was only logged. A refused one isn't repeated.
func TestThrottleWithoutAnswerIsRepeated(t *testing.T) {
	const target = 100 * time.Millisecond
	for name, c := range map[string]struct {
		err  error
		want int // throttle commands
	}{
		"no answer": {ErrNoResponse, 2},
		"refused":   {&RefusedError{Reason: sched.RefusedOldRun}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, _ := newLoggedTerm(t)
				ctx, cancel := context.WithCancelCause(t.Context())
				m.ctx, m.cancel = ctx, cancel
				latencies := make(chan time.Duration, 3)
				latencies <- 2 * target
				latencies <- target
				demand := resource.Vector{CPU: resource.Cores(1)}
				client := &m.config.ServerClient
				client.Poll = func(ctx context.Context, _ sched.FencingToken, _ sched.PollCommand) (sched.Inventory, error) {
					inv := sched.Inventory{Incarnation: 1, Clock: time.Since(time.Time{}) % time.Hour}
					select {
					case latency := <-latencies:
						for step := range 2 {
							inv.Running = append(inv.Running, sched.ActiveRun{Task: sched.TaskID{Job: "j", Step: step}, Run: 1, Percent: 100, TailLatency: latency})
						}
						time.Sleep(100 * time.Millisecond)
						return inv, nil
					case <-ctx.Done():
						return inv, ErrNoResponse
					}
				}
				client.Stop = func(context.Context, sched.FencingToken, sched.StopCommand) (time.Duration, error) {
					return 0, ErrNoResponse
				}
				sent := 0
				client.Throttle = func(context.Context, sched.FencingToken, sched.ThrottleCommand) (time.Duration, error) {
					sent++
					return 0, c.err
				}
				m.update(func(now time.Time, s *sched.Scheduler) {
					s.AddJob(now, &sched.Job{ID: "j", Accepted: now, Steps: []sched.Step{
						{Count: 1, Demand: demand, LongRunning: true, TailTarget: target},
						{Count: 1, Demand: demand, LongRunning: true, BestEffort: true},
					}}, sched.Progress{}, true)
					s.Register(now, sched.Server{ID: "s1", Incarnation: 1, Address: "s1:1", Service: "pool", Capacity: demand.Times(4)})
				})
				time.Sleep(time.Second)
				synctest.Wait()
				cancel(errDeposed)
				synctest.Wait()
				if sent != c.want {
					t.Errorf("%d throttle commands, want %d", sent, c.want)
				}
			})
		})
	}
}
