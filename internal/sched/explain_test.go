package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// forgetServer removes a server from the scheduler and leaves its runs, as no event of the scheduler should.
func forgetServer(f *fixture, id ServerID) {
	v := f.s.servers[id]
	f.s.noteRemoval(v, CauseReplaced, len(v.runs))
	delete(f.s.servers, id)
	f.s.services["pool"] = slices.DeleteFunc(f.s.services["pool"], func(o *server) bool { return o == v })
}

// Guards against tasks that wait and whose reason the state dump doesn't tell: operators saw neither what held a task back nor
// what kept the servers from taking it (issue 23).
func TestExplainTellsWhyTasksWait(t *testing.T) {
	one := Step{Count: 1, Demand: cores(1)}
	advised := testQueue()
	advised.Advisor = &Advisor{BaseTime: 100 * time.Millisecond, TicketValidity: 2 * time.Second}
	addAdvisedJob := func(f *fixture) AdviceRequest {
		f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": advised}})
		f.s.AddJob(f.now, &Job{ID: "a", Queue: advised, Steps: []Step{one}, Accepted: f.now}, Progress{}, false)
		f.collectCommands()
		f.want("advisor calls", len(f.adviceRequests), 1)
		return f.adviceRequests[0]
	}
	type waiting map[WaitReason]int
	type servers map[ServerStatus]int
	for name, c := range map[string]struct {
		happen  func(*fixture)
		step    int
		waiting waiting
		servers servers
		heldBy  []ServerID
	}{
		"earlier steps": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.addJob("a", one, Step{Count: 2, Demand: cores(1), After: []int{0}})
			},
			step: 1, waiting: waiting{WaitPredecessors: 2}, servers: servers{ServerFree: 1},
		},
		"a step that passes don't consider": {
			happen: func(f *fixture) {
				f.addJob("a", one)
				f.s.jobs["a"].occurrences[0].groups[0].tracked = false
			},
			waiting: waiting{WaitUntracked: 1}, servers: servers{},
		},
		"a server with unknown inventory holds an inherited task": {
			happen: func(f *fixture) {
				f.s.options.RunBase = 1000
				f.addServer("s1", 16)
				f.s.Register(f.now, testServer("s2", 16))
				f.s.AddJob(f.now, &Job{ID: "a", Queue: testQueue(), Steps: []Step{one}, Accepted: f.now}, Progress{}, true)
				f.collectCommands()
			},
			waiting: waiting{WaitUnknownInventory: 1}, servers: servers{ServerFree: 1, ServerUnattached: 1}, heldBy: []ServerID{"s2"},
		},
		"a refused start": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.addJob("a", one)
				f.s.StartRefused(f.now, f.now, "s1", TaskID{Job: "a"}, 1, RefusedInvalid, 0)
			},
			waiting: waiting{WaitPaused: 1}, servers: servers{ServerFree: 1},
		},
		"the last attempt on an unresponsive server": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.addServer("s2", 16)
				f.addJob("a", Step{Count: 2, Demand: cores(1)})
				f.takeStarts()
				t := f.s.jobs["a"].occurrences[0].groups[0].tasks.at(0)
				t.failedRuns = []RunNumber{100, 101}
				v := t.runs[0].server
				f.want("server", v.info.ID, "s1")
				for len(v.runs) > 0 {
					f.s.PollFailed(f.now, "s1", v.pollSerial)
					f.advanceTime(100 * time.Millisecond)
					if _, ok := f.polls["s2"]; ok {
						f.answerPoll("s2", Inventory{Running: f.running("s2", TaskID{}, 0)})
					}
				}
			},
			waiting: waiting{WaitLastAttempt: 1}, servers: servers{ServerUnattached: 1, ServerFree: 1}, heldBy: []ServerID{"s1"},
		},
		"the team's limit": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.s.Configure(f.now, Config{Teams: map[ident.TeamID]Team{"blue": {ID: "blue", Limit: resource.Vector{CPU: resource.Cores(2)}}}})
				f.addJob("a", Step{Count: 3, Demand: cores(1)})
			},
			waiting: waiting{WaitTeamLimit: 1}, servers: servers{ServerFree: 1},
		},
		"a gang that is larger than the team's limit": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.s.Configure(f.now, Config{Teams: map[ident.TeamID]Team{"blue": {ID: "blue", Limit: resource.Vector{CPU: resource.Cores(2)}}}})
				f.addJob("a", Step{Count: 3, Demand: cores(1), Gang: true})
			},
			waiting: waiting{WaitTeamLimit: 3}, servers: servers{ServerFree: 1},
		},
		"a gang with runs of its former start": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.addJob("a", Step{Count: 3, Demand: cores(1), Gang: true})
				start := f.takeStarts()[0]
				f.advanceTime(100 * time.Millisecond)
				f.endRun(start, OutcomeFailed)
			},
			waiting: waiting{WaitGangRuns: 1}, servers: servers{ServerFree: 1},
		},
		"no advice yet": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				addAdvisedJob(f)
			},
			waiting: waiting{WaitAdvice: 1}, servers: servers{ServerNoTicket: 1},
		},
		"the advisor allows no server": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.s.AdviceReceived(f.now, addAdvisedJob(f), nil, f.now)
				f.collectCommands()
			},
			waiting: waiting{WaitAdvice: 1}, servers: servers{ServerNotAllowed: 1},
		},
		"no room": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.addServer("s2", 2)
				f.s.servers["s2"].noStartsBefore = f.now.Add(time.Minute)
				f.addServer("s3", 2)
				f.s.Unregister(f.now, "s3")
				v := testServer("s4", 2)
				v.Draining = true
				f.s.Register(f.now, v)
				f.collectCommands()
				f.answerPoll("s4", Inventory{})
				f.addJob("a", Step{Count: 3, Demand: cores(8)})
			},
			waiting: waiting{WaitRoom: 1}, servers: servers{ServerFull: 1, ServerPaused: 1, ServerUnregistered: 1, ServerDraining: 1},
		},
		"one task a server": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.addJob("a", Step{Count: 2, Demand: cores(1), MaxPerServer: 1})
			},
			waiting: waiting{WaitRoom: 1}, servers: servers{ServerSpread: 1},
		},
		"no server with the label": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.addJob("a", Step{Count: 1, Demand: cores(1), Label: "none"})
			},
			waiting: waiting{WaitRoom: 1}, servers: servers{ServerUnsuitable: 1},
		},
		"too many unanswered starts": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.s.delay.window = 0
				f.addJob("a", one)
			},
			waiting: waiting{WaitStartWindow: 1}, servers: servers{ServerFree: 1},
		},
		"no advice while tickets would expire": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": testQueue(), "advised": advised}})
				f.s.delay.window, f.s.delay.median = 0, time.Second
				f.addJob("b", Step{Count: 3, Demand: cores(1)})
				q := advised
				q.ID, q.Priority = "advised", 1
				f.s.AddJob(f.now, &Job{ID: "a", Queue: q, Steps: []Step{one}, Accepted: f.now}, Progress{}, false)
				f.collectCommands()
			},
			waiting: waiting{WaitAdviceDeferred: 1}, servers: servers{ServerNoTicket: 1},
		},
		"the next pass": {
			happen: func(f *fixture) {
				f.addJob("a", one)
				f.s.Register(f.now, testServer("s1", 16))
				poll := f.s.TakeCommands()[0].(PollCommand)
				f.s.Polled(f.now, "s1", poll.Serial, Inventory{Incarnation: 1, Clock: time.Hour})
				recordServers(f.s)
			},
			waiting: waiting{WaitPass: 1}, servers: servers{ServerFree: 1},
		},
		"a server reserved for a step of higher rank": {
			happen: func(f *fixture) {
				f.addServer("s1", 16)
				f.addJob("b", Step{Count: 1, Demand: cores(12)})
				f.takeStarts()
				f.advanceTime(time.Second)
				f.addJob("c", Step{Count: 1, Demand: cores(16), Estimate: time.Second})
				f.advanceTime(time.Second)
				f.addJob("a", Step{Count: 1, Demand: cores(1), Estimate: time.Hour})
			},
			waiting: waiting{WaitReserved: 1}, servers: servers{ServerFree: 1},
		},
		"a job that was cancelled": {
			happen: func(f *fixture) {
				f.addJob("a", one)
				f.s.Cancel(f.now, "a")
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			c.happen(f)
			e, ok := f.s.Explain("a")
			if !ok || len(e.Steps) <= c.step {
				t.Fatalf("explanation %+v", e)
			}
			row := e.Steps[c.step]
			f.want("waiting", row.Waiting, c.waiting)
			f.want("servers", row.Servers, c.servers)
			f.want("held back by", row.HeldBackBy, c.heldBy)
		})
	}
}

// Guards against a task whose run is held on a server that was removed, and which the state dump showed like any other run
// (issue 23).
func TestExplainShowsRunOfRemovedServer(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.addJob("a", Step{Count: 1, Demand: cores(1)})
	f.advanceTime(time.Second)
	before, _ := f.s.Explain("a")
	f.want("known", before.Steps[0].Runs[0].ServerKnown, true)
	forgetServer(f, "s1")
	f.advanceTime(2 * time.Second)
	after, _ := f.s.Explain("a")
	f.want("servers of runs", after.Steps[0].Running, []string{"s1"})
	f.want("waiting", len(after.Steps[0].Waiting), 0)
	d := after.Steps[0].Runs[0]
	f.want("run, phase and age", []any{d.Server, d.Run, d.Phase, d.Age, d.Starts}, []any{"s1", 1, "starting", "3s", 1})
	f.want("server", []any{d.ServerKnown, d.InService, d.AddedAgain, d.RemovedAge, d.Removal}, []any{false, false, false, "2s", CauseReplaced})
	f.s.Register(f.now, testServer("s1", 16))
	again, _ := f.s.Explain("a")
	d = again.Steps[0].Runs[0]
	f.want("server after another was added under its id", []any{d.ServerKnown, d.AddedAgain}, []any{false, true})
}

// Guards against a dump of a job with thousands of runs that hides the stuck one, or grows without a bound.
func TestExplainListsStuckRunsFirst(t *testing.T) {
	f := newFixture(t, nil)
	for n := range 3 {
		f.addServer(ServerID(fmt.Sprint("s", n)), 64)
	}
	f.addJob("a", Step{Count: maxExplainedRuns + 20, Demand: cores(1)})
	f.takeStarts()
	g := f.s.jobs["a"].occurrences[0].groups[0]
	last := g.tasks.at(maxExplainedRuns + 19).runs[0]
	f.s.stop(last, "test")
	e, _ := f.s.Explain("a")
	f.want("runs listed", len(e.Steps[0].Runs), maxExplainedRuns)
	f.want("servers of runs", len(e.Steps[0].Running), maxExplainedRuns+20)
	f.want("first", []any{e.Steps[0].Runs[0].Index, e.Steps[0].Runs[0].Phase}, []any{maxExplainedRuns + 19, "stopping"})
}
