// Package clock is a stand-in of the time that moves only when a test moves it.
package clock

import (
	"sync"
	"time"
)

// Clock is safe for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now time.Time
}

// New returns a clock that stands at a time.
func New(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the time of the clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock on.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
