package platform_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
)

// TestHostChanges guards against a stale or corrupted list after a read of changes, also when the platform returns the
// whole list or changes that don't match it, and against transferring a list that has not changed.
func TestHostChanges(t *testing.T) {
	a, b, c := platform.Host{ID: "a", State: platform.HostLive}, platform.Host{ID: "b", State: platform.HostLive}, platform.Host{ID: "c"}
	leaving := platform.Host{ID: "a", State: platform.HostLeaving}
	lists := [][]platform.Host{{a, b}, {a, b}, {leaving}, {leaving}, {leaving, c}, {b}, {}, {a, b, c}}
	forward := func(r platform.HostsReply) platform.HostsReply { return r }
	for name, p := range map[string]struct {
		known string // replaces the version that the client sends
		alter func(platform.HostsReply) platform.HostsReply
		fails bool // a read of changes may fail if the next read returns the right list
	}{
		"with changes":        {alter: forward},
		"unknown version":     {known: "other", alter: forward},
		"without versions":    {known: "other", alter: func(r platform.HostsReply) platform.HostsReply { r.Version = ""; return r }},
		"wrong base version":  {alter: func(r platform.HostsReply) platform.HostsReply { r.Since += "x"; return r }, fails: true},
		"missing changes":     {alter: func(r platform.HostsReply) platform.HostsReply { r.Count++; return r }, fails: true},
		"unrequested changes": {known: "other", alter: func(r platform.HostsReply) platform.HostsReply { r.Since = "x"; return r }, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			server := kv.New(kv.Config{})
			sent := 0 // hosts after the first reply
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				query := r.URL.Query()
				if p.known != "" && query.Has("known") {
					query.Set("known", p.known)
				}
				r.URL.RawQuery = query.Encode()
				record := httptest.NewRecorder()
				server.Handler().ServeHTTP(record, r)
				var reply platform.HostsReply
				if err := json.Unmarshal(record.Body.Bytes(), &reply); err != nil {
					t.Error(err)
				}
				if query.Has("known") {
					sent += len(reply.Hosts)
					reply = p.alter(reply)
				}
				_ = json.NewEncoder(w).Encode(reply)
			}))
			defer web.Close()
			list, err := platform.NewHTTPHostList(platform.HTTPConfig{BaseURL: web.URL})
			if err != nil {
				t.Fatal(err)
			}
			for step, want := range lists {
				server.SetHosts(want)
				if step%2 == 1 {
					_, _ = list.Hosts(t.Context()) // the next read finds the list unchanged
				}
				got, err := list.Hosts(t.Context())
				if err != nil && p.fails {
					got, err = list.Hosts(t.Context())
				}
				if err != nil || !slices.Equal(got, want) {
					t.Fatalf("step %d: %v, %v, want %v", step, got, err, want)
				}
				for i := range got {
					got[i].State = "changed by the caller"
				}
			}
			if p.known == "" && !p.fails && sent != 6 {
				t.Fatalf("%d hosts were sent, 6 were new or changed", sent)
			}
		})
	}
}
