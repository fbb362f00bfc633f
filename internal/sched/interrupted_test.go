package sched

import (
	"testing"
	"time"
)

// Guards against servers that get no starts, and a leader that limits its starts, since the daemon was lost that made the calls to them
// (issue 43). The calls are made again as calls that may have been carried out.
func TestInterruptedCallsAreNotTheServers(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 64)
	f.addJob("a", Step{Count: 40, Demand: cores(1), Estimate: time.Second})
	f.want("starts", len(f.starts), 40)
	sent := f.starts
	f.starts = nil
	f.advanceTime(700 * time.Millisecond)
	for _, start := range sent {
		f.s.StartInterrupted(f.now, "s1", start.Task, start.Run)
	}
	f.collectCommands()
	f.want("repeated starts", len(f.starts), len(sent))
	for i, start := range f.starts {
		f.want("run of a repeated start", start.Run, sent[i].Run)
	}
	f.advanceTime(100 * time.Millisecond)
	v := f.s.servers["s1"]
	delay, window := f.s.CommonDelay()
	f.want("failed calls", v.failures, 0)
	f.want("usable", v.usable(f.now), true)
	f.want("common delay", delay, time.Duration(0))
	f.want("start window", window, maxStartWindow)
	f.want("incarnation in doubt", v.incarnationInDoubt, true)

	for _, start := range f.starts {
		f.s.Started(f.now, f.now, "s1", start.Task, start.Run, time.Hour+f.now.Sub(epochStart))
	}
	f.collectCommands()
	poll, ok := f.polls["s1"]
	f.want("polled", ok, true)
	delete(f.polls, "s1")
	f.s.PollInterrupted(f.now, "s1", poll.Serial)
	f.collectCommands()
	again, ok := f.polls["s1"]
	f.want("polled again", ok, true)
	f.want("wait of the repeated poll", again.Wait, time.Duration(0))
	f.want("failed calls", v.failures, 0)
	f.s.PollInterrupted(f.now, "s1", poll.Serial)
	f.collectCommands()
	f.want("latest poll after a second report", v.pollSerial, again.Serial)
}

// Guards against a task that runs twice: a start that was interrupted may still be carried out, so its run is stopped before the task starts
// elsewhere, however often it was interrupted.
func TestInterruptedStartMayStillBeCarriedOut(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 4)
	f.addServer("s2", 4)
	f.addJob("a", Step{Count: 1, Demand: cores(1), Estimate: time.Second})
	first := f.starts[0]
	for range maxStartAttempts {
		f.s.StartInterrupted(f.now, first.Server.ID, first.Task, first.Run)
		f.collectCommands()
	}
	f.want("starts", len(f.starts), maxStartAttempts)
	for _, start := range f.starts {
		f.want("server", start.Server.ID, first.Server.ID)
		f.want("run", start.Run, first.Run)
	}
	f.want("stops", len(f.stops), 1)
}
