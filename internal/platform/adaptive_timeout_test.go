package platform

import (
	"testing"
	"time"
)

// Guards against fixed timeouts below the latency of a slow store, with which no call succeeds: at a latency of 520 ms no
// job was recorded for six seconds. Also guards against long timeouts while replies are lost, which delay later calls.
func TestAdaptiveTimeout(t *testing.T) {
	const minimum, maximum, ms = 450 * time.Millisecond, 2 * time.Second, time.Millisecond
	// call simulates a call to a store with the given latency; 0 means that the reply is lost.
	call := func(p *AdaptiveTimeout, now *time.Time, takes time.Duration) (answered bool) {
		timeout := p.Timeout(minimum, maximum)
		if takes == 0 || takes > timeout {
			*now = now.Add(timeout)
			p.ObserveTimeout(timeout)
			return false
		}
		*now = now.Add(takes)
		p.ObserveReply(takes)
		return true
	}
	for name, c := range map[string]struct {
		calls   []time.Duration
		last    bool          // whether the last call gets a reply
		timeout time.Duration // timeout after the calls
	}{
		"fast store":              {calls: []time.Duration{4 * ms, 5 * ms, 4 * ms}, last: true, timeout: minimum},
		"store that becomes slow": {calls: []time.Duration{4 * ms, 700 * ms, 700 * ms, 700 * ms, 700 * ms}, last: true, timeout: 1400 * ms},
		"a third of replies lost": {calls: []time.Duration{4 * ms, 0, 4 * ms, 4 * ms, 0, 4 * ms}, last: true, timeout: minimum},
		"unresponsive store":      {calls: []time.Duration{4 * ms, 0, 0, 0, 0, 0, 0}, timeout: maximum},
		"slow store becomes fast": {calls: []time.Duration{700 * ms, 700 * ms, 700 * ms, 700 * ms, 4 * ms}, last: true, timeout: 1226 * ms},
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
				t.Errorf("last call got a reply: %v, want %v", answered, c.last)
			}
			if got := p.Timeout(minimum, maximum); got.Round(10*ms) != c.timeout.Round(10*ms) {
				t.Errorf("timeout %s, want %s", got, c.timeout)
			}
		})
	}
}
