package coordinator_test

import (
	"runtime/debug"
	"testing"
	"time"
)

// collectionPercent returns the garbage collector's growth target of the process.
func collectionPercent() int {
	percent := debug.SetGCPercent(100)
	debug.SetGCPercent(percent)
	return percent
}

// TestLeaderCollectsGarbageLessOften guards against a leader that spends a fifth of its processor time on garbage collection, and
// against a former leader that keeps the larger heap.
func TestLeaderCollectsGarbageLessOften(t *testing.T) {
	before := collectionPercent()
	c := newCell(t, 1, taskTime)
	d := c.start("a", 0)
	c.await("a leader", 5*time.Second, func() bool { return d.leader() == "a" && collectionPercent() > before })
	d.stop()
	c.await("the former target", 5*time.Second, func() bool { return collectionPercent() == before })
}
