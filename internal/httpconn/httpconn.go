// Package httpconn closes pooled HTTP connections that have gone silent, which neither end is told of.
package httpconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// ErrNotConnected marks the error of a call that failed before it had a connection, so that the remote side can't have seen it.
var ErrNotConnected = errors.New("no connection")

// handOverTime is the age from which a connection without a call counts as idle. A younger one may be about to get its first call,
// which would be lost.
const handOverTime = 100 * time.Millisecond

// Transport is an HTTP transport that closes idle connections of which a lost call shows that they may be silent: those to the same
// address that have brought nothing since the call was sent. Without it, each of them would cost a call of its own. Connections
// that have answered other calls since stay open, and calls in progress aren't touched. HTTP/2 isn't supported.
type Transport struct {
	pool *http.Transport

	mu   sync.Mutex
	open map[string]map[*connection]bool // by address
}

// connection records when it last brought bytes and how many calls use it.
type connection struct {
	net.Conn
	transport *Transport
	address   string // that was dialled

	// Guarded by transport.mu.
	calls  int
	sentAt time.Time // of the last call
	readAt time.Time
}

// New returns a transport with the settings of a pool, whose DialContext must be set. It takes over the pool.
func New(pool *http.Transport) *Transport {
	t := &Transport{pool: pool, open: map[string]map[*connection]bool{}}
	dial := pool.DialContext
	pool.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: raw, transport: t, address: address, readAt: time.Now()}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.open[address] == nil {
			t.open[address] = map[*connection]bool{}
		}
		t.open[address][c] = true
		return c, nil
	}
	return t
}

// RoundTrip implements http.RoundTripper. The error of a call without a connection wraps ErrNotConnected.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c := &call{}
	c.trace = httptrace.ClientTrace{GotConn: c.gotConn, PutIdleConn: c.putIdleConn}
	ctx := httptrace.WithClientTrace(r.Context(), &c.trace)
	response, err := t.pool.RoundTrip(r.WithContext(ctx))
	if err != nil && c.used != nil && !errors.Is(context.Cause(ctx), context.Canceled) {
		t.CloseIdleSince(c.used.address, c.sentAt)
	}
	if err != nil && !c.connected {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	return response, err
}

// call is what RoundTrip learns of the connection of a call.
type call struct {
	trace     httptrace.ClientTrace
	connected bool
	used      *connection // nil if it isn't tracked
	sentAt    time.Time
}

func (c *call) gotConn(i httptrace.GotConnInfo) {
	c.connected, c.used, c.sentAt = true, trackedConn(i.Conn), time.Now()
	c.used.use(1)
}

func (c *call) putIdleConn(err error) {
	if err == nil {
		c.used.use(-1)
	}
}

// trackedConn returns the connection that New's dial function made, or nil.
func trackedConn(conn net.Conn) *connection {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	c, _ := conn.(*connection)
	return c
}

// CloseIdleSince closes the idle connections to an address that have brought nothing after a time. A working one among them costs
// a new connection.
func (t *Transport) CloseIdleSince(address string, at time.Time) {
	t.mu.Lock()
	if latest := time.Now().Add(-handOverTime); latest.Before(at) {
		at = latest
	}
	var idle []*connection
	for c := range t.open[address] {
		if c.calls == 0 && c.readAt.Before(at) {
			idle = append(idle, c)
		}
	}
	t.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// OldestUnanswered returns the time at which the oldest call to an address was sent that is in progress and whose connection has
// brought nothing since, and whether there is any.
func (t *Transport) OldestUnanswered(address string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var oldest time.Time
	for c := range t.open[address] {
		if c.calls > 0 && c.readAt.Before(c.sentAt) && (oldest.IsZero() || c.sentAt.Before(oldest)) {
			oldest = c.sentAt
		}
	}
	return oldest, !oldest.IsZero()
}

// CloseIdleConnections closes all idle connections.
func (t *Transport) CloseIdleConnections() { t.pool.CloseIdleConnections() }

// use records that a call uses the connection, or with -1 that it has ended.
func (c *connection) use(calls int) {
	if c == nil {
		return
	}
	c.transport.mu.Lock()
	defer c.transport.mu.Unlock()
	if c.calls += calls; calls > 0 {
		c.sentAt = time.Now()
	}
}

// Read implements net.Conn.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.transport.mu.Lock()
		c.readAt = time.Now()
		c.transport.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.transport.mu.Lock()
	delete(c.transport.open[c.address], c)
	if len(c.transport.open[c.address]) == 0 {
		delete(c.transport.open, c.address)
	}
	c.transport.mu.Unlock()
	return c.Conn.Close()
}
