package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// flushInterval is the longest time that progress waits in order to share a write with other progress.
	flushInterval = 40 * time.Millisecond
	// minFlushPause is the shortest pause between two rounds of writes.
	minFlushPause = 20 * time.Millisecond
	// jobsPerWrite is the number of jobs whose progress fits a transaction: beside the precondition on the leader record
	// each job takes a precondition, a write and, if it has ended, a delete.
	jobsPerWrite = (platform.MaxTransactionEntries - 1) / 3
	// maxWriteBytes bounds the records of a transaction, beyond the first one.
	maxWriteBytes = 1 << 20
	// deletedJobsPerWrite is the number of jobs whose three keys fit a transaction beside the precondition on the leader
	// record.
	deletedJobsPerWrite = (platform.MaxTransactionEntries - 1) / 3
	// maxWritesInFlight bounds the number of concurrent transactions.
	maxWritesInFlight = 8
	// minWriteTimeout and maxWriteTimeout bound the timeout of a write. A write that times out is repeated with the same
	// preconditions, so a short timeout costs at most one extra call.
	minWriteTimeout = 450 * time.Millisecond
	maxWriteTimeout = 2 * time.Second
	// writeRetryDelay is the pause before a failed write is repeated.
	writeRetryDelay = 200 * time.Millisecond
	// expireInterval is the interval at which the records of expired jobs are deleted.
	expireInterval = 2 * time.Second
)

// commit makes a transaction with a timeout that follows the response times of the store.
func (t *term) commit(ctx context.Context, tx platform.Transaction) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, t.config.StoreTimeout.Timeout(minWriteTimeout, maxWriteTimeout))
	defer cancel()
	revision, err := t.config.Store.Transact(ctx, tx)
	if p := t.coordinator.presence; err == nil && p != nil {
		p.noteAnswer()
	}
	return revision, err
}

// progressRevisions holds the revision of each progress record.
type progressRevisions struct {
	mu    sync.Mutex
	byJob map[ident.JobID]platform.Revision
}

func (r *progressRevisions) get(id ident.JobID) platform.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byJob[id]
}

func (r *progressRevisions) set(id ident.JobID, rev platform.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rev == 0 {
		delete(r.byJob, id)
		return
	}
	r.byJob[id] = rev
}

// recordProgress writes changed progress until the context ends. The end of a job is written at once, other progress is
// batched.
func (t *term) recordProgress(ctx context.Context) error {
	inFlight := semaphore.NewWeighted(maxWritesInFlight)
	timer := time.NewTicker(flushInterval)
	defer timer.Stop()
	lastExpiry := t.coordinator.now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.flush:
		case <-timer.C:
		}
		for {
			t.mu.Lock()
			batch := t.scheduler.TakeProgressUpdates(jobsPerWrite)
			t.mu.Unlock()
			if len(batch) == 0 {
				break
			}
			if err := inFlight.Acquire(ctx, 1); err != nil {
				return err
			}
			go func() {
				defer inFlight.Release(1)
				t.writeProgress(ctx, batch)
			}()
		}
		if now := t.coordinator.now(); now.Sub(lastExpiry) > expireInterval {
			lastExpiry = now
			t.deleteExpired(ctx)
		}
		sleep(ctx, minFlushPause)
	}
}

// encodedProgress is progress with its record.
type encodedProgress struct {
	sched.ProgressUpdate
	write platform.Write
}

// writeProgress writes the progress of a batch of jobs, in several transactions if it is large.
func (t *term) writeProgress(ctx context.Context, batch []sched.ProgressUpdate) {
	var part []encodedProgress
	size := 0
	for _, u := range batch {
		e := encodedProgress{u, t.encodeProgress(u)}
		if len(e.write.Value) > platform.MaxValueBytes {
			t.progressRefused(e, platform.ErrTooLarge)
			continue
		}
		if len(part) > 0 && size+len(e.write.Value) > maxWriteBytes {
			t.writePart(ctx, part)
			part, size = nil, 0
		}
		part = append(part, e)
		size += len(e.write.Value)
	}
	if len(part) > 0 {
		t.writePart(ctx, part)
	}
}

// writePart writes the progress of some jobs in one transaction. Each record is expected at its known revision, so that an earlier write
// that takes effect late changes nothing.
func (t *term) writePart(ctx context.Context, part []encodedProgress) {
	sentAt := t.coordinator.now()
	tx := t.fencedTransaction()
	for _, u := range part {
		revision := t.progressRevisions.get(u.Job)
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: ProgressKey(u.Job), Revision: revision})
		tx.Writes = append(tx.Writes, u.write)
		if u.EndedJob != nil && revision != 0 {
			tx.Deletes = append(tx.Deletes, ProgressKey(u.Job))
		}
	}
	rev, err := t.commit(ctx, tx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		t.handleWriteFailure(ctx, part, err)
		return
	}
	for _, u := range part {
		if u.EndedJob != nil {
			t.progressRevisions.set(u.Job, 0)
		} else {
			t.progressRevisions.set(u.Job, rev)
		}
	}
	t.progressWritten(updatesOf(part), sentAt)
}

func updatesOf(part []encodedProgress) []sched.ProgressUpdate {
	out := make([]sched.ProgressUpdate, len(part))
	for i, u := range part {
		out[i] = u.ProgressUpdate
	}
	return out
}

// progressRefused handles the progress of one job that the store refuses for its own sake, or would refuse for its size.
func (t *term) progressRefused(u encodedProgress, err error) {
	tooLarge := errors.Is(err, platform.ErrTooLarge)
	t.config.Log.Error(err, "progress refused", "job", string(u.Job), "bytes", len(u.write.Value), "limit", platform.MaxValueBytes,
		"state", string(u.Progress.State), "occurrences", len(u.Progress.Occurrences))
	t.config.Metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryspoke_progress_refused_total{too_large=%q}", strconv.FormatBool(tooLarge))).Inc()
	t.update(func(now time.Time, s *sched.Scheduler) { s.ProgressRefused(now, u.ProgressUpdate, tooLarge) })
}

// encodeProgress returns the write for the progress of a job. If the job has ended, its end replaces the job's own record,
// so that ended jobs add little to the load time of the next leader.
func (t *term) encodeProgress(u sched.ProgressUpdate) platform.Write {
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
		w.Value = []byte("{}") // the index of each write must match that of its batch entry
	}
	return w
}

// progressWritten logs the jobs that have ended and reports the recorded progress to the scheduler.
func (t *term) progressWritten(batch []sched.ProgressUpdate, sentAt time.Time) {
	for _, u := range batch {
		if u.Progress.State.Terminal() {
			t.config.Log.Info("job ended", "job", string(u.Job), "state", string(u.Progress.State),
				"recorded-after", t.coordinator.now().Sub(u.Progress.Ended).String(), "write", t.coordinator.now().Sub(sentAt).String())
		}
	}
	t.update(func(now time.Time, s *sched.Scheduler) { s.ProgressWritten(now, batch) })
}

// handleWriteFailure returns the progress of a failed write to the scheduler, to be written again, or ends the term if
// another daemon leads. Progress that an earlier write with an unknown outcome has recorded counts as written. If the store refuses the
// write for its own sake, the jobs are written in smaller parts, so that one job keeps no other from being recorded.
func (t *term) handleWriteFailure(ctx context.Context, part []encodedProgress, err error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		t.handleConflict(part, conflict)
	case errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknownOutcome):
		t.config.Log.Info("progress not recorded", "jobs", len(part), "error", err.Error())
		if errors.Is(err, platform.ErrUnavailable) {
			sleep(ctx, writeRetryDelay)
		}
		t.mu.Lock()
		t.scheduler.ProgressWriteFailed(updatesOf(part))
		t.mu.Unlock()
	case len(part) > 1:
		t.config.Log.Info("progress refused, writing smaller parts", "jobs", len(part), "error", err.Error())
		t.writePart(ctx, part[:len(part)/2])
		t.writePart(ctx, part[len(part)/2:])
	default:
		t.progressRefused(part[0], err)
	}
}

// handleConflict handles a write of which a record had another revision.
func (t *term) handleConflict(part []encodedProgress, conflict *platform.ConflictError) {
	present := map[string]platform.Item{}
	for _, it := range conflict.Items {
		present[it.Key] = it
	}
	if present[leaderKey].Revision != t.revision {
		t.cancel(errDeposed)
		return
	}
	var retry, recorded []sched.ProgressUpdate
	for _, u := range part {
		it := present[progressPrefix+string(u.Job)]
		t.progressRevisions.set(u.Job, it.Revision)
		// The end of a job is always written again, which has no further effect.
		if it.Revision != 0 && u.EndedJob == nil && bytes.Equal(it.Value, u.write.Value) {
			recorded = append(recorded, u.ProgressUpdate)
		} else {
			retry = append(retry, u.ProgressUpdate)
		}
	}
	t.mu.Lock()
	t.scheduler.ProgressWriteFailed(retry)
	t.mu.Unlock()
	t.progressWritten(recorded, t.coordinator.now())
}

// deleteExpired deletes the records of jobs whose retention time is over.
func (t *term) deleteExpired(ctx context.Context) {
	t.mu.Lock()
	ids := t.scheduler.TakeExpired(t.coordinator.now(), deletedJobsPerWrite)
	t.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	tx := t.fencedTransaction()
	for _, id := range ids {
		key := jobPrefix + string(id)
		tx.Deletes = append(tx.Deletes, key, key+cancelSuffix, progressPrefix+string(id))
		t.progressRevisions.set(id, 0)
	}
	if _, err := t.config.Store.Transact(ctx, tx); err != nil && ctx.Err() == nil {
		// The next leader loads the jobs again and deletes them.
		t.config.Log.Info("expired jobs not deleted", "jobs", len(ids), "error", err.Error())
	}
}
