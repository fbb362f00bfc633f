package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// gang is a reservation of capacity for the tasks of an all-at-once job. The goroutine that removes it from Pool.gangs
// has to release it.
type gang struct {
	request Request
	expiry  time.Time
	hosts   []hostRef
}

// hostRef is a host with reserved capacity and its shard.
type hostRef struct {
	shard *shard
	host  *host
}

// hostFit is a host and the number of tasks that fit on it.
type hostFit struct {
	hostRef
	tasks int
}

// ReserveGang reserves capacity until expiry for up to n tasks with the request's demand and returns the number of
// tasks that it covers. A caller for which that is not enough calls CancelGang. A repeated call replaces the gang's
// reservation. The tasks are packed into few racks: into the one with the least free capacity that suffices, otherwise
// into the one with the most.
func (p *Pool) ReserveGang(id string, r Request, n int, expiry time.Time) (reserved int) {
	p.CancelGang(id)
	if n <= 0 || r.Demand.Negative() || r.Demand.IsZero() || !p.config.Now().Before(expiry) {
		return 0
	}
	g := &gang{request: r, expiry: expiry}
	g.request.Task.Payload = nil
	for _, f := range p.gangOrder(&r, n) {
		reserved += g.reserveOn(f, n-reserved)
		if reserved == n {
			break
		}
	}
	if reserved == 0 {
		return 0
	}
	p.gangsMu.Lock()
	replaced := p.gangs[id]
	p.gangs[id] = g
	p.gangsMu.Unlock()
	if replaced != nil {
		replaced.release() // made by a concurrent call
	}
	return reserved
}

// gangOrder returns the hosts that fit a task, in the order in which a gang of n tasks fills them.
func (p *Pool) gangOrder(r *Request, n int) []hostFit {
	racks := map[rackKey][]hostFit{}
	tasksPerRack := map[rackKey]int{}
	for _, s := range p.shards {
		s.mu.Lock()
		visitFittingHosts(&s.index, r.Demand, func(h *host) {
			if slices.Contains(r.Avoid, h.info.ID) || p.config.BlockReason(h.info.ID) != "" {
				return
			}
			rack := *rackKeyOf(&h.info)
			f := hostFit{hostRef{s, h}, min(countFits(r.Demand, h.available(r.Urgent, p.config.Now())), n)}
			racks[rack] = append(racks[rack], f)
			tasksPerRack[rack] += f.tasks
		})
		s.mu.Unlock()
	}
	keys := make([]rackKey, 0, len(racks))
	for rack := range racks {
		keys = append(keys, rack)
	}
	slices.SortFunc(keys, func(a, b rackKey) int {
		return cmp.Or(cmp.Compare(tasksPerRack[b], tasksPerRack[a]), cmp.Compare(a.dc, b.dc), cmp.Compare(a.rack, b.rack))
	})
	var order []hostFit
	for remaining := n; len(keys) > 0; {
		i := 0
		for i+1 < len(keys) && remaining > 0 && tasksPerRack[keys[i+1]] >= remaining {
			i++
		}
		rack := keys[i]
		keys = slices.Delete(keys, i, i+1)
		remaining -= tasksPerRack[rack]
		fits := racks[rack]
		slices.SortFunc(fits, func(a, b hostFit) int {
			return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.host.info.ID, b.host.info.ID))
		})
		order = append(order, fits...)
	}
	return order
}

// visitFittingHosts calls visit for every indexed host that fits the demand.
func visitFittingHosts(x *index, demand resource.Vector, visit func(*host)) {
	all := hostQuery{demand: demand, maxTotal: int(^uint(0) >> 1)}
	x.find(all, func(h *host) bool {
		visit(h)
		return true
	})
}

// countFits returns how many times the demand fits the free capacity.
func countFits(demand, free resource.Vector) int {
	n := int64(1) << 40
	for _, p := range [...][2]int64{
		{int64(demand.CPU), int64(free.CPU)},
		{int64(demand.Memory), int64(free.Memory)},
		{int64(demand.GPUs), int64(free.GPUs)},
		{int64(demand.Slots), int64(free.Slots)},
		{int64(demand.Connections), int64(free.Connections)},
	} {
		if p[1] < 0 {
			return 0
		}
		if p[0] > 0 {
			n = min(n, p[1]/p[0])
		}
	}
	return int(n)
}

// reserveOn reserves capacity for up to n tasks on a host and returns the number of tasks.
func (g *gang) reserveOn(f hostFit, n int) int {
	f.shard.mu.Lock()
	defer f.shard.mu.Unlock()
	h := f.host
	if f.shard.hosts[h.info.ID] != h || h.leaving {
		return 0
	}
	n = min(n, f.tasks, countFits(g.request.Demand, h.free))
	if n <= 0 {
		return 0
	}
	if h.reservations == nil {
		h.reservations = map[*gang]*reservation{}
	}
	h.reservations[g] = &reservation{demand: g.request.Demand, tasks: n}
	f.shard.setFree(h, h.free.Sub(g.request.Demand.Times(int64(n))))
	g.hosts = append(g.hosts, f.hostRef)
	return n
}

// release frees the capacity that the gang still has reserved.
func (g *gang) release() {
	for _, t := range g.hosts {
		t.shard.mu.Lock()
		if h, ok := t.host.reservations[g]; ok && t.shard.hosts[t.host.info.ID] == t.host {
			delete(t.host.reservations, g)
			t.shard.setFree(t.host, t.host.free.Add(h.demand.Times(int64(h.tasks))))
		}
		t.shard.mu.Unlock()
	}
}

// removeGang removes a gang from the pool and returns it, or nil when it does not exist.
func (p *Pool) removeGang(id string) *gang {
	p.gangsMu.Lock()
	defer p.gangsMu.Unlock()
	g := p.gangs[id]
	delete(p.gangs, id)
	return g
}

// CommitGang places the tasks in the gang's reservation, frees the rest of the reservation and returns the host of
// each task in order. It returns ErrNoReservation when the reservation has expired or covers fewer tasks, for instance
// because a host was detached, or ErrDuplicate. After an error no task is placed and the reservation is gone.
func (p *Pool) CommitGang(id string, tasks []backend.Task) ([]ident.HostID, error) {
	g := p.removeGang(id)
	if g == nil {
		return nil, fmt.Errorf("%w: gang %s", ErrNoReservation, id)
	}
	defer g.release()
	if !p.config.Now().Before(g.expiry) {
		return nil, fmt.Errorf("%w: gang %s has expired", ErrNoReservation, id)
	}
	hosts := make([]ident.HostID, 0, len(tasks))
	remaining := g.hosts
	for i := range tasks {
		for {
			if len(remaining) == 0 {
				p.rollbackGang(tasks, hosts)
				return nil, fmt.Errorf("%w: gang %s covers %d of %d tasks", ErrNoReservation, id, i, len(tasks))
			}
			ok, err := p.commitTask(g, remaining[0], &tasks[i])
			if err != nil {
				p.rollbackGang(tasks, hosts)
				return nil, err
			}
			if ok {
				break
			}
			remaining = remaining[1:]
		}
		hosts = append(hosts, remaining[0].host.info.ID)
	}
	return hosts, nil
}

// rollbackGang releases the tasks that were already placed.
func (p *Pool) rollbackGang(tasks []backend.Task, hosts []ident.HostID) {
	for i, host := range hosts {
		p.Release(host, tasks[i].Attempt)
	}
}

// commitTask places a task in the capacity reserved on one host. It returns false when the host can no longer take it.
func (p *Pool) commitTask(g *gang, at hostRef, task *backend.Task) (bool, error) {
	r := &g.request
	t := &PlacedAttempt{Host: at.host.info.ID, Kind: r.Kind, Urgent: r.Urgent, Task: *task, Since: p.config.Now()}
	t.Task.Payload = nil
	at.shard.mu.Lock()
	h := at.host
	reserved, ok := h.reservations[g]
	if !ok || at.shard.hosts[h.info.ID] != h || h.leaving || reserved.tasks == 0 ||
		!task.Demand.Fits(h.free.Add(reserved.demand)) {
		at.shard.mu.Unlock()
		return false, nil
	}
	if !p.recordAttempt(task.Attempt, h.info.ID) {
		at.shard.mu.Unlock()
		return false, fmt.Errorf("%w: %s", ErrDuplicate, task.Attempt)
	}
	reserved.tasks--
	at.shard.setFree(h, h.free.Add(reserved.demand))
	at.shard.addAttempt(h, t)
	at.shard.mu.Unlock()
	p.addToSpread(r.Kind, task.Job, &h.info, 1)
	return true, nil
}

// CancelGang frees the gang's reservation, if there is one.
func (p *Pool) CancelGang(id string) {
	if g := p.removeGang(id); g != nil {
		g.release()
	}
}

// ExpireGangs frees the reservations whose expiry has passed and returns their number.
func (p *Pool) ExpireGangs(now time.Time) int {
	var expired []*gang
	p.gangsMu.Lock()
	for id, g := range p.gangs {
		if !now.Before(g.expiry) {
			expired = append(expired, g)
			delete(p.gangs, id)
		}
	}
	p.gangsMu.Unlock()
	for _, g := range expired {
		g.release()
	}
	return len(expired)
}
