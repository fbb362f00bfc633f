package coordinator

import (
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// dispatch sends orders to the servers without waiting; the outcomes return to the scheduler as events.
func (t *term) dispatch(orders []sched.Command) {
	for _, o := range orders {
		switch o := o.(type) {
		case sched.StartCommand:
			go t.startRun(o)
		case sched.StopCommand:
			go t.stopRun(o)
		case sched.ThrottleCommand:
			go t.setPace(o)
		case sched.PollCommand:
			go t.pollServer(o)
		}
	}
}

// startRun sends a start order.
func (t *term) startRun(o sched.StartCommand) {
	clock, err := t.config.ServerClient.Start(t.ctx, t.fence, o)
	if t.ctx.Err() != nil {
		return
	}
	id := o.Server.ID
	t.config.Log.V(1).Info("start", "job", string(o.Task.Job), "step", o.Task.Step, "index", o.Task.Index,
		"run", uint64(o.Run), "server", string(id), "try", o.Attempt, "waited", o.JobAge.String(), "outcome", describeOutcome(err))
	var refused *RefusedError
	t.update(func(now time.Time, s *sched.Scheduler) {
		switch {
		case err == nil:
			s.Started(now, id, o.Task, o.Run, clock)
		case errors.Is(err, ErrInstanceMismatch):
			s.ServerReplaced(now, id)
		case errors.As(err, &refused):
			s.StartRefused(now, id, o.Task, o.Run, refused.Reason, refused.Clock)
		default:
			s.StartUnanswered(now, id, o.Task, o.Run, !errors.Is(err, ErrNotSent))
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

// stopRun sends a stop order.
func (t *term) stopRun(o sched.StopCommand) {
	clock, err := t.config.ServerClient.Stop(t.ctx, t.fence, o)
	if t.ctx.Err() != nil {
		return
	}
	t.config.Log.V(1).Info("stop", "job", string(o.Task.Job), "step", o.Task.Step, "index", o.Task.Index,
		"run", uint64(o.Run), "server", string(o.Server.ID), "reason", o.Reason, "outcome", describeOutcome(err))
	var refused *RefusedError
	t.update(func(now time.Time, s *sched.Scheduler) {
		switch {
		case err == nil:
			s.Stopped(now, o.Server.ID, o.Task, o.Run, clock)
		case errors.Is(err, ErrInstanceMismatch):
			s.ServerReplaced(now, o.Server.ID)
		case errors.As(err, &refused) && refused.Reason == sched.RefusedFenced:
			s.StopRefused(now)
		}
		// Without a response the scheduler repeats the stop.
	})
}

// setPace sends an order that changes the speed of a run. The scheduler takes no result of it.
func (t *term) setPace(o sched.ThrottleCommand) {
	_, err := t.config.ServerClient.Pace(t.ctx, t.fence, o)
	if err != nil && t.ctx.Err() == nil {
		t.config.Log.Info("pace not set", "job", string(o.Task.Job), "server", string(o.Server.ID), "percent", o.Percent,
			"error", err.Error())
	}
}

// pollServer fetches the inventory of a server, which also renews its lease and acknowledges ended runs.
func (t *term) pollServer(o sched.PollCommand) {
	if o.Delay > 0 {
		sleep(t.ctx, o.Delay)
	}
	inv, err := t.config.ServerClient.Poll(t.ctx, t.fence, o)
	if t.ctx.Err() != nil {
		return
	}
	id := o.Server.ID
	var refused *RefusedError
	t.update(func(now time.Time, s *sched.Scheduler) {
		switch {
		case err == nil:
			s.Polled(now, id, o.Serial, inv)
		case errors.Is(err, ErrInstanceMismatch):
			s.ServerReplaced(now, id)
		case errors.As(err, &refused) && refused.Reason == sched.RefusedFenced:
			s.StopRefused(now)
		default:
			s.PollFailed(now, id, o.Serial)
		}
	})
	if err != nil {
		t.config.Log.Info("server poll failed", "server", string(id), "error", err.Error())
		return
	}
	for _, f := range inv.Finished {
		if f.Number > o.Acknowledged {
			t.config.Log.V(1).Info("run ended", "job", string(f.Task.Job), "step", f.Task.Step, "index", f.Task.Index,
				"run", uint64(f.Run), "server", string(id), "end", string(f.Outcome))
		}
	}
}
