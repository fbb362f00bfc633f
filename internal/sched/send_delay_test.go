package sched

import (
	"testing"
	"time"
)

// Guards against tasks that run twice: a daemon that sends commands for a leader may send one to a later incarnation of a server half a
// second after its hand-over, also if that leader has stopped, and that incarnation takes its deadline for the longest lease. The
// bounds counted from the restart or the takeover, so that the task started elsewhere 0.3 s before that lease had ended.
func TestLongLeaseOfACommandThatIsSentLate(t *testing.T) {
	const sendDelay = 500 * time.Millisecond
	// longestLease is how long a server with a slow clock takes for the longest lease.
	longestLease := scale(10*time.Second, 1+clockDrift)
	newLeader := func(base RunNumber) *fixture {
		return newFixture(t, func(o *Options) {
			o.RunBase, o.LeaderOverlap, o.MaxRunLease, o.MaxSendDelay = base, 0, 10*time.Second, sendDelay
		})
	}
	one := Step{Count: 1, Demand: cores(1)}
	restarted := testServer("s1", 16)
	restarted.Incarnation = 2
	inherit := func() *fixture {
		f := newLeader(1000)
		f.s.AddJob(f.now, &Job{ID: "j", Team: "blue", Queue: testQueue(), Steps: []Step{one}, Accepted: f.now}, Progress{}, true)
		return f
	}
	for name, prepare := range map[string]func() *fixture{
		"start for a former incarnation": func() *fixture {
			f := newLeader(0)
			f.addServer("s1", 16)
			f.addJob("j", one)
			f.want("starts", len(f.starts), 1)
			f.starts = nil
			f.s.Register(f.now, restarted)
			return f
		},
		"command of a former leader that has stopped, for a former incarnation": func() *fixture {
			f := inherit()
			f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16)})
			f.s.Register(f.now, restarted)
			return f
		},
		"command of a former leader that has stopped, under a long lease of the roster": func() *fixture {
			f := inherit()
			f.s.RestoreServer(f.now, RosterEntry{Server: restarted, LongLease: true, LongLeaseLeft: longestLease})
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := prepare()
			f.T = t
			f.collectCommands()
			f.addServer("s2", 16)
			if d := f.untilStart("s1"); d < sendDelay+longestLease || d > sendDelay+longestLease+400*time.Millisecond {
				t.Errorf("started elsewhere after %s, want %s or up to 400 ms later", d, sendDelay+longestLease)
			}
		})
	}
	// The first incarnation that this leader knows may answer before a command for the former server of that id is sent.
	t.Run("server under the id of a removed one", func(t *testing.T) {
		f := newLeader(0)
		f.T = t
		f.addServer("s1", 16)
		f.replaceServer("s1")
		f.s.Register(f.now, restarted)
		f.collectCommands()
		poll := f.polls["s1"]
		f.s.Polled(f.now, "s1", poll.Serial, Inventory{Incarnation: 2, Clock: time.Second})
		if d := f.s.servers["s1"].leaseBound.Sub(f.now); d < sendDelay+longestLease {
			t.Errorf("the longest lease counts as ended after %s, want %s", d, sendDelay+longestLease)
		}
	})
}

// Guards against inherited tasks that wait for commands which a former leader that has stopped can't have given the usual lease: a
// deadline on the clock of the incarnation that gets it doesn't depend on when it is sent.
func TestStoppedLeaderIsNotWaitedForBeyondItsLeases(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase, o.LeaderOverlap, o.MaxSendDelay = 1000, 0, 500*time.Millisecond })
	f.s.AddJob(f.now, &Job{
		ID: "j", Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now,
	}, Progress{}, true)
	f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16)})
	f.collectCommands()
	f.addServer("s2", 16)
	if d := f.untilStart("s1"); d < 4080*time.Millisecond || d > 4400*time.Millisecond {
		t.Errorf("started elsewhere after %s, want 4.08 s to 4.4 s", d)
	}
}
