// Package dispatch runs tasks: it admits and queues them, places them on backend servers of this daemon or of peers,
// starts them, and delivers each result to the caller or the job record that waits for it.
package dispatch

import (
	"context"
	"fmt"
	"hash/maphash"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/blame"
	"github.com/rosemaryspoke/rosemaryspoke/internal/fleet"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/internal/retry"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Error is the class of errors that New returns for invalid configurations.
var Error = errs.Class("dispatch")

// Defaults and bounds of the dispatcher.
const (
	// MaxHops bounds how often a task is forwarded between daemons.
	MaxHops = 2
	// DefaultAuditInterval is how often the dispatcher looks for attempts whose location is unknown.
	DefaultAuditInterval = time.Second
	// DefaultResultRetention is how long a result is kept for a resubmission or for a daemon that adopts the origin's
	// jobs.
	DefaultResultRetention = 10 * time.Minute
	// maxExplained bounds the jobs per shard whose decisions are kept.
	maxExplained = 512
	// maxDecisions bounds the decisions kept per job.
	maxDecisions = 64
	shardCount   = 64
	// taskBytes is the heap size of a queued task without its payload. BenchmarkQueued reports 1,608 bytes.
	taskBytes = 1600
)

// Key identifies a task of a job.
type Key struct {
	Job   ident.JobID
	Index int
}

// String returns the key in the form job/index.
func (k Key) String() string { return fmt.Sprintf("%s/%d", k.Job, k.Index) }

// Completion describes how a task ended.
type Completion struct {
	Outcome  api.Outcome
	Result   backend.Result
	Host     ident.HostID
	Attempt  ident.AttemptID
	Attempts int
	Waited   time.Duration // from the submission to the start of the last attempt
	Reason   string
}

// Work is a task to run, with its callbacks.
type Work struct {
	Task     backend.Task // without attempt and origin, which the dispatcher sets
	Kind     api.Kind
	Urgent   bool
	Deadline time.Time // when the caller stops waiting; zero means never
	Retries  int       // further attempts after a failure
	// PayloadRefs is the number of tasks that share the payload in memory; each of them counts an equal fraction of
	// it. 0 means 1.
	PayloadRefs int
	// Admitted means that Admit has already checked and counted the task's bytes.
	Admitted bool
	// Prepare is called before a start, to record the start of a non-idempotent durable task. Nil means that there is
	// nothing to record.
	Prepare func(ctx context.Context) error
	// Validate is called right before every start; an error ends the task as not run. Nil means that the task is
	// always valid.
	Validate func() error
	// OnStart is called when an attempt runs. It may be nil.
	OnStart func(attempt ident.AttemptID, host ident.HostID, attempts int)
	// OnDone is called once when the task ends. It must call acknowledge after the result is stored safely, possibly
	// after it has returned.
	OnDone func(f Completion, acknowledge func())
}

func (w Work) key() Key { return Key{w.Task.Job, w.Task.Index} }

// bytes returns the memory of n tasks like this one.
func (w Work) bytes(n int) int64 {
	return int64(n) * int64(taskBytes+len(w.Task.Payload)/max(1, w.PayloadRefs))
}

// Limits counts running tasks against the allocations of the teams' upper limits.
type Limits struct {
	Reserve func(team ident.TeamID, n int) bool
	Cancel  func(team ident.TeamID, n int) // returns reserved tasks that were not started
	Release func(team ident.TeamID, n int)
	// Accept counts a peer's tasks against allocation that the peer reserved. Transfer gives such allocation to a
	// peer.
	Accept   func(team ident.TeamID, n int) bool
	Transfer func(team ident.TeamID, n int, to member.Member)
	// AddRunning counts tasks that were already running on a backend server when this daemon became its owner.
	AddRunning func(host platform.Host, team ident.TeamID, n int)
	// RemoveRunning stops counting running tasks whose backend server has another owner now, and transfers their
	// allocation to that owner.
	RemoveRunning func(host ident.HostID, team ident.TeamID, n int)
}

// Servers sends commands to the owned backend servers. InventoryComplete returns the epoch of the ownership, and
// whether the inventories of all owned backend servers are known.
type Servers struct {
	Start             func(ctx context.Context, host ident.HostID, t backend.Task) error
	Stop              func(ctx context.Context, host ident.HostID, attempt ident.AttemptID) (backend.StopState, error)
	Checkpoint        func(ctx context.Context, host ident.HostID, attempt ident.AttemptID) error
	Throttle          func(ctx context.Context, host ident.HostID, attempt ident.AttemptID, percent int) error
	Acknowledge       func(host ident.HostID, attempt ident.AttemptID)
	InventoryComplete func() (ident.Epoch, bool)
}

// Call is a remote call to a peer.
type Call[Req, Resp any] func(ctx context.Context, to ident.MemberID, r Req) (Resp, error)

// Peers holds the calls to the other daemons.
type Peers struct {
	Forward     Call[wire.ForwardRequest, wire.ForwardReply]
	Answer      Call[wire.ResultPush, wire.ResultReply]
	Query       Call[wire.QueryRequest, wire.QueryReply]
	Cancel      Call[wire.CancelRequest, wire.CancelReply]
	AdoptOrigin Call[wire.AdoptOriginRequest, wire.AdoptOriginReply]
	Find        Call[wire.FindRequest, wire.FindReply]
	GangReserve Call[wire.GangReserveRequest, wire.GangReserveReply]
	GangCommit  Call[wire.GangCommitRequest, wire.GangCommitReply]
	GangCancel  Call[wire.GangCancelRequest, struct{}]
	// NotDelivered reports whether the error proves that the peer did not get the call.
	NotDelivered func(err error) bool
}

// Config holds the settings and dependencies of a Dispatcher.
type Config struct {
	Self            func() member.Member
	View            func() member.View
	Pool            *placement.Pool
	Fleet           *fleet.Fleet
	Blame           *blame.Tracker
	Budget          *retry.Budget
	Backoff         *retry.Backoff
	Limits          Limits
	Servers         Servers
	Peers           Peers
	QueueLimit      func(ident.TeamID) int
	QueueBytes      int64 // bound for all queued tasks, see queue.Config; 0 means none
	Weight          func(ident.TeamID) float64
	DominantShare   func(ident.TeamID) float64
	FleetCapacity   func() resource.Vector // capacity of the fleet
	AuditInterval   time.Duration
	ResultRetention time.Duration
	GangExpiry      time.Duration
	Baseline        bool // orders tasks by arrival only, see queue.Config
	Now             func() time.Time
	Log             logr.Logger
	Metrics         *metrics.Set
}

// Dispatcher queues, places and starts the tasks of one daemon.
type Dispatcher struct {
	config      Config
	queue       *queue.Queue[*entry]
	shards      [shardCount]shard
	seed        maphash.Seed
	wake        chan struct{}
	unconfirmed *unconfirmedResults
	gangs       *gangTable
	counts      counters
	baseCtx     context.Context
	cancelBase  context.CancelFunc
	wg          sync.WaitGroup
}

// New returns a dispatcher that starts nothing until Run is called.
func New(c Config) (*Dispatcher, error) {
	if c.Self == nil || c.View == nil || c.Pool == nil || c.Fleet == nil || c.Limits.Reserve == nil || c.Limits.Cancel == nil ||
		c.Servers.Start == nil || c.Peers.Forward == nil || c.Weight == nil || c.DominantShare == nil {
		return nil, Error.New("a required dependency isn't set")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.AuditInterval <= 0 {
		c.AuditInterval = DefaultAuditInterval
	}
	if c.ResultRetention <= 0 {
		c.ResultRetention = DefaultResultRetention
	}
	if c.GangExpiry <= 0 {
		c.GangExpiry = DefaultGangExpiry
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	q, err := queue.New[*entry](queue.Config{
		MaxItems: c.QueueLimit, MaxBytes: c.QueueBytes, Weight: c.Weight, DominantShare: c.DominantShare, FleetCapacity: c.FleetCapacity, Baseline: c.Baseline, Now: c.Now,
	})
	if err != nil {
		return nil, fmt.Errorf("create queue: %w", err)
	}
	base, stop := context.WithCancel(context.Background())
	d := &Dispatcher{
		config: c, queue: q, seed: maphash.MakeSeed(), wake: make(chan struct{}, 1),
		unconfirmed: newUnconfirmedResults(), gangs: newGangTable(), counts: newCounters(c.Metrics), baseCtx: base, cancelBase: stop,
	}
	for i := range d.shards {
		d.shards[i].entries = map[Key]*entry{}
		d.shards[i].history = map[ident.JobID]*history{}
		d.shards[i].log = c.Log
	}
	return d, nil
}

// Run starts queued tasks until the context ends, then waits for the calls in progress.
func (d *Dispatcher) Run(ctx context.Context) error {
	audit := time.NewTicker(d.config.AuditInterval)
	expire := time.NewTicker(expireInterval)
	defer audit.Stop()
	defer expire.Stop()
	defer d.wg.Wait()
	defer d.cancelBase()
	d.wg.Go(func() { d.placeLoop(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-audit.C:
			d.audit()
			d.restoreThrottled()
		case <-expire.C:
			d.expire()
		}
	}
}

// Wake makes the dispatcher try the queued tasks again.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) spawn(f func(ctx context.Context)) {
	d.wg.Go(func() { f(d.baseCtx) })
}

// Admit counts n tasks like w that are going to be submitted, or returns queue.ErrFull. AddPending with a negative
// number removes them from the count.
func (d *Dispatcher) Admit(w Work, n int) error {
	if err := d.queue.Admit(w.Task.Team, w.bytes(n)); err != nil {
		return fmt.Errorf("admit %d tasks: %w", n, err)
	}
	return nil
}

// AddPending adds n tasks like w that wait outside the queue, without an admission check. A negative number removes
// them.
func (d *Dispatcher) AddPending(w Work, n int) { d.queue.AdjustBytes(w.Task.Team, w.bytes(n)) }

// QueuedBytes returns the memory of the queued tasks and of those that wait to be submitted.
func (d *Dispatcher) QueuedBytes() int64 { return d.queue.Bytes() }

// Backlog returns the number of queued tasks.
func (d *Dispatcher) Backlog() int { return d.queue.Len() }

// ExpectedWait returns the expected queueing time of a team's next task.
func (d *Dispatcher) ExpectedWait(team ident.TeamID, priority int) time.Duration {
	return d.queue.ExpectedWait(team, priority)
}

func (d *Dispatcher) sender() wire.Sender {
	m := d.config.Self()
	return wire.Sender{Member: m.ID, Incarnation: m.Incarnation, Epoch: d.config.View().Epoch}
}
