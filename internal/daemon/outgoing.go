package daemon

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
)

// backendTransport carries the calls to backend servers until the daemon is killed.
type backendTransport struct {
	http.RoundTripper
	killed atomic.Bool
}

// RoundTrip implements http.RoundTripper.
func (o *backendTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if o.killed.Load() {
		return nil, fmt.Errorf("%s: the daemon was killed: %w", r.URL.Path, backend.ErrUnreachable)
	}
	return o.RoundTripper.RoundTrip(r)
}

// CloseIdleConnections lets http.Client close the connections of the wrapped transport.
func (o *backendTransport) CloseIdleConnections() {
	if c, ok := o.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
