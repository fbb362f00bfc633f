package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const batchKeyPrefix = "jobs/"

func isConflict(err error) bool { return errors.Is(err, platform.ErrConflict) }
func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }
func isTooLarge(err error) bool { return errors.Is(err, platform.ErrTooLarge) }

// flush writes new jobs and changed batches and deletes expired batches, within the write budget.
func (t *Table) flush(ctx context.Context) {
	t.mu.Lock()
	t.budget.refill(t.config.OtherWriteCount(), t.config.Now())
	t.mu.Unlock()
	for {
		b, submissions := t.nextWrite()
		if b == nil {
			break
		}
		if !t.writeBatch(ctx, b, submissions) {
			return
		}
	}
	for _, b := range t.expiredBatches() {
		if !t.allowBackgroundWrite() {
			return
		}
		t.deleteBatch(ctx, b)
	}
}

// allowBackgroundWrite takes a token for a write that no caller waits for. It returns false if that would leave no token
// for the writes of new jobs.
func (t *Table) allowBackgroundWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.take(budgetBurst)
}

// nextWrite returns the batch to write next and the submissions to add to it, or nil if there is nothing to write or the
// budget is exhausted. New jobs have precedence because their callers wait, but after maxConsecutiveNewWrites writes of
// new jobs a changed batch is written. While no new jobs are pending, a changed batch that isn't urgent is written only
// if that leaves one token for new jobs.
func (t *Table) nextWrite() (*batch, []*submission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) > 0 && (t.consecutiveNewWrites < maxConsecutiveNewWrites || len(t.dirty) == 0) {
		if !t.budget.take(1) {
			return nil, nil
		}
		t.consecutiveNewWrites++
		return t.fillBatch()
	}
	if len(t.dirty) == 0 {
		return nil, nil
	}
	b := t.dirty[max(0, slices.IndexFunc(t.dirty, func(b *batch) bool { return b.urgent }))]
	minTokens := float64(budgetBurst)
	if b.urgent || len(t.pending) > 0 {
		minTokens = 1
	}
	if !t.budget.take(minTokens) {
		return nil, nil
	}
	t.consecutiveNewWrites = 0
	return b, nil
}

// fillBatch takes pending submissions for the open batch or a new one, up to its size limit. The caller holds the lock.
func (t *Table) fillBatch() (*batch, []*submission) {
	b, bound := t.openBatch, maxOpenBatchBytes
	if b == nil || b.bytes+t.pending[0].job.size() > bound {
		self := t.config.Self()
		b = &batch{key: batchKeyPrefix + ident.Random(string(self.ID)), record: record{Owner: self.ID, Incarnation: self.Incarnation}}
		bound = maxNewBatchBytes
	}
	n, size := 0, b.bytes
	for n < len(t.pending) && (n == 0 || size+t.pending[n].job.size() <= bound) {
		size += t.pending[n].job.size()
		t.pending[n].inWrite = true
		n++
	}
	submissions := slices.Clone(t.pending[:n])
	t.pending = slices.Delete(t.pending, 0, n)
	return b, submissions
}

// writeBatch writes a batch with its changes and the submissions taken for it. It returns false if the write failed for a
// reason other than a conflict; further writes would fail too.
func (t *Table) writeBatch(ctx context.Context, b *batch, submissions []*submission) bool {
	t.mu.Lock()
	urgent := b.urgent
	t.clearDirty(b)
	callbacks := b.onWritten
	b.onWritten = nil
	next := b.record
	next.Nonce = ident.Random("n")
	// The batch is encoded without holding the lock, because that takes milliseconds for a large batch and the start and
	// end of every task needs the lock.
	next.Jobs = make([]*jobRecord, 0, len(b.record.Jobs)+len(submissions))
	for _, j := range b.record.Jobs {
		next.Jobs = append(next.Jobs, j.snapshot())
	}
	t.mu.Unlock()
	for _, s := range submissions {
		next.Jobs = append(next.Jobs, s.job)
	}
	value, err := json.Marshal(next)
	revision := b.revision
	if err == nil {
		revision, err = t.writeRecord(ctx, b.key, revision, value, next.Nonce)
	}
	switch {
	case err == nil:
		b.revision = revision
		t.acceptJobs(b, submissions)
		for _, f := range callbacks {
			f()
		}
		return true
	case isConflict(err), errors.Is(err, platform.ErrUnknownOutcome):
		// The record may contain the new jobs; after a conflict the member that took the batch over may have them. So
		// this member must neither start them nor write them again.
		for _, s := range submissions {
			s.done <- fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
		if isConflict(err) {
			t.dropLostBatch(b)
			return true
		}
		submissions = nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.batches[b.key] == b {
		b.onWritten, b.urgent = append(callbacks, b.onWritten...), b.urgent || urgent
		t.markDirty(b)
	}
	var unrecorded []*submission
	for _, s := range submissions {
		s.inWrite = false
		if s.withdrawn {
			s.done <- fmt.Errorf("%w: %w", ErrNotRecorded, err)
			continue
		}
		unrecorded = append(unrecorded, s)
	}
	t.pending = append(unrecorded, t.pending...)
	return false
}

// markDirty adds a batch to those with unwritten changes. The caller holds the lock.
func (t *Table) markDirty(b *batch) {
	if !b.dirty {
		b.dirty = true
		t.dirty = append(t.dirty, b)
	}
}

// clearDirty removes a batch from those with unwritten changes. The caller holds the lock.
func (t *Table) clearDirty(b *batch) {
	if b.dirty {
		b.dirty, b.urgent = false, false
		t.dirty = slices.DeleteFunc(t.dirty, func(o *batch) bool { return o == b })
	}
}

// writeRecord writes a batch record by compare-and-swap. If the outcome is unknown, it reads the record back, compares the
// nonce and repeats the write if necessary.
func (t *Table) writeRecord(
	ctx context.Context, key string, expect platform.Revision, value []byte, nonce string,
) (platform.Revision, error) {
	revision, err := t.config.Store.CompareAndSwap(ctx, key, expect, value, 0)
	for errors.Is(err, platform.ErrUnknownOutcome) {
		if !sleep(ctx, t.config.FlushInterval) {
			return 0, fmt.Errorf("write %s: %w", key, err)
		}
		item, readErr := t.config.Store.Get(ctx, key)
		switch {
		case isNotFound(readErr):
			// The key doesn't exist, but the first write may still be in flight. Writing again resolves that: one of the
			// two writes creates the key and the other gets a conflict.
			revision, err = t.config.Store.CompareAndSwap(ctx, key, expect, value, 0)
		case readErr == nil:
			var found record
			if json.Unmarshal(item.Value, &found) == nil && found.Nonce == nonce {
				return item.Revision, nil
			}
			if item.Revision != expect {
				return 0, fmt.Errorf("write %s: %w", key, platform.ErrConflict)
			}
			revision, err = t.config.Store.CompareAndSwap(ctx, key, expect, value, 0)
		}
	}
	if isConflict(err) {
		// After a repeated write, the conflict may be with the first write, which arrived late.
		if item, readErr := t.config.Store.Get(ctx, key); readErr == nil {
			var found record
			if json.Unmarshal(item.Value, &found) == nil && found.Nonce == nonce {
				return item.Revision, nil
			}
		}
	}
	if err != nil {
		return 0, fmt.Errorf("write %s: %w", key, err)
	}
	return revision, nil
}

// acceptJobs adds the new jobs of a written batch to the table, submits their tasks to the dispatcher and ends their
// submissions.
func (t *Table) acceptJobs(b *batch, submissions []*submission) {
	if len(submissions) == 0 {
		return
	}
	t.mu.Lock()
	self := t.config.Self()
	// If the incarnation was removed in the meantime, its batches were dropped and another member takes over the record.
	owned := b.record.Incarnation == self.Incarnation && (len(b.record.Jobs) == 0 || t.batches[b.key] == b)
	if owned {
		t.batches[b.key], t.openBatch = b, b
		for _, s := range submissions {
			t.addJob(b, s.job)
		}
	}
	t.mu.Unlock()
	for _, s := range submissions {
		if owned {
			t.dispatchTasks(s.job, taskIndexes(s.job))
		}
		s.done <- nil
	}
}

// addJob adds a recorded job to its batch and to the table. The caller holds the lock.
func (t *Table) addJob(b *batch, j *jobRecord) {
	b.record.Jobs = append(b.record.Jobs, j)
	b.bytes += j.size()
	t.jobs[j.ID] = jobLocation{b, j}
}

// dispatchTasks submits tasks of a job to the dispatcher, those of an all-at-once job together.
func (t *Table) dispatchTasks(j *jobRecord, tasks []int) {
	works := make([]dispatch.Work, len(tasks))
	for i, index := range tasks {
		works[i] = j.work(index, t)
	}
	if j.Policy.Kind == api.KindAllAtOnce {
		t.submitOrRetry(func() error { return t.config.Dispatcher.SubmitGang(works) }, works)
		return
	}
	for _, w := range works {
		t.submitOrRetry(func() error { return t.config.Dispatcher.Submit(w) }, []dispatch.Work{w})
	}
}

// submitRetryDelay is the delay before work is submitted again that the dispatcher couldn't queue.
const submitRetryDelay = time.Second

// submitOrRetry submits work of a job. Work that can never be placed ends as not run. If the submission fails for
// another reason, such as a full queue, it is repeated after submitRetryDelay while the job is still runnable.
func (t *Table) submitOrRetry(submit func() error, works []dispatch.Work) {
	err := submit()
	switch {
	case err == nil, errors.Is(err, dispatch.ErrDuplicate):
	case errors.Is(err, dispatch.ErrImpossible):
		for _, w := range works {
			t.recordEnd(w.Task.Job, w.Task.Index, dispatch.Completion{Outcome: api.NotRun, Reason: err.Error()}, func() {}, nil, false)
		}
	default:
		t.config.Dispatcher.AddPending(works[0], len(works))
		time.AfterFunc(submitRetryDelay, func() {
			t.config.Dispatcher.AddPending(works[0], -len(works))
			if t.baseCtx.Err() == nil && t.stillRunnable(works[0].Task.Job) {
				t.submitOrRetry(submit, works)
			}
		})
	}
}

// stillRunnable reports whether the job is still owned and not cancelled. If it was cancelled, it ends the job's queued
// tasks, because the dispatcher can't cancel work that it has not accepted.
func (t *Table) stillRunnable(id ident.JobID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.jobs[id]
	if !ok {
		return false
	}
	j := p.job
	if j.Cancelled == "" {
		return true
	}
	for i := range j.Tasks {
		if j.Tasks[i].Phase == api.Queued {
			j.Tasks[i].Phase, j.Tasks[i].Outcome, j.Tasks[i].Reason = api.Cancelled, api.NotRun, j.Cancelled
		}
	}
	j.Finished = t.config.Now()
	t.markDirty(p.batch)
	t.notifyWaiters()
	return false
}

// dropLostBatch removes a batch that another member has taken over.
func (t *Table) dropLostBatch(b *batch) {
	t.config.Log.Info("another member took over the job batch", "batch", b.key)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetBatch(b)
}

// forgetBatch removes a batch and its jobs from the table. The caller holds the lock.
func (t *Table) forgetBatch(b *batch) {
	for _, j := range b.record.Jobs {
		delete(t.jobs, j.ID)
	}
	delete(t.batches, b.key)
	t.clearDirty(b)
	if t.openBatch == b {
		t.openBatch = nil
	}
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
