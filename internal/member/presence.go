package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// maxPresenceAttempts bounds the attempts to write the presence key in one round.
const maxPresenceAttempts = 4

// presence is the state of the lease and of the presence key of this process.
type presence struct {
	mu         sync.Mutex // held during the store calls of a round
	lease      platform.LeaseID
	renewedAt  time.Time
	keyWritten bool // the key was written under the lease
}

// maintainLoop runs maintain once per interval, and when it is woken, until ctx ends.
func (g *Group) maintainLoop(ctx context.Context) error {
	ticker := time.NewTicker(g.config.Interval)
	defer ticker.Stop()
	for {
		if err := g.maintain(ctx); err != nil && ctx.Err() == nil {
			if errors.Is(err, ErrReplaced) {
				return err
			}
			g.config.Log.V(1).Info("membership maintenance failed", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-g.maintainNow:
		}
	}
}

// maintain renews the lease, and writes the presence key and the entry in the record where they are missing or outdated.
func (g *Group) maintain(ctx context.Context) error {
	if g.leaving.Load() {
		return nil
	}
	if err := g.maintainLease(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	removed, replaced, known := g.removalPending, g.replaced, g.newestRevision != 0
	g.mu.Unlock()
	if removed { // callbackLoop wakes this loop after the callbacks
		return nil
	}
	if replaced {
		return ErrReplaced
	}
	s := g.snapshot.Load()
	state := g.desiredState()
	if known && s.joined && (s.self.State == state || s.self.State == Unreachable) {
		return nil
	}
	return g.join(ctx, state)
}

func (g *Group) desiredState() State {
	if g.draining.Load() {
		return Draining
	}
	return Active
}

// join writes this member's entry. The incarnation is the epoch of the write, so it is higher than any earlier one.
func (g *Group) join(ctx context.Context, state State) error {
	replaced := false
	err := g.updateRecord(ctx, func(next *record) bool {
		replaced = false
		if g.leaving.Load() {
			return false
		}
		e, own := next.find(g.config.Self.ID), g.Self().Incarnation
		if e != nil && e.Instance == g.instance {
			if e.State == state || e.State == Unreachable {
				return false
			}
			e.State = state
			return true
		}
		if e != nil && own > 0 && e.Incarnation > own {
			replaced = true
			return false
		}
		m := g.config.Self
		m.Incarnation, m.State = ident.Incarnation(next.Epoch), state
		next.put(entry{Member: m, Instance: g.instance})
		if _, ok := next.RegionFirstEpoch[m.Region]; !ok {
			// Views share the map of the record, so it is copied instead of changed.
			firstEpochs := map[ident.Region]ident.Epoch{m.Region: next.Epoch}
			maps.Copy(firstEpochs, next.RegionFirstEpoch)
			next.RegionFirstEpoch = firstEpochs
		}
		return true
	})
	if err == nil && replaced {
		return ErrReplaced
	}
	return err
}

// maintainLease renews the lease or takes a new one, and writes the presence key if it is missing.
func (g *Group) maintainLease(ctx context.Context) error {
	p := &g.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.leaving.Load() {
		return nil
	}
	if p.lease != 0 && g.config.Now().Sub(p.renewedAt) >= g.config.Interval/2 {
		started := g.config.Now()
		err := g.store.renew(ctx, p.lease)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			// The leases of other members may have lapsed for the same reason, so no member is removed for one period.
			g.health.reset()
			p.lease, p.keyWritten = 0, false
		case err != nil:
			return fmt.Errorf("renew lease: %w", err)
		default:
			p.renewedAt = started
		}
	}
	if p.lease == 0 {
		started := g.config.Now()
		id, err := g.store.grant(ctx, g.config.LeaseTTL)
		if err != nil {
			return fmt.Errorf("grant lease: %w", err)
		}
		p.lease, p.renewedAt, p.keyWritten = id, started, false
	}
	if p.keyWritten && !g.presenceCache.lostKey(g.config.Self.ID, g.instance) {
		return nil
	}
	return g.writePresence(ctx)
}

// presenceValue is the value of a presence key.
type presenceValue struct {
	writeStamp
	Instance string `json:"instance"`
}

// writePresence writes the presence key under the lease and replaces that of an earlier process with the same id.
func (g *Group) writePresence(ctx context.Context) error {
	p := &g.presence
	key := PrefixPresence + string(g.config.Self.ID)
	var expect platform.Revision
	for range maxPresenceAttempts {
		v := presenceValue{writeStamp: g.newWriteStamp(), Instance: g.instance}
		raw, err := json.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode presence key: %w", err)
		}
		_, err = g.swapAndResolve(ctx, key, expect, raw, p.lease, v.Nonce)
		switch {
		case err == nil:
			p.keyWritten = true
			g.presenceCache.recordWrite(g.config.Self.ID, g.instance)
			return nil
		case errors.Is(err, platform.ErrNotFound):
			p.lease = 0
			return fmt.Errorf("write presence key: lease lapsed: %w", err)
		case !errors.Is(err, platform.ErrConflict):
			return fmt.Errorf("write presence key: %w", err)
		}
		item, err := g.store.get(ctx, key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return fmt.Errorf("read presence key: %w", err)
		}
		expect = item.Revision
	}
	return fmt.Errorf("write presence key: %d attempts: %w", maxPresenceAttempts, platform.ErrConflict)
}

// Drain marks this member as draining. When the store can't be reached it returns the error, and Run retries the
// change until it succeeds.
func (g *Group) Drain(ctx context.Context) error {
	g.draining.Store(true)
	if !g.Joined() {
		return nil
	}
	return g.join(ctx, Draining)
}

// Leave removes this member from the view and ends its lease; it doesn't rejoin. After an error the other members
// remove it, as after a crash.
func (g *Group) Leave(ctx context.Context) error {
	g.leaving.Store(true)
	err := g.updateRecord(ctx, func(next *record) bool {
		e := next.find(g.config.Self.ID)
		if e == nil || e.Instance != g.instance {
			return false
		}
		next.remove(g.config.Self.ID)
		return true
	})
	p := &g.presence
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lease != 0 {
		revokeErr := g.store.revoke(ctx, p.lease)
		if revokeErr == nil || errors.Is(revokeErr, platform.ErrNotFound) {
			p.lease = 0
		} else {
			err = errors.Join(err, fmt.Errorf("revoke lease: %w", revokeErr))
		}
	}
	return err
}
