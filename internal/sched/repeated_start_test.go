package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a start that is repeated without a ticket once the ticket has expired on the leader's clock: the server refuses it,
// also where its own clock still accepts the ticket. Found by the soak's profile server-loss, seed 6.
func TestRepeatedStartHasTheTicketOfTheFirst(t *testing.T) {
	f := newFixture(t, nil)
	queue := queueWithAdvisor()
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": queue}})
	f.addServer("s1", 16)
	f.s.AddJob(f.now, &Job{ID: "j", Queue: queue, Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now}, Progress{}, false)
	f.collectCommands()
	f.grantAll("-ticket")
	f.want("starts", len(f.starts), 1)
	first := f.starts[0]
	f.now = f.now.Add(queue.Advisor.TicketValidity + time.Millisecond)
	f.s.StartUnanswered(f.now, "s1", first.Task, first.Run, true)
	f.collectCommands()
	f.want("starts", len(f.starts), 2)
	f.want("ticket of the repeated start", f.starts[len(f.starts)-1].Ticket, first.Ticket)
}

// Guards against a task that has no run for 10 s after a takeover: its start was repeated to a cordoned server, a new incarnation of that
// server carried it out under a long lease and was lost, and the next leader waited for that lease (TestServerLossSeeds, seed 1851).
// Guards also against a start that is repeated to a server that drains.
func TestStartIsNotRepeatedToACordonedServer(t *testing.T) {
	for name, c := range map[string]struct {
		cordon   func(*fixture)
		repeated bool
	}{
		"silent": {func(f *fixture) {
			for range cordonFailures {
				f.s.PollFailed(f.now, "s1", f.polls["s1"].Serial)
				f.advanceTime(pollRetry)
			}
		}, false},
		"draining": {func(f *fixture) {
			draining := testServer("s1", 16)
			draining.Draining, draining.Remaining = true, time.Minute
			f.s.Register(f.now, draining)
			f.advanceTime(100 * time.Millisecond)
		}, false},
		"one lost poll": {func(f *fixture) {
			f.s.PollFailed(f.now, "s1", f.polls["s1"].Serial)
			f.advanceTime(100 * time.Millisecond)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("before", Step{Count: 1, Demand: cores(1)})
			f.takeStarts()
			f.addJob("j", Step{Count: 1, Demand: cores(1), LongRunning: true})
			start := f.starts[0]
			f.starts = nil
			c.cordon(f)
			f.want("cordoned", f.s.servers["s1"].cordoned, !c.repeated)
			f.stops = nil
			f.s.StartUnanswered(f.now, "s1", start.Task, start.Run, true)
			f.collectCommands()
			f.want("repeated starts, stops", [2]int{len(f.starts), len(f.stops)}, [2]int{boolToInt(c.repeated), boolToInt(!c.repeated)})
		})
	}
}
