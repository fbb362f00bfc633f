package sched

import (
	"strconv"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/evacuation"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// moveFixture has a server in data centre d1 with the long-running tasks of a job, and servers that are added in d2.
type moveFixture struct {
	*fixture
	percent  map[TaskID]int // progress of each task; 100 without an entry
	mostDown int            // highest number of tasks of the job without a run that is at work
	stopped  map[runKey]bool
}

func newMoveFixture(t *testing.T, step Step) *moveFixture {
	f := &moveFixture{fixture: newFixture(t, nil), percent: map[TaskID]int{}, stopped: map[runKey]bool{}}
	f.addServerIn("d1", "s1", 32)
	f.addJob("j", step)
	f.settle(2 * time.Second)
	f.want("tasks in d1", f.tasksOn("s1"), step.Count)
	return f
}

func (f *moveFixture) tasksOn(id ServerID) int { return len(f.s.servers[id].runs) }

// settle answers all polls and starts for a time. Stopped runs end.
func (f *moveFixture) settle(d time.Duration) {
	f.Helper()
	for range d / (100 * time.Millisecond) {
		f.advanceTime(100 * time.Millisecond)
		f.takeStarts()
		for _, cmd := range f.stops {
			f.stopped[runKey{cmd.Task, cmd.Run}] = true
			f.s.Stopped(f.now, f.now, cmd.Server.ID, cmd.Task, cmd.Run, f.now.Sub(epochStart)+time.Hour)
		}
		f.stops = nil
		f.collectCommands()
		for id := range f.polls {
			inv := Inventory{}
			for _, r := range f.running(id, TaskID{}, 0) {
				if f.stopped[runKey{r.Task, r.Run}] {
					f.endNumbers[id]++
					inv.Finished = append(inv.Finished, FinishedRun{Number: f.endNumbers[id], Task: r.Task, Run: r.Run, Outcome: OutcomeStopped})
					continue
				}
				r.Percent = 100
				if percent, ok := f.percent[r.Task]; ok {
					r.Percent = percent
				}
				inv.Running = append(inv.Running, r)
			}
			f.answerPoll(id, inv)
		}
		f.recordProgress()
		if j := f.s.jobs["j"]; j != nil {
			down := 0
			for t := range j.occurrences[0].groups[0].tasks.all() {
				down += boolToInt(len(t.runs) == 0 || !t.runs[0].atWork())
			}
			f.mostDown = max(f.mostDown, down)
		}
	}
}

func moveTask(index int) TaskID { return TaskID{Job: "j", Index: index} }

// Guards against long-running tasks that never leave an evacuated data centre, or leave it together.
func TestLongRunningTasksLeaveAnEvacuatedDataCentre(t *testing.T) {
	f := newMoveFixture(t, Step{Count: 4, Demand: cores(2), LongRunning: true, MaxUnavailable: 2})
	f.addServerIn("d2", "s2", 32)
	f.evacuate("d1")
	f.mostDown = 0
	f.settle(20 * time.Second)
	f.want("tasks in d1", f.tasksOn("s1"), 0)
	f.want("tasks in d2", f.tasksOn("s2"), 4)
	f.want("most tasks down", f.mostDown, 1)
	f.want("moves", f.s.Counts().Moves, 4)
	decisions, dropped := f.s.TakeMoveDecisions()
	f.want("decisions", len(decisions)+dropped, 4)
	for _, d := range decisions {
		f.want("decision", [4]any{d.Withheld, d.Server, d.DataCentre, d.AtWork}, [4]any{evacuation.Reason(""), "s1", "d1", 4})
	}
}

// Guards against a move while a task of the step is down for another cause, to servers that don't have room, or of a gang, and against a
// line in the log for each of the checks, or a reason that outlasts the evacuation.
func TestLongRunningTasksStay(t *testing.T) {
	for name, c := range map[string]struct {
		step    Step
		disturb func(*moveFixture)
		mend    func(*moveFixture) // nil if the tasks stay
		reason  evacuation.Reason
	}{
		"a task isn't at work yet": {
			Step{Count: 3, Demand: cores(2), LongRunning: true},
			func(f *moveFixture) { f.percent[moveTask(0)], f.percent[moveTask(1)] = 40, 40 },
			func(f *moveFixture) { clear(f.percent) }, evacuation.ReasonUnavailable,
		},
		"tasks are no longer at work": {
			Step{Count: 3, Demand: cores(2), LongRunning: true},
			func(f *moveFixture) {
				f.settle(time.Second)
				f.percent[moveTask(0)], f.percent[moveTask(1)] = 99, 99
				f.settle(2 * time.Second)
			},
			func(f *moveFixture) { clear(f.percent) }, evacuation.ReasonUnavailable,
		},
		"no room": {
			Step{Count: 3, Demand: cores(2), LongRunning: true},
			func(f *moveFixture) { f.s.servers["s2"].used = cores(31) },
			func(f *moveFixture) { f.s.servers["s2"].used = resource.Vector{} }, evacuation.ReasonNoRoom,
		},
		"other data centre evacuated too": {
			Step{Count: 3, Demand: cores(2), LongRunning: true},
			func(f *moveFixture) { f.evacuate("d1", "d2") },
			func(f *moveFixture) { f.evacuate("d1") }, evacuation.ReasonNoRoom,
		},
		"gang": {
			Step{Count: 3, Demand: cores(2), LongRunning: true, Gang: true}, func(*moveFixture) {}, nil, evacuation.ReasonGang,
		},
		"the team's limit": {
			Step{Count: 3, Demand: cores(2), LongRunning: true},
			func(f *moveFixture) {
				f.s.Configure(f.now, Config{
					Queues: map[ident.QueueID]Queue{"quotes": testQueue()},
					Teams:  map[ident.TeamID]Team{"blue": {ID: "blue", Limit: cores(5)}},
				})
			},
			func(f *moveFixture) {
				f.s.Configure(f.now, Config{
					Queues: map[ident.QueueID]Queue{"quotes": testQueue()}, Teams: map[ident.TeamID]Team{"blue": {ID: "blue"}},
				})
			}, evacuation.ReasonHeld,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMoveFixture(t, c.step)
			f.addServerIn("d2", "s2", 32)
			c.disturb(f)
			f.settle(500 * time.Millisecond)
			if len(f.s.evacuated) == 0 {
				f.evacuate("d1")
			}
			f.settle(5 * time.Second)
			f.want("tasks in d1", f.tasksOn("s1"), 3)
			decisions, _ := f.s.TakeMoveDecisions()
			f.want("decisions", len(decisions), 1)
			if len(decisions) > 0 {
				f.want("reason", decisions[0].Withheld, c.reason)
			}
			e, _ := f.s.Explain("j")
			f.want("explained reason", e.Steps[0].MoveWithheld, c.reason)
			if c.mend == nil {
				f.evacuate()
				f.advanceTime(moveInterval + 100*time.Millisecond)
				e, _ = f.s.Explain("j")
				_, withheld := f.s.MovingTasks()
				f.want("reason and steps that stay after the end", [2]any{e.Steps[0].MoveWithheld, withheld}, [2]any{"", 0})
				return
			}
			c.mend(f)
			f.settle(15 * time.Second)
			f.want("tasks in d1 in the end", f.tasksOn("s1"), 0)
		})
	}
}

// Guards against more moves of a service at once than its servers are asked for, and against moves after the end of the evacuation.
func TestMovesOfAServiceAreBounded(t *testing.T) {
	f := newFixture(t, nil)
	f.addServerIn("d1", "s1", 32)
	for n := range 12 {
		f.addJob(ident.JobID("j"+strconv.Itoa(n)), Step{Count: 1, Demand: cores(1), LongRunning: true})
	}
	m := &moveFixture{fixture: f, percent: map[TaskID]int{}, stopped: map[runKey]bool{}}
	m.settle(2 * time.Second)
	f.addServerIn("d2", "s2", 32)
	f.evacuate("d1")
	f.advanceTime(moveInterval + 100*time.Millisecond)
	f.want("stops", len(f.stops), evacuation.MaxMoves)
	f.evacuate()
	f.advanceTime(time.Second)
	f.want("moves after the end", f.s.Counts().Moves, evacuation.MaxMoves)
}

// Guards against tasks that never get to 100 percent after their move, as their runs stall or fail: they would count as being moved for
// ever, and with MaxMoves of them no other task of the service would leave the evacuated data centre.
func TestMovesEndForTasksThatAreNeverAtWork(t *testing.T) {
	f := newFixture(t, nil)
	f.addServerIn("d1", "s1", 32)
	m := &moveFixture{fixture: f, percent: map[TaskID]int{}, stopped: map[runKey]bool{}}
	for n := range evacuation.MaxMoves {
		f.addJob(ident.JobID("broken"+strconv.Itoa(n)), Step{Count: 1, Demand: cores(1), LongRunning: true})
	}
	f.addJob("j", Step{Count: 1, Demand: cores(1), LongRunning: true})
	m.settle(2 * time.Second)
	f.want("tasks in d1", m.tasksOn("s1"), evacuation.MaxMoves+1)
	for n := range 16 {
		f.addServerIn("d2", ServerID("t"+strconv.Itoa(n)), 32)
	}
	for n := range evacuation.MaxMoves {
		m.percent[TaskID{Job: ident.JobID("broken" + strconv.Itoa(n))}] = 40
	}
	f.evacuate("d1")
	m.settle(time.Second)
	f.want("tasks left in d1 while the others are being moved", m.tasksOn("s1"), 1)
	m.settle(20 * time.Second)
	f.want("tasks left in d1", m.tasksOn("s1"), 0)
}

// Guards against a long-running task that is stopped for room that is held for an urgent step, and then waits.
func TestLongRunningTasksStayWhileRoomIsHeld(t *testing.T) {
	f := newMoveFixture(t, Step{Count: 1, Demand: cores(8), LongRunning: true})
	f.addServerIn("d2", "s2", 8)
	f.addJob("urgent", Step{Count: 1, Demand: cores(64)})
	v := f.s.servers["s2"]
	v.hold = &roomHold{group: f.s.jobs["urgent"].occurrences[0].groups[0], server: v, places: 1}
	f.evacuate("d1")
	f.settle(2 * time.Second)
	f.want("moves while room is held", f.s.Counts().Moves, 0)
	v.hold = nil
	f.settle(5 * time.Second)
	f.want("tasks in d1 in the end", f.tasksOn("s1"), 0)
}
