package limit

import "testing"

func TestForwarded(t *testing.T) {
	runFaults(t, map[string]faultCase{
		"forwarded task on the sender's part": {
			"a part that stays with a member that hands its tasks over", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Release(grain, 5)
				if !c.splits["m1"].Accept(grain, 3) {
					t.Error("the tasks must be accepted")
				}
				c.splits["m0"].Pass(grain, 3, c.view.Members[1])
				c.refused("m0", 6)
				c.store.once(lostReply)
				c.pass(4)
				c.part("m0", 5, 0)
				c.part("m1", 3, 3)
			},
		},
		"sender dies before its part is passed on": {
			"a dead sender's part that is used again while a task it handed over runs on it", 8, 3, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m2"].Accept(grain, 8)
				if n := c.splits["m2"].Adopting(); n != 0 {
					t.Errorf("%d tasks wait for a dead member's part while all members live", n)
				}
				c.remove("m0")
				c.cleared["m0"] = c.splits["m2"].Adopting() == 0
				c.refused("m1", 1)
				c.pass(1)
				c.refused("m1", 1)
				c.splits["m2"].Release(grain, 8)
				c.cleared["m0"] = c.splits["m2"].Adopting() == 0
				c.get("m1", 8)
			},
		},
		"accepted tasks move on before their part arrives": {
			"a part that arrives for tasks which have moved on and is used for others", 8, 3, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m1"].Accept(grain, 4)
				c.splits["m1"].Handover(grain, 4, c.view.Members[2])
				c.splits["m2"].Receive(grain, 4)
				c.splits["m0"].Pass(grain, 4, c.view.Members[1])
				c.refused("m1", 1)
				c.splits["m0"].tick(t.Context())
				c.splits["m1"].tick(t.Context())
				c.refused("m1", 1)
				c.pass(3)
				c.part("m2", 4, 4)
			},
		},
		"cancelled reservation": {
			"a cancelled reservation that keeps its part or counts as a start", 8, 2, func(t *testing.T, c *cell) {
				c.get("m0", 8)
				c.splits["m0"].Cancel(grain, 6)
				c.part("m0", 8, 2)
				team, unlock := c.splits["m0"].locked(grain)
				starts := team.demand.count
				unlock()
				if starts != 2 {
					t.Errorf("%d starts counted, want 2", starts)
				}
				c.splits["m0"].Cancel(grain, 9)
				c.part("m0", 8, 0)
				if r, err := c.splits["m0"].HandleRequest(t.Context(), request("m1", 8)); err != nil || r.Given != 8 {
					t.Errorf("a member without starts gave %+v, %v, want all", r, err)
				}
			},
		},
	})
}
