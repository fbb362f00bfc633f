package member

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// health follows the outcomes of store calls.
type health struct {
	now   func() time.Time
	bound time.Duration // longest time between two successes of a healthy store

	mu      sync.Mutex
	failing bool
	since   time.Time // start of the present healthy period
	last    time.Time // last success
}

// report takes the outcome of a call. An answer that refuses the call shows a healthy store.
func (h *health) report(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !answered(err) {
		h.failing = true
		return
	}
	now := h.now()
	if h.failing || h.since.IsZero() || now.Sub(h.last) > h.bound {
		h.since = now
	}
	h.failing, h.last = false, now
}

// reset starts a new healthy period, after something that may have hidden an outage.
func (h *health) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.since = h.now()
}

func (h *health) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.healthyLocked(h.now())
}

func (h *health) healthyLocked(now time.Time) bool {
	return !h.failing && !h.last.IsZero() && now.Sub(h.last) <= h.bound
}

// steady reports whether the store has been healthy for d without a break.
func (h *health) steady(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	return h.healthyLocked(now) && now.Sub(h.since) >= d
}

// answered reports whether the error is an answer of the store to the call itself.
func answered(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) ||
		errors.Is(err, platform.ErrTooLarge)
}

// trackedStore bounds each call in time and reports its outcome.
type trackedStore struct {
	store   platform.Store
	health  *health
	timeout time.Duration
}

func tracked[T any](ctx context.Context, s *trackedStore, extra time.Duration, f func(context.Context) (T, error)) (T, error) {
	bounded, cancel := context.WithTimeout(ctx, s.timeout+extra)
	defer cancel()
	value, err := f(bounded)
	if ctx.Err() == nil { // a caller that gave up says nothing about the store
		s.health.report(err)
	}
	return value, err
}

func (s *trackedStore) get(ctx context.Context, key string) (platform.Item, error) {
	return tracked(ctx, s, 0, func(ctx context.Context) (platform.Item, error) { return s.store.Get(ctx, key) })
}

func (s *trackedStore) list(ctx context.Context, prefix string) ([]platform.Item, error) {
	return tracked(ctx, s, 0, func(ctx context.Context) ([]platform.Item, error) { return s.store.List(ctx, prefix) })
}

func (s *trackedStore) swap(
	ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID,
) (platform.Revision, error) {
	return tracked(ctx, s, 0, func(ctx context.Context) (platform.Revision, error) {
		return s.store.CompareAndSwap(ctx, key, expect, value, lease)
	})
}

func (s *trackedStore) watch(
	ctx context.Context, prefix string, after platform.Revision, wait time.Duration,
) ([]platform.Event, platform.Revision, error) {
	var next platform.Revision
	events, err := tracked(ctx, s, wait, func(ctx context.Context) (events []platform.Event, err error) {
		events, next, err = s.store.Watch(ctx, prefix, after, wait)
		return events, err
	})
	return events, next, err
}

func (s *trackedStore) grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return tracked(ctx, s, 0, func(ctx context.Context) (platform.LeaseID, error) { return s.store.GrantLease(ctx, ttl) })
}

func (s *trackedStore) renew(ctx context.Context, id platform.LeaseID) error {
	_, err := tracked(ctx, s, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.store.RenewLease(ctx, id)
	})
	return err
}

func (s *trackedStore) revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := tracked(ctx, s, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.store.RevokeLease(ctx, id)
	})
	return err
}
