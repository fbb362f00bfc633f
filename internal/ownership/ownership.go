// Package ownership assigns backend servers to members, attaches to those that this member owns and renews their leases.
package ownership

import (
	"context"
	"errors"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Error is the class of the errors that New returns for an invalid Config.
var Error = errs.Class("ownership")

// Defaults of Config.
const (
	// DefaultMinRenewal gives a lease of 15 s, which outlasts the replacement of a dead owner by several seconds.
	DefaultMinRenewal = 5 * time.Second
	// DefaultMaxRenewal bounds the time until a task of a dead host may be restarted.
	DefaultMaxRenewal = 2 * time.Minute
	// DefaultClockDrift bounds the drift between two clocks over a lease plus the processing time of a renewal.
	DefaultClockDrift = 500 * time.Millisecond
	// DefaultHostsInterval leaves two of the 3 s in which a leaving host must stop receiving work.
	DefaultHostsInterval = time.Second
	// DefaultMaxViewLag bounds the age of a member's view while the store is healthy.
	DefaultMaxViewLag = 3 * time.Second
	// DefaultControlBytesPerSecond is the control traffic limit of 9 KB/s minus a margin for summaries, membership
	// and configuration.
	DefaultControlBytesPerSecond = 7000
)

// BytesPerExchange is the size of an idle poll and its reply on a reused connection, rounded up: 612 bytes with long
// identifiers, of which 208 are estimated IP and TCP headers. TestBytesPerExchange checks it.
const BytesPerExchange = 640

const (
	// renewalsPerLease is the length of a lease in renewal intervals, so that two lost renewals don't end it.
	renewalsPerLease = 3
	// callTimeout bounds an attach, and the time that a poll may take beyond its requested wait.
	callTimeout = 2 * time.Second
	// acknowledgementFlushSize is the number of pending acknowledgements at which the poll in flight is cancelled
	// to send them.
	acknowledgementFlushSize = 64
	// maxAcknowledgementsPerPoll bounds the size of the acknowledgements in one poll to a few kilobytes.
	maxAcknowledgementsPerPoll = 256
	// shardCount reduces lock contention between starts on different hosts.
	shardCount = 32
)

// ErrNotOwner reports that this member isn't attached to the backend server; the call was not sent.
var ErrNotOwner = errors.New("this member isn't attached to the backend server")

// DetachReason says why this member is no longer attached to a backend server.
type DetachReason string

// Reasons for a detach.
const (
	DetachMoved   DetachReason = "moved"   // another owner took over; the tasks may still run
	DetachLapsed  DetachReason = "lapsed"  // no lease can be left, so all tasks have stopped
	DetachDropped DetachReason = "dropped" // this member's incarnation was removed from the view; the tasks may still run
)

// Events are the callbacks of a Table. Calls for one host never overlap and come in the order of the events; no lock
// is held. A second Attached for a host replaces its inventory. Finished may repeat a result until the result is
// acknowledged, and comes without Attached from a host for which this member is the caretaker.
type Events struct {
	Attached func(host platform.Host, inventory backend.Inventory)
	Updated  func(host ident.HostID, reply backend.PollReply)
	Finished func(host ident.HostID, result backend.Result)
	Detached func(host ident.HostID, reason DetachReason)
}

// Config holds the dependencies of a Table; the functions are required, the other fields have defaults. The renewal
// settings must be the same at every member, because each member computes the longest lease that the others can grant.
type Config struct {
	Self         func() member.Member
	View         func() member.View
	Refresh      func(ctx context.Context) error // reads the view from the store; View is then no older than the call
	StoreHealthy func() bool
	Isolated     func() bool // stops attaches and renewals while true; nil means never
	Hosts        func(ctx context.Context) ([]platform.Host, error)
	Dial         func(platform.Host) backend.Server // returns a client without making a call
	Events       Events
	Probe        func(ctx context.Context, id ident.MemberID) error // returns nil when the member answers

	MinRenewal            time.Duration // shortest renewal interval
	MaxRenewal            time.Duration // longest renewal interval
	ClockDrift            time.Duration // bound of the clock drift over a lease
	HostsInterval         time.Duration // interval of host list reads, and of probes while the store is down
	MaxViewLag            time.Duration // bound of the view's age while the store is healthy
	ControlBytesPerSecond int           // traffic budget of the lease renewals
	Now                   func() time.Time
	Jitter                func() float64 // uniform in [0, 1)
	Log                   logr.Logger
}

// Table tracks the backend servers that this member owns or is caretaker of. It is safe for concurrent use.
type Table struct {
	config       Config
	shards       [shardCount]shard
	seed         maphash.Seed
	lastAttach   atomic.Uint64 // sequence number of the last attach
	polledHosts  atomic.Int64  // number of polled hosts; determines the renewal interval
	maxHostCount atomic.Int64  // length of the longest host list seen so far
	dropCount    atomic.Uint64 // number of Drop calls
	wake         chan struct{} // requests a reconciliation

	refreshMu    sync.Mutex // held during a read of the view
	refreshCount atomic.Uint64
	refreshErr   error // result of the last read; guarded by refreshMu

	mu                 sync.Mutex // guards the fields below and the set of entries; never held over a network call or an event
	hosts              map[ident.HostID]platform.Host
	hostsLoaded        bool              // the host list was read at least once
	epoch              ident.Epoch       // of the view that the entries reflect
	incarnation        ident.Incarnation // incarnation of this member that the entries belong to
	droppedIncarnation ident.Incarnation // this incarnation and older ones own nothing
	failedProbes       map[ident.MemberID]int
	lastUnhealthy      time.Time // last time at which the store was seen unhealthy
	loopDone           map[ident.HostID]chan struct{}
	loops              sync.WaitGroup
}

type shard struct {
	mu      sync.Mutex
	entries map[ident.HostID]*entry
}

// New checks the configuration and returns a table that owns no backend servers until Run is called.
func New(c Config) (*Table, error) {
	for name, missing := range map[string]bool{
		"Self": c.Self == nil, "View": c.View == nil, "Refresh": c.Refresh == nil, "StoreHealthy": c.StoreHealthy == nil,
		"Hosts": c.Hosts == nil, "Dial": c.Dial == nil, "Probe": c.Probe == nil, "Events.Attached": c.Events.Attached == nil,
		"Events.Updated": c.Events.Updated == nil, "Events.Finished": c.Events.Finished == nil,
		"Events.Detached": c.Events.Detached == nil,
	} {
		if missing {
			return nil, Error.New("Config.%s is not set", name)
		}
	}
	orDefault(&c.MinRenewal, DefaultMinRenewal)
	orDefault(&c.MaxRenewal, DefaultMaxRenewal)
	orDefault(&c.ClockDrift, DefaultClockDrift)
	orDefault(&c.HostsInterval, DefaultHostsInterval)
	orDefault(&c.MaxViewLag, DefaultMaxViewLag)
	orDefault(&c.ControlBytesPerSecond, DefaultControlBytesPerSecond)
	switch {
	case c.MaxRenewal < c.MinRenewal:
		return nil, Error.New("MaxRenewal %v is below MinRenewal %v", c.MaxRenewal, c.MinRenewal)
	case c.ClockDrift >= c.MinRenewal:
		return nil, Error.New("ClockDrift %v must be below MinRenewal %v", c.ClockDrift, c.MinRenewal)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Isolated == nil {
		c.Isolated = func() bool { return false }
	}
	if c.Jitter == nil {
		c.Jitter = rand.Float64
	}
	if c.Log.GetSink() == nil {
		c.Log = logr.Discard()
	}
	t := &Table{
		config: c, seed: maphash.MakeSeed(), wake: make(chan struct{}, 1),
		hosts: map[ident.HostID]platform.Host{}, loopDone: map[ident.HostID]chan struct{}{},
	}
	for i := range t.shards {
		t.shards[i].entries = map[ident.HostID]*entry{}
	}
	return t, nil
}

func orDefault[T time.Duration | int](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func (t *Table) shard(host ident.HostID) *shard {
	return &t.shards[maphash.String(t.seed, string(host))%shardCount]
}

// forEachEntry calls do for every entry, holding the lock of its shard.
func (t *Table) forEachEntry(do func(*entry)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			do(e)
		}
		s.mu.Unlock()
	}
}

// ViewChanged requests a reconciliation with the current view and returns at once.
func (t *Table) ViewChanged() { notify(t.wake) }

// notify sends a wake-up without blocking; one that is already pending is enough.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
