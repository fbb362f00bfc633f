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
