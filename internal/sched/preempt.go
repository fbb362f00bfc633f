package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// maxPreemptingSteps bounds the steps of a pass for which servers are compared.
	maxPreemptingSteps = 4
	// maxPreemptionServers bounds the servers with work of lower priority that are compared for a step, and
	// maxPreemptionServersRead those that are looked at to find them.
	maxPreemptionServers     = 32
	maxPreemptionServersRead = 100
	// maxStopsPerPass bounds the runs that a pass stops, and maxStopping those whose end isn't listed yet.
	maxStopsPerPass = 32
	maxStopping     = 64
	// preemptionRetry is the pause before a step for which no run was stopped is considered again.
	preemptionRetry = 50 * time.Millisecond
	// startMargin covers the way of a stop and of the report of its end, and the pass that follows.
	startMargin = 60 * time.Millisecond
	// forecastMaxAge is how long the expected releases of a service are used: computing them reads all runs.
	forecastMaxAge = 100 * time.Millisecond
	// decisionLead is how long before the latest time for a stop a step is considered. Earlier, more of what it lacks may still be
	// released otherwise than expected.
	decisionLead = 60 * time.Millisecond
	// spreadShare is the part of the expected work by which the longest of a step's tasks is assumed to exceed it.
	spreadShare = 0.25
	// waitFactor times the time in which a service works off what waits before a task is how long a stopped task is assumed to wait for room, as more
	// urgent work arrives meanwhile.
	waitFactor = 2
)

// PreemptionOptions tells what a run loses that is stopped to make room.
type PreemptionOptions struct {
	// CheckpointInterval is the time between the checkpoints of a run.
	CheckpointInterval time.Duration
	// RestoreTime is how long a task takes to continue from a checkpoint.
	RestoreTime time.Duration
}

// preemptionState is what the scheduler keeps between passes to preempt runs.
type preemptionState struct {
	holds    []*roomHold // some of them may be given up
	stopping int         // preempted runs whose end isn't listed
	services map[ServiceID]*servicePreemption
	counts   PreemptionCounts
	log      preemptionLog

	// Of the present pass.
	steps, stops int

	servers    []preemption.Server // reused
	candidates []preemptionServer  // reused, for servers
	gangs      []*group            // on the servers; their numbers are the indexes plus 1
}

// servicePreemption is what is known of the work of a service.
type servicePreemption struct {
	ahead     resource.Vector // demand of the steps that found no room in this pass so far
	aheadWork preemption.CoreSeconds
	// waiting are the steps that found no room in this pass so far, in the order of rank, and backlog those of the pass before.
	waiting, backlog []waitingWork
	forecast         preemption.Forecast
	capacity         float64 // cores of its usable servers
	forecastAt       time.Time
}

// waitingWork is the rank of a step that found no room, and the work that starts up to it.
type waitingWork struct {
	rank rank
	work preemption.CoreSeconds
}

// beginPreemption prepares a pass.
func (s *Scheduler) beginPreemption() {
	s.updateHolds()
	s.preemption.steps, s.preemption.stops = 0, 0
	for _, n := range s.preemption.services {
		n.ahead, n.aheadWork = resource.Vector{}, 0
	}
}

// endPreemption keeps what a pass has found out.
func (s *Scheduler) endPreemption() {
	for _, n := range s.preemption.services {
		n.backlog, n.waiting = n.waiting, n.backlog[:0]
	}
}

// preempt stops runs that give way to a group for which no server has capacity.
func (p *pass) preempt(r *rankedGroup) {
	if p.options.Preemption == nil {
		return
	}
	n := p.preemptionOf(r.queue.Service)
	g := r.group
	waiting := max(g.waiting-g.heldPlaces, 0)
	if p.mayPreempt(r, waiting) {
		if startable := waiting - p.pausedTasks(g); startable > 0 {
			p.decidePreemption(r, n, startable)
		}
		waiting = max(g.waiting-g.heldPlaces, 0)
	}
	demand := g.step.Charge().Times(int64(waiting))
	n.ahead = n.ahead.Add(demand)
	n.aheadWork += preemption.Work(demand, p.durations.expect(g.step))
	n.waiting = append(n.waiting, waitingWork{r.rank, n.aheadWork})
}

// pausedTasks returns how many waiting tasks of a group must not start yet, wherever there is room.
func (p *pass) pausedTasks(g *group) int {
	n := 0
	for t := range g.tasks.used() {
		n += boolToInt(t.waiting() && (p.mustWait(t) || t.attemptsMayBeExhausted(g.job.queue.MaxAttempts)))
	}
	return n
}

func (s *Scheduler) preemptionOf(id ServiceID) *servicePreemption {
	n := s.preemption.services[id]
	if n == nil {
		if s.preemption.services == nil {
			s.preemption.services = map[ServiceID]*servicePreemption{}
		}
		n = &servicePreemption{}
		s.preemption.services[id] = n
	}
	return n
}

// mayPreempt makes the checks that read nothing but the group.
func (p *pass) mayPreempt(r *rankedGroup, waiting int) bool {
	g := r.group
	if r.rank.priority != 0 || r.rank.class != onTime || waiting == 0 || g.step.LongRunning || g.job.gaveWay {
		return false
	}
	if r.queue.Advisor != nil && len(g.advice.positive) == 0 {
		return false // it waits for advice
	}
	return p.preemption.steps < maxPreemptingSteps && p.preemption.stops < maxStopsPerPass && p.preemption.stopping < maxStopping &&
		!p.now.Before(g.nextPreemption) && r.rank.slack >= p.stopTime()
}

// stopTime returns the time from a decision until the room of a stopped run can be used.
func (s *Scheduler) stopTime() time.Duration {
	return s.options.MaxStopTime + startMargin + 2*s.delay.median
}

// decidePreemption decides whether runs give way to a group, and stops them.
func (p *pass) decidePreemption(r *rankedGroup, n *servicePreemption, waiting int) {
	g := r.group
	d := p.considerPreemption(r, n, waiting)
	if d.deferred {
		p.preemption.counts.Deferred++
		return
	}
	p.preemption.counts.Decisions[d.verdict.Reason]++
	if !d.compared {
		return
	}
	p.preemption.steps++
	for i := range d.verdict.Plans {
		p.carryOut(r, &d.verdict.Plans[i], &d.step, &d.limits)
	}
	if len(d.verdict.Plans) == 0 {
		g.nextPreemption = p.now.Add(preemptionRetry)
		p.logRefusal(g, &d.step, &d.limits, &d.verdict)
	}
}

// consideredPreemption is a decision that isn't carried out yet.
type consideredPreemption struct {
	step     preemption.Step
	limits   preemption.Limits
	verdict  preemption.Verdict
	deferred bool // there is time; without a verdict
	compared bool // servers were compared: preemption.servers and preemption.candidates belong to the verdict
}

// considerPreemption decides whether runs give way to a group, without a stop. Most steps have room in time, which shows at little cost.
func (p *pass) considerPreemption(r *rankedGroup, n *servicePreemption, waiting int) (d consideredPreemption) {
	g := r.group
	p.updateForecast(n, r.queue.Service)
	d.step = preemption.Step{
		Priority: r.rank.priority, Surplus: g.job.surplus, GaveWay: g.job.gaveWay, Charge: g.step.Charge(), Work: p.durations.expect(g.step),
		Waiting: waiting, Slack: r.rank.slack, SafeSlack: p.safeSlack(r), Ahead: n.ahead, Released: &n.forecast,
	}
	d.limits = preemption.Limits{
		StopTime: p.stopTime(), Stops: min(maxStopsPerPass-p.preemption.stops, maxStopping-p.preemption.stopping),
	}
	if d.step.SafeSlack > d.limits.StopTime+decisionLead {
		d.deferred = true
		return d
	}
	if missing, reason := preemption.Missing(&d.step, d.limits.StopTime); missing == 0 {
		d.verdict.Reason = reason
		return d
	}
	d.compared = true
	held := p.heldForOthers(g)
	for d.step.Waiting > 0 && !p.withinLimitBeside(g, g.heldPlaces+d.step.Waiting, held) {
		d.step.Waiting--
	}
	d.step.FreePlaces = p.freePlaces(r, waiting+int(share(int64(d.step.Ahead.CPU), int64(d.step.Charge.CPU))))
	p.preemptionServers(r, waiting)
	d.verdict = preemption.Decide(&d.step, p.preemption.servers, d.limits)
	return d
}

// safeSlack returns the time until a step should start, see preemption.Step: its share of the job's slack, by its share of the work
// that is left, less spreadShare of that work.
func (p *pass) safeSlack(r *rankedGroup) time.Duration {
	g := r.group
	left := p.criticalPath(g.job, g.job.occurrences[g.occurrence], r.queue, false)
	spare := r.rank.slack - scale(left, spreadShare)
	if left <= 0 || spare <= 0 {
		return spare
	}
	return min(scale(spare, float64(p.durations.expect(g.step))/float64(left)), spare)
}

// expectedWait returns how long a task of a rank that is stopped now is expected to wait for room, after the work of higher rank.
func (n *servicePreemption) expectedWait(r rank) time.Duration {
	if n.capacity <= 0 {
		return neverFree
	}
	work := n.aheadWork
	if i, _ := slices.BinarySearchFunc(n.backlog, r, func(w waitingWork, r rank) int { return w.rank.compare(r) }); i > 0 {
		work = max(work, n.backlog[i-1].work)
	}
	return scale(time.Second, waitFactor*float64(work)/n.capacity)
}

// updateForecast computes the expected releases of a service unless those known are recent. Room that is held isn't released for others.
func (s *Scheduler) updateForecast(n *servicePreemption, id ServiceID) {
	if !n.forecastAt.IsZero() && s.now.Sub(n.forecastAt) < forecastMaxAge {
		return
	}
	n.forecastAt, n.forecast, n.capacity = s.now, preemption.Forecast{}, 0
	for _, v := range s.services[id] {
		s.counts.ServersRead++
		if !v.usable(s.now) {
			continue
		}
		n.capacity += float64(v.info.Capacity.CPU) / 1000
		for _, p := range v.runs {
			switch {
			case p.madeRoom != nil || p.task.group.step.LongRunning:
			case p.phase == phaseStopping:
				n.forecast.Add(s.options.MaxStopTime, p.task.charge())
			default:
				n.forecast.Add(s.remaining(p), p.task.charge())
			}
		}
	}
}

// freePlaces returns how many tasks of a group, at most limit, have room now on servers that the advisor allows or wasn't asked about: a
// group without tickets for them waits for the advisor and not for room.
func (p *pass) freePlaces(r *rankedGroup, limit int) int {
	g, n := r.group, 0
	charge := g.step.Charge()
	for _, v := range p.services[r.queue.Service] {
		if n >= limit {
			break
		}
		p.counts.ServersRead++
		if !v.fits(charge) || !v.usable(p.now) || p.reserved[v.info.ID] || !eligible(g.step, v) {
			continue
		}
		if allowed, known := g.advice.allowed[v.incarnationID()]; r.queue.Advisor != nil && known && !allowed {
			continue
		}
		n += g.places(v, charge, limit-n)
	}
	return n
}
