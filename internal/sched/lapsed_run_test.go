package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// forever is longer than any of these tests.
const forever = time.Hour

// lapsedRun is a long-running task whose server has just fallen silent, and what happens to other servers then.
type lapsedRun struct {
	*serverLosses
	task TaskID
	lost *faultyServer
	// preferred are the servers that the scheduler prefers for the task: all but four, of which the advisor allows some.
	preferred []*faultyServer
}

func (r *lapsedRun) silencePreferred(d time.Duration) {
	for _, v := range r.preferred {
		v.silentUntil = r.now.Add(d)
	}
}

// silenceAtStarts makes servers fall silent when the first n runs of the task are started there.
func (r *lapsedRun) silenceAtStarts(n int) {
	r.script.onStart = func(cmd StartCommand, v *faultyServer) {
		if n > 0 && cmd.Task == r.task && cmd.Attempt == 1 {
			n--
			v.silentUntil = r.now.Add(forever)
		}
	}
}

// refusePreferred makes the preferred servers refuse starts.
func (r *lapsedRun) refusePreferred(reason Refusal) {
	for _, v := range r.preferred {
		r.script.refusals[v.info.ID] = reason
	}
}

// Guards against a long-running task without a run for over 9 s, while servers with room for it answer: its server falls silent, and
// the scheduler tries one server after the other that can't take it.
func TestLapsedRunIsReplacedInTime(t *testing.T) {
	t.Parallel()
	for name, begin := range map[string]func(*lapsedRun){
		"no other fault":               func(*lapsedRun) {},
		"preferred servers silent too": func(r *lapsedRun) { r.silencePreferred(forever) },
		"preferred servers silent when the lease ends": func(r *lapsedRun) {
			r.after(4*time.Second, func() { r.silencePreferred(forever) })
		},
		"preferred servers silent by turns": func(r *lapsedRun) {
			for n := range 10 {
				r.after(time.Duration(n)*3*time.Second+500*time.Millisecond, func() { r.silencePreferred(1500 * time.Millisecond) })
			}
		},
		"silent at the first start":          func(r *lapsedRun) { r.silenceAtStarts(1) },
		"silent at the first two starts":     func(r *lapsedRun) { r.silenceAtStarts(2) },
		"silent at the first three starts":   func(r *lapsedRun) { r.silenceAtStarts(3) },
		"preferred servers unhealthy":        func(r *lapsedRun) { r.refusePreferred(RefusedUnhealthy) },
		"preferred servers without capacity": func(r *lapsedRun) { r.refusePreferred(RefusedCapacity) },
		"commands to three servers late": func(r *lapsedRun) {
			for _, v := range r.preferred[:3] {
				r.script.lateBy[v.info.ID] = 5 * time.Second
			}
		},
		"commands to preferred servers late": func(r *lapsedRun) {
			for _, v := range r.preferred {
				r.script.lateBy[v.info.ID] = 5 * time.Second
			}
		},
		"rolling release without registrations": func(r *lapsedRun) {
			for n, v := range r.preferred {
				shutdown := 3500*time.Millisecond + time.Duration(n)*500*time.Millisecond
				r.after(shutdown, func() {
					r.end(v)
					r.launch(v.info.Service, r.newAddress())
				})
				r.after(shutdown+5*time.Second, func() { r.unregister(v.info.ID) })
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for placement, c := range map[string]struct {
				queue ident.QueueID
				busy  int // servers with other tasks, one each
			}{
				"idle servers":         {"quotes", 0},
				"busy servers":         {"quotes", 6},
				"idle allowed servers": {advisedQueueID, 0},
				"busy allowed servers": {advisedQueueID, 6},
			} {
				t.Run(placement, func(t *testing.T) {
					r := newLapsedRun(t, c.queue, c.busy)
					begin(r)
					r.checkReplaced()
				})
			}
		})
	}
}

// Guards against a task that an advisor's queue never starts again: servers refuse its tickets, and the scheduler renews theirs over and
// over instead of asking about others.
func TestLapsedRunIsReplacedAfterRefusedTickets(t *testing.T) {
	r := newLapsedRun(t, advisedQueueID, 0)
	r.refusePreferred(RefusedTicket)
	r.checkReplaced()
}

// newLapsedRun returns a task of a queue whose server falls silent now, besides a number of servers with other tasks.
func newLapsedRun(t *testing.T, queue ident.QueueID, busy int) *lapsedRun {
	const servers, notPreferred = 24, 4
	r := &lapsedRun{serverLosses: newScriptedLosses(t, servers)}
	for range busy {
		// No two of these tasks come at once, so that each has a server of its own while that is the one with most free capacity.
		r.addLongRunningJob(queue)
		r.advance(200 * time.Millisecond)
	}
	r.task = r.addLongRunningJob(queue)
	r.advance(2 * time.Second)
	r.lost = r.serverOf(r.task)
	if r.lost == nil {
		t.Fatal("the task has no run")
	}
	others := r.othersThan(r.lost)
	r.preferred = others[:len(others)-notPreferred]
	if queue == advisedQueueID && r.allowedOthers(r.task.Job) == 0 {
		t.Fatal("no server that the advisor allows is left")
	}
	r.lost.silentUntil = r.now.Add(forever)
	return r
}

// allowedOthers returns the number of servers that aren't preferred and that the advisor allows for the first step of a job.
func (r *lapsedRun) allowedOthers(job ident.JobID) int {
	n := 0
	for _, v := range r.othersThan(r.lost) {
		n += boolToInt(!slices.Contains(r.preferred, v) && r.allows(job, 0, v.info.ID))
	}
	return n
}

// checkReplaced checks that the task has another run in time.
func (r *lapsedRun) checkReplaced() {
	r.Helper()
	for r.serverOf(r.task) == r.lost && !r.Failed() {
		r.advance(10 * time.Millisecond)
	}
	ended := r.now
	for r.serverOf(r.task) == nil && r.now.Sub(ended) < 30*time.Second && !r.Failed() {
		r.advance(10 * time.Millisecond)
	}
	r.script.starts = slices.DeleteFunc(r.script.starts, func(cmd StartCommand) bool { return cmd.Task != r.task || cmd.Attempt > 1 })
	took := r.now.Sub(ended)
	r.Logf("no run for %v, %d runs", took, len(r.script.starts))
	if took > longRunningBound {
		r.Errorf("the task has had no run for %v, with %d runs started", took, len(r.script.starts))
	}
}

// Guards against a gang that an advisor's queue never starts: servers refuse its members, and the scheduler renews the tickets of the
// same servers over and over instead of asking about others.
func TestGangStartsAfterRefusals(t *testing.T) {
	gang := Step{Count: 2, Demand: cores(1), Gang: true, MaxPerServer: 1}
	lasting := gang
	lasting.LongRunning = true
	for name, step := range map[string]Step{"finite gang": gang, "long-running gang": lasting} {
		for _, reason := range []Refusal{RefusedTicket, RefusedCapacity} {
			t.Run(name+", "+string(reason), func(t *testing.T) {
				r := newLapsedRun(t, advisedQueueID, 0)
				r.refusePreferred(reason)
				job := r.addJobWithStep(advisedQueueID, step)
				if r.allowedOthers(job) < step.Count {
					t.Fatal("too few servers that the advisor allows are left")
				}
				for began := r.now; r.serverOf(TaskID{Job: job}) == nil || r.serverOf(TaskID{Job: job, Index: 1}) == nil; {
					r.advance(10 * time.Millisecond)
					if r.Failed() || r.now.Sub(began) > longRunningBound {
						t.Fatalf("no run of the whole gang within %v", longRunningBound)
					}
				}
			})
		}
	}
}
