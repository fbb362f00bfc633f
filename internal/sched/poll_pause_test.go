package sched

import (
	"testing"
	"time"
)

// The load is more ends of runs than the leader can handle one by one. Guards against polls that each report a single end: on
// bensalem-quotes-large quiet-1 polls took a seventh of the leader's processor time.
func TestPollPauseGrowsWithCommonDelay(t *testing.T) {
	for name, c := range map[string]struct{ common, want time.Duration }{
		"prompt replies": {common: 5 * time.Millisecond, want: pollPause},
		"late replies":   {common: 100 * time.Millisecond, want: 90 * time.Millisecond},
		"overload":       {common: 600 * time.Millisecond, want: maxPollPause},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("j", Step{Count: 2, Demand: cores(1)})
			starts := f.takeStarts()
			f.lateReplies(c.common, 300*time.Millisecond)
			f.collectCommands()
			f.endRun(starts[0], OutcomeDone)
			f.recordProgress()
			f.want("pause before the next poll", f.polls["s1"].Delay, c.want)
		})
	}
}
