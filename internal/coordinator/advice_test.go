package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// The load is a burst of small urgent jobs, whose calls for advice are short, beside long calls. Guards against lines that
// stand idle while the answer to a short call is on its way (73 ms for a call of 18 ms on glwfse-spoke-grown trouble-3), and
// against short calls that take every line that becomes free: the render servers stood at a quarter and less there, while 70
// of their steps waited for a line.
func TestAvailableAdvisorProxies(t *testing.T) {
	const short, long = 20 * time.Millisecond, 800 * time.Millisecond
	peers := map[ident.MemberID]string{"b": "b:1", "c": "c:1", "d": "d:1"}
	now := time.Unix(1000, 0)
	mark := map[callPreference]string{longCallsFirst: "+", shortCallsOnly: "*"}
	for name, c := range map[string]struct {
		calls  map[ident.MemberID][]time.Duration
		failed ident.MemberID
		want   string // members in order, + for long calls first, * for short ones only
	}{
		"all idle: a third is kept for each":        {want: "[b+ c d a*]"},
		"a line with a long call takes no other":    {calls: map[ident.MemberID][]time.Duration{"b": {long}}, want: "[c d a*]"},
		"a kept line takes a short one behind":      {calls: map[ident.MemberID][]time.Duration{"a": {short}}, want: "[b+ c d a*]"},
		"other lines don't, so that they come free": {calls: map[ident.MemberID][]time.Duration{"b": {short}, "c": {short}}, want: "[d a*]"},
		"two calls are enough":                      {calls: map[ident.MemberID][]time.Duration{"a": {short, short}}, want: "[b+ c d]"},
		"a line that failed is passed over":         {failed: "d", want: "[b+ c a*]"},
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
