package job

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// tableFixture is a table with an in-memory store and a dispatcher that only records its calls.
type tableFixture struct {
	table *Table
	store *kv.Server

	mu         sync.Mutex
	view       member.View
	submitted  map[dispatch.Key]dispatch.Work
	resumed    []dispatch.Key
	running    []dispatch.AdoptedAttempt
	complete   bool
	admissible int // number of tasks that Admit accepts; Create must restore it
}

func newFixture(t *testing.T, self ident.MemberID, store *kv.Server, setup func(b *tableFixture)) *tableFixture {
	t.Helper()
	return newFixtureAt(t, self, store, time.Now, setup)
}

func newFixtureAt(t *testing.T, self ident.MemberID, store *kv.Server, now func() time.Time, setup func(b *tableFixture)) *tableFixture {
	t.Helper()
	b := &tableFixture{store: store, submitted: map[dispatch.Key]dispatch.Work{}, complete: true, admissible: 100}
	b.view = member.View{Epoch: 1, Members: []member.Member{{ID: self, Incarnation: 1, State: member.Active}}}
	if setup != nil {
		setup(b)
	}
	var err error
	b.table, err = New(Config{
		Store: store.Store(), FlushInterval: 5 * time.Millisecond, ScanInterval: 20 * time.Millisecond, Now: now, Log: logr.Discard(),
		Self: func() member.Member { return member.Member{ID: self, Incarnation: 1} },
		View: func() member.View { return b.view },
		Dispatcher: Dispatcher{
			Submit: func(w dispatch.Work) error {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.submitted[dispatch.Key{Job: w.Task.Job, Index: w.Task.Index}] = w
				return nil
			},
			Resume: func(w dispatch.Work, _ dispatch.AdoptedAttempt) error {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.resumed = append(b.resumed, dispatch.Key{Job: w.Task.Job, Index: w.Task.Index})
				return nil
			},
			Cancel: func(dispatch.Key, string) bool { return true },
			Forget: func(dispatch.Key) {},
			Admit: func(_ dispatch.Work, n int) error {
				b.mu.Lock()
				defer b.mu.Unlock()
				if n > b.admissible {
					return queue.ErrFull
				}
				b.admissible -= n
				return nil
			},
			AddPending: func(_ dispatch.Work, n int) {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.admissible -= n
			},
			CouldFit: func(dispatch.Work) (bool, string) { return true, "" },
			AdoptOrigin: func(context.Context, ident.MemberID, []ident.JobID) ([]dispatch.AdoptedAttempt, bool) {
				b.mu.Lock()
				defer b.mu.Unlock()
				return slices.Clone(b.running), b.complete
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = b.table.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return b
}

func (b *tableFixture) work(k dispatch.Key) (dispatch.Work, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.submitted[k]
	return w, ok
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

func create(t *testing.T, b *tableFixture, s api.Spec) api.Job {
	t.Helper()
	j, err := b.table.Create(context.Background(), s, Policy{Kind: api.KindBatch})
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// TestCreate guards against a job that runs after its caller was told that it won't, and against a record that is lost or
// written twice when the store fails.
func TestCreate(t *testing.T) {
	cases := map[string]struct {
		faults func(s *kv.Server)
		want   error
		runs   bool
		tasks  int
	}{
		"queue full":                         {faults: func(*kv.Server) {}, want: queue.ErrFull, tasks: 101},
		"recorded before it is acknowledged": {faults: func(*kv.Server) {}, runs: true},
		"reply of the write lost":            {faults: func(s *kv.Server) { s.LoseNextReplies(2) }, runs: true},
		"store down until the deadline":      {faults: func(s *kv.Server) { s.SetDown(true) }, want: ErrNotRecorded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := kv.New(kv.Config{})
			b := newFixture(t, "a", store, nil)
			c.faults(store)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			if c.want != nil {
				ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
			}
			defer cancel()
			j, err := b.table.Create(ctx, api.Spec{Team: "t", Tasks: c.tasks}, Policy{Kind: api.KindBatch})
			if b.admissible != 100 {
				t.Fatalf("%d tasks are still counted as pending", 100-b.admissible)
			}
			if !errors.Is(err, c.want) && !(c.want != nil && errors.Is(err, ErrUnknownOutcome)) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if items, _ := store.Store().List(context.Background(), batchKeyPrefix); errors.Is(err, queue.ErrFull) && len(items) != 0 {
				t.Fatal("a refused job was recorded")
			}
			if errors.Is(err, ErrNotRecorded) {
				store.SetDown(false)
				next := create(t, b, api.Spec{Team: "t"}) // Once a later job is written, the earlier one would have been too.
				if _, ok := b.work(dispatch.Key{Job: j.ID}); ok || next.ID == j.ID {
					t.Fatal("a job that was reported as not recorded was started")
				}
				return
			}
			if _, ok := b.work(dispatch.Key{Job: j.ID}); c.runs && !ok {
				t.Fatal("the recorded job was not started")
			}
			if items, _ := store.Store().List(context.Background(), batchKeyPrefix); c.runs && len(items) != 1 {
				t.Fatalf("%d records, want 1", len(items))
			}
		})
	}
}

// TestAdopt guards against tasks that are lost or run twice after the owner of their job was lost.
func TestAdopt(t *testing.T) {
	cases := map[string]struct {
		spec    api.Spec
		before  func(t *testing.T, w dispatch.Work) // actions of the first owner
		running bool                                // a backend server still runs the attempt
		started bool                                // the new owner starts the task again
		resumed bool
		outcome api.Outcome
	}{
		"queued task is started":            {started: true},
		"running task is resumed":           {running: true, resumed: true},
		"lost idempotent task is restarted": {spec: api.Spec{}, started: true, before: markStarted},
		"finished task isn't restarted": {outcome: api.Answered, before: func(_ *testing.T, w dispatch.Work) {
			w.OnDone(dispatch.Completion{Outcome: api.Answered, Result: backend.Result{Answer: []byte("x")}}, func() {})
		}},
		"large result is kept": {outcome: api.Answered, before: func(_ *testing.T, w dispatch.Work) {
			w.OnDone(dispatch.Completion{Outcome: api.Answered, Result: backend.Result{Answer: make([]byte, 4096)}}, func() {})
		}},
		"non-idempotent task not dispatched yet is started": {spec: api.Spec{NonIdempotent: true}, started: true},
		"dispatched non-idempotent task ends as unknown": {
			spec: api.Spec{NonIdempotent: true}, outcome: api.Unknown,
			before: func(t *testing.T, w dispatch.Work) {
				if err := w.Prepare(context.Background()); err != nil {
					t.Fatal(err)
				}
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := kv.New(kv.Config{})
			first := newFixture(t, "b", store, nil)
			c.spec.Team = "t"
			j := create(t, first, c.spec)
			key := dispatch.Key{Job: j.ID}
			if w, _ := first.work(key); c.before != nil {
				c.before(t, w)
			}
			if c.outcome == api.Answered {
				waitFor(t, "the record of the result", func() bool { return recordedPhaseIs(store, j.ID, api.Succeeded) })
			}
			second := newFixture(t, "a", store, func(b *tableFixture) {
				if c.running {
					b.running = []dispatch.AdoptedAttempt{{AdoptedAttempt: wire.AdoptedAttempt{Attempt: "x", Job: j.ID}, Owner: "a"}}
				}
			})
			waitFor(t, "the adoption", func() bool {
				found, err := second.table.Get(context.Background(), j.ID)
				_, started := second.work(key)
				second.mu.Lock()
				resumed := slices.Contains(second.resumed, key)
				second.mu.Unlock()
				return err == nil && started == c.started && resumed == c.resumed && found.Outcome == c.outcome
			})
		})
	}
}

func markStarted(_ *testing.T, w dispatch.Work) { w.OnStart("x", "h", 1) }

func recordedPhaseIs(store *kv.Server, id ident.JobID, phase api.Phase) bool {
	items, err := store.Store().List(context.Background(), batchKeyPrefix)
	if err != nil {
		return false
	}
	for _, item := range items {
		r, err := decodeRecord(item.Value)
		if err != nil {
			return false
		}
		if i := slices.IndexFunc(r.Jobs, func(j *jobRecord) bool { return j.ID == id }); i >= 0 {
			return r.Jobs[i].phase() == phase
		}
	}
	return false
}

// TestAdoptWaitsForAllDaemons guards against starting a task while a daemon can't report yet whether its attempt still
// runs.
func TestAdoptWaitsForAllDaemons(t *testing.T) {
	store := kv.New(kv.Config{})
	first := newFixture(t, "b", store, nil)
	j := create(t, first, api.Spec{Team: "t"})
	second := newFixture(t, "a", store, func(b *tableFixture) { b.complete = false })
	waitFor(t, "the adoption", func() bool {
		_, err := second.table.Get(context.Background(), j.ID)
		return err == nil
	})
	if _, ok := second.work(dispatch.Key{Job: j.ID}); ok {
		t.Fatal("the task was started before every daemon had answered")
	}
	second.mu.Lock()
	second.complete = true
	second.mu.Unlock()
	waitFor(t, "the start", func() bool { _, ok := second.work(dispatch.Key{Job: j.ID}); return ok })
}

// Guards against a count of attempts that begins anew when another member takes a job over: callers saw it go back, and a task
// that kept failing got more attempts than its queue allows.
func TestAttemptsAfterAdoption(t *testing.T) {
	for name, c := range map[string]struct {
		running ident.AttemptID
		want    int
	}{
		"recorded attempt": {"second", 2},
		"later attempt":    {"third", 3},
	} {
		t.Run(name, func(t *testing.T) {
			store := kv.New(kv.Config{})
			first := newFixture(t, "b", store, nil)
			j := create(t, first, api.Spec{Team: "t", Tasks: 2})
			key := dispatch.Key{Job: j.ID}
			w, _ := first.work(key)
			w.OnStart("second", "h", 2)
			other, _ := first.work(dispatch.Key{Job: j.ID, Index: 1})
			other.OnDone(dispatch.Completion{Outcome: api.Failed}, func() {}) // its record includes the start
			waitFor(t, "the record of the start", func() bool {
				items, err := store.Store().List(t.Context(), batchKeyPrefix)
				if err != nil || len(items) != 1 {
					return false
				}
				r, err := decodeRecord(items[0].Value)
				return err == nil && r.Jobs[0].Tasks[0].Attempts == 2
			})
			second := newFixture(t, "a", store, func(b *tableFixture) {
				b.running = []dispatch.AdoptedAttempt{{AdoptedAttempt: wire.AdoptedAttempt{Attempt: c.running, Job: j.ID, Host: "h2"}, Owner: "a"}}
			})
			waitFor(t, "the resumption", func() bool {
				second.mu.Lock()
				defer second.mu.Unlock()
				return slices.Contains(second.resumed, key)
			})
			waitFor(t, "the record of the resumed attempt", func() bool {
				found, err := second.table.Get(context.Background(), j.ID)
				return err == nil && found.Tasks[0].Host == "h2" && found.Tasks[0].Attempts == c.want
			})
		})
	}
}
