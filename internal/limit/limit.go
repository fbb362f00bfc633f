// Package limit divides each team's upper limit of running tasks into allocations, one per member. A member starts tasks
// against its own allocation, so that a start needs no message.
package limit

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
	"golang.org/x/time/rate"
)

// Error is the class of errors that New returns for invalid configurations.
var Error = errs.Class("limit")

// DefaultInterval is the pause between two attempts to increase the allocation of one team.
const DefaultInterval = time.Second

// shardCount is the number of locks. With 110 teams a shard holds about seven.
const shardCount = 16

// Config holds the settings and dependencies of an Allocator.
type Config struct {
	Store platform.Store
	// Self returns this member's entry in the view. Its ID and incarnation identify this member's allocations.
	Self func() member.Member
	View func() member.View
	// Limit returns the current upper limit of a team. A team without one starts nothing.
	Limit func(ident.TeamID) (int, bool)
	Teams func() []ident.TeamID
	// Request sends a request for some of its allocation to a member.
	Request func(ctx context.Context, to ident.MemberID, r wire.LimitRequest) (wire.LimitReply, error)
	// TasksEnded reports that certainly no task started by the incarnation runs any more, including those that other
	// members have adopted. Nil means that this is never certain.
	TasksEnded func(id ident.MemberID, incarnation ident.Incarnation) bool
	// OnIncrease is called, with no lock held, after this member's allocation of a team's limit grew, so that the caller
	// can try waiting tasks again. It may be nil.
	OnIncrease func(ident.TeamID)
	// Interval is the pause between attempts for one team; 0 means DefaultInterval.
	Interval time.Duration
	Now      func() time.Time
	Log      logr.Logger
}

// Allocator manages this member's allocations of all teams' limits.
type Allocator struct {
	config Config
	shards [shardCount]shard
	wake   chan struct{}

	readLimiter, writeLimiter, peerLimiter *rate.Limiter
	storeReads, storeWrites                atomic.Uint64
	storeConflicts, storeUnknown           atomic.Uint64
	storeErrors                            atomic.Uint64
	storeResumeAt                          atomic.Int64 // Unix nanoseconds before which background work doesn't call the store
}

// shard holds the teams whose hash maps to it. Its lock is never held during a store call or a message.
type shard struct {
	lock  sync.Mutex
	teams map[ident.TeamID]*team
}

// team is the state of one team. The fields up to demand are guarded by the shard's lock, the others by writeLock,
// which background work holds during its store calls and which the start of a task never waits for.
type team struct {
	id               ident.TeamID
	generation       uint64     // number of calls of Reset
	allocation       allocation // this member's allocation in the record last read or written
	limit            int        // limit in that record
	used             int
	adopted          int // adopted tasks whose allocation hasn't been moved here from dead members
	givenInFlight    int // amount that the write in flight gives away
	givenUncertain   int // amount that a write with an unknown outcome gave away
	handovers        []handover
	borrowedSince    ident.Epoch // see noteBorrowed; 0 when dead members may be among the lenders
	nextFloorAttempt time.Time   // earliest time of the next attempt for the floor
	demand           demand

	writeLock      chan struct{}
	cached         record
	revision       platform.Revision
	cacheValid     bool // cached and revision match the store unless another member wrote since
	uncertainWrite *change
	nextPeer       int // rotates the members to which requests are sent
}

// handover is an amount of allocation that goes to another member together with tasks.
type handover struct {
	to member.Member
	n  int
}

// New checks the configuration and returns an Allocator without allocations.
func New(c Config) (*Allocator, error) {
	switch {
	case c.Store == nil, c.Self == nil, c.View == nil, c.Limit == nil, c.Teams == nil, c.Request == nil:
		return nil, Error.New("Store, Self, View, Limit, Teams and Request must be set")
	case c.Interval < 0:
		return nil, Error.New("Interval must not be negative")
	}
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.TasksEnded == nil {
		c.TasksEnded = func(ident.MemberID, ident.Incarnation) bool { return false }
	}
	if c.OnIncrease == nil {
		c.OnIncrease = func(ident.TeamID) {}
	}
	a := &Allocator{config: c, wake: make(chan struct{}, 1)}
	a.initBudget()
	for i := range a.shards {
		a.shards[i].teams = map[ident.TeamID]*team{}
	}
	return a, nil
}

// Reserve counts n more running tasks against this member's allocation and reports whether they fit. It makes no remote
// call.
func (a *Allocator) Reserve(id ident.TeamID, n int) bool {
	limit, ok := a.config.Limit(id)
	if !ok || n < 0 {
		return false
	}
	now := a.config.Now()
	t, unlock := a.lockTeam(id)
	fits := n <= t.free(limit)
	if fits {
		t.used += n
		t.demand.recordStarts(n, now)
	} else {
		t.demand.recordMiss(n, now)
	}
	wake := t.needsMore(limit) && t.demand.shouldWake(now)
	unlock()
	if wake {
		a.wakeLoop()
	}
	return fits
}

// Cancel returns n reserved tasks that were not started. They don't count as starts: otherwise a member whose backend
// servers are full would keep allocation for starts that never happen, and members with free capacity couldn't get it.
func (a *Allocator) Cancel(id ident.TeamID, n int) {
	t, unlock := a.lockTeam(id)
	t.used = max(0, t.used-n)
	t.demand.starts = max(0, t.demand.starts-n)
	unlock()
}

// Release removes n tasks that have ended from the count. Tasks that continue under another owner are passed on with
// HandOver instead.
func (a *Allocator) Release(id ident.TeamID, n int) {
	t, unlock := a.lockTeam(id)
	tooMany := t.used < n
	t.used = max(0, t.used-n)
	unlock()
	if tooMany {
		a.config.Log.Info("more tasks released than reserved", "team", id, "tasks", n)
	}
}

// Adopt counts n running tasks of a dead member whose backend server this member now owns, even above this
// member's allocation. The background loop moves the same amount of the dead members' allocations here.
func (a *Allocator) Adopt(id ident.TeamID, n int) { a.addRunning(id, n, n) }

// Receive counts n running tasks that came with a backend server of a member in the current view. That member
// transfers their allocation with HandOver. Nothing is taken from dead members, whose allocations cover other tasks.
func (a *Allocator) Receive(id ident.TeamID, n int) { a.addRunning(id, n, 0) }

func (a *Allocator) addRunning(id ident.TeamID, n, adopted int) {
	if n <= 0 {
		return
	}
	t, unlock := a.lockTeam(id)
	if adopted == 0 {
		t.noteBorrowed(a.config.View().Epoch)
	} else {
		t.borrowedSince = 0
	}
	t.used += n
	t.adopted += adopted
	t.demand.nextAttempt = time.Time{}
	unlock()
	a.wakeLoop()
}

// HandOver passes n running tasks and the same amount of allocation to the new owner of their backend server.
// The usable allocation shrinks at once and the background loop writes the record, so that the tasks are always
// counted.
func (a *Allocator) HandOver(id ident.TeamID, n int, to member.Member) {
	if n <= 0 {
		return
	}
	t, unlock := a.lockTeam(id)
	t.planHandover(n, to)
	t.demand.nextAttempt = time.Time{}
	unlock()
	a.wakeLoop()
}

// Accept counts n tasks that a member of the view forwards together with the allocation that it reserved for them.
// They may exceed this member's allocation until that member has written its Transfer.
func (a *Allocator) Accept(id ident.TeamID, n int) bool {
	if _, ok := a.config.Limit(id); !ok || n < 0 {
		return false
	}
	t, unlock := a.lockTeam(id)
	defer unlock()
	t.noteBorrowed(a.config.View().Epoch)
	t.used += n
	t.demand.recordStarts(n, a.config.Now())
	return true
}

// Transfer gives n reserved tasks and their allocation to the member that accepted them, or may have accepted them.
// Unlike HandOver, it leaves the write to the next regular attempt, because otherwise each forwarded task would cost
// a write.
func (a *Allocator) Transfer(id ident.TeamID, n int, to member.Member) {
	t, unlock := a.lockTeam(id)
	defer unlock()
	t.demand.starts = max(0, t.demand.starts-n)
	t.planHandover(n, to)
}

// Allocation returns this member's allocation that may be used for starts now, and the number of tasks that count
// against it. The number can exceed the allocation after Adopt.
func (a *Allocator) Allocation(id ident.TeamID) (usable, used int) {
	limit, _ := a.config.Limit(id)
	t, unlock := a.lockTeam(id)
	defer unlock()
	return t.usable(limit), t.used
}

// Reset discards all allocations and task counts after this member's incarnation was removed from the view. The
// allocations stay reserved in the store under that incarnation.
func (a *Allocator) Reset() {
	for i := range a.shards {
		sh := &a.shards[i]
		sh.lock.Lock()
		for _, t := range sh.teams {
			t.generation++
			t.allocation, t.limit, t.used, t.adopted, t.handovers = allocation{}, 0, 0, 0, nil
			t.givenInFlight, t.givenUncertain = 0, 0
			t.demand, t.nextFloorAttempt = demand{}, time.Time{}
		}
		sh.lock.Unlock()
	}
}

// usable is the allocation that allows starts under the current limit, which may be lower than the limit in the
// record.
func (t *team) usable(limit int) int {
	return max(0, scale(t.allocation.Size-t.allocation.Excess, limit, t.limit)-t.givenInFlight-t.givenUncertain-t.pendingHandover())
}

// planHandover stops counting n tasks and schedules the handover of their allocation. A member with a deficit owes
// that allocation until it gets the allocations for its own tasks. Otherwise it would start tasks on them, and the
// receiver's tasks would never be covered.
func (t *team) planHandover(n int, to member.Member) {
	t.used = max(0, t.used-n)
	t.handovers = append(t.handovers, handover{to: to, n: n})
}

// completeHandovers removes the written amounts from the pending handovers. The last one may have been written
// partially.
func (t *team) completeHandovers(done []handover) {
	for _, h := range done {
		if len(t.handovers) == 0 {
			return
		}
		if t.handovers[0].n -= h.n; t.handovers[0].n <= 0 {
			t.handovers = t.handovers[1:]
		}
	}
}

// deficit is the number of tasks above this member's allocation; negative if there are fewer.
func (t *team) deficit() int {
	return t.used - (t.allocation.Size - t.givenInFlight - t.givenUncertain - t.pendingHandover())
}

// noteBorrowed records that tasks are about to be counted against another member's allocation. borrowedSince is the
// epoch of the view since which the tasks above this member's allocation count against live members. The oldest epoch is
// kept while there are such tasks.
func (t *team) noteBorrowed(epoch ident.Epoch) {
	if t.deficit() <= 0 {
		t.borrowedSince = epoch
	}
}

// pendingHandover is the sum of the handovers that haven't been written yet.
func (t *team) pendingHandover() int {
	n := 0
	for _, h := range t.handovers {
		n += h.n
	}
	return n
}

// lockTeam locks the shard of a team and returns the team's state and the function that unlocks the shard.
func (a *Allocator) lockTeam(id ident.TeamID) (*team, func()) {
	sh := &a.shards[xxh3.HashString(string(id))%shardCount]
	sh.lock.Lock()
	t, ok := sh.teams[id]
	if !ok {
		t = &team{id: id, writeLock: make(chan struct{}, 1)}
		sh.teams[id] = t
	}
	return t, sh.lock.Unlock
}

// wakeLoop wakes the background loop.
func (a *Allocator) wakeLoop() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
