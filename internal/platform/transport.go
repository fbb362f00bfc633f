package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryspoke/rosemaryspoke/internal/httpconn"
	"github.com/rosemaryspoke/rosemaryspoke/internal/tcp"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Defaults of HTTPConfig.
const (
	DefaultCallTimeout = 2 * time.Second
	// DefaultMaxReplyBytes is enough for a list of twenty values of MaxValueBytes in base64.
	DefaultMaxReplyBytes = 32 << 20
	maxErrorBytes        = 4 << 10
	maxIdleConnections   = 16
	// maxReplyHeaderBytes bounds the header of a reply; ordinary ones have a few hundred bytes.
	maxReplyHeaderBytes = 16 << 10
	// idleTimeout stays below the idle timeouts of common load balancers, so that the client closes first.
	idleTimeout = 30 * time.Second
)

// HTTPConfig configures the HTTP adapters.
type HTTPConfig struct {
	BaseURL       string            // scheme, host and port, without a path
	Region        ident.Region      // sent with every call
	CallTimeout   time.Duration     // limit for one call, without a watch's wait; 0 means the default
	MaxReplyBytes int64             // limit for a reply's body; 0 means the default
	Transport     http.RoundTripper // nil creates one
	Metrics       *metrics.Set      // receives the counters, which adapters with the same set share; nil creates a set
}

// transport sends calls and converts failures to the errors of this package.
type transport struct {
	config   HTTPConfig
	base     *url.URL
	client   *http.Client
	counters *counters
}

func newTransport(c HTTPConfig, kinds ...CallKind) (*transport, error) {
	base, err := url.Parse(c.BaseURL)
	if err != nil {
		return nil, fmt.Errorf("base URL: %w", err)
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, fmt.Errorf("base URL %q: must have the scheme http or https and a host", c.BaseURL)
	}
	if c.CallTimeout < 0 || c.MaxReplyBytes < 0 {
		return nil, errors.New("call timeout and reply limit must not be negative")
	}
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.MaxReplyBytes = cmp.Or(c.MaxReplyBytes, DefaultMaxReplyBytes)
	if c.Transport == nil {
		dialer := net.Dialer{Timeout: c.CallTimeout, Control: tcp.UserTimeout(c.CallTimeout)}
		c.Transport = httpconn.New(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: maxReplyHeaderBytes,
		})
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	client := &http.Client{
		Transport:     c.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &transport{config: c, base: base, client: client, counters: newCounters(c.Metrics, kinds...)}, nil
}

// get sends a read with query parameters and decodes the reply into out.
func (t *transport) get(ctx context.Context, call CallKind, path string, query url.Values, extra time.Duration, out any) error {
	target := *t.base
	target.Path, target.RawQuery = path, query.Encode()
	return t.send(ctx, call, http.MethodGet, &target, nil, extra, out)
}

// post sends a write with a JSON body and decodes the reply into out.
func (t *transport) post(ctx context.Context, call CallKind, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("%s: encode: %w", call, err)
	}
	target := *t.base
	target.Path = path
	return t.send(ctx, call, http.MethodPost, &target, body, 0, out)
}

func (t *transport) send(
	ctx context.Context, call CallKind, method string, target *url.URL, body []byte, extra time.Duration, out any,
) error {
	ctx, cancel := context.WithTimeout(ctx, t.config.CallTimeout+extra)
	defer cancel()
	t.counters.calls[call].Inc()
	t.counters.sent.Add(len(body))
	err := t.roundTrip(ctx, call, method, target, body, out)
	if err != nil {
		t.counters.failed[call].Inc()
		return fmt.Errorf("%s: %w", call, err)
	}
	return nil
}

func (t *transport) roundTrip(
	ctx context.Context, call CallKind, method string, target *url.URL, body []byte, out any,
) error {
	// Without a connection the request can't have reached the store. Once there is one, a write may be buffered or sent.
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	request.Header.Set(HeaderRegion, string(t.config.Region))
	if body != nil {
		request.Header.Set("content-type", "application/json")
	}
	response, err := t.client.Do(request)
	if err != nil {
		if !connected {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return lostReplyError(call, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusalError(call, response)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, t.config.MaxReplyBytes+1))
	t.counters.received.Add(len(raw))
	if err != nil {
		return lostReplyError(call, err)
	}
	if int64(len(raw)) > t.config.MaxReplyBytes {
		return oversizedReplyError(call, t.config.MaxReplyBytes)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return lostReplyError(call, fmt.Errorf("decode: %w", err))
	}
	return nil
}

// lostReplyError returns the error for a lost reply: a write may have taken effect, and a read had no effect.
func lostReplyError(call CallKind, cause error) error {
	if call.IsWrite() {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, cause)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

// oversizedReplyError returns the error for a reply above the limit; a write has taken effect, so its reply counts as lost.
func oversizedReplyError(call CallKind, bound int64) error {
	if call.IsWrite() {
		return fmt.Errorf("%w: reply above %d bytes", ErrUnknownOutcome, bound)
	}
	return fmt.Errorf("reply above %d bytes: %w", bound, ErrTooLarge)
}

// refusalError returns the error for the code of a reply other than 200; an unknown code counts as a lost reply.
func refusalError(call CallKind, response *http.Response) error {
	var reply ErrorReply
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(raw, &reply)
	}
	if err != nil {
		return lostReplyError(call, fmt.Errorf("status %d: decode reply: %w", response.StatusCode, err))
	}
	switch reply.Code {
	case CodeConflict:
		return ErrConflict
	case CodeNotFound:
		return ErrNotFound
	case CodeTooLarge:
		return ErrTooLarge
	case CodeUnavailable:
		return fmt.Errorf("%w: %s", ErrUnavailable, reply.Message)
	case CodeInvalid:
		return fmt.Errorf("status %d: invalid call: %s", response.StatusCode, reply.Message)
	}
	return lostReplyError(call, fmt.Errorf("status %d with code %q", response.StatusCode, reply.Code))
}
