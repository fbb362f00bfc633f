package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// flush writes the new jobs as one batch and then the batches that have changed.
func (t *Table) flush(ctx context.Context) {
	for t.writeNew(ctx) {
	}
	t.mu.Lock()
	changed := make([]*batch, 0, len(t.dirty))
	for _, b := range t.dirty {
		changed = append(changed, b)
	}
	t.mu.Unlock()
	for _, b := range changed {
		if !t.writeChanged(ctx, b) {
			return
		}
	}
	for _, b := range t.collect() {
		t.remove(ctx, b)
	}
}

// take moves pending submissions into a batch, up to its bounds.
func (t *Table) take() (*batch, []*submission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == 0 {
		return nil, nil
	}
	self := t.config.Self()
	b := &batch{
		key:    prefix + ident.Random(string(self.ID)),
		record: record{Owner: self.ID, Incarnation: self.Incarnation, Nonce: ident.Random("n")},
	}
	size, n := 0, 0
	for n < len(t.pending) && n < maxBatchJobs {
		j := t.pending[n].job
		if n > 0 && size+j.size() > maxBatchBytes {
			break
		}
		size += j.size()
		t.pending[n].taken = true
		b.record.Jobs = append(b.record.Jobs, j)
		n++
	}
	taken := append([]*submission(nil), t.pending[:n]...)
	t.pending = append(t.pending[:0], t.pending[n:]...)
	return b, taken
}

// writeNew records pending jobs; it reports whether there may be more to write now.
func (t *Table) writeNew(ctx context.Context) bool {
	b, taken := t.take()
	if b == nil {
		return false
	}
	value, err := json.Marshal(b.record)
	if err == nil {
		b.revision, err = t.write(ctx, b.key, 0, value, b.record.Nonce)
	}
	switch {
	case err == nil:
		t.accept(b, taken)
		return true
	case errors.Is(err, platform.ErrUnknownOutcome):
		// The record may appear later, so these jobs must neither be started nor written again here.
		// A member that scans for batches finds the record by its owner if it exists.
		for _, s := range taken {
			s.done <- fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
	default:
		t.mu.Lock()
		defer t.mu.Unlock()
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
	}
	return false
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

// accept owns a written batch and hands its tasks to the dispatcher.
func (t *Table) accept(b *batch, taken []*submission) {
	t.mu.Lock()
	t.batches[b.key] = b
	for _, j := range b.record.Jobs {
		t.jobs[j.ID] = b
	}
	t.mu.Unlock()
	for _, s := range taken {
		t.dispatch(s.job)
		s.done <- nil
	}
}

// dispatch hands all tasks of a job to the dispatcher. What the dispatcher has no queue space for is offered again.
func (t *Table) dispatch(j *jobRecord) {
	if j.Policy.Kind == api.KindAllAtOnce {
		works := make([]dispatch.Work, len(j.Tasks))
		for i := range works {
			works[i] = j.work(i, t)
		}
		t.offer(func() error { return t.config.Dispatcher.SubmitGang(works) }, works)
		return
	}
	for i := range j.Tasks {
		w := j.work(i, t)
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
			t.recordEnd(w.Task.Job, w.Task.Index, dispatch.Final{Outcome: api.NotRun, Reason: err.Error()}, func() {}, nil, false)
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
	b, ok := t.jobs[id]
	if !ok {
		return false
	}
	j := b.find(id)
	if j.Cancelled == "" {
		return true
	}
	for i := range j.Tasks {
		if j.Tasks[i].Phase == api.Queued {
			j.Tasks[i].Phase, j.Tasks[i].Outcome, j.Tasks[i].Reason = api.Cancelled, api.NotRun, j.Cancelled
		}
	}
	j.Finished = t.config.Now()
	t.dirty[b.key] = b
	t.notify()
	return false
}

// writeChanged writes one batch; it reports whether the store takes writes now.
func (t *Table) writeChanged(ctx context.Context, b *batch) bool {
	t.mu.Lock()
	delete(t.dirty, b.key)
	after := b.written
	b.written = nil
	b.record.Nonce = ident.Random("n")
	nonce := b.record.Nonce
	value, err := json.Marshal(b.record)
	revision := b.revision
	t.mu.Unlock()
	if err == nil {
		revision, err = t.write(ctx, b.key, revision, value, nonce)
	}
	if err == nil {
		b.revision = revision
		for _, f := range after {
			f()
		}
		return true
	}
	if isConflict(err) {
		t.lost(b)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b.written = append(after, b.written...)
	t.dirty[b.key] = b
	return false
}

// lost forgets a batch that another member has taken over.
func (t *Table) lost(b *batch) {
	t.config.Log.Info("job batch was taken over by another member", "batch", b.key)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range b.record.Jobs {
		delete(t.jobs, j.ID)
	}
	delete(t.batches, b.key)
	delete(t.dirty, b.key)
}

// sleep waits; it returns false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
