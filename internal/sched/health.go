package sched

import "time"

const (
	// quarantine is how long a suspected server gets no starts. It doubles with each consecutive suspicion, as a faulty
	// server is empty and would attract the next tasks.
	quarantine    = 3 * time.Second
	maxQuarantine = 24 * time.Second
	// suspicionMemory is how long a server stays suspected after its quarantine if no run has cleared it.
	suspicionMemory = 15 * time.Second
	// slowdownWeight is the weight of the newest run in a server's slowdown.
	slowdownWeight = 0.3
	// slowFactor is the multiple of the expected duration from which a run or a server counts as slow. On healthy servers, uneven
	// tasks and rough estimates reach 2, and remote data reaches the installation's factor of 1.5 to 2.
	slowFactor = 3.0
	// maxRunSlowdown bounds the effect of a single run on its server's slowdown: a server counts as slow after two slow runs.
	maxRunSlowdown = 6.0
	// maxSuspects is the share of a service's servers that may be suspected without a proof. Beyond it, the work itself takes
	// longer or fails, and the servers aren't at fault.
	maxSuspects = 0.25
	// restartGain is the remaining time, in expected durations, from which a run on a slow server is restarted elsewhere.
	restartGain = 1.5
	// blamedShortRuns is the number of short runs in a row of a task that count against their servers. Further ones show a fault of the
	// task, which would otherwise quarantine one server after the other, also its only one.
	blamedShortRuns = 2
	// restartCost is the overhead of the stop and the new start.
	restartCost = 700 * time.Millisecond
)

// learnFromRun updates the health of a run's server, and the learned durations, when a run ends.
func (s *Scheduler) learnFromRun(p *run, outcome Outcome) {
	v := p.server
	failed := outcome == OutcomeFailed
	if failed && p.task.group.step.LongRunning && !s.isShort(p) {
		failed = false // it was at work, and may fail at any time
	}
	if failed && p.task.shortRuns >= blamedShortRuns {
		return
	}
	if failed || outcome == OutcomeDone || outcome == OutcomeFailed {
		s.noteOutcome(p, failed)
	}
	s.noteEnding(p, failed)
	if outcome == OutcomeDone && p.slowStart() {
		s.endSuspicion(v)
		return
	}
	if outcome == OutcomeDone && p.task.checkpoint == "" && p.speedPercent == 100 {
		took := s.now.Sub(p.startedAt)
		s.observeSlowdown(p, took)
		s.notePace(p, took)
		s.learnDuration(p, took)
	}
}

// suspect quarantines a server. After the quarantine it gets one run at a time until one succeeds.
func (s *Scheduler) suspect(v *server) {
	if s.now.Before(v.noStartsBefore) {
		return // runs that end during the quarantine were started before it
	}
	v.noStartsBefore = s.now.Add(min(quarantine<<min(v.suspicions, 8), maxQuarantine))
	v.suspicions++
	v.endings, v.suspectedFor, v.suspectedStall = nil, nil, false
	v.recentFailures, v.recentRuns, v.slowdown = 0, 0, 1
}

// observeSlowdown updates a server's slowdown from the actual or predicted duration of a run.
func (s *Scheduler) observeSlowdown(p *run, took time.Duration) {
	v := p.server
	ratio := float64(took) / float64(s.durations.expect(p.task.group.step))
	if ratio >= slowFactor {
		if v.lastSlowJob == p.task.group.job || !s.durations.trusted(p.task.group.step) || s.hasMoreWork(p) {
			return // the job, or all jobs of its image, may be slow on every server
		}
		v.lastSlowJob = p.task.group.job
	}
	v.slowdown += slowdownWeight * (min(ratio, maxRunSlowdown) - v.slowdown)
	switch {
	case v.slowdown >= slowFactor:
		if !s.tooManySuspects(v.info.Service, maxSuspects) {
			s.suspect(v)
			s.decideSuspicion(v, CauseRunsSlow, false)
		}
	case ratio < slowFactor:
		s.endSuspicion(v)
	}
}

// endSuspicion ends the suspicion of a server after a success, unless it is still in quarantine.
func (s *Scheduler) endSuspicion(v *server) {
	if !s.now.Before(v.noStartsBefore) {
		v.suspicions, v.lastSlowJob, v.suspectedFor = 0, nil, nil
	}
}

// predictedDuration extrapolates the total duration of an overdue run from its progress.
func (s *Scheduler) predictedDuration(p *run) (time.Duration, bool) {
	elapsed := p.progressAt.Sub(p.startedAt)
	if p.phase != phaseRunning || p.progressPercent <= 0 || p.progressPercent >= 100 || p.speedPercent < 100 ||
		p.task.checkpoint != "" || elapsed < s.durations.expect(p.task.group.step) {
		return 0, false
	}
	return scale(elapsed, 100/float64(p.progressPercent)), true
}

// worthRestarting reports whether a run on a suspected server would end sooner if it was restarted elsewhere.
func (s *Scheduler) worthRestarting(p *run) bool {
	whole, ok := s.predictedDuration(p)
	if !ok || p.server.suspicions == 0 || p.server.cold(s.now) {
		return false
	}
	usual := s.durations.expect(p.task.group.step)
	left := whole - s.now.Sub(p.startedAt)
	if float64(whole) < slowFactor*float64(usual) || s.hasMoreWork(p) {
		return false
	}
	// On a slow server too, a run that is even slower than the others has more work, which it has to repeat elsewhere.
	elsewhere := scale(usual, s.peersOf(p).Work(float64(whole)/float64(usual)))
	return left > scale(elsewhere, restartGain)+restartCost
}
