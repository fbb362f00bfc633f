package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// starvedStartShare is the share of the starts of an overloaded leader that goes to the steps which have waited longest for one.
	starvedStartShare = 0.05
	// maxStarvedStarts bounds the starts that accumulate for them.
	maxStarvedStarts = 8
	// maxStarvedSteps bounds the steps that are next for these starts and get advice in time for them.
	maxStarvedSteps = 8
	// starvedStartUse is the share of a service's capacity in use from which its starved steps get no share of the starts, as room is short
	// then. An overloaded leader reads the ends of runs late, so that a service which is half in use may look like it.
	starvedStartUse = 0.75
)

// earnStart adds the share of a start that goes to starved steps.
func (s *starvation) earnStart() { s.starts = min(s.starts+starvedStartShare, maxStarvedStarts) }

// placeStarved starts single tasks of the steps that have waited longest for a start, of services with room. While the
// unanswered starts are limited, steps of higher rank could otherwise take them all for as long as the overload lasts, and a task that
// failed in a nearly finished step would wait with them. Gangs are left out, as one would use up the share for long.
func (p *pass) placeStarved(groups []rankedGroup) {
	if p.delay.window == maxStartWindow {
		return
	}
	var starved []*rankedGroup
	for i := range groups {
		if r := &groups[i]; p.isStarvedForStart(r) {
			starved = append(starved, r)
		}
	}
	slices.SortStableFunc(starved, func(a, b *rankedGroup) int {
		return cmp.Compare(a.group.awaitingStartSince().UnixNano(), b.group.awaitingStartSince().UnixNano())
	})
	starved = starved[:min(len(starved), maxStarvedSteps)]
	p.starved = make(map[*group]bool, len(starved))
	for _, r := range starved {
		p.starved[r.group] = true
		if p.starvation.starts < 1 || p.startWindowFull() {
			continue
		}
		before := p.counts.Starts
		p.placeTasks(r, 1)
		p.starvation.starts -= float64(p.counts.Starts - before)
	}
}

// isStarvedForStart reports whether a group has waited for a start for longer than starvedAfter although its service has room.
func (p *pass) isStarvedForStart(r *rankedGroup) bool {
	g := r.group
	return g.ready && !g.step.Gang && p.now.Sub(g.awaitingStartSince()) >= starvedAfter && p.usedShare(r.queue.Service) < starvedStartUse && !p.held(r)
}

// awaitingStartSince returns the time since which a group has waited for a start.
func (g *group) awaitingStartSince() time.Time { return latest(g.readySince, g.lastStart) }

// mostlyFreeShare is the share of a service's capacity in use below which it counts as mostly free.
const mostlyFreeShare = 0.5

// usedShare returns the share of the capacity of a service's usable servers that is in use, of the resource that is used most, or 1 if
// it has none. It is computed once a pass and only if a step is starved, as it reads all servers.
func (s *Scheduler) usedShare(id ServiceID) float64 {
	if used, known := s.starvation.usedShare[id]; known {
		return used
	}
	var used, whole resource.Vector
	for _, v := range s.services[id] {
		if v.usable(s.now) {
			used, whole = used.Add(v.used), whole.Add(v.info.Capacity)
		}
	}
	most := 1.0
	if whole.CPU > 0 {
		most = max(share(int64(used.CPU), int64(whole.CPU)), share(int64(used.Memory), int64(whole.Memory)), share(int64(used.GPUs), int64(whole.GPUs)))
	}
	s.starvation.usedShare[id] = most
	return most
}
