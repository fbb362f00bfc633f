package coordinator

import (
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// dispatch sends commands to the servers without waiting; the outcomes return to the scheduler as events.
func (t *term) dispatch(commands []sched.Command) {
	now := t.coordinator.now()
	for _, cmd := range commands {
		p, second := t.proxies.route(cmd, now)
		if p != nil && p.add(cmd, second, now) {
			t.proxies.proxied.Add(1)
			continue
		}
		t.call(cmd)
	}
}

// commandServer returns the server of a command.
func commandServer(cmd sched.Command) *sched.Server {
	switch cmd := cmd.(type) {
	case sched.StartCommand:
		return &cmd.Server
	case sched.StopCommand:
		return &cmd.Server
	case sched.ThrottleCommand:
		return &cmd.Server
	case sched.PollCommand:
		return &cmd.Server
	}
	return &sched.Server{}
}

// call sends a command to its server from this daemon.
func (t *term) call(cmd sched.Command) {
	t.proxies.direct.Add(1)
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

// startRun sends a start command.
func (t *term) startRun(cmd sched.StartCommand) {
	decided := t.coordinator.now()
	if !t.awaitConfirmation(t.ctx) {
		return
	}
	sent := t.coordinator.now()
	var clock time.Duration
	err := t.withheldStart(&cmd, decided)
	if err == nil {
		clock, err = t.config.ServerClient.Start(t.startContext(&cmd, decided), t.fence, cmd)
	}
	if errors.Is(err, ErrNotSent) && errors.Is(t.withheldStart(&cmd, decided), errStartOutdated) {
		err = errStartOutdated
	}
	if t.ctx.Err() != nil {
		return
	}
	if err == nil {
		t.proxies.noteAnswer(cmd, true, t.coordinator.now())
	}
	t.logStart(&cmd, err)
	t.update(func(now time.Time, s *sched.Scheduler) { applyStart(now, s, &cmd, sent, clock, err) })
}

// errStartOutdated reports that a start wasn't sent, as its server may have restarted since it was decided on.
var errStartOutdated = errors.New("the server may have restarted")

// freshStart is the age up to which a start isn't checked again before it is sent.
const freshStart = 20 * time.Millisecond

// isStartOutdated reports whether the server of a start may have restarted since the start was decided on.
func (t *term) isStartOutdated(cmd *sched.StartCommand, decided time.Time) bool {
	if t.coordinator.now().Sub(decided) <= freshStart {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.IsStartOutdated(t.coordinator.now(), cmd)
}

// logStart logs the outcome of a start.
func (t *term) logStart(cmd *sched.StartCommand, err error) {
	if detail := t.config.Log.V(1); detail.Enabled() {
		detail.Info("start", "job", string(cmd.Task.Job), "step", cmd.Task.Step, "index", cmd.Task.Index,
			"run", uint64(cmd.Run), "server", string(cmd.Server.ID), "try", cmd.Attempt, "waited", cmd.JobAge.String(),
			"outcome", describeOutcome(err))
	}
}

// applyStart passes the outcome of a start to the scheduler.
func applyStart(now time.Time, s *sched.Scheduler, cmd *sched.StartCommand, sent time.Time, clock time.Duration, err error) {
	id := cmd.Server.ID
	var refused *RefusedError
	switch {
	case err == nil:
		s.Started(now, sent, id, cmd.Task, cmd.Run, clock)
	case errors.Is(err, errStartOutdated):
		s.StartWithheld(now, id, cmd.Task, cmd.Run)
	case errors.Is(err, ErrInstanceMismatch):
		s.ServerReplaced(now, cmd.Server)
		s.StartUnanswered(now, id, cmd.Task, cmd.Run, false) // ends the start if the server has registered elsewhere
	case errors.As(err, &refused):
		s.StartRefused(now, sent, id, cmd.Task, cmd.Run, refused.Reason, refused.Clock)
	default:
		s.StartUnanswered(now, id, cmd.Task, cmd.Run, !errors.Is(err, ErrNotSent))
	}
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
	clock, err := t.config.ServerClient.Stop(t.serverContext(), t.fence, cmd)
	if t.ctx.Err() != nil {
		return
	}
	t.logStop(&cmd, err)
	t.update(func(now time.Time, s *sched.Scheduler) { applyStop(now, s, &cmd, sent, clock, err) })
}

// logStop logs the outcome of a stop.
func (t *term) logStop(cmd *sched.StopCommand, err error) {
	if detail := t.config.Log.V(1); detail.Enabled() {
		detail.Info("stop", "job", string(cmd.Task.Job), "step", cmd.Task.Step, "index", cmd.Task.Index,
			"run", uint64(cmd.Run), "server", string(cmd.Server.ID), "reason", cmd.Reason, "outcome", describeOutcome(err))
	}
}

// applyStop passes the outcome of a stop to the scheduler, which repeats it without an answer.
func applyStop(now time.Time, s *sched.Scheduler, cmd *sched.StopCommand, sent time.Time, clock time.Duration, err error) {
	var refused *RefusedError
	switch {
	case err == nil:
		s.Stopped(now, sent, cmd.Server.ID, cmd.Task, cmd.Run, clock)
	case errors.Is(err, ErrInstanceMismatch):
		s.ServerReplaced(now, cmd.Server)
	case errors.As(err, &refused) && refused.Reason == sched.RefusedFenced:
		s.StopRefused(now)
	}
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
			"clock-age", d.ClockAge.String(), "granted-until", d.GrantedUntil.String(),
			"reply-delay", d.ReplyDelay.String(), "common-delay", d.CommonDelay.String(), "lead-age", d.LeadAge.String(),
			"epoch", uint64(t.leader.Epoch))
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
	_, err := t.config.ServerClient.Throttle(t.serverContext(), t.fence, cmd)
	if err == nil || t.ctx.Err() != nil {
		return
	}
	t.logThrottle(&cmd, err)
	t.update(func(now time.Time, s *sched.Scheduler) { applyThrottle(now, s, &cmd, err) })
}

// logThrottle logs that a run wasn't throttled.
func (t *term) logThrottle(cmd *sched.ThrottleCommand, err error) {
	t.config.Log.Info("run not throttled", "job", string(cmd.Task.Job), "server", string(cmd.Server.ID), "percent", cmd.Percent,
		"error", err.Error())
}

// applyThrottle passes the failure of a throttle command to the scheduler.
func applyThrottle(now time.Time, s *sched.Scheduler, cmd *sched.ThrottleCommand, err error) {
	if refused := (*RefusedError)(nil); !errors.As(err, &refused) {
		s.ThrottleUnanswered(now, cmd.Server.ID, cmd.Task, cmd.Run)
	}
}
