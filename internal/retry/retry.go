// Package retry decides whether and when a failed task is tried again.
package retry

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

var (
	// ErrNoAttemptsLeft reports that the task has used all of its attempts.
	ErrNoAttemptsLeft = errors.New("no attempts left")
	// ErrBudgetExhausted reports that the retries have reached their allowed ratio to first starts.
	ErrBudgetExhausted = errors.New("retry budget is exhausted")
)

// Defaults of the budget.
const (
	// DefaultRatio is the number of retries per first start. It bounds the extra load to 20 % when every task fails;
	// without a bound, retries would multiply the load by the number of attempts per task.
	DefaultRatio = 0.2
	// DefaultBurst is the capacity of the token bucket. It allows the tasks of a lost rack to be retried at once.
	DefaultBurst = 50
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	Ratio float64 // retries per first start; must not be negative, 0 means DefaultRatio
	Burst float64 // capacity of the token bucket in retries, at least 1; 0 means DefaultBurst
}

// Budget is a token bucket that first starts fill and retries empty. Every daemon has one for its own starts; because
// each daemon keeps the ratio, the fleet does too. It is safe for concurrent use.
type Budget struct {
	ratio, burst float64

	mu      sync.Mutex
	tokens  float64
	starts  uint64
	retries uint64
	refused uint64
}

// NewBudget returns a full budget.
func NewBudget(c BudgetConfig) (*Budget, error) {
	c.Ratio = cmp.Or(c.Ratio, DefaultRatio)
	c.Burst = cmp.Or(c.Burst, DefaultBurst)
	if c.Ratio < 0 || c.Burst < 1 {
		return nil, fmt.Errorf("retry budget: ratio %g must not be negative and burst %g must be at least 1", c.Ratio, c.Burst)
	}
	return &Budget{ratio: c.Ratio, burst: c.Burst, tokens: c.Burst}, nil
}

// RecordStart records the first start of a task, which adds tokens for retries.
func (b *Budget) RecordStart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// TakeRetry takes a token for the retry of a task that has been started attempts times and may be retried retries times.
// It returns ErrNoAttemptsLeft if the task has no retry left. It returns ErrBudgetExhausted if there is no token; the
// caller may try again later.
func (b *Budget) TakeRetry(attempts, retries int) error {
	if attempts > retries {
		return fmt.Errorf("%w: started %d times, a first start and %d retries are allowed", ErrNoAttemptsLeft, attempts, retries)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		b.refused++
		return ErrBudgetExhausted
	}
	b.tokens--
	b.retries++
	return nil
}

// BudgetDump is the state of a budget.
type BudgetDump struct {
	Tokens  float64 `json:"tokens"`
	Starts  uint64  `json:"starts"`
	Retries uint64  `json:"retries"`
	Refused uint64  `json:"refused"`
}

// Dump returns the budget's state for the state dump and the metrics.
func (b *Budget) Dump() BudgetDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetDump{Tokens: b.tokens, Starts: b.starts, Retries: b.retries, Refused: b.refused}
}

// Defaults of the backoff.
const (
	DefaultBaseDelay = 100 * time.Millisecond
	DefaultMaxDelay  = 30 * time.Second
)

// BackoffConfig configures a Backoff.
type BackoffConfig struct {
	BaseDelay time.Duration // longest delay after the first failure; the mean is three quarters of it; 0 means DefaultBaseDelay
	MaxDelay  time.Duration // longest delay; 0 means DefaultMaxDelay
	Seed      uint64
}

// Backoff computes exponentially growing delays with jitter. It is safe for concurrent use.
type Backoff struct {
	baseDelay, maxDelay time.Duration

	mu     sync.Mutex
	source *rand.Rand
}

// NewBackoff returns a Backoff. Its jitter is a deterministic sequence that depends only on the seed.
func NewBackoff(c BackoffConfig) (*Backoff, error) {
	c.BaseDelay = cmp.Or(c.BaseDelay, DefaultBaseDelay)
	c.MaxDelay = cmp.Or(c.MaxDelay, DefaultMaxDelay)
	if c.BaseDelay < 0 || c.MaxDelay < c.BaseDelay {
		return nil, fmt.Errorf("backoff: base delay %v must not be negative and must not exceed the maximum delay %v", c.BaseDelay, c.MaxDelay)
	}
	return &Backoff{baseDelay: c.BaseDelay, maxDelay: c.MaxDelay, source: rand.New(rand.NewPCG(c.Seed, 0))}, nil
}

// Delay returns the delay before the next start of a task that has failed failures times. The full delay is
// BaseDelay * 2^(failures-1), at most MaxDelay; the result is uniformly distributed between half of it and all of it. The
// lower bound of a half prevents an immediate restart.
func (b *Backoff) Delay(failures int) time.Duration {
	fullDelay := b.baseDelay
	for range failures - 1 {
		if fullDelay >= b.maxDelay/2 {
			fullDelay = b.maxDelay
			break
		}
		fullDelay *= 2
	}
	half := fullDelay / 2
	b.mu.Lock()
	defer b.mu.Unlock()
	return half + time.Duration(b.source.Int64N(int64(fullDelay-half)+1))
}
