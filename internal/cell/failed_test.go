package cell

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

// freeAddress returns a loopback address that no listener uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against a daemon that neither serves nor ends after one of its parts has failed, so that the platform doesn't restart it. Found
// by an independent review (review/2): the callers' server kept the others from ending.
func TestFailedPartEndsDaemon(t *testing.T) {
	none := func(*entry.Gateway, func() bool, *inbound.Budget) http.Handler { return http.NotFoundHandler() }
	d, err := New(Settings{
		Member: "a", PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t), Cores: 1, MemoryBytes: 1 << 30,
		Bounds: Bounds{GracePeriod: 2 * time.Second, MaxRunLease: 10 * time.Second, MaxRevocationDelay: 5 * time.Second},
	}, Adapter{
		Store: txstore.New(time.Now), ConfigKey: "config",
		Registry:      coordinator.Registry{Prefix: "servers/", Decode: func(string, []byte) (sched.Server, error) { return sched.Server{}, nil }},
		DecodeConfig:  func([]byte) (*policy.Policy, error) { return &policy.Policy{Version: 1}, nil },
		CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), NewCallerHandler: none,
		NewReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = d.Stop(ctx)
	})
	open, err := net.Dial("tcp", d.adapter.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	broken := errors.New("part failed")
	d.group.Go(func() error { return broken })
	select {
	case err := <-d.Failed():
		if !errors.Is(err, broken) {
			t.Errorf("failed with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the daemon goes on")
	}
}
