package sched

import "time"

const (
	// unpausedRestarts is the number of short runs in a row after which a task that is started again however its runs end starts without a
	// pause: one that fails now and then doesn't wait.
	unpausedRestarts = 4
	// restartPause is the pause after the next short run. It doubles with each further one, up to maxRestartPause. Callers count a task
	// that has no run for 3 s as lost.
	restartPause    = 100 * time.Millisecond
	maxRestartPause = 2 * time.Second
	// shortRun is the duration below which a run counts as short, unless the task was at work.
	shortRun = 5 * time.Second
	// oldRunLeap is the factor by which the number of a task grows further with each refusal as old in a row, so that a few refusals find
	// a number that the server accepts.
	oldRunLeap = 16
)

// nextRun returns the number of a task's next run.
func (s *Scheduler) nextRun(t *task) RunNumber { return max(t.lastRun, s.options.RunBase) + 1 }

// runNumbersLeft reports whether a task may be started with a number of this term's range. If it has used up the range, the term has to
// end: a higher number would be in the range of the next one.
func (s *Scheduler) runNumbersLeft(t *task) bool {
	if s.options.RunRange == 0 || s.nextRun(t) <= s.options.RunBase+s.options.RunRange {
		return true
	}
	s.runNumbersUsedUp = true
	return false
}

// RunNumbersUsedUp reports whether a task needs a run number above the range of this term.
func (s *Scheduler) RunNumbersUsedUp() bool { return s.runNumbersUsedUp }

// skipRefusedNumbers raises the number of a task whose start was refused as old: a run with a higher number has ended on that server.
// Refusals leave half of the range, so that a server that refuses everything doesn't end the term.
func (s *Scheduler) skipRefusedNumbers(t *task) {
	if half := s.options.RunBase + s.options.RunRange/2; t.lastRun < half {
		t.lastRun = min(t.lastRun+t.refusedLeap, half)
	}
	t.refusedLeap = max(t.refusedLeap, 1) * oldRunLeap
}

// isShort reports whether a run counts as short if it ends now.
func (s *Scheduler) isShort(p *run) bool {
	return p.progressPercent < 100 && s.now.Sub(p.startedAt) < shortRun
}

// pauseAfterShortRun delays the next start of a task that is started again however its runs end, once several short runs have followed each
// other. Without a pause it would be started some twenty times a second.
func (s *Scheduler) pauseAfterShortRun(t *task, p *run) {
	if p == nil {
		return // nothing is known of its duration
	}
	if !s.isShort(p) {
		t.shortRuns = 0
		return
	}
	t.shortRuns++
	if n := t.shortRuns - unpausedRestarts - 1; n >= 0 {
		t.noStartsBefore = latest(t.noStartsBefore, s.now.Add(min(restartPause<<min(n, 8), maxRestartPause)))
	}
}
