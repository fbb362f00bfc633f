package ownership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// attach attaches to the backend server at the current view's epoch and reports its inventory.
func (t *Table) attach(ctx context.Context, e *entry) error {
	view, self := t.config.View(), t.config.Self().ID
	epoch := view.Epoch
	e.lock.Lock()
	host := e.host
	blocked := e.blockedEpoch
	e.attached = false // the server refuses starts under the old fence from now on
	e.lock.Unlock()
	// The view may be newer than the last reconciliation. An attach by a member that isn't the owner in this view would
	// make the owner's attach at the same epoch fail.
	if owner, _ := Owner(view, host); owner != self || blocked >= epoch {
		return errWaitForView
	}
	fence := backend.Fence{Epoch: epoch, Owner: self, AttachNumber: t.lastAttach.Add(1)}
	lease := renewalsPerLease * t.renewalInterval()
	sent := t.config.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	inventory, err := e.server.Attach(callCtx, fence, backend.ToMillis(lease))
	cancel()
	t.recordLeaseEnd(e, lease, err)
	if err != nil {
		return fmt.Errorf("attach %s: %w", e.id, err)
	}
	e.lock.Lock()
	known, rebooted := e.boot == inventory.Boot, e.boot != "" && e.boot != inventory.Boot
	e.lock.Unlock()
	if rebooted {
		t.reportDetached(e, DetachLapsed)
	}
	if !known {
		if err := t.confirmView(ctx, epoch); err != nil {
			return fmt.Errorf("attach %s: %w", e.id, err)
		}
	}
	// The inventory is reported before starts are allowed, so that the scheduler knows the free capacity by then, and with all
	// results before it counts as complete: a member that adopts jobs starts every task that no complete inventory lists.
	e.attachReported = true
	t.config.Log.V(1).Info("backend server attached", "host", e.id, "epoch", epoch, "boot", inventory.Boot)
	t.config.Events.Attached(host, inventory)
	t.reportFinished(e, inventory.Finished)
	e.lock.Lock()
	e.fence, e.boot, e.cursor = fence, inventory.Boot, inventory.Cursor
	e.attached = !e.removed
	e.confirmedEpoch = max(e.confirmedEpoch, epoch)
	if epoch >= e.ownedSince {
		// The views that arrived during the attach kept this owner, so they need no attach of their own.
		e.confirmedEpoch = max(e.confirmedEpoch, e.ownedThrough)
	}
	e.leaving = inventory.Leaving
	e.validUntil = sent.Add(lease - t.config.ClockDrift)
	e.othersLeaseEnd, e.lapsed, e.blockedEpoch = time.Time{}, false, 0
	e.lock.Unlock()
	return nil
}

// confirmView checks with the store that the view of an attach was still the newest one after the attach took effect. A
// server that lost its fence in a restart also accepts an attach of an older view than the one it had accepted before.
// Once the view is confirmed, every attach of a newer view comes later and fences this member off. Concurrent attaches
// share one read of the store.
func (t *Table) confirmView(ctx context.Context, epoch ident.Epoch) error {
	before := t.refreshCount.Load()
	t.refreshMu.Lock()
	if t.refreshCount.Load() == before {
		t.refreshCount.Add(1)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		t.refreshErr = t.config.Refresh(ctx)
		cancel()
	}
	err := t.refreshErr
	t.refreshMu.Unlock()
	if err != nil {
		return fmt.Errorf("confirm view at epoch %d: %w", epoch, err)
	}
	if t.config.View().Epoch != epoch {
		return errWaitForView
	}
	return nil
}

// poll renews the lease, sends the acknowledgements and reports the server's state and new results.
func (t *Table) poll(ctx context.Context, e *entry) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := t.nextPollRequest(e, cancel)
	sent := t.config.Now()
	reply, err := t.sendPoll(callCtx, e, request)
	interrupted := callCtx.Err() != nil && ctx.Err() == nil
	e.lock.Lock()
	e.cancelPoll = nil
	if err == nil && reply.Boot == e.boot {
		e.validUntil = sent.Add(request.Lease.Duration() - t.config.ClockDrift)
		e.lapsed = false
	}
	boot := e.boot
	e.lock.Unlock()
	switch {
	case err != nil && interrupted:
		return nil
	case err != nil:
		return fmt.Errorf("poll %s: %w", e.id, err)
	case reply.Boot != boot:
		return fmt.Errorf("poll %s: boot id changed from %s to %s: %w", e.id, boot, reply.Boot, backend.ErrLeaseLapsed)
	}
	t.applyReply(e, request.Acknowledge, reply)
	t.config.Events.Updated(e.id, reply)
	t.reportFinished(e, reply.Finished)
	if reply.Cursor != request.After || t.config.Now().Sub(sent) >= request.Wait.Duration()/2 {
		e.earlyReplies = 0
	} else if e.earlyReplies++; e.earlyReplies > maxEarlyReplies {
		return errTooManyEarlyReplies
	}
	return nil
}

// maxEarlyReplies is the number of consecutive replies that may come before the wait is over without new results, because
// the server's state changed. Further ones cause a backoff like failures, so that no backend server can use up the control
// traffic budget.
const maxEarlyReplies = 3

// errTooManyEarlyReplies reports more than maxEarlyReplies consecutive early replies.
var errTooManyEarlyReplies = errors.New("too many polls in a row returned early without new results")

// nextPollRequest builds the next poll and, unless that one asks for no wait, makes cancelPoll cancel it.
func (t *Table) nextPollRequest(e *entry, interrupt func()) backend.PollRequest {
	interval := t.renewalInterval()
	// Spreads the polls of hosts that were attached at the same time.
	wait := interval - time.Duration(float64(interval/8)*t.config.Jitter())
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.pollNow {
		wait, e.pollNow = 0, false
	} else {
		e.cancelPoll = interrupt
	}
	return backend.PollRequest{
		Fence: e.fence, Lease: backend.ToMillis(renewalsPerLease * interval), Wait: backend.ToMillis(wait), After: e.cursor,
		Acknowledge: slices.Clone(e.acknowledgements[:min(len(e.acknowledgements), maxAcknowledgementsPerPoll)]), Caretaker: e.caretaker,
	}
}

// sendPoll sends a poll with a timeout and records the end of the lease that it may have set.
func (t *Table) sendPoll(ctx context.Context, e *entry, r backend.PollRequest) (backend.PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait.Duration()+callTimeout)
	defer cancel()
	reply, err := e.server.Poll(ctx, r)
	t.recordLeaseEnd(e, r.Lease.Duration(), err)
	return reply, err
}

// recordLeaseEnd records the latest end of the lease that a call may have set. If the call took effect, it did so before
// it returned.
func (t *Table) recordLeaseEnd(e *entry, lease time.Duration, err error) {
	_, refused := backend.RefusalOf(err)
	e.lock.Lock()
	defer e.lock.Unlock()
	switch {
	case errors.Is(err, backend.ErrUnknownOutcome):
		e.unanswered = true
	case refused:
		e.unanswered = false
		return
	case errors.Is(err, backend.ErrUnreachable):
		return
	default:
		e.unanswered = err != nil
	}
	over := t.config.Now().Add(lease)
	if over.After(e.leaseEnd) {
		e.leaseEnd = over
	}
}

// applyReply stores the reply's cursor and leaving flag and removes the acknowledgements that the poll delivered.
func (t *Table) applyReply(e *entry, sent []ident.AttemptID, reply backend.PollReply) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.cursor = reply.Cursor
	e.leaving = reply.Leaving
	e.acknowledgements = append([]ident.AttemptID(nil), e.acknowledgements[len(sent):]...)
	if len(e.acknowledgements) >= acknowledgementFlushSize {
		e.pollNow = true
	}
}

func (t *Table) reportFinished(e *entry, results []backend.Result) {
	for _, r := range results {
		t.config.Events.Finished(e.id, r)
	}
}

// errWaitForView reports that this member can't attach with its current view: it isn't the owner in it, another member
// attached at this epoch or a later one, or the store has a newer view.
var errWaitForView = errors.New("waiting for a newer view")

// handleCallError updates the entry after a failed call and returns the wait before the next one.
func (t *Table) handleCallError(e *entry, err error) time.Duration {
	var stale backend.StaleEpochError
	switch {
	case errors.Is(err, errWaitForView):
		return t.renewalInterval() // a newer view ends the wait
	case errors.As(err, &stale):
		t.handleStaleFence(e, stale.Current)
	case errors.Is(err, backend.ErrStaleEpoch):
		t.handleStaleFence(e, backend.Fence{Epoch: t.config.View().Epoch})
	case errors.Is(err, backend.ErrLeaseLapsed):
		e.lock.Lock()
		e.attached = false
		e.lock.Unlock()
	}
	t.config.Log.V(1).Info("call to backend server failed", "host", e.id, "failures", e.failures, "error", err.Error())
	wait := t.backoff(e)
	attachAgain := errors.Is(err, backend.ErrStaleEpoch) || errors.Is(err, backend.ErrLeaseLapsed)
	switch {
	case attachAgain && e.failures == 1:
		return 0
	case e.caretaker:
		return wait
	}
	return min(wait, t.checkLapse(e))
}

// handleStaleFence handles a refusal because of a newer fence. If the view is newer than that fence or the fence is this
// member's own, the next call attaches again; otherwise another member owns the server. A caretaker only stores the epoch
// of the newer fence.
func (t *Table) handleStaleFence(e *entry, current backend.Fence) {
	epoch := t.config.View().Epoch
	own := current.Owner == t.config.Self().ID
	e.lock.Lock()
	if e.caretaker {
		e.fence.Epoch = current.Epoch
		e.lock.Unlock()
		return
	}
	e.attached = false
	moved := !own && current.Epoch >= epoch
	if moved {
		e.blockedEpoch, e.confirmedEpoch = current.Epoch, 0
		e.othersLeaseEnd, e.lapsed = t.othersLeaseEnd(), false
	}
	e.lock.Unlock()
	if own {
		for number := t.lastAttach.Load(); number < current.AttachNumber; number = t.lastAttach.Load() {
			t.lastAttach.CompareAndSwap(number, current.AttachNumber)
		}
	}
	if moved {
		t.reportDetached(e, DetachMoved)
	}
}

// quietPeriod returns how long no call may be sent to a server that has not answered for a whole lease of this member or
// of an earlier owner. Each unanswered call may renew the lease, so without a pause this member could never be certain
// that the lease has lapsed.
func (t *Table) quietPeriod(e *entry) time.Duration {
	now := t.config.Now()
	e.lock.Lock()
	silent := e.unanswered && !e.lapsed && !e.caretaker && now.After(e.validUntil) && now.After(e.othersLeaseEnd)
	left := e.leaseEnd.Add(t.config.ClockDrift + t.config.MaxViewLag).Sub(now)
	e.lock.Unlock()
	if !silent {
		return 0
	}
	if left <= 0 {
		t.checkLapse(e)
	}
	return max(0, left)
}

// checkLapse reports DetachLapsed once no lease can be left, and returns the time until the next check is due. A lease
// may have been set by this member, by an earlier owner, or by a caretaker while the store was down. While the store is
// healthy, another owner appears in the view within MaxViewLag; while the store is down, nothing can be ruled out.
func (t *Table) checkLapse(e *entry) time.Duration {
	const minRecheck = 10 * time.Millisecond
	healthy := t.config.StoreHealthy()
	now := t.config.Now()
	t.mu.Lock()
	if !healthy {
		t.lastUnhealthy = now
	}
	var over time.Time
	if !t.lastUnhealthy.IsZero() {
		over = t.lastUnhealthy.Add(t.maxLease())
	}
	t.mu.Unlock()
	e.lock.Lock()
	for _, other := range []time.Time{e.leaseEnd, e.othersLeaseEnd} {
		if other.After(over) {
			over = other
		}
	}
	left := over.Add(t.config.ClockDrift + t.config.MaxViewLag).Sub(now)
	known := e.lapsed || e.blockedEpoch > 0 || e.removed
	if !known && left <= 0 {
		e.lapsed, e.attached = true, false
	}
	e.lock.Unlock()
	if known {
		return t.renewalInterval()
	}
	if left > 0 {
		return max(left, minRecheck)
	}
	t.reportDetached(e, DetachLapsed)
	t.ViewChanged() // removes the entry if its host has left the host list
	return t.renewalInterval()
}
