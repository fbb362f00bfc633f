package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// packingPolicy returns the index of a host that fits the demand, or -1.
type packingPolicy func(free []resource.Vector, demand resource.Vector) int

// randomFit chooses a random host that fits.
func randomFit(r *rand.Rand) packingPolicy {
	return func(free []resource.Vector, demand resource.Vector) int {
		for i, at := 0, r.IntN(len(free)); i < len(free); i++ {
			if h := (at + i) % len(free); demand.Fits(free[h]) {
				return h
			}
		}
		return -1
	}
}

// fullScan compares all hosts by the score of batch work.
func fullScan(capacity []resource.Vector) packingPolicy {
	return func(free []resource.Vector, demand resource.Vector) int {
		best, score := -1, worstScore
		c := hostSearch{request: &Request{Kind: api.KindBatch, Demand: demand}}
		for i := range free {
			if demand.Fits(free[i]) {
				if v := c.scoreOf(&host{free: free[i], capacity: capacity[i]}); v.less(score) {
					best, score = i, v
				}
			}
		}
		return best
	}
}

// skewedDemand returns a random demand: most are small, a few need most of a host or its GPUs.
func skewedDemand(r *rand.Rand) resource.Vector {
	v := resource.Vector{CPU: resource.Cores(1), Memory: resource.Gigabytes(1 + r.Int64N(4)), Slots: 1, Connections: 1}
	switch x := r.IntN(20); {
	case x < 2:
		v.CPU, v.Memory = resource.Cores(12), resource.Gigabytes(20)
	case x < 4:
		v.CPU, v.Memory, v.GPUs = resource.Cores(8), resource.Gigabytes(16), resource.Count(2+2*r.IntN(2))
	case x < 8:
		v.CPU, v.Memory = resource.Cores(4), resource.Gigabytes(8)
	}
	return v
}

// replayResult is the outcome of a replayed workload.
type replayResult struct {
	refused, refusedLarge, refusedGPU float64 // fraction of all tasks, of those with at least 12 cores, of those with GPUs
	used                              float64 // mean fraction of the CPU in use
}

// replay offers tasks for 7 of the 8 slots per host on average and lets each run for a random time.
func replay(n int, place func(i int, demand resource.Vector) (free func(), ok bool)) replayResult {
	r := rand.New(rand.NewPCG(11, 11))
	meanLifetime := float64(n) * 7
	type end struct {
		at   int
		free func()
		cpu  resource.MilliCPU
	}
	ends := map[int][]end{}
	steps := int(meanLifetime * 6)
	var all, large, gpu, refused, refusedLarge, refusedGPU, used float64
	var inUse, total resource.MilliCPU
	for i := range n {
		total += hostCapacity(i).CPU
	}
	for i := range steps {
		for _, e := range ends[i] {
			e.free()
			inUse -= e.cpu
		}
		delete(ends, i)
		demand := skewedDemand(r)
		at := i + 1 + int(r.ExpFloat64()*meanLifetime)
		free, ok := place(i, demand)
		if ok {
			inUse += demand.CPU
			ends[at] = append(ends[at], end{at, free, demand.CPU})
		}
		if i < steps/3 {
			continue
		}
		miss := 0.0
		if !ok {
			miss = 1
		}
		all++
		refused += miss
		if demand.CPU >= resource.Cores(12) {
			large++
			refusedLarge += miss
		}
		if demand.GPUs > 0 {
			gpu++
			refusedGPU += miss
		}
		used += float64(inUse) / float64(total)
	}
	return replayResult{refused / all, refusedLarge / large, refusedGPU / gpu, used / all}
}

// hostCapacity is the capacity of host i of the fixture.
func hostCapacity(i int) resource.Vector {
	if i%4 == 3 {
		return gpuHost
	}
	return cpuHost
}

func replayPool(tb testing.TB, n int) replayResult {
	f := newFixture(tb)
	f.attachHosts(n)
	return replay(n, func(i int, demand resource.Vector) (func(), bool) {
		t, err := f.Place(newRequest(i, api.KindBatch, demand))
		return func() { f.Release(t.Host, t.Task.Attempt) }, err == nil
	})
}

func replayPolicy(n int, policy func(capacity []resource.Vector) packingPolicy) replayResult {
	capacity := []resource.Vector{}
	for i := range n {
		capacity = append(capacity, hostCapacity(i))
	}
	free := append([]resource.Vector{}, capacity...)
	pack := policy(capacity)
	return replay(n, func(_ int, demand resource.Vector) (func(), bool) {
		h := pack(free, demand)
		if h < 0 {
			return nil, false
		}
		free[h] = free[h].Sub(demand)
		return func() { free[h] = free[h].Add(demand) }, true
	})
}

// BenchmarkPacking compares the index with random fit and with a full scan on one seeded workload.
func BenchmarkPacking(b *testing.B) {
	for _, n := range []int{48, 800} {
		policies := map[string]func(testing.TB) replayResult{
			"pool": func(tb testing.TB) replayResult { return replayPool(tb, n) },
			"random-fit": func(testing.TB) replayResult {
				return replayPolicy(n, func([]resource.Vector) packingPolicy { return randomFit(rand.New(rand.NewPCG(3, 3))) })
			},
			"full-scan": func(testing.TB) replayResult { return replayPolicy(n, fullScan) },
		}
		for _, name := range []string{"random-fit", "pool", "full-scan"} {
			b.Run(fmt.Sprintf("hosts=%d/%s", n, name), func(b *testing.B) {
				var p replayResult
				for b.Loop() {
					p = policies[name](b)
				}
				b.ReportMetric(100*p.refused, "%refused")
				b.ReportMetric(100*p.refusedLarge, "%large-refused")
				b.ReportMetric(100*p.refusedGPU, "%gpu-refused")
				b.ReportMetric(100*p.used, "%cpu-used")
			})
		}
	}
}
