package sched

import (
	"slices"
	"testing"
	"time"
)

// busyServer is a server on which a run ends at an interval. It answers a poll once it has an end to list or the wait is over.
type busyServer struct {
	*fixture
	id       ServerID
	interval time.Duration
	answered *PollCommand // the poll in progress
	sentAt   time.Time
	finished []FinishedRun
	endedAt  time.Time // when the latest run ended
}

// newBusyServer returns a server with many runs under a new leader.
func newBusyServer(t *testing.T, interval time.Duration) *busyServer {
	f := newFixture(t, nil)
	f.addServer("s1", 64)
	f.addJob("j", Step{Count: 60, Demand: cores(1), Estimate: time.Minute})
	f.want("starts", len(f.takeStarts()), 60)
	return &busyServer{fixture: f, id: "s1", interval: interval, endedAt: f.now}
}

// answerLate answers the poll in progress after a delay beyond its wait, of which the server or its link causes a part.
func (b *busyServer) answerLate(delay, ofServer time.Duration) {
	poll := b.polls[b.id]
	b.now = b.now.Add(poll.Delay + poll.Wait + delay)
	b.endedAt = b.now
	b.answerPoll(b.id, Inventory{Delay: ofServer, Running: b.running(b.id, TaskID{}, 0)})
}

// play lets the time pass, while replies take 10 ms, until a condition holds, and returns how long that took.
func (b *busyServer) play(longest time.Duration, until func(v *server) bool) time.Duration {
	from := b.now
	v := b.s.servers[b.id]
	for !until(v) && b.now.Sub(from) < longest {
		b.now = b.now.Add(10 * time.Millisecond)
		if b.now.Sub(b.endedAt) >= b.interval {
			b.endedAt = b.now
			b.endOne()
		}
		if b.now.Sub(from)%(100*time.Millisecond) == 0 {
			b.s.Tick(b.now)
		}
		b.collectCommands()
		b.recordProgress()
		b.reply()
	}
	return b.now.Sub(from)
}

// endOne ends a run on the server.
func (b *busyServer) endOne() {
	for _, p := range sortedRuns(b.s.servers[b.id]) {
		listed := func(f FinishedRun) bool { return f.Task == p.task.id() }
		if len(b.finished) == 0 || !listed(b.finished[len(b.finished)-1]) {
			b.endNumbers[b.id]++
			b.finished = append(b.finished, FinishedRun{Number: b.endNumbers[b.id], Task: p.task.id(), Run: p.number, Outcome: OutcomeDone})
			return
		}
	}
}

// reply answers the poll in progress, if the server does so now.
func (b *busyServer) reply() {
	poll, ok := b.polls[b.id]
	if !ok {
		return
	}
	if b.answered == nil || b.answered.Serial != poll.Serial {
		b.answered, b.sentAt = &poll, b.now.Add(poll.Delay)
	}
	b.finished = slices.DeleteFunc(b.finished, func(f FinishedRun) bool { return f.Number <= poll.Acknowledged })
	elapsed := b.now.Sub(b.sentAt)
	if elapsed < 10*time.Millisecond || len(b.finished) == 0 && elapsed < poll.Wait+10*time.Millisecond {
		return
	}
	inv := Inventory{Delay: elapsed - poll.Wait, Finished: slices.Clone(b.finished)}
	ended := map[TaskID]bool{}
	for _, f := range b.finished {
		ended[f.Task] = true
	}
	for _, r := range b.running(b.id, TaskID{}, 0) {
		if !ended[r.Task] {
			inv.Running = append(inv.Running, r)
		}
	}
	b.answerPoll(b.id, inv)
}

// Guards against a server that gets no starts although its replies are prompt again: replies that list ends may come before their wait is
// over and never lowered its delay, so that a server whose replies all list ends counted as slow until all its runs had ended (issue 43:
// 41 to 334 servers for 10 to 20 s).
func TestServerWithEndsInEachReplyCountsAsPromptAgain(t *testing.T) {
	for name, interval := range map[string]time.Duration{
		"replies within the bound":              100 * time.Millisecond,
		"replies after longer waits for an end": 600 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBusyServer(t, interval)
			b.answerLate(900*time.Millisecond, 900*time.Millisecond)
			b.want("usable after a late reply", b.s.servers["s1"].usable(b.now), false)
			longest := b.s.options.PollWait + 300*time.Millisecond
			d := b.play(5*time.Second, func(v *server) bool { return v.usable(b.now) })
			t.Logf("usable after %s", d)
			if d > longest {
				t.Errorf("usable after %s, want %s or sooner", d, longest)
			}
		})
	}
}

// The same for the delay until the leader handles a reply. Guards against runs of a silent server that aren't given up for another 4 s as
// its replies had been handled late long before.
func TestServerWithEndsInEachReplyIsNotWaitedForAfterItsLease(t *testing.T) {
	for name, interval := range map[string]time.Duration{
		"replies within the bound":              100 * time.Millisecond,
		"replies after longer waits for an end": 600 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBusyServer(t, interval)
			b.answerLate(900*time.Millisecond, 10*time.Millisecond)
			b.want("usable after a reply that was handled late", b.s.servers["s1"].usable(b.now), true)
			longest := delayProbeInterval + b.s.options.PollWait + 300*time.Millisecond
			d := b.play(10*time.Second, func(v *server) bool { return v.wholeReplyDelay <= maxStartReplyDelay })
			t.Logf("prompt after %s", d)
			if d > longest {
				t.Errorf("counts as late for %s, want %s or less", d, longest)
			}
		})
	}
}

// Guards against a slow server that gets starts since a reply with ends came before the end of its wait, and against a reply that tells its delay
// and isn't used.
func TestReplyWithEndsShowsItsDelayOnlyWithoutAWait(t *testing.T) {
	const known = 800 * time.Millisecond
	for name, c := range map[string]struct {
		wait, delay time.Duration // delay counts beyond the wait
		ends        bool
		want        time.Duration
	}{
		"without ends":                  {wait: time.Second, delay: 100 * time.Millisecond, want: 100 * time.Millisecond},
		"with ends, without a wait":     {delay: 600 * time.Millisecond, ends: true, want: 600 * time.Millisecond},
		"with ends, before the wait":    {wait: time.Second, delay: -100 * time.Millisecond, ends: true, want: known},
		"with ends, later than known":   {wait: time.Second, delay: 900 * time.Millisecond, ends: true, want: 900 * time.Millisecond},
		"with ends, earlier than known": {wait: time.Second, delay: 100 * time.Millisecond, ends: true, want: known},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			v := f.s.servers["s1"]
			v.lastReplyDelay, v.wholeReplyDelay = known, known
			f.s.poll(v, c.wait, 0)
			f.collectCommands()
			inv := Inventory{Delay: c.delay}
			if c.ends {
				inv.Finished = []FinishedRun{{Number: 1, Task: TaskID{Job: "x"}, Run: 1, Outcome: OutcomeDone}}
			}
			f.now = f.now.Add(c.wait + c.delay)
			f.answerPoll("s1", inv)
			f.want("delay", v.lastReplyDelay, c.want)
			f.want("delay until it was handled", v.wholeReplyDelay, c.want)
		})
	}
}
