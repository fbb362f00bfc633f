package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// late returns how long after its arrival a transaction is carried out, whose connection is then reset without an answer; 0 means that
	// the transaction is served. A nil function serves all.
	late func(platform.Transaction) time.Duration
}

// newStoreFront serves a store on a free loopback port.
func newStoreFront(store *txstore.Store, late func(platform.Transaction) time.Duration) (*storeFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	f := &storeFront{TransactionalStore: store, address: l.Addr().String(), late: late}
	calls := standin.NewStoreServer(f).Handler()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.isSilent() {
			_, _ = io.Copy(io.Discard, r.Body) // the context ends with the connection only once the body is read
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		calls.ServeHTTP(w, r)
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

// Transact implements platform.TransactionalStore.
func (f *storeFront) Transact(ctx context.Context, t platform.Transaction) (platform.Revision, error) {
	f.mu.Lock()
	delay := time.Duration(0)
	if f.late != nil {
		delay = f.late(t)
	}
	f.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _, _ = f.TransactionalStore.Transact(context.Background(), t) })
		panic(http.ErrAbortHandler) // resets the connection
	}
	return f.TransactionalStore.Transact(ctx, t)
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
