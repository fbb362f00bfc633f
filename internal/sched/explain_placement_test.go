package sched

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

func (f *fixture) explain(query PlacementQuery) PlacementExplanation {
	f.Helper()
	e, err := f.s.ExplainPlacement(f.now, query)
	if err != nil {
		f.Fatal(err)
	}
	return e
}

func hypothetical(steps ...Step) PlacementQuery {
	return PlacementQuery{Queue: "quotes", Team: "blue", Steps: steps}
}

// Guards against an explanation that differs from what the scheduler then does.
func TestExplainedPlacementIsThatOfThePass(t *testing.T) {
	for name, c := range map[string]struct {
		step     Step
		room     int
		heldBy   WaitReason
		statuses map[ServerStatus]int
	}{
		"room for all":      {Step{Count: 2, Demand: cores(1)}, 2, "", map[ServerStatus]int{ServerFree: 2, ServerFull: 1}},
		"room for some":     {Step{Count: 20, Demand: cores(4)}, 4, "", map[ServerStatus]int{ServerFree: 2, ServerFull: 1}},
		"too large":         {Step{Count: 1, Demand: cores(11)}, 0, WaitRoom, map[ServerStatus]int{ServerUnsuitable: 3}},
		"no label":          {Step{Count: 1, Demand: cores(1), Label: "x"}, 0, WaitRoom, map[ServerStatus]int{ServerUnsuitable: 3}},
		"spread":            {Step{Count: 6, Demand: cores(1), MaxPerServer: 1}, 2, "", map[ServerStatus]int{ServerFree: 2, ServerFull: 1}},
		"gang that fits":    {Step{Count: 4, Demand: cores(4), Gang: true}, 4, "", map[ServerStatus]int{ServerFree: 2, ServerFull: 1}},
		"gang too wide":     {Step{Count: 5, Demand: cores(4), Gang: true}, 4, WaitRoom, map[ServerStatus]int{ServerFree: 2, ServerFull: 1}},
		"above the limit":   {Step{Count: 1, Demand: resource.Vector{CPU: 1, GPUs: 5}}, 1, WaitTeamLimit, map[ServerStatus]int{ServerFree: 2, ServerFull: 1}},
		"hardly any demand": {Step{Count: 50000, Demand: resource.Vector{CPU: 1}}, 2 * maxRoomPerServer, "", map[ServerStatus]int{ServerFree: 2, ServerFull: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.s.Configure(f.now, Config{
				Queues: map[ident.QueueID]Queue{"quotes": testQueue()},
				Teams:  map[ident.TeamID]Team{"blue": {ID: "blue", Limit: resource.Vector{GPUs: 4}}, "red": {ID: "red"}},
			})
			for _, id := range []ServerID{"s1", "s2", "s3"} {
				f.addServer(id, 10)
			}
			f.addTeamJob("full", "red", Step{Count: 1, Demand: resource.Vector{CPU: resource.Cores(10)}})
			f.collectCommands()
			f.want("the full server", len(f.takeStarts()), 1)
			e := f.explain(hypothetical(c.step))
			f.want("room, held by", fmt.Sprint(e.Room, e.HeldBy), fmt.Sprint(c.room, c.heldBy))
			f.want("statuses", e.Servers, c.statuses)
			if c.step.Count > 1000 {
				return
			}
			f.addJob("a", c.step)
			starts := f.takeStarts()
			want := 0
			if c.heldBy == "" {
				want = c.room
			}
			f.want("starts", len(starts), want)
			if len(starts) > 0 {
				f.want("first server", starts[0].Server.ID, e.Candidates[0].Server)
			}
		})
	}
}

// Guards against a query that changes what it asks about: tokens, waiting steps, runs or commands.
func TestExplainPlacementIsReadOnly(t *testing.T) {
	f := pastUseFixture(t, time.Hour, map[ident.TeamID]float64{"blue": 1})
	f.addServer("s1", 2)
	f.addSurplus("blue", 0, 5)
	f.collectCommands()
	f.takeStarts()
	state := func() string {
		return fmt.Sprintf("%+v %+v %d %d %d %v", *f.s.teams["blue"], f.s.counts, len(f.s.groups), len(f.s.jobs), len(f.s.commands), f.s.passNeeded)
	}
	before := state()
	for _, query := range []PlacementQuery{
		{Job: "blue-0004"},
		hypothetical(Step{Count: 3, Demand: cores(1), LongRunning: true}),
		hypothetical(Step{Count: 3, Demand: cores(1)}),
	} {
		f.explain(query)
		_, _ = f.s.ExplainPlacement(f.now, PlacementQuery{Queue: "quotes", Team: "nobody", Steps: []Step{{Count: 1, Demand: cores(1)}}})
		f.want("state", state(), before)
	}
	f.want("teams", len(f.s.teams), 1)
}

// Guards against an explanation that doesn't tell why a step waits behind others: its team's standing and its place in the order.
func TestExplainPlacementTellsTheStanding(t *testing.T) {
	f := pastUseFixture(t, time.Hour, map[ident.TeamID]float64{"blue": 1, "new": 1})
	used := pastuse.New(time.Hour)
	used.Add("blue", pastuse.Use{Total: 100, Copies: 10})
	f.s.RestorePastUse(f.now, used, 0)
	f.addSurplus("new", 0, 10)
	f.addSurplus("blue", 0, 10)
	e := f.explain(PlacementQuery{Job: "blue-0005"})
	// Of both teams two jobs are within the weight; of the surplus, all eight of the new team and three older ones of its own come first.
	f.want("first, after", []int{e.StepsFirst, e.TasksFirst, e.StepsAfter}, []int{4 + 8 + 3, 4 + 8 + 3, 4})
	f.want("rank", e.Rank[:46], "beyond the team's weight, level 11 of past use")
	f.want("surplus, level, total, copies", fmt.Sprint(e.Team.Surplus, e.Team.PastUse.Level, e.Team.PastUse.Total, e.Team.PastUse.Copies), "true 11 100 10")
	f.want("held by", e.HeldBy, WaitRoom)
	f.now = f.now.Add(1500 * time.Millisecond)
	e = f.explain(hypothetical(Step{Count: 1, Demand: cores(1)}))
	f.want("left, surplus", fmt.Sprint(e.Team.Left, e.Team.Surplus), "1.5 false")
}

// Guards against errors that don't tell what was wrong, and against queries that no job could be and that would take the leader's time.
func TestExplainPlacementErrors(t *testing.T) {
	step := Step{Count: 1, Demand: cores(1)}
	number := func(n int) *int { return &n }
	for name, c := range map[string]struct {
		query PlacementQuery
		want  error
	}{
		"nothing":         {PlacementQuery{}, ErrUnknownQueue},
		"unknown job":     {PlacementQuery{Job: "b"}, ErrUnknownJob},
		"unknown step":    {PlacementQuery{Job: "a", Step: number(7)}, ErrBadQuery},
		"unknown queue":   {PlacementQuery{Queue: "b", Team: "blue", Steps: []Step{step}}, ErrUnknownQueue},
		"unknown team":    {PlacementQuery{Queue: "quotes", Team: "b", Steps: []Step{step}}, ErrUnknownTeam},
		"no steps":        {hypothetical(), ErrBadQuery},
		"many steps":      {hypothetical(make([]Step, 65)...), ErrBadQuery},
		"no tasks":        {hypothetical(Step{Demand: cores(1)}), ErrBadQuery},
		"many tasks":      {hypothetical(Step{Count: 1 << 30, Demand: cores(1)}), ErrBadQuery},
		"no demand":       {hypothetical(Step{Count: 1}), ErrBadQuery},
		"negative demand": {hypothetical(Step{Count: 1, Demand: cores(-1)}), ErrBadQuery},
		"later step":      {hypothetical(Step{Count: 1, Demand: cores(1), After: []int{0}}), ErrBadQuery},
		"negative step":   {PlacementQuery{Queue: "quotes", Team: "blue", Steps: []Step{step}, Step: number(-1)}, ErrBadQuery},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addJob("a", step)
			if _, err := f.s.ExplainPlacement(f.now, c.query); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against an answer without bound in a large installation, and one that is compared with steps without bound.
func TestExplainPlacementIsBounded(t *testing.T) {
	f := pastUseFixture(t, time.Hour, map[ident.TeamID]float64{"blue": 1})
	for i := range 350 {
		f.s.Register(f.now, testServer(ServerID(fmt.Sprintf("s%03d", i)), 10))
	}
	f.addSurplus("blue", 0, maxRankedForQuery+10)
	e := f.explain(hypothetical(Step{Count: 100, Demand: cores(1)}))
	f.want("truncated, listed, counted", fmt.Sprint(e.Truncated, len(e.Candidates)+len(e.Others) <= 2*maxListedServers, e.Servers[ServerUnattached]), "true true 350")
	f.want("compared", e.StepsFirst+e.StepsAfter, maxRankedForQuery)
}
