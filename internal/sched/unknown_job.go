package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// UnknownJobs returns the jobs that servers have listed runs or ends of and that aren't known. A former leader may have accepted
// and started them after the takeover, so their ends aren't acknowledged until the job is added or JobAbsent is called.
func (s *Scheduler) UnknownJobs() []ident.JobID { return slices.Sorted(maps.Keys(s.unknownJobs)) }

// HasUnknownJobs reports whether UnknownJobs returns any.
func (s *Scheduler) HasUnknownJobs() bool { return len(s.unknownJobs) > 0 }

// JobAbsent handles proof that an unknown job isn't recorded any more, so that its ends can be acknowledged.
func (s *Scheduler) JobAbsent(now time.Time, id ident.JobID) {
	s.now = now
	s.resolveUnknownJob(id)
}

// resolveUnknownJob applies what servers have listed of a job before it was added, or drops it if the job doesn't exist.
func (s *Scheduler) resolveUnknownJob(id ident.JobID) {
	if !s.unknownJobs[id] {
		return
	}
	delete(s.unknownJobs, id)
	j := s.jobs[id]
	for _, v := range s.sortedServers() {
		if j != nil && !j.state.Terminal() {
			s.adoptUnknownRuns(v, id)
		}
		for i := range v.unrecordedEnds {
			e := &v.unrecordedEnds[i]
			switch {
			case e.held == nil || e.job != id:
			case j != nil:
				*e = s.applyEnd(v, *e.held)
			default:
				e.held = nil
			}
		}
		s.advanceRecorded(v)
	}
}

// adoptUnknownRuns adopts the listed runs of a job on a server, so that their tasks don't start elsewhere until the stops that
// were sent for them have taken effect.
func (s *Scheduler) adoptUnknownRuns(v *server, id ident.JobID) {
	for _, key := range sortedKeys(v.unknownRuns) {
		if key.task.Job == id {
			delete(v.unknownRuns, key)
			s.adopt(v, ActiveRun{Task: key.task, Run: key.run})
		}
	}
}

// sortedKeys returns the keys of runs in a fixed order.
func sortedKeys(runs map[runKey]bool) []runKey {
	return slices.SortedFunc(maps.Keys(runs), func(a, b runKey) int { return compareTasks(a.task, b.task, a.run, b.run) })
}
