package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// advisedFixture returns a fixture with idle servers of 16 cores and an advised queue.
func advisedFixture(t *testing.T, servers int, q Queue) *fixture {
	f := newFixture(t, nil)
	f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": q}})
	for i := range servers {
		f.addServer(ServerID(fmt.Sprintf("s%03d", i)), 16)
	}
	return f
}

// The load is a backlog of steps whose advisor calls are too long for a proxy that is reserved for short ones, on 350 servers.
// Guards against selecting and sorting all servers for each step, proxy and pass, only to find the call too long: on
// pecos-callout-grown quiet-1 that took half of the leader's processor time, and a third of the tasks waited for ever.
func TestLongCallsCostShortProxiesNothing(t *testing.T) {
	q := advisedQueue("quotes", "pool", 1, 2, time.Second, 80*time.Millisecond, 2*time.Second) // 114 ms for 30 servers
	f := advisedFixture(t, 350, q)
	for i := range 300 {
		id := ident.JobID(fmt.Sprintf("j%03d", i))
		f.s.AddJob(f.now, &Job{ID: id, Queue: q, Accepted: f.now, Steps: []Step{{Count: 20, Demand: cores(4)}}}, Progress{}, false)
	}
	f.s.Schedule(f.now)
	allocations := testing.AllocsPerRun(10, func() {
		if request, ok := f.s.NextAdviceRequest(f.now, 0, 100*time.Millisecond); ok {
			t.Errorf("a call of %s was chosen for a proxy with at most 100 ms", request.Cost)
		}
	})
	if allocations > 10 {
		t.Errorf("%.0f allocations to find that no call is short enough, want hardly any", allocations)
	}
}

// The load is a stream of steps that each need one advisor call, with proxies that ask for the next call as soon as one is
// answered. Guards against a second call for a step whose answer no scheduling pass has used yet: on pecos-callout-grown quiet-1
// 3,110 of 3,724 steps made two calls where one sufficed, and all 34 daemons were busy with calls while servers were half used.
func TestNoCallBeforeTheAnswerIsUsed(t *testing.T) {
	q := advisedQueue("quotes", "pool", 0, 2, time.Second, 10*time.Millisecond, 2*time.Second)
	f := advisedFixture(t, 40, q)
	f.s.AddJob(f.now, &Job{ID: "j", Queue: q, Accepted: f.now, Steps: []Step{{Count: 3, Demand: cores(2)}}}, Progress{}, false)
	f.s.Schedule(f.now)
	request, ok := f.s.NextAdviceRequest(f.now, 0, 0)
	if !ok {
		t.Fatal("no advisor call for a step without tickets")
	}
	granted := map[ServerID]Ticket{}
	for _, id := range request.Servers[:10] {
		granted[id] = "t"
	}
	f.now = f.now.Add(16 * time.Millisecond)
	f.s.AdviceReceived(f.now, request, granted, f.now)
	if again, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok {
		t.Errorf("a second call about %d servers before a pass used the answer", len(again.Servers))
	}
	f.s.Schedule(f.now)
	if again, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok {
		t.Errorf("a second call about %d servers after all tasks were started", len(again.Servers))
	}
}

// The load is wide steps whose advisor calls overlap. Guards against calls that all name the same, freest servers: the first
// steps to be answered filled them, and the others had to ask again (pecos-callout-grown, steps of 20 to 25 tasks).
func TestOverlappingCallsNameDifferentServers(t *testing.T) {
	q := advisedQueue("quotes", "pool", 0, 2, time.Second, 80*time.Millisecond, 2*time.Second)
	f := advisedFixture(t, 200, q)
	named := map[ServerID]int{}
	for i := range 4 {
		id := ident.JobID(fmt.Sprintf("j%d", i))
		f.s.AddJob(f.now, &Job{ID: id, Queue: q, Accepted: f.now, Steps: []Step{{Count: 30, Demand: cores(4)}}}, Progress{}, false)
		f.s.Schedule(f.now)
		request, ok := f.s.NextAdviceRequest(f.now, 0, 0)
		if !ok {
			t.Fatalf("no call for %s", id)
		}
		for _, v := range request.Servers {
			named[v]++
		}
	}
	for v, n := range named {
		if n > 1 {
			t.Errorf("%s is named by %d calls in flight, with %d servers that none names", v, n, 200-len(named))
		}
	}
}

// Guards against a call of a wide step about as many servers as one of a step with few tasks: a second call takes the base
// time again, and the tickets of the first expire meanwhile.
func TestWideStepNamesEnoughServers(t *testing.T) {
	for name, c := range map[string]struct {
		tasks, want int
	}{
		"few tasks":                   {tasks: 3, want: maxServersPerCall},
		"more than 30 servers hold":   {tasks: 40, want: 60}, // two a server, half of the servers expected to be allowed, half as many again
		"more than the advisor takes": {tasks: 300, want: maxServersOfWideStep},
	} {
		t.Run(name, func(t *testing.T) {
			q := advisedQueue("quotes", "pool", 0, 2, time.Second, 440*time.Millisecond, 2*time.Second)
			f := advisedFixture(t, 200, q)
			step := Step{Count: c.tasks, Demand: cores(8), Gang: true}
			f.s.AddJob(f.now, &Job{ID: "j", Queue: q, Accepted: f.now, Steps: []Step{step}}, Progress{}, false)
			f.s.Schedule(f.now)
			request, _ := f.s.NextAdviceRequest(f.now, 0, 0)
			f.want("servers named", len(request.Servers), c.want)
		})
	}
}

// Guards against renewing the tickets of a part of a gang: they expire unused while the rest is asked about.
func TestGangRenewsTicketsOnlyForAllMembers(t *testing.T) {
	q := advisedQueue("quotes", "pool", 0, 2, time.Second, 440*time.Millisecond, 2*time.Second)
	f := advisedFixture(t, 4, q)
	step := Step{Count: 8, Demand: cores(6), Gang: true}
	f.s.AddJob(f.now, &Job{ID: "j", Queue: q, Accepted: f.now, Steps: []Step{step}}, Progress{}, false)
	f.s.servers["s003"].used = cores(8)
	f.s.Schedule(f.now)
	request, _ := f.s.NextAdviceRequest(f.now, 0, 0)
	granted := map[ServerID]Ticket{}
	for _, id := range request.Servers {
		granted[id] = "t"
	}
	f.s.AdviceReceived(f.now, request, granted, f.now)
	f.now = f.now.Add(3 * time.Second) // the tickets have expired
	f.s.Tick(f.now)
	f.s.Schedule(f.now)
	if request, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok {
		t.Errorf("a call about %v while seven of eight members have room", request.Servers)
	}
	f.s.servers["s003"].used = cores(0)
	f.now = f.now.Add(100 * time.Millisecond)
	f.s.Tick(f.now)
	f.s.Schedule(f.now)
	request, _ = f.s.NextAdviceRequest(f.now, 0, 0)
	f.want("servers named", len(request.Servers), 4)
}

// The load is steps of large tasks that wait for their advisor or for capacity, on 800 servers. Guards against reading all servers of
// the service in each pass for each such step, to reserve some of the few that its advisor allows: on bensalem-quotes-large that
// took half of the time of a pass, and tasks waited beside idle servers.
func TestWaitingAdvisedStepsReadOnlyAllowedServers(t *testing.T) {
	const steps, servers, granted = 60, 800, 10
	for name, c := range map[string]struct {
		answered bool
		most     uint64 // servers read in a pass
	}{
		"calls under way":            {most: 0},
		"tickets for servers in use": {answered: true, most: 2 * steps * granted},
	} {
		t.Run(name, func(t *testing.T) {
			q := advisedQueue("quotes", "pool", 0, 2, time.Second, 10*time.Millisecond, 10*time.Second)
			f := advisedFixture(t, servers, q)
			if c.answered {
				direct := testQueue()
				direct.ID = "direct"
				f.s.Configure(f.now, Config{Queues: map[ident.QueueID]Queue{"quotes": q, "direct": direct}})
				f.s.AddJob(f.now, &Job{
					ID: "running", Queue: direct, Accepted: f.now, Steps: []Step{{Count: servers, Demand: cores(12), Estimate: time.Minute}},
				}, Progress{}, false)
				f.collectCommands()
				f.want("starts", len(f.takeStarts()), servers)
			}
			for i := range steps {
				id := ident.JobID(fmt.Sprintf("j%03d", i))
				f.s.AddJob(f.now, &Job{ID: id, Queue: q, Accepted: f.now, Steps: []Step{{Count: 20, Demand: cores(8)}}}, Progress{}, false)
			}
			f.s.Schedule(f.now)
			for request, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok; request, ok = f.s.NextAdviceRequest(f.now, 0, 0) {
				if !c.answered {
					continue
				}
				tickets := map[ServerID]Ticket{}
				for _, id := range request.Servers[:granted] {
					tickets[id] = "t"
				}
				f.s.AdviceReceived(f.now, request, tickets, f.now)
			}
			before := f.s.Counts()
			f.s.passNeeded = true
			f.s.Schedule(f.now)
			after := f.s.Counts()
			if read := after.ServersRead - before.ServersRead; read > c.most || after.Passes != before.Passes+1 {
				t.Errorf("%d passes read %d servers, want one that reads at most %d", after.Passes-before.Passes, read, c.most)
			}
		})
	}
}
