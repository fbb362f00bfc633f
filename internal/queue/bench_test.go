package queue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

func teamID(i int) ident.TeamID { return ident.TeamID(fmt.Sprintf("team-%03d", i)) }

// newBacklog returns a queue with n items of the given number of teams.
func newBacklog(tb testing.TB, teams, n int) *fixture {
	f := newFixture(tb)
	for i := range n {
		f.push(tb, newItem(fmt.Sprint(i), teamID(i%teams)))
	}
	return f
}

// measureCPU starts to measure the CPU time of the calling thread, which other load on the machine affects less than
// the wall clock. It returns a function that reports the time per iteration.
func measureCPU(b *testing.B) func() {
	threadTime := func() float64 {
		const rusageThread = 1
		var u syscall.Rusage
		if err := syscall.Getrusage(rusageThread, &u); err != nil {
			b.Fatal(err)
		}
		return float64(u.Utime.Nano() + u.Stime.Nano())
	}
	runtime.LockOSThread()
	start := threadTime()
	return func() {
		b.ReportMetric((threadTime()-start)/float64(b.N), "cpu-ns/op")
		runtime.UnlockOSThread()
	}
}

// BenchmarkOffer measures a call that takes one item and a call that finds every item blocked. The number of hosts
// only determines the backlog, which is 40 items per host.
func BenchmarkOffer(b *testing.B) {
	for _, hosts := range []int{48, 800, 1600, 3200, 6300} {
		for _, teams := range []int{6, 110} {
			b.Run(fmt.Sprintf("take/hosts=%d/teams=%d", hosts, teams), func(b *testing.B) {
				f := newBacklog(b, teams, 40*hosts)
				defer measureCPU(b)()
				for b.Loop() {
					var got Item[int]
					f.queue.Offer(func(i Item[int]) Verdict {
						if got.Key != "" {
							return Stop
						}
						got = i
						return Taken
					})
					_ = f.queue.Push(got)
				}
			})
			b.Run(fmt.Sprintf("blocked/hosts=%d/teams=%d", hosts, teams), func(b *testing.B) {
				f := newBacklog(b, teams, 40*hosts)
				tried := 0
				defer measureCPU(b)()
				for b.Loop() {
					tried += f.queue.Offer(func(Item[int]) Verdict { return SkipLarger })
				}
				b.ReportMetric(float64(tried)/float64(b.N), "offers/op")
			})
		}
	}
}

// BenchmarkRemove removes a whole backlog in random order.
func BenchmarkRemove(b *testing.B) {
	for _, n := range []int{2_000, 20_000, 200_000} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			keys := make([]string, n)
			for at, i := range rand.New(rand.NewPCG(1, 1)).Perm(n) {
				keys[at] = fmt.Sprint(i)
			}
			var f *fixture
			for i := 0; b.Loop(); i++ {
				if i%n == 0 {
					b.StopTimer()
					f = newBacklog(b, 6, n)
					b.StartTimer()
				}
				f.queue.Remove(keys[i%n])
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

// BenchmarkMemory reports the heap bytes per queued item, without its value and the strings of its ids, and per team.
func BenchmarkMemory(b *testing.B) {
	const items, teams = 100_000, 5_000
	keys := make([]string, items)
	for i := range keys {
		keys[i] = fmt.Sprint(i)
	}
	names := make([]ident.TeamID, teams)
	for i := range names {
		names[i] = teamID(i)
	}
	for b.Loop() {
		f := newFixture(b)
		empty := heapBytes()
		for _, name := range names {
			f.push(b, newItem(string(name), name))
		}
		withTeams := heapBytes()
		for _, k := range keys {
			f.push(b, newItem(k, names[0]))
		}
		item := (heapBytes() - withTeams) / items
		b.ReportMetric(item, "B/item")
		b.ReportMetric((withTeams-empty)/teams-item, "B/team")
		runtime.KeepAlive(f)
	}
}

// orderResult is the outcome of one seeded workload under an order of the items.
type orderResult struct {
	urgent, small, large float64 // 95th percentile of the wait in seconds
	shareError           float64 // mean over teams and time of |used fraction - fair fraction| / fair fraction
}

// replayContention replays 15 minutes of work on 200 slots. Team a floods the queue with small items, team b submits
// large ones, team c urgent ones, and team d as many small ones as its fair fraction allows. It only counts slots,
// without hosts.
func replayContention(tb testing.TB, fair bool) orderResult {
	const slots, steps = 200, 9000 // steps of 0.1 s
	const fairFraction = 0.3625    // fair fraction of a and b, which always have work; c demands 0.025 and d 0.25
	f := newFixture(tb)
	f.queue.config.FleetCapacity = func() resource.Vector { return resource.Vector{CPU: slots * 1000, Slots: slots} }
	var arrivals []Item[int] // items in order of arrival, without a queue
	r := rand.New(rand.NewPCG(8, 8))
	used := map[ident.TeamID]int{}
	ends := map[int][]Item[int]{}
	total, next := 0, 0
	waits := map[string][]float64{}
	var distance, samples float64
	submit := func(team ident.TeamID, cores int64, urgent bool) {
		next++
		i := newItem(fmt.Sprint(next), team)
		i.Demand, i.Urgent, i.Enqueued = resource.Vector{CPU: resource.Cores(cores), Slots: resource.Count(cores)}, urgent, f.now
		if fair {
			f.push(tb, i)
		} else {
			arrivals = append(arrivals, i)
		}
	}
	for step := range steps {
		for _, i := range ends[step] {
			used[i.Team] -= int(i.Demand.Slots)
			total -= int(i.Demand.Slots)
		}
		delete(ends, step)
		if step%10 == 0 {
			for t, n := range used {
				f.usage[t] = float64(n) / slots
			}
		}
		if step%600 == 0 { // team a submits 2000 items each minute
			for range 2000 {
				submit("a", 1, false)
			}
		}
		if r.IntN(10) == 0 {
			submit("b", 40, false)
		}
		if r.IntN(10) == 0 {
			submit("c", 1, true)
		}
		if r.IntN(2) == 0 {
			submit("d", 1, false)
			submit("d", 1, false)
		}
		try := func(i Item[int]) Verdict {
			n := int(i.Demand.Slots)
			if total+n > slots {
				return Skip
			}
			total += n
			used[i.Team] += n
			at := step + 1 + int(r.ExpFloat64()*50)
			ends[at] = append(ends[at], i)
			name := "small"
			if i.Urgent {
				name = "urgent"
			} else if n > 1 {
				name = "large"
			}
			waits[name] = append(waits[name], f.now.Sub(i.Enqueued).Seconds())
			return Taken
		}
		if fair {
			f.queue.Offer(try)
		} else {
			for len(arrivals) > 0 && try(arrivals[0]) == Taken {
				arrivals = arrivals[1:]
			}
		}
		f.now = f.now.Add(100 * time.Millisecond)
		if step > 600 {
			for _, t := range []ident.TeamID{"a", "b"} {
				distance += math.Abs(float64(used[t])/slots-fairFraction) / fairFraction
				samples++
			}
		}
	}
	p95 := func(name string) float64 {
		w := waits[name]
		slices.Sort(w)
		return w[len(w)*95/100]
	}
	return orderResult{p95("urgent"), p95("small"), p95("large"), distance / samples}
}

// BenchmarkOrder compares the fair order with first come, first served on one seeded workload.
func BenchmarkOrder(b *testing.B) {
	for name, fair := range map[string]bool{"fair": true, "first-come": false} {
		b.Run(name, func(b *testing.B) {
			var c orderResult
			for b.Loop() {
				c = replayContention(b, fair)
			}
			b.ReportMetric(c.urgent, "s-urgent-p95")
			b.ReportMetric(c.small, "s-small-p95")
			b.ReportMetric(c.large, "s-large-p95")
			b.ReportMetric(100*c.shareError, "%share-distance")
		})
	}
}
