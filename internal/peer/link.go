package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/sourcegraph/jsonrpc2"
)

// Bounds of the backoff between dials to one peer. The maximum is below 2.2 s, the time within which an urgent task
// must start.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// link manages the outgoing connection to one peer. At most one connection is open; it is dialled on demand.
type link struct {
	node     *Node
	member   ident.MemberID // empty when only the address is known
	inFlight chan struct{}  // semaphore with MaxInFlight slots, one per call

	lock          sync.Mutex
	conn          *outboundConn
	dialDone      chan struct{} // closed when the dial in progress ends; nil while there is none
	backoff       time.Duration
	redialAfter   time.Time
	lastDialError error
	closed        bool
	checking      bool          // a silence check is in progress
	patience      time.Duration // how long the next silence check waits for a reply to its ping
	comparedAt    time.Time     // when a silence check last opened a second connection
}

// outboundConn is one dialled connection.
type outboundConn struct {
	node      *Node
	link      *link
	address   string
	conn      net.Conn
	stream    *stream
	rpc       *jsonrpc2.Conn
	writeSlot chan struct{} // semaphore with one slot, held while a request is written
	lastID    uint64        // id of the last call; guarded by writeSlot
	activity  *activity
	abandoned atomic.Int64 // calls that ended without a reply; jsonrpc2 keeps their state until the connection closes
}

// link returns the link with the key and creates it on first use.
func (n *Node) link(key string, to ident.MemberID) (*link, error) {
	n.linksLock.Lock()
	defer n.linksLock.Unlock()
	if n.closed {
		return nil, fmt.Errorf("%w: node is closed", ErrUnreachable)
	}
	l, ok := n.links[key]
	if !ok {
		l = &link{node: n, member: to, inFlight: make(chan struct{}, n.config.MaxInFlight)}
		n.links[key] = l
	}
	return l, nil
}

// connect returns the open connection to the address, or dials it. Concurrent callers share one dial; during the
// backoff after a failed dial they get its error at once.
func (l *link) connect(ctx context.Context, address string) (*outboundConn, error) {
	for {
		l.lock.Lock()
		if l.closed {
			l.lock.Unlock()
			return nil, errors.New("node is closed")
		}
		if l.conn != nil && l.conn.isOpen() && l.conn.address == address {
			defer l.lock.Unlock()
			return l.conn, nil
		}
		if l.conn != nil {
			_ = l.conn.rpc.Close()
			l.conn = nil
		}
		dialDone := l.dialDone
		if dialDone == nil {
			if l.node.now().Before(l.redialAfter) {
				defer l.lock.Unlock()
				return nil, fmt.Errorf("backing off after a failed dial: %w", l.lastDialError)
			}
			dialDone = make(chan struct{})
			l.dialDone = dialDone
			if !l.node.goTracked(func() { l.dialOnce(address, dialDone) }) {
				l.dialDone = nil
				l.lock.Unlock()
				return nil, errors.New("node is closed")
			}
		}
		l.lock.Unlock()
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, fmt.Errorf("dial %s: %w", address, ctx.Err())
		}
	}
}

// dialOnce makes one attempt to connect and closes done at its end. It is independent of the contexts of the callers that
// wait for it.
func (l *link) dialOnce(address string, done chan struct{}) {
	ctx, cancel := context.WithTimeout(l.node.ctx, handshakeTimeout)
	defer cancel()
	l.node.counters.dials.Inc()
	conn, err := l.dialAndHandshake(ctx, address)
	l.lock.Lock()
	defer l.lock.Unlock()
	defer close(done)
	l.dialDone = nil
	if err != nil {
		l.backoff = min(max(2*l.backoff, initialBackoff), maxBackoff)
		l.redialAfter = l.node.now().Add(l.backoff/2 + rand.N(l.backoff/2))
		l.lastDialError = err
		return
	}
	if l.closed {
		_ = conn.rpc.Close()
		return
	}
	l.backoff, l.redialAfter, l.lastDialError = 0, time.Time{}, nil
	l.conn = conn
}

// dialAndHandshake opens a connection, runs the TLS handshake and waits for the greeting.
func (l *link) dialAndHandshake(ctx context.Context, address string) (*outboundConn, error) {
	n := l.node
	if n.lacksTLS(address) {
		return nil, fmt.Errorf("dial %s: %w", address, ErrInsecure)
	}
	raw, err := n.config.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	a := newActivity()
	var conn net.Conn = &countedConn{Conn: raw, counters: n.counters, activity: a}
	if n.config.TLS != nil {
		if conn, err = n.config.TLS.clientHandshake(ctx, conn, l.member); err != nil {
			_ = raw.Close()
			n.counters.countRefusal(refusedCertificate)
			return nil, fmt.Errorf("handshake with %s: %w", address, err)
		}
	}
	if err := awaitGreeting(conn); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	o := &outboundConn{
		node: n, link: l, address: address, conn: conn, stream: newStream(conn, n), writeSlot: make(chan struct{}, 1), activity: a,
	}
	a.onOverdue = func() { n.goTracked(o.checkSilence) }
	o.rpc = jsonrpc2.NewConn(n.ctx, o.stream, o, o.stream.connOptions()...)
	return o, nil
}

// greeting is the protocol version, which the server sends as the first byte of a connection. In TLS 1.3 the client's
// handshake ends before the server has verified the client's certificate, so only the greeting shows that the server
// accepts the connection and reads requests.
const greeting byte = 1

// sendGreeting writes the greeting to an accepted connection.
func sendGreeting(conn net.Conn) error {
	_ = conn.SetWriteDeadline(time.Now().Add(handshakeTimeout))
	_, err := conn.Write([]byte{greeting})
	return err
}

// awaitGreeting reads the greeting from a dialled connection.
func awaitGreeting(conn net.Conn) error {
	var first [1]byte
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	if _, err := conn.Read(first[:]); err != nil {
		return fmt.Errorf("await greeting: %w", err)
	}
	if first[0] != greeting {
		return fmt.Errorf("await greeting: unknown protocol version %d", first[0])
	}
	return conn.SetReadDeadline(time.Time{})
}

// Handle implements jsonrpc2.Handler. Only the dialling side sends requests, so a request from the other side is a
// protocol error and closes the connection.
func (o *outboundConn) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	o.node.counters.countRefusal(refusedMalformed)
	_ = conn.Close()
}

// isOpen reports whether the connection is open.
func (o *outboundConn) isOpen() bool {
	select {
	case <-o.rpc.DisconnectNotify():
		return false
	default:
		return true
	}
}

// recordAbandoned counts a call that ended without a reply. It closes the connection if nothing was received for a
// whole call timeout, as after a silent loss of the peer, or if more than MaxInFlight calls have ended without a reply.
func (o *outboundConn) recordAbandoned(started time.Time) {
	silent := o.node.now().Sub(started) >= o.node.config.CallTimeout && !o.stream.readSince(started)
	if silent || o.abandoned.Add(1) > int64(o.node.config.MaxInFlight) {
		_ = o.rpc.Close()
	}
}

// close closes the connection and prevents further dials.
func (l *link) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.rpc.Close()
		l.conn = nil
	}
}

// closeUntrusted closes the connection when the reloaded authorities don't verify its peer.
func (l *link) closeUntrusted() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.conn != nil && !l.node.config.TLS.trusted(l.conn.conn, serverAuth) {
		_ = l.conn.rpc.Close()
		l.conn = nil
	}
}
