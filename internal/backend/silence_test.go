package backend

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/silent"
)

// Guards against calls to a backend server that are lost one after the other, each on another connection that went silent while
// it was idle. The outcome of the lost one stays unknown.
func TestSilentConnections(t *testing.T) {
	s := silent.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer s.Close()
	h := NewHTTPAdapter(HTTPConfig{Address: strings.TrimPrefix(s.URL, "http://"), Timeout: 500 * time.Millisecond})
	start := func() error { return h.Start(context.Background(), Fence{}, Task{}) }
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			if err := start(); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	time.Sleep(150 * time.Millisecond) // until the connections count as idle
	if n := s.Silence(); n < 2 {
		t.Fatalf("%d connections", n)
	}
	if err := start(); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("first call: %v", err)
	}
	if err := start(); err != nil {
		t.Errorf("second call: %v", err)
	}
	if n := s.Lost(); n != 1 {
		t.Errorf("%d calls lost, want 1", n)
	}
}
