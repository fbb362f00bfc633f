package member

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// realInterval leaves a busy machine time for a call over HTTP within half of a lease.
	realInterval = 5 * testInterval
	realTTL      = time.Duration(ttlSteps) * realInterval
)

// waitLimit ends a test that never meets its condition; it is far above any wait of a passing test.
const waitLimit = 30 * time.Second

// waitFor waits for a condition.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	limit := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(limit) {
			for id, n := range c.nodes {
				c.t.Logf("%s: %+v", id, n.Dump())
			}
			c.t.Fatalf("not within %v: %s", waitLimit, what)
		}
		time.Sleep(testInterval / 4)
	}
}

// waitForMembers waits until the views of the given processes have exactly these members and states.
func (c *cluster) waitForMembers(want map[ident.MemberID]State, on ...ident.MemberID) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("the views of %v have the members %v", on, want), func() bool {
		for _, id := range on {
			if !maps.Equal(memberStates(c.node(id).View()), want) {
				return false
			}
		}
		return true
	})
}

// runLoops starts processes and their loops on the real clock. It returns a function that stops one process, and one that
// waits until a process has ended by itself.
func (c *cluster) runLoops(ids ...ident.MemberID) (stop, wait func(ident.MemberID) error) {
	c.startProcesses(time.Now, ids...)
	cancels, done := map[ident.MemberID]context.CancelFunc{}, map[ident.MemberID]chan error{}
	for _, id := range ids {
		ctx, cancel := context.WithCancel(context.Background())
		n, result := c.node(id), make(chan error, 1)
		cancels[id], done[id] = cancel, result
		go func() { result <- n.Run(ctx) }()
	}
	wait = func(id ident.MemberID) error {
		err := <-done[id]
		done[id] <- err
		return err
	}
	stop = func(id ident.MemberID) error {
		c.update(kill, id)
		cancels[id]()
		return wait(id)
	}
	c.t.Cleanup(func() {
		for _, id := range ids {
			if err := stop(id); err != nil && !errors.Is(err, ErrReplaced) {
				c.t.Errorf("%s: %v", id, err)
			}
		}
	})
	return stop, wait
}

// realTimeCases run the loops of Run on the real clock.
var realTimeCases = map[string]func(c *cluster){
	"members join at the same time and one dies": func(c *cluster) {
		stop, _ := c.runLoops(sfax...)
		c.waitForMembers(allActive(sfax...), sfax...)
		if err := stop("sfax-1"); err != nil {
			c.t.Fatal(err)
		}
		c.waitForMembers(allActive("sfax-2", "sfax-3"), "sfax-2", "sfax-3")
	},
	"replies of the joins are lost": func(c *cluster) {
		c.server.SetReplyLoss(0.5)
		c.runLoops(sfax...)
		c.waitForMembers(allActive(sfax...), sfax...)
		c.server.SetReplyLoss(0)
		v := c.node("sfax-1").View()
		if int(v.Epoch) != len(sfax) {
			c.t.Fatalf("epoch %d after %d joins", v.Epoch, len(sfax))
		}
	},
	"a slow store removes nobody": func(c *cluster) {
		c.runLoops(sfax...)
		c.waitForMembers(allActive(sfax...), sfax...)
		c.server.SetDelay(2 * realTTL) // every call times out, and the renewals still take effect
		c.waitFor("the outage is noticed", func() bool { return !c.node("sfax-1").StoreHealthy() })
		time.Sleep(2 * realTTL) // gives a wrong removal the time to happen
		c.server.SetDelay(0)
		c.waitFor("the recovery is noticed", func() bool { return c.node("sfax-1").health.healthyFor(realTTL) })
		if v := c.node("sfax-1").View(); int(v.Epoch) != len(sfax) {
			c.t.Fatalf("epoch %d with %v", v.Epoch, memberStates(v))
		}
	},
	"a second process with the same id ends the first": func(c *cluster) {
		_, wait := c.runLoops("sfax-1")
		c.waitForMembers(allActive("sfax-1"), "sfax-1")
		old := c.node("sfax-1")
		c.runLoops("sfax-1", "sfax-2")
		c.waitForMembers(allActive("sfax-1", "sfax-2"), "sfax-1", "sfax-2")
		if err := wait("sfax-1"); !errors.Is(err, ErrReplaced) {
			c.t.Fatalf("error %v, want %v", err, ErrReplaced)
		}
		if old.Joined() || old.removals != 1 {
			c.t.Fatalf("%d calls of OnRemoved, dump %+v", old.removals, old.Dump())
		}
	},
	"the steady state needs few store calls": func(c *cluster) {
		c.runLoops(sfax...)
		c.waitForMembers(allActive(sfax...), sfax...)
		before := c.server.Counts()
		renewals := func() uint64 { return c.server.Counts()[platform.CallRenew] - before[platform.CallRenew] }
		c.waitFor("many renewals", func() bool { return renewals() >= 90 })
		total := c.server.Counts().Total() - before.Total()
		c.t.Logf("%d calls for %d renewals", total, renewals())
		// Two polls per ten renewals, and room for tickers that a busy machine delays.
		if total > 2*renewals() {
			c.t.Fatalf("calls %v after %v", c.server.Counts(), before)
		}
	},
	"a member drains and leaves": func(c *cluster) {
		c.runLoops(sfax...)
		c.waitForMembers(allActive(sfax...), sfax...)
		n := c.node("sfax-2")
		// A call that times out on a busy machine is repeated.
		c.waitFor("Drain succeeds", func() bool { return n.Drain(c.t.Context()) == nil })
		c.waitForMembers(withState(allActive(sfax...), Draining, "sfax-2"), sfax...)
		c.waitFor("Leave succeeds", func() bool { return n.Leave(c.t.Context()) == nil })
		c.waitForMembers(allActive("sfax-1", "sfax-3"), sfax...)
		if n.Joined() {
			c.t.Fatal("joined after leaving")
		}
	},
}

// TestRunInRealTime guards against faults that occur only with concurrent loops.
func TestRunInRealTime(t *testing.T) {
	for _, overHTTP := range []bool{false, true} {
		for name, check := range realTimeCases {
			t.Run(fmt.Sprintf("%s/http=%v", name, overHTTP), func(t *testing.T) {
				c := newCluster(t)
				c.server = realTimeServer(t)
				c.storeFor, c.interval = c.server.StoreFrom, realInterval
				if overHTTP {
					c.storeFor = c.serveOverHTTP()
				}
				check(c)
			})
		}
	}
}

// serveOverHTTP serves the store over HTTP and returns a constructor of its clients.
func (c *cluster) serveOverHTTP() func(ident.Region) platform.Store {
	listener := httptest.NewServer(c.server.Handler())
	c.t.Cleanup(listener.Close)
	return func(region ident.Region) platform.Store {
		store, err := platform.NewHTTPStore(platform.HTTPConfig{BaseURL: listener.URL, Region: region})
		if err != nil {
			c.t.Fatal(err)
		}
		return store
	}
}
