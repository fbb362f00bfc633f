package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// exchangePause is the shortest pause between two batches for a proxy. Commands and outcomes in between share messages.
	exchangePause = 10 * time.Millisecond
	// idleProxyInterval is the interval at which a proxy without calls is looked after.
	idleProxyInterval = 50 * time.Millisecond
	// exchangeWait is how long a proxy may delay a reply until there are outcomes. It is shorter than the time after which package peer
	// takes a connection for silent.
	exchangeWait = 150 * time.Millisecond
	// exchangeTimeout bounds an exchange; a proxy that doesn't reply is given up before.
	exchangeTimeout = 5 * time.Second
	// minExchanges is the number of exchanges that are kept waiting at a proxy for outcomes.
	minExchanges = 2
	// maxProxySilence is how long a proxy may leave exchanges without a reply, beyond what all replies are late in common.
	maxProxySilence = 500 * time.Millisecond
	// maxProxyLag bounds how long after its hand-over a command is still sent to its server.
	maxProxyLag = 500 * time.Millisecond
	// commandBytes is an estimate of the size of an encoded command without its payload.
	commandBytes = 200
	// outcomeTimeout bounds the time for an outcome beyond the time that the call itself may take.
	outcomeTimeout = 2 * time.Second
	// clockDrift is how much slower a proxy's clock may run than this daemon's, as a fraction.
	clockDrift = 0.02
	// proxyPause is how long a proxy isn't used after a failure. It doubles with each further failure up to maxProxyPause.
	proxyPause    = time.Second
	maxProxyPause = 8 * time.Second
	// proxyFailureMemory is the length of a session after which former failures no longer count.
	proxyFailureMemory = 10 * time.Second
)

// serverProxy is a daemon that makes calls to servers for this leader.
type serverProxy struct {
	member      ident.MemberID
	incarnation string
	address     string
	dataCentre  ident.DataCentre
	wake        chan struct{}  // signalled when a command comes
	sessions    *atomic.Uint64 // number of the term's latest session

	mu       sync.Mutex
	chosen   bool
	session  uint64    // replies of a former session, before a failure, are ignored
	failures int       // without a long session in between
	openedAt time.Time // zero until a reply has come in this session
	delays   replyDelays
	clock    time.Duration  // reading of the daemon's clock, which it had at clockAt or before
	clockAt  time.Time      // zero until a reply has come in this session
	queue    []*proxiedCall // not handed over yet
	pending  map[uint64]*proxiedCall
	unused   []string // addresses whose connections are to be closed
	inFlight int      // exchanges without a reply
	silence  time.Duration
	pausedTo time.Time // not used before
	checked  time.Time
	running  time.Duration // how long this daemon has looked after the proxy, without its own pauses
}

// proxiedCall is a command that a proxy carries out.
type proxiedCall struct {
	command sched.Command
	due     time.Time     // when it is to be sent, or was
	endsAt  time.Duration // of serverProxy.running; without an outcome until then the proxy has failed
	overdue bool          // a poll that counts as failed
	second  bool          // made through the second way to the server, see serverProxies.route
}

func newServerProxy(r PresenceRecord, sessions *atomic.Uint64) *serverProxy {
	return &serverProxy{
		sessions: sessions, session: sessions.Add(1), member: r.Member, incarnation: r.Incarnation, address: r.Address, dataCentre: r.DataCentre, wake: make(chan struct{}, 1),
		pending: map[uint64]*proxiedCall{},
	}
}

// isReady reports whether the proxy takes commands.
func (p *serverProxy) isReady(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready(now)
}

func (p *serverProxy) ready(now time.Time) bool {
	return p.chosen && !p.clockAt.IsZero() && !now.Before(p.pausedTo)
}

func (p *serverProxy) setChosen(chosen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chosen = chosen
}

// add queues a command. It reports false if the proxy takes none.
func (p *serverProxy) add(command sched.Command, second bool, now time.Time) bool {
	call := &proxiedCall{command: command, due: now, second: second}
	if poll, ok := command.(sched.PollCommand); ok {
		call.due = now.Add(poll.Delay)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready(now) {
		return false
	}
	p.queue = append(p.queue, call)
	notify(p.wake)
	return true
}

// closeConnections lets the proxy close its connections to an address.
func (p *serverProxy) closeConnections(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.clockAt.IsZero() {
		p.unused = append(p.unused, address)
	}
}

// takeDue removes the queued calls that are due, as far as they fit a message.
func (p *serverProxy) takeDue(now time.Time) []*proxiedCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*proxiedCall
	later, size := p.queue[:0], 0
	for _, c := range p.queue {
		if c.due.After(now) || size > maxMessageBytes {
			later = append(later, c)
			continue
		}
		if start, ok := c.command.(sched.StartCommand); ok {
			size += len(start.Payload)
		}
		size += commandBytes
		due = append(due, c)
	}
	clear(p.queue[len(later):])
	p.queue = later
	return due
}

// handOver notes that calls are handed over with an exchange, and returns the request and its session. It reports false if there is nothing
// to hand over and enough exchanges wait for outcomes. The first exchange of a session asks for the clock and hands over nothing.
func (p *serverProxy) handOver(t *term, calls []*proxiedCall, now time.Time) (exchangeRequest, uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := exchangeRequest{Epoch: t.leader.Epoch, Leader: t.coordinator.incarnation, Session: p.session}
	opening := p.clockAt.IsZero()
	if opening && (p.inFlight > 0 || !p.chosen) || !opening && len(calls) == 0 && p.inFlight >= minExchanges && len(p.unused) == 0 {
		return r, 0, false
	}
	p.inFlight++
	if opening {
		return r, p.session, true
	}
	var e batchEncoder
	for _, c := range calls {
		serial := t.proxySerial.Add(1)
		c.endsAt = p.running + callTime(c.command) + outcomeTimeout
		p.pending[serial] = c
		e.add(serial, c.command)
	}
	for _, address := range p.unused {
		e.append(0, kindCloseConnections, sched.Server{Address: address}, proxiedCommand{})
	}
	p.unused = nil
	until := t.confirmed.Load().Add(isolationTimeout)
	if lag := now.Add(maxProxyLag); lag.Before(until) {
		until = lag
	}
	r.Proxy, r.Wait = p.incarnation, exchangeWait
	// The clock has this value before this daemon's has the bound, also if it runs slower.
	r.SendUntil = p.clock + time.Duration(float64(until.Sub(p.clockAt))*(1-clockDrift))
	var err error
	if r.Commands, err = e.encode(t.fence); err != nil {
		t.config.Log.Error(err, "commands not encoded", "proxy", string(p.member), "commands", len(calls))
	}
	return r, p.session, true
}

// callTime returns how long a call may take at the proxy.
func callTime(command sched.Command) time.Duration {
	switch c := command.(type) {
	case sched.PollCommand:
		return c.EndsAfter
	case sched.StartCommand:
		return 2 * c.CommonDelay
	case sched.StopCommand:
		return 2 * c.CommonDelay
	}
	return 0
}

// check returns why the proxy has failed, or nothing. Time counts only while this daemon runs: after a freeze or under load, replies may
// have arrived that it hasn't read yet.
func (p *serverProxy) check(now time.Time, commonDelay time.Duration) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.checked.IsZero() {
		passed := min(now.Sub(p.checked), 2*idleProxyInterval)
		p.running += passed
		if p.inFlight > 0 {
			p.silence += passed
		}
	}
	p.checked = now
	if p.silence > maxProxySilence+2*commonDelay {
		return "no reply for " + p.silence.String()
	}
	if delay := p.delays.median(now); delay > maxProxyDelay+2*commonDelay {
		return "replies through it are late by " + delay.String()
	}
	for _, c := range p.pending {
		if p.running > c.endsAt+2*commonDelay {
			return "no outcome of a call since " + now.Sub(c.due).String()
		}
	}
	return ""
}

// answered notes a reply of a session and reports whether it is the first one. Ok is false if the session is over.
func (p *serverProxy) answered(session uint64, clock time.Duration, now time.Time) (opened, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if session != p.session {
		return false, false
	}
	p.inFlight--
	p.silence = 0
	if opened = p.clockAt.IsZero(); opened {
		p.openedAt = now
	}
	p.clock, p.clockAt = clock, now
	return opened, true
}

// take returns the call of an outcome, or nil if it has one already.
func (p *serverProxy) take(o *proxiedOutcome, now time.Time) *proxiedCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.pending[o.Serial]
	if c == nil {
		return nil
	}
	if delay, ok := c.delay(o, now); ok {
		p.delays.add(now, delay)
	}
	if o.Kind == pollOverdue {
		c.overdue = true
		return c
	}
	delete(p.pending, o.Serial)
	return c
}

// fail ends a session and returns the calls that were handed over without an outcome and those that weren't handed over. It reports false
// if the session is over.
func (p *serverProxy) fail(session uint64, now time.Time) (inDoubt []*proxiedCall, queued []sched.Command, pause time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if session != p.session {
		return nil, nil, 0, false
	}
	for _, c := range p.pending {
		inDoubt = append(inDoubt, c)
	}
	for _, c := range p.queue {
		queued = append(queued, c.command)
	}
	clear(p.pending)
	p.queue, p.unused, p.inFlight, p.silence, p.clockAt, p.delays = nil, nil, 0, 0, time.Time{}, replyDelays{}
	if !p.openedAt.IsZero() && now.Sub(p.openedAt) > proxyFailureMemory {
		p.failures = 0
	}
	pause = min(proxyPause<<min(p.failures, maxProxyDoublings), maxProxyPause)
	p.failures++
	p.openedAt = time.Time{}
	p.session = p.sessions.Add(1)
	p.pausedTo = now.Add(pause)
	return inDoubt, queued, pause, true
}

// isPaused reports whether the proxy isn't used after a failure.
func (p *serverProxy) isPaused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.pausedTo)
}

// load returns the number of calls without an outcome, and whether the proxy is still chosen.
func (p *serverProxy) load() (calls int, chosen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) + len(p.pending), p.chosen
}

// exchangeWith makes an exchange with a proxy.
func (t *term) exchangeWith(p *serverProxy, r exchangeRequest) (exchangeReply, error) {
	ctx, cancel := context.WithTimeout(t.ctx, exchangeTimeout)
	defer cancel()
	return peer.CallAddress[exchangeRequest, exchangeReply](ctx, t.config.Peer, p.address, methodExchange, r)
}

// currentSession returns the number of the session.
func (p *serverProxy) currentSession() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}
