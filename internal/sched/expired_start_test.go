package sched

import (
	"testing"
	"time"
)

// Guards against a task that never runs again: its start and all stops after it have no answer, while the server answers polls, so
// that neither a lease nor an answered stop ends the run.
func TestUnlistedRunIsGivenUpOnceItsStartHasExpired(t *testing.T) {
	for name, step := range map[string]Step{
		"batch":        {Count: 1, Demand: cores(1)},
		"long-running": {Count: 1, Demand: cores(1), LongRunning: true},
		"gang":         {Count: 1, Demand: cores(1), Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("j", step)
			f.addServer("s2", 16)
			f.want("starts", len(f.starts), 1)
			var (
				lastStart time.Time
				deadline  time.Duration // the latest of all starts, on the server's clock
			)
			for len(f.starts) > 0 {
				cmd := f.starts[0]
				f.starts, lastStart, deadline = f.starts[1:], f.now, max(deadline, cmd.Deadline)
				f.s.StartUnanswered(f.now, cmd.Server.ID, cmd.Task, cmd.Run, true)
				f.collectCommands()
			}
			for len(f.starts) == 0 && f.now.Sub(lastStart) < 10*time.Second {
				f.advanceTime(100 * time.Millisecond)
				for _, id := range []ServerID{"s1", "s2"} {
					if _, polled := f.polls[id]; polled {
						f.answerPoll(id, Inventory{})
					}
				}
			}
			f.want("starts", len(f.starts), 1)
			if clock := f.now.Sub(epochStart) + time.Hour; clock <= deadline {
				t.Errorf("started again %s before the deadline of the former start, which the server may still accept", deadline-clock)
			}
		})
	}
}
