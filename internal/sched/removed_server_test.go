package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// queueWithAdvisor returns the usual queue with an advisor.
func queueWithAdvisor() Queue {
	q := testQueue()
	q.Advisor = &Advisor{BaseTime: 30 * time.Millisecond, TimePerServer: time.Millisecond, TicketValidity: 2 * time.Second}
	return q
}

// grantAll answers the pending advisor calls with tickets for all servers named, each named after its server and a suffix.
func (f *fixture) grantAll(suffix string) {
	requests := f.adviceRequests
	f.adviceRequests = nil
	for _, r := range requests {
		granted := map[ServerID]Ticket{}
		for _, id := range r.Servers {
			granted[id] = Ticket(string(id) + suffix)
		}
		f.s.AdviceReceived(f.now, r, granted, f.now)
	}
	f.collectCommands()
}

// replaceServer reports that another server responds at a server's address.
func (f *fixture) replaceServer(id ServerID) {
	f.s.ServerReplaced(f.now, testServer(id, 16))
	delete(f.polls, id)
	f.collectCommands()
}

// Guards against a task that never runs again (LOST on days with the loss of all servers of a service): the advice for a step
// was fetched before the step was ready and kept naming a server that was removed meanwhile, and the task's run was placed there.
func TestAdviceFetchedAheadDoesNotPlaceRunsOnRemovedServers(t *testing.T) {
	for name, second := range map[string]Step{
		"batch":        {Count: 2, Demand: cores(1), After: []int{0}},
		"gang":         {Count: 2, Demand: cores(1), After: []int{0}, Gang: true},
		"long-running": {Count: 2, Demand: cores(1), After: []int{0}, LongRunning: true},
	} {
		for loss, lose := range map[string]func(*fixture){
			"replaced": func(f *fixture) { f.replaceServer("s1") },
			"replaced and registered again": func(f *fixture) {
				f.replaceServer("s1")
				back := testServer("s1", 16)
				back.Address = "elsewhere:1"
				f.s.Register(f.now, back)
				f.collectCommands()
			},
			"restarted under its id": func(f *fixture) {
				back := testServer("s1", 16)
				back.Incarnation = 2
				f.s.Register(f.now, back)
				f.collectCommands()
				f.answerPoll("s1", Inventory{Incarnation: 2})
			},
		} {
			t.Run(name+" step, server "+loss, func(t *testing.T) {
				f := newFixture(t, nil)
				queue := queueWithAdvisor()
				f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": queue}})
				f.addServer("s1", 16)
				f.s.AddJob(f.now, &Job{
					ID: "j", Queue: queue, Payload: "p", Accepted: f.now,
					Steps: []Step{{Count: 1, Demand: cores(16), Estimate: 100 * time.Millisecond}, second},
				}, Progress{}, false)
				f.collectCommands()
				f.grantAll("-first")
				first := f.takeStarts()
				f.want("starts of the first step", len(first), 1)
				f.advanceTime(100 * time.Millisecond)
				f.grantAll("-ahead")
				f.want("tickets for the second step", len(f.s.jobs["j"].occurrences[0].groups[1].advice.grants), 1)

				lose(f)
				f.addServer("s2", 16)
				f.grantAll("-new")
				for range 20 {
					f.advanceTime(100 * time.Millisecond)
					f.grantAll("-new")
					for _, cmd := range f.takeStarts() {
						if f.s.servers[cmd.Server.ID] == nil || cmd.Server.Address != f.s.servers[cmd.Server.ID].info.Address {
							t.Errorf("step %d is started on %s at %s, which has ended", cmd.Task.Step, cmd.Server.ID, cmd.Server.Address)
						}
						if cmd.Ticket == "s1-ahead" {
							t.Errorf("step %d is started with a ticket of a former incarnation", cmd.Task.Step)
						}
						if cmd.Task.Step == 0 {
							f.endNumbers[cmd.Server.ID]++
							f.answerPoll(cmd.Server.ID, Inventory{
								Incarnation: cmd.Server.Incarnation,
								Finished:    []FinishedRun{{Number: f.endNumbers[cmd.Server.ID], Task: cmd.Task, Run: cmd.Run, Outcome: OutcomeDone}},
							})
						}
					}
				}
				for task := range f.s.jobs["j"].occurrences[0].groups[1].tasks.all() {
					if len(task.runs) != 1 || f.s.servers[task.runs[0].server.info.ID] != task.runs[0].server {
						t.Errorf("task %d of the second step has no run on a known server", task.index)
					}
				}
			})
		}
	}
}

// Guards against a server that gets no starts for ever: it returned under the id of a removed server, and the confirmation of a
// roster write for that one, which was cordoned, was taken for its own.
func TestRosterWriteOfARemovedServerDoesNotCordonItsSuccessor(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.s.RosterWritten(f.now, f.s.TakeRosterChanges(10))
	draining := testServer("s1", 16)
	draining.Draining = true
	f.s.Register(f.now, draining)
	f.advanceTime(100 * time.Millisecond)
	inFlight := f.s.TakeRosterChanges(10)
	f.want("cordoned in the write", inFlight[0].Entry.Cordoned, true)
	f.replaceServer("s1")

	f.addServer("s1", 16)
	moved := testServer("s1", 16)
	moved.Address = "elsewhere:1"
	f.s.Register(f.now, moved)
	f.s.RosterWritten(f.now, inFlight)
	for changes := f.s.TakeRosterChanges(10); len(changes) > 0; changes = f.s.TakeRosterChanges(10) {
		f.s.RosterWritten(f.now, changes)
	}
	f.addJob("j", Step{Count: 1, Demand: cores(1)})
	f.want("starts", len(f.takeStarts()), 1)
}

// Guards against a task that runs twice after a takeover: a server returned under the id of a removed one and got starts while the
// store still had the former one as cordoned, so that the next leader didn't wait for its inventory.
func TestServerGetsNoStartsWhileItsFormerCordonIsRecorded(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.s.RosterWritten(f.now, f.s.TakeRosterChanges(10))
	draining := testServer("s1", 16)
	draining.Draining = true
	f.s.Register(f.now, draining)
	f.advanceTime(100 * time.Millisecond)
	f.s.RosterWritten(f.now, f.s.TakeRosterChanges(10))
	f.replaceServer("s1")
	f.addServer("s1", 16)
	f.addJob("j", Step{Count: 1, Demand: cores(1)})
	f.want("starts while the roster has the server as cordoned", len(f.takeStarts()), 0)
	f.s.RosterWritten(f.now, f.s.TakeRosterChanges(10))
	f.collectCommands()
	f.want("starts afterwards", len(f.takeStarts()), 1)
}
