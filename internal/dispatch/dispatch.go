// Package dispatch runs tasks: it admits work, orders it, places it on own or peers' backend servers,
// starts it, and delivers each result to the caller or the job record that waits for it.
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

// Error is the class of configurations that New refuses.
var Error = errs.Class("dispatch")

// Defaults of the dispatcher.
const (
	// MaxHops bounds how often a task is passed on between daemons.
	MaxHops = 2
	// DefaultAuditInterval is how often attempts without a known place are looked for.
	DefaultAuditInterval = time.Second
	// DefaultOrphanRetention is how long a result waits for a resubmission or an adopting origin.
	DefaultOrphanRetention = 10 * time.Minute
	// maxExplained bounds the jobs whose decisions are kept per shard.
	maxExplained = 512
	// maxDecisions bounds the decisions kept per job.
	maxDecisions = 64
	shardCount   = 64
	// taskBytes is the heap of a queued task without its payload. BenchmarkQueued measured 1,608 bytes.
	taskBytes = 1600
)

// Key identifies a task of a job.
type Key struct {
	Job   ident.JobID
	Index int
}

// String returns the key in the form job/index.
func (k Key) String() string { return fmt.Sprintf("%s/%d", k.Job, k.Index) }

// Final is the end of a task.
type Final struct {
	Outcome  api.Outcome
	Result   backend.Result
	Host     ident.HostID
	Attempt  ident.AttemptID
	Attempts int
	Waited   time.Duration // from submission to the start of the last attempt
	Reason   string
}

// Work is one task to run.
type Work struct {
	Task     backend.Task // without attempt and origin
	Kind     api.Kind
	Urgent   bool
	Deadline time.Time // when the caller stops waiting; zero means never
	Retries  int       // further attempts after a failure
	// Sharers is the number of tasks with the same payload in memory, each of which counts a part; 0 means 1.
	Sharers int
	// Admitted means that Admit has checked the bytes.
	Admitted bool
	// Prepare is called before the first start of a non-idempotent durable task; nil means nothing to do.
	Prepare func(ctx context.Context) error
	// Validate is called right before every start; an error ends the task as not run. nil means always valid.
	Validate func() error
	// Started is called when an attempt runs; nil means nobody asks.
	Started func(attempt ident.AttemptID, host ident.HostID, attempts int)
	// Done is called once with the end of the task. It calls keep after the result is safe; keep may be called later.
	Done func(f Final, keep func())
}

func (w Work) key() Key { return Key{w.Task.Job, w.Task.Index} }

// bytes is the memory of n tasks like this one.
func (w Work) bytes(n int) int64 {
	return int64(n) * int64(taskBytes+len(w.Task.Payload)/max(1, w.Sharers))
}

// Limits is the split of the teams' upper limits.
type Limits struct {
	Reserve func(team ident.TeamID, n int) bool
	Cancel  func(team ident.TeamID, n int) // gives back what was reserved and not started
	Release func(team ident.TeamID, n int)
	// Accept counts a peer's tasks on a part that the peer reserved, and Pass gives such a part to a peer.
	Accept func(team ident.TeamID, n int) bool
	Pass   func(team ident.TeamID, n int, to member.Member)
	// Arrive counts tasks that came running with a backend server.
	Arrive func(host platform.Host, team ident.TeamID, n int)
	// Depart passes running tasks on with the backend server that another daemon owns now.
	Depart func(host ident.HostID, team ident.TeamID, n int)
}

// Servers sends commands to the owned backend servers.
type Servers struct {
	Start       func(ctx context.Context, host ident.HostID, t backend.Task) error
	Stop        func(ctx context.Context, host ident.HostID, attempt ident.AttemptID) (backend.StopState, error)
	Checkpoint  func(ctx context.Context, host ident.HostID, attempt ident.AttemptID) error
	Throttle    func(ctx context.Context, host ident.HostID, attempt ident.AttemptID, percent int) error
	Acknowledge func(host ident.HostID, attempt ident.AttemptID)
	Complete    func() (ident.Epoch, bool)
}

// Call is one method of a peer.
type Call[Req, Resp any] func(ctx context.Context, to ident.MemberID, r Req) (Resp, error)

// Peers calls the other daemons.
type Peers struct {
	Forward     Call[wire.Forward, wire.ForwardReply]
	Answer      Call[wire.AnswerPush, wire.AnswerReply]
	Query       Call[wire.Query, wire.QueryReply]
	Cancel      Call[wire.Cancel, wire.CancelReply]
	AdoptOrigin Call[wire.AdoptOrigin, wire.AdoptOriginReply]
	Find        Call[wire.Find, wire.FindReply]
	GangReserve Call[wire.GangReserve, wire.GangReserveReply]
	GangCommit  Call[wire.GangCommit, wire.GangCommitReply]
	GangCancel  Call[wire.GangCancel, struct{}]
	// NotDelivered reports whether the error means that the peer certainly did not get the call.
	NotDelivered func(err error) bool
}

// Config holds the dependencies of a Dispatcher.
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
	QueueBytes      int64 // bound over all queued tasks, see queue.Config; 0 means none
	Share           func(ident.TeamID) float64
	Usage           func(ident.TeamID) float64
	Total           func() resource.Vector // capacity of the fleet
	AuditInterval   time.Duration
	OrphanRetention time.Duration
	GangExpiry      time.Duration
	Baseline        bool // orders by arrival only, see queue.Config
	Now             func() time.Time
	Log             logr.Logger
	Metrics         *metrics.Set
}

// Dispatcher is the path of a start in one daemon.
type Dispatcher struct {
	config  Config
	queue   *queue.Queue[*entry]
	shards  [shardCount]shard
	seed    maphash.Seed
	wake    chan struct{}
	orphans *orphans
	gangs   *gangTable
	counts  counters
	base    context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a dispatcher that starts nothing until Run is called.
func New(c Config) (*Dispatcher, error) {
	if c.Self == nil || c.View == nil || c.Pool == nil || c.Fleet == nil || c.Limits.Reserve == nil || c.Limits.Cancel == nil ||
		c.Servers.Start == nil || c.Peers.Forward == nil || c.Share == nil || c.Usage == nil {
		return nil, Error.New("a required dependency isn't set")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.AuditInterval <= 0 {
		c.AuditInterval = DefaultAuditInterval
	}
	if c.OrphanRetention <= 0 {
		c.OrphanRetention = DefaultOrphanRetention
	}
	if c.GangExpiry <= 0 {
		c.GangExpiry = DefaultGangExpiry
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	q, err := queue.New[*entry](queue.Config{
		MaxItems: c.QueueLimit, MaxBytes: c.QueueBytes, Weight: c.Share, DominantShare: c.Usage, FleetCapacity: c.Total, Baseline: c.Baseline, Now: c.Now,
	})
	if err != nil {
		return nil, fmt.Errorf("create queue: %w", err)
	}
	base, stop := context.WithCancel(context.Background())
	d := &Dispatcher{
		config: c, queue: q, seed: maphash.MakeSeed(), wake: make(chan struct{}, 1),
		orphans: newOrphans(), gangs: newGangTable(), counts: newCounters(c.Metrics), base: base, stop: stop,
	}
	for i := range d.shards {
		d.shards[i].entries = map[Key]*entry{}
		d.shards[i].history = map[ident.JobID]*history{}
		d.shards[i].log = c.Log
	}
	return d, nil
}

// Run starts queued work until the context ends, then waits for the calls under way.
func (d *Dispatcher) Run(ctx context.Context) error {
	audit := time.NewTicker(d.config.AuditInterval)
	expire := time.NewTicker(expireInterval)
	defer audit.Stop()
	defer expire.Stop()
	defer d.wg.Wait()
	defer d.stop()
	d.wg.Go(func() { d.pump(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-audit.C:
			d.audit()
			d.restore()
		case <-expire.C:
			d.expire()
		}
	}
}

// Wake makes the dispatcher look at its queue again.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) spawn(f func(ctx context.Context)) {
	d.wg.Go(func() { f(d.base) })
}

// Admit counts n tasks like w that are going to be submitted, or returns queue.ErrFull. Count takes them back.
func (d *Dispatcher) Admit(w Work, n int) error {
	if err := d.queue.Admit(w.Task.Team, w.bytes(n)); err != nil {
		return fmt.Errorf("admit %d tasks: %w", n, err)
	}
	return nil
}

// Count adds n tasks like w that wait outside the queue without a check; a negative number takes them back.
func (d *Dispatcher) Count(w Work, n int) { d.queue.AdjustBytes(w.Task.Team, w.bytes(n)) }

// QueuedBytes returns the memory of the queued tasks and of those that wait to be submitted.
func (d *Dispatcher) QueuedBytes() int64 { return d.queue.Bytes() }

// Backlog returns the number of queued tasks.
func (d *Dispatcher) Backlog() int { return d.queue.Len() }

// ExpectedWait returns the expected wait of a team's next task.
func (d *Dispatcher) ExpectedWait(team ident.TeamID, priority int) time.Duration {
	return d.queue.ExpectedWait(team, priority)
}

func (d *Dispatcher) sender() wire.Sender {
	m := d.config.Self()
	return wire.Sender{Member: m.ID, Incarnation: m.Incarnation, Epoch: d.config.View().Epoch}
}
