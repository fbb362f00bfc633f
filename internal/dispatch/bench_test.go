package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// BenchmarkQueued reports the heap size of a queued request without its payload and its caller's connection. taskBytes
// is this size, rounded.
func BenchmarkQueued(b *testing.B) {
	const tasks = 20_000
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		d := newTestDispatcher(b)
		before := heap()
		for i := range tasks {
			done := make(chan Completion, 1)
			w := Work{Kind: api.KindRequest, Deadline: time.Now().Add(time.Hour), OnDone: func(f Completion, _ func()) { done <- f }}
			w.Task = backend.Task{
				Job: ident.JobID(ident.Random("req")), Team: ident.TeamID(fmt.Sprintf("team-%05d", i/10)), Queue: "requests",
				Request: ident.RequestID(ident.Random("request")), Demand: resource.Vector{CPU: 1, Slots: 1},
			}
			e := &entry{key: w.key(), work: w, phase: queued, submitted: time.Now()}
			e.attempt = d.newAttempt(e.key)
			if err := d.insert(e); err != nil {
				b.Fatal(err)
			}
			if err := d.queue.Push(d.item(e)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((heap()-before)/tasks, "B/queued")
		runtime.KeepAlive(d)
	}
}
