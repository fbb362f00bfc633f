package sched

import (
	"testing"
	"time"
)

// Guards against long-running tasks that are restarted on a server that was lost together with theirs: an idle server isn't polled,
// so its loss doesn't show until its registration lapses, and a start that it doesn't answer holds the task until its lease ends.
func TestLongRunningTaskAvoidsSilentIdleServer(t *testing.T) {
	for name, step := range map[string]Step{
		"task": {Count: 1, Demand: cores(1), LongRunning: true},
		"gang": {Count: 2, Demand: cores(1), LongRunning: true, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			f.advanceTime(5 * time.Second)
			f.addJob("a", step)
			f.want("starts on servers that were last heard from 5 s ago", len(f.starts), 0)
			silent, ok := f.polls["s1"]
			if !ok {
				t.Fatal("the server isn't polled before the start")
			}
			f.advanceTime(600 * time.Millisecond)
			f.s.PollFailed(f.now, "s1", silent.Serial)
			f.collectCommands()
			f.answerPoll("s2", Inventory{})
			f.advanceTime(100 * time.Millisecond)
			f.want("starts", len(f.starts), step.Count)
			for _, cmd := range f.starts {
				f.want("server", cmd.Server.ID, "s2")
			}
		})
	}
}
