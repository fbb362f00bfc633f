package worker

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a ledger that blames a start into the CPU that a throttled task gave up, and against one that misses
// a start into its memory, a start beyond the CPU, or the end of a throttling without room.
func TestThrottledCapacity(t *testing.T) {
	demand := func(cores, gigabytes int64) resource.Vector {
		return resource.Vector{CPU: resource.Cores(cores), Memory: resource.Gigabytes(gigabytes), Slots: 1}
	}
	for name, c := range map[string]struct {
		second     resource.Vector
		unthrottle bool
		want       int
	}{
		"CPU that was given up":   {demand(6, 4), false, 0},
		"more CPU":                {demand(7, 4), false, 1},
		"memory isn't given up":   {demand(6, 5), false, 1},
		"end without room":        {demand(6, 4), true, 1},
		"end with room":           {demand(0, 4), true, 0},
		"end after an overcommit": {demand(7, 4), true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(Config{Host: "host", Capacity: resource.Vector{CPU: resource.Cores(8), Memory: resource.Gigabytes(8), Slots: 8}})
			defer w.Close()
			server, fence := w.Server(), backend.Fence{Epoch: 1, Owner: "a", Attach: 1}
			if _, err := server.Attach(t.Context(), fence, 60_000); err != nil {
				t.Fatal(err)
			}
			start := func(id ident.AttemptID, d resource.Vector) {
				if err := server.Start(t.Context(), fence, backend.Task{Attempt: id, Job: ident.JobID(id), Demand: d}); err != nil {
					t.Fatal(err)
				}
			}
			throttle := func(percent int) {
				if err := server.Throttle(t.Context(), fence, "first", percent); err != nil {
					t.Fatal(err)
				}
			}
			start("first", demand(8, 4))
			throttle(25)
			start("second", c.second)
			if c.unthrottle {
				throttle(100)
			}
			if got := w.Violations(); len(got) != c.want {
				t.Errorf("got %v, want %d violations", got, c.want)
			}
		})
	}
}
