package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/durations"
)

const (
	// durationWeight is the weight of the newest run in the moving average of an image's duration ratio.
	durationWeight = 0.2
	// maxRatioGrowth bounds the effect of a single run on the duration ratio of its image.
	maxRatioGrowth = 2.0
	// trustedRuns is the number of finished runs from which the learned duration of an image is trusted.
	trustedRuns = 5
	// maxImages bounds the number of images whose durations are remembered.
	maxImages = 4096
	// defaultEstimate is used for tasks without an estimate.
	defaultEstimate = time.Second
)

// imageDurations learns the ratio of actual to estimated run times for each image, on servers of the usual speed.
type imageDurations struct {
	ratio  map[string]float64
	seen   map[string]int               // finished runs of an image, up to trustedRuns
	spread map[string]*durations.Spread // of trusted images
}

func newDurations() imageDurations {
	return imageDurations{ratio: map[string]float64{}, seen: map[string]int{}, spread: map[string]*durations.Spread{}}
}

// observe updates the ratio of an image from a finished run, which would have taken the given time on a server of the usual speed. A run
// with more work than others of its image doesn't count, unless that has become usual.
func (d *imageDurations) observe(step *Step, took time.Duration, moreWork bool) {
	if step.Image == "" || step.Estimate <= 0 {
		return
	}
	if d.observeSpread(step, took, moreWork) {
		return
	}
	if n := d.seen[step.Image]; n < trustedRuns && (n > 0 || len(d.seen) < maxImages) {
		d.seen[step.Image]++
	}
	r := float64(took) / float64(step.Estimate)
	old, ok := d.ratio[step.Image]
	switch {
	case ok:
		// Bounded, as a slow server may be the cause.
		d.ratio[step.Image] = old + durationWeight*(min(r, maxRatioGrowth*old)-old)
	case len(d.ratio) < maxImages:
		d.ratio[step.Image] = r
	}
}

// observeSpread updates the spread of an image, and reports whether the run is part of its tail. A long run without more work shows
// a slow server and not the spread.
func (d *imageDurations) observeSpread(step *Step, took time.Duration, moreWork bool) (tail bool) {
	ratio := float64(took) / float64(d.expect(step))
	if !d.trusted(step) || ratio >= durations.LongRatio && !moreWork {
		return false
	}
	x := d.spread[step.Image]
	if x == nil {
		x = &durations.Spread{}
		d.spread[step.Image] = x
	}
	x.Add(ratio)
	return ratio >= durations.LongRatio && !x.TakesLonger()
}

// trusted reports whether enough runs of a step's image have finished to compare others with them. Estimates alone may be
// off by a factor.
func (d *imageDurations) trusted(step *Step) bool { return d.seen[step.Image] >= trustedRuns }

// expect returns the expected duration of a task on a healthy server of the usual speed.
func (d *imageDurations) expect(step *Step) time.Duration {
	e := step.Estimate
	if e <= 0 {
		e = defaultEstimate
	}
	if r, ok := d.ratio[step.Image]; ok {
		return scale(e, r)
	}
	return e
}

// expectOn returns the expected duration of a task on a server.
func (s *Scheduler) expectOn(v *server, step *Step) time.Duration {
	e := s.durations.expect(step)
	if f := v.speed.Factor(); f != 1 {
		return scale(e, 1/f)
	}
	return e
}

// remaining returns the expected time until a run ends, from its progress if that is known. A run without progress that has taken long
// is expected to be one of its image's tail.
func (s *Scheduler) remaining(p *run) time.Duration {
	elapsed := s.now.Sub(p.startedAt)
	if p.progressPercent > 0 && p.progressPercent < 100 {
		seen := p.progressAt.Sub(p.startedAt)
		left := scale(seen, float64(100-p.progressPercent)/float64(p.progressPercent))
		return max(left-s.now.Sub(p.progressAt), 0)
	}
	step := p.task.group.step
	expected := s.expectOn(p.server, step)
	if x := s.durations.spread[step.Image]; x != nil && elapsed/2 >= expected {
		if tail, known := x.Tail(); known {
			expected = scale(expected, tail)
		}
	}
	return max(expected-elapsed, 0)
}
