package platform

import (
	"testing"
	"time"
)

// Guards against fixed time limits below the answer time of a slow store, which let no call succeed: with answers after
// 520 ms no job was recorded for six seconds. And against long limits while answers are lost, which hold up what follows.
func TestAdaptiveTimeout(t *testing.T) {
	const least, most, ms = 450 * time.Millisecond, 2 * time.Second, time.Millisecond
	// call plays a call to a store with a given answer time; 0 means that the answer is lost.
	call := func(p *AdaptiveTimeout, now *time.Time, takes time.Duration) (answered bool) {
		limit := p.Timeout(least, most)
		if takes == 0 || takes > limit {
			*now = now.Add(limit)
			p.ObserveTimeout(limit)
			return false
		}
		*now = now.Add(takes)
		p.ObserveReply(takes)
		return true
	}
	for name, c := range map[string]struct {
		calls []time.Duration
		last  bool          // whether the last call is answered
		limit time.Duration // afterwards
	}{
		"a fast store":                        {calls: []time.Duration{4 * ms, 5 * ms, 4 * ms}, last: true, limit: least},
		"a store that becomes slow":           {calls: []time.Duration{4 * ms, 700 * ms, 700 * ms, 700 * ms, 700 * ms}, last: true, limit: 1400 * ms},
		"a third of the answers is lost":      {calls: []time.Duration{4 * ms, 0, 4 * ms, 4 * ms, 0, 4 * ms}, last: true, limit: least},
		"a silent store has a bounded limit":  {calls: []time.Duration{4 * ms, 0, 0, 0, 0, 0, 0}, limit: most},
		"a store that is fast again, at once": {calls: []time.Duration{700 * ms, 700 * ms, 700 * ms, 700 * ms, 4 * ms}, last: true, limit: 1226 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := NewAdaptiveTimeout()
			p.now = func() time.Time { return now }
			p.ObserveReply(4 * ms)
			answered := false
			for _, takes := range c.calls {
				answered = call(p, &now, takes)
			}
			if answered != c.last {
				t.Errorf("last call answered: %v, want %v", answered, c.last)
			}
			if got := p.Timeout(least, most); got.Round(10*ms) != c.limit.Round(10*ms) {
				t.Errorf("limit %s, want %s", got, c.limit)
			}
		})
	}
}
