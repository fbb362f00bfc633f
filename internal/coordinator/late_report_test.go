package coordinator_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// lostJobStore is a connection to the store that loses the reply to the first watch that shows a job.
type lostJobStore struct {
	platform.TransactionalStore
	lost *atomic.Bool
}

func (s lostJobStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
	sent := time.Now()
	events, next, err := s.TransactionalStore.Watch(ctx, prefix, after, wait)
	if len(events) == 0 || !strings.HasPrefix(events[0].Key, "job/") || !s.lost.CompareAndSwap(false, true) {
		return events, next, err
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait + time.Second - time.Since(sent)):
	}
	return nil, 0, platform.ErrUnavailable
}

// Guards against tasks that run twice: the former leader, not yet suspended, started a job that was recorded after the takeover, and the
// successor took a later submission of the same job for a new one.
func TestRepeatedSubmissionWaitsForRunsOfFormerLeader(t *testing.T) {
	t.Parallel()
	c := newCell(t, 2, time.Minute)
	all, cut, lost := c.serverClient, &atomic.Bool{}, &atomic.Bool{}
	c.serverClient = reaching(all, "s0")
	a := c.startWithStore(cutStore{c.store, cut}, "a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" })
	c.serverClient = reaching(all, "s1")
	b := c.startWithStore(lostJobStore{c.store, lost}, "b", 0)
	c.await("the view of b", 3*time.Second, func() bool { return b.leader() == "a" && b.configured() })
	time.Sleep(500 * time.Millisecond)
	submit := func(d *daemon) {
		job := &sched.Job{Steps: []sched.Step{{Count: 1, Demand: resource.Vector{CPU: resource.Cores(1), Memory: 100}, Estimate: time.Minute}}}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		if r := d.gateway.Submit(ctx, request(jobID(0)), func(ident.JobID) (*sched.Job, error) { return job, nil }); r.Kind != entry.Accepted {
			t.Errorf("submission at %s: %v %s", d.member, r.Kind, r.Reason)
		}
	}
	cut.Store(true)
	c.await("leader b", 5*time.Second, func() bool { return b.leader() == "b" })
	time.Sleep(50 * time.Millisecond)
	submit(a)
	c.await("start by the former leader", time.Second, func() bool { n, _ := c.fleet.StartCounts(); return n == 1 })
	time.Sleep(2200 * time.Millisecond)
	submit(b)
	c.await("start by the successor", 20*time.Second, func() bool { n, _ := c.fleet.StartCounts(); return n >= 2 })
	if !lost.Load() {
		t.Error("no reply was lost")
	}
	for _, v := range c.fleet.Violations() {
		t.Error(v)
	}
}
