package admission

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/convert"
)

const (
	// rateWindow is the time over which starts are counted: long enough for several tasks of most batches to end in each place.
	rateWindow = 10 * time.Second
	// maxObservationGap is the time without an observation after which the window begins anew, as work may have run out meanwhile.
	maxObservationGap = time.Second
	// minStarts is the number of starts below which a rate is a guess: with 16 its standard error is a quarter, half of the margin.
	minStarts = 16
)

// Work is expected processor time in core-seconds.
type Work float64

// Flow measures the rate at which waiting work starts. Its zero value has seen nothing.
type Flow struct {
	waitingSince time.Time // since when work has waited at each observation; zero if none does
	observedAt   time.Time
	started      []startedWork // within the window, the oldest first
	current      startedWork   // since the last observation
}

type startedWork struct {
	at    time.Time
	work  Work
	tasks int
}

// Start counts the start of a task.
func (f *Flow) Start(w Work) {
	f.current.work += w
	f.current.tasks++
}

// Observe notes whether work waits. It has to be called at least every maxObservationGap.
func (f *Flow) Observe(now time.Time, waiting bool) {
	if !waiting || now.Sub(f.observedAt) > maxObservationGap {
		f.waitingSince, f.started = time.Time{}, f.started[:0]
	} else {
		f.current.at = now
		f.started = append(f.started, f.current)
	}
	if waiting && f.waitingSince.IsZero() {
		f.waitingSince = now
	}
	f.current, f.observedAt = startedWork{}, now
	f.started = slices.DeleteFunc(f.started, func(w startedWork) bool { return now.Sub(w.at) >= rateWindow })
}

// Wait predicts how long an amount of work needs to start, as of the last observation. It reports false while there is no rate: work has to
// have waited throughout the window, as otherwise the rate is that of its arrival, and enough of it has to have started.
func (f *Flow) Wait(ahead Work) (time.Duration, bool) {
	if f.waitingSince.IsZero() || f.observedAt.Sub(f.waitingSince) < rateWindow {
		return 0, false
	}
	total, tasks := Work(0), 0
	for _, w := range f.started {
		total, tasks = total+w.work, tasks+w.tasks
	}
	if tasks < minStarts || total <= 0 {
		return 0, false
	}
	return convert.Scale(rateWindow, float64(ahead/total)), true
}
