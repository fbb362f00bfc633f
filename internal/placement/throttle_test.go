package placement

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestRestoreThrottled guards against tasks that stay throttled, and against overcommitment by restoring their full CPU share.
func TestRestoreThrottled(t *testing.T) {
	const task = ident.AttemptID("attempt-1")
	urgent := newRequest(2, api.KindRequest, resource.Vector{CPU: smallDemand.CPU, Slots: 1})
	urgent.Priority, urgent.Urgent = 50, true
	for name, run := range map[string]func(t *testing.T, f *fixture, host ident.HostID, chosen func(want int)){
		"restored after the delay when capacity is free": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			f.ConfirmThrottle(host, task, ThrottledCPUPercent)
			f.now = f.now.Add(RestoreDelay - 1)
			chosen(0)
			f.now = f.now.Add(1)
			chosen(1)
			f.now = f.now.Add(RestoreDelay)
			chosen(0) // the throttle call is under way
			f.ConfirmThrottle(host, task, FullCPUPercent)
			f.now = f.now.Add(RestoreDelay)
			chosen(0)
		},
		"not restored without free capacity": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			f.ConfirmThrottle(host, task, ThrottledCPUPercent)
			if _, err := f.Place(urgent); err != nil {
				t.Fatal(err)
			}
			f.now = f.now.Add(RestoreDelay)
			chosen(0)
			f.Release(host, urgent.Attempt)
			chosen(1)
		},
		"throttling without confirmation": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			f.RecordUnconfirmedThrottle(host, task)
			if _, err := f.Place(urgent); err == nil || f.ConfirmThrottle(host, task, ThrottledCPUPercent) {
				t.Error("the throttled CPU is charged before it is confirmed")
			}
			f.now = f.now.Add(RestoreDelay)
			chosen(1)
			f.ConfirmThrottle(host, task, FullCPUPercent)
			if victims, _ := f.SelectVictims(urgent); len(victims) != 1 || victims[0].Action != ActionThrottle {
				t.Errorf("victims %+v", victims)
			}
		},
		"restoring without confirmation": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			f.ConfirmThrottle(host, task, ThrottledCPUPercent)
			f.now = f.now.Add(RestoreDelay)
			chosen(1)
			f.RecordUnconfirmedThrottle(host, task)
			if _, err := f.Place(urgent); err == nil {
				t.Error("the throttled CPU is charged instead of the full demand")
			}
			if victims, _ := f.SelectVictims(urgent); len(victims) != 1 || victims[0].Action != ActionCheckpoint {
				t.Errorf("victims %+v while the unconfirmed restore may still take effect", victims)
			}
			f.now = f.now.Add(RestoreDelay)
			chosen(1)
		},
		"throttled by a previous owner": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			running := []backend.Running{{Task: backend.Task{Attempt: task, Demand: smallDemand.Times(2)}, Throttled: true}}
			running = append(running, backend.Running{Task: backend.Task{Attempt: urgent.Attempt, Demand: urgent.Demand}})
			f.Attach(hostInfo(0), backend.Inventory{Capacity: f.Dump().Hosts[0].Capacity, Running: running})
			f.now = f.now.Add(RestoreDelay)
			chosen(0)
			f.Release(host, urgent.Attempt)
			chosen(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			host := f.attachHost(0, smallDemand.Times(2).Add(resource.Vector{Slots: 2}))
			f.mustPlace(t, 1, api.KindBatch, smallDemand.Times(2))
			f.ConfirmStart(host, task)
			if victims, err := f.SelectVictims(urgent); err != nil || victims[0].Action != ActionThrottle {
				t.Fatalf("victims %+v, %v", victims, err)
			}
			run(t, f, host, func(want int) {
				t.Helper()
				if list := f.RestoreThrottled(); len(list) != want ||
					want == 1 && (list[0].Attempt != task || list[0].CPUPercent != FullCPUPercent) {
					t.Fatalf("restored %+v, want %d", list, want)
				}
				if f.Dump().Hosts[0].Free.Negative() && want > 0 {
					t.Fatal("the host is overcommitted")
				}
			})
		})
	}
}
