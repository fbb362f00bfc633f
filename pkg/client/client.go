// Package client is the Go client of the caller API.
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
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// maxAnswerBytes bounds an answer that is read into memory.
	maxAnswerBytes      = 64 << 20
	maxIdleConnsPerHost = 64
	// idleTimeout is below the two minutes after which a daemon closes an idle connection.
	idleTimeout = time.Minute
)

// ErrNoAnswer reports that no whole answer arrived, so that the outcome of the call is unknown.
var ErrNoAnswer = errors.New("no answer")

// Client calls one cell through one or more addresses. It is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client for a base URL such as https://10.0.0.5:7100 with a team's key, which may be empty for open queues.
// The HTTP client h may be made by NewHTTP; nil means http.DefaultClient.
func New(base, key string, h *http.Client) *Client {
	if h == nil {
		h = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: h}
}

// NewHTTP returns an HTTP client that trusts the certificates in PEM instead of the system's; empty means the system's.
func NewHTTP(authority []byte) (*http.Client, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if len(authority) > 0 {
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(authority) {
			return nil, errors.New("parse authority: no certificate found")
		}
	}
	return &http.Client{Transport: &http.Transport{
		Proxy: http.ProxyFromEnvironment, TLSClientConfig: c, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout,
	}}, nil
}

// Request runs a synchronous request. A *api.Problem error carries the outcome of a refused request; with ErrNoAnswer the
// outcome is unknown.
func (c *Client) Request(ctx context.Context, s api.Spec) (api.Answer, error) {
	return call[api.Answer](ctx, c, http.MethodPost, "/v1/requests", s)
}

// Submit records a durable job.
func (c *Client) Submit(ctx context.Context, s api.Spec) (api.Job, error) {
	return call[api.Job](ctx, c, http.MethodPost, "/v1/jobs", s)
}

// Get returns a job.
func (c *Client) Get(ctx context.Context, id ident.JobID) (api.Job, error) {
	return call[api.Job](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id)), nil)
}

// List returns the jobs of a team.
func (c *Client) List(ctx context.Context, team ident.TeamID) ([]api.Job, error) {
	return call[[]api.Job](ctx, c, http.MethodGet, "/v1/jobs?team="+url.QueryEscape(string(team)), nil)
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, id ident.JobID) (api.Job, error) {
	return call[api.Job](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(id)), nil)
}

// Explain returns the decisions about a job.
func (c *Client) Explain(ctx context.Context, id ident.JobID) (api.Explanation, error) {
	return call[api.Explanation](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id))+"/explain", nil)
}

// Wait returns the job once it has ended, or its present state after the timeout, at most a minute.
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
		return result, fmt.Errorf("prepare %s %s: %w", method, path, err)
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

// decode reads an answer or a problem. A synchronous request's outcome other than answered comes as an
// answer with an error status, so the content type tells the two apart.
func decode(response *http.Response, target any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if len(data) > maxAnswerBytes {
		return errors.New("the answer is larger than the client's bound")
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		p := &api.Problem{}
		if err := json.Unmarshal(data, p); err != nil {
			return fmt.Errorf("decode the problem with status %d: %w", response.StatusCode, err)
		}
		return p
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode the answer with status %d: %w", response.StatusCode, err)
	}
	return nil
}
