package job

import "time"

// Defaults and bounds of the write budget.
const (
	// DefaultStoreWrites keeps nine members within a fifth of the store's 400 writes/s, limits and jobs together.
	DefaultStoreWrites = 8.8
	// recordPart is the part of the budget that the limits can't use up: 16 of 80 writes/s, as they may take 64.
	recordPart = 0.2
	// budgetBurst allows a new job after a quiet time to be written at once, and a rewrite besides it.
	budgetBurst = 2
	// maxNewInRow is the number of writes of new jobs after which a waiting rewrite has its turn.
	maxNewInRow = 3
)

// budget is a token bucket for this member's writes. Writes of others count against it, up to their part.
type budget struct {
	rate   float64 // per second
	tokens float64
	debt   float64 // writes of others that weren't counted yet
	others uint64
	at     time.Time
}

func newBudget(rate float64, others uint64, now time.Time) budget {
	return budget{rate: rate, tokens: budgetBurst, others: others, at: now}
}

// refill adds what was earned since the last call and takes off the writes of others, given as a running count.
func (b *budget) refill(others uint64, now time.Time) {
	earned := b.rate * max(0, now.Sub(b.at).Seconds())
	// More than a second's worth of debt would let a burst of the others slow down records long after it.
	b.debt = min(b.debt+float64(others-b.others), b.rate)
	b.at, b.others = now, others
	used := min(b.debt, earned*(1-recordPart))
	b.debt -= used
	b.tokens = min(budgetBurst, b.tokens+earned-used)
}

// take uses one token if at least the given number is there.
func (b *budget) take(least float64) bool {
	if b.tokens < least {
		return false
	}
	b.tokens--
	return true
}
