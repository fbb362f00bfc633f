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

// startState is what is known after a start command.
type startState int

const (
	startRuns  startState = iota // the attempt runs or has run
	startNever                   // the attempt did not run and never will
	startLost                    // the attempt may run; the server no longer answers to us
)

// start sends the current attempt of an entry to an own backend server.
func (d *Dispatcher) start(ctx context.Context, e *entry, host ident.HostID) {
	var task backend.Task
	d.with(e.key, func(e *entry) {
		task = e.work.Task
		task.Attempt, task.Origin = e.attempt, d.config.Self().ID
	})
	if err := d.prepare(ctx, e); err != nil {
		d.freed(host, task.Attempt, task.Team)
		d.endInvalid(e, err)
		return
	}
	state, err := d.send(ctx, host, task)
	switch state {
	case startRuns:
		d.started(e, task.Attempt, host, d.config.Self().ID)
	case startNever:
		d.freed(host, task.Attempt, task.Team)
		d.with(e.key, func(e *entry) { e.avoidHost(host) })
		d.requeue(e, "retried", fmt.Sprintf("start on %s refused: %v", host, err))
	case startLost:
		d.lose(e, task.Attempt, fmt.Sprintf("start on %s has an unknown outcome: %v", host, err))
	}
}

// prepare runs the checks that must hold right before a start.
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
	var f *Final
	d.with(e.key, func(e *entry) {
		e.phase = finished
		f = e.notStarted(err.Error())
	})
	if f != nil {
		d.finish(e, *f, func() {})
	}
}

// send starts an attempt on an own backend server. An outcome that stays unknown is settled by a stop.
func (d *Dispatcher) send(ctx context.Context, host ident.HostID, t backend.Task) (startState, error) {
	err := d.config.Servers.Start(ctx, host, t)
	switch {
	case err == nil, errors.Is(err, backend.ErrDuplicate):
		d.config.Pool.ConfirmStart(host, t.Attempt)
		d.counts.starts.Inc()
		return startRuns, nil
	case errors.Is(err, backend.ErrUnknownOutcome):
		return d.settle(ctx, host, t, err)
	}
	return startNever, err
}

// settle asks the backend server to stop an attempt whose start may have arrived.
func (d *Dispatcher) settle(ctx context.Context, host ident.HostID, t backend.Task, cause error) (startState, error) {
	state, err := d.config.Servers.Stop(ctx, host, t.Attempt)
	switch {
	case err != nil:
		return startLost, cause
	case state == backend.StopNeverStarted:
		return startNever, cause
	default:
		return startRuns, nil
	}
}

// started records that an attempt runs, and stops it when it was cancelled meanwhile.
func (d *Dispatcher) started(e *entry, attempt ident.AttemptID, host ident.HostID, owner ident.MemberID) {
	var stop, current bool
	var attempts int
	now := d.config.Now()
	d.with(e.key, func(e *entry) {
		if e.attempt != attempt || e.phase != placing {
			return
		}
		current = true
		e.phase, e.host, e.member, e.mayHave, e.started = running, host, owner, true, now
		e.attempts++
		attempts, stop = e.attempts, e.cancelled != ""
	})
	if !current {
		return
	}
	if attempts == 1 {
		d.config.Budget.Started()
	}
	d.counts.wait(e.work, now.Sub(e.submitted))
	d.record(e, "placed", "backend server with room found")
	if e.work.Started != nil {
		e.work.Started(attempt, host, attempts)
	}
	if stop {
		d.spawn(func(ctx context.Context) { d.stopAttempt(ctx, e) })
	}
}

// lose marks an attempt that may run at an unknown place; the audit looks for it.
func (d *Dispatcher) lose(e *entry, attempt ident.AttemptID, reason string) {
	known := d.with(e.key, func(e *entry) {
		if e.attempt == attempt && (e.phase == placing || e.phase == running) {
			e.phase, e.mayHave, e.lost = uncertain, true, 0
		}
	})
	if known {
		d.record(e, "waits", reason)
	}
}

// retryLater puts a task back into the queue after a backoff.
func (d *Dispatcher) retryLater(e *entry, reason string) {
	var attempts int
	d.with(e.key, func(e *entry) {
		e.phase = waiting
		attempts = e.attempts
	})
	pause := d.config.Backoff.Delay(attempts)
	d.record(e, "retried", fmt.Sprintf("%s; next attempt in %s", reason, pause.Round(time.Millisecond)))
	d.spawn(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		ready := false
		d.with(e.key, func(e *entry) { ready = e.phase == waiting })
		if ready {
			d.requeue(e, "waits", "backoff has ended")
		}
	})
}

// mayRetry reports whether a failed task gets another attempt.
func (d *Dispatcher) mayRetry(e *entry) (bool, string) {
	if e.work.Task.NonIdempotent {
		return false, "non-idempotent work isn't retried"
	}
	if reason, stop := d.config.Blame.StopJob(e.work.Task.Job); stop {
		return false, reason
	}
	retries := e.work.Retries
	if e.work.Kind == api.KindService {
		retries = e.attempts + 1 // A service is restarted as long as the budget allows.
	}
	if err := d.config.Budget.Retry(e.attempts, retries); err != nil {
		return false, err.Error()
	}
	return true, ""
}
