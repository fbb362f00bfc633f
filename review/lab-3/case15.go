//go:build review

package main

import "time"

// largeJobsAtOnce: two large urgent jobs come at once, for which no worker has room yet. Then a run of a task that lasts fails.
func largeJobsAtOnce(c *cell, trouble bool) (bool, error) {
	whole := newJob(step{Count: 1, CPU: 5000, Estimate: 1000, LongRunning: true}) // takes all of one worker
	parts := newJob(step{Count: 2, CPU: 1000, Estimate: 14_000, AntiAffinity: 1}) // take a fifth of the other two
	lasting := newJob(step{Count: 1, CPU: 500, Estimate: 1000, LongRunning: true})
	ends := func(task string, run int) outcome {
		switch {
		case task == lasting.task(0) && run == 1:
			return outcome{second(1.5), "failed"}
		case task == lasting.task(0), task == whole.task(0):
			return outcome{time.Hour, "failed"}
		case task == parts.task(0), task == parts.task(1):
			return outcome{second(14), "done"}
		}
		return outcome{second(4), "done"}
	}
	if err := c.prepare(3, ends); err != nil {
		return false, err
	}
	if err := c.handIn("other", "blue", whole); err != nil {
		return false, err
	}
	time.Sleep(second(1))
	if err := c.handIn("urgent", "blue", parts); err != nil {
		return false, err
	}
	time.Sleep(second(0.5))
	if err := c.handIn("other", "blue", lasting); err != nil {
		return false, err
	}
	time.Sleep(second(0.5))
	for range 2 {
		if !trouble {
			break
		}
		if err := c.handIn("urgent", "red", newJob(step{Count: 1, CPU: 4200, Estimate: 4000})); err != nil {
			return false, err
		}
	}
	return c.watchLasting(lasting.task(0), lasting.Steps[0].CPU, second(25)), nil
}
