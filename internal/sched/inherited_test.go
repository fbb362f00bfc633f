package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a task that runs twice after a takeover: its queue was sent to another service since its run started, and the
// leader didn't wait for the inventories of the former service.
func TestInheritedTasksWaitForServersOfTheFormerService(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
	queue := testQueue()
	queue.Service = "other"
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": queue}})
	accepted := &Job{ID: "j", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now.Add(-time.Minute)}
	f.s.AddJob(f.now, accepted, Progress{}, true)
	f.s.Register(f.now, testServer("s1", 16))
	other := testServer("s2", 16)
	other.Service = "other"
	f.s.Register(f.now, other)
	f.collectCommands()
	f.answerPoll("s2", Inventory{})
	f.want("starts while the inventory of s1 isn't known", len(f.takeStarts()), 0)
	f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: TaskID{Job: "j"}, Run: 5}}})
	f.advanceTime(time.Second)
	f.want("starts while the run goes on", len(f.takeStarts()), 0)
}

// Guards against a gang that isn't started again until its members of an older run have ended by themselves: a server listed them
// to a new leader before another one listed the newer run.
func TestOlderRunOfInheritedGangIsStopped(t *testing.T) {
	for name, order := range map[string][]ServerID{"older run listed first": {"s1", "s2"}, "newer run listed first": {"s2", "s1"}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
			f.s.AddJob(f.now, &Job{
				ID: "g", Queue: testQueue(), Steps: []Step{{Count: 2, Demand: cores(1), Gang: true}}, Accepted: f.now,
			}, Progress{}, true)
			listed := map[ServerID]ActiveRun{
				"s1": {Task: TaskID{Job: "g", Index: 0}, Run: 5},
				"s2": {Task: TaskID{Job: "g", Index: 1}, Run: 6},
			}
			for _, id := range order {
				f.s.Register(f.now, testServer(id, 16))
				f.collectCommands()
				f.answerPoll(id, Inventory{Running: []ActiveRun{listed[id]}})
			}
			f.want("stops", len(f.stops), 1)
			if len(f.stops) > 0 {
				f.want("stopped run", f.stops[0].Run, 5)
			}
		})
	}
}

// Guards against a best-effort run that stays paused for ever because the former leader had paused it for a serving task.
func TestInheritedBestEffortRunGetsFullSpeed(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
	f.s.AddJob(f.now, &Job{
		ID: "j", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1), BestEffort: true, LongRunning: true}}, Accepted: f.now,
	}, Progress{}, true)
	f.s.Register(f.now, testServer("s1", 16))
	f.collectCommands()
	for range 3 {
		f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: TaskID{Job: "j"}, Run: 5, Percent: 100}}})
		f.advanceTime(fallbackPollInterval)
	}
	f.want("throttle commands", len(f.throttles), 1)
	if len(f.throttles) > 0 {
		f.want("speed", f.throttles[0].Percent, 100)
	}
}
