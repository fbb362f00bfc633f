package job

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// record is the stored value of a batch.
type record struct {
	Owner       ident.MemberID    `json:"owner"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Nonce       string            `json:"nonce"` // unique per write; identifies a write whose reply was lost
	Jobs        []*jobRecord      `json:"jobs"`
}

// jobRecord is the stored state of a job.
type jobRecord struct {
	ID        ident.JobID  `json:"id"`
	Spec      api.Spec     `json:"spec"`
	Policy    Policy       `json:"policy"`
	Submitted time.Time    `json:"submitted"`
	Finished  time.Time    `json:"finished,omitzero"`
	Cancelled string       `json:"cancelled,omitempty"`
	Tasks     []taskRecord `json:"tasks"`
}

// taskRecord is the stored state of a task.
type taskRecord struct {
	Phase      api.Phase       `json:"phase"`
	Outcome    api.Outcome     `json:"outcome,omitempty"`
	Attempt    ident.AttemptID `json:"attempt,omitempty"`
	Attempts   int             `json:"attempts,omitempty"`
	Host       ident.HostID    `json:"host,omitempty"`
	Payload    []byte          `json:"payload,omitempty"`
	Stored     bool            `json:"stored,omitempty"`     // the result is stored under resultKey
	Dispatched bool            `json:"dispatched,omitempty"` // a non-idempotent task may have been started
	Reason     string          `json:"reason,omitempty"`
}

// attemptsWith returns the number of attempts up to a running one. The record may lack it, as a start causes no write.
func (r *taskRecord) attemptsWith(running ident.AttemptID) int {
	if r.Attempt == running && r.Attempts > 0 {
		return r.Attempts
	}
	return r.Attempts + 1
}

// newJobRecord returns the record of a new job, with a random id and all tasks queued.
func newJobRecord(spec api.Spec, p Policy, now time.Time) *jobRecord {
	spec.Tasks = max(1, spec.Tasks)
	j := &jobRecord{ID: ident.JobID(ident.Random("job")), Spec: spec, Policy: p, Submitted: now, Tasks: make([]taskRecord, spec.Tasks)}
	for i := range j.Tasks {
		j.Tasks[i].Phase = api.Queued
	}
	return j
}

// size estimates the size of the encoded record in bytes. Payloads are encoded as base64.
func (j *jobRecord) size() int {
	size := 512 + len(j.Spec.Payload)*4/3 + len(j.Tasks)*taskRecordBytes
	for _, task := range j.Tasks {
		size += len(task.Payload) * 4 / 3
	}
	return size
}

// phase derives the phase of the job from those of its tasks.
func (j *jobRecord) phase() api.Phase {
	queued, running, failed := 0, 0, 0
	for _, task := range j.Tasks {
		switch task.Phase {
		case api.Queued:
			queued++
		case api.Running:
			running++
		case api.Broken, api.Cancelled:
			failed++
		}
	}
	switch {
	case running > 0:
		return api.Running
	case queued > 0:
		return api.Queued
	case j.Cancelled != "":
		return api.Cancelled
	case failed > 0:
		return api.Broken
	}
	return api.Succeeded
}

// outcome returns the outcome of a finished job, which is the least certain one of its tasks: unknown, then failed, then
// not-run, then answered. If some tasks were answered and others did not run, it is failed instead of not-run.
func (j *jobRecord) outcome() api.Outcome {
	if !j.phase().Done() {
		return ""
	}
	for _, o := range []api.Outcome{api.Unknown, api.Failed, api.NotRun} {
		if slices.ContainsFunc(j.Tasks, func(task taskRecord) bool { return task.Outcome == o }) {
			if o == api.NotRun && slices.ContainsFunc(j.Tasks, func(task taskRecord) bool { return task.Outcome == api.Answered }) {
				return api.Failed
			}
			return o
		}
	}
	return api.Answered
}

// toAPI returns the job as the API shows it, without results that are stored under keys of their own.
func (j *jobRecord) toAPI(owner ident.MemberID) api.Job {
	v := api.Job{
		ID: j.ID, Spec: j.Spec, Kind: j.Policy.Kind, Phase: j.phase(), Outcome: j.outcome(),
		Submitted: j.Submitted, Finished: j.Finished, Owner: owner, Tasks: make([]api.TaskStatus, len(j.Tasks)),
	}
	for i, task := range j.Tasks {
		v.Tasks[i] = api.TaskStatus{
			Index: i, Phase: task.Phase, Outcome: task.Outcome, Attempt: task.Attempt, Attempts: task.Attempts,
			Host: task.Host, Payload: task.Payload, Reason: task.Reason,
		}
	}
	return v
}

// work returns the dispatcher's work for one task.
func (j *jobRecord) work(index int, t *Table) dispatch.Work {
	w := dispatch.Work{
		Task: backend.Task{
			Job: j.ID, Index: index, Team: j.Spec.Team, Queue: j.Spec.Queue, Request: j.Spec.Request,
			Demand: j.Spec.Demand, NonIdempotent: j.Spec.NonIdempotent, Priority: j.Policy.Priority + j.Spec.Priority,
			Payload: j.Spec.Payload, RunTime: backend.Millis(j.Spec.RunTime),
		},
		Kind: j.Policy.Kind, Urgent: j.Policy.Urgent, Retries: j.Policy.Retries,
		PayloadRefs: len(j.Tasks), Admitted: true,
		OnStart: func(a ident.AttemptID, h ident.HostID, n int) { t.recordStart(j.ID, index, a, h, n) },
		OnDone: func(completion dispatch.Completion, acknowledge func()) {
			t.onTaskDone(j.ID, index, completion, acknowledge)
		},
	}
	if j.Spec.NonIdempotent {
		w.Prepare = t.markDispatched(j.ID, index)
	}
	return w
}

// snapshot returns a copy that later changes of the tasks don't affect. The caller holds the table's lock.
func (j *jobRecord) snapshot() *jobRecord {
	c := *j
	c.Tasks = slices.Clone(j.Tasks)
	return &c
}

// unfinishedTasks returns the indexes of the tasks that have not ended.
func (j *jobRecord) unfinishedTasks() []int {
	var indexes []int
	for i, task := range j.Tasks {
		if !task.Phase.Done() {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// resultKey returns the store key of a result that is too large for the batch record.
func resultKey(job ident.JobID, index int) string { return fmt.Sprintf("results/%s/%d", job, index) }

// taskIndexes returns the indexes of all tasks. Their number doesn't change after the submission.
func taskIndexes(j *jobRecord) []int {
	indexes := make([]int, len(j.Tasks))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}
