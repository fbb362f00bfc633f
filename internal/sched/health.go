package sched

import "time"

const (
	// endDecay weighs earlier ends against a new one in a server's failure share.
	endDecay = 0.9
	// suspectFailureShare is the share of failed runs from which a server counts as failing everything.
	suspectFailureShare = 0.6
	// minFailedEnds is the weight of failed runs that this takes at least.
	minFailedEnds = 3.0
	// quarantine is how long a suspected server gets no new work; it doubles with each suspicion in a row, as a sick server
	// is empty and would attract the next tasks.
	quarantine    = 3 * time.Second
	maxQuarantine = 24 * time.Second
	// suspicionMemory is how long after its quarantine a server that nobody has tried stays suspected.
	suspicionMemory = 15 * time.Second
	// slowdownWeight is the weight of the newest run in a server's pace.
	slowdownWeight = 0.3
	// slowFactor is the multiple of the usual duration from which a server counts as slow. Uneven tasks and rough estimates
	// reach twice of it on sound servers, remote data the installation's factor of 1.5 to 2.
	slowFactor = 3.0
	// maxRunSlowdown bounds what a single run says about its server: it takes two to count as slow.
	maxRunSlowdown = 6.0
	// maxSuspects is the share of a service's servers that may be suspected for their pace. Beyond it the work takes longer,
	// not the servers.
	maxSuspects = 0.25
	// restartGain is how many usual durations a run on a slow server must have left to be started again elsewhere.
	restartGain = 1.5
	// restartCost is the time that the stop and the new start take beside the work.
	restartCost = 700 * time.Millisecond
)

// learnFromEnd learns from the end of a run.
func (s *Scheduler) learnFromEnd(p *run, e Outcome) {
	v := p.server
	v.ends *= endDecay
	v.failedEnds *= endDecay
	v.ends++
	if e == OutcomeFailed {
		v.failedEnds++
		s.suspectFailures(v)
	}
	if e == OutcomeDone && p.task.checkpoint == "" && p.speedPercent == 100 {
		took := s.now.Sub(p.startedAt)
		s.observeSlowdown(p, took)
		s.durations.observe(p.task.group.step, took)
	}
}

// suspectFailures keeps new work from a server that fails most of what it runs.
func (s *Scheduler) suspectFailures(v *server) {
	if v.failedEnds >= minFailedEnds && v.failedEnds >= suspectFailureShare*v.ends {
		s.suspect(v)
	}
}

// suspect keeps new work from a server for a while. Then it gets one run at a time until one ends well.
func (s *Scheduler) suspect(v *server) {
	if s.now.Before(v.noStartsBefore) {
		return // what ends meanwhile was started before
	}
	v.noStartsBefore = s.now.Add(min(quarantine<<min(v.suspicions, 8), maxQuarantine))
	v.suspicions++
	v.failedEnds, v.ends, v.slowdown = 0, 0, 1
}

// observeSlowdown learns how fast a server is from a run that took, or will take, a time.
func (s *Scheduler) observeSlowdown(p *run, took time.Duration) {
	v := p.server
	ratio := float64(took) / float64(s.durations.expect(p.task.group.step))
	if ratio >= slowFactor {
		if v.lastSlowJob == p.task.group.job || !s.durations.trusted(p.task.group.step) {
			return // the job, or all of its image, may be long everywhere
		}
		v.lastSlowJob = p.task.group.job
	}
	v.slowdown += slowdownWeight * (min(ratio, maxRunSlowdown) - v.slowdown)
	switch {
	case v.slowdown >= slowFactor:
		if !s.tooManySuspects(v.info.Service) {
			s.suspect(v)
		}
	case ratio < slowFactor && !s.now.Before(v.noStartsBefore):
		v.suspicions, v.lastSlowJob = 0, nil
	}
}

// tooManySuspects reports whether a large part of a service's servers is suspected already.
func (s *Scheduler) tooManySuspects(id ServiceID) bool {
	n := 0
	for _, v := range s.services[id] {
		n += boolToInt(v.suspicions > 0)
	}
	return float64(n) >= maxSuspects*float64(len(s.services[id]))
}

// predictedDuration returns the whole duration of a run as its progress shows it, once it is overdue.
func (s *Scheduler) predictedDuration(p *run) (time.Duration, bool) {
	elapsed := p.percentAt.Sub(p.startedAt)
	if p.phase != phaseRunning || p.percent <= 0 || p.percent >= 100 || p.speedPercent < 100 || p.task.checkpoint != "" ||
		elapsed < s.durations.expect(p.task.group.step) {
		return 0, false
	}
	return scale(elapsed, 100/float64(p.percent)), true
}

// worthRestarting reports whether a run on a slow server would end sooner if it was started again elsewhere.
func (s *Scheduler) worthRestarting(p *run) bool {
	whole, ok := s.predictedDuration(p)
	if !ok || p.server.suspicions == 0 {
		return false
	}
	usual := s.durations.expect(p.task.group.step)
	left := whole - s.now.Sub(p.startedAt)
	return float64(whole) >= slowFactor*float64(usual) && left > scale(usual, restartGain)+restartCost
}
