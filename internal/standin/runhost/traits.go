package runhost

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// Traits are the properties of a task that decide where it may start and how its runs end.
type Traits struct {
	Service     sched.ServiceID // of the hosts that may run the task; empty means any
	NeedsTicket bool
	LongRunning bool // the task runs until it is stopped or fails
	GangSize    int  // number of tasks of the gang; 0 means that the task runs by itself
}

// SetTraits sets the function that returns the traits of a task.
func (f *Fleet) SetTraits(traits func(sched.TaskID) Traits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traits = traits
}

// SetStartCheck sets a function that returns the violation of a start on a host at a time, or "".
func (f *Fleet) SetStartCheck(check func(sched.Server, time.Time) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startCheck = check
}

const (
	// stableLifetime is the time after which a run of a long-running task fails, unless the run is one of the short ones.
	stableLifetime = 24 * time.Hour
	// Every shortLivedEvery-th run of a long-running task fails after shortLifetime.
	shortLivedEvery = 3
	shortLifetime   = 2 * time.Second
	// startupTime is the time after which a long-running task is at work.
	startupTime = 200 * time.Millisecond
)

// addRun adds a run to a host.
func (f *Fleet) addRun(h *host, task sched.TaskID, number sched.RunNumber, now time.Time) {
	traits := f.traits(task)
	r := &run{number: number, duration: f.taskDuration(task), outcome: sched.OutcomeDone}
	if traits.LongRunning {
		r.duration, r.outcome, r.longRunning = stableLifetime, sched.OutcomeFailed, true
		if (uint64(number)+uint64(task.Index))%shortLivedEvery == 0 {
			r.duration = shortLifetime
		}
	}
	r.end = now.Add(r.duration)
	h.runs[task] = r
	if traits.GangSize > 0 {
		f.joinGang(h, task, r, traits.GangSize, now)
	}
}
