package sched

import (
	"testing"
	"time"
)

// answerPollYoung answers the pending poll of a server that started a second ago.
func (f *fixture) answerPollYoung(id ServerID) {
	f.Helper()
	poll, ok := f.polls[id]
	if !ok {
		f.Fatalf("no poll of %s is pending", id)
	}
	delete(f.polls, id)
	f.s.Polled(f.now, id, poll.Serial, Inventory{Incarnation: 1, Clock: time.Second})
	f.collectCommands()
}

// startElsewhere starts a task on s1, which then falls silent, and returns how long its start on s2 takes from then on.
func (f *fixture) startElsewhere() time.Duration {
	f.Helper()
	f.addJob("j", Step{Count: 1, Demand: cores(1), LongRunning: true})
	if len(f.starts) != 1 {
		f.Fatalf("%d starts on s1, want 1", len(f.starts))
	}
	cmd := f.starts[0]
	f.starts = nil
	f.s.Started(f.now, f.now, "s1", cmd.Task, cmd.Run, time.Second)
	f.addServer("s2", 16)
	return f.untilStart("s1")
}

// untilStart returns how long the next start takes while one server is silent and s2 lists no runs.
func (f *fixture) untilStart(silent ServerID) time.Duration {
	from := f.now
	for len(f.starts) == 0 && f.now.Sub(from) < 30*time.Second {
		if poll, ok := f.polls[silent]; ok {
			delete(f.polls, silent)
			f.s.PollFailed(f.now, silent, poll.Serial)
		}
		if _, ok := f.polls["s2"]; ok {
			f.answerPoll("s2", Inventory{})
		}
		f.advanceTime(100 * time.Millisecond)
	}
	return f.now.Sub(from)
}

// Guards against tasks that wait 10 s for a new server that was lost, with room on others and no takeover near: under each leader but
// the first, a server's first inventory counted as if a former leader might just have given it the longest lease.
func TestLossOfNewServer(t *testing.T) {
	young := func(f *fixture, id ServerID) {
		f.s.Register(f.now, testServer(id, 16))
		f.collectCommands()
		f.answerPollYoung(id)
	}
	for name, c := range map[string]struct {
		prepare  func(*fixture)
		min, max time.Duration
	}{
		"long after the takeover": {func(f *fixture) {
			f.advanceTime(time.Minute)
			young(f, "s1")
		}, 4 * time.Second, 5 * time.Second},
		"while a command of a former leader may still be carried out": {func(f *fixture) {
			f.advanceTime(10 * time.Second)
			young(f, "s1")
		}, 10 * time.Second, 11 * time.Second},
		"as the lease that such a command gave is about to end": {func(f *fixture) {
			f.advanceTime(15 * time.Second)
			young(f, "s1")
		}, 7 * time.Second, 8 * time.Second},
		"of an id that this leader has sent commands to before": {func(f *fixture) {
			f.advanceTime(time.Minute)
			young(f, "s1")
			f.replaceServer("s1")
			young(f, "s1")
		}, 10 * time.Second, 11 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.RunBase, o.MaxRunLease = 1000, 10*time.Second })
			c.prepare(f)
			if d := f.startElsewhere(); d < c.min || d > c.max {
				t.Errorf("started elsewhere after %s, want %s to %s", d, c.min, c.max)
			}
		})
	}
}
