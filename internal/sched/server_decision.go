package sched

import "time"

// ServerEvent is a change of the set of servers, or of what is believed of one.
type ServerEvent string

// Events of servers.
const (
	ServerAdded     ServerEvent = "added"
	ServerRemoved   ServerEvent = "removed"
	ServerReturned  ServerEvent = "returned"
	ServerRestarted ServerEvent = "restarted" // under its id; the cause is CauseClockWentBack or CauseNewIncarnation
	// ServerAddressRefuted is that another server responds at the address of a registration, while this one has answered elsewhere.
	ServerAddressRefuted ServerEvent = "address-refuted"
	ServerSpeedChanged   ServerEvent = "speed-changed" // its speed is used from now on, or no longer
	ServerQuarantined    ServerEvent = "quarantined"   // it is suspected
	ServerCleared        ServerEvent = "cleared"       // a suspicion has lost its reason
	// ServerLeaseUnrecorded is that a restarted server's runs are stopped, as the next leader wouldn't know of its long lease.
	ServerLeaseUnrecorded ServerEvent = "lease-unrecorded"
)

// Causes of server events, besides those that also release runs.
const (
	CauseRegistered      Cause = "registered"
	CauseRoster          Cause = "roster"           // a former leader's roster lists the server
	CauseRegisteredAgain Cause = "registered-again" // within reregistrationGrace, or while its runs were kept
	CauseAddedAgain      Cause = "added-again"      // the id is that of a server that was removed
	CauseUnregistered    Cause = "unregistered"     // it has neither a registration nor runs
	CauseRunsFail        Cause = "runs-fail"        // most runs on the server
	CauseRunStalled      Cause = "run-stalled"      // on the server
	CauseRunsSlow        Cause = "runs-slow"        // on the server
	CauseStepsFail       Cause = "steps-fail"       // on other servers too
	CauseStoreSilent     Cause = "store-silent"     // the store doesn't answer the leader
	CauseSilent          Cause = "silent"           // as unregistered, and it didn't answer until its leases had expired
)

// ServerDecision is a change of the set of servers, or of what is believed of one. The caller logs it.
type ServerDecision struct {
	Server      ServerID
	Event       ServerEvent
	Cause       Cause
	Incarnation int64
	Address     string

	// What the decision is based on. Ages are 0 if there was no such event.
	Runs            int           // runs that the server held before
	Failures        int           // consecutive failed calls to the server
	RegistrationAge time.Duration // time since the last update of its registration
	PollAge         time.Duration // time since the last result of a poll
	Away            time.Duration // time since its registration or the server was removed
	FormerRemoval   Cause         // why the former server of the id was removed

	// The outcome.
	RunsLeft   int
	Attached   bool
	Registered bool
	Speed      float64 // multiple of the usual speed, set for ServerSpeedChanged
	SpeedRuns  int     // runs that it was learned from, set for ServerSpeedChanged
	// Quarantine is how long the server gets no starts, and Proven whether its runs would have ended well elsewhere, set for ServerQuarantined.
	Quarantine time.Duration
	Proven     bool
}

// serverHistory is what only the log and the state dump use of a server.
type serverHistory struct {
	registeredAt time.Time // last update of its registration
	knownAtCheck uint64    // the latest check of runs for which it was in Scheduler.servers
	removal
}

// removal is when and why a server was removed.
type removal struct {
	removedAt time.Time
	cause     Cause
}

// maxRemovals bounds the removed servers whose return is noticed. It exceeds the hosts that fail or restart in a day.
const maxRemovals = 1000

// serverLog holds the decisions on servers until TakeServerDecisions is called, and the latest removals.
type serverLog struct {
	decisions []ServerDecision
	dropped   int
	removals  map[ServerID]removal
	removed   []ServerID // keys of removals, in the order of removal
}

// TakeServerDecisions returns the decisions on servers since the last call, and the number of those that weren't kept.
func (s *Scheduler) TakeServerDecisions() ([]ServerDecision, int) {
	decisions, dropped := s.serverLog.decisions, s.serverLog.dropped
	s.serverLog.decisions, s.serverLog.dropped = nil, 0
	return decisions, dropped
}

// decideServer keeps a decision on a server for the log. It is called after the change.
func (s *Scheduler) decideServer(v *server, d ServerDecision) {
	l := &s.serverLog
	if len(l.decisions) >= maxDecisions {
		l.dropped++
		return
	}
	d.Server, d.Incarnation, d.Address, d.Failures = v.info.ID, v.info.Incarnation, v.info.Address, v.failures
	d.RegistrationAge, d.PollAge = s.since(v.history.registeredAt), s.since(v.polledAt)
	if d.Away == 0 {
		d.Away = s.since(v.unregisteredAt)
	}
	d.RunsLeft, d.Attached, d.Registered = len(v.runs), v.attached, v.registered
	l.decisions = append(l.decisions, d)
}

// since returns the time since a moment, or 0 for the zero time.
func (s *Scheduler) since(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return s.now.Sub(at)
}

// decideAdded keeps the decision that a server was added.
func (s *Scheduler) decideAdded(v *server, cause Cause) {
	d := ServerDecision{Event: ServerAdded, Cause: cause}
	if r, ok := s.serverLog.removals[v.info.ID]; ok {
		d.Event, d.Cause, d.Away, d.FormerRemoval = ServerReturned, CauseAddedAgain, s.since(r.removedAt), r.cause
	}
	s.decideServer(v, d)
}

// noteRegistration notes an update of a server's registration, before its state registered is set. A server of the roster whose
// registration is read at the same moment was never away.
func (s *Scheduler) noteRegistration(v *server) {
	v.history.registeredAt = s.now
	if away := s.since(v.unregisteredAt); !v.registered && away > 0 {
		s.decideServer(v, ServerDecision{Event: ServerReturned, Cause: CauseRegisteredAgain, Runs: len(v.runs)})
	}
}

// noteRemoval notes that a server was removed, which held a number of runs before.
func (s *Scheduler) noteRemoval(v *server, cause Cause, runs int) {
	s.decideServer(v, ServerDecision{Event: ServerRemoved, Cause: cause, Runs: runs})
	v.history.removal = removal{removedAt: s.now, cause: cause}
	l := &s.serverLog
	if l.removals == nil {
		l.removals = map[ServerID]removal{}
	}
	if _, ok := l.removals[v.info.ID]; !ok {
		if len(l.removed) >= maxRemovals {
			delete(l.removals, l.removed[0])
			l.removed = l.removed[1:]
		}
		l.removed = append(l.removed, v.info.ID)
	}
	l.removals[v.info.ID] = v.history.removal
}

// idleRemovalCause returns why a server without a registration and runs is removed.
func (v *server) idleRemovalCause() Cause {
	if v.attached {
		return CauseUnregistered
	}
	return CauseSilent
}
