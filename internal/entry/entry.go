// Package entry answers callers: it authorizes requests, records jobs in the store and reports their state. It works at
// every daemon, whether or not a leader is at work.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// minStoreSilence and maxStoreAway bound the silence of the store after which requests that need it are refused at once.
	minStoreSilence = 1300 * time.Millisecond
	maxStoreSilence = 2500 * time.Millisecond
	// retryDelay is the pause before a call to the store is repeated.
	retryDelay = 60 * time.Millisecond
	// responseMargin is kept of a request's time for the way of the answer.
	responseMargin = 60 * time.Millisecond
	// unavailableRetryAfter is when a caller should return while the store is away.
	unavailableRetryAfter = time.Second
	// maxPendingCountAge is the age up to which a known count of waiting jobs is given while no leader answers.
	maxPendingCountAge = 2 * time.Second
)

// Kind is the kind of an answer.
type Kind string

// Kinds of answers.
const (
	Accepted     Kind = "accepted"
	Cancelled    Kind = "cancelled"
	Found        Kind = "found"
	Counted      Kind = "counted"
	NoQueue      Kind = "no-queue"
	NoJob        Kind = "no-job"
	Unauthorized Kind = "unauthorized"
	Refused      Kind = "refused" // not run, and never will be
	Unknown      Kind = "unknown" // may have taken effect
	Invalid      Kind = "invalid"
)

// Response is the answer to a request.
type Response struct {
	Kind       Kind
	State      sched.State   // of a found job
	Count      int           // waiting jobs of a queue
	RetryAfter time.Duration // for a refusal
	Reason     string
}

// Request is what all requests have.
type Request struct {
	Host string
	Path string
	Key  string // empty where the caller sent none
}

// Config has the dependencies of a Gate.
type Config struct {
	Store        platform.TransactStore
	StoreTimeout *platform.Patience // how long the store takes to answer
	Policy       *policy.Watcher
	Coordinator  *coordinator.Coordinator
	// MaxConfigurationAge is the age of the configuration beyond which keys count as unconfirmed.
	MaxConfigurationAge time.Duration
	FailClosed          bool // refuse requests whose key isn't confirmed
	Log                 logr.Logger
	Metrics             *metrics.Set
}

// Gateway answers callers.
type Gateway struct {
	config  Config
	now     func() time.Time
	pending pendingCache
}

// New returns a gate.
func New(c Config) *Gateway {
	if c.StoreTimeout == nil {
		c.StoreTimeout = platform.NewPatience()
	}
	return &Gateway{config: c, now: time.Now, pending: newPendingCache()}
}

// authorization is a request that may go on.
type authorization struct {
	route policy.Route
	rest  string // of the path, behind the route's prefix
	team  ident.TeamID
}

// authorize finds the route of a request and checks its key.
func (g *Gateway) authorize(r Request) (authorization, Response, bool) {
	c := g.config.Policy.Current()
	if c.Policy == nil {
		return authorization{}, Response{Kind: Refused, RetryAfter: unavailableRetryAfter, Reason: "no configuration yet"}, false
	}
	route, rest, ok := c.Policy.Match(r.Host, r.Path)
	if !ok {
		return authorization{}, Response{Kind: NoQueue, Reason: "no queue at this host and path"}, false
	}
	a := authorization{route: route, rest: rest}
	if route.Public {
		return a, Response{}, true
	}
	if g.config.FailClosed && !c.Fresh(g.now(), g.config.MaxConfigurationAge) {
		age := g.now().Sub(c.ConfirmedAt)
		return a, Response{Kind: Refused, RetryAfter: unavailableRetryAfter, Reason: "keys not confirmed for " + age.String()}, false
	}
	if a.team, ok = c.Policy.Keys[r.Key]; !ok {
		return a, Response{Kind: Unauthorized, Reason: "unknown key"}, false
	}
	return a, Response{}, true
}

// MaxBodyBytes returns the most bytes of a request body, or 0 where the configuration sets no limit.
func (g *Gateway) MaxBodyBytes() int64 {
	if p := g.config.Policy.Current().Policy; p != nil {
		return p.MaxBodyBytes
	}
	return 0
}

// observe logs and counts an answer.
func (g *Gateway) observe(operation string, id ident.JobID, started time.Time, a Response) Response {
	took := g.now().Sub(started)
	name := fmt.Sprintf(`rosemaryspoke_requests_total{operation=%q,answer=%q}`, operation, string(a.Kind))
	g.config.Metrics.GetOrCreateCounter(name).Inc()
	g.config.Metrics.GetOrCreateHistogram(fmt.Sprintf(`rosemaryspoke_request_seconds{operation=%q}`, operation)).Update(took.Seconds())
	log := g.config.Log
	if a.Kind == Found || a.Kind == Counted {
		log = log.V(1)
	}
	c := g.config.Policy.Current()
	version := uint64(0)
	if c.Policy != nil {
		version = uint64(c.Policy.Version)
	}
	log.Info(operation, "job", string(id), "answer", string(a.Kind), "reason", a.Reason, "state", string(a.State),
		"took", took.String(), "version", version, "version-age", g.now().Sub(c.ConfirmedAt).String())
	return a
}

// storeUnreachable reports whether the store has been silent for so long that a call is pointless.
func (g *Gateway) storeUnreachable() (time.Duration, bool) {
	age := g.now().Sub(g.config.Coordinator.LastStoreContact())
	return age, age > g.config.StoreTimeout.Limit(minStoreSilence, maxStoreSilence)
}

// Submit records a job. Repeated submissions of an id are one job.
func (g *Gateway) Submit(ctx context.Context, r Request, build func(id ident.JobID) (*sched.Job, error)) Response {
	started := g.now()
	a, refused, ok := g.authorize(r)
	id := ident.JobID(a.rest)
	if !ok {
		return g.observe("submit", id, started, refused)
	}
	if !ValidJobID(a.rest) {
		return g.observe("submit", id, started, Response{Kind: Invalid, Reason: "id: must be 16 hexadecimal digits"})
	}
	job, err := build(id)
	if err != nil {
		return g.observe("submit", id, started, Response{Kind: Invalid, Reason: err.Error()})
	}
	job.ID, job.Team, job.Queue, job.Accepted = id, a.team, a.route.Queue, g.now()
	return g.observe("submit", id, started, g.recordJob(ctx, job))
}

// ValidJobID reports whether a caller's id has the right form.
func ValidJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

const jobIDLength = 16

// recordJob writes a job that must not exist, until the outcome is known or the request's time is over.
func (g *Gateway) recordJob(ctx context.Context, job *sched.Job) Response {
	value, err := json.Marshal(job)
	if err != nil {
		return Response{Kind: Invalid, Reason: "encode: " + err.Error()}
	}
	key := coordinator.JobKey(job.ID)
	tx := platform.Transaction{
		Expect: []platform.Expectation{{Key: key}}, Writes: []platform.Write{{Key: key, Value: value}},
	}
	outcomeUnknown := false // an earlier try may take effect
	for {
		err := g.transact(ctx, tx)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			go g.reportJob(ctx, job)
			return Response{Kind: Accepted}
		case errors.As(err, &conflict):
			return g.duplicateSubmission(ctx, job, conflict)
		}
		outcomeUnknown = outcomeUnknown || !errors.Is(err, platform.ErrUnavailable)
		// Waiting on is pointless while the store is away; the caller's next try settles what is unknown.
		_, unreachable := g.storeUnreachable()
		if !unreachable && g.waitRetry(ctx) {
			continue
		}
		if outcomeUnknown {
			return Response{Kind: Unknown, Reason: err.Error()}
		}
		return Response{Kind: Refused, RetryAfter: unavailableRetryAfter, Reason: err.Error()}
	}
}

// waitRetry waits before the next try and reports whether there is time for it.
func (g *Gateway) waitRetry(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	if !ok || deadline.Sub(g.now()) < retryDelay+responseMargin {
		return false
	}
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reportJob tells the leader of a job. It goes on when the caller's request has ended.
func (g *Gateway) reportJob(ctx context.Context, job *sched.Job) {
	g.config.Coordinator.ReportJob(context.WithoutCancel(ctx), job)
}

// duplicateSubmission answers a submission of an id that the store has.
func (g *Gateway) duplicateSubmission(ctx context.Context, job *sched.Job, conflict *platform.ConflictError) Response {
	for _, it := range conflict.Items {
		var recorded sched.Job
		if err := json.Unmarshal(it.Value, &recorded); err != nil {
			return Response{Kind: Unknown, Reason: "recorded job not readable: " + err.Error()}
		}
		if recorded.Queue.ID != job.Queue.ID || recorded.Team != job.Team {
			return Response{Kind: Invalid, Reason: "id: in use by another job"}
		}
		if recorded.Ended == nil {
			go g.reportJob(ctx, &recorded)
		}
	}
	return Response{Kind: Accepted, Reason: "recorded before"}
}

// Read returns the state of a job, or the number of waiting jobs where the path names a queue only.
func (g *Gateway) Read(ctx context.Context, r Request) Response {
	started := g.now()
	a, refused, ok := g.authorize(r)
	id := ident.JobID(a.rest)
	if !ok {
		return g.observe("read", id, started, refused)
	}
	if a.rest == "" {
		return g.observe("count", "", started, g.countPending(ctx, a.route.Queue.ID))
	}
	return g.observe("read", id, started, g.readState(ctx, a, id))
}

func (g *Gateway) readState(ctx context.Context, a authorization, id ident.JobID) Response {
	s, err := g.config.Coordinator.JobState(ctx, id)
	if err == nil && s.Known {
		if s.Team != a.team || s.Queue != a.route.Queue.ID {
			return Response{Kind: NoJob, Reason: "job of another team or queue"}
		}
		return Response{Kind: Found, State: s.State}
	}
	return g.readStoredState(ctx, a, id)
}

// readStoredState reads a job's state from the store, for jobs that the leader doesn't know or while there is none.
func (g *Gateway) readStoredState(ctx context.Context, a authorization, id ident.JobID) Response {
	for {
		state, err := g.storedState(ctx, a, id)
		_, unreachable := g.storeUnreachable()
		switch {
		case err == nil:
			return Response{Kind: Found, State: state}
		case errors.Is(err, platform.ErrNotFound):
			return Response{Kind: NoJob, Reason: err.Error()}
		case unreachable || !g.waitRetry(ctx):
			return Response{Kind: Refused, RetryAfter: unavailableRetryAfter, Reason: err.Error()}
		}
	}
}

// storedState returns the state that the store's records show.
func (g *Gateway) storedState(ctx context.Context, a authorization, id ident.JobID) (sched.State, error) {
	job, _, err := g.findJob(ctx, a, id)
	if err != nil {
		return "", err
	}
	if job.Ended != nil {
		return job.Ended.State, nil
	}
	item, err := g.get(ctx, coordinator.ProgressKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return sched.StateQueued, nil
	}
	if err != nil {
		return "", fmt.Errorf("read progress: %w", err)
	}
	var p sched.Progress
	if err = json.Unmarshal(item.Value, &p); err != nil {
		return "", fmt.Errorf("decode progress: %w", err)
	}
	switch {
	case p.State.Terminal():
		return p.State, nil
	case p.Begun:
		return sched.StateRunning, nil
	}
	return sched.StateQueued, nil
}

// findJob reads a recorded job of the caller's team, or returns platform.ErrNotFound.
func (g *Gateway) findJob(ctx context.Context, a authorization, id ident.JobID) (*sched.Job, platform.Item, error) {
	if !ValidJobID(string(id)) {
		return nil, platform.Item{}, fmt.Errorf("job id %q: %w", id, platform.ErrNotFound)
	}
	item, err := g.get(ctx, coordinator.JobKey(id))
	if err != nil {
		return nil, item, fmt.Errorf("read job: %w", err)
	}
	job := &sched.Job{}
	if err := json.Unmarshal(item.Value, job); err != nil {
		return nil, item, fmt.Errorf("decode job: %w", err)
	}
	if job.Team != a.team || job.Queue.ID != a.route.Queue.ID {
		return nil, item, fmt.Errorf("job of another team or queue: %w", platform.ErrNotFound)
	}
	return job, item, nil
}

// Cancel records the cancellation of a job.
func (g *Gateway) Cancel(ctx context.Context, r Request) Response {
	started := g.now()
	a, refused, ok := g.authorize(r)
	id := ident.JobID(a.rest)
	if !ok {
		return g.observe("cancel", id, started, refused)
	}
	return g.observe("cancel", id, started, g.recordCancellation(ctx, a, id))
}

func (g *Gateway) recordCancellation(ctx context.Context, a authorization, id ident.JobID) Response {
	key := coordinator.CancelKey(id)
	outcomeUnknown := false
	for {
		job, item, err := g.findJob(ctx, a, id)
		if errors.Is(err, platform.ErrNotFound) {
			return Response{Kind: NoJob, Reason: err.Error()}
		}
		if err == nil && job.Ended != nil {
			return Response{Kind: Cancelled, Reason: "ended before"}
		}
		if err == nil {
			err = g.transact(ctx, platform.Transaction{
				Expect: []platform.Expectation{{Key: item.Key, Revision: item.Revision}},
				Writes: []platform.Write{{Key: key, Value: []byte("{}")}},
			})
			outcomeUnknown = outcomeUnknown || errors.Is(err, platform.ErrUnknownOutcome)
		}
		if err == nil {
			// The leader has to know before the answer, as the caller may count on it from then on.
			g.config.Coordinator.ReportCancel(ctx, id)
			return Response{Kind: Cancelled}
		}
		if _, unreachable := g.storeUnreachable(); unreachable || !g.waitRetry(ctx) {
			if outcomeUnknown {
				return Response{Kind: Unknown, Reason: err.Error()}
			}
			return Response{Kind: Refused, RetryAfter: unavailableRetryAfter, Reason: err.Error()}
		}
	}
}
