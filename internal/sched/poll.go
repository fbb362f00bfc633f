package sched

import (
	"slices"
	"time"
)

const (
	// minReplyTimeout and maxReplyTimeout bound the time after which a poll counts as failed, beyond its wait. If a reply is
	// lost, ended runs go unnoticed until then. With the maximum, a renewed lease lasts longer than the poll that renews it.
	minReplyTimeout = 600 * time.Millisecond
	maxReplyTimeout = 2 * time.Second
	// replyTimeoutFactor times the recent delay of a server's replies is the timeout of its polls, so that polls over a
	// congested link don't fail although they are answered.
	replyTimeoutFactor = 2
	// maxStartReplyDelay is the delay of replies from which a server gets no starts, since those would time out and be repeated.
	maxStartReplyDelay = 400 * time.Millisecond
	// promptReply is how long a long-running task waits for the answer of an idle server. After it, a server that answers is preferred.
	promptReply = 200 * time.Millisecond
	// delayProbeInterval is the interval at which a server is asked for the delay of its replies that the leader handled late.
	delayProbeInterval = 4 * time.Second
	// maxReplyDelay is the time after which no reply is used, beyond the wait of its poll. It is as long as a lease: what a server
	// reports during the lease counts as reported, though the reply may be late.
	maxReplyDelay = 4 * time.Second
	// maxUnansweredPolls bounds the polls of a server whose reply is still accepted.
	maxUnansweredPolls = 8
)

// sentPoll is a poll that may still be answered.
type sentPoll struct {
	serial  uint64
	at      time.Time
	address string
	wait    time.Duration // how long the server may delay its reply until a run ends
}

// notePoll records a poll that is about to be sent.
func (v *server) notePoll(p sentPoll) {
	if len(v.unansweredPolls) >= maxUnansweredPolls {
		v.unansweredPolls = v.unansweredPolls[1:]
	}
	v.unansweredPolls = append(v.unansweredPolls, p)
}

// IsPollCurrent reports whether a poll is still to be sent after its pause: no later one has been requested, and no restart of the
// server has shown. Its acknowledgement and its deadline are meant for the incarnation that was known when it was requested.
func (s *Scheduler) IsPollCurrent(id ServerID, serial uint64) bool {
	v := s.servers[id]
	return v != nil && v.polling && v.pollSerial == serial
}

// takePoll returns the poll with a serial and forgets it and all earlier ones, whose replies would be outdated. It reports
// false if the poll is forgotten already.
func (v *server) takePoll(serial uint64) (sentPoll, bool) {
	i := slices.IndexFunc(v.unansweredPolls, func(p sentPoll) bool { return p.serial == serial })
	if i < 0 {
		return sentPoll{}, false
	}
	p := v.unansweredPolls[i]
	v.unansweredPolls = v.unansweredPolls[i+1:]
	return p, true
}

// mayReportLate reports whether a server whose replies are late, for whatever reason, may still answer a poll that reached it during its lease, with
// the ends of runs. Servers that answered promptly before they fell silent aren't waited for.
func (v *server) mayReportLate(now time.Time) bool {
	if v.wholeReplyDelay <= maxStartReplyDelay {
		return false
	}
	return slices.ContainsFunc(v.unansweredPolls, func(p sentPoll) bool {
		return p.at.Before(v.leaseBound) && now.Before(p.at.Add(maxReplyDelay))
	})
}

// noteReply updates the delays of a server's replies for the reply to a poll. One that lists ends may come before the wait is over, so it can
// only show that replies are later than known.
func (s *Scheduler) noteReply(v *server, answered sentPoll, inv Inventory) {
	v.replyDelayKnown = len(inv.Finished) == 0 || answered.wait == 0
	if v.replyDelayKnown {
		v.replyDelayKnownAt = s.now
	}
	whole := max(inv.Delay, s.now.Sub(answered.at)-answered.wait)
	if v.replyDelayKnown || whole > v.wholeReplyDelay {
		v.wholeReplyDelay = whole
	}
	if v.replyDelayKnown || inv.Delay > v.lastReplyDelay {
		v.noteReplyDelay(max(inv.Delay-replyTimeoutFactor*s.delay.median, 0)) // what all replies have in common isn't the server's
	}
}

// noteReplyDelay updates the recent delay of replies. It follows a longer delay at once and a shorter one gradually.
func (v *server) noteReplyDelay(delay time.Duration) {
	v.lastReplyDelay = delay
	v.replyDelay = max(delay, v.replyDelay/2)
}

// probesReplyDelay reports whether the next poll has to be answered at once, as the latest reply listed ends and so doesn't show whether
// replies are still late. A delay that only matters if the server falls silent is probed rarely, as an overloaded leader handles all replies late.
func (s *Scheduler) probesReplyDelay(v *server) bool {
	return !v.replyDelayKnown && (!v.answersPromptly() ||
		v.wholeReplyDelay > maxStartReplyDelay && s.now.Sub(v.replyDelayKnownAt) >= delayProbeInterval)
}

// answersPromptly reports whether starts on the server would be confirmed in time.
func (v *server) answersPromptly() bool { return v.lastReplyDelay <= maxStartReplyDelay }

// answeredSince reports whether a server without failed calls has answered recently and since a time. Only servers with runs are polled
// regularly, so that the loss of an idle one doesn't show until its registration lapses.
func (s *Scheduler) answeredSince(v *server, since time.Time) bool {
	return s.now.Sub(v.polledAt) <= s.options.PollWait+minReplyTimeout && !v.polledAt.Before(since)
}

// overdue reports whether a server doesn't answer a poll promptly that is to show whether it responds.
func (s *Scheduler) overdue(v *server) bool {
	n := len(v.unansweredPolls)
	if n == 0 || !v.polling || v.latestPollWaits() {
		return false
	}
	return s.now.Sub(v.unansweredPolls[n-1].at) >= promptReply+replyTimeoutFactor*s.delay.median
}

// latestPollWaits reports whether the latest poll is unanswered and doesn't have to be answered at once.
func (v *server) latestPollWaits() bool {
	n := len(v.unansweredPolls)
	return n > 0 && v.unansweredPolls[n-1].wait > 0
}

// responds reports whether a server has answered recently and since a time. If it hasn't, it is polled, also beside a poll that waits
// for the end of a run.
func (s *Scheduler) responds(v *server, since time.Time) bool {
	if s.answeredSince(v, since) {
		return true
	}
	if !v.polling || v.latestPollWaits() {
		s.poll(v, 0, 0)
	}
	return false
}

// allRespond reports whether responds holds for each of some servers.
func (s *Scheduler) allRespond(servers []*server, since time.Time) bool {
	all := true
	for _, v := range servers {
		all = s.responds(v, since) && all
	}
	return all
}

// replyTimeout returns the time after which a poll without a wait counts as failed.
func (v *server) replyTimeout() time.Duration {
	return min(max(minReplyTimeout, replyTimeoutFactor*v.replyDelay), maxReplyTimeout)
}

// poll requests a server's inventory and renews its lease.
func (s *Scheduler) poll(v *server, wait, delay time.Duration) {
	v.polling = true
	s.counts.Polls++
	s.lastPollSerial++
	v.pollSerial = s.lastPollSerial
	v.notePoll(sentPoll{serial: v.pollSerial, at: s.now.Add(delay), address: v.info.Address, wait: wait})
	v.acknowledgedUpTo = v.acknowledgeable()
	cmd := PollCommand{
		Server: v.info, Acknowledged: v.acknowledgedUpTo, Wait: wait,
		Timeout:   wait + min(v.replyTimeout()+replyTimeoutFactor*s.delay.median, maxReplyTimeout),
		EndsAfter: wait + maxReplyDelay, Delay: delay, Serial: v.pollSerial, Overdue: v.failures > 0,
	}
	if v.attached && s.renewsLease(v) {
		cmd.Deadline = s.deadline(v, delay, s.options.RunLease)
	}
	s.emit(cmd)
}

// renewsLease reports whether polls renew a server's lease. They don't while the server is unresponsive or all its runs are unanswered
// starts or being stopped, since each call that may have arrived would postpone the time after which its runs are known to have ended.
func (s *Scheduler) renewsLease(v *server) bool {
	return v.needsLease() && v.failures == 0 &&
		(v.registered || s.now.Sub(v.unregisteredAt) < reregistrationGrace || !v.info.Draining)
}

// pollWait returns how long a server may delay its reply: until shortly after the next run is expected to end. If the reply is
// lost, the poll then times out about when the end would have been reported, not a whole PollWait later.
// The same applies to a poll that extends a short lease: its failure has to show before that lease ends. A start without an answer is
// given up after the reply that comes after its deadline.
func (s *Scheduler) pollWait(v *server) time.Duration {
	next := s.options.PollWait
	if !s.storeAnswers() {
		next = min(next, silentStorePollInterval)
	}
	clock := v.clock + s.now.Sub(v.clockAt)
	if left := v.grantedUntil - clock; left > 0 && left <= startLease && v.needsLease() {
		next = minPollWait
	}
	for _, p := range v.runs {
		switch {
		case p.phase == phaseRunning && !p.task.group.step.LongRunning:
			next = min(next, s.remaining(p)+pollMargin)
		case p.phase == phaseStopping && p.confirmedAt.IsZero() && p.startDeadline > clock:
			next = min(next, p.startDeadline-clock+pollMargin)
		}
	}
	return min(max(next, minPollWait), s.options.PollWait)
}

// pollPauseNow returns the pause after a poll that reported ended runs. It is longer while the leader can't keep up, so that a poll
// reports more of them.
func (s *Scheduler) pollPauseNow() time.Duration {
	return min(pollPause+max(s.delay.median-usualDelay, 0), maxPollPause)
}

// pollNext polls a server again if it has runs or if ended runs can be acknowledged.
func (s *Scheduler) pollNext(v *server, delay time.Duration) {
	if v.polling || !v.attached || v.failures > 0 {
		return
	}
	if len(v.unrecordedEnds) > 0 {
		return // the poll would return at once with the same ended runs
	}
	switch {
	case v.acknowledgedUpTo < v.recordedUpTo && v.acknowledgeable() == 0:
		s.poll(v, 0, max(delay, pollPause)) // returns at once, as unacknowledged ends are still listed
	case len(v.runs) > 0 || len(v.unknownRuns) > 0:
		wait := s.pollWait(v)
		if s.probesReplyDelay(v) {
			wait = 0
		}
		s.poll(v, wait, delay)
	case v.recordedUpTo > v.acknowledgedUpTo:
		s.poll(v, 0, delay)
	}
}
