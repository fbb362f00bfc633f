package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/cell"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Row is the result of one request or job of the demo.
type Row struct {
	Work    string      `json:"work"` // job or request ID
	Team    string      `json:"team"`
	Kind    api.Kind    `json:"kind"`
	Daemon  string      `json:"through"` // that received the work
	Outcome api.Outcome `json:"outcome"`
	Hosts   string      `json:"where"` // separated by spaces
	Reason  string      `json:"why"`   // of the outcome or the last decision
}

// Result holds the outcomes of all work in the demo, the daemon that was stopped, and the violated invariants.
type Result struct {
	Rows       []Row    `json:"rows"`
	Stopped    string   `json:"stopped"`
	Violations []string `json:"violations"`
}

// OK reports whether all work was answered and no invariant was violated.
func (r Result) OK() bool {
	for _, row := range r.Rows {
		if row.Outcome != api.Answered {
			return false
		}
	}
	return len(r.Rows) > 0 && len(r.Violations) == 0
}

// Teams of the demo.
const (
	teamQuoting   = ident.TeamID("quoting")
	teamFloorPlan = ident.TeamID("floor-plan")
)

// Sites returns the sites of the demo's daemons: two in one region and one in another.
func Sites() []Site {
	return []Site{
		{"daemon-1", "sfax", "sfax-a"}, {"daemon-2", "sfax", "sfax-b"}, {"daemon-3", "tunis", "tunis-a"},
	}
}

// Standins returns the demo's backend servers: small ones for quotes and large ones with GPUs.
func Standins() cell.Config {
	small := resource.Vector{CPU: resource.Cores(16), Memory: resource.Gigabytes(32), Slots: 8, Connections: 64}
	large := resource.Vector{CPU: resource.Cores(128), Memory: resource.Gigabytes(256), GPUs: 8, Slots: 8, Connections: 64}
	return cell.Config{Seed: 1, Groups: []cell.ServerGroup{
		{Region: "sfax", DataCentre: "sfax-a", Prefix: "quote-a", Count: 3, PerRack: 2, Capacity: small},
		{Region: "sfax", DataCentre: "sfax-b", Prefix: "quote-b", Count: 3, PerRack: 2, Capacity: small},
		{Region: "sfax", DataCentre: "sfax-a", Prefix: "plan-a", Count: 1, PerRack: 1, Capacity: large},
		{Region: "tunis", DataCentre: "tunis-a", Prefix: "plan-t", Count: 2, PerRack: 1, Capacity: large},
	}}
}

// Bundle returns the demo's configuration and the secret of each team's key.
func Bundle() (bundle.Bundle, map[ident.TeamID]string, error) {
	b := bundle.Bundle{
		Teams: []bundle.Team{
			{ID: teamQuoting, Share: 3, Limit: 40, ClaimRegion: "sfax"},
			{ID: teamFloorPlan, Share: 1, Limit: 30, ClaimRegion: "sfax"},
		},
		Queues: []bundle.Queue{
			{ID: "quotes", Kind: api.KindRequest, Urgent: true, Priority: 50, Deadline: 10_000, Retries: 2},
			{ID: "services", Kind: api.KindService, Priority: 40, Retries: 3},
			{ID: "renders", Kind: api.KindBatch, Priority: 10, Retries: 3},
			{ID: "gangs", Kind: api.KindAllAtOnce, Priority: 20, Retries: 3},
			{ID: "public", Kind: api.KindRequest, Open: true, Deadline: 10_000, Retries: 2},
		},
	}
	secrets := map[ident.TeamID]string{}
	for _, t := range []ident.TeamID{teamQuoting, teamFloorPlan} {
		updated, secret, err := bundle.GrantKey(b, t, "first")
		if err != nil {
			return b, nil, fmt.Errorf("grant key to %s: %w", t, err)
		}
		b, secrets[t] = updated, secret
	}
	return b, secrets, nil
}

// Run starts the demo's cell, runs every kind of work while one daemon stops, and returns the outcome, the hosts and the
// placement reason of each.
func Run(ctx context.Context, log logr.Logger) (Result, error) {
	b, secrets, err := Bundle()
	if err != nil {
		return Result{}, err
	}
	c, err := Start(ctx, Config{Standins: Standins(), Sites: Sites(), Bundle: b, Log: log})
	if err != nil {
		return Result{}, fmt.Errorf("start cell: %w", err)
	}
	defer c.Close()
	r := &demoRun{cell: c, secrets: secrets}
	if err := r.runWorkload(ctx); err != nil {
		return r.result, err
	}
	for _, v := range c.Standins.Ledger.Violations() {
		r.result.Violations = append(r.result.Violations, v.String())
	}
	return r.result, nil
}

// demoRun collects the results of the demo's work while it runs.
type demoRun struct {
	cell    *Cell
	secrets map[ident.TeamID]string
	result  Result
	mu      sync.Mutex
}

func demand(cores, gigabytes, gpus int64) resource.Vector {
	return resource.Vector{CPU: resource.Cores(cores), Memory: resource.Gigabytes(gigabytes), GPUs: resource.Count(gpus)}
}

// runWorkload submits every kind of work, stops daemon-2 while the work runs, and waits until all of it has ended.
func (r *demoRun) runWorkload(ctx context.Context) error {
	specs := []struct {
		name   string
		daemon ident.MemberID
		spec   api.Spec
	}{
		{"service", "daemon-2", api.Spec{Team: teamFloorPlan, Queue: "services", Tasks: 3, Demand: demand(2, 2, 0)}},
		{"batch", "daemon-2", api.Spec{
			Team: teamFloorPlan, Queue: "renders", Tasks: 6, Demand: demand(8, 8, 1),
			RunTime: 3000, Payload: []byte("hall"),
		}},
		{"all-at-once", "daemon-1", api.Spec{
			Team: teamFloorPlan, Queue: "gangs", Tasks: 4, Demand: demand(4, 4, 2),
			RunTime: 1500, Payload: []byte("grid"),
		}},
	}
	jobs := make([]api.Job, len(specs))
	for i, s := range specs {
		j, err := r.cell.Client(s.daemon, r.secrets[s.spec.Team]).Submit(ctx, s.spec)
		if err != nil {
			return fmt.Errorf("submit %s: %w", s.name, err)
		}
		jobs[i] = j
	}
	var wg sync.WaitGroup
	wg.Go(func() { r.sendRequests(ctx, "daemon-1", 4) })
	wg.Go(func() { r.sendRequests(ctx, "daemon-2", 4) })
	time.Sleep(300 * time.Millisecond)
	if err := r.cell.Stop(ctx, "daemon-2"); err != nil {
		return fmt.Errorf("stop daemon-2: %w", err)
	}
	r.result.Stopped = "daemon-2"
	wg.Wait()
	r.sendRequests(ctx, "daemon-3", 2)
	for i, s := range specs {
		if err := r.awaitJob(ctx, s.name, s.daemon, jobs[i], s.spec); err != nil {
			return err
		}
	}
	return nil
}

// sendRequests sends n non-idempotent quote requests sequentially.
func (r *demoRun) sendRequests(ctx context.Context, daemon ident.MemberID, n int) {
	c, fallback := r.cell.Client(daemon, r.secrets[teamQuoting]), r.cell.Client("daemon-1", r.secrets[teamQuoting])
	for i := range n {
		spec := api.Spec{
			Team: teamQuoting, Queue: "quotes", Request: ident.RequestID(fmt.Sprintf("quote-%s-%d", daemon, i)),
			NonIdempotent: true, Demand: demand(1, 1, 0), RunTime: 100, Payload: []byte("treadmill"),
		}
		a, err := c.Request(ctx, spec)
		if err != nil && outcomeOf(err) == api.Unknown {
			// The daemon stopped before it answered. The retry through another daemon uses the same request ID, so the
			// request still runs at most once.
			a, err = fallback.Request(ctx, spec)
		}
		row := Row{
			Work: fmt.Sprintf("quote-%s-%d", daemon, i), Team: string(teamQuoting), Kind: api.KindRequest, Daemon: string(daemon),
			Outcome: a.Outcome, Hosts: string(a.Host), Reason: fmt.Sprintf("waited %s; %s", a.Waited.Duration(), a.Reason),
		}
		if err != nil {
			row.Outcome, row.Reason = outcomeOf(err), err.Error()
		}
		r.mu.Lock()
		r.result.Rows = append(r.result.Rows, row)
		r.mu.Unlock()
	}
}

// awaitJob waits for a job through daemon-1, which is not stopped. A service counts as answered once all of its tasks run,
// and is then cancelled.
func (r *demoRun) awaitJob(ctx context.Context, name string, daemon ident.MemberID, j api.Job, spec api.Spec) error {
	c := r.cell.Client("daemon-1", r.secrets[spec.Team])
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	row := Row{Work: string(j.ID), Team: string(spec.Team), Kind: j.Kind, Daemon: string(daemon)}
	for {
		current, err := c.Get(ctx, j.ID)
		if ctx.Err() != nil {
			return fmt.Errorf("%s job %s is %s after %s: %w", name, j.ID, current.Phase, readyTimeout, ctx.Err())
		}
		if err == nil && (current.Phase.Done() || j.Kind == api.KindService && runningTasks(current) == len(current.Tasks)) {
			row.Outcome, row.Hosts = current.Outcome, taskHosts(current)
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if e, err := c.Explain(ctx, j.ID); err == nil && len(e.Decisions) > 0 {
		last := e.Decisions[len(e.Decisions)-1]
		row.Reason = last.What + ": " + last.Reason
	}
	if j.Kind == api.KindService {
		// Services run until they are cancelled, so a running one is the expected result.
		row.Outcome = api.Answered
		if _, err := c.Cancel(ctx, j.ID); err != nil {
			return fmt.Errorf("cancel service job %s: %w", j.ID, err)
		}
	}
	r.result.Rows = append(r.result.Rows, row)
	return nil
}

// outcomeOf returns the outcome that an error implies: that of the *api.Problem, or unknown for a transport error.
func outcomeOf(err error) api.Outcome {
	var p *api.Problem
	if errors.As(err, &p) {
		return p.Outcome
	}
	return api.Unknown
}

func runningTasks(j api.Job) int {
	n := 0
	for _, t := range j.Tasks {
		if t.Phase == api.Running {
			n++
		}
	}
	return n
}

func taskHosts(j api.Job) string {
	text := ""
	for _, t := range j.Tasks {
		if text != "" {
			text += " "
		}
		text += string(t.Host)
	}
	return text
}
