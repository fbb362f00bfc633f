// Package daemon assembles a daemon from its components and runs them as one group: when one of them fails, the context of
// all others is cancelled.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/blame"
	"github.com/rosemaryspoke/rosemaryspoke/internal/caller"
	"github.com/rosemaryspoke/rosemaryspoke/internal/claim"
	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/fleet"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/job"
	"github.com/rosemaryspoke/rosemaryspoke/internal/limit"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/operator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/ownership"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/request"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
)

// components holds the components of a daemon. They have circular dependencies, so they call each other through
// functions that look the component up here at the time of the call.
type components struct {
	settings         settings.Serve
	log              logr.Logger
	metrics          *metrics.Set
	store            platform.Store
	hosts            platform.HostList
	peerCerts        *peer.Certificates // nil if TLS between daemons is off
	httpCerts        *peer.Certificates // for the caller and operator ports; nil if TLS is off there
	node             *peer.Node
	members          *member.Group
	table            *ownership.Table
	pool             *placement.Pool
	blame            *blame.Tracker
	fleet            *fleet.Fleet
	limits           *limit.Allocator
	claims           *claim.Table
	dispatcher       *dispatch.Dispatcher
	jobs             *job.Table
	rollout          *rollout.Rollout
	requests         *request.Service
	callers          *caller.Server
	operators        *operator.Server
	client           *http.Client // for calls to backend servers
	backendTransport *backendTransport
	ownership        *ownershipTracker
	adoptions        *adoptionTracker
	inbound          *inbound.Budget
	drainedHosts     drainedHosts
}

// Daemon is one member of a cell: its components, listeners and HTTP servers.
type Daemon struct {
	components
	ready            atomic.Bool
	configConfirmed  atomic.Bool // the configuration has been confirmed as current at least once
	group            *errgroup.Group
	cancel           context.CancelFunc
	stopOnce         sync.Once
	callerListener   net.Listener
	operatorListener net.Listener
	peerListener     net.Listener
	callerServer     *http.Server
	operatorServer   *http.Server
	failures         chan error
	peerDial         DialFunc
}

// DialFunc opens a network connection to an address, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New validates the settings and assembles a daemon. It opens no connections.
func New(s settings.Serve, log logr.Logger) (*Daemon, error) { return NewWithDialer(s, log, nil) }

// NewWithDialer is New with a dialer for connections to peers; nil means plain TCP.
func NewWithDialer(s settings.Serve, log logr.Logger, dial DialFunc) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	d := &Daemon{failures: make(chan error, 1), peerDial: dial}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, d),
		fx.Provide(func() logr.Logger { return log }, metrics.NewSet, backend.NewHTTPClient),
		fx.Invoke(
			buildBase, buildPlatform, buildPeer, buildMembers, buildConfiguration, buildLimits, buildOwnership,
			buildDispatcher, buildClaims, buildJobs, buildRequests, buildInbound, buildCallers, buildOperators,
			registerPeers, registerGauges, registerChangeHandlers,
		),
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("assemble daemon %s: %w", s.Member, err)
	}
	return d, nil
}

func buildBase(d *Daemon, s settings.Serve, log logr.Logger, set *metrics.Set, client *http.Client) error {
	d.settings, d.log, d.metrics = s, log.WithValues("member", s.Member), set
	d.backendTransport = &backendTransport{RoundTripper: client.Transport}
	d.client = &http.Client{Transport: d.backendTransport}
	d.ownership, d.adoptions = newOwnershipTracker(), newAdoptionTracker()
	var err error
	d.blame, err = blame.New(blame.Config{Now: time.Now})
	if err != nil {
		return fmt.Errorf("create blame tracker: %w", err)
	}
	return nil
}

// Ready reports whether the daemon accepts callers. A new daemon must have confirmed its configuration as current once.
// It stays ready when the configuration is no longer fresh, because open queues keep working.
func (d *Daemon) Ready() bool {
	if !d.ready.Load() || !d.members.Joined() || d.rollout.Current().Version() == 0 {
		return false
	}
	if !d.configConfirmed.Load() {
		d.configConfirmed.Store(d.rollout.Fresh())
	}
	return d.configConfirmed.Load()
}

// Failed returns a channel that receives the error of the first component that failed before the daemon was stopped. The HTTP
// servers go on until Stop or Kill.
func (d *Daemon) Failed() <-chan error { return d.failures }

// Start opens the listeners and runs all components in the background.
func (d *Daemon) Start(ctx context.Context) error {
	var err error
	if d.peerListener, err = listen(ctx, d.settings.PeerListen); err != nil {
		return err
	}
	if err := d.listenHTTP(ctx); err != nil {
		return err
	}
	d.enableTLS()
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.group, base = errgroup.WithContext(base)
	d.callerServer, d.operatorServer = d.callers.HTTPServer(), d.operators.HTTP()
	for _, s := range []*http.Server{d.callerServer, d.operatorServer} {
		s.MaxHeaderBytes = d.settings.MaxHeaderBytes
		d.inbound.Attach(s)
	}
	// TLS handshake errors go to the daemon's log instead of the standard logger.
	errorLog := slog.NewLogLogger(logr.ToSlogHandler(d.log.WithName("http")), slog.LevelInfo)
	d.callerServer.ErrorLog, d.operatorServer.ErrorLog = errorLog, errorLog
	for name, run := range map[string]func(context.Context) error{
		"peers":         func(ctx context.Context) error { return d.node.Serve(ctx, d.peerListener) },
		"members":       d.members.Run,
		"backends":      d.table.Run,
		"fleet":         d.fleet.Run,
		"limits":        d.limits.Run,
		"configuration": d.rollout.Run,
		"dispatcher":    d.dispatcher.Run,
		"jobs":          d.jobs.Run,
		"clearance":     d.runAdoptionChecks,
		"claims":        d.claims.Run,
		"callers":       func(context.Context) error { return serve(d.callerServer, d.callerListener) },
		"operators":     func(context.Context) error { return serve(d.operatorServer, d.operatorListener) },
	} {
		d.group.Go(func() error {
			err := run(base)
			if err == nil {
				return nil
			}
			err = fmt.Errorf("run %s: %w", name, err)
			if base.Err() == nil {
				d.reportFailure(err)
			}
			return err
		})
	}
	d.ready.Store(true)
	d.log.Info("daemon started", "callers", d.callerListener.Addr().String(), "operators", d.operatorListener.Addr().String(),
		"peers", d.peerListener.Addr().String(), "data-centre", d.settings.DataCentre, "region", d.settings.Region)
	return nil
}

// reportFailure reports the error of a component, unless another one was reported.
func (d *Daemon) reportFailure(err error) {
	select {
	case d.failures <- err:
	default:
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", l.Addr(), err)
	}
	return nil
}

// drainDelay gives the load balancer time to see that the daemon is not ready before the caller port closes.
const drainDelay = 500 * time.Millisecond

// Stop shuts the daemon down gracefully: it reports not ready, hands its backend servers over to its peers, answers the
// held requests, leaves the member view and stops its components.
func (d *Daemon) Stop(ctx context.Context) error {
	var err error
	d.stopOnce.Do(func() { err = d.shutdown(ctx) })
	return err
}

func (d *Daemon) shutdown(ctx context.Context) error {
	d.ready.Store(false)
	d.log.Info("draining", "held", d.requests.Held(), "queued", d.dispatcher.Backlog())
	d.callers.Drain()
	if err := d.members.Drain(ctx); err != nil {
		d.log.Info("failed to mark this member as draining in the member view", "error", err.Error())
	}
	sleep(ctx, drainDelay)
	drained := d.callerServer.Shutdown(ctx)
	d.requests.WaitForClaims()
	if err := d.members.Leave(ctx); err != nil {
		d.log.Info("failed to leave the member view; peers will remove this member", "error", err.Error())
	}
	d.stopComponents(ctx)
	if drained != nil {
		return fmt.Errorf("answer held requests: %w", drained)
	}
	d.log.Info("stopped")
	return nil
}

// Kill stops the daemon at once, as if its process had crashed: nothing is handed over or answered, and neither backend
// servers nor peers are told about the callers whose connections break.
func (d *Daemon) Kill() {
	d.stopOnce.Do(func() {
		d.ready.Store(false)
		d.backendTransport.killed.Store(true)
		d.node.Close()
		_ = d.callerServer.Close()
		_ = d.operatorServer.Close() // Shutdown would wait for open operator connections.
		d.stopComponents(context.Background())
	})
}

func (d *Daemon) stopComponents(ctx context.Context) {
	d.cancel()
	_ = d.callerServer.Close()
	_ = d.operatorServer.Shutdown(ctx)
	_ = d.peerListener.Close()
	d.node.Close()
	_ = d.group.Wait()
	d.client.CloseIdleConnections()
}

// CallerAddress returns the address on which the caller port listens.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// OperatorAddress returns the address on which the operator port listens.
func (d *Daemon) OperatorAddress() string { return d.operatorListener.Addr().String() }

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
