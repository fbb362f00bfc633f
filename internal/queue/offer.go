package queue

import (
	"container/heap"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// pendingUsageMaxAge is how long a taken item counts as pending usage if the reported usage of the team does not
// change. Peers of other regions report only every 10 s, so pending usage there can expire before it is reported.
const pendingUsageMaxAge = 5 * time.Second

// pendingUsage is the dominant share of the items taken since a team's reported usage last changed. It prevents one
// team from taking all free capacity between two usage reports.
type pendingUsage struct {
	amount   float64
	reported float64 // usage when it last changed
	since    time.Time
}

// refresh resets the pending usage when the reported usage has changed or has not changed for pendingUsageMaxAge.
func (c *pendingUsage) refresh(usage float64, now time.Time) {
	if usage != c.reported || now.Sub(c.since) > pendingUsageMaxAge {
		*c = pendingUsage{reported: usage, since: now}
	}
}

// teamTurn is the state of a team during one call of Offer.
type teamTurn[T any] struct {
	team         *team[T]
	shard        *shard[T]
	weight       float64
	arrivalOrder bool // order by time of arrival, for Config.Baseline
	examineLimit int  // maximum of examined
	skips        int  // items offered and skipped
	examined     int  // items examined and left in the queue
	resumed      bool // the iteration has jumped to where the previous call ended
}

// rank orders the teams, lowest first: by usage divided by weight, or by the arrival of the next item.
func (t *teamTurn[T]) rank() float64 {
	if t.arrivalOrder {
		if t.team.nextEntry == nil {
			return 0
		}
		return float64(t.team.nextEntry.Enqueued.UnixNano())
	}
	return (t.team.pending.reported + t.team.pending.amount) / t.weight
}

// turnHeap is a heap of teams. The one with the lowest usage relative to its weight comes first.
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

// holdState describes the hold: the item for which the work of all teams is held back.
type holdState struct {
	key   string // empty when no hold is active
	until time.Time
	pause time.Duration // minimum time between the end of the last hold and the next one
}

// Offer offers items to try in fair order until try returns Stop, no item is left to offer, or MaxOffers were offered.
// Urgent items come first. Teams are ordered by usage divided by weight (weighted dominant-resource fairness, Ghodsi
// et al., NSDI 2011), and the items of a team by priority and time of arrival. Offer returns the number of offered
// items. The cost of a call depends on the number of teams with items and on MaxOffers, not on the number of items.
// Calls are serialised.
//
// Half of the items that a call may skip for a team are its first ones; the other half continue where the last call
// ended, so that every item is offered eventually. When a team's first item has been skipped for longer than
// HoldAfter, the team's items behind it are held back. If the team also has the lowest usage relative to its weight,
// the items of all other teams are held back for HoldFor. The pause before the next hold doubles when the item was not
// taken. This keeps small items that take each freed piece of capacity from starving a large item.
//
// The function try must not call Offer, AwaitOffer or Dump, nor Remove for the offered key. It may call all other
// methods.
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

// offerUrgency offers the items that are urgent, or those that are not.
func (q *Queue[T]) offerUrgency(urgent bool, maxOffers int, try func(Item[T]) Verdict) (tried int, stopped bool) {
	turns := q.collectTurns(urgent)
	total := q.config.FleetCapacity()
	q.skippedDemands = q.skippedDemands[:0]
	noneSkipped := true // no earlier team in the order was skipped for lack of capacity
	for len(turns) > 0 && tried < maxOffers {
		t := turns[0]
		e, held := q.nextToOffer(t)
		if e == nil {
			heap.Pop(&turns)
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
			heap.Fix(&turns, 0)
		case verdict == SkipTeam:
			heap.Pop(&turns)
		case held:
			if noneSkipped && q.holdOtherTeams(e) {
				return tried, true
			}
			heap.Pop(&turns)
			noneSkipped = false
		case q.config.Baseline:
			heap.Fix(&turns, 0)
		}
	}
	return tried, false
}

// collectTurns returns the teams that have items of the given urgency as a heap.
func (q *Queue[T]) collectTurns(urgent bool) turnHeap[T] {
	now := q.config.Now()
	order := q.turnBuffer[:0]
	totalWeight := 0.0
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, t := range s.active {
			weight := q.weight(t.id)
			totalWeight += weight
			if t.nextEntry = t.head(urgent); t.nextEntry == nil {
				continue
			}
			t.pending.refresh(q.config.DominantShare(t.id), now)
			t.turn = teamTurn[T]{team: t, shard: s, weight: weight, arrivalOrder: q.config.Baseline}
			order = append(order, &t.turn)
		}
		s.mu.Unlock()
	}
	q.turnBuffer = order
	q.totalsMu.Lock()
	q.activeWeight = totalWeight
	q.totalsMu.Unlock()
	for _, t := range order {
		t.examineLimit = min(max(maxExamined/len(order), minExaminedPerTeam), maxExaminedPerTeam)
	}
	h := turnHeap[T](order)
	heap.Init(&h)
	return h
}

// nextToOffer marks the team's next item as offered and returns it, or nil when the team's turn is over. With held it
// returns the team's first item, which is not offered and holds back the items behind it.
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

// skipEntry advances the team past a skipped entry and reports whether the entry holds back the items behind it.
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

// tooLarge reports whether the demand is at least as large as one that was skipped with SkipLarger.
func (q *Queue[T]) tooLarge(demand resource.Vector) bool {
	for _, b := range q.skippedDemands {
		if b.Fits(demand) {
			return true
		}
	}
	return false
}

// applyVerdict applies a verdict and reports whether the skipped item holds back the items behind it.
func (q *Queue[T]) applyVerdict(t *teamTurn[T], e *entry[T], v Verdict, total resource.Vector) (held bool) {
	now := q.config.Now()
	s := t.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	e.offered = false
	s.verdictApplied.Broadcast()
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

// holdOtherTeams reports whether the work of all other teams is held back for the item, and starts a hold when one is
// due.
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
