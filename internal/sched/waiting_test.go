package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a task that has no run for long, as one of issue 40 for 46 s, and whose reason only a state dump in time would have told.
func TestCheckWaitingTellsWhy(t *testing.T) {
	one := Step{Count: 1, Demand: cores(1)}
	for name, c := range map[string]struct {
		happen func(*fixture)
		reason WaitReason // none is reported if it is empty
		index  int
		failed int
		number RunNumber
	}{
		"no room": {happen: func(f *fixture) { f.addJob("a", one) }, reason: WaitRoom},
		"a failed run": {
			happen: func(f *fixture) {
				f.addServer("s1", 2)
				f.addJob("a", Step{Count: 2, Demand: cores(1)})
				start := f.takeStarts()[1]
				f.s.servers["s1"].noStartsBefore = f.now.Add(time.Hour)
				f.advanceTime(100 * time.Millisecond)
				f.endRun(start, OutcomeFailed)
			},
			reason: WaitRoom, index: 1, failed: 1, number: 1,
		},
		"a step that passes don't consider": {
			happen: func(f *fixture) {
				f.addJob("a", one)
				f.s.jobs["a"].occurrences[0].groups[0].tracked = false
				f.s.groups = nil
			},
			reason: WaitUntracked,
		},
		"the team's limit": {
			happen: func(f *fixture) {
				f.s.Configure(f.now, Config{Teams: map[ident.TeamID]Team{"blue": {ID: "blue", Limit: cores(1)}}})
				f.addJob("a", Step{Count: 1, Demand: cores(2)})
			},
			reason: WaitTeamLimit,
		},
		"a task with a run": {
			happen: func(f *fixture) {
				f.addServer("s1", 2)
				f.addJob("a", one)
				f.takeStarts()
			},
		},
		"a cancelled job": {
			happen: func(f *fixture) {
				f.addJob("a", one)
				f.s.Cancel(f.now, "a")
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			c.happen(f)
			f.now = f.now.Add(longWait)
			f.want("steps after 10 s", len(f.s.CheckWaiting(f.now)), 0)
			f.now = f.now.Add(time.Second)
			found := f.s.CheckWaiting(f.now)
			if c.reason == "" {
				f.want("steps", len(found), 0)
				return
			}
			if len(found) != 1 {
				t.Fatalf("found %+v, want one step", found)
			}
			w := found[0]
			f.want("step", []any{w.Job, w.Step, w.Index, w.Reason}, []any{"a", 0, c.index, c.reason})
			f.want("failed runs and last run", []any{w.FailedRuns, w.LastRun}, []any{c.failed, c.number})
			if w.Age <= longWait || w.Age > longWait+time.Second {
				t.Errorf("age %v", w.Age)
			}
			f.want("tasks counted", f.s.LongWaitingTasks(), 1)
		})
	}
}

// Guards against a log that waiting tasks flood, or in which the steps that have waited longest hide all others.
func TestCheckWaitingIsBounded(t *testing.T) {
	f := newFixture(t, nil)
	const steps = 3 * maxWaitReports
	for i := range steps {
		f.addJob(ident.JobID(fmt.Sprintf("j%02d", i)), Step{Count: 2, Demand: cores(1)})
		f.now = f.now.Add(time.Millisecond)
	}
	f.now = f.now.Add(longWait + time.Second)
	reported := map[ident.JobID]int{}
	for second := range 10 {
		found := f.s.CheckWaiting(f.now.Add(time.Duration(second) * time.Second))
		if len(found) > maxWaitReports {
			t.Fatalf("%d steps in a check", len(found))
		}
		for _, w := range found {
			reported[w.Job]++
		}
		f.want("tasks counted", f.s.LongWaitingTasks(), 2*steps)
	}
	f.want("steps reported", len(reported), steps)
	for id, n := range reported {
		f.want(fmt.Sprintf("reports of %s in 10 s", id), n, 1)
	}
}

// Guards against a check that costs an overloaded leader much: it may read each server once for each reported step.
func TestCheckWaitingIsCheap(t *testing.T) {
	const servers, jobs, width = 1100, 100, 100
	f := advisedFixture(t, servers, advisedQueue("quotes", "pool", 0, 2, time.Second, 80*time.Millisecond, 2*time.Second))
	q := f.s.queues["quotes"]
	for i := range jobs {
		id := ident.JobID(fmt.Sprintf("j%03d", i))
		f.s.AddJob(f.now, &Job{ID: id, Queue: *q, Accepted: f.now, Steps: []Step{{Count: width, Demand: cores(4)}}}, Progress{}, false)
	}
	f.now = f.now.Add(longWait + time.Second)
	before := f.s.Counts().ServersRead
	begin := time.Now()
	found := f.s.CheckWaiting(f.now)
	t.Logf("a check took %v", time.Since(begin))
	f.want("steps", len(found), maxWaitReports)
	f.want("tasks counted", f.s.LongWaitingTasks(), jobs*width)
	if n := f.s.Counts().ServersRead - before; n > maxWaitReports*servers {
		t.Errorf("%d servers were read", n)
	}
	if n := testing.AllocsPerRun(5, func() { f.s.CheckWaiting(f.now) }); n > 3000 {
		t.Errorf("%.0f allocations", n)
	}
}
