// Package uptime reads a clock that goes on while the host is suspended.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// Now returns the reading of the clock. The steady clock of the time package stands still while the host is suspended, so that what
// was learned before a suspension would look younger than it is.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}
