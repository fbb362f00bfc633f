package sched

import (
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
