package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// longWait is how long a task may be without a run, once its turn has come, until its step is reported.
	longWait = 10 * time.Second
	// waitReportInterval is how long after a report the same step is reported again.
	waitReportInterval = 10 * time.Second
	// maxWaitReports bounds the steps that a check reports. Each costs a look at all servers of its service, and steps that have waited
	// long are many while a service is overloaded.
	maxWaitReports = 5
)

// WaitingStep is a step with a task that has been without a run for longer than longWait.
type WaitingStep struct {
	Job        ident.JobID
	Index      int // of the task that has waited longest
	Age        time.Duration
	JobAge     time.Duration // time since the job was due
	LastRun    RunNumber
	FailedRuns int
	Reason     WaitReason // of that task
	StepExplanation
}

// waitCheck is the result of the latest check for waiting tasks.
type waitCheck struct{ tasks int }

// LongWaitingTasks returns the number of tasks that had waited for longer than longWait at the latest check.
func (s *Scheduler) LongWaitingTasks() int { return s.waitCheck.tasks }

// CheckWaiting looks for tasks that have waited for longer than longWait and returns some of their steps, those that were never
// reported first, then those reported longest ago. It also looks at steps that no scheduling pass considers.
func (s *Scheduler) CheckWaiting(now time.Time) []WaitingStep {
	s.now = now
	s.waitCheck.tasks = 0
	var due []longWaiting
	for _, j := range s.jobs {
		if j.state.Terminal() {
			continue
		}
		for _, o := range j.occurrences {
			for _, g := range o.groups {
				w, ok := s.longWaiting(g)
				if ok && now.Sub(g.waitReportedAt) >= waitReportInterval {
					due = append(due, w)
				}
			}
		}
	}
	slices.SortFunc(due, func(a, b longWaiting) int {
		return cmp.Or(a.task.group.waitReportedAt.Compare(b.task.group.waitReportedAt), a.since.Compare(b.since),
			compareTasks(a.task.id(), b.task.id(), 0, 0))
	})
	var out []WaitingStep
	for _, w := range due[:min(len(due), maxWaitReports)] {
		w.task.group.waitReportedAt = now
		out = append(out, s.describeWaiting(w))
	}
	return out
}

// longWaiting is the task of a group that has waited longest.
type longWaiting struct {
	task  *task
	since time.Time
}

// longWaiting returns the task of a group that has waited longest, if that is longer than longWait, and counts such tasks.
func (s *Scheduler) longWaiting(g *group) (longWaiting, bool) {
	var longest longWaiting
	if !g.ready || !g.hasWaiting() || s.now.Sub(g.readySince) <= longWait {
		return longest, false
	}
	unused := g.waiting
	for t := range g.tasks.used() {
		unused -= boolToInt(t.waiting())
		since := latest(g.readySince, t.waitingSince)
		if !t.waiting() || s.now.Sub(since) <= longWait {
			continue
		}
		s.waitCheck.tasks++
		if longest.task == nil || since.Before(longest.since) {
			longest = longWaiting{t, since}
		}
	}
	if t := g.tasks.firstUnused(); t != nil && unused > 0 {
		s.waitCheck.tasks += unused
		if longest.task == nil || g.readySince.Before(longest.since) {
			longest = longWaiting{t, g.readySince}
		}
	}
	return longest, longest.task != nil
}

// describeWaiting returns why a task waits.
func (s *Scheduler) describeWaiting(w longWaiting) WaitingStep {
	t := w.task
	g := t.group
	r := s.ranked(g)
	failed := t.failedRuns
	if g.step.Gang {
		failed = g.failedRuns
	}
	return WaitingStep{
		Job: g.job.spec.ID, Index: t.index, Age: s.now.Sub(w.since), JobAge: s.now.Sub(g.job.dueAt(g.occurrence)), LastRun: t.lastRun,
		FailedRuns: len(failed), Reason: s.waitReasons(&r)(t), StepExplanation: s.explainGroup(g),
	}
}
