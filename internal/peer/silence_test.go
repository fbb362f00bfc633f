package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxy forwards connections to a peer over a simulated link that they share.
type proxy struct {
	target string
	delay  time.Duration // of each direction of the link

	lock    sync.Mutex
	silence chan struct{} // closed to silence the connections that are open then
}

// newProxy returns a proxy before member b, whose address it replaces in the address book.
func newProxy(t *testing.T, b *addressBook, delay time.Duration) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target, _ := b.address("b")
	p := &proxy{target: target, delay: delay, silence: make(chan struct{})}
	b.set("b", l.Addr().String())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.lock.Lock()
			silence := p.silence
			p.lock.Unlock()
			go p.serve(conn, silence)
		}
	}()
	return p
}

// silenceOpen makes the open connections deliver nothing any more, in either direction and without a reset.
func (p *proxy) silenceOpen() {
	p.lock.Lock()
	defer p.lock.Unlock()
	close(p.silence)
	p.silence = make(chan struct{})
}

func (p *proxy) serve(client net.Conn, silence chan struct{}) {
	time.Sleep(2 * p.delay) // the opening packets
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go p.forward(server, client, silence)
	p.forward(client, server, silence)
}

// forward copies from one connection to the other with the link's delay.
func (p *proxy) forward(from, to net.Conn, silence chan struct{}) {
	type packet struct {
		data []byte
		at   time.Time
	}
	queue := make(chan packet, 4096)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, 4096)
			n, err := from.Read(buffer)
			if n > 0 {
				queue <- packet{buffer[:n], time.Now().Add(p.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for k := range queue {
		time.Sleep(time.Until(k.at))
		select {
		case <-silence:
			continue // the bytes are lost
		default:
		}
		if _, err := to.Write(k.data); err != nil {
			break
		}
	}
	select {
	case <-silence: // the close isn't delivered either
	default:
		_ = to.Close()
	}
}

// TestSilentConnection guards against a connection that stays in use after it went silent: callers that wait less than
// CallTimeout lost every call until the connection had as many lost calls as may be in flight.
func TestSilentConnection(t *testing.T) {
	b := newAddressBook()
	server := startNode(t, b, "b", nil)
	handleEcho(server)
	p := newProxy(t, b, 0)
	client := startNode(t, b, "a", func(c *Config) { c.CallTimeout = 15 * time.Second })
	echo := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := Call[echoRequest, echoReply](ctx, client, "b", "test.echo", echoRequest{Text: "x"})
		return err
	}
	if err := echo(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	p.silenceOpen()
	started := time.Now()
	if err := echo(3 * time.Second); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("call on the silent connection: got %v, want ErrUnknownOutcome", err)
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("the call failed after %s, want less than the second that callers have", took)
	}
	if err := echo(time.Second); err != nil {
		t.Errorf("call after the silent connection was found: %v", err)
	}
	if n := client.counters.silentConnections.Get(); n != 1 {
		t.Errorf("%d silent connections counted, want 1", n)
	}
}

// TestSilentConnectionOfShortCalls guards against the same for calls that each wait less than a check takes.
func TestSilentConnectionOfShortCalls(t *testing.T) {
	b := newAddressBook()
	server := startNode(t, b, "b", nil)
	handleEcho(server)
	p := newProxy(t, b, 0)
	client := startNode(t, b, "a", func(c *Config) { c.CallTimeout = 15 * time.Second })
	echo := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
		defer cancel()
		_, err := Call[echoRequest, echoReply](ctx, client, "b", "test.echo", echoRequest{Text: "x"})
		return err
	}
	if err := echo(); err != nil {
		t.Fatal(err)
	}
	p.silenceOpen()
	started := time.Now()
	for echo() != nil {
		if time.Since(started) > 2*time.Second {
			t.Fatal("no call was answered within 2 s")
		}
	}
}

// TestSlowLinkStaysOpen guards against closing the connections of a link that only delays: the replacement would be as
// slow, and calls that were about to be answered would be lost.
func TestSlowLinkStaysOpen(t *testing.T) {
	for name, delay := range map[string]time.Duration{"0.3 s": 300 * time.Millisecond, "0.6 s": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newAddressBook()
			server := startNode(t, b, "b", nil)
			handleEcho(server)
			newProxy(t, b, delay)
			client := startNode(t, b, "a", func(c *Config) { c.CallTimeout = 15 * time.Second })
			var wait sync.WaitGroup
			for range 8 {
				wait.Go(func() {
					if _, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{Text: "x"}); err != nil {
						t.Error(err)
					}
				})
				time.Sleep(250 * time.Millisecond)
			}
			wait.Wait()
			if n := client.counters.silentConnections.Get(); n != 0 {
				t.Errorf("%d connections were replaced, want none", n)
			}
		})
	}
}

// TestSlowHandlerKeepsConnection guards against closing a connection on which only a handler takes long.
func TestSlowHandlerKeepsConnection(t *testing.T) {
	b := newAddressBook()
	client, server := startNode(t, b, "a", nil), startNode(t, b, "b", func(c *Config) { c.MaxInFlight = 1 })
	Handle(server, "test.wait", func(context.Context, echoRequest) (echoReply, error) {
		time.Sleep(2 * time.Second)
		return echoReply{}, nil
	})
	if _, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.wait", echoRequest{}); err != nil {
		t.Error(err)
	}
	if n := client.counters.silenceChecks.Get(); n != 0 {
		t.Errorf("%d second connections, want none: the pings were answered", n)
	}
}

// TestSilentPeerIsNotReplaced guards against taking a peer that answers nowhere, as a paused process, for a silent
// connection: its calls in progress may still be answered.
func TestSilentPeerIsNotReplaced(t *testing.T) {
	b := newAddressBook()
	startRawServer(t, b, func(conn net.Conn) {
		_ = sendGreeting(conn)
		_, _ = io.Copy(io.Discard, conn) // holds further connections in the listener's queue
	})
	client := startNode(t, b, "a", nil)
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	if _, err := Call[echoRequest, echoReply](ctx, client, "b", "test.echo", echoRequest{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the call's own time limit", err)
	}
	if n := client.counters.silentConnections.Get(); n != 0 {
		t.Errorf("%d connections were replaced, want none", n)
	}
}
