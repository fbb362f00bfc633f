package limit

import (
	"fmt"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a team that can't start anything while the store is down because it never ran before, against floors
// that exceed a small limit in total, and against floors that cost the store more writes than this package may use.
func TestFloors(t *testing.T) {
	const teams = 110
	for name, test := range map[string]struct{ limit, members, holders int }{
		"limit larger than members":  {600, 9, 9},
		"limit equal to members":     {9, 9, 9},
		"limit smaller than members": {3, 9, 3},
		"limit of zero":              {0, 6, 0},
		"limit of one":               {1, 6, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, test.limit, test.members)
			for i := range teams - 1 {
				c.limits[ident.TeamID(fmt.Sprintf("team-%d", i))] = test.limit
			}
			for range floorSpread + 1 {
				before := c.store.writes
				c.advance(1)
				if n := c.store.writes - before; n > storeWritesPerSecond/storeDivisor*sustainedFraction {
					t.Errorf("%d writes in one second", n)
				}
			}
			c.advance(floorSpread) // a second attempt for floors whose first attempt exceeded the call budget
			t.Logf("%d writes and %d reads", c.store.writes, c.store.reads)
			if c.store.writes > 2*teams {
				t.Errorf("%d writes for %d teams", c.store.writes, teams)
			}
			c.store.down = true
			for id := range c.limits {
				holders := 0
				for _, s := range c.allocators {
					if s.Reserve(id, 1) {
						holders++
					}
				}
				if holders != test.holders {
					t.Errorf("team %s can start at %d members, want %d", id, holders, test.holders)
				}
			}
		})
	}
}

// Guards against floors that keep a member with waiting tasks from using the whole limit, also when the holders of
// the floors haven't read the record yet.
func TestFloorsReleasedOnRequest(t *testing.T) {
	c := newCluster(t, 9, 9)
	team, unlock := c.allocators["m0"].lockTeam(testTeam)
	team.nextFloorAttempt = c.now
	unlock()
	c.allocators["m0"].tick(t.Context())
	for range 12 { // seconds, in which not all members make their first attempt for a floor
		c.allocators["m4"].Reserve(testTeam, 9)
		c.advance(1)
	}
	c.wantAllocation("m4", 9, 9)
}
