package kv

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

var (
	_ platform.Store    = (*client)(nil)
	_ platform.HostList = (*client)(nil)
)

// client is an in-process client in one region.
type client struct {
	server *Server
	region ident.Region
}

// callWithFaults counts a call, applies the faults and runs the call's effect with the server's lock held.
func callWithFaults[T any](ctx context.Context, c *client, call platform.CallKind, effect func() (T, error)) (T, error) {
	var none T
	s := c.server
	s.mu.Lock()
	s.counts[call]++
	s.mu.Unlock()
	delay, _, err := s.faults.admit(c.region)
	if err != nil {
		return none, err
	}
	if err := sleep(ctx, delay/2); err != nil && !call.IsWrite() {
		return none, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	// A write takes effect even if its caller gave up, as it would once the request was sent over a network.
	value, err := withLock(s, effect)
	if !call.IsWrite() {
		if late := sleep(ctx, delay/2); late != nil {
			return none, fmt.Errorf("%w: %w", platform.ErrUnavailable, late)
		}
		return value, err
	}
	if late := sleep(ctx, delay/2); late != nil {
		return none, fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, late)
	}
	if s.faults.loseReply() {
		return none, fmt.Errorf("%w: the reply was lost", platform.ErrUnknownOutcome)
	}
	return value, err
}

// withLock ends expired leases and runs the effect with the server's lock held.
func withLock[T any](s *Server, effect func() (T, error)) (T, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return effect()
}

// Get returns the item of a key, or ErrNotFound.
func (c *client) Get(ctx context.Context, key string) (platform.Item, error) {
	return callWithFaults(ctx, c, platform.CallGet, func() (platform.Item, error) {
		e := c.server.liveEntry(key)
		if e == nil {
			return platform.Item{}, platform.ErrNotFound
		}
		return platform.Item{Key: key, Value: append([]byte(nil), e.value...), Revision: e.revision}, nil
	})
}

// List returns the items under a prefix in key order.
func (c *client) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	return callWithFaults(ctx, c, platform.CallList, func() ([]platform.Item, error) { return c.server.list(prefix), nil })
}

// CompareAndSwap writes the value if the key's revision is expect; 0 means that the key must not exist.
func (c *client) CompareAndSwap(
	ctx context.Context, key string, expect platform.Revision, value []byte, id platform.LeaseID,
) (platform.Revision, error) {
	return callWithFaults(ctx, c, platform.CallSwap, func() (platform.Revision, error) {
		return c.server.swap(platform.SwapRequest{Key: key, Expect: expect, Value: value, Lease: id})
	})
}

// Delete deletes the key if its revision is expect.
func (c *client) Delete(ctx context.Context, key string, expect platform.Revision) error {
	_, err := callWithFaults(ctx, c, platform.CallDelete, func() (struct{}, error) {
		return struct{}{}, c.server.remove(platform.DeleteRequest{Key: key, Expect: expect})
	})
	return err
}

// GrantLease creates a lease with the given time to live.
func (c *client) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return callWithFaults(ctx, c, platform.CallGrant, func() (platform.LeaseID, error) {
		if ttl <= 0 {
			return 0, fmt.Errorf("time to live %v must be positive", ttl)
		}
		s := c.server
		s.lastLease++
		s.leases[s.lastLease] = &lease{ttl: ttl, expires: s.config.Now().Add(ttl), keys: map[string]struct{}{}}
		return s.lastLease, nil
	})
}

// RenewLease extends the lease by its full time to live.
func (c *client) RenewLease(ctx context.Context, id platform.LeaseID) error {
	_, err := callWithFaults(ctx, c, platform.CallRenew, func() (struct{}, error) {
		l := c.server.leases[id]
		if l == nil {
			return struct{}{}, platform.ErrNotFound
		}
		l.expires = c.server.config.Now().Add(l.ttl)
		return struct{}{}, nil
	})
	return err
}

// RevokeLease ends the lease and deletes its keys.
func (c *client) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	_, err := callWithFaults(ctx, c, platform.CallRevoke, func() (struct{}, error) {
		if c.server.leases[id] == nil {
			return struct{}{}, platform.ErrNotFound
		}
		c.server.endLease(id)
		return struct{}{}, nil
	})
	return err
}

// Hosts returns the visible host list.
func (c *client) Hosts(ctx context.Context) ([]platform.Host, error) {
	reply, err := c.hostsReply(ctx, "")
	return reply.Hosts, err
}

// hostsReply returns the visible host list, or its changes since the version that the client knows.
func (c *client) hostsReply(ctx context.Context, known string) (platform.HostsReply, error) {
	return callWithFaults(ctx, c, platform.CallHosts, func() (platform.HostsReply, error) {
		return c.server.visibleHosts(known), nil
	})
}

// Watch returns the changes under the prefix after a revision, and waits for the first one if there is none. A fault that
// refuses its calls and is set during the wait ends it with ErrUnavailable.
func (c *client) Watch(
	ctx context.Context, prefix string, after platform.Revision, wait time.Duration,
) ([]platform.Event, platform.Revision, error) {
	s := c.server
	s.mu.Lock()
	s.counts[platform.CallWatch]++
	s.mu.Unlock()
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	waitElapsed := false
	for {
		delay, faultsChanged, err := s.faults.admit(c.region)
		if err == nil && ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
		if err != nil {
			return nil, 0, err
		}
		s.mu.Lock()
		s.expireLeases()
		events, revision, changed := s.events(prefix, after), max(s.revision, after), s.changed
		s.mu.Unlock()
		if len(events) > 0 || waitElapsed {
			if err := sleep(ctx, delay); err != nil {
				return nil, 0, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
			}
			return events, revision, nil
		}
		after = revision
		select {
		case <-ctx.Done():
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
			waitElapsed = true
		}
	}
}
