package entry

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// recordJob writes a new job. It repeats the write until the outcome is known or the request's time is used up.
func (g *Gateway) recordJob(ctx context.Context, job *sched.Job) Response {
	value, err := json.Marshal(job)
	if err != nil {
		return Response{Kind: Invalid, Reason: "encode: " + err.Error()}
	}
	if len(value) > platform.MaxValueBytes {
		return Response{Kind: Invalid, Reason: "job: its record would be larger than the store accepts"}
	}
	if refused, ok := g.rejectLate(ctx, job); ok {
		return refused
	}
	key := coordinator.JobKey(job.ID)
	tx := platform.Transaction{
		Preconditions: []platform.Precondition{{Key: key}, {Key: coordinator.CancelKey(job.ID)}},
		Writes:        []platform.Write{{Key: key, Value: value}},
	}
	outcomeUnknown := false // an earlier attempt may have taken effect or still may
	for {
		err := g.transact(ctx, tx)
		var conflict *platform.ConflictError
		if err == nil {
			go g.reportJob(ctx, job, false)
			return Response{Kind: Accepted}
		}
		if errors.As(err, &conflict) {
			mark, marked, recorded := splitConflict(job, conflict)
			if recorded != nil {
				return g.duplicateSubmission(ctx, job, recorded)
			}
			if marked && mark.names(job.Team) {
				return Response{Kind: Refused, RetryAfter: markLife, Reason: "cancelled before it was recorded"}
			}
			if marked { // by another team that guessed the id, which must not keep this one from using it
				tx.Preconditions[1].Revision = mark.revision
				tx.Deletes = []string{coordinator.CancelKey(job.ID)}
			} else {
				tx.Preconditions[1].Revision, tx.Deletes = 0, nil
			}
		}
		outcomeUnknown = outcomeUnknown || !errors.Is(err, platform.ErrUnavailable) && conflict == nil
		// Retries are pointless while the store is unreachable; if the outcome is unknown, the caller's next attempt finds it out.
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

// splitConflict returns the mark of a cancellation and the job record among the items of a conflicting submission.
func splitConflict(job *sched.Job, conflict *platform.ConflictError) (mark cancelMark, marked bool, recorded []byte) {
	for _, it := range conflict.Items {
		switch it.Key {
		case coordinator.JobKey(job.ID):
			recorded = it.Value
		case coordinator.CancelKey(job.ID):
			mark, marked = decodeMark(it), true
		}
	}
	return mark, marked, recorded
}

// reportJob tells the leader of a job, even if the caller's request has ended.
func (g *Gateway) reportJob(ctx context.Context, job *sched.Job, recordedBefore bool) {
	sentAt := g.uptime()
	if statement, ok := g.config.Coordinator.ReportJob(context.WithoutCancel(ctx), job, recordedBefore); ok && g.config.Admission {
		g.admission.set(statement, sentAt)
	}
}

// duplicateSubmission returns the response to a submission whose id is already recorded.
func (g *Gateway) duplicateSubmission(ctx context.Context, job *sched.Job, record []byte) Response {
	var recorded sched.Job
	if err := json.Unmarshal(record, &recorded); err != nil {
		return Response{Kind: Unknown, Reason: "recorded job not readable: " + err.Error()}
	}
	if recorded.Queue.ID != job.Queue.ID || recorded.Team != job.Team {
		return Response{Kind: Invalid, Reason: "id: in use by another job"}
	}
	if recorded.Ended == nil {
		go g.reportJob(ctx, &recorded, true)
	}
	return Response{Kind: Accepted, Reason: "recorded before"}
}
