package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// advisedFixture returns a fixture with idle servers of 16 cores and an advised queue.
func advisedFixture(t *testing.T, servers int, q Queue) *fixture {
	f := newFixture(t, nil)
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": q}})
	for i := range servers {
		f.addServer(ServerID(fmt.Sprintf("s%03d", i)), 16)
	}
	return f
}

// The load is a backlog of steps whose advisor calls are too long for a proxy that is reserved for short ones, on 350 servers.
// Guards against selecting and sorting all servers for each step, proxy and pass, only to find the call too long: on
// pecos-callout-grown quiet-1 that took half of the leader's processor time, and a third of the tasks waited for ever.
func TestLongCallsCostShortProxiesNothing(t *testing.T) {
	q := advisedQueue("quotes", "pool", 1, 2, time.Second, 80*time.Millisecond, 2*time.Second) // 114 ms for 30 servers
	f := advisedFixture(t, 350, q)
	for i := range 300 {
		id := ident.JobID(fmt.Sprintf("j%03d", i))
		f.s.AddJob(f.now, &Job{ID: id, Queue: q, Accepted: f.now, Steps: []Step{{Count: 20, Demand: cores(4)}}}, Progress{}, false)
	}
	f.s.Schedule(f.now)
	allocations := testing.AllocsPerRun(10, func() {
		if request, ok := f.s.NextAdviceRequest(f.now, 0, 100*time.Millisecond); ok {
			t.Errorf("a call of %s was chosen for a proxy with at most 100 ms", request.Cost)
		}
	})
	if allocations > 10 {
		t.Errorf("%.0f allocations to find that no call is short enough, want hardly any", allocations)
	}
}

// The load is a stream of steps that each need one advisor call, with proxies that ask for the next call as soon as one is
// answered. Guards against a second call for a step whose answer no scheduling pass has used yet: on pecos-callout-grown quiet-1
// 3,110 of 3,724 steps made two calls where one sufficed, and all 34 daemons were busy with calls while servers were half used.
func TestNoCallBeforeTheAnswerIsUsed(t *testing.T) {
	q := advisedQueue("quotes", "pool", 0, 2, time.Second, 10*time.Millisecond, 2*time.Second)
	f := advisedFixture(t, 40, q)
	f.s.AddJob(f.now, &Job{ID: "j", Queue: q, Accepted: f.now, Steps: []Step{{Count: 3, Demand: cores(2)}}}, Progress{}, false)
	f.s.Schedule(f.now)
	request, ok := f.s.NextAdviceRequest(f.now, 0, 0)
	if !ok {
		t.Fatal("no advisor call for a step without tickets")
	}
	granted := map[ServerID]Ticket{}
	for _, id := range request.Servers[:10] {
		granted[id] = "t"
	}
	f.now = f.now.Add(16 * time.Millisecond)
	f.s.AdviceReceived(f.now, request, granted, f.now)
	if again, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok {
		t.Errorf("a second call about %d servers before a pass used the answer", len(again.Servers))
	}
	f.s.Schedule(f.now)
	if again, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok {
		t.Errorf("a second call about %d servers after all tasks were started", len(again.Servers))
	}
}
