package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func (s *Scheduler) markDirty(j *job) {
	j.changes++
	s.dirtyJobs[j.spec.ID] = j
	s.toWrite.add(j)
}

// writeQueue holds the jobs with progress to write. It counts those that have ended, as each reply of a server asks for them.
type writeQueue struct {
	jobs  map[ident.JobID]*job
	ended int
}

// add adds a job unless its progress is being written.
func (w *writeQueue) add(j *job) {
	if j.writeInFlight {
		return
	}
	w.jobs[j.spec.ID] = j
	if j.state.Terminal() && !j.endToWrite {
		j.endToWrite = true
		w.ended++
	}
}

// remove removes a job.
func (w *writeQueue) remove(j *job) {
	delete(w.jobs, j.spec.ID)
	if j.endToWrite {
		j.endToWrite = false
		w.ended--
	}
}

// ProgressUpdate is progress of a job that has to be written to the store.
type ProgressUpdate struct {
	Job      ident.JobID
	Progress Progress
	EndedJob *Job   // record that replaces the job's, if it has ended
	Changes  uint64 // version of the progress, read by ProgressWritten
	Since    time.Time
}

// TakeProgressUpdates returns the progress of up to limit changed jobs, jobs in a terminal state first. A job isn't returned
// again until ProgressWritten or ProgressWriteFailed has been called for it.
func (s *Scheduler) TakeProgressUpdates(limit int) []ProgressUpdate {
	jobs := make([]*job, 0, len(s.toWrite.jobs))
	for _, j := range s.toWrite.jobs {
		if !s.now.Before(j.refusedWrites.pauseUntil) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		if a.state.Terminal() != b.state.Terminal() {
			if a.state.Terminal() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.spec.ID, b.spec.ID)
	})
	if len(jobs) > limit {
		jobs = jobs[:limit]
	}
	out := make([]ProgressUpdate, len(jobs))
	for i, j := range jobs {
		s.toWrite.remove(j)
		j.writeInFlight = true
		out[i] = ProgressUpdate{Job: j.spec.ID, Progress: j.progress(), Changes: j.changes}
		if j.state.Terminal() {
			out[i].Progress.Remaining = s.remainingOf(j)
			out[i].EndedJob = j.spec.EndedRecord(out[i].Progress)
		}
	}
	return out
}

// HasProgressUpdates reports whether progress has to be written, and whether that of an ended job is included.
func (s *Scheduler) HasProgressUpdates() (some, terminal bool) {
	return len(s.toWrite.jobs) > 0, s.toWrite.ended > 0
}

// ProgressWritten reports that the store has the progress, so that the ended runs it covers can be acknowledged.
func (s *Scheduler) ProgressWritten(now time.Time, written []ProgressUpdate) {
	s.now = now
	for _, u := range written {
		j := s.jobs[u.Job]
		if j == nil {
			continue
		}
		j.writeInFlight = false
		j.refusedWrites.pauseUntil, j.refusedWrites.count = time.Time{}, 0
		j.recordedChanges = max(j.recordedChanges, u.Changes)
		s.noteRecordedServices(j, u.Progress)
		if u.Progress.State.Terminal() {
			j.recorded = u.Progress.State
			if !s.mayRunUncounted(j) { // else runs that a server lists later would have no known demand
				j.dropDetails()
			}
		}
		if j.changes == u.Changes {
			delete(s.dirtyJobs, u.Job)
			s.toWrite.remove(j)
		} else {
			s.toWrite.add(j)
		}
	}
	s.endsToRecord = slices.DeleteFunc(s.endsToRecord, func(v *server) bool {
		if !v.removed {
			s.advanceRecorded(v)
		}
		v.endsToRecord = !v.removed && len(v.unrecordedEnds) > 0
		return !v.endsToRecord
	})
}

const (
	// refusedWritePause is the pause after the first refused write of a job's progress, and maxRefusedWritePause the longest one.
	refusedWritePause    = 500 * time.Millisecond
	maxRefusedWritePause = 30 * time.Second
)

// refusedWrites tells how often in a row the store has refused the progress of a job for its own sake.
type refusedWrites struct {
	count              int
	pauseUntil         time.Time
	withoutCheckpoints bool // they are left out, as the record was too large with them
}

// ProgressRefused reports that the store refuses the progress of a job for its own sake, which is too large or refused for another
// reason. It is written again after a pause that doubles with each refusal. If it is too large, it is written without checkpoints, and if
// that doesn't help, the job fails: the ends that it has on servers can't be acknowledged, and with them no later end there.
func (s *Scheduler) ProgressRefused(now time.Time, u ProgressUpdate, tooLarge bool) {
	s.now = now
	j := s.jobs[u.Job]
	if j == nil {
		return
	}
	j.writeInFlight = false
	r := &j.refusedWrites
	switch {
	case !tooLarge:
		r.pauseUntil = now.Add(min(refusedWritePause<<min(r.count, 8), maxRefusedWritePause))
		r.count++
	case !r.withoutCheckpoints:
		r.withoutCheckpoints = true
	case !j.state.Terminal():
		s.finish(j, StateFailed)
	default:
		r.pauseUntil = now.Add(maxRefusedWritePause)
	}
	s.toWrite.add(j)
}

// ProgressWriteFailed reports that the progress couldn't be written and has to be taken again.
func (s *Scheduler) ProgressWriteFailed(failed []ProgressUpdate) {
	for _, u := range failed {
		if j := s.jobs[u.Job]; j != nil {
			j.writeInFlight = false
			s.toWrite.add(j)
		}
	}
}
