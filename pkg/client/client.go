// Package client is a Go client for the caller API.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/httpconn"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// maxAnswerBytes limits the response body that is read into memory.
	maxAnswerBytes      = 64 << 20
	maxIdleConnsPerHost = 64
	// idleTimeout is shorter than the two minutes after which a daemon closes an idle connection.
	idleTimeout = time.Minute
)

// ErrNoAnswer reports that no complete response arrived, so that the outcome of the call is unknown.
var ErrNoAnswer = errors.New("no answer")

// Client calls the caller API of one cell at a base URL. It is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for a base URL such as https://10.0.0.5:7100. It authenticates with a team's API key, which may be
// empty for open queues. NewHTTP returns a suitable HTTP client h; nil means http.DefaultClient.
func New(base, key string, h *http.Client) *Client {
	if h == nil {
		h = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: h}
}

// NewHTTP returns an HTTP client that trusts the PEM-encoded CA certificates in authority. Without any it trusts the
// certificates of the system.
func NewHTTP(authority []byte) (*http.Client, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if len(authority) > 0 {
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(authority) {
			return nil, errors.New("parse CA certificates: no certificate found")
		}
	}
	return &http.Client{Transport: httpconn.New(&http.Transport{
		DialContext: (&net.Dialer{}).DialContext,
		Proxy:       http.ProxyFromEnvironment, TLSClientConfig: c, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout,
	})}, nil
}

// Request runs a synchronous request and waits for its answer. A *api.Problem error carries the outcome of a refused
// request; with ErrNoAnswer the outcome is unknown.
func (c *Client) Request(ctx context.Context, s api.Spec) (api.Answer, error) {
	return call[api.Answer](ctx, c, http.MethodPost, "/v1/requests", s)
}

// Submit submits a durable job and returns its initial state.
func (c *Client) Submit(ctx context.Context, s api.Spec) (api.Job, error) {
	return call[api.Job](ctx, c, http.MethodPost, "/v1/jobs", s)
}

// Get returns the present state of a job.
func (c *Client) Get(ctx context.Context, id ident.JobID) (api.Job, error) {
	return call[api.Job](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id)), nil)
}

// List returns the jobs of a team.
func (c *Client) List(ctx context.Context, team ident.TeamID) ([]api.Job, error) {
	return call[[]api.Job](ctx, c, http.MethodGet, "/v1/jobs?team="+url.QueryEscape(string(team)), nil)
}

// Cancel cancels a job and returns its state.
func (c *Client) Cancel(ctx context.Context, id ident.JobID) (api.Job, error) {
	return call[api.Job](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), nil)
}

// Explain returns the recorded scheduling decisions about a job.
func (c *Client) Explain(ctx context.Context, id ident.JobID) (api.Explanation, error) {
	return call[api.Explanation](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id))+"/explain", nil)
}

// Wait returns a job when it has ended, or its present state after the timeout. The daemon refuses a timeout above one
// minute.
func (c *Client) Wait(ctx context.Context, id ident.JobID, timeout time.Duration) (api.Job, error) {
	path := fmt.Sprintf("/v1/jobs/%s/wait?timeout-ms=%d", url.PathEscape(string(id)), timeout.Milliseconds())
	return call[api.Job](ctx, c, http.MethodGet, path, nil)
}

func call[Resp any](ctx context.Context, c *Client, method, path string, body any) (Resp, error) {
	var result Resp
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return result, fmt.Errorf("encode %s %s: %w", method, path, err)
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return result, fmt.Errorf("create request %s %s: %w", method, path, err)
	}
	if c.key != "" {
		r.Header.Set(api.KeyHeader, "Bearer "+c.key)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(r)
	if err != nil {
		return result, fmt.Errorf("%s %s: %w: %w", method, path, ErrNoAnswer, err)
	}
	defer func() { _ = response.Body.Close() }()
	err = decode(response, &result)
	var p *api.Problem
	if err != nil && !errors.As(err, &p) {
		err = fmt.Errorf("%s %s: %w: %w", method, path, ErrNoAnswer, err)
	}
	return result, err
}

// decode reads a response body into target, or returns it as an *api.Problem. The content type distinguishes the two and
// not the status, because a synchronous request that was not answered returns an api.Answer with an error status.
func decode(response *http.Response, target any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	if len(data) > maxAnswerBytes {
		return fmt.Errorf("response body is larger than %d bytes", maxAnswerBytes)
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		p := &api.Problem{}
		if err := json.Unmarshal(data, p); err != nil {
			return fmt.Errorf("decode problem of response with status %d: %w", response.StatusCode, err)
		}
		return p
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode answer of response with status %d: %w", response.StatusCode, err)
	}
	return nil
}
