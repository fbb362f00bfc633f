package sched

import "time"

// clockMargin is how far a server's clock may be behind what is expected of it before that shows a restart. Answers overtake
// each other by the time that calls may take.
const clockMargin = time.Second

// readClock takes a reading of a server's clock. A clock that went back shows that the server has restarted under its id:
// it then takes calls that were meant for its former life. The run that the answer is about is on the new life, if any.
func (s *Scheduler) readClock(v *server, clock time.Duration, keep *run) {
	if clock == 0 {
		return // the answer had none
	}
	expected := clock
	if !v.clockAt.IsZero() {
		expected = v.clock + s.now.Sub(v.clockAt)
	}
	if clock > expected+clockMargin {
		return // a late answer of a former life; a look corrects the clock if it is ours that stood still
	}
	restarted := clock+clockMargin < expected-scale(s.now.Sub(v.clockAt), clockDrift)
	v.clock, v.clockAt = clock, s.now
	if !restarted {
		return
	}
	s.releaseFormerRuns(v, keep)
	s.resetIncarnation(v)
	v.incarnationUnknown = true
	s.poll(v, 0, 0) // tells the new life and what it runs; the answer to an earlier look doesn't count any more
}

// releaseFormerRuns releases what ran on the former life of a server. An order for it without an answer may still be carried out by
// the new life, so its run is stopped there first, which keeps it from starting later.
func (s *Scheduler) releaseFormerRuns(v *server, keep *run) {
	for _, p := range sortedRuns(v) {
		switch {
		case p == keep:
		case p.startUncertain || p.phase == phaseStarting:
			p.startUncertain, p.stopAnsweredAt = true, time.Time{}
			if p.phase == phaseStopping {
				s.sendStop(p, "server restarted")
			} else {
				s.stop(p, "server restarted")
			}
			if g := p.task.group; g.step.Gang && p.number == g.gangRun {
				s.abortGang(g, "member lost")
			}
		default:
			s.counts.Lapses++
			s.runLost(p)
		}
	}
}

// resetIncarnation drops what is known of a server's former life beside its runs. Orders that were meant for it, with a deadline
// by its clock, may have given the new life the longest lease.
func (s *Scheduler) resetIncarnation(v *server) {
	v.formerIncarnationBound = s.now.Add(scale(s.options.MaxServerLease, 1+clockDrift) + leaseMargin)
	v.leaseBound = latest(v.leaseBound, v.formerIncarnationBound)
	s.settleUnknownEnds(v)
	s.touchRoster(v)
	v.attached = false
	if s.options.RunBase > 0 {
		v.formerLeaderBound = latest(v.formerLeaderBound, s.started.Add(s.options.LeaderOverlap+scale(s.options.MaxServerLease, 1+clockDrift)+leaseMargin))
	}
	v.suspicions, v.lastSlowJob, v.slowdown, v.ends, v.failedEnds = 0, nil, 1, 0, 0
	v.unacknowledged, v.handledUpTo, v.recordedUpTo, v.acknowledgedUpTo = nil, 0, 0, 0
	v.unknownRuns = map[runKey]bool{}
	s.forgetTickets(v.info.ID)
}

// handleRestart handles proof that a server has restarted: nothing of the former life runs any more.
func (s *Scheduler) handleRestart(v *server, born int64) {
	v.info.Incarnation = born
	s.touchRoster(v)
	if v.incarnationUnknown {
		v.incarnationUnknown = false // the life that its clock has shown
		return
	}
	s.releaseFormerRuns(v, nil)
	s.resetIncarnation(v)
	v.clockAt = time.Time{} // the next reading is the new life's
}

// acknowledgeable returns up to which end a look may acknowledge. Ends are numbered anew by each life of a server, so a
// number of the former life would make the next one forget ends that nobody has heard of. While it isn't certain that the
// same life goes on, nothing is acknowledged.
func (v *server) acknowledgeable() uint64 {
	if v.incarnationInDoubt || v.failures > 0 || v.unansweredStarts > 0 {
		return 0
	}
	return v.recordedUpTo
}
