package sched

import (
	"testing"
	"time"
)

// The load is a full queue while servers fall silent or drain just before the owner is replaced. Guards against inherited
// tasks of a whole service that wait for the lease of a few silent servers: on bensalem-quotes-grown scale-1 no job of the
// former owner was started for six seconds, a third of the burst was of no use.
func TestCordonedServers(t *testing.T) {
	const job = "j"
	two := Step{Count: 2, Demand: cores(16)}
	// recordRoster writes the roster.
	recordRoster := func(f *fixture) []RosterChange {
		c := f.s.TakeRosterChanges(100)
		f.s.RosterWritten(f.now, c)
		f.collectCommands()
		return c
	}
	// failPolls lets looks at a server fail until it is closed.
	failPolls := func(f *fixture, id ServerID) {
		for range 10 {
			if o, ok := f.polls[id]; ok {
				delete(f.polls, id)
				f.s.PollFailed(f.now, id, o.Serial)
			}
			f.advanceTime(100 * time.Millisecond)
		}
	}
	recordedRuns := func(changes []RosterChange, id ServerID) (runs int, cordoned bool) {
		for _, c := range changes {
			if c.Entry.Server.ID == id {
				return len(c.Entry.Runs), c.Entry.Cordoned
			}
		}
		return 0, false
	}
	takeOver := func(f *fixture, spec *Job, entries ...RosterEntry) *fixture {
		next := newFixture(f.T, func(o *Options) { o.RunBase, o.LeaderOverlap = 1000, 0 })
		next.now = f.now
		next.s.started = f.now
		next.s.AddJob(next.now, spec, Progress{}, true)
		for _, e := range entries {
			next.s.RestoreServer(next.now, e)
		}
		next.collectCommands()
		return next
	}
	for name, check := range map[string]func(*fixture){
		"a silent server is closed with what it may run": func(f *fixture) {
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			f.addJob(job, two)
			f.takeStarts()
			recordRoster(f)
			failPolls(f, "s1")
			n, cordoned := recordedRuns(recordRoster(f), "s1")
			f.want("closed", cordoned, true)
			f.want("runs", n, 1)
		},
		"a draining server is closed at once": func(f *fixture) {
			f.addServer("s1", 16)
			v := testServer("s1", 16)
			v.Draining = true
			f.s.Register(f.now, v)
			f.advanceTime(100 * time.Millisecond)
			_, cordoned := recordedRuns(recordRoster(f), "s1")
			f.want("closed", cordoned, true)
		},
		"the next owner keeps only the closed server's own tasks waiting": func(f *fixture) {
			spec := f.addJob(job, two)
			f.addServer("s1", 16)
			f.takeStarts()
			failPolls(f, "s1")
			e := f.s.servers["s1"].rosterEntry().Entry
			next := takeOver(f, spec, e)
			next.addServer("s2", 16)
			o := next.takeStarts()
			f.want("starts", len(o), 1)
			f.want("index", o[0].Task.Index, 1-e.Runs[0].Task.Index)
			next.endRun(o[0], OutcomeDone)
			next.recordProgress()
			for range 60 {
				if l, ok := next.polls["s1"]; ok {
					delete(next.polls, "s1")
					next.s.PollFailed(next.now, "s1", l.Serial)
				}
				if _, ok := next.polls["s2"]; ok {
					next.answerPoll("s2", Inventory{})
				}
				next.advanceTime(100 * time.Millisecond)
			}
			f.want("starts after the lease", len(next.takeStarts()), 1)
		},
		"an open silent server keeps all waiting": func(f *fixture) {
			spec := f.addJob(job, two)
			f.addServer("s1", 16)
			next := takeOver(f, spec, f.s.servers["s1"].rosterEntry().Entry)
			next.addServer("s2", 16)
			f.want("starts", len(next.takeStarts()), 0)
		},
		"a server that is open again gets starts once that is recorded": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("k", Step{Count: 1, Demand: cores(1)})
			o := f.takeStarts()[0]
			failPolls(f, "s1")
			f.s.TakeRosterChanges(100) // without an answer, the store may have it
			f.advanceTime(pollRetry)
			f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: o.Task, Run: o.Run, Percent: 10}}})
			f.advanceTime(100 * time.Millisecond)
			f.addJob(job, Step{Count: 1, Demand: cores(1)})
			f.want("starts before the record", len(f.takeStarts()), 0)
			_, cordoned := recordedRuns(recordRoster(f), "s1")
			f.want("closed", cordoned, false)
			f.want("starts", len(f.takeStarts()), 1)
		},
		"a server that left is dropped from the roster": func(f *fixture) {
			f.addServer("s1", 16)
			recordRoster(f)
			f.s.Unregister(f.now, "s1")
			f.advanceTime(3 * time.Second)
			c := recordRoster(f)
			f.want("changes", len(c), 1)
			f.want("removed", c[0].Removed, true)
			f.want("changes left", len(f.s.TakeRosterChanges(100)), 0)
		},
	} {
		t.Run(name, func(t *testing.T) { check(newFixture(t, nil)) })
	}
}
