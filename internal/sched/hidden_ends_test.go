package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against tasks that run again after they are done: a server with many ended runs lists only the first of them, and a run that
// it didn't list was taken for one that had never run. Found by an independent review (review/1).
func TestRunBehindAFullListOfEndsIsKept(t *testing.T) {
	// fullList answers the pending poll of s1 with one of two ended runs.
	fullList := func(f *fixture, listed StartCommand) {
		f.answerPoll("s1", Inventory{MoreFinished: true, Finished: []FinishedRun{
			{Number: 1, Task: listed.Task, Run: listed.Run, Outcome: OutcomeDone},
		}})
	}
	rest := func(f *fixture, hidden StartCommand) {
		f.recordProgress()
		f.answerPoll("s1", Inventory{Finished: []FinishedRun{{Number: 2, Task: hidden.Task, Run: hidden.Run, Outcome: OutcomeDone}}})
	}
	stopHidden := func(f *fixture, hidden StartCommand) *run {
		p := f.s.findRun("s1", hidden.Task, hidden.Run)
		if p == nil {
			f.Fatal("the run behind the list was dropped")
		}
		f.s.stop(p, "test")
		f.collectCommands()
		return p
	}
	for name, play := range map[string]func(f *fixture, hidden StartCommand){
		"of a run in progress": func(*fixture, StartCommand) {},
		"for longer than a stall": func(f *fixture, _ StartCommand) {
			for range 8 {
				f.advanceTime(600 * time.Millisecond)
				f.answerPoll("s1", Inventory{MoreFinished: true})
			}
			f.want("stops of ended runs", len(f.stops), 0)
		},
		"on a draining server": func(f *fixture, _ StartCommand) {
			v := testServer("s1", 16)
			v.Draining, v.Remaining = true, time.Millisecond
			f.s.Register(f.now, v)
			f.collectCommands()
			f.want("stops of ended runs", len(f.stops), 0)
		},
		"of a run whose stop was answered": func(f *fixture, hidden StartCommand) {
			stopHidden(f, hidden)
			f.s.Stopped(f.now, f.now, "s1", hidden.Task, hidden.Run, f.now.Sub(epochStart)+time.Hour)
			f.advanceTime(600 * time.Millisecond)
			f.answerPoll("s1", Inventory{MoreFinished: true})
		},
		"of a stopped run whose start has expired": func(f *fixture, hidden StartCommand) {
			p := stopHidden(f, hidden)
			p.startDeadline = time.Minute // on the server's clock, which is beyond an hour
			f.advanceTime(600 * time.Millisecond)
			f.answerPoll("s1", Inventory{MoreFinished: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 2)
			f.addServer("s2", 2)
			f.addJob("j", Step{Count: 2, Demand: cores(1), Estimate: 100 * time.Millisecond})
			starts := f.takeStarts()
			for i, cmd := range starts {
				if cmd.Server.ID != "s1" {
					f.Fatalf("start %d on %s, want s1", i, cmd.Server.ID)
				}
			}
			f.advanceTime(200 * time.Millisecond)
			fullList(f, starts[0])
			play(f, starts[1])
			f.want("starts after the ends", len(f.starts), 0)
			rest(f, starts[1])
			f.recordProgress()
			f.want("state", f.state("j"), StateCompleted)
		})
	}
}

// Guards against inherited tasks that run again after they are done: the first inventory that a server gave a new leader listed only
// some of its ended runs.
func TestInheritedTaskWaitsForAllEnds(t *testing.T) {
	for name, c := range map[string]struct {
		silent bool // the server falls silent instead of listing the other ends
		starts int
	}{
		"listed later": {false, 0},
		// Its ends don't count after that, as its leases have expired.
		"never listed": {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
			one := Step{Count: 1, Demand: cores(1)}
			for _, id := range []ident.JobID{"listed", "hidden"} {
				f.s.AddJob(f.now, &Job{ID: id, Team: "blue", Queue: testQueue(), Steps: []Step{one}, Accepted: f.now}, Progress{}, true)
			}
			f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16)})
			f.s.Register(f.now, testServer("s1", 16))
			f.collectCommands()
			f.answerPoll("s1", Inventory{MoreFinished: true, Finished: []FinishedRun{
				{Number: 1, Task: TaskID{Job: "listed"}, Run: 1, Outcome: OutcomeDone},
			}})
			f.addServer("s2", 16)
			f.advanceTime(time.Second)
			f.want("starts before the other ends are listed", len(f.starts), 0)
			if c.silent {
				for range 120 {
					if p, ok := f.polls["s1"]; ok {
						delete(f.polls, "s1")
						f.s.PollFailed(f.now, "s1", p.Serial)
					}
					if _, ok := f.polls["s2"]; ok {
						f.answerPoll("s2", Inventory{Running: f.running("s2", TaskID{}, 0)})
					}
					f.advanceTime(100 * time.Millisecond)
				}
			} else {
				f.recordProgress()
				f.answerPoll("s1", Inventory{Finished: []FinishedRun{
					{Number: 2, Task: TaskID{Job: "hidden"}, Run: 1, Outcome: OutcomeDone},
				}})
			}
			f.want("starts", len(f.takeStarts()), c.starts)
		})
	}
}

// Guards against ended runs that are never acknowledged under a steady flow of starts, so that the server's list of them fills. Found
// by an independent review, with servers 8 ms away.
func TestStartsWaitForDueAcknowledgements(t *testing.T) {
	const tasks = 3 * maxEndsBeforeAcknowledgement
	f := newFixture(t, nil)
	f.addServer("s1", 4)
	f.addJob("j", Step{Count: tasks, Demand: cores(1), Estimate: 20 * time.Millisecond})
	var (
		inFlight []StartCommand // answered at the next step, so that some start is always unanswered
		running  []StartCommand
		finished []FinishedRun
		number   uint64
		most     int
	)
	for range 20 * tasks {
		f.now = f.now.Add(20 * time.Millisecond)
		// Two of the four runs end in turns, and their successors' starts are on their way meanwhile.
		for _, cmd := range running[:min(2, len(running))] {
			number++
			finished = append(finished, FinishedRun{Number: number, Task: cmd.Task, Run: cmd.Run, Outcome: OutcomeDone})
		}
		running = running[min(2, len(running)):]
		if p, ok := f.polls["s1"]; ok {
			for len(finished) > 0 && finished[0].Number <= p.Acknowledged {
				finished = finished[1:]
			}
			most = max(most, len(finished))
			var active []ActiveRun
			for _, cmd := range running {
				active = append(active, ActiveRun{Task: cmd.Task, Run: cmd.Run, Percent: 50})
			}
			f.answerPoll("s1", Inventory{Running: active, Finished: finished})
			f.recordProgress()
		}
		for _, cmd := range inFlight {
			f.s.Started(f.now, f.now, "s1", cmd.Task, cmd.Run, f.now.Sub(epochStart)+time.Hour)
		}
		running = append(running, inFlight...)
		f.s.Tick(f.now)
		f.collectCommands()
		inFlight, f.starts = f.starts, nil
	}
	f.want("state", f.state("j"), StateCompleted)
	if limit := 2 * maxEndsBeforeAcknowledgement; most > limit {
		f.Errorf("%d unacknowledged ends, want at most %d", most, limit)
	}
}
