package queue

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// idleTeamTimeout is how long the state of a team without items is kept. Queues that are open to everyone accept any
// team name, so the state has to be deleted.
const idleTeamTimeout = 10 * time.Minute

// entry is a queued item. It is linked into the list of its priority and into the deadline wheel.
type entry[T any] struct {
	Item[T]
	team       *team[T]
	list       *priorityList[T]
	prev, next *entry[T] // neighbours in the priority list, by time of arrival

	wheelPrev, wheelNext *entry[T] // neighbours whose deadline is in the same tick

	offered      bool      // Offer waits for the verdict
	removed      bool      // taken, removed or expired
	firstSkipped time.Time // time of the first skip
}

// urgencyIndex returns 1 for an urgent entry and 0 for others.
func (e *entry[T]) urgencyIndex() int {
	if e.Urgent {
		return 1
	}
	return 0
}

// priorityList holds the items of a team with the same priority and urgency in order of arrival.
type priorityList[T any] struct {
	priority    int
	urgent      bool
	length      int
	first, last *entry[T]
}

// team holds the waiting work of one team.
type team[T any] struct {
	id             ident.TeamID
	lists          []*priorityList[T] // not empty; urgent ones first, then by descending priority
	length         int
	bytes          int64 // of the items, and of the work counted by Admit and AdjustBytes
	activePosition int   // index in shard.active, -1 without items
	rate           startRate
	idleSince      time.Time // time since which the team has had no items
	pending        pendingUsage
	turn           teamTurn[T]  // in the current call of Offer
	nextEntry      *entry[T]    // entry that the current call of Offer examines next
	resumeAt       [2]*entry[T] // entry at which the next call continues after the first items, by urgencyIndex
}

// findOrAddTeam returns the state of a team and creates it if needed. The caller holds the lock of the shard.
func (s *shard[T]) findOrAddTeam(id ident.TeamID) *team[T] {
	t, ok := s.teams[id]
	if !ok {
		t = &team[T]{id: id, activePosition: -1}
		s.teams[id] = t
	}
	return t
}

// offeredBefore reports whether the list is offered before one of the given urgency and priority.
func (b *priorityList[T]) offeredBefore(urgent bool, priority int) bool {
	if b.urgent != urgent {
		return b.urgent
	}
	return b.priority > priority
}

// findList returns the index at which the list of the given urgency and priority is or belongs, and whether it exists.
func (t *team[T]) findList(urgent bool, priority int) (int, bool) {
	for i, b := range t.lists {
		if b.urgent == urgent && b.priority == priority {
			return i, true
		}
		if !b.offeredBefore(urgent, priority) {
			return i, false
		}
	}
	return len(t.lists), false
}

// link adds an entry to its team. The caller holds the lock of the shard.
func (s *shard[T]) link(e *entry[T], now time.Time) {
	t := e.team
	i, ok := t.findList(e.Urgent, e.Priority)
	if !ok {
		t.lists = slices.Insert(t.lists, i, &priorityList[T]{priority: e.Priority, urgent: e.Urgent})
	}
	t.lists[i].insert(e)
	if t.length == 0 {
		t.activePosition = len(s.active)
		s.active = append(s.active, t)
		t.rate.beginBusy(now)
	}
	t.length++
	s.deadlines.add(e)
}

// insert adds an entry by its time of arrival. The search is bounded from both ends. An entry that belongs further
// from both ends is inserted where the search from the older end stopped, so that it is offered earlier than its
// arrival warrants.
func (b *priorityList[T]) insert(e *entry[T]) {
	e.list = b
	b.length++
	after := b.last
	for range maxInsertSteps {
		if after == nil || !after.Enqueued.After(e.Enqueued) {
			b.insertAfter(after, e)
			return
		}
		after = after.prev
	}
	before := b.first
	for range maxInsertSteps {
		if before.Enqueued.After(e.Enqueued) {
			break
		}
		before = before.next
	}
	b.insertAfter(before.prev, e)
}

func (b *priorityList[T]) insertAfter(prev, e *entry[T]) {
	e.prev = prev
	if prev == nil {
		e.next = b.first
		b.first = e
	} else {
		e.next = prev.next
		prev.next = e
	}
	if e.next == nil {
		b.last = e
	} else {
		e.next.prev = e
	}
}

// unlink removes an entry from its team. The caller holds the lock of the shard.
func (s *shard[T]) unlink(e *entry[T], now time.Time) {
	t, b := e.team, e.list
	if c := &t.resumeAt[e.urgencyIndex()]; *c == e {
		*c = t.following(e)
	}
	if t.nextEntry == e {
		t.nextEntry = t.following(e)
	}
	if e.prev == nil {
		b.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		b.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
	e.removed = true
	b.length--
	if b.length == 0 {
		i, _ := t.findList(b.urgent, b.priority)
		t.lists = slices.Delete(t.lists, i, i+1)
	}
	s.deadlines.remove(e)
	t.length--
	if t.length == 0 {
		end := len(s.active) - 1
		s.active[t.activePosition] = s.active[end]
		s.active[t.activePosition].activePosition = t.activePosition
		s.active = s.active[:end]
		t.activePosition = -1
		t.idleSince = now
		t.rate.endBusy(now)
	}
}

// following returns the next entry of the team with the same urgency, or nil.
func (t *team[T]) following(e *entry[T]) *entry[T] {
	if e.next != nil {
		return e.next
	}
	i, _ := t.findList(e.Urgent, e.Priority)
	if i+1 < len(t.lists) && t.lists[i+1].urgent == e.Urgent {
		return t.lists[i+1].first
	}
	return nil
}

// head returns the team's first entry of the given urgency, or nil.
func (t *team[T]) head(urgent bool) *entry[T] {
	for _, b := range t.lists {
		if b.urgent == urgent {
			return b.first
		}
	}
	return nil
}

// forgetIdle deletes the state of teams that have had no items for idleTeamTimeout. The caller holds the lock of the
// shard.
func (s *shard[T]) forgetIdle(now time.Time) {
	for id, t := range s.teams {
		if t.length == 0 && t.bytes == 0 && now.Sub(t.idleSince) > idleTeamTimeout {
			delete(s.teams, id)
		}
	}
}

// wheelTick is the width of one bucket of the deadline wheel.
const wheelTick = 250 * time.Millisecond

// deadlineWheel finds passed deadlines without a scan of all items. It holds a list of entries per tick.
type deadlineWheel[T any] struct {
	buckets map[int64]*entry[T]
	first   int64 // no bucket before this tick has entries
}

func tickOf(t time.Time) int64 { return t.UnixNano() / int64(wheelTick) }

func (w *deadlineWheel[T]) add(e *entry[T]) {
	if e.Deadline.IsZero() {
		return
	}
	at := tickOf(e.Deadline)
	head := w.buckets[at]
	if len(w.buckets) == 0 {
		w.first = at
	}
	e.wheelNext = head
	if head != nil {
		head.wheelPrev = e
	}
	w.buckets[at] = e
	w.first = min(w.first, at)
}

func (w *deadlineWheel[T]) remove(e *entry[T]) {
	if e.Deadline.IsZero() {
		return
	}
	at := tickOf(e.Deadline)
	switch {
	case e.wheelPrev != nil:
		e.wheelPrev.wheelNext = e.wheelNext
	case e.wheelNext != nil:
		w.buckets[at] = e.wheelNext
	default:
		delete(w.buckets, at)
	}
	if e.wheelNext != nil {
		e.wheelNext.wheelPrev = e.wheelPrev
	}
	e.wheelPrev, e.wheelNext = nil, nil
}

// due returns the entries whose deadline has passed. They stay linked.
func (w *deadlineWheel[T]) due(now time.Time) []*entry[T] {
	if len(w.buckets) == 0 {
		return nil
	}
	var entries []*entry[T]
	last := tickOf(now)
	collect := func(e *entry[T]) {
		for ; e != nil; e = e.wheelNext {
			if !e.Deadline.After(now) {
				entries = append(entries, e)
			}
		}
	}
	if last-w.first > int64(len(w.buckets)) {
		for at, e := range w.buckets {
			if at <= last {
				collect(e)
			}
		}
	} else {
		for at := w.first; at <= last; at++ {
			collect(w.buckets[at])
		}
	}
	w.first = max(w.first, last)
	return entries
}

// rewind makes the next call of due examine the entry again.
func (w *deadlineWheel[T]) rewind(e *entry[T]) { w.first = min(w.first, tickOf(e.Deadline)) }
