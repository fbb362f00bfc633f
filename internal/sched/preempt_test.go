package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// preemptionFixture has servers full of batch tasks and urgent jobs that need room.
type preemptionFixture struct {
	*fixture
	batch, urgent Queue
}

func newPreemptionFixture(t *testing.T, change func(*Options)) *preemptionFixture {
	f := &preemptionFixture{fixture: newFixture(t, func(o *Options) {
		o.Preemption = &PreemptionOptions{CheckpointInterval: time.Second, RestoreTime: 100 * time.Millisecond}
		if change != nil {
			change(o)
		}
	})}
	f.batch = Queue{ID: "batch", Service: "pool", Priority: 2, MaxAttempts: 3, Stretch: 4, Target: 10 * time.Second}
	f.urgent = Queue{ID: "urgent", Service: "pool", MaxAttempts: 3, Stretch: 1.5, Target: 100 * time.Millisecond}
	f.configure()
	return f
}

func (f *preemptionFixture) configure() {
	f.s.Configure(f.now, Config{
		Queues: map[ident.QueueID]Queue{"quotes": testQueue(), "batch": f.batch, "urgent": f.urgent},
		Teams:  map[ident.TeamID]Team{"blue": {ID: "blue"}},
	})
}

// add adds a job and returns the starts that follow.
func (f *preemptionFixture) add(id ident.JobID, q Queue, step Step) []StartCommand {
	f.s.AddJob(f.now, &Job{ID: id, Team: "blue", Queue: q, Payload: "p", Steps: []Step{step}, Accepted: f.now}, Progress{}, false)
	f.collectCommands()
	return f.takeStarts()
}

// waitReason returns why the tasks of a job's only step wait.
func (f *preemptionFixture) waitReason(id ident.JobID) WaitReason {
	e, _ := f.s.Explain(id)
	for reason := range e.Steps[0].Waiting {
		return reason
	}
	return ""
}

// batchStep returns n tasks of 8 cores that take 10 s.
func batchStep(n int) Step {
	return Step{Count: n, Demand: cores(8), Estimate: 10 * time.Second, Checkpointing: true}
}

// urgentStep returns n tasks of 8 cores that take half a second. It has to start within a third of a second.
func urgentStep(n int) Step {
	return Step{Count: n, Demand: cores(8), Estimate: 500 * time.Millisecond}
}

// fill adds servers of 16 cores and batches that fill them.
func (f *preemptionFixture) fill(ids ...ServerID) []StartCommand {
	for _, id := range ids {
		f.addServer(id, 16)
	}
	starts := f.add("batch", f.batch, batchStep(2*len(ids)))
	f.advanceTime(time.Second)
	return starts
}

// endStopped ends a run that a stop has ended, with a checkpoint.
func (f *preemptionFixture) endStopped(cmd StopCommand) {
	f.Helper()
	f.endNumbers[cmd.Server.ID]++
	f.answerPoll(cmd.Server.ID, Inventory{
		Running: f.running(cmd.Server.ID, cmd.Task, cmd.Run),
		Finished: []FinishedRun{{
			Number: f.endNumbers[cmd.Server.ID], Task: cmd.Task, Run: cmd.Run, Outcome: OutcomeStopped, Checkpoint: "saved",
		}},
	})
}

// Guards against an urgent task that waits beside work that can, room that another step takes, a preempted task that loses its
// checkpoint, is counted as failed or starts before its end is listed.
func TestUrgentTaskTakesRoomOfBatch(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.want("starts before the end of the stop", len(f.add("u", f.urgent, urgentStep(1))), 0)
	f.want("stops", len(f.stops), 1)
	f.want("starts of another job", len(f.add("other", f.batch, batchStep(1))), 0)
	f.advanceTime(100 * time.Millisecond)
	f.want("stops after further passes", len(f.stops), 1)
	f.want("reason of the urgent step", f.waitReason("u"), WaitFreedRoom)
	stop := f.stops[0]
	f.endStopped(stop)
	starts := f.takeStarts()
	f.want("starts", len(starts), 1)
	f.want("started job", starts[0].Task.Job, "u")
	f.want("failed runs", len(f.s.lookup(stop.Task).failedRuns), 0)
	f.want("held", f.s.HeldRoom(), 0)
	f.recordProgress()
	f.advanceTime(500 * time.Millisecond)
	f.endRun(starts[0], OutcomeDone)
	starts = f.takeStarts()
	f.want("starts after the urgent task", len(starts), 1)
	f.want("restarted task", starts[0].Task, stop.Task) // by its rank, before the job that came later
	f.want("checkpoint", starts[0].Checkpoint, "saved")
	f.want("run number is higher", starts[0].Run > stop.Run, true)
	counts := f.s.PreemptionCounts()
	f.want("counted", []uint64{counts.Stops, counts.Places, counts.Started, counts.Unused}, []uint64{1, 1, 1, 0})
	decisions, dropped := f.s.TakePreemptions()
	f.want("decisions", []int{len(decisions), dropped}, []int{1, 0})
	f.want("logged server", decisions[0].Server, "s1")
	f.want("logged task", decisions[0].Stopped[0].Task, stop.Task)
}

// Guards against stops where they aren't allowed, and against work that is stopped without need.
func TestNothingIsPreempted(t *testing.T) {
	for name, c := range map[string]struct {
		options func(*Options)
		batch   func(*Step)
		queue   func(*Queue) // of the batches
		urgent  func(*Step)
		job     func(*preemptionFixture)
	}{
		"off":                      {options: func(o *Options) { o.Preemption = nil }},
		"the urgent one is late":   {job: func(f *preemptionFixture) { f.urgent.Target = -time.Second }},
		"there is time":            {job: func(f *preemptionFixture) { f.urgent.Target = time.Minute }},
		"equal priority":           {queue: func(q *Queue) { q.Priority = 0 }},
		"long-running":             {batch: func(s *Step) { s.LongRunning = true }},
		"without slack":            {queue: func(q *Queue) { q.Stretch, q.Target = 1, 0 }},
		"without checkpoints":      {batch: func(s *Step) { s.Checkpointing = false }},
		"it would free too little": {urgent: func(s *Step) { s.Demand = cores(32) }},
		"a gang is urgent":         {urgent: func(s *Step) { s.Gang = true }},
		"the team's limit": {job: func(f *preemptionFixture) {
			f.s.team("blue").Limit = resource.Vector{CPU: resource.Cores(16)}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPreemptionFixture(t, c.options)
			if c.queue != nil {
				c.queue(&f.batch)
			}
			f.configure()
			b, u := batchStep(2), urgentStep(1)
			if c.batch != nil {
				c.batch(&b)
			}
			if c.urgent != nil {
				c.urgent(&u)
			}
			f.addServer("s1", 16)
			f.want("batches", len(f.add("batch", f.batch, b)), 2)
			f.advanceTime(time.Second)
			if c.job != nil {
				c.job(f)
				f.configure()
			}
			if name == "the team's limit" {
				f.s.team("blue").Limit = resource.Vector{CPU: resource.Cores(16)}
			}
			f.add("u", f.urgent, u)
			f.advanceTime(time.Second)
			f.want("stops", len(f.stops), 0)
		})
	}
}

// Guards against room that stays held: once the step has started elsewhere, others may use it, also while the stop is under way.
func TestHoldEndsWhenStepStartsElsewhere(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.add("u", f.urgent, urgentStep(1))
	f.want("stops", len(f.stops), 1)
	f.addServer("s2", 8)
	starts := f.takeStarts()
	f.want("start elsewhere", []any{len(starts), starts[0].Server.ID}, []any{1, "s2"})
	f.collectCommands()
	f.endStopped(f.stops[0])
	starts = f.takeStarts()
	f.want("restart of the batch", []any{len(starts), starts[0].Task.Job, starts[0].Server.ID}, []any{1, "batch", "s1"})
	f.want("held", f.s.HeldRoom(), 0)
	f.want("unused", f.s.PreemptionCounts().Unused, 1)
}

// Guards against room that is held for a job that was cancelled, or for longer than a second after the end of the stop.
func TestHoldIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		give   func(*preemptionFixture)
		within time.Duration
	}{
		"cancelled": {give: func(f *preemptionFixture) { f.s.Cancel(f.now, "u") }, within: 0},
		"not started in a second": {
			// The start is refused by a pause of the step, which stands for whatever keeps it from starting.
			give: func(f *preemptionFixture) {
				f.s.jobs["u"].occurrences[0].groups[0].noStartsBefore = f.now.Add(time.Hour)
			},
			within: holdAfterEnd,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newPreemptionFixture(t, nil)
			f.fill("s1")
			f.add("u", f.urgent, urgentStep(1))
			c.give(f)
			f.endStopped(f.stops[0])
			if c.within > 0 {
				f.advanceTime(c.within - 100*time.Millisecond)
				f.want("starts while the room is held", len(f.takeStarts()), 0)
				f.advanceTime(200 * time.Millisecond)
			}
			starts := f.takeStarts()
			f.want("restart of the batch", []any{len(starts), starts[0].Task.Job}, []any{1, "batch"})
		})
	}
}

// Guards against a task that runs twice or room that is held for ever, because a stop has no answer: it is repeated, the room isn't
// counted as free, and the hold ends.
func TestStopWithoutAnswer(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.add("u", f.urgent, urgentStep(1))
	first := f.stops[0]
	for range 30 {
		f.advanceTime(100 * time.Millisecond)
		if _, ok := f.polls["s1"]; ok {
			f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
		}
	}
	for _, cmd := range f.stops[1:] {
		f.want("repeated", []any{cmd.Task, cmd.Run}, []any{first.Task, first.Run})
	}
	f.want("repeated at all", len(f.stops) > 1, true)
	f.want("starts", len(f.takeStarts()), 0)
	f.want("held", f.s.HeldRoom(), 0)
	f.want("not listed", f.s.PreemptedRuns(), 1)
	f.endStopped(first)
	f.want("starts after the end", len(f.takeStarts()), 1)
	f.want("not listed after the end", f.s.PreemptedRuns(), 0)
}

// Guards against an urgent step that gets no room because its tasks may have copies.
func TestSpeculativeStepTakesRoom(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	step := urgentStep(1)
	step.Speculative = true
	f.add("u", f.urgent, step)
	f.want("stops", len(f.stops), 1)
}

// Guards against a copy of a task that gives way, and against the run beside it, which is slow.
func TestCopiesDoNotGiveWay(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	for x := range f.s.jobs["batch"].occurrences[0].groups[0].tasks.used() {
		f.want("may give way", mayYield(x.runs[0]), true)
		x.runs = append(x.runs, x.runs[0])
		f.want("may give way beside a copy", mayYield(x.runs[0]), false)
		x.runs = x.runs[:1]
	}
}

// Guards against a stop for a task that must not start yet: another daemon may know the end of its former run.
func TestNoPreemptionForTaskThatMustWait(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.s.AddJob(f.now, &Job{ID: "u", Team: "blue", Queue: f.urgent, Payload: "p", Steps: []Step{urgentStep(1)}, Accepted: f.now}, Progress{}, false)
	task := f.s.lookup(TaskID{Job: "u"})
	task.noStartsBefore = f.now.Add(time.Hour)
	f.advanceTime(50 * time.Millisecond)
	f.want("stops", len(f.stops), 0)
	task.noStartsBefore = time.Time{}
	f.collectCommands()
	f.s.Tick(f.now)
	f.collectCommands()
	f.want("stops once it may start", len(f.stops), 1)
}

// Guards against a finished task that runs again because a stop overtook the report of its end.
func TestStopOvertakenByEnd(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.add("u", f.urgent, urgentStep(1))
	stop := f.stops[0]
	f.endRun(StartCommand{Server: stop.Server, Task: stop.Task, Run: stop.Run}, OutcomeDone)
	starts := f.takeStarts()
	f.want("start", []any{len(starts), starts[0].Task.Job}, []any{1, "u"})
	f.want("done", f.s.jobs["batch"].occurrences[0].groups[0].done, 1)
	f.want("not listed", f.s.PreemptedRuns(), 0)
}

// Guards against capacity that is never counted again as free when the server of a stopped run is lost.
func TestServerLostDuringStop(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.add("u", f.urgent, urgentStep(1))
	restarted := testServer("s1", 16)
	restarted.Incarnation = 2
	f.s.Register(f.now, restarted)
	f.want("not listed", f.s.PreemptedRuns(), 0)
	f.advanceTime(3 * time.Second)
	f.want("held", f.s.HeldRoom(), 0)
}

// Guards against a task that makes no progress under lasting contention: it gives way twice at most.
func TestTaskGivesWayTwiceAtMost(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.addServer("s1", 8)
	f.add("batch", f.batch, batchStep(1))
	for i := range 4 {
		f.advanceTime(time.Second)
		f.stops = nil
		f.add(ident.JobID("u"+string(rune('0'+i))), f.urgent, urgentStep(1))
		if i >= 2 {
			f.want("stops of a task that gave way twice", len(f.stops), 0)
			return
		}
		f.want("stops", len(f.stops), 1)
		f.endStopped(f.stops[0])
		starts := f.takeStarts()
		f.want("starts", len(starts), 1)
		f.recordProgress()
		f.advanceTime(500 * time.Millisecond)
		f.endRun(starts[0], OutcomeDone)
		f.want("restart", len(f.takeStarts()), 1)
		f.recordProgress()
	}
}

// Guards against more stops than the tasks of a step need, by one pass and by later ones, while their ends are awaited.
func TestNoMoreStopsThanMissingTasks(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1", "s2", "s3", "s4")
	f.add("u", f.urgent, urgentStep(3))
	f.want("stops", len(f.stops), 3)
	f.advanceTime(100 * time.Millisecond)
	f.want("stops later", len(f.stops), 3)
	f.endStopped(f.stops[0])
	f.want("starts", len(f.takeStarts()), 1)
	f.want("stops after the first end", len(f.stops), 3)
	f.want("held", f.s.HeldRoom(), 2)
}

// Guards against room that a stop has freed for a step and that it can't use, because a larger step of higher rank has reserved the server.
func TestHeldServerIsNotReservedForOthers(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1")
	f.add("u", f.urgent, urgentStep(1))
	f.want("stops", len(f.stops), 1)
	first := f.urgent
	first.Target = 0 // less slack than u
	large := urgentStep(1)
	large.Demand = cores(16)
	f.add("large", first, large)
	f.endStopped(f.stops[0])
	starts := f.takeStarts()
	f.want("starts", len(starts), 1)
	if len(starts) > 0 {
		f.want("started job", starts[0].Task.Job, "u")
	}
}

// Guards against a run that is stopped for a task which its team's limit doesn't admit, as room is held for another task of the team.
func TestNoPreemptionBeyondLimitWithHeldRoom(t *testing.T) {
	f := newPreemptionFixture(t, nil)
	f.fill("s1", "s2")
	f.s.team("red").Limit = resource.Vector{CPU: resource.Cores(8)}
	for _, id := range []ident.JobID{"u1", "u2"} {
		f.s.AddJob(f.now, &Job{ID: id, Team: "red", Queue: f.urgent, Payload: "p", Steps: []Step{urgentStep(1)}, Accepted: f.now}, Progress{}, false)
		f.collectCommands()
	}
	f.want("stops", len(f.stops), 1)
}
