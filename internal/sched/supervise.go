package sched

import "time"

const (
	// minStallTime is how long a run may show no progress before it counts as stuck, at least.
	minStallTime = 2 * time.Second
	// stallFactor is the multiple of the expected duration of one percent after which a run counts as stuck.
	stallFactor = 40
	// speculationFactor is the multiple of the expected duration after which a speculative task gets a copy.
	speculationFactor = 1.6
	// incompleteGangTimeout is how long an incomplete gang may stay before its members are stopped.
	incompleteGangTimeout = 4 * time.Second
)

// checkProgress deals with runs of a group that are slow or stuck.
func (s *Scheduler) checkProgress(g *group) {
	if g.job.state.Terminal() || g.complete() {
		return
	}
	if g.step.Gang {
		s.checkGang(g)
		return
	}
	for _, t := range g.tasks {
		if t.done || len(t.runs) != 1 {
			continue
		}
		p := t.runs[0]
		if p.phase != phaseRunning || p.speedPercent < 100 || p.server.failures > 0 {
			continue
		}
		if s.stalled(p) {
			s.suspect(p.server)
			t.avoidServer = p.server.info.ID
			if g.step.Speculative {
				s.startCopy(t, p)
			} else {
				s.stop(p, "no progress")
			}
		} else if !g.step.LongRunning && !g.step.Speculative && s.worthRestarting(p) {
			t.avoidServer = p.server.info.ID
			s.stop(p, "slow server")
		} else if g.step.Speculative && s.now.Sub(p.startedAt) > scale(s.durations.expect(g.step), speculationFactor) {
			s.startCopy(t, p)
		}
	}
}

// stalled reports whether a run has made no progress for far longer than its image usually takes.
func (s *Scheduler) stalled(p *run) bool {
	if p.percent >= 100 && p.task.group.step.LongRunning {
		return false
	}
	expected := s.durations.expect(p.task.group.step)
	if p.task.group.step.LongRunning {
		expected = defaultEstimate
	}
	patience := max(minStallTime, expected/100*stallFactor)
	return p.server.polledAt.Sub(p.percentAt) > patience
}

// checkGang stops the remains of a gang that can't become whole.
func (s *Scheduler) checkGang(g *group) {
	live := 0
	var oldest *run
	for _, t := range g.tasks {
		for _, p := range t.runs {
			if p.number != g.gangRun || p.phase == phaseStopping {
				continue
			}
			live++
			if oldest == nil || p.startedAt.Before(oldest.startedAt) {
				oldest = p
			}
		}
	}
	if oldest == nil {
		return
	}
	if live < len(g.tasks) && s.now.Sub(oldest.startedAt) > incompleteGangTimeout {
		s.abortGang(g, "incomplete")
		return
	}
	if oldest.phase == phaseRunning && oldest.server.failures == 0 && s.stalled(oldest) {
		s.suspect(oldest.server)
		s.abortGang(g, "no progress")
	}
}

// startCopy starts a second run of a task whose copies may run at once.
func (s *Scheduler) startCopy(t *task, slow *run) {
	g := t.group
	q := g.job.queue
	p := pass{Scheduler: s, reserved: map[ServerID]bool{slow.server.info.ID: true}}
	r := rankedGroup{group: g, queue: q}
	if !p.withinLimit(g, 1) {
		return
	}
	if v := p.pickServer(&r, t, nil); v != nil {
		s.start(t, v, s.nextRun(t), g.advice.ticket(v.info.ID, s.now))
	} else if q.Advisor != nil {
		s.adviceQueue = append(s.adviceQueue, r)
	}
}

// evacuate moves the runs of a draining server that can't end in the time left.
func (s *Scheduler) evacuate(v *server) {
	left := v.info.Remaining - s.now.Sub(v.drainSince)
	for _, p := range sortedRuns(v) {
		if p.phase != phaseRunning {
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
			continue // it saves its progress when it is stopped, so it works on until then
		}
		s.stop(p, "server is draining")
	}
}

// drainMargin is subtracted from the time left on a draining server.
const drainMargin = 500 * time.Millisecond

// hasLatencyTarget reports whether a serving task with a response time to keep runs on the server.
func (v *server) hasLatencyTarget() bool {
	for _, p := range v.runs {
		if p.task.group.step.TailTarget > 0 {
			return true
		}
	}
	return false
}

// hasBestEffort reports whether a task that fills runs on the server.
func (v *server) hasBestEffort() bool {
	for _, p := range v.runs {
		if p.task.group.step.BestEffort {
			return true
		}
	}
	return false
}

const (
	// throttleFactor is the share of its pace that a filling run keeps when a serving task beside it is over its target.
	throttleFactor = 0.3
	// speedUpStep is added when all serving tasks are well below their targets, in percent.
	speedUpStep = 25
	// lowLatencyShare is the share of the target below which there is room to speed up.
	lowLatencyShare = 0.6
	// minSpeedPercent is the pace below which a filling run is paused.
	minSpeedPercent = 10
)

// throttleBestEffort slows filling runs down beside serving tasks over their target, and speeds them up again.
func (s *Scheduler) throttleBestEffort(v *server) {
	over, low := false, true
	for _, p := range v.runs {
		target := p.task.group.step.TailTarget
		if target <= 0 || p.phase != phaseRunning {
			continue
		}
		over = over || p.tailLatency > target
		low = low && p.tailLatency < scale(target, lowLatencyShare)
	}
	if !over && !low {
		return
	}
	for _, p := range sortedRuns(v) {
		if !p.task.group.step.BestEffort || p.phase != phaseRunning {
			continue
		}
		want := min(100, p.speedPercent+speedUpStep)
		if over {
			want = throttled(p.speedPercent)
		}
		if want != p.speedPercent {
			p.speedPercent = want
			s.emit(ThrottleCommand{Server: v.info, Task: p.task.id(), Run: p.number, Percent: want})
		}
	}
}

// throttled returns the reduced pace of a filling run, in percent.
func throttled(pace int) int {
	reduced := int(float64(pace) * throttleFactor)
	if reduced < minSpeedPercent {
		return 0
	}
	return reduced
}
