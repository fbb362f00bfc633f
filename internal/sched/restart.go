package sched

import "time"

// clockMargin covers the rounding of clock readings to whole milliseconds.
const clockMargin = 2 * time.Millisecond

// readClock handles a reading of a server's clock in the reply to a call that was sent at the given time. A reading below
// lowestClock shows that the server has restarted under its id; it then accepts commands that were sent to its former
// incarnation. The run that the reply is about, if any, is in progress on the new incarnation and is kept.
func (s *Scheduler) readClock(v *server, sent time.Time, clock time.Duration, keep *run) {
	if clock == 0 || v.clockAt.IsZero() {
		return // the reply had no reading, or no poll has told yet which incarnation replies
	}
	if clock > v.clock+scale(s.now.Sub(v.clockSentAt), 1+clockDrift)+clockMargin {
		// A late reply of a former incarnation, or the leader's clock stood still; a poll tells which. The bound allows for a
		// server's clock that is a little faster than the leader's.
		if v.attached && !v.polling {
			s.poll(v, 0, 0)
		}
		return
	}
	if clock+clockMargin < v.lowestClock(sent) {
		v.setClock(clock, sent, s.now)
		held := len(v.runs)
		s.releaseFormerRuns(v, keep, CauseClockWentBack)
		s.resetIncarnation(v)
		v.incarnationUnknown = true
		s.decideServer(v, ServerDecision{Event: ServerRestarted, Cause: CauseClockWentBack, Runs: held})
		s.stopUnrecordedRuns(v)
		s.poll(v, 0, 0) // reports the new incarnation and its runs; the reply to an earlier poll is ignored
		return
	}
	s.noteIncarnationAnswered(v, sent, clock)
	if clock >= v.lowestClock(s.now) { // an older reading would shorten leases
		v.setClock(clock, sent, s.now)
	}
}

// setClock sets the latest reading of the server's clock.
func (v *server) setClock(clock time.Duration, sent, now time.Time) {
	v.clock, v.clockSentAt, v.clockAt = clock, sent, now
}

// lowestClock returns the lowest value that the server's clock can have had at a time, or 0 if no earlier reading is known.
// Only readings from before that time count: the leader's clock may have stood still since, so a later one shows nothing.
func (v *server) lowestClock(at time.Time) time.Duration {
	clock, readAt := v.clock, v.clockAt
	if at.Before(readAt) {
		clock, readAt = v.firstClock, v.firstClockAt
	}
	if readAt.IsZero() || at.Before(readAt) {
		return 0
	}
	return clock + scale(at.Sub(readAt), 1-clockDrift)
}

// mayBeLaterIncarnation reports whether a clock reading may be of a later incarnation than the known one. That one answered a poll
// that was sent at incarnationSeenAt, so a later one is younger than the time since then.
func (v *server) mayBeLaterIncarnation(clock time.Duration, readAt time.Time) bool {
	return clock <= readAt.Sub(v.incarnationSeenAt)
}

// releaseFormerRuns releases the runs of a server's former incarnation. An unanswered command may still be carried out by the
// new one, so its run is stopped there first, which prevents it from starting later. A run that the new one may have confirmed
// is kept until its inventory shows whether it is in progress.
func (s *Scheduler) releaseFormerRuns(v *server, keep *run, cause Cause) {
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
		case p.confirmInDoubt:
		default:
			s.counts.Lapses++
			s.release(p, cause)
		}
	}
}

// IsPollOutdated reports whether the server has shown a restart since a poll was requested, so that its acknowledgement and its deadline
// are meant for a former incarnation.
func (s *Scheduler) IsPollOutdated(cmd PollCommand) bool {
	v := s.servers[cmd.Server.ID]
	return v != nil && (v.info.Incarnation != cmd.Server.Incarnation || v.incarnationUnknown && v.pollSerial != cmd.Serial)
}

// resetIncarnation resets all state of a server's former incarnation except its runs. Commands for that incarnation, with a
// deadline on its clock, may have given the new one a lease of MaxRunLease.
func (s *Scheduler) resetIncarnation(v *server) {
	s.noteUnknownRunsLost(v)
	v.formerIncarnationBound = s.longestLeaseBound()
	v.leaseBound = latest(v.leaseBound, v.formerIncarnationBound)
	v.longLease, v.longLeaseTasks = true, v.longRunningTasks()
	v.longLeaseTasks.unnamed = s.options.RunBase > 0 && !v.inventoryKnown // it may have confirmed starts of former leaders
	v.usualLease, v.usualLeaseFrom = false, time.Time{}
	s.clearUnknownOutcomes(v)
	s.touchRoster(v)
	v.longLeaseChange, s.rosterUrgent = v.rosterChange, true
	v.attached, v.formerEndsHidden, v.endsHidden, v.listedEnds = false, false, false, 0
	v.fenced, v.restartedAt = false, s.now
	v.unansweredPolls, v.polling = nil, false // their replies may be of the former incarnation
	if s.options.RunBase > 0 {
		v.formerLeaderBound = latest(v.formerLeaderBound, s.longestFormerLeaseBound())
		v.formerLongRunningBound = v.formerLeaderBound
	}
	v.suspicions, v.lastSlowJob, v.slowdown, v.recentRuns, v.recentFailures = 0, nil, 1, 0, 0
	v.endings, v.suspectedFor, v.suspectedStall = nil, nil, false
	v.unrecordedEnds, v.handledUpTo, v.recordedUpTo, v.acknowledgedUpTo = nil, 0, 0, 0
	v.grantedUntil, v.answeredAddress = 0, ""
	v.firstClockAt = time.Time{}
	v.unknownRuns = map[runKey]bool{}
}

// longestLeaseBound returns when all leases of the maximum length have expired that commands of this leader, up to now, grant. A deadline
// on the clock of a former incarnation limits neither the lease nor how late the command takes effect.
func (s *Scheduler) longestLeaseBound() time.Time {
	return s.now.Add(s.options.MaxSendDelay + scale(s.options.MaxRunLease, 1+clockDrift) + leaseMargin)
}

// longestFormerLeaseBound returns when all leases of the maximum length have expired that commands of former leaders granted.
func (s *Scheduler) longestFormerLeaseBound() time.Time {
	return s.started.Add(s.options.formerSendTime() + scale(s.options.MaxRunLease, 1+clockDrift) + leaseMargin)
}

// formerSendTime bounds how long after the takeover commands of former leaders are sent. The clock of a former leader may be slower than
// this one's.
func (o *Options) formerSendTime() time.Duration {
	return max(o.LeaderOverlap, scale(o.MaxSendDelay, 1+clockDrift))
}

// longLeaseBound returns when all leases of the maximum length have expired that commands for former incarnations of a server may
// have granted the one that has just answered its first poll. Commands of former leaders are sent for formerSendTime.
// This leader has sent commands for a former incarnation if it has removed a server of that id, and else has seen the restart.
func (s *Scheduler) longLeaseBound(v *server) time.Time {
	bound := s.longestLeaseBound()
	if _, returned := s.serverLog.removals[v.info.ID]; returned {
		return bound
	}
	if s.options.RunBase == 0 {
		return s.started
	}
	if b := s.longestFormerLeaseBound().Add(s.formerExtension() + s.options.MaxRunLease); b.Before(bound) { // carried out up to MaxRunLease late
		return b
	}
	return bound
}

// handleRestart handles proof that a server has restarted, which ended all runs of its former incarnation.
func (s *Scheduler) handleRestart(v *server, incarnation int64) {
	v.info.Incarnation = incarnation
	s.touchRoster(v)
	if v.incarnationUnknown {
		v.incarnationUnknown = false // the incarnation that its clock has shown
		return
	}
	held := len(v.runs)
	s.releaseFormerRuns(v, nil, CauseNewIncarnation)
	s.resetIncarnation(v)
	s.decideServer(v, ServerDecision{Event: ServerRestarted, Cause: CauseNewIncarnation, Runs: held})
	v.clockAt = time.Time{} // the next reading is of the new incarnation
}

// acknowledgeable returns the highest number that a poll may acknowledge. Each incarnation of a server numbers its ended runs
// from the start, so a number of the former incarnation would make the next one drop ends that it never reported. Nothing is
// acknowledged while the server may have restarted.
func (v *server) acknowledgeable() uint64 {
	if v.incarnationInDoubt || v.failures > 0 || v.unansweredStarts > 0 {
		return 0
	}
	return v.recordedUpTo
}

// maxEndsBeforeAcknowledgement is the number of ended runs in an inventory from which the server gets no starts while some of them are
// recorded and not acknowledged. Acknowledgements wait for unanswered starts, so with a steady flow of starts none would be sent,
// and from 500 ended runs on the server would not list all.
const maxEndsBeforeAcknowledgement = 200

// acknowledgementDue reports whether starts have to wait for the acknowledgement of ended runs.
func (v *server) acknowledgementDue() bool {
	return v.listedEnds >= maxEndsBeforeAcknowledgement && v.acknowledgedUpTo < v.recordedUpTo
}
