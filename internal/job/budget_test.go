package job

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/clock"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TestWriteBudget guards against more writes than the budget allows, records that wait forever while limits are written,
// and an idle time that earns more than one burst.
func TestWriteBudget(t *testing.T) {
	cases := map[string]struct {
		otherWrites float64 // writes of other components per second
		idle        time.Duration
		want        int // writes in 100 s with a budget of 10 writes/s
	}{
		"no other writes":             {want: 1000 + budgetBurst},
		"other writes below the rate": {otherWrites: 5, want: 500 + budgetBurst},
		"other writes above the rate": {otherWrites: 50, want: 200 + budgetBurst},
		"after an idle hour":          {idle: time.Hour, want: 1000 + budgetBurst},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(0, 0)
			b := newBudget(10, 0, start)
			start = start.Add(c.idle)
			got := 0
			for i := range 2000 {
				at := time.Duration(i) * 50 * time.Millisecond
				b.refill(uint64(c.otherWrites*at.Seconds()), start.Add(at))
				for got <= 2*c.want && b.take(1) {
					got++
				}
			}
			if got < c.want-5 || got > c.want {
				t.Errorf("%d writes, want %d", got, c.want)
			}
		})
	}
}

// TestWritesAreBatched guards against one write per job, cancellation or result while the budget is exhausted: one write
// must record all changes made in the meantime.
func TestWritesAreBatched(t *testing.T) {
	store, clock := kv.New(kv.Config{}), clock.New(time.Unix(0, 0))
	b := newFixtureAt(t, "a", store, clock.Now, nil)
	writes := func() uint64 { return store.Counts()[platform.CallSwap] }
	create(t, b, api.Spec{Team: "t"})
	create(t, b, api.Spec{Team: "t"})
	if writes() != budgetBurst {
		t.Fatalf("%d writes, want %d", writes(), budgetBurst)
	}
	const jobs = 40
	ids := make(chan ident.JobID, jobs)
	for range jobs {
		go func() {
			j, err := b.table.Create(context.Background(), api.Spec{Team: "t"}, Policy{Kind: api.KindBatch})
			if err != nil {
				t.Error(err)
			}
			ids <- j.ID
		}()
	}
	waitFor(t, "the submissions", func() bool {
		b.table.mu.Lock()
		defer b.table.mu.Unlock()
		return len(b.table.pending) == jobs
	})
	const oneWrite = time.Second/8 - time.Millisecond
	clock.Advance(oneWrite)
	var results sync.WaitGroup
	results.Add(jobs / 2)
	for i := range jobs {
		id := <-ids
		if i%2 == 0 {
			if err := b.table.Cancel(context.Background(), id, "not needed"); err != nil {
				t.Fatal(err)
			}
			continue
		}
		w, _ := b.work(dispatch.Key{Job: id})
		w.OnDone(dispatch.Completion{Outcome: api.Answered}, results.Done)
	}
	if writes() != budgetBurst+1 {
		t.Fatalf("%d writes after %d submissions, want %d", writes(), jobs, budgetBurst+1)
	}
	clock.Advance(2 * oneWrite)
	results.Wait()
	if writes() != budgetBurst+2 {
		t.Fatalf("%d writes after the results were recorded, want %d", writes(), budgetBurst+2)
	}
	items, err := store.Store().List(context.Background(), batchKeyPrefix)
	if err != nil || len(items) != 1 {
		t.Fatalf("%d batch records, error %v; want 1 record", len(items), err)
	}
	counts := map[string]int{}
	r, err := decodeRecord(items[0].Value)
	for _, j := range r.Jobs {
		counts[fmt.Sprint(j.phase(), j.Cancelled)]++
	}
	if err != nil || counts["succeeded"] != jobs/2 || counts["queuednot needed"] != jobs/2 {
		t.Errorf("error %v, jobs in the record by phase and reason: %v", err, counts)
	}
}

// TestCancelsAreRateLimited guards against a burst of cancellations that uses all cores and delays the starts of other
// work.
func TestCancelsAreRateLimited(t *testing.T) {
	clock := clock.New(time.Unix(0, 0))
	b := newFixtureAt(t, "a", kv.New(kv.Config{}), clock.Now, nil)
	j := create(t, b, api.Spec{Team: "t"})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range cancelBurst + 1 {
		if err := b.table.Cancel(ended, j.ID, "not needed"); (err != nil) != (i == cancelBurst) {
			t.Errorf("cancellation %d with an ended context: error %v", i, err)
		}
	}
}
