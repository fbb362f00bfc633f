package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// pollServer fetches the inventory of a server, which also renews its lease and acknowledges ended runs. A poll that takes
// longer than its timeout counts as failed, but its reply is still used: the server may take the runs that it lists as
// ended for reported.
func (t *term) pollServer(cmd sched.PollCommand) {
	if cmd.Delay > 0 {
		sleep(t.ctx, cmd.Delay)
	}
	if !t.awaitConfirmation(t.ctx) {
		return
	}
	id := cmd.Server.ID
	if cmd.Delay > 0 && !t.isPollCurrent(id, cmd.Serial) {
		return
	}
	if t.isPollOutdated(cmd) {
		t.update(func(now time.Time, s *sched.Scheduler) { s.PollFailed(now, id, cmd.Serial) })
		return
	}
	overdue := time.AfterFunc(cmd.Timeout, func() { t.pollFailed(cmd, "no reply within "+cmd.Timeout.String()) })
	sentAt := t.coordinator.now()
	ctx, cancel := context.WithTimeout(t.serverContext(), cmd.EndsAfter)
	defer cancel()
	inv, err := t.config.ServerClient.Poll(ctx, t.fence, cmd)
	inv.Delay = t.coordinator.now().Sub(sentAt) - cmd.Wait
	inTime := overdue.Stop()
	if t.ctx.Err() != nil {
		return
	}
	if err == nil {
		t.proxies.noteAnswer(cmd, true, t.coordinator.now())
	}
	failedInTime := t.logPoll(&cmd, &inv, err, inTime)
	if err != nil && !failedInTime && !endsPoll(err) {
		return
	}
	t.update(func(now time.Time, s *sched.Scheduler) { applyPoll(now, s, &cmd, inv, err) })
}

// endsPoll reports whether an error is an answer, which counts also after the poll's timeout.
func endsPoll(err error) bool {
	var refused *RefusedError
	return errors.Is(err, ErrInstanceMismatch) || errors.As(err, &refused) && refused.Reason == sched.RefusedFenced
}

// logPoll logs the outcome of a poll, and reports whether it failed in time, so that the failure isn't known yet.
func (t *term) logPoll(cmd *sched.PollCommand, inv *sched.Inventory, err error, inTime bool) bool {
	id := cmd.Server.ID
	switch {
	case err == nil:
		t.logAnswered(id)
		t.logEnds(cmd, inv)
	case errors.Is(err, ErrInstanceMismatch):
		t.config.Log.Info("another server responds", "server", string(id), "address", cmd.Server.Address)
	case inTime && !endsPoll(err):
		t.logPollFailed(id, err.Error())
		return true
	}
	return false
}

// logEnds logs the ended runs that the reply to a poll lists.
func (t *term) logEnds(cmd *sched.PollCommand, inv *sched.Inventory) {
	detail := t.config.Log.V(1)
	if !detail.Enabled() {
		return
	}
	for _, f := range inv.Finished {
		if f.Number > cmd.Acknowledged {
			detail.Info("run ended", "job", string(f.Task.Job), "step", f.Task.Step, "index", f.Task.Index,
				"run", uint64(f.Run), "server", string(cmd.Server.ID), "end", string(f.Outcome))
		}
	}
}

// applyPoll passes the outcome of a poll to the scheduler.
func applyPoll(now time.Time, s *sched.Scheduler, cmd *sched.PollCommand, inv sched.Inventory, err error) {
	id := cmd.Server.ID
	var refused *RefusedError
	switch {
	case err == nil:
		s.Polled(now, id, cmd.Serial, inv)
	case errors.Is(err, ErrInstanceMismatch):
		s.ServerReplaced(now, cmd.Server)
		s.PollFailed(now, id, cmd.Serial) // ends the poll if the server has registered elsewhere
	case errors.As(err, &refused) && refused.Reason == sched.RefusedFenced:
		s.StopRefused(now)
	default:
		s.PollFailed(now, id, cmd.Serial)
	}
}

// isPollCurrent reports whether a poll is still to be sent.
func (t *term) isPollCurrent(id sched.ServerID, serial uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.IsPollCurrent(id, serial)
}

// isPollOutdated reports whether the server has restarted while the poll waited for the leader's confirmation.
func (t *term) isPollOutdated(cmd sched.PollCommand) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.IsPollOutdated(cmd)
}

// pollFailed reports a poll without a reply in time to the scheduler.
func (t *term) pollFailed(cmd sched.PollCommand, reason string) {
	if t.ctx.Err() != nil {
		return
	}
	t.logPollFailed(cmd.Server.ID, reason)
	t.update(func(now time.Time, s *sched.Scheduler) { s.PollFailed(now, cmd.Server.ID, cmd.Serial) })
}

// logPollFailed logs the first failed poll since a server's last reply.
func (t *term) logPollFailed(id sched.ServerID, reason string) {
	if t.silences.failed(id, t.coordinator.now()) {
		t.config.Log.Info("server poll failed", "server", string(id), "error", reason)
	}
}

// logAnswered logs the first reply of a server after failed polls.
func (t *term) logAnswered(id sched.ServerID) {
	if f, failed := t.silences.answered(id); failed {
		t.config.Log.Info("server answers polls again", "server", string(id), "failed", f.polls,
			"silent-for", t.coordinator.now().Sub(f.since).String())
	}
}

// silence describes the failed polls of a server since its last reply.
type silence struct {
	since time.Time
	polls int
}

// silences holds the servers whose latest poll failed. One line for each silence keeps the log readable while many servers
// can't be reached. It is safe for concurrent use.
type silences struct {
	mu       sync.Mutex
	byServer map[sched.ServerID]silence
}

// failed counts a failed poll and reports whether it is the first one since the last reply.
func (s *silences) failed(id sched.ServerID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, silent := s.byServer[id]
	if !silent {
		f.since = now
	}
	f.polls++
	s.byServer[id] = f
	return !silent
}

// answered ends the silence of a server, if there is one, and returns it.
func (s *silences) answered(id sched.ServerID) (silence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, silent := s.byServer[id]
	delete(s.byServer, id)
	return f, silent
}
