package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// bensalemLarge returns the load and the servers of Bensalem's large site, where one leader starts 2,000 tasks a second.
func bensalemLarge() ([]workload, []Server) {
	queue := func(id ident.QueueID, service ServiceID, priority int, stretch float64, target, decide time.Duration) Queue {
		return advisedQueue(id, service, priority, stretch, target, decide, 2*time.Second)
	}
	const ms = time.Millisecond
	kinds := []workload{
		{
			queue: queue("price", "quoting", 0, 1.5, 300*ms, 16*ms), rate: 66, burst: 2,
			steps: 2, width: 10, demand: demandOf(4.2, 0), work: 560 * ms, allowedPercent: 70,
		},
		{
			queue: queue("quote", "quoting", 2, 4, 3000*ms, 140*ms), rate: 4.2, burst: 1,
			steps: 2, width: 45, demand: demandOf(4.5, 0), work: 3600 * ms, allowedPercent: 45,
		},
		{
			queue: queue("hall", "floorplan", 1, 2.2, 1200*ms, 490*ms), rate: 8, burst: 1,
			steps: 1, width: 5, demand: demandOf(62, 0), gpus: []resource.Count{2, 4, 8, 8}, work: 5600 * ms, gang: true, allowedPercent: 30,
		},
		{
			queue: queue("zone", "floorplan", 2, 4, 3000*ms, 160*ms), rate: 7.2, burst: 1,
			steps: 1, width: 26, demand: demandOf(11, 1), work: 3800 * ms, allowedPercent: 45,
		},
	}
	var servers []Server
	add := func(service ServiceID, n int, capacity resource.Vector) {
		for i := range n {
			id := ServerID(fmt.Sprintf("%s%03d", service, i))
			servers = append(servers, Server{ID: id, Incarnation: 1, Address: string(id), Service: service, Capacity: capacity})
		}
	}
	add("quoting", 792, resource.Vector{CPU: resource.Cores(16), Memory: 1 << 30})
	add("floorplan", 308, resource.Vector{CPU: resource.Cores(128), Memory: 1 << 30, GPUs: 8})
	return kinds, servers
}

// BenchmarkLargeSite measures the processor time that the scheduler takes for ten seconds of load on Bensalem's large site, four of
// them a burst.
func BenchmarkLargeSite(b *testing.B) {
	const second = time.Second
	for b.Loop() {
		kinds, servers := bensalemLarge()
		p := newLoadSimulation(1, 147, kinds, servers)
		for _, k := range kinds {
			p.addArrivals(k, 10*second, 4*second, 8*second)
		}
		p.run(10 * second)
		counts := p.s.Counts()
		b.ReportMetric(float64(p.starts), "starts/op")
		b.ReportMetric(float64(counts.Polls), "polls/op")
		b.ReportMetric(float64(counts.Advice), "calls/op")
		b.ReportMetric(float64(counts.Passes), "passes/op")
		b.ReportMetric(float64(counts.ServersRead), "servers-read/op")
		for kind, w := range p.usefulShare() {
			if kind == "price" || kind == "quote" {
				b.ReportMetric(w, kind+"-worth")
			}
		}
	}
}

// Guards against an overload that feeds itself: many steps wait while few servers have room, and each of them asks its advisor about
// the same servers. In a burst on Bensalem's large site this doubled the advisor calls, each of which costs the leader as much as a
// start, and the leader read each server of the service hundreds of times a second for them.
func TestStepsAskNotAllAboutTheSameServer(t *testing.T) {
	const servers, steps = 100, 40
	queue := testQueue()
	queue.Advisor = &Advisor{BaseTime: 16 * time.Millisecond, TimePerServer: time.Millisecond, TicketValidity: 2 * time.Second}
	f := newFixture(t, nil)
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": queue}})
	for n := range servers {
		f.addServer(ServerID(fmt.Sprintf("s%03d", n)), 16)
	}
	for _, v := range f.s.servers {
		v.used = cores(14)
	}
	for n := range steps {
		id := ident.JobID(fmt.Sprintf("j%02d", n))
		f.s.AddJob(f.now, &Job{ID: id, Queue: queue, Steps: []Step{{Count: 1, Demand: cores(4)}}, Accepted: f.now}, Progress{}, false)
	}
	f.collectCommands()
	for _, request := range f.adviceRequests {
		f.s.AdviceReceived(f.now, request, map[ServerID]Ticket{request.Servers[0]: "t"}, f.now)
	}
	f.adviceRequests = nil
	f.s.servers["s099"].used = cores(12) // a run has ended there: room for one task
	f.now = f.now.Add(adviceRecheck)
	read := f.s.counts.ServersRead
	f.collectCommands()
	if n := len(f.adviceRequests); n != 1 {
		t.Errorf("%d steps ask their advisor while one server has room for one task, want 1", n)
	}
	if n := f.s.counts.ServersRead - read; n > steps*servers/10 {
		t.Errorf("%d servers read for %d waiting steps, want at most a tenth of all for each", n, steps)
	}
}

// Guards against a leader that reads all servers in each of 200 passes a second, to know of services that no waiting step asks for.
func TestPassReadsServersOnlyIfNeeded(t *testing.T) {
	f := newFixture(t, nil)
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": starvingQueue()}})
	f.addServer("s1", 1)
	f.want("services read for starved steps before one waits", len(f.s.starvation.usedShare), 0)
	f.s.AddJob(f.now, &Job{ID: "j", Queue: starvingQueue(), Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now}, Progress{}, false)
	f.s.Schedule(f.now)
	f.want("services read for starved steps while one waits", len(f.s.starvation.usedShare), 0)
	f.s.starvation.freeBudget = time.Second
	f.now = f.now.Add(starvedAfter)
	f.s.Tick(f.now)
	f.collectCommands()
	f.want("services read for starved steps once one is starved", len(f.s.starvation.usedShare), 1)
}

func starvingQueue() Queue {
	q := testQueue()
	q.Advisor = &Advisor{BaseTime: 16 * time.Millisecond, TicketValidity: 2 * time.Second}
	return q
}

// BenchmarkPassWithoutQueue measures what a pass costs on Bensalem's large site while no task waits.
func BenchmarkPassWithoutQueue(b *testing.B) {
	kinds, servers := bensalemLarge()
	p := newLoadSimulation(1, 1, kinds, servers)
	p.run(time.Second)
	for b.Loop() {
		p.s.passNeeded = true
		p.s.Schedule(p.now)
	}
}
