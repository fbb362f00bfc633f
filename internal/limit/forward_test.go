package limit

import "testing"

func TestForwardedTasks(t *testing.T) {
	runFaults(t, map[string]faultCase{
		"forwarded task on the sender's allocation": {
			"an allocation that stays with a member that has forwarded its tasks", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].Release(testTeam, 5)
				if !c.allocators["m1"].Accept(testTeam, 3) {
					t.Error("the tasks must be accepted")
				}
				c.allocators["m0"].Transfer(testTeam, 3, c.view.Members[1])
				c.mustNotReserve("m0", 6)
				c.store.failNext(lostReply)
				c.advance(4)
				c.wantAllocation("m0", 5, 0)
				c.wantAllocation("m1", 3, 3)
			},
		},
		"sender dies before it transfers its allocation": {
			"a dead sender's allocation that is used again while a task that it forwarded counts against it", 8, 3, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m2"].Accept(testTeam, 8)
				if n := c.allocators["m2"].PendingAdoptions(); n != 0 {
					t.Errorf("%d tasks wait for a dead member's allocation while all members live", n)
				}
				c.remove("m0")
				c.tasksEnded["m0"] = c.allocators["m2"].PendingAdoptions() == 0
				c.mustNotReserve("m1", 1)
				c.advance(1)
				c.mustNotReserve("m1", 1)
				c.allocators["m2"].Release(testTeam, 8)
				c.tasksEnded["m0"] = c.allocators["m2"].PendingAdoptions() == 0
				c.mustReserve("m1", 8)
			},
		},
		"accepted tasks are handed over before their allocation arrives": {
			"an allocation that arrives for tasks which were handed over and is used for other tasks", 8, 3, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m1"].Accept(testTeam, 4)
				c.allocators["m1"].HandOver(testTeam, 4, c.view.Members[2])
				c.allocators["m2"].Receive(testTeam, 4)
				c.allocators["m0"].Transfer(testTeam, 4, c.view.Members[1])
				c.mustNotReserve("m1", 1)
				c.allocators["m0"].tick(t.Context())
				c.allocators["m1"].tick(t.Context())
				c.mustNotReserve("m1", 1)
				c.advance(3)
				c.wantAllocation("m2", 4, 4)
			},
		},
		"cancelled reservation": {
			"a cancelled reservation that stays counted as used or as a start", 8, 2, func(t *testing.T, c *cluster) {
				c.mustReserve("m0", 8)
				c.allocators["m0"].Cancel(testTeam, 6)
				c.wantAllocation("m0", 8, 2)
				team, unlock := c.allocators["m0"].lockTeam(testTeam)
				starts := team.demand.starts
				unlock()
				if starts != 2 {
					t.Errorf("%d starts counted, want 2", starts)
				}
				c.allocators["m0"].Cancel(testTeam, 9)
				c.wantAllocation("m0", 8, 0)
				if r, err := c.allocators["m0"].HandleRequest(t.Context(), newRequest("m1", 8)); err != nil || r.Released != 8 {
					t.Errorf("a member without starts gave %+v, %v, want its whole allocation", r, err)
				}
			},
		},
	})
}
