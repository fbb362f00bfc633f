package backend_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// clock is a manual clock for the simulated worker.
type clock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[*timer]bool
}

type timer struct {
	at time.Time
	do func()
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) AfterFunc(d time.Duration, do func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &timer{c.now.Add(d), do}
	if d <= 0 {
		go do()
		return func() bool { return false }
	}
	c.timers[t] = true
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		pending := c.timers[t]
		delete(c.timers, t)
		return pending
	}
}

// Advance moves the clock forward and runs the timers that are due, in order.
func (c *clock) Advance(d time.Duration) {
	end := c.Now().Add(d)
	for {
		c.mu.Lock()
		var next *timer
		for t := range c.timers {
			if !t.at.After(end) && (next == nil || t.at.Before(next.at)) {
				next = t
			}
		}
		if next == nil {
			c.now = end
			c.mu.Unlock()
			return
		}
		delete(c.timers, next)
		c.now = next.at
		c.mu.Unlock()
		next.do()
	}
}

// fixture is a simulated worker that is reached over one transport.
type fixture struct {
	*testing.T
	clock  *clock
	ledger *worker.Ledger
	worker *worker.Worker
	server backend.Server
}

var transports = map[string]func(t *testing.T, w *worker.Worker) backend.Server{
	"in process": func(_ *testing.T, w *worker.Worker) backend.Server { return w.Server() },
	"http": func(t *testing.T, w *worker.Worker) backend.Server {
		s := httptest.NewServer(w.Handler())
		client := backend.NewHTTPClient()
		t.Cleanup(func() {
			w.Faults().Pause(false)
			client.CloseIdleConnections()
			s.Close()
		})
		return backend.NewHTTPAdapter(backend.HTTPConfig{
			Client: client, Address: strings.TrimPrefix(s.URL, "http://"), Timeout: 20 * time.Second,
		})
	},
}

// runContract runs every case over every transport.
func runContract(t *testing.T, cases map[string]func(f *fixture)) {
	t.Helper()
	for name, run := range cases {
		for transport, connect := range transports {
			t.Run(name+"/"+transport, func(t *testing.T) {
				f := newFixture(t)
				f.server = connect(t, f.worker)
				run(f)
			})
		}
	}
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{T: t, clock: &clock{now: time.Unix(1e9, 0), timers: map[*timer]bool{}}, ledger: worker.NewLedger()}
	f.worker = f.newWorker("host-1")
	return f
}

func (f *fixture) newWorker(host ident.HostID) *worker.Worker {
	w := worker.New(worker.Config{
		Host: host, Capacity: slots(4), Now: f.clock.Now, AfterFunc: f.clock.AfterFunc, Ledger: f.ledger, Seed: 7,
		UsageFactor: 2, UsageLag: 5 * time.Second,
		NoCheckpointOrThrottle: func(t backend.Task) bool { return t.Queue == "rigid" },
	})
	f.Cleanup(w.Close)
	return w
}

const (
	lease   = 30 * time.Second
	runTime = 10 * time.Second
)

func slots(n int64) resource.Vector {
	return resource.Vector{CPU: resource.Cores(n), Slots: resource.Count(n)}
}

func fence(epoch ident.Epoch, owner ident.MemberID, attach uint64) backend.Fence {
	return backend.Fence{Epoch: epoch, Owner: owner, AttachNumber: attach}
}

var owner = fence(5, "a", 1)

func task(attempt ident.AttemptID) backend.Task {
	return backend.Task{
		Attempt: attempt, Job: ident.JobID("job-" + attempt), Team: "team", Queue: "queue", Origin: "a", Demand: slots(1),
		Payload: []byte("payload of " + attempt), RunTime: backend.ToMillis(runTime),
	}
}

func (f *fixture) attach(g backend.Fence) backend.Inventory {
	f.Helper()
	inventory, err := f.server.Attach(f.Context(), g, backend.ToMillis(lease))
	if err != nil {
		f.Fatalf("attach at %+v: %v", g, err)
	}
	return inventory
}

func (f *fixture) start(attempts ...ident.AttemptID) {
	f.Helper()
	for _, a := range attempts {
		if err := f.server.Start(f.Context(), owner, task(a)); err != nil {
			f.Fatalf("start %s: %v", a, err)
		}
	}
}

func (f *fixture) poll(g backend.Fence, after uint64, wait time.Duration, acknowledge ...ident.AttemptID) (backend.PollReply, error) {
	return f.server.Poll(f.Context(), backend.PollRequest{
		Fence: g, Lease: backend.ToMillis(lease), Wait: backend.ToMillis(wait), After: after, Acknowledge: acknowledge,
	})
}

// wantPoll polls without waiting and checks that the reply has these results.
func (f *fixture) wantPoll(after uint64, want ...ident.AttemptID) backend.PollReply {
	f.Helper()
	reply, err := f.poll(owner, after, 0)
	if err != nil {
		f.Fatalf("poll: %v", err)
	}
	f.wantResults(reply.Finished, want...)
	return reply
}

func (f *fixture) wantResults(got []backend.Result, want ...ident.AttemptID) {
	f.Helper()
	ids := []ident.AttemptID{}
	for _, r := range got {
		ids = append(ids, r.Attempt)
		if !r.Intact() {
			f.Errorf("answer of %s doesn't match its length and checksum", r.Attempt)
		}
	}
	wantEqual(f, "results", ids, append([]ident.AttemptID{}, want...))
}

// startLongPoll begins a long poll and returns a function that waits for its reply.
func (f *fixture) startLongPoll(g backend.Fence, after uint64) func() (backend.PollReply, error) {
	type outcome struct {
		reply backend.PollReply
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		reply, err := f.poll(g, after, lease)
		done <- outcome{reply, err}
	}()
	return func() (backend.PollReply, error) {
		f.Helper()
		select {
		case o := <-done:
			return o.reply, o.err
		case <-time.After(15 * time.Second):
			f.Fatal("the long poll didn't return")
			return backend.PollReply{}, nil
		}
	}
}

// waitFor polls a condition until it holds.
func (f *fixture) waitFor(what string, condition func() bool) {
	f.Helper()
	for end := time.Now().Add(15 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.Fatalf("%s didn't happen", what)
		}
	}
}

func (f *fixture) wantNoViolations() {
	f.Helper()
	if v := f.ledger.Violations(); len(v) > 0 {
		f.Errorf("violations: %v", v)
	}
}

// shortContext returns a context that ends soon, for calls that are expected to block.
func (f *fixture) shortContext() context.Context {
	ctx, cancel := context.WithTimeout(f.Context(), 50*time.Millisecond)
	f.Cleanup(cancel)
	return ctx
}
