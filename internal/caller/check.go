package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// bearerKey returns the key in the bearer token of a request, or an empty string.
func bearerKey(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get(api.KeyHeader), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

// admit checks the key and the fields of a submission, sets defaults, and returns the queue. Submissions that need a key
// are accepted only while the configuration is confirmed as current, because the key may have been revoked.
func (s *Server) admit(r *http.Request, spec *api.Spec) (bundle.Queue, error) {
	c := s.config.Bundle()
	if c == nil {
		return bundle.Queue{}, unavailableProblem("no configuration has been read yet")
	}
	q, err := s.lookupQueue(c, spec)
	if err != nil {
		return q, err
	}
	if !q.Open && !s.awaitFresh(r.Context()) {
		return q, staleProblem()
	}
	if err := authorize(c, spec.Team, spec.Queue, bearerKey(r)); err != nil {
		return q, err
	}
	return q, checkSpec(spec, q)
}

const (
	// freshnessTimeout bounds the wait of a submission for a late confirmation of the configuration.
	freshnessTimeout      = time.Second
	freshnessPollInterval = 10 * time.Millisecond
)

// awaitFresh waits until the configuration is confirmed as current. It returns false after freshnessTimeout.
func (s *Server) awaitFresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	for !s.config.BundleFresh() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(freshnessPollInterval):
		}
	}
	return true
}

// staleProblem returns the refusal of work with a key while the configuration isn't confirmed as current.
func staleProblem() *api.Problem {
	p := api.NewProblem(api.CodeStale, "", "the configuration isn't confirmed as current, so keys are not accepted")
	p.RetryAfter = 1000
	return p
}

// unavailableProblem returns the refusal of a call that may be retried after a second.
func unavailableProblem(detail string) *api.Problem {
	p := api.NewProblem(api.CodeUnavailable, "", "%s", detail)
	p.RetryAfter = 1000
	return p
}

// lookupQueue checks that the team and the queue of a submission exist, and returns the queue.
func (s *Server) lookupQueue(c *bundle.Compiled, spec *api.Spec) (bundle.Queue, error) {
	if err := ident.Check("team", string(spec.Team)); err != nil {
		return bundle.Queue{}, api.NewProblem(api.CodeInvalid, "team", "%v", err)
	}
	if _, ok := c.Team(spec.Team); !ok {
		return bundle.Queue{}, api.NewProblem(api.CodeInvalid, "team", "unknown team %q", spec.Team)
	}
	q, ok := c.Queue(spec.Queue)
	if !ok {
		return bundle.Queue{}, api.NewProblem(api.CodeInvalid, "queue", "unknown queue %q", spec.Queue)
	}
	return q, nil
}

// authorize checks that the key is valid for the team and that the team may use the queue.
func authorize(c *bundle.Compiled, team ident.TeamID, queue ident.QueueID, key string) error {
	err := c.Authorize(team, queue, key)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bundle.ErrTeamNotAllowed):
		return api.NewProblem(api.CodeUnauthorized, "queue", "team %q may not use queue %q", team, queue)
	}
	return api.NewProblem(api.CodeUnauthorized, "", "the key isn't valid for team %q", team)
}

// checkSpec refuses fields that are missing or outside their range, so that later computations can't overflow.
func checkSpec(spec *api.Spec, q bundle.Queue) error {
	if spec.Request != "" {
		if err := ident.Check("request-id", string(spec.Request)); err != nil {
			return api.NewProblem(api.CodeInvalid, "request-id", "%v", err)
		}
	}
	if spec.NonIdempotent && spec.Request == "" {
		return api.NewProblem(api.CodeInvalid, "request-id", "required when non-idempotent is set, so that a resubmission is recognized")
	}
	maxTasks := api.MaxTasks
	if q.MaxTasks > 0 {
		maxTasks = q.MaxTasks
	}
	if q.Kind == api.KindRequest {
		maxTasks = 1
	}
	for _, f := range []struct {
		field          string
		value, maximum int64
	}{
		{"tasks", int64(spec.Tasks), int64(maxTasks)},
		{"priority", int64(spec.Priority), api.MaxPriority},
		{"run-time-ms", int64(spec.RunTime), api.MaxRunTime.Milliseconds()},
		{"deadline-ms", int64(spec.Deadline), api.MaxDeadline.Milliseconds()},
		{"payload", int64(len(spec.Payload)), api.MaxPayloadBytes},
	} {
		if f.value < 0 || f.value > f.maximum {
			return api.NewProblem(api.CodeInvalid, f.field, "%d is out of range, must be from 0 to %d", f.value, f.maximum)
		}
	}
	return checkDemand(spec, q)
}

// maxDemand bounds the demand of a task. It is far above the capacity of any host, and low enough that sums of demands
// don't overflow.
var maxDemand = resource.Vector{
	CPU: resource.Cores(1 << 16), Memory: resource.Gigabytes(1 << 20), GPUs: 1 << 12, Slots: 1 << 10, Connections: 1 << 16,
}

// checkDemand sets the minimum of one slot and one connection, and refuses a demand that is negative or too large.
func checkDemand(spec *api.Spec, q bundle.Queue) error {
	d := &spec.Demand
	if d.Negative() {
		return api.NewProblem(api.CodeInvalid, "demand", "%s: amounts must not be negative", d)
	}
	d.Slots, d.Connections = max(1, d.Slots), max(1, d.Connections)
	if !d.Fits(maxDemand) {
		return api.NewProblem(api.CodeInvalid, "demand", "%s exceeds the limit of %s", d, maxDemand)
	}
	if !q.MaxDemand.IsZero() && !d.Fits(q.MaxDemand.Max(resource.Vector{Slots: 1, Connections: 1})) {
		return api.NewProblem(api.CodeInvalid, "demand", "%s exceeds the queue's limit of %s", d, q.MaxDemand)
	}
	return nil
}
