package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/admission"
	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// admissionCopy is this daemon's copy of the leader's statement on admission.
type admissionCopy struct {
	mu         *sync.Mutex
	statement  admission.Statement
	computedAt time.Duration // at the latest, by the clock of package uptime; 0 without a statement
}

// set replaces the copy with the statement of a reply unless a later one is known. SentAt is when the call was sent.
func (c *admissionCopy) set(s admission.Statement, sentAt time.Duration) {
	computedAt := sentAt - max(s.Age, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if computedAt >= c.computedAt {
		c.statement, c.computedAt = s, computedAt
	}
}

func (c *admissionCopy) decide(now time.Duration, job *sched.Job, random float64) admission.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.statement.Forecasts) == 0 || !job.HasLastUsefulTime() {
		return admission.Verdict{}
	}
	return c.statement.Decide(now-c.computedAt, job.Team, job.Queue.ID, sched.LastUsefulTime(job), random)
}

// rejectLate returns a refusal for a new job that would be served too late. Jobs that are recorded or may be aren't refused: an earlier
// attempt of the caller may have recorded this one, so the store is read first.
func (g *Gateway) rejectLate(ctx context.Context, job *sched.Job) (Response, bool) {
	if !g.config.Admission {
		return Response{}, false
	}
	v := g.admission.decide(g.uptime(), job, rand.Float64())
	if !v.Rejected {
		return Response{}, false
	}
	item, err := g.get(ctx, coordinator.JobKey(job.ID))
	if err == nil {
		return g.duplicateSubmission(ctx, job, item.Value), true
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return Response{}, false
	}
	g.config.Metrics.GetOrCreateCounter(fmt.Sprintf("rosemaryspoke_admission_rejected_total{queue=%q}", string(job.Queue.ID))).Inc()
	return Response{Kind: Refused, RetryAfter: v.RetryAfter, Reason: fmt.Sprintf(
		"too late: team %s is beyond its weight, predicted wait %s, last useful time %s, age of the forecast %s, retry after %s",
		job.Team, v.Wait.Round(time.Millisecond), v.LastUseful.Round(time.Millisecond), v.Age.Round(time.Millisecond),
		v.RetryAfter.Round(time.Millisecond))}, true
}
