//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// maxPageBytes is the size of a page of a range, about 1 MB by PROTOCOL.md.
const maxPageBytes = 1 << 20

// storeFront is the platform's store as one daemon reaches it, on an address of its own.
type storeFront struct {
	platform.TransactionalStore
	address string

	mu     sync.Mutex
	silent bool // calls get no answer and aren't carried out
}

// newStoreFront serves a store on a free loopback port.
func newStoreFront(store *txstore.Store) (*storeFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	f := &storeFront{TransactionalStore: store, address: l.Addr().String()}
	calls := standin.NewStoreServer(f).Handler()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply := httptest.NewRecorder()
		if !f.isSilent() {
			calls.ServeHTTP(reply, r)
		}
		if f.isSilent() { // also the answers to calls that have waited, such as watches
			_, _ = io.Copy(io.Discard, r.Body) // the context ends with the connection only once the body is read
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		maps.Copy(w.Header(), reply.Header())
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes()) // the daemon may have given up
	})}
	go func() { _ = server.Serve(l) }()
	return f, nil
}

func (f *storeFront) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// setSilent cuts the daemon off from the store, or ends that.
func (f *storeFront) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// Range implements platform.TransactionalStore. The project's stand-in bounds a page by the number of its items only.
func (f *storeFront) Range(ctx context.Context, prefix, after string) (platform.Page, error) {
	p, err := f.TransactionalStore.Range(ctx, prefix, after)
	size := 0
	for i, item := range p.Items {
		if size += len(item.Value); i > 0 && size > maxPageBytes {
			p.Items, p.HasMore = p.Items[:i], true
			break
		}
	}
	return p, err
}
