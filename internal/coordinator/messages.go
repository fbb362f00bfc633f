package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/admission"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Methods that daemons call on each other.
const (
	methodSubmit  = "cell.submit"
	methodCancel  = "cell.cancel"
	methodState   = "cell.state"
	methodPending = "cell.pending"
	methodAdvise  = "cell.advise"
	methodEpoch   = "cell.epoch"
)

const (
	// reportTimeout bounds the report of a job to the leader, which also finds unreported jobs in the store.
	reportTimeout = time.Second
	// queryTimeout bounds a query to the leader; after it a caller may read the store instead.
	queryTimeout = 400 * time.Millisecond
)

// ErrNoLeader reports that no leader is known or that the known one does not respond.
var ErrNoLeader = errors.New("no leader")

type (
	submitRequest struct {
		Job *sched.Job `json:"job"`
		// RecordedBefore reports that the job was recorded at an unknown time, so that a former leader may have started it.
		RecordedBefore bool `json:"recorded-before,omitempty"`
	}
	jobRequest struct {
		ID ident.JobID `json:"id"`
	}
	queueRequest struct {
		Queue ident.QueueID `json:"queue"`
	}
	adviseRequest struct {
		Request sched.AdviceRequest `json:"order"`
		Timeout time.Duration       `json:"timeout"`
	}
	leaderReply struct {
		Leading bool `json:"leading"`
	}
	submitReply struct {
		Leading bool `json:"leading"`
		// Admission is absent if no jobs are to be rejected. Older daemons neither send nor read it.
		Admission *admission.Statement `json:"admission,omitempty"`
	}
	pendingReply struct {
		Leading bool `json:"leading"`
		Count   int  `json:"count"`
	}
	adviseReply struct {
		Tickets map[sched.ServerID]sched.Ticket `json:"tickets"`
	}
)

// JobState is what a leader knows of a job. Leading is false if the daemon that replied does not lead.
type JobState struct {
	Leading bool          `json:"leading"`
	Known   bool          `json:"known"`
	State   sched.State   `json:"state,omitempty"`
	Team    ident.TeamID  `json:"team,omitempty"`
	Queue   ident.QueueID `json:"queue,omitempty"`
}

// registerHandlers registers the handlers for the calls of peers.
func (c *Coordinator) registerHandlers() {
	n := c.config.Peer
	peer.Handle(n, methodSubmit, func(_ context.Context, r submitRequest) (submitReply, error) {
		return c.submit(r), nil
	})
	peer.Handle(n, methodCancel, func(_ context.Context, r jobRequest) (leaderReply, error) {
		return leaderReply{c.cancel(r.ID)}, nil
	})
	peer.Handle(n, methodState, func(_ context.Context, r jobRequest) (JobState, error) { return c.jobState(r.ID), nil })
	peer.Handle(n, methodPending, func(_ context.Context, r queueRequest) (pendingReply, error) {
		return c.pendingJobs(r.Queue), nil
	})
	peer.Handle(n, methodAdvise, func(ctx context.Context, r adviseRequest) (adviseReply, error) {
		tickets, err := c.config.ServerClient.Advise(ctx, r.Timeout, r.Request)
		return adviseReply{tickets}, err
	})
	peer.Handle(n, methodEpoch, c.answerEpoch)
	peer.Handle(n, methodExplainPlacement, func(_ context.Context, r sched.PlacementQuery) (placementReply, error) {
		return c.explainPlacement(r), nil
	})
	peer.Handle(n, methodResetPastUse, func(_ context.Context, r resetRequest) (resetReply, error) { return c.resetPastUse(r), nil })
}

// loadedTerm returns this daemon's term, or nil if it doesn't lead or its term is still loading.
func (c *Coordinator) loadedTerm() *term {
	t := c.currentTerm()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		return nil
	}
	return t
}

func (c *Coordinator) submit(r submitRequest) submitReply {
	t := c.loadedTerm()
	if t == nil || r.Job == nil {
		return submitReply{}
	}
	reply := submitReply{Leading: true}
	t.update(func(now time.Time, s *sched.Scheduler) {
		s.AddJob(now, r.Job, sched.Progress{}, r.RecordedBefore)
		reply.Admission = s.AdmissionStatement(now)
	})
	return reply
}

func (c *Coordinator) cancel(id ident.JobID) bool {
	t := c.loadedTerm()
	if t == nil {
		return false
	}
	t.update(func(now time.Time, s *sched.Scheduler) { s.Cancel(now, id) })
	return true
}

func (c *Coordinator) jobState(id ident.JobID) JobState {
	t := c.loadedTerm()
	if t == nil {
		return JobState{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state, spec, ok := t.scheduler.State(id)
	if !ok {
		return JobState{Leading: true}
	}
	return JobState{Leading: true, Known: true, State: state, Team: spec.Team, Queue: spec.Queue.ID}
}

func (c *Coordinator) pendingJobs(q ident.QueueID) pendingReply {
	t := c.loadedTerm()
	if t == nil {
		return pendingReply{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return pendingReply{Leading: true, Count: t.scheduler.Pending(c.now(), q)}
}

// callLeader calls a method of the leader that this daemon knows. It fails with ErrNoLeader if that is this daemon.
func callLeader[Req, Resp any](ctx context.Context, c *Coordinator, timeout time.Duration, method string, r Req) (Resp, error) {
	l, ok := c.Leader()
	if !ok || l.Incarnation == c.incarnation {
		var zero Resp
		return zero, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := peer.CallAddress[Req, Resp](ctx, c.config.Peer, l.Address, method, r)
	if errors.Is(err, peer.ErrUnknownOutcome) && ctx.Err() == nil {
		// The connection was lost or silent, and a new one may work. All calls to the leader are idempotent.
		resp, err = peer.CallAddress[Req, Resp](ctx, c.config.Peer, l.Address, method, r)
	}
	if err != nil {
		return resp, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	return resp, nil
}

// ReportJob tells the leader of a job that was recorded just now or, if recordedBefore is set, some time ago. If the report is lost, the
// leader finds the job in the store later. The leader's statement on admission comes back, and whether a leader has replied.
func (c *Coordinator) ReportJob(ctx context.Context, j *sched.Job, recordedBefore bool) (admission.Statement, bool) {
	request := submitRequest{j, recordedBefore}
	r := c.submit(request)
	if r.Leading {
		return r.statement(), true
	}
	r, err := callLeader[submitRequest, submitReply](ctx, c, reportTimeout, methodSubmit, request)
	if err != nil || !r.Leading {
		c.config.Log.Info("job not reported to the leader, which will find it in the store", "job", string(j.ID),
			"error", describeOutcome(err))
		return admission.Statement{}, false
	}
	return r.statement(), true
}

func (r submitReply) statement() admission.Statement {
	if r.Admission == nil {
		return admission.Statement{}
	}
	return *r.Admission
}

// ReportCancel tells the leader of a recorded cancellation.
func (c *Coordinator) ReportCancel(ctx context.Context, id ident.JobID) {
	if c.cancel(id) {
		return
	}
	r, err := callLeader[jobRequest, leaderReply](ctx, c, reportTimeout, methodCancel, jobRequest{id})
	if err != nil || !r.Leading {
		c.config.Log.Info("cancellation not reported to the leader, which will find it in the store", "job", string(id),
			"error", describeOutcome(err))
	}
}

// JobState returns the state of a job as the leader knows it.
func (c *Coordinator) JobState(ctx context.Context, id ident.JobID) (JobState, error) {
	if s := c.jobState(id); s.Leading {
		return s, nil
	}
	s, err := callLeader[jobRequest, JobState](ctx, c, queryTimeout, methodState, jobRequest{id})
	if err == nil && !s.Leading {
		err = ErrNoLeader
	}
	return s, err
}

// PendingJobs returns the number of accepted jobs of a queue of which no task has started, as the leader knows it.
func (c *Coordinator) PendingJobs(ctx context.Context, q ident.QueueID) (int, error) {
	if r := c.pendingJobs(q); r.Leading {
		return r.Count, nil
	}
	r, err := callLeader[queueRequest, pendingReply](ctx, c, queryTimeout, methodPending, queueRequest{q})
	if err == nil && !r.Leading {
		err = ErrNoLeader
	}
	return r.Count, err
}

// adviseThroughPeer calls the advisor through a peer.
func (c *Coordinator) adviseThroughPeer(
	ctx context.Context, address string, timeout time.Duration, a sched.AdviceRequest,
) (map[sched.ServerID]sched.Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := peer.CallAddress[adviseRequest, adviseReply](ctx, c.config.Peer, address, methodAdvise, adviseRequest{a, timeout})
	if err != nil {
		return nil, fmt.Errorf("call the advisor through a peer: %w", err)
	}
	return r.Tickets, nil
}
