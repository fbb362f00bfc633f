// Package request serves synchronous requests: it claims non-idempotent ones, dispatches the work and holds the
// caller until the answer or the deadline.
package request

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/claim"
	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Error is the class of configurations that New refuses.
var Error = errs.Class("request")

const (
	// DefaultDeadline is how long a caller waits when neither the request nor the queue says so.
	DefaultDeadline = 30 * time.Second
	// lookupInterval is the pause between two questions for the answer of a claim that another daemon holds.
	lookupInterval = 100 * time.Millisecond
	// acquireTimeout bounds the time to get a claim. In a region with two daemons nothing can be claimed while one of them
	// leaves, which took more than two seconds on a busy machine.
	acquireTimeout = 5 * time.Second
	// claimTimeout bounds the calls that complete or release a claim.
	claimTimeout = 3 * time.Second
)

// Claims decides which daemon may run a non-idempotent request.
type Claims struct {
	Acquire  func(ctx context.Context, k wire.ClaimKey) (claim.Grant, error)
	Validate func(g claim.Grant) error
	Complete func(ctx context.Context, g claim.Grant, answer []byte) error
	Release  func(ctx context.Context, g claim.Grant) error
	Lookup   func(ctx context.Context, k wire.ClaimKey) (wire.Claim, bool, error)
}

// Dispatcher runs the work of requests.
type Dispatcher struct {
	Submit  func(dispatch.Work) error
	Abandon func(ctx context.Context, k dispatch.Key, reason string) api.Outcome
	Find    func(ctx context.Context, k wire.ClaimKey) (result *backend.Result, known, complete bool)
}

// Config holds the dependencies of a Service.
type Config struct {
	View       func() member.View
	Claims     Claims
	Dispatcher Dispatcher
	Jobs       Jobs
	Now        func() time.Time
	Log        logr.Logger
}

// Service holds the callers of this daemon.
type Service struct {
	config Config
	held   atomic.Int64
	wg     sync.WaitGroup
}

// New returns a service without callers.
func New(c Config) (*Service, error) {
	if c.View == nil || c.Claims.Acquire == nil || c.Dispatcher.Submit == nil {
		return nil, Error.New("View, Claims and Dispatcher must be set")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Service{config: c}, nil
}

// Held returns the number of callers that wait for an answer.
func (s *Service) Held() int { return int(s.held.Load()) }

// WaitForClaims blocks until every claim that is being completed or released has been settled.
func (s *Service) WaitForClaims() { s.wg.Wait() }

// Do runs one request. A problem always carries a true outcome: not-run or unknown.
func (s *Service) Do(ctx context.Context, spec api.Spec, q bundle.Queue) (api.Answer, *api.Problem) {
	s.held.Add(1)
	defer s.held.Add(-1)
	now := s.config.Now()
	deadline := now.Add(waitTimeout(spec, q))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		held := &heldRequest{service: s, spec: spec, queue: q, deadline: deadline, done: make(chan api.Answer, 1)}
		if spec.NonIdempotent {
			answer, problem, claimed := held.claimOrAnswer(ctx)
			if !claimed {
				return answer, problem
			}
		}
		answer, problem := held.run(ctx)
		if answer.Outcome != api.NotRun || !held.claimOutdated.Load() || !waitLookupInterval(ctx) {
			return answer, problem
		}
		// The holders of the claim changed before the start. The request did not run, so it is claimed again.
	}
}

func waitTimeout(spec api.Spec, q bundle.Queue) time.Duration {
	switch {
	case spec.Deadline > 0:
		return spec.Deadline.Duration()
	case q.Deadline > 0:
		return q.Deadline.Duration()
	}
	return DefaultDeadline
}

// heldRequest is one held request.
type heldRequest struct {
	service       *Service
	spec          api.Spec
	queue         bundle.Queue
	deadline      time.Time
	grant         *claim.Grant
	done          chan api.Answer
	claimOutdated atomic.Bool // the grant no longer held right before the start
}

func (c *heldRequest) claimKey() wire.ClaimKey {
	return wire.ClaimKey{Team: c.spec.Team, Request: c.spec.Request}
}

// run dispatches the work and waits for its end.
func (c *heldRequest) run(ctx context.Context) (api.Answer, *api.Problem) {
	w := c.work()
	if err := c.service.config.Dispatcher.Submit(w); err != nil {
		c.releaseClaim()
		return api.Answer{}, submitProblem(err)
	}
	select {
	case a := <-c.done:
		return a, nil
	case <-ctx.Done():
	}
	// The caller's context is over, so the stop runs under its own bound.
	outcome := c.service.config.Dispatcher.Abandon(context.WithoutCancel(ctx),
		dispatch.Key{Job: w.Task.Job, Index: 0}, "the caller's deadline passed")
	select {
	case a := <-c.done:
		return a, nil // The end came while the attempt was being abandoned.
	default:
	}
	return c.answer(outcome, "the deadline passed before the answer came"), nil
}

func (c *heldRequest) work() dispatch.Work {
	w := dispatch.Work{
		Task: backend.Task{
			Job: ident.JobID(ident.Random("req")), Team: c.spec.Team, Queue: c.spec.Queue, Request: c.spec.Request,
			Demand: c.spec.Demand, NonIdempotent: c.spec.NonIdempotent, Priority: c.queue.Priority + c.spec.Priority,
			Payload: c.spec.Payload, RunTime: backend.Millis(c.spec.RunTime),
		},
		Kind: api.KindRequest, Urgent: c.queue.Urgent, Deadline: c.deadline, Retries: c.queue.Retries,
		OnDone: c.onDone,
	}
	if c.grant != nil {
		w.Validate = func() error {
			err := c.service.config.Claims.Validate(*c.grant)
			c.claimOutdated.Store(err != nil)
			return err
		}
	}
	return w
}

func (c *heldRequest) answer(o api.Outcome, reason string) api.Answer {
	return api.Answer{Outcome: o, Request: c.spec.Request, Team: c.spec.Team, Reason: reason}
}

// onDone takes the end of the work. The claim is completed before the caller is answered, so that a
// resubmission through another daemon never finds less than the caller already has.
func (c *heldRequest) onDone(f dispatch.Completion, acknowledge func()) {
	a := c.answer(f.Outcome, f.Reason)
	a.Attempt, a.Host, a.Waited = f.Attempt, f.Host, api.Millis(f.Waited/time.Millisecond)
	if f.Outcome == api.Answered {
		a.Payload, a.Length, a.Checksum = f.Result.Answer, f.Result.Length, f.Result.Checksum
	}
	if c.grant == nil {
		c.done <- a
		acknowledge()
		return
	}
	c.service.wg.Go(func() {
		if f.Outcome == api.NotRun {
			c.releaseClaim()
		} else {
			c.completeWithAnswer(a)
		}
		c.done <- a
		acknowledge()
	})
}

func (c *heldRequest) completeWithAnswer(a api.Answer) {
	body, err := json.Marshal(a)
	if err != nil {
		c.service.config.Log.Error(err, "answer can't be encoded", "team", c.spec.Team, "request", c.spec.Request)
		return
	}
	c.completeClaim(body)
}

func (c *heldRequest) completeClaim(body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := c.service.config.Claims.Complete(ctx, *c.grant, body); err != nil {
		c.service.config.Log.Info("claim was not completed; a resubmission gets the outcome unknown",
			"team", c.spec.Team, "request", c.spec.Request, "error", err.Error())
	}
}

func (c *heldRequest) releaseClaim() {
	if c.grant == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := c.service.config.Claims.Release(ctx, *c.grant); err != nil {
		c.service.config.Log.Info("claim was not released; it ends with its retention",
			"team", c.spec.Team, "request", c.spec.Request, "error", err.Error())
	}
}

// submitProblem maps an error of Submit to a problem; the work did not run.
func submitProblem(err error) *api.Problem {
	switch {
	case errors.Is(err, dispatch.ErrImpossible):
		return api.NewProblem(api.CodeImpossible, "demand", "%v", err)
	case errors.Is(err, queue.ErrFull), errors.Is(err, queue.ErrTooLate):
		p := api.NewProblem(api.CodeOverloaded, "", "%v", err)
		p.RetryAfter = 1000
		return p
	}
	return api.NewProblem(api.CodeUnavailable, "", "%v", err)
}

// claimOrAnswer claims a non-idempotent request, or answers from the claim that exists already. When that one is released
// because its submission did not run, this submission takes its place.
func (c *heldRequest) claimOrAnswer(ctx context.Context) (api.Answer, *api.Problem, bool) {
	for {
		grant, err := c.acquireClaim(ctx)
		var held *claim.HeldError
		switch {
		case err == nil:
			c.grant = &grant
			return api.Answer{}, nil, true
		case errors.As(err, &held):
			if answer, released := c.awaitEarlierAnswer(ctx, held.Claim); !released {
				return answer, nil, false
			}
			continue
		case errors.Is(err, claim.ErrUncertain):
			return c.recoverAnswer(ctx), nil, false
		}
		p := api.NewProblem(api.CodeUnavailable, "request-id", "the request was not claimed: %v", err)
		p.RetryAfter = 500
		return api.Answer{}, p, false
	}
}

// acquireClaim asks the holders, and asks again for a short time while they move to another view or votes are split.
func (c *heldRequest) acquireClaim(ctx context.Context) (claim.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for {
		grant, err := c.service.config.Claims.Acquire(ctx, c.claimKey())
		if !errors.Is(err, claim.ErrUnavailable) && !errors.Is(err, claim.ErrSplitVote) {
			return grant, err
		}
		select {
		case <-ctx.Done():
			return grant, err
		case <-time.After(lookupInterval/2 + rand.N(lookupInterval)):
		}
	}
}

// awaitEarlierAnswer waits for the first submission's answer, or until its claim is released because it did not run.
func (c *heldRequest) awaitEarlierAnswer(ctx context.Context, held wire.Claim) (answer api.Answer, released bool) {
	for {
		if held.State == wire.ClaimComplete {
			var a api.Answer
			if err := json.Unmarshal(held.Answer, &a); err != nil {
				return c.answer(api.Unknown, "the stored answer can't be decoded"), false
			}
			if a.Outcome == "" { // The claim keeps the reference of a job.
				return c.answer(api.NotRun, "the id belongs to a job"), false
			}
			return a, false
		}
		if !c.service.config.View().Has(held.Claimer, held.Incarnation) {
			if a := c.recoverAnswer(ctx); a.Outcome != "" {
				return a, false
			}
		}
		if !waitLookupInterval(ctx) {
			return c.answer(api.Unknown, "another submission of the request has not been answered yet"), false
		}
		found, ok, err := c.service.config.Claims.Lookup(ctx, c.claimKey())
		switch {
		case err != nil:
		case !ok || found.State == wire.ClaimReleased:
			return api.Answer{}, true
		default:
			held = found
		}
	}
}

// waitLookupInterval waits before the next question; it returns false when the context ended first.
func waitLookupInterval(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(lookupInterval):
		return true
	}
}

// recoverAnswer looks for the run of a request whose claimer has died. It returns no outcome while the run goes on.
func (c *heldRequest) recoverAnswer(ctx context.Context) api.Answer {
	for {
		result, known, complete := c.service.config.Dispatcher.Find(ctx, c.claimKey())
		switch {
		case result != nil:
			return c.answerFromResult(*result)
		case !known && complete:
			return c.answer(api.Unknown, "the daemon that held the request died and no backend server knows its run")
		}
		if !waitLookupInterval(ctx) {
			return c.answer(api.Unknown, "the run of an earlier submission can't be ruled out")
		}
	}
}

func (c *heldRequest) answerFromResult(r backend.Result) api.Answer {
	if r.Exit != backend.ExitSucceeded {
		return c.answer(dispatch.OutcomeOf(r.Exit), fmt.Sprintf("the attempt ended as %s: %s", r.Exit, r.Message))
	}
	a := c.answer(api.Answered, "")
	a.Attempt, a.Payload, a.Length, a.Checksum = r.Attempt, r.Answer, r.Length, r.Checksum
	return a
}
