package kv_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/clock"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
)

// TestControl guards against faults or hosts that are set over HTTP without effect, and against invalid faults that take
// effect.
func TestControl(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		status     int
		check      func(f fixture) bool
	}{
		"store down": {kv.PathFaults, `{"down":true}`, http.StatusOK, func(f fixture) bool { return f.server.Faults().Down }},
		"cut region, lost replies and delay": {
			kv.PathFaults, `{"cut-regions":["east"],"lose-replies":2,"delay-millis":1}`, http.StatusOK,
			func(f fixture) bool {
				faults := f.server.Faults()
				return len(faults.CutRegions) == 1 && faults.LoseReplies == 2 && faults.DelayMillis == 1
			},
		},
		"probability above 1 is refused": {
			kv.PathFaults, `{"down":true,"lose-probability":2}`, http.StatusBadRequest,
			func(f fixture) bool { return !f.server.Faults().Down },
		},
		"body that isn't JSON is refused": {
			kv.PathFaults, `down`, http.StatusBadRequest,
			func(f fixture) bool { return !f.server.Faults().Down },
		},
		"host list": {
			kv.PathSetHosts, `{"hosts":[{"id":"h1","state":"live"}]}`, http.StatusOK,
			func(f fixture) bool {
				f.clock.Advance(ttl)
				hosts, err := f.hosts.Hosts(t.Context())
				return err == nil && len(hosts) == 1 && hosts[0].ID == "h1"
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			clk := clock.New(time.Unix(1_000_000, 0))
			server := kv.New(kv.Config{Now: clk.Now, HostListDelay: ttl})
			listener := httptest.NewServer(server.Handler())
			defer listener.Close()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, listener.URL+c.path, strings.NewReader(c.body))
			must(t, err)
			response, err := http.DefaultClient.Do(request)
			must(t, err)
			must(t, response.Body.Close())
			f := fixture{server: server, clock: clk, hosts: server.HostListFrom("")}
			if response.StatusCode != c.status || !c.check(f) {
				t.Fatalf("status %d, faults %+v", response.StatusCode, server.Faults())
			}
		})
	}
}

// TestCounts guards against calls that aren't counted because the store is down.
func TestCounts(t *testing.T) {
	server := kv.New(kv.Config{})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	server.SetDown(true)
	_, _ = server.Store().Get(t.Context(), "a")
	_, _ = server.HostListFrom("").Hosts(t.Context())
	_, _, _ = server.Store().Watch(t.Context(), "a", 0, 0)
	response, err := http.Get(listener.URL + kv.PathCounts)
	must(t, err)
	defer func() { _ = response.Body.Close() }()
	var counts platform.CallCounts
	must(t, json.NewDecoder(response.Body).Decode(&counts))
	if counts.Total() != 3 || counts[platform.CallWatch] != 1 {
		t.Fatalf("counts %v", counts)
	}
}
