package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// model tracks which capacity and tasks the pool must have, without the incremental arithmetic of the pool.
type model struct {
	capacity map[ident.HostID]resource.Vector
	leaving  map[ident.HostID]bool
	tasks    map[ident.AttemptID]*modelTask
}

type modelTask struct {
	host         ident.HostID
	demand, used resource.Vector
}

// free computes the free capacity of every host from the capacities, tasks and reservations.
func (m *model) free(d Dump) map[ident.HostID]resource.Vector {
	free := map[ident.HostID]resource.Vector{}
	for id, c := range m.capacity {
		free[id] = c
	}
	for _, t := range m.tasks {
		free[t.host] = free[t.host].Sub(t.demand.Max(t.used))
	}
	for _, h := range d.Hosts {
		free[h.Host] = free[h.Host].Sub(smallDemand.Times(int64(h.Reserved)))
	}
	return free
}

// check compares the pool with the model and the index with its hosts.
func (m *model) check(t *testing.T, f *fixture, step string) map[ident.HostID]resource.Vector {
	t.Helper()
	d := f.Dump()
	free := m.free(d)
	if len(d.Hosts) != len(m.capacity) {
		t.Fatalf("%s: %d hosts, want %d", step, len(d.Hosts), len(m.capacity))
	}
	for _, h := range d.Hosts {
		if h.Free != free[h.Host] {
			t.Fatalf("%s: host %s has free %v, want %v", step, h.Host, h.Free, free[h.Host])
		}
	}
	running := 0
	for _, u := range d.Teams {
		running += u.Running
	}
	if running != len(m.tasks) {
		t.Fatalf("%s: %d running tasks in the team usage, want %d", step, running, len(m.tasks))
	}
	for _, s := range f.shards {
		for _, h := range s.hosts {
			want := classOf(h.free, h.capacity)
			if h.leaving {
				want = noClass
			}
			if h.class != want {
				t.Fatalf("%s: host %s is in class %v, want %v", step, h.info.ID, h.class, want)
			}
			if g := s.index.groups[h.class]; want != noClass && (g.hosts[h.indexPosition] != h || !h.free.Fits(g.maxFree)) {
				t.Fatalf("%s: host %s is not at its index position or exceeds maxFree of its class", step, h.info.ID)
			}
		}
	}
	return free
}

// TestNeverOvercommitted guards against tasks and reservations on a host without enough free capacity, and against
// capacity that is lost or freed twice. It runs random sequences of attach, detach, place, release, capacity change,
// usage report and gang operations.
func TestNeverOvercommitted(t *testing.T) {
	kinds := []api.Kind{api.KindRequest, api.KindService, api.KindBatch, api.KindAllAtOnce}
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t)
		m := &model{
			capacity: map[ident.HostID]resource.Vector{}, leaving: map[ident.HostID]bool{},
			tasks: map[ident.AttemptID]*modelTask{},
		}
		anyTask := func() (ident.AttemptID, *modelTask) {
			for id, task := range m.tasks {
				return id, task
			}
			return "", nil
		}
		next := 0
		for step := range 1500 {
			host := hostID(r.IntN(24))
			var touched []ident.HostID
			name := ""
			switch r.IntN(16) {
			case 0:
				name = "attach"
				for id, task := range m.tasks {
					if task.host == host {
						delete(m.tasks, id)
					}
				}
				inventory := backend.Inventory{Capacity: cpuHost.Times(1 + r.Int64N(3))}
				for range r.IntN(4) {
					next++
					id := newRequest(next, "", smallDemand).Attempt
					m.tasks[id] = &modelTask{host: host, demand: smallDemand}
					inventory.Running = append(inventory.Running, backend.Running{Task: backend.Task{
						Attempt: id, Job: "job", Team: "team", Queue: ident.QueueID(kinds[r.IntN(4)]), Demand: smallDemand,
					}})
				}
				m.capacity[host], m.leaving[host] = inventory.Capacity, false
				i := 0
				_, _ = fmt.Sscanf(string(host), "host-%d", &i)
				f.Attach(hostInfo(i), inventory)
			case 1:
				name = "detach"
				for _, p := range f.Detach(host) {
					if m.tasks[p.Task.Attempt].host != host {
						t.Fatalf("%s was returned by the detach of %s, but ran elsewhere", p.Task.Attempt, host)
					}
					delete(m.tasks, p.Task.Attempt)
				}
				delete(m.capacity, host)
			case 2:
				name = "update"
				if _, ok := m.capacity[host]; ok {
					m.capacity[host], m.leaving[host] = cpuHost.Times(r.Int64N(3)), r.IntN(4) == 0
					f.UpdateHost(host, m.capacity[host], m.leaving[host])
				}
			case 3:
				name = "usage"
				if id, task := anyTask(); task != nil {
					used := resource.Vector{CPU: resource.Cores(r.Int64N(6)), Memory: resource.Gigabytes(r.Int64N(6))}
					task.used = task.used.Max(used)
					f.RecordUsage(task.host, []backend.Usage{{Attempt: id, Used: used}})
				}
			case 4, 5, 6:
				name = "release"
				if id, task := anyTask(); task != nil {
					if !f.Release(task.host, id) || f.Release(task.host, id) {
						t.Fatalf("release of %s: want true, then false", id)
					}
					delete(m.tasks, id)
				}
			case 7:
				name = "reserve"
				f.ReserveGang(fmt.Sprint("gang", r.IntN(4)), newRequest(0, api.KindAllAtOnce, smallDemand), 1+r.IntN(20),
					f.now.Add(time.Duration(r.IntN(5))*time.Second))
			case 8:
				name = "commit"
				var tasks []backend.Task
				for range r.IntN(20) {
					next++
					q := newRequest(next, api.KindAllAtOnce, smallDemand)
					tasks = append(tasks, q.task())
				}
				hosts, err := f.CommitGang(fmt.Sprint("gang", r.IntN(4)), tasks)
				for i := range hosts {
					m.tasks[tasks[i].Attempt] = &modelTask{host: hosts[i], demand: smallDemand}
				}
				if touched = hosts; err == nil && len(hosts) != len(tasks) {
					t.Fatalf("%d of %d tasks committed", len(hosts), len(tasks))
				}
			case 9:
				name = "expire"
				f.now = f.now.Add(time.Second)
				f.ExpireGangs(f.now)
			default:
				name = "place"
				next++
				q := newRequest(next, kinds[r.IntN(4)], smallDemand.Times(1+r.Int64N(3)))
				p, err := f.Place(q)
				if err == nil {
					m.tasks[q.Attempt] = &modelTask{host: p.Host, demand: q.Demand}
					touched = []ident.HostID{p.Host}
				} else if full := (*NoCapacityError)(nil); !errors.As(err, &full) {
					t.Fatal(err)
				}
			}
			free := m.check(t, f, fmt.Sprintf("seed %d, step %d, %s", seed, step, name))
			for _, h := range touched {
				if free[h].Negative() || m.leaving[h] {
					t.Fatalf("seed %d, step %d: %s on %s leaves free %v, leaving %v", seed, step, name, h, free[h], m.leaving[h])
				}
			}
		}
	}
}

// TestConcurrentPlacements guards against concurrent placements that take the same capacity.
func TestConcurrentPlacements(t *testing.T) {
	f := newFixture(t)
	f.attachHosts(20)
	var placed sync.Map
	var group sync.WaitGroup
	for w := range 8 {
		group.Go(func() {
			r := rand.New(rand.NewPCG(uint64(w), 2))
			for i := range 400 {
				q := newRequest(w*1000+i, []api.Kind{api.KindBatch, api.KindService, api.KindRequest}[i%3], mixedDemand(r))
				p, err := f.Place(q)
				if err != nil {
					continue
				}
				placed.Store(q.Attempt, p)
				if i%3 == 0 {
					f.Release(p.Host, q.Attempt)
					placed.Delete(q.Attempt)
				}
			}
		})
	}
	group.Wait()
	free := map[ident.HostID]resource.Vector{}
	for _, h := range f.Dump().Hosts {
		free[h.Host] = h.Capacity
	}
	placed.Range(func(_, v any) bool {
		p := v.(PlacedAttempt)
		free[p.Host] = free[p.Host].Sub(p.Task.Demand)
		return true
	})
	for _, h := range f.Dump().Hosts {
		if free[h.Host] != h.Free || h.Free.Negative() {
			t.Errorf("host %s has free %v, want %v", h.Host, h.Free, free[h.Host])
		}
	}
}

// TestPlaceCostIsBounded guards against a placement cost that grows with the fleet. It counts the compared hosts,
// which does not depend on the machine, with three quarters of the slots taken.
func TestPlaceCostIsBounded(t *testing.T) {
	for _, kind := range []api.Kind{api.KindRequest, api.KindService, api.KindBatch, api.KindAllAtOnce} {
		compared := func(n int) float64 {
			f := newFixture(t)
			f.attachHosts(n)
			r := rand.New(rand.NewPCG(5, 5))
			f.fill(r, n, 0.75)
			calls := 0
			f.config.BlockReason = func(ident.HostID) string { calls++; return "" }
			const placements = 300
			for i := range placements {
				if _, err := f.Place(newRequest(1<<20+i, kind, mixedDemand(r))); err != nil {
					t.Fatal(err)
				}
			}
			return float64(calls) / placements
		}
		small, large := compared(800), compared(6300)
		t.Logf("%s: %.1f hosts compared of 800, %.1f of 6,300", kind, small, large)
		if large > 1.5*small || large > candidatesPerSearch+candidatesPerShard {
			t.Errorf("%s: %.1f hosts compared of 800, %.1f of 6,300", kind, small, large)
		}
	}
}

// TestVictimsOnRandomFleets guards against victims that must not be preempted (non-idempotent, of the same or a higher
// priority, not yet running), that are on several hosts, or that do not free enough capacity.
func TestVictimsOnRandomFleets(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 5))
		f := newFixture(t)
		f.attachHosts(12)
		for i := range 200 {
			q := newRequest(i, []api.Kind{api.KindBatch, api.KindService, api.KindRequest}[r.IntN(3)], mixedDemand(r))
			q.Priority, q.NonIdempotent, q.Urgent = r.IntN(80), r.IntN(3) == 0, r.IntN(10) == 0
			p, err := f.Place(q)
			if err != nil {
				continue
			}
			if r.IntN(5) > 0 {
				f.ConfirmStart(p.Host, q.Attempt)
			}
			if r.IntN(4) == 0 {
				f.RecordRefusedAction(p.Host, q.Attempt, []Action{ActionCheckpoint, ActionThrottle}[r.IntN(2)])
			}
		}
		for i := range 40 {
			q := newRequest(1000+i, api.KindRequest, mixedDemand(r).Times(2))
			q.Priority, q.Urgent = 50, r.IntN(2) == 0
			victims, err := f.SelectVictims(q)
			if err != nil {
				continue
			}
			found++
			for _, v := range victims {
				p, ok := f.Find(v.Attempt)
				if !ok || p.Host != victims[0].Host || p.Task.NonIdempotent || p.Task.Priority >= 50 || !p.Running ||
					p.Urgent && !q.Urgent || v.Action == ActionCheckpoint && p.refusesCheckpoint ||
					v.Action == ActionThrottle && p.refusesThrottle {
					t.Fatalf("seed %d: %+v must not be a victim: %+v", seed, v, p)
				}
				if v.Action == ActionThrottle {
					f.ConfirmThrottle(v.Host, v.Attempt, v.CPUPercent)
				} else {
					f.Release(v.Host, v.Attempt)
				}
			}
			if h := f.shardOf(victims[0].Host).hosts[victims[0].Host]; !q.Demand.Fits(h.free) {
				t.Fatalf("seed %d: preempting %v leaves free %v, too little for %v", seed, victims, h.free, q.Demand)
			}
			if _, err := f.Place(q); err != nil {
				t.Fatal(err)
			}
		}
	}
	if found < 100 {
		t.Fatalf("only %d searches found victims, want at least 100", found)
	}
}

// TestSeedDecidesTheChoices guards against placements that a seed does not reproduce.
func TestSeedDecidesTheChoices(t *testing.T) {
	run := func() []ident.HostID {
		f := newFixture(t)
		f.attachHosts(100)
		var hosts []ident.HostID
		for _, p := range f.fill(rand.New(rand.NewPCG(2, 2)), 100, 0.9) {
			hosts = append(hosts, p.Host)
		}
		return hosts
	}
	if a, b := run(), run(); !slices.Equal(a, b) {
		t.Fatal("two runs with the same seed placed tasks on different hosts")
	}
}
