// Package durations judges how long runs take: whether a long run has more work than others of its image or is on a slow server.
// All inputs and verdicts are values; the package reads no clock.
package durations

import "time"

const (
	// usualPace is the multiple of its expected duration below which a run is at its usual rate. A run that was at its usual rate for less
	// than half of the time, and three times slower for the rest, is above it.
	usualPace = 1.5
	// slowPace is the multiple of its expected duration from which a run speaks against its server. Uneven tasks stay below it.
	slowPace = 2.0
	// MinPoints is the progress in percent that a pace is derived from. With less, rounding to whole percent changes the pace by over a
	// fifth.
	MinPoints = 5
	// recentPaces is the number of ended runs that are kept for a server. A server ends a few runs a second, and a pace is of use while
	// runs that began before it are in progress.
	recentPaces = 16
)

// Pace is the rate of a run over a period. The times are on any clock that all paces of a server share.
type Pace struct {
	From, To time.Duration
	Ratio    float64 // the duration of the whole run at this rate, as a multiple of the expected one
}

// Peers counts what other runs on a server show of its rate while a run is in progress there.
type Peers struct {
	Usual, Slow int
	rates       float64 // sum of the rates of all counted runs, 1 is the usual one
	counted     int
}

// Add counts a pace if most of its period lies after the beginning of the run. What a server did before says nothing about a run there.
func (p *Peers) Add(began time.Duration, other Pace) {
	if other.To <= other.From || 2*(other.To-max(other.From, began)) <= other.To-other.From {
		return
	}
	if other.Ratio > 0 {
		p.rates += 1 / other.Ratio
		p.counted++
	}
	switch {
	case other.Ratio < usualPace:
		p.Usual++
	case other.Ratio >= slowPace:
		p.Slow++
	}
}

// ServerAtUsualRate reports whether the other runs show that the server isn't slow. Without other runs nothing does.
func (p Peers) ServerAtUsualRate() bool { return p.Usual > p.Slow }

// Work returns the work of a run that takes a multiple of its expected duration, as a multiple of the expected work: what the mean rate of
// the other runs leaves unexplained. It is 1 unless it is known to be at least twice the expected work, as tasks are uneven.
func (p Peers) Work(ratio float64) float64 {
	if p.counted == 0 {
		return 1
	}
	if work := ratio * min(p.rates/float64(p.counted), 1); work >= slowPace {
		return work
	}
	return 1
}

// Recent holds the paces of the latest runs that ended on a server.
type Recent struct {
	paces [recentPaces]Pace
	next  int
}

// Add adds the pace of an ended run, in place of the oldest one.
func (r *Recent) Add(p Pace) {
	r.paces[r.next] = p
	r.next = (r.next + 1) % recentPaces
}

// CountSince adds the paces to what the peers of a run show that began at the given time.
func (r *Recent) CountSince(began time.Duration, peers *Peers) {
	for _, p := range r.paces {
		peers.Add(began, p)
	}
}

// Samples are readings of a run's progress that show its latest rate. The zero value is a run that has begun and made no progress.
type Samples struct {
	base, middle sample // readings that are at least MinPoints before the latest one and before one another
}

type sample struct {
	at      time.Duration // since the beginning of the run
	percent int
}

// Note notes that the progress has risen.
func (s *Samples) Note(sinceStart time.Duration, percent int) {
	if percent-s.middle.percent >= MinPoints {
		s.base, s.middle = s.middle, sample{sinceStart, percent}
	}
}

// Pace returns the latest rate of a run that began at a time, has reached a progress and was last seen after its beginning for the given
// time. It reports false with too little progress.
func (s *Samples) Pace(began, seen time.Duration, percent int, expected time.Duration) (Pace, bool) {
	points, span := percent-s.base.percent, seen-s.base.at
	if points < MinPoints || span <= 0 || expected <= 0 {
		return Pace{}, false
	}
	return Pace{
		From: began + s.base.at, To: began + seen, Ratio: float64(span) / float64(expected) * 100 / float64(points),
	}, true
}
