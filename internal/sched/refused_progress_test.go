package sched

import (
	"testing"
	"time"
)

// Guards against a refused record that is written again and again, and against one that keeps the ends of its job, and with them the
// later ends of other jobs on the same servers, from being acknowledged for good.
func TestRefusedProgressIsWrittenLaterAndSmaller(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 4)
	f.addJob("a", Step{Count: 4, Demand: cores(1), Estimate: time.Minute, Checkpointing: true})
	starts := f.takeStarts()
	f.answerPoll("s1", Inventory{
		Running: []ActiveRun{{Task: starts[1].Task, Run: starts[1].Run, Checkpoint: "saved"}},
		Finished: []FinishedRun{
			{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Outcome: OutcomeDone},
			{Number: 2, Task: starts[2].Task, Run: starts[2].Run, Outcome: OutcomeStopped, Checkpoint: "saved"},
		},
	})

	for n, pause := range []time.Duration{refusedWritePause, 2 * refusedWritePause, 4 * refusedWritePause} {
		u := f.s.TakeProgressUpdates(10)
		f.want("updates", len(u), 1)
		f.s.ProgressRefused(f.now, u[0], false)
		f.now = f.now.Add(pause - time.Millisecond)
		f.s.now = f.now
		f.want("updates in the pause", len(f.s.TakeProgressUpdates(10)), 0)
		f.now = f.now.Add(time.Millisecond)
		f.s.now = f.now
		f.want("refusals", f.s.jobs["a"].refusedWrites.count, n+1)
	}

	u := f.s.TakeProgressUpdates(10)
	f.want("checkpoints", len(u[0].Progress.Occurrences[0].Saved) > 0, true)
	f.s.ProgressRefused(f.now, u[0], true)
	u = f.s.TakeProgressUpdates(10)
	f.want("checkpoints of a record that was too large", len(u[0].Progress.Occurrences[0].Saved), 0)
	f.s.ProgressRefused(f.now, u[0], true)
	u = f.s.TakeProgressUpdates(10)
	f.want("state of a job that can't be recorded", u[0].Progress.State, StateFailed)
	f.s.ProgressWritten(f.now, u)
	f.want("recorded ends", f.s.servers["s1"].recordedUpTo, 2)
}
