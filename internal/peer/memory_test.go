package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a daemon that holds unfinished messages of 4 MB of each of 512 connections, and against a bound that refuses ordinary
// messages, or large ones while there is room.
func TestLargeFramesAreBounded(t *testing.T) {
	b := &addressBook{addresses: map[ident.MemberID]string{}}
	server := startNode(t, b, "server", func(c *Config) { c.Receive = inbound.NewPool(4 << 20) })
	Handle(server, "echo", func(_ context.Context, r echoRequest) (echoReply, error) { return echoReply{Text: r.Text[:1]}, nil })
	client := startNode(t, b, "client", nil)
	call := func(size int) error {
		_, err := Call[echoRequest, echoReply](t.Context(), client, "server", "echo",
			echoRequest{Sender: wire.Sender{Member: "client"}, Text: strings.Repeat("x", size)})
		return err
	}
	if err := call(500_000); err != nil {
		t.Errorf("large message while there is room: %v", err)
	}
	address, _ := b.address("server")
	closed := make(chan error, 4)
	for range 4 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go func() {
			_, _ = c.Write(appendLength(nil, 1<<20))
			_, _ = c.Write(make([]byte, 1<<20-1))
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			_, err := io.ReadAll(c)
			closed <- err
		}()
	}
	ended := 0
	for range 4 {
		if err := <-closed; err == nil || !isTimeout(err) {
			ended++
		}
	}
	if ended < 2 || server.counters.refusals(refusedMemory) == 0 {
		t.Errorf("%d of 4 unfinished large messages were refused, %d counted, want 2 or more", ended, server.counters.refusals(refusedMemory))
	}
	if err := call(100); err != nil {
		t.Errorf("ordinary message: %v", err)
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
