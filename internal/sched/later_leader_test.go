package sched

import (
	"testing"
	"time"
)

// Guards against tasks that run twice or start after they are done: a leader that is cut off concluded from its clock that the leases of a
// silent server had ended, while a later leader had reached that server before their end and renewed them, and had acknowledged its
// ends (soak profile data-centre-cuts, seed 6).
func TestLeaseEndNeedsProofThatNoLaterLeaderRenewedIt(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){
		"own run on a silent server": func(f *fixture) {
			f.addServer("s1", 16)
			f.addJob("a", Step{Count: 1, Demand: cores(1), Estimate: time.Minute})
			f.takeStarts()
			f.s.PollFailed(f.now, "s1", f.polls["s1"].Serial)
			f.collectCommands()
			f.addServer("s2", 16)
		},
		"former leader's run on a silent server": func(f *fixture) {
			f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16)})
			f.s.AddJob(f.now, &Job{ID: "a", Team: "blue", Queue: testQueue(), Accepted: f.now, Steps: []Step{{Count: 1, Demand: cores(1)}}}, Progress{}, true)
			f.addServer("s2", 16)
		},
		"long lease of a silent server": func(f *fixture) {
			f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16), LongLease: true, LongRunning: true, LongRunningTasks: []TaskID{{Job: "a"}}})
			step := Step{Count: 1, Demand: cores(1), LongRunning: true}
			f.s.AddJob(f.now, &Job{ID: "a", Team: "blue", Queue: testQueue(), Accepted: f.now, Steps: []Step{step}}, Progress{}, true)
			f.addServer("s2", 16)
		},
		"former leader's run on a server whose registration is missing": func(f *fixture) {
			f.s.Register(f.now, testServer("s1", 16))
			f.s.Unregister(f.now, "s1")
			f.s.AddJob(f.now, &Job{ID: "a", Team: "blue", Queue: testQueue(), Accepted: f.now, Steps: []Step{{Count: 1, Demand: cores(1)}}}, Progress{}, true)
			f.addServer("s2", 16)
		},
		"usage of a former leader's runs in a team's limit": func(f *fixture) {
			limitFixture{f}.limit(1)
			f.s.RestoreServer(f.now, RosterEntry{Server: testServer("s1", 16)})
			f.addServer("s2", 16)
			f.advanceTime(2100 * time.Millisecond) // a job that is accepted after the overlap isn't inherited
			f.addJob("a", Step{Count: 1, Demand: cores(1)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			confirmed := false
			f = newFixture(t, func(o *Options) {
				o.RunBase, o.MaxRunLease, o.LedUntil = 1000, 10*time.Second, func() time.Time {
					if confirmed {
						return f.now
					}
					return epochStart
				}
			})
			prepare(f)
			const longestLease = 15 * time.Second
			for range int(longestLease / time.Second) {
				f.advanceTime(time.Second)
				f.failPolls("s1")
				f.answerPolls("s2")
			}
			f.want("starts without proof", len(f.starts), 0)
			f.want("silent server removed", f.s.servers["s1"] == nil, false)
			confirmed = true
			for range 5 {
				f.advanceTime(300 * time.Millisecond)
				f.failPolls("s1")
				f.answerPolls("s2")
			}
			f.want("starts with proof", len(f.starts), 1)
		})
	}
}

// answerPolls answers the pending poll of a server, if there is one, with the runs that the scheduler has there.
func (f *fixture) answerPolls(id ServerID) {
	if _, pending := f.polls[id]; pending {
		f.answerPoll(id, Inventory{Running: f.running(id, TaskID{}, 0)})
	}
}

// failPolls reports the pending poll of a server, if there is one, as failed.
func (f *fixture) failPolls(id ServerID) {
	if poll, pending := f.polls[id]; pending {
		delete(f.polls, id)
		f.s.PollFailed(f.now, id, poll.Serial)
		f.collectCommands()
	}
}
