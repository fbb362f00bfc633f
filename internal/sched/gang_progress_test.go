package sched

import (
	"testing"
	"time"
)

// A gang has members of unequal work, which end together. Guards against taking a member that has done its part and waits for
// the others for a stalled one: on pecos-callout-grown quiet-1 nine gangs of 9 to 42 tasks were stopped at 81 to 100 % of
// their work, on servers without a fault. A member that does stall has to be found beside members that have done their part.
func TestGangMemberWaitsForOthers(t *testing.T) {
	for name, c := range map[string]struct {
		slower       func(elapsed time.Duration) int // progress of the second member
		wantStopped  bool
		wantSuspects []ServerID
	}{
		"the other member goes on": {slower: func(d time.Duration) int { return int(d.Seconds() * 10) }},
		"the other member stalls": {
			slower: func(d time.Duration) int { return min(int(d.Seconds()*10), 30) }, wantStopped: true, wantSuspects: []ServerID{"s2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			f.addJob("j", Step{Count: 2, Demand: cores(12), Gang: true, Estimate: 4 * time.Second})
			starts := f.takeStarts()
			began := f.now
			for f.now.Sub(began) < 8*time.Second {
				f.advanceTime(500 * time.Millisecond)
				elapsed := f.now.Sub(began)
				for _, cmd := range starts {
					percent := min(int(elapsed.Seconds()*50), 100)
					if cmd.Server.ID == "s2" {
						percent = c.slower(elapsed)
					}
					if _, polled := f.polls[cmd.Server.ID]; polled && len(f.stops) == 0 {
						f.answerPoll(cmd.Server.ID, Inventory{Running: []ActiveRun{{Task: cmd.Task, Run: cmd.Run, Percent: percent}}})
					}
				}
				if len(f.stops) > 0 {
					break
				}
			}
			f.want("gang stopped", len(f.stops) > 0, c.wantStopped)
			var suspects []ServerID
			for _, id := range []ServerID{"s1", "s2"} {
				if f.s.servers[id].suspicions > 0 {
					suspects = append(suspects, id)
				}
			}
			f.want("suspected servers", suspects, c.wantSuspects)
		})
	}
}
