package coordinator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// outcomePause is how long the first outcome waits for others that share its reply.
	outcomePause = 5 * time.Millisecond
	// maxExchangeWait bounds how long a reply waits for an outcome.
	maxExchangeWait = 500 * time.Millisecond
)

// callerSessions holds the session of the latest leader for which this daemon calls servers.
type callerSessions struct {
	mu     sync.Mutex
	latest *callerSession
}

// callerSession makes calls to servers for a leader. It keeps no state of the servers or their runs: the leader decides, and what is
// lost with this daemon counts there as a call without an answer.
type callerSession struct {
	client ServerClient
	clock  func() time.Duration
	epoch  ident.Epoch
	leader string // incarnation

	ctx        context.Context // ends when a later leader calls
	cancel     context.CancelFunc
	goroutines *goroutines

	mu       sync.Mutex
	outcomes []proxiedOutcome
	ready    chan struct{} // signalled when outcomes have waited for outcomePause
}

// registerProxyHandler registers the handler for the commands of the leader.
func (c *Coordinator) registerProxyHandler() {
	peer.Handle(c.config.Peer, methodExchange, c.exchange)
}

// exchange starts the calls of a leader's commands and returns the outcomes of earlier ones. Commands for another incarnation of this
// daemon are refused: their bound is a reading of that one's clock. So are those of a former leader.
func (c *Coordinator) exchange(ctx context.Context, r exchangeRequest) (exchangeReply, error) {
	if newest := max(c.view.get().leader.Epoch, c.ownEpoch()); newest > r.Epoch {
		return exchangeReply{Epoch: newest}, nil
	}
	if r.Proxy != "" && r.Proxy != c.incarnation {
		return exchangeReply{}, fmt.Errorf("commands for incarnation %s of this daemon, which is %s", r.Proxy, c.incarnation)
	}
	batch, err := decodeBatch(r.Commands)
	if err != nil {
		return exchangeReply{}, err
	}
	s, newest := c.session(r)
	if s == nil {
		return exchangeReply{Epoch: newest}, nil
	}
	s.run(batch, r.SendUntil)
	outcomes, err := encodeOutcomes(s.await(ctx, min(r.Wait, maxExchangeWait)))
	if err != nil {
		return exchangeReply{}, err
	}
	return exchangeReply{Proxy: c.incarnation, Clock: c.uptime(), Outcomes: outcomes}, nil
}

// session returns the session of a leader, or no session and the epoch of a later leader that has called before. The calls of a former
// leader are ended.
func (c *Coordinator) session(r exchangeRequest) (*callerSession, ident.Epoch) {
	c.sessions.mu.Lock()
	defer c.sessions.mu.Unlock()
	s := c.sessions.latest
	if s != nil && s.epoch > r.Epoch {
		return nil, s.epoch
	}
	if s != nil && s.epoch == r.Epoch && s.leader == r.Leader {
		return s, 0
	}
	if s != nil {
		s.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.sessions.latest = &callerSession{
		client: c.config.ServerClient, clock: c.uptime, epoch: r.Epoch, leader: r.Leader, ctx: ctx, cancel: cancel, goroutines: newGoroutines(),
		ready: make(chan struct{}, 1),
	}
	return c.sessions.latest, 0
}

// end ends the calls of the session, if there is one.
func (s *callerSessions) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest != nil {
		s.latest.cancel()
	}
}

// run starts the calls of a batch. None is made once the clock has passed the bound.
func (s *callerSession) run(batch commandBatch, sendUntil time.Duration) {
	fence := sched.FencingToken(batch.Fence)
	for i := range batch.Commands {
		cmd := &batch.Commands[i]
		if cmd.Kind == kindCloseConnections {
			s.client.CloseConnections(cmd.Address)
			continue
		}
		s.goroutines.run(s.ctx, func() {
			if s.clock() > sendUntil {
				s.deliver(proxiedOutcome{Serial: cmd.Serial, Kind: callExpired, Error: "the leader's bound for sending is over"})
				return
			}
			s.call(fence, cmd, batch.Payloads)
		})
	}
}

// call makes the call of a command and delivers its outcome.
func (s *callerSession) call(fence sched.FencingToken, cmd *proxiedCommand, payloads []string) {
	var (
		clock time.Duration
		err   error
	)
	switch cmd.Kind {
	case kindStart:
		clock, err = s.client.Start(s.ctx, fence, cmd.start(payloads))
	case kindStop:
		clock, err = s.client.Stop(s.ctx, fence, sched.StopCommand{
			Server: cmd.server(), Task: cmd.Task.task(), Run: sched.RunNumber(cmd.Run), CommonDelay: cmd.CommonDelay,
		})
	case kindThrottle:
		clock, err = s.client.Throttle(s.ctx, fence, sched.ThrottleCommand{
			Server: cmd.server(), Task: cmd.Task.task(), Run: sched.RunNumber(cmd.Run), Percent: cmd.Percent,
		})
	case kindPoll:
		s.poll(fence, cmd)
		return
	case kindCloseConnections:
		return
	default:
		err = fmt.Errorf("%w: command of unknown kind %d", ErrNotSent, cmd.Kind)
	}
	s.deliver(newOutcome(cmd.Serial, clock, err))
}

// poll makes the call of a poll. Whether its reply is overdue is judged here, as a delay between the daemons isn't the server's.
func (s *callerSession) poll(fence sched.FencingToken, cmd *proxiedCommand) {
	overdue := time.AfterFunc(cmd.Timeout, func() {
		s.deliver(proxiedOutcome{Serial: cmd.Serial, Kind: pollOverdue, Error: "no reply within " + cmd.Timeout.String()})
	})
	defer overdue.Stop()
	ctx, cancel := context.WithTimeout(s.ctx, cmd.EndsAfter)
	defer cancel()
	sentAt := time.Now()
	inv, err := s.client.Poll(ctx, fence, cmd.poll())
	overdue.Stop()
	o := newOutcome(cmd.Serial, inv.Clock, err)
	if err == nil {
		inv.Delay = time.Since(sentAt) - cmd.Wait
		o.Reply = newPollReply(inv)
	}
	s.deliver(o)
}

// deliver adds an outcome to those that the next replies carry.
func (s *callerSession) deliver(o proxiedOutcome) {
	if s.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	s.outcomes = append(s.outcomes, o)
	first := len(s.outcomes) == 1
	s.mu.Unlock()
	if first {
		time.AfterFunc(outcomePause, func() { notify(s.ready) })
	}
}

// await returns the outcomes of earlier calls. It waits for the first of them for at most the given time.
func (s *callerSession) await(ctx context.Context, wait time.Duration) []proxiedOutcome {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.ready:
	case <-timer.C:
	case <-ctx.Done():
		return nil // the reply would be lost, and the outcomes with it
	case <-s.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes := s.outcomes
	s.outcomes = nil
	return outcomes
}
