package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// gangStep returns a gang of n members of 2 cores, which take 10 s.
func gangStep(n int) Step {
	return Step{Count: n, Demand: cores(2), Estimate: 10 * time.Second, Checkpointing: true, Gang: true, MaxPerServer: 1}
}

// Guards against a part of a gang that is stopped, members elsewhere whose loss isn't counted, and members that start before the last one
// has ended or without the checkpoint.
func TestGangGivesWayWhole(t *testing.T) {
	for name, c := range map[string]struct {
		members int
		servers []ServerID
		stops   int
	}{
		"one server":                       {members: 1, servers: []ServerID{"s1"}, stops: 1},
		"two servers":                      {members: 2, servers: []ServerID{"s1", "s2"}, stops: 2},
		"the loss of all members is great": {members: 3, servers: []ServerID{"s1", "s2", "s3"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPreemptionFixture(t, nil)
			for _, id := range c.servers {
				f.addServer(id, 16)
			}
			f.want("members", len(f.add("gang", f.batch, gangStep(c.members))), c.members)
			full := Step{Count: len(c.servers), Demand: cores(14), MaxPerServer: 1, LongRunning: true}
			f.want("long-running tasks", len(f.add("service", f.batch, full)), len(c.servers))
			f.advanceTime(time.Second)
			f.add("u", f.urgent, Step{Count: 1, Demand: cores(2), Estimate: 700 * time.Millisecond})
			f.want("stops", len(f.stops), c.stops)
			if len(f.stops) == 0 {
				return
			}
			stops := f.stops
			for _, cmd := range stops {
				f.want("stopped", cmd.Task.Job, "gang")
				f.want("starts before all members have ended", len(gangStarts(f.takeStarts())), 0)
				f.endStopped(cmd)
			}
			f.recordProgress()
			f.advanceTime(100 * time.Millisecond)
			f.want("not listed", f.s.PreemptedRuns(), 0)
			f.addServer("spare", 16)
			f.advanceTime(100 * time.Millisecond)
			again := gangStarts(f.takeStarts())
			f.want("members started again", len(again), c.members)
			for _, cmd := range again {
				f.want("checkpoint", cmd.Checkpoint, "saved")
				f.want("run number is higher", cmd.Run > stops[0].Run, true)
			}
		})
	}
}

// gangStarts returns the starts of the job "gang".
func gangStarts(starts []StartCommand) []StartCommand {
	var out []StartCommand
	for _, cmd := range starts {
		if cmd.Task.Job == "gang" {
			out = append(out, cmd)
		}
	}
	return out
}

// Guards against a gang that is stopped while a member hasn't started for certain, which a stop could overtake.
func TestIncompleteGangDoesNotGiveWay(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.addServer("s1", 16)
	f.addServer("s2", 16)
	f.s.AddJob(f.now, &Job{ID: "gang", Team: "blue", Queue: f.batch, Steps: []Step{gangStep(2)}, Accepted: f.now}, Progress{}, false)
	f.collectCommands()
	f.want("starts", len(f.starts), 2)
	cmd := f.starts[0]
	f.s.Started(f.now, f.now, cmd.Server.ID, cmd.Task, cmd.Run, f.now.Sub(epochStart)+time.Hour)
	f.starts = nil
	f.add("service", f.batch, Step{Count: 2, Demand: cores(14), MaxPerServer: 1, LongRunning: true})
	f.add("u", f.urgent, Step{Count: 1, Demand: cores(2), Estimate: 600 * time.Millisecond})
	f.want("stops", len(f.stops), 0)
}

// Guards against a takeover that loses the work of a preempted task, runs it twice or leaves the room unused: the hold is lost with the
// leader, and all tasks start by rank.
func TestTakeoverBetweenStopAndStart(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.add("u", f.urgent, urgentStep(1))
	stop := f.stops[0]
	former := f.s
	specs := []*Job{former.jobs["batch"].spec, former.jobs["u"].spec}
	running := f.running("s1", TaskID{}, 0)

	// The former leader dies before the end is listed. The next one reads it from the server.
	f.now = f.now.Add(time.Second)
	f.s = New(Options{
		RunBase: 1000, RunLease: 4 * time.Second, MaxFormerLease: 4 * time.Second, PollWait: time.Second, MaxStopTime: 200 * time.Millisecond,
		Retention: time.Minute, Preemption: former.options.Preemption,
	}, f.now)
	f.configure()
	for _, spec := range specs {
		f.s.AddJob(f.now, spec, Progress{}, true)
	}
	f.polls, f.stops, f.starts = map[ServerID]PollCommand{}, nil, nil
	f.s.Register(f.now, testServer("s1", 16))
	f.collectCommands()
	f.want("starts before the inventory is known", len(f.starts), 0)
	var left []ActiveRun
	for _, r := range running {
		if r.Task != stop.Task {
			left = append(left, r)
		}
	}
	f.answerPoll("s1", Inventory{Running: left, Finished: []FinishedRun{
		{Number: 1, Task: stop.Task, Run: stop.Run, Outcome: OutcomeStopped, Checkpoint: "saved"},
	}})
	starts := f.takeStarts()
	f.want("starts", len(starts), 1)
	f.want("by rank", starts[0].Task.Job, "u")
	f.recordProgress()
	f.endNumbers["s1"] = 1
	f.advanceTime(500 * time.Millisecond)
	f.endRun(starts[0], OutcomeDone)
	starts = f.takeStarts()
	f.want("starts of the preempted task", len(starts), 1)
	f.want("task", starts[0].Task, stop.Task)
	f.want("checkpoint", starts[0].Checkpoint, "saved")
	f.want("run number", starts[0].Run > 1000, true)
}

// Guards against runs that are stopped on a server where the urgent step may not start, and against freed room that stays unused because
// the ticket for it has expired: a new one is asked for while the stop is under way.
func TestTicketsOfFreedRoom(t *testing.T) {
	for name, c := range map[string]struct {
		valid   time.Duration
		allowed []ServerID
		stops   []ServerID
	}{
		"only allowed servers":          {valid: 2 * time.Second, allowed: []ServerID{"s2"}, stops: []ServerID{"s2"}},
		"none allowed":                  {valid: 2 * time.Second},
		"it expires before the room is": {valid: 300 * time.Millisecond, allowed: []ServerID{"s2"}, stops: []ServerID{"s2"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPreemptionFixture(t, nil)
			f.fill("s1", "s2", "s3")
			q := f.urgent
			q.ID, q.Advisor = "advised", &Advisor{BaseTime: 10 * time.Millisecond, TimePerServer: time.Millisecond / 4, TicketValidity: c.valid}
			f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"batch": f.batch, "advised": q}, Teams: map[ident.TeamID]Team{"blue": {ID: "blue"}}})
			f.add("u", q, urgentStep(1))
			answer := func() {
				calls := f.adviceRequests
				f.adviceRequests = nil
				for _, call := range calls {
					granted := map[ServerID]Ticket{}
					for _, id := range call.Servers {
						for _, a := range c.allowed {
							if a == id {
								granted[id] = "t"
							}
						}
					}
					f.s.AdviceReceived(f.now, call, granted, f.now)
					f.collectCommands()
				}
			}
			answer()
			var stopped []ServerID
			for _, cmd := range f.stops {
				stopped = append(stopped, cmd.Server.ID)
			}
			f.want("stops", stopped, c.stops)
			if len(stopped) == 0 {
				return
			}
			for range 5 {
				f.advanceTime(50 * time.Millisecond)
				answer()
			}
			f.endStopped(f.stops[0])
			starts := f.takeStarts()
			f.want("starts", len(starts), 1)
			f.want("ticket", []any{starts[0].Server.ID, starts[0].Ticket}, []any{"s2", "t"})
		})
	}
}

// Guards against a pass that allocates or reads servers for preemption although nothing urgent waits.
func TestPreemptionCostsNothingWithoutNeed(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1", "s2")
	f.add("waiting", f.batch, batchStep(4))
	f.s.Schedule(f.now)
	p := pass{Scheduler: f.s}
	ranked := f.s.rankedGroups()
	read := f.s.counts.ServersRead
	allocs := testing.AllocsPerRun(100, func() {
		f.s.beginPreemption()
		for i := range ranked {
			p.preempt(&ranked[i])
		}
		f.s.endPreemption()
	})
	f.want("allocations", allocs, 0)
	f.want("servers read", f.s.counts.ServersRead-read, 0)
}
