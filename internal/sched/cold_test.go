package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// registerCold updates the registration of a server by which it is slow for some more time.
func (f *fixture) registerCold(id ServerID, left time.Duration) {
	v := testServer(id, 16)
	v.Cold = left
	f.s.Register(f.now, v)
	f.collectCommands()
}

// Guards against servers that are taken for faulty, and tasks that are expected to take long everywhere, because runs are slow for a while
// after the start of a server; and against a cold server that gets work while others are as suitable.
func TestSlownessAfterTheStartOfAServer(t *testing.T) {
	const expected = time.Second
	step := Step{Count: 1, Demand: cores(1), Estimate: expected, Image: "i"}
	slowRuns := func(f *fixture) { // of different jobs, each four times as long as expected
		for n := range 4 {
			f.addJob(ident.JobID(fmt.Sprintf("j%d", n)), step)
			start := f.takeStarts()[0]
			f.advanceTime(4 * expected)
			f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 80}}})
			f.advanceTime(expected / 2)
			f.endRun(start, OutcomeDone)
			f.recordProgress()
		}
	}
	for name, check := range map[string]func(*fixture){
		"slow runs there show nothing": func(f *fixture) {
			f.registerCold("s1", time.Minute)
			slowRuns(f)
			f.want("suspicions", f.s.servers["s1"].suspicions, 0)
			f.want("expected duration", f.s.durations.expect(&step), expected)
		},
		"slow runs elsewhere do": func(f *fixture) {
			slowRuns(f)
			f.want("expected duration has grown", f.s.durations.expect(&step) > expected, true)
		},
		"nor those that began before the end of the slowness": func(f *fixture) {
			f.registerCold("s1", expected)
			f.addJob("j", step)
			start := f.takeStarts()[0]
			f.advanceTime(4 * expected)
			f.endRun(start, OutcomeDone)
			f.want("expected duration", f.s.durations.expect(&step), expected)
		},
		"a later registration without slowness doesn't excuse earlier runs": func(f *fixture) {
			f.addJob("j", step)
			start := f.takeStarts()[0]
			f.advanceTime(2 * expected)
			f.registerCold("s1", 0)
			f.advanceTime(2 * expected)
			f.endRun(start, OutcomeDone)
			f.want("expected duration has grown", f.s.durations.expect(&step) > expected, true)
		},
		"a run isn't stopped as slow on a suspected server": func(f *fixture) {
			f.addJob("j", step)
			start := f.takeStarts()[0]
			f.registerCold("s1", time.Minute)
			f.s.suspect(f.s.servers["s1"])
			for n := range 5 {
				f.advanceTime(expected)
				f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 5 + n}}})
			}
			f.want("stops", len(f.stops), 0)
			f.registerCold("s1", 0)
			f.advanceTime(100 * time.Millisecond)
			f.want("stops afterwards", len(f.stops), 1)
		},
		"a run without progress is stopped only afterwards": func(f *fixture) {
			f.registerCold("s1", 5*time.Second)
			f.addJob("j", step)
			f.takeStarts()
			stopped := time.Duration(0)
			for at := time.Duration(0); len(f.stops) == 0 && at < time.Minute; at += 100 * time.Millisecond {
				f.advanceTime(100 * time.Millisecond)
				stopped = at
				if _, ok := f.polls["s1"]; ok {
					f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
				}
			}
			f.want("stopped after the slowness and the stall time", stopped > 5*time.Second+minStallTime && stopped < 10*time.Second, true)
		},
		"a success there ends a suspicion": func(f *fixture) {
			f.registerCold("s1", time.Minute)
			f.s.suspect(f.s.servers["s1"])
			f.addJob("j", step)
			f.advanceTime(quarantine)
			start := f.takeStarts()[0]
			f.advanceTime(4 * expected)
			f.endRun(start, OutcomeDone)
			f.want("suspicions", f.s.servers["s1"].suspicions, 0)
		},
		"other servers come first, although less full": func(f *fixture) {
			f.addJob("before", Step{Count: 8, Demand: cores(1)})
			f.takeStarts()
			f.registerCold("s1", time.Minute)
			f.addServer("s2", 16)
			f.addJob("j", step)
			f.want("server", f.takeStarts()[0].Server.ID, "s2")
			f.addJob("wide", Step{Count: 20, Demand: cores(1)})
			f.want("starts of a step that needs both", len(f.takeStarts()), 20)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.s.durations.seen[step.Image] = trustedRuns
			f.addServer("s1", 16)
			check(f)
		})
	}
}

// Guards against advisor calls that name the servers which have just started, as these are the emptiest, and against large tasks that are
// never advised while only such a server has room.
func TestAdvisorCallsAboutServersAfterTheirStart(t *testing.T) {
	f := newFixture(t, nil)
	queue := queueWithAdvisor()
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": queue}})
	f.addServer("s1", 16)
	f.addServer("s2", 16)
	f.s.servers["s2"].used = cores(6)
	f.registerCold("s1", time.Minute)
	f.s.passes++
	order := func() []ServerID {
		var ids []ServerID
		for _, v := range f.s.byFree("pool").servers {
			ids = append(ids, v.info.ID)
		}
		return ids
	}
	f.want("order", order(), []ServerID{"s2", "s1"})
	f.s.servers["s2"].used = cores(9)
	f.s.passes++
	f.want("order beside a fuller server", order(), []ServerID{"s1", "s2"})
	f.s.servers["s2"].used = cores(0)
	f.s.AddJob(f.now, &Job{ID: "j", Queue: queue, Steps: []Step{{Count: 40, Demand: cores(12)}}, Accepted: f.now}, Progress{}, false)
	g := f.s.jobs["j"].occurrences[0].groups[0]
	f.s.servers["s2"].used = cores(8)
	f.s.passes++
	g.advice.grants = append(g.advice.grants, grant{}) // from now on only servers with room are asked about
	f.want("servers of a call for large tasks", f.s.freshServers(g, &queue, 40), []ServerID{"s1"})
}
