package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// stopTimeout bounds the stop of an attempt whose caller no longer waits.
const stopTimeout = 2 * time.Second

// ErrDuplicate reports that a task with the same key has been submitted and has not ended.
var ErrDuplicate = errors.New("task has already been submitted")

// ErrImpossible reports that no host could run the task, even if it were empty.
var ErrImpossible = errors.New("no host could run the task")

// Submit queues a task. After an error the task was not accepted and won't run.
func (d *Dispatcher) Submit(w Work) error {
	if ok, reason := d.CouldFit(w); !ok {
		return fmt.Errorf("%w: %s", ErrImpossible, reason)
	}
	e := &entry{key: w.key(), work: w, phase: queued, submitted: d.config.Now()}
	e.attempt = d.newAttempt(e.key)
	if err := d.insert(e); err != nil {
		return err
	}
	if err := d.queue.Push(d.item(e)); err != nil {
		d.remove(e.key)
		return fmt.Errorf("queue task %s: %w", e.key, err)
	}
	d.Wake()
	return nil
}

// CouldFit reports whether any known host could run the task if it were empty. It also returns true while some peers
// haven't reported yet, and while no host is known because hosts change owners.
func (d *Dispatcher) CouldFit(w Work) (bool, string) {
	ok, reason := d.config.Pool.CouldFit(w.Task.Demand)
	if ok || d.config.Fleet.CouldFit(w.Task.Demand) || !d.config.Fleet.AllPeersReported() {
		return true, ""
	}
	if reason == string(placement.NoHosts) && d.config.Fleet.NoServersKnown() {
		return true, ""
	}
	if _, complete := d.config.Servers.InventoryComplete(); !complete {
		return true, ""
	}
	return false, reason
}

func (d *Dispatcher) insert(e *entry) error {
	e.work.Task.Origin = d.config.Self().ID
	s := d.shard(e.key.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[e.key]; ok {
		return fmt.Errorf("task %s: %w", e.key, ErrDuplicate)
	}
	s.entries[e.key] = e
	return nil
}

func (d *Dispatcher) remove(k Key) {
	s := d.shard(k.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, k)
}

func (d *Dispatcher) item(e *entry) queue.Item[*entry] {
	t := e.work.Task
	tasks := 1
	if e.gang != nil {
		tasks = len(e.gang.members)
	}
	return queue.Item[*entry]{
		Key: e.key.String(), Team: t.Team, Queue: t.Queue, Kind: e.work.Kind, Demand: t.Demand.Times(int64(tasks)),
		Priority: t.Priority, Urgent: e.work.Urgent, Enqueued: e.submitted, Deadline: e.work.Deadline,
		Bytes: e.work.bytes(tasks), Admitted: e.work.Admitted, Value: e,
	}
}

// requeue puts a task that certainly doesn't run back into the queue with a new attempt ID.
func (d *Dispatcher) requeue(e *entry, what, reason string) {
	// A start can be refused before the queue has removed the item that it offered for that start.
	d.queue.AwaitOffer()
	var final *Completion
	known := d.withEntry(e.key, func(e *entry) {
		e.attempt = d.newAttempt(e.key)
		e.host, e.member = "", ""
		e.phase = queued
		if e.cancelReason != "" || e.expired(d.config.Now()) {
			e.phase = finished
			final = e.notStartedCompletion(e.endReason())
		}
	})
	if !known {
		return
	}
	if final != nil {
		d.finish(e, *final, func() {})
		return
	}
	d.recordDecision(e, what, reason)
	if err := d.queue.Requeue(d.item(e)); err != nil {
		d.finish(e, *e.notStartedCompletion(err.Error()), func() {})
		return
	}
	d.Wake()
}

func (e *entry) expired(now time.Time) bool {
	return !e.work.Deadline.IsZero() && !now.Before(e.work.Deadline)
}

func (e *entry) endReason() string {
	if e.cancelReason != "" {
		return e.cancelReason
	}
	return "deadline passed"
}

// notStartedCompletion returns the completion of a task whose last attempt certainly did not run. Earlier attempts
// may have run.
func (e *entry) notStartedCompletion(reason string) *Completion {
	outcome := api.NotRun
	if e.mayHaveRun {
		outcome = api.Failed
	}
	return &Completion{Outcome: outcome, Attempts: e.attempts, Reason: reason}
}

// finish removes the task and reports its end. acknowledge is called once the result is safe.
func (d *Dispatcher) finish(e *entry, f Completion, acknowledge func()) {
	what := "finished"
	if f.Outcome == api.NotRun {
		what = "refused"
	}
	reason := f.Reason
	if reason == "" {
		reason = string(f.Outcome)
	}
	d.recordDecision(e, what, reason)
	d.remove(e.key)
	d.counts.outcome(e.work.Kind, f.Outcome)
	e.work.OnDone(f, acknowledge)
}

// Cancel ends a task: a queued one at once, a running one by stopping it. It returns false for unknown tasks.
func (d *Dispatcher) Cancel(k Key, reason string) bool {
	var stop, done *entry
	var idleGang *gang
	known := d.withEntry(k, func(e *entry) {
		if e.phase == finished {
			return
		}
		e.cancelReason = reason
		if e.gang != nil && (e.phase == queued || e.phase == waiting) {
			idleGang = e.gang // A waiting gang ends after its backoff; see requeueGang.
			return
		}
		switch e.phase {
		case queued, waiting:
			e.phase = finished
			done = e
		case running, uncertain:
			stop = e
		}
	})
	if idleGang != nil && d.queue.Remove(idleGang.leader.String()) {
		d.endGang(idleGang, reason)
	}
	if done != nil {
		d.queue.Remove(k.String())
		d.finish(done, *done.notStartedCompletion(reason), func() {})
	}
	if stop != nil {
		d.spawn(func(ctx context.Context) { d.stopAttempt(ctx, stop) })
	}
	return known
}

// Abandon is called when the caller stops waiting. It returns the outcome of the task at that time.
func (d *Dispatcher) Abandon(ctx context.Context, k Key, reason string) api.Outcome {
	outcome := api.Unknown
	var e *entry
	var done, stop bool
	known := d.withEntry(k, func(found *entry) {
		e = found
		switch {
		case e.phase == queued, e.phase == waiting:
			e.phase, done = finished, true
		case e.phase == finished:
		default:
			e.cancelReason, e.abandoned, stop = reason, true, e.phase != placing
		}
	})
	if !known {
		return outcome
	}
	if done {
		// This runs without the entry's lock, because Remove waits for the verdict on an offered item, which needs
		// that lock. The phase already prevents the task from being placed.
		d.queue.Remove(k.String())
		f := e.notStartedCompletion(reason)
		d.finish(e, *f, func() {})
		return f.Outcome
	}
	if stop {
		stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		if d.stopAttempt(stopCtx, e) == backend.StopNeverStarted && !e.mayHaveRun {
			outcome = api.NotRun
		}
	}
	return outcome
}

// stopAttempt asks the owner of the attempt's backend server to stop it, and returns the state that the stop found.
func (d *Dispatcher) stopAttempt(ctx context.Context, e *entry) backend.StopState {
	var attempt ident.AttemptID
	var host ident.HostID
	var to ident.MemberID
	d.withEntry(e.key, func(e *entry) { attempt, host, to = e.attempt, e.host, e.member })
	if host == "" && to == "" {
		return ""
	}
	if to == d.config.Self().ID {
		state, err := d.config.Servers.Stop(ctx, host, attempt)
		if err != nil {
			d.config.Log.V(1).Info("failed to stop an attempt", "attempt", attempt, "host", host, "error", err.Error())
		}
		return state
	}
	reply, err := d.config.Peers.Cancel(ctx, to, wire.CancelRequest{Sender: d.sender(), Attempt: attempt, Host: host})
	if err != nil {
		d.config.Log.V(1).Info("failed to cancel an attempt at a peer", "attempt", attempt, "member", to, "error", err.Error())
	}
	return reply.State
}
