package durations

import (
	"math"
	"slices"
)

const (
	// minSpeedRuns is the number of runs on a server from which its speed is known.
	minSpeedRuns = 20
	// minSpeedDifference is the difference from which a speed is used, and keptSpeedDifference the one down to which it stays in use, so
	// that it doesn't alternate.
	minSpeedDifference  = 0.15
	keptSpeedDifference = 0.1
	// MinSpeed is the lowest speed that is used. A slower server is faulty, which the suspicion of slow servers handles.
	MinSpeed = 0.5
	// MaxSpeed is the highest speed that is used.
	MaxSpeed = 2.0
	// speedRuns is the number of latest runs that a speed is the median of. With tasks that are uneven by a third the median of 64 is
	// off by 5 %.
	speedRuns = 64
	// speedInterval is the number of runs after which the median is computed again.
	speedInterval = 4
	// medianError is the standard error of a median as a multiple of the interquartile range, for normal deviations: 1.25/1.35.
	medianError = 0.93
	// minSpeedErrors is the number of standard errors that a speed has to differ by. With 3, one or two of 48 equal servers seemed to differ
	// in each simulated minute.
	minSpeedErrors = 4
	// minSpread is the least interquartile range that is assumed: the range of 20 runs may be small by chance. Tasks that are uneven by a
	// third have 0.3.
	minSpread = 0.25
)

// Speed learns how fast a server is from its latest runs. The median isn't affected by a tail. The zero value is a server of unknown speed.
type Speed struct {
	logs   [speedRuns]float32 // logarithms of expected by actual duration
	runs   int
	factor float64 // 0 means 1
}

// Add adds an ended run by its expected duration as a multiple of the actual one. It reports whether the factor has changed noticeably:
// it is in use or not in use any more.
func (s *Speed) Add(ratio float64) bool {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return false
	}
	s.logs[s.runs%speedRuns] = float32(math.Log(ratio))
	s.runs++
	if s.runs < minSpeedRuns || s.runs%speedInterval != 0 {
		return false
	}
	former := s.factor
	s.factor = s.learned()
	return (former == 0) != (s.factor == 0)
}

// learned returns the speed of the latest runs, or 0 if it doesn't differ enough.
func (s *Speed) learned() float64 {
	var sorted [speedRuns]float32
	n := copy(sorted[:], s.logs[:min(s.runs, speedRuns)])
	slices.Sort(sorted[:n])
	median := float64(sorted[(n-1)/2]+sorted[n/2]) / 2
	spread := max(float64(sorted[3*n/4]-sorted[n/4]), minSpread)
	needed := math.Log1p(minSpeedDifference)
	if s.factor != 0 {
		needed = math.Log1p(keptSpeedDifference)
	}
	if size := math.Abs(median); size < needed || size < minSpeedErrors*medianError*spread/math.Sqrt(float64(n)) {
		return 0
	}
	return min(max(math.Exp(median), MinSpeed), MaxSpeed)
}

// Factor returns the speed as a multiple of the usual one. It is 1 unless it is known to differ.
func (s *Speed) Factor() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// Runs returns the number of runs that the speed was learned from.
func (s *Speed) Runs() int { return s.runs }
