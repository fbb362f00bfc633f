package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// A team sends a burst of small urgent jobs, beside large jobs whose advisor calls take 40 times as long. Guards against
// urgent jobs that queue behind long calls, and against calls about servers without capacity. Both together made four of ten
// jobs of glwfse-spoke and bensalem-quotes trouble-3 too late to be of use.
func TestAdviceUnderBurst(t *testing.T) {
	queue := func(id ident.QueueID, priority int, decide time.Duration) Queue {
		q := testQueue()
		q.ID, q.Priority = id, priority
		q.Advisor = &Advisor{BaseTime: decide, TimePerServer: decide / 50, TicketValidity: 2 * time.Second}
		return q
	}
	urgent, slow := queue("urgent", 0, 10*time.Millisecond), queue("slow", 2, 400*time.Millisecond)
	setUp := func(t *testing.T) *fixture {
		f := newFixture(t, nil)
		f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"urgent": urgent, "slow": slow}})
		for _, id := range []ServerID{"s1", "s2", "s3"} {
			f.addServer(id, 16)
		}
		return f
	}
	add := func(f *fixture, id ident.JobID, q Queue, demand int64) {
		f.s.AddJob(f.now, &Job{ID: id, Queue: q, Steps: []Step{{Count: 1, Demand: cores(demand)}}, Accepted: f.now}, Progress{}, false)
		f.s.Schedule(f.now)
	}
	for name, check := range map[string]func(*fixture){
		"the urgent job comes first although it arrived last": func(f *fixture) {
			add(f, "a", slow, 1)
			add(f, "b", urgent, 1)
			request, _ := f.s.NextAdviceRequest(f.now, 0, 0)
			f.want("job", request.Job, "b")
		},
		"a call longer than the bound isn't returned": func(f *fixture) {
			add(f, "a", slow, 1)
			_, ok := f.s.NextAdviceRequest(f.now, 0, 100*time.Millisecond)
			f.want("call", ok, false)
		},
		"a step has one call in flight at a time": func(f *fixture) {
			add(f, "a", slow, 1)
			f.s.NextAdviceRequest(f.now, 0, 0)
			_, ok := f.s.NextAdviceRequest(f.now, 0, 0)
			f.want("second call", ok, false)
		},
		"a step that the advisor refused on all servers makes no more calls": func(f *fixture) {
			add(f, "a", slow, 16)
			request, _ := f.s.NextAdviceRequest(f.now, 0, 0)
			f.want("servers", len(request.Servers), 3)
			add(f, "full1", testQueue(), 4)
			f.s.AdviceReceived(f.now, request, map[ServerID]Ticket{}, f.now)
			f.collectCommands()
			f.want("calls after a refusal of all", len(f.adviceRequests), 0)
		},
		"a renewal selects the allowed servers with capacity": func(f *fixture) {
			add(f, "a", slow, 16)
			request, _ := f.s.NextAdviceRequest(f.now, 0, 0)
			f.s.AdviceReceived(f.now, request, map[ServerID]Ticket{"s1": "1", "s2": "2"}, f.now)
			g := f.s.jobs["a"].occurrences[0].groups[0]
			f.now = f.now.Add(3 * time.Second)
			f.s.Schedule(f.now)
			f.want("servers", f.s.selectServers(g, &slow), []ServerID{"s1", "s2"})
		},
	} {
		t.Run(name, func(t *testing.T) { check(setUp(t)) })
	}
}
