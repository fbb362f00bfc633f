package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

// Guards against tasks that run twice: a leader that was frozen until after its replacement sent starts when it went on, and a
// server that had restarted meanwhile, and so didn't know the new leader's fencing token, carried them out.
func TestCommandsOfAnUnconfirmedLeader(t *testing.T) {
	for name, send := range map[string]func(*term){
		"start":    func(m *term) { m.startRun(sched.StartCommand{}) },
		"stop":     func(m *term) { m.stopRun(sched.StopCommand{}) },
		"throttle": func(m *term) { m.throttleRun(sched.ThrottleCommand{}) },
		"poll":     func(m *term) { m.pollServer(sched.PollCommand{}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent atomic.Int32
				call := func() (time.Duration, error) { sent.Add(1); return 0, ErrNoResponse }
				c := &Coordinator{now: time.Now, config: Config{Log: logr.Discard(), ServerClient: ServerClient{
					Start:    func(context.Context, sched.FencingToken, sched.StartCommand) (time.Duration, error) { return call() },
					Stop:     func(context.Context, sched.FencingToken, sched.StopCommand) (time.Duration, error) { return call() },
					Throttle: func(context.Context, sched.FencingToken, sched.ThrottleCommand) (time.Duration, error) { return call() },
					Poll: func(context.Context, sched.FencingToken, sched.PollCommand) (sched.Inventory, error) {
						_, err := call()
						return sched.Inventory{}, err
					},
				}}}
				m := newTerm(c, LeaderRecord{Epoch: 1}, 1, time.Now(), formerStopped)
				ctx, cancel := context.WithCancelCause(t.Context())
				m.ctx, m.cancel = ctx, cancel
				time.Sleep(isolationTimeout + time.Millisecond)
				go send(m)
				time.Sleep(time.Second)
				if sent.Load() != 0 {
					t.Error("command sent while the leader is unconfirmed")
				}
				m.confirm(time.Now())
				time.Sleep(time.Second)
				if sent.Load() != 1 {
					t.Errorf("%d commands sent after the confirmation, want 1", sent.Load())
				}
				time.Sleep(isolationTimeout)
				go send(m)
				time.Sleep(time.Second)
				cancel(errDeposed)
				synctest.Wait()
				if sent.Load() != 1 {
					t.Error("command sent after the end of the term")
				}
			})
		})
	}
}

// Guards against a task that is started after its end: a poll waited for the confirmation of its leader while the server restarted, and its
// acknowledgement made the new incarnation drop ends that it hadn't reported.
func TestUnconfirmedPollIsNotSentAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := newLoggedTerm(t)
		var (
			mu   sync.Mutex
			sent []sched.PollCommand
		)
		m.config.ServerClient.Poll = func(_ context.Context, _ sched.FencingToken, cmd sched.PollCommand) (sched.Inventory, error) {
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, cmd)
			return sched.Inventory{Incarnation: cmd.Server.Incarnation, Clock: time.Hour}, nil
		}
		v := sched.Server{ID: "s1", Incarnation: 1, Address: "s1:1", Service: "pool"}
		time.Sleep(isolationTimeout + time.Millisecond)
		m.update(func(now time.Time, s *sched.Scheduler) { s.Register(now, v) })
		time.Sleep(100 * time.Millisecond)
		v.Incarnation = 2
		m.update(func(now time.Time, s *sched.Scheduler) { s.Register(now, v) })
		m.confirm(time.Now())
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		if len(sent) != 1 || sent[0].Server.Incarnation != 2 {
			t.Errorf("polls sent: %+v, want one for the new incarnation", sent)
		}
	})
}
