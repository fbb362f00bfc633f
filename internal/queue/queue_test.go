package queue

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// fixture is a queue whose clock, usage and weights are set by the test.
type fixture struct {
	now      time.Time
	usage    map[ident.TeamID]float64
	weight   map[ident.TeamID]float64
	maxItems int
	config   Config
	queue    *Queue[int]
}

func newFixture(tb testing.TB) *fixture {
	tb.Helper()
	f := &fixture{
		now: time.Unix(1_000_000, 0), usage: map[ident.TeamID]float64{}, weight: map[ident.TeamID]float64{}, maxItems: 1 << 20,
	}
	f.config = Config{
		MaxItems: func(ident.TeamID) int { return f.maxItems },
		Weight: func(t ident.TeamID) float64 {
			if s, ok := f.weight[t]; ok {
				return s
			}
			return 1
		},
		DominantShare: func(t ident.TeamID) float64 { return f.usage[t] },
		FleetCapacity: func() resource.Vector { return resource.Vector{CPU: resource.Cores(100), Slots: 100} },
		Now:           func() time.Time { return f.now },
	}
	q, err := New[int](f.config)
	if err != nil {
		tb.Fatal(err)
	}
	f.queue = q
	return f
}

// newItem returns an item that demands one core and one slot.
func newItem(key string, team ident.TeamID) Item[int] {
	return Item[int]{Key: key, Team: team, Demand: resource.Vector{CPU: 1000, Slots: 1}}
}

func (f *fixture) push(tb testing.TB, items ...Item[int]) {
	tb.Helper()
	for _, i := range items {
		if err := f.queue.Push(i); err != nil {
			tb.Fatal(err)
		}
	}
}

// offerAll returns the keys of the offered items in order, with each verdict given by the function.
func (f *fixture) offerAll(verdict func(Item[int]) Verdict) []string {
	var keys []string
	f.queue.Offer(func(i Item[int]) Verdict {
		keys = append(keys, i.Key)
		return verdict(i)
	})
	return keys
}

func takeAll(Item[int]) Verdict { return Taken }

func skipAll(Item[int]) Verdict { return Skip }

// newLargeItem returns an item that demands ten cores, which is half of a host of 20 cores, and one slot.
func newLargeItem(key string, team ident.TeamID) Item[int] {
	i := newItem(key, team)
	i.Demand.CPU = resource.Cores(10)
	return i
}

func (f *fixture) wantOffered(t *testing.T, verdict func(Item[int]) Verdict, want ...string) {
	t.Helper()
	if got := f.offerAll(verdict); !slices.Equal(got, want) {
		t.Fatalf("offered %v, want %v", got, want)
	}
}

func TestQueue(t *testing.T) {
	// The comment above a case names the failure that it guards against.
	cases := map[string]func(t *testing.T, f *fixture){
		// A team whose items fill the daemon's memory.
		"the maximum number of items per team": func(t *testing.T, f *fixture) {
			f.maxItems = 1
			f.push(t, newItem("a", "a"), newItem("b", "b"))
			if err := f.queue.Push(newItem("c", "a")); !errors.Is(err, ErrFull) {
				t.Fatalf("got %v", err)
			}
			if err := f.queue.Requeue(newItem("c", "a")); err != nil { // requeued work must not be lost
				t.Fatal(err)
			}
		},
		// A request that is submitted again and runs twice.
		"a key is queued only once": func(t *testing.T, f *fixture) {
			f.push(t, newItem("a", "a"))
			if err := f.queue.Push(newItem("a", "b")); !errors.Is(err, ErrDuplicate) {
				t.Fatalf("got %v", err)
			}
			f.offerAll(takeAll)
			f.push(t, newItem("a", "a"))
		},
		// Urgent work that waits behind other work of its team or of teams with a lower usage.
		"urgent items first, then by priority, then by time": func(t *testing.T, f *fixture) {
			f.usage["a"] = 0.5
			late, urgent, high := newItem("late", "a"), newItem("urgent", "a"), newItem("high", "a")
			late.Enqueued, urgent.Urgent, high.Priority = f.now.Add(time.Second), true, 9
			f.push(t, late, newItem("early", "a"), newItem("b", "b"), urgent, high)
			f.wantOffered(t, takeAll, "urgent", "b", "high", "early", "late")
		},
		// A team that takes everything between two usage reports.
		"taken items count as usage within a call": func(t *testing.T, f *fixture) {
			f.weight["b"] = 2
			for i := range 4 {
				f.push(t, newItem(fmt.Sprint("a", i), "a"), newItem(fmt.Sprint("b", i), "b"))
			}
			f.wantOffered(t, takeAll, "a0", "b0", "b1", "a1", "b2", "b3", "a2", "a3")
		},
		// A start that is refused before the offer has ended: the requeued task was rejected as a duplicate of the
		// offered item and was lost.
		"requeued after the end of the offer": func(t *testing.T, f *fixture) {
			f.push(t, newItem("a", "a"))
			waits, restored := make(chan struct{}), make(chan error, 1)
			f.queue.Offer(func(i Item[int]) Verdict {
				go func() {
					close(waits)
					f.queue.AwaitOffer()
					restored <- f.queue.Requeue(i)
				}()
				<-waits
				time.Sleep(10 * time.Millisecond) // enough time for a Requeue that doesn't wait to run first
				return Taken
			})
			if err := <-restored; err != nil || f.queue.Len() != 1 {
				t.Fatalf("requeued with error %v, %d items queued, want 1", err, f.queue.Len())
			}
			f.wantOffered(t, takeAll, "a")
		},
		// A team that takes everything between two usage reports with several calls, and a team that is charged
		// forever for items that have long ended.
		"pending usage lasts until the reported usage changes": func(t *testing.T, f *fixture) {
			first := func() string { return f.offerAll(func(Item[int]) Verdict { return Stop })[0] }
			f.push(t, newItem("a0", "a"), newItem("a1", "a"))
			f.queue.Offer(func(i Item[int]) Verdict {
				if i.Key == "a0" {
					return Taken
				}
				return Stop
			})
			f.push(t, newItem("b", "b"))
			f.usage["b"] = 0.001
			if got := first(); got != "b" {
				t.Fatalf("offered %s first before the usage report, want b", got)
			}
			f.usage["a"] = 0.0005
			if got := first(); got != "a1" {
				t.Fatalf("offered %s first after the usage report, want a1", got)
			}
		},
		// Work behind a block of items that can't be placed, which is never offered.
		"every item is offered eventually": func(t *testing.T, f *fixture) {
			for i := range 300 {
				f.push(t, newItem(fmt.Sprint(i), "a"))
			}
			seen := map[string]bool{}
			for range 80 {
				keys := f.offerAll(skipAll)
				if len(keys) > MaxSkips {
					t.Fatalf("%d items offered in one call", len(keys))
				}
				for _, k := range keys {
					seen[k] = true
				}
			}
			if len(seen) != 300 {
				t.Fatalf("%d of 300 items were offered", len(seen))
			}
		},
		// A call whose cost grows with the blocked items of all teams.
		"larger items aren't offered after SkipLarger": func(t *testing.T, f *fixture) {
			f.push(t, newItem("a0", "a"), newLargeItem("a1", "a"), newItem("b0", "b"), newLargeItem("b1", "b"))
			f.wantOffered(t, func(Item[int]) Verdict { return SkipLarger }, "a0")
		},
		// A team at its limit that blocks the others, or whose items are offered again and again.
		"SkipTeam ends the team's turn": func(t *testing.T, f *fixture) {
			f.push(t, newItem("a0", "a"), newItem("a1", "a"), newItem("b0", "b"))
			f.wantOffered(t, func(i Item[int]) Verdict {
				if i.Team == "a" {
					return SkipTeam
				}
				return Taken
			}, "a0", "b0")
		},
		// A large item that starves because small ones take each freed piece of capacity, and a fleet that idles for
		// an item that can never be placed.
		"an old large item holds back others for a limited time": func(t *testing.T, f *fixture) {
			f.push(t, newLargeItem("large", "a"), newItem("a1", "a"), newItem("b1", "b"))
			f.usage["b"] = 0.1
			onlySmall := func(i Item[int]) Verdict {
				if i.Key == "large" {
					return Skip
				}
				return Stop
			}
			f.wantOffered(t, onlySmall, "large", "a1")
			f.now = f.now.Add(DefaultHoldAfter + time.Second)
			f.wantOffered(t, onlySmall, "large")
			f.now = f.now.Add(DefaultHoldFor)
			f.wantOffered(t, onlySmall, "large", "b1")
			f.now = f.now.Add(DefaultHoldAfter)
			f.wantOffered(t, onlySmall, "large", "b1")
			f.now = f.now.Add(time.Second)
			f.wantOffered(t, onlySmall, "large")
		},
		// Two large items that take turns at holding back all other work forever.
		"there is a pause between holds": func(t *testing.T, f *fixture) {
			f.push(t, newLargeItem("large-a", "a"), newLargeItem("large-c", "c"), newItem("b1", "b"))
			f.usage["c"], f.usage["b"] = 0.1, 0.2
			f.offerAll(skipAll)
			idle := 0
			for range 100 {
				f.now = f.now.Add(time.Second)
				if !slices.Contains(f.offerAll(skipAll), "b1") {
					idle++
				}
			}
			if idle == 0 || idle > 100*int(DefaultHoldFor)/int(DefaultHoldFor+DefaultHoldAfter) {
				t.Fatalf("other work was held back in %d of 100 seconds", idle)
			}
		},
		// A caller that waits until its deadline for work that could not start in time.
		"an expected wait beyond the deadline is refused": func(t *testing.T, f *fixture) {
			for i := range 40 {
				f.push(t, newItem(fmt.Sprint(i), "a"))
			}
			for range 20 { // one start per second
				f.now = f.now.Add(time.Second)
				n := 0
				f.queue.Offer(func(Item[int]) Verdict {
					if n++; n > 1 {
						return Stop
					}
					return Taken
				})
			}
			if wait := f.queue.ExpectedWait("a", 0); wait < 18*time.Second || wait > 22*time.Second {
				t.Fatalf("expected wait %v with 20 items at one per second", wait)
			}
			hurried := newItem("hurried", "a")
			hurried.Deadline = f.now.Add(10 * time.Second)
			if err := f.queue.Push(hurried); !errors.Is(err, ErrTooLate) {
				t.Fatalf("got %v", err)
			}
			hurried.Priority = 1 // nothing is ahead of it
			f.push(t, hurried)
		},
		// A burst that is refused because there was little work before it.
		"idle time doesn't lower the start rate": func(t *testing.T, f *fixture) {
			for i := range 20 {
				f.now = f.now.Add(time.Minute)
				f.push(t, newItem(fmt.Sprint("slow", i), "a"))
				f.offerAll(takeAll)
			}
			for i := range 50 {
				i := newItem(fmt.Sprint("burst", i), "a")
				i.Deadline = f.now.Add(time.Second)
				f.push(t, i)
			}
		},
		// Callers that get no response, or a timeout for work that runs.
		"expired items are removed exactly once": func(t *testing.T, f *fixture) {
			soon, late := newItem("soon", "a"), newItem("late", "a")
			soon.Deadline, late.Deadline = f.now.Add(time.Second), f.now.Add(time.Minute)
			f.push(t, soon, late, newItem("never", "a"))
			if got := f.queue.RemoveExpired(f.now.Add(time.Second - 1)); len(got) != 0 {
				t.Fatalf("expired before the deadline: %v", got)
			}
			if got := f.queue.RemoveExpired(f.now.Add(time.Second)); len(got) != 1 || got[0].Key != "soon" {
				t.Fatalf("got %v", got)
			}
			if got := f.queue.RemoveExpired(f.now.Add(time.Hour)); len(got) != 1 || got[0].Key != "late" || f.queue.Len() != 1 {
				t.Fatalf("got %v", got)
			}
		},
		// A cancelled item that is started, or one that is both cancelled and started (invariant I6).
		"a removal waits for the verdict": func(t *testing.T, f *fixture) {
			for _, verdict := range []Verdict{Taken, Skip} {
				f.push(t, newItem("a", "a"))
				removed := make(chan bool, 1)
				f.queue.Offer(func(Item[int]) Verdict {
					go func() { removed <- f.queue.Remove("a") }()
					select {
					case got := <-removed:
						t.Errorf("removed %v before the verdict", got)
					case <-time.After(20 * time.Millisecond): // long enough to detect a removal that doesn't wait
					}
					return verdict
				})
				if got := <-removed; got != (verdict == Skip) || f.queue.Len() != 0 {
					t.Fatalf("verdict %v: removed %v, %d items left", verdict, got, f.queue.Len())
				}
			}
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(t, newFixture(t)) })
	}
}

// TestBytes guards against queued work that uses unlimited memory, against a team that takes all of it, and against
// bytes that stay counted after their item has left the queue.
func TestBytes(t *testing.T) {
	sized := func(key string, team ident.TeamID, bytes int64) Item[int] {
		i := newItem(key, team)
		i.Bytes, i.Deadline = bytes, time.Unix(1_000_100, 0)
		return i
	}
	quarters := func(f *fixture) {
		for i := range 4 {
			f.push(t, sized(fmt.Sprint(i), teamID(i), 25))
		}
	}
	for name, c := range map[string]struct {
		change func(f *fixture)
		team   ident.TeamID // team that pushes a further item of one byte
		full   bool
		bytes  int64 // counted before the further item
	}{
		"empty queue": {change: func(*fixture) {}},
		"full quarter of the team": {
			change: func(f *fixture) { f.push(t, sized("x", "a", 25)) },
			team:   "a", full: true, bytes: 25,
		},
		"full quarter of another team": {
			change: func(f *fixture) { f.push(t, sized("x", "a", 25)) },
			team:   "b", bytes: 25,
		},
		"full queue": {change: quarters, team: "b", full: true, bytes: 100},
		"after a removal": {
			change: func(f *fixture) { quarters(f); f.queue.Remove("2") },
			team:   "b", bytes: 75,
		},
		"after all items were taken": {change: func(f *fixture) { quarters(f); f.offerAll(takeAll) }, team: "b"},
		"after all items expired": {
			change: func(f *fixture) { quarters(f); f.queue.RemoveExpired(f.now.Add(time.Hour)) },
			team:   "b",
		},
		"after a requeue": {
			change: func(f *fixture) { quarters(f); _ = f.queue.Requeue(sized("x", "a", 9)) },
			team:   "b", full: true, bytes: 109,
		},
		"admitted work outside the queue": {
			change: func(f *fixture) { _ = f.queue.Admit("a", 25) },
			team:   "a", full: true, bytes: 25,
		},
		"work outside the queue doesn't expire": {
			change: func(f *fixture) { f.queue.AdjustBytes("a", 25); f.queue.RemoveExpired(f.now.Add(time.Hour)) },
			team:   "a", full: true, bytes: 25,
		},
		"released work outside the queue": {
			change: func(f *fixture) { _ = f.queue.Admit("a", 25); f.queue.AdjustBytes("a", -25) },
			team:   "a",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.queue.config.MaxBytes = 100
			c.change(f)
			if got := f.queue.Bytes(); got != c.bytes {
				t.Errorf("%d bytes are counted, want %d", got, c.bytes)
			}
			further := sized("further", c.team, 1)
			if err := f.queue.Push(further); errors.Is(err, ErrFull) != c.full || !c.full && err != nil {
				t.Errorf("push of a further item: %v", err)
			}
			further.Key, further.Admitted = "admitted", true
			if err := f.queue.Push(further); err != nil {
				t.Errorf("push of an item whose bytes were already admitted: %v", err)
			}
		})
	}
}
