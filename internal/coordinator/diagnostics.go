package coordinator

import (
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// logServerDecisions logs changes of the set of servers and of what is believed of them.
func (t *term) logServerDecisions(decisions []sched.ServerDecision, dropped int) {
	for _, d := range decisions {
		t.config.Log.Info("server "+string(d.Event), "server", string(d.Server), "cause", string(d.Cause), "incarnation", d.Incarnation,
			"address", d.Address, "runs", d.Runs, "runs-left", d.RunsLeft, "attached", d.Attached, "registered", d.Registered,
			"registration-age", d.RegistrationAge.String(), "poll-age", d.PollAge.String(), "failures", d.Failures,
			"away", d.Away.String(), "former-removal", string(d.FormerRemoval),
			"speed", d.Speed, "speed-runs", d.SpeedRuns, "quarantine", d.Quarantine.String(), "proven", d.Proven)
	}
	if dropped > 0 {
		t.config.Log.Info("decisions not logged", "count", dropped)
	}
}

// logLongRuns logs why runs that take long are neither stopped as slow nor copied.
func (t *term) logLongRuns(runs []sched.LongRun) {
	detail := t.config.Log.V(1)
	if !detail.Enabled() {
		return
	}
	for _, r := range runs {
		detail.Info("run has more work", "job", string(r.Task.Job), "occurrence", r.Task.Occurrence, "step", r.Task.Step, "index", r.Task.Index,
			"run", uint64(r.Run), "server", string(r.Server), "percent", r.Percent, "elapsed", r.Elapsed.String(),
			"expected", r.Expected.String(), "usual", r.Usual, "slow", r.Slow)
	}
}

// logStuckRuns logs runs that hold their tasks back for longer than the scheduler's timeouts allow.
func (t *term) logStuckRuns(stuck []sched.StuckRun) {
	for _, r := range stuck {
		t.config.Log.Info("run is stuck", "job", string(r.Task.Job), "occurrence", r.Task.Occurrence, "step", r.Task.Step, "index", r.Task.Index,
			"run", uint64(r.Run), "server", string(r.Server), "kind", string(r.Kind), "phase", r.Phase, "age", r.Age,
			"command-age", r.CommandAge, "starts", r.Starts, "stop-answered", r.StopAnswered, "incarnation", r.Incarnation,
			"address", r.Address, "server-known", r.ServerKnown, "in-service", r.InService, "added-again", r.AddedAgain,
			"removed-age", r.RemovedAge, "removal", string(r.Removal), "registered", r.Registered, "attached", r.Attached,
			"failures", r.Failures, "poll-age", r.PollAge, "lease-ends-in", r.LeaseEndsIn)
	}
}

// maxLoggedServers bounds the servers that a line names.
const maxLoggedServers = 5

// logWaitingSteps logs steps with a task that has had no run for long, with the reason.
func (t *term) logWaitingSteps(waiting []sched.WaitingStep) {
	for i := range waiting {
		w := &waiting[i]
		t.config.Log.Info("task waits long", "job", string(w.Job), "occurrence", w.Occurrence, "step", w.Step, "index", w.Index,
			"age", w.Age.String(), "reason", string(w.Reason), "job-age", w.JobAge.String(), "last-run", uint64(w.LastRun),
			"failed-runs", w.FailedRuns, "tasks", w.Tasks, "done", w.Done, "running", len(w.Running), "waiting", w.Waiting, "rank", w.Rank,
			"allowed-servers", w.Allowed, "servers", w.Servers, "held-back-by", w.HeldBackBy[:min(len(w.HeldBackBy), maxLoggedServers)],
			"advice-in-flight", w.AdviceInFlight, "advice-age", w.AdviceAge)
	}
}

// logMoves logs the decisions on long-running tasks in evacuated data centres.
func (t *term) logMoves(decisions []sched.MoveDecision, dropped int) {
	for i := range decisions {
		d := &decisions[i]
		log := t.config.Log.WithValues("job", string(d.Task.Job), "occurrence", d.Task.Occurrence, "step", d.Task.Step, "tasks", d.Tasks,
			"at-work", d.AtWork, "may-miss", d.MaxUnavailable, "to-move", d.Candidates, "service", string(d.Service), "moving", d.Moving)
		if d.Withheld != "" {
			log.Info("long-running tasks stay in an evacuated data centre", "reason", string(d.Withheld))
			continue
		}
		log.Info("long-running task moved out of an evacuated data centre", "index", d.Task.Index, "run", uint64(d.Run),
			"server", string(d.Server), "data-centre", string(d.DataCentre), "run-age", d.RunAge.String())
	}
	if dropped > 0 {
		t.config.Log.Info("decisions not logged", "count", dropped)
	}
}

// registerEvacuationGauges registers the gauges of the evacuated data centres.
func (c *Coordinator) registerEvacuationGauges() {
	m := c.config.Metrics
	m.NewGauge("rosemaryspoke_evacuated_data_centres", func() float64 {
		t := c.loadedTerm()
		if t == nil {
			return 0
		}
		return float64(len(t.evacuations.current()))
	})
	for kind, read := range map[string]func(sched.EvacuationState) int{
		"servers":      func(e sched.EvacuationState) int { return e.Servers },
		"runs":         func(e sched.EvacuationState) int { return e.Runs },
		"long-running": func(e sched.EvacuationState) int { return e.LongRunning },
	} {
		m.NewGauge(fmt.Sprintf("rosemaryspoke_evacuation{kind=%q}", kind), c.schedulerGauge(func(s *sched.Scheduler) float64 {
			return float64(read(s.EvacuationState()))
		}))
	}
	m.NewGauge(`rosemaryspoke_evacuation{kind="moving"}`, c.schedulerGauge(func(s *sched.Scheduler) float64 {
		moving, _ := s.MovingTasks()
		return float64(moving)
	}))
	m.NewGauge(`rosemaryspoke_evacuation{kind="withheld-steps"}`, c.schedulerGauge(func(s *sched.Scheduler) float64 {
		_, withheld := s.MovingTasks()
		return float64(withheld)
	}))
}
