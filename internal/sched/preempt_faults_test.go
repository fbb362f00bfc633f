package sched

import (
	"fmt"
	"testing"
	"time"
)

// batchOfContention returns a queue whose jobs give way to those of testQueue.
func batchOfContention() Queue {
	q := testQueue()
	q.ID, q.Priority, q.Target = "batch", 2, time.Hour
	return q
}

// queueOfJob returns the queue of the next job. With contention every second job is a batch, which is slow and makes checkpoints.
func (w *faultSimulation) queueOfJob(steps []Step) Queue {
	if w.contention == nil {
		return testQueue()
	}
	for i := range steps {
		steps[i].Image = "urgent"
		steps[i].Estimate = 800 * time.Millisecond
	}
	if len(w.specs)%2 == 1 {
		return testQueue()
	}
	for i := range steps {
		steps[i].Image, steps[i].Checkpointing = "batch", true
		steps[i].Estimate = 6 * time.Second
		steps[i].Gang = len(w.specs)%6 == 0 && steps[i].Count <= 2
	}
	return batchOfContention()
}

// faultNumber draws what happens in a step, see injectFaults. With contention there are more jobs and fewer faults, as hardly any server
// would be usable and full otherwise.
func (w *faultSimulation) faultNumber() int {
	if w.contention == nil {
		return w.random.IntN(1000)
	}
	n := w.random.IntN(10000)
	switch {
	case n < 500 && len(w.specs) < 60:
		return 0
	case n >= 500 && n < 510:
		return 50 + n%4
	}
	return 1000
}

// extraRunTime returns by how much longer the run of a batch task takes.
func (w *faultSimulation) extraRunTime(id TaskID) time.Duration {
	if w.contention == nil || w.specs[id.Job].Queue.Priority == 0 {
		return 0
	}
	return 5600 * time.Millisecond
}

// Checks the invariants of the scheduler, under the faults of TestRandomFaults, while urgent steps preempt batches. Guards against a
// preempted task that runs twice or after its end, a server over its capacity, and counts of stopped runs and held room that are
// never taken back.
func TestRandomFaultsDuringPreemption(t *testing.T) {
	t.Parallel()
	stops, started, takeovers := uint64(0), uint64(0), FencingToken(0)
	for seed := range uint64(60) {
		w := emptyFaultSimulation(t, seed)
		w.contention = &PreemptionOptions{CheckpointInterval: time.Second, RestoreTime: 10 * time.Millisecond}
		for i := range 5 {
			w.addServer(testServer(ServerID(fmt.Sprintf("s%d", i)), 4)).started = epochStart.Add(-time.Hour)
		}
		w.takeOver()
		former := w.s
		count := func(s *Scheduler) {
			n := s.PreemptionCounts()
			stops, started = stops+n.Stops, started+n.Started
		}
		for w.now.Sub(epochStart) < 40*time.Second && !t.Failed() {
			w.step()
			if w.s != former {
				count(former)
				former = w.s
			}
			w.checkPreemption()
		}
		count(w.s)
		takeovers += w.epoch - 1
		if t.Failed() {
			return
		}
	}
	t.Logf("%d runs preempted, %d starts in their room, %d takeovers", stops, started, takeovers)
	if stops == 0 || started == 0 {
		t.Errorf("%d runs were preempted and %d tasks started in their room, so that the test shows nothing", stops, started)
	}
}

// percent returns the progress that servers report. With contention it is unknown, as a constant one makes each run seem to end soon.
func (w *faultSimulation) percent() int {
	if w.contention != nil {
		return 0
	}
	return 50
}

// checkPreemption checks that the runs being stopped and the held room are counted right.
func (w *faultSimulation) checkPreemption() {
	stopping, held := 0, map[*group]int{}
	for _, v := range w.s.servers {
		for _, p := range v.runs {
			stopping += boolToInt(p.preempted)
		}
		if h := v.hold; h != nil {
			held[h.group] += h.places
			if h.server != v || h.places <= 0 {
				w.Errorf("seed %d: hold of %d places on %s", w.seed, h.places, v.info.ID)
			}
		}
	}
	if stopping != w.s.PreemptedRuns() {
		w.Errorf("seed %d: %d runs are being stopped, counted %d", w.seed, stopping, w.s.PreemptedRuns())
	}
	for g, n := range held {
		if n != g.heldPlaces {
			w.Errorf("seed %d: %d places are held for %s, counted %d", w.seed, n, g.job.spec.ID, g.heldPlaces)
		}
	}
}
