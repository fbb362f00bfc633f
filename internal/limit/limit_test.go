package limit

import (
	"errors"
	"sync"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// mustNotReserve fails the test if the member can reserve n tasks.
func (c *cluster) mustNotReserve(id ident.MemberID, n int) {
	c.t.Helper()
	if c.allocators[id].Reserve(testTeam, n) {
		c.t.Errorf("member %s reserved %d tasks above its allocation", id, n)
	}
}

// newRequest returns a request of a member of the cluster.
func newRequest(from ident.MemberID, n int) wire.LimitRequest {
	return wire.LimitRequest{Sender: wire.Sender{Member: from, Incarnation: 1, Epoch: 1}, Team: testTeam, Amount: n}
}

func TestFaults(t *testing.T) {
	runFaults(t, map[string]faultCase{
		"three members request at once": {
			"an allocation that is granted twice", 10, 3, func(t *testing.T, c *cluster) {
				var wait sync.WaitGroup
				for _, id := range []ident.MemberID{"m0", "m1", "m2"} {
					c.mustNotReserve(id, 4)
					wait.Go(func() { c.allocators[id].tick(t.Context()) })
				}
				wait.Wait()
				c.advance(10)
				if usable, _ := c.usable(); usable > 10 || c.record().total() != usable {
					t.Errorf("usable %d, record %+v", usable, c.record())
				}
			},
		},
		"limit smaller than the number of members": {
			"a member that never gets an allocation of a small limit", 2, 9, func(_ *testing.T, c *cluster) {
				for _, id := range []ident.MemberID{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"} {
					c.mustReserve(id, 1)
					c.allocators[id].Release(testTeam, 1)
				}
				c.mustReserve("m3", 1)
				c.mustReserve("m4", 1)
				c.advance(20)
				for _, id := range []ident.MemberID{"m0", "m3", "m4", "m8"} {
					c.mustNotReserve(id, 1)
				}
			},
		},
		"gang larger than one chunk": {
			"a request for many tasks that never gets more than one chunk", 12, 3, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 3)
				c.allocators["m0"].Release(testTeam, 3)
				c.mustReserve("m1", 12)
			},
		},
		"giver's write refused": {
			"an allocation that is lost when the giver's write is refused", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].Release(testTeam, 8)
				c.store.failNext(writeRefused)
				if r, err := c.allocators["m0"].HandleRequest(t.Context(), newRequest("m1", 4)); err != nil || r.Released != 0 {
					t.Errorf("gave %+v, %v", r, err)
				}
				c.wantAllocation("m0", 8, 0)
			},
		},
		"start while an allocation is being given away": {
			"a start on allocation that a write in flight gives away", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].Release(testTeam, 8)
				c.store.fault = func(string) fault {
					c.mustNotReserve("m0", 5) // runs between the reduction of the usable allocation and the write
					return noFault
				}
				r, err := c.allocators["m0"].HandleRequest(t.Context(), newRequest("m1", 4))
				if err != nil || r.Released != 4 {
					t.Errorf("gave %+v, %v", r, err)
				}
			},
		},
		"both members have unmet demand": {
			"an allocation that moves back and forth between members with waiting tasks", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.mustNotReserve("m0", 1)
				c.allocators["m0"].Release(testTeam, 2)
				c.advance(1)
				gave := 0
				for range 4 {
					c.mustNotReserve("m0", 8)
					r, err := c.allocators["m0"].HandleRequest(t.Context(), newRequest("m1", 1))
					if err != nil {
						t.Fatal(err)
					}
					gave += r.Released
				}
				if gave != 1 {
					t.Errorf("gave %d in one cooldown, want 1", gave)
				}
			},
		},
		"giver dies during the write": {
			"an allocation given by a dead member that two members use", 8, 3, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].Release(testTeam, 6)
				c.store.failNext(delayed)
				_, err := c.allocators["m0"].HandleRequest(t.Context(), newRequest("m1", 4))
				if !errors.Is(err, platform.ErrUnknownOutcome) {
					t.Errorf("got %v", err)
				}
				c.remove("m0")
				c.advance(5)
				c.store.deliver()
				c.mustNotReserve("m1", 1)
				c.advance(20)
				for c.allocators["m1"].Reserve(testTeam, 1) {
				}
				for c.allocators["m2"].Reserve(testTeam, 1) {
				}
				if _, used := c.usable(); used > 6 || c.record().total() > 8 {
					t.Errorf("%d tasks besides the two of the dead member, record %+v", used, c.record())
				}
			},
		},
		"reply lost after the write": {
			"a given allocation that the giver still uses because the store's reply was lost", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].Release(testTeam, 8)
				c.store.failNext(lostReply)
				if _, err := c.allocators["m0"].HandleRequest(t.Context(), newRequest("m1", 4)); err == nil {
					t.Error("a write with an unknown outcome must not be reported as given")
				}
				c.wantAllocation("m0", 4, 0)
				c.allocators["m0"].tick(t.Context())
				c.wantAllocation("m0", 4, 0)
				c.mustNotReserve("m0", 5)
				c.mustReserve("m1", 4)
				c.advance(3)
				for id, s := range c.allocators {
					if usable, _ := s.Allocation(testTeam); usable != c.record().find(id, 1).Size {
						t.Errorf("member %s counts allocation %d, record %+v", id, usable, c.record())
					}
				}
			},
		},
		"write arrives after the giver's call has failed": {
			"a late write that takes an allocation which the giver counts as its own again", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].Release(testTeam, 8)
				c.store.failNext(delayed)
				_, _ = c.allocators["m0"].HandleRequest(t.Context(), newRequest("m1", 4))
				c.wantAllocation("m0", 4, 0)
				c.advance(3)
				c.store.deliver()
				c.mustReserve("m0", 8)
				c.advance(3)
				c.mustNotReserve("m1", 1)
				if r := c.record(); r.find("m1", 1).Size != 0 {
					t.Errorf("the late write took effect: record %+v", r)
				}
			},
		},
		"giver's reply lost": {
			"a given allocation that its receiver never uses", 8, 2, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].Release(testTeam, 8)
				c.requestErr["m0"] = errors.New("connection lost")
				c.mustReserve("m1", 4)
			},
		},
		"dead member's allocation": {
			"a dead member's allocation that is used while its tasks run", 8, 3, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 6)
				c.remove("m0")
				c.mustReserve("m1", 2)
				c.advance(20)
				c.mustNotReserve("m1", 1)
				c.mustNotReserve("m2", 1)
				c.allocators["m2"].Adopt(testTeam, 4)
				c.advance(1)
				c.wantAllocation("m2", 4, 4)
				c.tasksEnded["m0"] = true
				c.mustReserve("m1", 2)
			},
		},
		"adopted tasks above the allocation": {
			"a start that is admitted while adopted tasks exceed the allocation", 8, 2, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 6)
				c.remove("m0")
				c.mustReserve("m1", 1)
				c.allocators["m1"].Adopt(testTeam, 6)
				c.mustNotReserve("m1", 1)
				c.advance(2)
				c.wantAllocation("m1", 8, 7)
				c.mustReserve("m1", 1)
				c.mustNotReserve("m1", 1)
			},
		},
		"tasks of one of two dead members have ended": {
			"an allocation returned to the pool that covers the other dead member's tasks", 8, 4, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 4)
				c.mustReserve("m1", 4)
				c.remove("m0")
				c.remove("m1")
				c.allocators["m2"].Adopt(testTeam, 4)
				c.advance(2)
				c.tasksEnded["m0"] = true
				c.allocators["m2"].Release(testTeam, 4)
				c.advance(20)
				c.mustNotReserve("m3", 5)
				if usable, _ := c.usable(); usable > 4 {
					t.Errorf("usable %d while 4 tasks of m1 run", usable)
				}
			},
		},
		"handover between live members": {
			"an allocation that its old owner uses again while the tasks run elsewhere", 8, 2, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].HandOver(testTeam, 3, c.view.Members[1])
				c.allocators["m1"].Receive(testTeam, 3)
				c.mustNotReserve("m0", 1)
				c.advance(2)
				c.wantAllocation("m0", 5, 5)
				c.wantAllocation("m1", 3, 3)
			},
		},
		"received tasks don't use dead members' allocations": {
			"a dead member's allocation that covers tasks which it never ran", 8, 3, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 4)
				c.mustReserve("m1", 4)
				c.remove("m0")
				c.allocators["m1"].HandOver(testTeam, 2, c.view.Members[1])
				c.allocators["m2"].Receive(testTeam, 2)
				c.advance(3)
				if usable, _ := c.allocators["m2"].Allocation(testTeam); usable != 2 || c.record().find("m0", 1).Size != 4 {
					t.Errorf("member m2 has allocation %d, record %+v", usable, c.record())
				}
			},
		},
		"store's reply to a handover lost": {
			"a handover that is dropped or written twice", 8, 2, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].HandOver(testTeam, 3, c.view.Members[1])
				c.allocators["m1"].Receive(testTeam, 3)
				c.store.failNext(lostReply)
				c.allocators["m0"].tick(c.t.Context())
				c.mustNotReserve("m0", 1)
				c.advance(4)
				c.wantAllocation("m0", 5, 5)
				c.wantAllocation("m1", 3, 3)
			},
		},
		"store's reply to a handover lost, then another write": {
			"a handover that is repeated and takes an allocation in use", 8, 3, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].HandOver(testTeam, 3, c.view.Members[1])
				c.allocators["m1"].Receive(testTeam, 3)
				c.store.failNext(lostReply)
				c.allocators["m0"].tick(t.Context())
				c.allocators["m1"].Release(testTeam, 2)
				c.allocators["m1"].tick(t.Context())
				if r, err := c.allocators["m1"].HandleRequest(t.Context(), newRequest("m2", 1)); err != nil || r.Released != 1 {
					t.Errorf("gave %+v, %v", r, err)
				}
				c.view.Members[1].State, c.view.Members[2].State = member.Unreachable, member.Unreachable // they give nothing back
				c.advance(3)
				if usable, used := c.allocators["m0"].Allocation(testTeam); usable < used {
					t.Errorf("member m0 has allocation %d and uses %d", usable, used)
				}
			},
		},
		"store down": {
			"a start that is refused, or an allocation that changes, while the store is down", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 4)
				c.allocators["m0"].Release(testTeam, 2)
				usable, _ := c.allocators["m0"].Allocation(testTeam)
				c.store.down = true
				if !c.allocators["m0"].Reserve(testTeam, 2) {
					t.Error("the member's own allocation must stay usable")
				}
				c.mustNotReserve("m0", usable)
				c.mustNotReserve("m1", 1)
				before := c.store.reads
				c.advance(10)
				c.wantAllocation("m0", usable, 4)
				if calls := c.store.reads - before; calls > 20 {
					t.Errorf("%d reads of a store that is down", calls)
				}
				c.store.down = false
				c.mustReserve("m1", 1)
			},
		},
		"limit lowered while it is used up": {
			"a start above a lowered limit, and allocations that stay above it", 12, 3, func(t *testing.T, c *cluster) {
				for _, id := range []ident.MemberID{"m0", "m1", "m2"} {
					c.mustReserve(id, 4)
				}
				c.limits[testTeam] = 6
				for _, id := range []ident.MemberID{"m0", "m1", "m2"} {
					c.mustNotReserve(id, 1)
				}
				if usable, _ := c.usable(); usable > 6 {
					t.Errorf("usable %d at once after lowering to 6", usable)
				}
				c.advance(3)
				c.allocators["m0"].Release(testTeam, 4)
				c.allocators["m1"].Release(testTeam, 3)
				c.advance(10)
				if sum := c.record().total(); sum > 8 {
					t.Errorf("allocations sum to %d after 7 tasks ended", sum)
				}
				c.mustReserve("m0", 1)
				c.advance(10)
				c.mustNotReserve("m1", 2)
				if usable, used := c.usable(); usable > 6 || used != 6 {
					t.Errorf("usable %d, used %d", usable, used)
				}
			},
		},
		"raised limit": {
			"a raised limit that members can't use", 2, 2, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 2)
				c.limits[testTeam] = 6
				c.mustReserve("m1", 3)
				c.mustReserve("m0", 1)
				c.mustNotReserve("m1", 1)
			},
		},
		"limit removed": {
			"a start of a team without a configured limit", 4, 1, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 1)
				delete(c.limits, testTeam)
				c.mustNotReserve("m0", 1)
			},
		},
		"own incarnation removed": {
			"an allocation that a removed member still uses", 8, 2, func(_ *testing.T, c *cluster) {
				c.mustReserve("m0", 5)
				c.allocators["m0"].Reset()
				c.wantAllocation("m0", 0, 0)
				c.mustNotReserve("m0", 1)
			},
		},
		"request of a removed member": {
			"an allocation that is given to an incarnation outside the view", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 4)
				c.allocators["m0"].Release(testTeam, 4)
				r := newRequest("m1", 2)
				r.Incarnation = 9
				if _, err := c.allocators["m0"].HandleRequest(t.Context(), r); err == nil {
					t.Error("the request must be refused")
				}
				if reply, err := c.allocators["m0"].HandleRequest(t.Context(), newRequest("m1", -1)); err != nil || reply.Released != 0 {
					t.Errorf("request for a negative amount: %+v, %v", reply, err)
				}
			},
		},
		"damaged record": {
			"allocations above the limit that are taken from a damaged record", 8, 1, func(_ *testing.T, c *cluster) {
				value := []byte(`{"limit":8,"parts":[{"member":"m0","incarnation":1,"part":9}]}`)
				c.store.items[keyPrefix+string(testTeam)] = platform.Item{Value: value, Revision: 1}
				c.mustNotReserve("m0", 1)
				c.advance(5)
				c.mustNotReserve("m0", 1)
				delete(c.store.items, keyPrefix+string(testTeam))
			},
		},
	})
}

// faultCase is a scenario of a cluster. The sum of the allocations is checked after it.
type faultCase struct {
	guards         string
	limit, members int
	run            func(t *testing.T, c *cluster)
}

func runFaults(t *testing.T, cases map[string]faultCase) {
	t.Helper()
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.guards)
			c := newCluster(t, test.limit, test.members)
			test.run(t, c)
			if r := c.record(); r.total() > max(r.Limit, test.limit) {
				t.Errorf("sum of the allocations exceeds the limit: %+v", r)
			}
		})
	}
}
