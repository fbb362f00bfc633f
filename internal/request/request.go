// Package request serves synchronous requests. It claims non-idempotent requests, dispatches the work and holds the
// caller until the answer arrives or the deadline passes.
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

// Error is the class of the errors that New returns for an invalid Config.
var Error = errs.Class("request")

const (
	// DefaultDeadline is the longest wait of a caller if neither the request nor the queue sets a deadline.
	DefaultDeadline = 30 * time.Second
	// lookupInterval is the interval between two lookups of a claim that another submission holds.
	lookupInterval = 100 * time.Millisecond
	// acquireTimeout bounds the time to acquire a claim. In a region with two daemons no claim can be acquired while one of
	// them leaves, which took more than two seconds on a busy machine.
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

// Dispatcher runs requests on backend servers and finds their attempts.
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

// Service runs the synchronous requests of this daemon's callers.
type Service struct {
	config Config
	held   atomic.Int64
	wg     sync.WaitGroup
}

// New checks the configuration and returns a service.
func New(c Config) (*Service, error) {
	if c.View == nil || c.Claims.Acquire == nil || c.Dispatcher.Submit == nil {
		return nil, Error.New("configuration fields View, Claims.Acquire and Dispatcher.Submit must be set")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Service{config: c}, nil
}

// Held returns the number of callers that wait for an answer.
func (s *Service) Held() int { return int(s.held.Load()) }

// WaitForClaims waits until the claims of all ended requests have been completed or released.
func (s *Service) WaitForClaims() { s.wg.Wait() }

// Do runs one request. A problem has the outcome not-run only if the request certainly did not run, and otherwise unknown.
func (s *Service) Do(ctx context.Context, spec api.Spec, q bundle.Queue) (api.Answer, *api.Problem) {
	s.held.Add(1)
	defer s.held.Add(-1)
	now := s.config.Now()
	deadline := now.Add(waitTimeout(spec, q))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		request := &heldRequest{service: s, spec: spec, queue: q, deadline: deadline, done: make(chan api.Answer, 1)}
		if spec.NonIdempotent {
			answer, problem, claimed := request.claimOrAnswer(ctx)
			if !claimed {
				return answer, problem
			}
		}
		answer, problem := request.run(ctx)
		if answer.Outcome != api.NotRun || !request.claimOutdated.Load() || !waitLookupInterval(ctx) {
			return answer, problem
		}
		// The claim was no longer valid right before the start, because its holders changed. The request did not run, so
		// it is claimed again.
	}
}

// waitTimeout returns how long a caller waits: the deadline of the request, of the queue, or DefaultDeadline.
func waitTimeout(spec api.Spec, q bundle.Queue) time.Duration {
	switch {
	case spec.Deadline > 0:
		return spec.Deadline.Duration()
	case q.Deadline > 0:
		return q.Deadline.Duration()
	}
	return DefaultDeadline
}

// heldRequest is a request whose caller waits for the answer.
type heldRequest struct {
	service       *Service
	spec          api.Spec
	queue         bundle.Queue
	deadline      time.Time
	grant         *claim.Grant // nil for an idempotent request
	done          chan api.Answer
	claimOutdated atomic.Bool // the grant was no longer valid right before the start
}

func (h *heldRequest) claimKey() wire.ClaimKey {
	return wire.ClaimKey{Team: h.spec.Team, Request: h.spec.Request}
}

// run dispatches the request and waits until it ends. It abandons the request when the deadline passes.
func (h *heldRequest) run(ctx context.Context) (api.Answer, *api.Problem) {
	w := h.work()
	if err := h.service.config.Dispatcher.Submit(w); err != nil {
		h.releaseClaim()
		return api.Answer{}, submitProblem(err)
	}
	select {
	case a := <-h.done:
		return a, nil
	case <-ctx.Done():
	}
	// The caller's context has ended, so Abandon gets one that doesn't end with it; Abandon has its own timeout.
	outcome := h.service.config.Dispatcher.Abandon(context.WithoutCancel(ctx),
		dispatch.Key{Job: w.Task.Job, Index: 0}, "the caller's deadline passed")
	select {
	case a := <-h.done:
		return a, nil // The request ended while it was being abandoned.
	default:
	}
	return h.answer(outcome, "the deadline passed before the answer arrived"), nil
}

// work returns the dispatcher's work for the request. With a claim, the claim is validated right before each start.
func (h *heldRequest) work() dispatch.Work {
	w := dispatch.Work{
		Task: backend.Task{
			Job: ident.JobID(ident.Random("req")), Team: h.spec.Team, Queue: h.spec.Queue, Request: h.spec.Request,
			Demand: h.spec.Demand, NonIdempotent: h.spec.NonIdempotent, Priority: h.queue.Priority + h.spec.Priority,
			Payload: h.spec.Payload, RunTime: backend.Millis(h.spec.RunTime),
		},
		Kind: api.KindRequest, Urgent: h.queue.Urgent, Deadline: h.deadline, Retries: h.queue.Retries,
		OnDone: h.onDone,
	}
	if h.grant != nil {
		w.Validate = func() error {
			err := h.service.config.Claims.Validate(*h.grant)
			h.claimOutdated.Store(err != nil)
			return err
		}
	}
	return w
}

// answer returns an answer without a result.
func (h *heldRequest) answer(o api.Outcome, reason string) api.Answer {
	return api.Answer{Outcome: o, Request: h.spec.Request, Team: h.spec.Team, Reason: reason}
}

// onDone handles the end of the work. The claim is completed before the caller is answered, so that a resubmission
// through another daemon never finds less than the caller already has.
func (h *heldRequest) onDone(completion dispatch.Completion, acknowledge func()) {
	a := h.answer(completion.Outcome, completion.Reason)
	a.Attempt, a.Host, a.Waited = completion.Attempt, completion.Host, api.Millis(completion.Waited/time.Millisecond)
	if completion.Outcome == api.Answered {
		a.Payload, a.Length, a.Checksum = completion.Result.Answer, completion.Result.Length, completion.Result.Checksum
	}
	if h.grant == nil {
		h.done <- a
		acknowledge()
		return
	}
	h.service.wg.Go(func() {
		if completion.Outcome == api.NotRun {
			h.releaseClaim()
		} else {
			h.completeWithAnswer(a)
		}
		h.done <- a
		acknowledge()
	})
}

// completeWithAnswer completes the claim with the answer of a request that ran or may have run.
func (h *heldRequest) completeWithAnswer(a api.Answer) {
	body, err := json.Marshal(a)
	if err != nil {
		h.service.config.Log.Error(err, "failed to encode the answer for its claim", "team", h.spec.Team, "request", h.spec.Request)
		return
	}
	h.completeClaim(body)
}

// completeClaim completes the claim with an encoded answer or job reference.
func (h *heldRequest) completeClaim(body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := h.service.config.Claims.Complete(ctx, *h.grant, body); err != nil {
		h.service.config.Log.Info("failed to complete the claim; a resubmission gets the outcome unknown",
			"team", h.spec.Team, "request", h.spec.Request, "error", err.Error())
	}
}

// releaseClaim releases the claim of a request that did not run.
func (h *heldRequest) releaseClaim() {
	if h.grant == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := h.service.config.Claims.Release(ctx, *h.grant); err != nil {
		h.service.config.Log.Info("failed to release the claim; it expires after its retention",
			"team", h.spec.Team, "request", h.spec.Request, "error", err.Error())
	}
}

// submitProblem maps an error of Submit to a problem with the outcome not-run.
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

// claimOrAnswer claims a non-idempotent request, or returns the answer of the submission that holds the claim. If that
// claim is released because its submission did not run, this submission acquires it.
func (h *heldRequest) claimOrAnswer(ctx context.Context) (api.Answer, *api.Problem, bool) {
	for {
		grant, err := h.acquireClaim(ctx)
		var held *claim.HeldError
		switch {
		case err == nil:
			h.grant = &grant
			return api.Answer{}, nil, true
		case errors.As(err, &held):
			if answer, released := h.awaitEarlierAnswer(ctx, held.Claim); !released {
				return answer, nil, false
			}
			continue
		case errors.Is(err, claim.ErrUncertain):
			return h.recoverAnswer(ctx), nil, false
		}
		p := api.NewProblem(api.CodeUnavailable, "request-id", "the request was not claimed: %v", err)
		p.RetryAfter = 500
		return api.Answer{}, p, false
	}
}

// acquireClaim acquires the claim. Until acquireTimeout it retries while too few holders can vote, as during a change of
// the view, and after a split vote.
func (h *heldRequest) acquireClaim(ctx context.Context) (claim.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for {
		grant, err := h.service.config.Claims.Acquire(ctx, h.claimKey())
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

// awaitEarlierAnswer waits for the answer of the earlier submission, or until its claim is released because it did not
// run.
func (h *heldRequest) awaitEarlierAnswer(ctx context.Context, held wire.Claim) (answer api.Answer, released bool) {
	for {
		if held.State == wire.ClaimComplete {
			var a api.Answer
			if err := json.Unmarshal(held.Answer, &a); err != nil {
				return h.answer(api.Unknown, "the stored answer can't be decoded"), false
			}
			if a.Outcome == "" { // The claim contains a jobReference.
				return h.answer(api.NotRun, "the request id belongs to a job"), false
			}
			return a, false
		}
		if !h.service.config.View().HasIncarnation(held.Claimer, held.Incarnation) {
			if a := h.recoverAnswer(ctx); a.Outcome != "" {
				return a, false
			}
		}
		if !waitLookupInterval(ctx) {
			return h.answer(api.Unknown, "another submission of the request has not been answered yet"), false
		}
		found, ok, err := h.service.config.Claims.Lookup(ctx, h.claimKey())
		switch {
		case err != nil:
		case !ok || found.State == wire.ClaimReleased:
			return api.Answer{}, true
		default:
			held = found
		}
	}
}

// waitLookupInterval waits for one lookup interval. It returns false if the context ends first.
func waitLookupInterval(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(lookupInterval):
		return true
	}
}

// recoverAnswer searches the backend servers for the attempt of a request whose claimer was lost, until the attempt has
// finished, no backend server knows it, or the context ends.
func (h *heldRequest) recoverAnswer(ctx context.Context) api.Answer {
	for {
		result, known, complete := h.service.config.Dispatcher.Find(ctx, h.claimKey())
		switch {
		case result != nil:
			return h.answerFromResult(*result)
		case !known && complete:
			return h.answer(api.Unknown, "the daemon that held the request was lost and no backend server knows its attempt")
		}
		if !waitLookupInterval(ctx) {
			return h.answer(api.Unknown, "an earlier submission of the request may have run")
		}
	}
}

// answerFromResult returns the answer for the result of an attempt that recoverAnswer found.
func (h *heldRequest) answerFromResult(r backend.Result) api.Answer {
	if r.Exit != backend.ExitSucceeded {
		return h.answer(dispatch.OutcomeOf(r.Exit), fmt.Sprintf("the attempt ended as %s: %s", r.Exit, r.Message))
	}
	a := h.answer(api.Answered, "")
	a.Attempt, a.Payload, a.Length, a.Checksum = r.Attempt, r.Answer, r.Length, r.Checksum
	return a
}
