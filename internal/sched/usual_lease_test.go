package sched

import (
	"testing"
	"time"
)

// recordRoster reports all changes of the roster as written and returns the entries.
func (f *fixture) recordRoster() map[ServerID]RosterEntry {
	entries := map[ServerID]RosterEntry{}
	changes := f.s.TakeRosterChanges(100)
	for _, c := range changes {
		entries[c.Entry.Server.ID] = c.Entry
	}
	f.s.RosterWritten(f.now, changes)
	f.collectCommands()
	return entries
}

// takeOverYoung returns a leader that takes over with the roster entry of s1, whose given incarnation lists a run of an inherited
// task and falls silent then, and how long the start of the task on s2 takes from then on.
func takeOverYoung(t *testing.T, e RosterEntry, incarnation int64) time.Duration {
	next := newFixture(t, func(o *Options) { o.RunBase, o.MaxRunLease = 2000, 10*time.Second })
	next.s.AddJob(next.now, &Job{
		ID: "j", Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: next.now,
	}, Progress{}, true)
	next.s.RestoreServer(next.now, e)
	next.s.Register(next.now, e.Server)
	next.collectCommands()
	next.s.PollFailed(next.now, "s1", next.polls["s1"].Serial)
	delete(next.polls, "s1")
	next.advanceTime(pollRetry)
	for range 2 { // the reply of another incarnation than the expected one leads to a second poll
		if poll, ok := next.polls["s1"]; ok {
			delete(next.polls, "s1")
			next.s.Polled(next.now, "s1", poll.Serial, Inventory{
				Incarnation: incarnation, Clock: time.Second, Running: []ActiveRun{{Task: TaskID{Job: "j"}, Run: 1005, Percent: 10}},
			})
			next.collectCommands()
		}
	}
	next.want("runs", len(next.s.servers["s1"].runs), 1)
	next.addServer("s2", 16)
	return next.untilStart("s1")
}

// Guards against tasks that wait 10 s after a takeover for a server that was lost soon after it had told its inventory: if it had
// started less than two of the longest leases before, it counted as having such a lease, also when the former leader knew better.
func TestLossOfNewServerAfterTakeover(t *testing.T) {
	young := func(f *fixture, incarnation int64) {
		v := testServer("s1", 16)
		v.Incarnation = incarnation
		f.s.Register(f.now, v)
		f.collectCommands()
		poll := f.polls["s1"]
		delete(f.polls, "s1")
		f.s.Polled(f.now, "s1", poll.Serial, Inventory{Incarnation: incarnation, Clock: time.Second})
		f.advanceTime(100 * time.Millisecond)
	}
	for name, c := range map[string]struct {
		entry    func(*fixture) RosterEntry
		born     int64 // incarnation that answers the next leader
		usual    bool  // recorded as having no long lease
		min, max time.Duration
	}{
		"a former leader that started nothing there knew its first incarnation": {func(f *fixture) RosterEntry {
			f.advanceTime(time.Minute)
			young(f, 1)
			return f.recordRoster()["s1"]
		}, 1, true, 4 * time.Second, 5 * time.Second},
		"the entry says nothing, as that of an older daemon": {func(*fixture) RosterEntry {
			return RosterEntry{Server: testServer("s1", 16)}
		}, 1, false, 10 * time.Second, 11 * time.Second},
		"the server restarted since": {func(f *fixture) RosterEntry {
			f.advanceTime(time.Minute)
			young(f, 1)
			return f.recordRoster()["s1"]
		}, 2, true, 10 * time.Second, 11 * time.Second},
		"the former leader saw a restart": {func(f *fixture) RosterEntry {
			f.advanceTime(time.Minute)
			young(f, 1)
			young(f, 2)
			return f.recordRoster()["s1"]
		}, 2, false, 10 * time.Second, 13 * time.Second},
		"the server hadn't answered the former leader": {func(f *fixture) RosterEntry {
			f.advanceTime(time.Minute)
			f.s.Register(f.now, testServer("s1", 16))
			f.advanceTime(100 * time.Millisecond)
			return f.recordRoster()["s1"]
		}, 1, false, 10 * time.Second, 11 * time.Second},
		"the former leader had just taken over itself": {func(f *fixture) RosterEntry {
			young(f, 1)
			return f.recordRoster()["s1"]
		}, 1, false, 10 * time.Second, 11 * time.Second},
		"a registration names another start than the server": {func(f *fixture) RosterEntry {
			f.advanceTime(time.Minute)
			young(f, 2)
			return f.recordRoster()["s1"]
		}, 1, true, 10 * time.Second, 13 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.RunBase, o.MaxRunLease = 1000, 10*time.Second })
			e := c.entry(f)
			f.want("recorded as without a long lease", e.UsualLease, c.usual)
			if d := takeOverYoung(t, e, c.born); d < c.min || d > c.max {
				t.Errorf("started elsewhere after %s, want %s to %s", d, c.min, c.max)
			}
		})
	}
}

// Guards against a server that is recorded as having a long lease, or as perhaps having one, for ever.
func TestUsualLeaseIsRecordedOnceALongOneHasEnded(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase, o.MaxRunLease = 1000, 10*time.Second })
	f.addServer("s1", 16)
	f.want("recorded at once", f.recordRoster()["s1"].UsualLease, false)
	f.advanceTime(11 * time.Second)
	f.want("recorded after a long lease", f.recordRoster()["s1"].UsualLease, true)

	back := testServer("s1", 16)
	back.Incarnation = 2
	f.s.Register(f.now, back)
	f.collectCommands()
	f.answerPoll("s1", Inventory{Incarnation: 2})
	e := f.recordRoster()["s1"]
	f.want("long lease, usual lease recorded after a restart", [2]bool{e.LongLease, e.UsualLease}, [2]bool{true, false})
	f.advanceTime(11 * time.Second)
	e = f.recordRoster()["s1"]
	f.want("long lease, usual lease recorded at its end", [2]bool{e.LongLease, e.UsualLease}, [2]bool{false, true})
}

// Guards against a server that is recorded as having no long lease although its present incarnation isn't known: it answered a poll
// without naming one, and the record was of an earlier incarnation.
func TestUsualLeaseIsNotRecordedForAnUnnamedIncarnation(t *testing.T) {
	f := newFixtureWithLongLeases(t, 0)
	f.addServer("s1", 16)
	f.addJob("a", Step{Count: 1, Demand: cores(1), LongRunning: true})
	f.takeStarts()
	f.advanceTime(100 * time.Millisecond)
	f.want("recorded at first", f.recordRoster()["s1"].UsualLease, true)
	v := f.s.servers["s1"]
	for v.attached {
		if poll, ok := f.polls["s1"]; ok {
			delete(f.polls, "s1")
			f.s.PollFailed(f.now, "s1", poll.Serial)
		}
		f.advanceTime(100 * time.Millisecond)
	}
	f.advanceTime(pollRetry)
	f.s.Polled(f.now, "s1", f.polls["s1"].Serial, Inventory{Clock: time.Second})
	f.advanceTime(time.Second)
	f.want("attached", v.attached, true)
	f.s.touchRoster(v)
	f.want("recorded afterwards", f.recordRoster()["s1"].UsualLease, false)
}
