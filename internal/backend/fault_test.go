package backend_test

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against taking a lost reply for a refusal, and the reverse.
func TestFaults(t *testing.T) {
	runContract(t, map[string]func(f *fixture){
		"refused without effect": func(f *fixture) {
			f.attach(owner)
			f.worker.Faults().Refuse(worker.OpStart, 1)
			f.wantError("start", f.server.Start(f.Context(), owner, task("t")), backend.ErrRefused)
			wantEqual(f, "runs", len(f.worker.Runs()), 0)
			f.start("t")
		},
		"reply lost after the effect": func(f *fixture) {
			f.attach(owner)
			f.worker.Faults().LoseNextReplies(worker.OpStart, 1)
			f.wantError("start", f.server.Start(f.Context(), owner, task("t")), backend.ErrUnknownOutcome)
			f.wantError("repeated start", f.server.Start(f.Context(), owner, task("t")), backend.ErrDuplicate)
			wantEqual(f, "runs", len(f.worker.Runs()), 1)
		},
		"replies lost at random": func(f *fixture) {
			f.attach(owner)
			f.worker.Faults().SetReplyLoss(0.5)
			lost := 0
			for _, a := range strings.Split("abcdefghijklmnopqrst", "") {
				err := f.server.Start(f.Context(), owner, task(ident.AttemptID(a)))
				if errors.Is(err, backend.ErrUnknownOutcome) {
					lost++
				} else if err != nil {
					f.Errorf("start: %v", err)
				}
			}
			if lost == 0 || lost == 20 {
				f.Errorf("%d of 20 replies lost, want some", lost)
			}
			wantEqual(f, "runs", len(f.worker.Runs()), 20)
		},
		"effect after the caller gave up": func(f *fixture) {
			f.attach(owner)
			f.worker.Faults().Pause(true)
			f.wantError("start", f.server.Start(f.shortContext(), owner, task("t")), backend.ErrUnknownOutcome)
			f.worker.Faults().Pause(false)
			f.waitFor("the start", func() bool { return len(f.worker.Runs()) == 1 })
		},
		"pause beyond the lease": func(f *fixture) {
			f.attach(owner)
			f.start("t")
			f.worker.Faults().Pause(true)
			f.wantError("start", f.server.Start(f.shortContext(), owner, task("u")), backend.ErrUnknownOutcome)
			f.clock.Advance(lease)
			f.worker.Faults().Pause(false)
			f.waitFor("the end of the pause", func() bool {
				_, err := f.poll(owner, 0, 0)
				return errors.Is(err, backend.ErrLeaseLapsed)
			})
			// After a new attach, the start that waited during the pause must still be refused.
			inventory := f.attach(fence(5, "a", 2))
			wantEqual(f, "running", len(inventory.Running), 0)
			f.wantError("start of the earlier attach", f.server.Start(f.Context(), owner, task("u")), backend.ErrStaleEpoch)
			wantEqual(f, "runs", len(f.worker.Runs()), 1)
		},
		"unreachable": func(f *fixture) {
			f.attach(owner)
			f.worker.Faults().Partition(true)
			err := f.server.Start(f.Context(), owner, task("t"))
			if !errors.Is(err, backend.ErrUnreachable) && !errors.Is(err, backend.ErrUnknownOutcome) {
				f.Errorf("start: %v", err)
			}
			wantEqual(f, "runs", len(f.worker.Runs()), 0)
			f.worker.Faults().Partition(false)
			f.start("t")
		},
		"failing tasks": func(f *fixture) {
			f.attach(owner)
			f.worker.Faults().FailJobs("job-t")
			f.start("t")
			f.clock.Advance(runTime)
			wantEqual(f, "exit of the job", f.wantPoll(0, "t").Finished[0].Exit, backend.ExitFailed)
			f.start("u")
			f.clock.Advance(runTime)
			wantEqual(f, "exit of another job", f.wantPoll(1, "u").Finished[0].Exit, backend.ExitSucceeded)
			f.worker.Faults().FailAll(true)
			f.start("v")
			f.clock.Advance(runTime)
			wantEqual(f, "exit of any job", f.wantPoll(2, "v").Finished[0].Exit, backend.ExitFailed)
		},
	})
}

// Guards against a simulated worker that misses violations: other tests assert that there are none.
func TestViolations(t *testing.T) {
	secondTask := func(change func(*backend.Task)) backend.Task {
		u := task("u")
		change(&u)
		return u
	}
	cases := map[string]struct {
		second backend.Task
		host   ident.HostID // host of the second task; empty means that of the first
		fence  backend.Fence
		want   worker.ViolationKind
	}{
		"none":                         {second: task("u"), fence: owner},
		"overcommit":                   {secondTask(func(u *backend.Task) { u.Demand = slots(4) }), "", owner, worker.Overcommit},
		"same attempt on another host": {secondTask(func(u *backend.Task) { *u = task("t"); u.Job = "x" }), "host-2", owner, worker.RepeatedAttempt},
		"same task on the same host":   {secondTask(func(u *backend.Task) { u.Job = "job-t" }), "", owner, worker.ConcurrentTask},
		"same task on another host":    {secondTask(func(u *backend.Task) { u.Job = "job-t" }), "host-2", owner, worker.ConcurrentTask},
		"another task of the job":      {second: secondTask(func(u *backend.Task) { u.Job, u.Index = "job-t", 1 }), fence: owner},
		"same request on another host": {
			secondTask(func(u *backend.Task) { u.Request, u.NonIdempotent = "r", true }), "host-2", owner, worker.RepeatedRequest,
		},
		"stale epoch": {task("u"), "", fence(4, "z", 1), worker.StaleEpochAccepted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.server = f.worker.Server()
			f.attach(owner)
			first := task("t")
			first.Request, first.NonIdempotent = "r", true
			f.wantError("start", f.server.Start(f.Context(), owner, first), nil)
			f.worker.Faults().IgnoreFence(c.want == worker.StaleEpochAccepted)
			if c.host != "" {
				f.server = f.newWorker(c.host).Server()
				f.attach(owner)
			}
			f.wantError("start", f.server.Start(f.Context(), c.fence, c.second), nil)
			kinds := []worker.ViolationKind{}
			for _, v := range f.ledger.Violations() {
				kinds = append(kinds, v.Kind)
			}
			want := []worker.ViolationKind{}
			if c.want != "" {
				want = append(want, c.want)
			}
			wantEqual(t, "violations", kinds, want)
		})
	}
}

// Guards against reading an outcome from a reply that doesn't show one.
func TestHTTPReplies(t *testing.T) {
	cases := map[string]struct {
		reply http.HandlerFunc
		want  error
	}{
		"server error": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, backend.ErrUnknownOutcome},
		"not JSON":     {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, backend.ErrUnknownOutcome},
		"too long": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"boot":"x"}` + strings.Repeat(" ", 2000)))
		}, backend.ErrUnknownOutcome},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"boot":"x"}`))
		}, backend.ErrUnknownOutcome},
		"unknown refusal": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(backend.Refusal{Code: "new-code"})
		}, backend.ErrRefused},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(c.reply)
			defer s.Close()
			h := backend.NewHTTPAdapter(backend.HTTPConfig{
				Client: s.Client(), Address: strings.TrimPrefix(s.URL, "http://"), MaxReplyBytes: 1000,
			})
			if _, err := h.Attach(t.Context(), owner, 1000); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against a server that resumes from a pause and accepts commands before the overdue timer of its lease fires.
func TestLateLeaseTimer(t *testing.T) {
	f := newFixture(t)
	now := f.clock.Now()
	w := worker.New(worker.Config{
		Host: "h", Capacity: slots(4), Now: func() time.Time { return now },
		AfterFunc: func(time.Duration, func()) func() bool { return func() bool { return true } },
	})
	f.server = w.Server()
	f.attach(owner)
	f.start("t")
	now = now.Add(lease)
	f.wantError("start", f.server.Start(f.Context(), owner, task("u")), backend.ErrLeaseLapsed)
	wantEqual(t, "exit", w.Runs()[0].Exit, backend.ExitLeaseLapsed)
}

// Guards against taking a failed dial for a start that may have happened.
func TestHTTPUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	h := backend.NewHTTPAdapter(backend.HTTPConfig{Address: l.Addr().String()})
	if err := h.Start(t.Context(), owner, task("t")); !errors.Is(err, backend.ErrUnreachable) {
		t.Errorf("got %v, want %v", err, backend.ErrUnreachable)
	}
}

// Guards against a new connection for every exchange, which would cost more than the exchange.
func TestHTTPKeepsConnection(t *testing.T) {
	f := newFixture(t)
	var opened atomic.Int32
	s := httptest.NewUnstartedServer(f.worker.Handler())
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	f.server = backend.NewHTTPAdapter(backend.HTTPConfig{Address: s.Listener.Addr().String()})
	f.attach(owner)
	for range 20 {
		f.wantPoll(0)
		f.wantStop("t", backend.StopNeverStarted)
	}
	f.wantError("refusal", f.server.Start(f.Context(), owner, task("t")), backend.ErrStopped)
	f.start("u")
	wantEqual(t, "connections", opened.Load(), 1)
}
