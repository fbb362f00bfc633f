package platform

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/silent"
)

// Guards against writes to the store that are lost one after the other, each on another connection that went silent while it was
// idle. The outcome of the lost one stays unknown.
func TestSilentConnections(t *testing.T) {
	s := silent.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte(`{"revision":7}`))
	}))
	defer s.Close()
	c, err := NewHTTPStore(HTTPConfig{BaseURL: s.URL, CallTimeout: 500 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	swap := func() error {
		_, err := c.CompareAndSwap(context.Background(), "k", 0, nil, 0)
		return err
	}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			if err := swap(); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	time.Sleep(150 * time.Millisecond) // until the connections count as idle
	if n := s.Silence(); n < 2 {
		t.Fatalf("%d connections", n)
	}
	if err := swap(); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("first call: %v", err)
	}
	if err := swap(); err != nil {
		t.Errorf("second call: %v", err)
	}
	if n := s.Lost(); n != 1 {
		t.Errorf("%d calls lost, want 1", n)
	}
}
