package sched

import (
	"testing"
	"time"
)

// silentServer lets one server of a fixture answer nothing, and notes when the leases that were sent to it end at the latest.
type silentServer struct {
	*fixture
	id        ServerID
	timeout   time.Duration // after which a start counts as unanswered
	leaseEnds time.Time     // on a server whose clock is 2 % slow
	start     *StartCommand // without an answer so far
	startDue  time.Time     // when it counts as unanswered
	polls     map[uint64]time.Time
}

func (s *silentServer) granted(deadline time.Duration) {
	if deadline > 0 {
		clock := s.now.Sub(epochStart) + time.Hour
		s.leaseEnds = latest(s.leaseEnds, s.now.Add(scale(deadline-clock, 1+clockDrift)))
	}
}

// step handles the commands since the last step and returns the starts on other servers.
func (s *silentServer) step() []StartCommand {
	if s.start != nil && !s.now.Before(s.startDue) {
		cmd := s.start
		s.start = nil
		s.s.StartUnanswered(s.now, s.id, cmd.Task, cmd.Run, true)
		s.collectCommands()
	}
	if poll, ok := s.polls[s.fixture.polls[s.id].Serial]; ok && !s.now.Before(poll) {
		s.s.PollFailed(s.now, s.id, s.fixture.polls[s.id].Serial)
		s.collectCommands()
	}
	if poll, ok := s.fixture.polls[s.id]; ok {
		if _, known := s.polls[poll.Serial]; !known {
			s.granted(poll.Deadline)
			s.polls[poll.Serial] = s.now.Add(poll.Delay + poll.Timeout)
		}
	}
	for _, v := range s.s.sortedServers() {
		if _, ok := s.fixture.polls[v.info.ID]; ok && v.info.ID != s.id {
			s.answerPoll(v.info.ID, Inventory{})
		}
	}
	var elsewhere []StartCommand
	for _, cmd := range s.starts {
		if cmd.Server.ID != s.id {
			elsewhere = append(elsewhere, cmd)
			continue
		}
		s.granted(cmd.Deadline)
		s.start, s.startDue = &cmd, s.now.Add(s.timeout)
	}
	s.starts = nil
	return elsewhere
}

// Guards against a task that runs twice: the lease of a long-running task's start is shorter than others, and the task must not start
// elsewhere before every lease that was sent has ended.
func TestUnansweredStartIsHeldUntilItsLeaseHasEnded(t *testing.T) {
	for name, commonDelay := range map[string]time.Duration{"usual delay": 0, "leader overloaded": maxCommonDelay} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("a", Step{Count: 1, Demand: cores(1), LongRunning: true})
			f.addServer("s2", 16)
			f.want("starts", len(f.starts), 1)
			s := silentServer{
				fixture: f, id: "s1", timeout: 450*time.Millisecond + replyTimeoutFactor*commonDelay, polls: map[uint64]time.Time{},
			}
			for began := f.now; f.now.Sub(began) < 20*time.Second; f.advanceTime(50 * time.Millisecond) {
				f.s.delay.median = commonDelay
				if len(s.step()) == 0 {
					continue
				}
				if f.now.Before(s.leaseEnds) {
					t.Errorf("started elsewhere %s before the lease ends", s.leaseEnds.Sub(f.now))
				}
				return
			}
			t.Error("not started elsewhere")
		})
	}
}

// Guards against a run that ends soon after its start: once the start is confirmed, polls extend its short lease in time, also if its
// answer is late and one poll fails.
func TestConfirmedStartIsRenewed(t *testing.T) {
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.addJob("a", Step{Count: 1, Demand: cores(1), LongRunning: true})
	f.want("starts", len(f.starts), 1)
	leaseEnds := f.starts[0].Deadline
	f.advanceTime(400 * time.Millisecond)
	f.takeStarts()
	failed, ok := f.polls["s1"]
	if !ok || failed.Deadline <= leaseEnds {
		t.Fatal("the poll after the start doesn't renew the lease")
	}
	f.advanceTime(failed.Delay + failed.Timeout)
	delete(f.polls, "s1")
	f.s.PollFailed(f.now, "s1", failed.Serial)
	f.collectCommands()
	f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
	clock := f.now.Sub(epochStart) + time.Hour
	if next, ok := f.polls["s1"]; !ok || next.Deadline <= leaseEnds || clock >= leaseEnds {
		t.Errorf("the lease isn't renewed before it ends: clock %s, end of the lease %s", clock, leaseEnds)
	}
}

// Guards against a run that ends 2 s after its start on a server that answers: when the start is confirmed, a poll is in flight that
// doesn't extend its short lease, and that poll is lost. Its timeout is long, as earlier replies of the server were late.
func TestConfirmedStartIsRenewedBesideALostPoll(t *testing.T) {
	const delay = 900 * time.Millisecond
	f := newFixture(t, nil)
	f.addServer("s1", 16)
	f.s.servers["s1"].noteReplyDelay(2 * delay)
	f.s.servers["s1"].noteReplyDelay(0) // prompt again, so that the server gets starts
	f.advanceTime(1500 * time.Millisecond)
	f.addJob("a", Step{Count: 1, Demand: cores(1), LongRunning: true})
	f.want("starts", len(f.starts), 1)
	leaseEnds := f.starts[0].Deadline
	f.advanceTime(100 * time.Millisecond)
	lost, ok := f.polls["s1"]
	if !ok || lost.Deadline != 0 {
		t.Fatal("no poll without a lease is in flight")
	}
	f.takeStarts()
	for from := f.now; ; f.advanceTime(50 * time.Millisecond) {
		clock := f.now.Sub(epochStart) + time.Hour
		switch poll, ok := f.polls["s1"]; {
		case clock >= leaseEnds-100*time.Millisecond:
			t.Fatal("no poll extends the lease in time")
		case !ok:
		case poll.Serial != lost.Serial && poll.Deadline > leaseEnds:
			return
		case poll.Serial != lost.Serial:
			f.answerPoll("s1", Inventory{Running: f.running("s1", TaskID{}, 0)})
		case f.now.Sub(from) >= lost.Timeout:
			delete(f.polls, "s1")
			f.s.PollFailed(f.now, "s1", lost.Serial)
			f.collectCommands()
		}
	}
}

// Guards against a run whose lease ends before the leader has read the answer to its start: repeated starts keep their deadline, and
// the answers of all servers are late if the leader is overloaded.
func TestStartLeaseOutlastsLateAnswer(t *testing.T) {
	for _, commonDelay := range []time.Duration{0, 100 * time.Millisecond, 450 * time.Millisecond, maxCommonDelay} {
		t.Run(commonDelay.String(), func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.s.delay.median = commonDelay
			f.addJob("a", Step{Count: 1, Demand: cores(1), LongRunning: true})
			timeout := 450*time.Millisecond + replyTimeoutFactor*commonDelay
			for attempt := range maxStartAttempts {
				if len(f.starts) != 1 {
					t.Fatalf("%d starts at attempt %d", len(f.starts), attempt+1)
				}
				cmd := f.starts[0]
				f.starts = nil
				left := cmd.Deadline - (f.now.Sub(epochStart) + time.Hour)
				if left <= timeout {
					t.Errorf("attempt %d has a lease of %s, its answer may take %s", attempt+1, left, timeout)
				}
				if longest := startLease + replyTimeoutFactor*commonDelay; left > longest {
					t.Errorf("attempt %d has a lease of %s, more than %s", attempt+1, left, longest)
				}
				f.advanceTime(timeout)
				f.s.delay.median = commonDelay
				f.s.StartUnanswered(f.now, "s1", cmd.Task, cmd.Run, true)
				f.collectCommands()
			}
		})
	}
}

// Guards against a task that waits for a poll although the start that holds it back has expired: a server answers polls, but no
// commands, and its poll waited for the end of a run for up to a second more.
func TestPollReturnsOnceUnansweredStartHasExpired(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.PollWait = 10 * time.Second })
	f.addServer("s1", 16)
	f.addJob("a", Step{Count: 1, Demand: cores(1), LongRunning: true})
	for range maxStartAttempts {
		cmd := f.starts[len(f.starts)-1]
		f.s.StartUnanswered(f.now, "s1", cmd.Task, cmd.Run, true)
		f.collectCommands()
	}
	f.answerPoll("s1", Inventory{})
	left := f.starts[0].Deadline - (f.now.Sub(epochStart) + time.Hour)
	if poll, ok := f.polls["s1"]; !ok || poll.Wait < left || poll.Wait > left+pollMargin {
		t.Errorf("the poll waits for %s, the start expires in %s", poll.Wait, left)
	}
}
