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

// mixed returns a demand like those of the quoting, swatch and rendering work.
func mixed(r *rand.Rand) resource.Vector {
	v := resource.Vector{
		CPU: resource.MilliCPU(250 * (1 + r.IntN(16))), Memory: resource.Megabytes(256 * (1 + r.IntN(32))),
		Slots: 1, Connections: 1 + resource.Count(r.IntN(4)),
	}
	if r.IntN(8) == 0 {
		v.GPUs = resource.Count(1 + r.IntN(2))
	}
	return v
}

// load places tasks until the given part of the slots is taken and returns them.
func (f *fixture) load(r *rand.Rand, hosts int, part float64) []Placed {
	return f.loadTeams(r, hosts, part, 110)
}

func (f *fixture) loadTeams(r *rand.Rand, hosts int, part float64, teams int) []Placed {
	var placed []Placed
	for i := range int(part * float64(hosts) * 8) {
		q := request(i, api.KindBatch, mixed(r))
		q.Team = ident.TeamID(fmt.Sprintf("team-%d", i%teams))
		if t, err := f.Pick(q); err == nil {
			placed = append(placed, t)
		}
	}
	return placed
}

// threadTime returns the CPU time of the calling thread, which other load on the machine affects less than the clock.
func threadTime(b *testing.B) float64 {
	const rusageThread = 1
	var u syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Nano() + u.Stime.Nano())
}

// measure reports the CPU time per iteration since it was called when the returned function is called.
func measure(b *testing.B) func() {
	runtime.LockOSThread()
	start := threadTime(b)
	return func() {
		b.ReportMetric((threadTime(b)-start)/float64(b.N), "cpu-ns/op")
		runtime.UnlockOSThread()
	}
}

// BenchmarkPick replaces random tasks of a fleet with three quarters of its slots taken: a release, then a choice.
func BenchmarkPick(b *testing.B) {
	for _, kind := range []api.Kind{api.KindRequest, api.KindService, api.KindBatch, api.KindAllAtOnce} {
		for _, n := range fleetSizes {
			for _, teams := range []int{6, 110} {
				b.Run(fmt.Sprintf("%s/hosts=%d/teams=%d", kind, n, teams), func(b *testing.B) {
					benchmarkPick(b, kind, n, teams)
				})
			}
		}
	}
}

func benchmarkPick(b *testing.B, kind api.Kind, n, teams int) {
	f := newFixture(b)
	f.fleet(n)
	r := rand.New(rand.NewPCG(7, 7))
	placed := f.loadTeams(r, n, 0.75, teams)
	requests := make([]Request, 4096)
	for i := range requests {
		requests[i] = request(1<<30+i, kind, mixed(r))
		requests[i].Job = ident.JobID(fmt.Sprintf("job-%d", i%100))
		requests[i].Team = ident.TeamID(fmt.Sprintf("team-%d", i%teams))
	}
	defer measure(b)()
	for i := 0; b.Loop(); i++ {
		at := i % len(requests)
		if i >= len(requests) { // its attempt was placed one round ago
			if p, ok := f.Find(requests[at].Attempt); ok {
				f.Release(p.Host, p.Task.Attempt)
			}
		} else if i < len(placed) {
			f.Release(placed[i].Host, placed[i].Task.Attempt)
		}
		_, _ = f.Pick(requests[at])
	}
}

// BenchmarkPickFull measures a refusal by a full fleet.
func BenchmarkPickFull(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newFixture(b)
			f.fleet(n)
			f.load(rand.New(rand.NewPCG(7, 7)), n, 2)
			q := request(1<<30, api.KindBatch, resource.Vector{CPU: resource.Cores(12), Memory: resource.Gigabytes(16), Slots: 1})
			for b.Loop() {
				if _, err := f.Pick(q); err == nil {
					b.Fatal("the fleet isn't full")
				}
			}
		})
	}
}

// BenchmarkVictims measures the search for lower work on a full fleet.
func BenchmarkVictims(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newFixture(b)
			f.fleet(n)
			for _, t := range f.load(rand.New(rand.NewPCG(7, 7)), n, 2) {
				f.Running(t.Host, t.Task.Attempt)
			}
			q := request(1<<30, api.KindRequest, resource.Vector{CPU: resource.Cores(12), Memory: resource.Gigabytes(16), Slots: 1})
			q.Priority = 50
			for b.Loop() {
				if _, err := f.Victims(q); err != nil {
					b.Fatal(err)
				}
				f.now = f.now.Add(VictimHold)
			}
		})
	}
}

// BenchmarkReserve measures the reservation and the cancellation of a gang of 64 tasks.
func BenchmarkReserve(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			f := newFixture(b)
			f.fleet(n)
			f.load(rand.New(rand.NewPCG(7, 7)), n, 0.5)
			q := request(1<<30, api.KindAllAtOnce, small)
			for b.Loop() {
				if held := f.Reserve("gang", q, 64, f.now.Add(VictimHold)); held != 64 {
					b.Fatal(held)
				}
				f.Cancel("gang")
			}
		})
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports the heap per attached host and per placed task, without the strings of the ids.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{800, 6300} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := newFixture(b)
				hosts := make([]backend.Inventory, n)
				empty := heap()
				f.fleet(n)
				attached := heap()
				placed := f.load(rand.New(rand.NewPCG(7, 7)), n, 0.75)
				count := len(placed)
				placed = nil
				loaded := heap()
				b.ReportMetric((attached-empty)/float64(n), "B/host")
				b.ReportMetric((loaded-attached)/float64(count), "B/task")
				runtime.KeepAlive(f)
				runtime.KeepAlive(hosts)
			}
		})
	}
}
