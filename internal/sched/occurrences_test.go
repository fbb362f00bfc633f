package sched

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// valueBytes is the largest record that the store accepts.
const valueBytes = 1 << 20

// timedJob returns a job with due occurrences at the beginning of a test.
func timedJob(id ident.JobID, due int, steps ...Step) *Job {
	return &Job{
		ID: id, Team: "blue", Queue: testQueue(), Payload: "p", Steps: steps, Accepted: epochStart, Repetitions: 2 * due,
		StartAt: epochStart.Add(-time.Duration(due-1) * time.Second), Interval: time.Second,
	}
}

// chain returns steps that follow each other.
func chain(steps, tasks int) []Step {
	var out []Step
	for i := range steps {
		step := Step{Count: tasks, Demand: cores(1), Estimate: time.Second}
		if i > 0 {
			step.After = []int{i - 1}
		}
		out = append(out, step)
	}
	return out
}

// heldBytes returns how much memory a function's result holds.
func heldBytes(f func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// Guards against a leader that exceeds its host's memory because of what is due and hasn't begun: the state of each task of each due
// occurrence was created at once, so that one leader after the other was killed.
func TestWorkThatHasNotBegunTakesLittleMemory(t *testing.T) {
	const bound = 16 << 20 // for all jobs of a case, of the 284 MB of the smallest host
	wide := make([]Step, 200)
	for i := range wide {
		wide[i] = Step{Count: 10_000, Demand: cores(1)}
	}
	for name, jobs := range map[string][]*Job{
		"occurrences of two days":  {timedJob("a", 2880, chain(5, 84)...)},
		"three such jobs":          {timedJob("a", 2880, chain(5, 84)...), timedJob("b", 1440, chain(5, 84)...), timedJob("c", 700, chain(5, 84)...)},
		"an occurrence a second":   {timedJob("a", 43_200, chain(2, 1)...)},
		"occurrences since 1970":   {{ID: "a", Queue: testQueue(), Steps: chain(2, 1), Repetitions: 1 << 62, Interval: time.Millisecond, StartAt: time.Unix(0, 0)}},
		"two million tasks":        {{ID: "a", Queue: testQueue(), Steps: wide, Accepted: epochStart}},
		"two million, in a chain":  {{ID: "a", Queue: testQueue(), Steps: chain(200, 10_000), Accepted: epochStart}},
		"wide steps on a schedule": {timedJob("a", 1000, chain(20, 10_000)...)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 64)
			held := heldBytes(func() any {
				for _, j := range jobs {
					f.s.AddJob(f.now, j, Progress{}, false)
				}
				f.advanceTime(time.Second)
				return f.s
			})
			t.Logf("the jobs hold %d KB", held>>10)
			f.want("starts", len(f.starts), 64)
			if held > bound {
				t.Errorf("the jobs hold %d KB, at most %d wanted", held>>10, bound>>10)
			}
		})
	}
}

// Guards against a bound of the runs of former leaders that overflows, so that a team gets more than its limit after a takeover.
func TestDemandOfManyOccurrencesDoesNotOverflow(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
	f.s.Register(f.now, testServer("s1", 64))
	wide := Step{Count: 10_000, Demand: cores(64), BestEffort: true}
	f.s.AddJob(f.now, &Job{ID: "a", Team: "blue", Queue: testQueue(), Steps: []Step{wide}, Repetitions: 1 << 62, Interval: time.Millisecond, StartAt: time.Unix(0, 0)},
		Progress{}, true)
	f.s.Cancel(f.now, "a")
	least := wide.Demand.Times(int64(wide.Count) * maxSummedOccurrences).CPU
	r := f.s.TakeProgressUpdates(1)[0].Progress.Remaining
	for what, got := range map[string]resource.MilliCPU{"demand": r.Demand.CPU, "best-effort": r.BestEffortCPU} {
		if got < least || got > 2*least {
			t.Errorf("%s of the ended job: %d, want %d or somewhat more", what, got, least)
		}
	}
}

// timedCell plays a scheduler with servers whose runs end at random, without time bounds, and replaces the scheduler by one that
// loads the recorded progress.
type timedCell struct {
	*fixture
	random   *rand.Rand
	jobs     []*Job
	records  map[ident.JobID][]byte
	running  map[ServerID][]StartCommand
	listed   map[ServerID][]FinishedRun
	done     map[TaskID]bool
	terms    RunNumber
	failures float64
}

func newTimedCell(t *testing.T, seed uint64, jobs ...*Job) *timedCell {
	c := &timedCell{
		random: rand.New(rand.NewPCG(seed, 7)), jobs: jobs, records: map[ident.JobID][]byte{}, running: map[ServerID][]StartCommand{},
		listed: map[ServerID][]FinishedRun{}, done: map[TaskID]bool{},
	}
	c.takeOver(t)
	return c
}

// takeOver loads the records into a new scheduler. Servers keep their runs and the ends that aren't acknowledged.
func (c *timedCell) takeOver(t *testing.T) {
	now, ends := epochStart, map[ServerID]uint64{}
	if c.fixture != nil {
		now, ends = c.now, c.endNumbers
	}
	f := newFixture(t, func(o *Options) { o.RunBase, o.EarlyStart = c.terms*1000, 100*time.Millisecond })
	f.now, f.endNumbers = now, ends
	f.s.started, f.s.now = now, now
	c.fixture = f
	c.terms++
	for _, j := range c.jobs {
		var p Progress
		if raw := c.records[j.ID]; raw != nil {
			if err := json.Unmarshal(raw, &p); err != nil {
				t.Fatal(err)
			}
		}
		f.s.AddJob(f.now, j, p, c.terms > 1)
	}
	for i := range 4 {
		f.s.Register(f.now, testServer(ServerID(fmt.Sprint("s", i)), 8))
	}
	f.collectCommands()
}

// step lets time pass, ends some runs, answers the polls, checks the starts and writes progress now and then.
func (c *timedCell) step() {
	c.Helper()
	c.advanceTime(50 * time.Millisecond)
	for i := range 4 {
		id := ServerID(fmt.Sprint("s", i))
		c.running[id] = slices.DeleteFunc(c.running[id], func(cmd StartCommand) bool {
			if c.random.Float64() < 0.5 {
				return false
			}
			outcome := OutcomeDone
			if c.random.Float64() < c.failures {
				outcome = OutcomeFailed
			}
			c.done[cmd.Task] = c.done[cmd.Task] || outcome == OutcomeDone
			c.endNumbers[id]++
			c.listed[id] = append(c.listed[id], FinishedRun{Number: c.endNumbers[id], Task: cmd.Task, Run: cmd.Run, Outcome: outcome})
			return true
		})
		poll, ok := c.polls[id]
		if !ok {
			continue
		}
		c.listed[id] = slices.DeleteFunc(c.listed[id], func(f FinishedRun) bool { return f.Number <= poll.Acknowledged })
		var rows []ActiveRun
		for _, cmd := range c.running[id] {
			rows = append(rows, ActiveRun{Task: cmd.Task, Run: cmd.Run, Percent: 50})
		}
		c.answerPoll(id, Inventory{Running: rows, Finished: slices.Clone(c.listed[id])})
	}
	for _, cmd := range c.takeStarts() {
		c.checkStart(cmd)
		c.running[cmd.Server.ID] = append(c.running[cmd.Server.ID], cmd)
	}
	if c.random.Float64() < 0.7 {
		for _, u := range c.recordProgress() {
			raw, err := json.Marshal(u.Progress)
			if err != nil {
				c.Fatal(err)
			}
			if len(raw) > valueBytes {
				c.Fatalf("the record of %s has %d bytes", u.Job, len(raw))
			}
			c.records[u.Job] = raw
		}
	}
	if got := violatedInvariants(c.s); len(got) > 0 {
		c.Fatalf("%q", got)
	}
}

// checkStart checks that a task neither runs nor is done, is due, and that the steps before it are done.
func (c *timedCell) checkStart(cmd StartCommand) {
	c.Helper()
	if c.done[cmd.Task] {
		c.Errorf("%v starts after its end", cmd.Task)
	}
	for _, runs := range c.running {
		if slices.ContainsFunc(runs, func(o StartCommand) bool { return o.Task == cmd.Task }) {
			c.Errorf("%v starts while it runs", cmd.Task)
		}
	}
	job := c.jobs[slices.IndexFunc(c.jobs, func(j *Job) bool { return j.ID == cmd.Task.Job })]
	if due := job.StartAt.Add(time.Duration(cmd.Task.Occurrence) * job.Interval); c.now.Add(100 * time.Millisecond).Before(due) {
		c.Errorf("%v starts %s before it is due", cmd.Task, due.Sub(c.now))
	}
	for _, before := range job.Steps[cmd.Task.Step].After {
		for i := range job.Steps[before].Count {
			if id := (TaskID{Job: job.ID, Occurrence: cmd.Task.Occurrence, Step: before, Index: i}); !c.done[id] {
				c.Errorf("%v starts before %v has ended", cmd.Task, id)
			}
		}
	}
}

// Guards against tasks of a timed job that are lost, run twice or start out of order when occurrences are kept as ranges, opened again and
// taken over by other leaders, with records that list all occurrences and with compact ones.
func TestTimedJobsOverTakeovers(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			jobs := []*Job{timedJob("a", 400, chain(2, 1)...), timedJob("b", 120, chain(3, 5)...)}
			if seed%3 == 0 {
				jobs = append(jobs, timedJob("c", 3, Step{Count: 40, Demand: cores(1), Gang: seed%2 == 0}))
				jobs[2].Steps[0].Count = 20
			}
			if seed%4 == 0 {
				jobs[0] = timedJob("a", 6000, chain(2, 1)...) // its record is compact once a few thousand are done
				jobs[0].Steps[1].Demand.GPUs = 100            // no server has them
				jobs[0].Repetitions = 6000
			}
			for _, j := range jobs[1:] {
				j.Repetitions = j.Repetitions/2 + 10 // ten become due during the test
			}
			c := newTimedCell(t, seed, jobs...)
			if seed%2 == 1 {
				c.failures = 0.02
			}
			for n := range 1500 {
				c.step()
				if c.random.Float64() < 0.01 {
					c.takeOver(t)
				}
				if t.Failed() {
					t.Fatalf("after %d steps", n)
				}
			}
			for range 200 { // without takeovers
				c.step()
			}
			for _, j := range jobs[1:] {
				if s := c.state(j.ID); s != StateCompleted && c.failures == 0 {
					t.Errorf("job %s is %s", j.ID, s)
				}
			}
			first := 0
			for id := range c.done {
				first += boolToInt(id.Job == "a" && id.Step == 0)
			}
			if seed%4 == 0 && first < 6000 {
				t.Errorf("%d of 6000 first steps are done", first)
			}
		})
	}
}

// Guards against occurrences that hold all others back because their next step can't run, and against records that the store refuses.
func TestStepThatCannotRunHoldsBackNoOccurrence(t *testing.T) {
	job := timedJob("a", 20_000, Step{Count: 1, Demand: cores(1)}, Step{Count: 1, Demand: cores(1), After: []int{0}})
	job.Steps[1].Demand.GPUs = 100
	c := newTimedCell(t, 1, job)
	other := 0
	for n := range 1200 {
		if n%10 == 0 {
			c.jobs = append(c.jobs, &Job{ID: ident.JobID(fmt.Sprint("other", n)), Team: "blue", Queue: testQueue(), Steps: chain(1, 1), Accepted: c.now})
			c.s.AddJob(c.now, c.jobs[len(c.jobs)-1], Progress{}, false)
			other++
		}
		c.step()
	}
	first, ended := 0, 0
	for id := range c.done {
		first += boolToInt(id.Job == "a")
		ended += boolToInt(id.Job != "a")
	}
	if first < 15_000 || ended < other-2 {
		t.Errorf("%d first steps and %d of %d other jobs are done", first, ended, other)
	}
	if n := len(c.records["a"]); n > maxListedBytes {
		t.Errorf("the record has %d bytes", n)
	}
	if n := len(c.s.jobs["a"].occurrences); n > 200 {
		t.Errorf("%d occurrences are in memory", n)
	}
}

// Guards against progress of a former version that is read wrongly: it lists each occurrence with a bit for each task.
func TestProgressOfTheFormerVersionIsRead(t *testing.T) {
	const raw = `{"begun":true,"done-before":2,"occurrences":{
		"2":{"done":["Aw==","AQ=="],"failures":{"1.1":[7]}},"3":{"done":["Aw==","AA=="]},"4":{"done":["Aw==","Aw=="]},"6":{"done":["AA==","AA=="]}}}`
	var p Progress
	if err := json.Unmarshal([]byte(raw), &p); err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, nil)
	f.addServer("s1", 100)
	f.s.AddJob(f.now, timedJob("a", 8, chain(2, 2)...), p, false)
	f.collectCommands()
	var got []string
	for _, cmd := range f.starts {
		got = append(got, fmt.Sprintf("%d.%d.%d", cmd.Task.Occurrence, cmd.Task.Step, cmd.Task.Index))
	}
	slices.Sort(got)
	f.want("starts", got, "[2.1.1 3.1.0 3.1.1 5.0.0 5.0.1 6.0.0 6.0.1 7.0.0 7.0.1]")
}

// Guards against records that the former version can't read although they could list all occurrences, on the way back to it.
func TestSmallProgressListsAllOccurrences(t *testing.T) {
	job := timedJob("a", 300, chain(2, 1)...)
	job.Repetitions = 300
	job.Steps[1].Demand.GPUs = 100
	c := newTimedCell(t, 3, job)
	for range 200 {
		c.step()
	}
	var p Progress
	if err := json.Unmarshal(c.records["a"], &p); err != nil {
		t.Fatal(err)
	}
	if len(p.Occurrences) != 300 || p.Idle != nil || p.DoneAhead != nil {
		t.Errorf("%d of 300 occurrences are listed, %d rows of ranges", len(p.Occurrences), len(p.Idle))
	}
}

// Guards against an end that is acknowledged without a record, and a task that runs again, as this leader's clock is behind and the
// occurrence isn't due for it yet.
func TestEndOfAnOccurrenceBeforeItsTimeIsKept(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.RunBase = 1000 })
	f.s.Register(f.now, testServer("s1", 8))
	f.collectCommands()
	job := timedJob("a", 2, chain(1, 1)...) // occurrence 2 is due in a second
	f.s.AddJob(f.now, job, Progress{}, true)
	ahead := TaskID{Job: "a", Occurrence: 2}
	f.answerPoll("s1", Inventory{
		Running:  []ActiveRun{{Task: TaskID{Job: "a", Occurrence: 3}, Run: 1, Percent: 10}},
		Finished: []FinishedRun{{Number: 1, Task: ahead, Run: 1, Outcome: OutcomeDone}},
	})
	f.want("recorded ends before the write", f.s.servers["s1"].recordedUpTo, 0)
	f.recordProgress()
	f.want("recorded ends", f.s.servers["s1"].recordedUpTo, 1)
	f.advanceTime(3 * time.Second)
	for _, cmd := range f.starts {
		if cmd.Task.Occurrence >= 2 {
			t.Errorf("%v is started again", cmd.Task)
		}
	}
	f.want("starts", len(f.starts), 2)
}
