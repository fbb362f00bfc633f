package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// leaseMargin covers scheduling delays between the computation of a lease and its sending.
	leaseMargin = 100 * time.Millisecond
	// pollPause delays the look after one that brought ends, so that ends close together share a look.
	pollPause = 40 * time.Millisecond
	// pollMargin is how long after the expected end of a run a look returns without one.
	pollMargin = 150 * time.Millisecond
	// minPollWait bounds the rate of looks at a server whose runs take longer than expected.
	minPollWait = 250 * time.Millisecond
	// fallbackPollInterval is the interval of looks while ends wait to be recorded; it keeps leases alive during store outages.
	fallbackPollInterval = 600 * time.Millisecond
	// pollRetry is the pause between looks at a server that doesn't answer.
	pollRetry = 300 * time.Millisecond
	// reregistrationGrace is how long a server whose registration vanished may take to register again after a store outage.
	reregistrationGrace = 2500 * time.Millisecond
	// stopRetry is the pause before an unanswered stop is repeated.
	stopRetry = 400 * time.Millisecond
	// unhealthyPause is the first pause of starts on a server that refuses them; it doubles up to maxUnhealthy.
	unhealthyPause    = 500 * time.Millisecond
	maxUnhealthyPause = 4 * time.Second
)

type runKey struct {
	task TaskID
	run  RunNumber
}

// unacknowledgedEnd is a listed end that can be acknowledged once the job's progress is recorded.
type unacknowledgedEnd struct {
	number  uint64
	job     ident.JobID
	changes uint64
}

// server is a backend server with what runs there.
type server struct {
	info           Server
	attached       bool // it has accepted this owner's fence and told its inventory
	inventoryKnown bool // it was attached in this term, so that all that a former owner started there is known
	registered     bool
	unregisteredAt time.Time // when the registration vanished
	drainSince     time.Time
	used           resource.Vector
	runs           map[runKey]*run
	unknownRuns    map[runKey]bool // listed runs of unknown jobs; their demand isn't known

	clock      time.Duration // the server's clock at clockAt
	clockAt    time.Time
	leaseBound time.Time // after it, nothing ordered so far runs or can start
	// formerLeaderBound is when the last order of a former owner can't run any more. Restarts of the server don't move it on.
	formerLeaderBound time.Time

	incarnationUnknown     bool      // the clock has shown a new life whose start isn't known yet
	formerIncarnationBound time.Time // after it, what was meant for a former life doesn't run on this one

	polling    bool
	pollSerial uint64
	pollSentAt time.Time
	polledAt   time.Time
	failures   int // consecutive failed calls

	unknownEndTasks []*task // tasks whose last run here ended in a way that isn't known

	unacknowledged   []unacknowledgedEnd
	handledUpTo      uint64 // highest end handled
	recordedUpTo     uint64 // highest end that may be acknowledged
	acknowledgedUpTo uint64
	unansweredStarts int // runs whose start isn't answered
	finiteRuns       int // runs that end by themselves
	// incarnationInDoubt is set from a call without an answer until a look tells the server's life.
	incarnationInDoubt bool
	refusals           int
	noStartsBefore     time.Time // no starts before it

	cordoned            bool   // gets no starts, see RosterEntry
	cordonMayBeRecorded bool   // the store may have the server as closed
	removed             bool   // dropped from the scheduler
	rosterChange        uint64 // counts changes of the server's record

	suspicions  int     // suspicions in a row
	lastSlowJob *job    // last job of which a run was slow here
	slowdown    float64 // recent durations of runs as a multiple of the usual ones
	ends        float64 // recent ends, decayed
	failedEnds  float64 // failed ones among them
}

// fits reports whether a charge fits into what is free.
func (v *server) fits(charge resource.Vector) bool {
	return len(v.unknownRuns) == 0 && v.used.Add(charge).Fits(v.info.Capacity)
}

// usable reports whether new work may be placed on the server.
func (v *server) usable(now time.Time) bool {
	return v.attached && v.registered && !v.info.Draining && v.failures == 0 && !v.cordoned && !v.cordonMayBeRecorded &&
		!now.Before(v.noStartsBefore) && (v.suspicions == 0 || v.finiteRuns == 0)
}

// deadline returns the end of a lease granted now on the server's clock, and notes until when it binds.
func (s *Scheduler) deadline(v *server) time.Duration {
	age := s.now.Sub(v.clockAt)
	v.leaseBound = latest(v.leaseBound, s.now.Add(scale(s.options.Lease, 1+clockDrift)+scale(age, clockDrift)+leaseMargin))
	return v.clock + age + s.options.Lease
}

// formerLeaseBound returns until when leases bind that a former owner granted until the given time.
func (s *Scheduler) formerLeaseBound(granted time.Time) time.Time {
	if s.options.RunBase == 0 {
		return s.started // there was none
	}
	return granted.Add(scale(s.options.MaxFormerLease, 1+clockDrift) + leaseMargin)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }

// Register adds a server or updates what is known of it.
func (s *Scheduler) Register(now time.Time, info Server) {
	s.now = now
	v := s.servers[info.ID]
	if v == nil {
		v = &server{info: info, slowdown: 1, runs: map[runKey]*run{}, unknownRuns: map[runKey]bool{}}
		v.leaseBound = s.formerLeaseBound(s.started.Add(s.options.LeaderOverlap))
		v.formerLeaderBound = v.leaseBound
		s.servers[info.ID] = v
		s.services[info.Service] = append(s.services[info.Service], v)
		s.touchRoster(v)
		s.fleetVersion++
	}
	if v.info.Incarnation != 0 && info.Incarnation > v.info.Incarnation {
		s.handleRestart(v, info.Incarnation)
	}
	if v.info.Service != info.Service {
		s.services[v.info.Service] = slices.DeleteFunc(s.services[v.info.Service], func(o *server) bool { return o == v })
		s.services[info.Service] = append(s.services[info.Service], v)
	}
	info.Incarnation = max(info.Incarnation, v.info.Incarnation)
	if info.Address != v.info.Address || info.Service != v.info.Service {
		s.touchRoster(v)
	}
	if info.Draining && !v.info.Draining {
		v.drainSince = now
	}
	if info.Capacity != v.info.Capacity || info.Service != v.info.Service {
		s.fleetVersion++
	}
	v.info = info
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

// Unregister notes that a server's registration is gone. What it holds counts until its lease has ended.
func (s *Scheduler) Unregister(now time.Time, id ServerID) {
	s.now = now
	if v := s.servers[id]; v != nil && v.registered {
		v.registered = false
		v.unregisteredAt = now
	}
}

// ServerReplaced handles the proof that the server's address belongs to another server now.
func (s *Scheduler) ServerReplaced(now time.Time, id ServerID) {
	s.now = now
	if v := s.servers[id]; v != nil {
		s.loseAllRuns(v)
		v.polling = false
		s.remove(v)
	}
}

// loseAllRuns releases everything on a server, which certainly runs there no longer.
func (s *Scheduler) loseAllRuns(v *server) {
	for _, p := range sortedRuns(v) {
		s.counts.Lapses++
		s.runLost(p)
	}
}

// markEndsUnknown notes that the ends of all runs of a silent server aren't known: each may turn out to be a failure.
func (s *Scheduler) markEndsUnknown(v *server) {
	for _, p := range v.runs {
		p.task.unknownEnds++
		v.unknownEndTasks = append(v.unknownEndTasks, p.task)
	}
}

// settleUnknownEnds is called once the server has told its ends, or certainly never will.
func (s *Scheduler) settleUnknownEnds(v *server) {
	for _, t := range v.unknownEndTasks {
		t.unknownEnds--
	}
	v.unknownEndTasks = nil
	s.passNeeded = true
}

func (s *Scheduler) remove(v *server) {
	s.settleUnknownEnds(v)
	delete(s.servers, v.info.ID)
	v.removed = true
	s.touchRoster(v)
	s.services[v.info.Service] = slices.DeleteFunc(s.services[v.info.Service], func(o *server) bool { return o == v })
	s.forgetTickets(v.info.ID)
	s.passNeeded = true
}

// checkServer handles what time brings about on a server.
func (s *Scheduler) checkServer(v *server) {
	idle := s.now.Sub(v.polledAt)
	switch {
	case v.polling:
	case !v.attached:
		if idle >= pollRetry && (v.registered || s.now.Before(v.leaseBound)) {
			s.poll(v, 0, 0)
		}
	case v.failures > 0:
		if idle >= pollRetry {
			s.poll(v, 0, 0)
		}
	case len(v.runs) > 0 && idle >= fallbackPollInterval:
		s.poll(v, 0, 0)
	}
	if v.failures > 0 && s.now.After(v.leaseBound) {
		s.markEndsUnknown(v)
		s.loseAllRuns(v)
		v.attached = false
	}
	if v.info.Draining {
		s.evacuate(v)
	}
	if !v.registered && s.now.Sub(v.unregisteredAt) > reregistrationGrace && len(v.runs) == 0 && !v.polling &&
		(v.attached || s.now.After(v.leaseBound)) {
		s.remove(v)
		return
	}
	if v.suspicions > 0 && s.now.Sub(v.noStartsBefore) > suspicionMemory {
		v.suspicions = 0
	}
	s.updateCordon(v)
	s.resendStops(v)
}

// resendStops sends the stops again that got no answer.
func (s *Scheduler) resendStops(v *server) {
	due := false
	overdue := func(p *run) bool {
		return p.phase == phaseStopping && p.stopAnsweredAt.IsZero() && s.now.Sub(p.sentAt) >= stopRetry
	}
	for _, p := range v.runs {
		due = due || overdue(p)
	}
	if !due {
		return // the runs are sorted only where that matters
	}
	for _, p := range sortedRuns(v) {
		if overdue(p) {
			s.sendStop(p, "repeat")
		}
	}
}

// hasUnknownInventory reports whether a server of the service may run work that its former owner started and that this owner
// doesn't know.
func (s *Scheduler) hasUnknownInventory(id ServiceID) bool {
	for _, v := range s.services[id] {
		if !v.inventoryKnown && !v.cordoned && s.now.Before(v.formerLeaderBound) {
			return true
		}
	}
	return false
}

// poll asks a server for its inventory and renews its lease.
func (s *Scheduler) poll(v *server, wait, delay time.Duration) {
	v.polling = true
	v.pollSerial++
	v.pollSentAt = s.now.Add(delay)
	v.acknowledgedUpTo = v.acknowledgeable()
	o := PollCommand{Server: v.info, Acknowledged: v.acknowledgedUpTo, Wait: wait, Delay: delay, Serial: v.pollSerial}
	if v.attached && s.renewsLease(v) {
		o.Deadline = s.deadline(v) + delay
	}
	s.emit(o)
}

// renewsLease reports whether the lease of a server is still renewed. It isn't while the server is silent, as each call that
// may have arrived would put off the time from which its runs are certainly gone.
func (s *Scheduler) renewsLease(v *server) bool {
	return len(v.runs) > 0 && v.failures == 0 && (v.registered || s.now.Sub(v.unregisteredAt) < reregistrationGrace || !v.info.Draining)
}

// pollWait returns how long a server may wait for an end: until shortly after the next one is expected. A look whose answer
// is lost is then missed about when the end would have been noticed, not a whole wait later.
func (s *Scheduler) pollWait(v *server) time.Duration {
	next := s.options.PollWait
	for _, p := range v.runs {
		if p.phase == phaseRunning && !p.task.group.step.LongRunning {
			next = min(next, s.remaining(p)+pollMargin)
		}
	}
	return min(max(next, minPollWait), s.options.PollWait)
}

// pollNext asks for the next look if something runs on the server or ends can be acknowledged.
func (s *Scheduler) pollNext(v *server, delay time.Duration) {
	if v.polling || !v.attached || v.failures > 0 {
		return
	}
	if len(v.unacknowledged) > 0 {
		return // the look would return at once with the same ends
	}
	switch {
	case v.acknowledgedUpTo < v.recordedUpTo && v.acknowledgeable() == 0:
		s.poll(v, 0, max(delay, pollPause)) // returns at once, as the ends are listed until they are acknowledged
	case len(v.runs) > 0 || len(v.unknownRuns) > 0:
		s.poll(v, s.pollWait(v), delay)
	case v.recordedUpTo > v.acknowledgedUpTo:
		s.poll(v, 0, delay)
	}
}

// advanceAcknowledged moves the acknowledgement of a server up to the first end that isn't recorded.
func (s *Scheduler) advanceAcknowledged(v *server) {
	n := 0
	for _, e := range v.unacknowledged {
		if j := s.jobs[e.job]; j != nil && j.recordedChanges < e.changes {
			break
		}
		v.recordedUpTo = max(v.recordedUpTo, e.number)
		n++
	}
	if n > 0 {
		v.unacknowledged = v.unacknowledged[n:]
		s.pollNext(v, pollPause)
	}
}
