package sched

import (
	"fmt"
	"testing"
	"time"
)

// Guards against long-running tasks that are restarted on a server that was lost together with theirs: an idle server isn't polled,
// so its loss doesn't show until its registration lapses, and a start that it doesn't answer holds the task until its lease ends.
func TestLongRunningTaskAvoidsSilentIdleServer(t *testing.T) {
	for name, step := range map[string]Step{
		"task": {Count: 1, Demand: cores(1), LongRunning: true},
		"gang": {Count: 2, Demand: cores(1), LongRunning: true, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			f.advanceTime(5 * time.Second)
			f.addJob("a", step)
			f.want("starts on servers that were last heard from 5 s ago", len(f.starts), 0)
			silent, ok := f.polls["s1"]
			if !ok {
				t.Fatal("the server isn't polled before the start")
			}
			f.advanceTime(600 * time.Millisecond)
			f.s.PollFailed(f.now, "s1", silent.Serial)
			f.collectCommands()
			f.answerPoll("s2", Inventory{})
			f.advanceTime(100 * time.Millisecond)
			f.want("starts", len(f.starts), step.Count)
			for _, cmd := range f.starts {
				f.want("server", cmd.Server.ID, "s2")
			}
		})
	}
}

// Guards against a long-running task that is away for 4 s longer than the lease of its run: the scheduler waited for a late report of
// the run's end, as its server had answered slowly before it fell silent.
func TestLongRunningTaskDoesNotWaitForLateReports(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.addJob("finite", Step{Count: 1, Demand: cores(1), Estimate: time.Minute})
	f.addJob("lasting", Step{Count: 1, Demand: cores(1), LongRunning: true})
	f.want("starts", len(f.takeStarts()), 2)
	f.answerPoll("s1", Inventory{Delay: 2 * maxStartReplyDelay, Running: f.running("s1", TaskID{}, 0)})
	f.addServer("s2", 16)
	lastReply := f.now
	leaseEnds := f.s.servers["s1"].leaseBound
	for f.now.Before(leaseEnds.Add(300 * time.Millisecond)) {
		if poll, ok := f.polls["s1"]; ok && f.now.Sub(lastReply) > time.Second {
			delete(f.polls, "s1")
			f.s.PollFailed(f.now, "s1", poll.Serial)
		}
		f.advanceTime(100 * time.Millisecond)
		if _, ok := f.polls["s2"]; ok {
			f.answerPoll("s2", Inventory{Running: f.running("s2", TaskID{}, 0)})
		}
		leaseEnds = f.s.servers["s1"].leaseBound
		if len(f.starts) > 0 && !f.now.After(leaseEnds) {
			t.Fatalf("started again %s before the lease of its run has ended", leaseEnds.Sub(f.now))
		}
	}
	starts := f.takeStarts()
	f.want("starts after the lease has ended", len(starts), 1)
	if len(starts) > 0 {
		f.want("restarted job", starts[0].Task.Job, "lasting")
	}
}

// Guards against a poll of each idle server of a service at once when a single one is silent: on a large service that delays all other
// work of the leader.
func TestSilentServerLeadsToFewPolls(t *testing.T) {
	f := newFixture(t, nil)
	for n := range 10 * maxPolledAtOnce {
		f.addServer(ServerID(fmt.Sprintf("s%04d", n)), 16)
	}
	f.advanceTime(5 * time.Second)
	clear(f.polls)
	f.addJob("a", Step{Count: 1, Demand: cores(1), LongRunning: true})
	f.want("polls at first", len(f.polls), 1)
	for range 4 {
		f.advanceTime(100 * time.Millisecond)
	}
	if n := len(f.polls); n <= 1 || n > 1+2*maxPolledAtOnce {
		t.Errorf("%d polls within 0.4 s", n)
	}
}
