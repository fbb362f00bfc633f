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
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// memoryShare of the limit is the goal of the garbage collector; the rest is for stacks and socket buffers.
	memoryShare = 0.7
	// peerCallTimeout bounds calls between daemons that have no deadline of their own; advice may queue for seconds.
	peerCallTimeout = 15 * time.Second
	// readyAge is the silence of the store after which a daemon isn't ready, while others may reach it.
	readyAge = 1500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes callers' connections that are not used.
	idleTimeout = 60 * time.Second
)

// Adapter is what a platform provides.
type Adapter struct {
	Store        platform.TransactStore
	Registry     coordinator.Registry
	Servers      coordinator.ServerClient
	ConfigKey    string
	DecodeConfig func([]byte) (*policy.Policy, error)
	FrontAddress string
	ReadyAddress string
	Front        func(g *entry.Gateway, leaving func() bool) http.Handler
	Readiness    func(ready func() bool) http.Handler
}

// Cell is a daemon.
type Cell struct {
	settings Settings
	periods  Periods
	patience *platform.Patience
	adapter  Adapter
	log      logr.Logger
	app      *fx.App

	follower    *policy.Watcher
	coordinator *coordinator.Coordinator
	node        *peer.Node
	front       *http.Server
	readiness   *http.Server
	operator    *http.Server
	leaving     atomic.Bool

	cancel context.CancelFunc
	group  *errgroup.Group
	failed chan error
}

// New wires a daemon. Nothing runs before Start.
func New(s Settings, a Adapter, log logr.Logger) (*Cell, error) {
	patience := platform.NewPatience()
	a.Store = platform.WithPatience(a.Store, patience)
	c := &Cell{patience: patience, settings: s, periods: s.Bounds.Derive(), adapter: a, log: log, failed: make(chan error, 1)}
	c.app = fx.New(
		fx.NopLogger,
		fx.Supply(c),
		fx.Provide(metrics.NewSet, newFollower, newNode, newCoordinator, newGate),
		fx.Invoke(assemble, appendHooks),
	)
	if err := c.app.Err(); err != nil {
		return nil, fmt.Errorf("wire the daemon: %w", err)
	}
	return c, nil
}

func newFollower(c *Cell) *policy.Watcher {
	return policy.NewWatcher(c.adapter.Store, c.adapter.ConfigKey, c.adapter.DecodeConfig, c.log.WithName("policy"))
}

func newNode(c *Cell, set *metrics.Set) (*peer.Node, error) {
	return peer.New(peer.Config{
		Self:           func() wire.Sender { return wire.Sender{Member: c.settings.Member} },
		Address:        func(ident.MemberID) (string, bool) { return "", false },
		AllowPlaintext: true, CallTimeout: peerCallTimeout, Log: c.log.WithName("peer"), Metrics: set,
	})
}

func newCoordinator(c *Cell, f *policy.Watcher, n *peer.Node, set *metrics.Set) (*coordinator.Coordinator, error) {
	return coordinator.New(coordinator.Config{
		Member: c.settings.Member, DataCentre: c.settings.DataCentre, Address: c.settings.PeerAddress,
		ElectionDelay: c.settings.Handicap(), Store: c.adapter.Store, StoreTimeout: c.patience, Registry: c.adapter.Registry, ServerClient: c.adapter.Servers,
		Policy: f, Peer: n, Scheduling: c.settings.Bounds.Scheduling(), PresenceTTL: c.periods.Presence,
		Log: c.log.WithName("coordinator"), Metrics: set,
	})
}

func newGate(c *Cell, f *policy.Watcher, o *coordinator.Coordinator, set *metrics.Set) *entry.Gateway {
	return entry.New(entry.Config{
		Store: c.adapter.Store, StoreTimeout: c.patience, Policy: f, Coordinator: o, MaxConfigurationAge: c.periods.Freshness,
		FailClosed: c.settings.Bounds.FailClosed, Log: c.log.WithName("entry"), Metrics: set,
	})
}

func assemble(
	c *Cell, f *policy.Watcher, n *peer.Node, o *coordinator.Coordinator, g *entry.Gateway, set *metrics.Set,
) {
	c.follower, c.node, c.coordinator = f, n, o
	c.front = &http.Server{
		Handler: c.adapter.Front(g, c.leaving.Load), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	c.operator = &http.Server{Handler: c.newOperator(set, f, o), ReadHeaderTimeout: headerTimeout}
	c.readiness = &http.Server{Handler: c.adapter.Readiness(c.ready), ReadHeaderTimeout: headerTimeout}
}

func appendHooks(l fx.Lifecycle, c *Cell) {
	l.Append(fx.Hook{OnStart: c.start, OnStop: c.stop})
}

// Start opens the listeners and runs the daemon.
func (c *Cell) Start(ctx context.Context) error { return c.app.Start(ctx) }

// Failed delivers the error that ended the daemon.
func (c *Cell) Failed() <-chan error { return c.failed }

// StopTimeout bounds Stop; it is a little below the time that the platform gives.
func (c *Cell) StopTimeout() time.Duration { return c.periods.Drain + 2*c.periods.StopWithin }

// Stop leaves the cell and ends when all requests are answered.
func (c *Cell) Stop(ctx context.Context) error { return c.app.Stop(ctx) }

// ready reports whether new connections should come here.
func (c *Cell) ready() bool {
	if c.leaving.Load() || c.follower.Current().Policy == nil {
		return false
	}
	return time.Since(c.coordinator.LastStoreContact()) < readyAge
}

func (c *Cell) start(context.Context) error {
	debug.SetMemoryLimit(int64(float64(c.settings.MemoryBytes) * memoryShare))
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group, ctx = errgroup.WithContext(ctx)
	listeners := map[string]func(net.Listener) error{
		c.settings.PeerAddress:     func(l net.Listener) error { return c.node.Serve(ctx, l) },
		c.adapter.FrontAddress:     func(l net.Listener) error { return served(c.front.Serve(l)) },
		c.settings.OperatorAddress: func(l net.Listener) error { return served(c.operator.Serve(l)) },
		c.adapter.ReadyAddress:     func(l net.Listener) error { return served(c.readiness.Serve(l)) },
	}
	for address, serve := range listeners {
		l, err := net.Listen("tcp", address)
		if err != nil {
			cancel()
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		c.group.Go(func() error { return serve(l) })
	}
	c.group.Go(func() error { return c.follower.Run(ctx) })
	c.group.Go(func() error { return c.coordinator.Run(ctx) })
	go func() {
		if err := c.group.Wait(); err != nil && ctx.Err() != nil && !c.leaving.Load() {
			c.failed <- err
		}
	}()
	c.log.Info("started", "member", string(c.settings.Member), "data-centre", string(c.settings.DataCentre),
		"front", c.adapter.FrontAddress, "run-lease", c.periods.RunLease.String(), "presence", c.periods.Presence.String())
	return nil
}

// served hides the error of a regular end.
func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop hands the leadership over, waits until no new connections arrive and answers what is held.
func (c *Cell) stop(ctx context.Context) error {
	started := time.Now()
	c.leaving.Store(true)
	c.coordinator.Leave(ctx)
	c.log.Info("left the cell", "took", time.Since(started).String())
	select {
	case <-ctx.Done():
	case <-time.After(c.periods.Drain - time.Since(started)):
	}
	stopping, cancel := context.WithTimeout(ctx, c.periods.StopWithin)
	defer cancel()
	err := c.front.Shutdown(stopping)
	if err != nil {
		c.log.Info("requests were cut off by the shutdown", "error", err.Error())
	}
	c.cancel()
	_ = c.readiness.Close() // neither checks nor operators need an answer any more
	_ = c.operator.Close()
	c.node.Close()
	c.log.Info("stopped", "took", time.Since(started).String())
	return err
}
