package sched

import (
	"slices"
	"testing"
	"time"
)

// Guards against tasks that run twice: a leader that stood still read replies late, took their clock readings for a restart of
// the server and started its tasks elsewhere. Found by the soak, seed 304.
func TestLateClockReadings(t *testing.T) {
	const late = 1400 * time.Millisecond
	clock := func(at time.Time) time.Duration { return at.Sub(epochStart) + time.Hour }
	one := Step{Count: 1, Demand: cores(1)}
	// answerPollWith answers the poll of s1 with the run of the given start and a reading from the given time.
	answerPollWith := func(f *fixture, start StartCommand, taken time.Time) {
		poll := f.polls["s1"]
		delete(f.polls, "s1")
		f.s.Polled(f.now, "s1", poll.Serial, Inventory{
			Incarnation: 1, Clock: clock(taken), Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}},
		})
		f.collectCommands()
	}
	// prepare starts job "a" on s1 and sends a start of job "b" there, whose reply is pending.
	prepare := func(t *testing.T) (f *fixture, running, pending StartCommand, sent time.Time) {
		f = newFixture(t, nil)
		f.addServer("s1", 16)
		f.addJob("a", one)
		running = f.takeStarts()[0]
		f.addServer("s2", 16)
		f.now = f.now.Add(10 * time.Millisecond)
		f.addJob("b", one)
		pending, sent = f.starts[0], f.now
		f.starts = nil
		f.want("server of the pending start", pending.Server.ID, "s1")
		return f, running, pending, sent
	}
	replies := map[string]func(f *fixture, cmd StartCommand, sent time.Time, clock time.Duration){
		"start": func(f *fixture, cmd StartCommand, sent time.Time, clock time.Duration) {
			f.s.Started(f.now, sent, "s1", cmd.Task, cmd.Run, clock)
		},
		"refused start": func(f *fixture, cmd StartCommand, sent time.Time, clock time.Duration) {
			f.s.StartRefused(f.now, sent, "s1", cmd.Task, cmd.Run, RefusedCapacity, clock)
		},
		"stop": func(f *fixture, cmd StartCommand, sent time.Time, clock time.Duration) {
			f.s.stop(f.s.findRun("s1", cmd.Task, cmd.Run), "test")
			f.s.Stopped(f.now, sent, "s1", cmd.Task, cmd.Run, clock)
		},
	}
	wantNoRestart := func(f *fixture, running StartCommand) {
		f.Helper()
		f.collectCommands()
		f.want("attached", f.s.servers["s1"].attached, true)
		f.want("run held", f.s.findRun("s1", running.Task, running.Run) != nil, true)
		f.want("started elsewhere", slices.ContainsFunc(f.starts, func(c StartCommand) bool { return c.Task == running.Task }), false)
	}
	for name, reply := range replies {
		t.Run(name+" read late beside a fresher reading", func(t *testing.T) {
			f, running, pending, sent := prepare(t)
			f.now = f.now.Add(late)
			answerPollWith(f, running, f.now)
			reply(f, pending, sent, clock(sent.Add(time.Millisecond)))
			wantNoRestart(f, running)
			f.want("reading kept", f.s.servers["s1"].clock+f.now.Sub(f.s.servers["s1"].clockAt), clock(f.now))
		})
		t.Run(name+" read late before a fresher reading", func(t *testing.T) {
			f, running, pending, sent := prepare(t)
			f.now = f.now.Add(late)
			reply(f, pending, sent, clock(sent.Add(time.Millisecond)))
			wantNoRestart(f, running)
			answerPollWith(f, running, f.now)
			wantNoRestart(f, running)
			f.want("reading", f.s.servers["s1"].clock, clock(f.now))
		})
		t.Run(name+" of a suspended leader whose own clock stood still", func(t *testing.T) {
			f, running, pending, sent := prepare(t)
			f.now = f.now.Add(time.Millisecond)
			answerPollWith(f, running, f.now.Add(late)) // the server's clock went on
			reply(f, pending, sent, clock(sent.Add(time.Millisecond)))
			wantNoRestart(f, running)
		})
		t.Run(name+" by another incarnation", func(t *testing.T) {
			f, running, pending, sent := prepare(t)
			f.now = f.now.Add(late)
			answerPollWith(f, running, f.now)
			reply(f, pending, sent, 30*time.Millisecond)
			f.want("attached", f.s.servers["s1"].attached, false)
			f.want("run held", f.s.findRun("s1", running.Task, running.Run) != nil, false)
		})
	}
	t.Run("late reading shortens no lease", func(t *testing.T) {
		f, running, pending, sent := prepare(t)
		f.now = f.now.Add(late)
		answerPollWith(f, running, f.now)
		f.s.Started(f.now, sent, "s1", pending.Task, pending.Run, clock(sent.Add(time.Millisecond)))
		f.want("end of the lease", f.s.deadline(f.s.servers["s1"], 0, f.s.options.RunLease), clock(f.now)+f.s.options.RunLease)
	})
	// Guards against needless polls of servers whose clock is slightly faster than the leader's.
	t.Run("reading of a slightly faster clock is used", func(t *testing.T) {
		f := newFixture(t, nil)
		f.addServer("s1", 16)
		f.now = f.now.Add(time.Minute)
		f.addJob("a", one)
		start, reading := f.starts[0], clock(f.now.Add(10*time.Millisecond))
		f.s.Started(f.now, f.now, "s1", start.Task, start.Run, reading)
		f.want("reading", f.s.servers["s1"].clock, reading)
	})
	// Guards against starts that are refused as late until the next poll, which a server without runs doesn't get.
	t.Run("reading above the possible ones is checked by a poll", func(t *testing.T) {
		f := newFixture(t, nil)
		f.addServer("s1", 16)
		f.addJob("a", one)
		start := f.starts[0]
		f.starts = nil
		f.s.StartRefused(f.now, f.now, "s1", start.Task, start.Run, RefusedLeaseExpired, clock(f.now.Add(6*time.Second)))
		f.collectCommands()
		_, polled := f.polls["s1"]
		f.want("polled", polled, true)
	})
}
