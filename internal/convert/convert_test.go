package convert

import (
	"math"
	"testing"
	"time"
)

// Guards against a conversion whose result depends on the processor: x86-64 makes the smallest duration of a number that is too large,
// arm64 the largest.
func TestDuration(t *testing.T) {
	zero := 0.0
	for name, c := range map[string]struct {
		nanoseconds float64
		want        time.Duration
		fits        bool
	}{
		"zero":                        {0, 0, true},
		"a fraction":                  {1500.9, 1500, true},
		"negative":                    {-1500.9, -1500, true},
		"zero divisor":                {1 / zero, MaxDuration, false},
		"zero divisor, negative":      {-1 / zero, -MaxDuration, false},
		"zero divided by zero":        {zero / zero, 0, false},
		"infinite":                    {math.Inf(1), MaxDuration, false},
		"negative infinite":           {math.Inf(-1), -MaxDuration, false},
		"NaN":                         {math.NaN(), 0, false},
		"too large":                   {1e300, MaxDuration, false},
		"too large, negative":         {-1e300, -MaxDuration, false},
		"above the longest duration":  {1 << 63, MaxDuration, false},
		"the shortest duration":       {-1 << 63, -MaxDuration, true},
		"below the shortest duration": {math.Nextafter(-1<<63, math.Inf(-1)), -MaxDuration, false},
		"below the longest duration":  {math.Nextafter(1<<63, 0), MaxDuration, true},
		"below the bound":             {math.Nextafter(1<<60, 0), 1<<60 - 128, true},
		"below the bound, negative":   {-math.Nextafter(1<<60, 0), -1<<60 + 128, true},
		"smallest number":             {math.SmallestNonzeroFloat64, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			if d := Duration(c.nanoseconds); d != c.want {
				t.Errorf("got %d, want %d", d, c.want)
			}
			if fits := FitsInt64(c.nanoseconds); fits != c.fits {
				t.Errorf("fits %v, want %v", fits, c.fits)
			}
		})
	}
}

// Guards against a product whose conversion depends on the processor, and against sums of two results that overflow.
func TestScale(t *testing.T) {
	for name, c := range map[string]struct {
		duration time.Duration
		factor   float64
		want     time.Duration
	}{
		"half":                     {time.Second, 0.5, 500 * time.Millisecond},
		"negative factor":          {time.Second, -2, -2 * time.Second},
		"negative duration":        {-time.Second, 2, -2 * time.Second},
		"zero":                     {0, 2, 0},
		"too large":                {time.Hour, 1e300, MaxDuration},
		"too large, negative":      {-time.Hour, 1e300, -MaxDuration},
		"longest duration":         {math.MaxInt64, 1.02, MaxDuration},
		"infinite factor":          {time.Second, math.Inf(1), MaxDuration},
		"infinite negative factor": {time.Second, math.Inf(-1), -MaxDuration},
		"NaN":                      {time.Second, math.NaN(), 0},
		"zero times infinity":      {0, math.Inf(1), 0},
	} {
		t.Run(name, func(t *testing.T) {
			got := Scale(c.duration, c.factor)
			if got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
			if sum := 3*got + time.Hour; got > 0 && sum < got {
				t.Errorf("the sum overflows to %s", sum)
			}
		})
	}
}
