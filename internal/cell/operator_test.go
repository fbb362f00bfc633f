package cell

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

// unreadResponse is a response that its caller doesn't read until release is closed.
type unreadResponse struct {
	*httptest.ResponseRecorder
	begun   chan<- struct{}
	release <-chan struct{}
}

func (w unreadResponse) Write(p []byte) (int, error) {
	w.begun <- struct{}{}
	<-w.release
	return w.ResponseRecorder.Write(p)
}

// Guards against operators' connections that make a leader hold a state dump each, and against a bound that refuses dumps for ever.
func TestStateDumpsAreBounded(t *testing.T) {
	d, err := New(Settings{
		Member: "a", PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t), Cores: 1, MemoryBytes: 1 << 30,
		Bounds: Bounds{GracePeriod: 2 * time.Second, MaxRunLease: 10 * time.Second, MaxRevocationDelay: 5 * time.Second},
	}, Adapter{
		Store: txstore.New(time.Now), ConfigKey: "config",
		Registry:         coordinator.Registry{Prefix: "servers/", Decode: func(string, []byte) (sched.Server, error) { return sched.Server{}, nil }},
		DecodeConfig:     func([]byte) (*policy.Policy, error) { return &policy.Policy{Version: 1}, nil },
		NewCallerHandler: func(*entry.Gateway, func() bool, *inbound.Budget) http.Handler { return http.NotFoundHandler() },
		NewReadinessHandler: func(func() bool) http.Handler {
			return http.NotFoundHandler()
		},
	}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	h := d.newOperatorHandler(metrics.NewSet(), d.watcher, d.coordinator)
	begun, release, ended := make(chan struct{}, maxStateDumps), make(chan struct{}), make(chan struct{})
	for range maxStateDumps {
		go func() {
			h.ServeHTTP(unreadResponse{httptest.NewRecorder(), begun, release}, httptest.NewRequest(http.MethodGet, "/state", nil))
			ended <- struct{}{}
		}()
	}
	for range maxStateDumps {
		<-begun
	}
	read := func() int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/state", nil))
		return w.Code
	}
	if code := read(); code != http.StatusServiceUnavailable {
		t.Errorf("status %d while %d dumps are being sent, want 503", code, maxStateDumps)
	}
	close(release)
	for range maxStateDumps {
		<-ended
	}
	if code := read(); code != http.StatusOK {
		t.Errorf("status %d afterwards, want 200", code)
	}
}
