package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// largeShare is the share of a server's capacity from which a task counts as large. Servers are reserved for large tasks.
	largeShare = 0.4
)

// Schedule starts the tasks that fit, in the order of rank. It does nothing if nothing changed since the last call.
func (s *Scheduler) Schedule(now time.Time) {
	s.now = now
	if !s.passNeeded {
		return
	}
	s.passNeeded = false
	s.passes++
	s.counts.Passes++
	s.balanceSchedules()
	p := pass{
		Scheduler: s, reserved: map[ServerID]bool{}, reservations: map[ServiceID]*serviceReservations{},
		blocked: map[unknownInventory]bool{}, inDoubt: s.underFormerLongLease(),
	}
	clear(s.starvation.usedShare)
	groups := s.rankedGroups()
	s.beginPreemption()
	s.adviceQueue = s.adviceQueue[:0]
	p.placeStarved(groups)
	for i := range groups {
		p.place(&groups[i])
	}
	s.endPreemption()
	if now.Sub(s.prefetchedAt) >= prefetchInterval {
		s.prefetchedAt, s.prefetchQueue = now, s.prefetchQueue[:0]
		for _, g := range s.groups {
			s.prefetchAdvice(g, g.job.queue)
		}
	}
	s.adviceQueue = append(s.adviceQueue, s.prefetchQueue...)
	s.passNeeded = s.passNeeded || s.balanceSchedules()
}

// unknownInventory are the arguments of hasUnknownInventory.
type unknownInventory struct {
	service     ServiceID
	longRunning bool
}

// isBlocked returns the result of hasUnknownInventory, which it computes once a pass and only if it is needed, as that reads all servers.
func (p *pass) isBlocked(u unknownInventory) bool {
	blocked, known := p.blocked[u]
	if !known {
		blocked = p.hasUnknownInventory(u.service, u.longRunning)
		p.blocked[u] = blocked
	}
	return blocked
}

// pass is the state of one scheduling pass over the ranked groups.
type pass struct {
	*Scheduler
	reserved     map[ServerID]bool // servers reserved for groups of higher rank
	reservations map[ServiceID]*serviceReservations
	scratch      []*server
	blocked      map[unknownInventory]bool // results of hasUnknownInventory
	delayedTasks int                       // tasks with a server that wait until a start may be sent
	inDoubt      map[TaskID]bool           // see underFormerLongLease
	withheld     *server                   // the best server for latestTask among those that don't admit it yet, or nil
	latestTask   *task                     // the latest task that pickServer was called for
	unproven     []*server                 // those that latestTask would have to wait for, if it is long-running
	speeds       speedRange                // of the servers that pickServer may choose
	uncounted    *uncountedRuns            // nil until uncountedDemand is called
	starved      map[*group]bool           // the groups that placeStarved has chosen
}

// place starts as many tasks of a group as possible.
func (p *pass) place(r *rankedGroup) {
	switch {
	case p.held(r):
	case r.group.step.Gang:
		p.placeGang(r)
	default:
		if p.placeTasks(r, r.group.tasks.len()) {
			p.preempt(r) // first, as it doesn't consider reserved servers
			p.handleNoCapacity(r)
		}
	}
}

// held reports whether no task of a group may start for now, wherever there is room.
func (p *pass) held(r *rankedGroup) bool {
	g := r.group
	if !g.step.Speculative && (!p.recordService(g.job, r.queue.Service) || g.job.inherited && p.mayRunUnlisted(r)) {
		return true
	}
	return p.now.Before(g.noStartsBefore)
}

// placeTasks starts up to limit tasks of a group that isn't a gang. It reports whether no server has capacity for a further one.
func (p *pass) placeTasks(r *rankedGroup, limit int) (full bool) {
	g := r.group
	var unproven tentative // tasks that wait for the proof of their server's incarnation; nil while there are none
	for t := range g.tasks.waiting() {
		if limit <= 0 {
			return false
		}
		if t.attemptsMayBeExhausted(r.queue.MaxAttempts) || p.mustWait(t) {
			continue
		}
		if !p.withinLimit(g, 1) {
			return false
		}
		v := p.pickServer(r, t, unproven)
		if v == nil {
			return len(unproven) == 0
		}
		if g.step.LongRunning && (p.awaitsCommandAnswer(r, t, v) || !p.responds(v, t.lostAt)) {
			continue
		}
		if !p.proveIncarnation(v) {
			if unproven == nil {
				unproven = tentative{}
			}
			unproven[v]++
			limit--
			continue
		}
		if p.startWindowFull() {
			p.delayedTasks += g.waiting
			return false
		}
		p.start(t, v, p.nextRun(t), g.advice.ticket(v, p.now))
		limit--
	}
	return false
}

// attemptsMayBeExhausted reports whether the task has no attempt left if all its runs with an unknown outcome failed.
func (t *task) attemptsMayBeExhausted(attempts int) bool {
	return t.unknownOutcomes > 0 && attempts > 0 && !t.group.step.LongRunning && len(t.failedRuns)+t.unknownOutcomes >= attempts
}

// withinLimit reports whether the team's limit admits n more tasks of a group, besides runs of former leaders that aren't known.
func (p *pass) withinLimit(g *group, n int) bool { return p.withinLimitBeside(g, n, resource.Vector{}) }

// withinLimitBeside is like withinLimit with a further demand of the team.
func (p *pass) withinLimitBeside(g *group, n int, further resource.Vector) bool {
	t := p.team(g.job.spec.Team)
	if t.Limit.IsZero() {
		return true
	}
	used := t.used.Add(further).Add(g.step.Demand.Times(int64(n)))
	return withinLimit(used, t.Limit) && withinLimit(used.Add(p.uncountedDemand(t.ID)), t.Limit)
}

// withinLimit reports whether usage is within a limit, in which 0 means unlimited.
func withinLimit(used, limit resource.Vector) bool {
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.Memory == 0 || used.Memory <= limit.Memory) &&
		(limit.GPUs == 0 || used.GPUs <= limit.GPUs)
}

// mustWait reports whether a task must not start yet, wherever there is room for it.
func (p *pass) mustWait(t *task) bool {
	return p.inDoubt[t.id()] || p.now.Before(t.noStartsBefore) || p.lossInDoubt(t) || !p.runNumbersLeft(t)
}

// tentative counts the tasks of a gang that are assigned to each server but not yet started.
type tentative map[*server]int

// placeGang starts all members of a gang, or none.
func (p *pass) placeGang(r *rankedGroup) {
	g := r.group
	if !p.withinLimit(g, g.tasks.len()) {
		return
	}
	tasks := slices.Collect(g.tasks.all())
	if slices.ContainsFunc(tasks, p.mustWait) {
		return
	}
	where, awaiting := p.assignGang(r, tasks)
	if where == nil {
		p.handleNoCapacity(r)
		return
	}
	if other := p.assignAtOneSpeed(r, tasks, where); other != nil {
		where = other
	}
	if g.step.LongRunning && (awaiting || !p.allRespond(where, g.lostAt())) || !p.proveIncarnations(where) {
		return
	}
	if p.startWindowFull() {
		p.delayedTasks += g.waiting
		return
	}
	number := RunNumber(0)
	for _, t := range tasks {
		number = max(number, p.nextRun(t))
	}
	g.gangRun = number
	g.reservation = groupReservation{}
	for i, t := range tasks {
		p.start(t, where[i], number, g.advice.ticket(where[i], p.now))
	}
}

// assignGang returns a server for each member of a gang, or nil if they don't all have room, and whether a command of a long-running member
// has to be answered first.
func (p *pass) assignGang(r *rankedGroup, tasks []*task) (where []*server, awaiting bool) {
	taken := tentative{}
	where = make([]*server, len(tasks))
	for i, t := range tasks {
		where[i] = p.pickServer(r, t, taken)
		if where[i] == nil {
			return nil, false
		}
		awaiting = r.group.step.LongRunning && p.awaitsCommandAnswer(r, t, where[i]) || awaiting
		taken[where[i]]++
	}
	return where, awaiting
}

// allowsAnother reports whether MaxPerServer admits another task of the group on a server, beyond its runs there and the
// coming tasks that are assigned to the server but not yet started.
func (g *group) allowsAnother(v *server, coming int) bool {
	return g.step.MaxPerServer <= 0 || g.runsOn(v)+coming < g.step.MaxPerServer
}

// runsOn returns the number of runs of a group on a server.
func (g *group) runsOn(v *server) int {
	n := 0
	for t := range g.tasks.used() {
		for _, p := range t.runs {
			if p.server == v {
				n++
			}
		}
	}
	return n
}

// rackInUse returns the rack that a group with SameRack already uses, or "".
func (g *group) rackInUse(taken tentative) ident.Rack {
	if !g.step.SameRack {
		return ""
	}
	for v := range taken {
		return v.info.Rack
	}
	for t := range g.tasks.used() {
		for _, p := range t.runs {
			return p.server.info.Rack
		}
	}
	return ""
}

// Weights of the placement score. Reading remote data multiplies the run time, so it outweighs packing.
const (
	remoteWeight       = 4.0
	failedWeight       = 3.0
	interferenceWeight = 1.5
	packingWeight      = 1.0
	gpuWasteWeight     = 2.0
)

// score rates a server for a task; higher is better. Fuller servers score higher, so that whole servers stay free.
func (p *pass) score(g *group, t *task, v *server, rack ident.Rack) float64 {
	capacity, used := v.info.Capacity, v.used
	x := packingWeight * share(int64(used.CPU), int64(capacity.CPU))
	if capacity.GPUs > 0 {
		if g.step.Demand.GPUs > 0 {
			x += packingWeight * share(int64(used.GPUs), int64(capacity.GPUs))
		} else {
			x -= gpuWasteWeight * share(int64(capacity.GPUs-used.GPUs), int64(capacity.GPUs))
		}
	}
	if g.step.Rack != "" && v.info.Rack != g.step.Rack || rack != "" && v.info.Rack != rack {
		x -= remoteWeight
	}
	if t.avoidServer == v.info.ID || g.outcomes.failsOn(v.info.ID) || v.failedStart(p.now) {
		x -= failedWeight
	}
	if v.cold(p.now) {
		x -= coldWeight
	}
	x -= failedWeight * v.recentFailures / (v.recentRuns + 1)
	if g.step.BestEffort && v.hasLatencyTarget() || g.step.TailTarget > 0 && v.hasBestEffort() {
		x -= interferenceWeight
	}
	return x
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
