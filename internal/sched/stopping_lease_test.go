package sched

import (
	"testing"
	"time"
)

// Guards against a task that waits for the lease of a run that it doesn't need: a draining server answers polls, which renewed its lease,
// but no stops, and then falls silent, so that its long-running task waits for a lease from long after its stop.
func TestLeaseOfStoppedRunsIsNotRenewed(t *testing.T) {
	for name, c := range map[string]struct {
		step    Step // of a second job on the server
		renewed bool
	}{
		"all are stopped": {Step{Count: 1, Demand: cores(1), LongRunning: true}, false},
		"one goes on":     {Step{Count: 1, Demand: cores(1), Estimate: 2 * time.Second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("lasting", Step{Count: 1, Demand: cores(1), LongRunning: true})
			f.addJob("other", c.step)
			f.want("starts", len(f.takeStarts()), 2)
			f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
			draining := testServer("s1", 16)
			draining.Draining, draining.Remaining = true, time.Minute
			f.s.Register(f.now, draining)
			f.collectCommands()
			stopped, renewed := f.now, false
			for f.now.Sub(stopped) < 3*time.Second {
				f.advanceTime(100 * time.Millisecond)
				if poll, ok := f.polls["s1"]; ok {
					renewed = renewed || poll.Deadline > 0 && f.now.Sub(stopped) > time.Second
					f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
				}
			}
			f.want("lease renewed", renewed, c.renewed)
			if late := f.s.servers["s1"].leaseBound.Sub(stopped.Add(f.s.options.RunLease)); !c.renewed && late > time.Second {
				t.Errorf("the lease ends %s after that at the stop", late)
			}
		})
	}
}
