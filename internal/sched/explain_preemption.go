package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Reasons of PlacementExplanation.NotPreempted besides those of package preemption.
const (
	notPreemptedOff         = "off"              // preemption is off
	notPreemptedHeld        = "held"             // the step waits for something else than room, see HeldBy
	notPreemptedRoom        = "room-now"         // there is room for all tasks
	notPreemptedGang        = "gang"             // no room is made for gangs
	notPreemptedLong        = "long-running"     // no room is made for long-running tasks
	notPreemptedHasFreed    = "room-being-freed" // room is being made for all tasks already
	notPreemptedPaused      = "tasks-paused"     // no waiting task may start yet, wherever there is room
	notPreemptedThereIsTime = "deferred"         // there is time to see whether room is released
	notPreemptedUnknown     = "not-compared"     // more steps wait than were compared
)

// workAhead is the work that starts before a step, of steps that wait for room.
type workAhead struct {
	demand resource.Vector
	work   preemption.CoreSeconds
}

// add counts a step that comes first, unless it waits for something else than room.
func (a *workAhead) add(p *pass, r *rankedGroup) {
	g := r.group
	speculative := g.step.Speculative
	if g.step.Gang || !g.ready || p.now.Before(g.noStartsBefore) || !speculative && !g.job.serviceRecorded(r.queue.Service) ||
		!speculative && g.job.inherited && p.mayRunUnlisted(r) || !p.withinLimit(g, 1) {
		return
	}
	demand := g.step.Charge().Times(int64(max(g.waiting-g.heldPlaces, 0)))
	a.demand = a.demand.Add(demand)
	a.work += preemption.Work(demand, p.durations.expect(g.step))
}

// explainPreemption tells what the next pass would stop for a group, or why nothing. It makes the decision of a pass on a copy of the state
// that passes keep for preemption.
func (s *Scheduler) explainPreemption(e *PlacementExplanation, r *rankedGroup, ahead workAhead) {
	g := r.group
	waiting := g.waiting - g.heldPlaces - e.Room
	switch {
	case s.options.Preemption == nil:
		e.NotPreempted = notPreemptedOff
	case g.step.Gang:
		e.NotPreempted = notPreemptedGang
	case g.step.LongRunning:
		e.NotPreempted = notPreemptedLong
	case e.HeldBy != "" && e.HeldBy != WaitRoom:
		e.NotPreempted = notPreemptedHeld
	case e.Room >= g.waiting:
		e.NotPreempted = notPreemptedRoom
	case waiting <= 0:
		e.NotPreempted = notPreemptedHasFreed
	case e.Truncated:
		e.NotPreempted = notPreemptedUnknown
	default:
		defer s.usePreemptionCopy(r, ahead)()
		defer s.takeRoom(r)()
		e.Preempted, e.NotPreempted = s.tryPreemption(r, waiting)
	}
}

// usePreemptionCopy replaces the state that a decision changes and returns the function that restores it.
func (s *Scheduler) usePreemptionCopy(r *rankedGroup, ahead workAhead) (restore func()) {
	state, passes, next := s.preemption, s.passes, r.group.nextPreemption
	n := servicePreemption{}
	if known := state.services[r.queue.Service]; known != nil {
		n = *known
	}
	n.ahead, n.aheadWork = ahead.demand, ahead.work
	s.preemption = preemptionState{stopping: state.stopping, services: map[ServiceID]*servicePreemption{r.queue.Service: &n}}
	s.passes++ // servers are compared from another one on in each pass
	r.group.nextPreemption = time.Time{}
	return func() { s.preemption, s.passes, r.group.nextPreemption = state, passes, next }
}

// takeRoom counts the room that there is for tasks of a group as used, as a pass starts those first. It returns the function that undoes it.
func (s *Scheduler) takeRoom(r *rankedGroup) (undo func()) {
	g := r.group
	team := s.team(g.job.spec.Team)
	teamUsed := team.used
	used := map[*server]resource.Vector{}
	left := g.waiting
	for _, v := range s.services[r.queue.Service] {
		if left <= 0 {
			break
		}
		if s.serverStatus(r, v) != ServerFree {
			continue
		}
		n := min(roomFor(g, v), left)
		left -= n
		used[v] = v.used
		v.used = v.used.Add(g.step.Charge().Times(int64(n)))
		team.used = team.used.Add(g.step.Demand.Times(int64(n)))
	}
	return func() {
		team.used = teamUsed
		for v, u := range used {
			v.used = u
		}
	}
}

// tryPreemption returns the tasks whose runs a pass would stop for the waiting tasks of a group, or why none.
func (s *Scheduler) tryPreemption(r *rankedGroup, waiting int) (tasks []TaskID, reason string) {
	tasks = []TaskID{}
	g := r.group
	p := pass{Scheduler: s, reserved: map[ServerID]bool{}, blocked: map[unknownInventory]bool{}, inDoubt: s.underFormerLongLease()}
	if !p.withinLimit(g, 1) {
		return tasks, string(WaitTeamLimit)
	}
	if !p.mayPreempt(r, waiting) {
		return tasks, p.mayNotPreemptReason(r)
	}
	waiting -= p.pausedTasks(g)
	if waiting <= 0 {
		return tasks, notPreemptedPaused
	}
	d := p.considerPreemption(r, p.preemptionOf(r.queue.Service), waiting)
	if d.deferred {
		return tasks, notPreemptedThereIsTime
	}
	for _, plan := range d.verdict.Plans {
		for _, i := range plan.Runs {
			x := p.preemption.candidates[plan.Server].runs[i]
			if !x.task.group.step.Gang {
				tasks = append(tasks, x.task.id())
				continue
			}
			for t := range x.task.group.tasks.used() {
				tasks = append(tasks, t.id())
			}
		}
	}
	if len(tasks) == 0 {
		return tasks, d.verdict.Reason.String()
	}
	slices.SortFunc(tasks, func(a, b TaskID) int { return compareTasks(a, b, 0, 0) })
	return tasks, ""
}

// mayNotPreemptReason returns why mayPreempt is false for a group with waiting tasks.
func (p *pass) mayNotPreemptReason(r *rankedGroup) string {
	switch {
	case r.rank.priority != 0 || r.rank.class == surplus || r.group.job.gaveWay:
		return preemption.NotUrgent.String()
	case r.rank.class != onTime || r.rank.slack < p.stopTime():
		return preemption.Late.String()
	case p.preemption.stopping >= maxStopping:
		return preemption.TooManyStops.String()
	}
	return string(WaitAdvice)
}
