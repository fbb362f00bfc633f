package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
)

const (
	// preemptDelay is how long an urgent task waits before lower-priority tasks are preempted for it. A peer that has
	// just refused the task may still have capacity for it. The wait is a small part of the 2.2 s within which an
	// urgent task must start.
	preemptDelay = 300 * time.Millisecond
	// preemptInterval is how long an urgent task waits for the capacity of preempted tasks before it preempts more.
	preemptInterval = 500 * time.Millisecond
	// throttleTimeout bounds one throttle call. Until the call ends, the attempt's CPU share isn't changed again.
	throttleTimeout = 2 * time.Second
)

// preemptionDue reports whether preemptDelay has passed since the submission, and preemptInterval since the last
// preemption for the task.
func (d *Dispatcher) preemptionDue(e *entry) bool {
	due := false
	now := d.config.Now()
	d.withEntry(e.key, func(e *entry) {
		due = now.Sub(e.submitted) >= preemptDelay && now.Sub(e.lastPreemption) >= preemptInterval
	})
	return due
}

func (d *Dispatcher) markPreemption(e *entry) {
	d.withEntry(e.key, func(e *entry) { e.lastPreemption = d.config.Now() })
}

// preempt frees capacity for an urgent task by checkpointing, throttling or stopping lower-priority tasks on one
// backend server of this daemon.
func (d *Dispatcher) preempt(r placement.Request) bool {
	victims, err := d.config.Pool.SelectVictims(r)
	if err != nil || len(victims) == 0 {
		return false
	}
	for _, v := range victims {
		d.spawn(func(ctx context.Context) { d.preemptVictim(ctx, v) })
	}
	return true
}

// restoreThrottled returns throttled tasks to their full CPU share where capacity is free, unless urgent tasks wait
// for it.
func (d *Dispatcher) restoreThrottled() {
	if d.queue.UrgentLen() > 0 {
		return
	}
	for _, v := range d.config.Pool.RestoreThrottled() {
		d.spawn(func(ctx context.Context) { d.restoreShare(ctx, v) })
	}
}

// restoreShare asks a backend server to give one attempt its full CPU share, which is already counted.
func (d *Dispatcher) restoreShare(ctx context.Context, v placement.Victim) {
	err := d.applyAction(ctx, v)
	if err == nil {
		return
	}
	d.config.Pool.RecordUnconfirmedThrottle(v.Host, v.Attempt)
	if errors.Is(err, backend.ErrUnknownOutcome) {
		// The call may take effect late, after a later call that lowers the share.
		d.config.Pool.RecordRefusedAction(v.Host, v.Attempt, placement.ActionThrottle)
	}
	d.config.Log.V(1).Info("failed to restore the CPU share of a throttled attempt",
		"attempt", v.Attempt, "host", v.Host, "error", err.Error())
}

// preemptVictim frees the capacity of one victim, whose origin queues it again.
func (d *Dispatcher) preemptVictim(ctx context.Context, v placement.Victim) {
	d.counts.preemptions.Inc()
	err := d.applyAction(ctx, v)
	if errors.Is(err, backend.ErrUnsupported) {
		// The next selection of victims uses another action for this task.
		d.config.Pool.RecordRefusedAction(v.Host, v.Attempt, v.Action)
		d.Wake()
		return
	}
	if err != nil && v.Action == placement.ActionThrottle {
		d.config.Pool.RecordUnconfirmedThrottle(v.Host, v.Attempt)
	}
	if err != nil {
		d.config.Log.Info("failed to preempt an attempt", "attempt", v.Attempt, "host", v.Host, "error", err.Error())
	}
}

func (d *Dispatcher) applyAction(ctx context.Context, v placement.Victim) error {
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
