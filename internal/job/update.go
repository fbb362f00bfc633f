package job

import (
	"context"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// updateTask changes the record of a task. onWritten is called once the change is in the store; it may be nil. The result
// is false if this member doesn't own the job.
func (t *Table) updateTask(
	id ident.JobID, index int, onWritten func(), change func(b *batch, j *jobRecord, task *taskRecord),
) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.jobs[id]
	if !ok {
		return false
	}
	j := p.job
	change(p.batch, j, &j.Tasks[index])
	if j.phase().Done() && j.Finished.IsZero() {
		j.Finished = t.config.Now()
	}
	if onWritten != nil {
		p.batch.onWritten = append(p.batch.onWritten, onWritten)
	}
	t.markDirty(p.batch)
	t.notifyWaiters()
	return true
}

// notifyWaiters wakes the callers of Wait. The caller holds the lock.
func (t *Table) notifyWaiters() {
	close(t.jobChanged)
	t.jobChanged = make(chan struct{})
}

// recordStart updates a task with its running attempt. It causes no write: the next write of the batch includes the change,
// and a member that takes the batch over learns of the attempt from the backend servers.
func (t *Table) recordStart(id ident.JobID, index int, a ident.AttemptID, h ident.HostID, attempts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.jobs[id]
	if !ok {
		return
	}
	if task := &p.job.Tasks[index]; !task.Phase.Done() {
		task.Phase, task.Attempt, task.Host, task.Attempts = api.Running, a, h, attempts
	}
	t.notifyWaiters()
}

// markDispatched returns a function that records, before a non-idempotent task is sent, that it may have been started.
// If the owner is lost, such a task ends as unknown unless its attempt is found; a task without the mark can be started
// safely.
func (t *Table) markDispatched(id ident.JobID, index int) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		recorded := make(chan struct{})
		known := t.updateTask(id, index, func() { close(recorded) }, func(b *batch, _ *jobRecord, task *taskRecord) {
			task.Dispatched, b.urgent = true, true
		})
		if !known {
			return fmt.Errorf("job %s: %w", id, ErrNotFound)
		}
		select {
		case <-recorded:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("record the dispatch of task %s/%d: %w", id, index, ctx.Err())
		}
	}
}

// onTaskDone records the end of a task and calls acknowledge once the record is in the store. A result that doesn't fit
// into the batch record is written to a separate key first.
func (t *Table) onTaskDone(id ident.JobID, index int, completion dispatch.Completion, acknowledge func()) {
	answer := completion.Result.Answer
	if len(answer) > maxInlineBytes || !t.fitsInBatch(id, len(answer)) {
		t.wg.Go(func() {
			if err := t.storeResult(t.baseCtx, id, index, answer); err != nil {
				t.config.Log.Info("failed to store a result; the backend server keeps it", "job", id, "task", index, "error", err.Error())
				return
			}
			t.recordEnd(id, index, completion, acknowledge, nil, true)
		})
		return
	}
	t.recordEnd(id, index, completion, acknowledge, answer, false)
}

// fitsInBatch reports whether a result fits into the job's batch record.
func (t *Table) fitsInBatch(id ident.JobID, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.jobs[id]
	return !ok || p.batch.bytes+n*4/3 <= maxRecordBytes
}

// recordEnd updates the record of a task that has ended. acknowledge is called once the record is in the store.
func (t *Table) recordEnd(
	id ident.JobID, index int, completion dispatch.Completion, acknowledge func(), payload []byte, stored bool,
) {
	known := t.updateTask(id, index, acknowledge, func(b *batch, j *jobRecord, task *taskRecord) {
		b.bytes += len(payload) * 4 / 3
		task.Outcome, task.Reason, task.Payload, task.Stored = completion.Outcome, completion.Reason, payload, stored
		task.Attempts = max(task.Attempts, completion.Attempts)
		if completion.Host != "" {
			task.Host, task.Attempt = completion.Host, completion.Attempt
		}
		switch {
		case completion.Outcome == api.Answered:
			task.Phase = api.Succeeded
		case j.Cancelled != "":
			task.Phase = api.Cancelled
		default:
			task.Phase = api.Broken
		}
	})
	if !known {
		// Another member has taken the batch over and gets the result from the backend server.
		t.config.Log.V(1).Info("ignored the result of a job that this member no longer owns", "job", id, "task", index)
	}
}

// storeResult writes a result to a separate key. It retries until the store accepts the result, the result is too large
// for the store, or the context ends.
func (t *Table) storeResult(ctx context.Context, id ident.JobID, index int, answer []byte) error {
	key := resultKey(id, index)
	for {
		if !t.allowBackgroundWrite() {
			if !sleep(ctx, t.config.FlushInterval) {
				return fmt.Errorf("store result %s: %w", key, ctx.Err())
			}
			continue
		}
		_, err := t.config.Store.CompareAndSwap(ctx, key, 0, answer, 0)
		if err == nil || isConflict(err) {
			return nil // A conflict means that an earlier attempt succeeded but its reply was lost.
		}
		if isTooLarge(err) {
			return fmt.Errorf("store result %s: %w", key, err)
		}
		if !sleep(ctx, t.config.FlushInterval) {
			return fmt.Errorf("store result %s: %w", key, ctx.Err())
		}
	}
}

// Rate limit of cancellations. A burst of cancellations uses all cores and delays the starts of other work: 20,000 at
// once increased the p99 of the waits for a start from 0.8 ms to 15 ms. At this rate 20,000 take 5 s.
const (
	cancelsPerSecond = 4000
	cancelBurst      = 8
)

// Cancel cancels the unfinished tasks of a job, and waits if the rate limit of cancellations requires it. The next write
// of the batch records the cancellation, so that a later owner doesn't restart the job.
func (t *Table) Cancel(ctx context.Context, id ident.JobID, reason string) error {
	if !t.owns(id) {
		return fmt.Errorf("job %s: %w", id, ErrNotFound)
	}
	now := t.config.Now()
	reservation := t.cancelLimiter.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 && !sleep(ctx, delay) {
		reservation.Cancel()
		return fmt.Errorf("cancel job %s: %w", id, ctx.Err())
	}
	t.mu.Lock()
	p, ok := t.jobs[id]
	if !ok {
		t.mu.Unlock()
		return fmt.Errorf("job %s: %w", id, ErrNotFound)
	}
	j := p.job
	if !j.phase().Done() && j.Cancelled == "" {
		j.Cancelled = reason
		t.markDirty(p.batch)
	}
	unfinished := j.unfinishedTasks()
	t.mu.Unlock()
	for _, i := range unfinished {
		t.config.Dispatcher.Cancel(dispatch.Key{Job: id, Index: i}, reason)
	}
	return nil
}

func (t *Table) owns(id ident.JobID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.jobs[id]
	return ok
}
