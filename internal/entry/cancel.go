package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// markLife is how long the cancellation of a job without a record refuses submissions with its id. Writes whose replies were lost
	// and repeated submissions come within seconds; the rest covers an outage of the store, which may hold them up.
	markLife = 2 * time.Minute
	// markLeaseUse is how long the marks of a daemon share a lease. It is granted for that much longer than markLife.
	markLeaseUse = 20 * time.Second
)

// cancelMark is the record of a cancellation for which there was no job. It has the key of the cancellation record that a job
// has, so that the write of a submission can't take effect after it. It names teams, as a team must not block another one's id.
// The empty cancellation record of an existing job names none.
type cancelMark struct {
	Teams    []ident.TeamID `json:"teams,omitempty"`
	revision platform.Revision
}

func decodeMark(it platform.Item) cancelMark {
	m := cancelMark{}
	if err := json.Unmarshal(it.Value, &m); err != nil {
		m = cancelMark{}
	}
	m.revision = it.Revision
	return m
}

func (m cancelMark) names(t ident.TeamID) bool { return slices.Contains(m.Teams, t) }

// markLease is the store lease of the latest marks of this daemon.
type markLease struct {
	mu        sync.Mutex
	id        platform.LeaseID
	grantedAt time.Time
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

// recordCancellation writes the cancellation of a job, or a mark if there is no such job. It repeats the write until the outcome
// is known or the request's time is used up.
func (g *Gateway) recordCancellation(ctx context.Context, a authorization, id ident.JobID) Response {
	key := coordinator.CancelKey(id)
	outcomeUnknown := false
	for {
		job, item, err := g.findJob(ctx, a, id)
		absent := errors.Is(err, platform.ErrNotFound)
		switch {
		case absent && (item.Revision != 0 || !ValidJobID(string(id))):
			return Response{Kind: NoJob, Reason: err.Error()}
		case err == nil && job.Ended != nil:
			return Response{Kind: Cancelled, Reason: "ended before"}
		case absent:
			err = g.markCancelled(ctx, a.team, id)
		case err == nil:
			err = g.transact(ctx, platform.Transaction{
				Preconditions: []platform.Precondition{{Key: item.Key, Revision: item.Revision}},
				Writes:        []platform.Write{{Key: key, Value: []byte("{}")}},
			})
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, platform.ErrUnknownOutcome)
		if err == nil && absent {
			return Response{Kind: NoJob, Reason: "no record; later submissions of it are refused"}
		}
		if err == nil {
			// The leader is told before the response, as the caller may rely on the cancellation once it has the response.
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

// markCancelled records that a job without a record is cancelled: a submission whose write is under way, or that is repeated later,
// may still create it. It returns an error that wraps platform.ErrConflict if the job has been recorded meanwhile.
func (g *Gateway) markCancelled(ctx context.Context, team ident.TeamID, id ident.JobID) error {
	jobKey, key := coordinator.JobKey(id), coordinator.CancelKey(id)
	mark := cancelMark{Teams: []ident.TeamID{team}}
	for {
		lease, err := g.leaseForMark(ctx)
		if err != nil {
			return err
		}
		value, err := json.Marshal(mark)
		if err != nil {
			return fmt.Errorf("encode the mark of a cancellation: %w", err)
		}
		err = g.transact(ctx, platform.Transaction{
			Preconditions: []platform.Precondition{{Key: jobKey}, {Key: key, Revision: mark.revision}},
			Writes:        []platform.Write{{Key: key, Value: value, Lease: lease}},
		})
		if errors.Is(err, platform.ErrNotFound) {
			g.markLease.drop(lease) // the next attempt gets another one
		}
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		present := cancelMark{}
		for _, it := range conflict.Items {
			if it.Key == jobKey {
				return err
			}
			present = decodeMark(it)
		}
		if present.names(team) {
			return nil
		}
		mark = cancelMark{Teams: append(present.Teams, team), revision: present.revision}
		if !g.waitRetry(ctx) {
			return err
		}
	}
}

// leaseForMark returns a lease that lasts for at least markLife. Marks share leases, so that a flood of cancellations costs one
// write each.
func (g *Gateway) leaseForMark(ctx context.Context) (platform.LeaseID, error) {
	l := g.markLease
	l.mu.Lock()
	id, age := l.id, g.now().Sub(l.grantedAt)
	l.mu.Unlock()
	if id != 0 && age >= 0 && age < markLeaseUse {
		return id, nil
	}
	sentAt := g.now()
	ttl := markLife + markLeaseUse
	id, err := callStore(ctx, g,
		func(ctx context.Context) (platform.LeaseID, error) { return g.config.Store.GrantLease(ctx, ttl) },
		func(ctx context.Context) (platform.LeaseID, error) {
			return g.config.Coordinator.RelayGrantLease(ctx, ttl)
		})
	if err != nil {
		return 0, fmt.Errorf("grant a lease for cancellations: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.grantedAt = id, sentAt
	return id, nil
}

// drop forgets a lease that has ended.
func (l *markLease) drop(id platform.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
