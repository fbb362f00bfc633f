package queue

import (
	"container/heap"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// pendingUsageMaxAge is the longest time that a taken item stays charged without a change of the team's usage: the interval
// of summaries between regions.
const pendingUsageMaxAge = 5 * time.Second

// pendingUsage is the dominant share of the items taken since the team's usage last changed. It keeps one team from taking
// everything between two updates of the usage.
type pendingUsage struct {
	amount   float64
	reported float64 // last seen
	since    time.Time
}

// refresh drops the charge when the usage has changed or doesn't change at all.
func (c *pendingUsage) refresh(usage float64, now time.Time) {
	if usage != c.reported || now.Sub(c.since) > pendingUsageMaxAge {
		*c = pendingUsage{reported: usage, since: now}
	}
}

// teamTurn is a team's state during one call of Next.
type teamTurn[T any] struct {
	team         *team[T]
	shard        *shard[T]
	weight       float64
	arrivalOrder bool // order by arrival
	examineLimit int  // bound of examined
	skips        int  // items offered in vain
	examined     int  // items looked at and left in the queue
	resumed      bool // the walk has gone on where the last call ended
}

func (t *teamTurn[T]) rank() float64 {
	if t.arrivalOrder {
		if t.team.nextEntry == nil {
			return 0
		}
		return float64(t.team.nextEntry.Enqueued.UnixNano())
	}
	return (t.team.pending.reported + t.team.pending.amount) / t.weight
}

// turnHeap is a heap of teams, the one furthest below its share first.
type turnHeap[T any] []*teamTurn[T]

func (h turnHeap[T]) Len() int { return len(h) }
func (h turnHeap[T]) Less(i, j int) bool {
	a, b := h[i].rank(), h[j].rank()
	if a != b {
		return a < b
	}
	return h[i].team.id < h[j].team.id
}
func (h turnHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *turnHeap[T]) Push(x any)   { *h = append(*h, x.(*teamTurn[T])) }
func (h *turnHeap[T]) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// holdState is the item for which the work of all teams is held back.
type holdState struct {
	key   string // empty when the last hold has ended
	until time.Time
	pause time.Duration // from the end of the last hold to the next one
}

// Offer offers items to try in fair order until it returns Stop, nothing is left to offer, or MaxOffers were offered:
// urgent items first, then by team in order of usage divided by share (weighted dominant-resource fairness, Ghodsi
// et al., NSDI 2011), inside a team by priority and time of arrival. It returns the number of offered items. The
// work per call is bounded by the number of teams with items and MaxOffers, not by the number of items. Calls are
// serialised.
//
// Half of the items that a call may skip for a team are its first ones, the other half go on where the last call
// ended, so that every item is offered in time. When a team's first item has been skipped for longer than HoldAfter, the
// items behind it are held back, and when its team is the one furthest below its share, for HoldFor also those of all
// other teams; the pause before the next hold doubles when the item wasn't taken. So a large item isn't starved by small ones that take each freed piece of room.
//
// The function try must not call Offer or Dump, nor Remove for the offered key; it may call everything else.
func (q *Queue[T]) Offer(try func(Item[T]) Verdict) (tried int) {
	q.offerMu.Lock()
	defer q.offerMu.Unlock()
	for _, urgent := range [...]bool{true, false} {
		if urgent && q.urgentCount.Load() == 0 {
			continue
		}
		n, stopped := q.offerUrgency(urgent, MaxOffers-tried, try)
		tried += n
		if stopped || tried >= MaxOffers {
			break
		}
	}
	return tried
}

// offerUrgency offers the items of one urgency.
func (q *Queue[T]) offerUrgency(urgent bool, most int, try func(Item[T]) Verdict) (tried int, stopped bool) {
	order := q.collectTurns(urgent)
	total := q.config.FleetCapacity()
	q.skippedDemands = q.skippedDemands[:0]
	noneSkipped := true // no team before this one was passed over for lack of room
	for len(order) > 0 && tried < most {
		t := order[0]
		e, held := q.nextToOffer(t)
		if e == nil {
			heap.Pop(&order)
			noneSkipped = false
			continue
		}
		verdict := Skip
		if !held {
			verdict = try(e.Item)
			tried++
			held = q.applyVerdict(t, e, verdict, total)
		}
		switch {
		case verdict == Stop:
			return tried, true
		case verdict == Taken:
			heap.Fix(&order, 0)
		case verdict == SkipTeam:
			heap.Pop(&order)
		case held:
			if noneSkipped && q.holdOtherTeams(e) {
				return tried, true
			}
			heap.Pop(&order)
			noneSkipped = false
		case q.config.Baseline:
			heap.Fix(&order, 0)
		}
	}
	return tried, false
}

// collectTurns returns the teams with items of the urgency as a heap.
func (q *Queue[T]) collectTurns(urgent bool) turnHeap[T] {
	now := q.config.Now()
	order := q.turnBuffer[:0]
	shares := 0.0
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, t := range s.active {
			share := q.weight(t.id)
			shares += share
			if t.nextEntry = t.head(urgent); t.nextEntry == nil {
				continue
			}
			t.pending.refresh(q.config.DominantShare(t.id), now)
			t.turn = teamTurn[T]{team: t, shard: s, weight: share, arrivalOrder: q.config.Baseline}
			order = append(order, &t.turn)
		}
		s.mu.Unlock()
	}
	q.turnBuffer = order
	q.totalsMu.Lock()
	q.activeWeight = shares
	q.totalsMu.Unlock()
	for _, t := range order {
		t.examineLimit = min(max(maxExamined/len(order), minExaminedPerTeam), maxExaminedPerTeam)
	}
	h := turnHeap[T](order)
	heap.Init(&h)
	return h
}

// nextToOffer marks the team's next item as offered and returns it, or nil when the team's turn is over. With held it
// returns the first item, not offered, which holds back those behind it.
func (q *Queue[T]) nextToOffer(t *teamTurn[T]) (e *entry[T], held bool) {
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	for t.skips < MaxSkips && t.examined < t.examineLimit {
		e = t.team.nextEntry
		if e == nil {
			return nil, false
		}
		if !q.tooLarge(e.Demand) {
			e.offered = true
			return e, false
		}
		if q.skipEntry(t, e) {
			return e, true
		}
	}
	return nil, false
}

// skipEntry moves the team's walk behind a skipped entry and reports whether the entry holds back those behind it.
func (q *Queue[T]) skipEntry(t *teamTurn[T], e *entry[T]) (held bool) {
	now := q.config.Now()
	if e.firstSkipped.IsZero() {
		e.firstSkipped = now
	}
	t.examined++
	t.team.nextEntry = t.team.following(e)
	if t.examined == t.examineLimit/2 || t.skips >= MaxSkips/2 {
		if from := t.team.resumeAt[e.urgencyIndex()]; from != nil && !t.resumed {
			t.team.nextEntry = from
		}
		t.resumed = true
	}
	if t.resumed {
		t.team.resumeAt[e.urgencyIndex()] = t.team.nextEntry
	}
	return !q.config.Baseline && e == t.team.head(e.Urgent) && now.Sub(e.firstSkipped) > q.config.HoldAfter
}

func (q *Queue[T]) tooLarge(demand resource.Vector) bool {
	for _, b := range q.skippedDemands {
		if b.Fits(demand) {
			return true
		}
	}
	return false
}

// applyVerdict applies a verdict and reports whether the skipped item holds back those behind it.
func (q *Queue[T]) applyVerdict(t *teamTurn[T], e *entry[T], v Verdict, total resource.Vector) (held bool) {
	now := q.config.Now()
	s := t.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	e.offered = false
	s.settled.Broadcast()
	switch v {
	case Taken:
		t.team.nextEntry = t.team.following(e)
		t.team.pending.amount += e.Demand.DominantShare(total)
		t.team.rate.recordStart(now)
		if e.Key == q.hold.key {
			q.hold = holdState{}
		}
		q.totalsMu.Lock()
		q.overallRate.recordStart(now)
		q.totalsMu.Unlock()
		q.removeEntry(s, e)
	case Skip, SkipLarger:
		t.skips++
		if v == SkipLarger && len(q.skippedDemands) < MaxSkips {
			q.skippedDemands = append(q.skippedDemands, e.Demand)
		}
		return q.skipEntry(t, e)
	}
	return false
}

// holdOtherTeams reports whether the work of all teams is held back for the item now, and starts a hold when one is due.
func (q *Queue[T]) holdOtherTeams(e *entry[T]) bool {
	now := q.config.Now()
	h := &q.hold
	if h.key != "" && !now.Before(h.until) {
		h.key = ""
		h.pause = min(max(2*h.pause, q.config.HoldAfter), maxHoldPauseFactor*q.config.HoldAfter)
	}
	if h.key == "" && now.After(h.until.Add(h.pause)) {
		h.key, h.until = e.Key, now.Add(q.config.HoldFor)
	}
	return h.key == e.Key
}
