package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/zeebo/xxh3"
)

// A floor is the part of a team's limit that a member holds before it has work of the team, so that the team can start
// tasks while the store is down. It is given up on request like any part.
const (
	// floorTasks is the size of a floor.
	floorTasks = 1
	// floorSpread is the time over which the first attempts are spread, in intervals. One write sets the floors of all
	// members, so that the others only read.
	floorSpread = 50
	// floorPause is the pause after an attempt, in intervals: 110 teams then cost a daemon two reads a second.
	floorPause = 300
)

// floorHolders returns the active members that hold a floor of a team's limit. When it is too small for all of them,
// these are the first ones in rendezvous order.
func floorHolders(v member.View, id ident.TeamID, limit int) []member.Member {
	holders := v.Filter(member.Active)
	if most := max(0, limit/floorTasks); most < len(holders) {
		slices.SortFunc(holders, func(a, b member.Member) int { return cmp.Compare(floorRank(id, a.ID), floorRank(id, b.ID)) })
		holders = holders[:most]
	}
	return holders
}

func floorRank(id ident.TeamID, m ident.MemberID) uint64 {
	return xxh3.HashString(string(id) + "/" + string(m))
}

// seed gives the holders that lack it their floor from the pool, unless the team is in use. Its parts are then with the
// members that use them, and floors would cost writes that these need: in TestStoreCallsAtPeak about 90.5 instead of
// 92 % of the starts were admitted when the load moves between members.
func seed(r *record, id ident.TeamID, view member.View) (changed bool) {
	holders, pool := floorHolders(view, id, r.Limit), r.Limit-r.sum()
	if r.sum() > floorTasks*len(holders) {
		return false
	}
	for _, m := range holders {
		own := r.find(m.ID, m.Incarnation)
		if n := min(floorTasks-own.Part, pool); n > 0 {
			own.Part, pool, changed = own.Part+n, pool-n, true
			r.set(own)
		}
	}
	return changed
}

// lacksFloor reports whether an attempt for the own floor is due.
func (s *Split) lacksFloor(t *team, limit int, now time.Time, view member.View) bool {
	self := s.config.Self()
	if t.floorAt.IsZero() {
		t.floorAt = now.Add(time.Duration(floorRank(t.id, self.ID)%floorSpread) * s.config.Interval)
	}
	return !now.Before(t.floorAt) && t.usable(limit) < floorTasks &&
		slices.ContainsFunc(floorHolders(view, t.id, limit), func(m member.Member) bool { return m.ID == self.ID })
}

// nextFloor plans the next attempt, sooner when the store or its budget prevented this one.
func (s *Split) nextFloor(t *team, err error) {
	pause := floorPause
	if err != nil {
		pause = floorSpread
	}
	t.floorAt = s.config.Now().Add(time.Duration(pause) * s.config.Interval)
}
