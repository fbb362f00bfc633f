package inbound

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

func newBudget(t *testing.T, c Config) *Budget {
	t.Helper()
	if c.Memory == 0 {
		c.Memory = 8 << 20
	}
	if c.Log.GetSink() == nil {
		c.Log = logr.Discard()
	}
	b, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// testListener returns a listener without a socket.
func testListener(b *Budget, most int) *Listener {
	return &Listener{budget: b, most: most, perAddress: addressCounts{}}
}

// state is what a test wants a connection to be.
type state struct {
	address string
	phase   phase
	started time.Duration // before now
	stalled time.Duration // since the last progress
}

func (s state) open(t *testing.T, l *Listener) *Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	c := &Conn{Conn: near, budget: l.budget, listener: l, address: netip.MustParseAddr(s.address)}
	c.phase.Store(int32(s.phase))
	c.startedAt.Store(int64(l.budget.now() - s.started))
	c.progressAt.Store(int64(l.budget.now() - s.stalled))
	if !l.add(c, true) {
		t.Fatal("connection not added")
	}
	return c
}

// Guards against closing connections that are worth more than others: complete requests, ordinary callers beside an address with many
// connections, and requests that arrive beside stalled ones.
func TestWorstConnectionIsClosed(t *testing.T) {
	const one, other = "10.0.0.1", "10.0.0.2"
	for name, c := range map[string]struct {
		states []state // the first is to be closed
	}{
		"slow before idle": {[]state{
			{one, phaseHeader, time.Second, 0}, {one, phaseIdle, time.Hour, time.Hour}, {one, phaseHandled, time.Hour, time.Hour},
		}},
		"idle before one that has just begun": {[]state{
			{one, phaseIdle, time.Millisecond, time.Millisecond}, {one, phaseHeader, time.Millisecond, 0}, {one, phaseHandled, time.Hour, time.Hour},
		}},
		"longest stall": {[]state{
			{one, phaseBody, 9 * time.Second, 4 * time.Second}, {one, phaseBody, 20 * time.Second, 2 * time.Second}, {one, phaseBody, time.Minute, 0},
		}},
		"oldest of those that arrive": {[]state{
			{one, phaseBody, 9 * time.Second, 0}, {one, phaseHeader, 2 * time.Second, 0}, {one, phaseBody, time.Millisecond, 0},
		}},
		"address with many": {[]state{
			{one, phaseBody, 9 * time.Second, 5 * time.Second},
			{one, phaseBody, time.Second / 2, 0},
			{one, phaseBody, time.Second / 2, 0},
			{one, phaseBody, time.Second / 2, 0},
			{other, phaseBody, time.Minute, 30 * time.Second},
		}},
		"only address, as behind a balancer": {[]state{
			{one, phaseHeader, 3 * time.Second, 2 * time.Second}, {one, phaseHeader, time.Second / 2, 0}, {one, phaseHeader, time.Second / 2, 0},
		}},
		"idle for longest": {[]state{{one, phaseIdle, time.Hour, time.Hour}, {one, phaseIdle, time.Minute, time.Minute}, {one, phaseHandled, 2 * time.Hour, 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBudget(t, Config{})
			l := testListener(b, 8)
			conns := make([]*Conn, 0, len(c.states))
			for _, s := range c.states {
				conns = append(conns, s.open(t, l))
			}
			l.most = len(conns)
			state{other, phaseHeader, 0, 0}.open(t, l)
			for i, x := range conns {
				if x.evicted != (i == 0) {
					t.Errorf("connection %d: closed is %t", i, x.evicted)
				}
			}
		})
	}
}

// Guards against a listener that closes requests which are being served, so that callers don't learn whether their jobs run.
func TestServedConnectionsStay(t *testing.T) {
	b := newBudget(t, Config{})
	l := testListener(b, 1)
	served := state{"10.0.0.1", phaseHandled, time.Hour, time.Hour}.open(t, l)
	if l.add(&Conn{budget: b, listener: l}, true) || served.evicted {
		t.Error("a connection was added in place of a served one")
	}
}

// Guards against an ordinary caller that gets no answer: when a new connection came, one looked idle whose request had just arrived, so that
// another accepted connection was closed before its request was read.
func TestArrivingRequestIsNotClosedAtOnce(t *testing.T) {
	b := newBudget(t, Config{})
	l := testListener(b, 2)
	served := state{"10.0.0.1", phaseHandled, time.Hour, time.Hour}.open(t, l)
	arriving := state{"10.0.0.1", phaseHeader, 0, 0}.open(t, l)
	near, far := net.Pipe()
	defer far.Close()
	next := &Conn{Conn: near, budget: b, listener: l}
	if l.add(next, false) || served.evicted || arriving.evicted {
		t.Fatal("a connection was added in place of one whose request is arriving")
	}
	if !l.add(next, true) || served.evicted || !arriving.evicted {
		t.Error("no connection was added after the longest wait")
	}
}

// Guards against memory that is given to others before its reader has ended, that is given back twice, or never.
func TestReservedMemoryIsGivenBackOnce(t *testing.T) {
	b := newBudget(t, Config{Memory: 4 << 20})
	l := testListener(b, 10)
	stalled := state{"10.0.0.1", phaseBody, time.Minute, time.Minute}.open(t, l)
	if err := b.reserve(stalled, b.room); err != nil {
		t.Fatal(err)
	}
	next := state{"10.0.0.1", phaseBody, 0, 0}.open(t, l)
	done := make(chan error, 1)
	go func() { done <- b.reserve(next, 100) }()
	select {
	case err := <-done:
		t.Fatalf("memory was reserved while its former holder had it: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	_ = stalled.Close()
	_ = stalled.Close()
	b.release(stalled, 100)
	if err := <-done; err != nil || !stalled.evicted {
		t.Errorf("no memory after the stalled connection has ended: %v", err)
	}
	_ = next.Close()
	if b.used != 0 || b.pending != 0 || l.open != 0 || l.total != 0 || len(l.perAddress) != 0 {
		t.Errorf("left: %d bytes, %d pending, %d open of %d, %v", b.used, b.pending, l.open, l.total, l.perAddress)
	}
}

// Guards against closing connections for one that is worth less than they are.
func TestWorstReaderIsRefused(t *testing.T) {
	b := newBudget(t, Config{Memory: 4 << 20})
	l := testListener(b, 10)
	fresh := state{"10.0.0.1", phaseBody, 0, 0}.open(t, l)
	if err := b.reserve(fresh, b.room); err != nil {
		t.Fatal(err)
	}
	old := state{"10.0.0.1", phaseBody, time.Minute, 0}.open(t, l)
	if err := b.reserve(old, 1); !errors.Is(err, ErrFull) || fresh.evicted {
		t.Errorf("got %v, the other connection is closed: %t", err, fresh.evicted)
	}
}

// Guards against decoding without a bound, and against a wait that uses up the caller's time.
func TestDecodeWaitsForRoom(t *testing.T) {
	b := newBudget(t, Config{Memory: 4 << 20})
	release, err := b.Decode(t.Context(), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := b.Decode(ctx, 1<<20); !errors.Is(err, ErrFull) || ctx.Err() != nil {
		t.Errorf("second body: %v, the caller's time: %v", err, ctx.Err())
	}
	if _, err := b.Decode(ctx, 100); err != nil {
		t.Errorf("small body: %v", err)
	}
	release()
	if release, err = b.Decode(t.Context(), 1<<20); err != nil {
		t.Errorf("after the release: %v", err)
	} else {
		release()
	}
}

// Guards against a log that hostile callers fill.
func TestOneLogLineForManyEvents(t *testing.T) {
	var lines atomic.Int64
	var last atomic.Value
	r := newReports(funcr.New(func(_, text string) { lines.Add(1); last.Store(text) }, funcr.Options{}), metrics.NewSet())
	for range 1000 {
		r.add(closedForMemory)
		r.add(refusedBody)
	}
	time.Sleep(logInterval + 200*time.Millisecond)
	text, _ := last.Load().(string)
	if lines.Load() != 1 || !strings.Contains(text, `"closed-for-memory"=1000`) || !strings.Contains(text, `"refused-body"=1000`) {
		t.Errorf("%d lines, the last one %s", lines.Load(), text)
	}
}

// serve serves requests with a handler that reads the body, and returns the address.
func serve(t *testing.T, b *Budget, most int) string {
	t.Helper()
	s := &http.Server{MaxHeaderBytes: DefaultMaxHeaderBytes, ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if errors.Is(err, ErrFull) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, len(body), err)
	})}
	b.Attach(s)
	l, err := b.Listen(t.Context(), "test", "127.0.0.1:0", most)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// exchange sends a request in pieces and returns the response.
func exchange(t *testing.T, address string, pause time.Duration, pieces ...string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			break
		}
		time.Sleep(pause)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// Guards against refusing callers that are slow but inside the limits while there is room: in small chunks, with the largest header, with
// the largest body, and with a body that isn't announced.
func TestCallersInsideTheLimitsAreServed(t *testing.T) {
	address := serve(t, newBudget(t, Config{BodyTimeout: 5 * time.Second}), 4)
	const head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	small := []string{head, "Transfer-Encoding: chunked\r\n\r\n"}
	for range 60 {
		small = append(small, "1\r\nx\r\n")
	}
	slow := append(strings.Split(head, ""), "\r\n")
	for name, c := range map[string]struct {
		pause  time.Duration
		pieces []string
		want   string
	}{
		"chunks of one byte": {20 * time.Millisecond, append(small, "0\r\n\r\n"), "60 <nil>"},
		"slow header":        {20 * time.Millisecond, slow, "0 <nil>"},
		"largest header":     {0, []string{head, "X: " + strings.Repeat("x", DefaultMaxHeaderBytes-len(head)-8) + "\r\n\r\n"}, "0 <nil>"},
		"largest body":       {0, []string{head, "Content-Length: 262144\r\n\r\n", strings.Repeat("x", 262144)}, "262144 <nil>"},
		"largest body in one-byte chunks": {
			0, []string{head, "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 262144), "0\r\n\r\n"}, "262144 <nil>",
		},
	} {
		t.Run(name, func(t *testing.T) {
			if answer := exchange(t, address, c.pause, c.pieces...); !strings.HasPrefix(answer, "HTTP/1.1 200") || !strings.HasSuffix(answer, c.want) {
				t.Errorf("got %q, want 200 with %s", answer, c.want)
			}
		})
	}
}

// Guards against a server that reads 256 KB of a refused body before it answers or closes the connection.
func TestRefusedBodyIsNotAwaited(t *testing.T) {
	b := newBudget(t, Config{Memory: 4 << 20})
	address := serve(t, b, 4)
	held := state{"10.0.0.1", phaseHandled, 0, 0}.open(t, testListener(b, 1))
	if err := b.reserve(held, b.room); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	answer := exchange(t, address, 0, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n"+strings.Repeat("x", 8000))
	if !strings.HasPrefix(answer, "HTTP/1.1 503") || !strings.Contains(answer, "Connection: close") || time.Since(began) > 4*time.Second {
		t.Errorf("got %q after %s", answer, time.Since(began))
	}
}

// Guards against headers and bodies whose memory isn't given back while their connection goes on.
func TestAnsweredRequestsHoldNothing(t *testing.T) {
	b := newBudget(t, Config{BodyTimeout: time.Minute})
	address := serve(t, b, 4)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader(strings.Repeat("x", 100_000)))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("X-Filler", strings.Repeat("x", 8000))
		response, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	time.Sleep(50 * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used != 0 || len(b.conns) != 1 {
		t.Errorf("%d bytes held by %d connections, want none by one", b.used, len(b.conns))
	}
}
