package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// The load is a burst of small urgent jobs, which need short calls, beside jobs that need long calls. Guards against
// proxies that are idle while the response to a short call is on its way: on glwfse-spoke-grown trouble-3 a call of 18 ms
// took 73 ms. Also guards against short calls that take every proxy that becomes free: there the render servers ran at a
// quarter of their capacity or less while 70 of their steps waited for a proxy.
func TestAvailableAdvisorProxies(t *testing.T) {
	const short, long = 20 * time.Millisecond, 800 * time.Millisecond
	peers := map[ident.MemberID]string{"b": "b:1", "c": "c:1", "d": "d:1"}
	now := time.Unix(1000, 0)
	mark := map[callPreference]string{longCallsFirst: "+", shortCallsOnly: "*"}
	for name, c := range map[string]struct {
		calls  map[ident.MemberID][]time.Duration
		failed ident.MemberID
		want   string // members in order; + marks long calls first, * short calls only
	}{
		"all idle: a third is reserved for each":     {want: "[b+ c d a*]"},
		"a proxy with a long call makes no other":    {calls: map[ident.MemberID][]time.Duration{"b": {long}}, want: "[c d a*]"},
		"a reserved proxy makes a second short call": {calls: map[ident.MemberID][]time.Duration{"a": {short}}, want: "[b+ c d a*]"},
		"other proxies make no second call":          {calls: map[ident.MemberID][]time.Duration{"b": {short}, "c": {short}}, want: "[d a*]"},
		"a reserved proxy makes no third call":       {calls: map[ident.MemberID][]time.Duration{"a": {short, short}}, want: "[b+ c d]"},
		"a proxy backs off after a failed call":      {failed: "d", want: "[b+ c a*]"},
	} {
		t.Run(name, func(t *testing.T) {
			proxies := newAdvisorProxies()
			for m, costs := range c.calls {
				for range costs {
					proxies.callStarted(m)
				}
			}
			if c.failed != "" {
				proxies.callStarted(c.failed)
				proxies.callEnded(c.failed, now, true)
			}
			got := []string{}
			for _, n := range proxies.available(now, "a", peers) {
				got = append(got, string(n.member)+mark[n.preference])
			}
			if fmt.Sprint(got) != c.want {
				t.Errorf("got %v, want %s", got, c.want)
			}
		})
	}
}

// TestAdvisorProxyBackoffDoubles guards against a daemon that can't be reached and takes a call each second: a long-running
// task whose advice was requested through such daemons had no run for 9 s (severed.toml, seed 103).
func TestAdvisorProxyBackoffDoubles(t *testing.T) {
	proxies := newAdvisorProxies()
	now := time.Unix(1000, 0)
	fail := func() time.Duration {
		proxies.callStarted("b")
		proxies.callEnded("b", now, true)
		return proxies.backoffUntil["b"].Sub(now)
	}
	got := []time.Duration{}
	for range 6 {
		got = append(got, fail())
	}
	if want := "[1s 2s 4s 8s 8s 8s]"; fmt.Sprint(got) != want {
		t.Errorf("backoff after consecutive failures: got %v, want %s", got, want)
	}
	proxies.callStarted("b")
	proxies.callEnded("b", now, false)
	if got := fail(); got != time.Second {
		t.Errorf("backoff after a failure that follows a success: got %s, want 1s", got)
	}
}

// Guards against a step that gets no advice for minutes while some daemons can't be reached: six of 25 took all its calls by turns, as
// each was preferred again once its backoff was over.
func TestUnreachableProxiesAreAskedOnce(t *testing.T) {
	const cost, unreachable = 100 * time.Millisecond, 6
	proxies, peers := newAdvisorProxies(), map[ident.MemberID]string{}
	lost := map[ident.MemberID]bool{}
	for n := range 24 {
		m := ident.MemberID(fmt.Sprintf("d%02d", n))
		peers[m], lost[m] = string(m)+":1", n < unreachable
	}
	now := time.Unix(1000, 0)
	for failed := 0; ; failed++ {
		proxy := proxies.available(now, "self", peers)[0]
		if !lost[proxy.member] {
			return
		}
		if failed == unreachable {
			t.Fatalf("call %d is made through %s, which has failed before", failed+1, proxy.member)
		}
		proxies.callStarted(proxy.member)
		now = now.Add(cost + adviceMargin)
		proxies.callEnded(proxy.member, now, true)
	}
}
