package coordinator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// adviceMargin is added to the cost of an advisor call to give its timeout.
	adviceMargin = 1500 * time.Millisecond
	// proxyBackoff is how long a daemon makes no advisor calls after one of its calls failed. It doubles with each further
	// failure up to maxProxyBackoff: each call through a daemon that can't be reached delays its step by the call's timeout.
	proxyBackoff    = time.Second
	maxProxyBackoff = 8 * time.Second
	// maxProxyDoublings are enough to reach maxProxyBackoff.
	maxProxyDoublings = 3
	// maxShortCallCost is the highest cost of a short call, which may use the proxies reserved for short calls.
	maxShortCallCost = 100 * time.Millisecond
	// reservedShare is the share of the proxies that is reserved for short calls, which would otherwise wait behind long
	// ones. The same share prefers long calls, which would otherwise wait while urgent short calls take each proxy that
	// becomes free.
	reservedShare = 0.34
	// minProxiesToReserve is the number of proxies from which some are reserved.
	minProxiesToReserve = 3
)

// callPreference is which advisor calls are made through a proxy.
type callPreference int

const (
	anyCall        callPreference = iota
	longCallsFirst                // short calls only while no long one is due
	shortCallsOnly                // no long calls

	callPreferences = iota // number of preferences
)

// advisorProxy is a daemon through which the leader calls the advisor, as the advisor handles one call of each client at a
// time.
type advisorProxy struct {
	member     ident.MemberID
	address    string // empty for this daemon
	preference callPreference
}

// advisorProxies tracks the advisor calls in flight of each daemon. The term's lock guards its fields.
type advisorProxies struct {
	inFlight     map[ident.MemberID]int       // number of calls; members without one are absent
	backoffUntil map[ident.MemberID]time.Time // end of the backoff after a failure
	failures     map[ident.MemberID]int       // consecutive failed calls

	// order holds all proxies in the order in which they are used. It is kept until a daemon or a failure comes or goes, as it is read
	// after each call and each scheduling pass.
	order []advisorProxy
	peers map[ident.MemberID]string // that the order was made for
	free  []advisorProxy            // result of available, whose memory is used again
}

func newAdvisorProxies() advisorProxies {
	return advisorProxies{inFlight: map[ident.MemberID]int{}, backoffUntil: map[ident.MemberID]time.Time{}, failures: map[ident.MemberID]int{}}
}

// busy returns the number of daemons with a call in flight.
func (p *advisorProxies) busy() int { return len(p.inFlight) }

// callStarted counts a new call of a daemon.
func (p *advisorProxies) callStarted(m ident.MemberID) { p.inFlight[m]++ }

// callEnded removes a call of a daemon. After a failed call the daemon backs off. It returns the number of its consecutive
// failures.
func (p *advisorProxies) callEnded(m ident.MemberID, now time.Time, failed bool) int {
	if p.inFlight[m]--; p.inFlight[m] == 0 {
		delete(p.inFlight, m)
	}
	if !failed {
		if p.failures[m] > 0 {
			p.order = nil
		}
		delete(p.failures, m)
		return 0
	}
	p.order = nil
	p.failures[m]++
	p.backoffUntil[m] = now.Add(min(proxyBackoff<<min(p.failures[m]-1, maxProxyDoublings), maxProxyBackoff))
	return p.failures[m]
}

// acceptsCall reports whether one more call can be made through a proxy. Proxies that are reserved for short calls may have
// two in flight, so that the advisor works on one while the response to the other is on its way and being handled; all
// others may have one.
func (p *advisorProxies) acceptsCall(proxy advisorProxy) bool {
	inFlight := p.inFlight[proxy.member]
	return inFlight == 0 || inFlight == 1 && proxy.preference == shortCallsOnly
}

// available returns the proxies that accept one more call, until its next call. Those that prefer long calls come first; this daemon
// comes last, as the leader has more other work. After it come those whose latest call failed, as each further call through an
// unreachable daemon delays a step by the call's timeout.
func (p *advisorProxies) available(now time.Time, self ident.MemberID, peers map[ident.MemberID]string) []advisorProxy {
	if p.order == nil || !maps.Equal(p.peers, peers) {
		p.peers = peers
		p.reorder(self)
	}
	p.free = p.free[:0]
	for _, proxy := range p.order {
		if p.acceptsCall(proxy) && !now.Before(p.backoffUntil[proxy.member]) {
			p.free = append(p.free, proxy)
		}
	}
	return p.free
}

// reorder makes the order of this daemon and its peers.
func (p *advisorProxies) reorder(self ident.MemberID) {
	all := []advisorProxy{{member: self}}
	for m, a := range p.peers {
		if m != self {
			all = append(all, advisorProxy{member: m, address: a})
		}
	}
	slices.SortFunc(all, func(a, b advisorProxy) int {
		if (a.address == "") != (b.address == "") {
			return cmp.Compare(b.address, a.address)
		}
		return cmp.Compare(a.member, b.member)
	})
	if reserved := max(int(reservedShare*float64(len(all))), 1); len(all) >= minProxiesToReserve {
		for i := range reserved {
			all[i].preference = longCallsFirst
			all[len(all)-1-i].preference = shortCallsOnly
		}
	}
	slices.SortStableFunc(all, func(a, b advisorProxy) int { return cmp.Compare(p.failures[a.member], p.failures[b.member]) })
	p.order = all
}

// requestAdvice starts advisor calls through the available proxies.
func (t *term) requestAdvice() {
	peers := t.coordinator.view.get().addresses
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.coordinator.now()
	var none [callPreferences]bool // preferences for which no call is due
	for _, proxy := range t.advisorProxies.available(now, t.config.Member, peers) {
		if none[proxy.preference] {
			continue
		}
		request, ok := t.nextAdvisorCall(proxy, now)
		if !ok {
			none[proxy.preference] = true
			continue
		}
		t.advisorProxies.callStarted(proxy.member)
		t.goroutines.run(t.ctx, func() { t.callAdvisor(proxy, request) })
	}
}

// nextAdvisorCall returns the next call to make through a proxy.
func (t *term) nextAdvisorCall(proxy advisorProxy, now time.Time) (sched.AdviceRequest, bool) {
	switch proxy.preference {
	case shortCallsOnly:
		return t.scheduler.NextAdviceRequest(now, 0, maxShortCallCost)
	case longCallsFirst:
		if request, ok := t.scheduler.NextAdviceRequest(now, maxShortCallCost, 0); ok {
			return request, true
		}
	case anyCall:
	}
	return t.scheduler.NextAdviceRequest(now, 0, 0)
}

// callAdvisor makes an advisor call and passes its result to the scheduler.
func (t *term) callAdvisor(proxy advisorProxy, request sched.AdviceRequest) {
	sentAt := t.coordinator.now()
	tickets, err := t.sendAdvisorCall(t.ctx, proxy, request)
	if t.ctx.Err() != nil {
		return
	}
	if detail := t.config.Log.V(1); detail.Enabled() {
		detail.Info("advice", "job", string(request.Job), "step", request.Step, "named", len(request.Servers),
			"granted", len(tickets), "by", string(proxy.member), "took", t.coordinator.now().Sub(sentAt).String(), "outcome", describeOutcome(err))
	}
	failures := 0
	t.update(func(now time.Time, s *sched.Scheduler) {
		failures = t.advisorProxies.callEnded(proxy.member, now, err != nil)
		if err != nil {
			s.AdviceFailed(now, request)
			return
		}
		s.AdviceReceived(now, request, tickets, sentAt)
	})
	if err != nil { // bounded by the backoff of the daemons
		t.config.Log.Info("advisor call failed", "job", string(request.Job), "occurrence", request.Occurrence, "step", request.Step,
			"by", string(proxy.member), "took", t.coordinator.now().Sub(sentAt).String(), "failures", failures, "error", err.Error())
	}
	t.requestAdvice()
}

// sendAdvisorCall calls the advisor from this daemon or through a peer.
func (t *term) sendAdvisorCall(
	ctx context.Context, proxy advisorProxy, request sched.AdviceRequest,
) (map[sched.ServerID]sched.Ticket, error) {
	timeout := request.Cost + adviceMargin
	if proxy.address == "" {
		return t.config.ServerClient.Advise(ctx, timeout, request)
	}
	return t.coordinator.adviseThroughPeer(ctx, proxy.address, timeout, request)
}
