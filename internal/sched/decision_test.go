package sched

import (
	"testing"
	"time"
)

// Guards against second runs whose reason the log doesn't tell: each way to release a run gives a decision with its cause, and
// so does the end of a run that was released before.
func TestDecisionsTellWhyRunsAreReleased(t *testing.T) {
	startOne := func(f *fixture) StartCommand {
		f.addServer("s1", 16)
		f.addJob("a", Step{Count: 1, Demand: cores(1)})
		return f.takeStarts()[0]
	}
	lastDecision := func(f *fixture) Decision {
		decisions, dropped := f.s.TakeDecisions()
		if len(decisions) == 0 || dropped > 0 {
			f.Fatalf("%d decisions, %d dropped", len(decisions), dropped)
		}
		return decisions[len(decisions)-1]
	}
	loseLease := func(f *fixture) {
		for range 50 {
			f.s.PollFailed(f.now, "s1", f.s.servers["s1"].pollSerial)
			f.advanceTime(100 * time.Millisecond)
		}
	}
	for name, c := range map[string]struct {
		happen func(*fixture, StartCommand)
		cause  Cause
	}{
		"the lease expired": {func(f *fixture, _ StartCommand) { loseLease(f) }, CauseLeaseExpired},
		"the registration shows a restart": {func(f *fixture, _ StartCommand) {
			v := testServer("s1", 16)
			v.Incarnation = 2
			f.s.Register(f.now, v)
		}, CauseNewIncarnation},
		"a clock reading shows a restart": {func(f *fixture, _ StartCommand) {
			f.s.readClock(f.s.servers["s1"], f.now, time.Millisecond, nil)
		}, CauseClockWentBack},
		"another server responds": {func(f *fixture, _ StartCommand) { f.s.ServerReplaced(f.now, testServer("s1", 16)) }, CauseReplaced},
		"a poll doesn't list the run": {func(f *fixture, _ StartCommand) {
			f.advanceTime(10 * time.Millisecond)
			f.answerPoll("s1", Inventory{})
			f.advanceTime(time.Second)
			f.answerPoll("s1", Inventory{})
		}, CauseNotListed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			start := startOne(f)
			c.happen(f, start)
			d := lastDecision(f)
			f.want("server, run and cause", []any{d.Server, d.Run, d.Cause, d.Phase}, []any{"s1", start.Run, c.cause, "running"})
		})
	}
	t.Run("the end of a released run", func(t *testing.T) {
		f := newFixture(t, nil)
		start := startOne(f)
		loseLease(f)
		f.s.TakeDecisions()
		f.endRun(start, OutcomeDone)
		d := lastDecision(f)
		f.want("run, end and number", []any{d.Run, d.Outcome, d.Number, d.Cause}, []any{start.Run, OutcomeDone, 1, ""})
	})
	t.Run("decisions beyond the bound are counted", func(t *testing.T) {
		f := newFixture(t, nil)
		startOne(f)
		for range maxDecisions + 3 {
			f.s.decide(f.s.servers["s1"], Decision{})
		}
		decisions, dropped := f.s.TakeDecisions()
		f.want("kept and dropped", []int{len(decisions), dropped}, []int{maxDecisions, 3})
	})
}
