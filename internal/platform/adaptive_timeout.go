package platform

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// timeoutFactor is the multiple of the store's estimated latency after which a reply counts as lost.
	timeoutFactor = 2
	// silenceThreshold is the time without any reply after which a timeout means that the store is slow. While other calls
	// get replies, a timeout means that the reply was lost.
	silenceThreshold = time.Second
	// decayDivisor divides each step towards a lower estimate, so that a few fast replies don't make the slow ones time out.
	decayDivisor = 8
)

// AdaptiveTimeout estimates the store's latency and derives timeouts from it within which a slow store replies.
type AdaptiveTimeout struct {
	now func() time.Time

	mu        sync.Mutex
	latency   time.Duration
	lastReply time.Time // arrival of the last reply
}

// NewAdaptiveTimeout returns an AdaptiveTimeout without an estimate.
func NewAdaptiveTimeout() *AdaptiveTimeout { return &AdaptiveTimeout{now: time.Now} }

// Timeout returns how long to wait for a reply, within the given bounds.
func (t *AdaptiveTimeout) Timeout(minimum, maximum time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(minimum, timeoutFactor*t.latency), maximum)
}

// ObserveReply records the latency of a reply.
func (t *AdaptiveTimeout) ObserveReply(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReply = t.now()
	if took > t.latency {
		t.latency = took
	} else {
		t.latency -= (t.latency - took) / decayDivisor
	}
}

// ObserveTimeout records a call that was abandoned without a reply.
func (t *AdaptiveTimeout) ObserveTimeout(waited time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.now().Sub(t.lastReply) >= silenceThreshold {
		t.latency = max(t.latency, waited)
	}
}

// timedStore records the latency of calls to a store.
type timedStore struct {
	TransactionalStore
	timeout *AdaptiveTimeout
}

// WithLatencyTracking returns a store that records the latency of its calls. It leaves out watches, which wait on purpose.
func WithLatencyTracking(s TransactionalStore, t *AdaptiveTimeout) TransactionalStore {
	return timedStore{s, t}
}

// observe records the outcome of a call that began at the given time.
func (s timedStore) observe(began time.Time, err error) {
	took := s.timeout.now().Sub(began)
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
		s.timeout.ObserveReply(took)
	case errors.Is(err, context.DeadlineExceeded):
		s.timeout.ObserveTimeout(took)
	}
}

// Get implements TransactionalStore.
func (s timedStore) Get(ctx context.Context, key string) (Item, error) {
	began := s.timeout.now()
	it, err := s.TransactionalStore.Get(ctx, key)
	s.observe(began, err)
	return it, err
}

// Transact implements TransactionalStore.
func (s timedStore) Transact(ctx context.Context, t Transaction) (Revision, error) {
	began := s.timeout.now()
	rev, err := s.TransactionalStore.Transact(ctx, t)
	s.observe(began, err)
	return rev, err
}

// RenewLease implements TransactionalStore.
func (s timedStore) RenewLease(ctx context.Context, id LeaseID) error {
	began := s.timeout.now()
	err := s.TransactionalStore.RenewLease(ctx, id)
	s.observe(began, err)
	return err
}
