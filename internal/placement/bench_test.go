package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

var fleetSizes = []int{48, 800, 1600, 3200, 6300}

// mixedDemand returns a random demand like those of the quoting, swatch and rendering work.
func mixedDemand(r *rand.Rand) resource.Vector {
	v := resource.Vector{
		CPU: resource.MilliCPU(250 * (1 + r.IntN(16))), Memory: resource.Megabytes(256 * (1 + r.IntN(32))),
		Slots: 1, Connections: 1 + resource.Count(r.IntN(4)),
	}
	if r.IntN(8) == 0 {
		v.GPUs = resource.Count(1 + r.IntN(2))
	}
	return v
}

// fill places batch tasks until the given fraction of the slots is taken and returns them.
func (f *fixture) fill(r *rand.Rand, hosts int, part float64) []PlacedAttempt {
	return f.fillForTeams(r, hosts, part, 110)
}

// fillForTeams is like fill, but distributes the tasks over the given number of teams.
func (f *fixture) fillForTeams(r *rand.Rand, hosts int, part float64, teams int) []PlacedAttempt {
	var placed []PlacedAttempt
	for i := range int(part * float64(hosts) * 8) {
		q := newRequest(i, api.KindBatch, mixedDemand(r))
		q.Team = ident.TeamID(fmt.Sprintf("team-%d", i%teams))
		if t, err := f.Place(q); err == nil {
			placed = append(placed, t)
		}
	}
	return placed
}

// threadTime returns the CPU time of the calling thread, which other load on the machine affects less than the wall
// clock.
func threadTime(b *testing.B) float64 {
	const rusageThread = 1
	var u syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Nano() + u.Stime.Nano())
}

// measureCPU starts to measure CPU time and returns a function that reports the CPU time per iteration.
func measureCPU(b *testing.B) func() {
	runtime.LockOSThread()
	start := threadTime(b)
	return func() {
		b.ReportMetric((threadTime(b)-start)/float64(b.N), "cpu-ns/op")
		runtime.UnlockOSThread()
	}
}

// BenchmarkPlace measures a release and a placement on a fleet with three quarters of its slots taken.
func BenchmarkPlace(b *testing.B) {
	for _, kind := range []api.Kind{api.KindRequest, api.KindService, api.KindBatch, api.KindAllAtOnce} {
		for _, n := range fleetSizes {
			for _, teams := range []int{6, 110} {
				b.Run(fmt.Sprintf("%s/hosts=%d/teams=%d", kind, n, teams), func(b *testing.B) {
					benchmarkPlace(b, kind, n, teams)
				})
			}
		}
	}
}

func benchmarkPlace(b *testing.B, kind api.Kind, n, teams int) {
	f := newFixture(b)
	f.attachHosts(n)
	r := rand.New(rand.NewPCG(7, 7))
	placed := f.fillForTeams(r, n, 0.75, teams)
	requests := make([]Request, 4096)
	for i := range requests {
		requests[i] = newRequest(1<<30+i, kind, mixedDemand(r))
		requests[i].Job = ident.JobID(fmt.Sprintf("job-%d", i%100))
		requests[i].Team = ident.TeamID(fmt.Sprintf("team-%d", i%teams))
	}
	defer measureCPU(b)()
	for i := 0; b.Loop(); i++ {
		at := i % len(requests)
		if i >= len(requests) { // its attempt was placed in the previous round
			if p, ok := f.Find(requests[at].Attempt); ok {
				f.Release(p.Host, p.Task.Attempt)
			}
		} else if i < len(placed) {
			f.Release(placed[i].Host, placed[i].Task.Attempt)
		}
		_, _ = f.Place(requests[at])
	}
}

// BenchmarkPlaceOnFullFleet measures a placement that is refused because the fleet is full.
func BenchmarkPlaceOnFullFleet(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newFixture(b)
			f.attachHosts(n)
			f.fill(rand.New(rand.NewPCG(7, 7)), n, 2)
			q := newRequest(1<<30, api.KindBatch, resource.Vector{CPU: resource.Cores(12), Memory: resource.Gigabytes(16), Slots: 1})
			for b.Loop() {
				if _, err := f.Place(q); err == nil {
					b.Fatal("placed a task on a full fleet")
				}
			}
		})
	}
}

// BenchmarkVictims measures the search for lower-priority work on a full fleet.
func BenchmarkVictims(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newFixture(b)
			f.attachHosts(n)
			for _, t := range f.fill(rand.New(rand.NewPCG(7, 7)), n, 2) {
				f.ConfirmStart(t.Host, t.Task.Attempt)
			}
			q := newRequest(1<<30, api.KindRequest, resource.Vector{CPU: resource.Cores(12), Memory: resource.Gigabytes(16), Slots: 1})
			q.Priority = 50
			for b.Loop() {
				if _, err := f.SelectVictims(q); err != nil {
					b.Fatal(err)
				}
				f.now = f.now.Add(PreemptionWindow)
			}
		})
	}
}

// BenchmarkReserve measures the reservation and the cancellation of a gang of 64 tasks.
func BenchmarkReserve(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newFixture(b)
			f.attachHosts(n)
			f.fill(rand.New(rand.NewPCG(7, 7)), n, 0.5)
			q := newRequest(1<<30, api.KindAllAtOnce, smallDemand)
			for b.Loop() {
				if held := f.ReserveGang("gang", q, 64, f.now.Add(PreemptionWindow)); held != 64 {
					b.Fatal(held)
				}
				f.CancelGang("gang")
			}
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap bytes per attached host and per placed task, without the strings of the ids.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{800, 6300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := newFixture(b)
				hosts := make([]backend.Inventory, n)
				empty := heapBytes()
				f.attachHosts(n)
				attached := heapBytes()
				placed := f.fill(rand.New(rand.NewPCG(7, 7)), n, 0.75)
				count := len(placed)
				placed = nil
				loaded := heapBytes()
				b.ReportMetric((attached-empty)/float64(n), "B/host")
				b.ReportMetric((loaded-attached)/float64(count), "B/task")
				runtime.KeepAlive(f)
				runtime.KeepAlive(hosts)
			}
		})
	}
}
