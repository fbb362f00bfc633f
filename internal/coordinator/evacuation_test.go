package coordinator_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	evacuationPrefix = "requests/evacuate/"
	// evacuationBound is the longest time from the answered request until nothing starts any more.
	evacuationBound = 5 * time.Second
)

// evacuationCell is a cell with two servers in each of the data centres d1 and d2 that notes the starts in d1.
type evacuationCell struct {
	*testCell
	starts *atomic.Int64 // in d1
}

func newEvacuationCell(t *testing.T) *evacuationCell {
	c := &evacuationCell{newCell(t, 0, 50*time.Millisecond), &atomic.Int64{}}
	c.evacuationPrefix = evacuationPrefix
	for i := range 4 {
		v := testServer(i)
		v.DataCentre = ident.DataCentre("d" + strconv.Itoa(1+i%2))
		c.fleet.Add(v)
		c.register(v)
	}
	all := c.serverClient
	c.serverClient.Start = func(ctx context.Context, f sched.FencingToken, cmd sched.StartCommand) (time.Duration, error) {
		if !coordinator.MaySend(ctx) {
			return 0, coordinator.ErrNotSent
		}
		if cmd.Server.ID == "s0" || cmd.Server.ID == "s2" { // a command to a proxy doesn't name the data centre
			c.starts.Add(1)
		}
		return all.Start(ctx, f, cmd)
	}
	return c
}

func (c *evacuationCell) lead(name ident.MemberID) *daemon {
	d := c.start(name, 0)
	c.await("leader "+string(name), 5*time.Second, func() bool { return d.leader() == name && d.configured() })
	return d
}

// submitUntil submits jobs until a condition holds, and fails the test if it doesn't within the limit.
func (c *evacuationCell) submitUntil(d *daemon, first int, what string, limit time.Duration, ok func() bool) int {
	c.t.Helper()
	next := first
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %s waiting for: %s", limit, what)
		}
		d.submit(jobID(next), 1)
		next++
	}
	return next
}

// checkNoStarts submits jobs for a second and reports starts in d1.
func (c *evacuationCell) checkNoStarts(d *daemon, first int) int {
	c.t.Helper()
	before, end := c.starts.Load(), time.Now().Add(time.Second)
	next := c.submitUntil(d, first, "the end of the check", 5*time.Second, func() bool { return time.Now().After(end) })
	if n := c.starts.Load() - before; n > 0 {
		c.t.Errorf("%d starts in the evacuated data centre", n)
	}
	return next
}

// Guards against starts in a data centre whose evacuation was requested while a leader watched, or was compacted away, and against
// servers that stay unused after the withdrawal, also when the same one is requested again.
func TestEvacuationRequestedOfALeader(t *testing.T) {
	t.Parallel()
	c := newEvacuationCell(t)
	a := c.lead("a")
	n := c.submitUntil(a, 0, "starts in d1", 5*time.Second, func() bool { return c.starts.Load() > 0 })
	for round, value := range []string{"{}", "not JSON"} {
		c.store.Put(evacuationPrefix+"d1", []byte(value))
		if round == 1 {
			c.store.Compact()
		}
		time.Sleep(time.Second)
		n = c.checkNoStarts(a, n)
		c.store.Delete(evacuationPrefix + "d1")
		before := c.starts.Load()
		n = c.submitUntil(a, n, "starts in d1 after the withdrawal", 3*time.Second, func() bool { return c.starts.Load() > before })
	}
	for _, v := range c.fleet.Violations() {
		t.Error(v)
	}
}

// Guards against a start of the next leader before it has read the requests, also if the store fails at first.
func TestEvacuationAtATakeover(t *testing.T) {
	t.Parallel()
	c := newEvacuationCell(t)
	a := c.lead("a")
	c.store.Put(evacuationPrefix+"d1", []byte("{}"))
	time.Sleep(time.Second)
	n := c.checkNoStarts(a, 0)
	var faults atomic.Int64
	c.store.SetFault(func(call, key string) txstore.Fault {
		if call == "range" && key == evacuationPrefix && faults.Add(1) <= 3 {
			return txstore.Unavailable
		}
		return txstore.None
	})
	b := c.start("b", 0)
	a.stop()
	c.await("leader b", 10*time.Second, func() bool { return b.coordinator.Dump("").Leading && b.configured() })
	c.checkNoStarts(b, n)
	if starts := c.starts.Load(); starts > 0 {
		t.Errorf("%d starts in the evacuated data centre", starts)
	}
	if faults.Load() < 4 {
		t.Errorf("%d reads of the requests, want one after 3 failures", faults.Load())
	}
}

// Guards against a leader that the store turns away and that doesn't learn of a request or of its withdrawal, which other daemons can
// read.
func TestEvacuationOfALeaderThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	c := newEvacuationCell(t)
	cut := &atomic.Bool{}
	c.store.PauseLeases(true) // the leader's presence lease lasts
	a := c.startWithStore(cutStore{c.store, cut}, "a", 0)
	c.await("leader a", 5*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	b := c.start("b", time.Second)
	c.await("the views", 5*time.Second, func() bool {
		return b.leader() == "a" && b.configured() && len(a.coordinator.Dump("").Members) == 2
	})
	n := c.submitUntil(b, 0, "starts in d1", 5*time.Second, func() bool { return c.starts.Load() > 0 })
	cut.Store(true)
	c.store.Put(evacuationPrefix+"d1", []byte("{}"))
	time.Sleep(evacuationBound)
	n = c.checkNoStarts(b, n)
	if !a.coordinator.Dump("").Leading {
		t.Fatal("the leader that the store turns away no longer leads")
	}
	c.store.Delete(evacuationPrefix + "d1")
	before := c.starts.Load()
	n = c.submitUntil(b, n, "starts in d1 after the withdrawal", evacuationBound, func() bool { return c.starts.Load() > before })
	cut.Store(false)
	c.store.Put(evacuationPrefix+"d1", []byte("{}"))
	time.Sleep(evacuationBound)
	c.checkNoStarts(b, n)
}

// Guards against starts that proxies make in an evacuated data centre.
func TestEvacuationBeyondProxies(t *testing.T) {
	t.Parallel()
	c := newEvacuationCell(t)
	c.maxDirectServers = 0
	a := c.lead("a")
	for _, dc := range []ident.DataCentre{"d1", "d2"} {
		c.dataCentre = dc
		c.start(ident.MemberID("proxy-"+dc), time.Second)
	}
	time.Sleep(2 * time.Second) // the proxies get ready
	n := c.submitUntil(a, 0, "starts in d1", 5*time.Second, func() bool { return c.starts.Load() > 0 })
	c.store.Put(evacuationPrefix+"d1", []byte("{}"))
	time.Sleep(1500 * time.Millisecond)
	c.checkNoStarts(a, n)
}

// Guards against store calls for evacuations in an installation that doesn't promise them.
func TestNoEvacuationCallsWithoutThePrefix(t *testing.T) {
	t.Parallel()
	c := newEvacuationCell(t)
	c.evacuationPrefix = ""
	var calls atomic.Int64
	c.store.SetFault(func(_, key string) txstore.Fault {
		if key == "" {
			return txstore.None
		}
		if key == evacuationPrefix || key == evacuationPrefix+"d1" {
			calls.Add(1)
		}
		return txstore.None
	})
	c.store.Put(evacuationPrefix+"d1", []byte("{}"))
	a := c.lead("a")
	c.submitUntil(a, 0, "starts in d1", 5*time.Second, func() bool { return c.starts.Load() > 0 })
	if calls.Load() > 0 {
		t.Errorf("%d store calls", calls.Load())
	}
}
