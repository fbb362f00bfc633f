package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// fixture is a queue with a clock and usages that the test sets.
type fixture struct {
	now    time.Time
	usage  map[ident.TeamID]float64
	share  map[ident.TeamID]float64
	bound  int
	config Config
	queue  *Queue[int]
}

func newFixture(tb testing.TB) *fixture {
	tb.Helper()
	f := &fixture{
		now: time.Unix(1_000_000, 0), usage: map[ident.TeamID]float64{}, share: map[ident.TeamID]float64{}, bound: 1 << 20,
	}
	f.config = Config{
		PerTeam: func(ident.TeamID) int { return f.bound },
		Share: func(t ident.TeamID) float64 {
			if s, ok := f.share[t]; ok {
				return s
			}
			return 1
		},
		Usage: func(t ident.TeamID) float64 { return f.usage[t] },
		Total: func() resource.Vector { return resource.Vector{CPU: resource.Cores(100), Slots: 100} },
		Now:   func() time.Time { return f.now },
	}
	q, err := New[int](f.config)
	if err != nil {
		tb.Fatal(err)
	}
	f.queue = q
	return f
}

func one(key string, team ident.TeamID) Item[int] {
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

// offered returns the keys in the order in which they are offered.
func (f *fixture) offered(verdict func(Item[int]) Verdict) []string {
	var keys []string
	f.queue.Next(func(i Item[int]) Verdict {
		keys = append(keys, i.Key)
		return verdict(i)
	})
	return keys
}

func taken(Item[int]) Verdict { return Taken }

func TestSmoke(t *testing.T) {
	f := newFixture(t)
	for i := range 10 {
		f.push(t, one(fmt.Sprintf("a%d", i), "a"), one(fmt.Sprintf("b%d", i), "b"))
	}
	if got := f.offered(taken); len(got) != 20 || f.queue.Len() != 0 {
		t.Fatal(got)
	}
	for i := range 100 {
		f.push(t, one(fmt.Sprintf("a%d", i), "a"))
	}
	seen := map[string]bool{}
	for range 40 {
		for _, k := range f.offered(func(Item[int]) Verdict { return Skip }) {
			seen[k] = true
		}
	}
	if len(seen) != 100 {
		t.Fatal(len(seen))
	}
}
