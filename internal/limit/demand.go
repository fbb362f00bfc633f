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
	// shortGiverPause is how long a member that is short itself keeps its part after it gave some. Members of a team at
	// its limit then take turns, and its parts don't move with every task that ends.
	shortGiverPause = 20 * time.Second
	// maxPauseIntervals bounds the pause between fruitless attempts, in intervals.
	maxPauseIntervals = 8
	// missedLife is how long tasks that didn't fit count as wanted; callers that still want them try again within it.
	missedLife = 15 * time.Second
	// heldIntervals is how long a gained part is kept for the tasks that it was requested for, in intervals. Without
	// it two members that miss the same part take it from each other before either starts a task.
	heldIntervals = 3
)

// demand is the recent need of a team on this member.
type demand struct {
	count  int       // starts since window began
	window time.Time // start of the current window
	latest time.Time // last start
	rate   float64   // starts per second
	missed int       // largest number of tasks that didn't fit since the last gain
	missAt time.Time // when tasks didn't fit last
	held   int       // part gained for missed tasks, kept from other members until heldTo
	heldTo time.Time
	gave   time.Time // when a part was given to another member last
	next   time.Time // earliest next attempt
	pause  int       // length of the last pause in intervals; 0 after a gain
	woken  time.Time // the attempt that the loop was woken for
}

// started counts starts and closes a window when it is over.
func (d *demand) started(n int, now time.Time) {
	d.roll(now)
	d.count += n
	d.latest = now
	d.held = max(0, d.held-n)
}

func (d *demand) roll(now time.Time) {
	if d.window.IsZero() {
		d.window = now
	}
	elapsed := now.Sub(d.window)
	if elapsed < rateWindow {
		return
	}
	fresh := float64(d.count) / elapsed.Seconds()
	// Weight one half per window: the average follows a change within two windows.
	d.rate = (d.rate + fresh) / 2
	if elapsed > 4*rateWindow {
		d.rate = fresh
	}
	d.count, d.window = 0, now
}

// during is the number of starts expected in a time. The open window counts when it exceeds the average, so that a
// growing team gets a chunk that fits at once.
func (d *demand) during(t time.Duration) float64 {
	open := max(minWindow, d.latest.Sub(d.window))
	return max(d.rate, float64(d.count)/open.Seconds()) * t.Seconds()
}

// chunk is the part that lasts for the chunk horizon.
func (d *demand) chunk() int { return int(math.Ceil(d.during(chunkHorizon))) }

// ahead is the number of next starts that the own part is kept ahead of, rounded down so that a rare start reserves nothing.
func (d *demand) ahead() int { return int(d.during(lookahead)) }

// miss notes tasks that didn't fit.
func (d *demand) miss(n int, now time.Time) {
	d.missed = max(d.missed, n)
	d.missAt = now
}

// wakeAt reports whether an attempt is due for which the loop wasn't woken yet.
func (d *demand) wakeAt(now time.Time) bool {
	if now.Before(d.next) || (!d.woken.IsZero() && d.woken.Equal(d.next)) {
		return false
	}
	d.woken = d.next
	return true
}

// result plans the next attempt.
func (d *demand) result(r result, now time.Time, interval time.Duration) {
	switch r {
	case gained:
		d.held, d.heldTo = d.missed, now.Add(heldIntervals*interval)
		d.pause, d.missed = 0, 0
		d.next = now
		return
	case fruitless:
		d.pause = min(max(1, 2*d.pause), maxPauseIntervals)
	case steady, postponed:
		d.pause = 1
	}
	d.next = now.Add(time.Duration(d.pause) * interval)
}

// result is the outcome of an attempt.
type result int

// Outcomes of an attempt.
const (
	gained    result = iota // got a part or passed one on
	steady                  // nothing more is wanted
	postponed               // no budget, a conflict or an error of the store
	fruitless               // more is wanted and nobody has it
)

// free is what remains of the usable part; negative after an adoption and while parts are owed to others.
func (t *team) free(limit int) int { return min(t.usable(limit)-t.used, -t.short()) }

// wants reports whether the team needs more than it has free.
func (t *team) wants(limit int) bool {
	return t.free(limit) < max(0, t.demand.missed, min(t.demand.ahead(), limit-t.used))
}

// want is how much more to get: the missing amount, or a chunk when that is larger.
func (t *team) want(limit int) int {
	missing := max(1, t.demand.missed) - t.free(limit)
	return min(max(missing, t.demand.chunk()-max(0, t.free(limit))), limit)
}

// spare is what can be given away: all that is free from an idle member, half of it from one with starts, so that both
// sides have room afterwards, and a little in turns from one that is short itself.
func (t *team) spare(limit int, now time.Time) int {
	free := t.free(limit)
	if now.Before(t.demand.heldTo) {
		free -= t.demand.held
	}
	short := t.demand.missed > 0
	switch {
	case free <= 0, short && now.Sub(t.demand.gave) < shortGiverPause:
		return 0
	case short, t.demand.during(lookahead) > 0 && now.Sub(t.demand.latest) < chunkHorizon:
		return (free + 1) / 2
	}
	return free
}

// balanced bounds what a member that is short gives: no more than evens out the two parts.
func balanced(n, giver, taker int) int { return max(0, min(n, (giver-taker+1)/2)) }

// Budget of store calls. The store takes 400 writes/s and 2,000 reads/s; the split of limits uses less than a fifth.
const (
	storeWritesPerSecond = 400
	storeReadsPerSecond  = 2000
	storeFraction        = 5
	// budgetFill leaves room for the burst of one second that the limiters admit after a quiet time.
	budgetFill = 0.8
	// asksPerSecond bounds the requests to peers; each costs about 300 bytes with its reply.
	asksPerSecond = 8
)

// newBudget creates the limiters; their rates follow the number of members.
func (s *Split) newBudget() {
	s.reads, s.writes = rate.NewLimiter(1, 1), rate.NewLimiter(1, 1)
	s.asks = rate.NewLimiter(asksPerSecond, asksPerSecond)
	s.resize(s.config.Now())
}

// resize divides the budget by the number of members.
func (s *Split) resize(now time.Time) {
	members := max(1, len(s.config.View().Members))
	for limiter, total := range map[*rate.Limiter]float64{s.reads: storeReadsPerSecond, s.writes: storeWritesPerSecond} {
		each := total / storeFraction * budgetFill / float64(members)
		if limiter.Limit() != rate.Limit(each) {
			limiter.SetLimitAt(now, rate.Limit(each))
			limiter.SetBurstAt(now, max(1, int(each)))
		}
	}
}
