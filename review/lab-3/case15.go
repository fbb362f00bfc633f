package main

import (
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// lostAnswerOfPresence: the answer to one write of a daemon is lost and the write is done 1.1 s later. Then the other machines are removed.
func lostAnswerOfPresence(c *cell, trouble bool) (bool, error) {
	lasting := newJob(step{Count: 1, CPU: 500, Estimate: 1000, LongRunning: true})
	ends := func(string, int) outcome { return outcome{time.Hour, "failed"} }
	lost := false
	late := func(t platform.Transaction) time.Duration {
		if !trouble || lost || len(t.Writes) != 1 || !strings.HasSuffix(t.Writes[0].Key, "/edge-3") {
			return 0
		}
		lost = true
		c.record.note("store: the answer to a write of %s is lost; the write is done 1.1 s later", t.Writes[0].Key)
		return second(1.1)
	}
	if err := c.prepare(3, ends, late); err != nil {
		return false, err
	}
	if err := c.handIn("other", "blue", lasting); err != nil {
		return false, err
	}
	time.Sleep(second(2))
	for _, d := range c.daemons[:2] {
		d.remove()
	}
	c.daemons = c.daemons[2:]
	return c.watchLasting(lasting.task(0), lasting.Steps[0].CPU, second(40)), nil
}
