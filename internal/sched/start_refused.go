package sched

import "time"

// refusedStartPause is the pause of a task after its first refused start, and maxRefusedStartPause the longest one.
const (
	refusedStartPause    = 50 * time.Millisecond
	maxRefusedStartPause = 2 * time.Second
)

// StartRefused handles a server's refusal of a start that was sent at the given time. A clock of 0 means that the reply had no
// clock reading.
func (s *Scheduler) StartRefused(now, sent time.Time, id ServerID, task TaskID, number RunNumber, reason Refusal, clock time.Duration) {
	s.now = now
	s.noteCommandReply(now, sent)
	s.noteCommandAnswer(id, sent)
	s.counts.Refusals++
	if reason == RefusedFenced {
		s.deposed = true
		return
	}
	p := s.findRun(id, task, number)
	if p == nil || p.phase != phaseStarting {
		return
	}
	v, g := p.server, p.task.group
	s.readClock(v, sent, clock, p)
	switch reason {
	case RefusedTicket:
		g.advice.refuse(v, now)
	case RefusedUnhealthy:
		v.refusals++
		v.startFailedAt = now
		v.refusedUntil = now.Add(min(unhealthyPause<<min(v.refusals-1, 4), maxUnhealthyPause))
	case RefusedCapacity:
		v.startFailedAt = now
		v.refusedUntil = now.Add(unhealthyPause)
	case RefusedInvalid:
		g.noStartsBefore = now.Add(time.Second)
	case RefusedLeaseExpired, RefusedOldRun, RefusedFenced:
	}
	if reason == RefusedLeaseExpired && p.startAttempts < maxStartAttempts && v.usable(now) && s.incarnationProven(v) {
		p.startLeaseEnds = now
		s.sendStart(p)
		return
	}
	if reason == RefusedLeaseExpired || reason == RefusedOldRun {
		v.startFailedAt = now
		p.task.pauseAfterRefusal(now)
	}
	if reason == RefusedOldRun {
		s.skipRefusedNumbers(p.task)
	}
	s.abandonStart(p, "refused: "+string(reason))
}

// pauseAfterRefusal delays the next start of a task whose start was refused for a reason that may hold on each server. The pause doubles
// with each refusal: starts without a pause would use up the run numbers of the term.
func (t *task) pauseAfterRefusal(now time.Time) {
	t.noStartsBefore = now.Add(min(refusedStartPause<<min(t.refusals, 8), maxRefusedStartPause))
	t.refusals++
}
