package queue

import (
	"slices"
	"testing"
	"time"
)

// TestBaseline guards against a baseline that still orders by weight, priority or urgency, which would invalidate the
// comparison with the fair order.
func TestBaseline(t *testing.T) {
	f := newFixture(t)
	f.queue.config.Baseline = true
	for i, name := range []string{"first", "second", "third", "fourth"} {
		item := newItem(name, "large")
		if i%2 == 1 {
			item = newItem(name, "small")
		}
		item.Urgent, item.Priority = i == 3, i
		item.Enqueued = f.now.Add(time.Duration(i) * time.Second)
		f.push(t, item)
	}
	want := []string{"first", "second", "third", "fourth"}
	if got := f.offerAll(skipAll); !slices.Equal(got, want) {
		t.Errorf("skipped items were offered in the order %v, want %v", got, want)
	}
	if got := f.offerAll(takeAll); !slices.Equal(got, want) {
		t.Errorf("taken items were offered in the order %v, want %v", got, want)
	}
}
