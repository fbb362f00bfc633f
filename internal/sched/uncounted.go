package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// maxClockDifference is how far the clocks of two leaders may differ.
const maxClockDifference = 5 * time.Second

// uncountedRuns bounds the demand of the runs that former leaders started and that don't count in the usage of their team yet.
// It is computed once in a pass.
type uncountedRuns struct {
	*Scheduler
	servers []*server // those that may have such runs
	jobs    map[ident.TeamID]unfinishedTasks
	demands map[ident.TeamID]resource.Vector // results of demand
}

// unfinishedTasks sums up the tasks of a team's inherited jobs that aren't done and have no known run.
type unfinishedTasks struct {
	Remaining
	incomplete bool // former leaders may have started others
}

func newUncountedRuns(s *Scheduler) *uncountedRuns {
	u := &uncountedRuns{Scheduler: s, demands: map[ident.TeamID]resource.Vector{}}
	for _, v := range s.sortedServers() {
		if s.mayHaveUncountedRuns(v) {
			u.servers = append(u.servers, v)
		}
	}
	if len(u.servers) > 0 {
		u.jobs = s.unfinishedTasks()
	}
	return u
}

// mayHaveUncountedRuns reports whether a server's inventory isn't known, or has runs of jobs that aren't known or have ended.
func (s *Scheduler) mayHaveUncountedRuns(v *server) bool {
	return s.mayHaveUnlistedRuns(v) || len(v.unknownRuns) > 0 && (v.failures == 0 || !s.serverLeaseEnded(v, v.leaseBound))
}

// mayHaveUnlistedRuns reports whether former leaders may have started runs that the server hasn't listed yet. A restarted server
// doesn't know the fencing token until it is attached again.
func (s *Scheduler) mayHaveUnlistedRuns(v *server) bool {
	unknown := !v.inventoryKnown && !v.cordoned || !v.attached && !s.serverLeaseEnded(v, v.formerIncarnationBound)
	return unknown && !s.serverLeaseEnded(v, v.formerLeaderBound)
}

// demand returns an upper bound of the demand of a team's uncounted runs. It is zero once all inventories are known.
//
// The runs of a server fit its capacity, so the uncounted ones fit the rest of it. Only the processor time of best-effort tasks
// isn't part of that. If the former leader has certainly stopped, all jobs that it can have started were recorded before the
// takeover, so their unfinished tasks are another bound. An overlapping leader may start jobs that this one doesn't know.
func (u *uncountedRuns) demand(id ident.TeamID) resource.Vector {
	if len(u.servers) == 0 {
		return resource.Vector{}
	}
	if d, ok := u.demands[id]; ok {
		return d
	}
	var free resource.Vector
	tasks := u.jobs[id]
	found, listed := false, false
	for _, v := range u.servers {
		known := u.hasUnknownRunOf(v, id)
		listed = listed || known
		if known || u.mayHaveUnlistedRuns(v) {
			found = true
			free = free.Add(v.info.Capacity.Sub(v.used).Max(resource.Vector{}))
		}
	}
	if found {
		free.CPU += tasks.BestEffortCPU
		if !listed && !tasks.incomplete && u.options.LeaderOverlap == 0 {
			free = free.Min(tasks.Demand)
		}
	}
	u.demands[id] = free
	return free
}

// hasUnknownRunOf reports whether a server listed a run that may belong to a team and has no known demand.
func (s *Scheduler) hasUnknownRunOf(v *server, id ident.TeamID) bool {
	for key := range v.unknownRuns {
		if j := s.jobs[key.task.Job]; j == nil || j.spec.Team == id {
			return true
		}
	}
	return false
}

// unfinishedTasks sums up the unfinished tasks of the inherited jobs of each team.
func (s *Scheduler) unfinishedTasks() map[ident.TeamID]unfinishedTasks {
	teams := map[ident.TeamID]unfinishedTasks{}
	for _, j := range s.jobs {
		if j.inherited {
			u := teams[j.spec.Team]
			s.addUnfinishedTasks(&u, j)
			teams[j.spec.Team] = u
		}
	}
	return teams
}

func (s *Scheduler) addUnfinishedTasks(u *unfinishedTasks, j *job) {
	if j.hasNoDetails() {
		if s.started.Sub(j.endedAt) < s.longestRunAfterEnd() {
			u.Demand = u.Demand.Add(j.remaining.Demand)
			u.BestEffortCPU += j.remaining.BestEffortCPU
		}
		return
	}
	// A former leader may have opened another occurrence, or started copies of a task.
	u.incomplete = u.incomplete || j.spec.HasSchedule()
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			u.incomplete = u.incomplete || g.step.Speculative
			u.add(g.step, g.uncountedTasks())
		}
	}
	j.unfinishedSteps(func(step *Step, n int) { u.add(step, n*step.maxRuns()) })
}

// longestRunAfterEnd returns how long runs may go on after the end of their job. Their stops are repeated, but don't reach an
// unresponsive server until its lease has ended.
func (s *Scheduler) longestRunAfterEnd() time.Duration {
	return s.options.MaxSendDelay + scale(max(s.options.MaxRunLease, s.options.MaxFormerLease), 1+clockDrift) + maxClockDifference
}

// remainingOf returns the runs of an ended job that may still be in progress.
func (s *Scheduler) remainingOf(j *job) Remaining {
	if j.hasNoDetails() {
		return j.remaining
	}
	var r Remaining
	uncounted := s.mayRunUncounted(j)
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			n := g.running
			if uncounted {
				n += g.uncountedTasks()
			}
			r.add(g.step, n)
		}
	}
	if uncounted {
		j.unfinishedSteps(func(step *Step, n int) { r.add(step, n*step.maxRuns()) })
	}
	return r
}

// mayRunUncounted reports whether former leaders may have started tasks of a job on a server that hasn't listed them yet.
func (s *Scheduler) mayRunUncounted(j *job) bool {
	if !j.inherited || !j.hasUncountedTasks() {
		return false
	}
	for _, v := range s.servers {
		if s.mayHaveUnlistedRuns(v) {
			return true
		}
	}
	return false
}

func (j *job) hasUncountedTasks() bool {
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			if g.uncountedTasks() > 0 {
				return true
			}
		}
	}
	return j.anyIdle()
}

// maxRuns returns how many runs the tasks of the step may have at a time.
func (s *Step) maxRuns() int {
	if s.Speculative {
		return 2 * s.Count
	}
	return s.Count
}

// uncountedTasks returns how many tasks of a group may have a run that isn't known. A task has two runs at most, if it is copied.
func (g *group) uncountedTasks() int {
	if g.step.Speculative {
		return 2 * g.tasks.len()
	}
	return g.waiting
}

// hasNoDetails reports whether only the end of the job is known.
func (j *job) hasNoDetails() bool { return j.dropped }

// uncountedDemand returns the bound of a team's uncounted runs at the first call in the pass.
func (p *pass) uncountedDemand(id ident.TeamID) resource.Vector {
	if p.uncounted == nil {
		p.uncounted = newUncountedRuns(p.Scheduler)
	}
	return p.uncounted.demand(id)
}
