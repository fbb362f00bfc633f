package sched

import "time"

const (
	// startLease is the lease that the start of a long-running task grants. It is shorter than RunLease, as the task is held back for it
	// if the start has no answer. Polls extend it once the start is confirmed; it outlasts the failure of one of them.
	startLease = 2 * time.Second
	// minStartLease is the least time that a repeated start leaves until its deadline.
	minStartLease = time.Second
)

// setStartDeadline sets the deadline of a start. A repeated start of a long-running task keeps it while it leaves enough time.
func (s *Scheduler) setStartDeadline(p *run) {
	v, lease := p.server, s.options.RunLease
	if p.task.group.step.LongRunning {
		common := replyTimeoutFactor * s.delay.median // by which an answer may be late
		if p.startIncarnation == v.info.Incarnation && s.now.Add(minStartLease+common).Before(p.startLeaseEnds) {
			return
		}
		lease = min(startLease+common, lease)
	}
	p.startDeadline, p.startIncarnation, p.startLeaseEnds = s.deadline(v, 0, lease), v.info.Incarnation, s.now.Add(lease)
}

// needsRenewal reports whether a confirmed run has only the short lease of its start although a poll is in flight. That poll was sent
// before the confirmation, and if it is lost, it may fail after the end of that lease.
func (p *run) needsRenewal() bool {
	v := p.server
	return p.phase == phaseRunning && p.task.group.step.LongRunning && v.polling && v.attached && v.failures == 0 &&
		v.grantedUntil <= p.startDeadline
}

// needsLease reports whether the server has a run that it has confirmed or listed and that is to go on.
func (v *server) needsLease() bool {
	for _, p := range v.runs {
		if p.phase != phaseStopping && !p.confirmedAt.IsZero() {
			return true
		}
	}
	return false
}
