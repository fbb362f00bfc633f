package sched

import (
	"testing"
	"time"
)

// Guards against steps that wait for a silent server after a takeover, up to 12 s for one with a long lease, although no former leader
// can have started them: the step before was still in progress when the former leaders sent no more commands.
func TestStepThatBecomesReadyAfterATakeover(t *testing.T) {
	first := TaskID{Job: "j"}
	plain, gang, speculative := Step{Count: 1}, Step{Count: 1, Gang: true}, Step{Count: 1, Speculative: true}
	// end reports the end of the first step on s2.
	end := func(f *fixture, run RunNumber) {
		f.answerPoll("s2", Inventory{Finished: []FinishedRun{{Number: 1, Task: first, Run: run, Outcome: OutcomeDone}}})
	}
	list := func(f *fixture) {
		f.answerPoll("s2", Inventory{Running: []ActiveRun{{Task: first, Run: 5, Percent: 10}}})
	}
	for name, c := range map[string]struct {
		step   Step
		report func(*fixture)
		waits  bool
	}{
		"first step listed after the overlap": {plain, func(f *fixture) {
			list(f)
			f.advanceTime(2500 * time.Millisecond)
			list(f) // reply to a poll that was sent during the overlap
			list(f)
			end(f, 5)
		}, false},
		"first step listed only by polls sent during the overlap": {plain, func(f *fixture) {
			list(f)
			f.advanceTime(2500 * time.Millisecond)
			list(f)
			end(f, 5)
		}, true},
		"first step not listed before its end": {plain, func(f *fixture) {
			f.advanceTime(2500 * time.Millisecond)
			end(f, 5)
		}, true},
		"first step is a gang": {gang, func(f *fixture) {
			list(f)
			f.advanceTime(2500 * time.Millisecond)
			list(f) // reply to a poll that was sent during the overlap
			list(f)
			end(f, 5)
		}, true},
		"first step is speculative": {speculative, func(f *fixture) {
			list(f)
			f.advanceTime(2500 * time.Millisecond)
			list(f) // reply to a poll that was sent during the overlap
			list(f)
			end(f, 5)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWithLongLeases(t, 1000)
			c.step.Demand = cores(1)
			f.s.AddJob(f.now, &Job{
				ID: "j", Team: "blue", Queue: testQueue(), Accepted: f.now,
				Steps: []Step{c.step, {Count: 2, Demand: cores(1), After: []int{0}}},
			}, Progress{}, true)
			f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16), LongLease: true})
			f.s.Register(f.now, testServer("s2", 16))
			f.collectCommands()
			c.report(f)
			f.want("first step done", f.s.jobs["j"].occurrences[0].groups[0].complete(), true)
			f.collectCommands()
			f.want("starts of the second step", len(f.starts), map[bool]int{false: 2}[c.waits])
		})
	}
}
