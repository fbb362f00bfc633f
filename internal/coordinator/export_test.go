package coordinator

import "time"

// SetClock replaces the clock of a coordinator that doesn't run yet.
func (c *Coordinator) SetClock(now func() time.Time) {
	c.now, c.view.now, c.presence.now = now, now, now
}
