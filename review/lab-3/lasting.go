//go:build review

package main

import (
	"maps"
	"strings"
	"time"
)

// The rule LOST for a task that lasts: from 6 s after its last run on, nothing of it runs for 3 s although there is capacity for it twice over.
const (
	afterLastRun = 6 * time.Second
	nothingRuns  = 3 * time.Second
)

// watchLasting looks at the workers for a time and reports whether the rule was broken for a task, which has run before.
func (c *cell) watchLasting(task string, cpu int, length time.Duration) bool {
	lastRun, idleSince, broken := time.Now(), time.Time{}, false
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		now := time.Now()
		running, places := c.look(task, cpu)
		switch {
		case running:
			if out := now.Sub(lastRun); out > time.Second {
				c.record.note("check: %s runs again after %.1f s", task, out.Seconds())
			}
			lastRun, idleSince = now, time.Time{}
		case now.Sub(lastRun) < afterLastRun || places < 2:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		case now.Sub(idleSince) >= nothingRuns && !broken:
			broken = true
			c.record.note("check: LOST, %s has had no run for %.1f s, with room for %d such tasks for 3 s", task, now.Sub(lastRun).Seconds(), places)
		}
	}
	return broken
}

// look reports whether a task runs, and for how many more like it the workers have room.
func (c *cell) look(task string, cpu int) (running bool, places int) {
	c.mu.Lock()
	demands := maps.Clone(c.cpu)
	c.mu.Unlock()
	for _, w := range c.workers {
		w.mu.Lock()
		free := workerCPU
		for name := range w.runs {
			id, _, _ := strings.Cut(name, ".")
			free -= demands[id]
			running = running || name == task
		}
		w.mu.Unlock()
		places += max(free, 0) / cpu
	}
	return running, places
}
