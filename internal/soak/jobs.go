package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/runhost"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Shares of the jobs of ProfileServerLoss and ProfileSilentLinks; the others are like those of ProfileMixed.
const (
	advisedShare     = 0.6
	gangShare        = 0.15
	longRunningShare = 0.04
	// minLongRun and longRunRange give the time after which a caller cancels a long-running job.
	minLongRun   = time.Second
	longRunRange = 6 * time.Second
)

// newJob returns a job with random steps for the profile.
func (w *workload) newJob(random *rand.Rand, team string) *jobRecord {
	j := &jobRecord{id: ident.JobID(fmt.Sprintf("%016x", random.Uint64())), team: team, prefix: queuePrefix}
	estimate := (minTaskDuration + maxTaskDuration) / 2
	j.steps = []sched.Step{{Count: 1 + random.IntN(5), Demand: taskDemand, Estimate: estimate}}
	if random.IntN(2) == 0 {
		j.steps = append(j.steps, sched.Step{
			Count: 1 + random.IntN(3), Demand: taskDemand, After: []int{0}, Estimate: maxTaskDuration / 2,
		})
	}
	if w.cell.profile == ProfileMixed {
		return j
	}
	if random.IntN(2) == 0 {
		j.prefix = advisedPrefix
	}
	switch n := random.Float64(); {
	case n < advisedShare:
		j.prefix = advisedPrefix
		j.steps = []sched.Step{
			{Count: 1 + random.IntN(3), Demand: taskDemand, Estimate: estimate},
			{Count: 1 + random.IntN(3), Demand: taskDemand, Estimate: estimate, After: []int{0}},
		}
	case n < advisedShare+gangShare:
		j.steps = []sched.Step{{Count: 2 + random.IntN(3), Demand: taskDemand, Estimate: estimate, Gang: true}}
	case n < advisedShare+gangShare+longRunningShare && team != limitedTeam: // jobs within a limit wait for each other
		j.steps = []sched.Step{{Count: 1 + random.IntN(2), Demand: taskDemand, LongRunning: true}}
	}
	return j
}

// longRunning reports whether the job runs until it is cancelled.
func (j *jobRecord) longRunning() bool { return j.steps[0].LongRunning }

// traits returns the traits of a task for the stand-in of the backend servers.
func (w *workload) traits(id sched.TaskID) runhost.Traits {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id.Job]
	if j == nil || id.Step >= len(j.steps) {
		return runhost.Traits{}
	}
	step := j.steps[id.Step]
	traits := runhost.Traits{Service: serviceName, NeedsTicket: j.prefix == advisedPrefix, LongRunning: step.LongRunning}
	if step.Gang {
		traits.GangSize = step.Count
	}
	return traits
}

// cancelLater cancels a long-running job after a while.
func (w *workload) cancelLater(ctx context.Context, j *jobRecord, client *http.Client, random *rand.Rand) {
	delay := minLongRun + time.Duration(random.Int64N(int64(longRunRange)))
	w.background.Go(func() {
		sleep(ctx, delay)
		if ctx.Err() == nil { // jobs that outlast the faults are checked and cancelled after them
			w.cancel(ctx, j, j.newOwner(client), random)
		}
	})
}

const (
	// calmTime is the time after the last fault from which long-running tasks must run and gangs must start together.
	calmTime = 4 * time.Second
	// restartTime is the time after its last run from which a long-running task must run.
	restartTime = 6 * time.Second
	// restartTolerance is how long a long-running task may be without a run after restartTime.
	restartTolerance = 3 * time.Second
	// longRunningCheck is how long after the last fault long-running tasks are observed, so that one whose run ended with the
	// last fault is due.
	longRunningCheck = restartTime + restartTolerance + time.Second
)

// checkLongRunningTasks checks that the tasks of long-running jobs that aren't cancelled run, and are started again.
func (w *workload) checkLongRunningTasks(ctx context.Context, faultsEnded time.Time) {
	reported := map[sched.TaskID]bool{}
	for time.Since(faultsEnded) < longRunningCheck && ctx.Err() == nil {
		sleep(ctx, pollInterval)
		for _, j := range w.acceptedJobs() {
			for i := range w.longRunningTasks(j) {
				task := sched.TaskID{Job: j.id, Index: i}
				if idle := w.overdue(j, task, faultsEnded, time.Now()); idle > 0 && !reported[task] {
					reported[task] = true
					w.addViolation("%v is long-running and has had no run for %s", task, idle.Round(100*time.Millisecond))
				}
			}
		}
	}
}

// longRunningTasks returns the number of tasks of a job that have to run until the job is cancelled.
func (w *workload) longRunningTasks(j *jobRecord) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !j.longRunning() || j.cancelSent {
		return 0
	}
	return j.steps[0].Count
}

// overdue returns how long a long-running task has been without a run, or 0 if it runs or may still be without one.
func (w *workload) overdue(j *jobRecord, task sched.TaskID, faultsEnded, now time.Time) time.Duration {
	ended, running := w.cell.fleet.LastRunEnd(task)
	if running {
		return 0
	}
	if ended.Before(j.acceptedAt) {
		ended = j.acceptedAt // it was never started
	}
	due := ended.Add(restartTime)
	if calm := faultsEnded.Add(calmTime); due.Before(calm) {
		due = calm
	}
	if now.Sub(due) < restartTolerance {
		return 0
	}
	return now.Sub(ended)
}

// cancelLongRunningJobs cancels the long-running jobs that still run.
func (w *workload) cancelLongRunningJobs(ctx context.Context, client *http.Client) {
	random := rand.New(rand.NewPCG(0, 0))
	for _, j := range w.acceptedJobs() {
		w.mu.Lock()
		cancel := j.longRunning() && j.cancelConfirmed.IsZero()
		w.mu.Unlock()
		if cancel {
			w.cancel(ctx, j, j.newOwner(client), random)
		}
	}
}

// checkGangs checks that gangs whose first member was started after the calm time found all of their members.
func (w *workload) checkGangs(faultsEnded time.Time) {
	for _, task := range w.cell.fleet.GangTimeouts(faultsEnded.Add(calmTime)) {
		w.mu.Lock()
		j := w.jobs[task.Job]
		cancelled := j != nil && j.cancelSent
		w.mu.Unlock()
		if !cancelled {
			w.addViolation("%v was started without the other tasks of its gang", task)
		}
	}
}
