package httpconn

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a connection that is closed between its dial and its first call, which then has an unknown outcome: calls that
// failed at once, as by a reset, closed the connections that others had just opened.
func TestNewConnectionIsNotClosed(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/reset" {
			if h, ok := w.(http.Hijacker); ok {
				if c, _, err := h.Hijack(); err == nil {
					_ = c.Close()
				}
			}
			return
		}
		calls.Add(1)
	}))
	defer server.Close()
	for range 100 {
		transport := New(&http.Transport{DialContext: (&net.Dialer{}).DialContext, MaxIdleConnsPerHost: 10})
		client := &http.Client{Transport: transport}
		var group sync.WaitGroup
		for n := range 10 {
			group.Go(func() {
				path := "/"
				if n%2 == 0 {
					path = "/reset"
				}
				response, err := client.Post(server.URL+path, "", http.NoBody)
				if err == nil {
					_ = response.Body.Close()
				} else if n%2 != 0 {
					t.Errorf("a call beside others that were reset: %v", err)
				}
			})
		}
		group.Wait()
		transport.CloseIdleConnections()
	}
	if n := calls.Load(); n != 500 {
		t.Errorf("%d calls arrived, want 500", n)
	}
}

// Guards against silent connections under TLS that each cost a call: the idle ones must be closed with the first lost call.
func TestSilentConnectionsUnderTLS(t *testing.T) {
	var silent atomic.Int64
	release := make(chan struct{})
	server := httptest.NewTLSServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
		if silent.Load() > 0 {
			<-release
			return
		}
		time.Sleep(30 * time.Millisecond)
	}))
	defer server.Close()
	defer close(release)
	base, ok := server.Client().Transport.(*http.Transport)
	if !ok {
		t.Fatal("no transport")
	}
	transport := New(&http.Transport{
		DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: base.TLSClientConfig, MaxIdleConnsPerHost: 4,
	})
	client := &http.Client{Transport: transport, Timeout: 300 * time.Millisecond}
	call := func() error {
		response, err := client.Get(server.URL)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { _ = call() })
	}
	group.Wait()
	time.Sleep(handOverTime)
	opened := transport.openConnections()
	silent.Store(1)
	if err := call(); err == nil {
		t.Fatal("the silent connection answered")
	}
	if left := transport.openConnections(); opened < 2 || left != 0 {
		t.Errorf("%d of %d connections are still open after a lost call", left, opened)
	}
}

func (t *Transport) openConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, connections := range t.open {
		n += len(connections)
	}
	return n
}
