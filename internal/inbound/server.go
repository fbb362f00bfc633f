package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// drainTimeout bounds how long the rest of a body that isn't wanted is read before its connection is closed. Without reading it, the
// close could reach the caller before the response.
const drainTimeout = 300 * time.Millisecond

const (
	// usualFields is the number of header fields that is part of ConnectionBytes; fieldBytes is what each one takes.
	usualFields = 32
	fieldBytes  = 128
)

type connKey struct{}

// connOf returns the accepted connection, also below TLS, or nil.
func connOf(raw net.Conn) *Conn {
	if secured, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = secured.NetConn()
	}
	c, _ := raw.(*Conn)
	return c
}

// Attach makes a server report the state of its connections to the budget and reserve memory for bodies. The server's listener must
// come from Listen.
func (b *Budget) Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if c := connOf(raw); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		c := connOf(raw)
		switch {
		case c == nil:
		case state == http.StateActive:
			c.handled()
		case state == http.StateIdle:
			c.idle()
		}
	}
	s.Handler = b.handler(s.Handler)
}

// handler reserves memory for the bodies of requests until they are answered.
func (b *Budget) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if ok && c.headerPaid == 0 && len(r.Header) > usualFields {
			b.addHeader(c, int64(len(r.Header))*fieldBytes)
		}
		if !ok || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		in := &body{ReadCloser: r.Body, conn: c, credit: freeBytes, step: freeBytes, small: r.ContentLength > 0 && r.ContentLength <= freeBytes}
		in.begin()
		r.Body = in
		defer in.release()
		next.ServeHTTP(&responseWriter{ResponseWriter: w, body: in}, r)
		in.abandon()
	})
}

// body is the body of a request that is being received.
type body struct {
	io.ReadCloser
	conn   *Conn
	credit int // bytes that may be read before more memory is reserved
	step   int
	held   int64
	small  bool // announced with at most freeBytes, so that reading the rest costs less than a new connection
	ended  bool // by its end or an error
	failed bool
}

func (r *body) begin() {
	b := r.conn.budget
	now := int64(b.now())
	r.conn.startedAt.Store(now)
	r.conn.progressAt.Store(now)
	r.conn.phase.Store(int32(phaseBody))
	if b.config.BodyTimeout > 0 {
		_ = r.conn.SetReadDeadline(time.Now().Add(b.config.BodyTimeout))
	}
}

// Read implements io.Reader. It returns ErrFull if there is no memory for the rest.
func (r *body) Read(p []byte) (int, error) {
	if r.failed {
		return 0, ErrFull
	}
	if r.credit == 0 {
		r.step = min(2*r.step, maxBodyStep)
		if err := r.conn.budget.reserve(r.conn, int64(r.step)*bodyFactor); err != nil {
			r.failed = true
			r.conn.budget.reports.add(refusedBody)
			return 0, err
		}
		r.held += int64(r.step) * bodyFactor
		r.credit = r.step
	}
	n, err := r.ReadCloser.Read(p[:min(len(p), r.credit)])
	r.credit -= n
	if err != nil {
		r.ended = true
		r.conn.handled()
		if errors.Is(err, io.EOF) && r.conn.budget.config.BodyTimeout > 0 {
			_ = r.conn.SetReadDeadline(time.Time{})
		}
	}
	return n, err
}

// abandon bounds how long the HTTP server reads the rest of a body that its handler has left.
func (r *body) abandon() {
	if !r.ended {
		_ = r.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	}
}

func (r *body) release() {
	r.conn.handled()
	if r.held > 0 {
		r.conn.budget.release(r.conn, r.held)
	}
}

// responseWriter closes the connection of a response that is written before the body was read, instead of reading the body first, unless
// the body is small.
type responseWriter struct {
	http.ResponseWriter
	body  *body
	wrote bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if !w.wrote && !w.body.ended {
		if !w.body.small {
			w.Header().Set("Connection", "close")
		}
		w.body.abandon()
	}
	w.wrote = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
