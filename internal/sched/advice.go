package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxServersPerCall bounds the servers in one advisor call, as the duration of the call grows with each.
	maxServersPerCall = 30
	// spareServers is the number of servers that a call asks about beyond the number of waiting tasks.
	spareServers = 2
	// renewalLead is how long before capacity becomes free a ticket is renewed, in addition to the duration of the call.
	renewalLead = 100 * time.Millisecond
	// ticketMargin is subtracted from the validity of a ticket to cover the delivery of the start.
	ticketMargin = 150 * time.Millisecond
	// adviceRecheck is the pause before servers are selected again for a step without a suitable one.
	adviceRecheck = 30 * time.Millisecond
	// starvedAfter is how long a step may wait for an advisor call before it counts as starved.
	starvedAfter = 3 * time.Second
	// starvedShare is the share of the advisors' time that goes to starved steps. It is a share of time, since a call for a
	// starved step may take many times longer than one for an urgent step, so a share of the calls would take most of the time.
	starvedShare = 0.05
	// maxStarvedBudget bounds the advisor time that accumulates for starved steps.
	maxStarvedBudget = time.Second
	// adviceRetry is the pause after a failed advisor call.
	adviceRetry = 200 * time.Millisecond
)

// incarnationID identifies an incarnation of a server.
type incarnationID struct {
	server      ServerID
	incarnation int64
}

func (v *server) incarnationID() incarnationID {
	return incarnationID{server: v.info.ID, incarnation: v.info.Incarnation}
}

// grant is a ticket for an incarnation of a server. It names the server instead of pointing to it, as it may outlive the server.
type grant struct {
	holder    incarnationID
	ticket    Ticket
	expiresAt time.Time
}

// advice holds the answers of an advisor about the servers that may run a group.
type advice struct {
	allowed   map[incarnationID]bool // answers so far; an advisor never changes them
	grants    []grant                // at most one for each server
	expiresAt time.Time              // when the newest ticket expires
	inFlight  bool
	lastCall  time.Time // start of the last call
	nextCall  time.Time // no call before this time
}

// ticket returns the valid ticket for a server, or "".
func (a *advice) ticket(v *server, now time.Time) Ticket {
	for i := range a.grants {
		if g := &a.grants[i]; g.holder == v.incarnationID() && now.Before(g.expiresAt) {
			return g.ticket
		}
	}
	return ""
}

// forget drops the ticket for a server.
func (a *advice) forget(id ServerID) {
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.holder.server == id })
}

// grant adds a ticket for a server, replacing an earlier one.
func (a *advice) grant(v *server, ticket Ticket, until time.Time) {
	a.forget(v.info.ID)
	a.grants = append(a.grants, grant{v.incarnationID(), ticket, until})
	a.expiresAt = until
}

// NextAdviceRequest returns the most urgent advisor call that takes no longer than atMost, for a step whose longest call
// takes longer than moreThan; 0 means no bound. The servers are selected at the time of the call, when their free capacity is
// known. Starved steps come first while they have budget left, since urgent steps could otherwise keep the advisor's
// connections busy for ever.
func (s *Scheduler) NextAdviceRequest(now time.Time, moreThan, atMost time.Duration) (AdviceRequest, bool) {
	s.now = now
	if r := s.starved(); r != nil {
		if request, ok := s.adviceFor(r, moreThan, atMost); ok {
			s.starvedBudget -= request.Cost
			return request, true
		}
	}
	for i := range s.adviceQueue {
		if request, ok := s.adviceFor(&s.adviceQueue[i], moreThan, atMost); ok {
			s.starvedBudget = min(s.starvedBudget+scale(request.Cost, starvedShare), maxStarvedBudget)
			return request, true
		}
	}
	return AdviceRequest{}, false
}

// starved returns the step that has waited longest for a call, if it is starved and starvedBudget isn't used up.
func (s *Scheduler) starved() *rankedGroup {
	if s.starvedBudget <= 0 {
		return nil
	}
	var oldest *rankedGroup
	for i := range s.adviceQueue {
		r := &s.adviceQueue[i]
		if !r.group.advice.inFlight && (oldest == nil || r.group.awaitingAdviceSince().Before(oldest.group.awaitingAdviceSince())) {
			oldest = r
		}
	}
	if oldest == nil || s.now.Sub(oldest.group.awaitingAdviceSince()) < starvedAfter {
		return nil
	}
	return oldest
}

// awaitingAdviceSince returns the time since which a group has waited for an advisor call.
func (g *group) awaitingAdviceSince() time.Time { return latest(g.readySince, g.advice.lastCall) }

// adviceFor returns the call for a step, if one is due and its duration is within bounds.
func (s *Scheduler) adviceFor(r *rankedGroup, moreThan, atMost time.Duration) (AdviceRequest, bool) {
	g := r.group
	if g.advice.inFlight || s.now.Before(g.advice.nextCall) || g.job.state.Terminal() || g.complete() {
		return AdviceRequest{}, false
	}
	if atMost > 0 && r.queue.Advisor.CallTime(1) > atMost || r.queue.Advisor.CallTime(maxServersPerCall) <= moreThan {
		return AdviceRequest{}, false
	}
	ids := s.selectServers(g, r.queue)
	if len(ids) == 0 {
		g.advice.nextCall = s.now.Add(adviceRecheck)
		return AdviceRequest{}, false
	}
	cost := r.queue.Advisor.CallTime(len(ids))
	if atMost > 0 && cost > atMost {
		return AdviceRequest{}, false
	}
	g.advice.inFlight, g.advice.lastCall = true, s.now
	s.counts.Advice++
	request := AdviceRequest{
		Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.index, Servers: ids, Cost: cost, incarnations: map[ServerID]int64{},
	}
	for _, id := range ids {
		request.incarnations[id] = s.servers[id].info.Incarnation
	}
	return request, true
}

// selectServers selects the servers of a call: those known to be allowed that have capacity or soon will, else those without an
// answer. Once the group has tickets, servers without an answer are selected only if they have free capacity.
func (s *Scheduler) selectServers(g *group, q *Queue) []ServerID {
	a, cost := &g.advice, q.Advisor
	charge := g.step.Charge()
	need := g.missing() + spareServers
	answered := s.now.Add(cost.CallTime(1))
	var renew, fresh []*server
	for _, v := range s.services[q.Service] {
		if !v.usable(answered) || !eligible(g.step, v) || !g.allowsAnother(v, 0) {
			continue
		}
		allowed, known := a.allowed[v.incarnationID()]
		switch {
		case !known:
			if len(a.grants) == 0 || v.fits(charge) {
				fresh = append(fresh, v)
			}
		case allowed && a.ticket(v, s.now) == "" && s.hasCapacityWithin(g.step, v, cost.CallTime(1)+renewalLead):
			renew = append(renew, v)
		}
	}
	if len(renew) > 0 {
		return mostFree(renew, min(need, maxServersPerCall))
	}
	return mostFree(fresh, maxServersPerCall)
}

// hasCapacityWithin reports whether a server has capacity for a task of a step, or will have within a time. The latter is
// computed for large tasks only, as it isn't worth the computation for small ones.
func (s *Scheduler) hasCapacityWithin(step *Step, v *server, within time.Duration) bool {
	charge := step.Charge()
	return v.fits(charge) || large(step, v) && s.untilFree(v, charge) <= within
}

// missing returns the number of tasks of a group that have to be started.
func (g *group) missing() int { return g.waiting }

// mostFree returns the ids of the servers with the most processor time free.
func mostFree(servers []*server, limit int) []ServerID {
	free := func(v *server) int64 { return int64(v.info.Capacity.CPU - v.used.CPU) }
	slices.SortStableFunc(servers, func(x, y *server) int {
		return cmp.Or(-cmp.Compare(free(x), free(y)), cmp.Compare(x.info.ID, y.info.ID))
	})
	ids := make([]ServerID, min(limit, len(servers)))
	for i := range ids {
		ids[i] = servers[i].info.ID
	}
	return ids
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// eligible reports whether a server could run a task of a step if it were empty.
func eligible(step *Step, v *server) bool {
	return step.Charge().Fits(v.info.Capacity) && (step.Label == "" || slices.Contains(v.info.Labels, step.Label))
}

// AdviceReceived handles an advisor's answer: tickets for those of the servers that may run the step.
func (s *Scheduler) AdviceReceived(now time.Time, request AdviceRequest, granted map[ServerID]Ticket, asked time.Time) {
	s.now = now
	g := s.group(request)
	if g == nil {
		return
	}
	a := &g.advice
	a.inFlight = false
	if a.allowed == nil {
		a.allowed = map[incarnationID]bool{}
	}
	valid := time.Duration(0)
	if a := g.job.queue.Advisor; a != nil {
		valid = a.TicketValidity
	}
	for _, id := range request.Servers {
		v := s.servers[id]
		if v == nil || v.info.Incarnation != request.incarnations[id] {
			continue // the answer is about an incarnation that has ended
		}
		ticket, ok := granted[id]
		a.allowed[v.incarnationID()] = ok
		if ok {
			a.grant(v, ticket, now.Add(valid-ticketMargin))
		}
	}
	s.passNeeded = true
}

// AdviceFailed handles a failed advisor call.
func (s *Scheduler) AdviceFailed(now time.Time, request AdviceRequest) {
	s.now = now
	if g := s.group(request); g != nil {
		g.advice.inFlight = false
		g.advice.nextCall = now.Add(adviceRetry)
		s.passNeeded = true
	}
}

// group returns the group that an advisor call is about, or nil.
func (s *Scheduler) group(request AdviceRequest) *group {
	t := s.lookup(TaskID{Job: request.Job, Occurrence: request.Occurrence, Step: request.Step})
	if t == nil {
		return nil
	}
	return t.group
}

// prefetchLead is how long before a step is expected to be ready its advice is requested.
const prefetchLead = 700 * time.Millisecond

// prefetchInterval is the interval at which groups are checked for successors to prefetch advice for.
const prefetchInterval = 25 * time.Millisecond

// prefetchAdvice queues successors of a group for advice if their predecessors are about to end.
func (s *Scheduler) prefetchAdvice(g *group, q *Queue) {
	if q.Advisor == nil || g.complete() || g.step.LongRunning {
		return
	}
	o := g.job.occurrences[g.occurrence]
	if o == nil || len(o.groups) == 1 {
		return
	}
	for _, next := range o.groups {
		if next.ready || len(next.advice.grants) > 0 || !slices.Contains(next.step.After, g.index) {
			continue
		}
		if s.untilReady(o, next) <= min(prefetchLead, q.Advisor.TicketValidity/2)+q.Advisor.BaseTime {
			s.prefetchQueue = append(s.prefetchQueue, rankedGroup{group: next, queue: q})
		}
	}
}

// untilReady returns the expected time until the predecessors of a group are complete.
func (s *Scheduler) untilReady(o *occurrence, g *group) time.Duration {
	longest := time.Duration(0)
	for _, i := range g.step.After {
		for _, t := range o.groups[i].tasks {
			switch {
			case t.done:
			case len(t.runs) == 0:
				return time.Hour
			default:
				longest = max(longest, s.remaining(t.runs[0]))
			}
		}
	}
	return longest
}
