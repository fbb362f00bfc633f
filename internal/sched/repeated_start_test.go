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
