// Package soak runs daemons as processes of their own on loopback, disturbs them from outside by a random plan, and checks
// what callers and backend servers see against the promises of the product.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

// Options are the settings of a soak.
type Options struct {
	Binary  string        // the program under test
	Dir     string        // takes settings, logs and plans, by seed
	Length  time.Duration // of the faults
	Daemons int
	Servers int
	Callers int
}

const (
	// recovery is the time after the last fault within which jobs are served again.
	recovery = 12 * time.Second
	// finishWithin is the time after the last fault within which all accepted jobs end. The longest has two steps of a
	// second; the rest is for leases and the queue.
	finishWithin = 30 * time.Second
	// cancelWithin is how long tasks of a cancelled job may run on.
	cancelWithin = 4 * time.Second
	pollInterval = 200 * time.Millisecond
	startTimeout = 10 * time.Second
)

// Result is what a seed showed.
type Result struct {
	Seed    uint64
	Plan    []string
	Tried   int // jobs handed in
	Served  int // jobs accepted
	Starts  int // starts of tasks
	Breaks  []string
	Runtime time.Duration
}

// Run plays a seed.
func Run(ctx context.Context, o Options, seed uint64) (Result, error) {
	started := time.Now()
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", seed))
	c, err := newCell(o, dir, seed)
	if err != nil {
		return Result{}, errors.Join(err, c.closeAll())
	}
	t := newTraffic(c)
	c.fleet.SetBefore(t.before)
	c.fleet.SetLimit(t.limit)
	plan := newPlan(seed, o.Length, o.Daemons, o.Servers)
	r := Result{Seed: seed}
	if err := t.awaitServing(ctx, startTimeout); err != nil {
		r.Breaks = append(r.Breaks, "before any fault: "+err.Error())
	} else {
		t.play(ctx, o, plan, seed)
		t.finish(ctx)
	}
	for _, s := range plan {
		r.Plan = append(r.Plan, s.String())
	}
	r.Tried, r.Served = t.tried, t.served
	r.Starts, _ = c.fleet.Starts()
	r.Breaks = append(r.Breaks, t.breaks...)
	r.Breaks = append(r.Breaks, c.fleet.Violations()...)
	for _, d := range c.daemons {
		if n := d.ownEnds(); n > 0 {
			r.Breaks = append(r.Breaks, fmt.Sprintf("%s ended by itself %d times", d.node.Member, n))
		}
	}
	slices.Sort(r.Breaks)
	r.Runtime = time.Since(started)
	return r, c.close()
}

// closeAll closes a cell that may not have come about.
func (c *cell) closeAll() error {
	if c == nil {
		return nil
	}
	return c.close()
}

// play runs callers and faults beside each other.
func (t *traffic) play(ctx context.Context, o Options, plan []step, seed uint64) {
	traffic, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { t.run(traffic, o.Callers, seed) })
	began := time.Now()
	var faults sync.WaitGroup
	for _, s := range plan {
		faults.Go(func() {
			sleep(ctx, time.Until(began.Add(s.At)))
			end := t.cell.begin(s)
			sleep(ctx, s.For)
			end()
		})
	}
	faults.Wait()
	stop()
	group.Wait()
	t.restore()
}

// restore ends every disturbance that overlapping faults may have left.
func (t *traffic) restore() {
	c := t.cell
	c.store.SetFault(nil)
	c.web.SetDelay(0)
	for _, p := range append(slices.Clone(c.onServers), c.onStore...) {
		p.set(forward)
	}
}

// before returns the tasks that must have ended before a task may start.
func (t *traffic) before(id sched.TaskID) []sched.TaskID {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id.Job]
	if j == nil || id.Step == 0 || id.Step >= len(j.steps) {
		return nil
	}
	var out []sched.TaskID
	for _, s := range j.steps[id.Step].After {
		for i := range j.steps[s].Count {
			out = append(out, sched.TaskID{Job: id.Job, Step: s, Index: i})
		}
	}
	return out
}

// limit returns the team of a job and its limit.
func (t *traffic) limit(id ident.JobID) (ident.TeamID, resource.MilliCPU) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j := t.jobs[id]; j != nil && j.team == limitedTeam {
		return limitedTeam, resource.Cores(teamCores)
	}
	return "", 0
}

// awaitServing waits until a job is accepted and completed.
func (t *traffic) awaitServing(ctx context.Context, limit time.Duration) error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	c := &standin.Caller{Host: queueHost, Prefix: queuePrefix, Key: "blue-0", Client: client}
	id := ident.JobID(fmt.Sprintf("%016x", time.Now().UnixNano()))
	steps := []sched.Step{{Count: 1, Demand: demand, Estimate: shortestWork}}
	t.mu.Lock()
	t.jobs[id] = &jobRecord{id: id, team: "blue", steps: steps}
	t.mu.Unlock()
	last := "no call was made"
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		d := t.cell.daemons[time.Now().UnixNano()%int64(len(t.cell.daemons))]
		call, done := context.WithTimeout(ctx, callTimeout)
		r, err := c.Submit(call, d.node.CallerAddress(), id, steps)
		if err == nil && r.Code == http.StatusOK {
			r, err = c.Read(call, d.node.CallerAddress(), id)
		}
		done()
		if err == nil && r.State == sched.StateCompleted {
			return nil
		}
		last = fmt.Sprintf("status %d, state %q, %v", r.Code, r.State, err)
	}
	return fmt.Errorf("no job was served within %s: %s", limit, last)
}

// finish checks what must hold once the faults are over.
func (t *traffic) finish(ctx context.Context) {
	over := time.Now()
	if err := t.awaitServing(ctx, recovery); err != nil {
		t.broke("after the last fault %v", err)
	}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	open := t.accepted()
	for len(open) > 0 && time.Since(over) < finishWithin && ctx.Err() == nil {
		open = slices.DeleteFunc(open, func(j *jobRecord) bool { return t.ended(ctx, j, client) })
		sleep(ctx, pollInterval)
	}
	for _, j := range open {
		t.broke("job %s was accepted and hasn't ended %s after the last fault", j.id, finishWithin)
	}
	t.checkRefused()
	t.checkCancelled()
}

// accepted returns the jobs that were accepted.
func (t *traffic) accepted() []*jobRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*jobRecord
	for _, j := range t.jobs {
		if j.accepted {
			out = append(out, j)
		}
	}
	return out
}

// ended asks for a job's state and reports whether it is final. Every job can be done.
func (t *traffic) ended(ctx context.Context, j *jobRecord, client *http.Client) bool {
	c := &standin.Caller{Host: queueHost, Prefix: queuePrefix, Key: j.team + "-0", Client: client}
	d := t.cell.daemons[len(j.id)%len(t.cell.daemons)]
	call, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	r, err := c.Read(call, d.node.CallerAddress(), j.id)
	switch {
	case err != nil || r.Code == http.StatusServiceUnavailable:
		return false
	case r.Code == http.StatusGone:
		t.broke("job %s was accepted and isn't known", j.id)
	case r.State == sched.StateFailed:
		t.broke("job %s is shown as failed and can be done", j.id)
	case r.State == sched.StateCancelled && !j.mayCancel:
		t.broke("job %s is shown as cancelled, which nobody asked for", j.id)
	case r.State == sched.StateCompleted:
		t.checkWhole(j)
	case r.State != sched.StateCancelled:
		return false
	}
	return true
}

// checkWhole checks that all tasks of a completed job have run.
func (t *traffic) checkWhole(j *jobRecord) {
	for step, s := range j.steps {
		for i := range s.Count {
			if !t.cell.fleet.Ended(sched.TaskID{Job: j.id, Step: step, Index: i}) {
				t.broke("job %s is shown as completed and task %d.%d hasn't ended well", j.id, step, i)
			}
		}
	}
}

// checkRefused checks that jobs of which every try was refused never ran.
func (t *traffic) checkRefused() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.jobs {
		if j.refused && !j.accepted && !j.unknown && t.cell.fleet.Ran(j.id) {
			t.breaks = append(t.breaks, fmt.Sprintf("job %s was refused as not run, and ran", j.id))
		}
	}
}

// checkCancelled checks that nothing of a cancelled job runs on.
func (t *traffic) checkCancelled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.jobs {
		if n := t.cell.fleet.Running(j.id); n > 0 && !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelWithin {
			t.breaks = append(t.breaks, fmt.Sprintf("%d tasks of job %s run %s after its cancellation", n, j.id, time.Since(j.cancelled)))
		}
	}
}

// String returns the result as a line, and a line for each break.
func (r Result) String() string {
	verdict := "kept"
	if len(r.Breaks) > 0 {
		verdict = "BROKEN"
	}
	line := fmt.Sprintf("seed %-6d %-6s %3d faults %4d jobs tried %4d accepted %5d starts %5.1f s",
		r.Seed, verdict, len(r.Plan), r.Tried, r.Served, r.Starts, r.Runtime.Seconds())
	return strings.Join(append([]string{line}, r.Breaks...), "\n    ")
}
