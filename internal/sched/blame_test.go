package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// failureCell plays runs that end after a time with an outcome on the servers of a fixture.
type failureCell struct {
	*fixture
	servers []ServerID
	// ends returns when a run ends after its start and how; a time of 0 means that it goes on, and stalls without progress.
	ends    func(t TaskID, number int, server ServerID) (time.Duration, Outcome)
	runs    map[runKey]playedRun
	started map[TaskID]int
	starts  map[ServerID]int
	lastRun map[TaskID]time.Time // when a run of the task was last in progress
}

type playedRun struct {
	server  ServerID
	began   time.Time
	ends    time.Time // zero for a run that goes on
	outcome Outcome
}

func newFailureCell(t *testing.T, servers int, cores int64) *failureCell {
	c := &failureCell{
		fixture: newFixture(t, nil), runs: map[runKey]playedRun{}, started: map[TaskID]int{}, starts: map[ServerID]int{}, lastRun: map[TaskID]time.Time{},
	}
	q := testQueue()
	q.MaxAttempts = 4
	c.s.Configure(c.now, Config{Queues: map[ident.QueueID]Queue{"quotes": q}, Teams: map[ident.TeamID]Team{"blue": {ID: "blue"}}})
	for i := range servers {
		id := ServerID(fmt.Sprintf("s%d", i+1))
		c.servers = append(c.servers, id)
		c.addServer(id, cores)
	}
	return c
}

// play lets a time pass.
func (c *failureCell) play(d time.Duration) {
	const step = 20 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for _, cmd := range c.fixture.stops {
			key := runKey{cmd.Task, cmd.Run}
			if r, ok := c.runs[key]; ok {
				r.ends, r.outcome = c.now, OutcomeStopped
				c.runs[key] = r
			}
			c.s.Stopped(c.now, c.now, cmd.Server.ID, cmd.Task, cmd.Run, c.clock())
		}
		c.fixture.stops = nil
		for _, id := range c.servers {
			c.answer(id)
		}
		c.recordProgress()
		c.s.Tick(c.now)
		c.collectCommands()
		for _, cmd := range c.takeStarts() {
			c.started[cmd.Task]++
			c.starts[cmd.Server.ID]++
			after, outcome := c.ends(cmd.Task, c.started[cmd.Task], cmd.Server.ID)
			r := playedRun{server: cmd.Server.ID, began: c.now, outcome: outcome}
			if after > 0 {
				r.ends = c.now.Add(after)
			}
			c.runs[runKey{cmd.Task, cmd.Run}] = r
		}
	}
}

func (c *failureCell) clock() time.Duration { return c.now.Sub(epochStart) + time.Hour }

// answer answers the pending poll of a server, if there is one.
func (c *failureCell) answer(id ServerID) {
	if _, polled := c.polls[id]; !polled {
		return
	}
	var inv Inventory
	for key, r := range c.runs {
		switch {
		case r.server != id:
		case !r.ends.IsZero() && !c.now.Before(r.ends):
			c.endNumbers[id]++
			inv.Finished = append(inv.Finished, FinishedRun{Number: c.endNumbers[id], Task: key.task, Run: key.run, Outcome: r.outcome})
			delete(c.runs, key)
			c.lastRun[key.task] = c.now
		default:
			percent := 10
			if t := c.s.lookup(key.task); t != nil && t.group.step.LongRunning && c.now.Sub(r.began) > time.Second {
				percent = 100
			}
			inv.Running = append(inv.Running, ActiveRun{Task: key.task, Run: key.run, Percent: percent})
		}
	}
	c.answerPoll(id, inv)
}

// awaitStart plays until a task is started another time, at most for a limit, and returns how long that took.
func (c *failureCell) awaitStart(t TaskID, limit time.Duration) time.Duration {
	before, began := c.started[t], c.now
	for c.started[t] == before && c.now.Sub(began) < limit {
		c.play(20 * time.Millisecond)
	}
	return c.now.Sub(began)
}

// urgentStart is the time within which urgent work starts.
const urgentStart = 2200 * time.Millisecond

// lasting is a task that is at work until it fails once.
var lasting = Step{Count: 1, Demand: cores(1), Estimate: time.Second, LongRunning: true}

// Guards against tasks that find no server although all are empty (review/14): jobs whose tasks fail or stall everywhere had all servers
// suspected, for up to 24 s.
func TestHopelessJobsAreNotTheServersFault(t *testing.T) {
	type hopeless struct {
		jobs, tasks int
		step        Step
		after       time.Duration // 0: the runs stall
	}
	finite := Step{Demand: cores(1), Estimate: 400 * time.Millisecond}
	gang, constrained := finite, finite
	gang.Gang = true
	constrained.MaxPerServer = 1
	flapping := Step{Demand: cores(1), Estimate: time.Second, LongRunning: true}
	for name, play := range map[string]struct {
		servers int
		hopeless
	}{
		"three wide jobs":           {3, hopeless{3, 36, finite, 400 * time.Millisecond}},
		"three wide jobs, two":      {2, hopeless{3, 36, finite, 400 * time.Millisecond}},
		"three wide jobs, eight":    {8, hopeless{3, 36, finite, 400 * time.Millisecond}},
		"twenty narrow jobs":        {3, hopeless{20, 1, finite, 400 * time.Millisecond}},
		"ten jobs of two tasks":     {3, hopeless{10, 2, finite, 200 * time.Millisecond}},
		"gangs":                     {3, hopeless{6, 3, gang, 400 * time.Millisecond}},
		"one task a server":         {3, hopeless{6, 3, constrained, 400 * time.Millisecond}},
		"tasks that last and crash": {3, hopeless{1, 14, flapping, 300 * time.Millisecond}},
		"stalled tasks":             {3, hopeless{4, 6, finite, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFailureCell(t, play.servers, 6)
			good, fine := TaskID{Job: "lasting"}, map[ident.JobID]bool{}
			failAt := time.Duration(0)
			c.ends = func(id TaskID, number int, _ ServerID) (time.Duration, Outcome) {
				switch {
				case id == good && number == 1 && failAt > 0:
					return failAt, OutcomeFailed
				case id == good:
					return time.Hour, OutcomeFailed
				case fine[id.Job]:
					return 200 * time.Millisecond, OutcomeDone
				}
				return play.after, OutcomeFailed
			}
			for n := range 12 {
				// The task fails at another moment of each play.
				failAt = time.Duration(n)*1500*time.Millisecond + 700*time.Millisecond
				good = TaskID{Job: ident.JobID(fmt.Sprintf("lasting%d", n))}
				c.addJob(good.Job, lasting)
				c.play(100 * time.Millisecond)
				for j := range play.jobs {
					step := play.step
					step.Count = play.tasks
					c.addJob(ident.JobID(fmt.Sprintf("h%d-%d", n, j)), step)
				}
				c.play(failAt - 100*time.Millisecond)
				c.play(100 * time.Millisecond)
				took := time.Duration(0)
				if c.started[good] < 2 {
					took = c.awaitStart(good, 4*time.Second)
				}
				if took > time.Second {
					t.Errorf("play %d: a task that lasts is started again %s after its end", n, took)
				}
				urgent := ident.JobID(fmt.Sprintf("urgent%d", n))
				fine[urgent] = true
				c.addJob(urgent, Step{Count: 1, Demand: cores(1), Estimate: 200 * time.Millisecond})
				if took := c.awaitStart(TaskID{Job: urgent}, 4*time.Second); took > urgentStart {
					t.Errorf("play %d: an ordinary job is started after %s", n, took)
				}
				for j := range play.jobs {
					c.s.Cancel(c.now, ident.JobID(fmt.Sprintf("h%d-%d", n, j)))
				}
				c.s.Cancel(c.now, good.Job)
				c.play(2 * time.Second)
			}
		})
	}
}

// Guards against jobs that fail because a server which fails all that it is given gets their tasks again and again.
func TestServerThatFailsEverythingIsLeftAlone(t *testing.T) {
	for name, play := range map[string]struct {
		servers, faulty int
		jobs, tasks     int
		pause           time.Duration // between jobs
		most            int           // starts on each faulty server
	}{
		"two servers, one task at a time":   {2, 1, 60, 1, 300 * time.Millisecond, 16},
		"three servers, one task at a time": {3, 1, 60, 1, 300 * time.Millisecond, 16},
		"three servers, wide jobs":          {3, 1, 20, 12, time.Second, 40},
		"five servers, two of them faulty":  {5, 2, 30, 8, 600 * time.Millisecond, 40},
		"twelve servers, three faulty":      {12, 3, 30, 12, 600 * time.Millisecond, 40},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFailureCell(t, play.servers, 6)
			c.ends = func(_ TaskID, _ int, id ServerID) (time.Duration, Outcome) {
				for i := range play.faulty {
					if id == c.servers[i] {
						return 50 * time.Millisecond, OutcomeFailed
					}
				}
				return 200 * time.Millisecond, OutcomeDone
			}
			var ids []ident.JobID
			for n := range play.jobs {
				ids = append(ids, ident.JobID(fmt.Sprintf("j%d", n)))
				c.addJob(ids[n], Step{Count: play.tasks, Demand: cores(1), Estimate: 200 * time.Millisecond})
				c.play(play.pause)
			}
			c.play(5 * time.Second)
			for _, id := range ids {
				if st := c.state(id); st != StateCompleted {
					t.Errorf("job %s is %s", id, st)
				}
			}
			for i := range play.faulty {
				if n := c.starts[c.servers[i]]; n > play.most {
					t.Errorf("%d starts on the faulty server %s, want at most %d", n, c.servers[i], play.most)
				}
			}
		})
	}
}

// Guards against a task that lasts without a run on its only server, which is suspected, and against one that prefers a suspected server.
func TestLastingTaskRunsOnASuspectedServerRatherThanNowhere(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.s.suspect(f.s.servers["s1"])
	f.addJob("finite", Step{Count: 1, Demand: cores(1)})
	f.want("starts of a finite task", len(f.takeStarts()), 0)
	f.addJob("a", lasting)
	f.advanceTime(100 * time.Millisecond)
	f.want("starts on the only server", len(f.takeStarts()), 1)
	f.s.Cancel(f.now, "finite")
	f.addServer("s2", 16)
	f.addJob("b", lasting)
	f.advanceTime(100 * time.Millisecond)
	starts := f.takeStarts()
	if len(starts) != 1 || starts[0].Server.ID != "s2" {
		t.Errorf("starts %v, want one on s2", starts)
	}
}

// Guards against a wrong choice of who is to blame.
func TestBlameForFailures(t *testing.T) {
	type outcome struct {
		id     ServerID
		failed bool
	}
	for name, c := range map[string]struct {
		outcomes []outcome
		want     blame
	}{
		"no other server":                    {[]outcome{{"s1", true}, {"s1", true}}, blameUnproven},
		"fails elsewhere too":                {[]outcome{{"s1", true}, {"s2", true}}, blameStep},
		"ends well elsewhere":                {[]outcome{{"s1", true}, {"s2", false}}, blameServer},
		"another one fails too, a third not": {[]outcome{{"s1", true}, {"s2", true}, {"s3", false}}, blameServer},
		"fails elsewhere now and then":       {[]outcome{{"s1", true}, {"s2", true}, {"s2", false}, {"s2", false}}, blameServer},
		"mostly fails elsewhere":             {[]outcome{{"s1", true}, {"s2", true}, {"s2", true}, {"s2", false}}, blameStep},
	} {
		t.Run(name, func(t *testing.T) {
			var o stepOutcomes
			for _, e := range c.outcomes {
				o.note(e.id, e.failed)
			}
			if got := o.blameOn("s1"); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}
