package sched

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// uneven returns a share of the load and the servers of an installation whose tasks and servers differ, see docs/contention.md.
func uneven(share float64) ([]workload, []Server) {
	ms := time.Millisecond
	queue := func(id ident.QueueID, service ServiceID, priority int, stretch float64, target, decide time.Duration) Queue {
		return advisedQueue(id, service, priority, stretch, target, decide, 1500*ms)
	}
	kinds := []workload{
		{
			queue: queue("urgent", "first", 0, 1.5, 400*ms, 13*ms), rate: 28.3, burst: 1,
			steps: 2, width: 8, demand: demandOf(11, 0), work: 750 * ms, allowedPercent: 70,
		},
		{
			queue: queue("batch", "first", 2, 4, 3000*ms, 150*ms), rate: 1.86, burst: 1,
			steps: 2, width: 22, demand: demandOf(18, 0), work: 3800 * ms, allowedPercent: 45,
		},
		{
			queue: queue("small", "second", 2, 4, 3000*ms, 150*ms), rate: 4.04, burst: 1,
			steps: 1, width: 13, demand: demandOf(5.6, 1), work: 3200 * ms, allowedPercent: 45,
		},
	}
	for i := range kinds {
		kinds[i].rate *= share
	}
	var servers []Server
	add := func(service ServiceID, n int, capacity resource.Vector) {
		for i := range int(float64(n) * share) {
			id := ServerID(fmt.Sprintf("%s%03d", service, i))
			servers = append(servers, Server{ID: id, Incarnation: 1, Address: string(id), Service: service, Capacity: capacity})
		}
	}
	add("first", 252, resource.Vector{CPU: resource.Cores(64), Memory: 1 << 30})
	add("second", 98, resource.Vector{CPU: resource.Cores(64), Memory: 1 << 30, GPUs: 8})
	return kinds, servers
}

// longTask returns 7 for the given percentage of all tasks and 1 for the others.
func longTask(percent uint32) func(TaskID) float64 {
	return func(t TaskID) float64 {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, t)
		if rand.New(rand.NewPCG(uint64(h.Sum32()), 1)).Uint32N(100) < percent {
			return 7
		}
		return 1
	}
}

// stoppedRun is a run that the scheduler has stopped.
type stoppedRun struct {
	key  runKey
	took time.Duration
}

func (p *loadSimulation) workOf(t TaskID) float64 {
	if p.moreWork == nil {
		return 1
	}
	return p.moreWork(t)
}

func (v *simulatedServer) durationFactor() float64 {
	if v.speed > 0 {
		return max(v.slowdown, 1) / v.speed
	}
	return max(v.slowdown, 1)
}

// noteSuspicions calls a function for each suspected server, ten times a second.
func (p *loadSimulation) noteSuspicions(note func(ServerID)) {
	p.every(100*time.Millisecond, func() {
		for id, v := range p.s.servers {
			if v.suspicions > 0 {
				note(id)
			}
		}
	})
}

// 3 % of the tasks have 7 times the usual work on healthy servers. Guards against such tasks that are stopped as if their server were
// slow, which throws their work away, and against healthy servers that are quarantined for them.
func TestLongTasksUnderLoad(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		kinds, servers := uneven(0.3)
		p := newLoadSimulation(seed, 12, kinds, servers)
		long := map[TaskID]bool{}
		work := longTask(3)
		p.t, p.moreWork = t, func(id TaskID) float64 {
			if work(id) > 1 {
				long[id] = true
			}
			return work(id)
		}
		for _, k := range kinds {
			p.addArrivals(k, 30*time.Second, 0, 0)
		}
		suspected := map[ServerID]bool{}
		p.noteSuspicions(func(id ServerID) { suspected[id] = true })
		p.run(60 * time.Second)
		stops, lost := map[bool]int{}, map[bool]time.Duration{}
		for _, r := range p.stopped {
			stops[long[r.key.task]]++
			lost[long[r.key.task]] += r.took
		}
		t.Logf("seed %d: useful share %.3v, starts %d, long tasks %d, stopped %d, lost %v, others stopped %d, lost %v, suspected servers %d of %d",
			seed, p.usefulShare(), p.starts, len(long), stops[true], lost[true], stops[false], lost[false], len(suspected), len(servers))
		if 20*stops[true] > len(long) {
			t.Errorf("seed %d: %d stops of %d long tasks, want at most one for 20", seed, stops[true], len(long))
		}
		if 10*len(suspected) > len(servers) {
			t.Errorf("seed %d: %d of %d healthy servers were suspected, want at most a tenth", seed, len(suspected), len(servers))
		}
	}
}

// After 10 s of a load with long tasks, a few servers become 5 times slower. Guards against slow servers that pass for ones with long
// tasks. Slow runs of two jobs show a slow server, and it holds up to 8 tasks, so it must be found before it has ended 16.
func TestSlowServersBesideLongTasks(t *testing.T) {
	t.Parallel()
	const (
		slowFrom = 10 * time.Second
		maxEnds  = 16
	)
	for seed := range uint64(3) {
		kinds, servers := uneven(0.3)
		p := newLoadSimulation(seed, 12, kinds, servers)
		p.t, p.moreWork = t, longTask(3)
		for _, k := range kinds {
			p.addArrivals(k, 40*time.Second, 0, 0)
		}
		slow, found, ends := map[ServerID]uint64{}, map[ServerID]time.Duration{}, map[ServerID]uint64{}
		p.after(slowFrom, func() {
			for i, v := range servers {
				if i%20 == 3 {
					p.servers[v.ID].slowdown, slow[v.ID] = 5, p.servers[v.ID].lastEnd
				}
			}
		})
		p.noteSuspicions(func(id ServerID) {
			before, isSlow := slow[id]
			if _, known := found[id]; isSlow && !known {
				found[id], ends[id] = p.now.Sub(epochStart)-slowFrom, p.servers[id].lastEnd-before
			}
		})
		p.run(40 * time.Second)
		for id, before := range slow {
			if _, known := found[id]; !known {
				ends[id] = p.servers[id].lastEnd - before
			}
			if ends[id] > maxEnds {
				t.Errorf("seed %d: slow server %s ended %d runs before it was found, want at most %d", seed, id, ends[id], maxEnds)
			}
		}
		t.Logf("seed %d: found %v after ends %v", seed, found, ends)
	}
}
