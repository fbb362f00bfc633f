package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/sourcegraph/jsonrpc2"
)

// FuzzFrame guards against bytes that make the decoder panic or return an empty frame or one above the limit.
func FuzzFrame(f *testing.F) {
	for _, body := range []string{
		``, `{}`, `null`, `[]`, `{"id":1,"method":"member.probe","params":{"member":"a"}}`, `{"id":1,"result":null}`,
		`{"id":"x","error":{"code":-32000,"message":"busy"}}`, `{"id":-1,"method":"m"}`, `{"id":1e9,"method":"m","meta":1}`,
		`[{"id":1,"method":"m"}]`, `{"id":18446744073709551615,"result":{}}`, `{"method":null,"result":1,"error":2}`,
	} {
		f.Add(append(appendLength(nil, len(body)), body...))
		f.Add(append(appendLength(nil, len(body)+1), body...))
	}
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01{}"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 1 << 10
		r := bufio.NewReader(bytes.NewReader(input))
		for {
			frame, err := readFrame(r, limit)
			if err != nil {
				return
			}
			if len(frame) == 0 || len(frame) > limit {
				t.Fatalf("read a frame of %d bytes, want 1 to the limit", len(frame))
			}
			var request jsonrpc2.Request
			_ = decodeFrame(frame, &request)
			var response jsonrpc2.Response
			_ = decodeFrame(frame, &response)
		}
	})
}

// startRawServer listens at the address of member b and runs f on each accepted connection. f must send the greeting.
func startRawServer(t *testing.T, b *addressBook, f func(net.Conn)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.set("b", l.Addr().String())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f(conn)
			_ = conn.Close()
		}
	}()
}

// Guards against accepting an invalid reply of a faulty or hostile peer, and against reporting the request as not
// delivered after such a reply.
func TestHostileServer(t *testing.T) {
	reply := func(body string) func(net.Conn) {
		return func(conn net.Conn) {
			_ = sendGreeting(conn)
			_, _ = readFrame(bufio.NewReader(conn), 1<<16)
			_, _ = conn.Write(append(appendLength(nil, len(body)), body...))
			_, _ = conn.Read(make([]byte, 1))
		}
	}
	cases := map[string]struct {
		serve   func(net.Conn)
		wantErr error
	}{
		"closes before the greeting": {func(net.Conn) {}, ErrUnreachable},
		"sends another version":      {func(conn net.Conn) { _, _ = conn.Write([]byte{9}) }, ErrUnreachable},
		"closes after the request": {func(conn net.Conn) {
			_ = sendGreeting(conn)
			_, _ = readFrame(bufio.NewReader(conn), 1<<16)
		}, ErrUnknownOutcome},
		"reply of another type":  {reply(`{"id":1,"result":[1,2]}`), ErrUnknownOutcome},
		"reply without id":       {reply(`{"result":{"text":"x"}}`), ErrUnknownOutcome},
		"reply to another call":  {reply(`{"id":77,"result":{"text":"x"}}`), ErrUnknownOutcome},
		"request from the peer":  {reply(`{"id":1,"method":"test.echo","params":{}}`), ErrUnknownOutcome},
		"oversize reply":         {reply(`{"id":1,"result":"` + string(bytes.Repeat([]byte("x"), 1<<17)) + `"}`), ErrUnknownOutcome},
		"sends no reply":         {reply(` `), ErrUnknownOutcome},
		"reply that isn't JSON":  {reply(`<html>`), ErrUnknownOutcome},
		"batch as a reply":       {reply(`[{"id":1,"result":{"text":"x"}}]`), ErrUnknownOutcome},
		"no result and no error": {reply(`{"id":1}`), ErrUnknownOutcome},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newAddressBook()
			startRawServer(t, b, c.serve)
			client := startNode(t, b, "a", func(g *Config) { g.MaxFrameBytes, g.CallTimeout = 1<<16, 300*time.Millisecond })
			_, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{Text: "y"})
			if !errors.Is(err, c.wantErr) || NotDelivered(err) != (c.wantErr == ErrUnreachable) {
				t.Errorf("got %v, want %v", err, c.wantErr)
			}
		})
	}
}

// Guards against reporting a request as not delivered after a part of it was sent.
func TestConnectionLostDuringSend(t *testing.T) {
	b := newAddressBook()
	startRawServer(t, b, func(conn net.Conn) {
		_ = sendGreeting(conn)
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	client := startNode(t, b, "a", func(g *Config) { g.MaxFrameBytes = 64 << 20 })
	// The text exceeds the buffers of both sockets, so that the write fails.
	_, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{Text: strings.Repeat("x", 12<<20)})
	if !errors.Is(err, ErrUnknownOutcome) || NotDelivered(err) {
		t.Errorf("got %v, want ErrUnknownOutcome", err)
	}
}

// Guards against dialling an unreachable peer for every call, and against never dialling it again.
func TestRedialBackoff(t *testing.T) {
	b := newAddressBook()
	client := startNode(t, b, "a", nil)
	now := time.Unix(1_000_000, 0)
	client.now = func() time.Time { return now }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	call := func() error {
		_, err := CallAddress[echoRequest, echoReply](t.Context(), client, address, "test.echo", echoRequest{Text: "x"})
		return err
	}
	for range 50 {
		if err := call(); !errors.Is(err, ErrUnreachable) {
			t.Fatalf("call to a closed port: got %v, want ErrUnreachable", err)
		}
	}
	if dials := client.counters.dials.Get(); dials != 1 {
		t.Errorf("%d dials during the backoff, want 1", dials)
	}
	for range 10 {
		now = now.Add(maxBackoff)
		_ = call()
	}
	if dials := client.counters.dials.Get(); dials != 11 {
		t.Errorf("%d dials, want 11: one per backoff", dials)
	}
	server := startNode(t, b, "b", nil)
	handleEcho(server)
	address = b.addresses["b"]
	if err := call(); err != nil {
		t.Error(err)
	}
}

// Guards against calls to the old address of a member after its address has changed.
func TestAddressChange(t *testing.T) {
	b := newAddressBook()
	client := startNode(t, b, "a", nil)
	for _, name := range []string{"old", "new"} {
		server := startNode(t, b, "b", nil)
		Handle(server, "test.echo", func(context.Context, echoRequest) (echoReply, error) { return echoReply{Text: name}, nil })
		got, err := Call[echoRequest, echoReply](t.Context(), client, "b", "test.echo", echoRequest{Sender: wire.Sender{Member: "z"}})
		if err != nil || got.Text != name {
			t.Errorf("got %+v, %v, want %s", got, err, name)
		}
	}
}
