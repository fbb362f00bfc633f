package sched

import (
	"slices"
	"time"
)

const (
	// minStallTime is the shortest time without progress after which a run counts as stalled.
	minStallTime = 2 * time.Second
	// stallFactor is the multiple of a run's expected time per percent of progress after which it counts as stalled.
	stallFactor = 40
	// speculationFactor is the multiple of the expected duration after which a speculative task gets a second run.
	speculationFactor = 1.6
	// incompleteGangTimeout is how long a gang may lack members before the others are stopped.
	incompleteGangTimeout = 4 * time.Second
)

// checkProgress stops or duplicates the slow and stalled runs of a group.
func (s *Scheduler) checkProgress(g *group) {
	if g.job.state.Terminal() || g.complete() {
		return
	}
	if g.step.Gang {
		s.checkGang(g)
		return
	}
	for t := range g.tasks.used() {
		if t.done || len(t.runs) != 1 {
			continue
		}
		p := t.runs[0]
		if p.phase != phaseRunning || p.unlisted || p.speedPercent < 100 || p.server.failures > 0 {
			continue
		}
		if s.stalled(p) {
			s.suspectStalled(p)
			t.avoidServer = p.server.info.ID
			if g.step.Speculative {
				s.startCopy(t, p)
			} else {
				s.stop(p, "no progress")
			}
		} else if !g.step.LongRunning && !g.step.Speculative && s.worthRestarting(p) {
			t.avoidServer = p.server.info.ID
			s.stop(p, "slow server")
		} else if g.step.Speculative && s.now.Sub(p.startedAt) > s.copyDelay(p) && !s.startWindowFull() && !s.progressesAtUsualServer(p) {
			s.startCopy(t, p)
		}
	}
}

// speculationDelay returns how long after its start a speculative task gets a second run. The answer to the start and the end of the
// run are handled late by what all replies have in common, which doesn't make the run slow.
func (s *Scheduler) speculationDelay(step *Step) time.Duration {
	return scale(s.durations.expect(step), speculationFactor) + 2*s.delay.median + s.pollPauseNow() - pollPause
}

// copyDelay is the speculationDelay of a run, by the speed of its server.
func (s *Scheduler) copyDelay(p *run) time.Duration {
	step := p.task.group.step
	return s.speculationDelay(step) + scale(s.expectOn(p.server, step)-s.durations.expect(step), speculationFactor)
}

// stalled reports whether a run has made no progress for far longer than expected of its image.
func (s *Scheduler) stalled(p *run) bool { return s.stalledSince(p, p.startedAt) }

// stalledSince is like stalled for a run that began its work at a time. Slowness of its server after that one's start doesn't count.
func (s *Scheduler) stalledSince(p *run, began time.Time) bool {
	if p.progressPercent >= 100 && p.task.group.step.LongRunning {
		return false
	}
	expected := s.durations.expect(p.task.group.step)
	if p.task.group.step.LongRunning {
		expected = defaultEstimate
	}
	stallTimeout := max(minStallTime, expected/100*stallFactor)
	return p.server.polledAt.Sub(latest(latest(p.progressAt, began), p.server.coldUntil)) > stallTimeout
}

// checkGang stops a gang that stays incomplete or of which a member makes no progress.
func (s *Scheduler) checkGang(g *group) {
	var members []*run
	for t := range g.tasks.used() {
		for _, p := range t.runs {
			if p.number == g.gangRun && p.phase != phaseStopping {
				members = append(members, p)
			}
		}
	}
	if len(members) == 0 {
		return
	}
	oldest := slices.MinFunc(members, func(a, b *run) int { return a.startedAt.Compare(b.startedAt) })
	if len(members) < g.tasks.len() && s.now.Sub(oldest.startedAt) > incompleteGangTimeout {
		s.abortGang(g, "incomplete")
		return
	}
	if p := s.stalledMember(g, members); p != nil {
		s.suspectStalled(p)
		s.abortGang(g, "no progress")
	}
}

// stalledMember returns a member of a complete gang that has made no progress for too long, or nil. The members begin together,
// once all are present, and end together, so members that have done their part wait for the others.
func (s *Scheduler) stalledMember(g *group, members []*run) *run {
	var (
		complete time.Time
		slowest  *run
	)
	for _, p := range members {
		if p.phase != phaseRunning || p.unlisted {
			return nil
		}
		complete = latest(complete, p.confirmedAt)
		done, slowestDone := p.progressPercent >= 100, slowest != nil && slowest.progressPercent >= 100
		if slowest == nil || slowestDone && !done || slowestDone == done && p.progressAt.Before(slowest.progressAt) {
			slowest = p
		}
	}
	if len(members) < g.tasks.len() || slowest.server.failures > 0 || !s.stalledSince(slowest, complete) {
		return nil
	}
	return slowest
}

// startCopy starts a second run of a speculative task on another server.
func (s *Scheduler) startCopy(t *task, slow *run) {
	g := t.group
	q := g.job.queue
	p := pass{Scheduler: s, reserved: map[ServerID]bool{slow.server.info.ID: true}}
	r := rankedGroup{group: g, queue: q}
	if !p.withinLimit(g, 1) || !s.runNumbersLeft(t) {
		return
	}
	if v := p.pickServer(&r, t, nil); v != nil && !s.proveIncarnation(v) {
		return // the next check tries again
	} else if v != nil {
		s.start(t, v, s.nextRun(t), g.advice.ticket(v, s.now))
	} else if q.Advisor != nil {
		s.adviceQueue = append(s.adviceQueue, r)
	}
}

// evacuate stops the runs of a draining server that can't end in the time left, so that they start elsewhere.
func (s *Scheduler) evacuate(v *server) {
	left := v.info.Remaining - s.now.Sub(v.drainSince)
	for _, p := range sortedRuns(v) {
		if p.phase != phaseRunning || p.unlisted {
			continue
		}
		g := p.task.group
		if g.step.LongRunning {
			s.stop(p, "server is draining")
			continue
		}
		if s.remaining(p) <= left-drainMargin {
			continue
		}
		if g.step.Gang {
			s.abortGang(g, "server is draining")
			continue
		}
		if g.step.Checkpointing && left > 2*drainMargin+s.options.MaxStopTime {
			continue // it saves its progress when stopped, so it continues until shortly before the shutdown
		}
		s.stop(p, "server is draining")
	}
}

// drainMargin is subtracted from the time left on a draining server.
const drainMargin = 500 * time.Millisecond

// hasLatencyTarget reports whether the server has a run with a tail latency objective.
func (v *server) hasLatencyTarget() bool {
	for _, p := range v.runs {
		if p.task.group.step.TailTarget > 0 {
			return true
		}
	}
	return false
}

// hasBestEffort reports whether the server has a best-effort run.
func (v *server) hasBestEffort() bool {
	for _, p := range v.runs {
		if p.task.group.step.BestEffort {
			return true
		}
	}
	return false
}

const (
	// throttleFactor is the share of its speed that a best-effort run keeps when a serving task on the server exceeds its target.
	throttleFactor = 0.3
	// speedUpStep is the increase in percent when all serving tasks on the server are well below their targets.
	speedUpStep = 25
	// lowLatencyShare is the share of the target below which a latency counts as well below it.
	lowLatencyShare = 0.6
	// minSpeedPercent is the speed below which a best-effort run is paused.
	minSpeedPercent = 10
)

// throttleBestEffort slows best-effort runs down while a serving task on the server exceeds its target, and speeds them up
// again afterwards.
func (s *Scheduler) throttleBestEffort(v *server) {
	over, low, unanswered := false, true, false
	for _, p := range v.runs {
		unanswered = unanswered || p.speedUnanswered
		target := p.task.group.step.TailTarget
		if target <= 0 || p.phase != phaseRunning {
			continue
		}
		over = over || p.tailLatency > target
		low = low && p.tailLatency < scale(target, lowLatencyShare)
	}
	if !over && !low && !unanswered {
		return
	}
	for _, p := range sortedRuns(v) {
		if !p.task.group.step.BestEffort || p.phase != phaseRunning {
			continue
		}
		want := p.speedPercent
		switch {
		case over:
			want = throttled(p.speedPercent)
		case low:
			want = min(100, p.speedPercent+speedUpStep)
		}
		if want != p.speedPercent || p.speedUnanswered || p.speedUnknown && (over || low) {
			p.speedPercent, p.speedUnknown, p.speedUnanswered = want, false, false
			s.emit(ThrottleCommand{Server: v.info, Task: p.task.id(), Run: p.number, Percent: want})
		}
	}
}

// ThrottleUnanswered handles a throttle command without an answer. The command is repeated after the next poll.
func (s *Scheduler) ThrottleUnanswered(now time.Time, id ServerID, task TaskID, number RunNumber) {
	s.now = now
	if p := s.findRun(id, task, number); p != nil {
		p.speedUnanswered = true
	}
}

// throttled returns the reduced speed of a best-effort run, in percent.
func throttled(speedPercent int) int {
	reduced := int(float64(speedPercent) * throttleFactor)
	if reduced < minSpeedPercent {
		return 0
	}
	return reduced
}
