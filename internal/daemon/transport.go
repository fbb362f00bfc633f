package daemon

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
)

// backendTransport is the HTTP transport for calls to backend servers. It fails all calls once the daemon is killed.
type backendTransport struct {
	http.RoundTripper
	killed atomic.Bool
}

// RoundTrip implements http.RoundTripper.
func (t *backendTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.killed.Load() {
		return nil, fmt.Errorf("call %s: the daemon was killed: %w", r.URL.Path, backend.ErrUnreachable)
	}
	return t.RoundTripper.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the wrapped transport; http.Client looks for this method.
func (t *backendTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
