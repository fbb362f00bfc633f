package sched

import (
	"math"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against an expected duration that depends on the processor, or is negative, because no duration can hold its product with the
// ratio of the step's image. Callers set estimates: one far below the usual runs makes the ratio large. A speculative task then got
// its second run at once.
func TestExpectedDurationTooLarge(t *testing.T) {
	for name, c := range map[string]struct {
		estimate time.Duration
		ratio    float64
		want     time.Duration
	}{
		"usual":              {estimate: time.Second, ratio: 1.5, want: 1500 * time.Millisecond},
		"too large":          {estimate: time.Hour, ratio: float64(time.Hour), want: convert.MaxDuration},
		"longest estimate":   {estimate: math.MaxInt64, ratio: 1, want: convert.MaxDuration},
		"infinite":           {estimate: time.Second, ratio: math.Inf(1), want: convert.MaxDuration},
		"NaN":                {estimate: time.Second, ratio: math.NaN()},
		"negative":           {estimate: time.Second, ratio: -1, want: -time.Second},
		"negative, too long": {estimate: time.Second, ratio: -1e300, want: -convert.MaxDuration},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.s.delay.median = time.Second
			f.s.durations.ratio["i"] = c.ratio
			step := &Step{Image: "i", Estimate: c.estimate}
			f.want("expected duration", f.s.durations.expect(step), c.want)
			if c.want > 0 {
				f.want("second run later", f.s.speculationDelay(step) > c.want, true)
			}
		})
	}
}

// Guards against a job that counts as past its deadline because no duration can hold its objective.
func TestObjectiveTooLarge(t *testing.T) {
	for name, c := range map[string]struct {
		stretch float64
		want    rankClass
	}{
		"usual":               {stretch: 2, want: onTime},
		"too large":           {stretch: 1e300, want: onTime},
		"negative, too large": {stretch: -1e300, want: pastDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			q := testQueue()
			q.Stretch = c.stretch
			f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": q}})
			f.addJob("a", Step{Count: 1, Demand: cores(1), Estimate: time.Second})
			f.want("class", f.s.rankOf(f.s.jobs["a"].occurrences[0].groups[0], &q).class, c.want)
		})
	}
}
