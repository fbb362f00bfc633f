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
	// ErrNoResponse reports that the server may have carried out an order, now or later.
	ErrNoResponse = errors.New("no answer from the server")
	// ErrInstanceMismatch reports that another server, or another life of it, answers at the address.
	ErrInstanceMismatch = errors.New("another server answers at the address")
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

// ServerClient has the calls to backend servers. Their errors are the ones above or a *RefusedError.
type ServerClient struct {
	Start func(context.Context, sched.Fence, sched.StartOrder) (time.Duration, error)
	Stop  func(context.Context, sched.Fence, sched.StopOrder) (time.Duration, error)
	Pace  func(context.Context, sched.Fence, sched.PaceOrder) (time.Duration, error)
	Poll  func(context.Context, sched.Fence, sched.LookOrder) (sched.Inventory, error)
	// CloseConnections closes the connections to an address that isn't used any more.
	CloseConnections func(address string)
	// Advise asks the advisor that restricts the servers of a queue.
	Advise func(context.Context, time.Duration, sched.AdviseOrder) (map[sched.ServerID]sched.Ticket, error)
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
	// ElectionDelay delays this daemon's candidacies, so that hosts with more processor time and a wider link lead.
	ElectionDelay time.Duration
	Store         platform.TransactStore
	StoreTimeout  *platform.Patience // how long the store takes to answer
	Registry      Registry
	ServerClient  ServerClient
	Policy        *policy.Watcher
	Peer          *peer.Node
	Scheduling    sched.Options // RunBase is set for each term
	PresenceTTL   time.Duration // time to live of this daemon's presence
	Log           logr.Logger
	Metrics       *metrics.Set
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
	if c.StoreTimeout == nil {
		c.StoreTimeout = platform.NewPatience()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	coordinator := &Coordinator{config: c, incarnation: ident.Random("i"), now: time.Now}
	coordinator.view = newView(c.Store, c.Log)
	coordinator.presence = newPresence(c, coordinator.incarnation)
	coordinator.registerHandlers()
	coordinator.registerRelayHandlers()
	coordinator.registerGauges()
	c.Policy.OnChange(func(p *policy.Policy) {
		if t := coordinator.currentTerm(); t != nil {
			t.update(func(now time.Time, s *sched.Scheduler) { s.Configure(now, p.SchedulingConfig()) })
		}
	})
	return coordinator, nil
}

// Run takes part in the cell until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.presence.run(ctx) })
	g.Go(func() error { return c.view.run(ctx) })
	g.Go(func() error { return c.runElections(ctx) })
	return g.Wait()
}

// Leave hands the leadership over: it ends the term and this daemon's presence, on which another daemon takes over.
func (c *Coordinator) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	t := c.term
	c.mu.Unlock()
	if t != nil {
		t.stop()
		<-t.done
	}
	c.presence.leave(ctx)
}

func (c *Coordinator) currentTerm() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// Leader returns the leader that this daemon knows.
func (c *Coordinator) Leader() (LeaderRecord, bool) {
	v := c.view.get()
	return v.leader, v.leader.Epoch > 0
}

// LastStoreContact returns when the store last answered this daemon.
func (c *Coordinator) LastStoreContact() time.Time {
	v := c.view.get()
	if p := c.presence.renewedAt(); p.After(v.confirmedAt) {
		return p
	}
	return v.confirmedAt
}
