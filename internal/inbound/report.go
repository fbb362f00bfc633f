package inbound

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// reason is why a connection was closed or a request refused.
type reason int

const (
	closedForConnection reason = iota
	closedForMemory
	refusedConnection
	refusedHeader
	refusedBody
	refusedDecode
	reasonCount
)

// String returns the label of the metric, which is also the name in the log line.
func (r reason) String() string {
	return [...]string{
		"closed-for-connection", "closed-for-memory", "refused-connection", "refused-header", "refused-body", "refused-decode",
	}[r]
}

// logInterval is the shortest time between two log lines.
const logInterval = time.Second

// reports counts what was closed and refused, and writes at most one log line per logInterval.
type reports struct {
	log      logr.Logger
	counters [reasonCount]*metrics.Counter

	mu       sync.Mutex
	unlogged [reasonCount]int
	waiting  bool // for the end of the interval, at which the line is written
}

func newReports(log logr.Logger, set *metrics.Set) *reports {
	r := &reports{log: log}
	for i := range reasonCount {
		r.counters[i] = set.NewCounter(fmt.Sprintf("rosemaryspoke_inbound_total{outcome=%q}", i))
	}
	return r
}

func (r *reports) add(why reason) {
	r.counters[why].Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged[why]++
	if !r.waiting {
		r.waiting = true
		time.AfterFunc(logInterval, r.write)
	}
}

func (r *reports) write() {
	r.mu.Lock()
	counts := r.unlogged
	r.unlogged, r.waiting = [reasonCount]int{}, false
	r.mu.Unlock()
	values := make([]any, 0, 2*reasonCount)
	for i, n := range counts {
		if n > 0 {
			values = append(values, reason(i).String(), n)
		}
	}
	r.log.Info("inbound connections bounded", values...)
}
