package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/ownership"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// pushRetryPause is the pause before an undelivered result is pushed to its origin again.
	pushRetryPause = 500 * time.Millisecond
	// pushTimeout bounds one push. An origin of a durable task confirms only after its store write.
	pushTimeout = 10 * time.Second
)

// Attached records the inventory of a backend server that this daemon now owns.
func (d *Dispatcher) Attached(host platform.Host, inventory backend.Inventory) {
	d.config.Pool.Attach(host, inventory)
	self := d.config.Self().ID
	for _, r := range inventory.Running {
		d.config.Limits.AddRunning(host, r.Team, 1)
		d.withEntry(Key{r.Job, r.Index}, func(e *entry) {
			if e.attempt == r.Attempt && (e.phase == running || e.phase == uncertain) {
				e.phase, e.host, e.member, e.missedAudits = running, host.ID, self, 0
			}
		})
	}
	d.Wake()
}

// Detached removes a backend server. After its lease lapsed its attempts have certainly stopped, and their origins
// are notified.
func (d *Dispatcher) Detached(host ident.HostID, reason ownership.DetachReason) {
	if reason != ownership.DetachLapsed {
		d.unconfirmed.dropHost(host)
	}
	for _, p := range d.config.Pool.Detach(host) {
		if reason != ownership.DetachLapsed {
			d.config.Limits.RemoveRunning(host, p.Task.Team, 1)
			continue
		}
		d.config.Limits.Release(p.Task.Team, 1)
		d.deliver(host, backend.Result{
			Attempt: p.Task.Attempt, Job: p.Task.Job, Index: p.Task.Index, Team: p.Task.Team, Queue: p.Task.Queue,
			Request: p.Task.Request, Origin: p.Task.Origin, Exit: backend.ExitLeaseLapsed,
			Message: "the lease of the backend server lapsed",
		})
	}
}

// Finished handles the result of an attempt from a backend server of this daemon.
func (d *Dispatcher) Finished(host ident.HostID, r backend.Result) {
	if p, ok := d.config.Pool.Find(r.Attempt); ok {
		r.Origin = p.Task.Origin // The origin may have changed since the start; see HandleQuery.
	}
	intact := r.Intact()
	// The result is kept before the attempt is released, so that a daemon that looks for the attempt finds one of them.
	isNew := intact && d.unconfirmed.add(host, r, d.config.Now())
	d.releaseAttempt(host, r.Attempt, r.Team)
	switch r.Exit {
	case backend.ExitSucceeded:
		d.config.Blame.RecordSuccess(host, r.Job)
	case backend.ExitFailed:
		d.config.Blame.RecordFailure(host, r.Job)
	}
	if !intact {
		d.counts.damaged.Inc()
		d.config.Log.Info("result doesn't match its announced length or checksum", "attempt", r.Attempt, "host", host)
		return // Not acknowledged, so the backend server sends it again.
	}
	if isNew {
		d.handOver(host, r)
	}
}

// deliver keeps a result and hands it to its origin, unless it is kept already.
func (d *Dispatcher) deliver(host ident.HostID, r backend.Result) {
	if d.unconfirmed.add(host, r, d.config.Now()) {
		d.handOver(host, r)
	}
}

// handOver hands a result to its origin and acknowledges it to the backend server once the origin has confirmed it.
func (d *Dispatcher) handOver(host ident.HostID, r backend.Result) {
	acknowledge := func() {
		d.unconfirmed.remove(r.Attempt)
		d.config.Servers.Acknowledge(host, r.Attempt)
	}
	if r.Origin == d.config.Self().ID {
		d.acceptResult(host, r, acknowledge)
		return
	}
	d.spawn(func(ctx context.Context) { d.pushResult(ctx, host, r, acknowledge) })
}

// pushResult pushes the result until the origin has confirmed it, reports that it doesn't know the task, or has left
// the view.
func (d *Dispatcher) pushResult(ctx context.Context, host ident.HostID, r backend.Result, acknowledge func()) {
	d.unconfirmed.setPushing(r.Attempt, true)
	defer d.unconfirmed.setPushing(r.Attempt, false)
	for {
		if _, ok := d.config.View().Find(r.Origin); !ok {
			return // The result is kept for a resubmission or for a daemon that adopts the origin's jobs.
		}
		call, cancel := context.WithTimeout(ctx, pushTimeout)
		reply, err := d.config.Peers.Answer(call, r.Origin, wire.ResultPush{Sender: d.sender(), Host: host, Result: r})
		cancel()
		if err == nil {
			if reply.Accepted {
				acknowledge()
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pushRetryPause):
		}
	}
}

// HandleAnswer accepts a result that a peer collected for a task of this daemon, and confirms it once it is safe.
func (d *Dispatcher) HandleAnswer(ctx context.Context, a wire.ResultPush) (wire.ResultReply, error) {
	if !a.Result.Intact() {
		d.counts.damaged.Inc()
		return wire.ResultReply{}, fmt.Errorf("result of attempt %s doesn't match its announced length or checksum", a.Result.Attempt)
	}
	kept := make(chan struct{})
	if !d.acceptResult(a.Host, a.Result, func() { close(kept) }) {
		return wire.ResultReply{}, nil
	}
	select {
	case <-kept:
		return wire.ResultReply{Accepted: true}, nil
	case <-ctx.Done():
		return wire.ResultReply{}, fmt.Errorf("store result of attempt %s: %w", a.Result.Attempt, ctx.Err())
	}
}

// acceptResult matches a result with the task that waits for it. A result of another attempt is dropped, so that a
// late result never reaches the wrong caller. It returns false when this daemon doesn't know the task.
func (d *Dispatcher) acceptResult(host ident.HostID, r backend.Result, acknowledge func()) bool {
	var e *entry
	var executor ident.MemberID
	current := false
	d.withEntry(Key{r.Job, r.Index}, func(found *entry) {
		e, executor = found, found.member
		current = e.attempt == r.Attempt && e.work.Task.Team == r.Team && e.phase != finished
		if current {
			e.mayHaveRun, e.host = true, host
			if e.phase == placing || e.phase == uncertain {
				e.attempts++ // The result came before the confirmation of the start.
			}
			e.phase = waiting
		}
	})
	if e == nil {
		return false
	}
	if !current {
		d.counts.dropped.Inc()
		acknowledge()
		return true
	}
	if executor != d.config.Self().ID && e.gang == nil {
		d.config.Fleet.Credit(executor, e.work.Task.Demand)
		d.Wake()
	}
	d.finishOrRetry(e, host, r, acknowledge)
	return true
}

// finishOrRetry ends the task of a finished attempt, or schedules another attempt.
func (d *Dispatcher) finishOrRetry(e *entry, host ident.HostID, r backend.Result, acknowledge func()) {
	if e.gang != nil {
		d.recordGangResult(e, host, r, acknowledge)
		return
	}
	restart, reason := d.decideRetry(e, r)
	if restart {
		if r.Exit == backend.ExitFailed {
			d.withEntry(e.key, func(e *entry) { e.avoidHost(host) })
		}
		acknowledge()
		d.retryLater(e, reason)
		return
	}
	d.withEntry(e.key, func(e *entry) { e.phase = finished })
	d.finish(e, d.completion(e, host, r, reason), acknowledge)
}

// decideRetry reports whether another attempt follows a result, and why.
func (d *Dispatcher) decideRetry(e *entry, r backend.Result) (bool, string) {
	if e.cancelReason != "" {
		return false, e.cancelReason
	}
	service := e.work.Kind == api.KindService
	switch r.Exit {
	case backend.ExitSucceeded:
		return service, "service ended and is restarted"
	case backend.ExitCheckpointed, backend.ExitStopped:
		if e.work.Task.NonIdempotent {
			return false, "stopped; non-idempotent work isn't retried"
		}
		d.withEntry(e.key, func(e *entry) { e.attempts-- })
		return true, "preempted by an urgent task"
	case backend.ExitLeaseLapsed:
		if e.work.Task.NonIdempotent {
			return false, r.Message
		}
		return true, r.Message
	default:
		ok, why := d.mayRetry(e)
		if ok {
			return true, fmt.Sprintf("attempt failed: %s", r.Message)
		}
		return false, fmt.Sprintf("attempt failed: %s; %s", r.Message, why)
	}
}

func (d *Dispatcher) completion(e *entry, host ident.HostID, r backend.Result, reason string) Completion {
	f := Completion{
		Result: r, Host: host, Attempt: r.Attempt, Attempts: e.attempts, Reason: reason,
		Waited: max(0, e.started.Sub(e.submitted)), Outcome: OutcomeOf(r.Exit),
	}
	if f.Outcome == api.Answered {
		f.Reason = ""
	}
	return f
}

// OutcomeOf returns the outcome of a task whose last attempt ended in the given state. After a lapsed lease it is
// unknown how far the attempt got.
func OutcomeOf(e backend.ExitState) api.Outcome {
	switch e {
	case backend.ExitSucceeded:
		return api.Answered
	case backend.ExitLeaseLapsed:
		return api.Unknown
	}
	return api.Failed
}
