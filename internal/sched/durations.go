package sched

import "time"

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

// imageDurations learns the ratio of actual to estimated run times for each image.
type imageDurations struct {
	ratio map[string]float64
	seen  map[string]int // finished runs of an image, up to trustedRuns
}

func newDurations() imageDurations {
	return imageDurations{ratio: map[string]float64{}, seen: map[string]int{}}
}

// observe updates the ratio of an image from the duration of a finished run.
func (d *imageDurations) observe(step *Step, took time.Duration) {
	if step.Image == "" || step.Estimate <= 0 {
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

// trusted reports whether enough runs of a step's image have finished to compare others with them. Estimates alone may be
// off by a factor.
func (d *imageDurations) trusted(step *Step) bool { return d.seen[step.Image] >= trustedRuns }

// expect returns the expected duration of a task on a healthy server.
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

// remaining returns the expected time until a run ends, from its progress if that is known.
func (s *Scheduler) remaining(p *run) time.Duration {
	elapsed := s.now.Sub(p.startedAt)
	if p.progressPercent > 0 && p.progressPercent < 100 {
		seen := p.progressAt.Sub(p.startedAt)
		left := scale(seen, float64(100-p.progressPercent)/float64(p.progressPercent))
		return max(left-s.now.Sub(p.progressAt), 0)
	}
	return max(s.durations.expect(p.task.group.step)-elapsed, 0)
}
