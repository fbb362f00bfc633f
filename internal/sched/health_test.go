package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func TestSuspectedServers(t *testing.T) {
	const expected = time.Second
	step := Step{Count: 1, Demand: cores(4), Estimate: expected, Image: "i"}
	// slowRun starts a job on s1, the only server, and reports a progress of 10% after twice its expected duration.
	slowRun := func(f *fixture, id ident.JobID) {
		f.addJob(id, step)
		starts := f.takeStarts()
		if len(starts) != 1 {
			f.Fatalf("%d starts of job %s, want 1", len(starts), id)
		}
		f.advanceTime(2 * expected)
		f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: starts[0].Task, Run: starts[0].Run, Percent: 10}}})
	}
	for name, check := range map[string]func(*fixture){
		"slow runs of two jobs make a server suspected": func(f *fixture) {
			slowRun(f, "a")
			f.want("suspicions after one", f.s.servers["s1"].suspicions, 0)
			f.addJob("b", step)
			start := f.takeStarts()[0]
			f.advanceTime(2 * expected)
			rows := f.running("s1", TaskID{}, 0)
			f.answerPoll("s1", Inventory{Running: rows})
			f.want("suspicions after two", f.s.servers["s1"].suspicions, 1)
			f.addServer("s2", 16)
			f.advanceTime(100 * time.Millisecond)
			f.want("stops", len(f.stops) > 0, true)
			_ = start
		},
		"slow runs of one job don't make a server suspected": func(f *fixture) {
			slowRun(f, "a")
			for range 5 {
				f.advanceTime(300 * time.Millisecond)
				f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: TaskID{Job: "a"}, Run: 1, Percent: 12}}})
			}
			f.want("suspicions", f.s.servers["s1"].suspicions, 0)
		},
		"slow runs of an image with too few finished runs don't make a server suspected": func(f *fixture) {
			f.s.durations.seen[step.Image] = 0
			slowRun(f, "a")
			f.addJob("b", step)
			f.takeStarts()
			f.advanceTime(2 * expected)
			f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
			f.want("suspicions", f.s.servers["s1"].suspicions, 0)
		},
		"runs of twice the expected duration don't make a server suspected": func(f *fixture) {
			for n := range 8 {
				f.addJob(ident.JobID(fmt.Sprintf("j%d", n)), step)
				start := f.takeStarts()[0]
				f.advanceTime(2 * expected)
				f.endRun(start, OutcomeDone)
				f.recordProgress()
			}
			f.want("suspicions", f.s.servers["s1"].suspicions, 0)
		},
		"a suspected server gets one run at a time until one succeeds": func(f *fixture) {
			v := f.s.servers["s1"]
			f.s.suspect(v)
			f.addJob("a", step)
			f.addJob("b", step)
			f.want("starts in quarantine", len(f.takeStarts()), 0)
			f.advanceTime(quarantine)
			starts := f.takeStarts()
			f.want("starts on probation", len(starts), 1)
			f.advanceTime(expected)
			f.endRun(starts[0], OutcomeDone)
			f.want("suspicions", v.suspicions, 0)
			f.want("starts afterwards", len(f.takeStarts()), 1)
		},
		// Guards against servers that stay quarantined because a long-running task on them never ends, or because no run there
		// lasts long enough to clear them.
		"long-running tasks don't keep a suspected server from its probation": func(f *fixture) {
			f.addJob("l", Step{Count: 1, Demand: cores(1), LongRunning: true})
			f.takeStarts()
			f.s.suspect(f.s.servers["s1"])
			f.addJob("a", step)
			f.advanceTime(quarantine)
			f.want("starts on probation", len(f.takeStarts()), 1)
		},
		"a suspicion expires": func(f *fixture) {
			f.s.suspect(f.s.servers["s1"])
			f.advanceTime(quarantine + suspicionMemory + time.Second)
			f.want("suspicions", f.s.servers["s1"].suspicions, 0)
		},
		// Guards against tasks that fail on the same faulty server again and again because it is always the emptiest.
		"each consecutive suspicion doubles the quarantine": func(f *fixture) {
			v := f.s.servers["s1"]
			for n, want := range []time.Duration{quarantine, 2 * quarantine, 4 * quarantine, maxQuarantine, maxQuarantine} {
				f.s.suspect(v)
				f.want(fmt.Sprint("quarantine ", n), v.noStartsBefore.Sub(f.now), want)
				f.advanceTime(want)
			}
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

// Under the usual load, a tenth of the servers is seven times slower, as on glwfse-spoke scale-1. Guards against late jobs:
// of many tasks, nearly every job has one on a slow server.
func TestSlowServersUnderLoad(t *testing.T) {
	t.Parallel()
	kinds, servers := sampleExchange(0.3)
	p := newLoadSimulation(1, 12, kinds, servers)
	p.t = t
	for i, v := range servers {
		if i%10 == 3 {
			p.servers[v.ID].slowdown = 7
		}
	}
	for _, k := range kinds {
		p.addArrivals(k, 12*time.Second, 0, 0)
	}
	p.run(24 * time.Second)
	useful := p.usefulShare()
	t.Logf("useful share %v, starts %d", useful, p.starts)
	if useful["chip"] < 0.9 { // a tenth of the capacity is slow
		t.Errorf("useful share of chip orders is %.2f, want at least 0.9", useful["chip"])
	}
}
