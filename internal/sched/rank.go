package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
)

// lateFactor is the multiple of a job's objective after which its result is of no use to the caller.
const lateFactor = 3

// criticalPathMaxAge is how long a job's critical path is cached; it changes slowly as durations are learned.
const criticalPathMaxAge = time.Second

// rankClass classifies jobs of a service by how useful their result still is. Jobs past their deadline rank behind all others.
type rankClass int

const (
	onTime       rankClass = iota // can still meet its objective
	late                          // misses its objective, but can end within lateFactor times it
	surplus                       // beyond its team's weight
	pastDeadline                  // can't end within lateFactor times its objective
)

// String returns the name of the class that operators see.
func (u rankClass) String() string {
	return [...]string{onTime: "on time", late: "late", surplus: "beyond the team's weight", pastDeadline: "past its last useful time"}[u]
}

// rank is the sort key of groups; lower ranks start first.
type rank struct {
	class    rankClass
	priority int
	level    pastuse.Level // of the team's past use; only for the classes that it orders
	slack    time.Duration
}

// String describes a rank for operators.
func (a rank) String() string {
	text := a.class.String()
	if a.level > 0 {
		text += fmt.Sprintf(", level %d of past use", a.level)
	}
	return text + ", slack " + a.slack.Round(time.Millisecond).String()
}

// compare orders ranks. Past use decides only between groups beyond their teams' weights, or past their last useful time, that have the same
// priority: the level of other groups is 0.
func (a rank) compare(b rank) int {
	return cmp.Or(
		cmp.Compare(boolToInt(a.class == pastDeadline), boolToInt(b.class == pastDeadline)),
		cmp.Compare(boolToInt(a.class == surplus), boolToInt(b.class == surplus)),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.level, b.level),
		cmp.Compare(a.slack, b.slack),
	)
}

// criticalPath returns the expected duration of the longest path through the steps that aren't complete, or through all steps if
// whole is set.
func (s *Scheduler) criticalPath(j *job, o *occurrence, q *Queue, whole bool) time.Duration {
	steps := j.spec.Steps
	var buffer [8]time.Duration // avoids an allocation for most jobs
	length := buffer[:]
	if len(steps) > len(buffer) {
		length = make([]time.Duration, len(steps))
	}
	longest := time.Duration(0)
	for i := range steps {
		before := time.Duration(0)
		for _, a := range steps[i].After {
			before = max(before, length[a])
		}
		length[i] = before
		if whole || o == nil || !o.groups[i].complete() {
			length[i] += s.durations.expect(&steps[i])
			if q.Advisor != nil {
				length[i] += q.Advisor.CallTime(maxServersPerCall)
			}
		}
		longest = max(longest, length[i])
	}
	return longest
}

// rankOf computes the rank of a group.
func (s *Scheduler) rankOf(g *group, q *Queue) rank {
	r := rank{priority: q.Priority}
	j := g.job
	due := j.dueAt(g.occurrence)
	if g.step.LongRunning {
		r.slack = q.Target - s.now.Sub(due)
		return r
	}
	if s.now.Sub(j.criticalPathAt) > criticalPathMaxAge {
		j.criticalPath, j.criticalPathAt = s.criticalPath(j, nil, q, true), s.now
	}
	whole := j.criticalPath
	objective := q.objective(whole)
	left := s.criticalPath(j, j.occurrences[g.occurrence], q, false)
	r.slack = due.Add(objective).Sub(s.now) - left
	switch {
	case j.surplus:
		r.class, r.level = surplus, s.team(j.spec.Team).level
	case r.slack >= 0:
		r.class = onTime
	case due.Add(lateFactor*objective).Sub(s.now) >= left:
		r.class = late
		// Past the objective, jobs that are nearly done come first, not those that have waited longest.
		r.slack = left
	default:
		r.class, r.level = pastDeadline, s.team(j.spec.Team).level
		r.slack = left
	}
	return r
}

// rankedGroups returns the groups with tasks to start, sorted by rank, and untracks finished groups.
func (s *Scheduler) rankedGroups() []rankedGroup {
	kept := s.groups[:0]
	var out []rankedGroup
	for _, g := range s.groups {
		if g.finished() {
			g.tracked = false
			if g.complete() {
				g.tasks.dropAll()
			}
			continue
		}
		kept = append(kept, g)
		if g.job.state.Terminal() || !g.hasWaiting() {
			continue
		}
		out = append(out, rankedGroup{group: g, queue: g.job.queue, rank: s.rankOf(g, g.job.queue)})
	}
	clear(s.groups[len(kept):])
	s.groups = kept
	slices.SortStableFunc(out, func(a, b rankedGroup) int { return a.compare(&b) })
	return out
}

// compare orders groups by rank, and those of the same rank by age and id.
func (r *rankedGroup) compare(b *rankedGroup) int {
	return cmp.Or(r.rank.compare(b.rank), r.group.job.spec.Accepted.Compare(b.group.job.spec.Accepted),
		cmp.Compare(r.group.job.spec.ID, b.group.job.spec.ID), cmp.Compare(r.group.occurrence, b.group.occurrence),
		cmp.Compare(r.group.index, b.group.index))
}

// rankedGroup is a group with its rank and the current configuration of its queue.
type rankedGroup struct {
	group *group
	queue *Queue
	rank  rank
}

// finished reports whether a group has neither runs nor tasks to start.
func (g *group) finished() bool {
	return g.live() == 0 && (g.complete() || g.job.state.Terminal())
}

// hasWaiting reports whether a task of the group has to be started.
func (g *group) hasWaiting() bool {
	if g.step.Gang {
		return !g.complete() && g.live() == 0
	}
	return g.waiting > 0
}
