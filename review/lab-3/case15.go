//go:build review

package main

import "time"

// largeJobsAtOnce: for 4 s a large urgent job comes beside each ordinary one, for which no worker has room yet. Meanwhile a run of a task that
// lasts fails.
func largeJobsAtOnce(c *cell, trouble bool) (bool, error) {
	whole := newJob(step{Count: 1, CPU: 5000, Estimate: 1000, LongRunning: true}) // takes all of one worker
	parts := newJob(step{Count: 2, CPU: 2300, Estimate: 11_000, AntiAffinity: 1}) // take less than half of the other two
	lasting := newJob(step{Count: 1, CPU: 500, Estimate: 1000, LongRunning: true})
	ends := func(task string, run int) outcome {
		switch {
		case task == lasting.task(0) && run == 1:
			return outcome{second(0.5), "failed"}
		case task == lasting.task(0), task == whole.task(0):
			return outcome{time.Hour, "failed"}
		case task == parts.task(0), task == parts.task(1):
			return outcome{second(11), "done"}
		}
		return outcome{second(1.8), "done"}
	}
	if err := c.prepare(3, ends); err != nil {
		return false, err
	}
	if err := c.handIn("lasting", "blue", whole); err != nil {
		return false, err
	}
	time.Sleep(second(1))
	if err := c.handIn("batch", "blue", parts); err != nil {
		return false, err
	}
	time.Sleep(second(0.1))
	if err := c.handIn("lasting", "blue", lasting); err != nil {
		return false, err
	}
	go c.sendUrgent(trouble)
	return c.watchLasting(lasting.task(0), lasting.Steps[0].CPU, second(25)), nil
}

// sendUrgent hands in an ordinary urgent job each half second for 4 s, with a large one beside each if there is trouble.
func (c *cell) sendUrgent(trouble bool) {
	for range 8 {
		jobs := []job{newJob(step{Count: 1, CPU: 100, Estimate: 1800})}
		if trouble {
			jobs = append(jobs, newJob(step{Count: 1, CPU: 2850, Estimate: 1800}))
		}
		for _, j := range jobs {
			if err := c.handIn("urgent", "red", j); err != nil {
				c.record.note("%v", err)
			}
		}
		time.Sleep(second(0.5))
	}
}
