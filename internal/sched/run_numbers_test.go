package sched

import (
	"testing"
	"time"
)

// startWithin lets time pass until a task is started, and returns the start and how long that took.
func (f *fixture) startWithin(limit time.Duration) (StartCommand, time.Duration) {
	f.Helper()
	from := f.now
	for f.now.Sub(from) <= limit {
		if len(f.starts) > 0 {
			return f.takeStarts()[0], f.now.Sub(from)
		}
		f.advanceTime(20 * time.Millisecond)
		if _, ok := f.polls["s1"]; ok && len(f.starts) == 0 {
			f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
		}
	}
	f.Fatalf("no start within %s", limit)
	return StartCommand{}, 0
}

// Guards against a task that is started some twenty times a second as it fails at once, which used up the run numbers of the term: the
// next leader's numbers were lower, and servers refused them. It guards as well against a pause that callers take for a lost task, and
// against one for a task that fails now and then.
func TestRestartsOfAFailingTaskPause(t *testing.T) {
	for name, c := range map[string]struct {
		step    Step
		outcome Outcome
	}{
		"long-running, failed": {Step{Count: 1, Demand: cores(1), LongRunning: true}, OutcomeFailed},
		"long-running, done":   {Step{Count: 1, Demand: cores(1), LongRunning: true}, OutcomeDone},
		"long-running gang":    {Step{Count: 1, Demand: cores(1), LongRunning: true, Gang: true}, OutcomeFailed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("j", c.step)
			starts, began := 0, f.now
			var longest time.Duration
			for f.now.Sub(began) < 10*time.Minute {
				cmd, waited := f.startWithin(10 * time.Second)
				starts++
				longest = max(longest, waited)
				f.now = f.now.Add(20 * time.Millisecond)
				f.endRun(cmd, c.outcome)
				f.recordProgress()
			}
			if starts > 400 || longest > 2500*time.Millisecond {
				t.Errorf("%d starts in 10 minutes, the longest pause is %s", starts, longest)
			}
			cmd, _ := f.startWithin(3 * time.Second) // a good run, and a failure after it
			for range 8 {
				f.advanceTime(time.Second)
				f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: cmd.Task, Run: cmd.Run, Percent: 100}}})
			}
			f.endRun(cmd, c.outcome)
			f.want("starts right after a failure that follows a good run", len(f.takeStarts()), 1)
		})
	}
}

// Guards against a task that waits for hundreds of refusals because its numbers are lower than those of a former leader, as after a former
// version has used up the range of its term.
func TestNumbersThatAreTooLowAreSkipped(t *testing.T) {
	for name, lowest := range map[string]RunNumber{"by hundreds": 1500, "by a day of restarts": 1_900_000} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.RunBase, o.RunRange = 1000, 4_096_000 })
			f.addServer("s1", 16)
			f.addJob("j", Step{Count: 1, Demand: cores(1), LongRunning: true})
			began, refusals := f.now, 0
			for f.now.Sub(began) < 6*time.Second {
				if len(f.starts) == 0 {
					f.advanceTime(20 * time.Millisecond)
					if _, ok := f.polls["s1"]; ok && len(f.starts) == 0 {
						f.answerPoll("s1", Inventory{})
					}
					continue
				}
				cmd := f.starts[0]
				f.starts = nil
				if cmd.Run > lowest {
					if refusals > 7 {
						t.Errorf("%d refusals", refusals)
					}
					return
				}
				refusals++
				f.s.StartRefused(f.now, f.now, "s1", cmd.Task, cmd.Run, RefusedOldRun, 0)
				f.collectCommands()
			}
			t.Errorf("no start above %d within 6 s, %d refusals", lowest, refusals)
		})
	}
}

// Guards against numbers of the next term's range, and against a server whose refusals end one term after the other.
func TestUsedUpRunNumbersEndTheTerm(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase, o.RunRange = 1000, 100 })
	f.addServer("s1", 16)
	f.addJob("j", Step{Count: 1, Demand: cores(1), LongRunning: true})
	for range 40 {
		if len(f.starts) > 0 {
			cmd := f.starts[0]
			f.starts = nil
			f.s.StartRefused(f.now, f.now, "s1", cmd.Task, cmd.Run, RefusedOldRun, 0)
		}
		f.advanceTime(100 * time.Millisecond)
	}
	f.want("term ended by refusals", f.s.RunNumbersUsedUp(), false)

	highest := RunNumber(0)
	for range 300 {
		f.advanceTime(2100 * time.Millisecond)
		if _, ok := f.polls["s1"]; ok {
			f.answerPoll("s1", Inventory{})
		}
		for _, cmd := range f.starts {
			highest = max(highest, cmd.Run)
			f.s.StartRefused(f.now, f.now, "s1", cmd.Task, cmd.Run, RefusedCapacity, 0)
		}
		f.starts = nil
	}
	f.want("term ended at the end of the range", f.s.RunNumbersUsedUp(), true)
	if highest > 1100 {
		t.Errorf("run number %d is in the range of the next term", highest)
	}
}
