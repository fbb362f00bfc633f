package placement

import (
	"errors"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// TestBaseline guards against a baseline that packs, overcommits or preempts, which would invalidate the comparison
// with the placement policy.
func TestBaseline(t *testing.T) {
	f := newFixture(t)
	f.Pool.config.Baseline = true
	f.attachHosts(48)
	used := map[ident.HostID]int{}
	for i := range 48 {
		placed, err := f.Place(newRequest(i, api.KindBatch, smallDemand))
		if err != nil {
			t.Fatal(err)
		}
		used[placed.Host]++
	}
	// 48 uniform choices among 48 hosts hit about 30 different hosts; packing would use 6.
	if len(used) < 20 || len(used) == 48 {
		t.Errorf("48 tasks are on %d hosts, want 20 to 47", len(used))
	}
	for i := 48; i < 48*8; i++ {
		if _, err := f.Place(newRequest(i, api.KindBatch, smallDemand)); err != nil {
			t.Fatalf("task %d: %v", i, err)
		}
	}
	urgent := newRequest(-1, api.KindRequest, smallDemand)
	urgent.Priority = 90
	var none *NoCapacityError
	if _, err := f.Place(urgent); !errors.As(err, &none) {
		t.Errorf("got %v on a full fleet", err)
	}
	if _, err := f.SelectVictims(urgent); !errors.Is(err, ErrNoVictims) {
		t.Errorf("victims: %v", err)
	}
}
