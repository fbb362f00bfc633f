//go:build review

package main

import "time"

// regionCutOff: the region of the leader loses the other one, where the store is, and a worker there crashes and starts again under its id.
// The daemons of the other region reach neither the worker nor the leader's work, and take over. The cut ends after 9 s.
func regionCutOff(c *cell, trouble bool) (bool, error) {
	ends := func(string, int) outcome { return outcome{second(0.2), "done"} }
	if err := c.addWorkers(6, ends); err != nil { // w1 in the leader's region, the others in the other one
		return false, err
	}
	if err := c.configure(); err != nil {
		return false, err
	}
	if err := c.startDaemons(1); err != nil { // leads, as it is the only one
		return false, err
	}
	if err := c.startDaemons(2); err != nil {
		return false, err
	}
	leader, near := c.daemons[0], c.workers[0]
	due := time.Now().Add(second(4))
	timed := newJob(step{Count: 1, CPU: 1000, Estimate: 200, Affinity: "r1"}) // its data is on the rack of w1
	timed.Repetitions, timed.StartAt = 1, due.UnixMilli()
	if err := c.handIn("urgent", "blue", timed); err != nil {
		return false, err
	}
	time.Sleep(time.Until(due.Add(second(-0.6))))
	if trouble {
		c.record.note("cut: %s and w1 are cut off from the store, the other daemons and workers", leader.name)
		leader.store.setSilent(true)
		c.cutWorkers(true)
		c.lapse(near)
		time.Sleep(second(0.2))
		near.restart()
		time.Sleep(second(8.8))
		c.record.note("cut: ended")
		leader.store.setSilent(false)
		c.cutWorkers(false)
		if err := c.register(near); err != nil {
			return false, err
		}
	}
	time.Sleep(second(8))
	return c.startedTwice(timed.task(0)), nil
}

// cutWorkers lets only the first leader, whose fencing token is 1, reach the first worker, and only later ones the others, or ends that.
func (c *cell) cutWorkers(cut bool) {
	for i, w := range c.workers {
		switch {
		case !cut:
			w.setCutOff(nil)
		case i == 0:
			w.setCutOff(func(fence uint64) bool { return fence > 1 })
		default:
			w.setCutOff(func(fence uint64) bool { return fence == 1 })
		}
	}
}

// startedTwice reports whether a task was started after a run of it had ended done, if that end was taken note of.
func (c *cell) startedTwice(task string) bool {
	broken := false
	for _, e := range c.history.endsOf(task) {
		for _, at := range c.history.startsOf(task) {
			if e.how == "done" && !e.notedAt.IsZero() && !e.lapsed && at.After(e.at) {
				broken = true
				c.record.note("check: TWICE, %s started %.1f s after run %d had ended done on %s, and that end was taken note of",
					task, at.Sub(e.at).Seconds(), e.run, e.worker.info.ID)
			}
		}
	}
	return broken
}
