// Package member maintains the view of a cell's members: one store record that is changed only by compare-and-swap.
//
// Store calls per member in the steady state: one lease renewal per Interval and two long polls (the record and the
// presence keys) per ten intervals, so 1.2 calls per interval; with an Interval of 1 s and nine members the store sees
// 11 calls/s. Each change of the view costs every member one more poll. A removal costs its evaluator one list and one
// compare-and-swap. Joining costs one grant, two compare-and-swaps and two or three reads.
package member

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Keys of the store.
const (
	KeyMembers     = "members"
	PrefixPresence = "alive/"
)

// Defaults of Config.
const (
	DefaultLeaseTTL     = 3 * time.Second
	DefaultInterval     = time.Second
	DefaultProbeTimeout = 500 * time.Millisecond
	// longPollIntervals is the length of a long poll in intervals.
	longPollIntervals = 10
)

// ErrReplaced reports that another process joined with the same id; this process must not rejoin.
var ErrReplaced = errors.New("another process with the same member id has joined")

// Config configures a Group.
type Config struct {
	Store        platform.Store
	Self         Member        // id, address, data centre and region; state and incarnation are set by the group
	LeaseTTL     time.Duration // time to live of the presence lease, at least twice Interval
	Interval     time.Duration // time between renewals and between evaluations
	ProbeTimeout time.Duration // longest duration of one probe
	// Probe asks the member itself whether it is alive.
	Probe func(ctx context.Context, m Member) error
	// ProbeVia asks another member to probe the target; nil means direct probes only.
	ProbeVia func(ctx context.Context, via, target Member) error
	Now      func() time.Time // nil means time.Now
	Log      logr.Logger
}

// snapshot is the state that readers load without a lock; it is replaced as a whole.
type snapshot struct {
	view   View
	self   Member
	joined bool
}

// Group makes this process a member of the cell and keeps its view of all members up to date.
type Group struct {
	config      Config
	store       *trackedStore
	health      *health
	instance    string // identifies this process in its record entry and presence key
	snapshot    atomic.Pointer[snapshot]
	draining    atomic.Bool
	leaving     atomic.Bool
	isolated    atomic.Bool
	viewChanged chan struct{} // wakes callbackLoop
	maintainNow chan struct{} // wakes maintainLoop

	updateMu sync.Mutex // serialises the updates of the record by this process

	mu             sync.Mutex // guards the fields below
	newestRecord   record     // newest record read
	newestRevision platform.Revision
	removalPending bool // the callbacks of OnRemoved have not returned yet
	replaced       bool
	onChange       []func(View)
	onRemoved      []func()

	presence      presence
	presenceCache presenceCache
	counters      counters
}

// counters count events since the start, for the state dump.
type counters struct {
	changes, conflicts, resolvedWrites, removals, unreachable, restored, clockGaps atomic.Uint64
}

// New checks the configuration and returns a group that has not joined yet.
func New(c Config) (*Group, error) {
	c.LeaseTTL = cmp.Or(c.LeaseTTL, DefaultLeaseTTL)
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Log.GetSink() == nil {
		c.Log = logr.Discard()
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("member: %w", err)
	}
	c.Self.Incarnation, c.Self.State = 0, Active
	h := &health{now: c.Now, maxSilence: c.LeaseTTL}
	g := &Group{
		config: c, health: h, instance: ident.Random("instance"),
		store:       &trackedStore{store: c.Store, health: h, timeout: c.LeaseTTL / 2},
		viewChanged: make(chan struct{}, 1), maintainNow: make(chan struct{}, 1),
	}
	g.presenceCache.init()
	g.snapshot.Store(&snapshot{self: c.Self})
	return g, nil
}

func (c Config) validate() error {
	switch {
	case c.Store == nil:
		return errors.New("store is not set")
	case c.Probe == nil:
		return errors.New("probe is not set")
	case c.Self.Address == "":
		return errors.New("address is not set")
	case c.Interval < 0 || c.ProbeTimeout < 0:
		return fmt.Errorf("interval %v and probe timeout %v must be positive", c.Interval, c.ProbeTimeout)
	case c.LeaseTTL < 2*c.Interval:
		return fmt.Errorf("lease time to live %v must be at least twice the interval %v", c.LeaseTTL, c.Interval)
	}
	return errors.Join(
		ident.Check("id", string(c.Self.ID)),
		ident.Check("data-centre", string(c.Self.DataCentre)),
		ident.Check("region", string(c.Self.Region)),
	)
}

// Run joins and stays a member until ctx ends, then returns nil. It returns ErrReplaced when another process has
// joined with the same id. It doesn't leave the view; see Leave.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{
		g.maintainLoop, g.watchRecord, g.watchPresence, g.evaluateLoop, g.watchIsolation, g.callbackLoop,
	} {
		group.Go(func() error { return loop(ctx) })
	}
	return group.Wait()
}

// View returns the newest view known; its epoch never decreases.
func (g *Group) View() View { return g.snapshot.Load().view }

// Self returns this member's entry in the view; the incarnation is 0 before the first join.
func (g *Group) Self() Member { return g.snapshot.Load().self }

// Joined reports whether the view holds the current incarnation of this member.
func (g *Group) Joined() bool { return g.snapshot.Load().joined }

// StoreHealthy reports whether the last store call succeeded within one lease period.
func (g *Group) StoreHealthy() bool { return g.health.healthy() }

// OnChange registers a callback for new views, to be called before Run. Callbacks run one after another; when
// several views arrive during a callback only the newest is delivered.
func (g *Group) OnChange(f func(View)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onChange = append(g.onChange, f)
}

// OnRemoved registers a callback for the removal of this incarnation, to be called before Run. The member rejoins
// after all callbacks have returned.
func (g *Group) OnRemoved(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onRemoved = append(g.onRemoved, f)
}

// callbackLoop runs the callbacks after each change of the view until ctx ends.
func (g *Group) callbackLoop(ctx context.Context) error {
	var last ident.Epoch
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.viewChanged:
			last = g.runCallbacks(last)
		}
	}
}

// runCallbacks runs the callbacks of OnRemoved after a removal, and those of OnChange if the view is newer than the epoch
// last. It returns the newest epoch delivered.
func (g *Group) runCallbacks(last ident.Epoch) ident.Epoch {
	g.mu.Lock()
	view, removed, onChange, onRemoved := g.View(), g.removalPending, g.onChange, g.onRemoved
	g.mu.Unlock()
	if removed {
		for _, f := range onRemoved {
			f()
		}
		g.mu.Lock()
		g.removalPending = false
		g.mu.Unlock()
		wake(g.maintainNow)
	}
	if view.Epoch > last {
		for _, f := range onChange {
			f(view)
		}
	}
	return max(view.Epoch, last)
}

// wake signals a channel of capacity one without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
