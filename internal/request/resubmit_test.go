package request

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/claim"
	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/job"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// newServiceWithClaim returns a service in which an earlier submission of every request has completed its claim with the
// answer.
func newServiceWithClaim(t *testing.T, answer string, get error) *Service {
	t.Helper()
	s, err := New(Config{
		View: func() member.View { return member.View{} },
		Claims: Claims{Acquire: func(context.Context, wire.ClaimKey) (claim.Grant, error) {
			return claim.Grant{}, &claim.HeldError{Claim: wire.Claim{State: wire.ClaimComplete, Answer: []byte(answer)}}
		}},
		Dispatcher: Dispatcher{Submit: func(dispatch.Work) error { return errors.New("Submit must not be called") }},
		Jobs: Jobs{
			Create: func(context.Context, api.Spec, job.Policy) (api.Job, error) {
				return api.Job{}, errors.New("Create must not be called")
			},
			Get: func(_ context.Context, id ident.JobID) (api.Job, error) { return api.Job{ID: id}, get },
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against reporting a recorded job as not run when a resubmission can't read it.
func TestResubmittedJob(t *testing.T) {
	spec := api.Spec{Team: "a", Request: "r-1"}
	for name, c := range map[string]struct{ get, want error }{
		"found":       {nil, nil},
		"not found":   {job.ErrNotFound, job.ErrUnknownOutcome},
		"unreachable": {api.NewProblem(api.CodeUnavailable, "", "x"), job.ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			j, err := newServiceWithClaim(t, `{"job":"job-1"}`, c.get).CreateJob(t.Context(), spec, job.Policy{})
			var p *api.Problem
			if j.ID != "job-1" || !errors.Is(err, c.want) || errors.As(err, &p) {
				t.Errorf("got job %q, error %v", j.ID, err)
			}
		})
	}
}

// Guards against an answer without an outcome for a request whose request id belongs to a job.
func TestRequestWithIDOfJob(t *testing.T) {
	spec := api.Spec{Team: "a", Request: "r-1", NonIdempotent: true}
	a, p := newServiceWithClaim(t, `{"job":"job-1"}`, nil).Do(t.Context(), spec, bundle.Queue{})
	if p != nil || a.Outcome != api.NotRun {
		t.Errorf("got %+v, %v", a, p)
	}
}

// Guards against a resubmission that waits for its deadline, with an unknown outcome, after the earlier one was refused and
// released its claim.
func TestResubmittedJobAfterReleasedClaim(t *testing.T) {
	for name, c := range map[string]struct {
		found wire.Claim
		known bool
	}{
		"no claim":       {wire.Claim{}, false},
		"released claim": {wire.Claim{State: wire.ClaimReleased}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServiceWithClaim(t, "", nil)
				claims := &s.config.Claims
				acquired, completed := 0, 0
				claims.Acquire = func(context.Context, wire.ClaimKey) (claim.Grant, error) {
					if acquired++; acquired == 1 {
						return claim.Grant{}, &claim.HeldError{Claim: wire.Claim{}}
					}
					return claim.Grant{}, nil
				}
				claims.Lookup = func(context.Context, wire.ClaimKey) (wire.Claim, bool, error) { return c.found, c.known, nil }
				claims.Complete = func(context.Context, claim.Grant, []byte) error { completed++; return nil }
				created := 0
				s.config.Jobs.Create = func(context.Context, api.Spec, job.Policy) (api.Job, error) {
					created++
					return api.Job{ID: "job-2"}, nil
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				j, err := s.CreateJob(ctx, api.Spec{Team: "a", Request: "r-1"}, job.Policy{})
				s.WaitForClaims()
				if err != nil || j.ID != "job-2" || created != 1 || completed != 1 {
					t.Errorf("got job %q, error %v, created %d, completed %d", j.ID, err, created, completed)
				}
			})
		})
	}
}
