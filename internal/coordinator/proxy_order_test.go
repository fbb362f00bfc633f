package coordinator

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// largeCell returns the addresses of the 147 daemons of a large cell.
func largeCell() map[ident.MemberID]string {
	members := map[ident.MemberID]string{}
	for n := range 147 {
		m := ident.MemberID(fmt.Sprintf("d%03d", n))
		members[m] = string(m) + ":1"
	}
	return members
}

// Guards against a leader that sorts all daemons after each advisor call and each scheduling pass, hundreds of times a second.
func TestProxyOrderIsKept(t *testing.T) {
	proxies, members, now := newAdvisorProxies(), largeCell(), time.Unix(1000, 0)
	allocations := testing.AllocsPerRun(100, func() {
		proxies.callStarted("d001")
		if n := len(proxies.available(now, "d000", members)); n != len(members)-1 {
			t.Errorf("%d proxies are available, want %d", n, len(members)-1)
		}
		proxies.callEnded("d001", now, false)
	})
	if allocations > 0 {
		t.Errorf("%v allocations for each choice of a proxy, want none", allocations)
	}
}

// Guards against advisor calls through daemons that have left or fail, or none through those that have joined or answer again, as the
// order of the daemons is kept.
func TestProxyOrderFollowsChanges(t *testing.T) {
	proxies, members, now := newAdvisorProxies(), map[ident.MemberID]string{"a": "a:1", "b": "b:1", "c": "c:1"}, time.Unix(1000, 0)
	check := func(when, want string) {
		t.Helper()
		now = now.Add(maxProxyBackoff)
		got := []string{}
		for _, p := range proxies.available(now, "a", maps.Clone(members)) {
			got = append(got, string(p.member)+"="+p.address)
		}
		if fmt.Sprint(got) != want {
			t.Errorf("%s: got %v, want %s", when, got, want)
		}
	}
	call := func(m ident.MemberID, failed bool) {
		proxies.callStarted(m)
		proxies.callEnded(m, now, failed)
	}
	check("at first", "[b=b:1 c=c:1 a=]")
	call("b", true)
	check("after a failed call", "[c=c:1 a= b=b:1]")
	call("b", false)
	check("after an answered call", "[b=b:1 c=c:1 a=]")
	members["c"] = "c:2"
	check("after a new address", "[b=b:1 c=c:2 a=]")
	delete(members, "b")
	members["d"] = "d:1"
	check("after a daemon has left and one has joined", "[c=c:2 d=d:1 a=]")
}

// BenchmarkAvailableProxies measures the choice of the daemons for advisor calls in a large cell with some calls in flight.
func BenchmarkAvailableProxies(b *testing.B) {
	proxies, members, now := newAdvisorProxies(), largeCell(), time.Unix(1000, 0)
	for n := range 60 {
		proxies.callStarted(ident.MemberID(fmt.Sprintf("d%03d", 2*n)))
	}
	b.ReportAllocs()
	for b.Loop() {
		proxies.available(now, "d001", members)
	}
}
