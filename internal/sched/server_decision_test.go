package sched

import (
	"fmt"
	"testing"
	"time"
)

// Guards against changes of the set of servers that the log doesn't tell: tasks were started on a server that had been removed,
// and no line told when and why it went, or whether it had come back (issue 23).
func TestServerDecisions(t *testing.T) {
	const away = time.Second
	startOne := func(f *fixture) {
		f.addServer("s1", 16)
		f.addJob("a", Step{Count: 1, Demand: cores(1)})
		f.takeStarts()
		f.advanceTime(away)
		f.s.TakeServerDecisions()
	}
	failPolls := func(f *fixture) {
		for f.s.servers["s1"] != nil && f.now.Sub(epochStart) < time.Minute {
			f.s.PollFailed(f.now, "s1", f.s.servers["s1"].pollSerial)
			f.advanceTime(100 * time.Millisecond)
		}
	}
	register := func(f *fixture, incarnation int64) {
		v := testServer("s1", 16)
		v.Incarnation = incarnation
		f.s.Register(f.now, v)
	}
	for name, c := range map[string]struct {
		happen func(*fixture)
		want   []ServerDecision
	}{
		"a new server registers": {
			func(f *fixture) { f.s.Register(f.now, testServer("s1", 16)) },
			[]ServerDecision{{Event: ServerAdded, Cause: CauseRegistered}},
		},
		"a server updates its registration": {
			func(f *fixture) {
				startOne(f)
				register(f, 1)
			},
			nil,
		},
		"a server of the roster that is registered": {
			func(f *fixture) {
				f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16)})
				f.s.Register(f.now, testServer("s1", 16))
			},
			[]ServerDecision{{Event: ServerAdded, Cause: CauseRoster}},
		},
		"a server of the roster registers later": {
			func(f *fixture) {
				f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16)})
				f.now = f.now.Add(away)
				f.s.Register(f.now, testServer("s1", 16))
			},
			[]ServerDecision{
				{Event: ServerAdded, Cause: CauseRoster},
				{Event: ServerReturned, Cause: CauseRegisteredAgain, Away: away, RegistrationAge: 0},
			},
		},
		"a server registers again within the grace": {
			func(f *fixture) {
				startOne(f)
				f.s.Unregister(f.now, "s1")
				f.now = f.now.Add(away)
				register(f, 1)
			},
			[]ServerDecision{{Event: ServerReturned, Cause: CauseRegisteredAgain, Away: away, Runs: 1, RunsLeft: 1, Attached: true}},
		},
		"another server responds at its address": {
			func(f *fixture) {
				startOne(f)
				f.s.ServerReplaced(f.now, testServer("s1", 16))
			},
			[]ServerDecision{{Event: ServerRemoved, Cause: CauseReplaced, Runs: 1, Attached: true, Registered: true, RegistrationAge: away}},
		},
		"it is added again after its removal": {
			func(f *fixture) {
				startOne(f)
				f.s.ServerReplaced(f.now, testServer("s1", 16))
				f.s.TakeServerDecisions()
				f.now = f.now.Add(away)
				register(f, 1)
			},
			[]ServerDecision{{Event: ServerReturned, Cause: CauseAddedAgain, FormerRemoval: CauseReplaced, Away: away}},
		},
		"the registration shows a restart": {
			func(f *fixture) {
				startOne(f)
				register(f, 2)
			},
			[]ServerDecision{{Event: ServerRestarted, Cause: CauseNewIncarnation, Incarnation: 2, Runs: 1, Registered: true, RegistrationAge: away}},
		},
		"a clock reading shows a restart": {
			func(f *fixture) {
				startOne(f)
				f.s.readClock(f.s.servers["s1"], f.now, time.Millisecond, nil)
			},
			[]ServerDecision{{Event: ServerRestarted, Cause: CauseClockWentBack, Runs: 1, Registered: true, RegistrationAge: away}},
		},
		"an idle server without a registration": {
			func(f *fixture) {
				f.addServer("s1", 16)
				f.s.TakeServerDecisions()
				f.s.Unregister(f.now, "s1")
				f.advanceTime(reregistrationGrace + 100*time.Millisecond)
			},
			[]ServerDecision{{
				Event: ServerRemoved, Cause: CauseUnregistered, Attached: true, Away: reregistrationGrace + 100*time.Millisecond,
				RegistrationAge: reregistrationGrace + 100*time.Millisecond,
			}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			c.happen(f)
			got, dropped := f.s.TakeServerDecisions()
			if len(got) != len(c.want) || dropped > 0 {
				t.Fatalf("decisions %+v, %d dropped, want %+v", got, dropped, c.want)
			}
			for i := range c.want {
				want := c.want[i]
				want.Server, want.Address, want.Incarnation = "s1", "s1:1", max(want.Incarnation, 1)
				want.PollAge = got[i].PollAge
				f.want(fmt.Sprint("decision ", i), fmt.Sprintf("%+v", got[i]), fmt.Sprintf("%+v", want))
			}
		})
	}
	t.Run("a silent server without a registration", func(t *testing.T) {
		f := newFixture(t, nil)
		startOne(f)
		f.s.Unregister(f.now, "s1")
		failPolls(f)
		decisions, _ := f.s.TakeServerDecisions()
		f.want("decisions", len(decisions), 1)
		d := decisions[0]
		f.want("event, cause and runs", []any{d.Event, d.Cause, d.RunsLeft, d.Attached, d.Failures > 0}, []any{ServerRemoved, CauseSilent, 0, false, true})
		f.want("longer away than the grace", d.Away > reregistrationGrace, true)
	})
	t.Run("decisions beyond the bound are counted", func(t *testing.T) {
		f := newFixture(t, nil)
		for n := range maxDecisions + 3 {
			f.s.Register(f.now, testServer(ServerID(fmt.Sprint("s", n)), 16))
		}
		decisions, dropped := f.s.TakeServerDecisions()
		f.want("kept and dropped", []int{len(decisions), dropped}, []int{maxDecisions, 3})
	})
	t.Run("the oldest removals are forgotten", func(t *testing.T) {
		f := newFixture(t, nil)
		for n := range maxRemovals + 3 {
			id := ServerID(fmt.Sprint("s", n))
			f.s.Register(f.now, testServer(id, 16))
			f.s.ServerReplaced(f.now, testServer(id, 16))
		}
		f.s.TakeServerDecisions()
		f.s.Register(f.now, testServer("s0", 16))
		f.s.Register(f.now, testServer("s3", 16))
		decisions, _ := f.s.TakeServerDecisions()
		f.want("events", []ServerEvent{decisions[0].Event, decisions[1].Event}, []ServerEvent{ServerAdded, ServerReturned})
		f.want("removals", len(f.s.serverLog.removals), maxRemovals)
	})
}
