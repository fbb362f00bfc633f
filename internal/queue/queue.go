// Package queue holds waiting work in bounded queues per team and offers it in weighted fair order.
package queue

import (
	"cmp"
	"errors"
	"fmt"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Error is the class of errors that New returns for an invalid configuration.
var Error = errs.Class("queue")

var (
	// ErrFull reports that the maximum number of items of a team or the maximum bytes of queued work would be
	// exceeded.
	ErrFull = errors.New("queue is full")
	// ErrDuplicate reports that an item with the same key is already queued.
	ErrDuplicate = errors.New("item is already queued")
	// ErrTooLate reports that the item is expected to wait beyond its deadline.
	ErrTooLate = errors.New("expected wait exceeds the deadline")
)

// Defaults and limits.
const (
	DefaultShards = 8
	// DefaultHoldAfter is how long an item is skipped before it holds back the work behind it.
	DefaultHoldAfter = 10 * time.Second
	// DefaultHoldFor is the maximum duration of a hold. When the item was not taken by the end of a hold, the pause
	// before the next hold is HoldAfter, and it doubles after each further one up to maxHoldPauseFactor times
	// HoldAfter, so that an item that can never be placed costs little.
	DefaultHoldFor     = 5 * time.Second
	maxHoldPauseFactor = 32
	// MaxOffers is the maximum number of items that one call of Offer offers.
	MaxOffers = 1024
	// MaxSkips is the maximum number of items per team that are skipped in one call of Offer.
	MaxSkips = 8
	// maxExamined bounds the items that one call examines and leaves in the queue, offered or not. It is divided among
	// the teams, within minExaminedPerTeam and maxExaminedPerTeam. With 64 items for each of 110 teams, a call on a
	// blocked queue took 2 to 3 ms.
	maxExamined        = 512
	maxExaminedPerTeam = 16
	minExaminedPerTeam = 2
	// teamBytesDivisor divides MaxBytes: one team may use a quarter of it, so that a single team cannot shut out all
	// others.
	teamBytesDivisor = 4
	// maxInsertSteps bounds the search for the position of an item that is older than the last one of its priority.
	maxInsertSteps = 64
)

// defaultFleetCapacity is the capacity of an existing fleet: 35 hosts of 32 cores and 13 hosts of 64 cores with 8
// GPUs. It scales the pending usage when Config.FleetCapacity is not set.
var defaultFleetCapacity = resource.Vector{
	CPU: resource.Cores(1952), Memory: resource.Gigabytes(3904), GPUs: 104, Slots: 384, Connections: 3072,
}

// Verdict is the response to an offered item.
type Verdict int

// Verdicts.
const (
	// Taken removes the item from the queue.
	Taken Verdict = iota
	// Skip leaves the item in the queue and continues with the team's next item.
	Skip
	// SkipLarger is Skip for lack of capacity: during this call, no further item of the same urgency, of any team, that
	// demands at least as much of every resource is offered.
	SkipLarger
	// SkipTeam ends the team's turn in this call.
	SkipTeam
	// Stop ends the call.
	Stop
)

// Item is a unit of waiting work.
type Item[T any] struct {
	Key      string // unique in the queue
	Team     ident.TeamID
	Queue    ident.QueueID
	Kind     api.Kind
	Demand   resource.Vector
	Priority int // higher first, within the team
	Urgent   bool
	Enqueued time.Time // zero means now
	Deadline time.Time // zero means none
	Bytes    int64     // memory that the item occupies
	Admitted bool      // the bytes were already checked by Admit
	Value    T
}

// Config configures a Queue. The functions are called with a lock held and must not call the queue.
type Config struct {
	MaxItems func(ident.TeamID) int // maximum number of queued items of the team
	// MaxBytes limits the bytes of all items, of which one team may take a quarter; 0 means no limit. Concurrent
	// pushes may exceed it by one item per shard, and requeued items are never refused.
	MaxBytes      int64
	Weight        func(ident.TeamID) float64 // fair-share weight of the team, above 0
	DominantShare func(ident.TeamID) float64 // dominant share of the fleet that the team uses now
	// FleetCapacity is the capacity of the fleet. It scales the pending usage of a taken item until DominantShare
	// includes it. If it is nil, the capacity of a fleet of 48 hosts is used.
	FleetCapacity func() resource.Vector
	Shards        int           // 0 means DefaultShards
	HoldAfter     time.Duration // 0 means DefaultHoldAfter
	HoldFor       time.Duration // 0 means DefaultHoldFor
	// Baseline offers items in order of arrival only, without weights, priorities, urgency and holds. The load driver
	// sets it to compare the policy with a simple one.
	Baseline bool
	Now      func() time.Time
}

// Queue holds the waiting work of all teams. It is safe for concurrent use.
//
// Locks are taken in the order offerMu, shard, keyShard. Only offerMu is held while an item is offered.
type Queue[T any] struct {
	config    Config
	seed      maphash.Seed
	shards    []shard[T]
	keyShards []keyShard[T]

	offerMu        sync.Mutex
	turnBuffer     []*teamTurn[T]    // reused by Offer
	skippedDemands []resource.Vector // first MaxSkips demands skipped with SkipLarger in this pass; reused by Offer
	hold           holdState
	overallRate    startRate // starts of all teams, guarded by totalsMu
	activeWeight   float64   // sum of the weights of teams with items, guarded by totalsMu

	urgentCount atomic.Int64 // number of urgent items
	bytes       atomic.Int64 // of all items and of the work counted by Admit and AdjustBytes

	totalsMu sync.Mutex
	length   int // number of items, guarded by totalsMu
}

type shard[T any] struct {
	mu             sync.Mutex
	verdictApplied *sync.Cond // signalled when an offered item has its verdict
	teams          map[ident.TeamID]*team[T]
	active         []*team[T] // teams with items
	deadlines      deadlineWheel[T]
}

type keyShard[T any] struct {
	mu      sync.Mutex
	entries map[string]*entry[T]
}

// New returns an empty queue.
func New[T any](c Config) (*Queue[T], error) {
	if c.MaxItems == nil || c.Weight == nil || c.DominantShare == nil || c.Now == nil {
		return nil, Error.New("MaxItems, Weight, DominantShare and Now must be set")
	}
	c.Shards = cmp.Or(c.Shards, DefaultShards)
	c.HoldAfter = cmp.Or(c.HoldAfter, DefaultHoldAfter)
	c.HoldFor = cmp.Or(c.HoldFor, DefaultHoldFor)
	if c.Shards < 0 || c.HoldAfter < 0 || c.HoldFor < 0 {
		return nil, Error.New("shards (%d), HoldAfter (%v) and HoldFor (%v) must not be negative", c.Shards, c.HoldAfter, c.HoldFor)
	}
	if c.FleetCapacity == nil {
		c.FleetCapacity = func() resource.Vector { return defaultFleetCapacity }
	}
	q := &Queue[T]{config: c, seed: maphash.MakeSeed()}
	q.shards = make([]shard[T], c.Shards)
	q.keyShards = make([]keyShard[T], c.Shards)
	for i := range q.shards {
		s := &q.shards[i]
		s.verdictApplied = sync.NewCond(&s.mu)
		s.teams = map[ident.TeamID]*team[T]{}
		s.deadlines.buckets = map[int64]*entry[T]{}
		q.keyShards[i].entries = map[string]*entry[T]{}
	}
	return q, nil
}

func (q *Queue[T]) shardOfTeam(t ident.TeamID) *shard[T] {
	return &q.shards[maphash.String(q.seed, string(t))%uint64(len(q.shards))]
}

func (q *Queue[T]) shardOfKey(key string) *keyShard[T] {
	return &q.keyShards[maphash.String(q.seed, key)%uint64(len(q.keyShards))]
}

// Push adds an item. It returns ErrFull, ErrDuplicate or ErrTooLate, wrapped with the values that led to it.
func (q *Queue[T]) Push(i Item[T]) error { return q.push(i, true) }

// AwaitOffer waits until a call of Offer under way has ended, after which an item that it handed out is no longer in
// the queue. The function passed to Offer must not call it.
func (q *Queue[T]) AwaitOffer() {
	q.offerMu.Lock()
	defer q.offerMu.Unlock()
}

// Requeue adds an item that Offer handed out but that could not be started. Neither the team's limits nor the expected
// wait are checked, and the item keeps its position by time of arrival. It may return ErrDuplicate.
func (q *Queue[T]) Requeue(i Item[T]) error { return q.push(i, false) }

func (q *Queue[T]) push(i Item[T], check bool) error {
	now := q.config.Now()
	if i.Enqueued.IsZero() {
		i.Enqueued = now
	}
	if q.config.Baseline {
		i.Priority, i.Urgent = 0, false
	}
	s := q.shardOfTeam(i.Team)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.findOrAddTeam(i.Team)
	if check {
		if bound := q.config.MaxItems(i.Team); t.length >= bound {
			return fmt.Errorf("%w: %d items of team %s, at most %d allowed", ErrFull, t.length, i.Team, bound)
		}
		if !i.Admitted {
			if err := q.checkBytes(t, i.Bytes); err != nil {
				return err
			}
		}
		if !i.Deadline.IsZero() {
			if wait := q.expectedWait(t, i.Priority, i.Urgent, now); now.Add(wait).After(i.Deadline) {
				return fmt.Errorf("%w: the expected wait is %v, the deadline is in %v",
					ErrTooLate, wait.Round(time.Millisecond), i.Deadline.Sub(now))
			}
		}
	}
	e := &entry[T]{Item: i, team: t}
	k := q.shardOfKey(i.Key)
	k.mu.Lock()
	if _, ok := k.entries[i.Key]; ok {
		k.mu.Unlock()
		return fmt.Errorf("%w: %s", ErrDuplicate, i.Key)
	}
	k.entries[i.Key] = e
	k.mu.Unlock()
	s.link(e, now)
	q.addBytes(t, i.Bytes)
	q.urgentCount.Add(int64(e.urgencyIndex()))
	q.addLength(1, now)
	return nil
}

// checkBytes returns ErrFull when the bytes exceed what is left for all teams or for this one. The caller holds the
// lock of the shard.
func (q *Queue[T]) checkBytes(t *team[T], bytes int64) error {
	switch bound := q.config.MaxBytes; {
	case bound == 0:
		return nil
	case q.bytes.Load()+bytes > bound:
		return fmt.Errorf("%w: %d more bytes on top of %d bytes of all teams, at most %d allowed",
			ErrFull, bytes, q.bytes.Load(), bound)
	case t.bytes+bytes > bound/teamBytesDivisor:
		return fmt.Errorf("%w: %d more bytes on top of %d bytes of team %s, at most %d allowed",
			ErrFull, bytes, t.bytes, t.id, bound/teamBytesDivisor)
	}
	return nil
}

func (q *Queue[T]) addBytes(t *team[T], bytes int64) {
	t.bytes += bytes
	q.bytes.Add(bytes)
}

// Admit counts the bytes of work that waits outside the queue towards the limits, or returns ErrFull. AdjustBytes with
// a negative number releases them.
func (q *Queue[T]) Admit(id ident.TeamID, bytes int64) error {
	s := q.shardOfTeam(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.findOrAddTeam(id)
	if err := q.checkBytes(t, bytes); err != nil {
		return err
	}
	q.addBytes(t, bytes)
	return nil
}

// AdjustBytes adds to the bytes of a team's work outside the queue without a check; a negative number releases bytes.
func (q *Queue[T]) AdjustBytes(id ident.TeamID, bytes int64) {
	s := q.shardOfTeam(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	q.addBytes(s.findOrAddTeam(id), bytes)
}

// Bytes returns the bytes of all items and of the work counted by Admit and AdjustBytes.
func (q *Queue[T]) Bytes() int64 { return q.bytes.Load() }

// addLength adds n to the total number of items. The clock of the overall start rate runs only while there are items.
func (q *Queue[T]) addLength(n int, now time.Time) {
	q.totalsMu.Lock()
	defer q.totalsMu.Unlock()
	if q.length == 0 {
		q.overallRate.beginBusy(now)
	}
	q.length += n
	if q.length == 0 {
		q.overallRate.endBusy(now)
	}
}

// Remove deletes an item in constant time. It returns false when the key is not queued or the item was taken; after
// true the item is never offered. While the item is being offered, Remove waits for the verdict, so the function
// passed to Offer must not call it for the offered key.
func (q *Queue[T]) Remove(key string) bool {
	k := q.shardOfKey(key)
	k.mu.Lock()
	e, ok := k.entries[key]
	k.mu.Unlock()
	if !ok {
		return false
	}
	s := q.shardOfTeam(e.Team)
	s.mu.Lock()
	defer s.mu.Unlock()
	for e.offered {
		s.verdictApplied.Wait()
	}
	if e.removed {
		return false
	}
	q.removeEntry(s, e)
	return true
}

// removeEntry unlinks an entry and deletes its key. The caller holds the lock of the shard.
func (q *Queue[T]) removeEntry(s *shard[T], e *entry[T]) {
	now := q.config.Now()
	s.unlink(e, now)
	q.addBytes(e.team, -e.Bytes)
	q.urgentCount.Add(-int64(e.urgencyIndex()))
	k := q.shardOfKey(e.Key)
	k.mu.Lock()
	delete(k.entries, e.Key)
	k.mu.Unlock()
	q.addLength(-1, now)
}

// RemoveExpired removes and returns the items whose deadline has passed. It also deletes the state of idle teams.
func (q *Queue[T]) RemoveExpired(now time.Time) []Item[T] {
	var items []Item[T]
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, e := range s.deadlines.due(now) {
			if e.offered {
				s.deadlines.rewind(e)
				continue
			}
			q.removeEntry(s, e)
			items = append(items, e.Item)
		}
		s.forgetIdle(now)
		s.mu.Unlock()
	}
	return items
}

// Len returns the number of items.
func (q *Queue[T]) Len() int {
	q.totalsMu.Lock()
	defer q.totalsMu.Unlock()
	return q.length
}

// UrgentLen returns the number of urgent items.
func (q *Queue[T]) UrgentLen() int { return int(q.urgentCount.Load()) }

// TeamLengths returns the number of items per team, for teams with items.
func (q *Queue[T]) TeamLengths() map[ident.TeamID]int {
	lengths := map[ident.TeamID]int{}
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, t := range s.active {
			lengths[t.id] = t.length
		}
		s.mu.Unlock()
	}
	return lengths
}
