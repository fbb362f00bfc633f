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

// Guards against fair shares that exceed what a team can use, or that drop what capped teams leave to the others.
func TestFairShares(t *testing.T) {
	for name, c := range map[string]struct {
		total float64
		teams []teamDemand
		want  map[ident.TeamID]float64
	}{
		"in proportion to weight":             {1, []teamDemand{{"a", 3, 1}, {"b", 1, 1}}, map[ident.TeamID]float64{"a": 0.75, "b": 0.25}},
		"unused share goes to the other team": {1, []teamDemand{{"a", 3, 0.4}, {"b", 1, 1}}, map[ident.TeamID]float64{"a": 0.4, "b": 0.6}},
		"two of three teams capped": {
			1,
			[]teamDemand{{"a", 2, 0.1}, {"b", 1, 0.3}, {"c", 1, 1}},
			map[ident.TeamID]float64{"a": 0.1, "b": 0.3, "c": 0.6},
		},
		"all teams capped": {1, []teamDemand{{"a", 1, 0.1}, {"b", 1, 0.2}}, map[ident.TeamID]float64{"a": 0.1, "b": 0.2}},
		"no teams":         {1, nil, map[ident.TeamID]float64{}},
	} {
		t.Run(name, func(t *testing.T) {
			got := fairShares(c.total, c.teams)
			if len(got) != len(c.want) {
				t.Fatalf("shares are %v, want %v", got, c.want)
			}
			for team, want := range c.want {
				if math.Abs(got[team]-want) > 1e-9 {
					t.Errorf("share of team %s is %g, want %g", team, got[team], want)
				}
			}
		})
	}
}

// Guards against packing that includes idle hosts, or counts a host above 1 after its capacity has shrunk.
func TestPacking(t *testing.T) {
	capacity := resource.Vector{CPU: 16000, Memory: 32768, Slots: 8}
	host := func(slots resource.Count, cpu resource.MilliCPU, attempts int) hostState {
		return hostState{Capacity: capacity, Free: capacity.Sub(resource.Vector{CPU: cpu, Slots: slots}), Attempts: attempts}
	}
	fraction, inUse := packing([]hostState{host(0, 0, 0), host(4, 2000, 4), host(2, 16000, 2), host(2, 24000, 2)})
	if inUse != 3 || math.Abs(fraction-2.5/3) > 1e-9 {
		t.Errorf("packing is %g on %d hosts, want 0.833 on 3", fraction, inUse)
	}
	if fraction, inUse := packing(nil); fraction != 0 || inUse != 0 {
		t.Errorf("packing of no hosts is %g on %d hosts, want 0 on 0", fraction, inUse)
	}
}

// Guards against increases that mix the labels of a counter, or include its value from before the run.
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
		t.Errorf("increase over all labels is %g, want 6", got)
	}
	if got := counterIncrease(before, after, "a_total", `"get"`); got != 4 {
		t.Errorf("increase with label get is %g, want 4", got)
	}
	if got := labelValue(`a_total{call="get"}`, "call"); got != "get" {
		t.Errorf("value of label call is %q, want get", got)
	}
	if _, err := parseMetrics(strings.NewReader("a b\n")); err == nil {
		t.Error("parseMetrics accepted a value that isn't a number")
	}
}

// Guards against policies that are compared on different arrivals, and against an arrival rate above the limit.
func TestSchedule(t *testing.T) {
	const duration, maxPerSecond = 10 * time.Second, 400.0
	for name, d := range Deployments() {
		t.Run(name, func(t *testing.T) {
			first, second := d.Schedule(7, duration, 1), d.Schedule(7, duration, 1)
			if !reflect.DeepEqual(first, second) {
				t.Error("two schedules with seed 7 differ")
			}
			if reflect.DeepEqual(first, d.Schedule(8, duration, 1)) {
				t.Error("schedules with seeds 7 and 8 are equal")
			}
			if rate := float64(len(first)) / duration.Seconds(); rate > maxPerSecond {
				t.Errorf("%g arrivals per second exceed the limit", rate)
			}
			servers := 0
			for _, g := range d.groups {
				servers += g.Count
			}
			if servers != smallServerCount+largeServerCount || len(d.sites) != 6 {
				t.Errorf("deployment has %d servers and %d daemons, want 48 and 6", servers, len(d.sites))
			}
			ids := map[ident.RequestID]bool{}
			for i, a := range first {
				if ids[a.Spec.Request] {
					t.Fatalf("request ID %s is used twice", a.Spec.Request)
				}
				ids[a.Spec.Request] = true
				if i > 0 && a.At < first[i-1].At {
					t.Fatal("arrivals aren't sorted by time")
				}
			}
		})
	}
}

// Guards against arrivals before the start, or that never end, because no duration can hold the time between two.
func TestScheduleOfRareArrivals(t *testing.T) {
	const duration = 10 * time.Second
	for name, scale := range map[string]float64{
		"a small scale": 1e-3, "zero divisor": 0, "infinite": math.SmallestNonzeroFloat64, "too large": 1e-300,
	} {
		t.Run(name, func(t *testing.T) {
			for _, d := range Deployments() {
				for _, a := range d.Schedule(7, duration, scale) {
					if a.At < 0 || a.At >= duration {
						t.Errorf("arrival of %s at %s", a.Spec.Request, a.At)
					}
				}
			}
		})
	}
}

// Guards against a scale that passes the check as it isn't comparable.
func TestInvalidScale(t *testing.T) {
	for name, scale := range map[string]float64{
		"zero": 0, "negative": -1, "too large": 1e300, "infinite": math.Inf(1), "negative infinite": math.Inf(-1), "NaN": math.NaN(),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Run(t.Context(), Config{Deployment: "bensalem", BundleDir: t.TempDir(), Duration: time.Second, Scale: scale})
			if err == nil || !strings.Contains(err.Error(), "scale") {
				t.Errorf("got %v, want an error that names the scale", err)
			}
		})
	}
}

// Guards against quantiles in a unit other than milliseconds, and against a duration above the range being dropped.
func TestQuantiles(t *testing.T) {
	h := newHistogram()
	for i := 1; i <= 1000; i++ {
		record(h, time.Duration(i)*time.Millisecond)
	}
	record(h, time.Hour)
	q := quantiles(h)
	if q.Count != 1001 || math.Abs(q.P50-501) > 2 || math.Abs(q.P99-991) > 2 || q.Max < 119_000 {
		t.Errorf("quantiles of 1 to 1000 ms and 1 h are %+v", q)
	}
}
