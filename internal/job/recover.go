package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// recoveryRetryDelay is the delay before a failed scan is repeated, and before the daemons are asked again for the
// running tasks of a removed member.
const recoveryRetryDelay = time.Second

// ViewChanged requests a scan for the batches of removed members.
func (t *Table) ViewChanged() {
	select {
	case t.scanRequested <- struct{}{}:
	default:
	}
}

// scanLoop scans for the batches of removed members at every interval and on request.
func (t *Table) scanLoop(ctx context.Context) {
	tick := time.NewTicker(t.config.ScanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.scanRequested:
		case <-tick.C:
		}
		if err := t.scan(ctx); err != nil {
			t.config.Log.Info("failed to scan for job batches", "error", err.Error())
			// The scan is repeated soon, because the jobs of a removed member wait for it, but not at once, because the
			// store may be down for long.
			if !sleep(ctx, recoveryRetryDelay) {
				return
			}
			t.ViewChanged()
		}
	}
}

// scan takes over the batches whose owner is no longer in the view. Only the first active member in the order of ids
// does so; when members have different views, compare-and-swap on the batch decides which of them gets it.
func (t *Table) scan(ctx context.Context) error {
	view, self := t.config.View(), t.config.Self()
	active := view.Filter(member.Active)
	if len(active) == 0 || active[0].ID != self.ID {
		return nil
	}
	items, err := t.config.Store.List(ctx, batchKeyPrefix)
	if err != nil {
		return fmt.Errorf("list job batches: %w", err)
	}
	conflicts := 0
	for _, item := range items {
		r, err := decodeRecord(item.Value)
		if err != nil {
			t.config.Log.Error(err, "failed to decode a job batch", "batch", item.Key)
			continue
		}
		if view.HasIncarnation(r.Owner, r.Incarnation) {
			continue
		}
		err = t.adopt(ctx, item, r)
		switch {
		case errors.Is(err, platform.ErrConflict):
			// The previous owner wrote the batch again, or another member took it over; the next scan shows which.
			conflicts++
		case err != nil:
			return err
		}
	}
	if conflicts > 0 {
		return fmt.Errorf("take over job batches: %d changed in the meantime: %w", conflicts, platform.ErrConflict)
	}
	return nil
}

// decodeRecord decodes the stored value of a batch.
func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode job batch: %w", err)
	}
	return r, nil
}

// adopt makes this member the owner of a removed member's batch and starts to recover its jobs.
func (t *Table) adopt(ctx context.Context, item platform.Item, r record) error {
	previousOwner, self := r.Owner, t.config.Self()
	r.Owner, r.Incarnation, r.Nonce = self.ID, self.Incarnation, ident.Random("n")
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode batch %s: %w", item.Key, err)
	}
	revision, err := t.writeRecord(ctx, item.Key, item.Revision, value, r.Nonce)
	if err != nil {
		return fmt.Errorf("adopt batch %s: %w", item.Key, err)
	}
	b := &batch{key: item.Key, revision: revision, record: r}
	b.record.Jobs = nil
	t.mu.Lock()
	t.batches[b.key] = b
	for _, j := range r.Jobs {
		t.addJob(b, j)
	}
	t.mu.Unlock()
	t.config.Log.Info("took over a job batch", "batch", b.key, "member", previousOwner, "jobs", len(r.Jobs))
	t.wg.Go(func() { t.recoverBatch(t.baseCtx, b, previousOwner) })
	return nil
}

// recoverBatch asks all daemons which tasks of the batch still run, resumes these tasks and restarts the others. It
// starts no task before every daemon has reported the attempts on all of its backend servers.
func (t *Table) recoverBatch(ctx context.Context, b *batch, previousOwner ident.MemberID) {
	t.mu.Lock()
	var jobs []ident.JobID
	for _, j := range b.record.Jobs {
		if len(j.unfinishedTasks()) > 0 {
			jobs = append(jobs, j.ID)
		}
	}
	t.mu.Unlock()
	if len(jobs) == 0 {
		return
	}
	found := map[dispatch.Key]dispatch.AdoptedAttempt{}
	for {
		attempts, complete := t.config.Dispatcher.AdoptOrigin(ctx, previousOwner, jobs)
		for _, a := range attempts {
			found[dispatch.Key{Job: a.Job, Index: a.Index}] = a
		}
		if complete {
			break
		}
		if !sleep(ctx, recoveryRetryDelay) {
			return
		}
	}
	for _, id := range jobs {
		t.mu.Lock()
		p, ok := t.jobs[id]
		if !ok {
			t.mu.Unlock()
			return
		}
		j := p.job.snapshot()
		t.mu.Unlock()
		t.resumeJob(j, j.unfinishedTasks(), found)
	}
}

// resumeJob resumes the running tasks of a recovered job, given as a snapshot, and restarts or ends the other unfinished
// ones.
func (t *Table) resumeJob(j *jobRecord, unfinished []int, found map[dispatch.Key]dispatch.AdoptedAttempt) {
	running := slices.DeleteFunc(slices.Clone(unfinished), func(i int) bool {
		_, ok := found[dispatch.Key{Job: j.ID, Index: i}]
		return !ok
	})
	if j.Policy.Kind == api.KindAllAtOnce && len(running) < len(unfinished) {
		t.restartGang(j, unfinished, running, found)
		return
	}
	for _, i := range unfinished {
		key, w := dispatch.Key{Job: j.ID, Index: i}, j.work(i, t)
		a, runs := found[key]
		switch {
		case runs:
			a.Attempts = j.Tasks[i].attemptsWith(a.Attempt)
			if err := t.config.Dispatcher.Resume(w, a); err != nil {
				t.config.Log.Info("failed to resume a running task", "job", j.ID, "task", i, "error", err.Error())
				continue
			}
			t.recordStart(j.ID, i, a.Attempt, a.Host, a.Attempts)
			if j.Cancelled != "" {
				t.config.Dispatcher.Cancel(key, j.Cancelled)
			}
		case j.Cancelled != "":
			t.recordEnd(j.ID, i, dispatch.Completion{Outcome: api.Failed, Reason: j.Cancelled}, func() {}, nil, false)
		case j.Spec.NonIdempotent && j.Tasks[i].Dispatched:
			t.recordEnd(j.ID, i, dispatch.Completion{
				Outcome: api.Unknown, Reason: "the owner was lost after the task was dispatched, and no backend server knows its attempt",
			}, func() {}, nil, false)
		default:
			t.submitOrRetry(func() error { return t.config.Dispatcher.Submit(w) }, []dispatch.Work{w})
		}
	}
}

// restartGang stops the running tasks of an all-at-once job and then starts all unfinished tasks together again. It ends
// them instead if the job was cancelled, or if it is non-idempotent and one of its tasks may have been started.
func (t *Table) restartGang(j *jobRecord, unfinished, running []int, found map[dispatch.Key]dispatch.AdoptedAttempt) {
	if j.Cancelled != "" ||
		j.Spec.NonIdempotent && slices.ContainsFunc(j.Tasks, func(task taskRecord) bool { return task.Dispatched }) {
		outcome, reason := api.Unknown, "the owner was lost while the non-idempotent job was starting"
		if j.Cancelled != "" {
			outcome, reason = api.Failed, j.Cancelled
		}
		for _, i := range unfinished {
			t.recordEnd(j.ID, i, dispatch.Completion{Outcome: outcome, Reason: reason}, func() {}, nil, false)
		}
		return
	}
	restart := slices.Clone(unfinished)
	const notDone = -1
	ended := make(chan int, len(running)) // index of a task that succeeded before it was stopped, or notDone
	for _, i := range running {
		key := dispatch.Key{Job: j.ID, Index: i}
		w := j.work(i, t)
		w.OnStart = nil
		done := w.OnDone
		w.OnDone = func(completion dispatch.Completion, acknowledge func()) {
			if completion.Outcome == api.Answered {
				done(completion, acknowledge)
				ended <- i
				return
			}
			acknowledge()
			ended <- notDone
		}
		if err := t.config.Dispatcher.Resume(w, found[key]); err != nil {
			ended <- notDone
			continue
		}
		t.config.Dispatcher.Cancel(key, "the job's unfinished tasks are restarted together after its owner was lost")
	}
	t.wg.Go(func() {
		for range running {
			select {
			case i := <-ended:
				restart = slices.DeleteFunc(restart, func(index int) bool { return index == i })
			case <-t.baseCtx.Done():
				return
			}
		}
		if len(restart) > 0 {
			t.dispatchTasks(j, restart)
		}
	})
}
