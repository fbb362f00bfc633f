package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/rosemaryspoke/rosemaryspoke/internal/job"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

func (d *Daemon) handleJobGet(ctx context.Context, c wire.JobRequest) (wire.JobReply, error) {
	j, err := d.jobs.Get(ctx, c.Job)
	if errors.Is(err, job.ErrNotFound) {
		return wire.JobReply{}, nil
	}
	if err != nil {
		return wire.JobReply{}, fmt.Errorf("get job: %w", err)
	}
	return encodeJobReply(j)
}

func (d *Daemon) handleJobList(_ context.Context, c wire.JobRequest) (wire.JobReply, error) {
	return encodeJobReply(d.jobs.List(c.Team))
}

func (d *Daemon) handleJobCancel(ctx context.Context, c wire.JobRequest) (wire.JobReply, error) {
	err := d.jobs.Cancel(ctx, c.Job, c.Reason)
	if errors.Is(err, job.ErrNotFound) {
		return wire.JobReply{}, nil
	}
	return wire.JobReply{Found: err == nil}, err
}

func (d *Daemon) handleJobExplain(_ context.Context, c wire.JobRequest) (wire.JobReply, error) {
	_, decisions, ok := d.dispatcher.Explain(c.Job)
	if !ok {
		return wire.JobReply{}, nil
	}
	return encodeJobReply(api.Explanation{Job: c.Job, Decisions: decisions})
}

// callPeers calls a method on all other members in parallel. It calls handle for each reply with Found set, one at a time,
// and reports whether every member replied.
func (d *Daemon) callPeers(ctx context.Context, method string, c wire.JobRequest, handle func(wire.JobReply)) (allReplied bool) {
	c.Sender = d.sender()
	var mu sync.Mutex
	var wg sync.WaitGroup
	allReplied = true
	for _, m := range d.members.View().Filter(member.Active, member.Draining, member.Unreachable) {
		if m.ID == c.Member {
			continue
		}
		wg.Go(func() {
			reply, err := peer.Call[wire.JobRequest, wire.JobReply](ctx, d.node, m.ID, method, c)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				allReplied = false
				return
			}
			if reply.Found {
				handle(reply)
			}
		})
	}
	wg.Wait()
	return allReplied
}

// findOnPeers calls a method on the other members and returns the first reply that found the job.
func findOnPeers[T any](ctx context.Context, d *Daemon, method string, c wire.JobRequest) (T, error) {
	var found T
	var decoded, ok bool
	var failure error
	allReplied := d.callPeers(ctx, method, c, func(r wire.JobReply) {
		if ok {
			return
		}
		ok = true
		if len(r.Body) > 0 {
			failure = json.Unmarshal(r.Body, &found)
			decoded = failure == nil
		}
	})
	switch {
	case failure != nil:
		return found, fmt.Errorf("decode reply of %s: %w", method, failure)
	case ok || decoded:
		return found, nil
	case !allReplied:
		return found, api.NewProblem(api.CodeUnavailable, "",
			"can't tell whether job %s exists: some daemons did not reply", c.Job)
	}
	return found, fmt.Errorf("job %s: %w", c.Job, job.ErrNotFound)
}

func (d *Daemon) getJob(ctx context.Context, id ident.JobID) (api.Job, error) {
	j, err := d.jobs.Get(ctx, id)
	if errors.Is(err, job.ErrNotFound) {
		return findOnPeers[api.Job](ctx, d, wire.MethodJobGet, wire.JobRequest{Job: id})
	}
	return j, err
}

func (d *Daemon) listJobs(ctx context.Context, team ident.TeamID) ([]api.Job, error) {
	jobs := d.jobs.List(team)
	d.callPeers(ctx, wire.MethodJobList, wire.JobRequest{Team: team}, func(r wire.JobReply) {
		var more []api.Job
		if err := json.Unmarshal(r.Body, &more); err == nil {
			jobs = append(jobs, more...)
		}
	})
	return jobs, nil
}

func (d *Daemon) cancelJob(ctx context.Context, id ident.JobID, reason string) error {
	err := d.jobs.Cancel(ctx, id, reason)
	if errors.Is(err, job.ErrNotFound) {
		_, err = findOnPeers[struct{}](ctx, d, wire.MethodJobCancel, wire.JobRequest{Job: id, Reason: reason})
	}
	return err
}

func (d *Daemon) explainJob(ctx context.Context, id ident.JobID) (api.Explanation, error) {
	if _, decisions, ok := d.dispatcher.Explain(id); ok {
		return api.Explanation{Job: id, Decisions: decisions}, nil
	}
	return findOnPeers[api.Explanation](ctx, d, wire.MethodJobExplain, wire.JobRequest{Job: id})
}
