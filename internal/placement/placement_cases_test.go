package placement

import (
	"errors"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// mustPlace places task i or fails the test.
func (f *fixture) mustPlace(t *testing.T, i int, kind api.Kind, demand resource.Vector) PlacedAttempt {
	t.Helper()
	p, err := f.Place(newRequest(i, kind, demand))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// wantNoCapacity fails the test unless the request is refused with the given NoCapacityError.
func (f *fixture) wantNoCapacity(t *testing.T, q Request, want NoCapacityError) {
	t.Helper()
	_, err := f.Place(q)
	var full *NoCapacityError
	if !errors.As(err, &full) || *full != want {
		t.Fatalf("got %v, want %v", err, &want)
	}
}

func (f *fixture) attachHost(i int, capacity resource.Vector, running ...backend.Running) ident.HostID {
	f.Attach(hostInfo(i), backend.Inventory{Capacity: capacity, Running: running})
	return hostID(i)
}

func TestPlacement(t *testing.T) {
	// The comment above a case names the failure that it guards against.
	cases := map[string]func(t *testing.T, f *fixture){
		// New work on a host that is about to shut down.
		"a leaving host takes no new work": func(t *testing.T, f *fixture) {
			f.UpdateHost(f.attachHost(0, cpuHost), cpuHost, true)
			f.wantNoCapacity(t, newRequest(1, api.KindBatch, smallDemand), NoCapacityError{Reason: AllFull, Leaving: 1})
			f.UpdateHost(hostID(0), cpuHost, false)
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
		},
		// New work on a host on which every task fails.
		"a quarantined host takes no new work": func(t *testing.T, f *fixture) {
			f.blocked[f.attachHost(0, cpuHost)] = "failing"
			f.wantNoCapacity(t, newRequest(1, api.KindBatch, smallDemand), NoCapacityError{Reason: AllFull, Quarantined: 1})
		},
		// A retry on the host where the task just failed.
		"an avoided host doesn't take the task": func(t *testing.T, f *fixture) {
			q := newRequest(1, api.KindBatch, smallDemand)
			q.Avoid = []ident.HostID{f.attachHost(0, cpuHost)}
			f.wantNoCapacity(t, q, NoCapacityError{Reason: AllFull, Full: 1})
		},
		// A caller that waits for capacity that no host can ever provide.
		"a demand larger than every host has its own reason": func(t *testing.T, f *fixture) {
			f.wantNoCapacity(t, newRequest(1, api.KindBatch, smallDemand), NoCapacityError{Reason: NoHosts})
			f.attachHost(0, cpuHost)
			f.wantNoCapacity(t, newRequest(1, api.KindBatch, gpuHost), NoCapacityError{Reason: TooLarge, TooSmall: 1})
			if ok, reason := f.CouldFit(gpuHost); ok || reason == "" {
				t.Fatalf("got %v, %q", ok, reason)
			}
			f.attachHost(1, gpuHost)
			if ok, _ := f.CouldFit(gpuHost); !ok {
				t.Fatal("CouldFit returned false, but the demand fits the second host")
			}
		},
		// Overcommitment after a host came back with, or was reduced to, less capacity than its tasks use.
		"nothing fits on a host whose capacity fell below its usage": func(t *testing.T, f *fixture) {
			host := f.attachHost(0, cpuHost)
			for i := range 4 {
				f.mustPlace(t, i, api.KindBatch, smallDemand)
			}
			f.UpdateHost(host, smallDemand.Times(3), false)
			f.wantNoCapacity(t, newRequest(9, api.KindBatch, smallDemand), NoCapacityError{Reason: AllFull, Full: 1})
			f.Release(host, "attempt-0")
			f.wantNoCapacity(t, newRequest(9, api.KindBatch, smallDemand), NoCapacityError{Reason: AllFull, Full: 1})
			f.Release(host, "attempt-1")
			f.mustPlace(t, 9, api.KindBatch, smallDemand)
		},
		// A task that uses more than it declared, followed by a lower report while it is less active.
		"usage above the declared demand is charged until the task ends": func(t *testing.T, f *fixture) {
			host := f.attachHost(0, smallDemand.Times(2))
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
			f.RecordUsage(host, []backend.Usage{{Attempt: "attempt-1", Used: smallDemand.Times(2)}})
			f.RecordUsage(host, []backend.Usage{{Attempt: "attempt-1", Used: smallDemand}})
			f.wantNoCapacity(t, newRequest(2, api.KindBatch, smallDemand), NoCapacityError{Reason: AllFull, Full: 1})
			f.Release(host, "attempt-1")
			f.mustPlace(t, 2, api.KindBatch, smallDemand)
		},
		// Capacity that stays taken, or a task that is counted twice, after a host came back.
		"attaching a host again replaces its earlier state": func(t *testing.T, f *fixture) {
			host := f.attachHost(0, smallDemand.Times(3))
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
			f.ReserveGang("gang", newRequest(2, api.KindAllAtOnce, smallDemand), 2, f.now.Add(time.Minute))
			q := newRequest(3, api.KindBatch, smallDemand)
			f.attachHost(0, smallDemand.Times(3), backend.Running{Task: q.task()})
			if _, ok := f.Find("attempt-1"); ok || len(f.Attempts(host)) != 1 {
				t.Fatal("an earlier attempt is still placed after the attach")
			}
			if _, err := f.CommitGang("gang", []backend.Task{{Attempt: "x", Demand: smallDemand}}); !errors.Is(err, ErrNoReservation) {
				t.Fatalf("got %v, want ErrNoReservation because the attach dropped the reservation", err)
			}
			if got := f.Dump().Hosts[0].Free; got != smallDemand.Times(2) {
				t.Fatalf("free %v, want capacity for two", got)
			}
		},
		// The same attempt on two hosts.
		"an attempt is placed only once": func(t *testing.T, f *fixture) {
			f.attachHosts(8)
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
			if _, err := f.Place(newRequest(1, api.KindBatch, smallDemand)); !errors.Is(err, ErrDuplicate) {
				t.Fatalf("got %v", err)
			}
		},
		// A host whose capacity was taken, or that was attached again, between the search and the placement.
		"free capacity is checked again when the task is placed": func(t *testing.T, f *fixture) {
			host := f.attachHost(0, smallDemand)
			first, second := newRequest(1, api.KindBatch, smallDemand), newRequest(2, api.KindBatch, smallDemand)
			c := f.chooseHost(&first, nil, false)
			f.mustPlace(t, 2, api.KindBatch, smallDemand)
			if _, ok, err := f.placeOn(c.bestShard, c.bestHost, &first); ok || err != nil {
				t.Fatalf("placed in capacity that was taken meanwhile: %v, %v", ok, err)
			}
			f.Release(host, second.Attempt)
			f.attachHost(0, smallDemand)
			if _, ok, err := f.placeOn(c.bestShard, c.bestHost, &first); ok || err != nil {
				t.Fatalf("placed on a host that was attached again: %v, %v", ok, err)
			}
		},
		// Payloads of running tasks, up to 256 KB each, that stay in the memory of the daemon.
		"payloads aren't kept in memory": func(t *testing.T, f *fixture) {
			f.attachHosts(1)
			q := newRequest(1, api.KindBatch, smallDemand)
			q.Task.Payload = []byte("payload")
			p, _ := f.Place(q)
			kept, _ := f.Find(q.Attempt)
			if string(p.Task.Payload) != "payload" || kept.Task.Payload != nil {
				t.Fatalf("returned %q, kept %q", p.Task.Payload, kept.Task.Payload)
			}
		},
		// Work without GPUs that takes the hosts that GPU work needs.
		"GPU hosts are left free for GPU work": func(t *testing.T, f *fixture) {
			f.attachHosts(8)
			for i := range 6 * 8 {
				if p := f.mustPlace(t, i, api.KindBatch, smallDemand); p.Host == hostID(3) || p.Host == hostID(7) {
					t.Fatalf("task %d is on GPU host %s", i, p.Host)
				}
			}
			f.mustPlace(t, 99, api.KindBatch, smallDemand) // uses a GPU host because no other host fits
		},
		// Batch work that leaves some capacity free on every host, so that a large task fits on none.
		"batch work is packed onto few hosts": func(t *testing.T, f *fixture) {
			f.attachHosts(40)
			hosts := map[ident.HostID]bool{}
			for i := range 16 {
				hosts[f.mustPlace(t, i, api.KindBatch, smallDemand).Host] = true
			}
			if len(hosts) > 2 {
				t.Fatalf("16 tasks on %d hosts, want 2", len(hosts))
			}
		},
		// The loss of one rack that takes down a whole service.
		"services are spread over racks, hosts and data centres": func(t *testing.T, f *fixture) {
			f.attachHosts(45)
			racks, centres := map[ident.Rack]int{}, map[ident.DataCentre]int{}
			for i := range 18 {
				at := f.shardOf(f.mustPlace(t, i, api.KindService, smallDemand).Host)
				p, _ := f.Find(newRequest(i, "", smallDemand).Attempt)
				racks[at.hosts[p.Host].info.Rack]++
				centres[at.hosts[p.Host].info.DataCentre]++
			}
			for rack, n := range racks {
				if n != 2 {
					t.Errorf("%d tasks on %s, want 2 on each of 9 racks", n, rack)
				}
			}
			if len(racks) != 9 || len(centres) != 3 {
				t.Errorf("%d racks, %d data centres", len(racks), len(centres))
			}
		},
		// Services that are spread without regard to the tasks that a new owner found running.
		"running tasks of an attached host count for the spread": func(t *testing.T, f *fixture) {
			q := newRequest(1, api.KindService, smallDemand)
			f.attachHost(0, cpuHost, backend.Running{Task: q.task()})
			f.attachHost(5, cpuHost)
			if p := f.mustPlace(t, 2, api.KindService, smallDemand); p.Host != hostID(5) {
				t.Fatalf("placed on %s, want the host on the other rack", p.Host)
			}
		},
		// Requests that wait behind others on one host while another host is idle.
		"requests are balanced over hosts": func(t *testing.T, f *fixture) {
			for i := range 4 {
				f.attachHost(i, cpuHost)
			}
			load := map[ident.HostID]int{}
			for i := range 16 {
				load[f.mustPlace(t, i, api.KindRequest, smallDemand).Host]++
			}
			for host, n := range load {
				if n > 6 {
					t.Errorf("%d of 16 requests on %s of 4 hosts", n, host)
				}
			}
		},
		// A free host that the bounded search of its class does not reach.
		"the only fitting host among many of its class is found": func(t *testing.T, f *fixture) {
			for i := range 400 {
				f.attachHost(i, resource.Vector{CPU: 9000, Memory: 9000, Slots: 8, Connections: 8})
			}
			f.attachHost(400, resource.Vector{CPU: 15000, Memory: 9000, Slots: 8, Connections: 8})
			for i := range 20 { // repeated, because a bounded search can find it by chance
				f.mustPlace(t, i, api.KindBatch, resource.Vector{CPU: 14000, Slots: 1})
				f.Release(hostID(400), newRequest(i, "", smallDemand).Attempt)
			}
		},
		// An urgent request of a peer that loses the capacity freed for it to queued batch work.
		"capacity freed by victims is kept for urgent work": func(t *testing.T, f *fixture) {
			host := f.attachHost(0, smallDemand)
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
			f.ConfirmStart(host, "attempt-1")
			urgent, other := newRequest(2, api.KindRequest, smallDemand), newRequest(3, api.KindBatch, smallDemand)
			urgent.Priority, urgent.Urgent = 50, true
			if _, err := f.SelectVictims(urgent); err != nil {
				t.Fatal(err)
			}
			f.Release(host, "attempt-1")
			if _, err := f.Place(other); err == nil || f.ReserveGang("gang", other, 1, f.now.Add(time.Second)) > 0 {
				t.Error("work that is not urgent took the freed capacity")
			}
			if _, err := f.Place(urgent); err != nil {
				t.Error(err)
			}
			f.Release(host, urgent.Attempt)
			if _, err := f.Place(other); err != nil {
				t.Errorf("capacity is still reserved after the urgent request took it: %v", err)
			}
			if _, err := f.SelectVictims(urgent); err == nil {
				t.Error("an attempt whose start is not confirmed was selected as a victim")
			}
			f.ConfirmStart(host, other.Attempt)
			if _, err := f.SelectVictims(urgent); err != nil {
				t.Fatal(err)
			}
			f.Release(host, other.Attempt)
			f.now = f.now.Add(PreemptionWindow)
			if _, err := f.Place(other); err != nil {
				t.Errorf("capacity is still reserved after PreemptionWindow: %v", err)
			}
		},
		// Summaries that report capacity that can't be used, or that leave out usage.
		"reports of capacity and team usage": func(t *testing.T, f *fixture) {
			f.attachHost(0, cpuHost)
			f.attachHost(1, cpuHost)
			f.blocked[f.attachHost(2, cpuHost)] = "failing"
			f.UpdateHost(f.attachHost(3, cpuHost), cpuHost, true)
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
			rooms, teams := f.CapacityByDataCentre(), f.TeamUsage()
			if len(rooms) != 1 || rooms[0].Capacity != cpuHost.Times(2) || rooms[0].LargestFree != cpuHost ||
				rooms[0].Free != cpuHost.Times(2).Sub(smallDemand) {
				t.Errorf("capacity by data centre %+v", rooms)
			}
			if len(teams) != 1 || teams[0].Running != 1 || teams[0].Used != smallDemand {
				t.Errorf("usage %+v", teams)
			}
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(t, newFixture(t)) })
	}
}
