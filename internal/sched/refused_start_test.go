package sched

import (
	"testing"
	"time"
)

// Guards against thousands of starts of a task that every server refuses, which would use up the run numbers of the term, so that the next
// leader repeats them; and against a pause that outlasts the refusals.
func TestRefusedStartsPause(t *testing.T) {
	t.Parallel()
	for _, reason := range []Refusal{RefusedOldRun, RefusedLeaseExpired} {
		for name, longRunning := range map[string]bool{"finite": false, "long-running": true} {
			t.Run(string(reason)+", "+name, func(t *testing.T) {
				l := newScriptedLosses(t, 8)
				for _, v := range l.live("pool") {
					l.script.refusals[v.info.ID] = reason
				}
				task := TaskID{Job: l.addJobWithStep("quotes", Step{Count: 1, Demand: cores(1), LongRunning: longRunning})}
				l.advance(time.Minute)
				if n := len(l.script.starts); n < 3 || n > 100 {
					t.Errorf("%d starts in a minute of refusals, want 3 to 100", n)
				}
				clear(l.script.refusals)
				l.advance(3 * time.Second)
				if l.serverOf(task) == nil && !l.everDone[task] {
					t.Errorf("the task hasn't started %v after the last refusal", 3*time.Second)
				}
			})
		}
	}
}
