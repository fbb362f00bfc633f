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

const prefix = "jobs/"

func isConflict(err error) bool { return errors.Is(err, platform.ErrConflict) }
func isNotFound(err error) bool { return errors.Is(err, platform.ErrNotFound) }
func isTooLarge(err error) bool { return errors.Is(err, platform.ErrTooLarge) }

// flush writes new jobs and changed batches, and removes expired ones, as far as the budget goes.
func (t *Table) flush(ctx context.Context) {
	t.mu.Lock()
	t.budget.refill(t.config.OtherWrites(), t.config.Now())
	t.mu.Unlock()
	for {
		b, taken := t.take()
		if b == nil {
			break
		}
		if !t.writeBatch(ctx, b, taken) {
			return
		}
	}
	for _, b := range t.collect() {
		if !t.allow() {
			return
		}
		t.remove(ctx, b)
	}
}

// allow takes a write that nobody waits for from the budget.
func (t *Table) allow() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.take(budgetBurst)
}

// take chooses the batch to write next and the submissions that go into it, or nil when there is none or the budget is
// used up. New jobs go first, because their callers wait; a rewrite leaves them one write and gets a turn among them.
func (t *Table) take() (*batch, []*submission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) > 0 && (t.inRow < maxNewInRow || len(t.dirty) == 0) {
		if !t.budget.take(1) {
			return nil, nil
		}
		t.inRow++
		return t.fill()
	}
	if len(t.dirty) == 0 {
		return nil, nil
	}
	b := t.dirty[max(0, slices.IndexFunc(t.dirty, func(b *batch) bool { return b.urgent }))]
	least := float64(budgetBurst)
	if b.urgent || len(t.pending) > 0 {
		least = 1
	}
	if !t.budget.take(least) {
		return nil, nil
	}
	t.inRow = 0
	return b, nil
}

// fill moves pending submissions into the open batch or a new one, up to the bounds. The caller holds the lock.
func (t *Table) fill() (*batch, []*submission) {
	b, bound := t.open, openBatchBytes
	if b == nil || b.bytes+t.pending[0].job.size() > bound {
		self := t.config.Self()
		b = &batch{key: prefix + ident.Random(string(self.ID)), record: record{Owner: self.ID, Incarnation: self.Incarnation}}
		bound = newBatchBytes
	}
	n, size := 0, b.bytes
	for n < len(t.pending) && (n == 0 || size+t.pending[n].job.size() <= bound) {
		size += t.pending[n].job.size()
		t.pending[n].taken = true
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
	t.clean(b)
	after := b.written
	b.written = nil
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
		revision, err = t.write(ctx, b.key, revision, value, next.Nonce)
	}
	switch {
	case err == nil:
		b.revision = revision
		t.accept(b, taken)
		for _, f := range after {
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
			t.lost(b)
			return true
		}
		taken = nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.batches[b.key] == b {
		b.written, b.urgent = append(after, b.written...), b.urgent || urgent
		t.touch(b)
	}
	var again []*submission
	for _, s := range taken {
		s.taken = false
		if s.withdrawn {
			s.done <- fmt.Errorf("%w: %w", ErrNotRecorded, err)
			continue
		}
		again = append(again, s)
	}
	t.pending = append(again, t.pending...)
	return false
}

// touch marks a batch as changed; the caller holds the lock.
func (t *Table) touch(b *batch) {
	if !b.dirty {
		b.dirty = true
		t.dirty = append(t.dirty, b)
	}
}

// clean takes a batch out of the changed ones; the caller holds the lock.
func (t *Table) clean(b *batch) {
	if b.dirty {
		b.dirty, b.urgent = false, false
		t.dirty = slices.DeleteFunc(t.dirty, func(o *batch) bool { return o == b })
	}
}

// write does one compare-and-swap and settles a lost reply by reading the nonce.
func (t *Table) write(ctx context.Context, key string, expect platform.Revision, value []byte, nonce string) (platform.Revision, error) {
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

// accept owns the new jobs of a written batch and hands their tasks to the dispatcher.
func (t *Table) accept(b *batch, taken []*submission) {
	if len(taken) == 0 {
		return
	}
	t.mu.Lock()
	self := t.config.Self()
	// An incarnation that was removed meanwhile has dropped its batches; another member takes over what was written.
	owned := b.record.Incarnation == self.Incarnation && (len(b.record.Jobs) == 0 || t.batches[b.key] == b)
	if owned {
		t.batches[b.key], t.open = b, b
		for _, s := range taken {
			t.add(b, s.job)
		}
	}
	t.mu.Unlock()
	for _, s := range taken {
		if owned {
			t.dispatch(s.job, allTasks(s.job))
		}
		s.done <- nil
	}
}

// add puts a recorded job into its batch; the caller holds the lock.
func (t *Table) add(b *batch, j *jobRecord) {
	b.record.Jobs = append(b.record.Jobs, j)
	b.bytes += j.size()
	t.jobs[j.ID] = place{b, j}
}

// dispatch hands tasks of a job to the dispatcher. What the dispatcher has no queue space for is offered again.
func (t *Table) dispatch(j *jobRecord, tasks []int) {
	works := make([]dispatch.Work, len(tasks))
	for i, index := range tasks {
		works[i] = j.work(index, t)
	}
	if j.Policy.Kind == api.KindAllAtOnce {
		t.offer(func() error { return t.config.Dispatcher.SubmitGang(works) }, works)
		return
	}
	for _, w := range works {
		t.offer(func() error { return t.config.Dispatcher.Submit(w) }, []dispatch.Work{w})
	}
}

// offerPause is the pause before work that found a full queue is offered again.
const offerPause = time.Second

func (t *Table) offer(submit func() error, works []dispatch.Work) {
	err := submit()
	switch {
	case err == nil, errors.Is(err, dispatch.ErrDuplicate):
	case errors.Is(err, dispatch.ErrImpossible):
		for _, w := range works {
			t.recordEnd(w.Task.Job, w.Task.Index, dispatch.Completion{Outcome: api.NotRun, Reason: err.Error()}, func() {}, nil, false)
		}
	default:
		t.config.Dispatcher.Count(works[0], len(works))
		time.AfterFunc(offerPause, func() {
			t.config.Dispatcher.Count(works[0], -len(works))
			if t.base.Err() == nil && t.wanted(works[0].Task.Job) {
				t.offer(submit, works)
			}
		})
	}
}

// wanted reports whether the job is still owned and not cancelled.
func (t *Table) wanted(id ident.JobID) bool {
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
	t.touch(p.batch)
	t.notify()
	return false
}

// lost forgets a batch that another member has taken over.
func (t *Table) lost(b *batch) {
	t.config.Log.Info("job batch was taken over by another member", "batch", b.key)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(b)
}

// forget drops a batch and its jobs; the caller holds the lock.
func (t *Table) forget(b *batch) {
	for _, j := range b.record.Jobs {
		delete(t.jobs, j.ID)
	}
	delete(t.batches, b.key)
	t.clean(b)
	if t.open == b {
		t.open = nil
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
