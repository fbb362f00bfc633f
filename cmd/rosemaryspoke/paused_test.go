package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// TestPausedDaemon guards against a daemon that acts on its old view after a pause. SIGSTOP pauses the process while it has
// queued work, held requests and owned backend servers; the others replace it before SIGCONT resumes it.
func TestPausedDaemon(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	standins, err := cell.Start(demo.Standins())
	if err != nil {
		t.Fatal(err)
	}
	defer standins.Close()
	seed, public := operatorKey(ctx, t)
	addresses := freeAddresses(t, 9)
	var daemons []*process
	for i, site := range demo.Sites() {
		daemons = append(daemons, startDaemon(ctx, t, site, standins.StoreURL(), public, addresses[3*i:],
			"--min-renewal", "8s")) // a server's lease lasts 16 s more, far longer than a slow machine takes to replace a daemon
	}
	secrets := publish(ctx, t, seed, addresses)
	waitReady(ctx, t, addresses[1], addresses[4], addresses[7])
	holdTasks := func(on bool) {
		for _, w := range standins.Workers {
			w.Faults().Hold(on)
		}
	}
	holdTasks(true)
	demand := resource.Vector{CPU: resource.Cores(1), Memory: resource.Gigabytes(1), Slots: 1, Connections: 1}
	job, err := client.New("http://"+addresses[3], secrets["floor-plan"], nil).Submit(ctx, api.Spec{
		Team: "floor-plan", Queue: "renders", Tasks: 28, Demand: demand, RunTime: 100, Payload: []byte("hall"),
	})
	if err != nil {
		t.Fatal(err)
	}
	answers := make([]api.Answer, 12)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			answers[i] = sendRequest(ctx, secrets["quoting"], "http://"+addresses[3], ident.RequestID(fmt.Sprintf("held-%d", i)), demand)
		})
	}
	waitFor(ctx, t, "28 tasks and 12 requests to run", func() bool {
		return standins.Ledger.Running("floor-plan")+standins.Ledger.Running("quoting") == 40
	})
	sendSignal(t, daemons[1], syscall.SIGSTOP)
	waitFor(ctx, t, "the others to remove the paused daemon", func() bool { return !hasMember(ctx, addresses[1], "daemon-2") })
	holdTasks(false)
	waitFor(ctx, t, "the tasks of the job to end", func() bool { return standins.Ledger.Running("floor-plan") == 0 })
	sendSignal(t, daemons[1], syscall.SIGCONT)
	waitFor(ctx, t, "the resumed daemon to join again", func() bool { return hasMember(ctx, addresses[1], "daemon-2") })
	wg.Wait()
	ended, err := client.New("http://"+addresses[0], secrets["floor-plan"], nil).Wait(ctx, job.ID, time.Minute)
	if err != nil || ended.Phase != api.Succeeded {
		t.Errorf("job after the pause is %s (%v), want succeeded", ended.Phase, err)
	}
	checkRuns(t, standins, answers)
	for _, d := range daemons {
		sendSignal(t, d, syscall.SIGTERM)
	}
	for _, d := range daemons {
		if err := d.Wait(); err != nil {
			t.Errorf("daemon %v did not exit cleanly: %v\n%s", d.Args, err, d.stderr.String())
		}
	}
}

// checkRuns checks that every task ran exactly once and succeeded, and that the outcome that each caller got is consistent
// with the runs of its request.
func checkRuns(t *testing.T, standins *cell.Cell, answers []api.Answer) {
	t.Helper()
	tasks, requests := map[int]int{}, map[ident.RequestID]int{}
	for _, w := range standins.Workers {
		for _, r := range w.Runs() {
			if r.Exit != backend.ExitSucceeded {
				t.Errorf("task %d of job %s, request %s, exited as %s", r.Index, r.Job, r.Request, r.Exit)
			}
			if r.Request != "" {
				requests[r.Request]++
			} else {
				tasks[r.Index]++
			}
		}
	}
	for i := range 28 {
		if tasks[i] != 1 {
			t.Errorf("task %d ran %d times, want 1", i, tasks[i])
		}
	}
	for i, a := range answers {
		n := requests[ident.RequestID(fmt.Sprintf("held-%d", i))]
		if n > 1 || a.Outcome == api.Answered && n != 1 || a.Outcome == api.NotRun && n != 0 || a.Outcome == api.Failed {
			t.Errorf("request %d ran %d times, but its caller got outcome %s (%s)", i, n, a.Outcome, a.Reason)
		}
	}
	for _, v := range standins.Ledger.Violations() {
		t.Error(v)
	}
}

// sendRequest sends a non-idempotent request and returns the answer, or an answer with the outcome that the error implies.
func sendRequest(ctx context.Context, secret, address string, id ident.RequestID, demand resource.Vector) api.Answer {
	a, err := client.New(address, secret, nil).Request(ctx, api.Spec{
		Team: "quoting", Queue: "public", Request: id, NonIdempotent: true, Demand: demand, RunTime: 100, Deadline: 30_000,
	})
	var p *api.Problem
	switch {
	case errors.As(err, &p):
		return api.Answer{Outcome: p.Outcome, Reason: p.Error()}
	case err != nil:
		return api.Answer{Outcome: api.Unknown, Reason: err.Error()}
	}
	return a
}

// hasMember reports whether the member view of the daemon at an operator address contains the member id.
func hasMember(ctx context.Context, operator string, id ident.MemberID) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/debug/state", nil)
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Membership struct {
			View struct {
				Members []struct{ ID ident.MemberID }
			}
		}
	}
	if json.NewDecoder(response.Body).Decode(&state) != nil {
		return false
	}
	for _, m := range state.Membership.View.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// waitFor polls until reached returns true, and fails the test when ctx is done.
func waitFor(ctx context.Context, t *testing.T, condition string, reached func() bool) {
	t.Helper()
	for !reached() {
		if ctx.Err() != nil {
			t.Fatalf("timed out waiting for %s", condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func sendSignal(t *testing.T, p *process, s syscall.Signal) {
	t.Helper()
	if err := p.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}
