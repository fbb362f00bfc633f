package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// learnSpeed makes a server known for a speed.
func (f *fixture) learnSpeed(id ServerID, speed float64) {
	for range 20 {
		f.s.servers[id].speed.Add(speed)
	}
}

// Guards against urgent tasks on slower servers beside free faster ones, against work of lower priority that takes the faster ones first, and
// against gangs that waste a faster server because one of their members is on a slower one.
func TestPlacementBySpeed(t *testing.T) {
	urgent, lower := testQueue(), testQueue()
	lower.ID, lower.Priority = "lower", 2
	for name, c := range map[string]struct {
		queue  Queue
		step   Step
		speeds map[ServerID]float64 // of s1 to s4 without runs; the others are of usual speed
		want   []ServerID           // in the order of the tasks
	}{
		"no known speed":             {queue: urgent, step: Step{Count: 1}, want: []ServerID{"s1"}},
		"urgent":                     {queue: urgent, step: Step{Count: 1}, speeds: map[ServerID]float64{"s3": 1.3}, want: []ServerID{"s3"}},
		"urgent, slower server":      {queue: urgent, step: Step{Count: 1}, speeds: map[ServerID]float64{"s1": 0.7}, want: []ServerID{"s2"}},
		"difference below 15 %":      {queue: urgent, step: Step{Count: 1}, speeds: map[ServerID]float64{"s3": 1.14}, want: []ServerID{"s1"}},
		"lower priority":             {queue: lower, step: Step{Count: 1}, speeds: map[ServerID]float64{"s3": 1.3}, want: []ServerID{"s1"}},
		"long-running":               {queue: urgent, step: Step{Count: 1, LongRunning: true}, speeds: map[ServerID]float64{"s3": 1.3}, want: []ServerID{"s1"}},
		"gang at the usual speed":    {queue: urgent, step: Step{Count: 2, Gang: true}, speeds: map[ServerID]float64{"s1": 1.3}, want: []ServerID{"s2", "s3"}},
		"gang on the faster servers": {queue: urgent, step: Step{Count: 2, Gang: true}, speeds: map[ServerID]float64{"s1": 1.3, "s4": 1.3}, want: []ServerID{"s1", "s4"}},
		"gang that fits on all only": {queue: urgent, step: Step{Count: 4, Gang: true}, speeds: map[ServerID]float64{"s1": 1.3}, want: []ServerID{"s1", "s2", "s3", "s4"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{urgent.ID: urgent, lower.ID: lower}})
			for _, id := range []ServerID{"s1", "s2", "s3", "s4"} {
				f.addServer(id, 16)
			}
			for id, speed := range c.speeds {
				f.learnSpeed(id, speed)
			}
			c.step.Demand, c.step.Estimate, c.step.Image = cores(10), time.Second, "i"
			f.s.AddJob(f.now, &Job{ID: "a", Team: "blue", Queue: c.queue, Payload: "p", Steps: []Step{c.step}, Accepted: f.now}, Progress{}, false)
			f.collectCommands()
			var got []ServerID
			for _, cmd := range f.takeStarts() {
				got = append(got, cmd.Server.ID)
			}
			f.want("servers", got, c.want)
		})
	}
}
