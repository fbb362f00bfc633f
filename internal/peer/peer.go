// Package peer implements the JSON-RPC transport between daemons, with mutual TLS, limits on message size and
// concurrency, traffic counters and typed handlers.
package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/tcp"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/zeebo/errs"
)

// Error is the class of the errors that New returns for an invalid Config.
var Error = errs.Class("peer")

// Defaults of Config and fixed limits of the transport.
const (
	DefaultMaxFrameBytes = 4 << 20
	DefaultMaxInFlight   = 512
	DefaultCallTimeout   = 2 * time.Second

	// maxConnections bounds the accepted connections. Each member of a cell of up to 150 opens one; beside it there may be
	// the connection that checks whether it is silent, and former ones until userTimeout.
	maxConnections = 512
	// handshakeTimeout bounds a dial including its TLS handshake, and the handshake of an accepted connection.
	handshakeTimeout = 2 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes, which close connections to a peer that is gone.
	keepAliveInterval = 5 * time.Second
	// minAcceptPause and maxAcceptPause bound the pause after a connection can't be accepted, for example because the process has no
	// descriptor left. It doubles with each failure.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
	// frameTimeout bounds the arrival of an accepted connection's frame that has begun. The largest takes 3.4 s at 10 Mbit/s.
	frameTimeout = 30 * time.Second
	// userTimeout is how long sent data may stay unacknowledged before the kernel closes the connection. Without it an
	// accepted connection that went silent holds its place for minutes once a reply was written to it.
	userTimeout = 10 * time.Second
)

// Config has the settings and dependencies of a Node.
type Config struct {
	// Self returns the sender that is set in outgoing requests.
	Self func() wire.Sender
	// Address returns the peer address of a member as IP:port.
	Address func(ident.MemberID) (string, bool)
	// Dial opens a TCP connection to an address; nil means a net.Dialer with keep-alive probes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS may be nil only when the listen address and all peer addresses are loopback, unless AllowPlaintext is set.
	TLS *Certificates
	// AllowPlaintext allows connections without TLS on any address, for networks that only the installation uses.
	AllowPlaintext bool
	// MaxFrameBytes bounds the size of a message in either direction; 0 means DefaultMaxFrameBytes.
	MaxFrameBytes int
	// MaxInFlight bounds the concurrent requests to a peer and on an accepted connection; 0 means DefaultMaxInFlight.
	MaxInFlight int
	// CallTimeout bounds every call and write; an earlier deadline of a call's context applies. 0 means
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// Receive bounds the memory of large requests on all accepted connections, until they are handled; nil means no bound.
	Receive *inbound.Pool
	// Log receives connection errors.
	Log logr.Logger
	// Metrics is the set in which the counters are registered; nil means a new set.
	Metrics *metrics.Set
}

// Node is the client and server of the peer protocol in one daemon.
type Node struct {
	config   Config
	counters *counters
	now      func() time.Time

	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	handlersLock sync.RWMutex
	handlers     map[string]handler

	linksLock sync.Mutex
	links     map[string]*link // by "member/" and member id or, before membership is known, by "address/" and address
	closed    bool

	acceptedLock sync.Mutex
	accepted     map[*inboundConn]struct{}
}

// New checks the configuration and returns a node without handlers.
func New(c Config) (*Node, error) {
	if c.Self == nil || c.Address == nil {
		return nil, Error.New("configuration fields Self and Address must be set")
	}
	if c.MaxFrameBytes < 0 || c.MaxInFlight < 0 || c.CallTimeout < 0 {
		return nil, Error.New("MaxFrameBytes, MaxInFlight and CallTimeout must not be negative")
	}
	c.MaxFrameBytes = cmp.Or(c.MaxFrameBytes, DefaultMaxFrameBytes)
	c.MaxInFlight = cmp.Or(c.MaxInFlight, DefaultMaxInFlight)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3},
			Control:         tcp.UserTimeout(userTimeout),
		}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		config: c, counters: newCounters(c.Metrics), now: time.Now, ctx: ctx, cancel: cancel,
		handlers: map[string]handler{}, links: map[string]*link{}, accepted: map[*inboundConn]struct{}{},
	}
	if c.TLS != nil {
		c.TLS.onReload(n.closeUntrusted)
	}
	return n, nil
}

// Serve accepts connections until ctx ends, the node is closed or the listener is closed. It closes the listener.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	if n.lacksTLS(l.Addr().String()) {
		_ = l.Close()
		return fmt.Errorf("listen on %s: %w", l.Addr(), ErrInsecure)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(n.ctx, cancel)
	defer stop()
	stopClosing := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stopClosing()
	defer l.Close()
	pause := time.Duration(0)
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept peer connection: %w", err)
		}
		if err != nil {
			if pause == 0 {
				n.config.Log.Error(err, "accept peer connection, retrying", "address", l.Addr().String())
			}
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			continue
		}
		pause = 0
		if !n.goTracked(func() { n.serveConn(ctx, conn) }) {
			_ = conn.Close()
		}
	}
}

// Close closes all connections, cancels the contexts of the running handlers and waits for them.
func (n *Node) Close() {
	n.linksLock.Lock()
	n.closed = true
	links := n.links
	n.links = map[string]*link{}
	n.linksLock.Unlock()
	n.cancel()
	for _, l := range links {
		l.close()
	}
	n.goroutines.Wait()
}

// goTracked runs f in a goroutine that Close waits for. It returns false without running f if the node is closed.
func (n *Node) goTracked(f func()) bool {
	n.linksLock.Lock()
	defer n.linksLock.Unlock()
	if n.closed {
		return false
	}
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
	return true
}

// closeUntrusted closes the connections whose peer certificate the reloaded authorities no longer verify.
func (n *Node) closeUntrusted() {
	n.linksLock.Lock()
	links := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.linksLock.Unlock()
	for _, l := range links {
		l.closeUntrusted()
	}
	n.acceptedLock.Lock()
	defer n.acceptedLock.Unlock()
	for in := range n.accepted {
		if !n.config.TLS.trusted(in.conn, clientAuth) {
			_ = in.conn.Close()
		}
	}
}

// lacksTLS reports whether an address needs TLS and none is configured.
func (n *Node) lacksTLS(address string) bool {
	return n.config.TLS == nil && !n.config.AllowPlaintext && !isLoopback(address)
}

// isLoopback reports whether an IP:port address is a loopback address.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
