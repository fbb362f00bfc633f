package job

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// List returns the jobs of a team that this member owns, newest first, without payloads.
func (t *Table) List(team ident.TeamID) []api.Job {
	t.mu.Lock()
	defer t.mu.Unlock()
	var jobs []api.Job
	for _, b := range t.batches {
		for _, j := range b.record.Jobs {
			if j.Spec.Team == team {
				v := j.toAPI(b.record.Owner)
				v.Spec.Payload = nil
				for i := range v.Tasks {
					v.Tasks[i].Payload = nil
				}
				jobs = append(jobs, v)
			}
		}
	}
	slices.SortFunc(jobs, func(a, b api.Job) int {
		return cmp.Or(b.Submitted.Compare(a.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// Get returns a job that this member owns, with its results.
func (t *Table) Get(ctx context.Context, id ident.JobID) (api.Job, error) {
	t.mu.Lock()
	p, ok := t.jobs[id]
	if !ok {
		t.mu.Unlock()
		return api.Job{}, fmt.Errorf("job %s: %w", id, ErrNotFound)
	}
	j := p.job
	v, tasks := j.toAPI(p.batch.record.Owner), slices.Clone(j.Tasks)
	t.mu.Unlock()
	for i, task := range tasks {
		payload, err := t.readPayload(ctx, id, i, task)
		if err != nil {
			return v, err
		}
		v.Tasks[i].Payload = payload
	}
	return v, nil
}

// Wait returns the job once it has ended, or its current state if the context ends first.
func (t *Table) Wait(ctx context.Context, id ident.JobID) (api.Job, error) {
	for {
		t.mu.Lock()
		changed := t.jobChanged
		t.mu.Unlock()
		j, err := t.Get(ctx, id)
		if err != nil || j.Phase.Done() {
			return j, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return j, nil
		}
	}
}

// readPayload returns the result of a task, and reads it from the store if it has a separate key.
func (t *Table) readPayload(ctx context.Context, id ident.JobID, index int, task taskRecord) ([]byte, error) {
	if !task.Stored {
		return task.Payload, nil
	}
	item, err := t.config.Store.Get(ctx, resultKey(id, index))
	if err != nil {
		return nil, fmt.Errorf("read the result of task %s/%d: %w", id, index, err)
	}
	return item.Value, nil
}
