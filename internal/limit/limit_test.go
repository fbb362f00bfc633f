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

// refused fails the test when a member may start n tasks.
func (c *cell) refused(id ident.MemberID, n int) {
	c.t.Helper()
	if c.splits[id].Reserve(grain, n) {
		c.t.Errorf("%s reserved %d tasks above its part", id, n)
	}
}

// want is a request of a member of the cell.
func request(from ident.MemberID, n int) wire.LimitRequest {
	return wire.LimitRequest{Sender: wire.Sender{Member: from, Incarnation: 1, Epoch: 1}, Team: grain, Want: n}
}

func TestFaults(t *testing.T) {
	runFaults(t, map[string]faultCase{
		"two members ask at once": {
			"a part that is granted twice", 10, 3, func(t *testing.T, c *cell) {
				var wait sync.WaitGroup
				for _, id := range []ident.MemberID{"m0", "m1", "m2"} {
					c.refused(id, 4)
					wait.Go(func() { c.splits[id].tick(t.Context()) })
				}
				wait.Wait()
				c.pass(10)
				if usable, _ := c.usable(); usable > 10 || c.record().sum() != usable {
					t.Errorf("usable %d, record %+v", usable, c.record())
				}
			},
		},
		"small limit, more members than tasks": {
			"a member that never gets a part of a small limit", 2, 9, func(_ *testing.T, c *cell) {
				for _, id := range []ident.MemberID{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"} {
					c.get(id, 1)
					c.splits[id].Release(grain, 1)
				}
				c.get("m3", 1)
				c.get("m4", 1)
				c.pass(20)
				for _, id := range []ident.MemberID{"m0", "m3", "m4", "m8"} {
					c.refused(id, 1)
				}
			},
		},
		"gang larger than one chunk": {
			"a reservation for many tasks that is never sized up", 12, 3, func(_ *testing.T, c *cell) {
				c.get("m0", 3)
				c.splits["m0"].Release(grain, 3)
				c.get("m1", 12)
			},
		},
		"giver's write refused": {
			"a part that disappears when the giver could not write", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Release(grain, 8)
				c.store.once(down)
				if r, err := c.splits["m0"].HandleRequest(t.Context(), request("m1", 4)); err != nil || r.Given != 0 {
					t.Errorf("gave %+v, %v", r, err)
				}
				c.part("m0", 8, 0)
			},
		},
		"start while a part is given": {
			"a start on a part that a write in flight gives away", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Release(grain, 8)
				c.store.fault = func(string) fault {
					c.refused("m0", 5) // runs between the lowering and the write
					return none
				}
				r, err := c.splits["m0"].HandleRequest(t.Context(), request("m1", 4))
				if err != nil || r.Given != 4 {
					t.Errorf("gave %+v, %v", r, err)
				}
			},
		},
		"both members short": {
			"a part that moves back and forth between members with waiting tasks", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.refused("m0", 1)
				c.splits["m0"].Release(grain, 2)
				c.pass(1)
				gave := 0
				for range 4 {
					c.refused("m0", 8)
					r, err := c.splits["m0"].HandleRequest(t.Context(), request("m1", 1))
					if err != nil {
						t.Fatal(err)
					}
					gave += r.Given
				}
				if gave != 1 {
					t.Errorf("gave %d times in one turn, want once", gave)
				}
			},
		},
		"giver dies after lowering": {
			"a part given by a dead member that two members use", 8, 3, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Release(grain, 6)
				c.store.once(delayed)
				_, err := c.splits["m0"].HandleRequest(t.Context(), request("m1", 4))
				if !errors.Is(err, platform.ErrUnknownOutcome) {
					t.Errorf("got %v", err)
				}
				c.remove("m0")
				c.pass(5)
				c.store.deliver()
				c.refused("m1", 1)
				c.pass(20)
				for c.splits["m1"].Reserve(grain, 1) {
				}
				for c.splits["m2"].Reserve(grain, 1) {
				}
				if _, used := c.usable(); used > 6 || c.record().sum() > 8 {
					t.Errorf("%d tasks besides the two of the dead member, record %+v", used, c.record())
				}
			},
		},
		"reply lost after the write": {
			"a given part that the giver uses because it saw no reply", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Release(grain, 8)
				c.store.once(lostReply)
				if _, err := c.splits["m0"].HandleRequest(t.Context(), request("m1", 4)); err == nil {
					t.Error("an unknown outcome must not be reported as given")
				}
				c.part("m0", 4, 0)
				c.splits["m0"].tick(t.Context())
				c.part("m0", 4, 0)
				c.refused("m0", 5)
				c.get("m1", 4)
				c.pass(3)
				for id, s := range c.splits {
					if part, _ := s.Part(grain); part != c.record().find(id, 1).Part {
						t.Errorf("%s counts %d, record %+v", id, part, c.record())
					}
				}
			},
		},
		"write arrives after the giver gave up": {
			"a late write that takes a part which the giver counts as its own again", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Release(grain, 8)
				c.store.once(delayed)
				_, _ = c.splits["m0"].HandleRequest(t.Context(), request("m1", 4))
				c.part("m0", 4, 0)
				c.pass(3)
				c.store.deliver()
				c.get("m0", 8)
				c.pass(3)
				c.refused("m1", 1)
				if r := c.record(); r.find("m1", 1).Part != 0 {
					t.Errorf("the late write took effect: %+v", r)
				}
			},
		},
		"reply of the giver lost": {
			"a given part that its receiver never learns of", 8, 2, func(_ *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Release(grain, 8)
				c.askFail["m0"] = errors.New("connection lost")
				c.get("m1", 4)
			},
		},
		"dead member's part": {
			"a dead member's part that is used while its tasks run", 8, 3, func(_ *testing.T, c *cell) {
				c.get("m0", 6)
				c.remove("m0")
				c.get("m1", 2)
				c.pass(20)
				c.refused("m1", 1)
				c.refused("m2", 1)
				c.splits["m2"].Adopt(grain, 4)
				c.pass(1)
				c.part("m2", 4, 4)
				c.cleared["m0"] = true
				c.get("m1", 2)
			},
		},
		"adopted above the part": {
			"a start that is admitted while adopted tasks exceed the part", 8, 2, func(_ *testing.T, c *cell) {
				c.get("m0", 6)
				c.remove("m0")
				c.get("m1", 1)
				c.splits["m1"].Adopt(grain, 6)
				c.refused("m1", 1)
				c.pass(2)
				c.part("m1", 8, 7)
				c.get("m1", 1)
				c.refused("m1", 1)
			},
		},
		"one of two dead members is cleared": {
			"a part returned to the pool that covers the other dead member's tasks", 8, 4, func(_ *testing.T, c *cell) {
				c.get("m0", 4)
				c.get("m1", 4)
				c.remove("m0")
				c.remove("m1")
				c.splits["m2"].Adopt(grain, 4)
				c.pass(2)
				c.cleared["m0"] = true
				c.splits["m2"].Release(grain, 4)
				c.pass(20)
				c.refused("m3", 5)
				if usable, _ := c.usable(); usable > 4 {
					t.Errorf("usable %d while 4 tasks of m1 run", usable)
				}
			},
		},
		"handover between live members": {
			"a part that its old owner uses again while the tasks run elsewhere", 8, 2, func(_ *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Handover(grain, 3, c.view.Members[1])
				c.splits["m1"].Receive(grain, 3)
				c.refused("m0", 1)
				c.pass(2)
				c.part("m0", 5, 5)
				c.part("m1", 3, 3)
			},
		},
		"received tasks leave dead parts alone": {
			"a dead member's part that covers tasks which it never ran", 8, 3, func(_ *testing.T, c *cell) {
				c.get("m0", 4)
				c.get("m1", 4)
				c.remove("m0")
				c.splits["m1"].Handover(grain, 2, c.view.Members[1])
				c.splits["m2"].Receive(grain, 2)
				c.pass(3)
				if part, _ := c.splits["m2"].Part(grain); part != 2 || c.record().find("m0", 1).Part != 4 {
					t.Errorf("m2 has %d, record %+v", part, c.record())
				}
			},
		},
		"handover's reply lost": {
			"a handover that is forgotten or written twice", 8, 2, func(_ *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Handover(grain, 3, c.view.Members[1])
				c.splits["m1"].Receive(grain, 3)
				c.store.once(lostReply)
				c.splits["m0"].tick(c.t.Context())
				c.refused("m0", 1)
				c.pass(4)
				c.part("m0", 5, 5)
				c.part("m1", 3, 3)
			},
		},
		"handover's reply lost, then another write": {
			"a handover that is repeated and takes a part in use", 8, 3, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Handover(grain, 3, c.view.Members[1])
				c.splits["m1"].Receive(grain, 3)
				c.store.once(lostReply)
				c.splits["m0"].tick(t.Context())
				c.splits["m1"].Release(grain, 2)
				c.splits["m1"].tick(t.Context())
				if r, err := c.splits["m1"].HandleRequest(t.Context(), request("m2", 1)); err != nil || r.Given != 1 {
					t.Errorf("gave %+v, %v", r, err)
				}
				c.view.Members[1].State, c.view.Members[2].State = member.Unreachable, member.Unreachable // give nothing back
				c.pass(3)
				if part, used := c.splits["m0"].Part(grain); part < used {
					t.Errorf("m0 has part %d and uses %d", part, used)
				}
			},
		},
		"store down": {
			"a start that stops, or a part that changes, while the store is down", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 4)
				c.splits["m0"].Release(grain, 2)
				part, _ := c.splits["m0"].Part(grain)
				c.store.down = true
				if !c.splits["m0"].Reserve(grain, 2) {
					t.Error("the own part must stay usable")
				}
				c.refused("m0", part)
				c.refused("m1", 1)
				before := c.store.reads
				c.pass(10)
				c.part("m0", part, 4)
				if calls := c.store.reads - before; calls > 20 {
					t.Errorf("%d reads of a store that is down", calls)
				}
				c.store.down = false
				c.get("m1", 1)
			},
		},
		"lowered limit while full": {
			"a start above a lowered limit, and parts that stay above it", 12, 3, func(t *testing.T, c *cell) {
				for _, id := range []ident.MemberID{"m0", "m1", "m2"} {
					c.get(id, 4)
				}
				c.limits[grain] = 6
				for _, id := range []ident.MemberID{"m0", "m1", "m2"} {
					c.refused(id, 1)
				}
				if usable, _ := c.usable(); usable > 6 {
					t.Errorf("usable %d at once after lowering to 6", usable)
				}
				c.pass(3)
				c.splits["m0"].Release(grain, 4)
				c.splits["m1"].Release(grain, 3)
				c.pass(10)
				if sum := c.record().sum(); sum > 8 {
					t.Errorf("parts sum to %d after 7 tasks ended", sum)
				}
				c.get("m0", 1)
				c.pass(10)
				c.refused("m1", 2)
				if usable, used := c.usable(); usable > 6 || used != 6 {
					t.Errorf("usable %d, used %d", usable, used)
				}
			},
		},
		"raised limit": {
			"a raised limit that members can't reach", 2, 2, func(_ *testing.T, c *cell) {
				c.get("m0", 2)
				c.limits[grain] = 6
				c.get("m1", 3)
				c.get("m0", 1)
				c.refused("m1", 1)
			},
		},
		"limit withdrawn": {
			"a start of a team that is no longer configured", 4, 1, func(_ *testing.T, c *cell) {
				c.get("m0", 1)
				delete(c.limits, grain)
				c.refused("m0", 1)
			},
		},
		"own incarnation removed": {
			"a part that a removed member still uses", 8, 2, func(_ *testing.T, c *cell) {
				c.get("m0", 5)
				c.splits["m0"].Dropped()
				c.part("m0", 0, 0)
				c.refused("m0", 1)
			},
		},
		"request of a removed member": {
			"a part that is given to an incarnation outside the view", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 4)
				c.splits["m0"].Release(grain, 4)
				r := request("m1", 2)
				r.Incarnation = 9
				if _, err := c.splits["m0"].HandleRequest(t.Context(), r); err == nil {
					t.Error("the request must be refused")
				}
				if reply, err := c.splits["m0"].HandleRequest(t.Context(), request("m1", -1)); err != nil || reply.Given != 0 {
					t.Errorf("negative request: %+v, %v", reply, err)
				}
			},
		},
		"damaged record": {
			"parts above the limit that are taken from a damaged record", 8, 1, func(_ *testing.T, c *cell) {
				value := []byte(`{"limit":8,"parts":[{"member":"m0","incarnation":1,"part":9}]}`)
				c.store.items[keyPrefix+string(grain)] = platform.Item{Value: value, Revision: 1}
				c.refused("m0", 1)
				c.pass(5)
				c.refused("m0", 1)
				delete(c.store.items, keyPrefix+string(grain))
			},
		},
	})
}

// faultCase is a history of a cell, at whose end the sum of the parts is checked too.
type faultCase struct {
	guards         string
	limit, members int
	run            func(t *testing.T, c *cell)
}

func runFaults(t *testing.T, cases map[string]faultCase) {
	t.Helper()
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.guards)
			c := newCell(t, test.limit, test.members)
			test.run(t, c)
			if r := c.record(); r.sum() > max(r.Limit, test.limit) {
				t.Errorf("sum of the parts exceeds the limit: %+v", r)
			}
		})
	}
}
