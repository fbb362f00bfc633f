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
	// DefaultDrift bounds the drift of two clocks over a lease plus the handling time of a renewal.
	DefaultDrift = 500 * time.Millisecond
	// DefaultHostsInterval leaves two of the 3 s in which a leaving host must stop receiving work.
	DefaultHostsInterval = time.Second
	// DefaultViewLag bounds the age of the view while the store is healthy.
	DefaultViewLag = 3 * time.Second
	// DefaultControlBytesPerSecond is the limit of 9 KB/s less a margin for summaries, membership and configuration.
	DefaultControlBytesPerSecond = 7000
)

// BytesPerExchange is the size of one idle poll with its reply on a kept connection. TestBytesPerExchange measured 612
// bytes with long identifiers, of which 208 are estimated IP and TCP headers.
const BytesPerExchange = 640

const (
	// leaseIntervals is the length of a lease in renewal intervals, so that two lost renewals don't end it.
	leaseIntervals = 3
	// callTimeout bounds an attach, and a poll beyond its wait.
	callTimeout = 2 * time.Second
	// acknowledgeSoon is the number of waiting acknowledgements that interrupts a poll.
	acknowledgeSoon = 64
	// acknowledgeBatch bounds the acknowledgements of one poll to a few kilobytes.
	acknowledgeBatch = 256
	// shardCount spreads the lock contention of starts at different hosts.
	shardCount = 32
)

// ErrNotOwner reports that this member isn't attached to the backend server; the call was not sent.
var ErrNotOwner = errors.New("backend server isn't attached by this member")

// DetachReason says why a backend server was given up.
type DetachReason string

// Reasons of a detach.
const (
	Moved   DetachReason = "moved"   // another owner took over; the tasks may still run
	Lapsed  DetachReason = "lapsed"  // all tasks have certainly stopped
	Dropped DetachReason = "dropped" // the own incarnation was removed; the tasks may still run
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
	Drift                 time.Duration // clock drift over a lease
	HostsInterval         time.Duration // between two reads of the host list
	ViewLag               time.Duration // age of the view while the store is healthy
	ControlBytesPerSecond int           // budget of the renewals
	Now                   func() time.Time
	Jitter                func() float64 // uniform in [0, 1)
	Log                   logr.Logger
}

// Table keeps the backend servers that this member owns. It is safe for concurrent use.
type Table struct {
	config    Config
	shards    [shardCount]shard
	seed      maphash.Seed
	attaches  atomic.Uint64 // number of the last attach
	polled    atomic.Int64  // hosts that are polled, which sets the renewal interval
	mostHosts atomic.Int64  // length of the longest host list so far
	drops     atomic.Uint64 // number of Drop calls
	wake      chan struct{} // asks for a reconciliation

	refreshing  sync.Mutex // held over a read of the view
	refreshes   atomic.Uint64
	refreshFail error // of the last read; guarded by refreshing

	mu        sync.Mutex // guards the fields below and the set of entries; never held over a network call or an event
	hosts     map[ident.HostID]platform.Host
	loaded    bool              // the host list was read
	epoch     ident.Epoch       // of the view that the entries reflect
	member    ident.Incarnation // own incarnation that the entries belong to
	dropped   ident.Incarnation // this one and older ones own nothing
	suspects  map[ident.MemberID]int
	unhealthy time.Time // last time at which the store wasn't healthy
	ending    map[ident.HostID]chan struct{}
	loops     sync.WaitGroup
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
	orDefault(&c.Drift, DefaultDrift)
	orDefault(&c.HostsInterval, DefaultHostsInterval)
	orDefault(&c.ViewLag, DefaultViewLag)
	orDefault(&c.ControlBytesPerSecond, DefaultControlBytesPerSecond)
	switch {
	case c.MaxRenewal < c.MinRenewal:
		return nil, Error.New("MaxRenewal %v is below MinRenewal %v", c.MaxRenewal, c.MinRenewal)
	case c.Drift >= c.MinRenewal:
		return nil, Error.New("Drift %v must be below MinRenewal %v", c.Drift, c.MinRenewal)
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
		hosts: map[ident.HostID]platform.Host{}, ending: map[ident.HostID]chan struct{}{},
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

// each calls do for every entry under its shard's lock.
func (t *Table) each(do func(*entry)) {
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
func (t *Table) ViewChanged() { poke(t.wake) }

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
