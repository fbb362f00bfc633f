//go:build review

package lab

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

const (
	maxValueBytes   = 1 << 20 // valueBytes of the settings
	storeAnswerTime = 4 * time.Millisecond
)

// Store is the project's stand-in of the platform's store, which in addition keeps the limit of the size of values and may lose
// answers of writes.
type Store struct {
	*txstore.Store
	lab     *Lab
	calls   http.Handler
	address string
	tooBig  atomic.Int64 // writes that were refused for a value above the limit
	lose    atomic.Pointer[func() time.Duration]
}

func newStore(l *Lab) *Store {
	s := &Store{Store: txstore.New(time.Now), lab: l}
	s.calls = standin.NewStoreServer(s.Store).Handler()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.check(err)
	s.address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return s
}

// LoseAnswers sets the function that returns how late a write is carried out whose answer is lost; 0 means neither.
func (s *Store) LoseAnswers(late func() time.Duration) { s.lose.Store(&late) }

// TooBig returns how many writes were refused because of a value above the limit.
func (s *Store) TooBig() int64 { return s.tooBig.Load() }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/kv-txn" {
		time.Sleep(storeAnswerTime / 2)
		s.calls.ServeHTTP(w, r)
		return
	}
	raw, err := io.ReadAll(r.Body)
	var body struct {
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
	}
	if err != nil || json.Unmarshal(raw, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	for _, x := range body.Writes {
		if len(x.Value) > maxValueBytes {
			if n := s.tooBig.Add(1); n == 1 || n%100 == 0 {
				s.lab.Record("store answers 400: write %d of a value above %d bytes (%s has %d, %d keys in this transaction)",
					n, maxValueBytes, x.Key, len(x.Value), len(body.Writes))
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(storeAnswerTime)
	if late := s.lose.Load(); late != nil {
		if delay := (*late)(); delay > 0 {
			late := r.Clone(s.lab.ctx)
			late.Body = r.Body
			time.AfterFunc(delay, func() { s.calls.ServeHTTP(&discard{http.Header{}}, late) })
			<-r.Context().Done() // a channel on which an answer is lost returns nothing further
			panic(http.ErrAbortHandler)
		}
	}
	s.calls.ServeHTTP(w, r)
}

// discard is a response that nobody reads.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
