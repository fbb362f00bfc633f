package sched

import (
	"testing"
	"time"
)

// A server restarted under its id, so that it may have a long lease, and has ended when the next leader takes over. Guards against
// long-running tasks that then wait for the end of that lease, 10 s or more, with room on other servers: the soak's profile
// server-loss, seed 23, had two of them without a run for 19.5 s.
func TestInheritedLongRunningTasksAndServersWithLongLease(t *testing.T) {
	lasting, finite := Step{Count: 1, Demand: cores(1), LongRunning: true}, Step{Count: 1, Demand: cores(1)}
	restart := func(f *fixture, id ServerID) {
		v := testServer(id, 16)
		v.Incarnation = 2
		f.s.Register(f.now, v)
		f.collectCommands()
		f.answerPoll(id, Inventory{Incarnation: 2})
	}
	record := func(f *fixture) map[ServerID]RosterEntry {
		entries := map[ServerID]RosterEntry{}
		changes := f.s.TakeRosterChanges(100)
		for _, c := range changes {
			entries[c.Entry.Server.ID] = c.Entry
		}
		f.s.RosterWritten(f.now, changes)
		f.collectCommands()
		return entries
	}
	// takeOver returns a leader that inherits a job and the record of s1, which is silent, and has s2 with room.
	takeOver := func(f *fixture, e RosterEntry, step Step) *fixture {
		next := newFixture(f.T, func(o *Options) { o.RunBase, o.MaxRunLease = 1000, 10*time.Second })
		next.s.AddJob(next.now, &Job{ID: "j", Team: "blue", Queue: testQueue(), Steps: []Step{step}, Accepted: next.now}, Progress{}, true)
		next.s.RestoreServer(next.now, e)
		next.collectCommands()
		next.addServer("s2", 16)
		return next
	}
	startedAfter := func(f *fixture) time.Duration {
		from := f.now
		for len(f.starts) == 0 && f.now.Sub(from) < 30*time.Second {
			if poll, ok := f.polls["s1"]; ok {
				delete(f.polls, "s1")
				f.s.PollFailed(f.now, "s1", poll.Serial)
			}
			if _, ok := f.polls["s2"]; ok {
				f.answerPoll("s2", Inventory{Running: f.running("s2", TaskID{}, 0)})
			}
			f.advanceTime(100 * time.Millisecond)
		}
		return f.now.Sub(from)
	}
	longLease := func(o *Options) { o.MaxRunLease = 10 * time.Second }
	for name, check := range map[string]func(*fixture){
		"a long-running task waits for a usual lease": func(f *fixture) {
			f.addServer("s1", 16)
			record(f)
			restart(f, "s1")
			if d := startedAfter(takeOver(f, record(f)["s1"], lasting)); d < 6*time.Second || d > 7*time.Second {
				t.Errorf("started after %s, want 6 s to 7 s: 2 s of overlap and a lease of 4 s", d)
			}
		},
		"other tasks wait for the long lease": func(f *fixture) {
			f.addServer("s1", 16)
			record(f)
			restart(f, "s1")
			if d := startedAfter(takeOver(f, record(f)["s1"], finite)); d < 12*time.Second {
				t.Errorf("started after %s, want more than 12 s: 2 s of overlap and a lease of 10 s", d)
			}
		},
		"a long-running task starts on such a server only once the roster says so, and is then waited for": func(f *fixture) {
			f.addServer("s1", 16)
			record(f)
			restart(f, "s1")
			record(f)
			f.addJob("j", lasting)
			f.want("starts before the record", len(f.starts), 0)
			e := record(f)["s1"]
			f.want("long-running tasks recorded", e.LongRunning, true)
			f.want("starts after the record", len(f.takeStarts()), 1)
			if d := startedAfter(takeOver(f, e, lasting)); d < 12*time.Second {
				t.Errorf("started after %s, want more than 12 s: 2 s of overlap and a lease of 10 s", d)
			}
		},
		"another server is preferred": func(f *fixture) {
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			restart(f, "s1")
			f.addJob("j", lasting)
			f.want("server", f.starts[0].Server.ID, "s2")
		},
		"a start whose answer came from the new incarnation is waited for": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", lasting)
			f.want("starts", len(f.starts), 1)
			v := testServer("s1", 16)
			v.Incarnation = 2
			f.s.Register(f.now, v)
			f.want("long-running tasks recorded", record(f)["s1"].LongRunning, true)
		},
	} {
		t.Run(name, func(t *testing.T) { check(newFixture(t, longLease)) })
	}
}
