package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
)

// counters holds the dispatcher's metrics.
type counters struct {
	set         *metrics.Set
	starts      *metrics.Counter
	preemptions *metrics.Counter
	dropped     *metrics.Counter
	damaged     *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		set:         set,
		starts:      set.NewCounter("rosemaryspoke_starts_total"),
		preemptions: set.NewCounter("rosemaryspoke_preemptions_total"),
		dropped:     set.NewCounter("rosemaryspoke_results_dropped_total"),
		damaged:     set.NewCounter("rosemaryspoke_results_damaged_total"),
	}
}

func (c counters) outcome(kind api.Kind, outcome api.Outcome) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`rosemaryspoke_outcomes_total{kind=%q,outcome=%q}`, kind, outcome)).Inc()
}

func (c counters) wait(w Work, waited time.Duration) {
	name := fmt.Sprintf(`rosemaryspoke_start_wait_seconds{kind=%q,urgent="%t"}`, w.Kind, w.Urgent)
	c.set.GetOrCreateHistogram(name).Update(waited.Seconds())
}
