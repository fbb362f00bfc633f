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

// progressesAtUsualServer reports whether a run makes progress, and hasMoreWork shows that a copy would take as long.
func (s *Scheduler) progressesAtUsualServer(p *run) bool {
	_, known := s.pace(p)
	return known && s.hasMoreWork(p)
}

// hasMoreWork reports whether a run that takes long has more work than others of its image: since it began, other runs on its server
// have been at their usual rate. Such a run would take as long elsewhere, and says nothing about its server.
func (s *Scheduler) hasMoreWork(p *run) bool {
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
	return peers.ServerAtUsualRate()
}
