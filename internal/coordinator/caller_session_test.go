package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// testCaller is a daemon that makes calls for leaders, without a network.
type testCaller struct {
	*Coordinator
	clock  time.Duration
	starts int
	polls  chan sched.Inventory
}

func newTestCaller(view ident.Epoch) *testCaller {
	c := &testCaller{polls: make(chan sched.Inventory)}
	c.Coordinator = &Coordinator{incarnation: "i-1", now: time.Now, uptime: func() time.Duration { return c.clock }, view: newView(nil, logr.Discard())}
	c.view.state.leader.Epoch = view
	c.config.ServerClient = ServerClient{
		Start: func(context.Context, sched.FencingToken, sched.StartCommand) (time.Duration, error) {
			c.starts++
			return 7 * time.Second, nil
		},
		Poll: func(ctx context.Context, _ sched.FencingToken, _ sched.PollCommand) (sched.Inventory, error) {
			select {
			case inv := <-c.polls:
				return inv, nil
			case <-ctx.Done():
				return sched.Inventory{}, ErrNoResponse
			}
		},
	}
	return c
}

// send makes an exchange with commands and returns the outcomes of its reply.
func (c *testCaller) send(t *testing.T, r exchangeRequest, commands ...sched.Command) (exchangeReply, []proxiedOutcome, error) {
	t.Helper()
	var e batchEncoder
	for i, cmd := range commands {
		e.add(uint64(i+1), cmd)
	}
	var err error
	if r.Commands, err = e.encode(3); err != nil {
		t.Fatal(err)
	}
	reply, err := c.exchange(t.Context(), r)
	if err != nil {
		return reply, nil, err
	}
	outcomes, err := decodeOutcomes(reply.Outcomes)
	return reply, outcomes, err
}

var testStart = sched.StartCommand{Server: sched.Server{ID: "s1", Address: "s1:1"}, Task: sched.TaskID{Job: "j", Index: 4}, Run: 2, Payload: "p"}

// Guards against starts that are carried out long after the leader's decision, when another daemon may lead: by a daemon that was suspended
// or restarted with commands under way to it, or for a leader that another one has replaced.
func TestLateCommandsAreNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		clock        time.Duration
		view         ident.Epoch
		request      exchangeRequest
		starts       int
		kind         outcomeKind
		refused      bool
		epochInReply ident.Epoch
	}{
		"in time":                         {clock: time.Second, request: exchangeRequest{Epoch: 3, Proxy: "i-1", SendUntil: time.Second}, starts: 1, kind: callAnswered},
		"after the bound":                 {clock: time.Second + 1, request: exchangeRequest{Epoch: 3, Proxy: "i-1", SendUntil: time.Second}, kind: callExpired},
		"without a bound":                 {clock: time.Second, request: exchangeRequest{Epoch: 3, Proxy: "i-1"}, kind: callExpired},
		"for the daemon before a restart": {clock: time.Second, request: exchangeRequest{Epoch: 3, Proxy: "i-0", SendUntil: time.Hour}, refused: true},
		"of a former leader":              {clock: time.Second, view: 4, request: exchangeRequest{Epoch: 3, Proxy: "i-1", SendUntil: time.Hour}, epochInReply: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestCaller(c.view)
				defer d.sessions.end()
				d.clock = c.clock
				c.request.Wait = 100 * time.Millisecond
				reply, outcomes, err := d.send(t, c.request, testStart)
				if (err != nil) != c.refused || reply.Epoch != c.epochInReply || d.starts != c.starts {
					t.Fatalf("error %v, epoch %d, %d starts; want an error: %t, epoch %d, %d starts", err, reply.Epoch, d.starts, c.refused,
						c.epochInReply, c.starts)
				}
				if c.kind != 0 && (len(outcomes) != 1 || outcomes[0].Kind != c.kind || outcomes[0].Serial != 1) {
					t.Errorf("outcomes %+v, want one of kind %d", outcomes, c.kind)
				}
			})
		})
	}
}

// Guards against two leaders for which a daemon makes calls at once: the calls of the former one end, and it learns of the later one.
func TestLaterLeaderEndsTheCallsOfTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestCaller(0)
		defer d.sessions.end()
		poll := sched.PollCommand{Server: testStart.Server, Wait: time.Second, Timeout: 2 * time.Second, EndsAfter: 5 * time.Second}
		first := exchangeRequest{Epoch: 3, Leader: "a", Proxy: "i-1", SendUntil: time.Hour}
		if _, _, err := d.send(t, first, poll); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if _, _, err := d.send(t, exchangeRequest{Epoch: 4, Leader: "b", Proxy: "i-1", SendUntil: time.Hour}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		select {
		case d.polls <- sched.Inventory{}:
			t.Error("the poll of the former leader still waits")
		default:
		}
		if reply, _, err := d.send(t, first, testStart); err != nil || reply.Epoch != 4 || d.starts != 0 {
			t.Errorf("error %v, epoch %d and %d starts for the former leader; want epoch 4 and no start", err, reply.Epoch, d.starts)
		}
	})
}

// Guards against an overdue poll whose late reply is dropped, with the ends that the server took for reported, and against the delay between
// daemons counting as that of the server.
func TestOverduePollStillDeliversItsReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestCaller(0)
		defer d.sessions.end()
		poll := sched.PollCommand{Server: testStart.Server, Wait: time.Second, Timeout: 1600 * time.Millisecond, EndsAfter: 5 * time.Second}
		r := exchangeRequest{Epoch: 3, Proxy: "i-1", SendUntil: time.Hour, Wait: maxExchangeWait}
		kinds := func(outcomes []proxiedOutcome) (out []outcomeKind) {
			for _, o := range outcomes {
				out = append(out, o.Kind)
			}
			return out
		}
		_, outcomes, _ := d.send(t, r, poll)
		for len(outcomes) == 0 {
			_, outcomes, _ = d.send(t, r)
		}
		if k := kinds(outcomes); len(k) != 1 || k[0] != pollOverdue {
			t.Fatalf("outcomes of kinds %v, want that the poll is overdue", k)
		}
		time.Sleep(time.Second)
		end := sched.FinishedRun{Number: 5, Task: testStart.Task, Run: 2, Outcome: sched.OutcomeDone, Checkpoint: "c"}
		d.polls <- sched.Inventory{Incarnation: 9, Clock: time.Minute, Finished: []sched.FinishedRun{end}, MoreFinished: true}
		_, outcomes, _ = d.send(t, r)
		if len(outcomes) != 1 {
			t.Fatalf("%d outcomes, want the late reply", len(outcomes))
		}
		inv := outcomes[0].inventory()
		if outcomes[0].Kind != callAnswered || len(inv.Finished) != 1 || inv.Finished[0] != end || inv.Incarnation != 9 || inv.Clock != time.Minute ||
			!inv.MoreFinished || inv.Delay < time.Second || inv.Delay > 3*time.Second {
			t.Errorf("late reply %+v of kind %d", inv, outcomes[0].Kind)
		}
	})
}
