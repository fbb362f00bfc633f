package sched

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// freeOrder holds the servers of a service, those with the most processor time free first. Advisor calls are chosen from it,
// hundreds a second, so it is sorted once a pass and not for each call.
type freeOrder struct {
	servers []*server
	keys    []freeKey // reused by the next sort
	cold    bool      // one of the servers is slow after its start, so it may have more time free than those before it
	pass    uint64    // scheduling pass in which it was sorted
	fleet   uint64    // version of the fleet then
}

// freeKey is the sort key of a server. Sorting keys moves no pointers, which the garbage collector would have to track.
type freeKey struct {
	free  resource.MilliCPU
	index int // in the service's list of servers
}

// byFree returns the servers of a service, those with the most processor time free at the last pass first.
func (s *Scheduler) byFree(id ServiceID) *freeOrder {
	o := s.freeOrders[id]
	if o == nil {
		o = &freeOrder{}
		s.freeOrders[id] = o
	}
	all := s.services[id]
	if o.servers != nil && o.pass == s.passes && o.fleet == s.fleetVersion && len(o.servers) == len(all) {
		return o
	}
	o.pass, o.fleet = s.passes, s.fleetVersion
	o.keys, o.cold = o.keys[:0], false
	for i, v := range all {
		free := v.unclaimed()
		if v.cold(s.now) && free > 0 {
			free, o.cold = free/coldDivisor, true
		}
		o.keys = append(o.keys, freeKey{free, i})
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
	return o
}

// unclaimed returns the free processor time of a server less what is held and what steps with an advisor call in flight will take.
func (v *server) unclaimed() resource.MilliCPU {
	free := v.info.Capacity.CPU - v.used.CPU - v.expected
	if v.hold != nil {
		free -= v.hold.room().CPU
	}
	return free
}

// expectUse counts the use of the servers by a step whose advisor call begins, so that calls in flight at the same time don't
// all name the same servers and find them full when the answers arrive.
func (s *Scheduler) expectUse(request *AdviceRequest, g *group) {
	request.expected = resource.MilliCPU(int64(g.step.Charge().CPU) * int64(g.missing()) / int64(len(request.Servers)))
	for _, id := range request.Servers {
		s.servers[id].expected += request.expected
	}
}

// useNoLongerExpected ends what expectUse counted.
func (s *Scheduler) useNoLongerExpected(request *AdviceRequest) {
	for _, id := range request.Servers {
		if v := s.servers[id]; v != nil {
			v.expected = max(v.expected-request.expected, 0) // the server may have been added anew
		}
	}
}

const (
	// initialGrantShare is the expected share of servers that an advisor allows until it has answered.
	initialGrantShare = 0.5
	// grantShareWeight is the weight of a new answer in the learned share.
	grantShareWeight = 0.1
	// minGrantShare bounds the learned share, so that the number of servers in a call stays finite.
	minGrantShare = 0.05
)

// learnGrants updates the share of servers that the advisor of a queue allows from an answer about servers without an earlier
// answer.
func (s *Scheduler) learnGrants(q ident.QueueID, request *AdviceRequest, granted map[ServerID]Ticket, a *advice) {
	fresh, allowed := 0, 0
	for _, id := range request.Servers {
		if _, known := a.allowed[incarnationID{id, request.incarnations[id]}]; known {
			continue
		}
		fresh++
		if _, ok := granted[id]; ok {
			allowed++
		}
	}
	if fresh > 0 {
		s.grantShares[q] += grantShareWeight * (float64(allowed)/float64(fresh) - s.grantShare(q))
	}
}

// grantShare returns the expected share of servers that the advisor of a queue allows.
func (s *Scheduler) grantShare(q ident.QueueID) float64 {
	if _, ok := s.grantShares[q]; !ok {
		s.grantShares[q] = initialGrantShare
	}
	return max(s.grantShares[q], minGrantShare)
}

// places returns how many tasks of a group have room on a server, at most limit.
func (g *group) places(v *server, charge resource.Vector, limit int) int {
	n := 0
	for n < limit && v.admits(g, charge.Times(int64(n+1))) && g.allowsAnother(v, n) {
		n++
	}
	return n
}

// selectServers selects the servers of a call: for a task whose start had no answer those that answer commands, else those known to be
// allowed that have capacity or soon will, else those without an answer, else those that are allowed but didn't start tasks lately, or for a long-running task are suspected. Once the group has tickets, servers without an answer are selected
// only if they have free capacity.
func (s *Scheduler) selectServers(g *group, q *Queue) []ServerID {
	if ids := s.answeringServersToAsk(g, q); len(ids) > 0 {
		return ids
	}
	missing := g.missing()
	if g.step.Gang {
		ids, places := s.gangServersToRenew(g, q, false)
		if len(ids) > 0 {
			return ids
		}
		missing = max(missing-places, 1)
	} else if ids := s.serversToRenew(g, q, false); len(ids) > 0 {
		return ids
	}
	if ids := s.freshServers(g, q, missing); len(ids) > 0 {
		return ids
	}
	if g.step.Gang {
		ids, _ := s.gangServersToRenew(g, q, true)
		return ids
	}
	if ids := s.serversToRenew(g, q, true); len(ids) > 0 || !g.step.LongRunning {
		return ids
	}
	return s.suspectsToRenew(g, q)
}

// suspectsToRenew selects the suspected servers known to be allowed for a long-running step that have capacity and no valid ticket.
func (s *Scheduler) suspectsToRenew(g *group, q *Queue) []ServerID {
	var renew []*server
	for _, id := range g.advice.positive {
		v := s.servers[id.server]
		if v != nil && v.incarnationID() == id && v.info.Service == q.Service && v.usableFor(g.step, s.now) && eligible(g.step, v) &&
			g.allowsAnother(v, 0) && v.fits(g.step.Charge()) && g.advice.ticket(v, s.now) == "" {
			renew = append(renew, v)
		}
	}
	return mostFree(renew, min(g.missing()+spareServers, maxServersPerCall))
}

// failedStart reports whether a server recently didn't start a task or refused a ticket of the group.
func (g *group) failedStart(v *server, now time.Time) bool {
	return v.failedStart(now) || g.advice.refusedTicket(v, now)
}

// placesWanted is how many places a call of a wide step asks for, as a multiple of the tasks: other steps take some of them
// until the answer arrives.
const placesWanted = 1.5

// freshServers selects servers without an answer: as many as are expected to have room for the missing tasks. Beyond maxServersPerCall,
// and for a step that has tickets, it selects only servers with room besides what steps with a call in flight will take: in a burst
// all waiting steps would otherwise ask about the few servers with room, again and again, and all but one of them in vain.
func (s *Scheduler) freshServers(g *group, q *Queue, missing int) []ServerID {
	a, charge := &g.advice, g.step.Charge()
	answered := s.now.Add(q.Advisor.CallTime(1))
	share, places := s.grantShare(q.ID), 0.0
	var ids []ServerID
	order := s.byFree(q.Service)
	for i, v := range order.servers {
		onlyWithRoom := len(a.grants) > 0 || len(ids) >= maxServersPerCall
		if onlyWithRoom && !order.cold && max(order.keys[i].free, 0) < charge.CPU {
			break // the servers after it have less
		}
		s.counts.ServersRead++
		if v.removed || !v.usable(answered) || !eligible(g.step, v) || !g.allowsAnother(v, 0) {
			continue
		}
		if _, known := a.allowed[v.incarnationID()]; known {
			continue
		}
		room := g.places(v, charge, missing)
		if onlyWithRoom && (room == 0 || max(v.unclaimed(), 0) < charge.CPU) {
			continue
		}
		ids = append(ids, v.info.ID)
		places += share * float64(room)
		if len(ids) == maxServersOfWideStep || len(ids) >= maxServersPerCall && places >= placesWanted*float64(missing) {
			break
		}
	}
	return ids
}

// serversToRenew selects the servers known to be allowed that have no valid ticket and have capacity or soon will. It selects either
// those that recently didn't start tasks or the others.
func (s *Scheduler) serversToRenew(g *group, q *Queue, failedStart bool) []ServerID {
	cost := q.Advisor
	var renew []*server
	for v := range s.allowedServers(g, q, s.now.Add(cost.CallTime(1))) {
		if g.failedStart(v, s.now) != failedStart {
			continue
		}
		if v.hold != nil && v.hold.group == g {
			if s.heldTicketDue(v.hold, q) {
				renew = append(renew, v)
			}
			continue
		}
		if g.advice.ticket(v, s.now) == "" && s.hasCapacityWithin(g.step, v, cost.CallTime(1)+renewalLead) {
			renew = append(renew, v)
		}
	}
	return mostFree(renew, min(g.missing()+spareServers, maxServersPerCall))
}

// gangServersToRenew selects the servers known to be allowed whose tickets have to be renewed for the whole gang to have room at
// once, or none if there isn't enough: tickets for a part of a gang expire unused. It also returns the number of places on
// allowed servers. Servers that recently didn't start tasks count only if failedStart is set.
func (s *Scheduler) gangServersToRenew(g *group, q *Queue, failedStart bool) ([]ServerID, int) {
	charge, missing := g.step.Charge(), g.missing()
	answered := s.now.Add(q.Advisor.CallTime(missing))
	valid, places := 0, 0
	var renew []*server
	for v := range s.allowedServers(g, q, answered) {
		if !failedStart && g.failedStart(v, s.now) {
			continue
		}
		room := g.places(v, charge, missing)
		if room == 0 && large(g.step, v) && s.untilFree(v, charge) <= answered.Sub(s.now)+renewalLead {
			room = 1
		}
		if room == 0 {
			continue
		}
		places += room
		if g.advice.ticket(v, answered) != "" {
			valid += room
		} else {
			renew = append(renew, v)
		}
	}
	if valid >= missing || places < missing {
		return nil, places
	}
	slices.SortFunc(renew, func(x, y *server) int {
		return cmp.Or(-cmp.Compare(x.unclaimed(), y.unclaimed()), cmp.Compare(x.info.ID, y.info.ID))
	})
	var ids []ServerID
	for _, v := range renew {
		ids = append(ids, v.info.ID)
		valid += max(g.places(v, charge, missing), 1)
		if len(ids) == maxServersOfWideStep || float64(valid) >= placesWanted*float64(missing) {
			break
		}
	}
	return ids, places
}

// allowedServers returns the servers that an advisor allows for a group and that may run a further task at a time.
func (s *Scheduler) allowedServers(g *group, q *Queue, at time.Time) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		for _, id := range g.advice.positive {
			s.counts.ServersRead++
			v := s.servers[id.server]
			if v == nil || v.incarnationID() != id || v.info.Service != q.Service || !v.usable(at) || !eligible(g.step, v) ||
				!g.allowsAnother(v, 0) {
				continue
			}
			if !yield(v) {
				return
			}
		}
	}
}

// mostFree returns the ids of the servers with the most processor time free.
func mostFree(servers []*server, limit int) []ServerID {
	slices.SortFunc(servers, func(x, y *server) int {
		return cmp.Or(-cmp.Compare(x.unclaimed(), y.unclaimed()), cmp.Compare(x.info.ID, y.info.ID))
	})
	ids := make([]ServerID, min(limit, len(servers)))
	for i := range ids {
		ids[i] = servers[i].info.ID
	}
	return ids
}
