package sched

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// bensalem returns the load and the servers of Bensalem's two services. Six daemons make up to six advisor calls at once.
func bensalem() ([]workload, []Server) {
	queue := func(id ident.QueueID, service ServiceID, priority int, stretch float64, target, decide time.Duration) Queue {
		return advisedQueue(id, service, priority, stretch, target, decide, 2*time.Second)
	}
	ms := time.Millisecond
	kinds := []workload{
		{
			queue: queue("price", "quoting", 0, 1.5, 300*ms, 13*ms), rate: 13.5, burst: 3.5,
			steps: 2, width: 6, demand: demandOf(1.5, 0), work: 700 * ms, allowedPercent: 70,
		},
		{
			queue: queue("quote", "quoting", 2, 4, 3000*ms, 160*ms), rate: 0.64, burst: 2,
			steps: 2, width: 14, demand: demandOf(3.3, 0), work: 4500 * ms, allowedPercent: 45,
		},
		{
			queue: queue("hall", "floorplan", 1, 2.2, 1200*ms, 550*ms), rate: 1.84, burst: 2.2,
			steps: 1, width: 2, demand: demandOf(62, 0), gpus: []resource.Count{2, 4, 8, 8}, work: 3600 * ms, allowedPercent: 30,
		},
		{
			queue: queue("zone", "floorplan", 2, 4, 3000*ms, 170*ms), rate: 1.22, burst: 2,
			steps: 1, width: 6, demand: demandOf(11, 1), work: 3800 * ms, allowedPercent: 45,
		},
	}
	var servers []Server
	add := func(service ServiceID, n int, capacity resource.Vector) {
		for i := range n {
			id := ServerID(string(service) + string(rune('A'+i)))
			servers = append(servers, Server{ID: id, Incarnation: 1, Address: string(id), Service: service, Capacity: capacity})
		}
	}
	add("quoting", 35, resource.Vector{CPU: resource.Cores(16), Memory: 1 << 30})
	add("floorplan", 13, resource.Vector{CPU: resource.Cores(128), Memory: 1 << 30, GPUs: 8})
	return kinds, servers
}

// A burst of all kinds of jobs exceeds the capacity of the servers, with one advisor call at a time for each daemon.
// Guards against large jobs that are on time less than half as often as all jobs of their kind.
func TestLargeJobsUnderBurst(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		kinds, servers := bensalem()
		p := newLoadSimulation(seed, 6, kinds, servers)
		p.t = t
		for _, k := range kinds {
			p.addArrivals(k, 24*time.Second, 5*time.Second, 10*time.Second)
		}
		p.run(60 * time.Second)
		useful := p.usefulShare()
		t.Logf("seed %d: useful share %.2v, starts %d, calls %d", seed, useful, p.starts, p.s.Counts().Advice)
		for _, k := range kinds {
			id := string(k.queue.ID)
			if large, ok := useful[id+" large"]; ok && large < useful[id]/2 {
				t.Errorf("seed %d: useful share of large %s jobs is %.2f, of all %.2f", seed, id, large, useful[id])
			}
		}
	}
}

// A burst of large jobs fills one service, while the other one is mostly idle. Guards against jobs of the idle service that wait
// behind the advisor calls of the full one: 14 s after the last arrival none may be without a run for 3 s.
func TestFullServiceLeavesAdviceToIdleOne(t *testing.T) {
	const (
		arrivals = 34 * time.Second
		asked    = arrivals + 14*time.Second
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			kinds, servers := bensalem()
			p := newLoadSimulation(seed, 4, kinds, servers)
			for _, k := range kinds {
				k.rate *= 1.8
				k.burst = 1
				if k.queue.ID == "hall" {
					k.burst = 2.5
				}
				p.addArrivals(k, arrivals, 16*time.Second, 26*time.Second)
			}
			p.run(asked - 3*time.Second)
			waiting := p.needlesslyWaiting()
			for p.now.Sub(epochStart) < asked-100*time.Millisecond {
				p.run(p.now.Sub(epochStart) + 100*time.Millisecond)
				still := p.needlesslyWaiting()
				maps.DeleteFunc(waiting, func(g *group, _ bool) bool { return !still[g] })
			}
			if len(waiting) > 0 {
				t.Errorf("%d steps have nothing running, with most of their service free", len(waiting))
			}
		})
	}
}

// needlesslyWaiting returns the steps without a run whose service is less than half in use and has room for them.
func (p *loadSimulation) needlesslyWaiting() map[*group]bool {
	out := map[*group]bool{}
	for _, g := range p.s.groups {
		var used, whole resource.Vector
		room := 0
		for _, v := range p.s.services[g.job.queue.Service] {
			used, whole = used.Add(v.used), whole.Add(v.info.Capacity)
			if v.fits(g.step.Charge()) {
				room++
			}
		}
		if g.hasWaiting() && g.live() == 0 && 2*used.CPU < whole.CPU && 2*room > len(p.s.services[g.job.queue.Service]) {
			out[g] = true
		}
	}
	return out
}
