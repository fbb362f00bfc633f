package member

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// health tracks whether the store works, from the outcomes of calls.
type health struct {
	now        func() time.Time
	maxSilence time.Duration // longest time between two successes of a healthy store

	mu           sync.Mutex
	failing      bool
	healthySince time.Time // start of the current healthy period
	lastSuccess  time.Time // last success
}

// report records the outcome of a call. An error that the store itself returned, such as a conflict, also shows that
// the store is healthy.
func (h *health) report(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !isStoreAnswer(err) {
		h.failing = true
		return
	}
	now := h.now()
	if h.failing || h.healthySince.IsZero() || now.Sub(h.lastSuccess) > h.maxSilence {
		h.healthySince = now
	}
	h.failing, h.lastSuccess = false, now
}

// reset starts a new healthy period, after something that may have hidden an outage.
func (h *health) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.healthySince = h.now()
}

func (h *health) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.healthyLocked(h.now())
}

func (h *health) healthyLocked(now time.Time) bool {
	return !h.failing && !h.lastSuccess.IsZero() && now.Sub(h.lastSuccess) <= h.maxSilence
}

// healthyFor reports whether the store has been healthy for d without interruption.
func (h *health) healthyFor(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	return h.healthyLocked(now) && now.Sub(h.healthySince) >= d
}

// isStoreAnswer reports whether the error is a reply of the store to the call, and not a failure to reach it.
func isStoreAnswer(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) ||
		errors.Is(err, platform.ErrTooLarge)
}

// trackedStore sets a timeout for each store call and reports its outcome to health.
type trackedStore struct {
	store   platform.Store
	health  *health
	timeout time.Duration
}

func trackCall[T any](ctx context.Context, s *trackedStore, extra time.Duration, f func(context.Context) (T, error)) (T, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.timeout+extra)
	defer cancel()
	value, err := f(callCtx)
	if ctx.Err() == nil { // a call cancelled by its caller shows nothing about the store
		s.health.report(err)
	}
	return value, err
}

func (s *trackedStore) get(ctx context.Context, key string) (platform.Item, error) {
	return trackCall(ctx, s, 0, func(ctx context.Context) (platform.Item, error) { return s.store.Get(ctx, key) })
}

func (s *trackedStore) list(ctx context.Context, prefix string) ([]platform.Item, error) {
	return trackCall(ctx, s, 0, func(ctx context.Context) ([]platform.Item, error) { return s.store.List(ctx, prefix) })
}

func (s *trackedStore) compareAndSwap(
	ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID,
) (platform.Revision, error) {
	return trackCall(ctx, s, 0, func(ctx context.Context) (platform.Revision, error) {
		return s.store.CompareAndSwap(ctx, key, expect, value, lease)
	})
}

func (s *trackedStore) watch(
	ctx context.Context, prefix string, after platform.Revision, wait time.Duration,
) ([]platform.Event, platform.Revision, error) {
	var next platform.Revision
	events, err := trackCall(ctx, s, wait, func(ctx context.Context) (events []platform.Event, err error) {
		events, next, err = s.store.Watch(ctx, prefix, after, wait)
		return events, err
	})
	return events, next, err
}

func (s *trackedStore) grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return trackCall(ctx, s, 0, func(ctx context.Context) (platform.LeaseID, error) { return s.store.GrantLease(ctx, ttl) })
}

func (s *trackedStore) renew(ctx context.Context, id platform.LeaseID) error {
	_, err := trackCall(ctx, s, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.store.RenewLease(ctx, id)
	})
	return err
}

func (s *trackedStore) revoke(ctx context.Context, id platform.LeaseID) error {
	_, err := trackCall(ctx, s, 0, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, s.store.RevokeLease(ctx, id)
	})
	return err
}
