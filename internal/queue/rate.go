package queue

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Constants of the learned start rate.
const (
	// rateMemory is the number of starts over which the rate is averaged.
	rateMemory = 64
	// maxGap bounds the time that one start adds: an outage must not lower the rate for the next hour.
	maxGap = 10 * time.Second
	// minStarts is the number of starts below which a team's own rate isn't used.
	minStarts = 8
)

// rate estimates starts per second while work waits. Time without waiting work isn't counted: a low demand says
// nothing about the rate that is possible, and a burst after it would be refused.
type rate struct {
	starts float64 // decayed number of starts
	busy   float64 // decayed seconds in which work waited
	mark   time.Time
	waits  bool
	seen   int // starts seen, up to minStarts
}

func (r *rate) busyFrom(now time.Time) {
	r.mark = now
	r.waits = true
}

func (r *rate) idleFrom(now time.Time) {
	if r.waits {
		r.busy += gap(r.mark, now)
	}
	r.waits = false
}

func gap(from, to time.Time) float64 { return min(max(to.Sub(from), 0), maxGap).Seconds() }

// started records a start, before the item leaves the queue.
func (r *rate) started(now time.Time) {
	const keep = 1 - 1.0/rateMemory
	r.starts = r.starts*keep + 1
	r.busy = r.busy*keep + gap(r.mark, now)
	r.mark = now
	r.seen = min(r.seen+1, minStarts)
}

// wait returns the seconds until n starts have happened; 0 when nothing is known.
func (r *rate) wait(n int, now time.Time) float64 {
	if r.starts == 0 {
		return 0
	}
	busy := r.busy
	if r.waits {
		busy += gap(r.mark, now)
	}
	return float64(n) * busy / r.starts
}

// ExpectedWait returns how long a new item of the team and priority would wait, from the number of items that would
// be ahead of it and the rate at which the team's items were started while some waited. Until the team has a rate,
// its part by share of the overall rate is used; before the first start, or with nothing ahead, the wait is 0.
func (q *Queue[T]) ExpectedWait(id ident.TeamID, priority int) time.Duration {
	now := q.config.Now()
	s := q.shard(id)
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
	for _, b := range t.bands {
		if b.before(urgent, priority) || b.urgent == urgent && b.priority == priority {
			ahead += b.length
		}
	}
	if ahead == 0 {
		return 0
	}
	var seconds float64
	if t.rate.seen >= minStarts {
		seconds = t.rate.wait(ahead, now)
	} else {
		q.overallMu.Lock()
		seconds = q.overall.wait(ahead, now) / q.part(t)
		q.overallMu.Unlock()
	}
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds the expected wait.
const maxWait = 24 * time.Hour

// part returns the team's part of the shares of all teams that have work, as of the last call of Next.
func (q *Queue[T]) part(t *team[T]) float64 {
	own := q.share(t.id)
	return own / max(q.shares, own)
}

func (q *Queue[T]) share(id ident.TeamID) float64 { return max(q.config.Share(id), minShare) }

// minShare replaces a share of zero or less, so that such a team comes last and doesn't divide by zero.
const minShare = 1e-6
