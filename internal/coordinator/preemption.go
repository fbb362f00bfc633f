package coordinator

import (
	"fmt"
	"strings"

	"github.com/rosemaryspoke/rosemaryspoke/internal/preemption"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// logPreemptions logs decisions on runs that give way to urgent steps.
func (t *term) logPreemptions(decisions []sched.PreemptionDecision, dropped int) {
	for i := range decisions {
		d := &decisions[i]
		message := "runs preempted"
		if len(d.Stopped) == 0 {
			message = "no run preempted"
		}
		t.config.Log.Info(message, "job", string(d.Job), "occurrence", d.Occurrence, "step", d.Step, "reason", d.Reason.String(),
			"waiting", d.Waiting, "missing", d.Missing, "slack", d.Slack.String(), "safe-slack", d.SafeSlack.String(),
			"stop-time", d.StopTime.String(), "expected-wait", d.Wait.String(), "free-places", d.FreePlaces, "ahead-cores", d.AheadCores,
			"forecast-age", d.ForecastAge.String(), "stopping", d.Stopping, "server", string(d.Server), "places", d.Places,
			"lost-core-seconds", float64(d.Lost), "gained-core-seconds", float64(d.Gained), "stopped", stoppedRuns(d.Stopped),
			"epoch", uint64(t.leader.Epoch))
	}
	if dropped > 0 {
		t.config.Log.Info("decisions not logged", "count", dropped)
	}
}

// stoppedRuns formats runs as job/occurrence/step/index#run.
func stoppedRuns(runs []sched.StoppedRun) string {
	var b strings.Builder
	for i, r := range runs {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s/%d/%d/%d#%d", r.Task.Job, r.Task.Occurrence, r.Task.Step, r.Task.Index, r.Run)
	}
	return b.String()
}

// registerPreemptionGauges registers what the present term has preempted.
func (c *Coordinator) registerPreemptionGauges() {
	m := c.config.Metrics
	for kind, read := range map[string]func(*sched.PreemptionCounts) float64{
		"stops":               func(n *sched.PreemptionCounts) float64 { return float64(n.Stops) },
		"places":              func(n *sched.PreemptionCounts) float64 { return float64(n.Places) },
		"starts":              func(n *sched.PreemptionCounts) float64 { return float64(n.Started) },
		"unused":              func(n *sched.PreemptionCounts) float64 { return float64(n.Unused) },
		"lost-core-seconds":   func(n *sched.PreemptionCounts) float64 { return n.Lost },
		"gained-core-seconds": func(n *sched.PreemptionCounts) float64 { return n.Gained },
	} {
		m.NewGauge(fmt.Sprintf("rosemaryspoke_preemption{kind=%q}", kind), c.schedulerGauge(func(s *sched.Scheduler) float64 {
			n := s.PreemptionCounts()
			return read(&n)
		}))
	}
	for _, r := range preemption.Reasons {
		m.NewGauge(fmt.Sprintf("rosemaryspoke_preemption_decisions{reason=%q}", r.String()), c.schedulerGauge(func(s *sched.Scheduler) float64 {
			return float64(s.PreemptionCounts().Decisions[r])
		}))
	}
	m.NewGauge("rosemaryspoke_preempted_runs", c.schedulerGauge(func(s *sched.Scheduler) float64 { return float64(s.PreemptedRuns()) }))
	m.NewGauge("rosemaryspoke_held_places", c.schedulerGauge(func(s *sched.Scheduler) float64 { return float64(s.HeldRoom()) }))
}
