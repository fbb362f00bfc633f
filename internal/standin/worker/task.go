package worker

import (
	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// unthrottledPercent is the throttle of a task that isn't throttled.
const unthrottledPercent = 100

// startLocked starts an attempt even if it exceeds the capacity, and records the violation.
func (w *Worker) startLocked(t backend.Task) {
	now := w.config.Now()
	r := &activeTask{
		task: t, started: now, throttlePercent: unthrottledPercent, runIndex: len(w.runs), stop: func() bool { return true },
	}
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

// checkCapacityLocked records a violation if the running tasks may use more than the capacity. A throttled task may use its
// percentage of the CPU demand, and all of its other demand.
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

// complete ends an attempt whose run time has passed, with the handler's answer or an injected failure.
func (w *Worker) complete(t backend.Task) {
	if blocked := w.faults.completionBlocked(); blocked != nil {
		go func() { // a timer's function must not block
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

// finishLocked ends a running attempt and adds its result. It does nothing if the attempt has ended already.
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

// hasResultsAfterLocked reports whether there are results after the cursor.
func (w *Worker) hasResultsAfterLocked(after uint64) bool {
	return len(w.pendingResults) > 0 && w.pendingResults[len(w.pendingResults)-1].sequence > after
}

// resultsAfterLocked returns the results after the cursor, up to maxReplyAnswerBytes, and the cursor of the last one.
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

// acknowledgeLocked drops the results that their origin has received.
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
