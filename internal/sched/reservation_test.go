package sched

import (
	"testing"
	"time"
)

// Guards against a long-running task that never runs although a server has capacity: the server stayed reserved for a large
// long-running step that can't use it.
func TestServersAreNotReservedForStepsThatCannotUseThem(t *testing.T) {
	for name, step := range map[string]Step{
		"the server runs as many of its tasks as MaxPerServer admits": {Count: 2, Demand: cores(8), MaxPerServer: 1, LongRunning: true},
		"a long-running task leaves too little capacity":              {Count: 2, Demand: cores(9), LongRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("large", step)
			f.takeStarts()
			f.advanceTime(100 * time.Millisecond) // the older step ranks first
			f.addJob("j", Step{Count: 1, Demand: cores(2), LongRunning: true})
			for range 100 {
				f.advanceTime(100 * time.Millisecond)
				if _, ok := f.polls["s1"]; ok {
					f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
				}
				for _, cmd := range f.takeStarts() {
					if cmd.Task.Job == "j" {
						return
					}
				}
			}
			t.Error("the task wasn't started in 10 s")
		})
	}
}
