package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// An allocation grows in chunks whose size follows the recent start rate.
const (
	// chunkHorizon is how long a chunk lasts when no task ends, so a team with growing load causes one write in this
	// time.
	chunkHorizon = 10 * time.Second
	// lookahead is the time span for which a member prepares: it requests more when less is free than the starts
	// expected in this time. While it expects starts, it gives at most half of its free allocation to other members.
	lookahead = time.Second
	// rateWindow is the time over which the start rate is averaged.
	rateWindow = 5 * time.Second
	// minWindow is the shortest time over which a rate is computed. A single start then requests at most five more
	// tasks.
	minWindow = 2 * time.Second
	// giveCooldown is how long a member with unmet demand keeps its allocation after it gave some away. The members
	// of a team at its limit then take turns, and allocations don't move with every task that ends.
	giveCooldown = 20 * time.Second
	// maxBackoffIntervals bounds the backoff between attempts that gained nothing, in intervals.
	maxBackoffIntervals = 8
	// missTTL is how long tasks that didn't fit count as demand. Callers that still want to start them try again
	// within this time.
	missTTL = 15 * time.Second
	// heldIntervals is how long an increase is held for the tasks that it was requested for, in intervals. Without
	// the hold, two members that need the same allocation take it from each other before either starts a task.
	heldIntervals = 3
)

// demand is the recent need for starts of one team on this member.
type demand struct {
	starts      int // starts since windowStart
	windowStart time.Time
	lastStart   time.Time
	rate        float64   // starts per second
	missed      int       // largest number of tasks that didn't fit since the last increase
	lastMiss    time.Time // when tasks last didn't fit
	held        int       // increase held for missed tasks until heldUntil
	heldUntil   time.Time
	lastGiven   time.Time // when the member last gave some of its allocation to another one
	nextAttempt time.Time // earliest time of the next attempt
	backoff     int       // length of the last backoff in intervals; 0 after an increase
	wokenFor    time.Time // value of nextAttempt for which the loop was last woken
}

// recordStarts counts n starts and closes the window when it has ended.
func (d *demand) recordStarts(n int, now time.Time) {
	d.rollWindow(now)
	d.starts += n
	d.lastStart = now
	d.held = max(0, d.held-n)
}

func (d *demand) rollWindow(now time.Time) {
	if d.windowStart.IsZero() {
		d.windowStart = now
	}
	elapsed := now.Sub(d.windowStart)
	if elapsed < rateWindow {
		return
	}
	windowRate := float64(d.starts) / elapsed.Seconds()
	// With a weight of one half per window, the average follows a change within two windows.
	d.rate = (d.rate + windowRate) / 2
	if elapsed > 4*rateWindow {
		d.rate = windowRate
	}
	d.starts, d.windowStart = 0, now
}

// expectedStarts is the number of starts expected within t. The open window counts when its rate exceeds the average,
// so that a team with growing load gets a sufficient chunk at once.
func (d *demand) expectedStarts(t time.Duration) float64 {
	elapsed := max(minWindow, d.lastStart.Sub(d.windowStart))
	return max(d.rate, float64(d.starts)/elapsed.Seconds()) * t.Seconds()
}

// chunkSize is the number of starts expected within chunkHorizon.
func (d *demand) chunkSize() int { return int(math.Ceil(d.expectedStarts(chunkHorizon))) }

// lookaheadStarts is the number of starts expected within lookahead, rounded down so that a rare start reserves
// nothing.
func (d *demand) lookaheadStarts() int { return int(d.expectedStarts(lookahead)) }

// recordMiss records that n tasks didn't fit.
func (d *demand) recordMiss(n int, now time.Time) {
	d.missed = max(d.missed, n)
	d.lastMiss = now
}

// shouldWake reports whether an attempt is due for which the loop hasn't been woken yet, and records it in wokenFor.
func (d *demand) shouldWake(now time.Time) bool {
	if now.Before(d.nextAttempt) || (!d.wokenFor.IsZero() && d.wokenFor.Equal(d.nextAttempt)) {
		return false
	}
	d.wokenFor = d.nextAttempt
	return true
}

// schedule sets the time of the next attempt according to the outcome of the last one.
func (d *demand) schedule(r outcome, now time.Time, interval time.Duration) {
	switch r {
	case increased:
		d.held, d.heldUntil = d.missed, now.Add(heldIntervals*interval)
		d.backoff, d.missed = 0, 0
		d.nextAttempt = now
		return
	case unmet:
		d.backoff = min(max(1, 2*d.backoff), maxBackoffIntervals)
	case satisfied, postponed:
		d.backoff = 1
	}
	d.nextAttempt = now.Add(time.Duration(d.backoff) * interval)
}

// outcome is the result of an attempt to increase the allocation.
type outcome int

// Outcomes of an attempt.
const (
	increased outcome = iota // the allocation grew, or some of it was handed over
	satisfied                // no further increase is needed
	postponed                // the call budget was exhausted, or the store reported a conflict or an error
	unmet                    // an increase is needed, but no member could give any
)

// free is the unused part of the usable allocation. It is negative after an adoption, and while pending handovers
// exceed what is left.
func (t *team) free(limit int) int { return min(t.usable(limit)-t.used, -t.deficit()) }

// needsMore reports whether the missed or expected starts exceed the free allocation.
func (t *team) needsMore(limit int) bool {
	return t.free(limit) < max(0, t.demand.missed, min(t.demand.lookaheadStarts(), limit-t.used))
}

// requestSize is the increase to request: the missing amount, or a chunk if that is larger.
func (t *team) requestSize(limit int) int {
	missing := max(1, t.demand.missed) - t.free(limit)
	return min(max(missing, t.demand.chunkSize()-max(0, t.free(limit))), limit)
}

// spare is the amount that can be given away: everything free from an idle member, half of it from a member with
// recent starts, so that both sides can start tasks afterwards, and half of it once per giveCooldown from a member
// with unmet demand.
func (t *team) spare(limit int, now time.Time) int {
	free := t.free(limit)
	if now.Before(t.demand.heldUntil) {
		free -= t.demand.held
	}
	unmetDemand := t.demand.missed > 0
	switch {
	case free <= 0, unmetDemand && now.Sub(t.demand.lastGiven) < giveCooldown:
		return 0
	case unmetDemand, t.demand.expectedStarts(lookahead) > 0 && now.Sub(t.demand.lastStart) < chunkHorizon:
		return (free + 1) / 2
	}
	return free
}

// capToBalance bounds the amount n that a member with unmet demand gives away: it gives no more than evens out the two
// allocations.
func capToBalance(n, giver, taker int) int { return max(0, min(n, (giver-taker+1)/2)) }

// Budget of store calls. The store takes 400 writes/s and 2,000 reads/s, and this package uses less than a fifth of
// that.
const (
	storeWritesPerSecond = 400
	storeReadsPerSecond  = 2000
	storeDivisor         = 5
	// sustainedFraction leaves headroom for the burst of one second that the limiters admit after an idle time.
	sustainedFraction = 0.8
	// peerRequestsPerSecond bounds the requests to peers. Each costs about 300 bytes with its reply.
	peerRequestsPerSecond = 8
)

// initBudget creates the rate limiters, whose rates depend on the number of members.
func (a *Allocator) initBudget() {
	a.readLimiter, a.writeLimiter = rate.NewLimiter(1, 1), rate.NewLimiter(1, 1)
	a.peerLimiter = rate.NewLimiter(peerRequestsPerSecond, peerRequestsPerSecond)
	a.resizeBudget(a.config.Now())
}

// resizeBudget divides the budget of store calls by the number of members.
func (a *Allocator) resizeBudget(now time.Time) {
	members := max(1, len(a.config.View().Members))
	for limiter, total := range map[*rate.Limiter]float64{a.readLimiter: storeReadsPerSecond, a.writeLimiter: storeWritesPerSecond} {
		each := total / storeDivisor * sustainedFraction / float64(members)
		if limiter.Limit() != rate.Limit(each) {
			limiter.SetLimitAt(now, rate.Limit(each))
			limiter.SetBurstAt(now, max(1, int(each)))
		}
	}
}
