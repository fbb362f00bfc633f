package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func gangTasks(from, n int) []backend.Task {
	tasks := make([]backend.Task, n)
	for i := range tasks {
		q := newRequest(from+i, api.KindAllAtOnce, smallDemand)
		tasks[i] = q.task()
	}
	return tasks
}

func TestGangs(t *testing.T) {
	const expiry = 5 * time.Second
	q := newRequest(0, api.KindAllAtOnce, smallDemand)
	// The comment above a case names the failure that it guards against.
	cases := map[string]func(t *testing.T, f *fixture){
		// Capacity that is reserved for a gang and given to another task.
		"reserved capacity isn't given to other work": func(t *testing.T, f *fixture) {
			f.attachHost(0, smallDemand.Times(4))
			if held := f.ReserveGang("gang", q, 3, f.now.Add(expiry)); held != 3 {
				t.Fatal(held)
			}
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
			f.wantNoCapacity(t, newRequest(2, api.KindBatch, smallDemand), NoCapacityError{Reason: AllFull, Full: 1})
			hosts, err := f.CommitGang("gang", gangTasks(10, 2))
			if err != nil || len(hosts) != 2 {
				t.Fatal(hosts, err)
			}
			f.mustPlace(t, 3, api.KindBatch, smallDemand) // the unused third reservation is free again
			f.wantNoCapacity(t, newRequest(4, api.KindBatch, smallDemand), NoCapacityError{Reason: AllFull, Full: 1})
		},
		// A caller that can't tell how much of a gang a member can take.
		"a gang that doesn't fit whole is reserved in part": func(t *testing.T, f *fixture) {
			f.attachHost(0, smallDemand.Times(4))
			if held := f.ReserveGang("gang", q, 9, f.now.Add(expiry)); held != 4 {
				t.Fatal(held)
			}
			if _, err := f.CommitGang("gang", gangTasks(10, 5)); !errors.Is(err, ErrNoReservation) {
				t.Fatalf("got %v, want ErrNoReservation for the fifth task", err)
			}
			if got := f.Dump(); got.Hosts[0].Free != smallDemand.Times(4) || got.Hosts[0].Attempts != 0 {
				t.Fatalf("a failed commit left %+v", got.Hosts[0])
			}
		},
		// A gang that starts in capacity that was given to others after the expiry.
		"an expired reservation can't be committed": func(t *testing.T, f *fixture) {
			f.attachHost(0, smallDemand.Times(4))
			f.ReserveGang("gang", q, 4, f.now.Add(expiry))
			f.now = f.now.Add(expiry)
			if _, err := f.CommitGang("gang", gangTasks(10, 4)); !errors.Is(err, ErrNoReservation) {
				t.Fatalf("got %v", err)
			}
			if held := f.ReserveGang("late", q, 4, f.now); held != 0 {
				t.Fatalf("%d tasks reserved although the expiry has already passed", held)
			}
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
		},
		// A host that became full or leaving, or was attached again, between the search and its reservation.
		"free capacity is checked again when it is reserved": func(t *testing.T, f *fixture) {
			host := f.attachHost(0, smallDemand.Times(4))
			found := f.gangOrder(&q, 4)[0]
			g := &gang{request: q}
			f.UpdateHost(host, smallDemand.Times(4), true)
			if n := g.reserveOn(found, 4); n != 0 {
				t.Fatalf("%d tasks reserved on a leaving host", n)
			}
			f.UpdateHost(host, smallDemand.Times(1), false)
			if n := g.reserveOn(found, 4); n != 1 {
				t.Fatalf("%d tasks reserved in capacity for one", n)
			}
			f.attachHost(0, smallDemand.Times(4))
			if n := g.reserveOn(found, 4); n != 0 {
				t.Fatalf("%d tasks reserved on a host that was attached again", n)
			}
		},
		// Capacity that stays reserved when the origin crashes.
		"expiry frees the reserved capacity": func(t *testing.T, f *fixture) {
			f.attachHost(0, smallDemand.Times(4))
			f.ReserveGang("gang", q, 4, f.now.Add(expiry))
			if f.ExpireGangs(f.now) != 0 || f.ExpireGangs(f.now.Add(expiry)) != 1 {
				t.Fatal("want exactly one expired reservation, and only after its expiry")
			}
			f.mustPlace(t, 1, api.KindBatch, smallDemand)
		},
		// Capacity that is reserved twice when a reply was lost and the reservation is repeated.
		"a repeated reservation replaces the first": func(t *testing.T, f *fixture) {
			f.attachHost(0, smallDemand.Times(4))
			f.ReserveGang("gang", q, 3, f.now.Add(expiry))
			if held := f.ReserveGang("gang", q, 3, f.now.Add(expiry)); held != 3 {
				t.Fatal(held)
			}
		},
		// A gang of which only some tasks start.
		"the loss of a host fails the whole commit": func(t *testing.T, f *fixture) {
			f.attachHost(0, smallDemand.Times(2))
			f.attachHost(1, smallDemand.Times(2))
			f.ReserveGang("gang", q, 4, f.now.Add(expiry))
			f.Detach(hostID(1))
			if _, err := f.CommitGang("gang", gangTasks(10, 4)); !errors.Is(err, ErrNoReservation) {
				t.Fatalf("got %v", err)
			}
			if n := len(f.Attempts(hostID(0))); n != 0 {
				t.Fatalf("%d tasks placed", n)
			}
		},
		// New work on a host that began to leave, or whose capacity fell, after the reservation.
		"a leaving host or a reduced capacity fails the commit": func(t *testing.T, f *fixture) {
			host := f.attachHost(0, smallDemand.Times(4))
			f.ReserveGang("gang", q, 4, f.now.Add(expiry))
			f.UpdateHost(host, smallDemand.Times(4), true)
			if _, err := f.CommitGang("gang", gangTasks(10, 4)); !errors.Is(err, ErrNoReservation) {
				t.Fatalf("leaving: got %v", err)
			}
			f.UpdateHost(host, smallDemand.Times(4), false)
			f.ReserveGang("gang", q, 4, f.now.Add(expiry))
			f.UpdateHost(host, smallDemand.Times(3), false)
			if _, err := f.CommitGang("gang", gangTasks(10, 4)); !errors.Is(err, ErrNoReservation) {
				t.Fatalf("reduced capacity: got %v", err)
			}
		},
		// A gang whose tasks have to communicate across the whole fleet.
		"a gang is packed into few racks": func(t *testing.T, f *fixture) {
			f.attachHosts(45)
			f.ReserveGang("gang", q, 30, f.now.Add(expiry))
			hosts, err := f.CommitGang("gang", gangTasks(10, 30))
			if err != nil {
				t.Fatal(err)
			}
			racks := map[ident.Rack]bool{}
			for _, h := range hosts {
				racks[f.shardOf(h).hosts[h].info.Rack] = true
			}
			if len(racks) != 1 {
				t.Fatalf("30 tasks on %d racks, a rack has 40 slots", len(racks))
			}
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(t, newFixture(t)) })
	}
}

// TestTwoOriginsNeverDeadlock guards against a deadlock between two all-at-once jobs that each hold a part of the
// fleet and wait for the rest. Two origins ask two owners in opposite orders for more than half of the slots of each
// owner, and an origin that is refused may crash with reservations held. Both jobs must start within a bounded number
// of steps.
func TestTwoOriginsNeverDeadlock(t *testing.T) {
	const expiry = 3 * time.Second
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		owners := []*fixture{newFixture(t), newFixture(t)}
		for _, f := range owners {
			f.attachHosts(6)
		}
		type origin struct {
			nextOwner int // index of the next owner to ask
			waitSteps int // steps until it asks again
			restarts  int // incremented by a restart, after which the earlier reservations are unknown
			started   bool
		}
		origins := []*origin{{}, {}}
		ownerToAsk := func(o, step int) *fixture { return owners[(step+o)%2] }
		started := 0
		for step := 0; started < 2; step++ {
			if step > 200 {
				t.Fatalf("seed %d: %d of 2 jobs started after %d steps", seed, started, step)
			}
			for _, f := range owners {
				f.now = f.now.Add(time.Second)
				f.ExpireGangs(f.now)
			}
			for i, o := range origins {
				if o.waitSteps--; o.started || o.waitSteps > 0 {
					continue
				}
				id := fmt.Sprint("origin-", i, "-", o.restarts)
				f := ownerToAsk(i, o.nextOwner)
				if f.ReserveGang(id, newRequest(0, api.KindAllAtOnce, smallDemand), 30, f.now.Add(expiry)) == 30 {
					o.nextOwner++
				} else {
					if r.IntN(2) == 0 {
						owners[0].CancelGang(id)
						owners[1].CancelGang(id)
					} else { // the origin crashes and its reservations have to expire
						o.restarts++
					}
					o.nextOwner, o.waitSteps = 0, 1+r.IntN(8)
				}
				if o.nextOwner < 2 {
					continue
				}
				o.nextOwner, o.waitSteps = 0, 1+r.IntN(8)
				_, err := owners[0].CommitGang(id, gangTasks(step*1000, 30))
				_, other := owners[1].CommitGang(id, gangTasks(step*1000+500, 30))
				if o.started = err == nil && other == nil; o.started {
					started++
				}
				for _, f := range owners { // the job ends, or the half that was placed is released
					for n := range 6 {
						for _, p := range f.Attempts(hostID(n)) {
							f.Release(p.Host, p.Task.Attempt)
						}
					}
				}
			}
		}
	}
}
