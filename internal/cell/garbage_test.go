package cell

import (
	"runtime/debug"
	"testing"
)

// TestLeaderCollectsGarbageLessOften guards against a leader that spends a fifth of its processor time on garbage collection, and
// against a former leader that keeps the larger heap.
func TestLeaderCollectsGarbageLessOften(t *testing.T) {
	present := func() int {
		percent := debug.SetGCPercent(leaderGCPercent)
		debug.SetGCPercent(percent)
		return percent
	}
	usual := present()
	setLeading := newGCTuner()
	setLeading(true)
	if got := present(); got != leaderGCPercent {
		t.Errorf("while leading: %d %%, want %d %%", got, leaderGCPercent)
	}
	setLeading(false)
	if got := present(); got != usual {
		t.Errorf("after the term: %d %%, want %d %% as before", got, usual)
	}
}
