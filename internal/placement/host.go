package placement

import (
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// host is an owned backend server. Its used capacity is the sum of its attempts' charges and of the reservations on
// it.
type host struct {
	free            resource.Vector // capacity minus usage; negative after the capacity fell below the running work
	capacity        resource.Vector
	class           capacityClass
	indexPosition   int // index in the host list of its class
	listPosition    int // index in the host list of its shard
	leaving         bool
	info            platform.Host
	attempts        map[ident.AttemptID]*PlacedAttempt
	reservations    map[*gang]*reservation // capacity reserved for gangs
	preemptingUntil time.Time              // no further preemption on this host before this time
	urgentReserve   resource.Vector        // capacity that only urgent requests may take before preemptingUntil
}

// reservation is the capacity reserved on one host for tasks of a gang.
type reservation struct {
	demand resource.Vector // per task
	tasks  int
}

// available returns the free capacity that a request may take. Capacity freed by preemption is reserved for urgent
// requests: an urgent request of a peer is not in the local queue, so queued work would otherwise take the capacity
// first.
func (h *host) available(urgent bool, now time.Time) resource.Vector {
	if urgent || !now.Before(h.preemptingUntil) {
		return h.free
	}
	return h.free.Sub(h.urgentReserve)
}

// charge returns the capacity that an attempt counts for: the larger of the declared demand and the measured usage.
// For a throttled attempt only the allowed part of the CPU counts.
func (t *PlacedAttempt) charge() resource.Vector {
	c := t.Task.Demand.Max(t.Used)
	if t.CPUPercent > 0 {
		c.CPU = min(c.CPU, (t.Task.Demand.CPU*resource.MilliCPU(t.CPUPercent)+99)/100)
	}
	return c
}

// teamUsage is the number of running tasks and the capacity that a team uses on one shard.
type teamUsage struct {
	running int
	used    resource.Vector
}

// shard holds a part of the hosts and their index.
type shard struct {
	mu         sync.Mutex
	hosts      map[ident.HostID]*host
	list       []*host // the same hosts; unlike the map, with an order that a seed reproduces
	index      index
	teams      map[ident.TeamID]*teamUsage
	capacities map[resource.Vector]int // number of hosts per capacity, without leaving ones
	leaving    int
}

func newShard() *shard {
	return &shard{
		hosts: map[ident.HostID]*host{}, teams: map[ident.TeamID]*teamUsage{}, capacities: map[resource.Vector]int{},
	}
}

// setFree sets the free capacity and updates the index. The caller holds the lock of the shard.
func (s *shard) setFree(h *host, free resource.Vector) {
	h.free = free
	if h.leaving {
		return
	}
	s.index.update(h)
}

// addTeamUsage adds n tasks and an amount to a team's usage. The caller holds the lock of the shard.
func (s *shard) addTeamUsage(team ident.TeamID, n int, amount resource.Vector) {
	u, ok := s.teams[team]
	if !ok {
		u = &teamUsage{}
		s.teams[team] = u
	}
	u.running += n
	u.used = u.used.Add(amount)
	if u.running == 0 {
		delete(s.teams, team)
	}
}

// addAttempt places an attempt on a host. The caller holds the lock of the shard.
func (s *shard) addAttempt(h *host, t *PlacedAttempt) {
	h.attempts[t.Task.Attempt] = t
	c := t.charge()
	s.setFree(h, h.free.Sub(c))
	s.addTeamUsage(t.Task.Team, 1, c)
}

// removeAttempt removes an attempt from a host. The caller holds the lock of the shard.
func (s *shard) removeAttempt(h *host, t *PlacedAttempt) {
	delete(h.attempts, t.Task.Attempt)
	c := t.charge()
	s.setFree(h, h.free.Add(c))
	s.addTeamUsage(t.Task.Team, -1, resource.Vector{}.Sub(c))
}

// updateCharge applies a change that may alter the charge of an attempt. The caller holds the lock of the shard.
func (s *shard) updateCharge(h *host, t *PlacedAttempt, change func(*PlacedAttempt)) {
	before := t.charge()
	change(t)
	delta := t.charge().Sub(before)
	if delta.IsZero() {
		return
	}
	s.setFree(h, h.free.Sub(delta))
	s.addTeamUsage(t.Task.Team, 0, delta)
}

// setHostState sets the capacity and the leaving flag of a host. The caller holds the lock of the shard.
func (s *shard) setHostState(h *host, capacity resource.Vector, leaving bool) {
	used := h.capacity.Sub(h.free)
	s.unindexHost(h)
	h.capacity, h.leaving, h.free = capacity, leaving, capacity.Sub(used)
	s.indexHost(h)
}

// indexHost adds a host to the shard's counters and, unless it is leaving, to the index.
func (s *shard) indexHost(h *host) {
	h.class = noClass
	if h.leaving {
		s.leaving++
		return
	}
	s.capacities[h.capacity]++
	s.index.update(h)
}

// unindexHost reverts indexHost.
func (s *shard) unindexHost(h *host) {
	if h.leaving {
		s.leaving--
		return
	}
	if s.capacities[h.capacity]--; s.capacities[h.capacity] == 0 {
		delete(s.capacities, h.capacity)
	}
	s.index.remove(h)
}

// detach removes a host and returns it with its attempts. The caller holds the lock of the shard.
func (s *shard) detach(id ident.HostID) (*host, []PlacedAttempt) {
	h, ok := s.hosts[id]
	if !ok {
		return nil, nil
	}
	placed := make([]PlacedAttempt, 0, len(h.attempts))
	for _, t := range h.attempts {
		placed = append(placed, *t)
		s.addTeamUsage(t.Task.Team, -1, resource.Vector{}.Sub(t.charge()))
	}
	s.unindexHost(h)
	delete(s.hosts, id)
	end := len(s.list) - 1
	s.list[h.listPosition] = s.list[end]
	s.list[h.listPosition].listPosition = h.listPosition
	s.list[end] = nil
	s.list = s.list[:end]
	return h, placed
}

// Attach adds a host with the attempts of its inventory, which replaces all earlier state of the host. Earlier
// attempts that are not in the inventory and reservations on the host are dropped.
func (p *Pool) Attach(info platform.Host, inventory backend.Inventory) {
	p.Detach(info.ID)
	now := p.config.Now()
	h := &host{
		info: info, capacity: inventory.Capacity, free: inventory.Capacity,
		leaving:  inventory.Leaving || info.State == platform.HostLeaving,
		attempts: make(map[ident.AttemptID]*PlacedAttempt, len(inventory.Running)),
	}
	s := p.shardOf(info.ID)
	s.mu.Lock()
	s.hosts[info.ID] = h
	h.listPosition = len(s.list)
	s.list = append(s.list, h)
	s.indexHost(h)
	for _, r := range inventory.Running {
		t := &PlacedAttempt{
			Host: info.ID, Kind: p.config.KindOf(r.Queue), Task: r.Task, Running: true,
			Since: now.Add(-r.Ran.Duration()), percentUncertain: r.Throttled, percentSetAt: now,
		}
		t.Task.Payload = nil
		s.addAttempt(h, t)
		p.moveAttempt(t.Task.Attempt, info.ID)
	}
	s.mu.Unlock()
	for _, r := range inventory.Running {
		p.addToSpread(p.config.KindOf(r.Queue), r.Job, &info, 1)
	}
}

// moveAttempt records the host of an attempt even if another host was recorded, because an inventory is more reliable
// than the record.
func (p *Pool) moveAttempt(id ident.AttemptID, host ident.HostID) {
	a := p.attemptShard(id)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hosts[id] = host
}

// Detach removes a host and returns the attempts that were on it.
func (p *Pool) Detach(id ident.HostID) []PlacedAttempt {
	s := p.shardOf(id)
	s.mu.Lock()
	h, placed := s.detach(id)
	s.mu.Unlock()
	if h == nil {
		return nil
	}
	for i := range placed {
		p.forgetAttempt(placed[i].Task.Attempt, id)
		p.addToSpread(placed[i].Kind, placed[i].Task.Job, &h.info, -1)
	}
	return placed
}

// UpdateHost sets the capacity and the leaving flag of a host. A leaving host takes no new work. When the capacity
// falls below the usage, running work stays, and new work fits only after enough of it has ended.
func (p *Pool) UpdateHost(id ident.HostID, capacity resource.Vector, leaving bool) {
	s := p.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h, ok := s.hosts[id]; ok && (h.capacity != capacity || h.leaving != leaving) {
		s.setHostState(h, capacity, leaving)
	}
}

// RecordUsage records the measured usage of attempts. Usage above the declared demand is charged until the attempt
// ends, even if a later report is lower.
func (p *Pool) RecordUsage(id ident.HostID, reports []backend.Usage) {
	s := p.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.hosts[id]
	if !ok {
		return
	}
	for _, r := range reports {
		if t, ok := h.attempts[r.Attempt]; ok {
			s.updateCharge(h, t, func(t *PlacedAttempt) { t.Used = t.Used.Max(r.Used) })
		}
	}
}

// Release frees the capacity of an attempt that ended or never started. It returns false when the attempt is not on
// the host.
func (p *Pool) Release(id ident.HostID, attempt ident.AttemptID) bool {
	s := p.shardOf(id)
	s.mu.Lock()
	h, ok := s.hosts[id]
	if !ok {
		s.mu.Unlock()
		return false
	}
	t, ok := h.attempts[attempt]
	if ok {
		s.removeAttempt(h, t)
	}
	s.mu.Unlock()
	if !ok {
		return false
	}
	p.forgetAttempt(attempt, id)
	p.addToSpread(t.Kind, t.Task.Job, &h.info, -1)
	return true
}

// ConfirmStart records that the host confirmed the start of an attempt. It returns false when the attempt is not on
// the host.
func (p *Pool) ConfirmStart(id ident.HostID, attempt ident.AttemptID) bool {
	return p.withAttempt(id, attempt, func(_ *shard, _ *host, t *PlacedAttempt) bool {
		t.Running = true
		return true
	})
}

// Attempts returns the attempts on a host.
func (p *Pool) Attempts(id ident.HostID) []PlacedAttempt {
	s := p.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.hosts[id]
	if !ok {
		return nil
	}
	placed := make([]PlacedAttempt, 0, len(h.attempts))
	for _, t := range h.attempts {
		placed = append(placed, *t)
	}
	return placed
}
