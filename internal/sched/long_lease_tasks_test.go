package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// restartServer makes a server restart under its id, so that it may have a long lease.
func (f *fixture) restartServer(id ServerID) {
	v := testServer(id, 16)
	v.Incarnation = 2
	f.s.Register(f.now, v)
	f.collectCommands()
	f.answerPoll(id, Inventory{Incarnation: 2})
}

func newFixtureWithLongLeases(t *testing.T, base RunNumber) *fixture {
	return newFixture(t, func(o *Options) { o.RunBase, o.MaxRunLease = base, 10*time.Second })
}

// startsAfterTakeover returns when the tasks of two long-running jobs, "a" and "b", start on s2 under a new leader that finds s1 of a
// roster entry silent.
func startsAfterTakeover(t *testing.T, e RosterEntry) map[ident.JobID]time.Duration {
	next := newFixtureWithLongLeases(t, 1000)
	for _, id := range []ident.JobID{"a", "b"} {
		next.s.AddJob(next.now, &Job{
			ID: id, Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1), LongRunning: true}}, Accepted: next.now,
		}, Progress{}, true)
	}
	next.s.RestoreServer(next.now, e)
	next.collectCommands()
	next.addServer("s2", 16)
	from, after := next.now, map[ident.JobID]time.Duration{}
	for len(after) < 2 && next.now.Sub(from) < 30*time.Second {
		if poll, ok := next.polls["s1"]; ok {
			delete(next.polls, "s1")
			next.s.PollFailed(next.now, "s1", poll.Serial)
		}
		if _, ok := next.polls["s2"]; ok {
			next.answerPoll("s2", Inventory{Running: next.running("s2", TaskID{}, 0)})
		}
		next.advanceTime(100 * time.Millisecond)
		for _, cmd := range next.takeStarts() {
			after[cmd.Task.Job] = next.now.Sub(from)
		}
	}
	return after
}

// Guards against long-running tasks that wait 12 s after a takeover for the long lease of a restarted, silent server although they
// never ran there (TestServerLossSeeds, seed 1851): one such task there held all of the service back.
func TestLongLeaseHoldsBackOnlyTheTasksThatItIsRecordedFor(t *testing.T) {
	const usual, long = 7 * time.Second, 12 * time.Second // 2 s of overlap and a lease of 4 or of 10 s
	lasting := Step{Count: 1, Demand: cores(1), LongRunning: true}
	task := func(id ident.JobID) TaskID { return TaskID{Job: id} }
	for name, c := range map[string]struct {
		entry func(*fixture) RosterEntry
		waits map[ident.JobID]bool // for the long lease
	}{
		"the task that runs there waits": {func(f *fixture) RosterEntry {
			f.restartServer("s1")
			f.addJob("a", lasting)
			e := f.recordRoster()["s1"]
			f.want("recorded before the start", e.LongRunningTasks, []TaskID{task("a")})
			f.want("starts", len(f.takeStarts()), 1)
			return e
		}, map[ident.JobID]bool{"a": true}},
		"a task that ran there and runs elsewhere now doesn't": {func(f *fixture) RosterEntry {
			f.restartServer("s1")
			f.addJob("a", lasting)
			f.recordRoster()
			start := f.takeStarts()[0]
			f.addServer("s2", 16)
			f.advanceTime(100 * time.Millisecond)
			draining := testServer("s1", 16)
			draining.Incarnation, draining.Draining = 2, true
			f.s.Register(f.now, draining)
			f.collectCommands()
			f.answerPoll("s1", Inventory{Incarnation: 2, Finished: []FinishedRun{{Number: 1, Task: start.Task, Run: start.Run, Outcome: OutcomeStopped}}})
			f.want("server of the next run", f.takeStarts()[0].Server.ID, "s2")
			f.advanceTime(100 * time.Millisecond)
			draining.Draining = false
			f.s.Register(f.now, draining)
			f.advanceTime(100 * time.Millisecond)
			return f.recordRoster()["s1"]
		}, nil},
		"a task that a start was unanswered for waits": {func(f *fixture) RosterEntry {
			f.addJob("a", lasting)
			back := testServer("s1", 16)
			back.Incarnation = 2
			f.s.Register(f.now, back)
			return f.recordRoster()["s1"]
		}, map[ident.JobID]bool{"a": true}},
		"all tasks wait if an older daemon named none": {func(*fixture) RosterEntry {
			return RosterEntry{Server: testServer("s1", 16), LongLease: true, LongRunning: true}
		}, map[ident.JobID]bool{"a": true, "b": true}},
		"all tasks wait if a leader saw a restart and no inventory": {func(f *fixture) RosterEntry {
			second := newFixtureWithLongLeases(f.T, 1000)
			second.s.RestoreServer(second.now, f.recordRoster()["s1"])
			back := testServer("s1", 16)
			back.Incarnation = 2
			second.s.Register(second.now, back)
			return second.recordRoster()["s1"]
		}, map[ident.JobID]bool{"a": true, "b": true}},
		"the next leader keeps the name in its own record": {func(f *fixture) RosterEntry {
			second := newFixtureWithLongLeases(f.T, 1000)
			second.s.RestoreServer(second.now, RosterEntry{
				Server: testServer("s1", 16), LongLease: true, LongRunning: true, LongRunningTasks: []TaskID{task("b")},
			})
			second.advanceTime(time.Second)
			second.s.touchRoster(second.s.servers["s1"])
			return second.recordRoster()["s1"]
		}, map[ident.JobID]bool{"b": true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithLongLeases(t, 0)
			f.addServer("s1", 16)
			for id, after := range startsAfterTakeover(t, c.entry(f)) {
				if waits := after >= long; waits != c.waits[id] || !waits && after > usual {
					t.Errorf("%s started after %s, waits for the long lease: %t", id, after, c.waits[id])
				}
			}
		})
	}
}

// Guards against long-running tasks that start on a server with a long lease while the roster doesn't name them, and against a write
// for each task of a step.
func TestLongRunningTasksAreNamedBeforeTheyStart(t *testing.T) {
	f := newFixtureWithLongLeases(t, 0)
	f.addServer("s1", 16)
	f.restartServer("s1")
	f.recordRoster()
	f.addJob("a", Step{Count: 3, Demand: cores(1), LongRunning: true})
	inFlight := f.s.TakeRosterChanges(10)
	f.want("tasks in the first write", len(inFlight[0].Entry.LongRunningTasks), 3)
	f.addJob("b", Step{Count: 1, Demand: cores(1), LongRunning: true})
	f.want("starts before the write", len(f.starts), 0)
	f.s.RosterWritten(f.now, inFlight)
	f.collectCommands()
	f.want("started after the first write", jobsOf(f.takeStarts()), []ident.JobID{"a", "a", "a"})

	f.recordRoster()
	b := f.takeStarts()
	f.want("started after the second write", jobsOf(b), []ident.JobID{"b"})
	// Once b has been cancelled, a write without it may be in flight.
	f.s.Cancel(f.now, "b")
	f.collectCommands()
	f.endNumbers["s1"]++
	f.answerPoll("s1", Inventory{Incarnation: 2, Running: f.running("s1", b[0].Task, b[0].Run), Finished: []FinishedRun{
		{Number: 1, Task: b[0].Task, Run: b[0].Run, Outcome: OutcomeStopped},
	}})
	f.advanceTime(100 * time.Millisecond)
	f.want("admitted again without a write", f.s.servers["s1"].admitsLongRunning(b[0].Task), false)
	f.want("tasks in the last write", len(f.recordRoster()["s1"].LongRunningTasks), 3)
}

func jobsOf(starts []StartCommand) []ident.JobID {
	var out []ident.JobID
	for _, cmd := range starts {
		out = append(out, cmd.Task.Job)
	}
	slices.Sort(out)
	return out
}

// Guards against an explanation that gives no reason for a long-running task that waits for a long lease.
func TestTaskUnderFormerLongLeaseIsExplained(t *testing.T) {
	f := newFixtureWithLongLeases(t, 1000)
	f.s.AddJob(f.now, &Job{
		ID: "a", Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 2, Demand: cores(1), LongRunning: true}}, Accepted: f.now,
	}, Progress{}, true)
	f.s.RestoreServer(f.now, RosterEntry{
		Server: testServer("s1", 16), LongLease: true, LongRunning: true, LongRunningTasks: []TaskID{{Job: "a", Index: 1}},
	})
	f.addServer("s2", 16)
	f.advanceTime(7 * time.Second)
	e, _ := f.s.Explain("a")
	f.want("waiting", e.Steps[0].Waiting[WaitUnknownInventory], 1)
	f.want("held back by", e.Steps[0].HeldBackBy, []ServerID{"s1"})
}

// Guards against a long-running task that doesn't start before a long lease has ended: of a group whose members need two servers, the
// roster named only those before the waiting member for the second one.
func TestWaitingTaskIsNamedForTheServerThatHasRoomForIt(t *testing.T) {
	step := Step{Count: 2, Demand: cores(1), LongRunning: true, MaxPerServer: 1}
	gang := step
	gang.Gang = true
	for name, c := range map[string]struct {
		step   Step
		silent bool // one task may be in progress on a silent server
		want   int
		within time.Duration
	}{
		"members of a gang":                 {gang, false, 2, 2 * time.Second},
		"task after one that may not start": {step, true, 1, 7 * time.Second}, // 2 s of overlap and a lease of 4 s of the silent server
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithLongLeases(t, 1000)
			f.s.AddJob(f.now, &Job{ID: "a", Team: "blue", Queue: testQueue(), Steps: []Step{c.step}, Accepted: f.now}, Progress{}, true)
			servers := []ServerID{"s1", "s2"}
			if c.silent {
				servers = servers[1:]
				f.s.RestoreServer(f.now, RosterEntry{
					Server: testServer("s1", 16), LongLease: true, LongRunning: true, LongRunningTasks: []TaskID{{Job: "a"}},
				})
			}
			for _, id := range servers {
				f.addServer(id, 16)
				f.restartServer(id)
			}
			for from := f.now; len(f.starts) < c.want; f.advanceTime(100 * time.Millisecond) {
				if f.now.Sub(from) > c.within {
					t.Fatalf("%d tasks started, want %d", len(f.starts), c.want)
				}
				f.recordRoster()
				for _, id := range servers {
					if _, ok := f.polls[id]; ok {
						f.answerPoll(id, Inventory{Incarnation: 2, Running: f.running(id, TaskID{}, 0)})
					}
				}
			}
		})
	}
}
