package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// A stream of small urgent jobs keeps every connection to the advisor busy. Guards against a long-running task of another queue
// that never runs although servers are free: an older step that no server could run was taken for the starved one in its place.
func TestStarvedStepIsAdvisedBehindStepsWithoutServers(t *testing.T) {
	for name, hopeless := range map[string]Step{
		"no server has its label":     {Count: 1, Demand: cores(1), Label: "none"},
		"no server is large enough":   {Count: 1, Demand: cores(64)},
		"a gang that no server holds": {Count: 3, Demand: cores(64), Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			urgent, starved := testQueue(), testQueue()
			urgent.ID, starved.ID, starved.Priority = "urgent", "starved", 1
			urgent.Advisor = &Advisor{BaseTime: 10 * time.Millisecond, TicketValidity: 2 * time.Second}
			starved.Advisor = &Advisor{BaseTime: 500 * time.Millisecond, TicketValidity: 2 * time.Second}
			f := newFixture(t, nil)
			f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"urgent": urgent, "starved": starved}})
			f.addServer("s1", 16)
			add := func(id ident.JobID, q Queue, step Step) {
				f.s.AddJob(f.now, &Job{ID: id, Queue: q, Steps: []Step{step}, Accepted: f.now}, Progress{}, false)
			}
			add("hopeless1", starved, hopeless)
			add("hopeless2", starved, hopeless)
			f.now = f.now.Add(10 * time.Millisecond)
			add("j", starved, Step{Count: 1, Demand: cores(1), LongRunning: true})
			for n := range 2000 {
				add(ident.JobID(fmt.Sprintf("u%d", n)), urgent, Step{Count: 1, Demand: cores(1)})
				f.now = f.now.Add(10 * time.Millisecond)
				f.s.Tick(f.now)
				f.s.Schedule(f.now)
				if request, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok && request.Job == "j" {
					return
				}
			}
			t.Error("no advisor call about the long-running job in 20 s")
		})
	}
}

// Guards against a starved step that gets no advisor call because calls ahead for steps that aren't ready were taken for starved
// and used up its share of the advisors' time.
func TestCallsAheadDoNotUseTheStarvedShare(t *testing.T) {
	f := newFixture(t, nil)
	q := queueWithAdvisor()
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": q}})
	f.addServer("s1", 16)
	add := func(id ident.JobID, steps ...Step) {
		f.s.AddJob(f.now, &Job{ID: id, Queue: q, Steps: steps, Accepted: f.now}, Progress{}, false)
	}
	add("two-steps", Step{Count: 1, Demand: cores(1), Estimate: 500 * time.Millisecond}, Step{Count: 1, Demand: cores(1), After: []int{0}})
	f.collectCommands()
	f.grantAll("")
	f.want("starts", len(f.takeStarts()), 1)
	add("starved", Step{Count: 1, Demand: cores(1), LongRunning: true})
	f.s.Schedule(f.now)
	f.s.jobs["starved"].occurrences[0].groups[0].readySince = f.now.Add(-2 * starvedAfter)
	f.s.starvation.budget = time.Second
	f.now = f.now.Add(100 * time.Millisecond)
	f.s.Tick(f.now)
	f.s.Schedule(f.now)
	request, _ := f.s.NextAdviceRequest(f.now, 0, 0)
	f.want("first call", request.Job, "starved")
	used := f.s.starvation.budget
	request, _ = f.s.NextAdviceRequest(f.now, 0, 0)
	f.want("second call", request.Job, "two-steps")
	f.want("use of the share by the second call", f.s.starvation.budget < used, false)
}
