package platform

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// timeoutFactor is the multiple of the store's usual answer time after which an answer counts as lost.
	timeoutFactor = 2
	// silenceThreshold is the time without any answer from which an unanswered call says that the store is slow. While others are
	// answered, it is the answer that is lost.
	silenceThreshold = time.Second
	// decayDivisor divides the step towards a shorter answer time, so that a few fast answers don't cut off the slow ones.
	decayDivisor = 8
)

// AdaptiveTimeout learns how long the store takes to answer, for time limits that a slow store keeps within.
type AdaptiveTimeout struct {
	now func() time.Time

	mu        sync.Mutex
	latency   time.Duration
	lastReply time.Time // when the last answer came
}

// NewAdaptiveTimeout returns a Patience that knows nothing yet.
func NewAdaptiveTimeout() *AdaptiveTimeout { return &AdaptiveTimeout{now: time.Now} }

// Timeout returns how long to wait for an answer, at least and at most the given times.
func (p *AdaptiveTimeout) Timeout(minimum, maximum time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(minimum, timeoutFactor*p.latency), maximum)
}

// ObserveReply notes an answer.
func (p *AdaptiveTimeout) ObserveReply(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReply = p.now()
	if took > p.latency {
		p.latency = took
	} else {
		p.latency -= (p.latency - took) / decayDivisor
	}
}

// ObserveTimeout notes a call that was given up without an answer.
func (p *AdaptiveTimeout) ObserveTimeout(waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Sub(p.lastReply) >= silenceThreshold {
		p.latency = max(p.latency, waited)
	}
}

// timedStore notes how long the calls of a store take.
type timedStore struct {
	TransactionalStore
	timeout *AdaptiveTimeout
}

// WithLatencyTracking returns a store whose calls are noted. Watches aren't, as they wait on purpose.
func WithLatencyTracking(s TransactionalStore, p *AdaptiveTimeout) TransactionalStore {
	return timedStore{s, p}
}

// observe notes the outcome of a call that began at a time.
func (s timedStore) observe(began time.Time, err error) {
	took := s.timeout.now().Sub(began)
	switch {
	case err == nil, errors.Is(err, ErrConflict), errors.Is(err, ErrNotFound):
		s.timeout.ObserveReply(took)
	case errors.Is(err, context.DeadlineExceeded):
		s.timeout.ObserveTimeout(took)
	}
}

// Get implements TransactStore.
func (s timedStore) Get(ctx context.Context, key string) (Item, error) {
	began := s.timeout.now()
	it, err := s.TransactionalStore.Get(ctx, key)
	s.observe(began, err)
	return it, err
}

// Transact implements TransactStore.
func (s timedStore) Transact(ctx context.Context, t Transaction) (Revision, error) {
	began := s.timeout.now()
	rev, err := s.TransactionalStore.Transact(ctx, t)
	s.observe(began, err)
	return rev, err
}

// RenewLease implements TransactStore.
func (s timedStore) RenewLease(ctx context.Context, id LeaseID) error {
	began := s.timeout.now()
	err := s.TransactionalStore.RenewLease(ctx, id)
	s.observe(began, err)
	return err
}
