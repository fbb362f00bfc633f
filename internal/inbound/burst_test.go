package inbound

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serveHandler serves requests with a handler on a bounded listener, and returns the address.
func serveHandler(t *testing.T, b *Budget, most int, h http.HandlerFunc) string {
	t.Helper()
	s := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: h}
	b.Attach(s)
	l, err := b.Listen(t.Context(), "test", "127.0.0.1:0", most)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// Guards against connections of ordinary callers that are closed because more of them arrive at once than the listener holds: new ones
// while all others are being served, or accepted ones before their request is read.
func TestBurstOfShortConnectionsIsServed(t *testing.T) {
	for name, idle := range map[string]int{"all slots are served": 0, "most slots are idle": 40} {
		t.Run(name, func(t *testing.T) {
			address := serveHandler(t, newBudget(t, Config{}), 50, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(20 * time.Millisecond)
				_, _ = fmt.Fprint(w, "ok")
			})
			for range idle {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				if _, err := c.Read(make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
			}
			var wait sync.WaitGroup
			var failed atomic.Int64
			for range 300 {
				wait.Go(func() {
					if answer := request(address); !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) {
						failed.Add(1)
					}
				})
			}
			wait.Wait()
			if n := failed.Load(); n > 0 {
				t.Errorf("%d of 300 callers got no answer", n)
			}
		})
	}
}

// request sends a request on a connection of its own and returns the answer, if any.
func request(address string) []byte {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	answer, _ := io.ReadAll(c)
	return answer
}
