package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against tasks that run twice after the takeover from a leader that has certainly stopped: what it had handed over to proxies may be
// sent for maxProxyLag, by their clocks, to a server that has restarted, and give it the longest lease.
func TestTermCountsCommandsThatItsPredecessorHandedOver(t *testing.T) {
	const longestLease = 10 * time.Second
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	takeover := now
	c := &Coordinator{now: func() time.Time { return now }}
	c.config.Scheduling = sched.Options{
		RunLease: 4 * time.Second, MaxFormerLease: 4 * time.Second, MaxRunLease: longestLease, LeaderOverlap: 2 * time.Second,
		PollWait: time.Second, MaxStopTime: 200 * time.Millisecond, Retention: time.Minute,
	}
	term := newTerm(c, LeaderRecord{Epoch: 2}, 1, now, formerStopped)
	s := term.scheduler
	queue := sched.Queue{ID: "quotes", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}
	s.Configure(now, sched.Config{
		Queues: map[ident.QueueID]sched.Queue{"quotes": queue}, Teams: map[ident.TeamID]sched.Team{"blue": {ID: "blue"}},
	})
	server := func(n int, incarnation int64) sched.Server {
		return sched.Server{
			ID: sched.ServerID(fmt.Sprintf("s%d", n)), Address: fmt.Sprintf("s%d:1", n), Service: "pool", Incarnation: incarnation,
			Capacity: resource.Vector{CPU: resource.Cores(4), Memory: 4096},
		}
	}
	s.AddJob(now, &sched.Job{
		ID: "j", Team: "blue", Queue: queue, Accepted: now,
		Steps: []sched.Step{{Count: 1, Demand: resource.Vector{CPU: resource.Cores(1), Memory: 1024}}},
	}, sched.Progress{}, true)
	s.RestoreServer(now, sched.RosterEntry{Server: server(1, 1)})
	s.Register(now, server(1, 2)) // it has restarted, and doesn't answer
	s.Register(now, server(2, 1))
	for now.Sub(takeover) < 2*longestLease {
		s.RosterWritten(now, s.TakeRosterChanges(10))
		s.Schedule(now)
		for _, cmd := range s.TakeCommands() {
			switch cmd := cmd.(type) {
			case sched.PollCommand:
				if cmd.Server.ID == "s2" {
					s.Polled(now, "s2", cmd.Serial, sched.Inventory{Incarnation: 1, Clock: time.Hour + now.Sub(takeover)})
				} else {
					s.PollFailed(now, "s1", cmd.Serial)
				}
			case sched.StartCommand:
				if d, want := now.Sub(takeover), maxProxyLag+longestLease+longestLease/50; d < want {
					t.Errorf("started on %s after %s, want %s or later", cmd.Server.ID, d, want)
				}
				return
			}
		}
		now = now.Add(20 * time.Millisecond)
		term.confirm(now)
		s.Tick(now)
	}
	t.Error("not started")
}
