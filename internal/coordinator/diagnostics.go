package coordinator

import "github.com/rosemaryspoke/rosemaryspoke/internal/sched"

// logServerDecisions logs changes of the set of servers and of what is believed of them.
func (t *term) logServerDecisions(decisions []sched.ServerDecision, dropped int) {
	for _, d := range decisions {
		t.config.Log.Info("server "+string(d.Event), "server", string(d.Server), "cause", string(d.Cause), "incarnation", d.Incarnation,
			"address", d.Address, "runs", d.Runs, "runs-left", d.RunsLeft, "attached", d.Attached, "registered", d.Registered,
			"registration-age", d.RegistrationAge.String(), "poll-age", d.PollAge.String(), "failures", d.Failures,
			"away", d.Away.String(), "former-removal", string(d.FormerRemoval))
	}
	if dropped > 0 {
		t.config.Log.Info("decisions not logged", "count", dropped)
	}
}
