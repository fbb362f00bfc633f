package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func TestSuspectedServers(t *testing.T) {
	const usual = time.Second
	step := Step{Count: 1, Demand: cores(4), Estimate: usual, Image: "i"}
	// slowRun starts a job, on s1 as the only server, and lets a look show it at a tenth after twice its usual time.
	slowRun := func(f *fixture, id ident.JobID) {
		f.addJob(id, step)
		o := f.takeStarts()
		if len(o) != 1 {
			f.Fatalf("%d starts of job %s, want 1", len(o), id)
		}
		f.advanceTime(2 * usual)
		f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: o[0].Task, Run: o[0].Run, Percent: 10}}})
	}
	for name, check := range map[string]func(*fixture){
		"runs of two jobs that crawl make a server suspected": func(f *fixture) {
			slowRun(f, "a")
			f.want("strikes after one", f.s.servers["s1"].suspicions, 0)
			f.addJob("b", step)
			o := f.takeStarts()[0]
			f.advanceTime(2 * usual)
			rows := f.running("s1", TaskID{}, 0)
			f.answerPoll("s1", Inventory{Running: rows})
			f.want("strikes after two", f.s.servers["s1"].suspicions, 1)
			f.addServer("s2", 16)
			f.advanceTime(100 * time.Millisecond)
			f.want("stops", len(f.stops) > 0, true)
			_ = o
		},
		"one long job says nothing about a server": func(f *fixture) {
			slowRun(f, "a")
			for range 5 {
				f.advanceTime(300 * time.Millisecond)
				f.answerPoll("s1", Inventory{Running: []ActiveRun{{Task: TaskID{Job: "a"}, Run: 1, Percent: 12}}})
			}
			f.want("strikes", f.s.servers["s1"].suspicions, 0)
		},
		"runs of an image that isn't known yet say nothing about a server": func(f *fixture) {
			f.s.durations.seen[step.Image] = 0
			slowRun(f, "a")
			f.addJob("b", step)
			f.takeStarts()
			f.advanceTime(2 * usual)
			f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
			f.want("strikes", f.s.servers["s1"].suspicions, 0)
		},
		"uneven tasks say nothing about a server": func(f *fixture) {
			for n := range 8 {
				f.addJob(ident.JobID(fmt.Sprintf("j%d", n)), step)
				o := f.takeStarts()[0]
				f.advanceTime(2 * usual)
				f.endRun(o, OutcomeDone)
				f.recordProgress()
			}
			f.want("strikes", f.s.servers["s1"].suspicions, 0)
		},
		"a suspected server gets one run at a time until one ends well": func(f *fixture) {
			v := f.s.servers["s1"]
			f.s.suspect(v)
			f.addJob("a", step)
			f.addJob("b", step)
			f.want("starts in quarantine", len(f.takeStarts()), 0)
			f.advanceTime(quarantine)
			o := f.takeStarts()
			f.want("starts on probation", len(o), 1)
			f.advanceTime(usual)
			f.endRun(o[0], OutcomeDone)
			f.want("strikes", v.suspicions, 0)
			f.want("starts afterwards", len(f.takeStarts()), 1)
		},
		// Guards against servers that stay out of use because a lasting task on them never ends, or because no run is long
		// enough there to clear them.
		"lasting tasks don't keep a suspected server from its trial": func(f *fixture) {
			f.addJob("l", Step{Count: 1, Demand: cores(1), LongRunning: true})
			f.takeStarts()
			f.s.suspect(f.s.servers["s1"])
			f.addJob("a", step)
			f.advanceTime(quarantine)
			f.want("starts on probation", len(f.takeStarts()), 1)
		},
		"a suspicion is forgotten": func(f *fixture) {
			f.s.suspect(f.s.servers["s1"])
			f.advanceTime(quarantine + suspicionMemory + time.Second)
			f.want("strikes", f.s.servers["s1"].suspicions, 0)
		},
		// Guards against tasks that are lost on the same sick server again and again, as it is always the emptiest.
		"each suspicion in a row doubles the pause": func(f *fixture) {
			v := f.s.servers["s1"]
			for n, want := range []time.Duration{quarantine, 2 * quarantine, 4 * quarantine, maxQuarantine, maxQuarantine} {
				f.s.suspect(v)
				f.want(fmt.Sprint("pause ", n), v.noStartsBefore.Sub(f.now), want)
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

// The load is the usual one while a tenth of the servers takes seven times as long, as on glwfse-spoke scale-1. Guards
// against jobs of many tasks of which nearly each has one on a slow server.
func TestSlowServersUnderLoad(t *testing.T) {
	kinds, servers := sampleExchange(0.3)
	p := newLoadSimulation(1, 12, kinds, servers)
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
	t.Logf("worth %v, starts %d", useful, p.starts)
	if useful["chip"] < 0.9 { // a tenth of the room is slow
		t.Errorf("chip orders are worth %.2f, want 0.9", useful["chip"])
	}
}
