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

// twoMembers adds host h and two members to the cluster and returns the owner of the host first.
func twoMembers(c *cluster) (owner, other *node) {
	c.addHost("h")
	a, b := c.startMember("a"), c.startMember("b")
	view := c.publishView("a", "b")
	time.Sleep(settleTime)
	if id, _ := Owner(view, c.hosts[0]); id == "b" {
		a, b = b, a
	}
	a.expectEvents("attached h running=0 finished=0 slots=4")
	return a, b
}

// Guards against tasks that are lost or run twice when the owner changes, and against a caretaker that acts as an owner.
func TestTakeover(t *testing.T) {
	cases := map[string]func(c *cluster){
		"owner dies": func(c *cluster) {
			owner, other := twoMembers(c)
			owner.expectStart("h", serviceTask("t", "job"), nil)
			owner.expectStart("h", batchTask("u"), nil)
			time.Sleep(500 * time.Millisecond)
			owner.kill()
			time.Sleep(time.Second)
			c.publishView(other.id)
			synctest.Wait()
			other.expectEvents("attached h running=1 finished=1 slots=4", "finished h u succeeded")
			other.expectComplete(true)
		},
		"owner drains": func(c *cluster) {
			owner, other := twoMembers(c)
			owner.expectStart("h", serviceTask("t", "job"), nil)
			c.drain(owner.id)
			synctest.Wait()
			owner.expectEvents("detached h moved")
			owner.expectStart("h", serviceTask("t1", "job1"), ErrNotOwner)
			other.expectEvents("attached h running=1 finished=0 slots=4")
			other.expectStart("h", serviceTask("t2", "job2"), nil)
		},
		// Caretaker: while the store is down the view can't change and no member can take over the server, but its tasks
		// keep running and their results arrive.
		"owner dies while the store is down": func(c *cluster) {
			owner, other := twoMembers(c)
			owner.expectStart("h", serviceTask("t", "job"), nil)
			owner.expectStart("h", batchTask("u"), nil)
			c.setStoreDown(true)
			owner.kill()
			time.Sleep(lapseTime)
			other.expectEvents("finished h u succeeded")
			if exit := c.workers["h"].Runs()[0].Exit; exit != "" {
				c.Errorf("the service ended as %s", exit)
			}
			other.expectStart("h", serviceTask("v", "job-v"), ErrNotOwner)
			if d := other.Dump().Hosts; len(d) != 1 || !d[0].Caretaker {
				c.Errorf("dump %+v, want one host with this member as caretaker", d)
			}
			other.Acknowledge("h", "u")
			time.Sleep(settleTime)
			c.setStoreDown(false)
			c.publishView(other.id)
			time.Sleep(settleTime)
			other.expectEvents("attached h running=1 finished=0 slots=4")
		},
		"owner returns while the store is down": func(c *cluster) {
			owner, other := twoMembers(c)
			c.setStoreDown(true)
			c.setDead(owner.id, true)
			time.Sleep(settleTime)
			owner.expectStart("h", batchTask("t"), nil) // the owner is alive, but the other member's probes fail
			c.setDead(owner.id, false)
			time.Sleep(settleTime)
			if d := other.Dump().Hosts; len(d) != 0 {
				c.Errorf("still caretaker of %+v", d)
			}
			owner.expectStart("h", batchTask("u"), nil)
		},
		// failedProbeThreshold: a single failed probe doesn't make a member count as dead.
		"one probe lost": func(c *cluster) {
			owner, other := twoMembers(c)
			c.setStoreDown(true)
			time.Sleep(DefaultHostsInterval / 2) // between two probes
			c.setDead(owner.id, true)
			time.Sleep(DefaultHostsInterval)
			c.setDead(owner.id, false)
			synctest.Wait()
			if d := other.Dump(); len(d.Hosts) != 0 || d.Suspects[owner.id] != 1 {
				c.Errorf("dump %+v, want one failed probe and no host", d)
			}
		},
		// A caretaker may renew the lease, so a disconnected owner can't be certain that the tasks have stopped.
		"owner disconnected from the server while the store is down": func(c *cluster) {
			owner, other := twoMembers(c)
			owner.expectStart("h", serviceTask("t", "job"), nil)
			c.setStoreDown(true)
			owner.update(func(n *node) { n.disconnected = true })
			c.setDead(owner.id, true) // the link between the two members is down as well
			time.Sleep(2 * lapseTime)
			owner.expectEvents()
			other.expectEvents()
			c.workers["h"].Faults().Partition(true)
			c.setStoreDown(false)
			time.Sleep(renewalsPerLease * minRenewal) // the caretaker's last lease
			owner.expectEvents()
			time.Sleep(lapseTime)
			owner.expectEvents("detached h lapsed")
			if exit := c.workers["h"].Runs()[0].Exit; exit != backend.ExitLeaseLapsed {
				c.Errorf("exit %q when the lapse was reported, want lease-lapsed", exit)
			}
		},
		// checkLapse must read the store's state itself: the last probe may have been before the store went down.
		"server lost while the store is down between two probes": func(c *cluster) {
			c.hostsInterval = time.Hour
			owner, _ := twoMembers(c)
			c.setStoreDown(true)
			owner.update(func(n *node) { n.disconnected = true })
			time.Sleep(2 * lapseTime)
			owner.expectEvents()
			c.setStoreDown(false)
			time.Sleep(2 * lapseTime)
			owner.expectEvents("detached h lapsed")
		},
		// Two failures at once: the new owner never attached, so it waits until the dead owner's last lease has lapsed.
		"owner and backend server die": func(c *cluster) {
			owner, other := twoMembers(c)
			owner.expectStart("h", serviceTask("t", "job"), nil)
			owner.kill()
			c.workers["h"].Faults().Partition(true)
			c.publishView(other.id)
			// Covers the view lag of one member, but not of both.
			time.Sleep(renewalsPerLease*minRenewal + DefaultClockDrift + DefaultMaxViewLag)
			other.expectComplete(false)
			time.Sleep(lapseTime)
			other.expectComplete(true)
			other.expectEvents()
			if exit := c.workers["h"].Runs()[0].Exit; exit != backend.ExitLeaseLapsed {
				c.Errorf("exit %q when the inventory became complete, want lease-lapsed", exit)
			}
		},
		"owner and successor die while the store is down": func(c *cluster) {
			c.addHost("h")
			nodes := map[ident.MemberID]*node{"a": c.startMember("a"), "b": c.startMember("b"), "c": c.startMember("c")}
			view := c.publishView("a", "b", "c")
			time.Sleep(settleTime)
			first, _ := Owner(view, c.hosts[0])
			second, _ := Successor(view, c.hosts[0], first)
			third, _ := Successor(view, c.hosts[0], second)
			nodes[first].expectStart("h", serviceTask("t", "job"), nil)
			c.setStoreDown(true)
			nodes[first].kill()
			nodes[second].kill()
			time.Sleep(lapseTime)
			if d := nodes[third].Dump().Hosts; len(d) != 1 || !d[0].Caretaker {
				c.Errorf("dump %+v, want one host with this member as caretaker", d)
			}
			if exit := c.workers["h"].Runs()[0].Exit; exit != "" {
				c.Errorf("the service ended as %s", exit)
			}
		},
		// A member with a stale view is refused, and attaches again only once it sees a newer view.
		"stale view": func(c *cluster) {
			owner, other := twoMembers(c)
			view := c.view
			owner.freezeView(&view)
			c.publishView(other.id)
			time.Sleep(settleTime)
			owner.expectEvents("detached h moved")
			owner.update(func(n *node) { n.attachCalls = 0 })
			time.Sleep(lapseTime)
			owner.update(func(n *node) {
				if n.attachCalls > 0 {
					c.Errorf("%d attaches with a view in which they can't succeed", n.attachCalls)
				}
			})
			owner.expectStart("h", serviceTask("t", "job"), ErrNotOwner)
			other.expectStart("h", serviceTask("t2", "job"), nil)
			owner.freezeView(nil)
			c.publishView(owner.id)
			time.Sleep(settleTime)
			owner.expectEvents("attached h running=1 finished=0 slots=4")
			owner.expectComplete(true)
		},
		// confirmView: the restarted server has lost its fence, and the newer owner doesn't know about the restart.
		"stale view and a restarted server": func(c *cluster) {
			owner, other := twoMembers(c)
			view := c.view
			owner.freezeView(&view)
			owner.update(func(n *node) { n.disconnected = true })
			time.Sleep(minRenewal) // until the poll in flight has ended
			c.publishView(other.id)
			synctest.Wait()
			other.expectEvents("attached h running=0 finished=0 slots=4")
			other.update(func(n *node) { n.disconnected = true })
			c.workers["h"].Restart(slots(4))
			owner.update(func(n *node) { n.disconnected, n.attachCalls = false, 0 })
			time.Sleep(settleTime)
			owner.update(func(n *node) {
				if n.attachCalls == 0 {
					c.Error("the old owner didn't try to attach to the restarted server")
				}
			})
			owner.expectStart("h", serviceTask("t", "job"), ErrNotOwner)
			other.update(func(n *node) { n.disconnected = false })
			time.Sleep(settleTime)
			other.expectStart("h", serviceTask("t2", "job"), nil)
			other.expectComplete(true)
		},
		// confirmView: while the store is down a member can't know whether it still is the owner.
		"server restarted while the store is down": func(c *cluster) {
			owner, _ := twoMembers(c)
			c.setStoreDown(true)
			c.workers["h"].Restart(slots(4))
			time.Sleep(settleTime)
			owner.expectStart("h", serviceTask("t", "job"), ErrNotOwner)
			owner.expectEvents("detached h lapsed")
			c.setStoreDown(false)
			time.Sleep(settleTime)
			owner.expectEvents("attached h running=0 finished=0 slots=4")
			owner.expectStart("h", serviceTask("t", "job"), nil)
		},
		// A member whose view lags attaches late; a view that it skipped must not count as confirmed.
		"owner in every second view": func(c *cluster) {
			owner, other := twoMembers(c)
			view := c.view
			owner.freezeView(&view)
			c.publishView(other.id)
			time.Sleep(settleTime)
			other.expectStart("h", serviceTask("t", "job"), nil)
			owner.freezeView(nil)
			c.publishView(owner.id, other.id)
			time.Sleep(settleTime)
			owner.expectComplete(true)
			owner.expectEvents("detached h moved", "attached h running=1 finished=0 slots=4")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { runInBubble(t, run) })
	}
}

// Guards against data races between starts, view changes, dropped members and faults, and against tasks that run twice
// during them.
func TestConcurrentChanges(t *testing.T) {
	runInBubble(t, func(c *cluster) {
		hosts := make([]ident.HostID, 8)
		for i := range hosts {
			hosts[i] = ident.HostID(fmt.Sprintf("h%d", i))
			c.addHost(hosts[i])
		}
		nodes := []*node{c.startMember("a"), c.startMember("b"), c.startMember("c")}
		c.publishView("a", "b", "c")
		time.Sleep(settleTime)
		var starts sync.WaitGroup
		for i, n := range nodes {
			starts.Go(func() {
				for round := range 200 {
					h := hosts[round%len(hosts)]
					if n.Start(c.Context(), h, batchTask(ident.AttemptID(fmt.Sprintf("%d-%d", i, round)))) == nil {
						time.Sleep(1100 * time.Millisecond) // one task at a time, so that no start is refused for lack of capacity
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		for round := range 12 {
			views := [][]ident.MemberID{{"a"}, {"a", "b"}, {"b", "c"}, {"a", "b", "c"}}
			c.publishView(views[round%len(views)]...)
			w := c.workers[hosts[round%len(hosts)]]
			w.Faults().SetReplyLoss(0.2)
			w.Faults().Partition(round%3 == 0)
			time.Sleep(3 * time.Second)
			w.Faults().Partition(false)
		}
		starts.Wait()
		for _, w := range c.workers {
			w.Faults().SetReplyLoss(0)
		}
		c.publishView("a", "b", "c")
		time.Sleep(settleTime)
		owned := 0
		for _, n := range nodes {
			n.expectComplete(true)
			owned += len(n.OwnedHosts())
		}
		if owned != len(hosts) {
			t.Errorf("%d owners of %d hosts", owned, len(hosts))
		}
	})
}

// Guards against servers that change their owner although it stays in the view, and against an owner that isn't the
// closest eligible member.
func TestOwner(t *testing.T) {
	at := func(id ident.MemberID, region ident.Region, dc ident.DataCentre, state member.State) member.Member {
		return member.Member{ID: id, Incarnation: 1, Region: region, DataCentre: dc, State: state}
	}
	cases := map[string]struct {
		members []member.Member
		want    ident.MemberID
	}{
		"same data centre": {[]member.Member{
			at("a", "r", "e", member.Active), at("b", "r", "d", member.Active), at("c", "s", "d", member.Active),
		}, "b"},
		"otherwise same region": {[]member.Member{at("a", "s", "d", member.Active), at("b", "r", "e", member.Active)}, "b"},
		"otherwise any region":  {[]member.Member{at("a", "s", "x", member.Active)}, "a"},
		"draining member owns nothing": {[]member.Member{
			at("a", "r", "d", member.Draining), at("b", "s", "x", member.Active),
		}, "b"},
		"unreachable member keeps its servers": {[]member.Member{
			at("a", "r", "d", member.Unreachable), at("b", "s", "x", member.Active),
		}, "a"},
		"no eligible member": {[]member.Member{at("a", "r", "d", member.Draining)}, ""},
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

// Guards against an order in which the removal of a member reassigns servers of other members, and against unequal
// shares.
func TestSuccessor(t *testing.T) {
	view := member.View{}
	for i := range 6 {
		view.Members = append(view.Members, member.Member{ID: ident.MemberID(fmt.Sprintf("m%d", i)), State: member.Active})
	}
	removed := view.Members[2].ID
	without := member.View{Members: append(append([]member.Member{}, view.Members[:2]...), view.Members[3:]...)}
	count := map[ident.MemberID]int{}
	for i := range 6300 {
		h := platform.Host{ID: ident.HostID(fmt.Sprintf("host-%d", i))}
		owner, _ := Owner(view, h)
		count[owner]++
		want := owner
		if owner == removed {
			want, _ = Successor(view, h, owner)
		}
		if got, _ := Owner(without, h); got != want {
			t.Fatalf("%s: owner %s without %s, want %s", h.ID, got, removed, want)
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
