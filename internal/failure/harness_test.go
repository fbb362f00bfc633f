package failure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/demo"
	"github.com/rosemaryspoke/rosemaryspoke/internal/settings"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/worker"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/client"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// waitLimit is the time limit for every wait; a fault shows as a condition that never holds.
	waitLimit    = 30 * time.Second
	pollInterval = 20 * time.Millisecond

	quotingTeam   = ident.TeamID("quoting")
	floorPlanTeam = ident.TeamID("floor-plan")
)

var allDaemons = []ident.MemberID{"daemon-1", "daemon-2", "daemon-3"}

// harness runs one cell with the demo's daemons, teams and 72 slots, and records the answers that callers got.
type harness struct {
	*testing.T
	demoCell   *demo.Cell
	regionLink *regionLink
	bundle     bundle.Bundle
	teamKeys   map[ident.TeamID]string

	mu      sync.Mutex
	answers map[ident.RequestID]api.Answer
}

// newHarness starts a cell with the teams' limits.
func newHarness(t *testing.T, limits map[ident.TeamID]int, renewal time.Duration) *harness {
	t.Helper()
	b, secrets, err := demo.Bundle()
	if err != nil {
		t.Fatal(err)
	}
	// Requests of this queue aren't urgent like those of the demo's queue, so they don't preempt batch work.
	b.Queues = append(b.Queues, bundle.Queue{ID: "orders", Kind: api.KindRequest, Priority: 50, Deadline: 10_000, Retries: 2})
	s := &harness{T: t, regionLink: newRegionLink(), bundle: b, teamKeys: secrets, answers: map[ident.RequestID]api.Answer{}}
	for team, n := range limits {
		s.setLimit(team, n)
	}
	s.demoCell, err = demo.Start(t.Context(), demo.Config{
		Standins: demo.Standins(), Sites: demo.Sites(), Bundle: s.bundle, Log: logr.Discard(), Dial: s.regionLink.dialerFrom,
		AdjustSettings: func(c *settings.Serve) {
			c.MinRenewal = max(c.MinRenewal, renewal)
			s.regionLink.addAddress(c.PeerListen, c.Region)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.demoCell.Close)
	return s
}

// setLimit changes the limit of a team in the bundle without publishing it.
func (s *harness) setLimit(team ident.TeamID, n int) {
	s.bundle.Teams = slices.Clone(s.bundle.Teams)
	for i := range s.bundle.Teams {
		if s.bundle.Teams[i].ID == team {
			s.bundle.Teams[i].Limit = n
		}
	}
}

func (s *harness) publish() {
	s.Helper()
	if err := s.demoCell.Publish(s.Context(), s.bundle); err != nil {
		s.Fatal(err)
	}
}

// waitFor waits for a condition.
func (s *harness) waitFor(what string, holds func() bool) {
	s.Helper()
	for end := time.Now().Add(waitLimit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			s.logState()
			s.Fatalf("not within %s: %s; %d runs, %d requests and %d tasks of jobs running", waitLimit, what, len(s.runs(anyRun)),
				s.demoCell.Standins.Ledger.Running(quotingTeam), s.demoCell.Standins.Ledger.Running(floorPlanTeam))
		}
	}
}

// stateDump is the part of a daemon's state dump that the tests read.
type stateDump struct{ Queue, Limits, Placement json.RawMessage }

func (s *harness) fetchState(m ident.MemberID) (state stateDump, ok bool) {
	d := s.demoCell.Daemon(m)
	if d == nil {
		return state, false
	}
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+d.OperatorAddress()+"/debug/state", nil)
	r.Header.Set("Authorization", "Bearer "+demo.OperatorToken)
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return state, false
	}
	defer func() { _ = reply.Body.Close() }()
	return state, json.NewDecoder(reply.Body).Decode(&state) == nil
}

// countTasks returns how many tasks of a team the daemons count, including those that are being started. If a daemon doesn't
// answer it returns math.MaxInt, so that no bound holds.
func (s *harness) countTasks(team ident.TeamID, members ...ident.MemberID) int {
	n := 0
	for _, m := range members {
		state, ok := s.fetchState(m)
		var limits struct {
			Teams []struct {
				Team ident.TeamID
				Used int
			}
		}
		if !ok || json.Unmarshal(state.Limits, &limits) != nil {
			return math.MaxInt
		}
		for _, t := range limits.Teams {
			if t.Team == team {
				n += t.Used
			}
		}
	}
	return n
}

// logState logs the queues, limits and placements of all daemons.
func (s *harness) logState() {
	for _, m := range allDaemons {
		state, ok := s.fetchState(m)
		if !ok {
			continue
		}
		s.Logf("%s: queue %.2000s, limits %.1000s, placement %.4000s", m, state.Queue, state.Limits, state.Placement)
	}
}

// clientOf returns a client of a daemon, and false if the daemon isn't ready for callers.
func (s *harness) clientOf(id ident.MemberID, team ident.TeamID) (*client.Client, bool) {
	d := s.demoCell.Daemon(id)
	if d == nil || !d.Ready() {
		return nil, false
	}
	return client.New("http://"+d.CallerAddress(), s.teamKeys[team], nil), true
}

// quoteRequest returns a request for one core; its id is also its payload, which determines the answer.
func quoteRequest(id ident.RequestID, nonIdempotent bool, run time.Duration) api.Spec {
	return api.Spec{
		Team: quotingTeam, Queue: "orders", Request: id, NonIdempotent: nonIdempotent, Demand: demand(0),
		RunTime: api.Millis(run.Milliseconds()), Deadline: 20_000, Payload: []byte(id),
	}
}

// batchJob returns a job of the floor-plan team.
func batchJob(queue ident.QueueID, tasks int, run time.Duration) api.Spec {
	return api.Spec{
		Team: floorPlanTeam, Queue: queue, Tasks: tasks, Demand: demand(0),
		RunTime: api.Millis(run.Milliseconds()), Payload: []byte("hall"),
	}
}

func demand(gpus int64) resource.Vector {
	return resource.Vector{CPU: resource.Cores(1), Memory: resource.Gigabytes(1), GPUs: resource.Count(gpus), Slots: 1, Connections: 1}
}

// sendRequest sends a request like a caller behind a load balancer: if a daemon isn't ready or breaks the connection, the
// same request goes to the next one until one of them replies.
func (s *harness) sendRequest(spec api.Spec, via ...ident.MemberID) api.Answer {
	a := api.Answer{Outcome: api.Unknown, Reason: "no daemon replied"}
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(pollInterval) {
		c, ok := s.clientOf(via[0], spec.Team)
		via = append(via[1:], via[0])
		if !ok {
			continue
		}
		reply, err := c.Request(context.Background(), spec)
		var p *api.Problem
		if errors.As(err, &p) {
			a = api.Answer{Outcome: p.Outcome, Reason: p.Error()}
			break
		}
		if err == nil {
			a = reply
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[spec.Request] = a
	return a
}

// sendRequests sends requests concurrently and returns a function that waits for all replies.
func (s *harness) sendRequests(specs []api.Spec, via ...ident.MemberID) (wait func()) {
	var wg sync.WaitGroup
	for _, spec := range specs {
		wg.Go(func() { s.sendRequest(spec, slices.Clone(via)...) })
	}
	return wg.Wait
}

// quoteRequests returns n requests with different ids.
func quoteRequests(name string, n int, nonIdempotent bool, run time.Duration) []api.Spec {
	specs := make([]api.Spec, n)
	for i := range specs {
		specs[i] = quoteRequest(ident.RequestID(fmt.Sprintf("%s-%d", name, i)), nonIdempotent, run)
	}
	return specs
}

// submitJob submits a durable job and fails the test if it isn't accepted.
func (s *harness) submitJob(via ident.MemberID, spec api.Spec) ident.JobID {
	s.Helper()
	c, _ := s.clientOf(via, spec.Team)
	j, err := c.Submit(s.Context(), spec)
	if err != nil {
		s.Fatal(err)
	}
	return j.ID
}

// waitForJobs waits until the jobs have ended, as seen through any daemon, and checks their phase.
func (s *harness) waitForJobs(phase api.Phase, ids ...ident.JobID) {
	s.Helper()
	var last api.Job
	defer func() {
		if s.Failed() {
			s.Logf("last state: %s", describe(last))
		}
	}()
	for _, id := range ids {
		s.waitFor(fmt.Sprintf("job %s has ended", id), func() bool {
			for _, m := range allDaemons {
				if c, ok := s.clientOf(m, floorPlanTeam); ok {
					j, err := c.Get(s.Context(), id)
					if err == nil {
						last = j
					}
					return err == nil && j.Phase.Done()
				}
			}
			return false
		})
		if last.Phase != phase {
			s.Errorf("job %s is %s, want %s", id, describe(last), phase)
		}
	}
}

func describe(j api.Job) string {
	text := fmt.Sprintf("%s of %s:", j.Phase, j.Owner)
	for _, t := range j.Tasks {
		if t.Phase != api.Succeeded {
			text += fmt.Sprintf(" %d %s on %s after %d attempts (%s);", t.Index, t.Phase, t.Host, t.Attempts, t.Reason)
		}
	}
	return text
}

// runs returns the matching runs of all backend servers.
func (s *harness) runs(match func(ident.HostID, worker.Run) bool) []worker.Run {
	var found []worker.Run
	for host, w := range s.demoCell.Standins.Workers {
		for _, r := range w.Runs() {
			if match(host, r) {
				found = append(found, r)
			}
		}
	}
	return found
}

func ofJob(id ident.JobID) func(ident.HostID, worker.Run) bool {
	return func(_ ident.HostID, r worker.Run) bool { return r.Job == id }
}

func ofRequest(id ident.RequestID) func(ident.HostID, worker.Run) bool {
	return func(_ ident.HostID, r worker.Run) bool { return r.Request == id }
}

func anyRun(ident.HostID, worker.Run) bool { return true }

func isRunning(_ ident.HostID, r worker.Run) bool { return r.Exit == "" }

// busiestServer returns the backend server with the most matching runs.
func (s *harness) busiestServer(match func(ident.HostID, worker.Run) bool) ident.HostID {
	var best ident.HostID
	most := -1
	for host, w := range s.demoCell.Standins.Workers {
		n := 0
		for _, r := range w.Runs() {
			if match(host, r) {
				n++
			}
		}
		if n > most || n == most && host < best {
			best, most = host, n
		}
	}
	return best
}

// holdTasks keeps all tasks running until it is switched off, so that on a slow machine they don't end before a failure is
// caused.
func (s *harness) holdTasks(on bool, except ...ident.HostID) {
	for host, w := range s.demoCell.Standins.Workers {
		if !slices.Contains(except, host) {
			w.Faults().Hold(on)
		}
	}
}

// expectSucceededOnce checks that no task of the jobs succeeded more than once.
func (s *harness) expectSucceededOnce(ids ...ident.JobID) {
	s.Helper()
	for _, id := range ids {
		done := map[int]int{}
		for _, r := range s.runs(ofJob(id)) {
			if r.Exit == backend.ExitSucceeded {
				done[r.Index]++
			}
		}
		for i, n := range done {
			if n != 1 {
				s.Errorf("task %d of job %s succeeded %d times", i, id, n)
			}
		}
	}
}

// checkOutcomes checks every request: its outcome is allowed, an answer is complete and belongs to the request, and a request
// reported as not run has no run. The backend servers detect repeated runs of non-idempotent requests. It returns the
// number of requests by outcome.
func (s *harness) checkOutcomes(allowed ...api.Outcome) map[api.Outcome]int {
	s.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[api.Outcome]int{}
	for id, a := range s.answers {
		n := len(s.runs(ofRequest(id)))
		counts[a.Outcome]++
		complete := string(a.Payload) == worker.AnswerPrefix+string(id) && a.Length == len(a.Payload) &&
			a.Checksum == backend.Checksum(bytes.Clone(a.Payload)) && a.Request == id && n > 0
		switch {
		case !slices.Contains(allowed, a.Outcome):
			s.Errorf("request %s: outcome %s with %d runs (%s)", id, a.Outcome, n, a.Reason)
		case a.Outcome == api.Answered && !complete:
			s.Errorf("request %s: answer %+v is incomplete or belongs to another request", id, a)
		case a.Outcome == api.NotRun && n > 0:
			s.Errorf("request %s: ran %d times but the caller was told not-run (%s)", id, n, a.Reason)
		}
	}
	return counts
}

// expectNoViolations checks that no backend server detected a violated invariant.
func (s *harness) expectNoViolations() {
	s.Helper()
	for _, v := range s.demoCell.Standins.Ledger.Violations() {
		s.Error(v)
	}
}
