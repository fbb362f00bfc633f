package inbound

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer bounds the bytes of a connection that have arrived and aren't read, which count toward the memory of a host; the
	// kernel doubles it for its own structures and would let it grow to megabytes. A request of up to 14 KB arrives in one round trip anyway.
	receiveBuffer = 32 << 10
	// crowdShare of a listener's connections makes an address a crowd.
	crowdShare = 4
	// closingShare of the bound is how many closed connections may have goroutines that haven't ended.
	closingShare = 4
	// acceptPause is the time between two looks at the connections, and maxAcceptPause bounds the wait for room.
	acceptPause    = time.Millisecond
	maxAcceptPause = time.Second
)

// Listener accepts connections up to a bound. For a new one beyond it, it closes the connection that is worth least.
type Listener struct {
	net.Listener
	budget *Budget
	most   int

	// Guarded by budget.mu.
	open       int // without those that were closed for others
	total      int
	perAddress addressCounts
}

// addressCounts counts the open connections of each address.
type addressCounts map[netip.Addr]int

func (a addressCounts) remove(x netip.Addr) {
	if a[x]--; a[x] <= 0 {
		delete(a, x)
	}
}

// Listen opens a listener whose connections have small receive buffers. Not more than most are open at once.
func (b *Budget) Listen(ctx context.Context, name, address string, most int) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		// Accepted connections inherit it, which also holds for those that wait to be accepted.
		if err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		}); err != nil {
			return err
		}
		return failed
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	limited := &Listener{Listener: l, budget: b, most: most, perAddress: addressCounts{}}
	b.config.Metrics.GetOrCreateGauge(fmt.Sprintf("rosemaryspoke_inbound_connections{listener=%q}", name), func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(limited.open)
	})
	return limited, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		roomKnown := l.awaitRoom()
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, budget: l.budget, listener: l}
		if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
			c.address = a.AddrPort().Addr().Unmap()
		}
		// Until its goroutine reads, a connection counts as arriving: on a busy host that may take a second, which isn't the caller's delay.
		c.startedAt.Store(math.MaxInt64)
		c.progressAt.Store(math.MaxInt64)
		added := l.add(c, !roomKnown)
		for roomKnown && !added { // the room that was seen is taken, as a request has arrived there meanwhile
			roomKnown = l.awaitRoom()
			added = l.add(c, !roomKnown)
		}
		if added {
			return c, nil
		}
		l.budget.reports.add(refusedConnection)
		_ = raw.Close()
	}
}

// add adds a connection, in place of another one if necessary. It returns false if all others are being served, or have begun to send a
// request lately and this one hasn't waited for long.
func (l *Listener) add(c *Conn, waited bool) bool {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.open >= l.most {
		now := b.now()
		worst, r := b.worst(func(x *Conn, p phase) bool { return x.replaceable(l, now, p) })
		if worst == nil || r.arriving && !waited {
			return false
		}
		b.evict(worst, closedForConnection)
	}
	l.open++
	l.total++
	l.perAddress[c.address]++
	b.conns[c] = struct{}{}
	return true
}

// awaitRoom waits while many closed connections still have goroutines, which hold memory until they run, or while all connections are being
// served or have begun to send a request. New connections then wait in the system's queue, which takes none of the process's memory. It
// reports whether there is room.
func (l *Listener) awaitRoom() bool {
	for began := time.Now(); time.Since(began) < maxAcceptPause; time.Sleep(acceptPause) {
		if l.hasRoom() {
			return true
		}
	}
	return false
}

// hasRoom reports whether a connection can be accepted now, perhaps in place of another one.
func (l *Listener) hasRoom() bool {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.total-l.open > l.most/closingShare {
		return false
	}
	if l.open < l.most {
		return true
	}
	now := b.now()
	for c := range b.conns {
		// The phase is read once: a request that arrives between two looks would make the connection look like an idle one.
		if p := c.currentPhase(); c.replaceable(l, now, p) && !c.rank(now, p).arriving {
			return true
		}
	}
	return false
}

// replaceable reports whether a connection in a phase may be closed for a new one of a listener.
func (c *Conn) replaceable(l *Listener, now time.Duration, p phase) bool {
	if c.listener != l || c.evicted {
		return false
	}
	_, unread := c.unread(now)
	return unread || p != phaseHandled
}

// crowded reports whether an address has many of the connections and isn't the only one with many, as behind a balancer.
func (l *Listener) crowded(a netip.Addr) bool {
	return len(l.perAddress) > 1 && l.perAddress[a] > l.most/crowdShare
}
