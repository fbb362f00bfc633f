package cell

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// gcMemoryFraction of MemoryBytes is the memory limit of the garbage collector; the rest is for stacks and socket buffers.
	gcMemoryFraction = 0.7
	// leaderGCPercent makes a leader collect garbage less often, which otherwise takes a fifth of its processor time. The memory
	// limit still holds.
	leaderGCPercent = 300
	// peerCallTimeout limits calls between daemons that have no deadline of their own; an advisor call may queue for
	// seconds.
	peerCallTimeout = 15 * time.Second
	// maxStoreSilence is the time without a response from the store after which a daemon isn't ready; other daemons may
	// still reach the store.
	maxStoreSilence = 1500 * time.Millisecond
	// headerTimeout is the time limit for reading a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is the time after which an idle connection of a caller is closed.
	idleTimeout = 60 * time.Second
)

// Adapter holds what a platform provides: its store, registry, servers, configuration format, addresses and handlers.
type Adapter struct {
	Store               platform.TransactionalStore
	Registry            coordinator.Registry
	ServerClient        coordinator.ServerClient
	ConfigKey           string
	EvacuationPrefix    string // see coordinator.Config; empty means that data centres aren't evacuated
	DecodeConfig        func([]byte) (*policy.Policy, error)
	CallerAddress       string
	ReadinessAddress    string
	NewCallerHandler    func(g *entry.Gateway, shuttingDown func() bool, b *inbound.Budget) http.Handler
	NewReadinessHandler func(ready func() bool) http.Handler
}

// Daemon is one daemon of a cell: the gateway for callers, the coordinator and the connections to peers.
type Daemon struct {
	settings     Settings
	periods      Periods
	storeTimeout *platform.AdaptiveTimeout
	adapter      Adapter
	log          logr.Logger
	app          *fx.App

	watcher         *policy.Watcher
	coordinator     *coordinator.Coordinator
	node            *peer.Node
	callerServer    *http.Server
	readinessServer *http.Server
	operatorServer  *http.Server
	budget          *inbound.Budget
	shuttingDown    atomic.Bool

	cancel context.CancelFunc
	group  *errgroup.Group
	failed chan error
}

// New builds a daemon. Nothing runs before Start.
func New(s Settings, a Adapter, log logr.Logger) (*Daemon, error) {
	storeTimeout := platform.NewAdaptiveTimeout()
	a.Store = platform.WithLatencyTracking(a.Store, storeTimeout)
	d := &Daemon{
		storeTimeout: storeTimeout, settings: s, periods: s.Bounds.Derive(), adapter: a, log: log, failed: make(chan error, 1),
	}
	d.app = fx.New(
		fx.NopLogger,
		fx.Supply(d),
		fx.Provide(metrics.NewSet, newWatcher, newNode, newCoordinator, newGateway, newBudget),
		fx.Invoke(assemble, appendHooks),
	)
	if err := d.app.Err(); err != nil {
		return nil, fmt.Errorf("build the daemon: %w", err)
	}
	return d, nil
}

func newWatcher(d *Daemon) *policy.Watcher {
	return policy.NewWatcher(d.adapter.Store, d.adapter.ConfigKey, d.adapter.DecodeConfig, d.log.WithName("policy"))
}

func newNode(d *Daemon, set *metrics.Set) (*peer.Node, error) {
	return peer.New(peer.Config{
		Self:           func() wire.Sender { return wire.Sender{Member: d.settings.Member} },
		Address:        func(ident.MemberID) (string, bool) { return "", false },
		AllowPlaintext: true, CallTimeout: peerCallTimeout, Log: d.log.WithName("peer"), Metrics: set,
		Receive: inbound.NewPool(max(d.settings.MemoryBytes/peerReceiveShare, minPeerReceive)),
	})
}

func newCoordinator(d *Daemon, watcher *policy.Watcher, n *peer.Node, set *metrics.Set) (*coordinator.Coordinator, error) {
	return coordinator.New(coordinator.Config{
		Member: d.settings.Member, DataCentre: d.settings.DataCentre, Region: d.settings.Region, Address: d.settings.PeerAddress,
		ElectionDelay: d.settings.ElectionDelay(), Store: d.adapter.Store, StoreTimeout: d.storeTimeout,
		Registry: d.adapter.Registry, ServerClient: d.adapter.ServerClient,
		EvacuationPrefix: d.adapter.EvacuationPrefix,
		Policy:           watcher, Peer: n, Scheduling: d.settings.SchedulingOptions(), PresenceTTL: d.periods.PresenceTTL,
		MaxDirectServers: d.settings.MaxDirectServers, OnLeading: newGCTuner(), Log: d.log.WithName("coordinator"), Metrics: set,
	})
}

// newGCTuner returns a function that sets the garbage collector's growth target for a leader, and back to the present one.
func newGCTuner() func(leading bool) {
	usual := debug.SetGCPercent(leaderGCPercent)
	debug.SetGCPercent(usual)
	return func(leading bool) {
		if leading {
			debug.SetGCPercent(leaderGCPercent)
		} else {
			debug.SetGCPercent(usual)
		}
	}
}

func newGateway(d *Daemon, watcher *policy.Watcher, c *coordinator.Coordinator, set *metrics.Set) *entry.Gateway {
	return entry.New(entry.Config{
		Store: d.adapter.Store, StoreTimeout: d.storeTimeout, Policy: watcher, Coordinator: c, MaxConfigurationAge: d.periods.Freshness,
		FailClosed: d.settings.Bounds.FailClosed, Admission: d.settings.Admission, Log: d.log.WithName("entry"), Metrics: set,
	})
}

func assemble(
	d *Daemon, watcher *policy.Watcher, n *peer.Node, c *coordinator.Coordinator, g *entry.Gateway, b *inbound.Budget, set *metrics.Set,
) {
	d.watcher, d.node, d.coordinator, d.budget = watcher, n, c, b
	d.callerServer = d.newHTTPServer(d.adapter.NewCallerHandler(g, d.shuttingDown.Load, b))
	d.operatorServer = d.newHTTPServer(d.newOperatorHandler(set, watcher, c))
	d.readinessServer = d.newHTTPServer(d.adapter.NewReadinessHandler(d.ready))
	d.operatorServer.WriteTimeout, d.readinessServer.WriteTimeout = operatorWriteTimeout, operatorWriteTimeout
}

func appendHooks(l fx.Lifecycle, d *Daemon) {
	l.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
}

// Start opens the listeners and runs the daemon.
func (d *Daemon) Start(ctx context.Context) error { return d.app.Start(ctx) }

// Failed delivers the error that ended the daemon.
func (d *Daemon) Failed() <-chan error { return d.failed }

// StopTimeout is the time limit for Stop; it is a little below the grace period of the platform.
func (d *Daemon) StopTimeout() time.Duration { return d.periods.Drain + 2*d.periods.ShutdownTimeout }

// Stop leaves the cell and returns when all requests are answered or their time is over.
func (d *Daemon) Stop(ctx context.Context) error { return d.app.Stop(ctx) }

// OperatorAddress returns the address of the operator's listener.
func (d *Daemon) OperatorAddress() string { return d.settings.OperatorAddress }

// ready reports whether the daemon should receive new connections.
func (d *Daemon) ready() bool {
	if d.shuttingDown.Load() || d.watcher.Current().Policy == nil {
		return false
	}
	return time.Since(d.coordinator.LastStoreContact()) < maxStoreSilence
}

func (d *Daemon) start(context.Context) error {
	debug.SetMemoryLimit(int64(float64(d.settings.MemoryBytes) * gcMemoryFraction))
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group, ctx = errgroup.WithContext(ctx)
	peers, err := net.Listen("tcp", d.settings.PeerAddress)
	if err != nil {
		cancel()
		return fmt.Errorf("listen on %s: %w", d.settings.PeerAddress, err)
	}
	d.group.Go(func() error { return d.node.Serve(ctx, peers) })
	for _, l := range []struct {
		name, address string
		most          int
		server        *http.Server
	}{
		{"callers", d.adapter.CallerAddress, d.settings.inboundConfig().MaxConnections(), d.callerServer},
		{"operators", d.settings.OperatorAddress, maxOperatorConnections, d.operatorServer},
		{"readiness", d.adapter.ReadinessAddress, maxOperatorConnections, d.readinessServer},
	} {
		serve, err := d.listenHTTP(l.name, l.address, l.most, l.server)
		if err != nil {
			cancel()
			return err
		}
		d.group.Go(serve)
	}
	d.group.Go(func() error { return d.watcher.Run(ctx) })
	d.group.Go(func() error { return d.coordinator.Run(ctx) })
	context.AfterFunc(ctx, func() {
		if !d.shuttingDown.Load() {
			d.closeServers() // they don't end with the context, and the group waits for them
		}
	})
	go func() {
		if err := d.group.Wait(); err != nil && ctx.Err() != nil && !d.shuttingDown.Load() {
			d.failed <- err
		}
	}()
	d.log.Info("started", "member", string(d.settings.Member), "data-centre", string(d.settings.DataCentre),
		"front", d.adapter.CallerAddress, "run-lease", d.periods.RunLease.String(), "presence", d.periods.PresenceTTL.String())
	return nil
}

// closeServers closes the HTTP servers and their connections.
func (d *Daemon) closeServers() {
	for _, s := range []*http.Server{d.callerServer, d.operatorServer, d.readinessServer} {
		_ = s.Close()
	}
}

// ignoreServerClosed drops the error that reports a regular shutdown.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop hands over the leadership, waits until no new connections arrive and answers the requests that are open.
func (d *Daemon) stop(ctx context.Context) error {
	started := time.Now()
	d.shuttingDown.Store(true)
	d.coordinator.Leave(ctx)
	d.log.Info("left the cell", "took", time.Since(started).String())
	select {
	case <-ctx.Done():
	case <-time.After(d.periods.Drain - time.Since(started)):
	}
	stopping, cancel := context.WithTimeout(ctx, d.periods.ShutdownTimeout)
	defer cancel()
	err := d.callerServer.Shutdown(stopping)
	if err != nil {
		d.log.Info("open requests were aborted by the shutdown", "error", err.Error())
	}
	d.cancel()
	_ = d.readinessServer.Close() // no readiness check or operator needs a response any more
	_ = d.operatorServer.Close()
	d.node.Close()
	d.log.Info("stopped", "took", time.Since(started).String())
	return err
}
