// Package operator is the HTTP API for operators: health, metrics, the state dump, and the configuration.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/internal/caller"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/rollout"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Error is the class of configurations that New refuses.
var Error = errs.Class("operator")

// Bounds of the server.
const (
	// maxBundleBytes bounds a bundle as an operator sends it.
	maxBundleBytes = 4 << 20
	// acceptTimeout is how long a publish waits until the version is in force everywhere.
	acceptTimeout = 12 * time.Second
)

// Config holds the dependencies of a Server.
type Config struct {
	Token   string
	Ready   func() bool
	Dump    func() any
	Metrics *metrics.Set
	Rollout *rollout.Rollout
	Hosts   func(ctx context.Context) ([]platform.Host, error)
	Drain   func(ctx context.Context, host ident.HostID, undo bool) ([]ident.HostID, error)
	Owner   func(platform.Host) ident.MemberID
	Members func() []member.Status
	Remove  func(ctx context.Context, id ident.MemberID, confirmed bool) (member.Member, error)
	Rotate  func() error
	Log     logr.Logger
}

// Server answers operators.
type Server struct {
	config Config
	token  [sha256.Size]byte
	router *mux.Router
}

// New returns a server with its routes. Health and metrics need no credential; everything else does.
func New(c Config) (*Server, error) {
	if c.Token == "" || c.Ready == nil || c.Dump == nil || c.Metrics == nil || c.Rollout == nil {
		return nil, Error.New("Token, Ready, Dump, Metrics and Rollout must be set")
	}
	s := &Server{config: c, token: sha256.Sum256([]byte(c.Token)), router: mux.NewRouter()}
	s.router.HandleFunc("/healthz", healthy).Methods(http.MethodGet)
	s.router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	s.router.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	for _, route := range []struct {
		method, path, action string
		handler              func(r *http.Request) (any, error)
	}{
		{http.MethodGet, "/debug/state", "read state", func(*http.Request) (any, error) { return c.Dump(), nil }},
		{http.MethodGet, "/v1/bundle", "read bundle", s.show},
		{http.MethodPost, "/v1/bundle/prepare", "prepare bundle", s.prepare},
		{http.MethodPost, "/v1/bundle/publish", "publish bundle", s.publish},
		{http.MethodGet, "/v1/bundle/status", "read bundle status", s.status},
		{http.MethodGet, "/v1/hosts", "read hosts", s.hosts},
		{http.MethodPost, "/v1/hosts/drain", "drain host", s.drain},
		{http.MethodGet, "/v1/members", "read members", func(*http.Request) (any, error) { return c.Members(), nil }},
		{http.MethodPost, "/v1/members/remove", "remove member", s.remove},
		{http.MethodPost, "/v1/certificates/reload", "reload certificates", s.rotate},
	} {
		s.router.Handle(route.path, s.guard(route.action, route.handler)).Methods(route.method)
	}
	return s, nil
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.router }

// HTTP returns a server with time and header limits.
func (s *Server) HTTP() *http.Server {
	return caller.NewHTTPServer(s.router)
}

func healthy(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.config.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.config.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// guard checks the operator's credential in constant time, writes the audit log line and the answer.
func (s *Server) guard(action string, h func(r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(given[:], s.token[:]) != 1 {
			s.config.Log.Info("operator credential refused", "action", action, "remote", r.RemoteAddr)
			s.fail(w, api.NewProblem(api.CodeUnauthorized, "", "the operator's credential is missing or wrong"))
			return
		}
		answer, err := h(r)
		if r.Method != http.MethodGet {
			s.config.Log.Info("audit", "action", action, "remote", r.RemoteAddr, "operator", r.Header.Get("X-Operator"),
				"ok", err == nil, "result", auditResult(answer, err))
		}
		if err != nil {
			s.fail(w, err)
			return
		}
		s.write(w, http.StatusOK, "application/json", answer)
	})
}

func auditResult(answer any, err error) string {
	if err != nil {
		return err.Error()
	}
	switch r := answer.(type) {
	case PublishReply:
		return fmt.Sprintf("version %d %s", r.Receipt.Version, r.Receipt.Outcome)
	case []ident.HostID:
		return fmt.Sprintf("drained hosts: %v", r)
	case member.Member:
		return fmt.Sprintf("removed %s incarnation %d, which was %s", r.ID, r.Incarnation, r.State)
	}
	return "done"
}

func (s *Server) fail(w http.ResponseWriter, err error) {
	var p *api.Problem
	var conflict *rollout.ConflictError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &conflict):
		p = api.NewProblem(api.CodeConflict, "expect", "%v", conflict)
	case errors.Is(err, member.ErrNoMember):
		p = api.NewProblem(api.CodeNotFound, "member", "%v", err)
	case errors.Is(err, member.ErrRunning):
		p = api.NewProblem(api.CodeInvalid, "confirm-running", "%v", err)
	case errors.Is(err, member.ErrChanged), errors.Is(err, platform.ErrConflict):
		p = api.NewProblem(api.CodeConflict, "member", "%v", err)
	case errors.Is(err, platform.ErrUnknownOutcome):
		p = api.NewProblem(api.CodeUnavailable, "", "%v", err)
		p.Outcome = api.Unknown
	case errors.Is(err, member.ErrNotNow), errors.Is(err, platform.ErrUnavailable):
		p = api.NewProblem(api.CodeUnavailable, "", "%v", err)
	case errors.Is(err, rollout.ErrUndecided):
		p = api.NewProblem(api.CodeUnavailable, "", "%v", err)
		p.Outcome = api.Unknown
	default:
		p = api.NewProblem(api.CodeInvalid, "", "%v", err)
	}
	s.write(w, p.Status, "application/problem+json", p)
}

func (s *Server) write(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.config.Log.V(1).Info("answer was not written", "error", err.Error())
	}
}
