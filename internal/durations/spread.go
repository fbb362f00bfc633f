package durations

import "math"

const (
	// LongRatio is the multiple of its expected duration from which a run counts as long. Uneven tasks and rough estimates reach 2.
	LongRatio = 3.0
	// bucketsPerDoubling gives buckets that are a quarter wide, which is exact enough for a tail of several times the usual work.
	bucketsPerDoubling = 3
	// lowestRatio is where the buckets begin; they end at 64 times the expected duration.
	lowestRatio   = 0.25
	spreadBuckets = 24
	// maxSpreadRuns is the number of runs at which all counts are halved, so that a spread follows changes of an image. A tail of 1 % is
	// still 5 runs then.
	maxSpreadRuns = 1024
	// minTailRuns is the number of runs from which a tail is known, and minTailShare the share of long runs that makes one.
	minTailRuns  = 100
	minTailShare = 0.01
	// longShareWeight is the weight of the newest run in the recent share of long runs.
	longShareWeight = 0.05
	// maxLongShare is the recent share of long runs beyond which the image itself takes longer, for instance in a new version. Five long
	// runs in a row reach it; with a tail of 3 % that is rare.
	maxLongShare = 0.2
)

// Spread is the distribution of the work of an image's runs, as multiples of the expected work. It takes 64 bytes: a histogram of
// HdrHistogram with one digit takes about 1 KB, which is 4 MB for the images that a leader remembers, and forgets nothing.
type Spread struct {
	counts    [spreadBuckets]uint16
	total     uint16
	longShare float32
	tail      float32 // median of the long runs, 0 without a known tail
}

// Add adds an ended run.
func (s *Spread) Add(ratio float64) {
	if !(ratio > 0) {
		return // also NaN
	}
	if s.total >= maxSpreadRuns {
		s.total = 0
		for i := range s.counts {
			s.counts[i] /= 2
			s.total += s.counts[i]
		}
	}
	s.counts[bucketOf(ratio)]++
	s.total++
	long := float32(0)
	if ratio >= LongRatio {
		long = 1
	}
	s.longShare += longShareWeight * (long - s.longShare)
	s.tail = s.medianOfLong()
}

func bucketOf(ratio float64) int {
	return int(min(max(math.Log2(ratio/lowestRatio)*bucketsPerDoubling, 0), spreadBuckets-1))
}

// middleOf returns the middle of a bucket.
func middleOf(bucket int) float64 {
	return lowestRatio * math.Exp2((float64(bucket)+0.5)/bucketsPerDoubling)
}

func (s *Spread) medianOfLong() float32 {
	if s.total < minTailRuns {
		return 0
	}
	first := bucketOf(LongRatio)
	long := 0
	for _, n := range s.counts[first:] {
		long += int(n)
	}
	if float64(long) < minTailShare*float64(s.total) {
		return 0
	}
	seen := 0
	for i := first; i < spreadBuckets; i++ {
		if seen += int(s.counts[i]); 2*seen >= long {
			return float32(middleOf(i))
		}
	}
	return 0
}

// Tail returns how long a run is expected to take that has turned out to be long, as a multiple of the expected duration. It reports
// false unless enough runs have shown such a tail.
func (s *Spread) Tail() (float64, bool) { return float64(s.tail), s.tail > 0 }

// TakesLonger reports whether so many of the latest runs were long that the image itself takes longer now.
func (s *Spread) TakesLonger() bool { return s.longShare > maxLongShare }
