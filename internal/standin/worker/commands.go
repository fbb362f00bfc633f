package worker

import (
	"context"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// isStaleLocked reports whether the fence is older than the accepted one.
func (w *Worker) isStaleLocked(f backend.Fence) bool {
	current := w.fence
	return f.Epoch < current.Epoch || f.Epoch == current.Epoch && (f.Owner != current.Owner || f.AttachNumber < current.AttachNumber)
}

// checkFenceLocked checks the fence of a command and, if the command needs it, the lease.
func (w *Worker) checkFenceLocked(f backend.Fence, needsLease bool) error {
	w.expireLocked()
	if w.isStaleLocked(f) {
		return backend.StaleEpochError{Current: w.fence}
	}
	if f != w.fence || needsLease && w.leaseEnd.IsZero() {
		return backend.ErrLeaseLapsed
	}
	return nil
}

// attach makes the sender the owner under a fence, grants the lease, and returns the inventory.
func (w *Worker) attach(f backend.Fence, lease backend.Millis) (backend.Inventory, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLocked()
	switch {
	case lease <= 0 || f.Owner == "" || f.Epoch == 0:
		return backend.Inventory{}, backend.ErrRefused
	case w.isStaleLocked(f) && !w.faults.fenceIgnored():
		return backend.Inventory{}, backend.StaleEpochError{Current: w.fence}
	}
	w.fence = f
	w.setLeaseLocked(lease.Duration())
	w.wakeLocked() // ends the polls of the previous owner
	inventory := backend.Inventory{Boot: w.bootID, Capacity: w.capacity, Leaving: w.leaving}
	for _, r := range w.running {
		r.reported = false
		t := r.task
		t.Payload = nil
		inventory.Running = append(inventory.Running, backend.Running{
			Task: t, Throttled: r.throttlePercent < unthrottledPercent, Ran: backend.ToMillis(w.config.Now().Sub(r.started)),
		})
	}
	inventory.Finished, inventory.Cursor = w.resultsAfterLocked(0)
	w.reportedVersion = w.stateVersion
	return inventory, nil
}

// poll renews the lease at once. It returns when there are new results or a change of state, after the wait, or when ctx
// ends.
func (w *Worker) poll(ctx context.Context, r backend.PollRequest) (backend.PollReply, error) {
	if r.Lease <= 0 || r.Wait < 0 {
		return backend.PollReply{}, backend.ErrRefused
	}
	timeout := make(chan struct{})
	stop := w.config.AfterFunc(r.Wait.Duration(), func() { close(timeout) })
	defer stop()
	waitElapsed := r.Wait == 0
	for first := true; ; first = false {
		w.mu.Lock()
		if err := w.acceptPollLocked(r, first); err != nil {
			w.mu.Unlock()
			return backend.PollReply{}, err
		}
		if waitElapsed || w.reportedVersion != w.stateVersion || w.hasResultsAfterLocked(r.After) {
			reply := w.pollReplyLocked(r)
			w.mu.Unlock()
			return reply, nil
		}
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-timeout:
			waitElapsed = true
		case <-ctx.Done():
			return backend.PollReply{}, backend.ErrUnknownOutcome
		}
	}
}

// acceptPollLocked checks a poll's fence. The first time, it also applies the acknowledgements and renews the lease.
func (w *Worker) acceptPollLocked(r backend.PollRequest, first bool) error {
	w.expireLocked()
	switch {
	case w.fence.Epoch == 0:
		return backend.ErrLeaseLapsed
	case r.Caretaker && r.Epoch != w.fence.Epoch:
		return backend.StaleEpochError{Current: w.fence}
	case !r.Caretaker:
		if err := w.checkFenceLocked(r.Fence, true); err != nil {
			return err
		}
	}
	if !first {
		return nil
	}
	w.acknowledgeLocked(r.Acknowledge)
	// A caretaker may collect results after the lease has lapsed, but it can't renew a lapsed lease.
	if !w.leaseEnd.IsZero() && w.config.Now().Add(r.Lease.Duration()).After(w.leaseEnd) {
		w.setLeaseLocked(r.Lease.Duration())
	}
	return nil
}

// pollReplyLocked builds the reply to a poll. A caretaker gets no usage, and its reply leaves the state unreported to the owner.
func (w *Worker) pollReplyLocked(r backend.PollRequest) backend.PollReply {
	reply := backend.PollReply{Boot: w.bootID, Capacity: w.capacity, Leaving: w.leaving, Cursor: r.After}
	if finished, cursor := w.resultsAfterLocked(r.After); len(finished) > 0 {
		reply.Finished, reply.Cursor = finished, cursor
	}
	if r.Caretaker {
		return reply
	}
	reply.Usage = w.usageLocked()
	w.reportedVersion = w.stateVersion
	return reply
}

// start starts a task under a valid fence and lease. An attempt is started at most once.
func (w *Worker) start(f backend.Fence, t backend.Task) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkFenceLocked(f, true); err != nil {
		if !w.faults.fenceIgnored() {
			return err
		}
		w.config.Ledger.recordStaleStart(w.config.Host, t.Attempt, f, w.fence)
	}
	if _, ok := w.running[t.Attempt]; ok {
		return backend.ErrDuplicate
	}
	if e, ok := w.endedAttempts[t.Attempt]; ok {
		if e.state == backend.StopNeverStarted {
			return backend.ErrStopped
		}
		return backend.ErrDuplicate
	}
	if w.leaving {
		return backend.ErrLeaving
	}
	w.startLocked(t)
	return nil
}

// stop stops an attempt, also under a lapsed lease. An attempt that never started gets a tombstone, so a later start of it is
// refused.
func (w *Worker) stop(f backend.Fence, attempt ident.AttemptID) (backend.StopState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkFenceLocked(f, false); err != nil {
		return "", err
	}
	if _, ok := w.running[attempt]; ok {
		w.finishLocked(attempt, backend.ExitStopped, nil, "stopped by its owner")
		return backend.StopStopped, nil
	}
	if e, ok := w.endedAttempts[attempt]; ok {
		return e.state, nil
	}
	w.recordEndLocked(attempt, backend.StopNeverStarted)
	return backend.StopNeverStarted, nil
}

// checkpoint ends a running attempt as checkpointed.
func (w *Worker) checkpoint(f backend.Fence, attempt ident.AttemptID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkFenceLocked(f, true); err != nil {
		return err
	}
	r, ok := w.running[attempt]
	if !ok {
		return backend.ErrRefused
	}
	if w.config.NoCheckpointOrThrottle(r.task) {
		return backend.ErrUnsupported
	}
	w.finishLocked(attempt, backend.ExitCheckpointed, nil, "checkpointed")
	return nil
}

// throttle limits a running attempt to a percentage of its CPU demand.
func (w *Worker) throttle(f backend.Fence, attempt ident.AttemptID, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkFenceLocked(f, true); err != nil {
		return err
	}
	r, ok := w.running[attempt]
	if !ok || percent < 1 || percent > unthrottledPercent {
		return backend.ErrRefused
	}
	if w.config.NoCheckpointOrThrottle(r.task) {
		return backend.ErrUnsupported
	}
	raised := percent > r.throttlePercent
	r.throttlePercent, r.reported = percent, false
	if raised {
		w.checkCapacityLocked(attempt)
	}
	return nil
}

// usageLocked returns the usage reports that are due and marks them as sent.
func (w *Worker) usageLocked() []backend.Usage {
	var due []backend.Usage
	for attempt, r := range w.running {
		if r.reported || w.config.Now().Sub(r.started) < w.config.UsageLag {
			continue
		}
		r.reported = true
		due = append(due, backend.Usage{
			Attempt: attempt, Used: scaleUsage(r.task.Demand, w.config.UsageFactor*float64(r.throttlePercent)/unthrottledPercent),
		})
	}
	return due
}

// scaleUsage multiplies CPU and memory, which a task can use more or less of; slots, connections and GPUs are fixed.
func scaleUsage(v resource.Vector, factor float64) resource.Vector {
	v.CPU = resource.MilliCPU(float64(v.CPU) * factor)
	v.Memory = resource.Megabytes(float64(v.Memory) * factor)
	return v
}

// callDetached runs a command independently of its caller's context. As over a network, the command takes effect even if
// the caller gives up, and the caller doesn't learn its outcome.
func callDetached[T any](ctx context.Context, command func() (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		value, err := command()
		done <- outcome{value, err}
	}()
	select {
	case o := <-done:
		return o.value, o.err
	case <-ctx.Done():
		var zero T
		return zero, backend.ErrUnknownOutcome
	}
}
