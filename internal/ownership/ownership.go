// Package ownership assigns backend servers to members, attaches to the own ones and keeps their leases.
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

// Error is the class of configurations that New refuses.
var Error = errs.Class("ownership")

// Defaults of Config.
const (
	// DefaultMinRenewal gives a lease of 15 s, which outlasts the replacement of a dead owner by several seconds.
	DefaultMinRenewal = 5 * time.Second
	// DefaultMaxRenewal bounds the time until a task of a dead host may be restarted.
	DefaultMaxRenewal = 2 * time.Minute
	// DefaultClockDrift bounds the drift of two clocks over a lease plus the handling time of a renewal.
	DefaultClockDrift = 500 * time.Millisecond
	// DefaultHostsInterval leaves two of the 3 s in which a leaving host must stop receiving work.
	DefaultHostsInterval = time.Second
	// DefaultMaxViewLag bounds the age of the view while the store is healthy.
	DefaultMaxViewLag = 3 * time.Second
	// DefaultControlBytesPerSecond is the limit of 9 KB/s less a margin for summaries, membership and configuration.
	DefaultControlBytesPerSecond = 7000
)

// BytesPerExchange is the size of one idle poll with its reply on a kept connection. TestBytesPerExchange measured 612
// bytes with long identifiers, of which 208 are estimated IP and TCP headers.
const BytesPerExchange = 640

const (
	// renewalsPerLease is the length of a lease in renewal intervals, so that two lost renewals don't end it.
	renewalsPerLease = 3
	// callTimeout bounds an attach, and a poll beyond its wait.
	callTimeout = 2 * time.Second
	// acknowledgementFlushSize is the number of waiting acknowledgements that interrupts a poll.
	acknowledgementFlushSize = 64
	// maxAcknowledgementsPerPoll bounds the acknowledgements of one poll to a few kilobytes.
	maxAcknowledgementsPerPoll = 256
	// shardCount spreads the lock contention of starts at different hosts.
	shardCount = 32
)

// ErrNotOwner reports that this member isn't attached to the backend server; the call was not sent.
var ErrNotOwner = errors.New("backend server isn't attached by this member")

// DetachReason says why a backend server was given up.
type DetachReason string

// Reasons of a detach.
const (
	DetachMoved   DetachReason = "moved"   // another owner took over; the tasks may still run
	DetachLapsed  DetachReason = "lapsed"  // all tasks have certainly stopped
	DetachDropped DetachReason = "dropped" // the own incarnation was removed; the tasks may still run
)

// Events are the callbacks of a Table. Calls for one host never overlap and come in the order of the events; no lock
// is held. Attached for a host that is attached already replaces its inventory. Finished may repeat a result until
// it is acknowledged, and comes without Attached from a host that this member is caretaker of.
type Events struct {
	Attached func(host platform.Host, inventory backend.Inventory)
	Updated  func(host ident.HostID, reply backend.PollReply)
	Finished func(host ident.HostID, result backend.Result)
	Detached func(host ident.HostID, reason DetachReason)
}

// Config holds the dependencies of a Table; the functions are required, the other fields have defaults. The renewal
// settings must be the same at every member, because each one computes how long the others' leases can last.
type Config struct {
	Self         func() member.Member
	View         func() member.View
	Refresh      func(ctx context.Context) error // reads the view from the store, so that View is no older than the call
	StoreHealthy func() bool
	Isolated     func() bool // stops attaches and renewals while true; nil means never
	Hosts        func(ctx context.Context) ([]platform.Host, error)
	Dial         func(platform.Host) backend.Server // makes no call
	Events       Events
	Probe        func(ctx context.Context, id ident.MemberID) error // nil when the member answers

	MinRenewal            time.Duration // shortest renewal interval
	MaxRenewal            time.Duration // longest renewal interval
	ClockDrift            time.Duration // clock drift over a lease
	HostsInterval         time.Duration // between two reads of the host list
	MaxViewLag            time.Duration // age of the view while the store is healthy
	ControlBytesPerSecond int           // budget of the renewals
	Now                   func() time.Time
	Jitter                func() float64 // uniform in [0, 1)
	Log                   logr.Logger
}

// Table keeps the backend servers that this member owns. It is safe for concurrent use.
type Table struct {
	config       Config
	shards       [shardCount]shard
	seed         maphash.Seed
	lastAttach   atomic.Uint64 // number of the last attach
	polledHosts  atomic.Int64  // hosts that are polled, which sets the renewal interval
	maxHostCount atomic.Int64  // length of the longest host list so far
	dropCount    atomic.Uint64 // number of Drop calls
	wake         chan struct{} // asks for a reconciliation

	refreshMu    sync.Mutex // held over a read of the view
	refreshCount atomic.Uint64
	refreshErr   error // of the last read; guarded by refreshing

	mu                 sync.Mutex // guards the fields below and the set of entries; never held over a network call or an event
	hosts              map[ident.HostID]platform.Host
	hostsLoaded        bool              // the host list was read
	epoch              ident.Epoch       // of the view that the entries reflect
	incarnation        ident.Incarnation // own incarnation that the entries belong to
	droppedIncarnation ident.Incarnation // this one and older ones own nothing
	failedProbes       map[ident.MemberID]int
	lastUnhealthy      time.Time // last time at which the store wasn't healthy
	loopDone           map[ident.HostID]chan struct{}
	loops              sync.WaitGroup
}

type shard struct {
	mu      sync.Mutex
	entries map[ident.HostID]*entry
}

// New checks the configuration and returns a table that owns nothing until Run.
func New(c Config) (*Table, error) {
	for name, missing := range map[string]bool{
		"Self": c.Self == nil, "View": c.View == nil, "Refresh": c.Refresh == nil, "StoreHealthy": c.StoreHealthy == nil, "Hosts": c.Hosts == nil,
		"Dial": c.Dial == nil, "Probe": c.Probe == nil, "Events.Attached": c.Events.Attached == nil,
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
		return nil, Error.New("Drift %v must be below MinRenewal %v", c.ClockDrift, c.MinRenewal)
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

// forEachEntry calls do for every entry under its shard's lock.
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

// ViewChanged asks for a reconciliation with the present view and returns at once.
func (t *Table) ViewChanged() { notify(t.wake) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
