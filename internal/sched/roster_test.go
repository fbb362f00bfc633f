package sched

import (
	"testing"
	"time"
)

// The queue is full while servers become unresponsive or drain just before the leader is replaced. Guards against inherited
// tasks of a whole service that wait for the leases of a few unresponsive servers: on bensalem-quotes-grown scale-1 no job of
// the former leader was started for six seconds, so a third of the burst was too late to be of use.
func TestCordonedServers(t *testing.T) {
	const job = "j"
	two := Step{Count: 2, Demand: cores(16)}
	// recordRoster reports all roster changes as written and returns them.
	recordRoster := func(f *fixture) []RosterChange {
		c := f.s.TakeRosterChanges(100)
		f.s.RosterWritten(f.now, c)
		f.collectCommands()
		return c
	}
	// failPolls fails the polls of a server until it is cordoned.
	failPolls := func(f *fixture, id ServerID) {
		for range 10 {
			if poll, ok := f.polls[id]; ok {
				delete(f.polls, id)
				f.s.PollFailed(f.now, id, poll.Serial)
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
		"an unresponsive server is cordoned with the runs that may be in progress there": func(f *fixture) {
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			f.addJob(job, two)
			f.takeStarts()
			recordRoster(f)
			failPolls(f, "s1")
			n, cordoned := recordedRuns(recordRoster(f), "s1")
			f.want("cordoned", cordoned, true)
			f.want("runs", n, 1)
		},
		"a draining server is cordoned at once": func(f *fixture) {
			f.addServer("s1", 16)
			v := testServer("s1", 16)
			v.Draining = true
			f.s.Register(f.now, v)
			f.advanceTime(100 * time.Millisecond)
			_, cordoned := recordedRuns(recordRoster(f), "s1")
			f.want("cordoned", cordoned, true)
		},
		"after a takeover only the tasks of the cordoned server wait": func(f *fixture) {
			spec := f.addJob(job, two)
			f.addServer("s1", 16)
			f.takeStarts()
			failPolls(f, "s1")
			e := f.s.rosterChange(f.s.servers["s1"]).Entry
			next := takeOver(f, spec, e)
			next.addServer("s2", 16)
			starts := next.takeStarts()
			f.want("starts", len(starts), 1)
			f.want("index", starts[0].Task.Index, 1-e.Runs[0].Task.Index)
			next.endRun(starts[0], OutcomeDone)
			next.recordProgress()
			for range 60 {
				if poll, ok := next.polls["s1"]; ok {
					delete(next.polls, "s1")
					next.s.PollFailed(next.now, "s1", poll.Serial)
				}
				if _, ok := next.polls["s2"]; ok {
					next.answerPoll("s2", Inventory{})
				}
				next.advanceTime(100 * time.Millisecond)
			}
			f.want("starts after the lease", len(next.takeStarts()), 1)
		},
		"an unresponsive server that isn't cordoned makes all inherited tasks wait": func(f *fixture) {
			spec := f.addJob(job, two)
			f.addServer("s1", 16)
			next := takeOver(f, spec, f.s.rosterChange(f.s.servers["s1"]).Entry)
			next.addServer("s2", 16)
			f.want("starts", len(next.takeStarts()), 0)
		},
		"an uncordoned server gets starts once that is recorded": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("k", Step{Count: 1, Demand: cores(1)})
			start := f.takeStarts()[0]
			failPolls(f, "s1")
			f.s.TakeRosterChanges(100) // the reply is lost, but the store may have the change
			f.advanceTime(pollRetry)
			f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}})
			f.advanceTime(100 * time.Millisecond)
			f.addJob(job, Step{Count: 1, Demand: cores(1)})
			f.want("starts before the record", len(f.takeStarts()), 0)
			_, cordoned := recordedRuns(recordRoster(f), "s1")
			f.want("cordoned", cordoned, false)
			f.want("starts", len(f.takeStarts()), 1)
		},
		"a server that was unregistered is removed from the roster": func(f *fixture) {
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
