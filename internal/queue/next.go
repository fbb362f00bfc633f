package queue

import (
	"container/heap"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// chargeLife is the longest time that a taken item stays charged without a change of the team's usage: the interval
// of summaries between regions.
const chargeLife = 5 * time.Second

// charge is the dominant share of the items taken since the team's usage last changed. It keeps one team from taking
// everything between two updates of the usage.
type charge struct {
	amount float64
	usage  float64 // last seen
	since  time.Time
}

// refresh drops the charge when the usage has changed or doesn't change at all.
func (c *charge) refresh(usage float64, now time.Time) {
	if usage != c.usage || now.Sub(c.since) > chargeLife {
		*c = charge{usage: usage, since: now}
	}
}

// turn is a team's state during one call of Next.
type turn[T any] struct {
	team     *team[T]
	shard    *shard[T]
	share    float64
	baseline bool // order by arrival
	most     int  // bound of examined
	skips    int  // items offered in vain
	examined int  // items looked at and left in the queue
	resumed  bool // the walk has gone on where the last call ended
}

func (t *turn[T]) level() float64 {
	if t.baseline {
		if t.team.walk == nil {
			return 0
		}
		return float64(t.team.walk.Enqueued.UnixNano())
	}
	return (t.team.charge.usage + t.team.charge.amount) / t.share
}

// turns is a heap of teams, the one furthest below its share first.
type turns[T any] []*turn[T]

func (h turns[T]) Len() int { return len(h) }
func (h turns[T]) Less(i, j int) bool {
	a, b := h[i].level(), h[j].level()
	if a != b {
		return a < b
	}
	return h[i].team.id < h[j].team.id
}
func (h turns[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *turns[T]) Push(x any)   { *h = append(*h, x.(*turn[T])) }
func (h *turns[T]) Pop() any {
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

// Next offers items to try in fair order until it returns Stop, nothing is left to offer, or MaxOffers were offered:
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
// The function try must not call Next or Dump, nor Remove for the offered key; it may call everything else.
func (q *Queue[T]) Next(try func(Item[T]) Verdict) (tried int) {
	q.nextMu.Lock()
	defer q.nextMu.Unlock()
	for _, urgent := range [...]bool{true, false} {
		if urgent && q.urgent.Load() == 0 {
			continue
		}
		n, stopped := q.pass(urgent, MaxOffers-tried, try)
		tried += n
		if stopped || tried >= MaxOffers {
			break
		}
	}
	return tried
}

// pass offers the items of one urgency.
func (q *Queue[T]) pass(urgent bool, most int, try func(Item[T]) Verdict) (tried int, stopped bool) {
	order := q.collect(urgent)
	total := q.config.Total()
	q.blocked = q.blocked[:0]
	leading := true // no team before this one was passed over for lack of room
	for len(order) > 0 && tried < most {
		t := order[0]
		e, held := q.choose(t)
		if e == nil {
			heap.Pop(&order)
			leading = false
			continue
		}
		verdict := Skip
		if !held {
			verdict = try(e.Item)
			tried++
			held = q.settle(t, e, verdict, total)
		}
		switch {
		case verdict == Stop:
			return tried, true
		case verdict == Taken:
			heap.Fix(&order, 0)
		case verdict == SkipTeam:
			heap.Pop(&order)
		case held:
			if leading && q.holdAll(e) {
				return tried, true
			}
			heap.Pop(&order)
			leading = false
		case q.config.Baseline:
			heap.Fix(&order, 0)
		}
	}
	return tried, false
}

// collect returns the teams with items of the urgency as a heap.
func (q *Queue[T]) collect(urgent bool) turns[T] {
	now := q.config.Now()
	order := q.order[:0]
	shares := 0.0
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, t := range s.active {
			share := q.share(t.id)
			shares += share
			if t.walk = t.head(urgent); t.walk == nil {
				continue
			}
			t.charge.refresh(q.config.Usage(t.id), now)
			t.turn = turn[T]{team: t, shard: s, share: share, baseline: q.config.Baseline}
			order = append(order, &t.turn)
		}
		s.mu.Unlock()
	}
	q.order = order
	q.overallMu.Lock()
	q.shares = shares
	q.overallMu.Unlock()
	for _, t := range order {
		t.most = min(max(maxExamined/len(order), minPerTeam), maxPerTeam)
	}
	h := turns[T](order)
	heap.Init(&h)
	return h
}

// choose marks the team's next item as offered and returns it, or nil when the team's turn is over. With held it
// returns the first item, not offered, which holds back those behind it.
func (q *Queue[T]) choose(t *turn[T]) (e *entry[T], held bool) {
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	for t.skips < MaxSkips && t.examined < t.most {
		e = t.team.walk
		if e == nil {
			return nil, false
		}
		if !q.tooLarge(e.Demand) {
			e.offered = true
			return e, false
		}
		if q.skip(t, e) {
			return e, true
		}
	}
	return nil, false
}

// skip moves the team's walk behind a skipped entry and reports whether the entry holds back those behind it.
func (q *Queue[T]) skip(t *turn[T], e *entry[T]) (held bool) {
	now := q.config.Now()
	if e.skipped.IsZero() {
		e.skipped = now
	}
	t.examined++
	t.team.walk = t.team.following(e)
	if t.examined == t.most/2 || t.skips >= MaxSkips/2 {
		if from := t.team.cursor[e.line()]; from != nil && !t.resumed {
			t.team.walk = from
		}
		t.resumed = true
	}
	if t.resumed {
		t.team.cursor[e.line()] = t.team.walk
	}
	return !q.config.Baseline && e == t.team.head(e.Urgent) && now.Sub(e.skipped) > q.config.HoldAfter
}

func (q *Queue[T]) tooLarge(demand resource.Vector) bool {
	for _, b := range q.blocked {
		if b.Fits(demand) {
			return true
		}
	}
	return false
}

// settle applies a verdict and reports whether the skipped item holds back those behind it.
func (q *Queue[T]) settle(t *turn[T], e *entry[T], v Verdict, total resource.Vector) (held bool) {
	now := q.config.Now()
	s := t.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	e.offered = false
	s.done.Broadcast()
	switch v {
	case Taken:
		t.team.walk = t.team.following(e)
		t.team.charge.amount += e.Demand.DominantShare(total)
		t.team.rate.started(now)
		if e.Key == q.hold.key {
			q.hold = holdState{}
		}
		q.overallMu.Lock()
		q.overall.started(now)
		q.overallMu.Unlock()
		q.drop(s, e)
	case Skip, SkipLarger:
		t.skips++
		if v == SkipLarger && len(q.blocked) < MaxSkips {
			q.blocked = append(q.blocked, e.Demand)
		}
		return q.skip(t, e)
	}
	return false
}

// holdAll reports whether the work of all teams is held back for the item now, and starts a hold when one is due.
func (q *Queue[T]) holdAll(e *entry[T]) bool {
	now := q.config.Now()
	h := &q.hold
	if h.key != "" && !now.Before(h.until) {
		h.key = ""
		h.pause = min(max(2*h.pause, q.config.HoldAfter), maxPauses*q.config.HoldAfter)
	}
	if h.key == "" && now.After(h.until.Add(h.pause)) {
		h.key, h.until = e.Key, now.Add(q.config.HoldFor)
	}
	return h.key == e.Key
}
