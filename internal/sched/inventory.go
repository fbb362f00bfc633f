package sched

import "time"

// PollFailed handles a poll without a usable reply in time. A reply that arrives later is handled by Polled.
func (s *Scheduler) PollFailed(now time.Time, id ServerID, serial uint64) {
	s.now = now
	v := s.servers[id]
	if v == nil || v.pollSerial != serial || !v.polling {
		return
	}
	v.polling = false
	v.polledAt = now
	v.failures++
	v.incarnationInDoubt = true
	s.passNeeded = true
	if v.failures == 1 && v.attached {
		s.poll(v, 0, 0) // a single lost reply is common, an unresponsive server is not
	}
}

// Polled handles the reply to a poll, unless that to a later poll was handled before.
func (s *Scheduler) Polled(now time.Time, id ServerID, serial uint64, inv Inventory) {
	s.now = now
	v := s.servers[id]
	if v == nil {
		return
	}
	answered, ok := v.takePoll(serial)
	if !ok {
		return
	}
	s.passNeeded = s.passNeeded || !v.answersPromptly() || !s.storeAnswers() // tasks may wait for the proof of an incarnation
	s.noteReply(v, answered, inv)
	if serial == v.pollSerial {
		v.polling = false
		v.incarnationInDoubt = false
	}
	v.polledAt = now
	v.failures = 0
	if !s.acceptIncarnation(v, inv.Incarnation, answered.at) {
		return
	}
	v.answeredAddress = answered.address
	if inv.Clock >= v.lowestClock(now) { // an older reading would shorten leases
		v.setClock(inv.Clock, answered.at, now)
	}
	if v.firstClockAt.IsZero() {
		v.firstClock, v.firstClockAt = inv.Clock, now
	}
	before := v.handledUpTo
	for _, f := range inv.Finished {
		if f.Number > v.handledUpTo {
			v.handledUpTo = f.Number
			s.handleEnd(v, f)
		}
	}
	v.listedEnds, v.endsHidden = len(inv.Finished), inv.MoreFinished
	if len(v.unknownOutcomeTasks) > 0 && !v.endsHidden {
		s.clearUnknownOutcomes(v)
	}
	s.reconcile(v, inv, answered.at)
	if !v.attached {
		s.attach(v, inv)
	}
	s.stopUnrecordedRuns(v)
	v.noteHiddenEnds()
	s.advanceRecorded(v)
	delay := time.Duration(0)
	if v.handledUpTo > before {
		delay = s.pollPauseNow()
	}
	if v.info.Draining {
		s.evacuate(v)
	}
	s.throttleBestEffort(v)
	s.pollNext(v, delay)
}

// acceptIncarnation handles the incarnation in the reply to a poll that was sent at the given time. It reports false if the reply
// is of a former one.
func (s *Scheduler) acceptIncarnation(v *server, incarnation int64, sentAt time.Time) bool {
	v.incarnationUnknown = v.incarnationUnknown && incarnation != v.info.Incarnation
	switch {
	case incarnation == 0:
		return true // the reply names none
	case incarnation > v.info.Incarnation:
		s.handleRestart(v, incarnation)
	case incarnation < v.info.Incarnation && v.disprovesIncarnation(sentAt):
		v.disprovedIncarnation, v.info.Incarnation = v.info.Incarnation, incarnation
		v.usualLease = false // it was of the other incarnation
		s.touchRoster(v)
	case incarnation < v.info.Incarnation:
		return false
	}
	v.incarnationClaimedAt, v.incarnationSeenAt = time.Time{}, latest(v.incarnationSeenAt, sentAt)
	return true
}

// attach handles the first inventory of a server's incarnation. From now on the server rejects commands of former leaders.
func (s *Scheduler) attach(v *server, inv Inventory) {
	v.attached, v.fenced = true, true
	s.noteReached(v)
	v.formerEndsHidden = !v.inventoryKnown
	if b := latest(s.formerLeaseBound(s.now), v.formerIncarnationBound); b.Before(v.leaseBound) {
		v.leaseBound = b
	}
	named := inv.Incarnation != 0 && inv.Incarnation == v.info.Incarnation
	if !named && v.usualLease {
		v.usualLease = false
		s.touchRoster(v)
	}
	bound := s.longLeaseBound(v)
	if !v.usualLease && inv.Clock < 2*s.options.MaxRunLease {
		// A command for an incarnation before this one, with a deadline on that one's clock, may have granted the longest lease, also if
		// it was carried out seconds late.
		v.leaseBound = latest(v.leaseBound, bound)
		if v.longLease {
			v.formerIncarnationBound = latest(v.formerIncarnationBound, bound)
		}
	}
	v.usualLeaseFrom = time.Time{}
	if named {
		v.usualLeaseFrom = bound
	}
	if v.longLeaseTasks.unnamed { // the runs that the inventory lists have been named
		v.longLeaseTasks.unnamed = false
		s.touchRoster(v)
	}
	s.passNeeded = true
}

// disprovesIncarnation reports whether a reply to a poll, sent at the given time, with an earlier incarnation shows that the
// registration was of another writer. A server registers after its start, when its former incarnation has ended and answers no
// later poll.
func (v *server) disprovesIncarnation(sentAt time.Time) bool {
	return !v.incarnationClaimedAt.IsZero() && sentAt.After(v.incarnationClaimedAt)
}

// noteHiddenEnds handles whether the latest inventory listed all ended runs. The inventory of an attached server is known once it did.
func (v *server) noteHiddenEnds() {
	if !v.endsHidden {
		v.inventoryKnown, v.formerEndsHidden = true, false
	}
}

// reconcile adopts runs that only the server lists, and drops runs that it should list and doesn't. While it has more ended runs than
// it lists, a run that it doesn't list may be one of them, also with the outcome done, and is kept. The poll was sent at the given time.
func (s *Scheduler) reconcile(v *server, inv Inventory, sentAt time.Time) {
	listed := make(map[runKey]bool, len(inv.Running))
	clear(v.unknownRuns)
	for _, r := range inv.Running {
		key := runKey{r.Task, r.Run}
		listed[key] = true
		p := v.runs[key]
		if p == nil {
			p = s.adopt(v, r)
		}
		if p != nil {
			s.updateRun(p, r)
		}
	}
	for _, p := range sortedRuns(v) {
		if listed[runKey{p.task.id(), p.number}] {
			continue
		}
		p.unlisted = inv.MoreFinished
		switch {
		case inv.MoreFinished:
		case p.phase == phaseStopping && !p.stopAnsweredAt.IsZero() && p.stopAnsweredAt.Before(sentAt),
			p.phase == phaseRunning && p.confirmedAt.Before(sentAt):
			s.release(p, CauseNotListed)
		case p.phase == phaseStopping && p.startExpired(inv):
			s.release(p, CauseStartExpired)
		}
	}
}

// startExpired reports whether a run that an inventory doesn't list can't start any more, so that its stop needs no answer: the
// server refuses a start after its deadline.
func (p *run) startExpired(inv Inventory) bool {
	return p.startDeadline > 0 && p.startIncarnation == inv.Incarnation && inv.Clock > p.startDeadline+clockMargin
}

// updateRun updates a run from its entry in an inventory.
func (s *Scheduler) updateRun(p *run, r ActiveRun) {
	p.confirmInDoubt, p.unlisted = false, false
	if p.phase == phaseStarting {
		s.confirm(p)
	}
	if r.Checkpoint != "" && !p.task.done {
		p.task.saveCheckpoint(r.Checkpoint)
	}
	if r.Percent >= 100 && p.progressPercent < 100 && p.task.group.step.LongRunning {
		s.noteOutcome(p, false) // it is at work
	}
	if r.Percent > p.progressPercent || p.progressAt.IsZero() {
		p.progressPercent, p.progressAt = r.Percent, s.now
		p.samples.Note(s.now.Sub(p.startedAt), r.Percent)
	}
	p.listedPercent = r.Percent
	p.tailLatency = r.TailLatency
	if whole, ok := s.predictedDuration(p); ok && !p.task.group.step.LongRunning && !p.slowStart() {
		s.observeSlowdown(p, max(whole, s.now.Sub(p.startedAt)))
	}
}
