// Package silent has an HTTP server whose open connections can go silent while new ones work.
package silent

import (
	"net/http"
	"net/http/httptest"
	"sync"
)

// Server answers calls by a handler, but none on connections that had a call before Silence.
type Server struct {
	*httptest.Server
	release chan struct{}

	mu       sync.Mutex
	silenced bool
	old      map[string]bool // connections that had a call before, by the caller's address
	lost     int
}

// NewServer starts a server. Close ends it.
func NewServer(h http.Handler) *Server {
	s := &Server{release: make(chan struct{}), old: map[string]bool{}}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent(r.RemoteAddr) {
			<-s.release
			return
		}
		h.ServeHTTP(w, r)
	}))
	return s
}

func (s *Server) isSilent(caller string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silenced {
		s.old[caller] = true
		return false
	}
	if s.old[caller] {
		s.lost++
	}
	return s.old[caller]
}

// Silence makes the connections silent that had a call, and returns their number.
func (s *Server) Silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced = true
	return len(s.old)
}

// Lost returns the number of calls on silent connections.
func (s *Server) Lost() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Close ends the calls on silent connections and stops the server.
func (s *Server) Close() {
	close(s.release)
	s.Server.Close()
}
