// Package limit splits each team's upper limit among the members, so that a start needs no message.
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

// Error is the class of configurations that New refuses.
var Error = errs.Class("limit")

// DefaultInterval is the pause between two attempts to get more of one team's limit.
const DefaultInterval = time.Second

// shardCount is the number of locks; with 110 teams a shard holds about seven.
const shardCount = 16

// Config has the settings and dependencies of a Split.
type Config struct {
	Store platform.Store
	// Self returns the own member entry; its incarnation names the own part.
	Self func() member.Member
	View func() member.View
	// Limit returns the team's upper limit in force; a team without one starts nothing.
	Limit func(ident.TeamID) (int, bool)
	Teams func() []ident.TeamID
	// Request sends a request to a member.
	Request func(ctx context.Context, to ident.MemberID, r wire.LimitRequest) (wire.LimitReply, error)
	// TasksEnded reports that certainly no task started by the incarnation runs any more, adopted ones included. Nil
	// means that this is never certain.
	TasksEnded func(id ident.MemberID, incarnation ident.Incarnation) bool
	// OnIncrease is called without a lock after the own part of a team grew, so that waiting tasks can be tried again; it
	// may be nil.
	OnIncrease func(ident.TeamID)
	// Interval is the pause between attempts for one team; 0 means DefaultInterval.
	Interval time.Duration
	Now      func() time.Time
	Log      logr.Logger
}

// Allocator is this member's side of the split of all teams' limits.
type Allocator struct {
	config Config
	shards [shardCount]shard
	wake   chan struct{}

	readLimiter, writeLimiter, peerLimiter *rate.Limiter
	storeReads, storeWrites                atomic.Uint64
	storeConflicts, storeUnknown           atomic.Uint64
	storeErrors                            atomic.Uint64
	storeResumeAt                          atomic.Int64 // unix nanoseconds before which the store isn't called in the background
}

// shard holds the teams whose hash falls on it. Its lock is never held over a store call or a message.
type shard struct {
	lock  sync.Mutex
	teams map[ident.TeamID]*team
}

// team is the state of one team. The fields up to demand are guarded by the shard's lock, the others by holding
// writer, which background work holds over its store calls and the path of a start never waits for.
type team struct {
	id               ident.TeamID
	generation       uint64     // counts calls of Dropped
	allocation       allocation // own share in the record read or written last
	limit            int        // limit of that record
	used             int
	adopted          int // adopted tasks whose part hasn't been moved from dead members
	givenInFlight    int // part of the own share that the write in flight gives away
	givenUncertain   int // part of the own share that a write without known outcome gave away
	handovers        []handover
	borrowedSince    ident.Epoch // view since which tasks above the own part belong to live members; 0 when dead ones may be among them
	nextFloorAttempt time.Time   // earliest next attempt for the floor
	demand           demand

	writeLock      chan struct{}
	cached         record
	revision       platform.Revision
	cacheValid     bool // rec and revision are those of the store unless someone wrote since
	uncertainWrite *change
	nextPeer       int // rotates the members that are asked
}

// handover is a part that goes to another member together with tasks.
type handover struct {
	to member.Member
	n  int
}

// New checks the configuration and returns a split without parts.
func New(c Config) (*Allocator, error) {
	switch {
	case c.Store == nil, c.Self == nil, c.View == nil, c.Limit == nil, c.Teams == nil, c.Request == nil:
		return nil, Error.New("Store, Self, View, Limit, Teams and Ask must be set")
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

// Reserve counts n more running tasks against the own part and reports whether they fit. It makes no call.
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

// Cancel gives back n reserved tasks that were not started. They don't count as starts: a member without room would
// otherwise keep a part for starts that never happen from members that have room.
func (a *Allocator) Cancel(id ident.TeamID, n int) {
	t, unlock := a.lockTeam(id)
	t.used = max(0, t.used-n)
	t.demand.starts = max(0, t.demand.starts-n)
	unlock()
}

// Release counts n tasks that ended. Tasks that continue under another owner are passed on with Handover instead.
func (a *Allocator) Release(id ident.TeamID, n int) {
	t, unlock := a.lockTeam(id)
	tooMany := t.used < n
	t.used = max(0, t.used-n)
	unlock()
	if tooMany {
		a.config.Log.Info("more tasks released than reserved", "team", id, "tasks", n)
	}
}

// Adopt counts n running tasks of a dead member that came with a backend server, even above the own part. The
// background loop moves as much of the dead members' parts here.
func (a *Allocator) Adopt(id ident.TeamID, n int) { a.addRunning(id, n, n) }

// Receive counts n running tasks that came with a backend server of a member that is still in the view, which passes
// on its part with Handover. It takes nothing from dead members, whose parts reserve other tasks.
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

// HandOver passes n running tasks and as much of the own part on to the new owner of their backend server. The part
// is lowered at once and written by the background loop, so that the tasks never stop being counted.
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

// Accept counts n tasks that a member of the view hands over on a part that it reserved for them, above the own part
// until the member's Pass is written.
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

// Transfer gives n reserved tasks and their part to the member that accepted them, or may have. Unlike Handover it leaves
// the write to the next regular attempt, because each forwarded task would otherwise cost a write.
func (a *Allocator) Transfer(id ident.TeamID, n int, to member.Member) {
	t, unlock := a.lockTeam(id)
	defer unlock()
	t.demand.starts = max(0, t.demand.starts-n)
	t.planHandover(n, to)
}

// Allocation returns the own part that allows starts now and how much of it is used; used exceeds part after Adopt.
func (a *Allocator) Allocation(id ident.TeamID) (part, used int) {
	limit, _ := a.config.Limit(id)
	t, unlock := a.lockTeam(id)
	defer unlock()
	return t.usable(limit), t.used
}

// Reset forgets all parts and tasks after the own incarnation was removed from the view. The parts stay reserved in
// the store under that incarnation.
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

// usable is the part that allows starts under the limit in force, which may be lower than the record's.
func (t *team) usable(limit int) int {
	return max(0, scale(t.allocation.Size-t.allocation.Excess, limit, t.limit)-t.givenInFlight-t.givenUncertain-t.pendingHandover())
}

// planHandover ends the count of n tasks and plans to hand over their part. A member that is short owes it until it gets the
// parts of its own tasks; otherwise it would start tasks on them, and the receiver would never be covered.
func (t *team) planHandover(n int, to member.Member) {
	t.used = max(0, t.used-n)
	t.handovers = append(t.handovers, handover{to: to, n: n})
}

// completeHandovers removes what was written from the planned handovers. The last one may have been written in part.
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

// deficit is the number of tasks above the own part; negative when there are fewer.
func (t *team) deficit() int {
	return t.used - (t.allocation.Size - t.givenInFlight - t.givenUncertain - t.pendingHandover())
}

// noteBorrowed notes that tasks are about to be counted on another member's part. The oldest epoch is kept while any are.
func (t *team) noteBorrowed(epoch ident.Epoch) {
	if t.deficit() <= 0 {
		t.borrowedSince = epoch
	}
}

// pendingHandover is the sum of the handovers that aren't written yet.
func (t *team) pendingHandover() int {
	n := 0
	for _, h := range t.handovers {
		n += h.n
	}
	return n
}

// lockTeam returns the team's state with its shard lockTeam.
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
