package cell

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/inbound"
	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// startDaemon runs a daemon alone with a store.
func startDaemon(t *testing.T, store *txstore.Store, halfLife time.Duration) *Daemon {
	t.Helper()
	none := func(*entry.Gateway, func() bool, *inbound.Budget) http.Handler { return http.NotFoundHandler() }
	store.Put("config", []byte("1"))
	d, err := New(Settings{
		Member: "a", PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t), Cores: 1, MemoryBytes: 1 << 30, PastUseHalfLife: halfLife,
		Bounds: Bounds{GracePeriod: 2 * time.Second, MaxRunLease: 10 * time.Second, MaxRevocationDelay: 5 * time.Second},
	}, Adapter{
		Store: store, ConfigKey: "config",
		Registry:      coordinator.Registry{Prefix: "servers/", Decode: func(string, []byte) (sched.Server, error) { return sched.Server{}, nil }},
		DecodeConfig:  func([]byte) (*policy.Policy, error) { return &policy.Policy{Version: 1}, nil },
		CallerAddress: freeAddress(t), ReadinessAddress: freeAddress(t), NewCallerHandler: none,
		NewReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_ = d.Stop(ctx)
	})
	return d
}

// call sends a request to the operator's listener and returns the status and the body.
func (d *Daemon) call(t *testing.T, method, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+d.settings.OperatorAddress+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	return reply.StatusCode, string(body)
}

// Guards against a team that can't be reset, or another one that is, because of the characters of its name, and against answers that don't
// tell what happened.
func TestOperatorResetsPastUse(t *testing.T) {
	names := []ident.TeamID{"blue", "a/b", "a b", "a%2Fb", "../x", "é\"\\", "reset", "?q=1"}
	store := txstore.New(time.Now)
	l := pastuse.New(time.Hour)
	for _, name := range names {
		l.Add(name, pastuse.Use{Total: 1000, Copies: 3})
	}
	value, err := l.Encode(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	store.Put("past-use", value)
	d := startDaemon(t, store, time.Hour)
	for deadline := time.Now().Add(5 * time.Second); !d.coordinator.Dump("").Leading; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the daemon doesn't lead")
		}
	}
	if _, text := d.call(t, http.MethodGet, "/metrics"); !strings.Contains(text, `rosemaryspoke_past_use_level{team="a/b"} `) {
		t.Error("the metrics don't show the use of the teams")
	}
	for i, name := range names {
		status, body := d.call(t, http.MethodPost, "/past-use/"+url.PathEscape(string(name))+"/reset")
		var a resetAnswer
		if err := json.Unmarshal([]byte(body), &a); err != nil || status != http.StatusOK || a.Team != name || a.Former == nil || a.Former.Total < 990 {
			t.Errorf("reset of %q: status %d, %s", name, status, body)
		}
		if left := d.coordinator.Dump("").Scheduler.PastUse; len(left) != len(names)-i-1 {
			t.Errorf("after the reset of %q: %d teams with use, want %d", name, len(left), len(names)-i-1)
		}
	}
	for name, c := range map[string]struct {
		method, path string
		status       int
	}{
		"unknown team":    {http.MethodPost, "/past-use/nobody/reset", http.StatusNotFound},
		"no team":         {http.MethodPost, "/past-use//reset", http.StatusNotFound},
		"another method":  {http.MethodGet, "/past-use/blue/reset", http.StatusMethodNotAllowed},
		"state, as ever":  {http.MethodGet, "/state?job=a%2Fb", http.StatusOK},
		"wrong escaping":  {http.MethodPost, "/past-use/%C3%28/reset", http.StatusNotFound},
		"below the reset": {http.MethodPost, "/past-use/blue/reset/x", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			if status, body := d.call(t, c.method, c.path); status != c.status {
				t.Errorf("status %d, want %d: %s", status, c.status, body)
			}
		})
	}
}

// Guards against a reset that seems to work without a leader or where past use is off.
func TestOperatorResetRefused(t *testing.T) {
	d := startDaemon(t, txstore.New(time.Now), 0)
	seen := map[int]bool{}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && !seen[http.StatusConflict]; time.Sleep(5 * time.Millisecond) {
		status, body := d.call(t, http.MethodPost, "/past-use/blue/reset")
		if status != http.StatusConflict && status != http.StatusServiceUnavailable || !strings.Contains(body, "error") {
			t.Fatalf("status %d: %s", status, body)
		}
		seen[status] = true
	}
	if !seen[http.StatusConflict] {
		t.Errorf("statuses %v, want %d once the daemon leads", seen, http.StatusConflict)
	}
}
