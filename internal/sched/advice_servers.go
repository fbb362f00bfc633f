package sched

import (
	"cmp"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// freeOrder holds the servers of a service, those with the most processor time free first. Advisor calls are chosen from it,
// hundreds a second, so it is sorted once a pass and not for each call.
type freeOrder struct {
	servers []*server
	keys    []freeKey // reused by the next sort
	pass    uint64    // scheduling pass in which it was sorted
	fleet   uint64    // version of the fleet then
}

// freeKey is the sort key of a server. Sorting keys moves no pointers, which the garbage collector would have to track.
type freeKey struct {
	free  resource.MilliCPU
	index int // in the service's list of servers
}

// byFree returns the servers of a service, those with the most processor time free at the last pass first.
func (s *Scheduler) byFree(id ServiceID) []*server {
	o := s.freeOrders[id]
	if o == nil {
		o = &freeOrder{}
		s.freeOrders[id] = o
	}
	all := s.services[id]
	if o.servers != nil && o.pass == s.passes && o.fleet == s.fleetVersion && len(o.servers) == len(all) {
		return o.servers
	}
	o.pass, o.fleet = s.passes, s.fleetVersion
	o.keys = o.keys[:0]
	for i, v := range all {
		o.keys = append(o.keys, freeKey{v.info.Capacity.CPU - v.used.CPU, i})
	}
	slices.SortFunc(o.keys, func(a, b freeKey) int {
		if a.free != b.free {
			return -cmp.Compare(a.free, b.free)
		}
		return cmp.Compare(all[a.index].info.ID, all[b.index].info.ID)
	})
	o.servers = slices.Grow(o.servers[:0], len(all))
	for _, k := range o.keys {
		o.servers = append(o.servers, all[k.index])
	}
	return o.servers
}

// selectServers selects the servers of a call: those known to be allowed that have capacity or soon will, else those without an
// answer. Once the group has tickets, servers without an answer are selected only if they have free capacity.
func (s *Scheduler) selectServers(g *group, q *Queue) []ServerID {
	if ids := s.serversToRenew(g, q); len(ids) > 0 {
		return ids
	}
	a, charge := &g.advice, g.step.Charge()
	answered := s.now.Add(q.Advisor.CallTime(1))
	var ids []ServerID
	for _, v := range s.byFree(q.Service) {
		if v.removed || !v.usable(answered) || len(a.grants) > 0 && !v.fits(charge) || !eligible(g.step, v) || !g.allowsAnother(v, 0) {
			continue
		}
		if _, known := a.allowed[v.incarnationID()]; known {
			continue
		}
		if ids = append(ids, v.info.ID); len(ids) == maxServersPerCall {
			break
		}
	}
	return ids
}

// serversToRenew selects the servers known to be allowed that have no valid ticket and have capacity or soon will.
func (s *Scheduler) serversToRenew(g *group, q *Queue) []ServerID {
	a, cost := &g.advice, q.Advisor
	answered := s.now.Add(cost.CallTime(1))
	var renew []*server
	for _, id := range a.positive {
		v := s.servers[id.server]
		if v == nil || v.incarnationID() != id || v.info.Service != q.Service || !v.usable(answered) || !eligible(g.step, v) ||
			!g.allowsAnother(v, 0) || a.ticket(v, s.now) != "" {
			continue
		}
		if s.hasCapacityWithin(g.step, v, cost.CallTime(1)+renewalLead) {
			renew = append(renew, v)
		}
	}
	return mostFree(renew, min(g.missing()+spareServers, maxServersPerCall))
}

// mostFree returns the ids of the servers with the most processor time free.
func mostFree(servers []*server, limit int) []ServerID {
	slices.SortFunc(servers, func(x, y *server) int {
		free := func(v *server) resource.MilliCPU { return v.info.Capacity.CPU - v.used.CPU }
		return cmp.Or(-cmp.Compare(free(x), free(y)), cmp.Compare(x.info.ID, y.info.ID))
	})
	ids := make([]ServerID, min(limit, len(servers)))
	for i := range ids {
		ids[i] = servers[i].info.ID
	}
	return ids
}
