// Package daemon builds one daemon out of its parts and runs them as a group that stops together.
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

// parts are the components of a daemon. The components refer to each other through functions that look them up
// here, because several of them need each other.
type parts struct {
	settings   settings.Serve
	log        logr.Logger
	metrics    *metrics.Set
	store      platform.Store
	hosts      platform.HostList
	certs      *peer.Certificates // nil without TLS between daemons
	portCerts  *peer.Certificates // of the caller and operator ports; nil without TLS on them
	node       *peer.Node
	members    *member.Group
	table      *ownership.Table
	pool       *placement.Pool
	blame      *blame.Tracker
	fleet      *fleet.Fleet
	limits     *limit.Allocator
	claims     *claim.Table
	dispatcher *dispatch.Dispatcher
	jobs       *job.Table
	rollout    *rollout.Rollout
	requests   *request.Service
	callers    *caller.Server
	operators  *operator.Server
	client     *http.Client // of the backend servers
	outgoing   *outgoing
	owners     *owners
	clearance  *clearance
	drains     drains
}

// Daemon is one process of the cell.
type Daemon struct {
	parts
	ready     atomic.Bool
	confirmed atomic.Bool // the configuration was confirmed as current once
	group     *errgroup.Group
	cancel    context.CancelFunc
	stopped   sync.Once
	callerL   net.Listener
	operL     net.Listener
	peerL     net.Listener
	callerS   *http.Server
	operS     *http.Server
	failures  chan error
	peerDial  Dial
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// New assembles a daemon from checked settings. It opens no connection.
func New(s settings.Serve, log logr.Logger) (*Daemon, error) { return NewWithDial(s, log, nil) }

// NewWithDial assembles a daemon that reaches its peers through dial; nil means plain TCP.
func NewWithDial(s settings.Serve, log logr.Logger, dial Dial) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	d := &Daemon{failures: make(chan error, 1), peerDial: dial}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, d),
		fx.Provide(func() logr.Logger { return log }, metrics.NewSet, backend.NewHTTPClient),
		fx.Invoke(
			buildBase, buildPlatform, buildPeer, buildMembers, buildConfiguration, buildLimits, buildServers,
			buildDispatcher, buildClaims, buildJobs, buildRequests, buildCallers, buildOperators, registerPeers, registerGauges, connect,
		),
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("assemble daemon %s: %w", s.Member, err)
	}
	return d, nil
}

func buildBase(d *Daemon, s settings.Serve, log logr.Logger, set *metrics.Set, client *http.Client) error {
	d.settings, d.log, d.metrics = s, log.WithValues("member", s.Member), set
	d.outgoing = &outgoing{RoundTripper: client.Transport}
	d.client = &http.Client{Transport: d.outgoing}
	d.owners, d.clearance = newOwners(), newClearance()
	var err error
	d.blame, err = blame.New(blame.Config{Now: time.Now})
	if err != nil {
		return fmt.Errorf("create blame tracker: %w", err)
	}
	return nil
}

// Ready reports whether the daemon takes callers. A new daemon must have confirmed its configuration once; when the
// confirmation is lost later it stays ready, because open queues go on.
func (d *Daemon) Ready() bool {
	if !d.ready.Load() || !d.members.Joined() || d.rollout.Current().Version() == 0 {
		return false
	}
	if !d.confirmed.Load() {
		d.confirmed.Store(d.rollout.Fresh())
	}
	return d.confirmed.Load()
}

// Failed returns a channel with the error of a part that ended by itself.
func (d *Daemon) Failed() <-chan error { return d.failures }

// Start opens the ports and runs all parts.
func (d *Daemon) Start(ctx context.Context) error {
	var err error
	if d.peerL, err = listen(ctx, d.settings.PeerListen); err != nil {
		return err
	}
	if d.callerL, err = listen(ctx, d.settings.CallerListen); err != nil {
		return err
	}
	if d.operL, err = listen(ctx, d.settings.OperatorListen); err != nil {
		return err
	}
	d.secure()
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.group, base = errgroup.WithContext(base)
	d.callerS, d.operS = d.callers.HTTPServer(), d.operators.HTTP()
	// Failed handshakes go to the daemon's log instead of the standard one.
	errorLog := slog.NewLogLogger(logr.ToSlogHandler(d.log.WithName("http")), slog.LevelInfo)
	d.callerS.ErrorLog, d.operS.ErrorLog = errorLog, errorLog
	for name, run := range map[string]func(context.Context) error{
		"peers":         func(ctx context.Context) error { return d.node.Serve(ctx, d.peerL) },
		"members":       d.members.Run,
		"backends":      d.table.Run,
		"fleet":         d.fleet.Run,
		"limits":        d.limits.Run,
		"configuration": d.rollout.Run,
		"dispatcher":    d.dispatcher.Run,
		"jobs":          d.jobs.Run,
		"clearance":     d.runClearance,
		"claims":        d.claims.Run,
		"callers":       func(context.Context) error { return serve(d.callerS, d.callerL) },
		"operators":     func(context.Context) error { return serve(d.operS, d.operL) },
	} {
		d.group.Go(func() error {
			if err := run(base); err != nil {
				return fmt.Errorf("run %s: %w", name, err)
			}
			return nil
		})
	}
	go func() {
		if err := d.group.Wait(); err != nil {
			d.failures <- err
		}
	}()
	d.ready.Store(true)
	d.log.Info("daemon started", "callers", d.callerL.Addr().String(), "operators", d.operL.Addr().String(),
		"peers", d.peerL.Addr().String(), "data-centre", d.settings.DataCentre, "region", d.settings.Region)
	return nil
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

// drainPause lets the balancer see the readiness before the caller port closes.
const drainPause = 500 * time.Millisecond

// Stop shuts the daemon down without cutting off a request: it stops being ready, leaves the backend servers to
// its peers, answers the callers that it holds, leaves the view and ends its parts.
func (d *Daemon) Stop(ctx context.Context) error {
	var err error
	d.stopped.Do(func() { err = d.shutdown(ctx) })
	return err
}

func (d *Daemon) shutdown(ctx context.Context) error {
	d.ready.Store(false)
	d.log.Info("draining", "held", d.requests.Held(), "queued", d.dispatcher.Backlog())
	d.callers.Drain()
	if err := d.members.Drain(ctx); err != nil {
		d.log.Info("draining isn't in the member view yet", "error", err.Error())
	}
	sleep(ctx, drainPause)
	drained := d.callerS.Shutdown(ctx)
	d.requests.WaitForClaims()
	if err := d.members.Leave(ctx); err != nil {
		d.log.Info("the member view was not left; peers remove this member", "error", err.Error())
	}
	d.end(ctx)
	if drained != nil {
		return fmt.Errorf("answer held requests: %w", drained)
	}
	d.log.Info("stopped")
	return nil
}

// Kill ends the daemon at once, like the death of its process: nothing is handed over or answered, and no backend
// server or peer hears of the callers whose connections break.
func (d *Daemon) Kill() {
	d.stopped.Do(func() {
		d.ready.Store(false)
		d.outgoing.dead.Store(true)
		d.node.Close()
		_ = d.callerS.Close()
		_ = d.operS.Close() // A graceful shutdown would wait for the operators' connections.
		d.end(context.Background())
	})
}

func (d *Daemon) end(ctx context.Context) {
	d.cancel()
	_ = d.callerS.Close()
	_ = d.operS.Shutdown(ctx)
	_ = d.peerL.Close()
	d.node.Close()
	_ = d.group.Wait()
	d.client.CloseIdleConnections()
}

// CallerAddress returns the address of the caller port.
func (d *Daemon) CallerAddress() string { return d.callerL.Addr().String() }

// OperatorAddress returns the address of the operator port.
func (d *Daemon) OperatorAddress() string { return d.operL.Addr().String() }

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
