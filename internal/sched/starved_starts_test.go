package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// The load takes more of the leader than there is for 30 s. Guards against jobs with nothing running while most servers are free: a task
// that failed in a step of 72 had no second run for 20 s, as steps of higher rank took all starts and no advice was asked for (issue 40).
func TestOverloadLeavesNoJobWithoutStarts(t *testing.T) {
	t.Parallel()
	const arrivals = 30 * time.Second
	kinds, servers := quoting()
	p := newOverload(t, 0, 48, kinds, servers)
	p.replyCost, p.passCost = 1200*time.Microsecond, 3*time.Millisecond
	for _, k := range kinds {
		p.addArrivals(k, arrivals)
	}
	p.after(3*time.Second, p.takeOver)
	idleSince, waited := map[ident.JobID]time.Time{}, map[ident.JobID]time.Duration{}
	p.every(500*time.Millisecond, func() {
		idle := p.idleJobs()
		for _, j := range p.specs {
			switch {
			case !idle[j.ID]:
				delete(idleSince, j.ID)
			case idleSince[j.ID].IsZero():
				idleSince[j.ID] = p.now
			default:
				waited[j.ID] = max(waited[j.ID], p.now.Sub(idleSince[j.ID]))
			}
		}
	})
	p.run(arrivals + 5*time.Second)
	for id, d := range waited {
		if d > finishBound {
			t.Errorf("%s had nothing running for %v", id, d)
		}
	}
	if p.starts < 9000 {
		t.Errorf("%d starts: the load isn't the one that is meant", p.starts)
	}
}

// Guards against starved steps that take more of an overloaded leader's starts than their share, or less.
func TestStarvedStepsTakeTheirShareOfStarts(t *testing.T) {
	t.Parallel()
	const passes, width = 100, 64
	for name, c := range map[string]struct {
		running  int           // tasks that run all the time, of 800
		interval time.Duration // between passes
		atLeast  float64       // share of the starts
		most     float64
	}{
		"steps that wait long": {interval: 100 * time.Millisecond, atLeast: 0.9 * starvedStartShare, most: 1.1 * starvedStartShare},
		"servers that look two thirds full": {
			running: 530, interval: 100 * time.Millisecond, atLeast: 0.9 * starvedStartShare, most: 1.1 * starvedStartShare,
		},
		"servers that are nearly full":   {running: 650, interval: 100 * time.Millisecond},
		"steps that haven't waited long": {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			urgent, old := testQueue(), testQueue()
			urgent.ID, old.ID, old.Priority = "urgent", "old", 1
			f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"urgent": urgent, "old": old}})
			for i := range 50 {
				f.addServer(ServerID(fmt.Sprintf("s%03d", i)), 16)
			}
			add := func(id ident.JobID, q Queue, width int) {
				f.s.AddJob(f.now, &Job{ID: id, Queue: q, Steps: []Step{{Count: width, Demand: cores(1)}}, Accepted: f.now}, Progress{}, false)
			}
			add("running", urgent, c.running)
			f.collectCommands()
			f.takeStarts()
			f.s.delay.window = width
			for i := range 100 {
				add(ident.JobID(fmt.Sprintf("old-%d", i)), old, 20)
			}
			started := map[ident.QueueID]int{}
			for i := range passes {
				f.now = f.now.Add(c.interval)
				add(ident.JobID(fmt.Sprintf("urgent-%d", i)), urgent, width)
				f.s.passNeeded = true
				f.collectCommands()
				if c.interval > 0 && f.now.Sub(epochStart) <= starvedAfter {
					clear(started) // none has waited long yet
				}
				for _, cmd := range f.starts {
					started[f.s.jobs[cmd.Task.Job].queue.ID]++
					f.s.StartRefused(f.now, f.now, cmd.Server.ID, cmd.Task, cmd.Run, RefusedOldRun, 0)
					f.s.completeTask(f.s.lookup(cmd.Task))
				}
				f.starts = nil
			}
			share := float64(started["old"]) / float64(started["old"]+started["urgent"])
			if share < c.atLeast || share > c.most {
				t.Errorf("the old steps had %.3f of the starts, want %.3f to %.3f", share, c.atLeast, c.most)
			}
		})
	}
}
