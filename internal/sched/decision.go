package sched

import "time"

// Cause is why the scheduler considers a run as ended without a report of its end, or why its view of a server changed.
type Cause string

// Causes of released runs. Some are also causes of a ServerDecision.
const (
	CauseLeaseExpired   Cause = "lease-expired"
	CauseClockWentBack  Cause = "clock-went-back"  // a clock reading showed a restart of the server
	CauseNewIncarnation Cause = "new-incarnation"  // the registration or a poll showed a restart of the server
	CauseReplaced       Cause = "address-replaced" // another server responds at the address
	CauseNotListed      Cause = "not-listed"       // a poll of the server lists neither the run nor its end
	CauseStartExpired   Cause = "start-expired"    // the same for a run whose start had no answer and can't take effect any more
)

// Decision is a change of what the scheduler believes of a run that explains a second run of the task. The caller logs it.
type Decision struct {
	Server  ServerID
	Task    TaskID
	Run     RunNumber
	Cause   Cause   // set if the run was released
	Outcome Outcome // set if the end of a run was reported that had been released before or was unknown
	Number  uint64  // number of the reported end

	// What the decision is based on.
	Phase        string
	Failures     int           // consecutive failed calls to the server
	PollAge      time.Duration // time since the last result of a poll
	Clock        time.Duration // the server's clock at the last reading
	ClockAge     time.Duration // time since that reading
	GrantedUntil time.Duration // end of the longest lease that was granted, on the server's clock
	ReplyDelay   time.Duration // of the server's latest reply until this leader handled it
	CommonDelay  time.Duration // by how much the replies of all servers are late
	LeadAge      time.Duration // time since the latest moment at which certainly no other daemon led
}

// maxDecisions bounds the decisions kept until TakeDecisions is called; further ones are counted only.
const maxDecisions = 1000

// TakeDecisions returns the decisions since the last call, and the number of those that weren't kept.
func (s *Scheduler) TakeDecisions() ([]Decision, int) {
	decisions, dropped := s.decisions, s.droppedDecisions
	s.decisions, s.droppedDecisions = nil, 0
	return decisions, dropped
}

// decide keeps a decision for the log, with the state of the server on which it is based.
func (s *Scheduler) decide(v *server, d Decision) {
	if len(s.decisions) >= maxDecisions {
		s.droppedDecisions++
		return
	}
	d.Server, d.Failures, d.PollAge = v.info.ID, v.failures, s.now.Sub(v.polledAt)
	d.Clock, d.ClockAge, d.GrantedUntil = v.clock, s.now.Sub(v.clockAt), v.grantedUntil
	d.ReplyDelay, d.CommonDelay = v.wholeReplyDelay, s.delay.median
	if s.options.LedUntil != nil {
		d.LeadAge = s.now.Sub(s.options.LedUntil())
	}
	s.decisions = append(s.decisions, d)
}

// release handles a run that is known to have ended without a reported outcome.
func (s *Scheduler) release(p *run, cause Cause) {
	s.decide(p.server, Decision{Task: p.task.id(), Run: p.number, Cause: cause, Phase: p.phase.String()})
	s.runLost(p)
}

// String returns the name of the phase for the log.
func (p phase) String() string { return [...]string{"starting", "running", "stopping"}[p] }
