package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Chunks are sized by the recent start rate.
const (
	// chunkHorizon is how long a chunk lasts when no task ends; a growing team then writes once in this time.
	chunkHorizon = 10 * time.Second
	// lookahead is how much of the own part is kept for the own next starts: more is requested when less is free, and
	// not given to others.
	lookahead = time.Second
	// rateWindow is the time over which the start rate is averaged.
	rateWindow = 5 * time.Second
	// minWindow is the shortest time over which a rate is computed; one start then asks for five more at most.
	minWindow = 2 * time.Second
	// giveCooldown is how long a member that is short itself keeps its part after it gave some. Members of a team at
	// its limit then take turns, and its parts don't move with every task that ends.
	giveCooldown = 20 * time.Second
	// maxBackoffIntervals bounds the pause between fruitless attempts, in intervals.
	maxBackoffIntervals = 8
	// missTTL is how long tasks that didn't fit count as wanted; callers that still want them try again within it.
	missTTL = 15 * time.Second
	// heldIntervals is how long a gained part is kept for the tasks that it was requested for, in intervals. Without
	// it two members that miss the same part take it from each other before either starts a task.
	heldIntervals = 3
)

// demand is the recent need of a team on this member.
type demand struct {
	starts      int       // starts since window began
	windowStart time.Time // start of the current window
	lastStart   time.Time // last start
	rate        float64   // starts per second
	missed      int       // largest number of tasks that didn't fit since the last gain
	lastMiss    time.Time // when tasks didn't fit last
	held        int       // part gained for missed tasks, kept from other members until heldTo
	heldUntil   time.Time
	lastGiven   time.Time // when a part was given to another member last
	nextAttempt time.Time // earliest next attempt
	backoff     int       // length of the last pause in intervals; 0 after a gain
	wokenFor    time.Time // the attempt that the loop was woken for
}

// recordStarts counts starts and closes a window when it is over.
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
	// Weight one half per window: the average follows a change within two windows.
	d.rate = (d.rate + windowRate) / 2
	if elapsed > 4*rateWindow {
		d.rate = windowRate
	}
	d.starts, d.windowStart = 0, now
}

// expectedStarts is the number of starts expected in a time. The open window counts when it exceeds the average, so that a
// growing team gets a chunk that fits at once.
func (d *demand) expectedStarts(t time.Duration) float64 {
	elapsed := max(minWindow, d.lastStart.Sub(d.windowStart))
	return max(d.rate, float64(d.starts)/elapsed.Seconds()) * t.Seconds()
}

// chunkSize is the part that lasts for the chunkSize horizon.
func (d *demand) chunkSize() int { return int(math.Ceil(d.expectedStarts(chunkHorizon))) }

// lookaheadStarts is the number of next starts that the own part is kept lookaheadStarts of, rounded down so that a rare start reserves nothing.
func (d *demand) lookaheadStarts() int { return int(d.expectedStarts(lookahead)) }

// recordMiss notes tasks that didn't fit.
func (d *demand) recordMiss(n int, now time.Time) {
	d.missed = max(d.missed, n)
	d.lastMiss = now
}

// shouldWake reports whether an attempt is due for which the loop wasn't woken yet.
func (d *demand) shouldWake(now time.Time) bool {
	if now.Before(d.nextAttempt) || (!d.wokenFor.IsZero() && d.wokenFor.Equal(d.nextAttempt)) {
		return false
	}
	d.wokenFor = d.nextAttempt
	return true
}

// schedule plans the next attempt.
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

// outcome is the outcome of an attempt.
type outcome int

// Outcomes of an attempt.
const (
	increased outcome = iota // got a part or passed one on
	satisfied                // nothing more is wanted
	postponed                // no budget, a conflict or an error of the store
	unmet                    // more is wanted and nobody has it
)

// free is what remains of the usable part; negative after an adoption and while parts are owed to others.
func (t *team) free(limit int) int { return min(t.usable(limit)-t.used, -t.deficit()) }

// needsMore reports whether the team needs more than it has free.
func (t *team) needsMore(limit int) bool {
	return t.free(limit) < max(0, t.demand.missed, min(t.demand.lookaheadStarts(), limit-t.used))
}

// requestSize is how much more to get: the missing amount, or a chunk when that is larger.
func (t *team) requestSize(limit int) int {
	missing := max(1, t.demand.missed) - t.free(limit)
	return min(max(missing, t.demand.chunkSize()-max(0, t.free(limit))), limit)
}

// spare is what can be given away: all that is free from an idle member, half of it from one with starts, so that both
// sides have room afterwards, and a little in turns from one that is short itself.
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

// capToBalance bounds what a member that is short gives: no more than evens out the two parts.
func capToBalance(n, giver, taker int) int { return max(0, min(n, (giver-taker+1)/2)) }

// Budget of store calls. The store takes 400 writes/s and 2,000 reads/s; the split of limits uses less than a fifth.
const (
	storeWritesPerSecond = 400
	storeReadsPerSecond  = 2000
	storeDivisor         = 5
	// sustainedFraction leaves room for the burst of one second that the limiters admit after a quiet time.
	sustainedFraction = 0.8
	// peerRequestsPerSecond bounds the requests to peers; each costs about 300 bytes with its reply.
	peerRequestsPerSecond = 8
)

// initBudget creates the limiters; their rates follow the number of members.
func (a *Allocator) initBudget() {
	a.readLimiter, a.writeLimiter = rate.NewLimiter(1, 1), rate.NewLimiter(1, 1)
	a.peerLimiter = rate.NewLimiter(peerRequestsPerSecond, peerRequestsPerSecond)
	a.resizeBudget(a.config.Now())
}

// resizeBudget divides the budget by the number of members.
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
