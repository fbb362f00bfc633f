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

// flush writes new jobs and changed batches, and removes expired ones, as far as the budget goes.
func (t *Table) flush(ctx context.Context) {
	t.mu.Lock()
	t.budget.refill(t.config.OtherWriteCount(), t.config.Now())
	t.mu.Unlock()
	for {
		b, taken := t.nextWrite()
		if b == nil {
			break
		}
		if !t.writeBatch(ctx, b, taken) {
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

// allowBackgroundWrite takes a write that nobody waits for from the budget.
func (t *Table) allowBackgroundWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.take(budgetBurst)
}

// nextWrite chooses the batch to write next and the submissions that go into it, or nil when there is none or the budget is
// used up. New jobs go first, because their callers wait; a rewrite leaves them one write and gets a turn among them.
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

// fillBatch moves pending submissions into the open batch or a new one, up to the bounds. The caller holds the lock.
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
	taken := slices.Clone(t.pending[:n])
	t.pending = slices.Delete(t.pending, 0, n)
	return b, taken
}

// writeBatch writes a batch with its changes and the submissions taken into it. It reports whether the store takes
// writes now.
func (t *Table) writeBatch(ctx context.Context, b *batch, taken []*submission) bool {
	t.mu.Lock()
	urgent := b.urgent
	t.clearDirty(b)
	callbacks := b.onWritten
	b.onWritten = nil
	next := b.record
	next.Nonce = ident.Random("n")
	// Encoded without the lock, because a large batch takes milliseconds and every start and end needs the lock.
	next.Jobs = make([]*jobRecord, 0, len(b.record.Jobs)+len(taken))
	for _, j := range b.record.Jobs {
		next.Jobs = append(next.Jobs, j.snapshot())
	}
	t.mu.Unlock()
	for _, s := range taken {
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
		t.acceptJobs(b, taken)
		for _, f := range callbacks {
			f()
		}
		return true
	case isConflict(err), errors.Is(err, platform.ErrUnknownOutcome):
		// The jobs may be in the record: after a conflict in that of the member that took the batch over. So they must
		// neither be started nor written again here.
		for _, s := range taken {
			s.done <- fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
		if isConflict(err) {
			t.dropLostBatch(b)
			return true
		}
		taken = nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.batches[b.key] == b {
		b.onWritten, b.urgent = append(callbacks, b.onWritten...), b.urgent || urgent
		t.markDirty(b)
	}
	var unrecorded []*submission
	for _, s := range taken {
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

// markDirty marks a batch as changed; the caller holds the lock.
func (t *Table) markDirty(b *batch) {
	if !b.dirty {
		b.dirty = true
		t.dirty = append(t.dirty, b)
	}
}

// clearDirty takes a batch out of the changed ones; the caller holds the lock.
func (t *Table) clearDirty(b *batch) {
	if b.dirty {
		b.dirty, b.urgent = false, false
		t.dirty = slices.DeleteFunc(t.dirty, func(o *batch) bool { return o == b })
	}
}

// writeRecord does one compare-and-swap and settles a lost reply by reading the nonce.
func (t *Table) writeRecord(ctx context.Context, key string, expect platform.Revision, value []byte, nonce string) (platform.Revision, error) {
	revision, err := t.config.Store.CompareAndSwap(ctx, key, expect, value, 0)
	for errors.Is(err, platform.ErrUnknownOutcome) {
		if !sleep(ctx, t.config.FlushInterval) {
			return 0, fmt.Errorf("write %s: %w", key, err)
		}
		item, readErr := t.config.Store.Get(ctx, key)
		switch {
		case isNotFound(readErr):
			// The write is not there now. It could only arrive later if it is still on its way, and creating
			// the key ourselves settles that: one of the two writes gets a conflict.
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
		// After a repeated write the conflict may be our own earlier write that arrived late.
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

// acceptJobs owns the new jobs of a written batch and hands their tasks to the dispatcher.
func (t *Table) acceptJobs(b *batch, taken []*submission) {
	if len(taken) == 0 {
		return
	}
	t.mu.Lock()
	self := t.config.Self()
	// An incarnation that was removed meanwhile has dropped its batches; another member takes over what was written.
	owned := b.record.Incarnation == self.Incarnation && (len(b.record.Jobs) == 0 || t.batches[b.key] == b)
	if owned {
		t.batches[b.key], t.openBatch = b, b
		for _, s := range taken {
			t.addJob(b, s.job)
		}
	}
	t.mu.Unlock()
	for _, s := range taken {
		if owned {
			t.dispatchTasks(s.job, taskIndexes(s.job))
		}
		s.done <- nil
	}
}

// addJob puts a recorded job into its batch; the caller holds the lock.
func (t *Table) addJob(b *batch, j *jobRecord) {
	b.record.Jobs = append(b.record.Jobs, j)
	b.bytes += j.size()
	t.jobs[j.ID] = jobLocation{b, j}
}

// dispatchTasks hands tasks of a job to the dispatcher. What the dispatcher has no queue space for is offered again.
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

// submitRetryDelay is the pause before work that found a full queue is offered again.
const submitRetryDelay = time.Second

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

// stillRunnable reports whether the job is still owned and not cancelled.
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

// dropLostBatch forgets a batch that another member has taken over.
func (t *Table) dropLostBatch(b *batch) {
	t.config.Log.Info("job batch was taken over by another member", "batch", b.key)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetBatch(b)
}

// forgetBatch drops a batch and its jobs; the caller holds the lock.
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

// sleep waits; it returns false when the context ended first.
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
