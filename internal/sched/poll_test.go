package sched

import (
	"testing"
	"time"
)

// A fleet with short tasks leaves a twentieth of all calls unanswered. Guards against ended runs that are noticed only after
// the full wait of a lost poll, which made half of the chip orders of glwfse-spoke-grown trouble-3 late.
func TestUnansweredPolls(t *testing.T) {
	short := Step{Count: 1, Demand: cores(1), Estimate: 500 * time.Millisecond}
	for name, check := range map[string]func(*fixture){
		"a poll waits until shortly after the next expected end": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", short)
			f.takeStarts()
			if w := f.polls["s1"].Wait; w < 500*time.Millisecond || w > 700*time.Millisecond {
				t.Errorf("poll waits for %s, want 500ms to 700ms", w)
			}
		},
		"a poll of long tasks waits for the maximum time": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", Step{Count: 1, Demand: cores(1), Estimate: time.Minute})
			f.takeStarts()
			f.want("wait", f.polls["s1"].Wait, time.Second)
		},
		"the first lost poll is repeated at once without a wait": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("j", short)
			f.takeStarts()
			poll := f.polls["s1"]
			delete(f.polls, "s1")
			f.s.PollFailed(f.now, "s1", poll.Serial)
			f.collectCommands()
			again, ok := f.polls["s1"]
			f.want("repeated, with wait and lease", []any{ok, again.Wait, again.Deadline}, []any{true, time.Duration(0), time.Duration(0)})
		},
	} {
		t.Run(name, func(t *testing.T) { check(newFixture(t, nil)) })
	}
}

// A congested link delays the calls to a server by more than the timeout of a poll. Guards against ends of runs that the
// server has reported and that nobody reads, so that their tasks run twice (incident inc1), and against outdated replies that
// undo what a later one has shown.
func TestLateRepliesToPolls(t *testing.T) {
	one := Step{Count: 1, Demand: cores(1)}
	// giveUpPoll lets the pending poll of s1 fail, and returns it.
	giveUpPoll := func(f *fixture) PollCommand {
		poll := f.polls["s1"]
		delete(f.polls, "s1")
		f.s.PollFailed(f.now, "s1", poll.Serial)
		f.collectCommands()
		return poll
	}
	reply := func(f *fixture, poll PollCommand, inv Inventory) {
		inv.Incarnation, inv.Clock = 1, f.now.Sub(epochStart)+time.Hour
		f.s.Polled(f.now, "s1", poll.Serial, inv)
		f.collectCommands()
	}
	for name, check := range map[string]func(*fixture, StartCommand){
		"the end of a run in a late reply is handled": func(f *fixture, start StartCommand) {
			poll := giveUpPoll(f)
			f.advanceTime(700 * time.Millisecond)
			reply(f, poll, Inventory{Finished: []FinishedRun{{Number: 1, Task: start.Task, Run: start.Run, Outcome: OutcomeDone}}})
			f.recordProgress()
			f.want("state", f.state("a"), StateCompleted)
			f.advanceTime(6 * time.Second)
			f.want("further starts", len(f.starts), 0)
		},
		"a late reply shows that the server responds": func(f *fixture, start StartCommand) {
			poll := giveUpPoll(f)
			f.advanceTime(100 * time.Millisecond)
			reply(f, poll, Inventory{Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}})
			f.want("failures", f.s.servers["s1"].failures, 0)
			f.want("runs", len(f.s.servers["s1"].runs), 1)
		},
		"a reply that arrives after that to a later poll is ignored": func(f *fixture, start StartCommand) {
			earlier := giveUpPoll(f)
			f.endRun(start, OutcomeDone)
			reply(f, earlier, Inventory{Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}})
			f.want("runs", len(f.s.servers["s1"].runs), 0)
			f.want("stops", len(f.stops), 0)
		},
		"a reply to a poll before a restart is ignored": func(f *fixture, start StartCommand) {
			earlier := giveUpPoll(f)
			v := testServer("s1", 16)
			v.Incarnation = 2
			f.s.Register(f.now, v)
			f.collectCommands()
			reply(f, earlier, Inventory{Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}})
			f.want("attached", f.s.servers["s1"].attached, false)
		},
		// The timeout of a poll may run out while its reply is being handled.
		"a failure of a poll that was answered is ignored": func(f *fixture, start StartCommand) {
			f.endRun(start, OutcomeDone)
			f.recordProgress()
			poll := f.polls["s1"]
			f.answerPoll("s1", Inventory{}) // the last one, as the server has neither runs nor unacknowledged ends
			f.s.PollFailed(f.now, "s1", poll.Serial)
			f.want("failures", f.s.servers["s1"].failures, 0)
		},
		// Guards against a server that isn't polled any more, as the reply to its only poll was ignored.
		"a server is polled again after a restart that its registration shows during a poll": func(f *fixture, _ StartCommand) {
			poll := f.polls["s1"]
			delete(f.polls, "s1")
			v := testServer("s1", 16)
			v.Incarnation = 2
			f.s.Register(f.now, v)
			f.collectCommands()
			f.s.Polled(f.now, "s1", poll.Serial, Inventory{Incarnation: 2, Clock: time.Second})
			f.advanceTime(time.Second)
			_, polled := f.polls["s1"]
			f.want("polled", polled, true)
		},
		"a server is polled again after a restart that a late reply shows": func(f *fixture, _ StartCommand) {
			earlier := giveUpPoll(f)
			later := f.polls["s1"]
			delete(f.polls, "s1")
			f.s.Polled(f.now, "s1", earlier.Serial, Inventory{Incarnation: 2, Clock: time.Second})
			f.s.Polled(f.now, "s1", later.Serial, Inventory{Incarnation: 2, Clock: time.Second})
			f.addJob("b", one)
			f.advanceTime(time.Second)
			_, polled := f.polls["s1"]
			f.want("polled", polled, true)
		},
		"nothing is acknowledged on the word of a late reply": func(f *fixture, start StartCommand) {
			poll := giveUpPoll(f)
			reply(f, poll, Inventory{Finished: []FinishedRun{{Number: 1, Task: start.Task, Run: start.Run, Outcome: OutcomeDone}}})
			f.recordProgress()
			f.want("acknowledged", f.s.servers["s1"].acknowledgeable(), 0)
		},
		"the timeout follows the delay of replies and shrinks again": func(f *fixture, start StartCommand) {
			f.want("timeout at first", f.polls["s1"].Timeout-f.polls["s1"].Wait, minReplyTimeout)
			running := Inventory{Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}, Delay: 900 * time.Millisecond}
			reply(f, f.polls["s1"], running)
			f.want("timeout after a delayed reply", f.polls["s1"].Timeout-f.polls["s1"].Wait, 1800*time.Millisecond)
			running.Delay = 0
			for range 5 {
				reply(f, f.polls["s1"], running)
			}
			f.want("timeout after prompt replies", f.polls["s1"].Timeout-f.polls["s1"].Wait, minReplyTimeout)
		},
		// Guards against the loss of a server that has moved, by a late reply from its former address.
		"a server isn't replaced by a late reply from its former address": func(f *fixture, _ StartCommand) {
			v := testServer("s1", 16)
			v.Address = "s1:2"
			f.s.Register(f.now, v)
			f.s.ServerReplaced(f.now, testServer("s1", 16))
			f.want("runs kept", len(f.s.servers["s1"].runs), 1)
		},
		// A server may answer before the wait of a poll is over if a run ends, so such a reply doesn't show its delay.
		"an early reply with the end of a run doesn't count as prompt": func(f *fixture, start StartCommand) {
			reply(f, f.polls["s1"], Inventory{
				Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 10}}, Delay: 900 * time.Millisecond,
			})
			reply(f, f.polls["s1"], Inventory{
				Finished: []FinishedRun{{Number: 1, Task: start.Task, Run: start.Run, Outcome: OutcomeDone}},
			})
			f.addJob("b", one)
			f.want("starts", len(f.starts), 0)
		},
		// Starts over a congested link time out and are repeated elsewhere, which wastes work.
		"a server that answers late gets no starts until it answers promptly, also without runs": func(f *fixture, start StartCommand) {
			reply(f, f.polls["s1"], Inventory{
				Delay:    900 * time.Millisecond,
				Finished: []FinishedRun{{Number: 1, Task: start.Task, Run: start.Run, Outcome: OutcomeDone}},
			})
			f.addJob("b", one)
			f.want("starts", len(f.starts), 0)
			f.recordProgress()
			f.advanceTime(time.Second)
			reply(f, f.polls["s1"], Inventory{})
			f.want("starts after a prompt reply", len(f.starts), 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("a", one)
			start := f.takeStarts()[0]
			check(f, start)
		})
	}
}

// Guards against polls that go over one silent connection after the other: the adapter closes idle connections only if it is told that
// an earlier poll has failed.
func TestPollAfterFailedPollIsOverdue(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.addJob("j", Step{Count: 1, Demand: cores(1)})
	f.s.Started(f.now, f.now, "s1", f.starts[0].Task, f.starts[0].Run, time.Hour)
	f.collectCommands()
	f.want("overdue", f.polls["s1"].Overdue, false)
	f.s.PollFailed(f.now, "s1", f.polls["s1"].Serial)
	f.collectCommands()
	f.want("overdue after a failed poll", f.polls["s1"].Overdue, true)
}

// Guards against a task that runs twice: a poll was sent after its pause although its server had restarted meanwhile, so that its
// acknowledgement, meant for the former incarnation, dropped an end that the new one hadn't reported yet.
func TestPollIsNotSentAfterARestart(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*fixture)
		current bool
	}{
		"nothing happens during the pause": {func(*fixture) {}, true},
		"the server restarts": {func(f *fixture) {
			back := testServer("s1", 16)
			back.Incarnation = 2
			f.s.Register(f.now, back)
		}, false},
		"the clock of a reply shows the restart": {func(f *fixture) {
			f.now = f.now.Add(10 * time.Millisecond)
			cmd := f.starts[0]
			f.s.StartRefused(f.now, f.now, "s1", cmd.Task, cmd.Run, RefusedCapacity, time.Second)
		}, false},
		"another server has its address": {func(f *fixture) { f.s.ServerReplaced(f.now, testServer("s1", 16)) }, false},
		"a later poll is sent":           {func(f *fixture) { f.s.poll(f.s.servers["s1"], 0, 0) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.MaxRunLease = 10 * time.Second })
			f.addServer("s1", 16)
			f.addJob("a", Step{Count: 1, Demand: cores(1)})
			f.takeStarts()
			poll := f.polls["s1"]
			f.want("the poll has a pause", poll.Delay > 0, true)
			f.addJob("b", Step{Count: 1, Demand: cores(1)})
			c.change(f)
			f.want("sent after the pause", f.s.IsPollCurrent("s1", poll.Serial), c.current)
		})
	}
}
