package request

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/claim"
	"github.com/rosemaryspoke/rosemaryspoke/internal/job"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Jobs records durable jobs and reads them on every daemon.
type Jobs struct {
	Create func(ctx context.Context, s api.Spec, p job.Policy) (api.Job, error)
	Get    func(ctx context.Context, id ident.JobID) (api.Job, error)
}

// jobReference is what the claim of a job's request id keeps as its answer.
type jobReference struct {
	Job ident.JobID `json:"job"`
}

// CreateJob records a job once per request id: a second submission, through any daemon, gets the first one's job.
// Without a request id every submission is a job of its own.
func (s *Service) CreateJob(ctx context.Context, spec api.Spec, p job.Policy) (api.Job, error) {
	if spec.Request == "" {
		return s.config.Jobs.Create(ctx, spec, p)
	}
	c := &heldRequest{service: s, spec: spec, queue: bundle.Queue{}}
	grant, err := c.acquireClaim(ctx)
	var held *claim.HeldError
	switch {
	case errors.As(err, &held):
		return s.earlierJob(ctx, c, held.Claim)
	case errors.Is(err, claim.ErrUncertain) && !spec.NonIdempotent:
		// An earlier submission can't be ruled out. Running idempotent work again does no harm, refusing it would.
		return s.config.Jobs.Create(ctx, spec, p)
	case errors.Is(err, claim.ErrUncertain):
		return api.Job{}, fmt.Errorf("%w: an earlier submission of the request can't be ruled out", job.ErrUnknownOutcome)
	case err != nil:
		p := api.NewProblem(api.CodeUnavailable, "request-id", "the request was not claimed: %v", err)
		p.RetryAfter = 500
		return api.Job{}, p
	}
	c.grant = &grant
	j, err := s.config.Jobs.Create(ctx, spec, p)
	if err != nil && !errors.Is(err, job.ErrUnknownOutcome) {
		c.releaseClaim()
		return j, err
	}
	// A record with an unknown outcome may exist, so its id is kept for the next submission too.
	if body, marshalErr := json.Marshal(jobReference{j.ID}); marshalErr == nil {
		c.completeClaim(body)
	}
	return j, err
}

// earlierJob waits until the first submission has recorded its job, and returns that job.
func (s *Service) earlierJob(ctx context.Context, c *heldRequest, held wire.Claim) (api.Job, error) {
	for held.State != wire.ClaimComplete {
		if !waitLookupInterval(ctx) {
			return api.Job{}, fmt.Errorf("%w: another submission of the request has not been recorded yet", job.ErrUnknownOutcome)
		}
		if found, ok, err := s.config.Claims.Lookup(ctx, c.claimKey()); err == nil && ok {
			held = found
		}
	}
	var r jobReference
	if err := json.Unmarshal(held.Answer, &r); err != nil || r.Job == "" {
		return api.Job{}, api.NewProblem(api.CodeConflict, "request-id", "the id belongs to a synchronous request")
	}
	j, err := s.config.Jobs.Get(ctx, r.Job)
	if err != nil {
		// The job was recorded and may have run, so the refusal to show it must not say not-run.
		return j, fmt.Errorf("%w: job %s of an earlier submission can't be read: %s", job.ErrUnknownOutcome, r.Job, err.Error())
	}
	return j, nil
}
