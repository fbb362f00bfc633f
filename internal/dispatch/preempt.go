package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
)

const (
	// preemptAfter is how long an urgent task waits before lower work gives way. A peer that has just refused the task
	// may still have room for it; the wait is a small part of the 2.2 s in which urgent work must start.
	preemptAfter = 300 * time.Millisecond
	// preemptPause is how long an urgent task waits for the room of its victims before it asks for more.
	preemptPause = 500 * time.Millisecond
)

// preemptionDue reports whether the last preemption for the task is long enough ago.
func (d *Dispatcher) preemptionDue(e *entry) bool {
	due := false
	now := d.config.Now()
	d.with(e.key, func(e *entry) {
		due = now.Sub(e.submitted) >= preemptAfter && now.Sub(e.preempted) >= preemptPause
	})
	return due
}

func (d *Dispatcher) markPreemption(e *entry) {
	d.with(e.key, func(e *entry) { e.preempted = d.config.Now() })
}

// preempt frees room for an urgent task by checkpointing, throttling or stopping lower work on one own server.
func (d *Dispatcher) preempt(r placement.Request) bool {
	victims, err := d.config.Pool.Victims(r)
	if err != nil || len(victims) == 0 {
		return false
	}
	for _, v := range victims {
		d.spawn(func(ctx context.Context) { d.displace(ctx, v) })
	}
	return true
}

// displace takes the room of one victim; its origin queues it again.
func (d *Dispatcher) displace(ctx context.Context, v placement.Victim) {
	d.counts.preemptions.Inc()
	err := d.act(ctx, v)
	if errors.Is(err, backend.ErrUnsupported) {
		// The next choice of victims takes another action for this task.
		d.config.Pool.Refused(v.Host, v.Attempt, v.Action)
		d.Wake()
		return
	}
	if err != nil {
		d.config.Log.Info("preemption failed", "attempt", v.Attempt, "host", v.Host, "error", err.Error())
	}
}

func (d *Dispatcher) act(ctx context.Context, v placement.Victim) error {
	switch v.Action {
	case placement.ActionCheckpoint:
		return d.config.Servers.Checkpoint(ctx, v.Host, v.Attempt)
	case placement.ActionThrottle:
		err := d.config.Servers.Throttle(ctx, v.Host, v.Attempt, v.Percent)
		if err == nil {
			d.config.Pool.Throttled(v.Host, v.Attempt, v.Percent)
			d.Wake()
		}
		return err
	default:
		_, err := d.config.Servers.Stop(ctx, v.Host, v.Attempt)
		return err
	}
}
