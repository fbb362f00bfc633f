package placement

import (
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestRestore guards against tasks that stay throttled, and against overcommitment by a share that is given back.
func TestRestore(t *testing.T) {
	const task = ident.AttemptID("attempt-1")
	urgent := request(2, api.KindRequest, resource.Vector{CPU: small.CPU, Slots: 1})
	urgent.Priority, urgent.Urgent = 50, true
	for name, run := range map[string]func(t *testing.T, f *fixture, host ident.HostID, chosen func(want int)){
		"with room, after the pause": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			f.Throttled(host, task, ThrottlePercent)
			f.now = f.now.Add(RestorePause - 1)
			chosen(0)
			f.now = f.now.Add(1)
			chosen(1)
			f.now = f.now.Add(RestorePause)
			chosen(0) // the call is under way
			f.Throttled(host, task, FullShare)
			f.now = f.now.Add(RestorePause)
			chosen(0)
		},
		"only with room": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			f.Throttled(host, task, ThrottlePercent)
			if _, err := f.Pick(urgent); err != nil {
				t.Fatal(err)
			}
			f.now = f.now.Add(RestorePause)
			chosen(0)
			f.Release(host, urgent.Attempt)
			chosen(1)
		},
		"lowered share without confirmation": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			f.Unconfirmed(host, task)
			if _, err := f.Pick(urgent); err == nil || f.Throttled(host, task, ThrottlePercent) {
				t.Error("the lower share is counted")
			}
			f.now = f.now.Add(RestorePause)
			chosen(1)
			f.Throttled(host, task, FullShare)
			if victims, _ := f.Victims(urgent); len(victims) != 1 || victims[0].Action != ActionThrottle {
				t.Errorf("victims %+v", victims)
			}
		},
		"raised share without confirmation": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			f.Throttled(host, task, ThrottlePercent)
			f.now = f.now.Add(RestorePause)
			chosen(1)
			f.Unconfirmed(host, task)
			if _, err := f.Pick(urgent); err == nil {
				t.Error("the lower share is counted")
			}
			if victims, _ := f.Victims(urgent); len(victims) != 1 || victims[0].Action != ActionCheckpoint {
				t.Errorf("victims %+v while a raise may take effect", victims)
			}
			f.now = f.now.Add(RestorePause)
			chosen(1)
		},
		"throttled by an earlier owner": func(t *testing.T, f *fixture, host ident.HostID, chosen func(int)) {
			running := []backend.Running{{Task: backend.Task{Attempt: task, Demand: small.Times(2)}, Throttled: true}}
			running = append(running, backend.Running{Task: backend.Task{Attempt: urgent.Attempt, Demand: urgent.Demand}})
			f.Attach(info(0), backend.Inventory{Capacity: f.Dump().Hosts[0].Capacity, Running: running})
			f.now = f.now.Add(RestorePause)
			chosen(0)
			f.Release(host, urgent.Attempt)
			chosen(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			host := f.attach(0, small.Times(2).Add(resource.Vector{Slots: 2}))
			f.place(t, 1, api.KindBatch, small.Times(2))
			f.Running(host, task)
			if victims, err := f.Victims(urgent); err != nil || victims[0].Action != ActionThrottle {
				t.Fatalf("victims %+v, %v", victims, err)
			}
			run(t, f, host, func(want int) {
				t.Helper()
				if list := f.Restore(); len(list) != want || want == 1 && (list[0].Attempt != task || list[0].Percent != FullShare) {
					t.Fatalf("restored %+v, want %d", list, want)
				}
				if f.Dump().Hosts[0].Free.Negative() && want > 0 {
					t.Fatal("the host is overcommitted")
				}
			})
		})
	}
}
