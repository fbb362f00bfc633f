package queue

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Parameters of the measured start rate.
const (
	// rateAveragedStarts is the number of starts over which the rate is averaged.
	rateAveragedStarts = 64
	// maxBusyGap bounds the busy time that one start adds, so that an outage does not lower the rate for the next
	// hour.
	maxBusyGap = 10 * time.Second
	// minTeamStarts is the number of starts from which a team's own rate is used.
	minTeamStarts = 8
)

// startRate estimates the starts per second while work waits. Time without waiting work does not count: low demand
// says nothing about the rate that is possible, and the next burst would be refused.
type startRate struct {
	starts       float64   // decayed number of starts
	busySeconds  float64   // decayed time during which work waited
	countedUntil time.Time // end of the time included in busySeconds
	waiting      bool
	startsSeen   int // number of starts, up to minTeamStarts
}

// beginBusy starts to count time because work waits.
func (r *startRate) beginBusy(now time.Time) {
	r.countedUntil = now
	r.waiting = true
}

// endBusy stops counting time because no work waits.
func (r *startRate) endBusy(now time.Time) {
	if r.waiting {
		r.busySeconds += boundedSeconds(r.countedUntil, now)
	}
	r.waiting = false
}

// boundedSeconds returns the time between two instants in seconds, at least 0 and at most maxBusyGap.
func boundedSeconds(from, to time.Time) float64 {
	return min(max(to.Sub(from), 0), maxBusyGap).Seconds()
}

// recordStart records a start. It is called before the item leaves the queue.
func (r *startRate) recordStart(now time.Time) {
	const keep = 1 - 1.0/rateAveragedStarts
	r.starts = r.starts*keep + 1
	r.busySeconds = r.busySeconds*keep + boundedSeconds(r.countedUntil, now)
	r.countedUntil = now
	r.startsSeen = min(r.startsSeen+1, minTeamStarts)
}

// secondsFor returns the expected seconds until n starts have happened, 0 when the rate is unknown.
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

// ExpectedWait returns the expected wait of a new item of the team and priority. It is based on the number of items
// ahead of it and the rate at which the team's items were started while some waited. Until the team has a rate, its
// fraction by weight of the overall rate is used. Before the first start, or with no items ahead, the wait is 0.
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

// maxWait limits the expected wait.
const maxWait = 24 * time.Hour

// weightFraction returns the team's fraction of the weights of all teams that had items at the last call of Offer.
func (q *Queue[T]) weightFraction(t *team[T]) float64 {
	own := q.weight(t.id)
	return own / max(q.activeWeight, own)
}

func (q *Queue[T]) weight(id ident.TeamID) float64 { return max(q.config.Weight(id), minWeight) }

// minWeight replaces a weight of zero or less, so that such a team comes last and causes no division by zero.
const minWeight = 1e-6
