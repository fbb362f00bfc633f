package sched

import (
	"testing"
	"time"
)

// Guards against a best-effort run that goes on disturbing, or stays paused, as the command that was to change its speed was lost
// and the tail latency of the serving tasks gave no reason for another one.
func TestThrottleIsRepeated(t *testing.T) {
	const target = 100 * time.Millisecond
	for name, c := range map[string]struct {
		latency    time.Duration // after the command
		unanswered bool
		want       []int // speeds in the commands
	}{
		"answered":                  {target * 9 / 10, false, []int{30}},
		"unanswered":                {target * 9 / 10, true, []int{30, 30}},
		"unanswered, still over":    {2 * target, true, []int{30, 0}},
		"unanswered, latency fell":  {target / 10, true, []int{30, 55}},
		"answered, latency is over": {2 * target, false, []int{30, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("serving", Step{Count: 1, Demand: cores(1), LongRunning: true, TailTarget: target})
			f.addJob("filler", Step{Count: 1, Demand: cores(1), LongRunning: true, BestEffort: true})
			starts := f.takeStarts()
			f.want("starts", len(starts), 2)
			answer := func(latency time.Duration) {
				var running []ActiveRun
				for _, start := range starts {
					running = append(running, ActiveRun{Task: start.Task, Run: start.Run, Percent: 100, TailLatency: latency})
				}
				f.advanceTime(fallbackPollInterval)
				f.answerPoll("s1", Inventory{Running: running})
			}
			answer(2 * target)
			f.want("throttle commands", len(f.throttles), 1)
			if cmd := f.throttles[0]; c.unanswered {
				f.s.ThrottleUnanswered(f.now, cmd.Server.ID, cmd.Task, cmd.Run)
			}
			answer(c.latency)
			var speeds []int
			for _, cmd := range f.throttles {
				speeds = append(speeds, cmd.Percent)
			}
			f.want("speeds", speeds, c.want)
		})
	}
}
