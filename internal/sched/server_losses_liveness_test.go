package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// longRunningBound is the time after its last run in which a task that lasts has another run: a start is due 6 s after that
	// run, and it counts as missing once it is missed for 3 s.
	longRunningBound = 9 * time.Second
	// calmBeforeLongRunning is the time without impairments that a task has to be missed in: those 3 s and the 4 s before.
	calmBeforeLongRunning = 7 * time.Second
	// finishBound is the time after the last impairment in which all other jobs end: they are asked for 14 s after the end of the
	// traffic, and one without a run counts as lost after 3 s.
	finishBound = 17 * time.Second
)

// checkLongRunning checks that each task that lasts has a run in time, once its turn has come.
func (l *serverLosses) checkLongRunning() {
	for _, v := range l.live("") {
		for _, key := range v.runKeys() {
			l.lastRan[key.task] = l.now
		}
	}
	for _, id := range l.dueLongRunning() {
		if _, seen := l.lastRan[id]; !seen {
			l.lastRan[id] = l.now
		}
		if l.now.Sub(l.lastRan[id]) >= time.Second && !l.hasRoom(l.specs[id.Job], id.Step) {
			l.lastRan[id] = l.now
		}
		if l.now.Sub(l.calmFrom) >= calmBeforeLongRunning && l.now.Sub(l.lastRan[id]) >= longRunningBound {
			l.Errorf("seed %d, after %v: %v, which lasts, has had no run for %v", l.seed, l.now.Sub(epochStart), id, l.now.Sub(l.lastRan[id]))
		}
	}
}

// dueLongRunning returns the tasks that last of jobs that weren't cancelled and whose earlier steps are done.
func (l *serverLosses) dueLongRunning() []TaskID {
	var out []TaskID
	for i := range len(l.specs) {
		job := l.specs[ident.JobID(fmt.Sprintf("j%03d", i))]
		for n := range job.Steps {
			if step := &job.Steps[n]; step.LongRunning && !l.recorded[job.ID].State.Terminal() && l.stepsDone(job, step.After) {
				for index := range step.Count {
					out = append(out, TaskID{Job: job.ID, Step: n, Index: index})
				}
			}
		}
	}
	return out
}

// hasRoom reports whether enough servers may run the tasks of a step. Jobs are few enough that these have capacity then.
func (l *serverLosses) hasRoom(job *Job, step int) bool {
	queue, need := l.queues[job.Queue.ID], 1
	if job.Steps[step].MaxPerServer == 1 {
		need = job.Steps[step].Count
	}
	for _, v := range l.live(queue.Service) {
		if queue.Advisor == nil || l.allows(job.ID, step, v.info.ID) {
			need--
		}
	}
	return need <= 0
}

func (l *serverLosses) hasRoomForAll(job *Job) bool {
	for step := range job.Steps {
		if !l.hasRoom(job, step) {
			return false
		}
	}
	return true
}

// stepsDone reports whether all tasks of some steps are recorded as done.
func (l *serverLosses) stepsDone(job *Job, steps []int) bool {
	for _, n := range steps {
		for index := range job.Steps[n].Count {
			if !l.isRecorded(TaskID{Job: job.ID, Step: n, Index: index}) {
				return false
			}
		}
	}
	return true
}

// unfinishedJobs returns the jobs that have to end by themselves and haven't, and those that have ended and still have a run.
func (l *serverLosses) unfinishedJobs() []ident.JobID {
	var out []ident.JobID
	for i := range len(l.specs) {
		job := l.specs[ident.JobID(fmt.Sprintf("j%03d", i))]
		last := len(job.Steps) - 1
		lasts := job.Steps[last].LongRunning && l.stepsDone(job, job.Steps[last].After)
		if !lasts && !l.recorded[job.ID].State.Terminal() && l.hasRoomForAll(job) {
			out = append(out, job.ID)
		}
	}
	for _, v := range l.live("") {
		for _, key := range v.runKeys() {
			if l.recorded[key.task.Job].State.Terminal() {
				out = append(out, key.task.Job)
			}
		}
	}
	return out
}

// run runs the simulation until all jobs have ended and the bounds for tasks that last have passed.
func (l *serverLosses) run() {
	for l.now.Sub(epochStart) < faultsUntil || l.now.Sub(l.calmFrom) < longRunningBound+time.Second || len(l.unfinishedJobs()) > 0 {
		l.faultSimulation.step()
		if l.Failed() {
			return
		}
		if l.calm() && l.now.Sub(l.calmFrom) >= finishBound {
			l.Errorf("seed %d: jobs %v haven't ended %v after the last impairment", l.seed, l.unfinishedJobs(), finishBound)
			return
		}
	}
}

// Guards against tasks that are never started after servers were lost in any way that a platform knows, and against the
// violations that TestRandomFaults checks.
func TestRandomServerLosses(t *testing.T) {
	t.Parallel()
	const seeds = 24
	for seed := range uint64(seeds) {
		l := newServerLosses(emptyFaultSimulation(t, seed))
		l.run()
		if t.Failed() {
			return
		}
	}
}

// Guards against tasks that wait long for a server that has ended. 220, 489, 905, 972, 1329, 1927, 2103, 60153, 61290: a server that restarted
// before a takeover may hold the longest lease. 710, 1137, 1777, 2944: a server answered slowly before it ended. 2506: a gang never started, as an
// advisor's answer about a removed server was kept when that one returned under its id. 50699, against a task that runs again after its
// end: a poll that was sent for the former incarnation acknowledged it.
func TestServerLossSeeds(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{220, 489, 710, 905, 972, 1137, 1329, 1777, 1851, 1927, 2103, 2506, 2944, 3524, 50699, 60153, 61290} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			newServerLosses(emptyFaultSimulation(t, seed)).run()
		})
	}
}
