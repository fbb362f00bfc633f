//go:build review

package main

import "time"

const (
	jobsInBurst = 50
	jobsFailing = 3  // of them, a share of 0.06
	tasksOfOne  = 36 // of a failing job
)

// jobsThatFail: of the jobs of an urgent queue a share of 0.06 can never be done, for 3.3 s. Meanwhile a run of a task that lasts fails.
func jobsThatFail(c *cell, trouble bool) (bool, error) {
	lasting := newJob(step{Count: 1, CPU: 500, Estimate: 1000, LongRunning: true})
	failing := map[string]bool{}
	ends := func(task string, run int) outcome {
		switch {
		case task == lasting.task(0) && run == 1:
			return outcome{second(18.5), "failed"} // when the workers have just been suspected for the third time
		case task == lasting.task(0):
			return outcome{time.Hour, "failed"}
		case c.isOf(task, failing):
			return outcome{second(0.4), "failed"}
		}
		return outcome{second(0.2), "done"}
	}
	if err := c.prepare(3, ends); err != nil {
		return false, err
	}
	if err := c.handIn("lasting", "blue", lasting); err != nil {
		return false, err
	}
	time.Sleep(second(2))
	for n := range jobsInBurst {
		j := newJob(step{Count: 1, CPU: 1000, Estimate: 400})
		if trouble && n >= jobsInBurst-jobsFailing {
			j.Steps[0].Count = tasksOfOne
			c.mu.Lock()
			failing[j.ID] = true
			c.mu.Unlock()
		}
		if err := c.handIn("urgent", "red", j); err != nil {
			return false, err
		}
		time.Sleep(second(0.065))
	}
	return c.watchLasting(lasting.task(0), lasting.Steps[0].CPU, second(35)), nil
}
