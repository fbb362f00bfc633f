package runhost

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Add adds a host that was booted an hour ago.
func (f *Fleet) Add(v sched.Server) { f.add(v, time.Now().Add(-time.Hour)) }

// Boot adds a host that has just started.
func (f *Fleet) Boot(v sched.Server) { f.add(v, time.Now()) }

func (f *Fleet) add(v sched.Server, bootedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[v.ID] = &host{
		info: v, bootedAt: bootedAt, clockRate: 1, runs: map[sched.TaskID]*run{}, tombstones: map[sched.TaskID]sched.RunNumber{},
	}
}

// SetClockRate sets how many seconds the clock of a host counts in a second. It is called before the host is used.
func (f *Fleet) SetClockRate(id sched.ServerID, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[id].clockRate = rate
}

// Crash makes a host lose its runs, tombstones, lease and fencing token, and returns the host with its new incarnation.
func (f *Fleet) Crash(id sched.ServerID) sched.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[id]
	f.loseState(h)
	h.fence, h.leaseEnd, h.bootedAt = 0, time.Time{}, time.Now()
	h.info.Incarnation = max(h.info.Incarnation+1, time.Now().UnixMilli())
	return h.info
}

// Remove ends a host for good. Calls to it get no reply from then on.
func (f *Fleet) Remove(id sched.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseState(f.hosts[id])
	delete(f.hosts, id)
}

// loseState drops the runs of a host and the ends that it has not reported.
func (f *Fleet) loseState(h *host) {
	now := time.Now()
	f.endDueGangs(now)
	f.endDueRuns(h, now)
	f.forgetUnacknowledged(h)
	lost := h.runs
	h.runs, h.tombstones, h.finished, h.lastFinished = map[sched.TaskID]*run{}, map[sched.TaskID]sched.RunNumber{}, nil, 0
	for task, r := range lost {
		f.lastRunEnds[task] = now
		f.breakGang(r.gang, task)
	}
}

// RunningTasks returns the number of a job's tasks that are running.
func (f *Fleet) RunningTasks(job ident.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endAllDueRuns(time.Now())
	n := 0
	for _, h := range f.hosts {
		for t := range h.runs {
			if t.Job == job {
				n++
			}
		}
	}
	return n
}

// RunningOn returns the number of tasks that are running on a server.
func (f *Fleet) RunningOn(id sched.ServerID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endAllDueRuns(time.Now())
	return len(f.hosts[id].runs)
}

// LastRunEnd returns when the last run of a task ended, or the zero time if it was never started, and whether it is running.
func (f *Fleet) LastRunEnd(task sched.TaskID) (end time.Time, running bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endAllDueRuns(time.Now())
	for _, h := range f.hosts {
		running = running || h.runs[task] != nil
	}
	return f.lastRunEnds[task], running
}

func (f *Fleet) endAllDueRuns(now time.Time) {
	f.endDueGangs(now)
	for _, h := range f.hosts {
		f.endDueRuns(h, now)
	}
}
