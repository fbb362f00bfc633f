package sched

import (
	"testing"
	"time"
)

// Guards against tasks that start after they are done: a leader that is cut off took a restart of a server for the loss of its runs, while a
// later leader had acknowledged an end as done there before that restart.
func TestServerRestartNeedsProofThatNoLaterLeaderReadItsEnds(t *testing.T) {
	for name, restart := range map[string]func(*fixture, StartCommand){
		"another server responds": func(f *fixture, _ StartCommand) { f.s.ServerReplaced(f.now, testServer("s1", 16)) },
		"new incarnation in a poll": func(f *fixture, _ StartCommand) {
			f.s.Polled(f.now, "s1", f.polls["s1"].Serial, Inventory{Incarnation: 2, Clock: 10 * time.Millisecond})
		},
		"clock went back": func(f *fixture, _ StartCommand) {
			f.s.Polled(f.now, "s1", f.polls["s1"].Serial, Inventory{Running: f.running("s1", TaskID{}, 0), Incarnation: 1, Clock: time.Hour + time.Second})
			f.collectCommands()
			f.addJob("b", Step{Count: 16, Demand: cores(1), Estimate: time.Minute})
			for _, cmd := range f.starts {
				if cmd.Server.ID == "s1" {
					f.s.Started(f.now, f.now, "s1", cmd.Task, cmd.Run, 10*time.Millisecond)
				}
			}
			f.starts = nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			ledUntil := epochStart.Add(100 * time.Millisecond)
			f := newFixture(t, func(o *Options) { o.LedUntil = func() time.Time { return ledUntil } })
			f.addServer("s1", 16)
			f.addJob("a", Step{Count: 1, Demand: cores(1), Estimate: time.Minute})
			cmd := f.takeStarts()[0]
			f.addServer("s2", 16)
			f.advanceTime(time.Second) // another leader may have taken over since ledUntil, and have read the end of the run
			restart(f, cmd)
			for range 5 {
				f.advanceTime(100 * time.Millisecond)
				f.answerPolls("s2")
			}
			f.want("starts without proof", len(f.starts), 0)
			ledUntil = f.now
			for range 10 {
				f.advanceTime(100 * time.Millisecond)
				f.answerPolls("s2")
			}
			f.want("starts with proof", len(f.starts), 1)
		})
	}
}

// Guards against inherited tasks that start after they are done: a leader that is cut off took the replacement of a server for the end of
// all runs there, while a later leader had acknowledged an end as done there before.
func TestReplacedServerOfFormerLeaderNeedsProofThatNoLaterLeaderReadItsEnds(t *testing.T) {
	ledUntil := epochStart
	f := newFixture(t, func(o *Options) { o.RunBase, o.LedUntil = 1000, func() time.Time { return ledUntil } })
	f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16)})
	f.s.AddJob(f.now, &Job{ID: "a", Team: "blue", Queue: testQueue(), Accepted: f.now, Steps: []Step{{Count: 1, Demand: cores(1)}}}, Progress{}, true)
	f.addServer("s2", 16)
	f.advanceTime(time.Second)
	f.s.ServerReplaced(f.now, testServer("s1", 16))
	for range 5 {
		f.advanceTime(100 * time.Millisecond)
		f.answerPolls("s2")
	}
	f.want("starts without proof", len(f.starts), 0)
	ledUntil = f.now
	for range 10 {
		f.advanceTime(100 * time.Millisecond)
		f.answerPolls("s2")
	}
	f.want("starts with proof", len(f.starts), 1)
}
