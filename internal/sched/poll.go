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
	// maxReplyDelay is the time after which no reply is used, beyond the wait of its poll. It is as long as a lease: what a server
	// reports during the lease counts as reported, though the reply may be late.
	maxReplyDelay = 4 * time.Second
	// maxUnansweredPolls bounds the polls of a server whose reply is still accepted.
	maxUnansweredPolls = 8
)

// sentPoll is a poll that may still be answered.
type sentPoll struct {
	serial uint64
	at     time.Time
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

// mayReportLate reports whether a server whose replies are late may still answer a poll that reached it during its lease, with
// the ends of runs. Servers that answered promptly before they fell silent aren't waited for.
func (v *server) mayReportLate(now time.Time) bool {
	if v.answersPromptly() {
		return false
	}
	return slices.ContainsFunc(v.unansweredPolls, func(p sentPoll) bool {
		return p.at.Before(v.leaseBound) && now.Before(p.at.Add(maxReplyDelay))
	})
}

// noteReplyDelay updates the recent delay of replies. It follows a longer delay at once and a shorter one gradually.
func (v *server) noteReplyDelay(delay time.Duration) {
	v.lastReplyDelay = delay
	v.replyDelay = max(delay, v.replyDelay/2)
}

// answersPromptly reports whether starts on the server would be confirmed in time.
func (v *server) answersPromptly() bool { return v.lastReplyDelay <= maxStartReplyDelay }

// responds reports whether the latest reply of a server is recent. If it isn't, the server is polled. Only servers with runs are
// polled regularly, so that the loss of an idle one doesn't show until its registration lapses.
func (s *Scheduler) responds(v *server) bool {
	if s.now.Sub(v.polledAt) <= s.options.PollWait+minReplyTimeout {
		return true
	}
	if !v.polling {
		s.poll(v, 0, 0)
	}
	return false
}

// allRespond reports whether responds holds for each of some servers.
func (s *Scheduler) allRespond(servers []*server) bool {
	all := true
	for _, v := range servers {
		all = s.responds(v) && all
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
	s.lastPollSerial++
	v.pollSerial = s.lastPollSerial
	v.notePoll(sentPoll{serial: v.pollSerial, at: s.now.Add(delay)})
	v.acknowledgedUpTo = v.acknowledgeable()
	cmd := PollCommand{
		Server: v.info, Acknowledged: v.acknowledgedUpTo, Wait: wait, Timeout: wait + min(v.replyTimeout()+replyTimeoutFactor*s.delay.median, maxReplyTimeout), EndsAfter: wait + maxReplyDelay,
		Delay: delay, Serial: v.pollSerial,
	}
	if v.attached && s.renewsLease(v) {
		cmd.Deadline = s.deadline(v, delay)
	}
	s.emit(cmd)
}

// renewsLease reports whether polls renew a server's lease. They don't while the server is unresponsive, since each call that
// may have arrived would postpone the time after which its runs are known to have ended.
func (s *Scheduler) renewsLease(v *server) bool {
	return len(v.runs) > 0 && v.failures == 0 &&
		(v.registered || s.now.Sub(v.unregisteredAt) < reregistrationGrace || !v.info.Draining)
}

// pollWait returns how long a server may delay its reply: until shortly after the next run is expected to end. If the reply is
// lost, the poll then times out about when the end would have been reported, not a whole PollWait later.
func (s *Scheduler) pollWait(v *server) time.Duration {
	next := s.options.PollWait
	for _, p := range v.runs {
		if p.phase == phaseRunning && !p.task.group.step.LongRunning {
			next = min(next, s.remaining(p)+pollMargin)
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
		s.poll(v, s.pollWait(v), delay)
	case v.recordedUpTo > v.acknowledgedUpTo:
		s.poll(v, 0, delay)
	}
}
