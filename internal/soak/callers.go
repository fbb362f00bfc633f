package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/platform/standin"
)

const (
	callTimeout       = 3 * time.Second
	submitAttempts    = 6                      // per job
	meanThinkTime     = 250 * time.Millisecond // mean pause of a caller between two jobs
	cancelProbability = 0.08                   // of an accepted job
)

// jobRecord is a submitted job and the outcomes that its caller has seen.
type jobRecord struct {
	id              ident.JobID
	team            string
	prefix          string // of its queue
	steps           []sched.Step
	accepted        bool
	acceptedAt      time.Time
	outcomeUnknown  bool      // an attempt ended without a final reply, so the job may have been accepted
	refused         bool      // at least one attempt was refused as not run
	cancelConfirmed time.Time // zero without a confirmation
	cancelSent      bool
}

// workload simulates the callers of a run and records their jobs and the violations that they detect.
type workload struct {
	cell *cell
	// background cancels long-running jobs while their callers submit others.
	background sync.WaitGroup

	mu             sync.Mutex
	jobs           map[ident.JobID]*jobRecord
	violations     []string
	acceptedCount  int // number of jobs
	submittedCount int // number of jobs, without repeated attempts
}

func newWorkload(c *cell) *workload { return &workload{cell: c, jobs: map[ident.JobID]*jobRecord{}} }

// addViolation records a violated guarantee.
func (w *workload) addViolation(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, a...))
}

// runCallers runs callers that submit jobs until the context ends.
func (w *workload) runCallers(ctx context.Context, callers int, seed uint64) {
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(100+n)))
			team := []string{multiKeyTeam, multiKeyTeam, limitedTeam}[n%3]
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				w.submitJob(ctx, random, team, client)
				sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThinkTime)))
			}
		})
	}
	group.Wait()
	w.background.Wait()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// newCaller returns a caller with a random key of the job's team, which may have been revoked.
func (j *jobRecord) newCaller(random *rand.Rand, client *http.Client) *standin.Caller {
	c := j.newOwner(client)
	if j.team == multiKeyTeam {
		c.Key = fmt.Sprintf("%s-%d", j.team, random.IntN(4))
	}
	return c
}

// newOwner returns a caller with the key of the job's team that is never revoked.
func (j *jobRecord) newOwner(client *http.Client) *standin.Caller {
	return &standin.Caller{Host: queueHost, Prefix: j.prefix, Key: j.team + "-0", Client: client}
}

// submitJob submits a job, repeats this on random daemons while the outcome isn't final, and cancels some accepted jobs.
func (w *workload) submitJob(ctx context.Context, random *rand.Rand, team string, client *http.Client) {
	j := w.newJob(random, team)
	w.mu.Lock()
	w.jobs[j.id] = j
	w.submittedCount++
	w.mu.Unlock()
	for range submitAttempts {
		if w.submit(ctx, j, j.newCaller(random, client), random) {
			break
		}
		sleep(ctx, 200*time.Millisecond)
	}
	switch {
	case !j.accepted:
	case j.longRunning():
		if random.IntN(2) == 0 {
			w.cancelLater(ctx, j, client, rand.New(rand.NewPCG(random.Uint64(), 0)))
		}
	case random.Float64() < cancelProbability:
		sleep(ctx, time.Duration(random.IntN(800))*time.Millisecond)
		w.cancel(ctx, j, j.newOwner(client), random)
	}
}

// submit makes one attempt to submit a job and reports whether no further attempt is needed.
func (w *workload) submit(ctx context.Context, j *jobRecord, c *standin.Caller, random *rand.Rand) bool {
	d := w.cell.daemons[random.IntN(len(w.cell.daemons))]
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	sent := time.Now()
	r, err := c.Submit(callCtx, d.node.CallerAddress(), j.id, j.steps)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		j.outcomeUnknown = true
		return ctx.Err() != nil
	case r.Code == http.StatusOK:
		if at, revoked := w.cell.revokedAt(c.Key); revoked && sent.Sub(at) > revocationBound {
			w.violations = append(w.violations, fmt.Sprintf("job %s was accepted %s after its key was revoked", j.id, sent.Sub(at)))
		}
		if !j.accepted {
			w.acceptedCount++
			j.acceptedAt = time.Now()
		}
		j.accepted = true
		return true
	case r.Code == http.StatusGatewayTimeout:
		j.outcomeUnknown = true
	case r.Code == http.StatusServiceUnavailable || r.Code == http.StatusTooManyRequests:
		j.refused = true
	case r.Code == http.StatusUnauthorized:
		if _, revoked := w.cell.revokedAt(c.Key); !revoked {
			w.violations = append(w.violations, fmt.Sprintf("job %s: key %s was refused although it is valid", j.id, c.Key))
		}
	default:
		w.violations = append(w.violations, fmt.Sprintf("job %s: submit: unexpected status %d", j.id, r.Code))
		return true
	}
	return false
}

// cancel repeats the cancellation of a job until a daemon confirms it.
func (w *workload) cancel(ctx context.Context, j *jobRecord, c *standin.Caller, random *rand.Rand) {
	w.mu.Lock()
	j.cancelSent = true
	w.mu.Unlock()
	for range submitAttempts {
		d := w.cell.daemons[random.IntN(len(w.cell.daemons))]
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		r, err := c.Cancel(callCtx, d.node.CallerAddress(), j.id)
		cancel()
		if err == nil && r.Code == http.StatusOK {
			w.mu.Lock()
			j.cancelConfirmed = time.Now()
			w.mu.Unlock()
			return
		}
		if err == nil && r.Code == http.StatusGone {
			w.addViolation("job %s was accepted, but a cancellation reports it as unknown", j.id)
			return
		}
		if err != nil && !errors.Is(err, standin.ErrIncompleteReply) {
			w.addViolation("job %s: cancel: %v", j.id, err)
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
}
