package sched

import (
	"testing"
	"time"
)

// newStoreFixture returns a fixture with an idle server, and whether the store answers its leader.
func newStoreFixture(t *testing.T) (f *fixture, storeAnswers *bool) {
	answers := true
	f = newFixture(t, func(o *Options) {
		o.MaxRunLease, o.StoreInterval = 10*time.Second, 150*time.Millisecond
		o.StoreAnsweredAt = func() time.Time {
			if answers {
				return f.now
			}
			return f.now.Add(-time.Second)
		}
	})
	f.addServer("s1", 16)
	f.advanceTime(5 * time.Second)
	return f, &answers
}

// pollNewLife answers the pending poll of a server as its second incarnation.
func (f *fixture) pollNewLife(id ServerID, clock time.Duration, running ...ActiveRun) {
	f.Helper()
	poll := f.polls[id]
	delete(f.polls, id)
	f.s.Polled(f.now, id, poll.Serial, Inventory{Incarnation: 2, Clock: clock, Running: running})
	f.collectCommands()
}

// Guards against a task that runs twice after a takeover (review/12): while the store is silent, a start is sent to a server that has
// restarted since it last answered, and gives the run a lease that the next leader doesn't know of.
func TestStartWithoutStoreNeedsAProofOfTheIncarnation(t *testing.T) {
	finite, lasting := Step{Count: 3, Demand: cores(1)}, Step{Count: 3, Demand: cores(1), LongRunning: true}
	gang := Step{Count: 3, Demand: cores(1), Gang: true}
	for name, step := range map[string]Step{"finite": finite, "lasting": lasting, "gang": gang} {
		t.Run(name, func(t *testing.T) {
			f, storeAnswers := newStoreFixture(t)
			*storeAnswers = false
			f.addJob("a", step)
			f.want("starts before the server's answer", len(f.starts), 0)
			f.answerPoll("s1", Inventory{})
			f.want("starts after the server's answer", len(f.takeStarts()), 3)
		})
		t.Run(name+", restarted", func(t *testing.T) {
			f, storeAnswers := newStoreFixture(t)
			f.rosterDelayed = true
			*storeAnswers = false
			f.addJob("a", step)
			f.pollNewLife("s1", 100*time.Millisecond)
			f.advanceTime(300 * time.Millisecond)
			f.want("starts on the new incarnation", len(f.starts), 0)
			*storeAnswers = true
			f.recordRoster()
			f.collectCommands()
			f.pollNewLife("s1", 400*time.Millisecond)
			f.advanceTime(100 * time.Millisecond)
			f.recordRoster() // the names of the long-running tasks
			f.collectCommands()
			f.want("starts once the restart is recorded", len(f.starts), 3)
		})
	}
}

// Guards against a start that is held back for ever, as the proof is always too old when a slow reply brings it.
func TestProofOfTheIncarnationMayBeAsLateAsReplies(t *testing.T) {
	f, storeAnswers := newStoreFixture(t)
	f.s.servers["s1"].noteReplyDelay(350 * time.Millisecond)
	*storeAnswers = false
	f.addJob("a", Step{Count: 1, Demand: cores(1)})
	f.advanceTime(350 * time.Millisecond)
	f.want("starts before the server's answer", len(f.starts), 0)
	poll := f.polls["s1"]
	f.s.Polled(f.now, "s1", poll.Serial, Inventory{Incarnation: 1, Clock: f.now.Sub(epochStart) + time.Hour, Delay: 350 * time.Millisecond})
	f.collectCommands()
	f.want("starts after the server's late answer", len(f.starts), 1)
}

// Guards against a run that goes on under the longest lease, unknown to the next leader: the reply to its start shows that the server has
// restarted, and the store doesn't answer.
func TestRunUnderAnUnrecordedLongLeaseIsStopped(t *testing.T) {
	for name, answers := range map[string]bool{"store silent": false, "store answers": true} {
		t.Run(name, func(t *testing.T) {
			f, storeAnswers := newStoreFixture(t)
			f.rosterDelayed = true
			f.addJob("a", Step{Count: 2, Demand: cores(1)})
			f.want("starts", len(f.starts), 2)
			*storeAnswers = answers
			start := f.starts[0]
			f.starts = nil
			f.s.Started(f.now, f.now, "s1", start.Task, start.Run, 50*time.Millisecond)
			f.collectCommands()
			stopped := false
			for _, cmd := range f.stops {
				stopped = stopped || cmd.Task == start.Task
			}
			f.want("stop of the run on the new incarnation", stopped, !answers)
		})
	}
}

// Guards against a repeated start that reaches a server which has restarted since the first one.
func TestUnansweredStartIsNotRepeatedWithoutAProof(t *testing.T) {
	f, storeAnswers := newStoreFixture(t)
	f.addJob("a", Step{Count: 1, Demand: cores(1)})
	start := f.starts[0]
	f.starts = nil
	f.advanceTime(450 * time.Millisecond)
	*storeAnswers = false
	f.s.StartUnanswered(f.now, "s1", start.Task, start.Run, true)
	f.collectCommands()
	f.want("repeated starts", len(f.starts), 0)
	f.want("stops", len(f.stops), 1)
}

// Guards against a start that waited for a connection or for the leader's confirmation while its server restarted.
func TestStartThatWaitedIsOutdatedByARestart(t *testing.T) {
	f, _ := newStoreFixture(t)
	f.addJob("a", Step{Count: 1, Demand: cores(1)})
	start := f.starts[0]
	f.want("outdated", f.s.IsStartOutdated(f.now, &start), false)
	restarted := testServer("s1", 16)
	restarted.Incarnation = 2
	f.s.Register(f.now, restarted)
	f.want("outdated after a restart", f.s.IsStartOutdated(f.now, &start), true)
	f.s.StartWithheld(f.now, "s1", start.Task, start.Run)
	f.want("failures of the server", f.s.servers["s1"].failures, 0)
}
