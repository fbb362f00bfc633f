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
	callTimeout = 3 * time.Second
	// submitTries is how often a caller hands the same job in.
	submitTries = 6
	callerPause = 250 * time.Millisecond // mean pause between two jobs of a caller
	cancelShare = 0.08
)

// jobRecord is what a caller knows of a job.
type jobRecord struct {
	id        ident.JobID
	team      string
	steps     []sched.Step
	accepted  bool
	unknown   bool // a try ended without a final answer, so that the job may have been accepted
	refused   bool // at least one try was refused as not run
	cancelled time.Time
	mayCancel bool // a cancellation was sent
}

// traffic is the callers of a run and what they saw.
type traffic struct {
	cell *cell

	mu     sync.Mutex
	jobs   map[ident.JobID]*jobRecord
	breaks []string
	served int // accepted jobs
	tried  int
}

func newTraffic(c *cell) *traffic { return &traffic{cell: c, jobs: map[ident.JobID]*jobRecord{}} }

// broke notes a broken promise.
func (t *traffic) broke(format string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks = append(t.breaks, fmt.Sprintf(format, a...))
}

// run lets callers hand in jobs until the context ends.
func (t *traffic) run(ctx context.Context, callers int, seed uint64) {
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(100+n)))
			team := []string{openTeam, openTeam, limitedTeam}[n%3]
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for ctx.Err() == nil {
				t.one(ctx, random, team, client)
				sleep(ctx, time.Duration(random.ExpFloat64()*float64(callerPause)))
			}
		})
	}
	group.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// caller returns a caller with a key of the team, which may have been taken away.
func (t *traffic) caller(random *rand.Rand, team string, client *http.Client) *standin.Caller {
	key := team + "-0"
	if team == openTeam {
		key = fmt.Sprintf("%s-%d", team, random.IntN(4))
	}
	return &standin.Caller{Host: queueHost, Prefix: queuePrefix, Key: key, Client: client}
}

// one hands in a job, again at other daemons while the outcome isn't known, and may cancel it.
func (t *traffic) one(ctx context.Context, random *rand.Rand, team string, client *http.Client) {
	j := &jobRecord{id: ident.JobID(fmt.Sprintf("%016x", random.Uint64())), team: team}
	j.steps = []sched.Step{{Count: 1 + random.IntN(5), Demand: demand, Estimate: (shortestWork + longestWork) / 2}}
	if random.IntN(2) == 0 {
		j.steps = append(j.steps, sched.Step{Count: 1 + random.IntN(3), Demand: demand, After: []int{0}, Estimate: longestWork / 2})
	}
	t.mu.Lock()
	t.jobs[j.id] = j
	t.tried++
	t.mu.Unlock()
	for range submitTries {
		if t.submit(ctx, j, t.caller(random, team, client), random) {
			break
		}
		sleep(ctx, 200*time.Millisecond)
	}
	if j.accepted && random.Float64() < cancelShare {
		sleep(ctx, time.Duration(random.IntN(800))*time.Millisecond)
		t.cancel(ctx, j, &standin.Caller{Host: queueHost, Prefix: queuePrefix, Key: team + "-0", Client: client}, random)
	}
}

// submit makes one try and reports whether the outcome is final.
func (t *traffic) submit(ctx context.Context, j *jobRecord, c *standin.Caller, random *rand.Rand) bool {
	d := t.cell.daemons[random.IntN(len(t.cell.daemons))]
	call, done := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer done()
	sent := time.Now()
	r, err := c.Submit(call, d.node.CallerAddress(), j.id, j.steps)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		j.unknown = true
		return ctx.Err() != nil
	case r.Code == http.StatusOK:
		if at, gone := t.cell.revokedAt(c.Key); gone && sent.Sub(at) > revocation {
			t.breaks = append(t.breaks, fmt.Sprintf("job %s was accepted %s after its key was taken away", j.id, sent.Sub(at)))
		}
		if !j.accepted {
			t.served++
		}
		j.accepted = true
		return true
	case r.Code == http.StatusGatewayTimeout:
		j.unknown = true
	case r.Code == http.StatusServiceUnavailable || r.Code == http.StatusTooManyRequests:
		j.refused = true
	case r.Code == http.StatusUnauthorized:
		if _, gone := t.cell.revokedAt(c.Key); !gone {
			t.breaks = append(t.breaks, fmt.Sprintf("job %s: key %s was refused and is in force", j.id, c.Key))
		}
	default:
		t.breaks = append(t.breaks, fmt.Sprintf("job %s: unexpected status %d", j.id, r.Code))
		return true
	}
	return false
}

// cancel cancels a job until that is confirmed.
func (t *traffic) cancel(ctx context.Context, j *jobRecord, c *standin.Caller, random *rand.Rand) {
	t.mu.Lock()
	j.mayCancel = true
	t.mu.Unlock()
	for range submitTries {
		d := t.cell.daemons[random.IntN(len(t.cell.daemons))]
		call, done := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		r, err := c.Cancel(call, d.node.CallerAddress(), j.id)
		done()
		if err == nil && r.Code == http.StatusOK {
			t.mu.Lock()
			j.cancelled = time.Now()
			t.mu.Unlock()
			return
		}
		if err == nil && r.Code == http.StatusGone {
			t.broke("job %s was accepted and is unknown to a cancellation", j.id)
			return
		}
		if err != nil && !errors.Is(err, standin.ErrIncompleteReply) {
			t.broke("job %s: cancel: %v", j.id, err)
			return
		}
		sleep(ctx, 200*time.Millisecond)
	}
}
