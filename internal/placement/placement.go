// Package placement assigns tasks to backend servers. It tracks the capacity, the free capacity and the attempts of
// the backend servers that this daemon owns.
package placement

import (
	"cmp"
	"errors"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Error is the class of errors that New returns for an invalid configuration.
var Error = errs.Class("placement")

var (
	// ErrDuplicate reports that the attempt is already placed on a host.
	ErrDuplicate = errors.New("attempt is already placed")
	// ErrNoReservation reports that the reservation of a gang does not exist, has expired or covers too few tasks.
	ErrNoReservation = errors.New("gang has no valid reservation")
	// ErrNoVictims reports that no host has enough lower-priority work that may be preempted.
	ErrNoVictims = errors.New("no host has enough lower-priority work to preempt")
)

// DefaultShards is the default number of shards. Each shard holds a part of the hosts under its own lock and index.
const DefaultShards = 8

// Config configures a Pool.
type Config struct {
	Shards int // 0 means DefaultShards
	// BlockReason returns why a host takes no new work, for instance a quarantine, or an empty string. It must not
	// call the pool.
	BlockReason func(ident.HostID) string
	// KindOf returns the kind of the work in a queue. An inventory does not name the kind of its attempts; without
	// KindOf they are ignored when new tasks of their jobs are spread. It must not call the pool.
	KindOf func(ident.QueueID) api.Kind
	// Baseline places each task on a random host with enough free capacity and never preempts. The load driver sets it
	// to compare the placement policy with a simple one.
	Baseline bool
	Seed     uint64 // of the random sequence that varies where a search starts
	Now      func() time.Time
}

// Request describes a task to place.
type Request struct {
	Attempt       ident.AttemptID
	Job           ident.JobID
	Index         int
	Team          ident.TeamID
	Queue         ident.QueueID
	Kind          api.Kind
	Demand        resource.Vector
	Priority      int
	NonIdempotent bool
	Urgent        bool
	Avoid         []ident.HostID
	Task          backend.Task // stored without its payload, for Find, Attempts and Detach
}

// task returns the request's Task with the fields of the request copied into it.
func (r *Request) task() backend.Task {
	t := r.Task
	t.Attempt, t.Job, t.Index, t.Team, t.Queue = r.Attempt, r.Job, r.Index, r.Team, r.Queue
	t.Demand, t.Priority, t.NonIdempotent = r.Demand, r.Priority, r.NonIdempotent
	return t
}

// PlacedAttempt is an attempt that occupies capacity on a host.
type PlacedAttempt struct {
	Host       ident.HostID
	Kind       api.Kind
	Urgent     bool
	Task       backend.Task // without payload
	Running    bool         // the host confirmed the start
	CPUPercent int          // percent of the demanded CPU that the attempt may use; 0 means not throttled
	Used       resource.Vector
	Since      time.Time // time of the placement, or of the start for an attempt from an inventory

	refusesCheckpoint, refusesThrottle bool // preemption actions that the task refused

	pendingPercent   int       // CPU percentage in a throttle call under way; 0 means no call is under way
	percentUncertain bool      // a throttle call ended without confirmation, so the host may allow less CPU than is charged
	percentSetAt     time.Time // time of the last change of the CPU percentage
}

// Reason explains why no host can take a task.
type Reason string

// Reasons of a NoCapacityError. The most specific one that applies is reported.
const (
	NoHosts  Reason = "no backend server is attached"
	TooLarge Reason = "the demand is larger than every backend server"
	AllFull  Reason = "every backend server that is large enough is full, leaving, quarantined or avoided"
)

// NoCapacityError reports that no host can take a task now, with the number of hosts per cause.
type NoCapacityError struct {
	Reason      Reason
	Leaving     int
	Quarantined int // up to quarantineCountMaxAge old
	TooSmall    int // total capacity is below the demand
	Full        int // all other hosts, including avoided ones
}

// Error implements error.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no capacity for the task: %s (%d leaving, %d quarantined, %d too small, %d full)",
		e.Reason, e.Leaving, e.Quarantined, e.TooSmall, e.Full)
}

// Pool holds the backend servers that this daemon owns. It is safe for concurrent use.
//
// Locks are taken in the order spreadShard, shard, attemptShard. gangsMu is never held together with another lock.
type Pool struct {
	config        Config
	seed          maphash.Seed
	shards        []*shard
	attemptShards []attemptShard
	spreadShards  []spreadShard
	randomState   atomic.Uint64 // state of the SplitMix64 generator, see nextRandom

	gangsMu sync.Mutex
	gangs   map[string]*gang

	quarantineMu          sync.Mutex
	quarantineCount       int
	quarantineCountExpiry time.Time
}

// attemptShard maps a part of the attempts to their hosts.
type attemptShard struct {
	mu    sync.Mutex
	hosts map[ident.AttemptID]ident.HostID
}

// New returns an empty pool.
func New(c Config) (*Pool, error) {
	if c.Now == nil {
		return nil, Error.New("Config.Now must be set")
	}
	c.Shards = cmp.Or(c.Shards, DefaultShards)
	if c.Shards < 0 {
		return nil, Error.New("number of shards must not be negative: %d", c.Shards)
	}
	if c.BlockReason == nil {
		c.BlockReason = func(ident.HostID) string { return "" }
	}
	if c.KindOf == nil {
		c.KindOf = func(ident.QueueID) api.Kind { return "" }
	}
	p := &Pool{config: c, seed: maphash.MakeSeed(), gangs: map[string]*gang{}}
	p.randomState.Store(rand.NewPCG(c.Seed, 0).Uint64())
	for range c.Shards {
		p.shards = append(p.shards, newShard())
	}
	p.attemptShards = make([]attemptShard, c.Shards)
	p.spreadShards = make([]spreadShard, c.Shards)
	for i := range c.Shards {
		p.attemptShards[i].hosts = map[ident.AttemptID]ident.HostID{}
		p.spreadShards[i].jobs = map[ident.JobID]*jobSpread{}
	}
	return p, nil
}

// shardOf returns the shard of a host. It uses a fixed hash (FNV-1a), so that a seed leads to the same choices in
// every run.
func (p *Pool) shardOf(id ident.HostID) *shard {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return p.shards[(h^h>>32)%uint64(len(p.shards))]
}

func (p *Pool) attemptShard(id ident.AttemptID) *attemptShard {
	return &p.attemptShards[maphash.String(p.seed, string(id))%uint64(len(p.attemptShards))]
}

// nextRandom returns the next number of a pseudo-random sequence (SplitMix64, Steele et al., OOPSLA 2014).
func (p *Pool) nextRandom() uint64 {
	z := p.randomState.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// recordAttempt records the host of an attempt. It returns false when the attempt is already placed.
func (p *Pool) recordAttempt(id ident.AttemptID, host ident.HostID) bool {
	s := p.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.hosts[id]; ok {
		return false
	}
	s.hosts[id] = host
	return true
}

// forgetAttempt deletes the record of an attempt if it names the given host.
func (p *Pool) forgetAttempt(id ident.AttemptID, host ident.HostID) {
	s := p.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts[id] == host {
		delete(s.hosts, id)
	}
}

// Find returns a placed attempt and whether it exists.
func (p *Pool) Find(id ident.AttemptID) (PlacedAttempt, bool) {
	a := p.attemptShard(id)
	a.mu.Lock()
	host, ok := a.hosts[id]
	a.mu.Unlock()
	if !ok {
		return PlacedAttempt{}, false
	}
	s := p.shardOf(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.hosts[host]
	if !ok {
		return PlacedAttempt{}, false
	}
	t, ok := h.attempts[id]
	if !ok {
		return PlacedAttempt{}, false
	}
	return *t, true
}
