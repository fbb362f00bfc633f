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

// gang is a reservation of room for the tasks of an all-at-once job. Whoever takes it out of Pool.gangs owns it.
type gang struct {
	request Request
	expiry  time.Time
	parts   []part
}

// part is the room that a gang holds on one host.
type part struct {
	shard *shard
	host  *host
}

// fit is a host with room for some tasks.
type fit struct {
	part
	tasks int
}

// Reserve holds room for up to n tasks of the request's demand until expiry and returns for how many; the caller
// cancels when that isn't enough. A repeated call replaces the gang's reservation. The tasks are packed into few
// racks: the one with the least sufficient room, otherwise the one with the most.
func (p *Pool) Reserve(id string, r Request, n int, expiry time.Time) (held int) {
	p.Cancel(id)
	if n <= 0 || r.Demand.Negative() || r.Demand.IsZero() || !p.config.Now().Before(expiry) {
		return 0
	}
	g := &gang{request: r, expiry: expiry}
	g.request.Task.Payload = nil
	for _, f := range p.pack(&r, n) {
		held += g.hold(f, n-held)
		if held == n {
			break
		}
	}
	if held == 0 {
		return 0
	}
	p.gangsMu.Lock()
	earlier := p.gangs[id]
	p.gangs[id] = g
	p.gangsMu.Unlock()
	if earlier != nil {
		earlier.release() // of a concurrent call
	}
	return held
}

// pack returns hosts with room in the order in which a gang of n tasks takes them.
func (p *Pool) pack(r *Request, n int) []fit {
	racks := map[place][]fit{}
	room := map[place]int{}
	for _, s := range p.shards {
		s.mu.Lock()
		visitAll(&s.index, r.Demand, func(h *host) {
			if slices.Contains(r.Avoid, h.info.ID) || p.config.Blocked(h.info.ID) != "" {
				return
			}
			at := *placeOf(&h.info)
			f := fit{part{s, h}, min(timesFits(r.Demand, h.room(r.Urgent, p.config.Now())), n)}
			racks[at] = append(racks[at], f)
			room[at] += f.tasks
		})
		s.mu.Unlock()
	}
	places := make([]place, 0, len(racks))
	for at := range racks {
		places = append(places, at)
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(room[b], room[a]), cmp.Compare(a.dc, b.dc), cmp.Compare(a.rack, b.rack))
	})
	var order []fit
	for left := n; len(places) > 0; {
		i := 0
		for i+1 < len(places) && left > 0 && room[places[i+1]] >= left {
			i++
		}
		at := places[i]
		places = slices.Delete(places, i, i+1)
		left -= room[at]
		fits := racks[at]
		slices.SortFunc(fits, func(a, b fit) int {
			return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.host.info.ID, b.host.info.ID))
		})
		order = append(order, fits...)
	}
	return order
}

// visitAll calls visit for every indexed host with room.
func visitAll(x *index, demand resource.Vector, visit func(*host)) {
	all := search{demand: demand, total: int(^uint(0) >> 1)}
	x.find(all, func(h *host) bool {
		visit(h)
		return true
	})
}

// timesFits returns how many times the demand fits.
func timesFits(demand, free resource.Vector) int {
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

// hold reserves room for up to n tasks on a host.
func (g *gang) hold(f fit, n int) int {
	f.shard.mu.Lock()
	defer f.shard.mu.Unlock()
	h := f.host
	if f.shard.hosts[h.info.ID] != h || h.leaving {
		return 0
	}
	n = min(n, f.tasks, timesFits(g.request.Demand, h.free))
	if n <= 0 {
		return 0
	}
	if h.holds == nil {
		h.holds = map[*gang]*hold{}
	}
	h.holds[g] = &hold{demand: g.request.Demand, tasks: n}
	f.shard.setFree(h, h.free.Sub(g.request.Demand.Times(int64(n))))
	g.parts = append(g.parts, f.part)
	return n
}

// release frees what the gang still holds.
func (g *gang) release() {
	for _, t := range g.parts {
		t.shard.mu.Lock()
		if h, ok := t.host.holds[g]; ok && t.shard.hosts[t.host.info.ID] == t.host {
			delete(t.host.holds, g)
			t.shard.setFree(t.host, t.host.free.Add(h.demand.Times(int64(h.tasks))))
		}
		t.shard.mu.Unlock()
	}
}

// take removes a gang from the pool and returns it, or nil.
func (p *Pool) take(id string) *gang {
	p.gangsMu.Lock()
	defer p.gangsMu.Unlock()
	g := p.gangs[id]
	delete(p.gangs, id)
	return g
}

// Commit places the tasks in the gang's reservation and returns the host of each, in order; room held for more tasks
// is freed. It returns ErrGang when the reservation has expired or holds less, for instance because a host has left,
// or ErrDuplicate; then nothing is placed and the reservation is gone.
func (p *Pool) Commit(id string, tasks []backend.Task) ([]ident.HostID, error) {
	g := p.take(id)
	if g == nil {
		return nil, fmt.Errorf("%w: %s", ErrGang, id)
	}
	defer g.release()
	if !p.config.Now().Before(g.expiry) {
		return nil, fmt.Errorf("%w: %s has expired", ErrGang, id)
	}
	hosts := make([]ident.HostID, 0, len(tasks))
	parts := g.parts
	for i := range tasks {
		for {
			if len(parts) == 0 {
				p.undo(tasks, hosts)
				return nil, fmt.Errorf("%w: %s holds room for %d of %d tasks", ErrGang, id, i, len(tasks))
			}
			ok, err := p.commit(g, parts[0], &tasks[i])
			if err != nil {
				p.undo(tasks, hosts)
				return nil, err
			}
			if ok {
				break
			}
			parts = parts[1:]
		}
		hosts = append(hosts, parts[0].host.info.ID)
	}
	return hosts, nil
}

// undo releases the tasks that were committed.
func (p *Pool) undo(tasks []backend.Task, hosts []ident.HostID) {
	for i, host := range hosts {
		p.Release(host, tasks[i].Attempt)
	}
}

// commit turns a part of a reservation into a placed task. It returns false when the host can't take it any more.
func (p *Pool) commit(g *gang, at part, task *backend.Task) (bool, error) {
	r := &g.request
	t := &Placed{Host: at.host.info.ID, Kind: r.Kind, Urgent: r.Urgent, Task: *task, Since: p.config.Now()}
	t.Task.Payload = nil
	at.shard.mu.Lock()
	h := at.host
	held, ok := h.holds[g]
	if !ok || at.shard.hosts[h.info.ID] != h || h.leaving || held.tasks == 0 ||
		!task.Demand.Fits(h.free.Add(held.demand)) {
		at.shard.mu.Unlock()
		return false, nil
	}
	if !p.claim(task.Attempt, h.info.ID) {
		at.shard.mu.Unlock()
		return false, fmt.Errorf("%w: %s", ErrDuplicate, task.Attempt)
	}
	held.tasks--
	at.shard.setFree(h, h.free.Add(held.demand))
	at.shard.add(h, t)
	at.shard.mu.Unlock()
	p.spreadAdd(r.Kind, task.Job, &h.info, 1)
	return true, nil
}

// Cancel frees the gang's reservation, if there is one.
func (p *Pool) Cancel(id string) {
	if g := p.take(id); g != nil {
		g.release()
	}
}

// Expire frees the reservations whose expiry has passed and returns their number.
func (p *Pool) Expire(now time.Time) int {
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
