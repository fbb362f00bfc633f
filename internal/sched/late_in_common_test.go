package sched

import (
	"testing"
	"time"
)

// Guards against a task that starts again after its end while the replies of all servers are 2.2 s late: polls fail after 2 s, the next
// ones don't renew the lease, and the server counts as prompt, as the common delay is subtracted from its own. So the run is given up
// although a poll that was sent within the lease may still be answered, with the end.
func TestEndReportedLateInCommonStartsNothing(t *testing.T) {
	const common = 2200 * time.Millisecond
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.addJob("j", Step{Count: 1, Demand: cores(1), Estimate: time.Minute})
	run := f.takeStarts()[0]
	f.lateReplies(common, 300*time.Millisecond)
	f.collectCommands()
	f.answerPoll("s1", Inventory{Delay: common, Running: f.running("s1", TaskID{}, 0)})
	f.addServer("s2", 16)
	late := func(d time.Duration) {
		for end := f.now.Add(d); f.now.Before(end); {
			f.lateReplies(common, 100*time.Millisecond)
			f.collectCommands()
		}
	}
	// fail reports a poll as failed at its timeout, after which its reply is still used.
	fail := func(poll PollCommand) {
		f.s.PollFailed(f.now, "s1", poll.Serial)
		f.collectCommands()
	}
	reply := func(poll PollCommand, inv Inventory) {
		inv.Incarnation, inv.Clock, inv.Delay = 1, f.now.Add(-common).Sub(epochStart)+time.Hour, common
		f.s.Polled(f.now, "s1", poll.Serial, inv)
		f.collectCommands()
	}
	first := f.polls["s1"]
	f.want("the poll renews the lease", first.Deadline > 0, true)
	late(first.Timeout)
	fail(first)
	second := f.polls["s1"] // reaches the server within the lease and lists the end
	late(common - (first.Timeout - first.Wait))
	reply(first, Inventory{Running: f.running("s1", TaskID{}, 0)})
	late(second.Timeout - (common - (first.Timeout - first.Wait)))
	fail(second)
	late(common - second.Timeout)
	f.want("starts before the reply", len(f.starts), 0)
	reply(second, Inventory{Finished: []FinishedRun{{Number: 1, Task: run.Task, Run: run.Run, Outcome: OutcomeDone}}})
	f.want("starts", len(f.starts), 0)
	f.want("task done", f.s.jobs["j"].state, StateCompleted)
}
