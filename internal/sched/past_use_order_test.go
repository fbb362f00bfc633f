package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// addSurplus adds jobs of one-second tasks, most of them beyond the team's weight.
func (f *fixture) addSurplus(team ident.TeamID, from, jobs int) {
	for i := range jobs {
		f.addTeamJob(ident.JobID(fmt.Sprintf("%s-%04d", team, from+i)), team, Step{Count: 1, Demand: cores(1), Estimate: time.Second})
	}
}

// serve runs tasks of a second on one server and returns how many of each team have started.
func (f *fixture) serve(id ServerID, d time.Duration) map[ident.TeamID]int {
	f.Helper()
	started := map[ident.TeamID]int{}
	for range d / time.Second {
		f.advanceTime(time.Second)
		var ends []FinishedRun
		for _, p := range sortedRuns(f.s.servers[id]) {
			f.endNumbers[id]++
			ends = append(ends, FinishedRun{Number: f.endNumbers[id], Task: p.task.id(), Run: p.number, Outcome: OutcomeDone})
		}
		if _, ok := f.polls[id]; ok {
			f.answerPoll(id, Inventory{Finished: ends})
		}
		f.recordProgress()
		for _, cmd := range f.takeStarts() {
			started[f.s.jobs[cmd.Task.Job].spec.Team]++
		}
	}
	return started
}

// Guards against a team that is served like the others after ten hours of heavy use, and against one that pays for it for ever: of two teams
// of equal weight that both have more work than there is room for, the quiet one comes first, until both are served alike.
func TestBusyTeamComesSecondAndRecovers(t *testing.T) {
	const halfLife = 2 * time.Minute // the load is simulated, so the day is shortened
	f := pastUseFixture(t, halfLife, map[ident.TeamID]float64{"busy": 1, "quiet": 1})
	f.addServer("s1", 4)
	f.addTeamJob("long", "busy", Step{Count: 4, Demand: cores(1), LongRunning: true})
	f.collectCommands()
	f.want("long-running tasks", len(f.takeStarts()), 4)
	f.passTime(5*time.Minute, time.Second) // two and a half half-lives, as ten hours of four
	f.s.Cancel(f.now, "long")
	f.collectCommands()
	n := 0
	serve := func(d time.Duration) map[ident.TeamID]int {
		total := map[ident.TeamID]int{}
		for range d / (30 * time.Second) {
			f.addSurplus("busy", n, 150)
			f.addSurplus("quiet", n, 150)
			n += 150
			for id, k := range f.serve("s1", 30*time.Second) {
				total[id] += k
			}
		}
		return total
	}
	first := serve(30 * time.Second)
	if first["quiet"] < 9*first["busy"] {
		t.Errorf("in the first 30 s %v tasks have started", first)
	}
	serve(5 * time.Minute)
	f.want("levels differ by at most one", max(f.s.teams["busy"].level-f.s.teams["quiet"].level, f.s.teams["quiet"].level-f.s.teams["busy"].level) <= 1, true)
	then := serve(2 * time.Minute)
	t.Logf("starts in the first 30 s: %v; in two minutes, 5.5 minutes later: %v", first, then)
	if share := float64(then["busy"]) / float64(then["busy"]+then["quiet"]); share < 0.35 || share > 0.65 {
		t.Errorf("later %v tasks have started", then)
	}
}

// Guards against a busy team whose work within its weight, or whose urgent work, waits for the surplus of a team that is new today.
func TestBusyTeamKeepsItsWeight(t *testing.T) {
	f := pastUseFixture(t, 4*time.Hour, map[ident.TeamID]float64{"busy": 4, "new": 4})
	used := pastuse.New(4 * time.Hour)
	used.Add("busy", pastuse.Use{Total: 10000})
	f.s.RestorePastUse(f.now, used, 0)
	f.addSurplus("new", 0, 100)
	f.addSurplus("busy", 0, 100)
	urgent := testQueue()
	urgent.ID, urgent.Priority = "urgent", -1
	f.s.AddJob(f.now, &Job{ID: "urgent", Team: "busy", Queue: urgent, Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now}, Progress{}, false)
	f.addServer("s1", 30)
	started := map[ident.TeamID]int{}
	var order []string
	for _, cmd := range f.takeStarts() {
		started[f.s.jobs[cmd.Task.Job].spec.Team]++
		if f.s.jobs[cmd.Task.Job].surplus {
			order = append(order, string(f.s.jobs[cmd.Task.Job].spec.Team))
		}
	}
	// Each team is entitled to two seconds of its weight: 8 jobs. The urgent one is surplus, but of a more urgent queue.
	f.want("starts", fmt.Sprint(started), "map[busy:9 new:21]")
	f.want("teams of the surplus jobs", []string{order[0], order[1], order[len(order)-1]}, []string{"busy", "new", "new"})
}

// Guards against an order of many teams that isn't that of their use, and against counting that takes long with many teams.
func TestManyTeams(t *testing.T) {
	weights := map[ident.TeamID]float64{}
	used := pastuse.New(4 * time.Hour)
	name := func(i int) ident.TeamID { return ident.TeamID(fmt.Sprintf("t%03d", i)) }
	for i := range 110 {
		weights[name(i)] = 1
		if i > 0 { // the first team is new today
			used.Add(name(i), pastuse.Use{Total: pastuse.ShareSeconds(20 * float64(110-i))})
		}
	}
	f := pastUseFixture(t, 4*time.Hour, weights)
	f.s.RestorePastUse(f.now, used, 0)
	for i := range 110 {
		f.addSurplus(name(i), 0, 4) // two of them within the weight
	}
	var surplusTeams []ident.TeamID
	for _, r := range f.s.rankedGroups() {
		if r.rank.class == surplus {
			surplusTeams = append(surplusTeams, r.group.job.spec.Team)
		}
	}
	f.want("surplus jobs", len(surplusTeams), 220)
	f.want("first team", surplusTeams[0], name(0))
	for i := 1; i < len(surplusTeams); i++ {
		a, b := surplusTeams[i-1], surplusTeams[i]
		if f.s.teams[a].level > f.s.teams[b].level {
			t.Fatalf("%s (%+v) comes before %s (%+v)", a, used.Use(a), b, used.Use(b))
		}
	}
	f.want("teams in the dump", len(f.s.Dump(f.now).PastUse), 109)
}
