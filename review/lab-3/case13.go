package main

import "time"

// largeJobsAtOnce: two large urgent jobs come at once, for which no worker has room yet. Then a run of a task that lasts fails.
func largeJobsAtOnce(c *cell, trouble bool) (bool, error) {
	whole := newJob(step{Count: 1, CPU: 5000, Estimate: 30_000})                  // takes all of one worker
	parts := newJob(step{Count: 2, CPU: 1000, Estimate: 22_000, AntiAffinity: 1}) // take a fifth of the other two
	lasting := newJob(step{Count: 1, CPU: 500, Estimate: 1000, LongRunning: true})
	ends := func(task string, run int) outcome {
		switch {
		case task == whole.task(0):
			return outcome{second(30), "done"}
		case task == parts.task(0), task == parts.task(1):
			return outcome{second(22), "done"}
		case task == lasting.task(0) && run == 1:
			return outcome{second(4), "failed"}
		case task == lasting.task(0):
			return outcome{time.Hour, "failed"}
		}
		return outcome{second(4), "done"}
	}
	if err := c.prepare(3, ends, nil); err != nil {
		return false, err
	}
	for _, j := range []job{whole, parts} {
		if err := c.handIn("urgent", "blue", j); err != nil {
			return false, err
		}
		time.Sleep(second(0.5))
	}
	if err := c.handIn("other", "blue", lasting); err != nil {
		return false, err
	}
	time.Sleep(second(1))
	for range 2 {
		if !trouble {
			break
		}
		if err := c.handIn("urgent", "red", newJob(step{Count: 1, CPU: 4200, Estimate: 4000})); err != nil {
			return false, err
		}
	}
	return c.watchLasting(lasting.task(0), lasting.Steps[0].CPU, second(35)), nil
}
