package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// limitFixture is a takeover with three servers of 8 cores and a team that is limited to 12 cores.
type limitFixture struct {
	*fixture
}

func newLimitFixture(t *testing.T, overlap time.Duration) limitFixture {
	f := limitFixture{newFixture(t, func(o *Options) { o.RunBase, o.LeaderOverlap, o.MaxRunLease = 1000, overlap, 8*time.Second })}
	f.limit(12)
	return f
}

// limit sets the limit of team blue; 0 means none.
func (f limitFixture) limit(n int64) {
	f.s.Configure(f.now, Config{
		Queues: map[ident.QueueID]Queue{"quotes": testQueue()},
		Teams:  map[ident.TeamID]Team{"blue": {ID: "blue", Limit: resource.Vector{CPU: resource.Cores(n)}}, "red": {ID: "red"}},
	})
}

func oneCore(count int) Step { return Step{Count: count, Demand: cores(1)} }

func (f limitFixture) job(id ident.JobID, steps ...Step) *Job {
	return &Job{ID: id, Team: "blue", Queue: testQueue(), Steps: steps, Accepted: f.now}
}

// inherit adds a job that was accepted under the former leader.
func (f limitFixture) inherit(j *Job) { f.s.AddJob(f.now, j, Progress{}, true) }

// addServers registers servers s1 to s3. The first inventory of s1 is missing.
func (f limitFixture) addServers() {
	f.s.Register(f.now, testServer("s1", 8))
	f.collectCommands()
	f.addServer("s2", 8)
	f.addServer("s3", 8)
}

// listRuns answers the poll of s1 with runs of the former leader of the first tasks of a job.
func (f limitFixture) listRuns(job ident.JobID, n int) {
	f.Helper()
	inv := Inventory{}
	for i := range n {
		inv.Running = append(inv.Running, ActiveRun{Task: TaskID{Job: job, Index: i}, Run: 1})
	}
	f.answerPoll("s1", inv)
}

// advanceTimeWithoutReplies lets the polls of s1 fail meanwhile.
func (f limitFixture) advanceTimeWithoutReplies(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		f.s.PollFailed(f.now, "s1", f.polls["s1"].Serial)
		f.advanceTime(100 * time.Millisecond)
	}
}

// wantStarts checks how many starts were sent since the last call.
func (f limitFixture) wantStarts(what string, n int) {
	f.Helper()
	f.want("starts "+what, len(f.takeStarts()), n)
}

// Guards against a team above its limit after a takeover: runs of the former leader on a server whose inventory wasn't known
// didn't count when tasks of new jobs started. Found by the soak, seed 2.
func TestTeamLimitWhileInventoryIsUnknown(t *testing.T) {
	for name, check := range map[string]func(limitFixture){
		"runs of an inherited job count": func(f limitFixture) {
			f.inherit(f.job("a", oneCore(5)))
			f.addServers()
			f.addJob("b", oneCore(12))
			f.wantStarts("before the inventory", 7)
			f.listRuns("a", 2)
			f.wantStarts("after it", 3)
		},
		"runs of a cancelled job count": func(f limitFixture) {
			f.inherit(f.job("a", oneCore(5)))
			f.addServers()
			f.s.Cancel(f.now, "a")
			f.recordProgress()
			f.addJob("b", oneCore(12))
			f.wantStarts("before the inventory", 7)
			f.listRuns("a", 5)
			f.wantStarts("while the runs are stopped", 0)
			f.want("stops", len(f.stops), 5)
		},
		"runs of a job that the former leader cancelled count": func(f limitFixture) {
			j := f.job("a")
			f.inherit(j.EndedRecord(Progress{State: StateCancelled, Ended: f.now, Remaining: Remaining{Demand: cores(5)}}))
			f.addServers()
			f.addJob("b", oneCore(12))
			f.wantStarts("before the inventory", 7)
			f.listRuns("a", 3)
			f.wantStarts("while runs of unknown demand are listed", 0)
			f.listRuns("a", 0)
			f.advanceTime(100 * time.Millisecond)
			f.wantStarts("after their end", 5)
		},
		"a job that ended long before counts no more": func(f limitFixture) {
			j := f.job("a")
			f.inherit(j.EndedRecord(Progress{State: StateCancelled, Ended: f.now.Add(-time.Minute), Remaining: Remaining{Demand: cores(5)}}))
			f.addServers()
			f.addJob("b", oneCore(12))
			f.wantStarts("before the inventory", 12)
		},
		"copies of a task count, and done tasks of such a step": func(f limitFixture) {
			f.inherit(f.job("a", Step{Count: 1, Demand: cores(1), Speculative: true}))
			f.addServers()
			f.addJob("b", oneCore(12))
			f.wantStarts("within the free capacity of the server", 4)
		},
		"another occurrence counts": func(f limitFixture) {
			j := f.job("a", oneCore(1))
			j.Repetitions, j.StartAt, j.Interval = 3, f.now, time.Hour
			f.inherit(j)
			f.addServers()
			f.addJob("b", oneCore(12))
			f.wantStarts("within the free capacity of the server", 4)
		},
		"best-effort tasks count beyond the capacity": func(f limitFixture) {
			f.inherit(f.job("a", Step{Count: 3, Demand: cores(1), BestEffort: true}, Step{Count: 2, Demand: cores(1), Speculative: true}))
			f.addServers()
			f.addJob("b", oneCore(12))
			f.wantStarts("before the inventory", 1)
		},
		"a gang starts as a whole or not at all": func(f limitFixture) {
			f.inherit(f.job("a", oneCore(5)))
			f.addServers()
			f.s.Cancel(f.now, "a")
			f.addJob("b", Step{Count: 8, Demand: cores(1), Gang: true})
			f.wantStarts("before the inventory", 0)
			f.listRuns("a", 0)
			f.wantStarts("after it", 8)
		},
		"a copy isn't started": func(f limitFixture) {
			f.inherit(f.job("a", oneCore(5)))
			f.addServers()
			f.addJob("b", Step{Count: 7, Demand: cores(1), Speculative: true, Estimate: 200 * time.Millisecond})
			f.wantStarts("before the inventory", 7)
			f.advanceTime(time.Second)
			f.wantStarts("of copies", 0)
		},
		"a cordoned server's run of a job that has ended counts": func(f limitFixture) {
			f.s.RestoreServer(f.now, RosterEntry{
				Server: testServer("s1", 8), Cordoned: true, Runs: []HeldRun{{Task: TaskID{Job: "a"}, Run: 1}},
			})
			f.collectCommands()
			f.addServer("s2", 8)
			f.addServer("s3", 8)
			f.addJob("b", oneCore(12))
			f.wantStarts("within the free capacity of the server", 4)
		},
		"a run of a job that has ended counts while its server is silent and without a registration": func(f limitFixture) {
			f.inherit(f.job("a").EndedRecord(Progress{State: StateCancelled, Ended: f.now, Remaining: Remaining{Demand: cores(1)}}))
			f.addServers()
			f.listRuns("a", 1)
			f.s.Unregister(f.now, "s1")
			f.addJob("b", oneCore(12))
			f.advanceTimeWithoutReplies(3 * time.Second)
			f.wantStarts("within the free capacity of the server", 4)
			f.advanceTimeWithoutReplies(2 * time.Second)
			f.wantStarts("after the leases have ended", 8)
		},
		"other teams aren't held back": func(f limitFixture) {
			f.inherit(f.job("a", oneCore(5)))
			f.addServers()
			j := f.job("b", oneCore(16))
			j.Team = "red"
			f.s.AddJob(f.now, j, Progress{}, false)
			f.collectCommands()
			f.wantStarts("before the inventory", 16)
		},
		"without unfinished inherited jobs nothing is held back": func(f limitFixture) {
			f.inherit(f.job("a").EndedRecord(Progress{State: StateCompleted, Ended: f.now}))
			f.addServers()
			f.addJob("b", oneCore(12))
			f.wantStarts("before the inventory", 12)
		},
		"a team far from its limit isn't held back": func(f limitFixture) {
			f.limit(40)
			f.inherit(f.job("a", oneCore(20)))
			f.addServers()
			f.addJob("b", oneCore(16))
			f.wantStarts("before the inventory", 16)
		},
		"a lowered limit counts the former leader's runs": func(f limitFixture) {
			f.inherit(f.job("a", oneCore(8)))
			f.addServers()
			f.limit(8)
			f.addJob("b", oneCore(4))
			f.wantStarts("before the inventory", 0)
			f.listRuns("a", 8)
			f.wantStarts("while the team is at its limit", 0)
		},
		"the former leases end": func(f limitFixture) {
			f.inherit(f.job("a", oneCore(5)))
			f.addServers()
			f.addJob("b", oneCore(12))
			f.wantStarts("before the inventory", 7)
			f.advanceTime(4 * time.Second)
			f.wantStarts("before the leases have ended", 0)
			f.advanceTime(400 * time.Millisecond)
			f.wantStarts("after the leases have ended", 5)
		},
	} {
		t.Run(name, func(t *testing.T) { check(newLimitFixture(t, 0)) })
	}
}

// Guards against a team above its limit while the former leader may still start tasks, also of jobs that the new leader doesn't
// know, on a server whose inventory isn't known.
func TestTeamLimitWhileFormerLeaderOverlaps(t *testing.T) {
	for name, c := range map[string]struct{ limit, starts int }{
		"the free capacity of the server counts": {limit: 12, starts: 4},
		"a team far from its limit starts":       {limit: 40, starts: 12},
		"a team without a limit starts":          {limit: 0, starts: 12},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitFixture(t, 2*time.Second)
			f.limit(int64(c.limit))
			f.addServers()
			f.advanceTime(2500 * time.Millisecond) // jobs accepted earlier count as inherited
			f.addJob("b", oneCore(12))
			f.wantStarts("before the inventory", c.starts)
			f.answerPoll("s1", Inventory{})
			f.wantStarts("after it", 12-c.starts)
		})
	}
}

// Guards against a team above its limit after a server restarted while the former leader may still start tasks there: the new
// incarnation doesn't know the fencing token.
func TestTeamLimitAfterRestartWhileFormerLeaderOverlaps(t *testing.T) {
	f := newLimitFixture(t, 2*time.Second)
	f.addServers()
	f.answerPoll("s1", Inventory{})
	v := testServer("s1", 8)
	v.Incarnation = 2
	f.s.Register(f.now, v)
	f.collectCommands()
	f.addJob("b", oneCore(12))
	f.wantStarts("before the new inventory", 4)
	f.answerPoll("s1", Inventory{Incarnation: 2})
	f.wantStarts("after it", 8)
}

// Guards against a record of an ended job that hides runs which a server hasn't stopped yet: the next leader wouldn't count them.
func TestEndedRecordHasRemainingDemand(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 8)
	f.addJob("a", oneCore(3))
	f.takeStarts()
	f.s.Cancel(f.now, "a")
	f.want("remaining", f.recordProgress()[0].EndedJob.Ended.Remaining.Demand, cores(1).Times(3))
	f.addJob("b", oneCore(1))
	start := f.takeStarts()[0]
	f.endRun(start, OutcomeDone)
	f.want("remaining of a completed job", f.recordProgress()[0].EndedJob.Ended.Remaining.Demand, resource.Vector{})
}

// Guards against a record of a job, cancelled while an inventory wasn't known, that hides runs on that server.
func TestEndedRecordHasDemandOfUnknownRuns(t *testing.T) {
	f := newLimitFixture(t, 0)
	f.inherit(f.job("a", oneCore(5), Step{Count: 2, Demand: cores(1), BestEffort: true}))
	f.addServers()
	f.s.Cancel(f.now, "a")
	f.want("remaining", f.recordProgress()[0].EndedJob.Ended.Remaining, Remaining{cores(1).Times(7), resource.Cores(2)})
}
