package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against runs that hold their tasks back for ever and that nothing reports: accepted tasks weren't run to the end of a
// day, as their runs were on a server that had been removed (issue 23).
func TestCheckRunsFindsStuckRuns(t *testing.T) {
	withLease := func(o *Options) { o.MaxRunLease = 10 * time.Second }
	stopBound := newFixture(t, withLease).s.options.maxStopTime()
	startOne := func(f *fixture) *run {
		f.addServer("s1", 16)
		f.addJob("a", Step{Count: 1, Demand: cores(1)})
		return f.s.jobs["a"].occurrences[0].groups[0].tasks.at(0).runs[0]
	}
	for name, c := range map[string]struct {
		happen func(*fixture)
		kinds  []StuckKind
	}{
		"a run in progress": {func(f *fixture) {
			startOne(f)
			f.takeStarts()
			f.now = f.now.Add(time.Hour)
		}, nil},
		"a run whose server is unknown": {func(f *fixture) {
			startOne(f)
			forgetServer(f, "s1")
		}, []StuckKind{StuckUnknownServer}},
		"a confirmed run whose server is unknown": {func(f *fixture) {
			startOne(f)
			f.takeStarts()
			forgetServer(f, "s1")
		}, []StuckKind{StuckUnknownServer}},
		"a run whose server was added again as another one": {func(f *fixture) {
			startOne(f)
			forgetServer(f, "s1")
			f.s.Register(f.now, testServer("s1", 16))
		}, []StuckKind{StuckUnknownServer}},
		"a stop on an unknown server of a job that has ended": {func(f *fixture) {
			p := startOne(f)
			f.s.Cancel(f.now, "a")
			f.recordProgress()
			forgetServer(f, "s1")
			f.want("phase", p.phase, phaseStopping)
		}, []StuckKind{StuckUnknownServer}},
		"a start that is unanswered for less than the bound": {func(f *fixture) {
			startOne(f)
			f.now = f.now.Add(maxStartTime)
		}, nil},
		"a start that is unanswered for longer": {func(f *fixture) {
			startOne(f)
			f.now = f.now.Add(maxStartTime + time.Millisecond)
		}, []StuckKind{StuckStart}},
		"a stop that is unfinished for less than the bound": {func(f *fixture) {
			f.s.stop(startOne(f), "test")
			f.now = f.now.Add(stopBound)
		}, nil},
		"a stop that is repeated without an answer for longer": {func(f *fixture) {
			p := startOne(f)
			f.s.stop(p, "test")
			for f.now.Sub(p.stoppingSince) <= stopBound {
				f.advanceTime(100 * time.Millisecond)
				if _, ok := f.polls["s1"]; ok {
					f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
				}
			}
			f.want("stops were repeated", len(f.stops) > 10, true)
		}, []StuckKind{StuckStop}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, withLease)
			c.happen(f)
			var kinds []StuckKind
			total := 0
			for _, r := range f.s.CheckRuns(f.now) {
				kinds = append(kinds, r.Kind)
				f.want("run", []any{r.Task.Job, r.Run, r.Server}, []any{"a", 1, "s1"})
			}
			f.want("kinds", kinds, c.kinds)
			for _, k := range StuckKinds {
				total += f.s.StuckRuns(k)
			}
			f.want("counted", total, len(c.kinds))
			f.want("found again", len(f.s.CheckRuns(f.now)), 0)
		})
	}
}

// Guards against a check that reports servers which only fall silent: the timeouts release their runs within the bounds.
func TestRunsOfSilentServersAreNotStuck(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){
		"starting": func(*fixture) {},
		"running":  func(f *fixture) { f.takeStarts() },
		"stopping": func(f *fixture) { f.s.Cancel(f.now, "a") },
		"stopping after a restart": func(f *fixture) {
			v := testServer("s1", 16)
			v.Incarnation = 2
			f.s.Register(f.now, v)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(o *Options) { o.MaxRunLease = 10 * time.Second })
			f.addServer("s1", 16)
			f.addJob("a", Step{Count: 4, Demand: cores(1)})
			prepare(f)
			for f.now.Sub(epochStart) < time.Minute {
				if poll, ok := f.polls["s1"]; ok {
					delete(f.polls, "s1")
					f.s.PollFailed(f.now, "s1", poll.Serial)
				}
				starts := f.starts
				f.starts = nil
				for _, cmd := range starts {
					f.s.StartUnanswered(f.now, "s1", cmd.Task, cmd.Run, true)
				}
				f.advanceTime(100 * time.Millisecond)
				for _, r := range f.s.CheckRuns(f.now) {
					t.Fatalf("after %s: %+v", f.now.Sub(epochStart), r)
				}
			}
			f.want("runs", len(f.s.servers["s1"].runs), 0)
		})
	}
}

// Guards against a log that a fault of many runs floods, and against runs that are never reported because there were too many.
func TestStuckRunsAreReportedInParts(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", maxStuckReports+20)
	f.s.servers["s1"].info.Capacity.Memory *= 10
	f.addJob("a", Step{Count: maxStuckReports + 20, Demand: cores(1)})
	forgetServer(f, "s1")
	for check, want := range []int{maxStuckReports, 20, 0} {
		f.want(fmt.Sprint("reported by check ", check), len(f.s.CheckRuns(f.now)), want)
		f.want("counted", f.s.StuckRuns(StuckUnknownServer), maxStuckReports+20)
	}
}

// BenchmarkCheckRuns checks the running tasks of the largest installation, two thirds of them in jobs of one task.
func BenchmarkCheckRuns(b *testing.B) {
	s := New(Options{RunLease: 4 * time.Second, MaxRunLease: 10 * time.Second}, epochStart)
	for n := range 6300 {
		s.Register(epochStart, testServer(ServerID(fmt.Sprint("s", n)), 16))
		recordServers(s)
	}
	for n := range 26000 {
		add := func(id string, tasks int) {
			j := &Job{ID: ident.JobID(id), Team: "blue", Queue: testQueue(), Steps: []Step{{Count: tasks, Demand: cores(1)}}, Accepted: epochStart}
			s.AddJob(epochStart, j, Progress{}, false)
			for t := range s.jobs[j.ID].occurrences[0].groups[0].tasks.all() {
				s.start(t, s.servers[ServerID(fmt.Sprint("s", (n+t.index)%6300))], 1, "")
				s.confirm(t.runs[0])
			}
		}
		add(fmt.Sprint("a", n), 1)
		if n%100 == 0 {
			add(fmt.Sprint("b", n), 50)
		}
	}
	for b.Loop() {
		if found := s.CheckRuns(epochStart); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
}
