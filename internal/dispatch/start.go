package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// startState is the known result of a start command.
type startState int

const (
	startSucceeded startState = iota // the attempt runs or has run
	neverStarted                     // the attempt did not run and never will
	startUncertain                   // the attempt may run; the stop command failed as well
)

// start sends the current attempt of an entry to a backend server of this daemon.
func (d *Dispatcher) start(ctx context.Context, e *entry, host ident.HostID) {
	var task backend.Task
	d.withEntry(e.key, func(e *entry) {
		task = e.work.Task
		task.Attempt, task.Origin = e.attempt, d.config.Self().ID
	})
	if err := d.prepare(ctx, e); err != nil {
		d.releaseAttempt(host, task.Attempt, task.Team)
		d.endInvalid(e, err)
		return
	}
	state, err := d.sendStart(ctx, host, task)
	switch state {
	case startSucceeded:
		d.recordStart(e, task.Attempt, host, d.config.Self().ID)
	case neverStarted:
		d.releaseAttempt(host, task.Attempt, task.Team)
		d.withEntry(e.key, func(e *entry) { e.avoidHost(host) })
		d.requeue(e, "retried", fmt.Sprintf("start on %s refused: %v", host, err))
	case startUncertain:
		d.markUncertain(e, task.Attempt, fmt.Sprintf("start on %s has an unknown outcome: %v", host, err))
	}
}

// prepare validates a task right before its start and records the start.
func (d *Dispatcher) prepare(ctx context.Context, e *entry) error {
	if e.work.Validate != nil {
		if err := e.work.Validate(); err != nil {
			return fmt.Errorf("validate before the start: %w", err)
		}
	}
	if e.work.Prepare != nil {
		if err := e.work.Prepare(ctx); err != nil {
			return fmt.Errorf("record the start: %w", err)
		}
	}
	return nil
}

func (d *Dispatcher) endInvalid(e *entry, err error) {
	var f *Completion
	d.withEntry(e.key, func(e *entry) {
		e.phase = finished
		f = e.notStartedCompletion(err.Error())
	})
	if f != nil {
		d.finish(e, *f, func() {})
	}
}

// sendStart starts an attempt on a backend server of this daemon. If the outcome is unknown, a stop command
// determines it.
func (d *Dispatcher) sendStart(ctx context.Context, host ident.HostID, t backend.Task) (startState, error) {
	err := d.config.Servers.Start(ctx, host, t)
	switch {
	case err == nil, errors.Is(err, backend.ErrDuplicate):
		d.config.Pool.ConfirmStart(host, t.Attempt)
		d.counts.starts.Inc()
		return startSucceeded, nil
	case errors.Is(err, backend.ErrUnknownOutcome):
		return d.resolveStart(ctx, host, t, err)
	}
	return neverStarted, err
}

// resolveStart asks the backend server to stop an attempt whose start command may have arrived.
func (d *Dispatcher) resolveStart(ctx context.Context, host ident.HostID, t backend.Task, cause error) (startState, error) {
	state, err := d.config.Servers.Stop(ctx, host, t.Attempt)
	switch {
	case err != nil:
		return startUncertain, cause
	case state == backend.StopNeverStarted:
		return neverStarted, cause
	default:
		return startSucceeded, nil
	}
}

// recordStart records that an attempt runs, and stops the attempt if the task was cancelled in the meantime.
func (d *Dispatcher) recordStart(e *entry, attempt ident.AttemptID, host ident.HostID, owner ident.MemberID) {
	var stop, current bool
	var attempts int
	now := d.config.Now()
	d.withEntry(e.key, func(e *entry) {
		if e.attempt != attempt || e.phase != placing {
			return
		}
		current = true
		e.phase, e.host, e.member, e.mayHaveRun, e.started = running, host, owner, true, now
		e.attempts++
		attempts, stop = e.attempts, e.cancelReason != ""
	})
	if !current {
		return
	}
	if attempts == 1 {
		d.config.Budget.RecordStart()
	}
	d.counts.wait(e.work, now.Sub(e.submitted))
	d.recordDecision(e, "placed", "backend server with free capacity found")
	if e.work.OnStart != nil {
		e.work.OnStart(attempt, host, attempts)
	}
	if stop {
		d.spawn(func(ctx context.Context) { d.stopAttempt(ctx, e) })
	}
}

// markUncertain marks an attempt that may run on an unknown backend server. The audit looks for it.
func (d *Dispatcher) markUncertain(e *entry, attempt ident.AttemptID, reason string) {
	known := d.withEntry(e.key, func(e *entry) {
		if e.attempt == attempt && (e.phase == placing || e.phase == running) {
			e.phase, e.mayHaveRun, e.missedAudits = uncertain, true, 0
		}
	})
	if known {
		d.recordDecision(e, "waits", reason)
	}
}

// retryLater puts a task back into the queue after a backoff.
func (d *Dispatcher) retryLater(e *entry, reason string) {
	var attempts int
	d.withEntry(e.key, func(e *entry) {
		e.phase = waiting
		attempts = e.attempts
	})
	pause := d.config.Backoff.Delay(attempts)
	d.recordDecision(e, "retried", fmt.Sprintf("%s; next attempt in %s", reason, pause.Round(time.Millisecond)))
	d.spawn(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		ready := false
		d.withEntry(e.key, func(e *entry) { ready = e.phase == waiting })
		if ready {
			d.requeue(e, "waits", "backoff has ended")
		}
	})
}

// mayRetry reports whether a failed task gets another attempt, and the reason if it doesn't.
func (d *Dispatcher) mayRetry(e *entry) (bool, string) {
	if e.work.Task.NonIdempotent {
		return false, "non-idempotent work isn't retried"
	}
	if reason, stop := d.config.Blame.StopReason(e.work.Task.Job); stop {
		return false, reason
	}
	retries := e.work.Retries
	if e.work.Kind == api.KindService {
		retries = e.attempts + 1 // A service is restarted as long as the retry budget allows.
	}
	if err := d.config.Budget.TakeRetry(e.attempts, retries); err != nil {
		return false, err.Error()
	}
	return true, ""
}
