package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Dump is the state of a daemon's coordinator for debugging.
type Dump struct {
	Incarnation string                            `json:"incarnation"`
	Leader      LeaderRecord                      `json:"leader"`
	Leading     bool                              `json:"leading"`
	Members     map[ident.MemberID]PresenceRecord `json:"alive"`
	ViewAge     string                            `json:"view-age"`
	StoreAge    string                            `json:"store-age"`                     // time since the last contact with the store
	PastUseAge  string                            `json:"past-use-record-age,omitempty"` // since the leader last read or wrote the record
	Scheduler   *sched.Dump                       `json:"scheduler,omitempty"`
	Job         *sched.JobExplanation             `json:"job,omitempty"`
}

// Dump returns the state of this daemon. If it leads, the state includes the scheduler and the job with the given id, if
// there is one.
func (c *Coordinator) Dump(job ident.JobID) Dump {
	v := c.view.get()
	now := c.now()
	d := Dump{
		Incarnation: c.incarnation, Leader: v.leader, Members: v.members, ViewAge: age(now, v.confirmedAt),
		StoreAge: age(now, c.LastStoreContact()),
	}
	t := c.loadedTerm()
	if t == nil {
		return d
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d.Leading = true
	if t.config.Scheduling.PastUseHalfLife > 0 {
		d.PastUseAge = age(now, t.pastUse.at)
	}
	s := t.scheduler.Dump(now)
	d.Scheduler = &s
	if e, ok := t.scheduler.Explain(job); ok {
		d.Job = &e
	}
	return d
}

// loadInterval is the interval at which the leader logs the load of each service and checks for stuck runs.
const loadInterval = time.Second

// logLoad logs what the leader does, the use of advisor calls, stuck runs, steps that have waited long and, for each service, its
// capacity and the work that waits for it.
func (t *term) logLoad(ctx context.Context) error {
	var previous sched.Counts
	var previousCalls callCounts
	for {
		sleep(ctx, loadInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t.mu.Lock()
		loads, counts, busy := t.scheduler.Loads(), t.scheduler.Counts(), t.advisorProxies.busy()
		passTime := t.passTime
		t.passTime = 0
		replyDelay, startWindow := t.scheduler.CommonDelay()
		longestReply := t.scheduler.LongestReplyDelay()
		stuck, waiting := t.scheduler.CheckRuns(t.coordinator.now()), t.scheduler.CheckWaiting(t.coordinator.now())
		t.mu.Unlock()
		t.logStuckRuns(stuck)
		t.logWaitingSteps(waiting)
		t.config.Log.Info("advice load", "daemons", len(t.coordinator.peerAddresses())+1, "busy", busy, "calls", counts.Advice-previous.Advice,
			"reply-delay", replyDelay.String(), "longest-reply", longestReply.String(), "start-window", startWindow)
		t.config.Log.Info("scheduling load", "passes", counts.Passes-previous.Passes, "pass-time", passTime.String(),
			"servers-read", counts.ServersRead-previous.ServersRead, "starts", counts.Starts-previous.Starts,
			"ends", counts.Ends-previous.Ends, "polls", counts.Polls-previous.Polls)
		previous = counts
		calls := t.proxies.counts()
		ready, pending := t.proxies.state(t.coordinator.now())
		t.config.Log.Info("server calls", "direct", calls.direct-previousCalls.direct, "proxied", calls.proxied-previousCalls.proxied,
			"exchanges", calls.exchanges-previousCalls.exchanges, "failures", calls.failures-previousCalls.failures, "proxies", ready, "pending", pending)
		previousCalls = calls
		for _, l := range loads {
			t.config.Log.Info("load", "service", string(l.Service), "servers", l.Servers, "usable", l.Usable, "cpu", percent(l.CPU),
				"gpu", percent(l.GPU), "unusable", percent(l.UnusableShare), "running", l.Running, "waiting", l.Waiting, "steps", l.Steps,
				"unadvised", l.AwaitingAdvice, "unusable-causes", l.UnusableCauses)
		}
	}
}

// percent returns a share as a rounded percentage.
func percent(share float64) int { return int(share*100 + 0.5) }

// age formats the time since a moment.
func age(now, at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return now.Sub(at).String()
}

// registerGauges registers the gauges of this daemon's leadership, its contact with the store and the events of its term.
func (c *Coordinator) registerGauges() {
	m := c.config.Metrics
	m.NewGauge("rosemaryspoke_leading", func() float64 {
		if c.loadedTerm() != nil {
			return 1
		}
		return 0
	})
	m.NewGauge("rosemaryspoke_store_silence_seconds", func() float64 { return c.now().Sub(c.LastStoreContact()).Seconds() })
	counts := map[string]func(sched.Counts) uint64{
		"starts":   func(c sched.Counts) uint64 { return c.Starts },
		"ends":     func(c sched.Counts) uint64 { return c.Ends },
		"failures": func(c sched.Counts) uint64 { return c.Failures },
		"lapses":   func(c sched.Counts) uint64 { return c.Lapses },
		"stops":    func(c sched.Counts) uint64 { return c.Stops },
		"refusals": func(c sched.Counts) uint64 { return c.Refusals },
		"advice":   func(c sched.Counts) uint64 { return c.Advice },
		"passes":   func(c sched.Counts) uint64 { return c.Passes },
		"polls":    func(c sched.Counts) uint64 { return c.Polls },

		"moves": func(c sched.Counts) uint64 { return c.Moves },

		"servers-read": func(c sched.Counts) uint64 { return c.ServersRead },
		"long-runs":    func(c sched.Counts) uint64 { return c.LongRuns },
	}
	for kind, read := range counts {
		m.NewGauge(fmt.Sprintf("rosemaryspoke_term_events{kind=%q}", kind), c.schedulerGauge(func(s *sched.Scheduler) float64 {
			return float64(read(s.Counts()))
		}))
	}
	for kind, read := range map[string]func(callCounts) uint64{
		"direct":    func(n callCounts) uint64 { return n.direct },
		"proxied":   func(n callCounts) uint64 { return n.proxied },
		"exchanges": func(n callCounts) uint64 { return n.exchanges },
		"failures":  func(n callCounts) uint64 { return n.failures },
	} {
		m.NewGauge(fmt.Sprintf("rosemaryspoke_term_server_calls{kind=%q}", kind), func() float64 {
			t := c.loadedTerm()
			if t == nil {
				return 0
			}
			return float64(read(t.proxies.counts()))
		})
	}
	c.registerEvacuationGauges()
	c.registerPreemptionGauges()
	c.registerAdmissionGauges()
	for _, kind := range sched.StuckKinds {
		m.NewGauge(fmt.Sprintf("rosemaryspoke_stuck_runs{kind=%q}", string(kind)), c.schedulerGauge(func(s *sched.Scheduler) float64 {
			return float64(s.StuckRuns(kind))
		}))
	}
	m.RegisterMetricsWriter(c.writePastUseMetrics)
	m.NewGauge("rosemaryspoke_servers_of_other_speed", c.schedulerGauge(func(s *sched.Scheduler) float64 { return float64(s.ServersOfOtherSpeed()) }))
	m.NewGauge("rosemaryspoke_long_waiting_tasks", c.schedulerGauge(func(s *sched.Scheduler) float64 { return float64(s.LongWaitingTasks()) }))
}

// schedulerGauge returns a gauge that reads the scheduler, and is 0 unless this daemon leads.
func (c *Coordinator) schedulerGauge(read func(*sched.Scheduler) float64) func() float64 {
	return func() float64 {
		t := c.loadedTerm()
		if t == nil {
			return 0
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		return read(t.scheduler)
	}
}
