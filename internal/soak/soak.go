// Package soak runs daemons as separate processes on loopback, injects faults from outside by a random plan, and checks the
// product's guarantees against what callers and backend servers observe.
package soak

import (
	"cmp"
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
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Options are the settings of a soak test.
type Options struct {
	Binary        string        // path of the program under test
	Dir           string        // parent of a directory with settings and logs for each seed
	Profile       Profile       // empty means ProfileMixed
	FaultDuration time.Duration // time during which faults start
	Daemons       int
	Servers       int
	Callers       int
	ServerCalls   ServerCalls
}

// ServerCalls is who makes the leader's calls to servers.
type ServerCalls string

// The values of ServerCalls.
const (
	DefaultCalls ServerCalls = ""        // as ProxiedCalls with ProfileServerProxies, else as DirectCalls
	DirectCalls  ServerCalls = "direct"  // the leader, as in installations of at most 400 servers
	ProxiedCalls ServerCalls = "proxied" // other daemons in the servers' data centres
)

func (o Options) proxiedCalls() bool {
	return o.ServerCalls == ProxiedCalls || o.ServerCalls == DefaultCalls && o.Profile == ProfileServerProxies
}

// environment returns the settings of the daemons. A program that doesn't have them ignores them.
func (o Options) environment() []string {
	if o.proxiedCalls() {
		return []string{settings.EnvironmentVariable("max-direct-servers") + "=0"}
	}
	return nil
}

const (
	// recoveryTimeout is the time after the last fault within which a new job must complete.
	recoveryTimeout = 12 * time.Second
	// completionTimeout is the time after the last fault within which all accepted jobs must end. The longest job has two
	// steps of one second; the rest is for leases to expire and for the queue.
	completionTimeout = 30 * time.Second
	// maxRunAfterCancel is the time that a task may run after the cancellation of its job was confirmed.
	maxRunAfterCancel = 4 * time.Second
	pollInterval      = 200 * time.Millisecond
	startTimeout      = 10 * time.Second
)

// Result is the result of the run of a seed.
type Result struct {
	Seed       uint64
	Plan       []string
	Submitted  int // number of submitted jobs
	Accepted   int // number of accepted jobs
	Starts     int // number of task starts
	Violations []string
	Runtime    time.Duration
}

// Run runs the daemons, the callers and the fault plan of a seed, and returns the violations. It stops everything and returns an
// error if the context ends before.
func Run(ctx context.Context, o Options, seed uint64) (Result, error) {
	started := time.Now()
	o.Profile = cmp.Or(o.Profile, ProfileMixed)
	if !slices.Contains(Profiles, o.Profile) {
		return Result{}, fmt.Errorf("unknown profile %q, want one of %q", o.Profile, Profiles)
	}
	if !slices.Contains([]ServerCalls{DefaultCalls, DirectCalls, ProxiedCalls}, o.ServerCalls) {
		return Result{}, fmt.Errorf("unknown way of calls to servers %q, want %q or %q", o.ServerCalls, DirectCalls, ProxiedCalls)
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	c, err := newCell(o, dir, seed)
	if err != nil {
		return Result{}, err
	}
	w := newWorkload(c)
	c.fleet.SetPrerequisites(w.prerequisites)
	c.fleet.SetTeamLimit(w.teamLimit)
	c.fleet.SetTraits(w.traits)
	plan := newPlan(o.Profile, seed, o.FaultDuration, o.Daemons, o.Servers)
	r := Result{Seed: seed}
	if err := w.awaitCompletedJob(ctx, startTimeout); err != nil {
		r.Violations = append(r.Violations, "before any fault: "+err.Error())
	} else {
		w.runPlan(ctx, o, plan, seed)
		w.checkAfterFaults(ctx)
	}
	for _, f := range plan {
		r.Plan = append(r.Plan, f.String())
	}
	r.Submitted, r.Accepted = w.submittedCount, w.acceptedCount
	r.Starts, _ = c.fleet.StartCounts()
	r.Violations = append(r.Violations, w.violations...)
	r.Violations = append(r.Violations, c.fleet.Violations()...)
	for _, d := range c.daemons {
		if n := d.unexpectedExitCount(); n > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("daemon %s exited unexpectedly %d times", d.node.Member, n))
		}
	}
	slices.Sort(r.Violations)
	r.Runtime = time.Since(started)
	return r, errors.Join(ctx.Err(), c.close())
}

// runPlan runs the callers while the faults of the plan start and end.
func (w *workload) runPlan(ctx context.Context, o Options, plan []plannedFault, seed uint64) {
	callersCtx, stopCallers := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { w.runCallers(callersCtx, o.Callers, seed) })
	startedAt := time.Now()
	var faults sync.WaitGroup
	for _, f := range plan {
		faults.Go(func() {
			sleep(ctx, time.Until(startedAt.Add(f.At)))
			endFault := w.cell.startFault(f)
			sleep(ctx, f.Duration)
			endFault()
		})
	}
	faults.Wait()
	stopCallers()
	group.Wait()
	w.clearFaults()
}

// clearFaults ends the faults of the store and the proxies that may remain because other faults overlapped them.
func (w *workload) clearFaults() {
	c := w.cell
	c.store.SetFault(nil)
	c.setStoreDelay(0)
	for _, p := range slices.Concat(c.peerProxies, c.storeProxies) {
		p.setMode(modeForward)
	}
	for _, s := range c.slots {
		s.currentProxy().setMode(modeForward)
	}
	if c.profile != ProfileMixed {
		c.restoreServers()
	}
}

// prerequisites returns the tasks that must have succeeded before a task may start.
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

// teamLimit returns the team of a job and the team's limit, or 0 if there is none.
func (w *workload) teamLimit(id ident.JobID) (ident.TeamID, resource.MilliCPU) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil && j.team == limitedTeam {
		return limitedTeam, resource.Cores(teamLimitCores)
	}
	return "", 0
}

// awaitCompletedJob submits a job and waits until it has completed.
func (w *workload) awaitCompletedJob(ctx context.Context, limit time.Duration) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	id := ident.JobID(fmt.Sprintf("%016x", time.Now().UnixNano()))
	steps := []sched.Step{{Count: 1, Demand: taskDemand, Estimate: minTaskDuration}}
	j := &jobRecord{id: id, team: multiKeyTeam, prefix: queuePrefix, steps: steps}
	c := j.newOwner(client)
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	last := "no call was made"
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		d := w.cell.daemons[time.Now().UnixNano()%int64(len(w.cell.daemons))]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		r, err := c.Submit(callCtx, d.node.CallerAddress(), id, steps)
		if err == nil && r.Code == http.StatusOK {
			r, err = c.Read(callCtx, d.node.CallerAddress(), id)
		}
		cancel()
		if err == nil && r.State == sched.StateCompleted {
			return nil
		}
		last = fmt.Sprintf("status %d, state %q, %v", r.Code, r.State, err)
	}
	return fmt.Errorf("no job completed within %s: %s", limit, last)
}

// checkAfterFaults checks that the daemons recover after the last fault and that every accepted job ends correctly.
func (w *workload) checkAfterFaults(ctx context.Context) {
	faultsEnded := time.Now()
	if err := w.awaitCompletedJob(ctx, recoveryTimeout); err != nil {
		w.addViolation("after the last fault: %v", err)
	}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	w.checkLongRunningTasks(ctx, faultsEnded)
	w.cancelLongRunningJobs(ctx, client)
	unfinished := w.acceptedJobs()
	for len(unfinished) > 0 && time.Since(faultsEnded) < completionTimeout && ctx.Err() == nil {
		unfinished = slices.DeleteFunc(unfinished, func(j *jobRecord) bool { return w.isFinished(ctx, j, client) })
		sleep(ctx, pollInterval)
	}
	for _, j := range unfinished {
		w.addViolation("job %s of team %s was accepted, but hasn't ended %s after the last fault", j.id, j.team, completionTimeout)
	}
	w.checkRefusedJobs()
	w.checkCancelledJobs()
	w.checkGangs(faultsEnded)
}

// acceptedJobs returns the accepted jobs.
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

// isFinished reads a job's state, checks it and reports whether it is final. Every job can complete, so a failed job is a
// violation.
func (w *workload) isFinished(ctx context.Context, j *jobRecord, client *http.Client) bool {
	c := j.newOwner(client)
	d := w.cell.daemons[len(j.id)%len(w.cell.daemons)]
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.Read(callCtx, d.node.CallerAddress(), j.id)
	switch {
	case err != nil || r.Code == http.StatusServiceUnavailable:
		return false
	case r.Code == http.StatusGone:
		w.addViolation("job %s was accepted, but a read reports it as unknown", j.id)
	case r.State == sched.StateFailed:
		w.addViolation("job %s is reported as failed, although it can complete", j.id)
	case r.State == sched.StateCancelled && !j.cancelSent:
		w.addViolation("job %s is reported as cancelled, but no cancellation was sent", j.id)
	case r.State == sched.StateCompleted:
		w.checkAllTasksRan(j)
	case r.State != sched.StateCancelled:
		return false
	}
	return true
}

// checkAllTasksRan checks that all tasks of a completed job have succeeded.
func (w *workload) checkAllTasksRan(j *jobRecord) {
	for step, s := range j.steps {
		for i := range s.Count {
			if !w.cell.fleet.HasSucceeded(sched.TaskID{Job: j.id, Step: step, Index: i}) {
				w.addViolation("job %s is reported as completed, but task %d.%d hasn't succeeded", j.id, step, i)
			}
		}
	}
}

// jobRecords returns a copy of the records. The fleet reads them under its own lock, so checks call it without w.mu.
func (w *workload) jobRecords() []jobRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	records := make([]jobRecord, 0, len(w.jobs))
	for _, j := range w.jobs {
		records = append(records, *j)
	}
	return records
}

// checkRefusedJobs checks that no task of a job was started if every attempt to submit the job was refused as not run.
func (w *workload) checkRefusedJobs() {
	for _, j := range w.jobRecords() {
		if j.refused && !j.accepted && !j.outcomeUnknown && w.cell.fleet.WasStarted(j.id) {
			w.addViolation("job %s was refused as not run, but a task of it was started", j.id)
		}
	}
}

// checkCancelledJobs checks that no task of a cancelled job runs after maxRunAfterCancel.
func (w *workload) checkCancelledJobs() {
	for _, j := range w.jobRecords() {
		if n := w.cell.fleet.RunningTasks(j.id); n > 0 && !j.cancelConfirmed.IsZero() &&
			time.Since(j.cancelConfirmed) > maxRunAfterCancel {
			w.addViolation("%d tasks of job %s are running %s after its cancellation", n, j.id, time.Since(j.cancelConfirmed))
		}
	}
}

// String returns the result on one line, followed by a line for each violation.
func (r Result) String() string {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = "BROKEN"
	}
	line := fmt.Sprintf("seed %-6d %-6s %3d faults %4d jobs tried %4d accepted %5d starts %5.1f s",
		r.Seed, verdict, len(r.Plan), r.Submitted, r.Accepted, r.Starts, r.Runtime.Seconds())
	return strings.Join(append([]string{line}, r.Violations...), "\n    ")
}
