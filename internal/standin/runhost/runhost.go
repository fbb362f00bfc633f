// Package runhost is a stand-in of backend servers that run tasks under fences and leases. It checks what servers can see:
// a task in two places, a start after its end, and more than the capacity.
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

// MaxLease is the longest lease that a host grants.
const MaxLease = 10 * time.Second

// Fleet is a set of backend servers.
type Fleet struct {
	mu             sync.Mutex
	hosts          map[sched.ServerID]*host
	taskDuration   func(sched.TaskID) time.Duration
	taskDemand     func(sched.TaskID) resource.Vector
	firstSuccesses map[sched.TaskID]*success
	everSucceeded  map[sched.TaskID]bool // tasks of which a run has ended well at any time
	teamLimit      func(ident.JobID) (ident.TeamID, resource.MilliCPU)
	prerequisites  func(sched.TaskID) []sched.TaskID
	startCounts    map[sched.TaskID]int
	violations     []string
	changed        chan struct{}
}

type host struct {
	info         sched.Server
	bootedAt     time.Time // of this life, from which its clock counts
	fence        sched.FencingToken
	leaseEnd     time.Time
	runs         map[sched.TaskID]*run
	tombstones   map[sched.TaskID]sched.RunNumber
	finished     []sched.FinishedRun
	lastFinished uint64
	unresponsive bool
}

type run struct {
	number sched.RunNumber
	end    time.Time
}

// ending is a task's first good end.
type success struct {
	host           *host
	finishedNumber uint64
	// acknowledged is set once the end was taken note of while the lease of its host had not lapsed since.
	acknowledged bool
}

// binds reports whether a start after the end breaks the rule. An end that nobody took note of doesn't, once the lease of
// its host has lapsed.
func (e *success) forbidsStart(now time.Time) bool {
	return e.acknowledged || !now.After(e.host.leaseEnd)
}

// New returns a fleet without hosts. The functions give the duration and the demand of a task.
func New(taskDuration func(sched.TaskID) time.Duration, taskDemand func(sched.TaskID) resource.Vector) *Fleet {
	return &Fleet{
		hosts: map[sched.ServerID]*host{}, taskDuration: taskDuration, taskDemand: taskDemand, firstSuccesses: map[sched.TaskID]*success{}, everSucceeded: map[sched.TaskID]bool{},
		startCounts: map[sched.TaskID]int{}, teamLimit: func(ident.JobID) (ident.TeamID, resource.MilliCPU) { return "", 0 }, prerequisites: func(sched.TaskID) []sched.TaskID { return nil }, changed: make(chan struct{}),
	}
}

// Add adds a host.
func (f *Fleet) Add(v sched.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[v.ID] = &host{info: v, bootedAt: time.Now().Add(-time.Hour), runs: map[sched.TaskID]*run{}, tombstones: map[sched.TaskID]sched.RunNumber{}}
}

// SetPrerequisites tells which tasks must have ended well before a task may start.
func (f *Fleet) SetPrerequisites(prerequisites func(sched.TaskID) []sched.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prerequisites = prerequisites
}

// SetTeamLimit tells the team of a job and how much processor time the team may have at once; 0 means no limit.
func (f *Fleet) SetTeamLimit(teamLimit func(ident.JobID) (ident.TeamID, resource.MilliCPU)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.teamLimit = teamLimit
}

// checkLimit notes a start that brings a team above its limit.
func (f *Fleet) checkTeamLimit(task sched.TaskID) {
	team, limit := f.teamLimit(task.Job)
	if limit == 0 {
		return
	}
	used := f.taskDemand(task).CPU
	for _, h := range f.hosts {
		for t := range h.runs {
			if owner, _ := f.teamLimit(t.Job); owner == team {
				used += f.taskDemand(t).CPU
			}
		}
	}
	if used > limit {
		f.violations = append(f.violations, fmt.Sprintf("team %s has %d of %d running with %v", team, used, limit, task))
	}
}

// Crash makes a host lose all that it runs and holds and start a new life, which is returned.
func (f *Fleet) Crash(id sched.ServerID) sched.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[id]
	f.endDueRuns(h, time.Now())
	for task, e := range f.firstSuccesses {
		if e.host == h && !e.acknowledged {
			delete(f.firstSuccesses, task) // nobody will ever hear of it
		}
	}
	h.runs, h.tombstones, h.finished, h.lastFinished = map[sched.TaskID]*run{}, map[sched.TaskID]sched.RunNumber{}, nil, 0
	h.fence, h.leaseEnd, h.bootedAt = 0, time.Time{}, time.Now()
	h.info.Incarnation = max(h.info.Incarnation+1, time.Now().UnixMilli())
	return h.info
}

// HasSucceeded reports whether a run of a task has ever ended well, also on a host whose life is over.
func (f *Fleet) HasSucceeded(t sched.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everSucceeded[t]
}

// WasStarted reports whether a task of a job was ever started.
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

// RunningTasks returns the tasks of a job that run.
func (f *Fleet) RunningTasks(job ident.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, now := 0, time.Now()
	for _, h := range f.hosts {
		f.endDueRuns(h, now)
		for t := range h.runs {
			if t.Job == job {
				n++
			}
		}
	}
	return n
}

// SetUnresponsive makes a host answer nothing, or answer again.
func (f *Fleet) SetUnresponsive(id sched.ServerID, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[id].unresponsive = unresponsive
}

// Violations returns what went against the rules.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// StartCounts returns how often tasks were started and how many tasks were.
func (f *Fleet) StartCounts() (starts, tasks int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.startCounts {
		starts += n
	}
	return starts, len(f.startCounts)
}

// Client returns the calls to the fleet.
func (f *Fleet) Client() coordinator.ServerClient {
	return coordinator.ServerClient{
		Start: f.start, Stop: f.stop, Poll: f.poll, CloseConnections: func(string) {},
		Pace: func(context.Context, sched.FencingToken, sched.ThrottleCommand) (time.Duration, error) {
			return 0, nil
		},
		Advise: func(context.Context, time.Duration, sched.AdviceRequest) (map[sched.ServerID]sched.Ticket, error) {
			return nil, coordinator.ErrNotSent
		},
	}
}

func (h *host) clock(now time.Time) time.Duration { return now.Sub(h.bootedAt) }

// advance ends what is over on a host.
func (f *Fleet) endDueRuns(h *host, now time.Time) {
	for task, r := range h.runs {
		outcome := sched.OutcomeDone
		switch {
		case now.After(h.leaseEnd) && r.end.After(h.leaseEnd):
			outcome = sched.OutcomeLeaseExpired
		case now.Before(r.end):
			continue
		default:
			f.everSucceeded[task] = true
			if f.firstSuccesses[task] == nil {
				f.firstSuccesses[task] = &success{host: h, finishedNumber: h.lastFinished + 1}
			}
		}
		f.finishRun(h, task, r.number, outcome)
	}
}

func (f *Fleet) finishRun(h *host, task sched.TaskID, number sched.RunNumber, outcome sched.Outcome) {
	delete(h.runs, task)
	h.tombstones[task] = max(h.tombstones[task], number)
	h.lastFinished++
	h.finished = append(h.finished, sched.FinishedRun{Number: h.lastFinished, Task: task, Run: number, Outcome: outcome})
	close(f.changed)
	f.changed = make(chan struct{})
}

// enter finds a host for a call and checks the fence.
func (f *Fleet) hostForCall(id sched.ServerID, fence sched.FencingToken, now time.Time) (*host, error) {
	h := f.hosts[id]
	if h == nil || h.unresponsive {
		return nil, coordinator.ErrNoResponse
	}
	f.endDueRuns(h, now)
	if fence < h.fence {
		return nil, &coordinator.RefusedError{Reason: sched.RefusedFenced, Clock: h.clock(now)}
	}
	h.fence = fence
	return h, nil
}

func (f *Fleet) extendLease(h *host, deadline time.Duration) {
	end := h.bootedAt.Add(deadline)
	if latest := time.Now().Add(MaxLease); end.After(latest) {
		end = latest
	}
	if deadline > 0 && end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
}

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
	f.extendLease(h, command.Deadline)
	if r := h.runs[command.Task]; r != nil && r.number == command.Run {
		return h.clock(now), nil
	}
	if command.Run <= h.tombstones[command.Task] {
		return 0, &coordinator.RefusedError{Reason: sched.RefusedOldRun, Clock: h.clock(now)}
	}
	f.checkStart(h, command.Task, now)
	h.runs[command.Task] = &run{number: command.Run, end: now.Add(f.taskDuration(command.Task))}
	f.startCounts[command.Task]++
	return h.clock(now), nil
}

// check notes what a start breaks.
func (f *Fleet) checkStart(h *host, task sched.TaskID, now time.Time) {
	for _, o := range f.hosts {
		f.endDueRuns(o, now)
	}
	if e := f.firstSuccesses[task]; e != nil && e.forbidsStart(now) {
		f.violations = append(f.violations, fmt.Sprintf("%v started on %s after its end on %s", task, h.info.ID, e.host.info.ID))
	}
	for _, prerequisite := range f.prerequisites(task) {
		if !f.everSucceeded[prerequisite] {
			f.violations = append(f.violations, fmt.Sprintf("%v started before the end of %v", task, prerequisite))
		}
	}
	used := f.taskDemand(task)
	for id, o := range f.hosts {
		if o.runs[task] != nil {
			f.violations = append(f.violations, fmt.Sprintf("%v runs on %s and %s", task, id, h.info.ID))
		}
	}
	f.checkTeamLimit(task)
	for t := range h.runs {
		used = used.Add(f.taskDemand(t))
	}
	if !used.Fits(h.info.Capacity) {
		f.violations = append(f.violations, fmt.Sprintf("%s is over its capacity", h.info.ID))
	}
}

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
	}
	return h.clock(now), nil
}

// lookStep is the resolution at which a look that waits notices ends.
const pollInterval = 10 * time.Millisecond

func (f *Fleet) poll(ctx context.Context, fence sched.FencingToken, command sched.PollCommand) (sched.Inventory, error) {
	until := time.Now().Add(command.Wait)
	var bootedAt time.Time // of the host when the look arrived; its connections end with it
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
			inv := sched.Inventory{Incarnation: h.info.Incarnation, Clock: h.clock(now), Finished: slices.Clone(h.finished)}
			for task, r := range h.runs {
				inv.Running = append(inv.Running, sched.ActiveRun{Task: task, Run: r.number, Percent: f.progressPercent(task, r, now)})
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

// acknowledge takes note of ends. One whose host's lease has lapsed since stands no longer.
func (f *Fleet) acknowledge(h *host, upTo uint64, now time.Time) {
	for _, x := range h.finished {
		if e := f.firstSuccesses[x.Task]; e != nil && x.Number <= upTo && e.host == h && e.finishedNumber == x.Number && !now.After(h.leaseEnd) {
			e.acknowledged = true
		}
	}
	h.finished = slices.DeleteFunc(h.finished, func(x sched.FinishedRun) bool { return x.Number <= upTo })
}

func (f *Fleet) progressPercent(task sched.TaskID, r *run, now time.Time) int {
	total := f.taskDuration(task)
	return int(100 * (total - r.end.Sub(now)) / total)
}
