package sched

import (
	"testing"
	"time"
)

// drain registers a server as draining and returns its roster entry.
func (f *fixture) drain(id ServerID) RosterEntry {
	f.Helper()
	v := testServer(id, 16)
	v.Draining, v.Remaining = true, time.Minute
	f.s.Register(f.now, v)
	f.advanceTime(100 * time.Millisecond)
	return f.recordRoster()[id]
}

// successor returns a fixture of the next leader, which knows the recorded progress of a job and roster entries.
func (f *fixture) successor(spec *Job, p Progress, entries ...RosterEntry) *fixture {
	next := newFixture(f.T, func(o *Options) { o.RunBase = 1000 })
	next.now = f.now
	next.s.started = f.now
	next.s.AddJob(next.now, spec, p, true)
	for _, e := range entries {
		next.s.RestoreServer(next.now, e)
	}
	next.collectCommands()
	return next
}

// Guards against a task that is started after its end as done: the leader was lost before it had recorded the end on a draining server,
// and the server's roster entry named only the runs in progress there.
func TestSuccessorWaitsForUnrecordedEndsOfACordonedServer(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.recordRoster()
	spec := f.addJob("j", Step{Count: 1, Demand: cores(1), Estimate: 100 * time.Millisecond})
	start := f.takeStarts()[0]
	f.advanceTime(100 * time.Millisecond)
	f.endRun(start, OutcomeDone)
	entry := f.drain("s1")
	f.want("cordoned", entry.Cordoned, true)

	next := f.successor(spec, Progress{}, entry)
	next.addServer("s2", 16)
	f.want("starts before the server lists its ends", len(next.takeStarts()), 0)
	next.answerPoll("s1", Inventory{Finished: []FinishedRun{{Number: 1, Task: start.Task, Run: start.Run, Outcome: OutcomeDone}}})
	next.recordProgress()
	f.want("starts", len(next.takeStarts()), 0)
	f.want("state", next.state("j"), StateCompleted)
}
