// Package runhost simulates the backend servers of internal/coordinator, which run tasks under fencing tokens and leases.
// It records violations that servers can observe: a task that runs on two hosts, a start after the task has ended or before
// its prerequisites, demand above a host's capacity or a team's limit, and a start with a ticket that the advisor didn't grant.
// Package worker simulates the backend servers of
// the other protocol, internal/backend.
package runhost

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// maxListedEnds is the number of finished runs that a host lists in a reply to a poll.
const maxListedEnds = 500

// MaxLease is the longest lease that a host grants.
const MaxLease = 10 * time.Second

// Fleet is a set of simulated backend servers. It is safe for concurrent use.
type Fleet struct {
	mu            sync.Mutex
	hosts         map[sched.ServerID]*host
	taskDuration  func(sched.TaskID) time.Duration
	taskDemand    func(sched.TaskID) resource.Vector
	successes     map[sched.TaskID][]*success // without those that a crash lost
	everSucceeded map[sched.TaskID]bool       // tasks with a successful run, including those on hosts that crashed since
	teamLimit     func(ident.JobID) (ident.TeamID, resource.MilliCPU)
	prerequisites func(sched.TaskID) []sched.TaskID
	startCounts   map[sched.TaskID]int
	violations    []string
	countListed   bool          // see CountListedEnds
	listedEnds    int           // see SetListedEnds
	changed       chan struct{} // closed when the next run ends
	traits        func(sched.TaskID) Traits
	lastRunEnds   map[sched.TaskID]time.Time
	gangs         map[gangKey]*gang
	gangTimeouts  []gangTimeout
	advisor       *advisor
	startCheck    func(sched.Server, time.Time) string
}

type host struct {
	info         sched.Server
	bootedAt     time.Time // of the current incarnation; the host's clock counts from it
	clockRate    float64   // seconds of the host's clock in a second
	fence        sched.FencingToken
	leaseEnd     time.Time
	runs         map[sched.TaskID]*run
	tombstones   map[sched.TaskID]sched.RunNumber
	finished     []sched.FinishedRun // that aren't acknowledged yet
	lastFinished uint64              // number of the last finished run
	unresponsive bool
}

type run struct {
	number   sched.RunNumber
	duration time.Duration
	end      time.Time     // at which the run completes, unless it is stopped or the lease expires before
	outcome  sched.Outcome // at the end
	gang     *gang         // nil for a task that runs by itself

	longRunning bool
}

// New returns a fleet without hosts. The functions return the duration and the demand of a task.
func New(taskDuration func(sched.TaskID) time.Duration, taskDemand func(sched.TaskID) resource.Vector) *Fleet {
	return &Fleet{
		hosts: map[sched.ServerID]*host{}, taskDuration: taskDuration, taskDemand: taskDemand,
		successes: map[sched.TaskID][]*success{}, everSucceeded: map[sched.TaskID]bool{}, startCounts: map[sched.TaskID]int{},
		teamLimit:     func(ident.JobID) (ident.TeamID, resource.MilliCPU) { return "", 0 },
		prerequisites: func(sched.TaskID) []sched.TaskID { return nil },
		traits:        func(sched.TaskID) Traits { return Traits{} },
		lastRunEnds:   map[sched.TaskID]time.Time{}, gangs: map[gangKey]*gang{},
		changed: make(chan struct{}), listedEnds: maxListedEnds,
	}
}

// SetListedEnds sets how many finished runs a host lists in a reply, those with the lowest numbers first.
func (f *Fleet) SetListedEnds(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedEnds = n
}

// SetPrerequisites sets the function that returns the tasks which must have succeeded before a task may start.
func (f *Fleet) SetPrerequisites(prerequisites func(sched.TaskID) []sched.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prerequisites = prerequisites
}

// SetTeamLimit sets the function that returns the team of a job and the CPU that the team's running tasks may demand in
// total; 0 means no limit.
func (f *Fleet) SetTeamLimit(teamLimit func(ident.JobID) (ident.TeamID, resource.MilliCPU)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.teamLimit = teamLimit
}

// checkTeamLimit records a violation if the start of a task brings its team above the team's limit.
func (f *Fleet) checkTeamLimit(task sched.TaskID) {
	team, limit := f.teamLimit(task.Job)
	if limit == 0 {
		return
	}
	used := f.taskDemand(task).CPU
	for _, h := range f.hosts {
		for t := range h.runs {
			if runTeam, _ := f.teamLimit(t.Job); runTeam == team {
				used += f.taskDemand(t).CPU
			}
		}
	}
	if used > limit {
		f.violations = append(f.violations, fmt.Sprintf(
			"team %s has %d milli-CPU running, above its limit of %d, at the start of %v", team, used, limit, task))
	}
}

// HasSucceeded reports whether a run of a task has ever succeeded, even if its host has crashed since.
func (f *Fleet) HasSucceeded(t sched.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everSucceeded[t]
}

// WasStarted reports whether any task of a job was started.
func (f *Fleet) WasStarted(job ident.JobID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for t := range f.startCounts {
		if t.Job == job {
			return true
		}
	}
	return false
}

// SetUnresponsive sets whether a host leaves calls without a reply.
func (f *Fleet) SetUnresponsive(id sched.ServerID, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[id].unresponsive = unresponsive
}

// Violations returns the recorded violations.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// StartCounts returns the number of starts and the number of tasks that were started.
func (f *Fleet) StartCounts() (starts, tasks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.startCounts {
		starts += n
	}
	return starts, len(f.startCounts)
}

// Client returns a client that calls the hosts and the advisor of the fleet in process. Throttling has no effect.
func (f *Fleet) Client() coordinator.ServerClient {
	return coordinator.ServerClient{
		Start: f.start, Stop: f.stop, Poll: f.poll, CloseConnections: func(string) {},
		Throttle: func(context.Context, sched.FencingToken, sched.ThrottleCommand) (time.Duration, error) {
			return 0, nil
		},
		Advise: f.advise,
	}
}

// clock returns the reading of the host's clock, which counts from its boot.
func (h *host) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(h.bootedAt)) * h.clockRate)
}

// timeOf returns when the host's clock has a reading.
func (h *host) timeOf(clock time.Duration) time.Time {
	return h.bootedAt.Add(time.Duration(float64(clock) / h.clockRate))
}

// endDueRuns ends the runs that completed or whose lease expired.
func (f *Fleet) endDueRuns(h *host, now time.Time) {
	for task, r := range h.runs {
		switch {
		case r.gang != nil: // see endDueGangs
		case now.After(h.leaseEnd) && r.end.After(h.leaseEnd):
			f.finishRun(h, task, r.number, sched.OutcomeLeaseExpired)
		case now.Before(r.end):
		case r.outcome == sched.OutcomeDone:
			f.succeed(h, task, r.number)
		default:
			f.finishRun(h, task, r.number, r.outcome)
		}
	}
}

// succeed ends a run as done.
func (f *Fleet) succeed(h *host, task sched.TaskID, number sched.RunNumber) {
	f.everSucceeded[task] = true
	f.successes[task] = append(f.successes[task], &success{host: h, finishedNumber: h.lastFinished + 1})
	f.finishRun(h, task, number, sched.OutcomeDone)
}

// finishRun removes a run from the host, leaves a tombstone for it and adds it to the finished runs.
func (f *Fleet) finishRun(h *host, task sched.TaskID, number sched.RunNumber, outcome sched.Outcome) {
	delete(h.runs, task)
	f.lastRunEnds[task] = time.Now()
	h.tombstones[task] = max(h.tombstones[task], number)
	h.lastFinished++
	h.finished = append(h.finished, sched.FinishedRun{Number: h.lastFinished, Task: task, Run: number, Outcome: outcome})
	close(f.changed)
	f.changed = make(chan struct{})
}

// hostForCall returns the host of a call after it has ended the due runs and checked the fencing token.
func (f *Fleet) hostForCall(id sched.ServerID, fence sched.FencingToken, now time.Time) (*host, error) {
	h := f.hosts[id]
	if h == nil || h.unresponsive {
		return nil, coordinator.ErrNoResponse
	}
	f.endDueGangs(now)
	f.endDueRuns(h, now)
	if fence < h.fence {
		return nil, &coordinator.RefusedError{Reason: sched.RefusedFenced, Clock: h.clock(now)}
	}
	h.fence = fence
	return h, nil
}

// extendLease sets the lease to end when the host's clock reaches the deadline, if that is later, and at most MaxLease from
// now.
func (f *Fleet) extendLease(h *host, deadline time.Duration) {
	end := h.timeOf(deadline)
	if latest := time.Now().Add(MaxLease); end.After(latest) {
		end = latest
	}
	if deadline > 0 && end.After(h.leaseEnd) {
		f.excuseExpired(h, time.Now())
		h.leaseEnd = end
	}
}

// start starts a run. It accepts a repeated command and refuses one that is late or whose run number has a tombstone.
func (f *Fleet) start(_ context.Context, fence sched.FencingToken, command sched.StartCommand) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	h, err := f.hostForCall(command.Server.ID, fence, now)
	if err != nil {
		return 0, err
	}
	if command.Deadline > 0 && h.clock(now) > command.Deadline {
		return 0, &coordinator.RefusedError{Reason: sched.RefusedLeaseExpired, Clock: h.clock(now)}
	}
	if r := h.runs[command.Task]; r != nil && r.number == command.Run {
		f.extendLease(h, command.Deadline)
		return h.clock(now), nil
	}
	if command.Run <= h.tombstones[command.Task] {
		f.extendLease(h, command.Deadline)
		return 0, &coordinator.RefusedError{Reason: sched.RefusedOldRun, Clock: h.clock(now)}
	}
	if !f.acceptsTicket(h, command, now) {
		return 0, &coordinator.RefusedError{Reason: sched.RefusedTicket, Clock: h.clock(now)}
	}
	f.extendLease(h, command.Deadline)
	f.checkStart(h, command.Task, now)
	f.addRun(h, command.Task, command.Run, now)
	f.startCounts[command.Task]++
	return h.clock(now), nil
}

// checkStart records the violations of starting a task on a host.
func (f *Fleet) checkStart(h *host, task sched.TaskID, now time.Time) {
	if service := f.traits(task).Service; service != "" && service != h.info.Service {
		f.violations = append(f.violations, fmt.Sprintf("%v started on %s of service %s, not %s", task, h.info.ID, h.info.Service, service))
	}
	if f.startCheck != nil {
		if violation := f.startCheck(h.info, now); violation != "" {
			f.violations = append(f.violations, fmt.Sprintf("%v: %s", task, violation))
		}
	}
	for _, other := range f.hosts {
		f.endDueRuns(other, now)
	}
	for _, s := range f.successes[task] {
		if s.forbidsStart(now) {
			f.violations = append(f.violations, fmt.Sprintf("%v started on %s after its end on %s", task, h.info.ID, s.host.info.ID))
			break
		}
	}
	for _, prerequisite := range f.prerequisites(task) {
		if !f.everSucceeded[prerequisite] {
			f.violations = append(f.violations, fmt.Sprintf("%v started before the end of %v", task, prerequisite))
		}
	}
	used := f.taskDemand(task)
	for id, other := range f.hosts {
		if other.runs[task] != nil {
			f.violations = append(f.violations, fmt.Sprintf("%v runs on %s and %s", task, id, h.info.ID))
		}
	}
	f.checkTeamLimit(task)
	for t := range h.runs {
		used = used.Add(f.taskDemand(t))
	}
	if !used.Fits(h.info.Capacity) {
		f.violations = append(f.violations, fmt.Sprintf("%s is over its capacity: demand %s, capacity %s", h.info.ID, used, h.info.Capacity))
	}
}

// stop stops a run and all earlier ones of the task, and prevents later starts of them.
func (f *Fleet) stop(_ context.Context, fence sched.FencingToken, command sched.StopCommand) (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	h, err := f.hostForCall(command.Server.ID, fence, now)
	if err != nil {
		return 0, err
	}
	h.tombstones[command.Task] = max(h.tombstones[command.Task], command.Run)
	if r := h.runs[command.Task]; r != nil && r.number <= command.Run {
		f.finishRun(h, command.Task, r.number, sched.OutcomeStopped)
		f.breakGang(r.gang, command.Task)
	}
	return h.clock(now), nil
}

// pollInterval is the interval at which a waiting poll checks for finished runs.
const pollInterval = 10 * time.Millisecond

// poll acknowledges finished runs and extends the lease at once, and returns the inventory when a run has finished or after
// the wait. It fails if the host crashes meanwhile.
func (f *Fleet) poll(ctx context.Context, fence sched.FencingToken, command sched.PollCommand) (sched.Inventory, error) {
	until := time.Now().Add(command.Wait)
	var bootedAt time.Time // boot of the host when the poll arrived; a crash closes its connections
	for {
		f.mu.Lock()
		now := time.Now()
		h, err := f.hostForCall(command.Server.ID, fence, now)
		if err == nil && !bootedAt.IsZero() && !h.bootedAt.Equal(bootedAt) {
			err = coordinator.ErrNoResponse
		}
		if err != nil {
			f.mu.Unlock()
			return sched.Inventory{}, err
		}
		if bootedAt.IsZero() {
			bootedAt = h.bootedAt
			f.acknowledge(h, command.Acknowledged, now)
			f.extendLease(h, command.Deadline)
		}
		if len(h.finished) > 0 || !now.Before(until) {
			listed := h.finished[:min(len(h.finished), f.listedEnds)]
			inv := sched.Inventory{
				Incarnation: h.info.Incarnation, Clock: h.clock(now), Finished: slices.Clone(listed),
				MoreFinished: len(listed) == f.listedEnds,
			}
			f.markListed(h, listed, now)
			for task, r := range h.runs {
				inv.Running = append(inv.Running, sched.ActiveRun{Task: task, Run: r.number, Percent: r.progressPercent(now)})
			}
			f.mu.Unlock()
			return inv, nil
		}
		f.mu.Unlock()
		select {
		case <-ctx.Done():
			return sched.Inventory{}, coordinator.ErrNoResponse
		case <-time.After(pollInterval):
		}
	}
}

// progressPercent returns the elapsed part of a run; a long-running task has 100 as soon as it is at work.
func (r *run) progressPercent(now time.Time) int {
	switch {
	case r.gang != nil && !r.gang.started():
		return 0
	case r.longRunning && r.duration-r.end.Sub(now) < startupTime:
		return 0
	case r.longRunning:
		return 100
	}
	return min(int(100*(r.duration-r.end.Sub(now))/r.duration), 100)
}
