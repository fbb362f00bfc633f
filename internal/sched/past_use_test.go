package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// pastUseFixture returns a fixture that counts past use with a half-life, with teams of the given weights.
func pastUseFixture(t *testing.T, halfLife time.Duration, weights map[ident.TeamID]float64) *fixture {
	f := newFixture(t, func(o *Options) { o.PastUseHalfLife = halfLife })
	teams := map[ident.TeamID]Team{}
	for id, w := range weights {
		teams[id] = Team{ID: id, Weight: w}
	}
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": testQueue()}, Teams: teams})
	return f
}

// addTeamJob adds a job of a team with steps.
func (f *fixture) addTeamJob(id ident.JobID, team ident.TeamID, steps ...Step) {
	f.s.AddJob(f.now, &Job{ID: id, Team: team, Queue: testQueue(), Steps: steps, Accepted: f.now}, Progress{}, false)
}

// passTime lets time pass in steps, in which only the past use is counted.
func (f *fixture) passTime(d, step time.Duration) {
	for ; d > 0; d -= step {
		f.now = f.now.Add(min(d, step))
		f.s.now = f.now
		f.s.updatePastUse()
	}
}

func (f *fixture) wantUse(what string, team ident.TeamID, want pastuse.Use) {
	f.Helper()
	l, _ := f.s.PastUse(f.now)
	got := l.Use(team)
	for name, pair := range map[string][2]pastuse.ShareSeconds{
		"total": {got.Total, want.Total}, "copies": {got.Copies, want.Copies}, "discarded": {got.Discarded, want.Discarded},
	} {
		if math.Abs(float64(pair[0]-pair[1])) > 0.01 {
			f.Errorf("%s: %s is %v, want %v", what, name, pair[0], pair[1])
		}
	}
}

const centuries = 200 * 365 * 24 * time.Hour // a half-life that leaves no decay to see

// Guards against use that is counted only at the end of runs, twice at the end, or by another resource than the dominant one, and against
// use of ended runs that goes on.
func TestUseIsCountedOnce(t *testing.T) {
	f := pastUseFixture(t, centuries, map[ident.TeamID]float64{"blue": 0, "red": 0})
	f.addServer("s1", 10)
	f.addTeamJob("a", "blue", Step{Count: 2, Demand: cores(2)}) // 4 of 10 cores, 2 of 64 GB
	f.addTeamJob("b", "red", Step{Count: 1, Demand: cores(1)})
	f.collectCommands()
	starts := f.takeStarts()
	f.want("starts", len(starts), 3)
	f.passTime(50*time.Second, time.Second)
	f.wantUse("blue, in progress", "blue", pastuse.Use{Total: 20})
	f.wantUse("red, in progress", "red", pastuse.Use{Total: 5})
	f.endRun(starts[0], OutcomeDone)
	f.wantUse("blue, at the end of one run", "blue", pastuse.Use{Total: 20})
	f.passTime(10*time.Second, 700*time.Millisecond)
	f.wantUse("blue, after the end of one run", "blue", pastuse.Use{Total: 22})
	f.want("level", f.s.teams["blue"].level > f.s.teams["red"].level, true)
}

// Guards against use that no end names: copies beside another run, and runs without a result.
func TestCopiesAndDiscardedRunsAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		step     Step
		outcomes []Outcome
		want     pastuse.Use
	}{
		"done":             {Step{Count: 1, Demand: cores(1)}, []Outcome{OutcomeDone}, pastuse.Use{Total: 2}},
		"failed":           {Step{Count: 1, Demand: cores(1)}, []Outcome{OutcomeFailed}, pastuse.Use{Total: 2, Discarded: 2}},
		"stopped":          {Step{Count: 1, Demand: cores(1)}, []Outcome{OutcomeStopped}, pastuse.Use{Total: 2, Discarded: 2}},
		"long-running":     {Step{Count: 1, Demand: cores(1), LongRunning: true}, []Outcome{OutcomeStopped}, pastuse.Use{Total: 2}},
		"members of gangs": {Step{Count: 2, Demand: cores(1), Gang: true}, []Outcome{OutcomeDone, OutcomeDone}, pastuse.Use{Total: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			f := pastUseFixture(t, centuries, map[ident.TeamID]float64{"blue": 0})
			f.addServer("s1", 10)
			f.addTeamJob("a", "blue", c.step)
			f.collectCommands()
			starts := f.takeStarts()
			f.want("starts", len(starts), len(c.outcomes))
			f.passTime(20*time.Second, time.Second)
			var ends []FinishedRun
			for i, outcome := range c.outcomes {
				ends = append(ends, FinishedRun{Number: uint64(i + 1), Task: starts[i].Task, Run: starts[i].Run, Outcome: outcome})
			}
			f.answerPoll("s1", Inventory{Finished: ends})
			f.wantUse("after the end", "blue", c.want)
		})
	}
}

// Guards against copies that count as discarded work, and against originals that do once their copy is done first.
func TestSpeculativeCopiesAreNamed(t *testing.T) {
	f := pastUseFixture(t, centuries, map[ident.TeamID]float64{"blue": 0})
	f.addServer("s1", 10)
	f.addServer("s2", 10)
	f.addTeamJob("a", "blue", Step{Count: 1, Demand: cores(1), Speculative: true})
	f.collectCommands()
	first := f.takeStarts()[0]
	f.passTime(20*time.Second, time.Second)
	g := f.s.jobs["a"].occurrences[0].groups[0]
	task := g.tasks.at(0)
	f.s.startCopy(task, task.runs[0])
	f.collectCommands()
	second := f.takeStarts()
	f.want("copies", len(second), 1)
	f.passTime(10*time.Second, time.Second)
	f.endRun(first, OutcomeDone)
	f.endRun(second[0], OutcomeStopped)
	f.wantUse("the copy was stopped", "blue", pastuse.Use{Total: 2, Copies: 0.5})
}

// Guards against a takeover that counts a run twice: the former leader's record holds its use up to the record, so it counts from when
// this leader learns of it.
func TestInheritedRunsCountFromTheTakeover(t *testing.T) {
	former := pastuse.New(centuries)
	former.Add("blue", pastuse.Use{Total: 100, Discarded: 5})
	f := newFixture(t, func(o *Options) { o.PastUseHalfLife, o.RunBase = centuries, 1000 })
	f.s.AddJob(f.now, &Job{ID: "a", Team: "blue", Queue: testQueue(), Steps: []Step{{Count: 1, Demand: cores(5)}}, Accepted: f.now.Add(-time.Hour)}, Progress{}, true)
	f.s.RestorePastUse(f.now, former, 5*time.Second)
	f.s.Register(f.now, testServer("s1", 10))
	f.collectCommands()
	f.passTime(4*time.Second, time.Second) // the inventory of the server isn't known
	f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: TaskID{Job: "a"}, Run: 7, Percent: 50}}})
	f.passTime(10*time.Second, time.Second)
	f.wantUse("after the takeover", "blue", pastuse.Use{Total: 105, Discarded: 5})
}

// Guards against a record that decays by a wrong time: while no daemon led, or after a step of the clock.
func TestRestoreDecaysByTheAge(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want pastuse.ShareSeconds
	}{
		"a half-life without a leader": {time.Hour, 500},
		"clock set back":               {-time.Hour, 1000},
		"clock set forwards":           {8 * 24 * time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			former := pastuse.New(time.Hour)
			former.Add("blue", pastuse.Use{Total: 1000})
			f := pastUseFixture(t, time.Hour, map[ident.TeamID]float64{"blue": 1})
			f.s.RestorePastUse(f.now, former, c.age)
			f.wantUse("restored", "blue", pastuse.Use{Total: c.want})
			f.want("use of the record", former.Use("blue").Total, 1000)
		})
	}
}

// Guards against a reset that runs in progress undo, and against one of a team that nobody knows.
func TestResetPastUse(t *testing.T) {
	f := pastUseFixture(t, centuries, map[ident.TeamID]float64{"blue": 0, "idle": 0})
	f.addServer("s1", 10)
	f.addTeamJob("a", "blue", Step{Count: 1, Demand: cores(5)})
	f.collectCommands()
	f.takeStarts()
	f.passTime(100*time.Second, time.Second)
	_, before := f.s.PastUse(f.now)
	f.now = f.now.Add(900 * time.Millisecond)
	former, known := f.s.ResetPastUse(f.now, "blue")
	f.want("known, level", []any{known, f.s.teams["blue"].level}, []any{true, 0})
	if math.Abs(float64(former.Total)-50.45) > 0.01 {
		t.Errorf("former use %+v, want 50.45", former)
	}
	if _, after := f.s.PastUse(f.now); after == before {
		t.Error("a reset has to be recorded")
	}
	f.passTime(2*time.Second, time.Second)
	f.wantUse("after the reset", "blue", pastuse.Use{Total: 1})
	_, known = f.s.ResetPastUse(f.now, "idle")
	f.want("configured team without use", known, true)
	_, known = f.s.ResetPastUse(f.now, "nobody")
	f.want("unknown team", known, false)
}

// Guards against past use that is counted, or changes the order, in an installation that has turned it off.
func TestPastUseOff(t *testing.T) {
	former := pastuse.New(time.Hour)
	former.Add("blue", pastuse.Use{Total: 1000})
	f := pastUseFixture(t, 0, map[ident.TeamID]float64{"blue": 1})
	f.s.RestorePastUse(f.now, former, 0)
	f.addServer("s1", 10)
	f.addTeamJob("a", "blue", Step{Count: 1, Demand: cores(5)})
	f.collectCommands()
	f.endRun(f.takeStarts()[0], OutcomeFailed)
	f.passTime(time.Hour, time.Minute)
	l, changes := f.s.PastUse(f.now)
	f.want("teams, changes, level", []any{l.Len(), changes, f.s.teams["blue"].level}, []any{0, 0, 0})
}

// randomScheduler returns a scheduler with random jobs of some teams, all of which wait. The same seed gives the same jobs.
func randomScheduler(t *testing.T, seed uint64, halfLife time.Duration) *fixture {
	random := rand.New(rand.NewPCG(seed, 4))
	weights := map[ident.TeamID]float64{}
	teams := 1 + random.IntN(8)
	for i := range teams {
		weights[ident.TeamID(fmt.Sprintf("t%d", i))] = float64(random.IntN(4)) / 2
	}
	f := pastUseFixture(t, halfLife, weights)
	f.now = f.now.Add(time.Minute)
	for i := range 60 {
		q := testQueue()
		q.Priority = random.IntN(3)
		q.ID = ident.QueueID(fmt.Sprintf("q%d", q.Priority))
		step := Step{Count: 1 + random.IntN(3), Demand: cores(1), Estimate: time.Duration(random.IntN(5000)) * time.Millisecond, LongRunning: random.IntN(8) == 0}
		f.s.AddJob(f.now, &Job{
			ID: ident.JobID(fmt.Sprintf("j%02d", i)), Team: ident.TeamID(fmt.Sprintf("t%d", random.IntN(teams))), Queue: q, Steps: []Step{step},
			Accepted: f.now.Add(-time.Duration(random.IntN(40000)) * time.Millisecond),
		}, Progress{}, false)
	}
	if halfLife > 0 {
		l := pastuse.New(halfLife)
		for id := range weights {
			l.Add(id, pastuse.Use{Total: pastuse.ShareSeconds(math.Exp(random.Float64()*14 - 3))})
		}
		f.s.RestorePastUse(f.now, l, 0)
	}
	return f
}

// Guards against past use that sets back work within its team's weight, or more urgent work: for random jobs the order of the groups that
// are on time or late is the same as without past use, all of them come before the others, and the others keep the order of their classes
// and priorities.
func TestPastUseOrdersOnlySurplusAndPastDeadline(t *testing.T) {
	reordered := 0
	for seed := range uint64(400) {
		with, without := randomScheduler(t, seed, 4*time.Hour).s.rankedGroups(), randomScheduler(t, seed, 0).s.rankedGroups()
		protected := func(all []rankedGroup) []string {
			var names []string
			for _, r := range all {
				if r.rank.class == onTime || r.rank.class == late {
					names = append(names, string(r.group.job.spec.ID))
				}
			}
			return names
		}
		classes := func(all []rankedGroup) []string {
			var rows []string
			for _, r := range all {
				rows = append(rows, fmt.Sprint(r.rank.class, r.rank.priority))
			}
			return rows
		}
		if a, b := protected(with), protected(without); !slices.Equal(a, b) {
			t.Fatalf("seed %d: order with past use %v, without %v", seed, a, b)
		}
		if a, b := classes(with), classes(without); !slices.Equal(a, b) {
			t.Fatalf("seed %d: classes with past use %v, without %v", seed, a, b)
		}
		for i := range with {
			if with[i].group.job.spec.ID != without[i].group.job.spec.ID {
				reordered++
				break
			}
		}
	}
	if reordered < 100 {
		t.Errorf("only %d of 400 random orders have changed, so the check shows little", reordered)
	}
}

// Guards against ranks that contradict each other, with which sorting would give any order.
func TestRanksAreTransitive(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var all []rank
	for range 40 {
		r := rank{class: rankClass(random.IntN(4)), priority: random.IntN(2), slack: time.Duration(random.IntN(3))}
		if r.class == surplus || r.class == pastDeadline {
			r.level = pastuse.Level(random.IntN(3))
		}
		all = append(all, r)
	}
	for _, a := range all {
		for _, b := range all {
			if a.compare(b) != -b.compare(a) {
				t.Fatalf("%+v and %+v", a, b)
			}
			for _, c := range all {
				if a.compare(b) <= 0 && b.compare(c) <= 0 && a.compare(c) > 0 {
					t.Fatalf("%+v, %+v and %+v", a, b, c)
				}
			}
		}
	}
}

// Guards against use that is counted twice, and decay that is applied twice, if a caller read the clock before it waited for the lock.
func TestUseIsCountedOnceIfTheTimeIsOlder(t *testing.T) {
	f := pastUseFixture(t, centuries, map[ident.TeamID]float64{"blue": 0})
	f.addServer("s1", 10)
	f.addTeamJob("a", "blue", Step{Count: 1, Demand: cores(5)})
	f.collectCommands()
	f.passTime(20*time.Second, time.Second)
	f.s.PastUse(f.now.Add(-10 * time.Second))
	if f.s.pastUse.updatedAt != f.now {
		t.Errorf("use has decayed up to %s, want %s", f.s.pastUse.updatedAt, f.now)
	}
	f.wantUse("after a call with an older time", "blue", pastuse.Use{Total: 10})
}
