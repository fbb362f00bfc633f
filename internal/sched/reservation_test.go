package sched

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a long-running task that never runs although a server has capacity: the server stayed reserved for a large
// long-running step that can't use it.
func TestServersAreNotReservedForStepsThatCannotUseThem(t *testing.T) {
	for name, step := range map[string]Step{
		"the server runs as many of its tasks as MaxPerServer admits": {Count: 2, Demand: cores(8), MaxPerServer: 1, LongRunning: true},
		"a long-running task leaves too little capacity":              {Count: 2, Demand: cores(9), LongRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("large", step)
			f.takeStarts()
			f.advanceTime(100 * time.Millisecond) // the older step ranks first
			f.addJob("j", Step{Count: 1, Demand: cores(2), LongRunning: true})
			for range 100 {
				f.advanceTime(100 * time.Millisecond)
				if _, ok := f.polls["s1"]; ok {
					f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
				}
				for _, cmd := range f.takeStarts() {
					if cmd.Task.Job == "j" {
						return
					}
				}
			}
			t.Error("the task wasn't started in 10 s")
		})
	}
}

// Guards against servers that stay reserved for gangs which can't run, so that no other job of the service does. Found by an independent
// review (review/5): two such gangs kept both servers of a service.
func TestServersAreNotReservedForGangsThatCannotRun(t *testing.T) {
	gang := func(count int, n int64) Step {
		return Step{Count: count, Demand: cores(n), Gang: true, LongRunning: true}
	}
	limited := gang(3, 8)
	limited.MaxPerServer = 1
	labelled := gang(3, 8)
	labelled.Label = "b"
	for name, c := range map[string]struct {
		before []Step // in progress
		gangs  []Step
	}{
		"larger than the service":         {gangs: []Step{gang(5, 8), gang(5, 8)}},
		"of more teams than servers":      {gangs: []Step{gang(5, 8), gang(6, 8), gang(3, 16), gang(7, 7)}},
		"spread over too few servers":     {gangs: []Step{limited, limited}},
		"of a label that one server has":  {gangs: []Step{labelled, labelled}},
		"finite":                          {gangs: []Step{{Count: 5, Demand: cores(8), Gang: true, Estimate: time.Minute}}},
		"beside long-running tasks":       {before: []Step{{Count: 2, Demand: cores(6), MaxPerServer: 1, LongRunning: true}}, gangs: []Step{gang(3, 8), gang(3, 8)}},
		"in front of one that runs later": {gangs: []Step{gang(5, 8), gang(5, 8), gang(2, 16)}, before: []Step{{Count: 2, Demand: cores(12), Estimate: time.Second}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			other := testServer("s2", 16)
			other.Labels = append(other.Labels, "b")
			f.s.Register(f.now, other)
			f.collectCommands()
			f.answerPoll("s2", Inventory{})
			for i, step := range c.before {
				f.addJob(ident.JobID("before"+strconv.Itoa(i)), step)
				f.takeStarts()
			}
			for i, step := range c.gangs {
				f.addJob(ident.JobID("gang"+strconv.Itoa(i)), step)
			}
			f.advanceTime(100 * time.Millisecond) // the gangs are older and rank first
			f.addJob("j", Step{Count: 1, Demand: cores(2), Estimate: time.Second})
			f.want("starts", startsOf(f.takeStarts(), "j"), 1)
		})
	}
}

// startsOf returns the number of starts of a job.
func startsOf(starts []StartCommand, id ident.JobID) int {
	n := 0
	for _, cmd := range starts {
		n += boolToInt(cmd.Task.Job == id)
	}
	return n
}

// Guards against all servers of a service being reserved while large tasks wait, so that no small one starts.
func TestSomeServersAreNotReserved(t *testing.T) {
	small := Step{Count: 1, Demand: cores(2), Estimate: time.Hour} // it ranks behind the large ones
	for name, prepare := range map[string]func(f *fixture){
		"for tasks that wait for running ones": func(f *fixture) {
			f.addJob("before", Step{Count: 2, Demand: cores(9), Estimate: time.Second})
			f.takeStarts()
			f.addJob("large1", Step{Count: 1, Demand: cores(16), Estimate: 10 * time.Second})
			f.addJob("large2", Step{Count: 1, Demand: cores(16), Estimate: 10 * time.Second})
		},
		"for tasks that wait for advice": func(f *fixture) {
			queue := queueWithAdvisor()
			queue.ID = "advised"
			f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": testQueue(), "advised": queue}})
			f.s.AddJob(f.now, &Job{
				ID: "large", Queue: queue, Accepted: f.now, Steps: []Step{{Count: 4, Demand: cores(16), Estimate: time.Minute}},
			}, Progress{}, false)
			f.collectCommands()
			f.grantAll("-ticket")
			first := f.takeStarts()
			f.want("starts with tickets", len(first), 2)
			f.advanceTime(queue.Advisor.TicketValidity + time.Second)
			for _, cmd := range first {
				if _, ok := f.polls[cmd.Server.ID]; !ok {
					f.s.poll(f.s.servers[cmd.Server.ID], 0, 0)
					f.collectCommands()
				}
				f.endRun(cmd, OutcomeDone)
			}
			f.s.jobs["large"].occurrences[0].groups[0].advice.inFlight = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			prepare(f)
			f.advanceTime(100 * time.Millisecond)
			f.addJob("j", small)
			f.want("starts", startsOf(f.takeStarts(), "j"), 1)
		})
	}
}

// Guards against a server that stays reserved for a gang which would fit, but whose other members find no capacity for long.
func TestReservationEnds(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	for _, id := range []ServerID{"s2", "s3"} {
		v := testServer(id, 16)
		v.Labels = append(v.Labels, "b")
		f.s.Register(f.now, v)
		f.collectCommands()
		f.answerPoll(id, Inventory{})
	}
	f.addJob("before", Step{Count: 2, Demand: cores(9), Estimate: time.Hour, MaxPerServer: 1, Label: "b"})
	f.takeStarts()
	f.addJob("gang", Step{Count: 3, Demand: cores(16), Gang: true, LongRunning: true})
	f.advanceTime(100 * time.Millisecond)
	f.addJob("j", Step{Count: 1, Demand: cores(12), Estimate: time.Second})
	f.want("starts beside the reservation", len(f.takeStarts()), 0)
	for waited := time.Duration(0); waited <= minReservationTime+time.Second; waited += 100 * time.Millisecond {
		f.advanceTime(100 * time.Millisecond)
		for id := range f.polls {
			f.answerPoll(id, Inventory{Running: f.running(id, TaskID{}, 0)})
		}
		if startsOf(f.takeStarts(), "j") > 0 {
			return
		}
	}
	t.Error("the task wasn't started after the end of the reservation")
}

// Guards against a long-running task without a run for as long as large tasks wait for room (review/15): they reserve two servers, also if it
// takes long until these have room for them.
func TestLongRunningTaskTakesAReservedServer(t *testing.T) {
	for name, largeJobs := range map[string]int{"two large jobs": 2, "eight large jobs": 8} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			urgent, other := testQueue(), testQueue()
			urgent.ID, other.ID, other.Priority = "urgent", "other", 1
			f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"urgent": urgent, "other": other}, Teams: map[ident.TeamID]Team{"blue": {ID: "blue"}}})
			add := func(id ident.JobID, q Queue, step Step) {
				f.s.AddJob(f.now, &Job{ID: id, Team: "blue", Queue: q, Payload: "p", Steps: []Step{step}, Accepted: f.now}, Progress{}, false)
				f.collectCommands()
			}
			f.addServer("s1", 5)
			f.addServer("s2", 5)
			f.addServer("s3", 5)
			add("whole", other, Step{Count: 1, Demand: cores(5), LongRunning: true})
			f.takeStarts()
			add("parts", other, Step{Count: 2, Demand: resource.Vector{CPU: 2300, Memory: 100}, MaxPerServer: 1, Estimate: 11 * time.Second})
			f.want("starts of the parts", len(f.takeStarts()), 2)
			for n := range largeJobs {
				add(ident.JobID("large"+strconv.Itoa(n)), urgent, Step{Count: 1, Demand: resource.Vector{CPU: 2850, Memory: 100}, Estimate: 1800 * time.Millisecond})
			}
			add("lasting", other, Step{Count: 1, Demand: resource.Vector{CPU: 500, Memory: 100}, LongRunning: true})
			for began := f.now; f.now.Sub(began) < 6*time.Second; {
				f.advanceTime(100 * time.Millisecond)
				for _, id := range []ServerID{"s1", "s2", "s3"} {
					if _, polled := f.polls[id]; polled {
						rows := f.running(id, TaskID{}, 0)
						for i := range rows {
							rows[i].Percent = int(100 * f.now.Sub(began) / (11 * time.Second))
						}
						f.answerPoll(id, Inventory{Running: rows})
					}
				}
				if slices.ContainsFunc(f.takeStarts(), func(cmd StartCommand) bool { return cmd.Task.Job == "lasting" }) {
					return
				}
			}
			t.Error("the task that lasts wasn't started in 6 s")
		})
	}
}
