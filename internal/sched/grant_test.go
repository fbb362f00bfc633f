package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against starts on a removed server or on another incarnation, and against a ticket that is lost when its server is added
// again, since tickets point to the servers that held them.
func TestTicketFollowsItsServer(t *testing.T) {
	queue := testQueue()
	queue.Advisor = &Advisor{BaseTime: 10 * time.Millisecond, TicketValidity: 2 * time.Second}
	f := newFixture(t, nil)
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": queue}})
	f.addServer("s1", 16)
	f.s.AddJob(f.now, &Job{ID: "j", Queue: queue, Steps: []Step{{Count: 1, Demand: cores(1)}}, Accepted: f.now}, Progress{}, false)
	f.collectCommands()
	f.s.AdviceReceived(f.now, f.adviceRequests[0], map[ServerID]Ticket{"s1": "t"}, f.now)
	a := &f.s.jobs["j"].occurrences[0].groups[0].advice
	check := func(when string, held bool) {
		t.Helper()
		v, ticket := f.s.servers["s1"], Ticket("")
		if v != nil {
			ticket = a.ticket(v, f.now)
		}
		if got := f.s.serverOf(&a.grants[0]); (got != nil) != held || held && got != v || (ticket == "t") != held {
			t.Errorf("%s: the ticket is held by the known server: %v, found for it: %q; want %v", when, got == v, ticket, held)
		}
	}
	check("at first", true)
	former := f.s.servers["s1"]
	f.s.remove(former, CauseReplaced, 0)
	check("after the removal", false)
	f.s.Register(f.now, testServer("s1", 16))
	if f.s.servers["s1"] == former {
		t.Fatal("the server wasn't added anew")
	}
	check("after the server was added again", true)
	f.s.servers["s1"].info.Incarnation = 2
	check("after a restart", false)
}
