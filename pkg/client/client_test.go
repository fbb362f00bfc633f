package client

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/silent"
)

// Guards against calls that are lost one after the other, each on another connection that went silent while it was idle.
func TestSilentConnections(t *testing.T) {
	s := silent.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	h, err := NewHTTP(nil)
	if err != nil {
		t.Fatal(err)
	}
	c := New(s.URL, "", h)
	get := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		_, err := c.Get(ctx, "j")
		return err
	}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			if err := get(); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	time.Sleep(150 * time.Millisecond) // until the connections count as idle
	if n := s.Silence(); n < 2 {
		t.Fatalf("%d connections", n)
	}
	if err := get(); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("first call: %v", err)
	}
	if err := get(); err != nil {
		t.Errorf("second call: %v", err)
	}
	if n := s.Lost(); n != 1 {
		t.Errorf("%d calls lost, want 1", n)
	}
}
