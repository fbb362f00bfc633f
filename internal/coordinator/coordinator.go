// Package coordinator elects the daemon that schedules the fleet and runs the scheduling core there. Leadership, jobs and
// their progress live in the platform's store; everything else is rebuilt from the backend servers.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Errors of the calls to backend servers.
var (
	// ErrNotSent reports that an order certainly didn't reach the server.
	ErrNotSent = errors.New("order not sent")
	// ErrNoAnswer reports that the server may have carried out an order, now or later.
	ErrNoAnswer = errors.New("no answer from the server")
	// ErrOtherLife reports that another server, or another life of it, answers at the address.
	ErrOtherLife = errors.New("another server answers at the address")
)

// RefusedError is a server's refusal of an order, which had no effect.
type RefusedError struct {
	Reason sched.Refusal
	Clock  time.Duration // the server's clock; 0 where the answer had none
	Err    error
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused: %s", e.Reason) }

// Unwrap returns the underlying error.
func (e *RefusedError) Unwrap() error { return e.Err }

// Servers has the calls to backend servers. Their errors are the ones above or a *RefusedError.
type Servers struct {
	Start func(context.Context, sched.FencingToken, sched.StartCommand) (time.Duration, error)
	Stop  func(context.Context, sched.FencingToken, sched.StopCommand) (time.Duration, error)
	Pace  func(context.Context, sched.FencingToken, sched.ThrottleCommand) (time.Duration, error)
	Look  func(context.Context, sched.FencingToken, sched.PollCommand) (sched.Inventory, error)
	// Forget closes the connections to an address that isn't used any more.
	Forget func(address string)
	// Advise asks the advisor that restricts the servers of a queue.
	Advise func(context.Context, time.Duration, sched.AdviceRequest) (map[sched.ServerID]sched.Ticket, error)
}

// Registry tells how backend servers register in the store.
type Registry struct {
	Prefix string
	Decode func(key string, value []byte) (sched.Server, error)
}

// Config has the dependencies and settings of a Coordinator.
type Config struct {
	Member     ident.MemberID
	DataCentre ident.DataCentre
	Address    string // where peers reach this daemon
	// Handicap delays this daemon's candidacies, so that hosts with more processor time and a wider link lead.
	Handicap   time.Duration
	Store      platform.TransactStore
	Patience   *platform.Patience // how long the store takes to answer
	Registry   Registry
	Servers    Servers
	Policy     *policy.Follower
	Peer       *peer.Node
	Scheduling sched.Options // RunBase is set for each term
	Lease      time.Duration // time to live of this daemon's presence
	Log        logr.Logger
	Metrics    *metrics.Set
}

// Coordinator is this daemon's part in the scheduling of the fleet.
type Coordinator struct {
	config      Config
	incarnation string
	now         func() time.Time
	view        *view
	presence    *presence

	mu      sync.Mutex
	term    *term // nil unless this daemon leads
	leaving bool
}

// New checks the configuration and registers the handlers for peers.
func New(c Config) (*Coordinator, error) {
	if c.Store == nil || c.Policy == nil || c.Peer == nil || c.Registry.Decode == nil {
		return nil, errors.New("coordinator: store, policy, peer and registry must be set")
	}
	if c.Patience == nil {
		c.Patience = platform.NewPatience()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	o := &Coordinator{config: c, incarnation: ident.Random("i"), now: time.Now}
	o.view = newView(c.Store, c.Log)
	o.presence = newPresence(c, o.incarnation)
	o.handle()
	o.handleRelay()
	o.registerGauges()
	c.Policy.OnChange(func(p *policy.Policy) {
		if t := o.leading(); t != nil {
			t.do(func(now time.Time, s *sched.Scheduler) { s.Configure(now, p.Scheduling()) })
		}
	})
	return o, nil
}

// Run takes part in the cell until the context ends.
func (o *Coordinator) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return o.presence.run(ctx) })
	g.Go(func() error { return o.view.run(ctx) })
	g.Go(func() error { return o.elect(ctx) })
	return g.Wait()
}

// Leave hands the leadership over: it ends the term and this daemon's presence, on which another daemon takes over.
func (o *Coordinator) Leave(ctx context.Context) {
	o.mu.Lock()
	o.leaving = true
	t := o.term
	o.mu.Unlock()
	if t != nil {
		t.stop()
		<-t.done
	}
	o.presence.leave(ctx)
}

func (o *Coordinator) leading() *term {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term
}

// Leader returns the leader that this daemon knows.
func (o *Coordinator) Leader() (Leader, bool) {
	v := o.view.get()
	return v.leader, v.leader.Epoch > 0
}

// StoreReached returns when the store last answered this daemon.
func (o *Coordinator) StoreReached() time.Time {
	v := o.view.get()
	if p := o.presence.renewed(); p.After(v.confirmed) {
		return p
	}
	return v.confirmed
}
