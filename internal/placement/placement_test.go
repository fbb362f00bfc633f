package placement

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

var (
	cpuHost     = resource.Vector{CPU: resource.Cores(16), Memory: resource.Gigabytes(32), Slots: 8, Connections: 64}
	gpuHost     = resource.Vector{CPU: resource.Cores(64), Memory: resource.Gigabytes(128), GPUs: 8, Slots: 8, Connections: 64}
	smallDemand = resource.Vector{CPU: resource.Cores(2), Memory: resource.Gigabytes(2), Slots: 1, Connections: 1}
)

// fixture is a pool whose clock and blocked hosts are set by the test.
type fixture struct {
	now     time.Time
	blocked map[ident.HostID]string
	*Pool
}

func newFixture(tb testing.TB) *fixture {
	tb.Helper()
	f := &fixture{now: time.Unix(1_000_000, 0), blocked: map[ident.HostID]string{}}
	p, err := New(Config{
		BlockReason: func(h ident.HostID) string { return f.blocked[h] },
		KindOf:      func(q ident.QueueID) api.Kind { return api.Kind(q) },
		Seed:        1,
		Now:         func() time.Time { return f.now },
	})
	if err != nil {
		tb.Fatal(err)
	}
	f.Pool = p
	return f
}

func hostID(i int) ident.HostID { return ident.HostID(fmt.Sprintf("host-%04d", i)) }

// hostInfo describes host i. There are five hosts per rack, and consecutive racks are in different ones of three data
// centres.
func hostInfo(i int) platform.Host {
	return platform.Host{
		ID: hostID(i), Region: "r", DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", i/5%3)),
		Rack: ident.Rack(fmt.Sprintf("rack-%d", i/5)), State: platform.HostLive,
	}
}

// attachHosts attaches n hosts. Every fourth has GPUs.
func (f *fixture) attachHosts(n int) {
	for i := range n {
		capacity := cpuHost
		if i%4 == 3 {
			capacity = gpuHost
		}
		f.Attach(hostInfo(i), backend.Inventory{Capacity: capacity})
	}
}

func newRequest(i int, kind api.Kind, demand resource.Vector) Request {
	return Request{
		Attempt: ident.AttemptID(fmt.Sprintf("attempt-%d", i)), Job: "job", Index: i, Team: "team",
		Queue: ident.QueueID(kind), Kind: kind, Demand: demand,
	}
}

// TestPlaceFillsTheFleet guards against a search that misses hosts with free slots: tasks must fill every slot before
// one is refused.
func TestPlaceFillsTheFleet(t *testing.T) {
	for _, kind := range []api.Kind{api.KindRequest, api.KindService, api.KindBatch, api.KindAllAtOnce} {
		t.Run(string(kind), func(t *testing.T) {
			f := newFixture(t)
			f.attachHosts(48)
			for i := range 48 * 8 {
				if _, err := f.Place(newRequest(i, kind, smallDemand)); err != nil {
					t.Fatalf("task %d of %d: %v", i, 48*8, err)
				}
			}
			_, err := f.Place(newRequest(-1, kind, smallDemand))
			var full *NoCapacityError
			if !errors.As(err, &full) || full.Reason != AllFull || full.Full != 48 {
				t.Fatalf("got %v, want a full fleet", err)
			}
		})
	}
}
