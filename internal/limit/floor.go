package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/zeebo/xxh3"
)

// A floor is the minimum allocation that a member holds before it has tasks of the team, so that the team can start
// tasks while the store is down. A member gives it away on request like any other allocation.
const (
	// floorSize is the number of tasks in a floor.
	floorSize = 1
	// floorSpread is the time over which the first attempts are spread, in intervals. One write sets the floors of
	// all members, so the other members only read the record.
	floorSpread = 50
	// floorPause is the pause after an attempt, in intervals. With 110 teams a daemon then makes two reads a second.
	floorPause = 300
)

// floorHolders returns the active members that hold a floor of a team's limit. If the limit is too small for all of
// them, these are the first ones in rendezvous hashing order.
func floorHolders(v member.View, id ident.TeamID, limit int) []member.Member {
	holders := v.Filter(member.Active)
	if maxHolders := max(0, limit/floorSize); maxHolders < len(holders) {
		slices.SortFunc(holders, func(a, b member.Member) int { return cmp.Compare(floorRank(id, a.ID), floorRank(id, b.ID)) })
		holders = holders[:maxHolders]
	}
	return holders
}

func floorRank(id ident.TeamID, m ident.MemberID) uint64 {
	return xxh3.HashString(string(id) + "/" + string(m))
}

// grantFloors gives the holders without a floor one from the unallocated pool, unless the team is in use. The
// allocations of a team in use are with the members that need them, and floors would cost writes that those members
// need: with load that moves between members, TestStoreCallsAtPeak then admitted about 90.5 instead of 92 % of the
// starts.
func grantFloors(r *record, id ident.TeamID, view member.View) (changed bool) {
	holders, pool := floorHolders(view, id, r.Limit), r.Limit-r.total()
	if r.total() > floorSize*len(holders) {
		return false
	}
	for _, m := range holders {
		own := r.find(m.ID, m.Incarnation)
		if n := min(floorSize-own.Size, pool); n > 0 {
			own.Size, pool, changed = own.Size+n, pool-n, true
			r.set(own)
		}
	}
	return changed
}

// floorDue reports whether this member should hold a floor of the team but doesn't, and its next attempt is due.
func (a *Allocator) floorDue(t *team, limit int, now time.Time, view member.View) bool {
	self := a.config.Self()
	if t.nextFloorAttempt.IsZero() {
		t.nextFloorAttempt = now.Add(time.Duration(floorRank(t.id, self.ID)%floorSpread) * a.config.Interval)
	}
	return !now.Before(t.nextFloorAttempt) && t.usable(limit) < floorSize &&
		slices.ContainsFunc(floorHolders(view, t.id, limit), func(m member.Member) bool { return m.ID == self.ID })
}

// scheduleFloor sets the time of the next attempt for the floor, an earlier one if the store or its call budget
// prevented this attempt.
func (a *Allocator) scheduleFloor(t *team, err error) {
	pause := floorPause
	if err != nil {
		pause = floorSpread
	}
	t.nextFloorAttempt = a.config.Now().Add(time.Duration(pause) * a.config.Interval)
}
