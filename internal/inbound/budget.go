// Package inbound bounds what callers make a process hold: connections with their buffers, headers, bodies and decoded requests. When a
// bound is reached, it closes the connections that are worth least.
package inbound

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/sync/semaphore"
)

const (
	// ConnectionBytes is what a connection takes without large headers and bodies: the stack of its goroutine, two buffers of 4 KB, the
	// HTTP server's state, the first freeBytes of headers and body, and half of its receive buffer.
	ConnectionBytes = 48 << 10
	// freeBytes of a header and of a body are part of ConnectionBytes, so that ordinary requests don't use the budget's lock.
	freeBytes = 2 << 10
	// headerFactor is the memory that a byte of a header may take: a field of five bytes becomes a map entry and a slice of over 80.
	headerFactor = 16
	// bodyFactor is the memory that a byte of a body may take while it is read, as buffers grow by copying.
	bodyFactor = 2
	// decodeFactor is the memory that a byte of a complete body may take while it is decoded, recorded and sent to the store: an array
	// element of two bytes becomes a number of eight, and the record has the job in base64.
	decodeFactor = 8
	// maxBodyStep bounds what is reserved for a body ahead of its arrival.
	maxBodyStep = 16 << 10
	// roomTimeout is how long a reader waits for the memory of connections that were closed for it.
	roomTimeout = time.Second
	// stallTime is the time without progress after which an unfinished request counts as stalled. Ordinary requests arrive within
	// milliseconds.
	stallTime = time.Second
	// arrivalTime is how long an unfinished request counts as one that arrives. Before, it is worth more than an idle connection: in a burst
	// on a host with a fifth of a core, hundreds of accepted connections wait to be read.
	arrivalTime = 500 * time.Millisecond
	// RetryAfter is what refused callers are told to wait: after it, stalled requests have been closed.
	RetryAfter = time.Second
)

// Defaults of the settings.
const (
	// DefaultMaxHeaderBytes is what the installations allow callers.
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultBodyTimeout is longer than any caller waits for an answer: 3 s unless it says otherwise.
	DefaultBodyTimeout = time.Minute
)

// ErrFull reports that a request isn't read or decoded for lack of memory. It had no effect.
var ErrFull = errors.New("too many requests are being received")

// Config holds the bounds and dependencies of a Budget.
type Config struct {
	// Memory bounds the bytes that are held for callers. Half is for connections, a quarter each for unfinished requests and for
	// complete ones until they are recorded.
	Memory int64
	// Connections bounds the connections of callers; 0 means as many as half of Memory allows.
	Connections int
	// BodyTimeout bounds the arrival of a body; 0 means that the HTTP server's limits apply.
	BodyTimeout time.Duration
	Log         logr.Logger
	Metrics     *metrics.Set // nil means a new set
}

// MaxConnections returns the bound of the callers' connections.
func (c Config) MaxConnections() int {
	most := int(c.Memory / 2 / ConnectionBytes)
	if c.Connections > 0 {
		most = min(most, c.Connections)
	}
	return max(most, 1)
}

// Budget is the memory of one process for what callers send.
type Budget struct {
	config  Config
	began   time.Time
	decodes *semaphore.Weighted
	reports *reports

	mu       sync.Mutex
	room     int64 // for headers and bodies that are being received
	used     int64
	pending  int64         // part of used that belongs to connections that were closed for others and haven't ended yet
	released chan struct{} // closed at the next release, if anyone waits
	conns    map[*Conn]struct{}
}

// New returns a budget.
func New(c Config) (*Budget, error) {
	if c.Memory < 4*ConnectionBytes {
		return nil, fmt.Errorf("inbound: Memory is %d bytes, at least %d needed", c.Memory, 4*ConnectionBytes)
	}
	c.Metrics = cmp.Or(c.Metrics, metrics.NewSet())
	b := &Budget{
		config: c, began: time.Now(), room: c.Memory / 4, decodes: semaphore.NewWeighted(c.Memory / 4), conns: map[*Conn]struct{}{},
	}
	b.reports = newReports(c.Log, c.Metrics)
	c.Metrics.NewGauge("rosemaryspoke_inbound_reserved_bytes", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.used)
	})
	return b, nil
}

// Decode reserves memory to decode and record a complete body. It waits for at most half of the caller's time, which ends with ctx. The
// returned function gives the memory back.
func (b *Budget) Decode(ctx context.Context, bodyBytes int) (release func(), err error) {
	if bodyBytes <= freeBytes {
		return func() {}, nil
	}
	n := min(int64(bodyBytes)*decodeFactor, b.config.Memory/4)
	wait := roomTimeout
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := b.decodes.Acquire(ctx, n); err != nil {
		b.reports.add(refusedDecode)
		return nil, fmt.Errorf("%w: no memory to decode it: %w", ErrFull, err)
	}
	return func() { b.decodes.Release(n) }, nil
}

// now returns the time since the budget was made. It is cheaper to store than a time.Time.
func (b *Budget) now() time.Duration { return time.Since(b.began) }

// reserve reserves memory for a connection that is receiving a request. If there is none, it closes connections that are worth less and
// waits for their memory. ErrFull means that this connection is worth least, or that the others didn't end in time.
func (b *Budget) reserve(c *Conn, n int64) error {
	var timeout <-chan time.Time
	for {
		b.mu.Lock()
		if c.evicted {
			b.mu.Unlock()
			return ErrFull
		}
		if b.used+n <= b.room {
			b.used += n
			c.held += n
			b.mu.Unlock()
			return nil
		}
		for b.used-b.pending+n > b.room {
			now := b.now()
			worst, _ := b.worst(func(x *Conn, p phase) bool {
				_, unread := x.unread(now)
				return x == c || x.held > 0 && (unread || p.unfinished())
			})
			if worst == nil || worst == c {
				b.mu.Unlock()
				return ErrFull
			}
			b.evict(worst, closedForMemory)
		}
		if b.released == nil {
			b.released = make(chan struct{})
		}
		released := b.released
		b.mu.Unlock()
		if timeout == nil {
			timeout = time.After(roomTimeout)
		}
		select {
		case <-released:
		case <-timeout:
			return ErrFull
		}
	}
}

// addHeader counts the memory of a header that has arrived, also beyond the room that is left.
func (b *Budget) addHeader(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += n
	c.held += n
	c.headerHeld += n
	if c.evicted {
		b.pending += n
	}
}

// evict closes a connection. What it holds is released when its reader has noticed. The lock must be held.
func (b *Budget) evict(c *Conn, why reason) {
	c.evicted = true
	b.pending += c.held
	c.listener.open--
	c.listener.perAddress.remove(c.address)
	_ = c.Conn.Close()
	b.reports.add(why)
}

// release gives back the memory that a connection holds, all of it if n is negative.
func (b *Budget) release(c *Conn, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(c, n)
}

func (b *Budget) releaseLocked(c *Conn, n int64) {
	if n < 0 || n > c.held { // a shutdown may have closed the connection and released everything
		n = c.held
	}
	if n == 0 {
		return
	}
	c.held -= n
	b.used -= n
	if c.evicted {
		b.pending -= n
	}
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// worst returns the open connection that is worth least among those that may be closed in their phase, and its rank, or nil.
func (b *Budget) worst(may func(*Conn, phase) bool) (*Conn, rank) {
	now := b.now()
	var worst *Conn
	var least rank
	for c := range b.conns {
		p := c.currentPhase()
		if c.evicted || !may(c, p) {
			continue
		}
		if r := c.rank(now, p); worst == nil || r.less(least) {
			worst, least = c, r
		}
	}
	return worst, least
}
