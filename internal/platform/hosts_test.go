package platform_test

import (
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
)

// TestHostsUnchanged guards against a stale or damaged list after a conditional read, and against transferring a list
// that has not changed.
func TestHostsUnchanged(t *testing.T) {
	server := kv.New(kv.Config{})
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	list, err := platform.NewHTTPHostList(platform.HTTPConfig{BaseURL: web.URL})
	if err != nil {
		t.Fatal(err)
	}
	first := []platform.Host{{ID: "a", State: platform.HostLive}, {ID: "b", State: platform.HostLive}}
	second := []platform.Host{{ID: "a", State: platform.HostLeaving}}
	for step, want := range [][]platform.Host{first, first, second, second, first} {
		if step == 0 || step == 2 || step == 4 {
			server.SetHosts(want)
		}
		got, err := list.Hosts(t.Context())
		if err != nil || !slices.Equal(got, want) {
			t.Fatalf("step %d: %v, %v, want %v", step, got, err, want)
		}
		got[0].State = "changed by the caller"
	}
}
