package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxServersPerCall bounds the servers that one call for advice names; the service's price grows with each.
	maxServersPerCall = 30
	// spareServers is the number of servers named beyond the tasks that wait.
	spareServers = 2
	// renewalLead is how long before room is free its ticket is renewed, beside the time of the call.
	renewalLead = 100 * time.Millisecond
	// ticketMargin is subtracted from the validity of a ticket for the way of the start.
	ticketMargin = 150 * time.Millisecond
	// adviceRecheck is the pause before the servers of a step are looked through again after none was worth naming.
	adviceRecheck = 30 * time.Millisecond
	// starvedAfter is how long a step may wait for a call before it counts as starved.
	starvedAfter = 3 * time.Second
	// starvedShare is the share of the advisors' time that goes to starved steps. Their calls may cost many times more than
	// those of urgent ones, so a share of the calls would take most of the time.
	starvedShare = 0.05
	// maxStarvedBudget bounds the time that is saved up for them.
	maxStarvedBudget = time.Second
	// adviceRetry is the pause after a call for advice without an answer.
	adviceRetry = 200 * time.Millisecond
)

type grant struct {
	server    *server
	ticket    Ticket
	expiresAt time.Time
}

// advice is what is known of the servers that may run a group.
type advice struct {
	allowed   map[ServerID]bool // verdicts so far; they don't change
	grants    []grant           // one for each server
	expiresAt time.Time         // when the last of the tickets expires
	inFlight  bool
	lastCall  time.Time // when the last call was made
	nextCall  time.Time // no call before it
}

func (a *advice) ticket(id ServerID, now time.Time) Ticket {
	for i := range a.grants {
		if g := &a.grants[i]; g.server.info.ID == id && now.Before(g.expiresAt) {
			return g.ticket
		}
	}
	return ""
}

func (a *advice) forget(id ServerID) {
	a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.server.info.ID == id })
}

// grant enters a ticket.
func (a *advice) grant(v *server, ticket Ticket, until time.Time) {
	a.forget(v.info.ID)
	a.grants = append(a.grants, grant{v, ticket, until})
	a.expiresAt = until
}

// forgetTickets drops the tickets of a server whose life ended.
func (s *Scheduler) forgetTickets(id ServerID) {
	for _, g := range s.groups {
		g.advice.forget(id)
		delete(g.advice.allowed, id)
	}
}

// NextAdviceRequest returns the most urgent call for advice that costs more than least and at most most; 0 means any. The servers are
// chosen now, so that the call names those that matter when it is made. Now and then the step that has waited longest comes
// first, which else might never be asked for while more urgent ones keep all lines busy.
func (s *Scheduler) NextAdviceRequest(now time.Time, moreThan, atMost time.Duration) (AdviceRequest, bool) {
	s.now = now
	if r := s.starved(); r != nil {
		if o, ok := s.adviceFor(r, moreThan, atMost); ok {
			s.starvedBudget -= o.Cost
			return o, true
		}
	}
	for i := range s.adviceQueue {
		if o, ok := s.adviceFor(&s.adviceQueue[i], moreThan, atMost); ok {
			s.starvedBudget = min(s.starvedBudget+scale(o.Cost, starvedShare), maxStarvedBudget)
			return o, true
		}
	}
	return AdviceRequest{}, false
}

// starved returns the step that has waited longest for a call, if that is long and starved steps have time left at the
// advisors.
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

// awaitingAdviceSince returns since when a group waits for a call for advice.
func (g *group) awaitingAdviceSince() time.Time { return latest(g.readySince, g.advice.lastCall) }

// adviceFor returns the call for a step, if one is due and its cost is within bounds.
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
	return AdviceRequest{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.index, Servers: ids, Cost: cost}, true
}

// selectServers chooses the servers of a call: those known to be allowed that have room or soon will, else those without a
// verdict. Once some are known to be allowed, others are of interest only while they have room.
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
		allowed, known := a.allowed[v.info.ID]
		switch {
		case !known:
			if len(a.grants) == 0 || v.fits(charge) {
				fresh = append(fresh, v)
			}
		case allowed && a.ticket(v.info.ID, s.now) == "" && s.hasRoomWithin(g.step, v, cost.CallTime(1)+renewalLead):
			renew = append(renew, v)
		}
	}
	if len(renew) > 0 {
		return mostFree(renew, min(need, maxServersPerCall))
	}
	return mostFree(fresh, maxServersPerCall)
}

// hasRoomWithin reports whether a server has room for a task of a step, or will have within a time. Only for large tasks is it
// worth while to work out the latter.
func (s *Scheduler) hasRoomWithin(step *Step, v *server, within time.Duration) bool {
	charge := step.Charge()
	return v.fits(charge) || large(step, v) && s.untilFree(v, charge) <= within
}

// missing counts the tasks of a group that have to be started.
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

// eligible reports whether a server could ever run the step, whatever is free.
func eligible(step *Step, v *server) bool {
	return step.Charge().Fits(v.info.Capacity) && (step.Label == "" || slices.Contains(v.info.Labels, step.Label))
}

// AdviceReceived handles the answer of an advisor: tickets of the named servers that may run the step.
func (s *Scheduler) AdviceReceived(now time.Time, o AdviceRequest, granted map[ServerID]Ticket, asked time.Time) {
	s.now = now
	g := s.group(o)
	if g == nil {
		return
	}
	a := &g.advice
	a.inFlight = false
	if a.allowed == nil {
		a.allowed = map[ServerID]bool{}
	}
	valid := time.Duration(0)
	if a := g.job.queue.Advisor; a != nil {
		valid = a.TicketValidity
	}
	for _, id := range o.Servers {
		ticket, ok := granted[id]
		a.allowed[id] = ok
		if v := s.servers[id]; ok && v != nil {
			a.grant(v, ticket, now.Add(valid-ticketMargin))
		}
	}
	s.passNeeded = true
}

// AdviceFailed handles a call for advice without a usable answer.
func (s *Scheduler) AdviceFailed(now time.Time, o AdviceRequest) {
	s.now = now
	if g := s.group(o); g != nil {
		g.advice.inFlight = false
		g.advice.nextCall = now.Add(adviceRetry)
		s.passNeeded = true
	}
}

func (s *Scheduler) group(o AdviceRequest) *group {
	t := s.lookup(TaskID{Job: o.Job, Occurrence: o.Occurrence, Step: o.Step})
	if t == nil {
		return nil
	}
	return t.group
}

// prefetchLead is how long before a step's turn its advice is sought.
const prefetchLead = 700 * time.Millisecond

// prefetchInterval is the interval at which steps are looked through for it.
const prefetchInterval = 25 * time.Millisecond

// prefetchAdvice asks for advice on steps whose predecessors are about to end.
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

// untilReady returns the expected time until the predecessors of a group are done.
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
