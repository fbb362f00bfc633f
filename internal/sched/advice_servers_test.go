package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// One task of a step waits while the fleet has capacity. Guards against repeated advisor calls about servers that can't
// run the task: on bensalem-quotes-grown scale-1 a long-running task was down for eleven seconds because the allowed servers
// ran its siblings, and on glwfse-spoke-grown scale-2 the last task of a step waited for twenty.
func TestAdviceNamesServersThatCanTakeTheTask(t *testing.T) {
	queue := testQueue()
	queue.Advisor = &Advisor{BaseTime: 100 * time.Millisecond, TimePerServer: time.Millisecond, TicketValidity: 2 * time.Second}
	step := Step{Count: 2, Demand: cores(1), MaxPerServer: 1, LongRunning: true}
	setUp := func(t *testing.T) (*fixture, *group) {
		f := newFixture(t, nil)
		f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": queue}})
		f.addServer("s1", 16)
		f.addServer("s2", 16)
		f.addServer("s3", 16)
		f.s.AddJob(f.now, &Job{ID: "j", Queue: queue, Steps: []Step{step}, Accepted: f.now}, Progress{}, false)
		f.s.Schedule(f.now)
		request, _ := f.s.NextAdviceRequest(f.now, 0, 0)
		request.Servers = []ServerID{"s1", "s2"}
		f.s.AdviceReceived(f.now, request, map[ServerID]Ticket{"s1": "1", "s2": "2"}, f.now)
		return f, f.s.jobs["j"].occurrences[0].groups[0]
	}
	selected := func(f *fixture, g *group) []ServerID {
		f.now = f.now.Add(3 * time.Second) // the tickets have expired
		f.s.now = f.now
		return f.s.selectServers(g, &queue)
	}
	for name, check := range map[string]func(*fixture, *group){
		"a server that runs as many siblings as MaxPerServer admits isn't selected": func(f *fixture, g *group) {
			f.s.start(g.tasks.at(0), f.s.servers["s1"], 1, "1")
			f.want("selected", selected(f, g), []ServerID{"s2"})
		},
		"servers without an answer are selected once no allowed server can run the task": func(f *fixture, g *group) {
			f.s.start(g.tasks.at(0), f.s.servers["s1"], 1, "1")
			f.s.servers["s2"].noStartsBefore = f.now.Add(10 * time.Second)
			f.want("selected", selected(f, g), []ServerID{"s3"})
		},
		"a cordoned server isn't selected": func(f *fixture, g *group) {
			f.s.servers["s1"].cordoned = true
			f.want("selected", selected(f, g), []ServerID{"s2"})
		},
		"a server that accepts starts again before the call ends is selected": func(f *fixture, g *group) {
			f.s.servers["s1"].noStartsBefore = f.now.Add(3*time.Second + 50*time.Millisecond)
			f.want("selected", selected(f, g), []ServerID{"s1", "s2"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, g := setUp(t)
			check(f, g)
		})
	}
}

// A stream of small urgent jobs keeps every connection to the advisor busy, beside one large job past its deadline. Guards
// against a job that never gets an advisor call and so never starts although servers are free: a job with an aborted gang
// was LOST on bensalem-quotes-grown trouble-2, seed 604994088780.
func TestStarvedStepIsAdvised(t *testing.T) {
	urgent, old := testQueue(), testQueue()
	urgent.ID, old.ID, old.Priority = "urgent", "old", 1
	urgent.Advisor = &Advisor{BaseTime: 10 * time.Millisecond, TicketValidity: 2 * time.Second}
	old.Advisor = &Advisor{BaseTime: 500 * time.Millisecond, TicketValidity: 2 * time.Second}
	f := newFixture(t, nil)
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"urgent": urgent, "old": old}})
	f.addServer("s1", 16)
	f.s.AddJob(f.now, &Job{
		ID: "old", Queue: old, Steps: []Step{{Count: 1, Demand: cores(16), Gang: true}}, Accepted: f.now.Add(-time.Hour),
	}, Progress{}, false)
	for n := range 2000 {
		id := ident.JobID(fmt.Sprintf("u%d", n))
		f.s.AddJob(f.now, &Job{ID: id, Queue: urgent, Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now}, Progress{}, false)
		f.now = f.now.Add(10 * time.Millisecond)
		f.s.Tick(f.now)
		f.s.Schedule(f.now)
		if request, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok && request.Job == "old" {
			return
		}
	}
	t.Error("no advisor call about the old job in 20 s")
}
