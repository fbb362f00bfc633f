package runhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// testFleet is a fleet of three hosts whose tasks take a second.
type testFleet struct {
	*testing.T
	f *Fleet
}

func newTestFleet(t *testing.T, traits Traits) *testFleet {
	w := &testFleet{t, New(
		func(sched.TaskID) time.Duration { return time.Second },
		func(sched.TaskID) resource.Vector { return resource.Vector{CPU: 1} })}
	w.f.SetTraits(func(sched.TaskID) Traits { return traits })
	for _, id := range []sched.ServerID{"s0", "s1", "s2"} {
		w.f.Add(sched.Server{ID: id, Incarnation: 1, Service: "pool", Capacity: resource.Vector{CPU: 10}})
	}
	return w
}

func (w *testFleet) start(id sched.ServerID, index int, run sched.RunNumber, ticket sched.Ticket) error {
	w.Helper()
	_, err := w.f.start(w.Context(), 1, sched.StartCommand{
		Server: sched.Server{ID: id}, Task: sched.TaskID{Job: "j", Index: index}, Run: run, Ticket: ticket,
		Deadline: w.f.hosts[id].clock(time.Now()) + MaxLease,
	})
	return err
}

func (w *testFleet) mustStart(id sched.ServerID, index int, run sched.RunNumber) {
	w.Helper()
	if err := w.start(id, index, run, ""); err != nil {
		w.Fatal(err)
	}
}

// ends returns the outcomes of the runs that ended on a host.
func (w *testFleet) ends(id sched.ServerID) []sched.Outcome {
	w.Helper()
	inv, err := w.f.poll(context.Background(), 1, sched.PollCommand{Server: sched.Server{ID: id}})
	if err != nil {
		w.Fatal(err)
	}
	var outcomes []sched.Outcome
	for _, x := range inv.Finished {
		outcomes = append(outcomes, x.Outcome)
	}
	return outcomes
}

// Guards against a gang in the stand-in that works before all members are there, or whose members end apart.
func TestGang(t *testing.T) {
	wantEnds := func(w *testFleet, id sched.ServerID, want ...sched.Outcome) {
		w.Helper()
		got := w.ends(id)
		if len(got) != len(want) || len(want) == 1 && got[0] != want[0] {
			w.Errorf("ends on %s: %q, want %q", id, got, want)
		}
	}
	for name, play := range map[string]func(*testFleet){
		"works from the last start on and ends together": func(w *testFleet) {
			w.mustStart("s0", 0, 1)
			time.Sleep(2 * time.Second)
			w.mustStart("s1", 1, 1)
			time.Sleep(900 * time.Millisecond)
			wantEnds(w, "s0")
			time.Sleep(100 * time.Millisecond)
			wantEnds(w, "s0", sched.OutcomeDone)
			wantEnds(w, "s1", sched.OutcomeDone)
			if !w.f.HasSucceeded(sched.TaskID{Job: "j"}) || !w.f.HasSucceeded(sched.TaskID{Job: "j", Index: 1}) {
				w.Error("a member hasn't succeeded")
			}
		},
		"member without the others": func(w *testFleet) {
			w.mustStart("s0", 0, 1)
			time.Sleep(GangTimeout + time.Millisecond)
			wantEnds(w, "s0", sched.OutcomeGangIncomplete)
			if n := len(w.f.GangTimeouts(time.Now().Add(-4 * time.Second))); n != 1 {
				w.Errorf("%d members waited in vain, want 1", n)
			}
		},
		"members of different runs": func(w *testFleet) {
			w.mustStart("s0", 0, 1)
			w.mustStart("s1", 1, 2)
			time.Sleep(GangTimeout + time.Millisecond)
			wantEnds(w, "s0", sched.OutcomeGangIncomplete)
			wantEnds(w, "s1", sched.OutcomeGangIncomplete)
		},
		"crash of a member": func(w *testFleet) {
			w.mustStart("s0", 0, 1)
			w.mustStart("s1", 1, 1)
			w.f.Crash("s0")
			wantEnds(w, "s0")
			wantEnds(w, "s1", sched.OutcomeGangBroken)
		},
		"end of a member's server": func(w *testFleet) {
			w.mustStart("s0", 0, 1)
			w.mustStart("s1", 1, 1)
			w.f.Remove("s0")
			wantEnds(w, "s1", sched.OutcomeGangBroken)
		},
		"stop of a member": func(w *testFleet) {
			w.mustStart("s0", 0, 1)
			w.mustStart("s1", 1, 1)
			_, err := w.f.stop(w.Context(), 1, sched.StopCommand{Server: sched.Server{ID: "s0"}, Task: sched.TaskID{Job: "j"}, Run: 1})
			if err != nil {
				w.Fatal(err)
			}
			wantEnds(w, "s0", sched.OutcomeStopped)
			wantEnds(w, "s1", sched.OutcomeGangBroken)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(newTestFleet(t, Traits{GangSize: 2})) })
		})
	}
}

// Guards against a long-running task that ends as done in the stand-in, that never gets to work (a leader then stops it and
// suspects its server), or whose idle time counts from a wrong moment.
func TestLongRunningTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestFleet(t, Traits{LongRunning: true})
		task := sched.TaskID{Job: "j"}
		if end, running := w.f.LastRunEnd(task); running || !end.IsZero() {
			t.Errorf("before the first start: running %t, last end %s", running, end)
		}
		w.mustStart("s0", 0, 1)
		percent := func() int {
			inv, err := w.f.poll(context.Background(), 1, sched.PollCommand{Server: sched.Server{ID: "s0"}})
			if err != nil || len(inv.Running) != 1 {
				t.Fatalf("inventory %v, %v", inv, err)
			}
			return inv.Running[0].Percent
		}
		if p := percent(); p != 0 {
			t.Errorf("at work for %d %% at its start", p)
		}
		time.Sleep(5 * time.Second)
		if p := percent(); p != 100 {
			t.Errorf("at work for %d %% after 5 s", p)
		}
		if _, running := w.f.LastRunEnd(task); !running {
			t.Error("the task doesn't run")
		}
		w.f.Remove("s0")
		ended := time.Now()
		time.Sleep(time.Second)
		if end, running := w.f.LastRunEnd(task); running || !end.Equal(ended) {
			t.Errorf("after the server's end: running %t, last end %s ago", running, time.Since(end))
		}
		w.mustStart("s1", 0, shortLivedEvery)
		time.Sleep(shortLifetime)
		if got := w.ends("s1"); len(got) != 1 || got[0] != sched.OutcomeFailed {
			t.Errorf("ends %q, want a failed one", got)
		}
	})
}
