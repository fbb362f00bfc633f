package soak

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// Guards against promises that are broken when the leader's calls to servers go through other daemons, and against a soak in which the
// leader makes them itself or no such daemon fails.
func TestShortServerProxies(t *testing.T) {
	t.Parallel()
	const seed, daemons = 1, 6
	dir := t.TempDir()
	checkRun(t, Options{
		Binary: buildProgram(t), Dir: dir, Profile: ProfileServerProxies, FaultDuration: shortDuration, Daemons: daemons, Servers: 6, Callers: 6,
	}, seed)
	ready, failed := 0, 0
	for d := range daemons {
		log, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("seed-%d", seed), fmt.Sprintf("d%d.log", d)))
		if err != nil {
			t.Fatal(err)
		}
		ready += strings.Count(string(log), `"server proxy ready"`)
		failed += strings.Count(string(log), `"server proxy failed"`)
	}
	if ready < dataCentreCount || failed == 0 {
		t.Errorf("%d proxies were ready and %d failed, want one in each data centre and a failure", ready, failed)
	}
}

// Guards against a seed in CI that no longer plays what it was chosen for, as TestPlansOfMixedProfile does.
func TestPlanOfServerProxiesProfile(t *testing.T) {
	checkPlanOf(t, Options{Profile: ProfileServerProxies, FaultDuration: shortDuration, Daemons: 6, Servers: 6}, 1, 0xd249722b2bf6912d)
}

// Guards against a fault of daemons or their links that no plan has, and against pauses outside of their range.
func TestProxyFaultSeries(t *testing.T) {
	seen := map[fault]bool{}
	for seed := range uint64(60) {
		for _, f := range newPlan(ProfileServerProxies, seed, 20*time.Second, 6, 6) {
			seen[f.Fault] = true
			if slices.Contains(proxySeriesFaults, f.Fault) && (f.Duration < minDaemonFault || f.Duration > maxDaemonFault) {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
	}
	for _, f := range proxySeriesFaults {
		if !seen[f] {
			t.Errorf("no plan of 60 seeds has the fault %s", f)
		}
	}
}

// Guards against faults that miss the daemons that make calls to servers: the leader and those that come later by name make none.
func TestLikelyServerProxy(t *testing.T) {
	c := &cell{store: txstore.New(time.Now)}
	for i := range 12 {
		c.daemons = append(c.daemons, &process{node: standin.DaemonSettings{Member: ident.MemberID(fmt.Sprintf("d%d", i))}})
	}
	c.store.Put(leaderKey, []byte(`{"Member":"d1"}`))
	// By name: d0, d3, d6, d9 in the first data centre, d10, d4, d7 beside the leader in the second, d11, d2, d5, d8 in the third.
	for target, want := range []int{0, 10, 11, 3, 4, 2} {
		if got := c.likelyServerProxy(target); got != want {
			t.Errorf("target %d selects d%d, want d%d", target, got, want)
		}
	}
}

// Guards against a link that is cut in both directions or in the wrong one, and against bytes that arrive after the cut.
func TestRequestsAreBlockedInOneDirection(t *testing.T) {
	p, l := startProxy(t)
	pair := open(t, p, l)
	p.setMode(modeBlockRequests)
	if delivers(pair.caller, pair.server, false) {
		t.Error("a request arrives")
	}
	if !delivers(pair.server, pair.caller, true) {
		t.Error("a reply doesn't arrive")
	}
	p.setMode(modeForward)
	if err := read(pair.server, true); err == nil {
		t.Error("a blocked request arrives at the end")
	}
	open(t, p, l)
}

// Guards against daemons that don't get the way of calls that the options ask for.
func TestServerCallsSetting(t *testing.T) {
	proxied := []string{"ROSEMARYSPOKE_MAX_DIRECT_SERVERS=0"}
	for name, c := range map[string]struct {
		options Options
		want    []string
	}{
		"mixed":                  {Options{Profile: ProfileMixed}, nil},
		"mixed, proxied":         {Options{Profile: ProfileMixed, ServerCalls: ProxiedCalls}, proxied},
		"server-proxies":         {Options{Profile: ProfileServerProxies}, proxied},
		"server-proxies, direct": {Options{Profile: ProfileServerProxies, ServerCalls: DirectCalls}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.options.environment(); !slices.Equal(got, c.want) {
				t.Errorf("environment %v, want %v", got, c.want)
			}
		})
	}
	if _, err := Run(t.Context(), Options{Dir: t.TempDir(), ServerCalls: "other"}, 1); err == nil {
		t.Error("an unknown way of calls is accepted")
	}
}

// Guards against a soak whose leader calls servers itself although it must not: daemons call only servers of their own data centre.
func TestDaemonsAreInDataCentresOfServers(t *testing.T) {
	for name, c := range map[string]struct {
		profile Profile
		proxied bool
		want    map[int]bool // data centres of daemons
	}{
		"mixed":                {ProfileMixed, false, map[int]bool{0: true}},
		"mixed, proxied":       {ProfileMixed, true, map[int]bool{1: true}},
		"server-loss":          {ProfileServerLoss, false, map[int]bool{0: true}},
		"server-loss, proxied": {ProfileServerLoss, true, map[int]bool{0: true, 1: true}},
		"server-proxies":       {ProfileServerProxies, true, map[int]bool{0: true, 1: true, 2: true}},
	} {
		t.Run(name, func(t *testing.T) {
			cell := &cell{profile: c.profile, proxiedCalls: c.proxied}
			got, servers := map[int]bool{}, map[int]bool{}
			for i := range 6 {
				s := &slot{index: i}
				s.rack, s.dataCentre = c.profile.place(i)
				servers[s.dataCentre] = true
				cell.slots = append(cell.slots, s)
			}
			for i := range 6 {
				got[cell.daemonDataCentre(i)] = true
			}
			if !maps.Equal(got, c.want) || c.proxied && !maps.Equal(got, servers) {
				t.Errorf("daemons in %v, servers in %v, want daemons in %v", got, servers, c.want)
			}
		})
	}
}
