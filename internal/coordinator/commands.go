package coordinator

import (
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// dispatch sends commands to the servers without waiting; the outcomes return to the scheduler as events.
func (t *term) dispatch(commands []sched.Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case sched.StartCommand:
			t.goroutines.run(t.ctx, func() { t.startRun(cmd) })
		case sched.StopCommand:
			t.goroutines.run(t.ctx, func() { t.stopRun(cmd) })
		case sched.ThrottleCommand:
			t.goroutines.run(t.ctx, func() { t.throttleRun(cmd) })
		case sched.PollCommand:
			t.goroutines.run(t.ctx, func() { t.pollServer(cmd) })
		}
	}
}

// startRun sends a start command.
func (t *term) startRun(cmd sched.StartCommand) {
	if !t.awaitConfirmation(t.ctx) {
		return
	}
	sent := t.coordinator.now()
	clock, err := t.config.ServerClient.Start(t.ctx, t.fence, cmd)
	if t.ctx.Err() != nil {
		return
	}
	id := cmd.Server.ID
	if detail := t.config.Log.V(1); detail.Enabled() {
		detail.Info("start", "job", string(cmd.Task.Job), "step", cmd.Task.Step, "index", cmd.Task.Index,
			"run", uint64(cmd.Run), "server", string(id), "try", cmd.Attempt, "waited", cmd.JobAge.String(), "outcome", describeOutcome(err))
	}
	var refused *RefusedError
	t.update(func(now time.Time, s *sched.Scheduler) {
		switch {
		case err == nil:
			s.Started(now, sent, id, cmd.Task, cmd.Run, clock)
		case errors.Is(err, ErrInstanceMismatch):
			s.ServerReplaced(now, cmd.Server)
			s.StartUnanswered(now, id, cmd.Task, cmd.Run, false) // ends the start if the server has registered elsewhere
		case errors.As(err, &refused):
			s.StartRefused(now, sent, id, cmd.Task, cmd.Run, refused.Reason, refused.Clock)
		default:
			s.StartUnanswered(now, id, cmd.Task, cmd.Run, !errors.Is(err, ErrNotSent))
		}
	})
}

// describeOutcome describes the result of a call in the log.
func describeOutcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// stopRun sends a stop command.
func (t *term) stopRun(cmd sched.StopCommand) {
	if !t.awaitConfirmation(t.ctx) {
		return
	}
	sent := t.coordinator.now()
	clock, err := t.config.ServerClient.Stop(t.ctx, t.fence, cmd)
	if t.ctx.Err() != nil {
		return
	}
	if detail := t.config.Log.V(1); detail.Enabled() {
		detail.Info("stop", "job", string(cmd.Task.Job), "step", cmd.Task.Step, "index", cmd.Task.Index,
			"run", uint64(cmd.Run), "server", string(cmd.Server.ID), "reason", cmd.Reason, "outcome", describeOutcome(err))
	}
	var refused *RefusedError
	t.update(func(now time.Time, s *sched.Scheduler) {
		switch {
		case err == nil:
			s.Stopped(now, sent, cmd.Server.ID, cmd.Task, cmd.Run, clock)
		case errors.Is(err, ErrInstanceMismatch):
			s.ServerReplaced(now, cmd.Server)
		case errors.As(err, &refused) && refused.Reason == sched.RefusedFenced:
			s.StopRefused(now)
		}
		// Without a response the scheduler repeats the stop.
	})
}

// logDecisions logs why tasks may start again: runs that were released without a reported end, and ends of such runs that
// were reported later.
func (t *term) logDecisions(decisions []sched.Decision, dropped int) {
	for _, d := range decisions {
		message := "run released"
		if d.Outcome != "" {
			message = "end of a run that isn't held"
		}
		t.config.Log.Info(message, "job", string(d.Task.Job), "occurrence", d.Task.Occurrence, "step", d.Task.Step, "index", d.Task.Index,
			"run", uint64(d.Run), "server", string(d.Server), "cause", string(d.Cause), "phase", d.Phase, "end", string(d.Outcome),
			"number", d.Number, "failures", d.Failures, "poll-age", d.PollAge.String(), "clock", d.Clock.String(),
			"clock-age", d.ClockAge.String(), "granted-until", d.GrantedUntil.String())
	}
	if dropped > 0 {
		t.config.Log.Info("decisions not logged", "count", dropped)
	}
}

// throttleRun sends a command that limits the speed of a run. Without an answer the scheduler repeats it.
func (t *term) throttleRun(cmd sched.ThrottleCommand) {
	if !t.awaitConfirmation(t.ctx) {
		return
	}
	_, err := t.config.ServerClient.Throttle(t.ctx, t.fence, cmd)
	if err == nil || t.ctx.Err() != nil {
		return
	}
	t.config.Log.Info("run not throttled", "job", string(cmd.Task.Job), "server", string(cmd.Server.ID), "percent", cmd.Percent,
		"error", err.Error())
	if refused := (*RefusedError)(nil); !errors.As(err, &refused) {
		t.update(func(now time.Time, s *sched.Scheduler) { s.ThrottleUnanswered(now, cmd.Server.ID, cmd.Task, cmd.Run) })
	}
}
