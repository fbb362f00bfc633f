// Package caller implements the HTTP API for callers under /v1.
package caller

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/job"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Error is the class of the errors that New returns for an invalid Config.
var Error = errs.Class("caller")

// Limits of the server.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// maxJobWait bounds one wait for a job; the caller may repeat it.
	maxJobWait = 60 * time.Second
)

// Jobs creates, reads and cancels durable jobs, whichever daemon owns them.
type Jobs struct {
	Create  func(ctx context.Context, s api.Spec, p job.Policy) (api.Job, error)
	Get     func(ctx context.Context, id ident.JobID) (api.Job, error)
	List    func(ctx context.Context, team ident.TeamID) ([]api.Job, error)
	Cancel  func(ctx context.Context, id ident.JobID, reason string) error
	Explain func(ctx context.Context, id ident.JobID) (api.Explanation, error)
}

// Config holds the dependencies of a Server.
type Config struct {
	Bundle      func() *bundle.Compiled // returns nil until a configuration has been read
	BundleFresh func() bool             // reports whether the configuration is confirmed as current
	RunRequest  func(ctx context.Context, s api.Spec, q bundle.Queue) (api.Answer, *api.Problem)
	Jobs        Jobs
	Log         logr.Logger
	Metrics     *metrics.Set
}

// Server serves the API.
type Server struct {
	config   Config
	router   *mux.Router
	draining atomic.Bool
}

// New checks the configuration and returns a server.
func New(c Config) (*Server, error) {
	if c.Bundle == nil || c.BundleFresh == nil || c.RunRequest == nil || c.Jobs.Create == nil {
		return nil, Error.New("configuration fields Bundle, BundleFresh, RunRequest and Jobs.Create must be set")
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	s := &Server{config: c, router: mux.NewRouter()}
	v1 := s.router.PathPrefix("/v1").Subrouter()
	v1.Handle("/requests", withJSONBody(s, s.runRequest)).Methods(http.MethodPost)
	v1.Handle("/jobs", withJSONBody(s, s.create)).Methods(http.MethodPost)
	v1.Handle("/jobs", withoutBody(s, s.list)).Methods(http.MethodGet)
	v1.Handle("/jobs/{id}", withoutBody(s, jobHandler(s.get))).Methods(http.MethodGet)
	v1.Handle("/jobs/{id}", withoutBody(s, jobHandler(s.cancel))).Methods(http.MethodDelete)
	v1.Handle("/jobs/{id}/wait", withoutBody(s, jobHandler(s.wait))).Methods(http.MethodGet)
	v1.Handle("/jobs/{id}/explain", withoutBody(s, jobHandler(s.explain))).Methods(http.MethodGet)
	s.router.NotFoundHandler = withoutBody(s, func(*http.Request) (struct{}, error) {
		return struct{}{}, api.NewProblem(api.CodeNotFound, "", "the path does not exist")
	})
	return s, nil
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler { return s.router }

// HTTPServer returns an HTTP server of the API, with time and header limits.
func (s *Server) HTTPServer() *http.Server {
	return NewHTTPServer(s.router)
}

// NewHTTPServer returns an HTTP server with the time and header limits of the caller and operator ports.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// Drain makes the server close each connection after its next response, so that callers reconnect to another daemon.
func (s *Server) Drain() { s.draining.Store(true) }

// withJSONBody adapts a handler that takes a JSON body. The body is decoded strictly and is limited to MaxBodyBytes.
func withJSONBody[Req, Resp any](s *Server, h func(r *http.Request, q Req) (Resp, error)) http.Handler {
	return withoutBody(s, func(r *http.Request) (Resp, error) {
		var q Req
		if err := Decode(http.MaxBytesReader(nil, r.Body, api.MaxBodyBytes), &q); err != nil {
			var none Resp
			return none, err
		}
		return h(r, q)
	})
}

// withoutBody adapts a handler that takes no body, and writes its answer or its problem.
func withoutBody[Resp any](s *Server, h func(r *http.Request) (Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		answer, err := h(r)
		if err != nil {
			s.writeProblem(w, r, err)
			return
		}
		s.writeJSON(w, statusOf(answer), "application/json", answer)
	})
}

// statusOf returns the HTTP status for the outcome of a synchronous request, and 200 for any other answer.
func statusOf(answer any) int {
	a, ok := answer.(api.Answer)
	if !ok {
		return http.StatusOK
	}
	switch a.Outcome {
	case api.NotRun:
		return http.StatusServiceUnavailable
	case api.Failed:
		return http.StatusBadGateway
	case api.Unknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

// writeJSON writes a response with a JSON body.
func (s *Server) writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.config.Log.V(1).Info("failed to write the response", "error", err.Error())
	}
}

// writeProblem writes an error as a problem. An error that isn't a problem is logged and has an unknown outcome.
func (s *Server) writeProblem(w http.ResponseWriter, r *http.Request, err error) {
	var p *api.Problem
	if !errors.As(err, &p) {
		s.config.Log.Error(err, "request failed", "path", r.URL.Path)
		p = api.NewProblem(api.CodeInternal, "", "internal error")
		p.Outcome = api.Unknown
	}
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((p.RetryAfter.Duration()+time.Second-1)/time.Second), 10))
	}
	s.config.Metrics.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_refusals_total{code=%q}`, p.Code)).Inc()
	s.writeJSON(w, p.Status, "application/problem+json", p)
}

// loggableFieldName matches field names that may be shown in responses and logs. It excludes secrets that were pasted as a
// field name, because they contain digits or capital letters.
var loggableFieldName = regexp.MustCompile(`^[a-z][a-z_-]{0,31}$`)

// Decode reads a single JSON value and refuses unknown fields. Every error is a problem, which names the field if it is
// known.
func Decode(r io.Reader, into any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		if _, tokenErr := d.Token(); !errors.Is(tokenErr, io.EOF) {
			return api.NewProblem(api.CodeInvalid, "", "unexpected data after the JSON value")
		}
		return nil
	}
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	var notBase64 base64.CorruptInputError
	switch {
	case errors.Is(err, inbound.ErrFull):
		p := api.NewProblem(api.CodeOverloaded, "", "%v", inbound.ErrFull)
		p.RetryAfter = api.Millis(inbound.RetryAfter.Milliseconds())
		return p
	case errors.As(err, &tooLarge):
		return api.NewProblem(api.CodeTooLarge, "", "the body is larger than %d bytes", tooLarge.Limit)
	case errors.As(err, &wrongType):
		return api.NewProblem(api.CodeInvalid, wrongType.Field,
			"must be of type %s and in its range, not %s", wrongType.Type, wrongType.Value)
	case errors.As(err, &notBase64):
		// Only the payload is encoded as base64.
		return api.NewProblem(api.CodeInvalid, "payload", "must be base64: %v", notBase64)
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		if !loggableFieldName.MatchString(name) {
			name = ""
		}
		return api.NewProblem(api.CodeInvalid, name, "unknown field")
	}
	return api.NewProblem(api.CodeInvalid, "", "the body is not valid JSON: %v", err)
}
