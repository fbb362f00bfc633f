package sched

import (
	"testing"
	"time"
)

// Guards against a server that gets no work any more after a registration under its id, written by another writer, named a
// later start than its own: all its replies were taken for those of a former incarnation.
func TestRegistrationWithLaterStart(t *testing.T) {
	const later = 1_000_000
	one := Step{Count: 1, Demand: cores(1)}
	register := func(f *fixture, born int64) {
		v := testServer("s1", 16)
		v.Incarnation = born
		f.s.Register(f.now, v)
		f.collectCommands()
	}
	// answerPolls answers the polls of some time as the incarnation 1.
	answerPolls := func(f *fixture) {
		for range 10 {
			f.advanceTime(100 * time.Millisecond)
			if _, ok := f.polls["s1"]; ok {
				f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
			}
		}
	}
	for name, check := range map[string]func(*fixture){
		"of a known server": func(f *fixture) {
			f.addServer("s1", 16)
			register(f, later)
			register(f, 1)
			answerPolls(f)
			f.addJob("a", one)
			f.want("starts", len(f.takeStarts()), 1)
		},
		"of a new server": func(f *fixture) {
			register(f, later)
			answerPolls(f)
			f.addJob("a", one)
			f.want("starts", len(f.takeStarts()), 1)
		},
		"that is written again": func(f *fixture) {
			f.addServer("s1", 16)
			register(f, later)
			answerPolls(f)
			f.addJob("a", one)
			f.takeStarts()
			register(f, later)
			answerPolls(f)
			f.want("runs kept", len(f.s.servers["s1"].runs), 1)
			f.want("starts", len(f.takeStarts()), 0)
		},
		"after which the server restarts": func(f *fixture) {
			f.addServer("s1", 16)
			register(f, later)
			answerPolls(f)
			f.addJob("a", one)
			f.takeStarts()
			register(f, 2)
			f.want("runs of the former incarnation", len(f.s.servers["s1"].runs), 0)
		},
		"is believed over a reply to an earlier poll": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("a", one)
			f.takeStarts()
			f.s.pollNext(f.s.servers["s1"], 0)
			f.collectCommands()
			f.now = f.now.Add(100 * time.Millisecond)
			register(f, 2)
			f.answerPoll("s1", Inventory{})
			f.want("attached", f.s.servers["s1"].attached, false)
			f.want("incarnation", f.s.servers["s1"].info.Incarnation, 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			check(newFixture(t, func(o *Options) { o.MaxRunLease = 10 * time.Second }))
		})
	}
}

// Guards against a live server whose runs are released and started elsewhere because a registration under its id, written by another
// writer, names the address of another server, which answers that it isn't meant.
func TestRegistrationWithAnotherAddress(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation int64
		released    int
	}{
		"without an incarnation":  {0, 0},
		"of the same incarnation": {1, 0},
		"of a later incarnation":  {2, 1}, // the server has restarted elsewhere
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("a", Step{Count: 1, Demand: cores(1)})
			start := f.takeStarts()[0]
			other := testServer("s1", 16)
			other.Address, other.Incarnation = "s2:1", c.incarnation
			f.s.Register(f.now, other)
			f.collectCommands()
			meant := other
			meant.Incarnation = max(c.incarnation, 1)
			f.s.ServerReplaced(f.now, meant)
			f.want("runs released", boolToInt(f.s.findRun("s1", start.Task, start.Run) == nil), c.released)
		})
	}
}

// Guards against tasks that run twice: a server restarted a second time within the margin of its clock readings, confirmed a
// start, and its registration then showed the restart, so the run counted as one that the restart had ended. Seed 5291 of the
// property test.
func TestRunConfirmedByNewIncarnation(t *testing.T) {
	const (
		firstClock = 20 * time.Millisecond  // of the former incarnation at the answer to its first poll
		startDelay = 200 * time.Millisecond // from that answer, and the sending of the start, to the confirmation
		laterClock = 100 * time.Millisecond // in the confirmation, if a later incarnation sent it
	)
	register := func(f *fixture, incarnation int64) {
		v := testServer("s1", 16)
		v.Incarnation = incarnation
		f.s.Register(f.now, v)
		f.collectCommands()
	}
	answer := func(f *fixture, inv Inventory) {
		f.Helper()
		serial := f.polls["s1"].Serial
		delete(f.polls, "s1")
		f.s.Polled(f.now, "s1", serial, inv)
		f.collectCommands()
	}
	// answerNext fails the pending poll and answers the next one.
	answerNext := func(f *fixture, inv Inventory) {
		f.Helper()
		serial := f.polls["s1"].Serial
		delete(f.polls, "s1")
		f.s.PollFailed(f.now, "s1", serial)
		f.advanceTime(time.Second)
		answer(f, inv)
	}
	// confirm confirms the pending start with a clock reading.
	confirm := func(f *fixture, clock time.Duration) StartCommand {
		f.now = f.now.Add(startDelay)
		start := f.starts[0]
		f.starts = nil
		f.s.Started(f.now, f.now.Add(-startDelay), "s1", start.Task, start.Run, clock)
		f.collectCommands()
		return start
	}
	for name, check := range map[string]func(f *fixture){
		"a run that the new incarnation may have confirmed is kept": func(f *fixture) {
			start := confirm(f, laterClock)
			register(f, 3)
			f.want("runs", len(f.s.servers["s1"].runs), 1)
			f.want("starts elsewhere", len(f.starts), 0)
			answerNext(f, Inventory{Incarnation: 3, Clock: time.Second, Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}})
			f.want("runs after the inventory", len(f.s.servers["s1"].runs), 1)
			f.want("starts after the inventory", len(f.starts), 0)
			f.want("stops", len(f.stops), 0)
		},
		"a run that the former incarnation has confirmed is released": func(f *fixture) {
			confirm(f, firstClock+startDelay)
			register(f, 3)
			f.want("starts elsewhere", len(f.starts), 1)
		},
		"a run that the former incarnation has listed is released": func(f *fixture) {
			start := confirm(f, laterClock)
			f.advanceTime(100 * time.Millisecond)
			answer(f, Inventory{Incarnation: 2, Clock: time.Second, Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}})
			register(f, 3)
			f.want("starts elsewhere", len(f.starts), 1)
		},
		"a kept run is released once the new incarnation doesn't list it": func(f *fixture) {
			confirm(f, laterClock)
			register(f, 3)
			answerNext(f, Inventory{Incarnation: 3, Clock: time.Second})
			f.want("starts", len(f.starts), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.MaxRunLease = 10 * time.Second })
			register(f, 2)
			answer(f, Inventory{Incarnation: 2, Clock: firstClock})
			f.addJob("a", Step{Count: 1, Demand: cores(1)})
			f.addServer("s2", 16)
			f.want("first start", f.starts[0].Server.ID, "s1")
			check(f)
		})
	}
}

// Guards against tasks that run twice: another server had responded at the address while a server was away, the answer was read
// after the server had returned there, and the runs of its new incarnation counted as ended.
func TestLateSignOfAnotherServer(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	meant := f.s.servers["s1"].info
	v := testServer("s1", 16)
	v.Incarnation = 2
	f.s.Register(f.now, v)
	f.collectCommands()
	f.advanceTime(10 * time.Millisecond)
	f.s.Polled(f.now, "s1", f.polls["s1"].Serial, Inventory{Incarnation: 2, Clock: time.Second})
	f.collectCommands()
	f.addJob("a", Step{Count: 1, Demand: cores(1)})
	f.want("starts", len(f.takeStarts()), 1)
	f.s.ServerReplaced(f.now, meant)
	f.want("server kept", f.s.servers["s1"] != nil, true)
	f.want("runs kept", len(f.s.servers["s1"].runs), 1)
	f.s.ServerReplaced(f.now, f.s.servers["s1"].info)
	f.want("server kept after a sign for its present incarnation", f.s.servers["s1"] != nil, false)
}
