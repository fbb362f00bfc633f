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

// Guards against a task that is started after its end as done: a draining server with more ended runs than it lists was cordoned before it
// had listed all of a former leader, so that the next leader didn't wait for the others.
func TestServerWithHiddenFormerEndsIsNotCordoned(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
	spec := &Job{ID: "j", Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 2, Demand: cores(1)}}, Accepted: f.now}
	f.s.AddJob(f.now, spec, Progress{}, true)
	v := testServer("s1", 16)
	v.Draining, v.Remaining = true, time.Minute
	f.s.Register(f.now, v)
	f.collectCommands()
	ends := []FinishedRun{
		{Number: 1, Task: TaskID{Job: "j"}, Run: 1, Outcome: OutcomeDone},
		{Number: 2, Task: TaskID{Job: "j", Index: 1}, Run: 1, Outcome: OutcomeDone},
	}
	f.answerPoll("s1", Inventory{MoreFinished: true, Finished: ends[:1]})
	f.advanceTime(100 * time.Millisecond)
	entry := f.recordRoster()["s1"]
	progress := f.recordProgress()[0].Progress
	f.want("cordoned before all ends are listed", entry.Cordoned, false)

	next := f.successor(spec, progress, entry)
	next.addServer("s2", 16)
	f.want("starts before the server lists its ends", len(next.takeStarts()), 0)

	f.answerPoll("s1", Inventory{Finished: ends[1:]})
	f.advanceTime(100 * time.Millisecond)
	f.want("cordoned", f.recordRoster()["s1"].Cordoned, true)
}

// Guards against a task that runs twice after a takeover: the job of a run on a cordoned server was found after the server's roster entry was
// written, and the run wasn't added to it.
func TestRunFoundOnACordonedServerIsRecorded(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
	v := testServer("s1", 16)
	v.Draining, v.Remaining = true, time.Minute
	f.s.Register(f.now, v)
	f.collectCommands()
	f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: TaskID{Job: "j"}, Run: 1}}})
	f.advanceTime(100 * time.Millisecond)
	entry := f.recordRoster()["s1"]
	f.want("cordoned", entry.Cordoned, true)
	spec := &Job{ID: "j", Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now}
	f.s.AddJob(f.now, spec, Progress{}, true)
	if e, written := f.recordRoster()["s1"]; written {
		entry = e
	}

	next := f.successor(spec, Progress{}, entry)
	next.addServer("s2", 16)
	f.want("starts while the run may be in progress", len(next.takeStarts()), 0)
}
