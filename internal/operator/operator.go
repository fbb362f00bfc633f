// Package operator serves the HTTP API for operators: health, metrics, the state dump, configuration bundles, hosts,
// members and certificates.
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

// Error is the class of the errors that New returns for invalid configurations.
var Error = errs.Class("operator")

// Limits of the server.
const (
	// maxBundleBytes bounds the body of a request that carries a bundle.
	maxBundleBytes = 4 << 20
	// publishTimeout bounds a publish, including the wait until the new version is accepted.
	publishTimeout = 12 * time.Second
)

// Config holds the dependencies of a Server.
type Config struct {
	Token              string
	Ready              func() bool
	Dump               func() any
	Metrics            *metrics.Set
	Rollout            *rollout.Rollout
	Hosts              func(ctx context.Context) ([]platform.Host, error)
	DrainHost          func(ctx context.Context, host ident.HostID, undo bool) ([]ident.HostID, error)
	Owner              func(platform.Host) ident.MemberID
	Members            func() []member.Status
	RemoveMember       func(ctx context.Context, id ident.MemberID, confirmed bool) (member.Member, error)
	ReloadCertificates func() error
	Log                logr.Logger
}

// Server handles the requests of operators.
type Server struct {
	config Config
	token  [sha256.Size]byte
	router *mux.Router
}

// New returns a server with all routes registered. Health, readiness and metrics need no credential; all other routes do.
func New(c Config) (*Server, error) {
	if c.Token == "" || c.Ready == nil || c.Dump == nil || c.Metrics == nil || c.Rollout == nil {
		return nil, Error.New("Token, Ready, Dump, Metrics and Rollout must be set")
	}
	s := &Server{config: c, token: sha256.Sum256([]byte(c.Token)), router: mux.NewRouter()}
	s.router.HandleFunc("/healthz", handleHealth).Methods(http.MethodGet)
	s.router.HandleFunc("/readyz", s.handleReady).Methods(http.MethodGet)
	s.router.HandleFunc("/metrics", s.handleMetrics).Methods(http.MethodGet)
	for _, route := range []struct {
		method, path, action string
		handler              func(r *http.Request) (any, error)
	}{
		{http.MethodGet, "/debug/state", "read state", func(*http.Request) (any, error) { return c.Dump(), nil }},
		{http.MethodGet, "/v1/bundle", "read bundle", s.readBundle},
		{http.MethodPost, "/v1/bundle/prepare", "prepare bundle", s.prepareBundle},
		{http.MethodPost, "/v1/bundle/publish", "publish bundle", s.publishBundle},
		{http.MethodGet, "/v1/bundle/status", "read bundle status", s.bundleStatus},
		{http.MethodGet, "/v1/hosts", "read hosts", s.listHosts},
		{http.MethodPost, "/v1/hosts/drain", "drain host", s.drainHost},
		{http.MethodGet, "/v1/members", "read members", func(*http.Request) (any, error) { return c.Members(), nil }},
		{http.MethodPost, "/v1/members/remove", "remove member", s.removeMember},
		{http.MethodPost, "/v1/certificates/reload", "reload certificates", s.reloadCertificates},
	} {
		s.router.Handle(route.path, s.authorizeAndAudit(route.action, route.handler)).Methods(route.method)
	}
	return s, nil
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler { return s.router }

// HTTP returns an HTTP server for Handler with timeouts and a limit on the header size.
func (s *Server) HTTP() *http.Server {
	return caller.NewHTTPServer(s.router)
}

func handleHealth(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.config.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	s.config.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// authorizeAndAudit wraps a handler: it compares the operator's credential in constant time, writes an audit log line for
// requests that change state, and encodes the response.
func (s *Server) authorizeAndAudit(action string, h func(r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(given[:], s.token[:]) != 1 {
			s.config.Log.Info("operator credential refused", "action", action, "remote", r.RemoteAddr)
			s.writeProblem(w, api.NewProblem(api.CodeUnauthorized, "", "the operator's credential is missing or wrong"))
			return
		}
		answer, err := h(r)
		if r.Method != http.MethodGet {
			s.config.Log.Info("audit", "action", action, "remote", r.RemoteAddr, "operator", r.Header.Get("X-Operator"),
				"ok", err == nil, "result", auditResult(answer, err))
		}
		if err != nil {
			s.writeProblem(w, err)
			return
		}
		s.writeJSON(w, http.StatusOK, "application/json", answer)
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

func (s *Server) writeProblem(w http.ResponseWriter, err error) {
	var p *api.Problem
	var conflict *rollout.ConflictError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &conflict):
		p = api.NewProblem(api.CodeConflict, "expect", "%v", conflict)
	case errors.Is(err, member.ErrUnknownMember):
		p = api.NewProblem(api.CodeNotFound, "member", "%v", err)
	case errors.Is(err, member.ErrStillRunning):
		p = api.NewProblem(api.CodeInvalid, "confirm-running", "%v", err)
	case errors.Is(err, member.ErrMemberChanged), errors.Is(err, platform.ErrConflict):
		p = api.NewProblem(api.CodeConflict, "member", "%v", err)
	case errors.Is(err, platform.ErrUnknownOutcome):
		p = api.NewProblem(api.CodeUnavailable, "", "%v", err)
		p.Outcome = api.Unknown
	case errors.Is(err, member.ErrUnsafeRemoval), errors.Is(err, platform.ErrUnavailable):
		p = api.NewProblem(api.CodeUnavailable, "", "%v", err)
	case errors.Is(err, rollout.ErrUnknownOutcome):
		p = api.NewProblem(api.CodeUnavailable, "", "%v", err)
		p.Outcome = api.Unknown
	default:
		p = api.NewProblem(api.CodeInvalid, "", "%v", err)
	}
	s.writeJSON(w, p.Status, "application/problem+json", p)
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		s.config.Log.V(1).Info("failed to write the response", "error", err.Error())
	}
}
