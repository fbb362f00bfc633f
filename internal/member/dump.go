package member

import "github.com/rosemaryspoke/rosemaryspoke/pkg/ident"

// dump is the membership's state in the state dump.
type dump struct {
	View         View                      `json:"view"`
	Self         Member                    `json:"self"`
	Joined       bool                      `json:"joined"`
	Draining     bool                      `json:"draining"`
	Instance     string                    `json:"instance"`
	StoreHealthy bool                      `json:"store-healthy"`
	PresenceSeen bool                      `json:"presence-seen"` // the presence keys are up to date
	Present      map[ident.MemberID]string `json:"present"`       // instance by member with a presence key
	Counters     map[string]uint64         `json:"counters"`
}

// Dump returns the membership's state for the state dump.
func (g *Group) Dump() any {
	s := g.snapshot.Load()
	instances, synced := g.presenceCache.instances()
	c := &g.counters
	return dump{
		View: s.view, Self: s.self, Joined: s.joined, Draining: g.draining.Load(), Instance: g.instance,
		StoreHealthy: g.StoreHealthy(), PresenceSeen: synced, Present: instances,
		Counters: map[string]uint64{
			"changes": c.changes.Load(), "conflicts": c.conflicts.Load(), "settled": c.resolvedWrites.Load(),
			"removals": c.removals.Load(), "unreachable": c.unreachable.Load(), "restored": c.restored.Load(),
			"clock-gaps": c.clockGaps.Load(),
		},
	}
}
