package coordinator_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// lostWatchStore is a connection to the store that loses the reply to the first watch that shows a daemon as the leader.
type lostWatchStore struct {
	platform.TransactionalStore
	member ident.MemberID
	lost   *atomic.Bool
}

func (s lostWatchStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
	sent := time.Now()
	events, next, err := s.TransactionalStore.Watch(ctx, prefix, after, wait)
	leads := slices.ContainsFunc(events, func(e platform.Event) bool {
		var l coordinator.LeaderRecord
		return e.Key == "cell/leader" && json.Unmarshal(e.Value, &l) == nil && l.Member == s.member
	})
	if !leads || !s.lost.CompareAndSwap(false, true) {
		return events, next, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait + 500*time.Millisecond - time.Since(sent)):
	}
	return nil, 0, platform.ErrUnavailable
}

// Guards against tasks that run twice: a daemon that had taken over, but whose view of the cell didn't show this yet, told the former
// leader, which had lost the store, that it doesn't lead.
func TestSuccessorWithLateViewDoesNotConfirmFormerLeader(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2, time.Minute)
	all, cut, lost := c.serverClient, &atomic.Bool{}, &atomic.Bool{}
	c.serverClient = reaching(all, "s0")
	a := c.startWithStore(cutStore{c.store, cut}, "a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" })
	c.serverClient = reaching(all, "s1")
	b := c.startWithStore(lostWatchStore{c.store, "b", lost}, "b", 100*time.Millisecond)
	c.await("the view of b", 3*time.Second, func() bool { return b.leader() == "a" })
	c.mustSubmit(a, 1, 4)
	c.await("starts", 3*time.Second, func() bool { n, _ := c.fleet.StartCounts(); return n == 4 })
	cut.Store(true)
	c.await("restart of the tasks by the successor", 20*time.Second, func() bool { n, _ := c.fleet.StartCounts(); return n == 8 })
	if !lost.Load() {
		t.Error("no reply was lost")
	}
	for _, v := range c.fleet.Violations() {
		t.Error(v)
	}
}
