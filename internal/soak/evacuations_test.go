package soak

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/runhost"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Guards against starts in evacuated data centres, and against other promises that are broken meanwhile, while leaders end and lose the
// store.
func TestShortEvacuations(t *testing.T) {
	checkRun(t, Options{
		Binary: buildProgram(t), Dir: t.TempDir(), Profile: ProfileEvacuations, FaultDuration: serverLossDuration, Daemons: 6, Servers: 6,
		Callers: 6,
	}, 4) // the leader is paused while a data centre is evacuated
}

// Guards against a check of evacuations that reports a start which is allowed, or misses one that isn't.
func TestEvacuationCheck(t *testing.T) {
	for name, c := range map[string]struct {
		server    sched.ServerID
		at        time.Duration // of the start, after the request
		withdrawn time.Duration // 0 means never
		violation bool
	}{
		"at the bound":         {server: "s0", at: evacuationBound},
		"after the bound":      {server: "s0", at: evacuationBound + time.Millisecond, violation: true},
		"elsewhere":            {server: "s1", at: time.Minute},
		"after the withdrawal": {server: "s0", at: 10 * time.Second, withdrawn: 9 * time.Second},
		"requested again":      {server: "s0", at: 30 * time.Second, withdrawn: 20 * time.Second, violation: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &cell{store: txstore.New(time.Now)}
				w.fleet = runhost.New(func(sched.TaskID) time.Duration { return time.Second }, func(sched.TaskID) resource.Vector { return taskDemand })
				w.fleet.SetStartCheck(w.evacuations.checkStart)
				for i, id := range []sched.ServerID{"s0", "s1"} {
					w.fleet.Add(sched.Server{ID: id, Service: serviceName, DataCentre: dataCentreName(i), Capacity: taskDemand})
				}
				end := w.evacuate(0)
				time.Sleep(c.withdrawn)
				if c.withdrawn > 0 {
					end()
				}
				if name == "requested again" {
					w.evacuate(0)
				}
				time.Sleep(c.at - c.withdrawn)
				_, err := w.fleet.Client().Start(context.Background(), 1, sched.StartCommand{
					Server: sched.Server{ID: c.server}, Task: sched.TaskID{Job: "j"}, Run: 1, Deadline: 2 * time.Hour,
				})
				if err != nil {
					t.Fatal(err)
				}
				found := slices.ContainsFunc(w.fleet.Violations(), func(s string) bool { return strings.Contains(s, "after the request to evacuate") })
				if found != c.violation {
					t.Errorf("violations %q, want one: %t", w.fleet.Violations(), c.violation)
				}
			})
		})
	}
}

// Guards against plans without an evacuation that outlasts the bound, or always of one data centre.
func TestEvacuationSeries(t *testing.T) {
	targets := map[int]bool{}
	for seed := range uint64(20) {
		n := 0
		for _, f := range newPlan(ProfileEvacuations, seed, 20*time.Second, 6, 6) {
			if f.Fault != evacuate {
				continue
			}
			n++
			targets[f.Target%dataCentreCount] = true
			if f.Duration < minEvacuation || f.Duration > maxEvacuation {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
		if n == 0 {
			t.Errorf("seed %d has no evacuation", seed)
		}
	}
	if len(targets) != dataCentreCount {
		t.Errorf("data centres evacuated: %v", targets)
	}
}
