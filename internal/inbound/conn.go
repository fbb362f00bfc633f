package inbound

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// phase is what a connection does.
type phase int32

const (
	phaseHeader  phase = iota // a header is awaited for the first time, or arriving
	phaseBody                 // a body is arriving
	phaseHandled              // a complete request is being served
	phaseIdle                 // between requests
)

// Conn is an accepted connection. It counts what it holds.
type Conn struct {
	net.Conn
	budget   *Budget
	listener *Listener
	address  netip.Addr

	phase      atomic.Int32
	startedAt  atomic.Int64 // when the request began to arrive, or the connection became idle
	progressAt atomic.Int64 // when bytes arrived last
	writingAt  atomic.Int64 // when a write began that hasn't returned, or 0

	// Used by the goroutine that serves the connection; the HTTP server reads elsewhere only while a request is being handled.
	reading     bool // has begun to read
	headerBytes int
	headerPaid  int   // of headerBytes
	headerHeld  int64 // memory

	// Guarded by budget.mu.
	held    int64
	evicted bool
	closed  bool
}

// Read implements net.Conn. It reserves memory for a header that goes on after the HTTP server's first read, which may have brought a
// part of the body as well.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.reading {
		c.reading = true
		now := int64(c.budget.now())
		c.startedAt.Store(now)
		c.progressAt.Store(now)
	}
	inHeader := phase(c.phase.Load()) == phaseHeader
	if due := c.headerBytes - c.headerPaid - freeBytes; inHeader && due > 0 {
		n := int64(due) * headerFactor
		if c.budget.reserve(c, n) != nil {
			c.budget.reports.add(refusedHeader)
			_ = c.Conn.Close()
			return 0, net.ErrClosed
		}
		c.headerPaid += due
		c.headerHeld += n
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := int64(c.budget.now())
	c.progressAt.Store(now)
	if c.phase.CompareAndSwap(int32(phaseIdle), int32(phaseHeader)) {
		c.startedAt.Store(now)
		inHeader = true
	}
	if inHeader {
		c.headerBytes += n
	}
	return n, err
}

// Write implements net.Conn. It records since when the caller hasn't read its responses.
func (c *Conn) Write(p []byte) (int, error) {
	c.writingAt.Store(max(int64(c.budget.now()), 1))
	defer c.writingAt.Store(0)
	return c.Conn.Write(p)
}

// Close implements net.Conn. The HTTP server calls it when it has dropped everything that belongs to the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return err
	}
	c.closed = true
	b.releaseLocked(c, -1)
	if !c.evicted {
		c.listener.open--
		c.listener.perAddress.remove(c.address)
	}
	delete(b.conns, c)
	c.listener.total--
	return err
}

// CloseWrite ends the sending side. The HTTP server uses it so that a caller gets a refusal before the connection is reset.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// handled records that the request has arrived.
func (c *Conn) handled() { c.phase.Store(int32(phaseHandled)) }

// idle records that a request has been answered, and releases its header.
func (c *Conn) idle() {
	c.phase.Store(int32(phaseIdle))
	c.startedAt.Store(int64(c.budget.now()))
	if c.headerHeld > 0 {
		c.budget.release(c, c.headerHeld)
	}
	c.headerBytes, c.headerPaid, c.headerHeld = 0, 0, 0
}

func (c *Conn) currentPhase() phase { return phase(c.phase.Load()) }

// unfinished reports whether a request is arriving or awaited for the first time.
func (p phase) unfinished() bool { return p <= phaseBody }

// unread returns since when a response has been waiting for its caller to read, and whether that is long. The request has been answered, so
// that closing the connection hides nothing from a caller that reads.
func (c *Conn) unread(now time.Duration) (since time.Duration, long bool) {
	since = time.Duration(c.writingAt.Load())
	return since, since > 0 && now-since >= stallTime
}

// rank orders connections by their worth.
type rank struct {
	crowded  bool // its address has many connections, while others have few
	slow     bool // its request should have arrived by now
	arriving bool // its request began to arrive lately
	stalled  bool
	since    time.Duration // when the stall, the request or the idle time began
}

// rank returns the worth of a connection in a phase.
func (c *Conn) rank(now time.Duration, p phase) rank {
	r := rank{crowded: c.listener.crowded(c.address), since: time.Duration(c.startedAt.Load())}
	if since, long := c.unread(now); long {
		r.slow, r.stalled, r.since = true, true, since
		return r
	}
	if !p.unfinished() {
		return r
	}
	r.slow = now-r.since >= arrivalTime
	r.arriving = !r.slow
	if progress := time.Duration(c.progressAt.Load()); now-progress >= stallTime {
		r.stalled, r.since = true, progress
	}
	return r
}

// less reports whether a connection is worth less than another one.
func (r rank) less(o rank) bool {
	switch {
	case r.slow != o.slow:
		return r.slow
	case r.arriving != o.arriving:
		return o.arriving
	case r.crowded != o.crowded:
		return r.crowded
	case r.stalled != o.stalled:
		return r.stalled
	}
	return r.since < o.since
}
