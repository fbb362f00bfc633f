package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// echoRequest is the request of all test methods.
type echoRequest struct {
	wire.Sender
	Text string `json:"text"`
}

type echoReply struct {
	Text string           `json:"text"`
	From ident.MemberID   `json:"from"`
	More map[string][]int `json:"more,omitempty"`
}

// addressBook maps member ids to addresses.
type addressBook struct {
	lock      sync.Mutex
	addresses map[ident.MemberID]string
}

func (b *addressBook) set(id ident.MemberID, address string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.addresses[id] = address
}

func (b *addressBook) address(id ident.MemberID) (string, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	address, ok := b.addresses[id]
	return address, ok
}

// startNode serves a node on a loopback address until the test ends.
func startNode(t *testing.T, b *addressBook, id ident.MemberID, change func(*Config)) *Node {
	t.Helper()
	c := Config{
		Self:        func() wire.Sender { return wire.Sender{Member: id, Incarnation: 3, Epoch: 7} },
		Address:     b.address,
		CallTimeout: 10 * time.Second,
		Log:         logr.Discard(),
	}
	if change != nil {
		change(&c)
	}
	n, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.set(id, l.Addr().String())
	served := make(chan error, 1)
	go func() { served <- n.Serve(context.Background(), l) }()
	t.Cleanup(func() {
		n.Close()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return n
}

func newAddressBook() *addressBook { return &addressBook{addresses: map[ident.MemberID]string{}} }

func handleEcho(n *Node) {
	Handle(n, "test.echo", func(_ context.Context, r echoRequest) (echoReply, error) {
		return echoReply{Text: r.Text, From: r.Member}, nil
	})
}

// Guards against a reply that is delivered to another caller, and against a message without its sender.
func TestConcurrentCalls(t *testing.T) {
	b := newAddressBook()
	client, server := startNode(t, b, "a", nil), startNode(t, b, "b", nil)
	handleEcho(server)
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() {
			text := fmt.Sprint(i)
			got, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{Text: text})
			if err != nil || got.Text != text || got.From != "a" {
				t.Errorf("call %d: %+v, %v", i, got, err)
			}
		})
	}
	wait.Wait()
	if dials := client.counters.dials.Get(); dials != 1 {
		t.Errorf("%d dials, want 1: one connection per peer and direction", dials)
	}
}

// Guards against errors of the wrong type, on which a caller would retry a request that may have run.
func TestErrorTypes(t *testing.T) {
	errHandler := errors.New("no free capacity")
	cases := map[string]struct {
		to           ident.MemberID
		method       string
		text         string
		wantErr      error
		wantCode     Code
		notDelivered bool
	}{
		"unknown member":   {to: "nobody", method: "test.echo", wantErr: ErrUnreachable, notDelivered: true},
		"closed port":      {to: "closed", method: "test.echo", wantErr: ErrUnreachable, notDelivered: true},
		"unknown method":   {to: "b", method: "test.none", wantCode: CodeUnknownMethod, notDelivered: true},
		"handler fails":    {to: "b", method: "test.fail", wantCode: CodeHandlerFailed},
		"handler panics":   {to: "b", method: "test.panic", wantCode: CodeInternal},
		"large request":    {to: "b", method: "test.echo", text: strings.Repeat("x", 5000), wantErr: ErrTooLarge, notDelivered: true},
		"large reply":      {to: "b", method: "test.grow", wantCode: CodeReplyTooLarge},
		"wrong field type": {to: "b", method: "test.number", wantCode: CodeBadParameters, notDelivered: true},
		"invalid summary":  {to: "b", method: wire.MethodSummary, wantCode: CodeBadParameters, notDelivered: true},
	}
	b := newAddressBook()
	limitFrames := func(c *Config) { c.MaxFrameBytes = 4096 }
	client, server := startNode(t, b, "a", limitFrames), startNode(t, b, "b", limitFrames)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.set("closed", l.Addr().String())
	_ = l.Close()
	handleEcho(server)
	Handle(server, "test.fail", func(context.Context, echoRequest) (echoReply, error) { return echoReply{}, errHandler })
	Handle(server, "test.panic", func(_ context.Context, r echoRequest) (echoReply, error) { panic(r.Text) })
	Handle(server, "test.grow", func(context.Context, echoRequest) (echoReply, error) {
		return echoReply{Text: strings.Repeat("x", 5000)}, nil
	})
	Handle(server, "test.number", func(context.Context, struct{ Text int }) (echoReply, error) { return echoReply{}, nil })
	Handle(server, wire.MethodSummary, func(context.Context, wire.Summary) (echoReply, error) { return echoReply{}, nil })
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Call[echoRequest, echoReply](t.Context(), client, c.to, c.method, echoRequest{Text: c.text})
			var remote *RemoteError
			switch {
			case c.wantErr != nil && !errors.Is(err, c.wantErr):
				t.Errorf("got %v, want %v", err, c.wantErr)
			case c.wantErr == nil && (!errors.As(err, &remote) || remote.Code != c.wantCode):
				t.Errorf("got %v, want code %d", err, c.wantCode)
			}
			if NotDelivered(err) != c.notDelivered {
				t.Errorf("NotDelivered(%v) = %t", err, !c.notDelivered)
			}
			if _, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{Text: "x"}); err != nil {
				t.Errorf("next call: %v", err)
			}
		})
	}
	if n := server.counters.refusals(refusedParameters); n != 2 {
		t.Errorf("%d messages counted as refused for bad parameters, want 2", n)
	}
}

// Guards against an unlimited number of concurrent calls at either side, and against refusals that aren't counted.
func TestInFlightBounds(t *testing.T) {
	cases := map[string]struct {
		client, server int
		check          func(client, server *Node, err error) bool
	}{
		"at the sender": {client: 2, server: 8, check: func(client, _ *Node, err error) bool {
			return errors.Is(err, ErrBackpressure) && client.counters.backpressure.Get() == 1
		}},
		"at the receiver": {client: 8, server: 2, check: func(_, server *Node, err error) bool {
			var remote *RemoteError
			return errors.As(err, &remote) && remote.Code == CodeBusy && server.counters.refusals(refusedBusy) == 1
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newAddressBook()
			client := startNode(t, b, "a", func(g *Config) { g.MaxInFlight = c.client })
			server := startNode(t, b, "b", func(g *Config) { g.MaxInFlight = c.server })
			entered, leave := make(chan struct{}), make(chan struct{})
			Handle(server, "test.wait", func(context.Context, echoRequest) (echoReply, error) {
				entered <- struct{}{}
				<-leave
				return echoReply{}, nil
			})
			results := make(chan error, 2)
			for range 2 {
				go func() {
					_, err := Call[echoRequest, echoReply](context.Background(), client, "b", "test.wait", echoRequest{})
					results <- err
				}()
				<-entered
			}
			_, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.wait", echoRequest{})
			if !c.check(client, server, err) || !NotDelivered(err) {
				t.Errorf("third call: %v", err)
			}
			close(leave)
			for range 2 {
				if err := <-results; err != nil {
					t.Errorf("call within the limit: %v", err)
				}
			}
		})
	}
}

// Guards against reporting a request as not delivered when its connection is lost, and against handlers that continue
// after the loss.
func TestConnectionLostAfterSend(t *testing.T) {
	b := newAddressBook()
	client, server := startNode(t, b, "a", nil), startNode(t, b, "b", nil)
	entered, cancelled := make(chan struct{}), make(chan struct{})
	Handle(server, "test.wait", func(ctx context.Context, _ echoRequest) (echoReply, error) {
		close(entered)
		<-ctx.Done()
		close(cancelled)
		return echoReply{}, ctx.Err()
	})
	result := make(chan error, 1)
	go func() {
		_, err := Call[echoRequest, echoReply](context.Background(), client, "b", "test.wait", echoRequest{})
		result <- err
	}()
	<-entered
	client.linksLock.Lock()
	l := client.links["member/b"]
	client.linksLock.Unlock()
	l.lock.Lock()
	_ = l.conn.conn.Close()
	l.lock.Unlock()
	if err := <-result; !errors.Is(err, ErrUnknownOutcome) || NotDelivered(err) {
		t.Errorf("got %v, want ErrUnknownOutcome", err)
	}
	<-cancelled
	handleEcho(server)
	if _, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{}); err != nil {
		t.Errorf("call after the loss: %v", err)
	}
}

// Guards against bytes counted for the wrong class, which would falsify the cost of control traffic.
func TestByteCounters(t *testing.T) {
	b := newAddressBook()
	client, server := startNode(t, b, "a", nil), startNode(t, b, "b", nil)
	Handle(server, wire.MethodProbe, func(context.Context, wire.ProbeRequest) (wire.ProbeReply, error) {
		return wire.ProbeReply{}, nil
	})
	Handle(server, wire.MethodForward, func(context.Context, wire.ForwardRequest) (wire.ForwardReply, error) {
		return wire.ForwardReply{Reason: strings.Repeat("x", 300)}, nil
	})
	if _, err := Call[wire.ProbeRequest, wire.ProbeReply](t.Context(), client, "b", wire.MethodProbe, wire.ProbeRequest{}); err != nil {
		t.Fatal(err)
	}
	control := client.counters.sent[Control].Get()
	if control == 0 || client.counters.sent[Work].Get() != 0 || client.counters.received[Work].Get() != 0 {
		t.Errorf("after a probe: sent %d control bytes, %d work bytes", control, client.counters.sent[Work].Get())
	}
	if _, err := Call[wire.ForwardRequest, wire.ForwardReply](t.Context(), client, "b", wire.MethodForward, wire.ForwardRequest{}); err != nil {
		t.Fatal(err)
	}
	if client.counters.sent[Control].Get() != control || client.counters.sent[Work].Get() == 0 || client.counters.received[Work].Get() < 300 {
		t.Error("a forwarded task must count as work in both directions")
	}
	server.Close() // waits until the last reply is counted
	for _, class := range []Class{Control, Work} {
		if client.counters.sent[class].Get() != server.counters.received[class].Get() ||
			client.counters.received[class].Get() != server.counters.sent[class].Get() {
			t.Errorf("client and server count different numbers of %s bytes", class)
		}
	}
}

// Guards against malformed frames that stop the daemon, exhaust its memory or aren't counted.
func TestHostileFrames(t *testing.T) {
	frame := func(body string) string {
		return string(append(appendLength(nil, len(body)), body...))
	}
	request := `{"jsonrpc":"2.0","id":1,"method":"test.wait","params":{"member":"x"}}`
	cases := map[string]struct {
		bytes  string
		reason refusalReason
	}{
		"oversize length":     {"\xff\xff\xff\xff\x0f", refusedOversize},
		"length too long":     {strings.Repeat("\xff", 11), refusedMalformed},
		"empty frame":         {"\x00", refusedMalformed},
		"not JSON":            {frame("hello"), refusedMalformed},
		"null frame":          {frame("null"), refusedMalformed},
		"batch":               {frame("[" + request + "]"), refusedMalformed},
		"no method or result": {frame(`{"jsonrpc":"2.0","id":1}`), refusedMalformed},
		"notification":        {frame(`{"method":"test.wait","params":{}}`), refusedMalformed},
		"no parameters":       {frame(`{"id":1,"method":"test.wait"}`), refusedMalformed},
		"id of another type":  {frame(`{"id":{},"method":"test.wait","params":{}}`), refusedMalformed},
		"duplicate id":        {frame(request) + frame(request), refusedMalformed},
		"deep nesting":        {frame(`{"id":1,"method":"m","params":` + strings.Repeat("[", 20000) + `}`), refusedMalformed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newAddressBook()
			server := startNode(t, b, "b", func(g *Config) { g.MaxFrameBytes = 1 << 16 })
			Handle(server, "test.wait", func(ctx context.Context, _ echoRequest) (echoReply, error) {
				<-ctx.Done()
				return echoReply{}, ctx.Err()
			})
			conn, err := net.Dial("tcp", b.addresses["b"])
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write([]byte(c.bytes)); err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(conn) // ends when the server closes the connection
			if server.counters.refusals(c.reason) != 1 {
				t.Errorf("refusal %q was not counted", c.reason)
			}
		})
	}
}

// TestConnectionsOfLargeCell guards against refusing members of a cell of 150 daemons: with a limit of 64, the leader of
// bensalem-quotes-large refused the connections of the other 83.
func TestConnectionsOfLargeCell(t *testing.T) {
	const members = 150
	b := newAddressBook()
	startNode(t, b, "b", nil)
	for i := range members {
		conn, err := net.Dial("tcp", b.addresses["b"])
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := awaitGreeting(conn); err != nil {
			t.Fatalf("connection %d: %v", i+1, err)
		}
	}
}
