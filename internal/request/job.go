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

// Jobs creates durable jobs and reads them, whichever daemon owns them.
type Jobs struct {
	Create func(ctx context.Context, s api.Spec, p job.Policy) (api.Job, error)
	Get    func(ctx context.Context, id ident.JobID) (api.Job, error)
}

// jobReference is stored as the answer of a claim whose request id belongs to a job.
type jobReference struct {
	Job ident.JobID `json:"job"`
}

// CreateJob records one job per request id: a later submission, through any daemon, returns the job of the first.
// Without a request id every submission creates a job.
func (s *Service) CreateJob(ctx context.Context, spec api.Spec, p job.Policy) (api.Job, error) {
	if spec.Request == "" {
		return s.config.Jobs.Create(ctx, spec, p)
	}
	for {
		j, err := s.createClaimed(ctx, spec, p)
		if !errors.Is(err, errClaimReleased) {
			return j, err
		}
	}
}

// errClaimReleased reports that the earlier submission of a job recorded none.
var errClaimReleased = errors.New("the claim of the earlier submission was released")

// createClaimed acquires the claim of a request id and records its job, or returns the job of the earlier submission that holds
// the claim.
func (s *Service) createClaimed(ctx context.Context, spec api.Spec, p job.Policy) (api.Job, error) {
	h := &heldRequest{service: s, spec: spec, queue: bundle.Queue{}}
	grant, err := h.acquireClaim(ctx)
	var held *claim.HeldError
	switch {
	case errors.As(err, &held):
		return s.earlierJob(ctx, h, held.Claim)
	case errors.Is(err, claim.ErrUncertain) && !spec.NonIdempotent:
		// An earlier submission may have been recorded. Idempotent work may run twice, so it is better to create the job
		// again than to refuse it.
		return s.config.Jobs.Create(ctx, spec, p)
	case errors.Is(err, claim.ErrUncertain):
		return api.Job{}, fmt.Errorf("%w: an earlier submission of the request may have been recorded", job.ErrUnknownOutcome)
	case err != nil:
		p := api.NewProblem(api.CodeUnavailable, "request-id", "the request was not claimed: %v", err)
		p.RetryAfter = 500
		return api.Job{}, p
	}
	h.grant = &grant
	j, err := s.config.Jobs.Create(ctx, spec, p)
	if err != nil && !errors.Is(err, job.ErrUnknownOutcome) {
		h.releaseClaim()
		return j, err
	}
	// If the outcome of the write is unknown, the job may exist, so the claim refers to it in this case too.
	if body, marshalErr := json.Marshal(jobReference{j.ID}); marshalErr == nil {
		h.completeClaim(body)
	}
	return j, err
}

// earlierJob waits until the earlier submission has recorded its job, and returns this job, or errClaimReleased if there is none.
func (s *Service) earlierJob(ctx context.Context, h *heldRequest, held wire.Claim) (api.Job, error) {
	for held.State != wire.ClaimComplete {
		if !waitLookupInterval(ctx) {
			return api.Job{}, fmt.Errorf("%w: another submission of the request has not been recorded yet", job.ErrUnknownOutcome)
		}
		found, ok, err := s.config.Claims.Lookup(ctx, h.claimKey())
		switch {
		case err != nil:
		case !ok || found.State == wire.ClaimReleased:
			return api.Job{}, errClaimReleased
		default:
			held = found
		}
	}
	var r jobReference
	if err := json.Unmarshal(held.Answer, &r); err != nil || r.Job == "" {
		return api.Job{}, api.NewProblem(api.CodeConflict, "request-id", "the request id belongs to a synchronous request")
	}
	j, err := s.config.Jobs.Get(ctx, r.Job)
	if err != nil {
		// The job was recorded and may have run, so the outcome of this error must not be not-run.
		return j, fmt.Errorf("%w: reading job %s of an earlier submission failed: %s", job.ErrUnknownOutcome, r.Job, err.Error())
	}
	return j, nil
}
