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
