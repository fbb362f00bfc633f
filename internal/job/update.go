package job

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// updateTask changes one task's record; after is called once the change is in the store. It returns false when the job
// isn't owned.
func (t *Table) updateTask(id ident.JobID, index int, onWritten func(), change func(b *batch, j *jobRecord, k *taskRecord)) bool {
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

// notifyWaiters wakes everyone who waits for a job; the caller holds the lock.
func (t *Table) notifyWaiters() {
	close(t.jobChanged)
	t.jobChanged = make(chan struct{})
}

// recordStart notes where a task runs. It doesn't cause a write: a member that takes the batch over learns it from the
// backend servers, and the record gets it with the next write of the batch.
func (t *Table) recordStart(id ident.JobID, index int, a ident.AttemptID, h ident.HostID, attempts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.jobs[id]
	if !ok {
		return
	}
	if k := &p.job.Tasks[index]; !k.Phase.Done() {
		k.Phase, k.Attempt, k.Host, k.Attempts = api.Running, a, h, attempts
	}
	t.notifyWaiters()
}

// markDispatched records that a non-idempotent task may run, before it is sent. After the owner's death
// such a task ends as unknown unless its attempt is found; one without the mark is safe to start.
func (t *Table) markDispatched(id ident.JobID, index int) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		recorded := make(chan struct{})
		known := t.updateTask(id, index, func() { close(recorded) }, func(b *batch, _ *jobRecord, k *taskRecord) {
			k.Dispatched, b.urgent = true, true
		})
		if !known {
			return fmt.Errorf("job %s: %w", id, ErrNotFound)
		}
		select {
		case <-recorded:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("record dispatch of %s/%d: %w", id, index, ctx.Err())
		}
	}
}

// onTaskDone records the end of a task and calls keep once the store has it.
func (t *Table) onTaskDone(id ident.JobID, index int, f dispatch.Completion, acknowledge func()) {
	answer := f.Result.Answer
	if len(answer) > maxInlineBytes || !t.fitsInBatch(id, len(answer)) {
		t.wg.Go(func() {
			if err := t.storeResult(t.baseCtx, id, index, answer); err != nil {
				t.config.Log.Info("result was not stored; the backend server keeps it", "job", id, "task", index, "error", err.Error())
				return
			}
			t.recordEnd(id, index, f, acknowledge, nil, true)
		})
		return
	}
	t.recordEnd(id, index, f, acknowledge, answer, false)
}

// fitsInBatch reports whether a result fits into the job's batch record.
func (t *Table) fitsInBatch(id ident.JobID, n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.jobs[id]
	return !ok || p.batch.bytes+n*4/3 <= maxRecordBytes
}

func (t *Table) recordEnd(id ident.JobID, index int, f dispatch.Completion, acknowledge func(), payload []byte, stored bool) {
	known := t.updateTask(id, index, acknowledge, func(b *batch, j *jobRecord, k *taskRecord) {
		b.bytes += len(payload) * 4 / 3
		k.Outcome, k.Reason, k.Payload, k.Stored = f.Outcome, f.Reason, payload, stored
		k.Attempts = max(k.Attempts, f.Attempts)
		if f.Host != "" {
			k.Host, k.Attempt = f.Host, f.Attempt
		}
		switch {
		case f.Outcome == api.Answered:
			k.Phase = api.Succeeded
		case j.Cancelled != "":
			k.Phase = api.Cancelled
		default:
			k.Phase = api.Broken
		}
	})
	if !known {
		// Another member has taken the batch over; it asks the backend servers for the result.
		t.config.Log.V(1).Info("result of a job that isn't owned any more", "job", id, "task", index)
	}
}

// storeResult writes a large result under a key of its own, repeating until the store takes it.
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
			return nil // A conflict means that an earlier write whose reply was lost has taken effect.
		}
		if isTooLarge(err) {
			return fmt.Errorf("store result %s: %w", key, err)
		}
		if !sleep(ctx, t.config.FlushInterval) {
			return fmt.Errorf("store result %s: %w", key, ctx.Err())
		}
	}
}

// readPayload returns a task's result, reading it from its own key when it is large.
func (t *Table) readPayload(ctx context.Context, id ident.JobID, index int, k taskRecord) ([]byte, error) {
	if !k.Stored {
		return k.Payload, nil
	}
	item, err := t.config.Store.Get(ctx, resultKey(id, index))
	if err != nil {
		return nil, fmt.Errorf("read result of %s/%d: %w", id, index, err)
	}
	return item.Value, nil
}

// Cancellations are paced, because a wave of them on all cores delays the starts of other work: 20,000 at once made the
// p99 of the starts' waits 15 ms instead of 0.8 ms. At this rate they end in 5 s.
const (
	cancelsPerSecond = 4000
	cancelBurst      = 8
)

// Cancel ends a job's tasks. The cancellation is recorded with the next write of its batch, so that a later owner
// doesn't start it again. It waits for its turn among other cancellations.
func (t *Table) Cancel(ctx context.Context, id ident.JobID, reason string) error {
	if !t.owns(id) {
		return fmt.Errorf("job %s: %w", id, ErrNotFound)
	}
	now := t.config.Now()
	reservation := t.cancels.ReserveN(now, 1)
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

// collectInterval is how often finished jobs past the retention are looked for.
const collectInterval = time.Second

// expiredBatches returns the batches whose jobs have all been finished for longer than the retention.
func (t *Table) expiredBatches() []*batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	if now.Sub(t.lastCollection) < collectInterval {
		return nil
	}
	t.lastCollection = now
	var expired []*batch
	for _, b := range t.batches {
		if !slices.ContainsFunc(b.record.Jobs, func(j *jobRecord) bool {
			return j.Finished.IsZero() || now.Sub(j.Finished) <= t.config.Retention
		}) {
			expired = append(expired, b)
		}
	}
	return expired
}

func (t *Table) deleteBatch(ctx context.Context, b *batch) {
	if err := t.config.Store.Delete(ctx, b.key, b.revision); err != nil && !isConflict(err) && !isNotFound(err) {
		return // The next collection tries again.
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetBatch(b)
	for _, j := range b.record.Jobs {
		for i, k := range j.Tasks {
			if k.Stored {
				t.wg.Go(func() { t.deleteResult(resultKey(j.ID, i)) })
			}
		}
	}
}

func (t *Table) deleteResult(key string) {
	item, err := t.config.Store.Get(t.baseCtx, key)
	if err != nil {
		return
	}
	if err := t.config.Store.Delete(t.baseCtx, key, item.Revision); err != nil {
		t.config.Log.V(1).Info("result key was not removed", "key", key, "error", err.Error())
	}
}
