package sched

import (
	"slices"
	"time"
)

// A command for a server's former incarnation, with a deadline on that one's clock, gives the new one a lease of MaxRunLease. The next
// leader counts on that only if the roster says so. While the store answers, this leader can record a restart as soon as a reply shows it.
// Otherwise a start needs a recent proof that the server hasn't restarted, and nothing runs under such a lease that isn't recorded.

const (
	// storeAnswerMargin is how much later than at its interval an answer of the store may come before the store counts as silent.
	storeAnswerMargin = 100 * time.Millisecond
	// incarnationProofAge is how old the proof may be when a start is decided on, beyond the delay of the server's replies.
	incarnationProofAge = 200 * time.Millisecond
	// silentStorePollInterval is the interval of polls of all servers while the store doesn't answer, and the longest wait of a poll then.
	silentStorePollInterval = 400 * time.Millisecond
)

// storeAnswers reports whether the store has answered this leader recently, so that the roster can be written. What makes the replies of all
// servers late, as an overloaded leader does, makes those of the store late as well.
func (s *Scheduler) storeAnswers() bool {
	return s.options.StoreAnsweredAt == nil ||
		s.now.Sub(s.options.StoreAnsweredAt()) <= s.options.StoreInterval+storeAnswerMargin+replyTimeoutFactor*s.delay.median
}

// incarnationProven reports whether a start on a server can't reach an unknown incarnation without being recorded.
func (s *Scheduler) incarnationProven(v *server) bool {
	return s.storeAnswers() || s.now.Sub(v.incarnationSeenAt) <= incarnationProofAge+max(v.lastReplyDelay, replyTimeoutFactor*s.delay.median)
}

// proveIncarnation is like incarnationProven. Without a proof it polls the server, also beside a poll that waits for the end of a run.
func (s *Scheduler) proveIncarnation(v *server) bool {
	if s.incarnationProven(v) {
		return true
	}
	if !v.polling || v.latestPollWaits() {
		s.poll(v, 0, 0)
	}
	return false
}

// proveIncarnations reports whether proveIncarnation holds for each of some servers.
func (s *Scheduler) proveIncarnations(servers []*server) bool {
	all := true
	for _, v := range servers {
		all = s.proveIncarnation(v) && all
	}
	return all
}

// noteIncarnationAnswered notes that a call of which the reply brought a clock reading was answered by the known incarnation.
func (s *Scheduler) noteIncarnationAnswered(v *server, sent time.Time, clock time.Duration) {
	if v.attached && !v.incarnationUnknown && !v.mayBeLaterIncarnation(clock, s.now) {
		v.incarnationSeenAt = latest(v.incarnationSeenAt, sent)
	}
}

// IsStartOutdated reports whether a start that has waited must not be sent any more: its server has shown a restart, or isn't proven not
// to have restarted.
func (s *Scheduler) IsStartOutdated(now time.Time, cmd *StartCommand) bool {
	s.now = now
	v := s.servers[cmd.Server.ID]
	if v == nil {
		return false
	}
	restarted := cmd.Server.Incarnation != 0 && v.info.Incarnation != cmd.Server.Incarnation
	return restarted || v.incarnationUnknown || v.awaitsLongLeaseRecord() || !s.incarnationProven(v)
}

// StartWithheld handles a start that wasn't sent because IsStartOutdated held. It says nothing about the server.
func (s *Scheduler) StartWithheld(now time.Time, id ServerID, task TaskID, number RunNumber) {
	s.now = now
	p := s.findRun(id, task, number)
	if p == nil || p.phase != phaseStarting {
		return
	}
	s.abandonStart(p, "not sent")
	s.proveIncarnation(p.server)
}

// awaitsLongLeaseRecord reports whether the roster doesn't say yet that the server may have a long lease since its latest restart. The
// next leader would count the usual one, so the server gets no starts.
func (v *server) awaitsLongLeaseRecord() bool {
	return v.longLease && v.longLeaseRecorded < v.longLeaseChange
}

// stopUnrecordedRuns stops the runs on a restarted server whose long lease can't be recorded, as the next leader would start their tasks
// again before that lease has ended.
func (s *Scheduler) stopUnrecordedRuns(v *server) {
	if !v.awaitsLongLeaseRecord() || s.storeAnswers() {
		return
	}
	const reason = "long lease not recorded"
	if slices.ContainsFunc(sortedRuns(v), func(p *run) bool { return p.phase != phaseStopping }) {
		s.decideServer(v, ServerDecision{Event: ServerLeaseUnrecorded, Cause: CauseStoreSilent, Runs: len(v.runs)})
	}
	for _, p := range sortedRuns(v) {
		if g := p.task.group; g.step.Gang && p.number == g.gangRun {
			s.abortGang(g, reason)
		} else {
			s.stop(p, reason)
		}
	}
}
