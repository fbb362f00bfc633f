package inbound

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkOrdinaryRequest compares a request with a small body on a server without and with the budget.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for name, bounded := range map[string]bool{"plain": false, "bounded": true} {
		b.Run(name, func(b *testing.B) {
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				_, _ = fmt.Fprint(w, len(body))
			})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			if bounded {
				_ = l.Close()
				budget, err := New(Config{Memory: 8 << 20, BodyTimeout: DefaultBodyTimeout})
				if err != nil {
					b.Fatal(err)
				}
				budget.Attach(s)
				if l, err = budget.Listen(b.Context(), "bench", "127.0.0.1:0", 16); err != nil {
					b.Fatal(err)
				}
			}
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			body := strings.Repeat("x", 600)
			b.ReportAllocs()
			for b.Loop() {
				response, err := client.Post("http://"+l.Addr().String(), "application/json", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
