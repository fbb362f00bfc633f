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
		q := request(from+i, api.KindAllAtOnce, small)
		tasks[i] = q.task()
	}
	return tasks
}

func TestGangs(t *testing.T) {
	const expiry = 5 * time.Second
	q := request(0, api.KindAllAtOnce, small)
	// The comment of a case names the failure that it guards against.
	cases := map[string]func(t *testing.T, f *fixture){
		// Room that is held and given away at the same time.
		"held room isn't given away": func(t *testing.T, f *fixture) {
			f.attach(0, small.Times(4))
			if held := f.Reserve("gang", q, 3, f.now.Add(expiry)); held != 3 {
				t.Fatal(held)
			}
			f.place(t, 1, api.KindBatch, small)
			f.wantFull(t, request(2, api.KindBatch, small), NoRoomError{Reason: AllFull, Full: 1})
			hosts, err := f.Commit("gang", gangTasks(10, 2))
			if err != nil || len(hosts) != 2 {
				t.Fatal(hosts, err)
			}
			f.place(t, 3, api.KindBatch, small) // the third place is free again
			f.wantFull(t, request(4, api.KindBatch, small), NoRoomError{Reason: AllFull, Full: 1})
		},
		// A caller that can't tell how much of a gang a member can take.
		"a part is held when all doesn't fit": func(t *testing.T, f *fixture) {
			f.attach(0, small.Times(4))
			if held := f.Reserve("gang", q, 9, f.now.Add(expiry)); held != 4 {
				t.Fatal(held)
			}
			if _, err := f.Commit("gang", gangTasks(10, 5)); !errors.Is(err, ErrGang) {
				t.Fatalf("got %v, want a refusal of the fifth task", err)
			}
			if got := f.Dump(); got.Hosts[0].Free != small.Times(4) || got.Hosts[0].Attempts != 0 {
				t.Fatalf("a refused commit left %+v", got.Hosts[0])
			}
		},
		// A gang that starts on room that was given to others after the expiry.
		"an expired reservation can't be committed": func(t *testing.T, f *fixture) {
			f.attach(0, small.Times(4))
			f.Reserve("gang", q, 4, f.now.Add(expiry))
			f.now = f.now.Add(expiry)
			if _, err := f.Commit("gang", gangTasks(10, 4)); !errors.Is(err, ErrGang) {
				t.Fatalf("got %v", err)
			}
			if held := f.Reserve("late", q, 4, f.now); held != 0 {
				t.Fatalf("room for %d tasks held by a reservation that expired on its way", held)
			}
			f.place(t, 1, api.KindBatch, small)
		},
		// A host that was full, leaving or attached anew when its turn in the reservation came.
		"the room is checked again when it is held": func(t *testing.T, f *fixture) {
			host := f.attach(0, small.Times(4))
			found := f.pack(&q, 4)[0]
			g := &gang{request: q}
			f.Update(host, small.Times(4), true)
			if n := g.hold(found, 4); n != 0 {
				t.Fatalf("%d tasks held on a leaving host", n)
			}
			f.Update(host, small.Times(1), false)
			if n := g.hold(found, 4); n != 1 {
				t.Fatalf("%d tasks held in room for one", n)
			}
			f.attach(0, small.Times(4))
			if n := g.hold(found, 4); n != 0 {
				t.Fatalf("%d tasks held on a replaced host", n)
			}
		},
		// Room that stays held when the origin dies.
		"expiry frees the room": func(t *testing.T, f *fixture) {
			f.attach(0, small.Times(4))
			f.Reserve("gang", q, 4, f.now.Add(expiry))
			if f.Expire(f.now) != 0 || f.Expire(f.now.Add(expiry)) != 1 {
				t.Fatal("want one expired reservation, after its expiry")
			}
			f.place(t, 1, api.KindBatch, small)
		},
		// Room that is held twice when a reply was lost and the reservation is repeated.
		"a repeated reservation replaces the first": func(t *testing.T, f *fixture) {
			f.attach(0, small.Times(4))
			f.Reserve("gang", q, 3, f.now.Add(expiry))
			if held := f.Reserve("gang", q, 3, f.now.Add(expiry)); held != 3 {
				t.Fatal(held)
			}
		},
		// A gang of which a part starts.
		"a lost host refuses the commit as a whole": func(t *testing.T, f *fixture) {
			f.attach(0, small.Times(2))
			f.attach(1, small.Times(2))
			f.Reserve("gang", q, 4, f.now.Add(expiry))
			f.Detach(hostID(1))
			if _, err := f.Commit("gang", gangTasks(10, 4)); !errors.Is(err, ErrGang) {
				t.Fatalf("got %v", err)
			}
			if n := len(f.Attempts(hostID(0))); n != 0 {
				t.Fatalf("%d tasks placed", n)
			}
		},
		// New work on a host that began to leave, or shrank, after the reservation.
		"a leaving or smaller host refuses the commit": func(t *testing.T, f *fixture) {
			host := f.attach(0, small.Times(4))
			f.Reserve("gang", q, 4, f.now.Add(expiry))
			f.Update(host, small.Times(4), true)
			if _, err := f.Commit("gang", gangTasks(10, 4)); !errors.Is(err, ErrGang) {
				t.Fatalf("leaving: got %v", err)
			}
			f.Update(host, small.Times(4), false)
			f.Reserve("gang", q, 4, f.now.Add(expiry))
			f.Update(host, small.Times(3), false)
			if _, err := f.Commit("gang", gangTasks(10, 4)); !errors.Is(err, ErrGang) {
				t.Fatalf("shrunk: got %v", err)
			}
		},
		// A gang whose tasks talk to each other across the whole fleet.
		"a gang is packed into few racks": func(t *testing.T, f *fixture) {
			f.fleet(45)
			f.Reserve("gang", q, 30, f.now.Add(expiry))
			hosts, err := f.Commit("gang", gangTasks(10, 30))
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

// TestTwoOriginsNeverDeadlock guards against two all-at-once jobs that each hold a part of the fleet and wait for the
// rest for ever. Two origins, one of which asks in the wrong order and sometimes dies while it holds, ask two owners
// for more than half of the fleet each. Every round must end within a bound of steps.
func TestTwoOriginsNeverDeadlock(t *testing.T) {
	const expiry = 3 * time.Second
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		owners := []*fixture{newFixture(t), newFixture(t)}
		for _, f := range owners {
			f.fleet(6)
		}
		type origin struct {
			at      int // next owner to ask
			wait    int // steps until it asks again
			lives   int // a restarted origin doesn't know its earlier reservations
			started bool
		}
		origins := []*origin{{}, {}}
		order := func(o, step int) *fixture { return owners[(step+o)%2] }
		started := 0
		for step := 0; started < 2; step++ {
			if step > 200 {
				t.Fatalf("seed %d: %d of 2 jobs started after %d steps", seed, started, step)
			}
			for _, f := range owners {
				f.now = f.now.Add(time.Second)
				f.Expire(f.now)
			}
			for i, o := range origins {
				if o.wait--; o.started || o.wait > 0 {
					continue
				}
				id := fmt.Sprint("origin-", i, "-", o.lives)
				f := order(i, o.at)
				if f.Reserve(id, request(0, api.KindAllAtOnce, small), 30, f.now.Add(expiry)) == 30 {
					o.at++
				} else {
					if r.IntN(2) == 0 {
						owners[0].Cancel(id)
						owners[1].Cancel(id)
					} else { // it dies and its reservations have to expire
						o.lives++
					}
					o.at, o.wait = 0, 1+r.IntN(8)
				}
				if o.at < 2 {
					continue
				}
				o.at, o.wait = 0, 1+r.IntN(8)
				_, err := owners[0].Commit(id, gangTasks(step*1000, 30))
				_, other := owners[1].Commit(id, gangTasks(step*1000+500, 30))
				if o.started = err == nil && other == nil; o.started {
					started++
				}
				for _, f := range owners { // the job ends, or its one half is taken back
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
