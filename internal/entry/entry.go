// Package entry serves the requests of callers: it authorizes them, records jobs and cancellations in the store and reports
// the state of jobs. It runs on every daemon.
// Submissions, cancellations and reads of a job need no leader, counts of pending jobs do.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/policy"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/uptime"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// minStoreSilence and maxStoreSilence bound the time without a response from the store after which this daemon calls it
	// only through a peer, and refuses requests instead of retrying them.
	minStoreSilence = 1300 * time.Millisecond
	maxStoreSilence = 2500 * time.Millisecond
	// retryDelay is the pause before a failed call is repeated.
	retryDelay = 60 * time.Millisecond
	// responseMargin is the part of a request's time that is reserved for sending the response.
	responseMargin = 60 * time.Millisecond
	// unavailableRetryAfter tells callers when to retry a request that was refused because the store, the configuration or
	// the leader is unavailable.
	unavailableRetryAfter = time.Second
	// maxPendingCountAge is the age up to which a cached count of pending jobs is returned while no leader responds.
	maxPendingCountAge = 2 * time.Second
)

// Kind is the kind of a response.
type Kind string

// Kinds of responses.
const (
	Accepted     Kind = "accepted"
	Cancelled    Kind = "cancelled"
	Found        Kind = "found"
	Counted      Kind = "counted"
	NoQueue      Kind = "no-queue"
	NoJob        Kind = "no-job"
	Unauthorized Kind = "unauthorized"
	Refused      Kind = "refused" // had no effect and never will
	Unknown      Kind = "unknown" // may have taken effect
	Invalid      Kind = "invalid"
)

// Response is the response to a request.
type Response struct {
	Kind       Kind
	State      sched.State   // of a found job
	Count      int           // pending jobs of a queue
	RetryAfter time.Duration // of a refusal
	Reason     string
}

// Request holds what requests of all operations have in common.
type Request struct {
	Host string
	Path string
	Key  string // empty if the caller sent none
}

// Config holds the dependencies and settings of a Gateway.
type Config struct {
	Store        platform.TransactionalStore
	StoreTimeout *platform.AdaptiveTimeout // timeout of store calls, which follows its response times
	Policy       *policy.Watcher
	Coordinator  *coordinator.Coordinator
	// MaxConfigurationAge is the time since the last confirmation of the configuration after which its keys count as
	// unconfirmed.
	MaxConfigurationAge time.Duration
	FailClosed          bool // refuse requests that need a key while keys are unconfirmed
	Admission           bool // refuse jobs that the leader has stated to be served too late
	Log                 logr.Logger
	Metrics             *metrics.Set
}

// Gateway serves the requests of callers.
type Gateway struct {
	config    Config
	now       func() time.Time
	uptime    func() time.Duration
	pending   pendingCache
	markLease *markLease
	admission admissionCopy
}

// New returns a gateway.
func New(c Config) *Gateway {
	if c.StoreTimeout == nil {
		c.StoreTimeout = platform.NewAdaptiveTimeout()
	}
	return &Gateway{
		config: c, now: time.Now, uptime: uptime.Now, pending: newPendingCache(), markLease: &markLease{},
		admission: admissionCopy{mu: &sync.Mutex{}},
	}
}

// authorization is the route and team of an authorized request.
type authorization struct {
	route policy.Route
	rest  string // of the path, after the route's prefix: a job id, or empty for the queue
	team  ident.TeamID
}

// authorize finds the route of a request and checks its key. If it returns false, the response refuses the request.
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

// CheckAccess returns the response to a submission that is refused whatever its body is, and whether it may be read.
func (g *Gateway) CheckAccess(r Request) (Response, bool) {
	started := g.now()
	a, refused, ok := g.authorize(r)
	if !ok {
		g.observe("submit", ident.JobID(a.rest), started, refused)
	}
	return refused, ok
}

// MaxBodyBytes returns the maximum size of a request body, or 0 if the configuration sets no limit.
func (g *Gateway) MaxBodyBytes() int64 {
	if p := g.config.Policy.Current().Policy; p != nil {
		return p.MaxBodyBytes
	}
	return 0
}

// observe logs a response and counts it in the metrics.
func (g *Gateway) observe(operation string, id ident.JobID, started time.Time, response Response) Response {
	took := g.now().Sub(started)
	name := fmt.Sprintf(`rosemaryspoke_requests_total{operation=%q,answer=%q}`, operation, string(response.Kind))
	g.config.Metrics.GetOrCreateCounter(name).Inc()
	g.config.Metrics.GetOrCreateHistogram(fmt.Sprintf(`rosemaryspoke_request_seconds{operation=%q}`, operation)).Update(took.Seconds())
	log := g.config.Log
	if response.Kind == Found || response.Kind == Counted {
		log = log.V(1)
	}
	c := g.config.Policy.Current()
	version := uint64(0)
	if c.Policy != nil {
		version = uint64(c.Policy.Version)
	}
	log.Info(operation, "job", string(id), "answer", string(response.Kind), "reason", response.Reason, "state", string(response.State),
		"took", took.String(), "version", version, "version-age", g.now().Sub(c.ConfirmedAt).String())
	return response
}

// Submit records a job. Repeated submissions with the same id create one job.
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

// ValidJobID reports whether an id has the form of a job id: 16 hexadecimal digits.
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

// waitRetry waits before the next attempt. It reports false if the request has no time for one.
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

// Read returns the state of a job, or the number of pending jobs if the path names a queue only.
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

// readStoredState reads a job's state from the store, for jobs that the leader doesn't know and while no leader responds.
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

// storedState returns a job's state according to the store's records.
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

// findJob reads a job's record. It returns platform.ErrNotFound for jobs of other teams or queues.
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
