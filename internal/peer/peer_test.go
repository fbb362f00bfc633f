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

// echo is the request of the test methods.
type echo struct {
	wire.Sender
	Text string `json:"text"`
}

type echoed struct {
	Text string           `json:"text"`
	From ident.MemberID   `json:"from"`
	More map[string][]int `json:"more,omitempty"`
}

// book maps member ids to addresses.
type book struct {
	lock sync.Mutex
	at   map[ident.MemberID]string
}

func (b *book) set(id ident.MemberID, address string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.at[id] = address
}

func (b *book) address(id ident.MemberID) (string, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	address, ok := b.at[id]
	return address, ok
}

// startNode runs a node on loopback until the test ends.
func startNode(t *testing.T, b *book, id ident.MemberID, change func(*Config)) *Node {
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

func newBook() *book { return &book{at: map[ident.MemberID]string{}} }

func handleEcho(n *Node) {
	Handle(n, "test.echo", func(_ context.Context, r echo) (echoed, error) {
		return echoed{Text: r.Text, From: r.Member}, nil
	})
}

// Guards against a reply that reaches another caller and against a message without its sender.
func TestConcurrentCalls(t *testing.T) {
	b := newBook()
	client, server := startNode(t, b, "a", nil), startNode(t, b, "b", nil)
	handleEcho(server)
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() {
			text := fmt.Sprint(i)
			got, err := Call[echo, echoed](t.Context(), client, "b", "test.echo", echo{Text: text})
			if err != nil || got.Text != text || got.From != "a" {
				t.Errorf("call %d: %+v, %v", i, got, err)
			}
		})
	}
	wait.Wait()
	if dials := client.count.dials.Get(); dials != 1 {
		t.Errorf("%d dials, want one connection for the pair and direction", dials)
	}
}

// Guards against refusals that are not typed, so that a caller could retry what may have run.
func TestErrors(t *testing.T) {
	failed := errors.New("no room")
	cases := map[string]struct {
		to           ident.MemberID
		method       string
		text         string
		is           error
		code         Code
		notDelivered bool
	}{
		"unknown member":  {to: "nobody", method: "test.echo", is: ErrUnreachable, notDelivered: true},
		"nobody listens":  {to: "closed", method: "test.echo", is: ErrUnreachable, notDelivered: true},
		"unknown method":  {to: "b", method: "test.none", code: CodeUnknownMethod, notDelivered: true},
		"handler fails":   {to: "b", method: "test.fail", code: CodeFailed},
		"handler panics":  {to: "b", method: "test.panic", code: CodeInternal},
		"request too big": {to: "b", method: "test.echo", text: strings.Repeat("x", 5000), is: ErrTooLarge, notDelivered: true},
		"reply too big":   {to: "b", method: "test.grow", code: CodeReplyTooLarge},
		"wrong types":     {to: "b", method: "test.number", code: CodeBadParameters, notDelivered: true},
		"broken summary":  {to: "b", method: wire.MethodSummary, code: CodeBadParameters, notDelivered: true},
	}
	b := newBook()
	bound := func(c *Config) { c.MaxFrameBytes = 4096 }
	client, server := startNode(t, b, "a", bound), startNode(t, b, "b", bound)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.set("closed", l.Addr().String())
	_ = l.Close()
	handleEcho(server)
	Handle(server, "test.fail", func(context.Context, echo) (echoed, error) { return echoed{}, failed })
	Handle(server, "test.panic", func(_ context.Context, r echo) (echoed, error) { panic(r.Text) })
	Handle(server, "test.grow", func(context.Context, echo) (echoed, error) {
		return echoed{Text: strings.Repeat("x", 5000)}, nil
	})
	Handle(server, "test.number", func(context.Context, struct{ Text int }) (echoed, error) { return echoed{}, nil })
	Handle(server, wire.MethodSummary, func(context.Context, wire.Summary) (echoed, error) { return echoed{}, nil })
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Call[echo, echoed](t.Context(), client, c.to, c.method, echo{Text: c.text})
			var remote *RemoteError
			switch {
			case c.is != nil && !errors.Is(err, c.is):
				t.Errorf("got %v, want %v", err, c.is)
			case c.is == nil && (!errors.As(err, &remote) || remote.Code != c.code):
				t.Errorf("got %v, want code %d", err, c.code)
			}
			if NotDelivered(err) != c.notDelivered {
				t.Errorf("NotDelivered(%v) = %t", err, !c.notDelivered)
			}
			if _, err := Call[echo, echoed](t.Context(), client, "b", "test.echo", echo{Text: "x"}); err != nil {
				t.Errorf("next call: %v", err)
			}
		})
	}
	if n := server.count.refused(refusedParameters); n != 2 {
		t.Errorf("%d messages counted as refused for their parameters, want 2", n)
	}
}

// Guards against unbounded work in both directions and against a refusal that isn't counted.
func TestInFlightBounds(t *testing.T) {
	cases := map[string]struct {
		client, server int
		check          func(client, server *Node, err error) bool
	}{
		"at the sender": {client: 2, server: 8, check: func(client, _ *Node, err error) bool {
			return errors.Is(err, ErrBackpressure) && client.count.backpressure.Get() == 1
		}},
		"at the receiver": {client: 8, server: 2, check: func(_, server *Node, err error) bool {
			var remote *RemoteError
			return errors.As(err, &remote) && remote.Code == CodeBusy && server.count.refused(refusedBusy) == 1
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			client := startNode(t, b, "a", func(g *Config) { g.MaxInFlight = c.client })
			server := startNode(t, b, "b", func(g *Config) { g.MaxInFlight = c.server })
			entered, leave := make(chan struct{}), make(chan struct{})
			Handle(server, "test.wait", func(context.Context, echo) (echoed, error) {
				entered <- struct{}{}
				<-leave
				return echoed{}, nil
			})
			results := make(chan error, 2)
			for range 2 {
				go func() {
					_, err := Call[echo, echoed](context.Background(), client, "b", "test.wait", echo{})
					results <- err
				}()
				<-entered
			}
			_, err := Call[echo, echoed](t.Context(), client, "b", "test.wait", echo{})
			if !c.check(client, server, err) || !NotDelivered(err) {
				t.Errorf("third call: %v", err)
			}
			close(leave)
			for range 2 {
				if err := <-results; err != nil {
					t.Errorf("admitted call: %v", err)
				}
			}
		})
	}
}

// Guards against a lost connection that is taken for a request that never ran, and against handlers that outlive it.
func TestConnectionLostAfterSend(t *testing.T) {
	b := newBook()
	client, server := startNode(t, b, "a", nil), startNode(t, b, "b", nil)
	entered, cancelled := make(chan struct{}), make(chan struct{})
	Handle(server, "test.wait", func(ctx context.Context, _ echo) (echoed, error) {
		close(entered)
		<-ctx.Done()
		close(cancelled)
		return echoed{}, ctx.Err()
	})
	result := make(chan error, 1)
	go func() {
		_, err := Call[echo, echoed](context.Background(), client, "b", "test.wait", echo{})
		result <- err
	}()
	<-entered
	client.linksLock.Lock()
	k := client.links["member/b"]
	client.linksLock.Unlock()
	k.lock.Lock()
	_ = k.conn.conn.Close()
	k.lock.Unlock()
	if err := <-result; !errors.Is(err, ErrUnknownOutcome) || NotDelivered(err) {
		t.Errorf("got %v, want ErrUnknownOutcome", err)
	}
	<-cancelled
	handleEcho(server)
	if _, err := Call[echo, echoed](t.Context(), client, "b", "test.echo", echo{}); err != nil {
		t.Errorf("call after the loss: %v", err)
	}
}

// Guards against bytes that are counted for the wrong class, which would hide the control cost.
func TestByteCounters(t *testing.T) {
	b := newBook()
	client, server := startNode(t, b, "a", nil), startNode(t, b, "b", nil)
	Handle(server, wire.MethodProbe, func(context.Context, wire.ProbeRequest) (wire.ProbeReply, error) {
		return wire.ProbeReply{}, nil
	})
	Handle(server, wire.MethodForward, func(context.Context, wire.Forward) (wire.ForwardReply, error) {
		return wire.ForwardReply{Reason: strings.Repeat("x", 300)}, nil
	})
	if _, err := Call[wire.ProbeRequest, wire.ProbeReply](t.Context(), client, "b", wire.MethodProbe, wire.ProbeRequest{}); err != nil {
		t.Fatal(err)
	}
	control := client.count.sent[Control].Get()
	if control == 0 || client.count.sent[Work].Get() != 0 || client.count.received[Work].Get() != 0 {
		t.Errorf("after a probe: sent %d control bytes, %d work bytes", control, client.count.sent[Work].Get())
	}
	if _, err := Call[wire.Forward, wire.ForwardReply](t.Context(), client, "b", wire.MethodForward, wire.Forward{}); err != nil {
		t.Fatal(err)
	}
	if client.count.sent[Control].Get() != control || client.count.sent[Work].Get() == 0 || client.count.received[Work].Get() < 300 {
		t.Error("a forward must count as work in both directions")
	}
	server.Close() // waits until the last reply is counted
	for _, class := range []Class{Control, Work} {
		if client.count.sent[class].Get() != server.count.received[class].Get() ||
			client.count.received[class].Get() != server.count.sent[class].Get() {
			t.Errorf("the two sides count different %s bytes", class)
		}
	}
}

// Guards against hostile bytes that stop the daemon, grow its memory or go uncounted.
func TestHostileBytes(t *testing.T) {
	frame := func(body string) string {
		return string(append(appendLength(nil, len(body)), body...))
	}
	request := `{"jsonrpc":"2.0","id":1,"method":"test.wait","params":{"member":"x"}}`
	cases := map[string]struct {
		bytes  string
		reason refusal
	}{
		"oversize length":    {"\xff\xff\xff\xff\x0f", refusedOversize},
		"endless length":     {strings.Repeat("\xff", 11), refusedMalformed},
		"empty frame":        {"\x00", refusedMalformed},
		"not JSON":           {frame("hello"), refusedMalformed},
		"null":               {frame("null"), refusedMalformed},
		"batch":              {frame("[" + request + "]"), refusedMalformed},
		"neither kind":       {frame(`{"jsonrpc":"2.0","id":1}`), refusedMalformed},
		"notification":       {frame(`{"method":"test.wait","params":{}}`), refusedMalformed},
		"no parameters":      {frame(`{"id":1,"method":"test.wait"}`), refusedMalformed},
		"id of another type": {frame(`{"id":{},"method":"test.wait","params":{}}`), refusedMalformed},
		"id used twice":      {frame(request) + frame(request), refusedMalformed},
		"deep nesting":       {frame(`{"id":1,"method":"m","params":` + strings.Repeat("[", 20000) + `}`), refusedMalformed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			server := startNode(t, b, "b", func(g *Config) { g.MaxFrameBytes = 1 << 16 })
			Handle(server, "test.wait", func(ctx context.Context, _ echo) (echoed, error) {
				<-ctx.Done()
				return echoed{}, ctx.Err()
			})
			conn, err := net.Dial("tcp", b.at["b"])
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write([]byte(c.bytes)); err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(conn) // ends when the server closes the connection
			if server.count.refused(c.reason) != 1 {
				t.Errorf("refusal %q was not counted", c.reason)
			}
		})
	}
}
