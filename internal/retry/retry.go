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
	// ErrBudgetExhausted reports that retries have reached their ratio to first starts.
	ErrBudgetExhausted = errors.New("retry budget is exhausted")
)

// Defaults of the budget.
const (
	// DefaultRatio is the number of retries per first start. A fifth keeps the extra load of a fleet on which every
	// task fails at 20 %, where unbounded retries multiply the load by the attempts per task.
	DefaultRatio = 0.2
	// DefaultBurst is the number of retries that may be saved up, so that the tasks of a lost rack are retried at once.
	DefaultBurst = 50
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	Ratio float64 // retries per first start, above 0; 0 means DefaultRatio
	Burst float64 // most retries saved up, at least 1; 0 means DefaultBurst
}

// Budget is a token bucket that is filled by first starts and emptied by retries. Every daemon keeps one for its own
// starts; as each of them holds the ratio, so does the fleet. It is safe for concurrent use.
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
		return nil, fmt.Errorf("retry budget: ratio %g and burst %g must be above 0 and at least 1", c.Ratio, c.Burst)
	}
	return &Budget{ratio: c.Ratio, burst: c.Burst, tokens: c.Burst}, nil
}

// RecordStart records the first start of a task.
func (b *Budget) RecordStart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// TakeRetry takes one retry for a task that had made attempts starts of the allowed first one plus retries. It returns
// ErrAttempts when the task has no retry left, and ErrBudget when the fleet's ratio is used up; the caller may ask
// again later after ErrBudget.
func (b *Budget) TakeRetry(attempts, retries int) error {
	if attempts > retries {
		return fmt.Errorf("%w: %d made, 1 and %d retries allowed", ErrNoAttemptsLeft, attempts, retries)
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

// Dump returns the state for the state dump and the metrics.
func (b *Budget) Dump() BudgetDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BudgetDump{Tokens: b.tokens, Starts: b.starts, Retries: b.retries, Refused: b.refused}
}

// Defaults of the backoff.
const (
	DefaultBase = 100 * time.Millisecond
	DefaultCap  = 30 * time.Second
)

// BackoffConfig configures a Backoff.
type BackoffConfig struct {
	Base time.Duration // mean delay after the first failure is three quarters of it; 0 means DefaultBase
	Cap  time.Duration // longest delay; 0 means DefaultCap
	Seed uint64
}

// Backoff computes jittered exponential delays. It is safe for concurrent use.
type Backoff struct {
	base, maxDelay time.Duration

	mu     sync.Mutex
	source *rand.Rand
}

// NewBackoff returns a Backoff whose delays depend on the seed only.
func NewBackoff(c BackoffConfig) (*Backoff, error) {
	c.Base = cmp.Or(c.Base, DefaultBase)
	c.Cap = cmp.Or(c.Cap, DefaultCap)
	if c.Base < 0 || c.Cap < c.Base {
		return nil, fmt.Errorf("backoff: base %v must be above 0 and at most the cap %v", c.Base, c.Cap)
	}
	return &Backoff{base: c.Base, maxDelay: c.Cap, source: rand.New(rand.NewPCG(c.Seed, 0))}, nil
}

// Delay returns the wait before the next start of a task that failed failures times: uniform between half and the whole
// of base * 2^(failures-1), at most the cap. The lower half is kept so that a task never returns at once.
func (b *Backoff) Delay(failures int) time.Duration {
	fullDelay := b.base
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
