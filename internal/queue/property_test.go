package queue

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestCancellationWave guards against mass cancellations that lose items, allocate, or rewrite the backlog: a removal
// may change only the two neighbours in each of the two lists, which is checked for a sample. BenchmarkRemove measures
// the time.
func TestCancellationWave(t *testing.T) {
	const items = 20_000
	f := newFixture(t)
	for i := range items {
		item := newItem(fmt.Sprint(i), ident.TeamID(fmt.Sprint("team", i%6)))
		item.Deadline = f.now.Add(time.Duration(i%600) * time.Second)
		f.push(t, item)
	}
	snapshot := func() map[string]entry[int] {
		entries := map[string]entry[int]{}
		for i := range f.queue.keyShards {
			for k, e := range f.queue.keyShards[i].entries {
				entries[k] = *e
			}
		}
		return entries
	}
	for n, i := range rand.New(rand.NewPCG(1, 1)).Perm(items) {
		var before map[string]entry[int]
		if n%2000 == 0 {
			before = snapshot()
		}
		if !f.queue.Remove(fmt.Sprint(i)) || f.queue.Remove(fmt.Sprint(i)) {
			t.Fatalf("removal of %d: want true, then false", i)
		}
		if before == nil {
			continue
		}
		changed := 0
		for k, e := range snapshot() {
			if e != before[k] {
				changed++
			}
		}
		if changed > 4 {
			t.Fatalf("removal of %d changed %d other entries", i, changed)
		}
	}
	if f.queue.Len() != 0 || len(f.queue.TeamLengths()) != 0 || len(f.queue.RemoveExpired(f.now.Add(time.Hour))) != 0 {
		t.Fatalf("%d items left in the queue", f.queue.Len())
	}
}

// TestSharesConverge guards against an order that does not follow the weights: on a full fleet whose usage is reported
// once per second, every team must use its weight's fraction of the slots, also when one team submits large tasks.
func TestSharesConverge(t *testing.T) {
	const slots = 200
	f := newFixture(t)
	f.config.FleetCapacity = nil
	f.queue.config.FleetCapacity = func() resource.Vector { return resource.Vector{CPU: slots * 1000, Slots: slots} }
	weights := map[ident.TeamID]float64{"a": 1, "b": 2, "c": 5, "d": 2}
	maps.Copy(f.weight, weights)
	r := rand.New(rand.NewPCG(4, 4))
	type running struct {
		team ident.TeamID
		cpu  resource.MilliCPU
	}
	ends := map[int][]running{}
	used := map[ident.TeamID]resource.MilliCPU{}
	var total resource.MilliCPU
	mean := map[ident.TeamID]float64{}
	next := 0
	const steps, warmUp = 3000, 600 // steps of 0.1 s, and how many of them pass before usage is measured
	for step := range steps {
		for _, e := range ends[step] {
			used[e.team] -= e.cpu
			total -= e.cpu
		}
		delete(ends, step)
		if step%10 == 0 {
			for id := range weights {
				f.usage[id] = float64(used[id]) / (slots * 1000)
			}
		}
		for id := range weights {
			for f.queue.TeamLengths()[id] < 50 {
				next++
				item := newItem(fmt.Sprint(next), id)
				if id == "c" {
					item.Demand = resource.Vector{CPU: 4000, Slots: 4}
				}
				f.push(t, item)
			}
		}
		f.queue.Offer(func(i Item[int]) Verdict {
			if total+i.Demand.CPU > slots*1000 {
				return Skip
			}
			total += i.Demand.CPU
			used[i.Team] += i.Demand.CPU
			at := step + 1 + int(r.ExpFloat64()*50)
			ends[at] = append(ends[at], running{i.Team, i.Demand.CPU})
			return Taken
		})
		f.now = f.now.Add(100 * time.Millisecond)
		if step >= warmUp {
			for id := range weights {
				mean[id] += float64(used[id]) / (slots * 1000) / (steps - warmUp)
			}
		}
	}
	for id, w := range weights {
		if fairFraction := w / 10; math.Abs(mean[id]-fairFraction) > 0.1*fairFraction+0.01 {
			t.Errorf("team %s used %.3f of the fleet, its fair fraction is %.3f", id, mean[id], fairFraction)
		}
	}
}

// TestEveryItemEndsOnce guards against items that are lost, or both taken and cancelled (invariant I6), when pushes,
// removals, expiry and offers run concurrently.
func TestEveryItemEndsOnce(t *testing.T) {
	const items, workers = 4000, 4
	f := newFixture(t)
	start := f.now
	var ends [workers * items]atomic.Int32
	end := func(i Item[int]) { ends[i.Value].Add(1) }
	var pushers, others sync.WaitGroup
	var done atomic.Bool
	for w := range workers {
		pushers.Go(func() {
			r := rand.New(rand.NewPCG(uint64(w), 9))
			for i := range items {
				n := w*items + i
				item := newItem(fmt.Sprint(n), ident.TeamID(fmt.Sprint(n%7)))
				item.Value, item.Priority, item.Urgent = n, r.IntN(3), r.IntN(10) == 0
				item.Enqueued = start.Add(-time.Duration(r.IntN(1000)) * time.Millisecond)
				if r.IntN(4) == 0 {
					item.Deadline = start.Add(time.Duration(r.IntN(1000)) * time.Millisecond)
				}
				if f.queue.Push(item) != nil {
					end(item) // refused
				} else if r.IntN(3) == 0 && f.queue.Remove(item.Key) {
					end(item)
				}
			}
		})
	}
	others.Go(func() {
		for r := rand.New(rand.NewPCG(1, 9)); !done.Load(); {
			f.queue.Offer(func(i Item[int]) Verdict {
				switch r.IntN(8) {
				case 0:
					return SkipTeam
				case 1:
					return SkipLarger
				case 2, 3:
					return Skip
				}
				end(i)
				return Taken
			})
		}
	})
	others.Go(func() {
		for r := rand.New(rand.NewPCG(2, 9)); !done.Load(); {
			for _, i := range f.queue.RemoveExpired(start.Add(time.Duration(r.IntN(1000)) * time.Millisecond)) {
				end(i)
			}
			f.queue.Dump()
		}
	})
	pushers.Wait()
	done.Store(true)
	others.Wait()
	for f.queue.Len() > 0 {
		f.queue.Offer(func(i Item[int]) Verdict {
			end(i)
			return Taken
		})
	}
	for i := range ends {
		if n := ends[i].Load(); n != 1 {
			t.Fatalf("item %d ended %d times, want once", i, n)
		}
	}
	if n := f.queue.urgentCount.Load(); n != 0 {
		t.Fatalf("%d urgent items counted in an empty queue", n)
	}
}
