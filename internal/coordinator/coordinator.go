// Package coordinator elects one daemon of the cell as the leader and runs the scheduler of the fleet there. The leader
// record, the jobs and their progress are kept in the platform's store; after a takeover the remaining state is rebuilt from
// the backend servers.
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
	"github.com/rosemaryspoke/rosemaryspoke/internal/uptime"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Errors returned by the calls of a ServerClient.
var (
	// ErrNotSent reports that a command certainly did not reach the server.
	ErrNotSent = errors.New("command not sent")
	// ErrNoResponse reports an unknown outcome: the server may have carried out the command or may still do so.
	ErrNoResponse = errors.New("no response from the server")
	// ErrInstanceMismatch reports that another server, or another incarnation of the server, responds at the address.
	ErrInstanceMismatch = errors.New("another server or incarnation responds at the address")
)

// RefusedError reports that a server refused a command, which therefore had no effect.
type RefusedError struct {
	Reason sched.Refusal
	Clock  time.Duration // reading of the server's clock; 0 if the response had none
	Err    error
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused: %s", e.Reason) }

// Unwrap returns the underlying error.
func (e *RefusedError) Unwrap() error { return e.Err }

// ServerClient makes the calls to backend servers and advisors. Calls to backend servers fail with one of the errors above
// or a *RefusedError.
type ServerClient struct {
	Start    func(context.Context, sched.FencingToken, sched.StartCommand) (time.Duration, error)
	Stop     func(context.Context, sched.FencingToken, sched.StopCommand) (time.Duration, error)
	Throttle func(context.Context, sched.FencingToken, sched.ThrottleCommand) (time.Duration, error)
	Poll     func(context.Context, sched.FencingToken, sched.PollCommand) (sched.Inventory, error)
	// CloseConnections closes the connections to an address that is no longer in use.
	CloseConnections func(address string)
	// Advise asks the advisor of a queue which of the servers may run a step, and returns a ticket for each that may.
	Advise func(context.Context, time.Duration, sched.AdviceRequest) (map[sched.ServerID]sched.Ticket, error)
}

// Registry locates and decodes the registrations of backend servers in the store.
type Registry struct {
	Prefix string
	Decode func(key string, value []byte) (sched.Server, error)
}

// Config holds the dependencies and settings of a Coordinator.
type Config struct {
	Member     ident.MemberID
	DataCentre ident.DataCentre
	Region     ident.Region
	Address    string // address at which peers reach this daemon
	// ElectionDelay is how long this daemon waits before it tries to take over a vacant leadership. Hosts with more
	// processor time and a faster link have a shorter delay, so that they lead.
	ElectionDelay time.Duration
	Store         platform.TransactionalStore
	StoreTimeout  *platform.AdaptiveTimeout // timeout of store calls, which follows its response times
	Registry      Registry
	ServerClient  ServerClient
	// EvacuationPrefix is the store prefix of the requests to evacuate data centres, each of which is named by the rest of a key.
	// Empty means that there are none.
	EvacuationPrefix string
	Policy           *policy.Watcher
	Peer             *peer.Node
	Scheduling       sched.Options // RunBase is set for each term; LeaderOverlap may be set to 0
	// MaxDirectServers is the number of servers up to which a leader makes all calls to them itself. Calls to a larger fleet go
	// through daemons of the servers' data centres.
	MaxDirectServers int
	PresenceTTL      time.Duration // time to live of this daemon's presence lease
	// OnLeading is called at the start and at the end of each term of this daemon; it may be nil.
	OnLeading func(leading bool)
	Log       logr.Logger
	Metrics   *metrics.Set
}

// Coordinator takes part in the leader election of the cell, runs the scheduler while this daemon leads, and otherwise
// forwards calls to the leader.
type Coordinator struct {
	config      Config
	incarnation string
	now         func() time.Time
	uptime      func() time.Duration // clock that also counts suspensions of the host
	view        *view
	presence    *presence
	sessions    callerSessions
	knownTo     knownTo // the latest leader that has said so

	mu      sync.Mutex
	term    *term // nil unless this daemon leads; it may still be loading
	leaving bool
	// latestEpoch is that of the latest term. The view may not show it yet when the term has ended.
	latestEpoch ident.Epoch
}

// New checks the configuration and returns a coordinator whose handlers for peers are registered.
func New(c Config) (*Coordinator, error) {
	if c.Store == nil || c.Policy == nil || c.Peer == nil || c.Registry.Decode == nil {
		return nil, errors.New("coordinator: store, policy, peer and registry must be set")
	}
	if c.StoreTimeout == nil {
		c.StoreTimeout = platform.NewAdaptiveTimeout()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	coordinator := &Coordinator{config: c, incarnation: ident.Random("i"), now: time.Now, uptime: uptime.Now}
	coordinator.view = newView(c.Store, c.Log)
	coordinator.presence = newPresence(c, coordinator.incarnation)
	coordinator.registerHandlers()
	coordinator.registerRelayHandlers()
	coordinator.registerProxyHandler()
	coordinator.shareConfiguration()
	coordinator.registerGauges()
	c.Policy.OnChange(func(p *policy.Policy) {
		if t := coordinator.currentTerm(); t != nil {
			t.update(func(now time.Time, s *sched.Scheduler) { s.Configure(now, p.SchedulingConfig()) })
		}
	})
	return coordinator, nil
}

// Run keeps the presence record and the view of the cell and takes part in elections until the context ends.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.sessions.end()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.presence.run(ctx) })
	g.Go(func() error { return c.view.run(ctx) })
	g.Go(func() error { return c.runElections(ctx) })
	g.Go(func() error { return c.askLeaders(ctx) })
	return g.Wait()
}

// Leave ends this daemon's term, if it leads, and revokes its presence lease, so that another daemon takes over at once.
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

// currentTerm returns the term of this daemon, or nil if it does not lead.
func (c *Coordinator) currentTerm() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// Leader returns the latest leader record that this daemon has seen, or false if there is none.
func (c *Coordinator) Leader() (LeaderRecord, bool) {
	v := c.view.get()
	return v.leader, v.leader.Epoch > 0
}

// LastStoreContact returns when this daemon sent the latest presence renewal or call for the cell's records that the store
// answered.
func (c *Coordinator) LastStoreContact() time.Time {
	v := c.view.get()
	if p := c.presence.renewedAt(); p.After(v.confirmedAt) {
		return p
	}
	return v.confirmedAt
}
