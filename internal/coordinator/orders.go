package coordinator

import (
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// carryOut starts the calls of orders; their outcomes return to the scheduler as events.
func (t *term) carryOut(orders []sched.Command) {
	for _, o := range orders {
		switch o := o.(type) {
		case sched.StartCommand:
			go t.start(o)
		case sched.StopCommand:
			go t.stopRun(o)
		case sched.ThrottleCommand:
			go t.pace(o)
		case sched.PollCommand:
			go t.look(o)
		}
	}
}

func (t *term) start(o sched.StartCommand) {
	clock, err := t.config.Servers.Start(t.ctx, t.fence, o)
	if t.ctx.Err() != nil {
		return
	}
	id := o.Server.ID
	t.config.Log.V(1).Info("start", "job", string(o.Task.Job), "step", o.Task.Step, "index", o.Task.Index,
		"run", uint64(o.Run), "server", string(id), "try", o.Attempt, "waited", o.JobAge.String(), "outcome", outcome(err))
	var refused *RefusedError
	t.do(func(now time.Time, s *sched.Scheduler) {
		switch {
		case err == nil:
			s.Started(now, id, o.Task, o.Run, clock)
		case errors.Is(err, ErrOtherLife):
			s.ServerReplaced(now, id)
		case errors.As(err, &refused):
			s.StartRefused(now, id, o.Task, o.Run, refused.Reason, refused.Clock)
		default:
			s.StartUnanswered(now, id, o.Task, o.Run, !errors.Is(err, ErrNotSent))
		}
	})
}

// outcome describes the result of a call in the log.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

func (t *term) stopRun(o sched.StopCommand) {
	clock, err := t.config.Servers.Stop(t.ctx, t.fence, o)
	if t.ctx.Err() != nil {
		return
	}
	t.config.Log.V(1).Info("stop", "job", string(o.Task.Job), "step", o.Task.Step, "index", o.Task.Index,
		"run", uint64(o.Run), "server", string(o.Server.ID), "reason", o.Reason, "outcome", outcome(err))
	var refused *RefusedError
	t.do(func(now time.Time, s *sched.Scheduler) {
		switch {
		case err == nil:
			s.Stopped(now, o.Server.ID, o.Task, o.Run, clock)
		case errors.Is(err, ErrOtherLife):
			s.ServerReplaced(now, o.Server.ID)
		case errors.As(err, &refused) && refused.Reason == sched.RefusedFenced:
			s.StopRefused(now)
		}
		// Without an answer the scheduler repeats the stop.
	})
}

func (t *term) pace(o sched.ThrottleCommand) {
	_, err := t.config.Servers.Pace(t.ctx, t.fence, o)
	if err != nil && t.ctx.Err() == nil {
		t.config.Log.Info("pace not set", "job", string(o.Task.Job), "server", string(o.Server.ID), "percent", o.Percent,
			"error", err.Error())
	}
}

func (t *term) look(o sched.PollCommand) {
	if o.Delay > 0 {
		pause(t.ctx, o.Delay)
	}
	inv, err := t.config.Servers.Look(t.ctx, t.fence, o)
	if t.ctx.Err() != nil {
		return
	}
	id := o.Server.ID
	var refused *RefusedError
	t.do(func(now time.Time, s *sched.Scheduler) {
		switch {
		case err == nil:
			s.Polled(now, id, o.Serial, inv)
		case errors.Is(err, ErrOtherLife):
			s.ServerReplaced(now, id)
		case errors.As(err, &refused) && refused.Reason == sched.RefusedFenced:
			s.StopRefused(now)
		default:
			s.PollFailed(now, id, o.Serial)
		}
	})
	if err != nil {
		t.config.Log.Info("look failed", "server", string(id), "error", err.Error())
		return
	}
	for _, f := range inv.Finished {
		if f.Number > o.Acknowledged {
			t.config.Log.V(1).Info("run ended", "job", string(f.Task.Job), "step", f.Task.Step, "index", f.Task.Index,
				"run", uint64(f.Run), "server", string(id), "end", string(f.Outcome))
		}
	}
}
