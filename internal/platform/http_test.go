package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// drop closes the connection without a reply.
func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("content-length", "100")
	_, _ = io.WriteString(w, "{")
	panic(http.ErrAbortHandler)
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// TestOutcomes guards against reporting a write that may have taken effect as refused, and the reverse.
func TestOutcomes(t *testing.T) {
	const bound = 1 << 10
	long := `{"revision":7}` + strings.Repeat(" ", bound)
	for name, c := range map[string]struct {
		handler     http.HandlerFunc // nil means that nothing listens at the address
		write, read error
	}{
		"connection refused":         {nil, ErrUnavailable, ErrUnavailable},
		"connection dropped":         {drop, ErrUnknownOutcome, ErrUnavailable},
		"no reply in time":           {hang, ErrUnknownOutcome, ErrUnavailable},
		"truncated reply":            {truncated, ErrUnknownOutcome, ErrUnavailable},
		"reply that isn't JSON":      {respondWith(http.StatusOK, "<html>"), ErrUnknownOutcome, ErrUnavailable},
		"reply above the limit":      {respondWith(http.StatusOK, long), ErrUnknownOutcome, ErrTooLarge},
		"refused by the store":       {respondWith(http.StatusServiceUnavailable, `{"code":"unavailable"}`), ErrUnavailable, ErrUnavailable},
		"error of a load balancer":   {respondWith(http.StatusServiceUnavailable, "try later"), ErrUnknownOutcome, ErrUnavailable},
		"error without a known code": {respondWith(http.StatusInternalServerError, `{"code":"x"}`), ErrUnknownOutcome, ErrUnavailable},
		"redirect":                   {respondWith(http.StatusTemporaryRedirect, ""), ErrUnknownOutcome, ErrUnavailable},
		"conflict":                   {respondWith(http.StatusConflict, `{"code":"conflict"}`), ErrConflict, ErrConflict},
		"not found":                  {respondWith(http.StatusNotFound, `{"code":"not-found"}`), ErrNotFound, ErrNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(c.handler)
			if c.handler == nil {
				server.Close()
			} else {
				defer server.Close()
			}
			config := HTTPConfig{BaseURL: server.URL, CallTimeout: time.Minute, MaxReplyBytes: bound}
			rounds := 2 // the second round may reuse a connection
			if name == "no reply in time" {
				config.CallTimeout, rounds = time.Second, 1 // long enough to connect on a busy machine
			}
			store, err := NewHTTPStore(config)
			if err != nil {
				t.Fatal(err)
			}
			for range rounds {
				_, err = store.CompareAndSwap(t.Context(), "a", 0, []byte("one"), 0)
				wantOnly(t, "write", err, c.write)
				wantOnly(t, "renewal", store.RenewLease(t.Context(), 1), c.write)
				_, err = store.Get(t.Context(), "a")
				wantOnly(t, "read", err, c.read)
			}
		})
	}
}

func wantOnly(t *testing.T, call string, err, want error) {
	t.Helper()
	for _, e := range []error{ErrConflict, ErrNotFound, ErrUnavailable, ErrUnknownOutcome, ErrTooLarge} {
		if errors.Is(err, e) != (e == want) {
			t.Fatalf("%s: error %v, want %v", call, err, want)
		}
	}
}

// TestCancelledCall guards against reporting a write that its caller cancels as refused.
func TestCancelledCall(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		hang(w, r)
	}))
	defer server.Close()
	store, err := NewHTTPStore(HTTPConfig{BaseURL: server.URL, CallTimeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	err = store.Delete(ctx, "a", 1)
	wantOnly(t, "delete", err, ErrUnknownOutcome)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v hides the cancellation", err)
	}
}

// TestCalls guards against calls that are missing from the counters and the metrics.
func TestCalls(t *testing.T) {
	server := httptest.NewServer(respondWith(http.StatusConflict, `{"code":"conflict"}`))
	defer server.Close()
	set := metrics.NewSet()
	store, err := NewHTTPStore(HTTPConfig{BaseURL: server.URL, Metrics: set})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = store.Get(t.Context(), "a")
	_, _ = store.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	_, _ = store.CompareAndSwap(t.Context(), "a", 0, make([]byte, MaxValueBytes+1), 0) // not sent
	if c := store.CallCounts(); c[CallGet] != 1 || c[CallSwap] != 1 || c.Total() != 2 {
		t.Fatalf("calls %v", c)
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	for _, line := range []string{
		`rosemaryspoke_platform_calls_total{call="compare-and-swap"} 1`,
		`rosemaryspoke_platform_call_failures_total{call="get"} 1`,
	} {
		if !strings.Contains(text.String(), line) {
			t.Fatalf("%s is missing from\n%s", line, text.String())
		}
	}
}

// TestConfig guards against an invalid setting that is only noticed at the first call.
func TestConfig(t *testing.T) {
	for name, c := range map[string]HTTPConfig{
		"no URL":           {},
		"no scheme":        {BaseURL: "127.0.0.1:80"},
		"no host":          {BaseURL: "http://"},
		"other scheme":     {BaseURL: "ftp://127.0.0.1"},
		"negative timeout": {BaseURL: "http://127.0.0.1", CallTimeout: -1},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := NewHTTPStore(c); err == nil {
				t.Fatal("accepted")
			}
			if _, err := NewHTTPHostList(c); err == nil {
				t.Fatal("accepted")
			}
		})
	}
}
