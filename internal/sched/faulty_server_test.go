package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// faultyServer is a simulated backend server.
type faultyServer struct {
	info        Server
	started     time.Time // start of this incarnation and of its clock
	fence       FencingToken
	lease       time.Time
	runs        map[runKey]faultyServerRun
	endedRuns   map[TaskID]RunNumber
	finished    []FinishedRun
	lastEnd     uint64
	silentUntil time.Time
	slow        float64 // fraction by which its clock is slow
}

type faultyServerRun struct {
	end        time.Time
	outcome    Outcome
	aloneUntil time.Time // set while the member of a gang waits for the others
}

// receive updates a server to the current time and checks the fencing token of a call. An unresponsive server doesn't reply.
// One that has restarted under its id accepts calls that were meant for its former incarnation.
func (w *faultSimulation) receive(v *faultyServer, fence FencingToken) (fenced, ok bool) {
	if w.now.Before(v.silentUntil) {
		return false, false
	}
	w.endDueRuns(v)
	if fence < v.fence {
		return true, true
	}
	v.fence = fence
	return false, true
}

// lateForIncarnation reports whether a call would be carried out late by another incarnation of its server. That incarnation
// knows neither the fencing token nor earlier runs, so no leader can guard against it; docs/platform.md lists the case.
func (w *faultSimulation) lateForIncarnation(v *faultyServer, meant Server, sent time.Time) bool {
	return meant.Incarnation != v.info.Incarnation && w.now.Sub(sent) > maxOneWayDelay
}

// endDueRuns ends the runs of a server that have run their time, and the others if its lease has expired.
func (w *faultSimulation) endDueRuns(v *faultyServer) {
	for _, key := range v.runKeys() {
		r, here := v.runs[key]
		switch {
		case !here: // it ended with another member of its gang
		case !w.now.Before(r.end) && !r.end.After(v.lease):
			w.finish(v, key, r.outcome)
		case w.now.After(v.lease):
			w.finish(v, key, OutcomeLeaseExpired)
		case !r.aloneUntil.IsZero() && w.now.After(r.aloneUntil):
			w.finish(v, key, OutcomeGangIncomplete)
		}
	}
}

// runKeys returns the server's runs in a fixed order, so that a seed is reproducible.
func (v *faultyServer) runKeys() []runKey {
	keys := make([]runKey, 0, len(v.runs))
	for k := range v.runs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b runKey) int { return compareTasks(a.task, b.task, a.run, b.run) })
	return keys
}

func (w *faultSimulation) finish(v *faultyServer, key runKey, outcome Outcome) {
	delete(v.runs, key)
	v.endedRuns[key.task] = max(v.endedRuns[key.task], key.run)
	v.lastEnd++
	v.finished = append(v.finished, FinishedRun{Number: v.lastEnd, Task: key.task, Run: key.run, Outcome: outcome})
	if outcome == OutcomeDone {
		w.done[key.task], w.everDone[key.task] = true, true
		w.successes[key.task] = append(w.successes[key.task], &success{server: v, number: v.lastEnd})
	}
	if outcome == OutcomeFailed {
		if w.failed[key.task] == nil {
			w.failed[key.task] = map[RunNumber]bool{}
		}
		w.failed[key.task][key.run] = true
	}
	w.losses.endGang(key, outcome)
}

func (w *faultSimulation) clock(v *faultyServer) time.Duration {
	return scale(w.now.Sub(v.started), 1-v.slow)
}

// maxRunLease is the longest lease that a server grants.
const maxRunLease = 8 * time.Second

func (w *faultSimulation) extendLease(v *faultyServer, deadline time.Duration) {
	end := v.started.Add(scale(deadline, 1/(1-v.slow)))
	if limit := w.now.Add(scale(maxRunLease, 1/(1-v.slow))); end.After(limit) {
		end = limit
	}
	if deadline > 0 && end.After(v.lease) {
		w.excuseExpired(v)
		v.lease = end
	}
}

func (w *faultSimulation) start(fence FencingToken, cmd StartCommand, sent sendTime) func() {
	if !w.isolation.reaches(w, fence, cmd.Server.ID) {
		return nil
	}
	v, elsewhere := w.reach(cmd.Server, func() {
		w.s.StartUnanswered(w.leaderNow(), cmd.Server.ID, cmd.Task, cmd.Run, false)
	})
	if v == nil {
		return elsewhere
	}
	if w.lateForIncarnation(v, cmd.Server, sent.at) {
		return nil
	}
	fenced, ok := w.receive(v, fence)
	key, clock := runKey{cmd.Task, cmd.Run}, w.clock(v)
	refuse := func(reason Refusal) func() {
		return func() {
			w.s.StartRefused(w.leaderNow(), sent.leaderNow, cmd.Server.ID, cmd.Task, cmd.Run, reason, clock)
		}
	}
	started := func() { w.s.Started(w.leaderNow(), sent.leaderNow, cmd.Server.ID, cmd.Task, cmd.Run, clock) }
	_, here := v.runs[key]
	switch {
	case !ok:
		return nil
	case fenced:
		return refuse(RefusedFenced)
	case w.clock(v) > cmd.Deadline:
		return refuse(RefusedLeaseExpired)
	case here:
		w.extendLease(v, cmd.Deadline)
		return started
	case cmd.Run <= v.endedRuns[cmd.Task]:
		return refuse(RefusedOldRun)
	case !w.losses.ticketIsValid(v, cmd):
		return refuse(RefusedTicket)
	case w.losses.scriptedRefusal(v) != "":
		return refuse(w.losses.scriptedRefusal(v))
	}
	w.extendLease(v, cmd.Deadline)
	w.checkStart(v, cmd.Task, sent.at)
	w.starts++
	outcome := OutcomeDone
	if w.random.IntN(20) == 0 {
		outcome = OutcomeFailed
	}
	runTime := time.Duration(100+w.random.IntN(600))*time.Millisecond + w.lateInventories.extraRunTime() + w.extraRunTime(cmd.Task)
	v.runs[key] = faultyServerRun{end: w.now.Add(runTime), outcome: outcome}
	w.losses.started(v, key)
	return started
}

// checkStart checks the invariants that a start could violate, which was sent at the given time.
func (w *faultSimulation) checkStart(v *faultyServer, task TaskID, sentAt time.Time) {
	w.Helper()
	job := w.specs[task.Job]
	step := &job.Steps[task.Step]
	violated := func(format string, a ...any) { w.Errorf("seed %d: "+format, append([]any{w.seed}, a...)...) }
	used, all := step.Charge(), step.Demand
	for _, o := range w.servers {
		w.endDueRuns(o)
		for k := range o.runs {
			demand := w.specs[k.task.Job].Steps[k.task.Step].Demand
			all = all.Add(demand)
			if o == v {
				used = used.Add(demand)
			}
			if k.task == task {
				violated("%v runs on %s and %s", task, o.info.ID, v.info.ID)
			}
		}
	}
	if !used.Fits(v.info.Capacity) {
		violated("%s is over its capacity", v.info.ID)
	}
	if w.losses == nil && all.CPU > resource.Cores(teamLimitCores) {
		violated("the team has %d of %d running", all.CPU, resource.Cores(teamLimitCores))
	}
	// An end counts unless the lease of its server expired before it was acknowledged. A recorded end counts in any case, but a
	// start may have been sent before an end was reported late, and be carried out late itself.
	w.excuseAllExpired()
	binding := slices.ContainsFunc(w.successes[task], func(s *success) bool { return !s.excused })
	if binding || w.done[task] && sentAt.After(w.lateEndGrace[task]) && w.isRecorded(task) {
		violated("%v started after its end", task)
	}
	if n := len(w.failed[task]); n >= testQueue().MaxAttempts && !step.LongRunning {
		violated("%v started after %d failures", task, n)
	}
	for _, before := range step.After {
		for i := range job.Steps[before].Count {
			if id := (TaskID{Job: task.Job, Step: before, Index: i}); !w.everDone[id] {
				violated("%v started before %v was done", task, id)
			}
		}
	}
}

func (w *faultSimulation) stop(fence FencingToken, cmd StopCommand, sent sendTime) func() {
	if !w.isolation.reaches(w, fence, cmd.Server.ID) {
		return nil
	}
	v, elsewhere := w.reach(cmd.Server, nil)
	if v == nil {
		return elsewhere
	}
	fenced, ok := w.receive(v, fence)
	if !ok || fenced {
		return nil
	}
	v.endedRuns[cmd.Task] = max(v.endedRuns[cmd.Task], cmd.Run)
	key := runKey{cmd.Task, cmd.Run}
	if _, here := v.runs[key]; here {
		w.finish(v, key, OutcomeStopped)
	}
	clock := w.clock(v)
	return func() { w.s.Stopped(w.leaderNow(), sent.leaderNow, cmd.Server.ID, cmd.Task, cmd.Run, clock) }
}

func (w *faultSimulation) poll(fence FencingToken, cmd PollCommand, sent sendTime) func() {
	if !w.isolation.reaches(w, fence, cmd.Server.ID) {
		return nil
	}
	v, elsewhere := w.reach(cmd.Server, func() { w.s.PollFailed(w.leaderNow(), cmd.Server.ID, cmd.Serial) })
	if v == nil {
		return elsewhere
	}
	if w.lateForIncarnation(v, cmd.Server, sent.at) {
		return nil
	}
	fenced, ok := w.receive(v, fence)
	switch {
	case !ok:
		return nil
	case fenced:
		return func() { w.s.StopRefused(w.leaderNow()) }
	}
	var late []TaskID
	for _, f := range v.finished {
		if f.Outcome == OutcomeDone && w.now.After(v.lease) && !w.isRecorded(f.Task) {
			w.lateEndGrace[f.Task] = w.now.Add(time.Second)
			late = append(late, f.Task)
		}
	}
	w.acknowledge(v, cmd.Acknowledged)
	w.extendLease(v, cmd.Deadline)
	inv := Inventory{Incarnation: v.info.Incarnation, Clock: w.clock(v)}
	for _, f := range v.finished {
		if f.Number > cmd.Acknowledged {
			inv.Finished = append(inv.Finished, f)
		}
	}
	v.finished = inv.Finished
	for _, k := range v.runKeys() {
		row := ActiveRun{Task: k.task, Run: k.run, Percent: w.percent()}
		if w.specs[k.task.Job].Steps[k.task.Step].LongRunning {
			row.Percent = 100
		}
		inv.Running = append(inv.Running, row)
	}
	return func() {
		w.extendGrace(late)
		if w.losses != nil {
			inv.Delay = w.now.Sub(sent.at) - cmd.Wait
		}
		w.s.Polled(w.leaderNow(), cmd.Server.ID, cmd.Serial, inv)
	}
}
