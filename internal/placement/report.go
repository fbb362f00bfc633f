package placement

import (
	"cmp"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// CapacityByDataCentre returns the free and the total capacity per data centre, sorted by name. Leaving and
// quarantined hosts are excluded. Largest holds the maximum per resource, so its amounts may come from different
// hosts.
func (p *Pool) CapacityByDataCentre() []wire.DataCentreCapacity {
	rooms := map[ident.DataCentre]*wire.DataCentreCapacity{}
	for _, s := range p.shards {
		s.mu.Lock()
		for _, h := range s.list {
			if h.leaving || p.config.BlockReason(h.info.ID) != "" {
				continue
			}
			r, ok := rooms[h.info.DataCentre]
			if !ok {
				r = &wire.DataCentreCapacity{DataCentre: h.info.DataCentre, Region: h.info.Region}
				rooms[h.info.DataCentre] = r
			}
			r.Capacity = r.Capacity.Add(h.capacity)
			r.LargestHost = r.LargestHost.Max(h.capacity)
			if h.free.Negative() {
				continue // takes no work until some of its attempts have ended
			}
			r.Free = r.Free.Add(h.free)
			r.LargestFree = r.LargestFree.Max(h.free)
		}
		s.mu.Unlock()
	}
	list := make([]wire.DataCentreCapacity, 0, len(rooms))
	for _, r := range rooms {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b wire.DataCentreCapacity) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// TeamUsage returns the usage of every team with placed attempts, sorted by team. Reservations of gangs are not
// included.
func (p *Pool) TeamUsage() []wire.TeamUsage {
	teams := map[ident.TeamID]wire.TeamUsage{}
	for _, s := range p.shards {
		s.mu.Lock()
		for id, u := range s.teams {
			t := teams[id]
			teams[id] = wire.TeamUsage{Team: id, Running: t.Running + u.running, Used: t.Used.Add(u.used)}
		}
		s.mu.Unlock()
	}
	list := make([]wire.TeamUsage, 0, len(teams))
	for _, t := range teams {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b wire.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// HostDump is the state of one host.
type HostDump struct {
	Host     ident.HostID    `json:"host"`
	Capacity resource.Vector `json:"capacity"`
	Free     resource.Vector `json:"free"`
	Leaving  bool            `json:"leaving,omitempty"`
	Blocked  string          `json:"blocked,omitempty"`
	Attempts int             `json:"attempts"`
	Reserved int             `json:"reserved-tasks,omitempty"`
}

// Dump is the pool's state in the state dump.
type Dump struct {
	Hosts []HostDump                `json:"hosts"` // sorted by host
	Gangs int                       `json:"gangs"`
	Rooms []wire.DataCentreCapacity `json:"rooms"`
	Teams []wire.TeamUsage          `json:"teams"`
}

// Dump returns the pool's state for the state dump.
func (p *Pool) Dump() Dump {
	d := Dump{Rooms: p.CapacityByDataCentre(), Teams: p.TeamUsage()}
	for _, s := range p.shards {
		s.mu.Lock()
		for _, h := range s.list {
			hd := HostDump{
				Host: h.info.ID, Capacity: h.capacity, Free: h.free, Leaving: h.leaving,
				Blocked: p.config.BlockReason(h.info.ID), Attempts: len(h.attempts),
			}
			for _, r := range h.reservations {
				hd.Reserved += r.tasks
			}
			d.Hosts = append(d.Hosts, hd)
		}
		s.mu.Unlock()
	}
	slices.SortFunc(d.Hosts, func(a, b HostDump) int { return cmp.Compare(a.Host, b.Host) })
	p.gangsMu.Lock()
	d.Gangs = len(p.gangs)
	p.gangsMu.Unlock()
	return d
}
