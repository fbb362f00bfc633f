package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
	"github.com/rosemaryspoke/rosemaryspoke/internal/durations"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// leaseMargin covers the delay between the computation of a lease and the sending of its command, or its hand-over to the daemon that
	// sends it.
	leaseMargin = 100 * time.Millisecond
	// pollPause delays the poll after one that reported ended runs, so that runs which end close together share a poll.
	pollPause = 40 * time.Millisecond
	// maxPollPause bounds the pause under load, as ends of runs are reported that much later.
	maxPollPause = 200 * time.Millisecond
	// usualDelay is the common delay of replies up to which the pause isn't extended.
	usualDelay = congestedDelay / 2
	// pollMargin is how long after the expected end of a run a poll returns if the run is still in progress.
	pollMargin = 150 * time.Millisecond
	// minPollWait bounds the rate of polls of a server whose runs take longer than expected.
	minPollWait = 250 * time.Millisecond
	// fallbackPollInterval is the interval of polls while ended runs wait to be recorded; it keeps leases alive during store
	// outages.
	fallbackPollInterval = 600 * time.Millisecond
	// idlePollInterval is the interval of polls of a server without runs. The lease of a start is shorter by clockDrift of the age of the
	// latest clock reading.
	idlePollInterval = 30 * time.Second
	// pollRetry is the pause between polls of a server that doesn't answer.
	pollRetry = 300 * time.Millisecond
	// reregistrationGrace is how long a server without a registration is kept, as it may register again after a store outage.
	reregistrationGrace = 2500 * time.Millisecond
	// stopRetry is the pause before an unanswered stop is resent.
	stopRetry = 400 * time.Millisecond
	// unhealthyPause is how long a server gets no starts after it refused one as unhealthy or for lack of capacity. It doubles
	// up to maxUnhealthyPause with each consecutive refusal as unhealthy.
	unhealthyPause    = 500 * time.Millisecond
	maxUnhealthyPause = 4 * time.Second
	// startFailureMemory is how long a server comes after others once it hasn't confirmed a start. It exceeds two leases, as a start
	// without an answer holds its task for one.
	startFailureMemory = 10 * time.Second
)

// runKey identifies a run.
type runKey struct {
	task TaskID
	run  RunNumber
}

// unrecordedEnd is a reported end of a run that can be acknowledged once the job's progress is recorded.
type unrecordedEnd struct {
	number  uint64
	run     runKey
	job     ident.JobID
	changes uint64
	held    *FinishedRun // set while the job is unknown; the end is applied once the job is added
}

// server is a backend server with its runs and what is known of its health. Only the scheduler's lists and the runs on a server
// point to it; whatever may outlive it names it by its id, as runs that are placed on a removed server are never given up.
type server struct {
	info     Server
	attached bool // it has accepted this leader's fencing token and reported its inventory
	fenced   bool // its incarnation has accepted this leader's fencing token
	restored bool // from a former leader's roster
	reached  bool // counted in Scheduler.formerReach
	// inventoryKnown is set once the server has listed all its runs and all ended ones in this term, so that all runs that a former
	// leader started there are known.
	inventoryKnown bool
	// formerEndsHidden is set while the server is attached and hasn't listed all ended runs in this term, so that any task may have
	// ended there.
	formerEndsHidden bool
	endsHidden       bool // the latest inventory didn't list all ended runs
	listedEnds       int  // ended runs in the latest inventory
	registered       bool
	unregisteredAt   time.Time // when the registration was removed
	drainSince       time.Time
	coldUntil        time.Time // its runs are slow until then, as it has just started; see cold
	used             resource.Vector
	expected         resource.MilliCPU // expected use by steps with an advisor call in flight that names the server
	runs             map[runKey]*run
	unknownRuns      map[runKey]bool // reported runs of unknown jobs, with unknown demand

	clock       time.Duration // the server's clock at some time from clockSentAt to clockAt
	clockSentAt time.Time
	clockAt     time.Time
	// firstClock is the reading of the first poll of this incarnation, which was read at firstClockAt.
	firstClock   time.Duration
	firstClockAt time.Time
	// grantedUntil is the end of the longest lease granted to this incarnation, on the server's clock.
	grantedUntil time.Duration
	leaseBound   time.Time // after it, no run commanded so far is in progress or can still start
	// formerLeaderBound is when all runs that former leaders started have ended. A restart of the server extends it at most to
	// a fixed time after the takeover, so that inherited tasks don't wait for ever for a server that keeps restarting.
	formerLeaderBound time.Time
	// formerLongRunningBound is the same for runs of long-running tasks, except for those of longLeaseTasks.
	formerLongRunningBound time.Time

	incarnationUnknown     bool      // the clock has shown a restart, but the new incarnation isn't known yet
	formerIncarnationBound time.Time // after it, no run commanded for a former incarnation is in progress on this one
	longLease              bool      // recorded in the roster, see RosterEntry; false after formerIncarnationBound
	usualLease             bool      // recorded in the roster, see RosterEntry
	usualLeaseFrom         time.Time // when usualLease may be set; zero until the incarnation has answered a poll
	longLeaseTakenAt       time.Time // when the roster entry with it was last taken for a write
	// longLeaseChange is the roster change since which longLease holds, and longLeaseRecorded the latest one with it that the store has.
	longLeaseChange, longLeaseRecorded uint64
	longLeaseTasks                     longLeaseTasks
	incarnationClaimedAt               time.Time // when a registration named the incarnation; zero once the server itself has reported it
	incarnationSeenAt                  time.Time // when the latest call was sent whose reply shows that the known incarnation answered it
	restartedAt                        time.Time // when its latest restart showed
	answeredAddress                    string    // at which the incarnation has answered; empty until then
	disprovedIncarnation               int64     // named by a registration, but not by the server; 0 if there was none

	polling         bool   // the latest poll has neither a reply nor failed
	pollSerial      uint64 // of the latest poll
	unansweredPolls []sentPoll
	replyDelay      time.Duration // recent delay of replies to polls, see noteReplyDelay
	lastReplyDelay  time.Duration // of the latest reply
	wholeReplyDelay time.Duration // of the latest reply until this leader handled it; what all replies have in common is part of it
	// replyDelayKnown is set if the latest reply shows its delay, as it didn't wait for an end. The latest such reply came at replyDelayKnownAt.
	replyDelayKnown   bool
	replyDelayKnownAt time.Time
	polledAt          time.Time
	failures          int // consecutive failed calls, including unanswered starts

	unknownOutcomeTasks []*task // tasks of runs that ended here with an unknown outcome

	unrecordedEnds   []unrecordedEnd
	endsToRecord     bool   // listed in Scheduler.endsToRecord
	handledUpTo      uint64 // highest number of an ended run that was handled
	recordedUpTo     uint64 // highest number that may be acknowledged: no end up to it waits to be recorded
	acknowledgedUpTo uint64
	unansweredStarts int // runs with an unanswered start
	finiteRuns       int // runs of tasks that aren't long-running
	// incarnationInDoubt is set from an unanswered call until a poll reports the server's incarnation.
	incarnationInDoubt bool
	refusals           int       // starts refused as unhealthy since the last confirmed one
	startFailedAt      time.Time // when a start was last unanswered, or refused for the server's state, since the last confirmed one
	refusedUntil       time.Time // no starts before this time, as the server refused one
	noStartsBefore     time.Time // end of the quarantine
	commandAnsweredAt  time.Time // when the latest command with an answer was sent
	commandProbedAt    time.Time // when the latest probe was sent, see probeCommands

	cordoned            bool   // gets no starts, see RosterEntry
	cordonMayBeRecorded bool   // the store may have the server recorded as cordoned
	rosterAddress       string // in the server's entry of the roster that the store has for certain; empty without one
	evacuated           bool   // its data centre is evacuated, see Scheduler.SetEvacuated
	removed             bool   // removed from Scheduler.servers
	rosterChange        uint64 // version of the server's roster record
	history             serverHistory

	suspicions     int      // consecutive quarantines
	endings        []ending // latest ended runs since the last quarantine
	suspectedFor   []ending // of the present quarantine; nil if it has another reason
	suspectedStall bool     // suspectedFor is a stalled run
	lastSlowJob    *job     // last job with a slow run here
	slowdown       float64  // moving average of run durations, as a multiple of the expected ones
	recentRuns     float64  // ended runs, with exponential decay
	recentFailures float64  // failed runs among them, with the same decay

	hold        *roomHold // room that is held for a group, or nil
	recentPaces durations.Recent
	speed       durations.Speed
}

// fits reports whether the server has free capacity for a charge. Runs of unknown demand leave none.
func (v *server) fits(charge resource.Vector) bool {
	return len(v.unknownRuns) == 0 && v.used.Add(charge).Fits(v.info.Capacity)
}

// usable reports whether new runs may be placed on the server.
func (v *server) usable(now time.Time) bool { return v.usableIfSuspected(now) && !v.quarantined(now) }

// usableFor reports whether a run of a step may be placed on the server. A long-running task runs on a suspected one rather than nowhere, as
// its attempts aren't limited.
func (v *server) usableFor(step *Step, now time.Time) bool {
	return v.usable(now) || step.LongRunning && v.usableIfSuspected(now)
}

// quarantined reports whether the server gets no further run as it is suspected.
func (v *server) quarantined(now time.Time) bool {
	return now.Before(v.noStartsBefore) || v.suspicions > 0 && v.finiteRuns > 0
}

// usableIfSuspected reports whether nothing but a suspicion keeps new runs from the server.
func (v *server) usableIfSuspected(now time.Time) bool {
	return v.attached && v.registered && !v.info.Draining && v.failures == 0 && v.answersPromptly() &&
		!v.evacuated && !v.cordoned && !v.cordonMayBeRecorded && !v.awaitsRoster() && !v.awaitsLongLeaseRecord() && !now.Before(v.refusedUntil) &&
		!v.acknowledgementDue()
}

// failedStart reports whether the server recently didn't confirm a start, although it may answer polls.
func (v *server) failedStart(now time.Time) bool {
	return !v.startFailedAt.IsZero() && now.Sub(v.startFailedAt) < startFailureMemory
}

// deadline returns the end of a lease that a command grants after a delay, on the server's clock, and extends the server's
// leaseBound to cover it. The lease isn't longer on a server with a slow clock, as the next leader counts on Options.MaxFormerLease.
func (s *Scheduler) deadline(v *server, delay, lease time.Duration) time.Duration {
	v.leaseBound = latest(v.leaseBound, s.now.Add(delay+scale(lease, 1+clockDrift)+leaseMargin))
	end := v.lowestClock(s.now.Add(delay)) + lease
	v.grantedUntil = max(v.grantedUntil, end)
	return end
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func scale(d time.Duration, x float64) time.Duration { return convert.Scale(d, x) }

// addServer adds a server unless it is known, and returns it.
func (s *Scheduler) addServer(info Server, cause Cause) *server {
	if v := s.servers[info.ID]; v != nil {
		return v
	}
	v := &server{info: info, slowdown: 1, runs: map[runKey]*run{}, unknownRuns: map[runKey]bool{}}
	v.leaseBound = s.formerLeaseBound(s.started.Add(s.options.LeaderOverlap))
	v.formerLeaderBound, v.formerLongRunningBound = v.leaseBound, v.leaseBound
	v.incarnationClaimedAt = s.now
	v.evacuated = s.evacuated[info.DataCentre]
	if former := s.rosterDirty[info.ID]; former != nil {
		v.cordonMayBeRecorded = former.cordonMayBeRecorded // its removal isn't recorded yet
	}
	s.servers[info.ID], s.byID = v, nil
	s.services[info.Service] = append(s.services[info.Service], v)
	s.touchRoster(v)
	s.fleetVersion++
	s.decideAdded(v, cause)
	return v
}

// Register adds a server or updates its registration.
func (s *Scheduler) Register(now time.Time, info Server) {
	s.now = now
	v := s.addServer(info, CauseRegistered)
	if info.Incarnation == v.disprovedIncarnation {
		info.Incarnation = v.info.Incarnation
	}
	if info.Incarnation > v.info.Incarnation {
		if v.info.Incarnation != 0 {
			s.handleRestart(v, info.Incarnation)
		}
		v.incarnationClaimedAt = now
	}
	if v.info.Service != info.Service {
		s.services[v.info.Service] = slices.DeleteFunc(s.services[v.info.Service], func(o *server) bool { return o == v })
		s.services[info.Service] = append(s.services[info.Service], v)
	}
	info.Incarnation = max(info.Incarnation, v.info.Incarnation)
	sameEntry := info.Address == v.info.Address && info.Service == v.info.Service
	if info.Draining && !v.info.Draining {
		v.drainSince = now
	}
	v.noteCold(now, info.Cold)
	if info.Capacity != v.info.Capacity || info.Service != v.info.Service {
		s.fleetVersion++
	}
	v.info = info
	v.evacuated = s.evacuated[info.DataCentre]
	if !sameEntry {
		s.touchRoster(v)
	}
	s.noteRegistration(v)
	v.registered = true
	v.unregisteredAt = time.Time{}
	s.passNeeded = true
	if info.Draining {
		s.evacuate(v)
	}
	if !v.attached && !v.polling {
		s.poll(v, 0, 0)
	}
}

// Unregister handles the removal of a server's registration. Its runs hold capacity until their lease has expired.
func (s *Scheduler) Unregister(now time.Time, id ServerID) {
	s.now = now
	if v := s.servers[id]; v != nil && v.registered {
		v.registered = false
		v.unregisteredAt = now
	}
}

// checkServer handles the timeouts of a server.
func (s *Scheduler) checkServer(v *server) {
	idle := s.now.Sub(v.polledAt)
	switch {
	case v.polling:
	case !v.attached:
		if idle >= pollRetry && (v.registered || !s.serverLeaseEnded(v, v.leaseBound)) {
			s.poll(v, 0, 0)
		}
	case v.failures > 0:
		if idle >= pollRetry {
			s.poll(v, 0, 0)
		}
	case (len(v.runs) > 0 || v.formerEndsHidden || !v.answersPromptly()) && idle >= fallbackPollInterval:
		s.poll(v, 0, 0)
	case idle >= idlePollInterval && v.registered, idle >= silentStorePollInterval && s.pollsIdle:
		s.poll(v, 0, 0)
	}
	switch {
	case v.failures == 0 || !s.serverLeaseEnded(v, v.leaseBound):
	case v.mayReportLate(s.now):
		s.loseLongRunning(v) // their ends needn't be waited for, as they start again in any case
	default:
		s.markOutcomesUnknown(v)
		s.loseAllRuns(v, CauseLeaseExpired)
		v.attached, v.formerEndsHidden = false, false
	}
	if v.info.Draining {
		s.evacuate(v)
	}
	if !v.registered && s.now.Sub(v.unregisteredAt) > reregistrationGrace && len(v.runs) == 0 && !v.polling &&
		(v.attached && len(v.unknownRuns) == 0 && !v.formerEndsHidden || s.serverLeaseEnded(v, v.leaseBound)) {
		s.remove(v, v.idleRemovalCause(), 0)
		return
	}
	if v.suspicions > 0 && s.now.Sub(v.noStartsBefore) > suspicionMemory {
		v.suspicions = 0
	}
	s.updateLongLease(v)
	s.stopUnrecordedRuns(v)
	s.updateCordon(v)
	s.resendStops(v)
}

// resendStops resends unanswered stops.
func (s *Scheduler) resendStops(v *server) {
	due := false
	overdue := func(p *run) bool {
		return p.phase == phaseStopping && p.stopAnsweredAt.IsZero() && s.now.Sub(p.sentAt) >= stopRetry
	}
	for _, p := range v.runs {
		due = due || overdue(p)
	}
	if !due {
		return // avoids sorting the runs on every tick
	}
	for _, p := range sortedRuns(v) {
		if overdue(p) {
			s.sendStop(p, "repeat")
		}
	}
}

// mayHoldUnknownRuns reports whether the server may have runs that a former leader started and that this leader doesn't know,
// of long-running tasks or of others.
func (s *Scheduler) mayHoldUnknownRuns(v *server, longRunning bool) bool {
	bound := v.formerLeaderBound
	if longRunning {
		bound = v.formerLongRunningBound
	}
	return v.formerEndsHidden || !v.inventoryKnown && !v.cordoned && !s.serverLeaseEnded(v, bound)
}

// hasUnknownInventory reports whether mayHoldUnknownRuns holds for a server of the service.
func (s *Scheduler) hasUnknownInventory(id ServiceID, longRunning bool) bool {
	return slices.ContainsFunc(s.services[id], func(v *server) bool { return s.mayHoldUnknownRuns(v, longRunning) })
}

// isRecorded reports whether the store has the progress that an ended run made, so that the end can be acknowledged.
func (s *Scheduler) isRecorded(e unrecordedEnd) bool {
	j := s.jobs[e.job]
	return e.held == nil && (j == nil || j.recordedChanges >= e.changes)
}

// advanceRecorded advances recordedUpTo to just before the first end that isn't recorded.
func (s *Scheduler) advanceRecorded(v *server) {
	n := 0
	for _, e := range v.unrecordedEnds {
		if !s.isRecorded(e) {
			break
		}
		v.recordedUpTo = max(v.recordedUpTo, e.number)
		n++
	}
	if n > 0 {
		v.unrecordedEnds = v.unrecordedEnds[n:]
		s.pollNext(v, s.pollPauseNow())
	}
}
