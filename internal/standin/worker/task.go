package worker

import (
	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// fullShare is the throttle of a task that isn't throttled, in percent.
const unthrottledPercent = 100

// runLocked begins an attempt, whatever the capacity allows.
func (w *Worker) startLocked(t backend.Task) {
	now := w.config.Now()
	r := &activeTask{task: t, started: now, throttlePercent: unthrottledPercent, runIndex: len(w.runs), stop: func() bool { return true }}
	w.runs = append(w.runs, Run{Attempt: t.Attempt, Job: t.Job, Index: t.Index, Request: t.Request, Started: now})
	w.running[t.Attempt] = r
	w.config.Ledger.recordStart(w.config.Host, t)
	w.checkCapacityLocked(t.Attempt)
	if t.RunTime > 0 {
		r.stop = w.config.AfterFunc(t.RunTime.Duration(), func() { w.complete(t) })
	} else if w.faults.taskFails(t.Job) {
		r.stop = w.config.AfterFunc(0, func() { w.complete(t) })
	}
}

// checkCapacityLocked records a breach when the running tasks may use more than the capacity. A throttled task may use
// the allowed part of its demanded CPU, and all of its other demand.
func (w *Worker) checkCapacityLocked(cause ident.AttemptID) {
	var used resource.Vector
	for _, r := range w.running {
		allowed := r.task.Demand
		allowed.CPU = (allowed.CPU*resource.MilliCPU(r.throttlePercent) + unthrottledPercent - 1) / unthrottledPercent
		used = used.Add(allowed)
	}
	if !used.Fits(w.capacity) {
		w.config.Ledger.recordOvercommit(w.config.Host, cause, used, w.capacity)
	}
}

// complete ends an attempt whose run time is over, with the handler's answer or the failure that a fault asks for.
func (w *Worker) complete(t backend.Task) {
	if blocked := w.faults.completionBlocked(); blocked != nil {
		go func() { // the timer that runs this must not wait
			<-blocked
			w.complete(t)
		}()
		return
	}
	exit, message := backend.ExitSucceeded, ""
	var answer []byte
	if w.faults.taskFails(t.Job) {
		exit, message = backend.ExitFailed, "failed by fault injection"
	} else {
		var err error
		if answer, err = w.config.Handler(t); err != nil {
			exit, message = backend.ExitFailed, err.Error()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireLocked()
	w.finishLocked(t.Attempt, exit, answer, message)
}

// finishLocked moves a running attempt to the results; it does nothing when the attempt ended before.
func (w *Worker) finishLocked(attempt ident.AttemptID, exit backend.ExitState, answer []byte, message string) {
	r, ok := w.running[attempt]
	if !ok {
		return
	}
	r.stop()
	delete(w.running, attempt)
	w.config.Ledger.recordEnd(r.task)
	w.runs[r.runIndex].Exit = exit
	t := r.task
	w.sequence++
	w.pendingResults = append(w.pendingResults, pendingResult{sequence: w.sequence, result: backend.Result{
		Attempt: t.Attempt, Job: t.Job, Index: t.Index, Team: t.Team, Queue: t.Queue, Request: t.Request, Origin: t.Origin,
		Exit: exit, Answer: answer, Length: len(answer), Checksum: backend.Checksum(answer), Message: message,
		Ran: backend.ToMillis(w.config.Now().Sub(r.started)),
	}})
	state := backend.StopFinished
	if exit == backend.ExitStopped || exit == backend.ExitLeaseLapsed {
		state = backend.StopStopped
	}
	w.recordEndLocked(attempt, state)
	w.wakeLocked()
}

// newsAfterLocked reports whether there are results after the cursor.
func (w *Worker) hasResultsAfterLocked(after uint64) bool {
	return len(w.pendingResults) > 0 && w.pendingResults[len(w.pendingResults)-1].sequence > after
}

// newsLocked returns the results after the cursor, within replyAnswerBytes, and the cursor behind the last one.
func (w *Worker) resultsAfterLocked(after uint64) ([]backend.Result, uint64) {
	var results []backend.Result
	size := 0
	for _, f := range w.pendingResults {
		if f.sequence <= after {
			continue
		}
		size += len(f.result.Answer)
		if len(results) > 0 && size > maxReplyAnswerBytes {
			break
		}
		results = append(results, f.result)
		after = f.sequence
	}
	return results, after
}

// acknowledgeLocked drops results that their origin has.
func (w *Worker) acknowledgeLocked(attempts []ident.AttemptID) {
	if len(attempts) == 0 {
		return
	}
	acknowledged := make(map[ident.AttemptID]bool, len(attempts))
	for _, attempt := range attempts {
		acknowledged[attempt] = true
	}
	kept := w.pendingResults[:0:0]
	for _, f := range w.pendingResults {
		if !acknowledged[f.result.Attempt] {
			kept = append(kept, f)
		}
	}
	w.pendingResults = kept
}
