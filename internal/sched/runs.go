package sched

import (
	"cmp"
	"slices"
	"time"
)

// maxStartAttempts bounds how often a start is sent before the run is abandoned.
const maxStartAttempts = 3

// sortedRuns returns the runs of a server in a fixed order.
func sortedRuns(v *server) []*run {
	all := make([]*run, 0, len(v.runs))
	for _, p := range v.runs {
		all = append(all, p)
	}
	slices.SortFunc(all, compareRuns)
	return all
}

func compareRuns(a, b *run) int { return compareTasks(a.task.id(), b.task.id(), a.number, b.number) }

func compareTasks(a, b TaskID, ra, rb RunNumber) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index), cmp.Compare(ra, rb))
}

// attachRun adds a run to its task, its server and the usage of its team.
func (s *Scheduler) attachRun(p *run) {
	t, v := p.task, p.server
	v.runs[runKey{t.id(), p.number}] = p
	s.countUnanswered(p, 1)
	v.finiteRuns += boolToInt(!t.group.step.LongRunning)
	s.nameUnderLongLease(v, t)
	v.used = v.used.Add(t.charge())
	tm := s.team(t.group.job.spec.Team)
	s.countUse(tm)
	tm.used = tm.used.Add(t.group.step.Demand)
	if t.waiting() {
		t.group.waiting--
	}
	t.group.running++
	if !t.group.used {
		t.group.used, t.group.job.unbalanced = true, true
	}
	p.copied = t.isCopy()
	t.runs = append(t.runs, p)
	t.lastRun = max(t.lastRun, p.number)
	s.track(t.group)
}

// countUnanswered adds n to the numbers of unanswered starts if a run's start is unanswered.
func (s *Scheduler) countUnanswered(p *run, n int) {
	if p.phase == phaseStarting {
		p.server.unansweredStarts += n
		s.unansweredStarts += n
	}
}

// detachRun removes a run that is known to have ended and frees its capacity.
func (s *Scheduler) detachRun(p *run) {
	t, v := p.task, p.server
	key := runKey{t.id(), p.number}
	if v.runs[key] != p {
		return
	}
	delete(v.runs, key)
	s.countUnanswered(p, -1)
	v.finiteRuns -= boolToInt(!t.group.step.LongRunning)
	v.used = v.used.Sub(t.charge())
	tm := s.team(t.group.job.spec.Team)
	s.countUse(tm)
	tm.used = tm.used.Sub(t.group.step.Demand)
	t.runs = slices.DeleteFunc(t.runs, func(o *run) bool { return o == p })
	t.group.running--
	if !p.confirmedAt.IsZero() && p.startedAt.After(t.movedAt) {
		// The task has started since it was moved. If such runs kept failing, the move would never end and would keep other tasks from moving.
		t.movedAt = time.Time{}
	}
	if t.waiting() {
		t.group.waiting++
		t.waitingSince = s.now
	}
	t.dropIfDone()
	s.passNeeded = true
	if p.preempted {
		s.notePreemptedEnd(p)
	}
}

// runLost handles a run that is known to have ended without a reported outcome.
func (s *Scheduler) runLost(p *run) {
	s.detachRun(p)
	s.countEnd(p, false)
	p.task.lostAt = s.now
	if p.task.group.step.Gang && !p.task.done && p.number == p.task.group.gangRun {
		s.abortGang(p.task.group, "member lost")
	}
}

// abortGang stops the members of the current run of a gang step.
func (s *Scheduler) abortGang(g *group, reason string) {
	for t := range g.tasks.used() {
		for _, p := range slices.Clone(t.runs) {
			if p.number == g.gangRun {
				s.stop(p, reason)
			}
		}
	}
}

// start creates a run and sends its start.
func (s *Scheduler) start(t *task, v *server, number RunNumber, ticket Ticket) {
	p := &run{task: t, number: number, server: v, ticket: ticket, phase: phaseStarting, startedAt: s.now, speedPercent: 100}
	t.group.lastStart = s.now
	s.starvation.earnStart()
	s.attachRun(p)
	s.noteSurplusStart(p)
	if v.hold != nil && v.hold.group == t.group {
		s.useHeldPlace(v)
	}
	s.sendStart(p)
}

func (s *Scheduler) sendStart(p *run) {
	p.startAttempts++
	p.sentAt = s.now
	s.counts.Starts++
	s.setStartDeadline(p)
	g := p.task.group
	s.emit(StartCommand{
		Server: p.server.info, Task: p.task.id(), Run: p.number, Payload: g.job.spec.Payload, Checkpoint: p.task.checkpoint,
		Ticket: p.ticket, Deadline: p.startDeadline, Attempt: p.startAttempts, JobAge: s.now.Sub(g.job.dueAt(g.occurrence)), CommonDelay: s.delay.median,
	})
}

// confirm marks a run as in progress on its server.
func (s *Scheduler) confirm(p *run) {
	s.countUnanswered(p, -1)
	p.phase = phaseRunning
	p.confirmedAt = s.now
	p.progressAt = s.now
	p.server.refusals, p.server.startFailedAt = 0, time.Time{}
	p.task.refusals, p.task.refusedLeap, p.task.unansweredAt = 0, 0, time.Time{}
	p.task.group.job.begin()
}

// Started handles a server's confirmation of a start that was sent at the given time.
func (s *Scheduler) Started(now, sent time.Time, id ServerID, task TaskID, number RunNumber, clock time.Duration) {
	s.now = now
	s.noteCommandReply(now, sent)
	s.noteCommandAnswer(id, sent)
	p := s.findRun(id, task, number)
	if p == nil {
		return
	}
	s.readClock(p.server, sent, clock, p)
	if p.phase == phaseStarting {
		s.passNeeded = s.passNeeded || s.startWindowFull()
		s.confirm(p)
		p.confirmInDoubt = p.server.mayBeLaterIncarnation(clock, now)
	}
	if p.needsRenewal() {
		s.poll(p.server, 0, pollPause)
		return
	}
	s.pollNext(p.server, pollPause)
}

func (s *Scheduler) findRun(id ServerID, task TaskID, number RunNumber) *run {
	v := s.servers[id]
	if v == nil {
		return nil
	}
	return v.runs[runKey{task, number}]
}

// abandonStart releases a run whose start wasn't confirmed. If the start may still take effect, it is stopped first.
func (s *Scheduler) abandonStart(p *run, reason string) {
	if p.startUncertain {
		s.stop(p, reason)
	} else {
		s.detachRun(p)
	}
	g := p.task.group
	if g.step.Gang && p.number == g.gangRun {
		s.abortGang(g, "member not started")
	}
}

// StartUnanswered handles a start without an answer. Sent reports whether the command may have reached the server.
func (s *Scheduler) StartUnanswered(now time.Time, id ServerID, task TaskID, number RunNumber, sent bool) {
	s.now = now
	p := s.findRun(id, task, number)
	if p == nil || p.phase != phaseStarting {
		return
	}
	s.noteCommandReply(now, p.sentAt)
	v := p.server
	if v.evacuated && !sent {
		s.abandonStart(p, "data centre evacuated") // withheld by the caller, which shows nothing about the server
		return
	}
	p.startUncertain = p.startUncertain || sent
	v.incarnationInDoubt = v.incarnationInDoubt || sent
	if p.startAttempts < maxStartAttempts && v.attached && sent && v.admitsRepeatedStarts() && s.incarnationProven(v) {
		s.sendStart(p)
		return
	}
	v.failures++
	v.startFailedAt, p.task.unansweredAt = now, now
	if !v.polling {
		s.poll(v, 0, 0)
	}
	s.abandonStart(p, "no answer")
}

// stop sends a stop for a run. The run holds its capacity until its end is known for certain.
func (s *Scheduler) stop(p *run, reason string) {
	if p.phase == phaseStopping {
		return
	}
	p.startUncertain = p.startUncertain || p.phase == phaseStarting
	s.countUnanswered(p, -1)
	p.phase = phaseStopping
	p.stoppingSince = s.now
	s.sendStop(p, reason)
}

func (s *Scheduler) sendStop(p *run, reason string) {
	p.sentAt = s.now
	s.counts.Stops++
	s.emit(StopCommand{Server: p.server.info, Task: p.task.id(), Run: p.number, Reason: reason, CommonDelay: s.delay.median})
}

// Stopped handles a server's reply to a stop that was sent at the given time.
func (s *Scheduler) Stopped(now, sent time.Time, id ServerID, task TaskID, number RunNumber, clock time.Duration) {
	s.now = now
	s.noteCommandAnswer(id, sent)
	p := s.findRun(id, task, number)
	if p == nil {
		return
	}
	s.noteCommandReply(now, sent)
	s.readClock(p.server, sent, clock, p)
	if p.phase == phaseStopping && p.stopAnsweredAt.IsZero() {
		p.stopAnsweredAt = now
	}
	// The run may never have started; only a poll sent after this reply shows that it is gone.
	if !p.server.polling && p.server.attached {
		s.poll(p.server, 0, s.options.MaxStopTime+pollPause)
	}
}

// StopRefused handles a stop or a poll that a server rejected because it has seen a later leader.
func (s *Scheduler) StopRefused(now time.Time) {
	s.now = now
	s.deposed = true
}

// handleEnd handles an ended run in a server's inventory.
func (s *Scheduler) handleEnd(v *server, f FinishedRun) {
	s.counts.Ends++
	if !v.endsToRecord {
		v.endsToRecord = true
		s.endsToRecord = append(s.endsToRecord, v)
	}
	if s.jobs[f.Task.Job] == nil {
		s.unknownJobs[f.Task.Job] = true
		v.unrecordedEnds = append(v.unrecordedEnds, unrecordedEnd{number: f.Number, run: runKey{f.Task, f.Run}, job: f.Task.Job, held: &f})
		return
	}
	v.unrecordedEnds = append(v.unrecordedEnds, s.applyEnd(v, f))
}

// applyEnd applies an ended run of a known job and returns what has to be recorded before the end is acknowledged.
func (s *Scheduler) applyEnd(v *server, f FinishedRun) unrecordedEnd {
	p := v.runs[runKey{f.Task, f.Run}]
	t := s.lookup(f.Task)
	if p != nil {
		t = p.task
	}
	if t == nil {
		return unrecordedEnd{number: f.Number}
	}
	g := t.group
	if p != nil {
		useful := hasResult(t, f)
		s.detachRun(p)
		s.countEnd(p, useful)
		s.learnFromRun(p, f.Outcome)
	} else {
		s.decide(v, Decision{Task: f.Task, Run: f.Run, Outcome: f.Outcome, Number: f.Number})
	}
	if f.Checkpoint != "" && !t.done && f.Run >= t.lastRun {
		t.saveCheckpoint(f.Checkpoint)
		s.markDirty(g.job)
	}
	t.lastRun = max(t.lastRun, f.Run)
	g.used = true
	if !g.job.state.Terminal() {
		s.applyOutcome(t, p, f)
	}
	if g.step.LongRunning || !g.complete() {
		s.track(g)
	}
	return unrecordedEnd{number: f.Number, run: runKey{f.Task, f.Run}, job: g.job.spec.ID, changes: g.job.changes}
}

// applyOutcome updates a task of an unfinished job for the outcome of one of its runs.
func (s *Scheduler) applyOutcome(t *task, p *run, f FinishedRun) {
	g := t.group
	if (f.Outcome == OutcomeDone || f.Outcome == OutcomeFailed) && (g.step.LongRunning || g.job.queue.MaxAttempts <= 0) {
		s.pauseAfterShortRun(t, p)
	}
	switch f.Outcome {
	case OutcomeDone:
		if !g.step.LongRunning && !t.done {
			s.completeTask(t)
			return
		}
	case OutcomeFailed:
		s.counts.Failures++
		s.countFailure(t, p, f)
	case OutcomeGangIncomplete, OutcomeGangBroken, OutcomeLeaseExpired, OutcomeStopped:
	}
	if g.step.Gang && !t.done && f.Run == g.gangRun {
		s.abortGang(g, "member ended")
	}
}

// countFailure counts a failed run and fails the job once the task or gang has used up its attempts.
func (s *Scheduler) countFailure(t *task, p *run, f FinishedRun) {
	g := t.group
	if p != nil {
		t.avoidServer = p.server.info.ID
	}
	if g.step.LongRunning {
		return
	}
	failed := &t.failedRuns
	if g.step.Gang {
		failed = &g.failedRuns
	}
	if slices.Contains(*failed, f.Run) {
		return
	}
	*failed = append(*failed, f.Run)
	s.markDirty(g.job)
	if maxAttempts := g.job.queue.MaxAttempts; maxAttempts > 0 && len(*failed) >= maxAttempts {
		s.finish(g.job, StateFailed)
	}
}

// completeTask marks a task, or all tasks of a gang step, as done and makes the steps ready that waited for it.
func (s *Scheduler) completeTask(t *task) {
	g := t.group
	if g.step.Gang {
		for o := range g.tasks.all() {
			o.markDone()
		}
		g.done = g.tasks.len()
	} else {
		t.markDone()
		g.done++
		for _, p := range slices.Clone(t.runs) {
			s.stop(p, "another copy is done")
		}
	}
	j := g.job
	s.markDirty(j)
	if !g.complete() {
		return
	}
	j.unbalanced = true
	o := j.occurrences[g.occurrence]
	if !o.allComplete() {
		s.readyGroups(j, o)
		return
	}
	j.occurrenceDone(o)
	if j.doneBefore >= max(j.spec.Repetitions, 1) {
		s.finish(j, StateCompleted)
	}
}
