package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// runProxy hands commands to a proxy until the term ends, or the proxy isn't chosen any more and all its calls have outcomes.
func (t *term) runProxy(ctx context.Context, p *serverProxy) {
	for ctx.Err() == nil {
		now := t.coordinator.now()
		session := p.currentSession()
		if reason := p.check(now, t.commonDelay()); reason != "" {
			t.proxyFailed(p, session, reason)
		}
		calls, chosen := p.load()
		switch {
		case calls == 0 && !chosen:
			if t.proxies.drop(p) {
				return
			}
		case !p.isPaused(now):
			t.handOver(p, now)
		}
		if calls > 0 {
			sleep(ctx, exchangePause)
			continue
		}
		awaitSignal(ctx, p.wake, idleProxyInterval)
	}
}

// awaitSignal waits for a signal, for at most a time.
func awaitSignal(ctx context.Context, signal <-chan struct{}, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}

// commonDelay returns by how much the replies of all servers are late.
func (t *term) commonDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	delay, _ := t.scheduler.CommonDelay()
	return delay
}

// handOver hands the due commands of a proxy over to it. While this leader is unconfirmed, see awaitConfirmation, it only fetches outcomes.
func (t *term) handOver(p *serverProxy, now time.Time) {
	var calls []*proxiedCall
	if t.mayCommand() {
		calls = t.dropOutdated(p.takeDue(now))
	}
	r, session, ok := p.handOver(t, calls, now)
	if !ok || r.Proxy == "" {
		for _, c := range calls { // the proxy has failed meanwhile
			t.call(c.command)
		}
	}
	if !ok {
		return
	}
	t.proxies.exchanges.Add(1)
	t.goroutines.run(t.ctx, func() {
		reply, err := t.exchangeWith(p, r)
		t.handleExchange(p, session, reply, err)
	})
}

// dropOutdated removes the polls that aren't to be sent any more, and starts in evacuated data centres or on servers that may have restarted.
// Like the commands of this daemon they may have waited.
func (t *term) dropOutdated(calls []*proxiedCall) []*proxiedCall {
	kept := calls[:0]
	var outdated []sched.PollCommand
	var withheld, outdatedStarts []sched.StartCommand
	now := t.coordinator.now()
	t.mu.Lock()
	for _, c := range calls {
		start, isStart := c.command.(sched.StartCommand)
		poll, ok := c.command.(sched.PollCommand)
		switch {
		case isStart && t.evacuations.includes(start.Server.DataCentre):
			withheld = append(withheld, start)
		case isStart && t.scheduler.IsStartOutdated(now, &start):
			outdatedStarts = append(outdatedStarts, start)
		case ok && poll.Delay > 0 && !t.scheduler.IsPollCurrent(poll.Server.ID, poll.Serial):
		case ok && t.scheduler.IsPollOutdated(poll):
			outdated = append(outdated, poll)
		default:
			kept = append(kept, c)
		}
	}
	t.mu.Unlock()
	if len(outdated)+len(withheld)+len(outdatedStarts) > 0 {
		t.update(func(now time.Time, s *sched.Scheduler) {
			for _, start := range withheld {
				s.StartUnanswered(now, start.Server.ID, start.Task, start.Run, false)
			}
			for _, start := range outdatedStarts {
				s.StartWithheld(now, start.Server.ID, start.Task, start.Run)
			}
			for _, poll := range outdated {
				s.PollFailed(now, poll.Server.ID, poll.Serial)
			}
		})
	}
	return kept
}

// handleExchange handles the reply to an exchange, or its failure.
func (t *term) handleExchange(p *serverProxy, session uint64, reply exchangeReply, err error) {
	if t.ctx.Err() != nil {
		return
	}
	now := t.coordinator.now()
	var outcomes []proxiedOutcome
	if err == nil {
		outcomes, err = decodeOutcomes(reply.Outcomes)
	}
	switch {
	case err != nil:
		t.proxyFailed(p, session, err.Error())
		return
	case reply.Epoch > t.leader.Epoch:
		t.cancel(errDeposed)
		return
	case reply.Proxy != p.incarnation:
		t.proxyFailed(p, session, "another process answers: "+reply.Proxy)
		return
	}
	opened, ok := p.answered(session, reply.Clock, now)
	if !ok {
		return
	}
	if opened {
		t.config.Log.Info("server proxy ready", "proxy", string(p.member), "data-centre", string(p.dataCentre), "session", session)
	}
	notify(p.wake)
	if len(outcomes) > 0 {
		t.applyOutcomes(p, outcomes)
	}
}

// applyOutcomes passes the outcomes of calls to the scheduler.
func (t *term) applyOutcomes(p *serverProxy, outcomes []proxiedOutcome) {
	t.update(func(now time.Time, s *sched.Scheduler) {
		for i := range outcomes {
			o := &outcomes[i]
			c := p.take(o, now)
			if c == nil {
				continue
			}
			if o.Kind == callAnswered {
				t.proxies.noteAnswer(c.command, c.second, now)
			}
			t.applyOutcome(now, s, c, o)
		}
	})
}

func (t *term) applyOutcome(now time.Time, s *sched.Scheduler, c *proxiedCall, o *proxiedOutcome) {
	err := o.err()
	switch cmd := c.command.(type) {
	case sched.StartCommand:
		if o.Kind == callExpired {
			s.StartInterrupted(now, cmd.Server.ID, cmd.Task, cmd.Run)
			return
		}
		t.logStart(&cmd, err)
		applyStart(now, s, &cmd, c.due, o.Clock, err)
	case sched.StopCommand:
		t.logStop(&cmd, err)
		applyStop(now, s, &cmd, c.due, o.Clock, err)
	case sched.ThrottleCommand:
		if err != nil {
			t.logThrottle(&cmd, err)
			applyThrottle(now, s, &cmd, err)
		}
	case sched.PollCommand:
		t.applyPollOutcome(now, s, c, &cmd, o, err)
	}
}

func (t *term) applyPollOutcome(now time.Time, s *sched.Scheduler, c *proxiedCall, cmd *sched.PollCommand, o *proxiedOutcome, err error) {
	if o.Kind == callExpired {
		s.PollInterrupted(now, cmd.Server.ID, cmd.Serial)
		return
	}
	if err == nil && o.Reply == nil {
		err = fmt.Errorf("%w: the reply has no inventory", ErrNoResponse)
	}
	inv := o.inventory()
	inTime := !c.overdue || o.Kind == pollOverdue
	if failed := t.logPoll(cmd, &inv, err, inTime); err == nil || failed || endsPoll(err) {
		applyPoll(now, s, cmd, inv, err)
	}
}

// proxyFailed ends a session of a proxy. That it doesn't reply shows nothing about the servers: calls without an outcome are made again by
// this daemon or another one, as calls that may still be carried out.
func (t *term) proxyFailed(p *serverProxy, session uint64, reason string) {
	now := t.coordinator.now()
	inDoubt, queued, pause, ok := p.fail(session, now)
	if !ok || t.ctx.Err() != nil {
		return
	}
	t.proxies.failures.Add(1)
	t.config.Log.Info("server proxy failed", "proxy", string(p.member), "data-centre", string(p.dataCentre), "reason", reason,
		"calls-in-doubt", len(inDoubt), "calls-not-sent", len(queued), "pause", pause.String())
	for _, cmd := range queued {
		t.call(cmd)
	}
	t.update(func(now time.Time, s *sched.Scheduler) {
		for _, c := range inDoubt {
			switch cmd := c.command.(type) {
			case sched.StartCommand:
				s.StartInterrupted(now, cmd.Server.ID, cmd.Task, cmd.Run)
			case sched.PollCommand:
				s.PollInterrupted(now, cmd.Server.ID, cmd.Serial)
			case sched.ThrottleCommand:
				s.ThrottleUnanswered(now, cmd.Server.ID, cmd.Task, cmd.Run)
			case sched.StopCommand: // repeated by the scheduler
			}
		}
	})
}
