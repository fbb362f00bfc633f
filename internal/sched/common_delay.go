package sched

import (
	"slices"
	"time"
)

const (
	// delaySamples is the number of latest replies that determine the common delay, minDelaySamples the fewest that do.
	delaySamples    = 64
	minDelaySamples = 16
	// delaySampleMaxAge is the age from which a reply no longer counts.
	delaySampleMaxAge = time.Second
	// maxCommonDelay bounds the common delay, so that silent servers are found and leases renewed in time under any load.
	maxCommonDelay = time.Second
	// congestedDelay is the common delay from which fewer starts may be unanswered at once. It is well below the time after which
	// a start counts as unanswered and is repeated, which would increase the load.
	congestedDelay = 100 * time.Millisecond
	// minStartWindow and maxStartWindow bound the number of starts that may be unanswered at once.
	minStartWindow = 64
	maxStartWindow = 4096
	// startWindowStep is by how much the window grows on each tick without congestion.
	startWindowStep = 64
)

// commonDelay estimates by how much the replies of all servers are late: the median of the latest replies. What all replies have in
// common isn't caused by a server, but by the leader's processor or link. It also limits the unanswered starts while the delay
// shows that the leader can't handle more: starts that time out are repeated, so an overloaded leader would never recover.
type commonDelay struct {
	samples [delaySamples]delaySample
	next    int
	median  time.Duration
	longest time.Duration // of the delays since it was last read; unlike the median it isn't bounded
	window  int           // starts that may be unanswered at once
}

// delaySample is the delay of a reply.
type delaySample struct {
	at    time.Time
	delay time.Duration
}

// add records the delay of a reply.
func (c *commonDelay) add(now time.Time, delay time.Duration) {
	c.longest = max(c.longest, delay)
	c.samples[c.next] = delaySample{now, delay}
	c.next = (c.next + 1) % delaySamples
}

// update computes the median and adapts the window of starts.
func (c *commonDelay) update(now time.Time) {
	var recent []time.Duration
	for _, x := range c.samples {
		if !x.at.IsZero() && now.Sub(x.at) <= delaySampleMaxAge {
			recent = append(recent, x.delay)
		}
	}
	c.median = 0
	if len(recent) >= minDelaySamples {
		slices.Sort(recent)
		c.median = min(recent[len(recent)/2], maxCommonDelay)
	}
	if c.median > congestedDelay {
		c.window = max(c.window/2, minStartWindow)
	} else {
		c.window = min(c.window+startWindowStep, maxStartWindow)
	}
}

// CommonDelay returns by how much the replies of all servers are late, and how many starts may be unanswered at once.
func (s *Scheduler) CommonDelay() (time.Duration, int) { return s.delay.median, s.delay.window }

// LongestReplyDelay returns the longest delay of a reply to a command since its last call.
func (s *Scheduler) LongestReplyDelay() time.Duration {
	longest := s.delay.longest
	s.delay.longest = 0
	return longest
}

// Congested reports whether the leader handles replies so late that it should do less at once.
func (s *Scheduler) Congested() bool { return s.delay.median > usualDelay }

// noteCommandReply records the reply to a command that was sent at the given time.
func (s *Scheduler) noteCommandReply(now, sent time.Time) { s.delay.add(now, now.Sub(sent)) }

// maxDelayShare is the share of a ticket's validity within which its task has to start. The rest covers the advisor call, and errors
// of the estimate.
const maxDelayShare = 0.5

// ticketsWouldExpire reports whether starts are limited and the delayed tasks of higher rank take so long to start that tickets for a
// further group of a queue would expire unused.
func (p *pass) ticketsWouldExpire(q *Queue) bool {
	if !p.startWindowFull() {
		return false
	}
	// The start is sent after delayedTasks/window replies. Both sides are multiplied by the window, which may be 0.
	untilStart := float64(p.delay.median) * float64(p.delayedTasks)
	return untilStart > maxDelayShare*float64(q.Advisor.TicketValidity)*float64(p.delay.window)
}

// startWindowFull reports whether no further start may be sent until one is answered.
func (s *Scheduler) startWindowFull() bool { return s.unansweredStarts >= s.delay.window }
