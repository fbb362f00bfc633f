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
	// throttleTimeout bounds one throttle call. Until it ends the attempt's share isn't changed again.
	throttleTimeout = 2 * time.Second
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
	victims, err := d.config.Pool.SelectVictims(r)
	if err != nil || len(victims) == 0 {
		return false
	}
	for _, v := range victims {
		d.spawn(func(ctx context.Context) { d.displace(ctx, v) })
	}
	return true
}

// restore gives throttled tasks their full share back where there is room, unless urgent work waits for room.
func (d *Dispatcher) restore() {
	if d.queue.UrgentLen() > 0 {
		return
	}
	for _, v := range d.config.Pool.RestoreThrottled() {
		d.spawn(func(ctx context.Context) { d.raise(ctx, v) })
	}
}

// raise tells a backend server the full share of one attempt, which is counted already.
func (d *Dispatcher) raise(ctx context.Context, v placement.Victim) {
	err := d.act(ctx, v)
	if err == nil {
		return
	}
	d.config.Pool.ThrottleUnconfirmed(v.Host, v.Attempt)
	if errors.Is(err, backend.ErrUnknownOutcome) {
		// The call may take effect late, after another one that lowers the share.
		d.config.Pool.ActionRefused(v.Host, v.Attempt, placement.ActionThrottle)
	}
	d.config.Log.V(1).Info("share of a throttled attempt not raised", "attempt", v.Attempt, "host", v.Host, "error", err.Error())
}

// displace takes the room of one victim; its origin queues it again.
func (d *Dispatcher) displace(ctx context.Context, v placement.Victim) {
	d.counts.preemptions.Inc()
	err := d.act(ctx, v)
	if errors.Is(err, backend.ErrUnsupported) {
		// The next choice of victims takes another action for this task.
		d.config.Pool.ActionRefused(v.Host, v.Attempt, v.Action)
		d.Wake()
		return
	}
	if err != nil && v.Action == placement.ActionThrottle {
		d.config.Pool.ThrottleUnconfirmed(v.Host, v.Attempt)
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
		ctx, cancel := context.WithTimeout(ctx, throttleTimeout)
		defer cancel()
		err := d.config.Servers.Throttle(ctx, v.Host, v.Attempt, v.CPUPercent)
		if err == nil {
			d.config.Pool.ConfirmThrottle(v.Host, v.Attempt, v.CPUPercent)
			d.Wake()
		}
		return err
	default:
		_, err := d.config.Servers.Stop(ctx, v.Host, v.Attempt)
		return err
	}
}
