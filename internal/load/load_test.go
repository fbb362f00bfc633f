package load

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against a distance from the share that counts work a team can't use, or loses what others leave.
func TestFairShares(t *testing.T) {
	for name, c := range map[string]struct {
		total float64
		teams []teamDemand
		want  map[ident.TeamID]float64
	}{
		"by share":              {1, []teamDemand{{"a", 3, 1}, {"b", 1, 1}}, map[ident.TeamID]float64{"a": 0.75, "b": 0.25}},
		"limit passes the rest": {1, []teamDemand{{"a", 3, 0.4}, {"b", 1, 1}}, map[ident.TeamID]float64{"a": 0.4, "b": 0.6}},
		"two limits":            {1, []teamDemand{{"a", 2, 0.1}, {"b", 1, 0.3}, {"c", 1, 1}}, map[ident.TeamID]float64{"a": 0.1, "b": 0.3, "c": 0.6}},
		"all limited":           {1, []teamDemand{{"a", 1, 0.1}, {"b", 1, 0.2}}, map[ident.TeamID]float64{"a": 0.1, "b": 0.2}},
		"no team":               {1, nil, map[ident.TeamID]float64{}},
	} {
		t.Run(name, func(t *testing.T) {
			got := fairShares(c.total, c.teams)
			if len(got) != len(c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
			for team, want := range c.want {
				if math.Abs(got[team]-want) > 1e-9 {
					t.Errorf("%s: got %g, want %g", team, got[team], want)
				}
			}
		})
	}
}

// Guards against empty hosts in the packing, and against hosts above 1 after their capacity shrank.
func TestPacking(t *testing.T) {
	capacity := resource.Vector{CPU: 16000, Memory: 32768, Slots: 8}
	host := func(slots resource.Count, cpu resource.MilliCPU, attempts int) hostState {
		return hostState{Capacity: capacity, Free: capacity.Sub(resource.Vector{CPU: cpu, Slots: slots}), Attempts: attempts}
	}
	part, inUse := packing([]hostState{host(0, 0, 0), host(4, 2000, 4), host(2, 16000, 2), host(2, 24000, 2)})
	if inUse != 3 || math.Abs(part-2.5/3) > 1e-9 {
		t.Errorf("got %g on %d hosts, want 0.833 on 3", part, inUse)
	}
	if part, inUse := packing(nil); part != 0 || inUse != 0 {
		t.Errorf("got %g on %d hosts without hosts", part, inUse)
	}
}

// Guards against rates that mix kinds of calls, or count what was there before the run.
func TestCounterIncrease(t *testing.T) {
	before, err := parseMetrics(strings.NewReader("a_total{call=\"get\"} 5\n"))
	if err != nil {
		t.Fatal(err)
	}
	after, err := parseMetrics(strings.NewReader("# HELP\na_total{call=\"get\"} 9\na_total{call=\"watch\"} 2\nb 1e3\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := counterIncrease(before, after, "a_total"); got != 6 {
		t.Errorf("all calls grew by %g, want 6", got)
	}
	if got := counterIncrease(before, after, "a_total", `"get"`); got != 4 {
		t.Errorf("get grew by %g, want 4", got)
	}
	if got := labelValue(`a_total{call="get"}`, "call"); got != "get" {
		t.Errorf("label is %q", got)
	}
	if _, err := parseMetrics(strings.NewReader("a b\n")); err == nil {
		t.Error("a value that isn't a number was accepted")
	}
}

// Guards against two policies that are compared on different work, and against a rate above the bound.
func TestSchedule(t *testing.T) {
	const duration, maxPerSecond = 10 * time.Second, 400.0
	for name, d := range Deployments() {
		t.Run(name, func(t *testing.T) {
			first, second := d.Schedule(7, duration, 1), d.Schedule(7, duration, 1)
			if !reflect.DeepEqual(first, second) {
				t.Error("the same seed gave different arrivals")
			}
			if reflect.DeepEqual(first, d.Schedule(8, duration, 1)) {
				t.Error("another seed gave the same arrivals")
			}
			if rate := float64(len(first)) / duration.Seconds(); rate > maxPerSecond {
				t.Errorf("%g arrivals per second", rate)
			}
			servers := 0
			for _, g := range d.groups {
				servers += g.Count
			}
			if servers != smallServerCount+largeServerCount || len(d.sites) != 6 {
				t.Errorf("%d servers, %d daemons", servers, len(d.sites))
			}
			ids := map[ident.RequestID]bool{}
			for i, a := range first {
				if ids[a.Spec.Request] {
					t.Fatalf("request id %s is used twice", a.Spec.Request)
				}
				ids[a.Spec.Request] = true
				if i > 0 && a.At < first[i-1].At {
					t.Fatal("arrivals aren't in order of time")
				}
			}
		})
	}
}

// Guards against quantiles in the wrong unit.
func TestQuantiles(t *testing.T) {
	h := newHistogram()
	for i := 1; i <= 1000; i++ {
		record(h, time.Duration(i)*time.Millisecond)
	}
	record(h, time.Hour)
	q := quantiles(h)
	if q.Count != 1001 || math.Abs(q.P50-501) > 2 || math.Abs(q.P99-991) > 2 || q.Max < 119_000 {
		t.Errorf("got %+v", q)
	}
}
