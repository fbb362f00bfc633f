package sched

import (
	"encoding/json"
	"testing"
	"time"
)

// Guards against tasks that run twice: a poll that is sent after a pause grants a lease from then on, and the scheduler counted
// it from the moment of the decision, so it held the server's runs for ended while their lease was in force.
func TestLeaseBoundCoversDelayedPolls(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.MaxStopTime = 400 * time.Millisecond })
	f.addServer("s1", 16)
	f.addJob("a", Step{Count: 2, Demand: cores(1), Estimate: time.Minute})
	stopped := f.takeStarts()[0]
	f.s.stop(f.s.findRun("s1", stopped.Task, stopped.Run), "test")
	f.advanceTime(100 * time.Millisecond) // the pause of the pending poll
	f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
	v := f.s.servers["s1"]
	v.polling = false
	f.s.Stopped(f.now, f.now, "s1", stopped.Task, stopped.Run, v.clock)
	f.collectCommands()
	poll := f.polls["s1"]
	f.want("delay", poll.Delay, 400*time.Millisecond+pollPause)
	// The server's clock may be 2 % slow, so that the lease lasts longer than it says.
	lease := scale(poll.Deadline-v.clock, 1+clockDrift)
	if end := f.now.Add(lease); v.leaseBound.Before(end) {
		t.Errorf("runs count as ended %s before their lease ends", end.Sub(v.leaseBound))
	}
}

// Guards against tasks that run twice after a takeover: the lease of a start was computed from a clock reading of minutes ago, so that on
// a server with a slow clock it lasted longer than the next leader counts on.
func TestLeaseOnAnIdleServerWithASlowClock(t *testing.T) {
	t.Parallel()
	for _, idle := range []time.Duration{time.Second, 10 * time.Second, time.Minute, 10 * time.Minute, 5 * time.Hour} {
		for name, drift := range map[string]float64{"exact clock": 0, "slow clock": clockDrift} {
			t.Run(idle.String()+", "+name, func(t *testing.T) {
				f := newFixture(t, nil)
				clock := func() time.Duration { return time.Hour + scale(f.now.Sub(epochStart), 1-drift) }
				answer := func() {
					if poll, ok := f.polls["s1"]; ok {
						delete(f.polls, "s1")
						f.s.Polled(f.now, "s1", poll.Serial, Inventory{Incarnation: 1, Clock: clock()})
						f.collectCommands()
					}
				}
				f.s.Register(f.now, testServer("s1", 16))
				f.collectCommands()
				answer()
				for f.now.Sub(epochStart) < idle {
					f.advanceTime(100 * time.Millisecond)
					answer()
				}
				f.addJob("j", Step{Count: 1, Demand: cores(1)})
				f.want("starts", len(f.starts), 1)
				lease := f.starts[0].Deadline - clock()
				if lease > f.s.options.MaxFormerLease || lease < startLease {
					t.Errorf("lease of %s, want %s to %s", lease, startLease, f.s.options.MaxFormerLease)
				}
			})
		}
	}
}

// Guards against tasks that run twice after a takeover: a command that the former leader had sent to the former incarnation of
// a server, with a deadline on that one's clock, gave the new incarnation a lease of the maximum length. Seed 1305 of the
// property test.
func TestLeaseBoundOfServerThatRestartedBeforeTakeover(t *testing.T) {
	for name, c := range map[string]struct {
		clock, want time.Duration
	}{
		"restarted just before":   {50 * time.Millisecond, 10 * time.Second},
		"restarted some time ago": {time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.RunBase, o.MaxRunLease = 1000, 10*time.Second })
			f.s.Register(f.now, testServer("s1", 16))
			f.collectCommands()
			f.s.Polled(f.now, "s1", f.polls["s1"].Serial, Inventory{Incarnation: 1, Clock: c.clock})
			if b := f.s.servers["s1"].leaseBound.Sub(f.now); b < c.want || c.want == 0 && b > 5*time.Second {
				t.Errorf("runs count as ended after %s", b)
			}
		})
	}
}

// Guards against tasks that run twice after a takeover: a server that had restarted shortly before holds a lease of the maximum
// length, and is unresponsive, so that no inventory shows the restart to the next leader. Seeds 3638 and 3882 of the property
// test.
func TestTakeoverOfUnresponsiveServerThatRestartedBefore(t *testing.T) {
	const (
		maxLease = 10 * time.Second
		overlap  = 2 * time.Second // LeaderOverlap of the fixture
	)
	// restart adds a server with a run and restarts it. The reply to the start shows the restart.
	restart := func(f *fixture) {
		f.addServer("s1", 16)
		f.addJob("a", Step{Count: 1, Demand: cores(1)})
		start := f.starts[0]
		f.starts = nil
		f.s.Started(f.now, f.now, "s1", start.Task, start.Run, 30*time.Millisecond)
		f.collectCommands()
	}
	// recordedEntry returns the roster record of the server as the next leader reads it, and reports whether it was written.
	recordedEntry := func(f *fixture) (e RosterEntry, written bool) {
		f.Helper()
		changes := f.s.TakeRosterChanges(100)
		f.s.RosterWritten(f.now, changes)
		for _, c := range changes {
			if c.Entry.Server.ID != "s1" {
				continue
			}
			written = true
			data, err := json.Marshal(c.Entry)
			if err != nil {
				f.Fatal(err)
			}
			if err := json.Unmarshal(data, &e); err != nil {
				f.Fatal(err)
			}
		}
		return e, written
	}
	// takeOver returns the next leader's fixture.
	takeOver := func(f *fixture, e RosterEntry) *fixture {
		next := newFixture(f.T, func(o *Options) { o.RunBase, o.MaxRunLease = 1000, maxLease })
		next.now = f.now
		next.s.started = f.now
		for _, j := range f.s.jobs {
			next.s.AddJob(next.now, j.spec, Progress{}, true)
		}
		next.s.RestoreServer(next.now, e)
		next.addServer("s2", 16)
		return next
	}
	// timeToStart returns how long the next leader waits before it starts a task, while the server doesn't reply.
	timeToStart := func(f *fixture, e RosterEntry) time.Duration {
		f.Helper()
		next := takeOver(f, e)
		for next.now.Sub(f.now) < 2*maxLease && len(next.starts) == 0 {
			if poll, ok := next.polls["s1"]; ok {
				delete(next.polls, "s1")
				next.s.PollFailed(next.now, "s1", poll.Serial)
			}
			next.advanceTime(100 * time.Millisecond)
		}
		f.want("starts", len(next.starts), 1)
		return next.now.Sub(f.now)
	}
	for name, check := range map[string]func(*fixture){
		"inherited tasks wait for the longest lease": func(f *fixture) {
			restart(f)
			e, _ := recordedEntry(f)
			if d := timeToStart(f, e); d < overlap+maxLease {
				f.Errorf("the task was started after %s", d)
			}
		},
		"tasks of a cordoned server wait for the longest lease": func(f *fixture) {
			restart(f)
			f.answerPoll("s1", Inventory{Incarnation: 2, Running: f.running("s1", TaskID{}, 0)})
			v := testServer("s1", 16)
			v.Incarnation, v.Draining = 2, true
			f.s.Register(f.now, v)
			f.advanceTime(100 * time.Millisecond)
			e, _ := recordedEntry(f)
			f.want("cordoned", e.Cordoned, true)
			if d := timeToStart(f, e); d < overlap+maxLease {
				f.Errorf("the task was started after %s", d)
			}
		},
		"a second takeover waits as well": func(f *fixture) {
			restart(f)
			e, _ := recordedEntry(f)
			next := takeOver(f, e)
			next.advanceTime(time.Second)
			next.s.touchRoster(next.s.servers["s1"])
			e, _ = recordedEntry(next)
			if d := timeToStart(next, e); d < overlap+maxLease {
				f.Errorf("the task was started after %s", d)
			}
		},
		"the record changes once the longest lease has expired": func(f *fixture) {
			restart(f)
			recordedEntry(f)
			f.answerPoll("s1", Inventory{Incarnation: 2, Running: f.running("s1", TaskID{}, 0)})
			for range 2 * maxLease / time.Second {
				f.advanceTime(time.Second)
				if _, ok := f.polls["s1"]; ok {
					f.answerPoll("s1", Inventory{Incarnation: 2, Running: f.running("s1", TaskID{}, 0)})
				}
			}
			e, written := recordedEntry(f)
			f.want("written", written, true)
			if d := timeToStart(f, e); d > maxLease {
				f.Errorf("the task was started after %s", d)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			check(newFixture(t, func(o *Options) { o.MaxRunLease = maxLease }))
		})
	}
}
