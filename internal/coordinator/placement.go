package coordinator

import (
	"context"
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

const (
	// methodExplainPlacement is the call by which a daemon relays an operator's question to the leader.
	methodExplainPlacement = "cell.explain-placement"
	// maxQueriesPerSecond bounds the placement queries of a leader. One takes some milliseconds if thousands of steps wait.
	maxQueriesPerSecond = 5
)

// ErrTooManyQueries reports that the leader has answered as many placement queries as it may in a second.
var ErrTooManyQueries = errors.New("too many placement queries, try again in a second")

// queryErrors are the errors of a placement query that pass between daemons, by their kind.
var queryErrors = map[string]error{
	"job": sched.ErrUnknownJob, "queue": sched.ErrUnknownQueue, "team": sched.ErrUnknownTeam, "query": sched.ErrBadQuery, "rate": ErrTooManyQueries,
}

type placementReply struct {
	Leading   bool                       `json:"leading"`
	ErrorKind string                     `json:"error-kind,omitempty"` // a key of queryErrors
	Error     string                     `json:"error,omitempty"`
	Placement sched.PlacementExplanation `json:"placement"`
}

// queryError is an error of a placement query with the text of the leader.
type queryError struct {
	kind error
	text string
}

// Error implements error.
func (e *queryError) Error() string { return e.text }

// Unwrap returns the kind of the error.
func (e *queryError) Unwrap() error { return e.kind }

func (c *Coordinator) explainPlacement(query sched.PlacementQuery) placementReply {
	t := c.loadedTerm()
	if t == nil {
		return placementReply{}
	}
	r := placementReply{Leading: true}
	now := c.now()
	var err error
	if t.queries.AllowN(now, 1) {
		t.mu.Lock()
		r.Placement, err = t.scheduler.ExplainPlacement(c.now(), query)
		t.mu.Unlock()
	} else {
		err = ErrTooManyQueries
	}
	for kind, known := range queryErrors {
		if errors.Is(err, known) {
			r.ErrorKind, r.Error = kind, err.Error()
		}
	}
	t.config.Log.Info("placement explained", "job", string(query.Job), "queue", string(r.Placement.Queue.ID), "team", string(r.Placement.Team.ID),
		"rank", r.Placement.Rank, "candidates", len(r.Placement.Candidates), "held-by", string(r.Placement.HeldBy),
		"took", c.now().Sub(now).String(), "outcome", describeOutcome(err))
	return r
}

// ExplainPlacement asks the leader where work would go now. The error is one of package sched's, ErrTooManyQueries or ErrNoLeader.
func (c *Coordinator) ExplainPlacement(ctx context.Context, query sched.PlacementQuery) (sched.PlacementExplanation, error) {
	r := c.explainPlacement(query)
	if !r.Leading {
		var err error
		if r, err = callLeader[sched.PlacementQuery, placementReply](ctx, c, reportTimeout, methodExplainPlacement, query); err != nil {
			return r.Placement, fmt.Errorf("explain a placement: %w", err)
		}
	}
	switch {
	case !r.Leading:
		return r.Placement, fmt.Errorf("explain a placement: %w", ErrNoLeader)
	case r.ErrorKind != "":
		return r.Placement, &queryError{queryErrors[r.ErrorKind], r.Error}
	}
	return r.Placement, nil
}
