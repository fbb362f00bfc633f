package ownership

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// role is what this member is to a host: none, its owner or its caretaker.
type role int

const (
	roleNone role = iota
	roleOwner
	roleCaretaker
)

// Run maintains the table until ctx ends, and returns after all of its goroutines have ended. It reports no Detached at
// the end, because the next owner attaches or the leases lapse.
func (t *Table) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.readHosts(ctx) })
	group.Go(func() error { return t.probeMembers(ctx) })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-t.wake:
				t.reconcile(ctx)
			}
		}
	})
	err := group.Wait()
	t.mu.Lock()
	t.clearLocked("")
	t.mu.Unlock()
	t.loops.Wait()
	return fmt.Errorf("ownership: %w", err)
}

// readHosts reads the host list every HostsInterval. The previous list stays in use when a read fails.
func (t *Table) readHosts(ctx context.Context) error {
	ticker := time.NewTicker(t.config.HostsInterval)
	defer ticker.Stop()
	for {
		if hosts, err := t.config.Hosts(ctx); err == nil {
			t.setHosts(hosts)
		} else if ctx.Err() == nil {
			t.config.Log.Info("reading the host list failed", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// setHosts replaces the host list and requests a reconciliation if the list changed.
func (t *Table) setHosts(hosts []platform.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	same := t.hostsLoaded && len(hosts) == len(t.hosts)
	for i := 0; same && i < len(hosts); i++ {
		same = t.hosts[hosts[i].ID] == hosts[i]
	}
	if same {
		return
	}
	t.hosts, t.hostsLoaded = make(map[ident.HostID]platform.Host, len(hosts)), true
	for _, h := range hosts {
		t.hosts[h.ID] = h
	}
	t.maxHostCount.Store(max(t.maxHostCount.Load(), int64(len(hosts))))
	t.ViewChanged()
}

// reconcile updates the entries to match the view, the host list and the failed probes.
func (t *Table) reconcile(ctx context.Context) {
	drops := t.dropCount.Load()
	view, self := t.config.View(), t.config.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hostsLoaded || ctx.Err() != nil {
		return
	}
	if drops != t.dropCount.Load() {
		t.ViewChanged() // view and self may have been read before the Drop
		return
	}
	t.incarnation = self.Incarnation
	if !view.HasIncarnation(self.ID, self.Incarnation) || t.droppedIncarnation > 0 && self.Incarnation <= t.droppedIncarnation {
		t.clearLocked(DetachDropped)
		t.epoch = view.Epoch
		return
	}
	// If a view was missed, another member may have been the owner in it, or may still attach with its epoch.
	gapless := view.Epoch == t.epoch || view.Epoch == t.epoch+1
	known := make(map[ident.HostID]platform.Host, len(t.hosts))
	t.forEachEntry(func(e *entry) {
		h, listed := t.hosts[e.id]
		if !listed {
			h = e.host
		}
		if listed || !e.lapsed && !e.caretaker {
			known[e.id] = h
		}
	})
	for id, h := range t.hosts {
		known[id] = h
	}
	t.forEachEntry(func(e *entry) {
		if _, ok := known[e.id]; !ok {
			t.removeLocked(e, DetachLapsed)
		}
	})
	for id, h := range known {
		_, listed := t.hosts[id]
		t.reconcileHostLocked(ctx, h, listed, t.roleLocked(view, self.ID, h), view.Epoch, gapless)
	}
	t.epoch = view.Epoch
}

// roleLocked returns this member's role for the host. The first member in the order of owners that answers its probes
// is the caretaker while the ones before it count as dead.
func (t *Table) roleLocked(view member.View, self ident.MemberID, h platform.Host) role {
	owner, ok := Owner(view, h)
	if ok && owner == self {
		return roleOwner
	}
	for ok && t.failedProbes[owner] >= failedProbeThreshold {
		if owner, ok = Successor(view, h, owner); ok && owner == self {
			return roleCaretaker
		}
	}
	return roleNone
}

// reconcileHostLocked creates, updates or removes the entry of one host.
func (t *Table) reconcileHostLocked(ctx context.Context, h platform.Host, listed bool, r role, epoch ident.Epoch, gapless bool) {
	s := t.shard(h.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[h.ID]
	if e != nil && (r == roleNone || e.caretaker != (r == roleCaretaker) || e.host.Address != h.Address) {
		t.removeLocked(e, DetachMoved)
		e = nil
	}
	if r == roleNone {
		return
	}
	if e == nil {
		e = t.createLocked(ctx, s, h, r)
	}
	e.host = h
	e.listLeaving = !listed || h.State == platform.HostLeaving
	if e.ownedSince == 0 || !gapless {
		e.ownedSince = epoch
	}
	e.ownedThrough = epoch
	switch {
	case e.caretaker:
	case e.blockedEpoch > 0 && epoch > e.blockedEpoch, !gapless && epoch > e.confirmedEpoch:
		e.othersLeaseEnd, e.lapsed, e.blockedEpoch = t.othersLeaseEnd(), false, 0
		e.reattachEpoch = epoch
		if e.cancelPoll != nil {
			e.cancelPoll() // the poll may otherwise wait for a whole renewal interval
		}
	case gapless && e.confirmedEpoch > 0 && e.confirmedEpoch == t.epoch:
		e.confirmedEpoch = epoch
	}
	if !e.attached {
		notify(e.wake)
	}
}

// createLocked adds an entry and starts its goroutine.
func (t *Table) createLocked(ctx context.Context, s *shard, h platform.Host, r role) *entry {
	ctx, cancel := context.WithCancel(ctx)
	e := &entry{
		id: h.ID, host: h, server: t.config.Dial(h), caretaker: r == roleCaretaker, cancel: cancel, lock: &s.mu,
		done: make(chan struct{}), wake: make(chan struct{}, 1), othersLeaseEnd: t.othersLeaseEnd(),
	}
	if ending, ok := t.loopDone[h.ID]; ok {
		e.previousDone = ending
	}
	t.loopDone[h.ID] = e.done
	s.entries[h.ID] = e
	t.loops.Go(func() { t.loop(ctx, e) })
	return e
}

// removeLocked removes the entry at once; its goroutine then reports Detached with the reason.
func (t *Table) removeLocked(e *entry, reason DetachReason) {
	e.removed, e.attached, e.reason = true, false, reason
	delete(t.shard(e.id).entries, e.id)
	e.cancel()
}

// clearLocked removes all entries and forgets the goroutines that have ended.
func (t *Table) clearLocked(reason DetachReason) {
	t.forEachEntry(func(e *entry) { t.removeLocked(e, reason) })
	for id, done := range t.loopDone {
		select {
		case <-done:
			delete(t.loopDone, id)
		default:
		}
	}
}

// Drop removes all backend servers at once when this member's incarnation was removed from the view. Starts are refused
// from its return on; each host's goroutine reports Detached with DetachDropped.
func (t *Table) Drop() {
	t.dropCount.Add(1)
	t.mu.Lock()
	t.droppedIncarnation = t.incarnation
	t.clearLocked(DetachDropped)
	t.mu.Unlock()
	t.ViewChanged()
}
