package coordinator_test

import (
	"fmt"
	"testing"
	"time"
)

// TestOnLeading guards against settings of a leader that stay in force after its term, or never are.
func TestOnLeading(t *testing.T) {
	c := newCell(t, 1, taskTime)
	calls := make(chan bool, 8)
	c.onLeading = func(leading bool) { calls <- leading }
	d := c.start("a", 0)
	c.await("a leader", 5*time.Second, func() bool { return d.leader() == "a" && len(calls) == 1 })
	d.stop()
	close(calls)
	var got []bool
	for leading := range calls {
		got = append(got, leading)
	}
	if fmt.Sprint(got) != "[true false]" {
		t.Errorf("calls: %v, want true and then false", got)
	}
}
