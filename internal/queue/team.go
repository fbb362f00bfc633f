package queue

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// idleTeamTimeout is the time after which a team without items is forgotten. Queues open to all accept any team name.
const idleTeamTimeout = 10 * time.Minute

// entry is a queued item, linked into the list of its priority and into the wheel of deadlines.
type entry[T any] struct {
	Item[T]
	team       *team[T]
	list       *priorityList[T]
	prev, next *entry[T] // neighbours in the band, by time of arrival

	wheelPrev, wheelNext *entry[T] // neighbours with a deadline in the same tick

	offered      bool      // Next waits for its verdict
	removed      bool      // taken, removed or expired
	firstSkipped time.Time // when it was first offered in vain
}

// urgencyIndex is the index of the entry's urgency.
func (e *entry[T]) urgencyIndex() int {
	if e.Urgent {
		return 1
	}
	return 0
}

// priorityList is a team's items of one priority and urgency in order of arrival.
type priorityList[T any] struct {
	priority    int
	urgent      bool
	length      int
	first, last *entry[T]
}

// team is the waiting work of one team.
type team[T any] struct {
	id             ident.TeamID
	lists          []*priorityList[T] // non-empty ones: urgent first, then by falling priority
	length         int
	bytes          int64 // of the items and of what Admit and Count added
	activePosition int   // in shard.active, -1 without items
	rate           startRate
	idleSince      time.Time // since when it has no items
	pending        pendingUsage
	turn           teamTurn[T]  // of the current call of Next
	nextEntry      *entry[T]    // entry that the current call of Next looks at next
	resumeAt       [2]*entry[T] // where the next call goes on behind the first items, by line
}

func (s *shard[T]) findOrAddTeam(id ident.TeamID) *team[T] {
	t, ok := s.teams[id]
	if !ok {
		t = &team[T]{id: id, activePosition: -1}
		s.teams[id] = t
	}
	return t
}

// offeredBefore reports whether band b is offered offeredBefore one of the given urgency and priority.
func (b *priorityList[T]) offeredBefore(urgent bool, priority int) bool {
	if b.urgent != urgent {
		return b.urgent
	}
	return b.priority > priority
}

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

// link adds an entry to its team; the shard is locked.
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

// insert places the entry by its time of arrival. The search is bounded at both ends: an item that belongs far from
// them is placed where the search from the older end stopped, which lets it wait less than its turn.
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

// unlink takes an entry out of its team; the shard is locked.
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

// forgetIdle drops the state of teams that have had no items for a while; the shard is locked.
func (s *shard[T]) forgetIdle(now time.Time) {
	for id, t := range s.teams {
		if t.length == 0 && t.bytes == 0 && now.Sub(t.idleSince) > idleTeamTimeout {
			delete(s.teams, id)
		}
	}
}

// wheelTick is the width of one bucket of the wheel.
const wheelTick = 250 * time.Millisecond

// deadlineWheel finds passed deadlines without a search over the items: a list of entries per tick of deadline.
type deadlineWheel[T any] struct {
	buckets map[int64]*entry[T]
	first   int64 // no bucket below it has entries
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

// due returns the entries whose deadline has passed and leaves them linked.
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

// rewind makes the next call of due look at the entry again.
func (w *deadlineWheel[T]) rewind(e *entry[T]) { w.first = min(w.first, tickOf(e.Deadline)) }
