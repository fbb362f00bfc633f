package queue

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Constants of the learned start rate.
const (
	// rateAveragedStarts is the number of starts over which the rate is averaged.
	rateAveragedStarts = 64
	// maxBusyGap bounds the time that one start adds: an outage must not lower the rate for the next hour.
	maxBusyGap = 10 * time.Second
	// minTeamStarts is the number of starts below which a team's own rate isn't used.
	minTeamStarts = 8
)

// startRate estimates starts per second while work waits. Time without waiting work isn't counted: a low demand says
// nothing about the startRate that is possible, and a burst after it would be refused.
type startRate struct {
	starts       float64 // decayed number of starts
	busySeconds  float64 // decayed seconds in which work waited
	countedUntil time.Time
	waiting      bool
	startsSeen   int // starts seen, up to minStarts
}

func (r *startRate) beginBusy(now time.Time) {
	r.countedUntil = now
	r.waiting = true
}

func (r *startRate) endBusy(now time.Time) {
	if r.waiting {
		r.busySeconds += boundedSeconds(r.countedUntil, now)
	}
	r.waiting = false
}

func boundedSeconds(from, to time.Time) float64 {
	return min(max(to.Sub(from), 0), maxBusyGap).Seconds()
}

// recordStart records a start, before the item leaves the queue.
func (r *startRate) recordStart(now time.Time) {
	const keep = 1 - 1.0/rateAveragedStarts
	r.starts = r.starts*keep + 1
	r.busySeconds = r.busySeconds*keep + boundedSeconds(r.countedUntil, now)
	r.countedUntil = now
	r.startsSeen = min(r.startsSeen+1, minTeamStarts)
}

// secondsFor returns the seconds until n starts have happened; 0 when nothing is known.
func (r *startRate) secondsFor(n int, now time.Time) float64 {
	if r.starts == 0 {
		return 0
	}
	busy := r.busySeconds
	if r.waiting {
		busy += boundedSeconds(r.countedUntil, now)
	}
	return float64(n) * busy / r.starts
}

// ExpectedWait returns how long a new item of the team and priority would wait, from the number of items that would
// be ahead of it and the rate at which the team's items were started while some waited. Until the team has a rate,
// its part by share of the overall rate is used; before the first start, or with nothing ahead, the wait is 0.
func (q *Queue[T]) ExpectedWait(id ident.TeamID, priority int) time.Duration {
	now := q.config.Now()
	s := q.shardOfTeam(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.teams[id]
	if !ok {
		return 0
	}
	return q.expectedWait(t, priority, false, now)
}

func (q *Queue[T]) expectedWait(t *team[T], priority int, urgent bool, now time.Time) time.Duration {
	ahead := 0
	for _, b := range t.lists {
		if b.offeredBefore(urgent, priority) || b.urgent == urgent && b.priority == priority {
			ahead += b.length
		}
	}
	if ahead == 0 {
		return 0
	}
	var seconds float64
	if t.rate.startsSeen >= minTeamStarts {
		seconds = t.rate.secondsFor(ahead, now)
	} else {
		q.totalsMu.Lock()
		seconds = q.overallRate.secondsFor(ahead, now) / q.weightFraction(t)
		q.totalsMu.Unlock()
	}
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds the expected wait.
const maxWait = 24 * time.Hour

// weightFraction returns the team's weightFraction of the shares of all teams that have work, as of the last call of Next.
func (q *Queue[T]) weightFraction(t *team[T]) float64 {
	own := q.weight(t.id)
	return own / max(q.activeWeight, own)
}

func (q *Queue[T]) weight(id ident.TeamID) float64 { return max(q.config.Weight(id), minWeight) }

// minWeight replaces a share of zero or less, so that such a team comes last and doesn't divide by zero.
const minWeight = 1e-6
