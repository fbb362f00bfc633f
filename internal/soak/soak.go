// Package soak runs daemons as processes of their own on loopback, disturbs them from outside by a random plan, and checks
// what callers and backend servers see against the promises of the product.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// Options are the settings of a soak.
type Options struct {
	Binary        string        // the program under test
	Dir           string        // takes settings, logs and plans, by seed
	FaultDuration time.Duration // of the faults
	Daemons       int
	Servers       int
	Callers       int
}

const (
	// recovery is the time after the last fault within which jobs are served again.
	recoveryTimeout = 12 * time.Second
	// finishWithin is the time after the last fault within which all accepted jobs end. The longest has two steps of a
	// second; the rest is for leases and the queue.
	completionTimeout = 30 * time.Second
	// cancelWithin is how long tasks of a cancelled job may run on.
	maxRunAfterCancel = 4 * time.Second
	pollInterval      = 200 * time.Millisecond
	startTimeout      = 10 * time.Second
)

// Result is what a seed showed.
type Result struct {
	Seed       uint64
	Plan       []string
	Submitted  int // jobs handed in
	Accepted   int // jobs accepted
	Starts     int // starts of tasks
	Violations []string
	Runtime    time.Duration
}

// Run plays a seed.
func Run(ctx context.Context, o Options, seed uint64) (Result, error) {
	started := time.Now()
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	c, err := newCell(o, dir, seed)
	if err != nil {
		return Result{}, errors.Join(err, c.closeIfCreated())
	}
	w := newWorkload(c)
	c.fleet.SetPrerequisites(w.prerequisites)
	c.fleet.SetTeamLimit(w.teamLimit)
	plan := newPlan(seed, o.FaultDuration, o.Daemons, o.Servers)
	r := Result{Seed: seed}
	if err := w.awaitCompletedJob(ctx, startTimeout); err != nil {
		r.Violations = append(r.Violations, "before any fault: "+err.Error())
	} else {
		w.runPlan(ctx, o, plan, seed)
		w.checkAfterFaults(ctx)
	}
	for _, s := range plan {
		r.Plan = append(r.Plan, s.String())
	}
	r.Submitted, r.Accepted = w.submittedCount, w.acceptedCount
	r.Starts, _ = c.fleet.StartCounts()
	r.Violations = append(r.Violations, w.violations...)
	r.Violations = append(r.Violations, c.fleet.Violations()...)
	for _, d := range c.daemons {
		if n := d.unexpectedExitCount(); n > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%s ended by itself %d times", d.node.Member, n))
		}
	}
	slices.Sort(r.Violations)
	r.Runtime = time.Since(started)
	return r, c.close()
}

// closeAll closes a cell that may not have come about.
func (c *cell) closeIfCreated() error {
	if c == nil {
		return nil
	}
	return c.close()
}

// play runs callers and faults beside each other.
func (w *workload) runPlan(ctx context.Context, o Options, plan []plannedFault, seed uint64) {
	callersCtx, stopCallers := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { w.runCallers(callersCtx, o.Callers, seed) })
	startedAt := time.Now()
	var faults sync.WaitGroup
	for _, s := range plan {
		faults.Go(func() {
			sleep(ctx, time.Until(startedAt.Add(s.At)))
			endFault := w.cell.startFault(s)
			sleep(ctx, s.Duration)
			endFault()
		})
	}
	faults.Wait()
	stopCallers()
	group.Wait()
	w.clearFaults()
}

// restore ends every disturbance that overlapping faults may have left.
func (w *workload) clearFaults() {
	c := w.cell
	c.store.SetFault(nil)
	c.storeHTTP.SetDelay(0)
	for _, p := range append(slices.Clone(c.serverProxies), c.storeProxies...) {
		p.setMode(modeForward)
	}
}

// before returns the tasks that must have ended before a task may start.
func (w *workload) prerequisites(id sched.TaskID) []sched.TaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id.Job]
	if j == nil || id.Step == 0 || id.Step >= len(j.steps) {
		return nil
	}
	var ids []sched.TaskID
	for _, s := range j.steps[id.Step].After {
		for i := range j.steps[s].Count {
			ids = append(ids, sched.TaskID{Job: id.Job, Step: s, Index: i})
		}
	}
	return ids
}

// limit returns the team of a job and its limit.
func (w *workload) teamLimit(id ident.JobID) (ident.TeamID, resource.MilliCPU) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil && j.team == limitedTeam {
		return limitedTeam, resource.Cores(teamLimitCores)
	}
	return "", 0
}

// awaitServing waits until a job is accepted and completed.
func (w *workload) awaitCompletedJob(ctx context.Context, limit time.Duration) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	c := &standin.Caller{Host: queueHost, Prefix: queuePrefix, Key: "blue-0", Client: client}
	id := ident.JobID(fmt.Sprintf("%016x", time.Now().UnixNano()))
	steps := []sched.Step{{Count: 1, Demand: taskDemand, Estimate: minTaskDuration}}
	w.mu.Lock()
	w.jobs[id] = &jobRecord{id: id, team: "blue", steps: steps}
	w.mu.Unlock()
	last := "no call was made"
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		d := w.cell.daemons[time.Now().UnixNano()%int64(len(w.cell.daemons))]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := c.Submit(callCtx, d.node.Front(), id, steps)
		if err == nil && r.Code == http.StatusOK {
			r, err = c.Read(callCtx, d.node.Front(), id)
		}
		cancel()
		if err == nil && r.State == sched.StateCompleted {
			return nil
		}
		last = fmt.Sprintf("status %d, state %q, %v", r.Code, r.State, err)
	}
	return fmt.Errorf("no job was served within %s: %s", limit, last)
}

// finish checks what must hold once the faults are over.
func (w *workload) checkAfterFaults(ctx context.Context) {
	faultsEnded := time.Now()
	if err := w.awaitCompletedJob(ctx, recoveryTimeout); err != nil {
		w.addViolation("after the last fault %v", err)
	}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	unfinished := w.acceptedJobs()
	for len(unfinished) > 0 && time.Since(faultsEnded) < completionTimeout && ctx.Err() == nil {
		unfinished = slices.DeleteFunc(unfinished, func(j *jobRecord) bool { return w.isFinished(ctx, j, client) })
		sleep(ctx, pollInterval)
	}
	for _, j := range unfinished {
		w.addViolation("job %s was accepted and hasn't ended %s after the last fault", j.id, completionTimeout)
	}
	w.checkRefusedJobs()
	w.checkCancelledJobs()
}

// accepted returns the jobs that were accepted.
func (w *workload) acceptedJobs() []*jobRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var jobs []*jobRecord
	for _, j := range w.jobs {
		if j.accepted {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// ended asks for a job's state and reports whether it is final. Every job can be done.
func (w *workload) isFinished(ctx context.Context, j *jobRecord, client *http.Client) bool {
	c := &standin.Caller{Host: queueHost, Prefix: queuePrefix, Key: j.team + "-0", Client: client}
	d := w.cell.daemons[len(j.id)%len(w.cell.daemons)]
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.Read(callCtx, d.node.Front(), j.id)
	switch {
	case err != nil || r.Code == http.StatusServiceUnavailable:
		return false
	case r.Code == http.StatusGone:
		w.addViolation("job %s was accepted and isn't known", j.id)
	case r.State == sched.StateFailed:
		w.addViolation("job %s is shown as failed and can be done", j.id)
	case r.State == sched.StateCancelled && !j.cancelSent:
		w.addViolation("job %s is shown as cancelled, which nobody asked for", j.id)
	case r.State == sched.StateCompleted:
		w.checkAllTasksRan(j)
	case r.State != sched.StateCancelled:
		return false
	}
	return true
}

// checkWhole checks that all tasks of a completed job have run.
func (w *workload) checkAllTasksRan(j *jobRecord) {
	for step, s := range j.steps {
		for i := range s.Count {
			if !w.cell.fleet.HasSucceeded(sched.TaskID{Job: j.id, Step: step, Index: i}) {
				w.addViolation("job %s is shown as completed and task %d.%d hasn't ended well", j.id, step, i)
			}
		}
	}
}

// checkRefused checks that jobs of which every try was refused never ran.
func (w *workload) checkRefusedJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.refused && !j.accepted && !j.outcomeUnknown && w.cell.fleet.WasStarted(j.id) {
			w.violations = append(w.violations, fmt.Sprintf("job %s was refused as not run, and ran", j.id))
		}
	}
}

// checkCancelled checks that nothing of a cancelled job runs on.
func (w *workload) checkCancelledJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if n := w.cell.fleet.RunningTasks(j.id); n > 0 && !j.cancelConfirmed.IsZero() && time.Since(j.cancelConfirmed) > maxRunAfterCancel {
			w.violations = append(w.violations, fmt.Sprintf("%d tasks of job %s run %s after its cancellation", n, j.id, time.Since(j.cancelConfirmed)))
		}
	}
}

// String returns the result as a line, and a line for each break.
func (r Result) String() string {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = "BROKEN"
	}
	line := fmt.Sprintf("seed %-6d %-6s %3d faults %4d jobs tried %4d accepted %5d starts %5.1f s",
		r.Seed, verdict, len(r.Plan), r.Submitted, r.Accepted, r.Starts, r.Runtime.Seconds())
	return strings.Join(append([]string{line}, r.Violations...), "\n    ")
}
