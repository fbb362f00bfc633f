// Package convert converts floating-point numbers to integers and durations with the same result on every processor. Go leaves the
// conversion of a number that the integer can't hold to the implementation: arm64 gives the nearest integer, x86-64 the smallest.
package convert

import (
	"math"
	"time"
)

// MaxDuration is the longest duration that Duration and Scale return, about 36 years. A few of them can be added without overflow.
const MaxDuration time.Duration = 1 << 60

// FitsInt64 reports whether an int64, and so a duration in nanoseconds, can hold x without its fraction. None holds infinity or NaN.
func FitsInt64(x float64) bool { return x >= -1<<63 && x < 1<<63 }

// Duration converts nanoseconds to a duration from -MaxDuration to MaxDuration. NaN becomes 0.
func Duration(nanoseconds float64) time.Duration {
	switch {
	case nanoseconds >= float64(MaxDuration):
		return MaxDuration
	case nanoseconds <= -float64(MaxDuration):
		return -MaxDuration
	case math.IsNaN(nanoseconds):
		return 0
	}
	return time.Duration(nanoseconds)
}

// Scale multiplies a duration by a factor. The result is bounded as by Duration.
func Scale(d time.Duration, factor float64) time.Duration { return Duration(float64(d) * factor) }
