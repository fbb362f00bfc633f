// Package placement chooses backend servers for tasks. It keeps the capacity, the free capacity and the attempts of
// the owned backend servers.
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

// Error is the class of configurations that New refuses.
var Error = errs.Class("placement")

var (
	// ErrDuplicate reports that the attempt is placed already.
	ErrDuplicate = errors.New("attempt is placed already")
	// ErrNoReservation reports that the gang's reservation doesn't exist, has expired or holds less than asked.
	ErrNoReservation = errors.New("reservation of the gang isn't held")
	// ErrNoVictims reports that no host has enough lower work that may be preempted.
	ErrNoVictims = errors.New("no host has enough lower work to preempt")
)

// DefaultShards is the number of shards of hosts, each with its own lock and index.
const DefaultShards = 8

// Config configures a Pool.
type Config struct {
	Shards int // 0 means DefaultShards
	// BlockReason returns why a host takes no work, or an empty string. It must not call the pool.
	BlockReason func(ident.HostID) string
	// KindOf returns the kind of a queue's work. It is used for attempts of an inventory, which doesn't name the kind;
	// without it their jobs aren't spread against new tasks. It must not call the pool.
	KindOf func(ident.QueueID) api.Kind
	// Baseline chooses any host with room at random and never preempts. The load driver sets it to compare the policy
	// with a plain one.
	Baseline bool
	Seed     uint64
	Now      func() time.Time
}

// Request is a task to place.
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
	Task          backend.Task // kept for Find, Attempts and Detach without its payload
}

// task returns the task with the request's own fields, which take precedence.
func (r *Request) task() backend.Task {
	t := r.Task
	t.Attempt, t.Job, t.Index, t.Team, t.Queue = r.Attempt, r.Job, r.Index, r.Team, r.Queue
	t.Demand, t.Priority, t.NonIdempotent = r.Demand, r.Priority, r.NonIdempotent
	return t
}

// PlacedAttempt is an attempt on a host.
type PlacedAttempt struct {
	Host       ident.HostID
	Kind       api.Kind
	Urgent     bool
	Task       backend.Task // without payload
	Running    bool         // its start was confirmed
	CPUPercent int          // percent of the demanded CPU that it may use; 0 means that it isn't throttled
	Used       resource.Vector
	Since      time.Time // when it was placed; from an inventory, when it started

	refusesCheckpoint, refusesThrottle bool // actions that the task refused

	pendingPercent   int       // percent that the host is being told, 0 when no call is under way
	percentUncertain bool      // the host may allow less than is counted, after a call without confirmation
	percentSetAt     time.Time // when the host was last told a percentage
}

// Reason says why no host has room.
type Reason string

// Reasons of a NoRoomError, the most specific one that applies to a host.
const (
	NoHosts  Reason = "no backend server is attached"
	TooLarge Reason = "the demand is larger than every backend server"
	AllFull  Reason = "every backend server that is large enough is full, leaving, quarantined or avoided"
)

// NoRoomError reports that a task can't be placed now, with the number of hosts per cause.
type NoRoomError struct {
	Reason      Reason
	Leaving     int
	Quarantined int // as counted at most a second ago
	TooSmall    int // capacity below the demand
	Full        int // the remaining ones, which include avoided hosts
}

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("no room: %s (%d leaving, %d quarantined, %d too small, %d full)",
		e.Reason, e.Leaving, e.Quarantined, e.TooSmall, e.Full)
}

// Pool is the set of owned backend servers. It is safe for concurrent use.
//
// Locks are taken in the order spread, shard, attempts. The gangs' lock is never held together with another one.
type Pool struct {
	config        Config
	seed          maphash.Seed
	shards        []*shard
	attemptShards []attemptShard
	spreadShards  []spreadShard
	randomState   atomic.Uint64 // state of the sequence that sets where a search starts

	gangsMu sync.Mutex
	gangs   map[string]*gang

	quarantineMu          sync.Mutex
	quarantineCount       int
	quarantineCountExpiry time.Time
}

type attemptShard struct {
	mu    sync.Mutex
	hosts map[ident.AttemptID]ident.HostID
}

// New returns an empty pool.
func New(c Config) (*Pool, error) {
	if c.Now == nil {
		return nil, Error.New("Now isn't set")
	}
	c.Shards = cmp.Or(c.Shards, DefaultShards)
	if c.Shards < 0 {
		return nil, Error.New("%d shards", c.Shards)
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

// shardOf spreads hosts with a fixed hash (FNV-1a), so that a seed gives the same choices in every run.
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

// nextRandom returns the nextRandom number of a fixed pseudo-random sequence (SplitMix64, Steele et al., OOPSLA 2014).
func (p *Pool) nextRandom() uint64 {
	z := p.randomState.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// recordAttempt records where an attempt is; it returns false when it is placed already.
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

// forgetAttempt forgets an attempt if it is recorded on the host.
func (p *Pool) forgetAttempt(id ident.AttemptID, host ident.HostID) {
	s := p.attemptShard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts[id] == host {
		delete(s.hosts, id)
	}
}

// Find returns where an attempt is placed.
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
