package dispatch

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestCouldFit guards against tasks that are refused as impossible while all servers change owners, and against
// impossible tasks that wait although servers are known.
func TestCouldFit(t *testing.T) {
	small, large := resource.Vector{Slots: 1}, resource.Vector{Slots: 2}
	for name, c := range map[string]struct {
		own, peer resource.Vector // capacity of a server; zero means that no server is known
		want      bool
	}{
		"no server is known":         {resource.Vector{}, resource.Vector{}, true},
		"own server is too small":    {small, resource.Vector{}, false},
		"peer's server is too small": {resource.Vector{}, small, false},
		"own server fits":            {large, small, true},
		"peer's server fits":         {small, large, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t)
			d.config.Servers.InventoryComplete = func() (ident.Epoch, bool) { return 1, true }
			if c.own != (resource.Vector{}) {
				d.config.Pool.Attach(platform.Host{ID: "host"}, backend.Inventory{Capacity: c.own})
			}
			d.config.Fleet.HandleSummary(wire.Summary{
				Sender: wire.Sender{Member: "peer", Incarnation: 1}, Full: true, DataCentres: []wire.DataCentreCapacity{{LargestHost: c.peer}},
			})
			if got, reason := d.CouldFit(Work{Task: backend.Task{Demand: large}}); got != c.want {
				t.Errorf("got %v (%s)", got, reason)
			}
		})
	}
}
