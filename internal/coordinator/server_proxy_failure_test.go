package coordinator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// newTestProxy returns a proxy with an open session.
func newTestProxy(clock time.Duration) *serverProxy {
	p := newServerProxy(PresenceRecord{Incarnation: "i-1"}, &atomic.Uint64{})
	p.chosen, p.inFlight = true, 1
	p.answered(p.session, clock, time.Now())
	return p
}

// newTestLeader returns a term for which the daemon makes calls.
func newTestLeader(d *testCaller) *term {
	now := time.Now()
	t := &term{coordinator: d.Coordinator, config: Config{Log: logr.Discard()}, proxies: newServerProxies()}
	t.confirmed.Store(&now)
	return t
}

// useSlots lets starts and stops wait for one of the connections to a server that doesn't answer, as the platform's client does, and
// returns the times at which they were sent.
func (c *testCaller) useSlots() *sentTimes {
	const connections, timeout = 6, 450 * time.Millisecond
	slots, sent := make(chan struct{}, connections), &sentTimes{}
	hang := func(ctx context.Context) (time.Duration, error) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return 0, ErrNotSent
		}
		if !MaySend(ctx) {
			return 0, ErrNotSent
		}
		sent.add(time.Now())
		sleep(ctx, timeout)
		return 0, ErrNoResponse
	}
	c.config.ServerClient.Start = func(ctx context.Context, _ sched.FencingToken, _ sched.StartCommand) (time.Duration, error) {
		return hang(ctx)
	}
	c.config.ServerClient.Stop = func(ctx context.Context, _ sched.FencingToken, _ sched.StopCommand) (time.Duration, error) {
		return hang(ctx)
	}
	return sent
}

// sentTimes collects when calls were sent.
type sentTimes struct {
	mu sync.Mutex
	at []time.Time
}

func (s *sentTimes) add(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = append(s.at, at)
}

// after returns the number of calls that were sent after a time.
func (s *sentTimes) after(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.at {
		if at.After(t) {
			n++
		}
	}
	return n
}

func startCommands(n int) []sched.Command {
	var commands []sched.Command
	for i := range n {
		cmd := testStart
		cmd.Task.Index = i
		commands = append(commands, cmd)
	}
	return commands
}

// Guards against outcomes that are lost, and polls that are never repeated, as an exchange of the leader's former session, which it no longer
// listens to, still waits at the proxy when the next session's commands are answered.
func TestFormerSessionTakesNoOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestCaller(0)
		defer d.sessions.end()
		r := exchangeRequest{Epoch: 3, Leader: "a", Session: 1, Proxy: "i-1", SendUntil: time.Hour, Wait: exchangeWait}
		former := -1
		go func() {
			if reply, err := d.exchange(context.Background(), r); err == nil {
				outcomes, _ := decodeOutcomes(reply.Outcomes)
				former = len(outcomes)
			}
		}()
		synctest.Wait()
		if _, _, err := d.send(t, exchangeRequest{Epoch: 3, Leader: "a", Session: 2}); err != nil {
			t.Fatal(err)
		}
		r.Session = 2
		_, outcomes, err := d.send(t, r, testStart)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if len(outcomes) != 1 || former != 0 {
			t.Errorf("%d outcomes for the session that sent the start, %d for the former one", len(outcomes), former)
		}
		r.Session = 1
		if _, _, err := d.send(t, r, testStart); err == nil || d.starts != 1 {
			t.Errorf("error %v and %d starts after an exchange of the former session", err, d.starts)
		}
	})
}

// Guards against a proxy that counts as lost, with the calls to all its servers, as one of them hangs: commands wait there for one of the
// connections to it, and the scheduler repeats stops, so that their outcomes get later and later.
func TestHangingServerDoesNotFailItsProxy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestCaller(0)
		defer d.sessions.end()
		start := time.Now()
		d.uptime = func() time.Duration { return time.Since(start) + time.Second }
		d.useSlots()
		leader, p := newTestLeader(d), newTestProxy(d.uptime())
		stop := sched.StopCommand{Server: testStart.Server, Task: testStart.Task, Run: 2}
		exchange := func(calls []*proxiedCall) {
			now := time.Now()
			leader.confirmed.Store(&now)
			r, session, ok := p.handOver(leader, calls, now)
			if !ok {
				return
			}
			go func() {
				reply, err := d.exchange(t.Context(), r)
				if err != nil {
					t.Error(err)
					return
				}
				p.answered(session, reply.Clock, time.Now())
				outcomes, _ := decodeOutcomes(reply.Outcomes)
				for i := range outcomes {
					p.take(&outcomes[i], time.Now())
				}
			}()
		}
		for tick := range 800 { // 8 s
			var calls []*proxiedCall
			if tick%40 == 0 {
				for range 12 {
					calls = append(calls, &proxiedCall{command: stop, due: time.Now()})
				}
			}
			exchange(calls)
			time.Sleep(exchangePause)
			if reason := p.check(time.Now(), 0); reason != "" {
				t.Errorf("the proxy is given up after %v: %s", time.Since(start), reason)
				break
			}
		}
		d.sessions.end()
		time.Sleep(time.Second)
	})
}

// Guards against starts that a proxy sends long after the leader's bound, or although it knows of a later leader, as they waited there for
// one of the connections to their server.
func TestStartThatWaitedAtTheProxyIsNotSentLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestCaller(0)
		defer d.sessions.end()
		begin := time.Now()
		d.uptime = func() time.Duration { return time.Since(begin) }
		sent := d.useSlots()
		r := exchangeRequest{Epoch: 3, Proxy: "i-1", SendUntil: maxProxyLag, Wait: exchangeWait}
		if _, _, err := d.send(t, r, startCommands(48)...); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if n := sent.after(begin.Add(maxProxyLag)); n > 0 || sent.after(begin.Add(-1)) == 0 {
			t.Errorf("%d starts were sent after the bound of %v, %d in all", n, maxProxyLag, sent.after(begin.Add(-1)))
		}
		r.SendUntil = time.Hour
		if _, _, err := d.send(t, r, startCommands(24)...); err != nil {
			t.Fatal(err)
		}
		d.view.mu.Lock()
		d.view.state.leader.Epoch = 4
		d.view.mu.Unlock()
		known := time.Now()
		time.Sleep(5 * time.Second)
		if n := sent.after(known); n > 0 {
			t.Errorf("%d starts of epoch 3 were sent after the proxy had learned of epoch 4", n)
		}
	})
}

// Guards against a reply that exceeds the transport's limit, so that its outcomes are lost and the proxy counts as failed.
func TestOutcomesOfALongPauseFitTheirMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers, ends = 183, 500
		d := newTestCaller(0)
		defer d.sessions.end()
		r := exchangeRequest{Epoch: 3, Proxy: "i-1", Wait: exchangeWait}
		s, _, err := d.session(r)
		if err != nil {
			t.Fatal(err)
		}
		for i := range servers {
			var inv sched.Inventory
			for n := range ends {
				inv.Finished = append(inv.Finished, sched.FinishedRun{
					Number: uint64(n + 1), Run: 1001, Outcome: "done", Checkpoint: "00000bb87a21d94b",
					Task: sched.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: n},
				})
			}
			s.deliver(proxiedOutcome{Serial: uint64(i), Kind: callAnswered, Reply: newPollReply(inv)})
		}
		received := 0
		for range servers {
			reply, outcomes, err := d.send(t, r)
			if err != nil {
				t.Fatal(err)
			}
			if len(reply.Outcomes) > 2*maxMessageBytes {
				t.Errorf("reply of %d bytes", len(reply.Outcomes))
			}
			if received += len(outcomes); received == servers {
				break
			}
		}
		if received != servers {
			t.Errorf("%d outcomes, want %d", received, servers)
		}
	})
}

// Guards against one invalid text that makes all outcomes or commands of a message unreadable.
func TestInvalidTextIsReadable(t *testing.T) {
	cmd := testStart
	cmd.Payload = "\xff"
	var e batchEncoder
	e.add(1, cmd)
	b, err := e.encode(1)
	if err != nil {
		t.Fatal(err)
	}
	batch, err := decodeBatch(b)
	if err != nil || batch.Commands[0].start(batch.Payloads).Payload != cmd.Payload {
		t.Errorf("payload %q, error %v", batch.Payloads, err)
	}
	synctest.Test(t, func(t *testing.T) {
		d := newTestCaller(0)
		defer d.sessions.end()
		r := exchangeRequest{Epoch: 3, Proxy: "i-1", Wait: exchangeWait}
		s, _, _ := d.session(r)
		s.deliver(newOutcome(1, 0, errors.Join(ErrNoResponse, errors.New("parse \xff"))))
		if _, outcomes, err := d.send(t, r); err != nil || len(outcomes) != 1 {
			t.Errorf("%d outcomes, error %v", len(outcomes), err)
		}
	})
}

// Guards against a pause that grows several times for one failure, as all exchanges of a session fail at once with their connection.
func TestOneFailureForAllExchangesOfASession(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2000 {
		leader := &term{coordinator: &Coordinator{now: time.Now}, ctx: ctx, config: Config{Log: logr.Discard()}, proxies: newServerProxies()}
		p := newTestProxy(0)
		session := p.currentSession()
		var g sync.WaitGroup
		for range 15 {
			g.Go(func() { leader.proxyFailed(p, session, "connection lost") })
		}
		g.Wait()
		if p.failures != 1 {
			t.Fatalf("%d failures", p.failures)
		}
	}
}

// Guards against a proxy that is asked again each second although it hasn't opened a session for long.
func TestPauseGrowsWithoutASession(t *testing.T) {
	p, now := newTestProxy(0), time.Now().Add(20*time.Second)
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		_, _, pause, _ := p.fail(p.currentSession(), now)
		if pause != want {
			t.Errorf("pause %v, want %v", pause, want)
		}
		now = now.Add(pause + maxProxySilence)
	}
}

// Guards against a slow proxy whose delay counts as that of its servers, which would get no starts (issue 43).
func TestSlowProxyFails(t *testing.T) {
	for name, c := range map[string]struct {
		delay, common time.Duration
		fails         bool
	}{
		"prompt":                        {delay: 30 * time.Millisecond},
		"slow":                          {delay: 300 * time.Millisecond, fails: true},
		"all replies are slow":          {delay: 300 * time.Millisecond, common: 300 * time.Millisecond},
		"slower than all other replies": {delay: 900 * time.Millisecond, common: 300 * time.Millisecond, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			p, now := newTestProxy(0), time.Now()
			for i := range uint64(20) {
				p.pending[i] = &proxiedCall{command: testStart, due: now.Add(-c.delay), endsAt: time.Hour}
				p.take(&proxiedOutcome{Serial: i, Kind: callAnswered}, now)
			}
			if reason := p.check(now, c.common); (reason != "") != c.fails {
				t.Errorf("reason of a failure: %q", reason)
			}
		})
	}
}
