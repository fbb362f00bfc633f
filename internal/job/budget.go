package job

import "time"

// Default rate and limits of the write budget.
const (
	// DefaultStoreWriteRate is the default budget in writes per second. It keeps the writes of nine members, for limit
	// allocations and jobs together, within a fifth of the store's 400 writes/s.
	DefaultStoreWriteRate = 8.8
	// reservedRecordFraction is the fraction of the budget that is reserved for job records: of 80 writes/s, the writes of
	// limit allocations may use 64, which leaves 16.
	reservedRecordFraction = 0.2
	// budgetBurst is the capacity of the token bucket in writes. After an idle time a new job is written at once, and a
	// changed batch can be written too.
	budgetBurst = 2
	// maxConsecutiveNewWrites is the number of writes of new jobs after which a changed batch that waits is written.
	maxConsecutiveNewWrites = 3
)

// budget is a token bucket for the writes of this member. Writes of other components count against it, except for the
// fraction that is reserved for job records.
type budget struct {
	rate        float64 // writes per second
	tokens      float64
	debt        float64 // writes of other components that have not been deducted yet
	otherWrites uint64
	refilledAt  time.Time
}

func newBudget(rate float64, others uint64, now time.Time) budget {
	return budget{rate: rate, tokens: budgetBurst, otherWrites: others, refilledAt: now}
}

// refill adds the tokens earned since the last call and deducts the writes of other components, which are given as a
// running count.
func (b *budget) refill(others uint64, now time.Time) {
	earned := b.rate * max(0, now.Sub(b.refilledAt).Seconds())
	// The debt is bounded to the writes of one second, because otherwise a burst of other writes would delay job records
	// for long after it.
	b.debt = min(b.debt+float64(others-b.otherWrites), b.rate)
	b.refilledAt, b.otherWrites = now, others
	used := min(b.debt, earned*(1-reservedRecordFraction))
	b.debt -= used
	b.tokens = min(budgetBurst, b.tokens+earned-used)
}

// take consumes one token if at least minTokens are available.
func (b *budget) take(minTokens float64) bool {
	if b.tokens < minTokens {
		return false
	}
	b.tokens--
	return true
}
