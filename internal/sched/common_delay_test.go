package sched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// lateReplies makes the replies to commands late for a time, as those of an overloaded leader.
func (f *fixture) lateReplies(delay, lasting time.Duration) {
	for end := f.now.Add(lasting); f.now.Before(end); {
		for range delaySamples {
			f.s.noteCommandReply(f.now, f.now.Add(-delay))
		}
		f.now = f.now.Add(100 * time.Millisecond)
		f.s.Tick(f.now)
	}
}

// The load is more work than the leader's processor can handle, so that the replies of all servers are handled late. Guards
// against taking that for slow servers: on bensalem-quotes-large quiet-1, a day without faults, 92 % of a service got no starts,
// its runs were given up and started again, and 955 jobs never ended. A server that alone is late still gets no starts.
func TestRepliesLateInCommonAreNotTheServers(t *testing.T) {
	for name, c := range map[string]struct {
		common, server time.Duration
		wantUsable     bool
	}{
		"all replies are late":        {common: 500 * time.Millisecond, server: 700 * time.Millisecond, wantUsable: true},
		"one server's reply is late":  {common: 10 * time.Millisecond, server: 700 * time.Millisecond},
		"late beyond what is common":  {common: 150 * time.Millisecond, server: 900 * time.Millisecond},
		"a prompt reply among others": {common: 10 * time.Millisecond, server: 10 * time.Millisecond, wantUsable: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addJob("j", Step{Count: 1, Demand: cores(1)})
			f.takeStarts()
			f.lateReplies(c.common, 300*time.Millisecond)
			f.collectCommands()
			f.answerPoll("s1", Inventory{Delay: c.server, Running: f.running("s1", TaskID{}, 0)})
			f.want("usable", f.s.servers["s1"].usable(f.now), c.wantUsable)
		})
	}
}

// The same load. Guards against sending starts that the leader can't handle the answers of: they timed out and were repeated up to
// three times, so that an overloaded leader didn't recover (2,000 unanswered starts in two seconds beside 76 confirmed ones).
func TestOverloadLimitsUnansweredStarts(t *testing.T) {
	f := newFixture(t, nil)
	for i := range 40 {
		f.addServer(ServerID(fmt.Sprintf("s%02d", i)), 16)
	}
	f.lateReplies(300*time.Millisecond, time.Second)
	f.addJob("j", Step{Count: 500, Demand: cores(1)})
	f.want("unanswered starts", len(f.starts), minStartWindow)
	f.takeStarts()
	f.want("starts once they are answered", len(f.starts) > 0, true)
	f.lateReplies(10*time.Millisecond, 2*time.Second)
	f.collectCommands()
	f.want("starts without congestion", len(f.starts) >= 500-minStartWindow, true)
}

// Guards against a limit of starts because of a few servers that don't answer.
func TestSilentServersDontLimitStarts(t *testing.T) {
	f := newFixture(t, nil)
	for range 20 {
		for i := range delaySamples {
			delay := 10 * time.Millisecond
			if i%5 == 0 {
				delay = 450 * time.Millisecond
			}
			f.s.noteCommandReply(f.now, f.now.Add(-delay))
		}
		f.s.Tick(f.now)
	}
	delay, window := f.s.CommonDelay()
	f.want("common delay", delay, 10*time.Millisecond)
	f.want("window", window, maxStartWindow)
}

// The same load. Guards against second runs of speculative tasks that aren't slow: their ends are handled late, as everything is, and
// each copy costs the leader two more commands.
func TestOverloadStartsNoCopies(t *testing.T) {
	const expected = 500 * time.Millisecond
	for name, c := range map[string]struct {
		common, elapsed time.Duration
		windowFull      bool // as many starts are unanswered as may be
		wantCopies      int
	}{
		"prompt replies, a slow run":       {common: 10 * time.Millisecond, elapsed: 2 * expected, wantCopies: 1},
		"late replies":                     {common: 200 * time.Millisecond, elapsed: 2 * expected},
		"late replies, a slow run":         {common: 200 * time.Millisecond, elapsed: 4 * expected, wantCopies: 1},
		"no start may be sent, a slow run": {common: 10 * time.Millisecond, elapsed: 2 * expected, windowFull: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.addServer("s1", 16)
			f.addServer("s2", 16)
			f.addJob("j", Step{Count: 1, Demand: cores(1), Speculative: true, Estimate: expected})
			f.want("starts", len(f.takeStarts()), 1)
			if c.windowFull {
				f.s.unansweredStarts = maxStartWindow
			}
			f.lateReplies(c.common, c.elapsed)
			f.collectCommands()
			f.want("copies", len(f.starts), c.wantCopies)
		})
	}
}

// The same load, of advised steps. Guards against advisor calls for steps that can't start before their tickets expire: each was asked
// about again and again, and the calls took the processor time that the starts were short of.
func TestOverloadAsksForNoTicketsThatExpire(t *testing.T) {
	const steps, width = 100, 20
	for name, c := range map[string]struct {
		common                time.Duration
		wantAtLeast, wantMost int // calls
	}{
		// 64 starts are answered in 300 ms, so 213 tasks start within half of the tickets' validity.
		"late replies":   {common: 300 * time.Millisecond, wantAtLeast: 213 / width, wantMost: 2 * 213 / width},
		"prompt replies": {common: 10 * time.Millisecond, wantAtLeast: steps, wantMost: 2 * steps},
	} {
		t.Run(name, func(t *testing.T) {
			q := advisedQueue("quotes", "pool", 0, 2, time.Second, 10*time.Millisecond, 2*time.Second)
			f := advisedFixture(t, 200, q)
			f.lateReplies(c.common, time.Second)
			for i := range steps {
				id := ident.JobID(fmt.Sprintf("j%03d", i))
				f.s.AddJob(f.now, &Job{ID: id, Queue: q, Accepted: f.now, Steps: []Step{{Count: width, Demand: cores(1)}}}, Progress{}, false)
			}
			calls := 0
			for range steps {
				f.s.passNeeded = true
				f.s.Schedule(f.now)
				request, ok := f.s.NextAdviceRequest(f.now, 0, 0)
				if !ok {
					break
				}
				calls++
				granted := map[ServerID]Ticket{}
				for _, id := range request.Servers {
					granted[id] = "t"
				}
				f.s.AdviceReceived(f.now, request, granted, f.now)
			}
			if calls < c.wantAtLeast || calls > c.wantMost {
				t.Errorf("%d advisor calls, want %d to %d", calls, c.wantAtLeast, c.wantMost)
			}
		})
	}
}

// Guards against a decision that depends on the processor: the time until a start was converted to a duration, also where no duration
// can hold it. x86-64 made the smallest of it, so that an advisor was asked for tickets that expire, arm64 the largest (issue 44).
func TestTicketsWouldExpire(t *testing.T) {
	for name, c := range map[string]struct {
		median       time.Duration
		delayedTasks int
		window       int
		validity     time.Duration
		want         bool
	}{
		"soon enough":             {median: time.Second, delayedTasks: 100, window: 100, validity: 2 * time.Second},
		"too late":                {median: time.Second, delayedTasks: 101, window: 100, validity: 2 * time.Second, want: true},
		"zero divisor":            {median: time.Second, delayedTasks: 1, validity: 2 * time.Second, want: true},
		"zero divided by zero":    {median: time.Second, validity: 2 * time.Second},
		"zero divisor, no delay":  {delayedTasks: 1, validity: 2 * time.Second},
		"too large":               {median: time.Second, delayedTasks: math.MaxInt, window: 1, validity: 2 * time.Second, want: true},
		"too large on both sides": {median: time.Second, delayedTasks: math.MaxInt, window: math.MaxInt, validity: math.MaxInt64},
		"negative delay":          {median: -time.Second, delayedTasks: math.MaxInt, window: 1, validity: 2 * time.Second},
		"negative, zero divisor":  {median: -time.Second, delayedTasks: 1, validity: 2 * time.Second},
		"negative validity":       {median: time.Second, delayedTasks: 1, window: 100, validity: -time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil)
			f.s.delay.median, f.s.delay.window, f.s.unansweredStarts = c.median, c.window, c.window
			p := &pass{Scheduler: f.s, delayedTasks: c.delayedTasks}
			f.want("expire", p.ticketsWouldExpire(&Queue{Advisor: &Advisor{TicketValidity: c.validity}}), c.want)
		})
	}
}
