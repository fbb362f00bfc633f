package kv

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Paths for tests, which aren't part of the platform's interface.
const (
	PathFaults   = "/standin/faults" // GET and PUT Faults
	PathCounts   = "/standin/counts" // GET platform.CallCounts
	PathSetHosts = "/standin/hosts"  // PUT platform.HostsReply
)

// maxBodyBytes is larger than a JSON object with a base64 value of the maximum size, so that the store itself refuses a value
// that is slightly too large.
const maxBodyBytes = 3 * platform.MaxValueBytes

// errInvalid reports that a request can't be decoded.
var errInvalid = errors.New("invalid request")

// Handler returns the HTTP handler of the platform's interface and of the paths for tests.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	get := func(path string, f func(*client, *http.Request) (any, error)) {
		r.HandleFunc(path, s.serve(f)).Methods(http.MethodGet)
	}
	get(platform.PathItem, func(c *client, r *http.Request) (any, error) {
		return c.Get(r.Context(), r.URL.Query().Get("key"))
	})
	get(platform.PathItems, func(c *client, r *http.Request) (any, error) {
		items, err := c.List(r.Context(), r.URL.Query().Get("prefix"))
		return platform.ItemsReply{Items: items}, err
	})
	get(platform.PathWatch, watch)
	get(platform.PathHosts, func(c *client, r *http.Request) (any, error) {
		return c.hostsReply(r.Context(), r.URL.Query().Get("known"))
	})
	post(s, r, platform.PathSwap, func(c *client, r *http.Request, in platform.SwapRequest) (any, error) {
		revision, err := c.CompareAndSwap(r.Context(), in.Key, in.Expect, in.Value, in.Lease)
		return platform.SwapReply{Revision: revision}, err
	})
	post(s, r, platform.PathDelete, func(c *client, r *http.Request, in platform.DeleteRequest) (any, error) {
		return struct{}{}, c.Delete(r.Context(), in.Key, in.Expect)
	})
	post(s, r, platform.PathGrant, func(c *client, r *http.Request, in platform.LeaseMessage) (any, error) {
		id, err := c.GrantLease(r.Context(), time.Duration(in.TTLMillis)*time.Millisecond)
		return platform.LeaseMessage{ID: id}, err
	})
	post(s, r, platform.PathRenew, func(c *client, r *http.Request, in platform.LeaseMessage) (any, error) {
		return struct{}{}, c.RenewLease(r.Context(), in.ID)
	})
	post(s, r, platform.PathRevoke, func(c *client, r *http.Request, in platform.LeaseMessage) (any, error) {
		return struct{}{}, c.RevokeLease(r.Context(), in.ID)
	})
	s.registerControl(r)
	return r
}

// registerControl registers the paths for tests.
func (s *Server) registerControl(r *mux.Router) {
	r.HandleFunc(PathFaults, s.serve(func(*client, *http.Request) (any, error) { return s.Faults(), nil })).
		Methods(http.MethodGet)
	r.HandleFunc(PathCounts, s.serve(func(*client, *http.Request) (any, error) { return s.Counts(), nil })).
		Methods(http.MethodGet)
	r.HandleFunc(PathFaults, s.serve(func(_ *client, r *http.Request) (any, error) {
		next, err := decode[Faults](r)
		if err == nil {
			err = next.Check()
		}
		if err == nil {
			s.SetFaults(next)
		}
		return struct{}{}, err
	})).Methods(http.MethodPut)
	r.HandleFunc(PathSetHosts, s.serve(func(_ *client, r *http.Request) (any, error) {
		next, err := decode[platform.HostsReply](r)
		if err == nil {
			s.SetHosts(next.Hosts)
		}
		return struct{}{}, err
	})).Methods(http.MethodPut)
}

// watch handles a watch.
func watch(c *client, r *http.Request) (any, error) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return nil, errors.Join(errInvalid, err)
	}
	wait, err := strconv.ParseInt(query.Get("wait-millis"), 10, 64)
	if err != nil {
		return nil, errors.Join(errInvalid, err)
	}
	events, revision, err := c.Watch(
		r.Context(), query.Get("prefix"), platform.Revision(after), time.Duration(wait)*time.Millisecond)
	return platform.WatchReply{Events: events, Revision: revision}, err
}

// post registers a handler for POST requests with a JSON body.
func post[In any](s *Server, router *mux.Router, path string, f func(*client, *http.Request, In) (any, error)) {
	router.HandleFunc(path, s.serve(func(c *client, r *http.Request) (any, error) {
		in, err := decode[In](r)
		if err != nil {
			return nil, err
		}
		return f(c, r, in)
	})).Methods(http.MethodPost)
}

// decode decodes a JSON body of limited size.
func decode[In any](r *http.Request) (In, error) {
	var in In
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err == nil && len(raw) > maxBodyBytes {
		return in, platform.ErrTooLarge
	}
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	if err != nil {
		return in, errors.Join(errInvalid, err)
	}
	return in, nil
}

// serve writes the result as JSON. For a lost reply it closes the connection without a response.
func (s *Server) serve(f func(*client, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := f(&client{server: s, region: ident.Region(r.Header.Get(platform.HeaderRegion))}, r)
		if errors.Is(err, platform.ErrUnknownOutcome) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("content-type", "application/json")
		if err != nil {
			status, code := errorStatus(err)
			w.WriteHeader(status)
			out = platform.ErrorReply{Code: code, Message: err.Error()}
		}
		_ = json.NewEncoder(w).Encode(out) // the write fails only if the client has disconnected
	}
}

// errorStatus returns the HTTP status and the error code of an error.
func errorStatus(err error) (int, string) {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict, platform.CodeConflict
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound, platform.CodeNotFound
	case errors.Is(err, platform.ErrTooLarge):
		return http.StatusRequestEntityTooLarge, platform.CodeTooLarge
	case errors.Is(err, platform.ErrUnavailable):
		return http.StatusServiceUnavailable, platform.CodeUnavailable
	}
	return http.StatusBadRequest, platform.CodeInvalid
}
