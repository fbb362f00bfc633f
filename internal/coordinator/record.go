package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// flushInterval is the longest time that progress waits to be written with other progress.
	flushInterval = 40 * time.Millisecond
	// flushPause is the shortest time between two rounds of writes.
	flushPause = 20 * time.Millisecond
	// jobsPerWrite fits a transaction: the leader's expectation, and for each job an expectation, a write and, where it
	// has ended, a delete.
	jobsPerWrite = (platform.MaxTransactionEntries - 1) / 3
	// deletesPerWrite is the number of jobs whose three keys fit beside the leader's expectation.
	deletesPerWrite = (platform.MaxTransactionEntries - 1) / 3
	// maxWrites bounds the transactions in flight.
	maxWrites = 8
	// minWriteTimeout and maxWriteTimeout bound the time limit of a write. A write without an answer is repeated under the
	// same conditions, so giving up early costs a call at most.
	minWriteTimeout = 450 * time.Millisecond
	maxWriteTimeout = 2 * time.Second
	// writeRetry is the pause after a write that the store refused.
	writeRetry = 200 * time.Millisecond
	// expireInterval is the interval at which records of old jobs are deleted.
	expireInterval = 2 * time.Second
)

// transact makes a write within the time that the store usually takes.
func (t *term) transact(ctx context.Context, tx platform.Transaction) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.Patience.Limit(minWriteTimeout, maxWriteTimeout))
	defer cancel()
	return t.config.Store.Transact(ctx, tx)
}

// revisions holds the revision of each progress record.
type revisions struct {
	mu sync.Mutex
	at map[ident.JobID]platform.Revision
}

func (r *revisions) get(id ident.JobID) platform.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at[id]
}

func (r *revisions) set(id ident.JobID, rev platform.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rev == 0 {
		delete(r.at, id)
		return
	}
	r.at[id] = rev
}

// record writes changed progress until the context ends. A job's end is written at once, other progress with some delay.
func (t *term) record(ctx context.Context) error {
	slots := semaphore.NewWeighted(maxWrites)
	timer := time.NewTicker(flushInterval)
	defer timer.Stop()
	expired := t.owner.now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.flush:
		case <-timer.C:
		}
		for {
			t.mu.Lock()
			batch := t.core.TakeProgressUpdates(jobsPerWrite)
			t.mu.Unlock()
			if len(batch) == 0 {
				break
			}
			if err := slots.Acquire(ctx, 1); err != nil {
				return err
			}
			go func() {
				defer slots.Release(1)
				t.write(ctx, batch)
			}()
		}
		if now := t.owner.now(); now.Sub(expired) > expireInterval {
			expired = now
			t.expire(ctx)
		}
		pause(ctx, flushPause)
	}
}

// write records the progress of some jobs. Each record is expected at its known revision, so that an earlier write that
// takes effect late changes nothing.
func (t *term) write(ctx context.Context, batch []sched.ProgressUpdate) {
	sent := t.owner.now()
	tx := t.transaction()
	for _, u := range batch {
		revision := t.revisions.get(u.Job)
		tx.Expect = append(tx.Expect, platform.Expectation{Key: ProgressKey(u.Job), Revision: revision})
		tx.Writes = append(tx.Writes, t.encode(u))
		if u.EndedJob != nil && revision != 0 {
			tx.Deletes = append(tx.Deletes, ProgressKey(u.Job))
		}
	}
	rev, err := t.transact(ctx, tx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		t.unwritten(ctx, batch, tx.Writes, err)
		return
	}
	for _, u := range batch {
		if u.EndedJob != nil {
			t.revisions.set(u.Job, 0)
		} else {
			t.revisions.set(u.Job, rev)
		}
	}
	t.written(batch, sent)
}

// encode returns the write that records progress. The end of a job replaces the job's own record, so that ended jobs take
// little of the next leader's time.
func (t *term) encode(u sched.ProgressUpdate) platform.Write {
	w := platform.Write{Key: ProgressKey(u.Job)}
	var err error
	if u.EndedJob != nil {
		w.Key = JobKey(u.Job)
		w.Value, err = json.Marshal(u.EndedJob)
	} else {
		w.Value, err = json.Marshal(u.Progress)
	}
	if err != nil {
		t.config.Log.Error(err, "encode progress", "job", string(u.Job))
		w.Value = []byte("{}") // keeps batch and writes in step
	}
	return w
}

// written reports recorded progress to the scheduler.
func (t *term) written(batch []sched.ProgressUpdate, sent time.Time) {
	for _, u := range batch {
		if u.Progress.State.Terminal() {
			t.config.Log.Info("job ended", "job", string(u.Job), "state", string(u.Progress.State),
				"recorded-after", t.owner.now().Sub(u.Progress.Ended).String(), "write", t.owner.now().Sub(sent).String())
		}
	}
	t.do(func(now time.Time, s *sched.Scheduler) { s.ProgressWritten(now, batch) })
}

// unwritten handles a failed write: the progress is taken again, unless another daemon leads. Progress that an earlier
// write without an answer has recorded counts as written.
func (t *term) unwritten(ctx context.Context, batch []sched.ProgressUpdate, writes []platform.Write, err error) {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		t.config.Log.Info("progress not recorded", "jobs", len(batch), "error", err.Error())
		if errors.Is(err, platform.ErrUnavailable) {
			pause(ctx, writeRetry)
		}
		t.mu.Lock()
		t.core.ProgressWriteFailed(batch)
		t.mu.Unlock()
		return
	}
	present := map[string]platform.Item{}
	for _, it := range conflict.Items {
		present[it.Key] = it
	}
	if present[leaderKey].Revision != t.revision {
		t.cancel(errDeposed)
		return
	}
	var again, recorded []sched.ProgressUpdate
	for i, u := range batch {
		it := present[progressPrefix+string(u.Job)]
		t.revisions.set(u.Job, it.Revision)
		// The end of a job is written again in any case, which does no harm.
		if it.Revision != 0 && u.EndedJob == nil && bytes.Equal(it.Value, writes[i].Value) {
			recorded = append(recorded, u)
		} else {
			again = append(again, u)
		}
	}
	t.mu.Lock()
	t.core.ProgressWriteFailed(again)
	t.mu.Unlock()
	t.written(recorded, t.owner.now())
}

// expire deletes the records of jobs that ended long ago.
func (t *term) expire(ctx context.Context) {
	t.mu.Lock()
	ids := t.core.TakeExpired(t.owner.now(), deletesPerWrite)
	t.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	tx := t.transaction()
	for _, id := range ids {
		key := jobPrefix + string(id)
		tx.Deletes = append(tx.Deletes, key, key+cancelSuffix, progressPrefix+string(id))
		t.revisions.set(id, 0)
	}
	if _, err := t.config.Store.Transact(ctx, tx); err != nil && ctx.Err() == nil {
		// The next leader finds the jobs again and deletes them then.
		t.config.Log.Info("old jobs not deleted", "jobs", len(ids), "error", err.Error())
	}
}
