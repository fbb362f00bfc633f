package sched

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// maxReserved bounds the groups of a service with a reserved server.
	maxReserved = 2
	// maxReservedShare is the share of a service's usable servers that may be reserved, so that other tasks always have servers. The
	// only server of a service may be reserved.
	maxReservedShare = 0.75
	// maxConsidered bounds the groups of a service that a pass considers for a reservation.
	maxConsidered = 8
	// neverFree is the expected time until a long-running task ends.
	neverFree = time.Hour
	// reservationFactor times the expected time until the reserved server has capacity, within minReservationTime and
	// maxReservationTime, is how long a gang that can't start has a reservation. It has none for as long after it: the server would
	// idle while the other members find no capacity. A group of single tasks starts one as soon as its server has capacity.
	reservationFactor  = 2
	minReservationTime = 5 * time.Second
	maxReservationTime = 30 * time.Second
	// reservationMemory is the pause after which a reservation counts as a new one.
	reservationMemory = time.Second
	// gangFitMaxAge is how long the result of gangFits is used.
	gangFitMaxAge = time.Second
)

// serviceReservations counts the reservations of a service in a pass.
type serviceReservations struct {
	groups     int // with a reserved server, see reserveServer
	servers    int // reserved ones
	maxServers int
	considered int // groups that were considered for a reservation
}

// groupReservation is the time of a gang's reservations, and whether the gang fits.
type groupReservation struct {
	begunAt     time.Time
	latestAt    time.Time // latest pass with a reserved server
	endsAt      time.Time // when the reservation is given up
	pausedUntil time.Time
	checkedAt   time.Time // when fits was computed
	fits        bool      // see gangFits
}

// extend reports whether the gang may go on having a reservation, or begin one of a server that has capacity after a time.
func (r *groupReservation) extend(now time.Time, wait time.Duration) bool {
	switch {
	case now.Before(r.pausedUntil):
		return false
	case r.begunAt.IsZero() || now.Sub(r.latestAt) > reservationMemory:
		r.begunAt, r.endsAt = now, now
	}
	r.endsAt = latest(r.endsAt, r.begunAt.Add(min(max(reservationFactor*wait, minReservationTime), maxReservationTime)))
	if !now.Before(r.endsAt) {
		r.pausedUntil, r.begunAt = now.Add(r.endsAt.Sub(r.begunAt)), time.Time{}
		return false
	}
	r.latestAt = now
	return true
}

// reservationsOf returns the reservations of a service in this pass.
func (p *pass) reservationsOf(id ServiceID) *serviceReservations {
	n := p.reservations[id]
	if n == nil {
		usable := 0
		for _, v := range p.services[id] {
			usable += boolToInt(v.usable(p.now))
		}
		n = &serviceReservations{maxServers: max(1, int(maxReservedShare*float64(usable)))}
		p.reservations[id] = n
	}
	return n
}

// reserve reserves a server for the rest of the pass.
func (p *pass) reserve(n *serviceReservations, v *server) {
	p.reserved[v.info.ID] = true
	n.servers++
}

// handleNoCapacity handles a group for which no server has capacity: it requests advice, has tasks admitted to a server with a long
// lease, and reserves servers for large tasks.
func (p *pass) handleNoCapacity(r *rankedGroup) {
	if p.withheld != nil {
		p.requestLongRunning(p.withheld, r.group, p.latestTask)
	}
	if r.queue.Advisor != nil {
		if p.ticketsWouldExpire(r.queue) && !p.starved[r.group] {
			r.group.advice.deferredAt = p.now
		} else {
			p.adviceQueue = append(p.adviceQueue, *r)
		}
		p.reserveAllowed(r)
	}
	if r.rank.class == pastDeadline || r.rank.class == surplus || r.group.heldPlaces >= r.group.waiting {
		return
	}
	n := p.reservationsOf(r.queue.Service)
	if n.groups >= maxReserved || n.servers >= n.maxServers || n.considered >= maxConsidered {
		return
	}
	large := p.isLargeInService(r.group, r.queue.Service)
	if large && !p.gangFits(r) {
		return // a gang that can't run keeps no other from being considered
	}
	n.considered++
	if large {
		p.reserveServer(r, n)
	}
}

// gangFits reports whether all members of a gang have capacity at once on the usable servers, beside the long-running tasks there. It
// is true for other groups. Without it a reserved server would idle for as long as the servers stay what they are.
func (p *pass) gangFits(r *rankedGroup) bool {
	g := r.group
	if !g.step.Gang {
		return true
	}
	if c := &g.reservation; c.checkedAt.IsZero() || p.now.Sub(c.checkedAt) > gangFitMaxAge {
		c.checkedAt, c.fits = p.now, p.countMembers(r) >= g.tasks.len()
	}
	return g.reservation.fits
}

// countMembers returns how many members of a gang fit on the usable servers beside the long-running tasks there, or the size of the
// gang if more do.
func (p *pass) countMembers(r *rankedGroup) int {
	g, n := r.group, 0
	charge := g.step.Charge()
	for _, v := range p.services[r.queue.Service] {
		p.counts.ServersRead++
		if !v.usable(p.now) || !eligible(g.step, v) {
			continue
		}
		if allowed, known := g.advice.allowed[v.incarnationID()]; r.queue.Advisor != nil && known && !allowed {
			continue
		}
		free := v.info.Capacity.Sub(v.longRunningUse())
		for coming := 0; n < g.tasks.len() && charge.Times(int64(coming+1)).Fits(free) && g.allowsAnother(v, coming); coming++ {
			n++
		}
		if n == g.tasks.len() {
			break
		}
	}
	return n
}

// longRunningUse returns the demand of the long-running tasks on a server.
func (v *server) longRunningUse() resource.Vector {
	var use resource.Vector
	if len(v.runs) == v.finiteRuns {
		return use
	}
	for _, p := range v.runs {
		if p.task.group.step.LongRunning && p.phase != phaseStopping {
			use = use.Add(p.task.charge())
		}
	}
	return use
}

// reserveAllowed reserves allowed servers with free capacity for large tasks while an advisor call is in flight.
func (p *pass) reserveAllowed(r *rankedGroup) {
	g := r.group
	if !g.advice.inFlight {
		return
	}
	if !p.isLargeInService(g, r.queue.Service) || !p.gangFits(r) {
		return
	}
	n := p.reservationsOf(r.queue.Service)
	held := 0
	if g.step.Gang && !g.reservation.extend(p.now, 0) {
		return
	}
	for v := range p.allowedServers(g, r.queue, p.now) {
		if held >= g.missing() || n.servers >= n.maxServers {
			return
		}
		if !p.reserved[v.info.ID] && large(g.step, v) && v.admits(g, g.step.Charge()) {
			p.reserve(n, v)
			held++
		}
	}
}

// reserveServer reserves the server that will have capacity for a large task first.
func (p *pass) reserveServer(r *rankedGroup, n *serviceReservations) {
	g := r.group
	var (
		best *server
		wait time.Duration
	)
	for v := range p.startable(g, r.queue) {
		// A server with held room looks free soonest, and a reservation would keep the group from it for which runs were stopped.
		if p.reserved[v.info.ID] || v.hold != nil && v.hold.group != g || !large(g.step, v) {
			continue
		}
		if w := p.untilFree(v, g.step.Charge()); w < neverFree && (best == nil || w < wait) {
			best, wait = v, w
		}
	}
	if best != nil && (!g.step.Gang || g.reservation.extend(p.now, wait)) {
		p.reserve(n, best)
		n.groups++
	}
}

// startable returns the servers that may run a further task of a group once they have capacity. With an advisor these are the few
// that it allows: reading all servers of a large service for each waiting group took half of the time of a pass.
func (p *pass) startable(g *group, q *Queue) iter.Seq[*server] {
	if q.Advisor != nil {
		return p.allowedServers(g, q, p.now)
	}
	return func(yield func(*server) bool) {
		for _, v := range p.services[q.Service] {
			p.counts.ServersRead++
			if v.usable(p.now) && eligible(g.step, v) && g.allowsAnother(v, 0) && !yield(v) {
				return
			}
		}
	}
}

// untilFree returns the expected time until a server has capacity for a charge.
func (s *Scheduler) untilFree(v *server, charge resource.Vector) time.Duration {
	used := v.used
	left := make([]expectedRelease, 0, len(v.runs))
	for _, p := range v.runs {
		w := neverFree
		switch {
		case p.phase == phaseStopping:
			w = s.options.MaxStopTime
		case !p.task.group.step.LongRunning:
			w = s.remaining(p)
		}
		left = append(left, expectedRelease{after: w, charge: p.task.charge()})
	}
	slices.SortFunc(left, func(a, b expectedRelease) int { return cmp.Compare(a.after, b.after) })
	after := time.Duration(0)
	for _, r := range left {
		if used.Add(charge).Fits(v.info.Capacity) {
			break
		}
		used = used.Sub(r.charge)
		after = r.after
	}
	return after
}

// expectedRelease is capacity that a run is expected to free.
type expectedRelease struct {
	after  time.Duration
	charge resource.Vector
}
