package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestRestoreThrottled guards against tasks that stay throttled after the urgent tasks ended, and against a backend
// server that is overcommitted because its shares differ from the counted ones after a lost reply.
func TestRestoreThrottled(t *testing.T) {
	for name, c := range map[string]struct {
		loseLower, loseRaise bool
		stays, waits         bool // the urgent task keeps running; another urgent task is queued
		throttled, ended     bool // wanted state of the batch task after another urgent task came
		afterPreempt         int  // urgent tasks that fit after the first preemption
	}{
		"capacity is free":       {afterPreempt: 1},
		"capacity is in use":     {stays: true, throttled: true, afterPreempt: 1},
		"urgent task waits":      {waits: true, throttled: true, afterPreempt: 1},
		"lowering loses a reply": {loseLower: true},
		"raising loses a reply":  {loseRaise: true, ended: true, afterPreempt: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(t)
				w := worker.New(worker.Config{Host: "host", Capacity: resource.Vector{CPU: resource.Cores(8), Slots: 4}})
				defer w.Close()
				server, fence := w.Server(), backend.Fence{Epoch: 1, Owner: "entry-1", AttachNumber: 1}
				attach := func() backend.Inventory {
					i, err := server.Attach(t.Context(), fence, backend.ToMillis(time.Hour))
					if err != nil {
						t.Fatal(err)
					}
					return i
				}
				d.config.Pool.Attach(platform.Host{ID: "host"}, attach())
				d.config.Servers.Throttle = func(ctx context.Context, _ ident.HostID, a ident.AttemptID, percent int) error {
					return server.Throttle(ctx, fence, a, percent)
				}
				d.config.Servers.Checkpoint = func(ctx context.Context, host ident.HostID, a ident.AttemptID) error {
					d.config.Pool.Release(host, a)
					return server.Checkpoint(ctx, fence, a)
				}
				start := func(r placement.Request) int {
					if _, err := d.config.Pool.Place(r); err != nil {
						return 0
					}
					if err := server.Start(t.Context(), fence, backend.Task{Attempt: r.Attempt, Job: ident.JobID(r.Attempt), Demand: r.Demand}); err != nil {
						t.Fatal(err)
					}
					d.config.Pool.ConfirmStart("host", r.Attempt)
					return 1
				}
				lose := func(on bool) {
					if on {
						w.Faults().LoseNextReplies(worker.OpThrottle, 1)
					}
				}
				start(placement.Request{Attempt: "batch", Team: "a", Demand: resource.Vector{CPU: resource.Cores(8), Slots: 1}})
				urgent := placement.Request{Attempt: "urgent", Team: "b", Urgent: true, Priority: 50, Demand: resource.Vector{CPU: resource.Cores(6), Slots: 1}}
				lose(c.loseLower)
				d.preempt(urgent)
				synctest.Wait()
				if n := start(urgent); n != c.afterPreempt {
					t.Errorf("%d urgent tasks started, want %d", n, c.afterPreempt)
				}
				if !c.stays {
					_, _ = server.Stop(t.Context(), fence, "urgent")
					d.config.Pool.Release("host", "urgent")
				}
				if c.waits {
					if err := d.queue.Push(queue.Item[*entry]{Key: "waits", Team: "b", Urgent: true}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(placement.RestoreDelay)
				lose(c.loseRaise)
				d.restoreThrottled()
				synctest.Wait()
				if c.loseRaise {
					time.Sleep(placement.RestoreDelay)
					d.restoreThrottled()
					synctest.Wait()
					urgent.Attempt = "next"
					d.preempt(urgent)
					synctest.Wait()
					start(urgent)
				}
				throttled, ended := false, true
				for _, r := range attach().Running {
					if r.Attempt == "batch" {
						throttled, ended = r.Throttled, false
					}
				}
				if throttled != c.throttled || ended != c.ended {
					t.Errorf("throttled %t, ended %t, want %t and %t", throttled, ended, c.throttled, c.ended)
				}
				for _, v := range w.Violations() {
					t.Error(v)
				}
				d.cancelBase()
				d.wg.Wait()
			})
		})
	}
}
