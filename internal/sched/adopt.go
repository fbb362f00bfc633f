package sched

import "slices"

// adopt adds a listed run that wasn't known, and stops it if it must not run.
func (s *Scheduler) adopt(v *server, r ActiveRun) *run {
	t := s.lookup(r.Task)
	if t == nil {
		v.unknownRuns[runKey{r.Task, r.Run}] = true
		if s.jobs[r.Task.Job] == nil {
			s.unknownJobs[r.Task.Job] = true
		}
		s.emit(StopCommand{Server: v.info, Task: r.Task, Run: r.Run, Reason: "unknown job"})
		s.counts.Stops++
		return nil
	}
	p := &run{
		task: t, number: r.Run, server: v, phase: phaseRunning, startedAt: s.now, confirmedAt: s.now,
		speedPercent: 100, speedUnknown: t.group.step.BestEffort,
	}
	s.attachRun(p)
	t.group.job.begin()
	switch {
	case t.group.job.state.Terminal() || t.done:
		s.stop(p, "ended")
	case t.group.step.Gang:
		if r.Run < t.group.gangRun {
			s.stop(p, "older run of the gang")
			break
		}
		if r.Run > t.group.gangRun {
			s.abortGang(t.group, "older run of the gang")
		}
		t.group.gangRun = r.Run
	case !t.group.step.Speculative:
		s.keepNewest(t)
	}
	return p
}

// keepNewest stops all runs of a task except the one with the highest number.
func (s *Scheduler) keepNewest(t *task) {
	for _, p := range slices.Clone(t.runs) {
		if p.number < t.lastRun {
			s.stop(p, "newer run")
		}
	}
}
