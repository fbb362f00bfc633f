package preemption

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// forecastInterval is the resolution of a Forecast.
	forecastInterval = 50 * time.Millisecond
	// forecastLength covers the longest slack for which a forecast matters: a step with more slack waits.
	forecastLength = 64
)

// Forecast is the room that the running work of a service is expected to release, by time. Runs that end later than its length don't
// count.
type Forecast struct {
	released [forecastLength]resource.Vector
}

// Add counts room that is expected to be released after a time.
func (f *Forecast) Add(after time.Duration, room resource.Vector) {
	if i := int((max(after, 0) + forecastInterval - 1) / forecastInterval); i < forecastLength {
		f.released[i] = f.released[i].Add(room)
	}
}

// Released returns the room that is expected to be released within a time.
func (f *Forecast) Released(within time.Duration) resource.Vector {
	var sum resource.Vector
	if within < 0 {
		return sum
	}
	for _, r := range f.released[:min(int(within/forecastInterval)+1, forecastLength)] {
		sum = sum.Add(r)
	}
	return sum
}
