package peer

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// crowdedListener can't accept connections for some calls, as in a process without descriptors.
type crowdedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *crowdedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a daemon that serves no peer any more after it was out of descriptors for a moment. Found by an independent review
// (review/2): the listener ended, and with it all that runs in the daemon but the callers' server.
func TestServeSurvivesFailedAccepts(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &crowdedListener{Listener: inner}
	l.failures.Store(5)
	b := &addressBook{addresses: map[ident.MemberID]string{"server": inner.Addr().String()}}
	server := startNode(t, &addressBook{addresses: map[ident.MemberID]string{}}, "server", nil)
	Handle(server, "echo", func(_ context.Context, r echoRequest) (echoReply, error) { return echoReply{Text: r.Text}, nil })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l) }()
	client := startNode(t, b, "client", nil)
	reply, err := Call[echoRequest, echoReply](t.Context(), client, "server", "echo", echoRequest{Sender: wire.Sender{Member: "client"}, Text: "x"})
	if err != nil || reply.Text != "x" {
		t.Errorf("got %q, %v", reply.Text, err)
	}
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("served until %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("still serving after the end of the context")
	}
}
