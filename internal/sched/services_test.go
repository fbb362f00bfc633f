package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// sendQueueTo configures the service of the queue.
func (f *fixture) sendQueueTo(id ServiceID) {
	q := testQueue()
	q.Service = id
	f.s.Configure(f.now, Config{
		Queues: map[ident.QueueID]Queue{"quotes": q}, Teams: map[ident.TeamID]Team{"blue": {ID: "blue"}},
	})
	f.collectCommands()
}

// registerIn registers a server of a service.
func (f *fixture) registerIn(service ServiceID, id ServerID) {
	v := testServer(id, 4)
	v.Service = service
	f.s.Register(f.now, v)
	f.collectCommands()
}

// Guards against tasks that start a second time after a takeover, as the next leader doesn't know that their queue was with another
// service in between.
func TestTasksOfAServiceInBetweenAreFoundAfterATakeover(t *testing.T) {
	for name, steps := range map[string][]Step{
		"task":             {{Count: 2, Demand: cores(1), Estimate: time.Minute}},
		"gang":             {{Count: 2, Demand: cores(1), Estimate: time.Minute, Gang: true}},
		"long-running":     {{Count: 2, Demand: cores(1), LongRunning: true}},
		"best-effort task": {{Count: 2, Demand: cores(1), Estimate: time.Minute, BestEffort: true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.sendQueueTo("other")
			f.registerIn("pool", "a")
			f.answerPoll("a", Inventory{})
			f.registerIn("other", "b")
			f.answerPoll("b", Inventory{})
			f.registerIn("third", "c")
			f.answerPoll("c", Inventory{})
			spec := f.addJob("j1", steps...) // accepted by a daemon that still had the queue at "pool"
			f.want("starts before the record", len(f.starts), 0)
			e, _ := f.s.Explain("j1")
			f.want("reason", e.Steps[0].Waiting[WaitServiceRecord], 2)
			record := f.recordProgress()[0].Progress
			f.want("recorded services", record.Services, []ServiceID{"other"})
			starts := f.takeStarts()
			f.want("starts", len(starts), 2)

			next := newFixture(t, func(o *Options) { o.RunBase = 1000 })
			next.registerIn("pool", "a")
			next.registerIn("other", "b")
			next.registerIn("third", "c")
			next.s.AddJob(next.now, spec, record, true)
			next.collectCommands()
			next.answerPoll("a", Inventory{})
			next.want("starts before the inventory of the service in between", len(next.starts), 0)
			e, _ = next.s.Explain("j1")
			next.want("held back by", e.Steps[0].HeldBackBy, []ServerID{"b"})
			var rows []ActiveRun
			for _, cmd := range starts {
				rows = append(rows, ActiveRun{Task: cmd.Task, Run: cmd.Run, Percent: 10})
			}
			next.answerPoll("b", Inventory{Running: rows})
			next.want("starts of running tasks", len(next.starts), 0)
			next.want("stops of running tasks", len(next.stops), 0)
		})
	}
}

// Guards against a job that waits for good for the servers of a service that is gone, and for silent servers of services where it
// never ran.
func TestServiceInBetweenThatIsGoneIsNotAwaitedForGood(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
	f.registerIn("pool", "a")
	f.registerIn("other", "b")
	f.registerIn("third", "c")
	spec := &Job{ID: "j1", Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now}
	unmoved := &Job{ID: "j2", Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now}
	f.s.AddJob(f.now, spec, Progress{Services: []ServiceID{"other", "vanished"}}, true)
	f.s.AddJob(f.now, unmoved, Progress{}, true)
	f.answerPoll("a", Inventory{})
	starts := f.takeStarts()
	f.want("jobs started at once", startedJobs(starts), []ident.JobID{"j2"})
	f.endRun(starts[0], OutcomeDone)
	for end := f.now.Add(12 * time.Second); f.now.Before(end) && len(f.starts) == 0; {
		f.advanceTime(100 * time.Millisecond)
		if _, ok := f.polls["a"]; ok {
			f.answerPoll("a", Inventory{Running: f.running("a", TaskID{}, 0)})
		}
	}
	f.want("jobs started once the leases have ended", startedJobs(f.starts), []ident.JobID{"j1"})
}

func startedJobs(starts []StartCommand) []ident.JobID {
	var ids []ident.JobID
	for _, cmd := range starts {
		ids = append(ids, cmd.Task.Job)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Guards against a write for each job: one whose queue stays with its service starts without a record.
func TestJobOfAnUnchangedQueueStartsWithoutARecord(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("a", 4)
	f.addJob("j1", Step{Count: 2, Demand: cores(1)})
	f.want("starts", len(f.takeStarts()), 2)
	f.want("progress to write", len(f.s.TakeProgressUpdates(10)), 0)
}

// Guards against a job that starts at the new service although the record of that was refused or lost.
func TestServiceCountsOnlyOnceItsRecordIsWritten(t *testing.T) {
	f := newFixture(t, nil)
	f.sendQueueTo("other")
	f.registerIn("other", "b")
	f.answerPoll("b", Inventory{})
	f.addJob("j1", Step{Count: 1, Demand: cores(1)})
	f.s.ProgressWriteFailed(f.s.TakeProgressUpdates(10))
	f.advanceTime(time.Second)
	f.want("starts after a failed write", len(f.starts), 0)
	f.recordProgress()
	f.want("starts", len(f.takeStarts()), 1)
}
