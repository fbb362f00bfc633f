package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Methods between daemons.
const (
	methodSubmit  = "cell.submit"
	methodCancel  = "cell.cancel"
	methodState   = "cell.state"
	methodPending = "cell.pending"
	methodAdvise  = "cell.advise"
	methodEpoch   = "cell.epoch"
)

const (
	// reportTimeout bounds the report of a job to the leader; the leader finds unreported jobs by itself.
	reportTimeout = time.Second
	// stateTimeout bounds a question to the leader, after which the store is asked.
	stateTimeout = 400 * time.Millisecond
	epochTimeout = 400 * time.Millisecond
)

// ErrNoLeader reports that no leader is known or that it doesn't answer.
var ErrNoLeader = errors.New("no leader")

type (
	submitRequest struct {
		Job *sched.Job `json:"job"`
	}
	jobRequest struct {
		ID ident.JobID `json:"id"`
	}
	queueRequest struct {
		Queue ident.QueueID `json:"queue"`
	}
	adviseRequest struct {
		Order   sched.AdviceRequest `json:"order"`
		Timeout time.Duration       `json:"timeout"`
	}
	empty       struct{}
	leaderReply struct {
		Leading bool `json:"leading"`
	}
	pendingReply struct {
		Leading bool `json:"leading"`
		Count   int  `json:"count"`
	}
	adviseReply struct {
		Tickets map[sched.ServerID]sched.Ticket `json:"tickets"`
	}
	epochReply struct {
		Epoch ident.Epoch `json:"epoch"`
	}
)

// JobState is what the leader knows of a job.
type JobState struct {
	Leading bool          `json:"leading"`
	Known   bool          `json:"known"`
	State   sched.State   `json:"state,omitempty"`
	Team    ident.TeamID  `json:"team,omitempty"`
	Queue   ident.QueueID `json:"queue,omitempty"`
}

// handle registers the handlers for the calls of peers.
func (o *Coordinator) handle() {
	n := o.config.Peer
	peer.Handle(n, methodSubmit, func(_ context.Context, r submitRequest) (leaderReply, error) {
		return leaderReply{o.submit(r.Job)}, nil
	})
	peer.Handle(n, methodCancel, func(_ context.Context, r jobRequest) (leaderReply, error) {
		return leaderReply{o.cancel(r.ID)}, nil
	})
	peer.Handle(n, methodState, func(_ context.Context, r jobRequest) (JobState, error) { return o.state(r.ID), nil })
	peer.Handle(n, methodPending, func(_ context.Context, r queueRequest) (pendingReply, error) {
		return o.pending(r.Queue), nil
	})
	peer.Handle(n, methodAdvise, func(ctx context.Context, r adviseRequest) (adviseReply, error) {
		tickets, err := o.config.Servers.Advise(ctx, r.Timeout, r.Order)
		return adviseReply{tickets}, err
	})
	peer.Handle(n, methodEpoch, func(context.Context, empty) (epochReply, error) {
		return epochReply{o.view.get().leader.Epoch}, nil
	})
}

// loadedTerm returns the term of this daemon once its state is loaded.
func (o *Coordinator) loadedTerm() *term {
	t := o.leading()
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

func (o *Coordinator) submit(j *sched.Job) bool {
	t := o.loadedTerm()
	if t == nil || j == nil {
		return false
	}
	t.do(func(now time.Time, s *sched.Scheduler) { s.AddJob(now, j, sched.Progress{}, false) })
	return true
}

func (o *Coordinator) cancel(id ident.JobID) bool {
	t := o.loadedTerm()
	if t == nil {
		return false
	}
	t.do(func(now time.Time, s *sched.Scheduler) { s.Cancel(now, id) })
	return true
}

func (o *Coordinator) state(id ident.JobID) JobState {
	t := o.loadedTerm()
	if t == nil {
		return JobState{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state, spec, ok := t.core.State(id)
	if !ok {
		return JobState{Leading: true}
	}
	return JobState{Leading: true, Known: true, State: state, Team: spec.Team, Queue: spec.Queue.ID}
}

func (o *Coordinator) pending(q ident.QueueID) pendingReply {
	t := o.loadedTerm()
	if t == nil {
		return pendingReply{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return pendingReply{Leading: true, Count: t.core.Pending(q)}
}

// toLeader calls the leader that this daemon knows.
func toLeader[Req, Resp any](ctx context.Context, o *Coordinator, timeout time.Duration, method string, r Req) (Resp, error) {
	l, ok := o.Leader()
	if !ok || l.Incarnation == o.incarnation {
		var none Resp
		return none, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := peer.CallAddress[Req, Resp](ctx, o.config.Peer, l.Address, method, r)
	if err != nil {
		return resp, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	return resp, nil
}

// Report tells the leader of a job that is recorded. A lost report delays the job only.
func (o *Coordinator) Report(ctx context.Context, j *sched.Job) {
	if o.submit(j) {
		return
	}
	r, err := toLeader[submitRequest, leaderReply](ctx, o, reportTimeout, methodSubmit, submitRequest{j})
	if err != nil || !r.Leading {
		o.config.Log.Info("job not reported to the leader; it finds it in the store", "job", string(j.ID), "error", outcome(err))
	}
}

// ReportCancel tells the leader of a cancellation that is recorded.
func (o *Coordinator) ReportCancel(ctx context.Context, id ident.JobID) {
	if o.cancel(id) {
		return
	}
	r, err := toLeader[jobRequest, leaderReply](ctx, o, reportTimeout, methodCancel, jobRequest{id})
	if err != nil || !r.Leading {
		o.config.Log.Info("cancellation not reported to the leader; it finds it in the store", "job", string(id),
			"error", outcome(err))
	}
}

// State asks the leader for a job's state.
func (o *Coordinator) State(ctx context.Context, id ident.JobID) (JobState, error) {
	if s := o.state(id); s.Leading {
		return s, nil
	}
	s, err := toLeader[jobRequest, JobState](ctx, o, stateTimeout, methodState, jobRequest{id})
	if err == nil && !s.Leading {
		err = ErrNoLeader
	}
	return s, err
}

// Pending asks the leader for the number of accepted jobs of a queue of which no task has started.
func (o *Coordinator) Pending(ctx context.Context, q ident.QueueID) (int, error) {
	if r := o.pending(q); r.Leading {
		return r.Count, nil
	}
	r, err := toLeader[queueRequest, pendingReply](ctx, o, stateTimeout, methodPending, queueRequest{q})
	if err == nil && !r.Leading {
		err = ErrNoLeader
	}
	return r.Count, err
}

// askAdvice asks the advisor through a peer.
func (o *Coordinator) askAdvice(
	ctx context.Context, address string, timeout time.Duration, a sched.AdviceRequest,
) (map[sched.ServerID]sched.Ticket, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := peer.CallAddress[adviseRequest, adviseReply](ctx, o.config.Peer, address, methodAdvise, adviseRequest{a, timeout})
	if err != nil {
		return nil, fmt.Errorf("advice through a peer: %w", err)
	}
	return r.Tickets, nil
}

// askEpoch asks all peers for the newest epoch that they know, and reports whether one answered.
func (o *Coordinator) askEpoch(ctx context.Context) (ident.Epoch, bool) {
	peers := o.peers()
	replies := make(chan ident.Epoch, len(peers))
	ctx, cancel := context.WithTimeout(ctx, epochTimeout)
	defer cancel()
	for _, address := range peers {
		go func() {
			r, err := peer.CallAddress[empty, epochReply](ctx, o.config.Peer, address, methodEpoch, empty{})
			if err != nil {
				o.config.Log.V(1).Info("epoch not known", "peer", address, "error", err.Error())
			}
			replies <- r.Epoch
		}()
	}
	highest := ident.Epoch(0)
	for range peers {
		highest = max(highest, <-replies)
	}
	return highest, highest > 0
}
