package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// entry is one backend server that is owned or cared for. One goroutine polls it.
type entry struct {
	id           ident.HostID
	server       backend.Server
	caretaker    bool
	cancel       context.CancelFunc
	previousDone <-chan struct{} // closed when the host's previous goroutine has ended; nil if there was none
	done         chan struct{}
	wake         chan struct{} // ends a wait between two tries

	lock             *sync.Mutex // of the shard; guards the fields below
	host             platform.Host
	fence            backend.Fence // of the last attach that succeeded
	attached         bool
	reattachEpoch    ident.Epoch // attach again after the present poll unless confirmed at this epoch
	ownedSince       ident.Epoch // first view of an unbroken run of views that name this member as owner
	ownedThrough     ident.Epoch // last view of that run
	confirmedEpoch   ident.Epoch // no other member can be owner in any view from the fence's epoch up to this one
	blockedEpoch     ident.Epoch // another member attached at this epoch; wait for a newer view
	boot             string
	cursor           uint64
	validUntil       time.Time // starts are allowed before it; from the time before the last renewal was sent
	leaseEnd         time.Time // the last lease that a renewal of this member may have set ends before it
	othersLeaseEnd   time.Time // the last lease of an earlier owner ends before it; zero after an attach
	unanswered       bool      // the last call that may have arrived had no answer
	lapsed           bool      // the last possible lease is certainly over
	leaving          bool      // said by the server
	listLeaving      bool      // leaving in the host list, or gone from it
	acknowledgements []ident.AttemptID
	pollNow          bool   // the next poll returns at once
	cancelPoll       func() // ends the poll in flight; nil when there is none
	removed          bool
	reason           DetachReason // of the removal

	// Used by the entry's goroutine only.
	attachReported bool // Attached was reported and Detached wasn't
	failures       int
	earlyReplies   int // replies in a row that came early without new results
}

// pollNowLocked ends the poll in flight, so that the next one goes out at once and returns at once.
func (e *entry) pollNowLocked() {
	e.pollNow = true
	if e.cancelPoll != nil {
		e.cancelPoll()
	}
	notify(e.wake)
}

// renewalInterval returns the renewal renewalInterval that keeps the renewals of all polled hosts within the control budget.
func (t *Table) renewalInterval() time.Duration {
	return t.intervalFor(t.polledHosts.Load())
}

// intervalFor returns the renewal interval of a member that polls this many hosts.
func (t *Table) intervalFor(hosts int64) time.Duration {
	interval := time.Duration(hosts) * BytesPerExchange * time.Second / time.Duration(t.config.ControlBytesPerSecond)
	return min(max(interval, t.config.MinRenewal), t.config.MaxRenewal)
}

// maxLease is the longest lease that any member gives: that of a member which polls every host. Its host list may lag
// or be ahead, so it is taken as up to twice as long as the longest that this member has seen.
func (t *Table) maxLease() time.Duration {
	return renewalsPerLease * t.intervalFor(2*t.maxHostCount.Load())
}

// othersLeaseEnd is when the last lease of earlier owners is over. Such an owner may attach or renew for ViewLag after the
// view changed; the lag of this member's own view is added in checkLapse.
func (t *Table) othersLeaseEnd() time.Time {
	return t.config.Now().Add(t.maxLease() + t.config.MaxViewLag)
}

// loop polls the entry's backend server until the entry is removed or ctx ends.
func (t *Table) loop(ctx context.Context, e *entry) {
	defer close(e.done)
	t.polledHosts.Add(1)
	defer t.polledHosts.Add(-1)
	if e.previousDone != nil {
		<-e.previousDone // keeps the order of the host's events
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

// reportDetached tells that the entry's inventory is no longer known.
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
