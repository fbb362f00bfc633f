package job

import "time"

// Defaults and bounds of the write budget.
const (
	// DefaultStoreWriteRate keeps nine members within a fifth of the store's 400 writes/s, limits and jobs together.
	DefaultStoreWriteRate = 8.8
	// reservedRecordFraction is the part of the budget that the limits can't use up: 16 of 80 writes/s, as they may take 64.
	reservedRecordFraction = 0.2
	// budgetBurst allows a new job after a quiet time to be written at once, and a rewrite besides it.
	budgetBurst = 2
	// maxConsecutiveNewWrites is the number of writes of new jobs after which a waiting rewrite has its turn.
	maxConsecutiveNewWrites = 3
)

// budget is a token bucket for this member's writes. Writes of others count against it, up to their part.
type budget struct {
	rate        float64 // per second
	tokens      float64
	debt        float64 // writes of others that weren't counted yet
	otherWrites uint64
	refilledAt  time.Time
}

func newBudget(rate float64, others uint64, now time.Time) budget {
	return budget{rate: rate, tokens: budgetBurst, otherWrites: others, refilledAt: now}
}

// refill adds what was earned since the last call and takes off the writes of others, given as a running count.
func (b *budget) refill(others uint64, now time.Time) {
	earned := b.rate * max(0, now.Sub(b.refilledAt).Seconds())
	// More than a second's worth of debt would let a burst of the others slow down records long after it.
	b.debt = min(b.debt+float64(others-b.otherWrites), b.rate)
	b.refilledAt, b.otherWrites = now, others
	used := min(b.debt, earned*(1-reservedRecordFraction))
	b.debt -= used
	b.tokens = min(budgetBurst, b.tokens+earned-used)
}

// take uses one token if at least the given number is there.
func (b *budget) take(minTokens float64) bool {
	if b.tokens < minTokens {
		return false
	}
	b.tokens--
	return true
}
