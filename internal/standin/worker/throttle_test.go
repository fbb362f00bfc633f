package worker

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a capacity check that reports a start which fits into the CPU freed by a throttled task, and against one
// that misses a start into the task's memory, a start above the freed CPU, or an end of the throttling that exceeds the
// capacity.
func TestThrottledCapacity(t *testing.T) {
	demand := func(cores, gigabytes int64) resource.Vector {
		return resource.Vector{CPU: resource.Cores(cores), Memory: resource.Gigabytes(gigabytes), Slots: 1}
	}
	for name, c := range map[string]struct {
		second     resource.Vector
		unthrottle bool
		want       int
	}{
		"start into the freed CPU":                         {demand(6, 4), false, 0},
		"start above the freed CPU":                        {demand(7, 4), false, 1},
		"start into memory, which a throttle doesn't free": {demand(6, 5), false, 1},
		"unthrottle above the capacity":                    {demand(6, 4), true, 1},
		"unthrottle within the capacity":                   {demand(0, 4), true, 0},
		"unthrottle after an overcommit":                   {demand(7, 4), true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(Config{Host: "host", Capacity: resource.Vector{CPU: resource.Cores(8), Memory: resource.Gigabytes(8), Slots: 8}})
			defer w.Close()
			server, fence := w.Server(), backend.Fence{Epoch: 1, Owner: "a", AttachNumber: 1}
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
