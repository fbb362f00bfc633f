// Package clock provides a clock for tests whose time changes only when the test advances it.
package clock

import (
	"sync"
	"time"
)

// Clock is a manually advanced clock. It is safe for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now time.Time
}

// New returns a clock that shows the given time.
func New(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
