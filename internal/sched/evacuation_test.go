package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// addServerIn adds a server of a data centre.
func (f *fixture) addServerIn(dc ident.DataCentre, id ServerID, n int64) {
	v := testServer(id, n)
	v.DataCentre = dc
	f.s.Register(f.now, v)
	f.collectCommands()
	f.answerPoll(id, Inventory{})
}

// evacuate replaces the set of evacuated data centres.
func (f *fixture) evacuate(ids ...ident.DataCentre) {
	set := map[ident.DataCentre]bool{}
	for _, id := range ids {
		set[id] = true
	}
	f.s.SetEvacuated(f.now, set)
	f.collectCommands()
}

// pollAll answers the pending polls of all servers with the runs that the scheduler has there.
func (f *fixture) pollAll(percent int) {
	for id := range f.polls {
		rows := f.running(id, TaskID{}, 0)
		for i := range rows {
			rows[i].Percent = percent
		}
		f.answerPoll(id, Inventory{Running: rows})
	}
}

// startsIn returns how many of the starts are for servers of a data centre.
func startsIn(starts []StartCommand, dc ident.DataCentre) int {
	n := 0
	for i := range starts {
		n += boolToInt(starts[i].Server.DataCentre == dc)
	}
	return n
}

// Guards against work that is sent to an evacuated data centre, and against work that has no other place and stays behind after the end
// of the evacuation.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	for name, step := range map[string]Step{
		"tasks":        {Count: 4, Demand: cores(8)},
		"long-running": {Count: 4, Demand: cores(8), LongRunning: true},
		"gang":         {Count: 4, Demand: cores(8), Gang: true},
		"large tasks":  {Count: 2, Demand: cores(16)},
		"speculative":  {Count: 4, Demand: cores(8), Speculative: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServerIn("d1", "s1", 16)
			f.addServerIn("d2", "s2", 16)
			f.evacuate("d1")
			f.addJob("j", step)
			starts := f.takeStarts()
			for range 20 {
				f.advanceTime(100 * time.Millisecond)
				f.pollAll(10)
				starts = append(starts, f.takeStarts()...)
			}
			f.want("starts in d1", startsIn(starts, "d1"), 0)
			if !step.Gang { // which has no room in d2 alone
				f.want("starts in d2", startsIn(starts, "d2"), step.Count/2)
			}
			f.evacuate()
			starts = f.takeStarts()
			for range 3 {
				f.advanceTime(100 * time.Millisecond) // a long-running task waits for the answer of an idle server
				f.pollAll(10)
				starts = append(starts, f.takeStarts()...)
			}
			f.want("starts after the end", startsIn(starts, "d1") > 0, true)
		})
	}
}

// Guards against a repeated start in an evacuated data centre, and against a task that is started elsewhere while its unanswered start
// may still take effect.
func TestStartIsNotRepeatedInAnEvacuatedDataCentre(t *testing.T) {
	for name, c := range map[string]struct {
		fail  func(*fixture, StartCommand)
		stops int
	}{
		"unanswered":  {func(f *fixture, c StartCommand) { f.s.StartUnanswered(f.now, "s1", c.Task, c.Run, true) }, 1},
		"interrupted": {func(f *fixture, c StartCommand) { f.s.StartInterrupted(f.now, "s1", c.Task, c.Run) }, 1},
		"not sent":    {func(f *fixture, c StartCommand) { f.s.StartUnanswered(f.now, "s1", c.Task, c.Run, false) }, 0},
		"refused as late": {func(f *fixture, c StartCommand) {
			f.s.StartRefused(f.now, f.now, "s1", c.Task, c.Run, RefusedLeaseExpired, f.now.Sub(epochStart)+time.Hour)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServerIn("d1", "s1", 16)
			f.addJob("j", Step{Count: 1, Demand: cores(1)})
			first := f.starts[0]
			f.starts = nil
			f.evacuate("d1")
			c.fail(f, first)
			f.collectCommands()
			f.want("repeated starts", len(f.starts), 0)
			f.want("stops", len(f.stops), c.stops)
			f.want("failed calls of the server", f.s.servers["s1"].failures, boolToInt(name == "unanswered"))
			f.addServerIn("d2", "s2", 16)
			f.advanceTime(100 * time.Millisecond)
			f.want("starts elsewhere", len(f.starts), 1-c.stops)
		})
	}
}

// Guards against a copy of a speculative task in an evacuated data centre, where its only free server is.
func TestNoCopyInAnEvacuatedDataCentre(t *testing.T) {
	for name, evacuated := range map[string]bool{"evacuated": true, "in use": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServerIn("d2", "s2", 16)
			f.addJob("j", Step{Count: 1, Demand: cores(1), Speculative: true, Estimate: time.Second})
			f.takeStarts()
			f.addServerIn("d1", "s1", 16)
			if evacuated {
				f.evacuate("d1")
			}
			copies := 0
			for range 40 {
				f.advanceTime(100 * time.Millisecond)
				f.pollAll(10)
				copies += len(f.takeStarts())
			}
			f.want("copies", copies, boolToInt(!evacuated))
		})
	}
}

// Guards against a step that waits for the end of the evacuation as its tickets, or the advisor calls for it, name only servers there.
func TestAdviceDuringAnEvacuation(t *testing.T) {
	f := newFixture(t, nil)
	queue := queueWithAdvisor()
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": queue}})
	f.addServerIn("d1", "s1", 16)
	f.s.AddJob(f.now, &Job{ID: "j", Queue: queue, Steps: []Step{{Count: 2, Demand: cores(16)}}, Accepted: f.now}, Progress{}, false)
	f.collectCommands()
	f.want("calls", len(f.adviceRequests), 1)
	f.evacuate("d1")
	f.grantAll("-ticket")
	f.collectCommands()
	f.want("starts with tickets for d1", len(f.starts), 0)
	f.addServerIn("d2", "s2", 16)
	for range 5 {
		f.advanceTime(100 * time.Millisecond)
		for _, r := range f.adviceRequests {
			f.want("servers of a call", r.Servers, []ServerID{"s2"})
		}
		f.grantAll("-ticket")
		f.collectCommands()
	}
	f.want("starts", startsOf(f.starts, "j"), 1)
	f.want("starts in d1", startsIn(f.starts, "d1"), 0)
}

// Guards against a server that gets starts because it was added, or has moved, after the request to evacuate its data centre.
func TestServersAddedDuringAnEvacuation(t *testing.T) {
	f := newFixture(t, nil)
	f.evacuate("d1")
	f.addServerIn("d1", "s1", 16)
	f.addServerIn("d2", "s2", 16)
	moved := testServer("s2", 16)
	moved.DataCentre = "d1"
	f.s.Register(f.now, moved)
	f.addJob("j", Step{Count: 1, Demand: cores(1)})
	f.want("starts", len(f.starts), 0)
	moved.DataCentre = "d2"
	f.s.Register(f.now, moved)
	f.collectCommands()
	f.want("starts after the return to d2", startsIn(f.starts, "d2"), 1)
}

// Guards against an evacuation that operators can't see in the state dump, the load and the explanation of a job that waits for it.
func TestEvacuationIsExplained(t *testing.T) {
	f := newFixture(t, nil)
	f.addServerIn("d1", "s1", 16)
	f.evacuate("d1")
	f.addJob("j", Step{Count: 1, Demand: cores(1)})
	e, _ := f.s.Explain("j")
	f.want("servers", e.Steps[0].Servers, map[ServerStatus]int{ServerEvacuated: 1})
	f.want("dump", f.s.Dump(f.now).Servers[0].Evacuated, true)
	f.want("load", f.s.Loads()[0].UnusableCauses, map[ServerStatus]int{ServerEvacuated: 1})
}

// Guards against leases that lapse in an evacuated data centre: polls and their leases continue, and finite tasks run to completion.
func TestFiniteTasksRunToCompletionDuringAnEvacuation(t *testing.T) {
	for name, step := range map[string]Step{
		"tasks": {Count: 2, Demand: cores(1), Estimate: time.Minute}, "gang": {Count: 2, Demand: cores(1), Estimate: time.Minute, Gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServerIn("d1", "s1", 16)
			f.addJob("j", step)
			starts := f.takeStarts()
			f.addServerIn("d2", "s2", 16)
			f.evacuate("d1")
			renewed := 0
			for range 50 {
				f.advanceTime(100 * time.Millisecond)
				renewed += boolToInt(f.polls["s1"].Deadline > 0)
				f.pollAll(10)
			}
			f.want("stops", len(f.stops), 0)
			f.want("leases renewed", renewed > 2, true)
			for _, cmd := range starts {
				for range 30 {
					if _, ok := f.polls["s1"]; ok {
						break
					}
					f.advanceTime(100 * time.Millisecond)
				}
				f.endRun(cmd, OutcomeDone)
			}
			f.recordProgress()
			f.want("state", f.state("j"), StateCompleted)
		})
	}
}
