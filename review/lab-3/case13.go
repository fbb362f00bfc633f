//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// machineAddedDuringCut: the region of the only daemon loses the other one, where the store is. A machine is added in the other region, which the
// first daemon doesn't know. The cut ends after 11 s.
func machineAddedDuringCut(c *cell, trouble bool) (bool, error) {
	ends := func(string, int) outcome { return outcome{second(30), "done"} }
	if err := c.addWorkers(6, ends); err != nil { // w1 in the first daemon's region, the others in the other one
		return false, err
	}
	if err := c.configure(); err != nil {
		return false, err
	}
	if err := c.startDaemons(1); err != nil {
		return false, err
	}
	first := c.daemons[0]
	work := newJob(step{Count: 3, CPU: 1000, Estimate: 30_000, Affinity: "r1"}) // its data is on the rack of w1
	if err := c.handIn("urgent", "blue", work); err != nil {
		return false, err
	}
	time.Sleep(second(1))
	if trouble {
		c.record.note("cut: %s and w1 are cut off from the store and the other workers", first.name)
		first.store.setSilent(true)
		c.cutWorkers(true)
		c.lapse(c.workers[0])
	}
	time.Sleep(second(0.5))
	c.record.note("a machine is added in the other region")
	if err := c.startDaemons(1); err != nil {
		return false, err
	}
	time.Sleep(second(8.3))
	broken := false
	for n := range work.Steps[0].Count {
		broken = c.runsTwice(work.task(n)) || broken
	}
	if trouble {
		c.record.note("cut: ended")
		first.store.setSilent(false)
		c.cutWorkers(false)
		if err := c.register(c.workers[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(second(3))
	return broken, nil
}

// runsTwice reports whether a task is at work on two workers.
func (c *cell) runsTwice(task string) bool {
	var runs []string
	for _, w := range c.workers {
		w.mu.Lock()
		if r := w.runs[task]; r != nil {
			runs = append(runs, fmt.Sprintf("run %d on %s", r.number, w.info.ID))
		}
		w.mu.Unlock()
	}
	if len(runs) < 2 {
		return false
	}
	c.record.note("check: TWICE, %s is at work twice, %s", task, strings.Join(runs, " and "))
	return true
}
