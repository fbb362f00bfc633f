package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/httpconn"
	"github.com/rosemaryspoke/rosemaryspoke/internal/tcp"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// DefaultTimeout bounds a call; the wait of a poll is added to it.
	DefaultTimeout = 2 * time.Second
	// dialTimeout is below DefaultTimeout, so that an unreachable host is reported as such and not as a timeout.
	dialTimeout = time.Second
	// userTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
	userTimeout = DefaultTimeout
	// maxIdleConnsPerHost covers the connections of the long poll and of concurrent starts, for which a host has 8 slots.
	maxIdleConnsPerHost = 10
	// idleTimeout is above the longest poll interval, so that polls of an idle host need no new connections.
	idleTimeout = 5 * time.Minute
	// maxReplyHeaderBytes bounds the header of a reply; ordinary ones have a few hundred bytes.
	maxReplyHeaderBytes = 16 << 10
)

// NewHTTPClient returns a client with a persistent connection pool, to be shared by the adapters of all hosts.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: httpconn.New(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Minute, Control: tcp.UserTimeout(userTimeout)}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxReplyHeaderBytes,
		DisableCompression:     true, // saves the Accept-Encoding header of every exchange
	})}
}

// HTTPConfig configures an HTTPAdapter.
type HTTPConfig struct {
	Client        *http.Client  // shared pool, see NewHTTPClient; required
	Address       string        // host:port of the backend server
	Timeout       time.Duration // limit for a call, without a poll's wait; 0 means DefaultTimeout
	MaxReplyBytes int64         // limit for a reply's body; 0 means MaxBodyBytes
	// RecordBytes receives the body sizes in bytes of every exchange that got a reply; it may be nil.
	RecordBytes func(path string, sent, received int)
}

// HTTPAdapter is the Server at one address.
type HTTPAdapter struct {
	config HTTPConfig
}

var _ Server = (*HTTPAdapter)(nil)

// NewHTTPAdapter returns the adapter for one backend server.
func NewHTTPAdapter(c HTTPConfig) *HTTPAdapter {
	if c.Client == nil {
		c.Client = NewHTTPClient()
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxReplyBytes <= 0 {
		c.MaxReplyBytes = MaxBodyBytes
	}
	return &HTTPAdapter{config: c}
}

// Attach implements Server.
func (h *HTTPAdapter) Attach(ctx context.Context, f Fence, lease Millis) (Inventory, error) {
	return exchange[Inventory](ctx, h, PathAttach, AttachRequest{Fence: f, Lease: lease}, 0)
}

// Poll implements Server.
func (h *HTTPAdapter) Poll(ctx context.Context, r PollRequest) (PollReply, error) {
	return exchange[PollReply](ctx, h, PathPoll, r, r.Wait.Duration())
}

// Start implements Server.
func (h *HTTPAdapter) Start(ctx context.Context, f Fence, t Task) error {
	_, err := exchange[struct{}](ctx, h, PathStart, StartRequest{Fence: f, Task: t}, 0)
	return err
}

// Stop implements Server.
func (h *HTTPAdapter) Stop(ctx context.Context, f Fence, attempt ident.AttemptID) (StopState, error) {
	reply, err := exchange[StopReply](ctx, h, PathStop, AttemptRequest{Fence: f, Attempt: attempt}, 0)
	return reply.State, err
}

// Checkpoint implements Server.
func (h *HTTPAdapter) Checkpoint(ctx context.Context, f Fence, attempt ident.AttemptID) error {
	_, err := exchange[struct{}](ctx, h, PathCheckpoint, AttemptRequest{Fence: f, Attempt: attempt}, 0)
	return err
}

// Throttle implements Server.
func (h *HTTPAdapter) Throttle(ctx context.Context, f Fence, attempt ident.AttemptID, percent int) error {
	_, err := exchange[struct{}](ctx, h, PathThrottle, AttemptRequest{Fence: f, Attempt: attempt, Percent: percent}, 0)
	return err
}

// exchange sends one request and decodes the reply. Until the transport has a connection nothing can have been sent,
// so an error before that is ErrUnreachable; afterwards only a complete reply makes the outcome known.
func exchange[Reply any](ctx context.Context, h *HTTPAdapter, path string, request any, wait time.Duration) (Reply, error) {
	var reply Reply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, fmt.Errorf("%w: encode %s: %w", ErrRefused, path, err)
	}
	if len(body) > MaxBodyBytes {
		return reply, fmt.Errorf("%w: body of %s has %d bytes, at most %d allowed", ErrRefused, path, len(body), MaxBodyBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, h.config.Timeout+wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	req.Header["User-Agent"] = nil // saves a header; the request names its sender in the fence
	resp, err := h.config.Client.Do(req)
	if err != nil {
		if connected.Load() {
			return reply, fmt.Errorf("%w: %s: %w", ErrUnknownOutcome, path, err)
		}
		return reply, fmt.Errorf("%w: %s: %w", ErrUnreachable, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	counted := &countingBody{ReadCloser: resp.Body}
	resp.Body = counted
	err = decode(resp, h.config.MaxReplyBytes, &reply)
	if h.config.RecordBytes != nil {
		h.config.RecordBytes(path, len(body), counted.read)
	}
	return reply, err
}

// countingBody counts the bytes that were read from a reply.
type countingBody struct {
	io.ReadCloser
	read int
}

// Read implements io.Reader.
func (c *countingBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.read += n
	return n, err
}

// decode reads a reply of at most limit bytes into reply, or returns the refusal that it carries.
func decode(resp *http.Response, limit int64, reply any) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return fmt.Errorf("%w: read reply: %w", ErrUnknownOutcome, err)
	}
	if int64(len(raw)) > limit {
		return fmt.Errorf("%w: reply is longer than %d bytes", ErrUnknownOutcome, limit)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if err := json.Unmarshal(raw, reply); err != nil {
			return fmt.Errorf("%w: decode reply: %w", ErrUnknownOutcome, err)
		}
		return nil
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		var r Refusal
		if err := json.Unmarshal(raw, &r); err != nil {
			return fmt.Errorf("%w: decode refusal: %w", ErrUnknownOutcome, err)
		}
		return r.Err()
	}
	return fmt.Errorf("%w: unexpected status %d", ErrUnknownOutcome, resp.StatusCode)
}
