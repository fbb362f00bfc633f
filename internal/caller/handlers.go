package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/job"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// recordTimeout bounds the wait until a job is recorded if the submission sets no deadline.
	recordTimeout = 30 * time.Second
	// jobPollInterval is the interval at which a wait reads the job.
	jobPollInterval = 200 * time.Millisecond
)

// runRequest runs a synchronous request. The caller waits until the answer arrives or the deadline passes.
func (s *Server) runRequest(r *http.Request, spec api.Spec) (api.Answer, error) {
	q, err := s.admit(r, &spec)
	if err != nil {
		return api.Answer{}, err
	}
	if q.Kind != api.KindRequest {
		return api.Answer{}, api.NewProblem(api.CodeInvalid, "queue", "queue %q accepts %s work; submit it as a job", q.ID, q.Kind)
	}
	if spec.Request == "" {
		spec.Request = ident.RequestID(ident.Random("r"))
	}
	answer, problem := s.config.RunRequest(r.Context(), spec, q)
	if problem != nil {
		return api.Answer{}, problem
	}
	return answer, nil
}

// create records a durable job.
func (s *Server) create(r *http.Request, spec api.Spec) (api.Job, error) {
	q, err := s.admit(r, &spec)
	if err != nil {
		return api.Job{}, err
	}
	if q.Kind == api.KindRequest {
		return api.Job{}, api.NewProblem(api.CodeInvalid, "queue", "queue %q accepts synchronous requests; send it to /v1/requests", q.ID)
	}
	wait := recordTimeout
	if spec.Deadline > 0 {
		wait = spec.Deadline.Duration()
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	j, err := s.config.Jobs.Create(ctx, spec, job.Policy{Kind: q.Kind, Urgent: q.Urgent, Priority: q.Priority, Retries: q.Retries})
	return j, jobProblem(err)
}

// jobProblem maps an error of Jobs to a problem. The problem's outcome is not-run only if the job certainly won't run.
func jobProblem(err error) error {
	var p *api.Problem
	switch {
	case err == nil:
		return nil
	case errors.As(err, &p):
		return p
	case errors.Is(err, dispatch.ErrImpossible):
		return api.NewProblem(api.CodeImpossible, "demand", "%v", err)
	case errors.Is(err, queue.ErrFull):
		p = api.NewProblem(api.CodeOverloaded, "", "%v", err)
		p.RetryAfter = 1000
	case errors.Is(err, job.ErrNotFound):
		return api.NewProblem(api.CodeNotFound, "", "the job does not exist, or its owner is unreachable")
	case errors.Is(err, job.ErrNotRecorded):
		p = unavailableProblem("the job was not recorded before the deadline and won't run")
	case errors.Is(err, job.ErrUnknownOutcome):
		p = unavailableProblem(err.Error())
		p.Outcome = api.Unknown
	default:
		return err
	}
	return p
}

// jobHandler wraps a handler of calls about a job that may exist. It sets the outcome of every problem to unknown, because
// the refusal of such a call doesn't mean that the job did not run.
func jobHandler[Resp any](h func(r *http.Request) (Resp, error)) func(r *http.Request) (Resp, error) {
	return func(r *http.Request) (Resp, error) {
		answer, err := h(r)
		var p *api.Problem
		if errors.As(err, &p) {
			refused := *p
			refused.Outcome = api.Unknown
			err = &refused
		}
		return answer, err
	}
}

// authorizedJob returns the job in the request's path if the key of the request gives access to it.
func (s *Server) authorizedJob(r *http.Request) (api.Job, error) {
	id := ident.JobID(mux.Vars(r)["id"])
	if err := ident.Check("id", string(id)); err != nil {
		return api.Job{}, api.NewProblem(api.CodeInvalid, "id", "%v", err)
	}
	j, err := s.config.Jobs.Get(r.Context(), id)
	if err != nil {
		return j, jobProblem(err)
	}
	c := s.config.Bundle()
	if c == nil {
		return j, unavailableProblem("no configuration has been read yet")
	}
	if q, ok := c.Queue(j.Spec.Queue); ok && !q.Open && !s.config.BundleFresh() {
		return j, staleProblem()
	}
	return j, authorize(c, j.Spec.Team, j.Spec.Queue, bearerKey(r))
}

func (s *Server) get(r *http.Request) (api.Job, error) { return s.authorizedJob(r) }

// list returns the jobs of a team.
func (s *Server) list(r *http.Request) ([]api.Job, error) {
	c := s.config.Bundle()
	if c == nil {
		return nil, unavailableProblem("no configuration has been read yet")
	}
	team := ident.TeamID(r.URL.Query().Get("team"))
	if _, ok := c.Team(team); !ok {
		return nil, api.NewProblem(api.CodeInvalid, "team", "unknown team %q", team)
	}
	if !s.config.BundleFresh() {
		return nil, staleProblem()
	}
	if err := c.AuthorizeTeam(team, bearerKey(r)); err != nil {
		return nil, api.NewProblem(api.CodeUnauthorized, "", "the key isn't valid for team %q", team)
	}
	jobs, err := s.config.Jobs.List(r.Context(), team)
	if jobs == nil {
		jobs = []api.Job{}
	}
	return jobs, jobProblem(err)
}

// cancel cancels a job and returns its state afterwards.
func (s *Server) cancel(r *http.Request) (api.Job, error) {
	j, err := s.authorizedJob(r)
	if err != nil {
		return j, err
	}
	if err := s.config.Jobs.Cancel(r.Context(), j.ID, "cancelled by the caller"); err != nil {
		return j, jobProblem(err)
	}
	j, err = s.config.Jobs.Get(r.Context(), j.ID)
	return j, jobProblem(err)
}

// wait returns the job once it has ended, or its current state after the timeout.
func (s *Server) wait(r *http.Request) (api.Job, error) {
	timeout := maxJobWait
	if text := r.URL.Query().Get("timeout-ms"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 || n > maxJobWait.Milliseconds() {
			return api.Job{}, api.NewProblem(api.CodeInvalid, "timeout-ms", "%q must be a number from 0 to %d", text, maxJobWait.Milliseconds())
		}
		timeout = time.Duration(n) * time.Millisecond
	}
	j, err := s.authorizedJob(r)
	if err != nil {
		return j, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	for !j.Phase.Done() {
		select {
		case <-ctx.Done():
			return j, nil
		case <-time.After(jobPollInterval):
		}
		found, err := s.config.Jobs.Get(ctx, j.ID)
		if err == nil {
			j = found
		} else if ctx.Err() == nil && !errors.Is(err, job.ErrNotFound) {
			return j, jobProblem(err)
		}
	}
	return j, nil
}

// explain returns the explanation of the current state of a job.
func (s *Server) explain(r *http.Request) (api.Explanation, error) {
	j, err := s.authorizedJob(r)
	if err != nil {
		return api.Explanation{}, err
	}
	e, err := s.config.Jobs.Explain(r.Context(), j.ID)
	if err != nil {
		return e, jobProblem(err)
	}
	e.Job, e.Phase = j.ID, j.Phase
	return e, nil
}
