package coordinator

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

const (
	// maxProxyDelay is the median delay of the replies through a proxy, beyond twice that of all replies, from which the proxy counts as
	// failed. What the replies of its servers have in common isn't caused by them, and they would get no starts from 400 ms on.
	maxProxyDelay = 200 * time.Millisecond
	// proxyDelaySamples is the number of latest replies that count, minProxyDelaySamples the fewest that do, and proxyDelayMemory the age
	// from which a reply no longer counts.
	proxyDelaySamples    = 32
	minProxyDelaySamples = 8
	proxyDelayMemory     = time.Second
)

// replyDelays holds the delays of the latest replies through a proxy.
type replyDelays struct {
	samples [proxyDelaySamples]struct {
		at    time.Time
		delay time.Duration
	}
	next int
}

func (d *replyDelays) add(now time.Time, delay time.Duration) {
	d.samples[d.next].at, d.samples[d.next].delay = now, delay
	d.next = (d.next + 1) % proxyDelaySamples
}

// median returns the median of the latest delays, or 0 if there are few.
func (d *replyDelays) median(now time.Time) time.Duration {
	var recent []time.Duration
	for _, x := range d.samples {
		if !x.at.IsZero() && now.Sub(x.at) <= proxyDelayMemory {
			recent = append(recent, x.delay)
		}
	}
	if len(recent) < minProxyDelaySamples {
		return 0
	}
	slices.Sort(recent)
	return recent[len(recent)/2]
}

// delay returns how long an answer took beyond the wait of its call. Ends of runs may answer a poll before its wait is over, so that such a
// reply tells no delay, and the lack of an answer tells none either.
func (c *proxiedCall) delay(o *proxiedOutcome, now time.Time) (time.Duration, bool) {
	if o.Kind != callAnswered && o.Kind != callRefused {
		return 0, false
	}
	passed := now.Sub(c.due)
	if poll, ok := c.command.(sched.PollCommand); ok {
		return max(passed-poll.Wait, 0), o.Reply != nil && len(o.Reply.Finished) == 0
	}
	return passed, true
}
