package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// DefaultGangExpiry is how long a member reserves capacity for an all-at-once job that hasn't been committed.
	DefaultGangExpiry = 2 * time.Second
	// gangCallTimeout bounds one reservation call. It is well below DefaultGangExpiry.
	gangCallTimeout = 500 * time.Millisecond
)

// gang is an all-at-once job. Only the entry of its first task is queued, on behalf of all tasks.
type gang struct {
	leader  Key
	members []Key

	mu      sync.Mutex
	round   int // rounds in which tasks were started
	pending int // tasks of this round without a result
	failure string
	results []gangTaskResult
}

type gangTaskResult struct {
	key         Key
	host        ident.HostID
	result      backend.Result
	acknowledge func()
}

// SubmitGang queues an all-at-once job. After an error none of its tasks was accepted.
func (d *Dispatcher) SubmitGang(works []Work) error {
	if len(works) == 0 {
		return fmt.Errorf("gang without tasks: %w", ErrImpossible)
	}
	if ok, reason := d.CouldFit(works[0]); !ok {
		return fmt.Errorf("%w: %s", ErrImpossible, reason)
	}
	g := &gang{leader: works[0].key()}
	entries := make([]*entry, len(works))
	for i, w := range works {
		g.members = append(g.members, w.key())
		entries[i] = &entry{key: w.key(), work: w, phase: queued, submitted: d.config.Now(), gang: g}
	}
	for i, e := range entries {
		if err := d.insert(e); err != nil {
			d.removeAll(g.members[:i])
			return err
		}
	}
	if err := d.queue.Push(d.item(entries[0])); err != nil {
		d.removeAll(g.members)
		return fmt.Errorf("queue gang %s: %w", g.leader.Job, err)
	}
	d.Wake()
	return nil
}

func (d *Dispatcher) removeAll(keys []Key) {
	for _, k := range keys {
		d.remove(k)
	}
}

// memberReservation is the number of a gang's tasks for which one member has reserved capacity.
type memberReservation struct {
	member ident.MemberID
	tasks  int
}

// placeGang reserves capacity on the members in ID order and starts the tasks only when all of it is reserved. The fixed
// order and the expiry keep two gangs from blocking each other for longer than one expiry.
func (d *Dispatcher) placeGang(ctx context.Context, e *entry) {
	id := ident.Random("gang")
	reservations, missing := d.reserveGang(ctx, e, id)
	if missing > 0 {
		d.cancelGang(ctx, id, reservations)
		d.requeueGang(e, fmt.Sprintf("capacity for %d of %d tasks is missing", missing, len(e.gang.members)))
		return
	}
	if err := d.prepare(ctx, e); err != nil {
		d.cancelGang(ctx, id, reservations)
		d.endGang(e.gang, err.Error())
		return
	}
	d.commitGang(ctx, e, id, reservations)
}

func (d *Dispatcher) reserveGang(ctx context.Context, e *entry, id string) ([]memberReservation, int) {
	missing := len(e.gang.members)
	var reservations []memberReservation
	for _, m := range d.gangOrder() {
		if missing == 0 {
			break
		}
		r := wire.GangReserveRequest{
			Sender: d.sender(), Gang: id, Team: e.work.Task.Team, Demand: e.work.Task.Demand, Tasks: missing,
			TTL: backend.ToMillis(d.config.GangExpiry), Avoid: e.avoid,
		}
		reply, err := d.reserveOnMember(ctx, m.ID, r)
		if err != nil || reply.Reserved > 0 {
			// After a lost reply the member may have reserved capacity, so a cancellation must include it.
			reservations = append(reservations, memberReservation{m.ID, reply.Reserved})
		}
		missing -= reply.Reserved
	}
	return reservations, missing
}

// gangOrder returns the active members in ID order, those of this member's region first, so that payloads stay in the
// region.
func (d *Dispatcher) gangOrder() []member.Member {
	region := d.config.Self().Region
	members := d.config.View().Filter(member.Active)
	slices.SortStableFunc(members, func(a, b member.Member) int {
		switch {
		case a.Region == region && b.Region != region:
			return -1
		case a.Region != region && b.Region == region:
			return 1
		}
		return 0
	})
	return members
}

func (d *Dispatcher) reserveOnMember(ctx context.Context, to ident.MemberID, r wire.GangReserveRequest) (wire.GangReserveReply, error) {
	if to == d.config.Self().ID {
		return d.HandleGangReserve(ctx, r)
	}
	call, cancel := context.WithTimeout(ctx, gangCallTimeout)
	defer cancel()
	return d.config.Peers.GangReserve(call, to, r)
}

func (d *Dispatcher) cancelGang(ctx context.Context, id string, reservations []memberReservation) {
	for _, h := range reservations {
		c := wire.GangCancelRequest{Sender: d.sender(), Gang: id}
		if h.member == d.config.Self().ID {
			_, _ = d.HandleGangCancel(ctx, c)
			continue
		}
		call, cancel := context.WithTimeout(ctx, gangCallTimeout)
		if _, err := d.config.Peers.GangCancel(call, h.member, c); err != nil {
			d.config.Log.V(1).Info("failed to cancel a gang reservation, which will expire", "gang", id, "member", h.member)
		}
		cancel()
	}
}

// requeueGang queues the whole gang again after a backoff.
func (d *Dispatcher) requeueGang(e *entry, reason string) {
	for _, k := range e.gang.members {
		d.withEntry(k, func(m *entry) { m.phase = waiting })
	}
	d.recordDecision(e, "waits", reason)
	pause := d.config.Backoff.Delay(1)
	d.spawn(func(ctx context.Context) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if reason := d.gangCancelled(e.gang); reason != "" {
			d.endGang(e.gang, reason)
			return
		}
		for _, k := range e.gang.members {
			d.withEntry(k, func(m *entry) { m.phase = queued })
		}
		d.requeue(e, "waits", "requests capacity again")
	})
}

func (d *Dispatcher) gangCancelled(g *gang) string {
	reason := ""
	for _, k := range g.members {
		d.withEntry(k, func(m *entry) {
			if m.cancelReason != "" {
				reason = m.cancelReason
			}
		})
	}
	return reason
}

// commitGang starts the tasks on the members that have reserved capacity for them.
func (d *Dispatcher) commitGang(ctx context.Context, e *entry, id string, reservations []memberReservation) {
	g := e.gang
	g.mu.Lock()
	g.pending, g.failure, g.results = len(g.members), "", nil
	g.round++
	g.mu.Unlock()
	next := 0
	var commits sync.WaitGroup // in parallel, so that no reservation expires while another member starts its tasks
	defer commits.Wait()
	for _, h := range reservations {
		keys := g.members[next : next+h.tasks]
		next += h.tasks
		tasks := make([]backend.Task, len(keys))
		for i, k := range keys {
			attempt := d.newAttempt(k)
			d.withEntry(k, func(m *entry) {
				m.attempt, m.phase, m.member = attempt, placing, h.member
				tasks[i] = m.work.Task
				tasks[i].Attempt, tasks[i].Origin = attempt, d.config.Self().ID
			})
		}
		if len(tasks) > 0 {
			commits.Go(func() { d.commitMember(ctx, g, id, h.member, keys, tasks) })
		}
	}
}

func (d *Dispatcher) commitMember(ctx context.Context, g *gang, id string, to ident.MemberID, keys []Key, tasks []backend.Task) {
	c := wire.GangCommitRequest{Sender: d.sender(), Gang: id, Tasks: tasks}
	var reply wire.GangCommitReply
	var err error
	if to == d.config.Self().ID {
		reply, err = d.HandleGangCommit(ctx, c)
	} else {
		reply, err = d.config.Peers.GangCommit(ctx, to, c)
	}
	for i, k := range keys {
		var m *entry
		if !d.withEntry(k, func(found *entry) { m = found }) {
			continue
		}
		switch {
		case err != nil && !d.config.Peers.NotDelivered(err):
			d.markUncertain(m, tasks[i].Attempt, fmt.Sprintf("the reply of daemon %s was lost: %v", to, err))
		case err != nil || !reply.Accepted || i >= len(reply.Hosts) || reply.Hosts[i] == "":
			d.recordGangResult(m, "", backend.Result{
				Attempt: tasks[i].Attempt, Job: k.Job, Index: k.Index, Exit: backend.ExitStopped,
				Message: fmt.Sprintf("daemon %s did not start the task: %s", to, reply.Reason),
			}, func() {})
		default:
			d.recordStart(m, tasks[i].Attempt, reply.Hosts[i], to)
		}
	}
	g.mu.Lock()
	failed := g.failure
	g.mu.Unlock()
	if failed != "" {
		d.stopGang(g)
	}
}

// recordGangResult records how one task ended. When one fails, the others are stopped, and all tasks that haven't
// succeeded start again together.
func (d *Dispatcher) recordGangResult(e *entry, host ident.HostID, r backend.Result, acknowledge func()) {
	g := e.gang
	g.mu.Lock()
	if i := slices.IndexFunc(g.results, func(d gangTaskResult) bool { return d.key == e.key }); i >= 0 {
		// A peer repeats its push until the result is acknowledged, which happens only after the last task has ended.
		previous := g.results[i].acknowledge
		g.results[i].acknowledge = func() { previous(); acknowledge() }
		g.mu.Unlock()
		return
	}
	g.pending--
	g.results = append(g.results, gangTaskResult{e.key, host, r, acknowledge})
	first := false
	if r.Exit != backend.ExitSucceeded && g.failure == "" {
		g.failure, first = fmt.Sprintf("task %d ended as %s: %s", e.key.Index, r.Exit, r.Message), true
	}
	done, failure, results := g.pending == 0, g.failure, slices.Clone(g.results)
	g.mu.Unlock()
	if first {
		d.stopGang(g)
	}
	if done {
		d.endRound(e, failure, results)
	}
}

func (d *Dispatcher) stopGang(g *gang) {
	for _, k := range g.members {
		d.withEntry(k, func(m *entry) {
			if m.phase == running || m.phase == uncertain {
				d.spawn(func(ctx context.Context) { d.stopAttempt(ctx, m) })
			}
		})
	}
}

// endRound finishes the job, or starts it again when a task failed and attempts are left.
func (d *Dispatcher) endRound(e *entry, failure string, results []gangTaskResult) {
	g := e.gang
	if failure != "" && d.mayRetryGang(e, results) {
		d.restartUnfinished(g, failure, results)
		return
	}
	for _, r := range results {
		var m *entry
		if !d.withEntry(r.key, func(found *entry) { m, found.phase = found, finished }) {
			continue
		}
		f := d.completion(m, r.host, r.result, failure)
		if failure != "" && f.Outcome == api.Answered {
			f.Outcome = api.Failed
		}
		d.finish(m, f, r.acknowledge)
	}
}

// restartUnfinished ends the tasks that succeeded, which must not run again, and queues the others as a new gang.
func (d *Dispatcher) restartUnfinished(g *gang, failure string, results []gangTaskResult) {
	g.mu.Lock()
	remaining := &gang{round: g.round}
	g.mu.Unlock()
	for _, r := range results {
		if r.result.Exit != backend.ExitSucceeded {
			remaining.members = append(remaining.members, r.key)
		}
	}
	slices.SortFunc(remaining.members, func(a, b Key) int { return cmp.Compare(a.Index, b.Index) })
	remaining.leader = remaining.members[0]
	var leader *entry
	for _, r := range results {
		succeeded := r.result.Exit == backend.ExitSucceeded
		var m *entry
		d.withEntry(r.key, func(found *entry) {
			m = found
			if succeeded {
				found.phase = finished
			} else {
				found.gang = remaining
			}
		})
		switch {
		case m == nil:
		case succeeded:
			d.finish(m, d.completion(m, r.host, r.result, ""), r.acknowledge)
		default:
			r.acknowledge()
			if r.key == remaining.leader {
				leader = m
			}
		}
	}
	if leader != nil {
		d.requeueGang(leader, failure)
	}
}

func (d *Dispatcher) mayRetryGang(e *entry, results []gangTaskResult) bool {
	if d.gangCancelled(e.gang) != "" || e.work.Task.NonIdempotent {
		return false
	}
	failed := slices.ContainsFunc(results, func(r gangTaskResult) bool { return r.result.Exit == backend.ExitFailed })
	if !failed {
		return true // Lost capacity, a lapsed lease or a preemption doesn't use up attempts.
	}
	e.gang.mu.Lock()
	rounds := e.gang.round
	e.gang.mu.Unlock()
	return d.config.Budget.TakeRetry(rounds, e.work.Retries) == nil
}

// endGang ends a gang whose tasks don't run.
func (d *Dispatcher) endGang(g *gang, reason string) {
	for _, k := range g.members {
		var m *entry
		var f *Completion
		d.withEntry(k, func(found *entry) { m, found.phase, f = found, finished, found.notStartedCompletion(reason) })
		if m != nil {
			d.finish(m, *f, func() {})
		}
	}
}
