package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// BenchmarkBacklog measures a scheduling pass over a full fleet of 350 servers with 1,000 jobs that run or wait for capacity,
// as in a burst.
func BenchmarkBacklog(b *testing.B) {
	s := New(Options{RunLease: 4 * time.Second, PollWait: time.Second}, epochStart)
	q := testQueue()
	q.Advisor = &Advisor{BaseTime: 10 * time.Millisecond, TimePerServer: time.Millisecond, TicketValidity: time.Hour}
	s.Configure(epochStart, Config{Queues: map[ident.QueueID]Queue{"quotes": q}})
	for i := range 350 {
		s.Register(epochStart, testServer(ServerID(fmt.Sprintf("s%03d", i)), 16))
		recordServers(s)
	}
	for _, cmd := range s.TakeCommands() {
		if poll, ok := cmd.(PollCommand); ok {
			s.Polled(epochStart, poll.Server.ID, poll.Serial, Inventory{Incarnation: 1, Clock: time.Hour})
		}
	}
	now := epochStart
	for i := range 1000 {
		id := ident.JobID(fmt.Sprintf("j%04d", i))
		s.AddJob(now, &Job{ID: id, Queue: q, Accepted: now, Steps: []Step{{Count: 10, Demand: cores(2)}}}, Progress{}, false)
		s.Schedule(now)
		for request, ok := s.NextAdviceRequest(now, 0, 0); ok; request, ok = s.NextAdviceRequest(now, 0, 0) {
			granted := map[ServerID]Ticket{}
			for n, v := range request.Servers {
				if n%3 == 0 {
					granted[v] = "t"
				}
			}
			s.AdviceReceived(now, request, granted, now)
			s.Schedule(now)
		}
	}
	s.TakeCommands()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Tick(now)
		s.Schedule(now)
		s.NextAdviceRequest(now, 0, 0)
		s.TakeCommands()
	}
}

// BenchmarkBurst measures the processor time that the scheduler takes for 14 seconds of load, seven of them a burst, on the
// grown Sample Exchange.
func BenchmarkBurst(b *testing.B) {
	const second = time.Second
	for b.Loop() {
		kinds, servers := sampleExchange(1)
		p := newLoadSimulation(1, 35, kinds, servers)
		for _, k := range kinds {
			p.addArrivals(k, 14*second, 3*second, 10*second)
		}
		p.run(14 * second)
		b.ReportMetric(float64(p.starts), "starts/op")
		for kind, w := range p.usefulShare() {
			b.ReportMetric(w, strings.ReplaceAll(kind, " ", "-")+"-worth") // a unit has no spaces
		}
	}
}
