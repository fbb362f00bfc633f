package ownership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// failedProbeThreshold is the number of consecutive failed probes after which a member counts as dead; a single
	// one may be lost.
	failedProbeThreshold = 2
	// probeTimeout is far above the 16 ms of a round trip between regions.
	probeTimeout = time.Second
)

// pollAsCaretaker polls a backend server whose owner is dead while the store is down. It renews the lease under the
// server's current epoch and collects results.
func (t *Table) pollAsCaretaker(ctx context.Context, e *entry) error {
	e.lock.Lock()
	if e.fence.Epoch == 0 {
		e.fence.Epoch = t.config.View().Epoch // if the server has a newer one, its refusal names it
	}
	e.fence.Owner = t.config.Self().ID
	e.lock.Unlock()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := t.nextPollRequest(e, cancel)
	reply, err := t.sendPoll(callCtx, e, request)
	e.lock.Lock()
	e.cancelPoll = nil
	e.lock.Unlock()
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return nil
	}
	if err != nil {
		return fmt.Errorf("poll %s as caretaker: %w", e.id, err)
	}
	t.applyReply(e, request.Acknowledge, reply)
	t.reportFinished(e, reply.Finished)
	return nil
}

// probeMembers probes the other members every HostsInterval while the store is down, because dead members then stay in
// the view.
func (t *Table) probeMembers(ctx context.Context) error {
	ticker := time.NewTicker(t.config.HostsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		var failed map[ident.MemberID]bool
		if !t.config.StoreHealthy() {
			failed = t.probeAll(ctx)
		}
		t.recordProbes(failed)
	}
}

// probeAll returns which of the other members don't answer.
func (t *Table) probeAll(ctx context.Context) map[ident.MemberID]bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	self := t.config.Self().ID
	failed := map[ident.MemberID]bool{}
	var mu sync.Mutex
	var probes sync.WaitGroup
	for _, m := range t.config.View().Filter(member.Active, member.Unreachable) {
		if m.ID == self {
			continue
		}
		probes.Go(func() {
			err := t.config.Probe(ctx, m.ID)
			mu.Lock()
			defer mu.Unlock()
			failed[m.ID] = err != nil
		})
	}
	probes.Wait()
	return failed
}

// recordProbes counts the consecutive failed probes of each member, and requests a reconciliation when a member starts or
// ceases to count as dead. A nil map means that the store is healthy and no member was probed.
func (t *Table) recordProbes(failed map[ident.MemberID]bool) {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if failed != nil {
		t.lastUnhealthy = now
	}
	next := map[ident.MemberID]int{}
	changed := false
	for id, down := range failed {
		if down {
			next[id] = t.failedProbes[id] + 1
		}
		changed = changed || next[id] == failedProbeThreshold
	}
	for id, count := range t.failedProbes {
		changed = changed || count >= failedProbeThreshold && next[id] == 0
	}
	t.failedProbes = next
	if changed {
		t.ViewChanged()
	}
}
