package coordinator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// outcomePause is how long the first outcome waits for others that share its reply.
	outcomePause = 5 * time.Millisecond
	// maxExchangeWait bounds how long a reply waits for an outcome.
	maxExchangeWait = 500 * time.Millisecond
	// maxCommandTime bounds a command, with its wait for a connection, beyond twice the common delay. It is shorter than outcomeTimeout, so
	// that a server that doesn't answer never makes its proxy look lost.
	maxCommandTime = 1500 * time.Millisecond
	// maxMessageBytes bounds the outcomes in a reply and the commands in a batch, which peers refuse above 4 MiB with their encoding.
	maxMessageBytes = 1 << 20
)

// callerSessions holds the session of the latest leader for which this daemon calls servers.
type callerSessions struct {
	mu     sync.Mutex
	latest *callerSession
}

// callerSession makes calls to servers for a leader. It keeps no state of the servers or their runs: the leader decides, and what is
// lost with this daemon counts there as a call without an answer.
type callerSession struct {
	client  ServerClient
	clock   func() time.Duration
	latest  func() ident.Epoch // of the latest leader that this daemon knows
	epoch   ident.Epoch
	leader  string // incarnation
	session uint64

	ctx        context.Context // ends when a later leader calls
	cancel     context.CancelFunc
	goroutines *goroutines

	mu       sync.Mutex
	outcomes []cbor.RawMessage
	ready    chan struct{} // signalled when outcomes have waited for outcomePause
}

// registerProxyHandler registers the handler for the commands of the leader.
func (c *Coordinator) registerProxyHandler() {
	peer.Handle(c.config.Peer, methodExchange, c.exchange)
}

// exchange starts the calls of a leader's commands and returns the outcomes of earlier ones. Commands for another incarnation of this
// daemon are refused: their bound is a reading of that one's clock. So are those of a former leader.
func (c *Coordinator) exchange(ctx context.Context, r exchangeRequest) (exchangeReply, error) {
	if newest := c.newestEpoch(); newest > r.Epoch {
		return exchangeReply{Epoch: newest}, nil
	}
	if r.Proxy != "" && r.Proxy != c.incarnation {
		return exchangeReply{}, fmt.Errorf("commands for incarnation %s of this daemon, which is %s", r.Proxy, c.incarnation)
	}
	batch, err := decodeBatch(r.Commands)
	if err != nil {
		return exchangeReply{}, err
	}
	s, newest, err := c.session(r)
	if err != nil || s == nil {
		return exchangeReply{Epoch: newest}, err
	}
	s.run(batch, r.SendUntil)
	outcomes, err := encodeOutcomes(s.await(ctx, min(r.Wait, maxExchangeWait)))
	if err != nil {
		return exchangeReply{}, err
	}
	return exchangeReply{Proxy: c.incarnation, Clock: c.uptime(), Outcomes: outcomes}, nil
}

// newestEpoch returns the epoch of the latest leader that this daemon knows.
func (c *Coordinator) newestEpoch() ident.Epoch { return max(c.view.get().leader.Epoch, c.ownEpoch()) }

// session returns the session of a leader, or no session and the epoch of a later leader that has called before. The calls of a former
// leader or session are ended. An exchange of a former session, which may arrive after a freeze, is refused: its leader no longer waits for
// the outcomes that it would take.
func (c *Coordinator) session(r exchangeRequest) (*callerSession, ident.Epoch, error) {
	c.sessions.mu.Lock()
	defer c.sessions.mu.Unlock()
	s := c.sessions.latest
	if s != nil && s.epoch > r.Epoch {
		return nil, s.epoch, nil
	}
	if s != nil && s.epoch == r.Epoch && s.leader == r.Leader {
		if s.session == r.Session {
			return s, 0, nil
		}
		if s.session > r.Session {
			return nil, 0, fmt.Errorf("exchange of session %d, the latest one is %d", r.Session, s.session)
		}
	}
	if s != nil {
		s.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.sessions.latest = &callerSession{
		client: c.config.ServerClient, clock: c.uptime, latest: c.newestEpoch, epoch: r.Epoch, leader: r.Leader, session: r.Session,
		ctx: ctx, cancel: cancel, goroutines: newGoroutines(), ready: make(chan struct{}, 1),
	}
	return c.sessions.latest, 0, nil
}

// end ends the calls of the session, if there is one.
func (s *callerSessions) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest != nil {
		s.latest.cancel()
	}
}

// run starts the calls of a batch. None is sent once the clock has passed the bound or a later leader is known, also if it has waited for a
// connection until then.
func (s *callerSession) run(batch commandBatch, sendUntil time.Duration) {
	fence := sched.FencingToken(batch.Fence)
	maySend := func() bool { return s.clock() <= sendUntil && s.latest() <= s.epoch }
	ctx := WithSendCheck(s.ctx, maySend)
	for i := range batch.Commands {
		cmd := &batch.Commands[i]
		if cmd.Kind == kindCloseConnections {
			s.client.CloseConnections(cmd.Address)
			continue
		}
		s.goroutines.run(s.ctx, func() {
			if !maySend() {
				s.deliver(proxiedOutcome{Serial: cmd.Serial, Kind: callExpired, Error: "the time for sending is over"})
				return
			}
			s.call(ctx, fence, cmd, batch.Payloads)
		})
	}
}

// call makes the call of a command and delivers its outcome.
func (s *callerSession) call(ctx context.Context, fence sched.FencingToken, cmd *proxiedCommand, payloads []string) {
	if cmd.Kind == kindPoll {
		s.poll(ctx, fence, cmd)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxCommandTime+2*cmd.CommonDelay)
	defer cancel()
	var (
		clock time.Duration
		err   error
	)
	switch cmd.Kind {
	case kindStart:
		clock, err = s.client.Start(ctx, fence, cmd.start(payloads))
	case kindStop:
		clock, err = s.client.Stop(ctx, fence, sched.StopCommand{
			Server: cmd.server(), Task: cmd.Task.task(), Run: sched.RunNumber(cmd.Run), CommonDelay: cmd.CommonDelay,
		})
	case kindThrottle:
		clock, err = s.client.Throttle(ctx, fence, sched.ThrottleCommand{
			Server: cmd.server(), Task: cmd.Task.task(), Run: sched.RunNumber(cmd.Run), Percent: cmd.Percent,
		})
	default:
		err = fmt.Errorf("%w: command of unknown kind %d", ErrNotSent, cmd.Kind)
	}
	s.deliver(newOutcome(cmd.Serial, clock, err))
}

// poll makes the call of a poll. Whether its reply is overdue is judged here, as a delay between the daemons isn't the server's.
func (s *callerSession) poll(ctx context.Context, fence sched.FencingToken, cmd *proxiedCommand) {
	overdue := time.AfterFunc(cmd.Timeout, func() {
		s.deliver(proxiedOutcome{Serial: cmd.Serial, Kind: pollOverdue, Error: "no reply within " + cmd.Timeout.String()})
	})
	defer overdue.Stop()
	ctx, cancel := context.WithTimeout(ctx, cmd.EndsAfter)
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
	encoded, err := cbor.Marshal(o)
	if err != nil {
		return // the leader takes a missing outcome for the loss of this daemon
	}
	s.mu.Lock()
	s.outcomes = append(s.outcomes, encoded)
	first := len(s.outcomes) == 1
	s.mu.Unlock()
	if first {
		time.AfterFunc(outcomePause, func() { notify(s.ready) })
	}
}

// await returns outcomes of earlier calls. It waits for the first of them for at most the given time.
func (s *callerSession) await(ctx context.Context, wait time.Duration) []cbor.RawMessage {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.ready:
	case <-timer.C:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil || s.ctx.Err() != nil {
		return nil // the reply would be lost or ignored, and the outcomes with it
	}
	n, size := 0, 0
	for n < len(s.outcomes) && (n == 0 || size+len(s.outcomes[n]) <= maxMessageBytes) {
		size += len(s.outcomes[n])
		n++
	}
	outcomes := s.outcomes[:n:n]
	s.outcomes = s.outcomes[n:]
	if len(s.outcomes) > 0 {
		notify(s.ready)
	}
	return outcomes
}
