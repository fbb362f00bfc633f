package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// fixture drives a scheduler with a simulated clock and collects its commands. Tests reply for the servers.
type fixture struct {
	*testing.T
	s              *Scheduler
	now            time.Time
	starts         []StartCommand
	stops          []StopCommand
	polls          map[ServerID]PollCommand
	adviceRequests []AdviceRequest
	throttles      []ThrottleCommand
	endNumbers     map[ServerID]uint64
	rosterDelayed  bool // servers are recorded in the roster only by recordRoster
}

var epochStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newFixture(t *testing.T, change func(*Options)) *fixture {
	o := Options{
		RunLease: 4 * time.Second, MaxFormerLease: 4 * time.Second, LeaderOverlap: 2 * time.Second, PollWait: time.Second,
		MaxStopTime: 200 * time.Millisecond, Retention: time.Minute,
	}
	if change != nil {
		change(&o)
	}
	f := &fixture{T: t, now: epochStart, polls: map[ServerID]PollCommand{}, endNumbers: map[ServerID]uint64{}}
	f.s = New(o, f.now)
	f.s.Configure(f.now, Config{
		Queues: map[ident.QueueID]Queue{"quotes": testQueue()},
		Teams:  map[ident.TeamID]Team{"blue": {ID: "blue"}},
	})
	return f
}

func testQueue() Queue {
	return Queue{ID: "quotes", Service: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}
}

// recordServers makes all servers count as recorded in the roster.
func recordServers(s *Scheduler) {
	for _, v := range s.servers {
		v.rosterAddress, v.longLeaseRecorded = v.info.Address, v.longLeaseChange
	}
}

// collectCommands runs a scheduling pass and collects the advisor calls and the commands.
func (f *fixture) collectCommands() {
	if !f.rosterDelayed {
		recordServers(f.s)
	}
	f.s.Schedule(f.now)
	for request, ok := f.s.NextAdviceRequest(f.now, 0, 0); ok; request, ok = f.s.NextAdviceRequest(f.now, 0, 0) {
		f.adviceRequests = append(f.adviceRequests, request)
	}
	for _, cmd := range f.s.TakeCommands() {
		switch cmd := cmd.(type) {
		case StartCommand:
			f.starts = append(f.starts, cmd)
		case StopCommand:
			f.stops = append(f.stops, cmd)
		case PollCommand:
			f.polls[cmd.Server.ID] = cmd
		case ThrottleCommand:
			f.throttles = append(f.throttles, cmd)
		}
	}
}

func (f *fixture) advanceTime(d time.Duration) {
	for d > 0 {
		step := min(d, 100*time.Millisecond)
		f.now = f.now.Add(step)
		d -= step
		f.s.Tick(f.now)
		f.collectCommands()
	}
}

func cores(n int64) resource.Vector {
	return resource.Vector{CPU: resource.Cores(n), Memory: 1024}
}

func testServer(id ServerID, n int64) Server {
	return Server{
		ID: id, Incarnation: 1, Address: string(id) + ":1", Service: "pool", Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: resource.Vector{CPU: resource.Cores(n), Memory: 64 * 1024, GPUs: 8},
	}
}

// addServer registers a server and answers its first poll with an empty inventory.
func (f *fixture) addServer(id ServerID, n int64) {
	f.s.Register(f.now, testServer(id, n))
	f.collectCommands()
	f.answerPoll(id, Inventory{})
}

// answerPoll answers the pending poll of a server.
func (f *fixture) answerPoll(id ServerID, inv Inventory) {
	f.Helper()
	poll, ok := f.polls[id]
	if !ok {
		f.Fatalf("no poll of %s is pending", id)
	}
	delete(f.polls, id)
	if inv.Incarnation == 0 {
		inv.Incarnation = 1
	}
	inv.Clock = f.now.Sub(epochStart) + time.Hour
	f.s.Polled(f.now, id, poll.Serial, inv)
	f.collectCommands()
}

// addJob adds a job with the given steps.
func (f *fixture) addJob(id ident.JobID, steps ...Step) *Job {
	j := &Job{ID: id, Team: "blue", Queue: testQueue(), Payload: "p", Steps: steps, Accepted: f.now}
	f.s.AddJob(f.now, j, Progress{}, false)
	f.collectCommands()
	return j
}

// takeStarts confirms the starts since the last call and returns them.
func (f *fixture) takeStarts() []StartCommand {
	out := f.starts
	f.starts = nil
	for _, cmd := range out {
		f.s.Started(f.now, f.now, cmd.Server.ID, cmd.Task, cmd.Run, f.now.Sub(epochStart)+time.Hour)
	}
	f.collectCommands()
	return out
}

// endRun ends a run and answers the pending poll of its server with it and the remaining runs.
func (f *fixture) endRun(cmd StartCommand, outcome Outcome) {
	f.Helper()
	f.endNumbers[cmd.Server.ID]++
	f.answerPoll(cmd.Server.ID, Inventory{
		Running:  f.running(cmd.Server.ID, cmd.Task, cmd.Run),
		Finished: []FinishedRun{{Number: f.endNumbers[cmd.Server.ID], Task: cmd.Task, Run: cmd.Run, Outcome: outcome}},
	})
}

// running returns inventory entries for the runs that the scheduler has on a server, except for one run.
func (f *fixture) running(id ServerID, except TaskID, run RunNumber) []ActiveRun {
	var rows []ActiveRun
	for _, p := range sortedRuns(f.s.servers[id]) {
		if p.task.id() != except || p.number != run {
			rows = append(rows, ActiveRun{Task: p.task.id(), Run: p.number, Percent: 10})
		}
	}
	return rows
}

// recordProgress reports all changed progress as written.
func (f *fixture) recordProgress() []ProgressUpdate {
	u := f.s.TakeProgressUpdates(1000)
	f.s.ProgressWritten(f.now, u)
	f.collectCommands()
	return u
}

func (f *fixture) state(id ident.JobID) State {
	st, _, ok := f.s.State(id)
	if !ok {
		return "unknown"
	}
	return st
}

func (f *fixture) want(what string, got, want any) {
	f.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		f.Errorf("%s: got %v, want %v", what, got, want)
	}
}
