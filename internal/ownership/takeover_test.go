package ownership

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// pair returns a cell of two members at the present view, with the owner of host h first.
func pair(c *cell) (owner, other *node) {
	c.host("h")
	a, b := c.join("a"), c.join("b")
	view := c.change("a", "b")
	time.Sleep(settled)
	if id, _ := Owner(view, c.hosts[0]); id == "b" {
		a, b = b, a
	}
	a.saw("attached h running=0 finished=0 slots=4")
	return a, b
}

// Guards against lost or doubled tasks when the owner changes, and against a caretaker that does too much.
func TestTakeover(t *testing.T) {
	cases := map[string]func(c *cell){
		"owner dies": func(c *cell) {
			owner, other := pair(c)
			owner.starts("h", service("t", "job"), nil)
			owner.starts("h", batch("u"), nil)
			time.Sleep(500 * time.Millisecond)
			owner.kill()
			time.Sleep(time.Second)
			c.change(other.id)
			synctest.Wait()
			other.saw("attached h running=1 finished=1 slots=4", "finished h u succeeded")
			other.complete(true)
		},
		"owner drains": func(c *cell) {
			owner, other := pair(c)
			owner.starts("h", service("t", "job"), nil)
			c.drain(owner.id)
			synctest.Wait()
			owner.saw("detached h moved")
			owner.starts("h", service("t1", "job1"), ErrNotOwner)
			other.saw("attached h running=1 finished=0 slots=4")
			other.starts("h", service("t2", "job2"), nil)
		},
		// Frozen view, store down: nobody can own the server, but its tasks go on and their results arrive.
		"owner dead with the store down": func(c *cell) {
			owner, other := pair(c)
			owner.starts("h", service("t", "job"), nil)
			owner.starts("h", batch("u"), nil)
			c.storeDown(true)
			owner.kill()
			time.Sleep(lapsed)
			other.saw("finished h u succeeded")
			if exit := c.workers["h"].Runs()[0].Exit; exit != "" {
				c.Errorf("the service ended as %s", exit)
			}
			other.starts("h", service("v", "job-v"), ErrNotOwner)
			if d := other.Dump().Hosts; len(d) != 1 || !d[0].Caretaker {
				c.Errorf("dump %+v, want one host under care", d)
			}
			other.Acknowledge("h", "u")
			time.Sleep(settled)
			c.storeDown(false)
			c.change(other.id)
			time.Sleep(settled)
			other.saw("attached h running=1 finished=0 slots=4")
		},
		"owner returns while the store is down": func(c *cell) {
			owner, other := pair(c)
			c.storeDown(true)
			c.setDead(owner.id, true)
			time.Sleep(settled)
			owner.starts("h", batch("t"), nil) // not dead, only unreachable for the other member
			c.setDead(owner.id, false)
			time.Sleep(settled)
			if d := other.Dump().Hosts; len(d) != 0 {
				c.Errorf("still takes care of %+v", d)
			}
			owner.starts("h", batch("u"), nil)
		},
		// Two probes in a row: one may be lost.
		"one lost probe": func(c *cell) {
			owner, other := pair(c)
			c.storeDown(true)
			time.Sleep(DefaultHostsInterval / 2) // between two probes
			c.setDead(owner.id, true)
			time.Sleep(DefaultHostsInterval)
			c.setDead(owner.id, false)
			synctest.Wait()
			if d := other.Dump(); len(d.Hosts) != 0 || d.Suspects[owner.id] != 1 {
				c.Errorf("dump %+v, want one failed probe and no host", d)
			}
		},
		// A caretaker may renew the lease unseen, so a cut-off owner can't know that the tasks stopped.
		"owner cut off from the server with the store down": func(c *cell) {
			owner, other := pair(c)
			owner.starts("h", service("t", "job"), nil)
			c.storeDown(true)
			owner.set(func(n *node) { n.cut = true })
			c.setDead(owner.id, true) // between the two members as well
			time.Sleep(2 * lapsed)
			owner.saw()
			other.saw()
			c.workers["h"].Faults().Vanish(true)
			c.storeDown(false)
			time.Sleep(leaseIntervals * minRenewal) // the caretaker's last lease
			owner.saw()
			time.Sleep(lapsed)
			owner.saw("detached h lapsed")
			if exit := c.workers["h"].Runs()[0].Exit; exit != backend.ExitLeaseLapsed {
				c.Errorf("exit %q at the time of the report", exit)
			}
		},
		// The store's state at the time of the decision counts, not only at the last probe.
		"server lost while the store is down between two probes": func(c *cell) {
			c.reads = time.Hour
			owner, _ := pair(c)
			c.storeDown(true)
			owner.set(func(n *node) { n.cut = true })
			time.Sleep(2 * lapsed)
			owner.saw()
			c.storeDown(false)
			time.Sleep(2 * lapsed)
			owner.saw("detached h lapsed")
		},
		// Two failures at once: the new owner never attached, so it waits for the dead owner's last lease.
		"owner and backend server die": func(c *cell) {
			owner, other := pair(c)
			owner.starts("h", service("t", "job"), nil)
			owner.kill()
			c.workers["h"].Faults().Vanish(true)
			c.change(other.id)
			time.Sleep(leaseIntervals*minRenewal + DefaultDrift + DefaultViewLag) // with the lag of one view only
			other.complete(false)
			time.Sleep(lapsed)
			other.complete(true)
			other.saw()
			if exit := c.workers["h"].Runs()[0].Exit; exit != backend.ExitLeaseLapsed {
				c.Errorf("exit %q at the time of the answer", exit)
			}
		},
		"two owners die with the store down": func(c *cell) {
			c.host("h")
			nodes := map[ident.MemberID]*node{"a": c.join("a"), "b": c.join("b"), "c": c.join("c")}
			view := c.change("a", "b", "c")
			time.Sleep(settled)
			first, _ := Owner(view, c.hosts[0])
			second, _ := Successor(view, c.hosts[0], first)
			third, _ := Successor(view, c.hosts[0], second)
			nodes[first].starts("h", service("t", "job"), nil)
			c.storeDown(true)
			nodes[first].kill()
			nodes[second].kill()
			time.Sleep(lapsed)
			if d := nodes[third].Dump().Hosts; len(d) != 1 || !d[0].Caretaker {
				c.Errorf("dump %+v, want one host under care", d)
			}
			if exit := c.workers["h"].Runs()[0].Exit; exit != "" {
				c.Errorf("the service ended as %s", exit)
			}
		},
		// Stale view: the member that missed a change is refused, and takes over again once it sees a newer view.
		"stale view": func(c *cell) {
			owner, other := pair(c)
			view := c.view
			owner.keep(&view)
			c.change(other.id)
			time.Sleep(settled)
			owner.saw("detached h moved")
			owner.set(func(n *node) { n.calls = 0 })
			time.Sleep(lapsed)
			owner.set(func(n *node) {
				if n.calls > 0 {
					c.Errorf("%d attaches that can't succeed with the view", n.calls)
				}
			})
			owner.starts("h", service("t", "job"), ErrNotOwner)
			other.starts("h", service("t2", "job"), nil)
			owner.keep(nil)
			c.change(owner.id)
			time.Sleep(settled)
			owner.saw("attached h running=1 finished=0 slots=4")
			owner.complete(true)
		},
		// Confirmation after an attach: the restarted server has no fence, and the newer owner doesn't know of the restart.
		"stale view and a restarted server": func(c *cell) {
			owner, other := pair(c)
			view := c.view
			owner.keep(&view)
			owner.set(func(n *node) { n.cut = true })
			time.Sleep(minRenewal) // ends the poll in flight
			c.change(other.id)
			synctest.Wait()
			other.saw("attached h running=0 finished=0 slots=4")
			other.set(func(n *node) { n.cut = true })
			c.workers["h"].Restart(slots(4))
			owner.set(func(n *node) { n.cut, n.calls = false, 0 })
			time.Sleep(settled)
			owner.set(func(n *node) {
				if n.calls == 0 {
					c.Error("no attach to the restarted server")
				}
			})
			owner.starts("h", service("t", "job"), ErrNotOwner)
			other.set(func(n *node) { n.cut = false })
			time.Sleep(settled)
			other.starts("h", service("t2", "job"), nil)
			other.complete(true)
		},
		// The store confirms nothing, so the member can't know whether it still is the owner.
		"server restarted while the store is down": func(c *cell) {
			owner, _ := pair(c)
			c.storeDown(true)
			c.workers["h"].Restart(slots(4))
			time.Sleep(settled)
			owner.starts("h", service("t", "job"), ErrNotOwner)
			owner.saw("detached h lapsed")
			c.storeDown(false)
			time.Sleep(settled)
			owner.saw("attached h running=0 finished=0 slots=4")
			owner.starts("h", service("t", "job"), nil)
		},
		// A member that lags behind attaches late; a view that it skipped must not count as seen.
		"owner in every second view": func(c *cell) {
			owner, other := pair(c)
			view := c.view
			owner.keep(&view)
			c.change(other.id)
			time.Sleep(settled)
			other.starts("h", service("t", "job"), nil)
			owner.keep(nil)
			c.change(owner.id, other.id)
			time.Sleep(settled)
			owner.complete(true)
			owner.saw("detached h moved", "attached h running=1 finished=0 slots=4")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { bubble(t, run) })
	}
}

// Guards against races between starts, view changes, drops and faults, and against tasks that run twice meanwhile.
func TestConcurrentChanges(t *testing.T) {
	bubble(t, func(c *cell) {
		hosts := make([]ident.HostID, 8)
		for i := range hosts {
			hosts[i] = ident.HostID(fmt.Sprintf("h%d", i))
			c.host(hosts[i])
		}
		nodes := []*node{c.join("a"), c.join("b"), c.join("c")}
		c.change("a", "b", "c")
		time.Sleep(settled)
		var starts sync.WaitGroup
		for i, n := range nodes {
			starts.Go(func() {
				for round := range 200 {
					h := hosts[round%len(hosts)]
					if n.Start(c.Context(), h, batch(ident.AttemptID(fmt.Sprintf("%d-%d", i, round)))) == nil {
						time.Sleep(1100 * time.Millisecond) // one task at a time, so that capacity isn't at stake here
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		for round := range 12 {
			views := [][]ident.MemberID{{"a"}, {"a", "b"}, {"b", "c"}, {"a", "b", "c"}}
			c.change(views[round%len(views)]...)
			w := c.workers[hosts[round%len(hosts)]]
			w.Faults().LoseReplies(0.2)
			w.Faults().Vanish(round%3 == 0)
			time.Sleep(3 * time.Second)
			w.Faults().Vanish(false)
		}
		starts.Wait()
		for _, w := range c.workers {
			w.Faults().LoseReplies(0)
		}
		c.change("a", "b", "c")
		time.Sleep(settled)
		owned := 0
		for _, n := range nodes {
			n.complete(true)
			owned += len(n.Owned())
		}
		if owned != len(hosts) {
			t.Errorf("%d owners of %d hosts", owned, len(hosts))
		}
	})
}

// Guards against servers that change owner although their owner stays, and against owners in the wrong place.
func TestOwner(t *testing.T) {
	at := func(id ident.MemberID, region ident.Region, dc ident.DataCentre, state member.State) member.Member {
		return member.Member{ID: id, Incarnation: 1, Region: region, DataCentre: dc, State: state}
	}
	cases := map[string]struct {
		members []member.Member
		want    ident.MemberID
	}{
		"own data centre": {[]member.Member{
			at("a", "r", "e", member.Active), at("b", "r", "d", member.Active), at("c", "s", "d", member.Active),
		}, "b"},
		"else own region": {[]member.Member{at("a", "s", "d", member.Active), at("b", "r", "e", member.Active)}, "b"},
		"else anywhere":   {[]member.Member{at("a", "s", "x", member.Active)}, "a"},
		"draining owns nothing": {[]member.Member{
			at("a", "r", "d", member.Draining), at("b", "s", "x", member.Active),
		}, "b"},
		"unreachable keeps": {[]member.Member{
			at("a", "r", "d", member.Unreachable), at("b", "s", "x", member.Active),
		}, "a"},
		"nobody": {[]member.Member{at("a", "r", "d", member.Draining)}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := platform.Host{ID: "h", Region: "r", DataCentre: "d"}
			got, ok := Owner(member.View{Members: c.members}, h)
			if got != c.want || ok != (c.want != "") {
				t.Errorf("got %q, %v, want %q", got, ok, c.want)
			}
		})
	}
}

// Guards against an order that reassigns more than the servers of the member that left, and against unequal shares.
func TestSuccessor(t *testing.T) {
	view := member.View{}
	for i := range 6 {
		view.Members = append(view.Members, member.Member{ID: ident.MemberID(fmt.Sprintf("m%d", i)), State: member.Active})
	}
	gone := view.Members[2].ID
	without := member.View{Members: append(append([]member.Member{}, view.Members[:2]...), view.Members[3:]...)}
	count := map[ident.MemberID]int{}
	for i := range 6300 {
		h := platform.Host{ID: ident.HostID(fmt.Sprintf("host-%d", i))}
		owner, _ := Owner(view, h)
		count[owner]++
		want := owner
		if owner == gone {
			want, _ = Successor(view, h, owner)
		}
		if got, _ := Owner(without, h); got != want {
			t.Fatalf("%s: owner %s without %s, want %s", h.ID, got, gone, want)
		}
		order := map[ident.MemberID]bool{}
		for id, ok := owner, true; ok; id, ok = Successor(view, h, id) {
			order[id] = true
		}
		if len(order) != len(view.Members) {
			t.Fatalf("%s: the order of owners has %d members", h.ID, len(order))
		}
	}
	for id, n := range count {
		if n < 900 || n > 1200 {
			t.Errorf("%s owns %d of 6300 hosts, want about 1050", id, n)
		}
	}
}
