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
func (o *backendTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if o.killed.Load() {
		return nil, fmt.Errorf("call %s: the daemon was killed: %w", r.URL.Path, backend.ErrUnreachable)
	}
	return o.RoundTripper.RoundTrip(r)
}

// CloseIdleConnections closes the idle connections of the wrapped transport; http.Client looks for this method.
func (o *backendTransport) CloseIdleConnections() {
	if c, ok := o.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
