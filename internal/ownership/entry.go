package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// entry is a backend server that this member owns or is caretaker of. One goroutine polls it.
type entry struct {
	id           ident.HostID
	server       backend.Server
	caretaker    bool
	cancel       context.CancelFunc
	previousDone <-chan struct{} // closed when the goroutine of the host's previous entry has ended; nil if there was none
	done         chan struct{}
	wake         chan struct{} // ends a wait between two calls

	lock             *sync.Mutex // of the shard; guards the fields below
	host             platform.Host
	fence            backend.Fence // of the last attach that succeeded
	attached         bool
	reattachEpoch    ident.Epoch // attach again after the current poll unless confirmed at this epoch
	ownedSince       ident.Epoch // epoch of the first in the latest run of consecutive views with this member as owner
	ownedThrough     ident.Epoch // epoch of the last view of that run
	confirmedEpoch   ident.Epoch // no other member can have attached from the fence's epoch up to this one
	blockedEpoch     ident.Epoch // another member attached at this epoch; wait for a newer view
	boot             string
	cursor           uint64
	validUntil       time.Time // starts are allowed before it; counted from before the last renewal was sent
	leaseEnd         time.Time // every lease that this member may have granted ends before it
	othersLeaseEnd   time.Time // every lease of an earlier owner ends before it; zero after an attach
	unanswered       bool      // the last call that may have reached the server got no reply
	lapsed           bool      // no lease can be left
	leaving          bool      // reported by the server
	listLeaving      bool      // marked as leaving in the host list, or missing from it
	acknowledgements []ident.AttemptID
	pollNow          bool   // the next poll returns at once
	cancelPoll       func() // cancels the poll in flight; nil when there is none
	removed          bool
	reason           DetachReason // of the removal

	// Used by the entry's goroutine only.
	attachReported bool // Attached was reported, and Detached has not been since
	failures       int
	earlyReplies   int // consecutive replies that came early without new results
}

// pollNowLocked cancels the poll in flight. The next one is sent without delay and asks the server not to wait.
func (e *entry) pollNowLocked() {
	e.pollNow = true
	if e.cancelPoll != nil {
		e.cancelPoll()
	}
	notify(e.wake)
}

// renewalInterval returns the interval that keeps the renewals of all polled hosts within the control traffic budget.
func (t *Table) renewalInterval() time.Duration {
	return t.intervalFor(t.polledHosts.Load())
}

// intervalFor returns the renewal interval of a member that polls the given number of hosts.
func (t *Table) intervalFor(hosts int64) time.Duration {
	interval := time.Duration(hosts) * BytesPerExchange * time.Second / time.Duration(t.config.ControlBytesPerSecond)
	return min(max(interval, t.config.MinRenewal), t.config.MaxRenewal)
}

// maxLease returns the longest lease that any member grants, which is that of a member that polls every host. Such a
// member may have an older or newer host list, so the list is assumed to be up to twice as long as the longest seen here.
func (t *Table) maxLease() time.Duration {
	return renewalsPerLease * t.intervalFor(2*t.maxHostCount.Load())
}

// othersLeaseEnd returns the time at which the last lease of earlier owners ends. Such an owner may attach or renew for
// MaxViewLag after the view changed; checkLapse adds the lag of this member's own view.
func (t *Table) othersLeaseEnd() time.Time {
	return t.config.Now().Add(t.maxLease() + t.config.MaxViewLag)
}

// loop polls the entry's backend server until the entry is removed or ctx ends.
func (t *Table) loop(ctx context.Context, e *entry) {
	defer close(e.done)
	t.polledHosts.Add(1)
	defer t.polledHosts.Add(-1)
	if e.previousDone != nil {
		<-e.previousDone // keeps the host's events in order
	}
	for ctx.Err() == nil {
		wait := t.config.MinRenewal
		if !t.config.Isolated() {
			wait = t.step(ctx, e)
		}
		if wait <= 0 {
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-e.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	e.lock.Lock()
	reason := e.reason
	e.lock.Unlock()
	if reason != "" {
		t.reportDetached(e, reason)
	}
}

// reportDetached reports Detached unless it was reported since the last Attached.
func (t *Table) reportDetached(e *entry, reason DetachReason) {
	if !e.attachReported {
		return
	}
	e.attachReported = false
	t.config.Log.V(1).Info("backend server detached", "host", e.id, "reason", reason)
	t.config.Events.Detached(e.id, reason)
}

// step makes one call to the backend server and returns how long to wait before the next.
func (t *Table) step(ctx context.Context, e *entry) time.Duration {
	if wait := t.quietPeriod(e); wait > 0 {
		return wait
	}
	e.lock.Lock()
	attach := !e.attached || e.reattachEpoch > e.confirmedEpoch
	e.lock.Unlock()
	var err error
	switch {
	case e.caretaker:
		err = t.pollAsCaretaker(ctx, e)
	case attach:
		err = t.attach(ctx, e)
	default:
		err = t.poll(ctx, e)
	}
	if err == nil {
		e.failures = 0
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	return t.handleCallError(e, err)
}

// backoff returns a jittered wait that doubles with every failure in a row, up to one renewal interval.
func (t *Table) backoff(e *entry) time.Duration {
	const minBackoff = 100 * time.Millisecond
	wait := min(minBackoff<<min(e.failures, 16), t.renewalInterval())
	e.failures++
	return wait/2 + time.Duration(float64(wait/2)*t.config.Jitter())
}
