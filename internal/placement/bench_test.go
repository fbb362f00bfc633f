package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
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
	var placed []Placed
	for i := range int(part * float64(hosts) * 8) {
		q := request(i, api.KindBatch, mixed(r))
		q.Team = ident.TeamID(fmt.Sprintf("team-%d", i%110))
		if t, err := f.Pick(q); err == nil {
			placed = append(placed, t)
		}
	}
	return placed
}

// BenchmarkPick replaces random tasks of a fleet with three quarters of its slots taken: a release, then a choice.
func BenchmarkPick(b *testing.B) {
	for _, kind := range []api.Kind{api.KindRequest, api.KindService, api.KindBatch, api.KindAllAtOnce} {
		for _, n := range fleetSizes {
			b.Run(fmt.Sprintf("%s/hosts=%d", kind, n), func(b *testing.B) {
				f := newFixture(b)
				f.fleet(n)
				r := rand.New(rand.NewPCG(7, 7))
				placed := f.load(r, n, 0.75)
				i := 1 << 30
				var full int
				for b.Loop() {
					i++
					at := r.IntN(len(placed))
					f.Release(placed[at].Host, placed[at].Task.Attempt)
					q := request(i, kind, mixed(r))
					q.Job = ident.JobID(fmt.Sprintf("job-%d", i%100))
					t, err := f.Pick(q)
					if err != nil {
						full++
						continue
					}
					placed[at] = t
				}
				b.ReportMetric(float64(full)/float64(b.N), "full/op")
			})
		}
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
