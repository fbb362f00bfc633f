package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/durations"
)

// sinceTakeover returns a time on the clock of the paces.
func (s *Scheduler) sinceTakeover(at time.Time) time.Duration { return at.Sub(s.started) }

// showsRate reports whether the duration of a run shows the rate of its server.
func (s *Scheduler) showsRate(p *run) bool {
	step := p.task.group.step
	started := p.startDeadline > 0 // by this leader, so that its beginning is known
	return started && !step.LongRunning && p.speedPercent == 100 && p.task.checkpoint == "" && s.durations.trusted(step)
}

// pace returns the latest rate of a run in progress, if it is known.
func (s *Scheduler) pace(p *run) (durations.Pace, bool) {
	if p.phase != phaseRunning || p.unlisted || p.progressPercent >= 100 || !s.showsRate(p) {
		return durations.Pace{}, false
	}
	seen := latest(p.progressAt, p.server.polledAt).Sub(p.startedAt)
	return p.samples.Pace(s.sinceTakeover(p.startedAt), seen, p.progressPercent, s.durations.expect(p.task.group.step))
}

// notePace keeps the rate of an ended run for the judgement of others on its server.
func (s *Scheduler) notePace(p *run, took time.Duration) {
	if !s.showsRate(p) {
		return
	}
	began := s.sinceTakeover(p.startedAt)
	ratio := float64(took) / float64(s.durations.expect(p.task.group.step))
	p.server.recentPaces.Add(durations.Pace{From: began, To: began + took, Ratio: ratio})
}

// learnDuration updates the expected durations of a run's image and the speed of its server when the run has ended.
func (s *Scheduler) learnDuration(p *run, took time.Duration) {
	step := p.task.group.step
	expected := s.durations.expect(step)
	moreWork := float64(took) >= durations.LongRatio*float64(expected) && s.durations.trusted(step) && s.hasMoreWork(p)
	s.durations.observe(step, scale(took, p.server.speed.Factor()), moreWork)
	// The members of a gang end together, so that they show the speed of the slowest server.
	if took > 0 && !step.Gang && s.showsRate(p) {
		if p.server.speed.Add(float64(expected) / float64(took)) {
			v := p.server
			s.decideServer(v, ServerDecision{Event: ServerSpeedChanged, Speed: v.speed.Factor(), SpeedRuns: v.speed.Runs()})
		}
	}
}

// progressesAtUsualServer reports whether a run makes progress, and hasMoreWork shows that a copy would take as long.
func (s *Scheduler) progressesAtUsualServer(p *run) bool {
	_, known := s.pace(p)
	return known && s.hasMoreWork(p)
}

// hasMoreWork reports whether a run that takes long has more work than others of its image: since it began, other runs on its server
// have been at their usual rate. Such a run would take as long elsewhere, and says nothing about its server.
func (s *Scheduler) hasMoreWork(p *run) bool {
	peers := s.peersOf(p)
	if !peers.ServerAtUsualRate() {
		return false
	}
	s.noteLongRun(p, peers)
	return true
}

// peersOf returns what the other runs on a run's server show since it began.
func (s *Scheduler) peersOf(p *run) durations.Peers {
	began := s.sinceTakeover(p.startedAt)
	var peers durations.Peers
	p.server.recentPaces.CountSince(began, &peers)
	for _, o := range p.server.runs {
		if o == p {
			continue
		}
		if pace, ok := s.pace(o); ok {
			peers.Add(began, pace)
		}
	}
	return peers
}

// LongRun is a run that takes long because of its own work. The caller logs it, as it explains why the run isn't stopped or copied.
type LongRun struct {
	Server   ServerID
	Task     TaskID
	Run      RunNumber
	Percent  int
	Elapsed  time.Duration
	Expected time.Duration // of the image, on a server of the usual speed
	Usual    int           // other runs on the server that were at their usual rate since this one began
	Slow     int           // those that were slow
}

// noteLongRun keeps a run for the log when it first shows more work. At most maxDecisions are kept; Counts.LongRuns counts all.
func (s *Scheduler) noteLongRun(p *run, peers durations.Peers) {
	if p.longNoted {
		return
	}
	p.longNoted = true
	s.counts.LongRuns++
	if len(s.longRuns) < maxDecisions {
		s.longRuns = append(s.longRuns, LongRun{
			Server: p.server.info.ID, Task: p.task.id(), Run: p.number, Percent: p.progressPercent, Elapsed: s.now.Sub(p.startedAt),
			Expected: s.durations.expect(p.task.group.step), Usual: peers.Usual, Slow: peers.Slow,
		})
	}
}

// TakeLongRuns returns the runs that were found to take long because of their own work since the last call.
func (s *Scheduler) TakeLongRuns() []LongRun {
	runs := s.longRuns
	s.longRuns = nil
	return runs
}
