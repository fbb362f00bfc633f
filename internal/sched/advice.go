package sched

import (
	"slices"
	"time"
)

const (
	// maxServersPerCall bounds the servers in the advisor call of a step with few tasks, as the duration of the call grows with
	// each. Wide steps may name up to maxServersOfWideStep, the most that an advisor accepts: a second call costs more.
	maxServersPerCall    = 30
	maxServersOfWideStep = 100
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
	// freeStarvedShare is the same for starved steps of services that are mostly free. They could start at once, so they don't wait
	// behind the calls for a full service.
	freeStarvedShare = 0.25
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

// starvation limits the advisor calls and the starts for starved steps.
type starvation struct {
	budget     time.Duration         // advisor time that starved steps may still use
	freeBudget time.Duration         // the same for steps of mostly free services
	usedShare  map[ServiceID]float64 // results of usedShare since the last pass
	starts     float64               // starts that steps without one for long may still have, see placeStarved
	noneUntil  time.Time             // no step of the queue for advice is starved before this time
	pass       uint64                // scheduling pass that filled that queue
}

// grant is a ticket for an incarnation of a server. It also names the server, as it may outlive it and be valid for one that is added
// again.
type grant struct {
	holder    incarnationID
	server    *server // that held it when it was granted
	ticket    Ticket
	expiresAt time.Time
}

// advice holds the answers of an advisor about the servers that may run a group.
type advice struct {
	allowed   map[incarnationID]bool // answers so far; an advisor never changes them
	positive  []incarnationID        // the allowed ones of these, in the order of the answers
	grants    []grant                // at most one for each server
	refused   []refusedTicket        // at most one for each server
	expiresAt time.Time              // when the newest ticket expires
	inFlight  bool
	lastCall  time.Time // start of the last call
	nextCall  time.Time // no call before this time
	// deferredAt is the latest pass that queued no call, as the tickets would have expired before the starts.
	deferredAt time.Time
	// answeredAt is the number of scheduling passes at the last answer. No further call is due until a pass has used that answer.
	answeredAt uint64
	// tooLong is the duration of a call that was longer than its proxy makes, at tooLongAt.
	tooLong   time.Duration
	tooLongAt time.Time
}

// ticket returns the valid ticket for a server, or "".
func (a *advice) ticket(v *server, now time.Time) Ticket {
	for i := range a.grants {
		g := &a.grants[i]
		if (g.server == v || g.server.removed) && g.holder == v.incarnationID() && now.Before(g.expiresAt) {
			return g.ticket
		}
	}
	return ""
}

// serverOf returns the server that holds a ticket now, or nil. It looks the server up by its name only if it was removed meanwhile:
// passes over a queue ask for it thousands of times.
func (s *Scheduler) serverOf(g *grant) *server {
	v := g.server
	if v.removed {
		v = s.servers[g.holder.server]
	}
	if v == nil || v.info.Incarnation != g.holder.incarnation {
		return nil
	}
	return v
}

// refusedTicket is a server's refusal of a ticket that wasn't known to have expired.
type refusedTicket struct {
	holder incarnationID
	at     time.Time
}

// refuse drops the ticket that a server has refused.
func (a *advice) refuse(v *server, now time.Time) {
	a.forget(v.info.ID)
	a.refused = slices.DeleteFunc(a.refused, func(r refusedTicket) bool {
		return r.holder.server == v.info.ID || now.Sub(r.at) >= startFailureMemory
	})
	a.refused = append(a.refused, refusedTicket{v.incarnationID(), now})
}

// refusedTicket reports whether a server recently refused a ticket.
func (a *advice) refusedTicket(v *server, now time.Time) bool {
	return slices.ContainsFunc(a.refused, func(r refusedTicket) bool {
		return r.holder == v.incarnationID() && now.Sub(r.at) < startFailureMemory
	})
}

// forget drops the ticket for a server.
func (a *advice) forget(id ServerID) {
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.holder.server == id })
}

// grant adds a ticket for a server, replacing an earlier one.
func (a *advice) grant(v *server, ticket Ticket, until time.Time) {
	a.forget(v.info.ID)
	a.grants = append(a.grants, grant{holder: v.incarnationID(), server: v, ticket: ticket, expiresAt: until})
	a.expiresAt = until
}

// NextAdviceRequest returns the most urgent advisor call that takes no longer than atMost, for a step whose longest call
// takes longer than moreThan; 0 means no bound. The servers are selected at the time of the call, when their free capacity is
// known. Starved steps come first while they have budget left, those of mostly free services before others, since urgent steps
// could otherwise keep the advisor's connections busy for ever.
func (s *Scheduler) NextAdviceRequest(now time.Time, moreThan, atMost time.Duration) (AdviceRequest, bool) {
	s.now = now
	s.findStarved()
	onFreeService := func(r *rankedGroup) bool { return s.usedShare(r.queue.Service) < mostlyFreeShare }
	if request, ok := s.starvedRequest(&s.starvation.freeBudget, onFreeService, moreThan, atMost); ok {
		return request, true
	}
	anywhere := func(*rankedGroup) bool { return true }
	if request, ok := s.starvedRequest(&s.starvation.budget, anywhere, moreThan, atMost); ok {
		return request, true
	}
	for i := range s.adviceQueue {
		if request, ok := s.adviceFor(&s.adviceQueue[i], moreThan, atMost); ok {
			s.starvation.budget = min(s.starvation.budget+scale(request.Cost, starvedShare), maxStarvedBudget)
			s.starvation.freeBudget = min(s.starvation.freeBudget+scale(request.Cost, freeStarvedShare), maxStarvedBudget)
			return request, true
		}
	}
	return AdviceRequest{}, false
}

// starvedRequest returns a call for a starved step to which a condition applies, unless the budget of such steps is used up.
func (s *Scheduler) starvedRequest(
	budget *time.Duration, applies func(*rankedGroup) bool, moreThan, atMost time.Duration,
) (AdviceRequest, bool) {
	for *budget > 0 && !s.now.Before(s.starvation.noneUntil) {
		r := s.longestStarved(applies, moreThan, atMost)
		if r == nil {
			break
		}
		if request, ok := s.adviceFor(r, moreThan, atMost); ok {
			*budget -= request.Cost
			return request, true
		}
		if !s.now.Before(r.group.advice.nextCall) {
			break // it has servers to ask about, but the call would be too long
		}
	}
	return AdviceRequest{}, false
}

// findStarved computes once a pass when the first step that waits for advice will be starved, as the search for it reads the whole
// queue.
func (s *Scheduler) findStarved() {
	if s.starvation.pass == s.passes {
		return
	}
	s.starvation.pass = s.passes
	first := s.now
	for i := range s.adviceQueue {
		if g := s.adviceQueue[i].group; g.ready && g.awaitingAdviceSince().Before(first) {
			first = g.awaitingAdviceSince()
		}
	}
	s.starvation.noneUntil = first.Add(starvedAfter)
}

// longestStarved returns the starved step that has waited longest for a call, of those that may be called for now and to which a
// condition applies. A step that isn't ready doesn't wait.
func (s *Scheduler) longestStarved(applies func(*rankedGroup) bool, moreThan, atMost time.Duration) *rankedGroup {
	var oldest *rankedGroup
	for i := range s.adviceQueue {
		r := &s.adviceQueue[i]
		if !r.group.ready || !s.callDue(r, moreThan, atMost) || !applies(r) {
			continue
		}
		if oldest == nil || r.group.awaitingAdviceSince().Before(oldest.group.awaitingAdviceSince()) {
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

// callDue reports whether a call for a step may be made now and can be within bounds.
func (s *Scheduler) callDue(r *rankedGroup, moreThan, atMost time.Duration) bool {
	g := r.group
	if g.advice.inFlight || g.advice.answeredAt == s.passes || s.now.Before(g.advice.nextCall) || g.job.state.Terminal() || g.complete() {
		return false
	}
	if atMost > 0 && g.advice.tooLong > atMost && s.now.Sub(g.advice.tooLongAt) < adviceRecheck {
		return false
	}
	return (atMost == 0 || r.queue.Advisor.CallTime(1) <= atMost) && r.queue.Advisor.CallTime(maxServersPerCall) > moreThan
}

// adviceFor returns the call for a step, if one is due and its duration is within bounds.
func (s *Scheduler) adviceFor(r *rankedGroup, moreThan, atMost time.Duration) (AdviceRequest, bool) {
	g := r.group
	if !g.isOpen() || !s.callDue(r, moreThan, atMost) {
		return AdviceRequest{}, false
	}
	ids := s.selectServers(g, r.queue)
	if len(ids) == 0 {
		g.advice.nextCall = s.now.Add(adviceRecheck)
		return AdviceRequest{}, false
	}
	cost := r.queue.Advisor.CallTime(len(ids))
	if atMost > 0 && cost > atMost {
		g.advice.tooLong, g.advice.tooLongAt = cost, s.now
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
	s.expectUse(&request, g)
	return request, true
}

// hasCapacityWithin reports whether a server has capacity for a task of a step, or will have within a time. The latter is
// computed for large tasks only, as it isn't worth the computation for small ones.
func (s *Scheduler) hasCapacityWithin(step *Step, v *server, within time.Duration) bool {
	charge := step.Charge()
	return v.fits(charge) || large(step, v) && s.untilFree(v, charge) <= within
}

// missing returns the number of tasks of a group that have to be started.
func (g *group) missing() int { return g.waiting }

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
	s.useNoLongerExpected(&request)
	g := s.group(request)
	if g == nil {
		return
	}
	a := &g.advice
	a.inFlight, a.answeredAt = false, s.passes
	if a.allowed == nil {
		a.allowed = map[incarnationID]bool{}
	}
	s.learnGrants(g.job.queue.ID, &request, granted, a)
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
			if !slices.Contains(a.positive, v.incarnationID()) {
				a.positive = append(a.positive, v.incarnationID())
			}
			a.grant(v, ticket, now.Add(valid-ticketMargin))
		}
	}
	s.passNeeded = true
}

// AdviceFailed handles a failed advisor call.
func (s *Scheduler) AdviceFailed(now time.Time, request AdviceRequest) {
	s.now = now
	s.useNoLongerExpected(&request)
	if g := s.group(request); g != nil {
		g.advice.inFlight = false
		g.advice.nextCall = now.Add(adviceRetry)
		s.passNeeded = true
	}
}

// group returns the group that an advisor call is about, or nil.
func (s *Scheduler) group(request AdviceRequest) *group {
	j := s.jobs[request.Job]
	if j == nil || j.occurrences[request.Occurrence] == nil {
		return nil
	}
	return j.occurrences[request.Occurrence].groups[request.Step]
}

// isOpen reports whether the group's occurrence is still in memory.
func (g *group) isOpen() bool {
	o := g.job.occurrences[g.occurrence]
	return o != nil && o.groups[g.index] == g
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
		if o.groups[i].waiting > 0 {
			return time.Hour
		}
		for t := range o.groups[i].tasks.used() {
			if !t.done && len(t.runs) > 0 {
				longest = max(longest, s.remaining(t.runs[0]))
			}
		}
	}
	return longest
}
