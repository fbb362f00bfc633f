package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// adviceMargin is the time beyond its cost that a call for advice may take.
	adviceMargin = 1500 * time.Millisecond
	// proxyBackoff is how long a daemon is passed over after a failed call for advice.
	proxyBackoff = time.Second
	// maxShortCallCost is the cost up to which a call may use the lines kept for short ones.
	maxShortCallCost = 100 * time.Millisecond
	// reservedShare of the lines is kept for short calls, which would else wait behind long ones. As many prefer long calls,
	// which would else wait while urgent short ones take each line that becomes free.
	reservedShare = 0.34
	// minProxiesToReserve is the number of lines from which some are kept.
	minProxiesToReserve = 3
)

// callPreference is which calls a line takes.
type callPreference int

const (
	anyCall        callPreference = iota
	longCallsFirst                // short ones only while no long one is due
	shortCallsOnly                // no long ones
)

// advisorProxy is a daemon through which calls for advice are made, one at a time: the advisor handles one call of each caller.
type advisorProxy struct {
	member     ident.MemberID
	address    string // empty for this daemon
	preference callPreference
}

// advisorProxies tracks which daemons have calls for advice under way. Its fields are guarded by the term's lock.
type advisorProxies struct {
	inFlight     map[ident.MemberID]int       // number of calls under way; members without one are absent
	backoffUntil map[ident.MemberID]time.Time // end of the pause after a failure
}

func newAdvisorProxies() advisorProxies {
	return advisorProxies{inFlight: map[ident.MemberID]int{}, backoffUntil: map[ident.MemberID]time.Time{}}
}

// busy counts the daemons with a call under way.
func (p *advisorProxies) busy() int { return len(p.inFlight) }

// callStarted enters a call.
func (p *advisorProxies) callStarted(m ident.MemberID) { p.inFlight[m]++ }

// callEnded removes a call. A failed one pauses the line.
func (p *advisorProxies) callEnded(m ident.MemberID, now time.Time, failed bool) {
	if p.inFlight[m]--; p.inFlight[m] == 0 {
		delete(p.inFlight, m)
	}
	if failed {
		p.backoffUntil[m] = now.Add(proxyBackoff)
	}
}

// acceptsCall reports whether a line acceptsCall one more call: any line while it has none, and one that is kept for short calls while
// it has one, so that the advisor is at work while an answer is on its way and being handled.
func (p *advisorProxies) acceptsCall(proxy advisorProxy) bool {
	inFlight := p.inFlight[proxy.member]
	return inFlight == 0 || inFlight == 1 && proxy.preference == shortCallsOnly
}

// available returns the lines that take one more call. Those for long calls come first; this daemon comes last, as it has more to
// do.
func (p *advisorProxies) available(now time.Time, self ident.MemberID, peers map[ident.MemberID]string) []advisorProxy {
	all := []advisorProxy{{member: self}}
	for m, a := range peers {
		all = append(all, advisorProxy{member: m, address: a})
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
	return slices.DeleteFunc(all, func(n advisorProxy) bool { return !p.acceptsCall(n) || now.Before(p.backoffUntil[n.member]) })
}

// requestAdvice makes the calls for advice that free lines can take.
func (t *term) requestAdvice() {
	peers := t.coordinator.peerAddresses()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.coordinator.now()
	for _, n := range t.advisorProxies.available(now, t.config.Member, peers) {
		o, ok := t.nextAdviceCall(n, now)
		if !ok {
			continue
		}
		t.advisorProxies.callStarted(n.member)
		go t.callAdvisor(n, o)
	}
}

// nextAdviceCall returns the call that a line makes next.
func (t *term) nextAdviceCall(proxy advisorProxy, now time.Time) (sched.AdviseOrder, bool) {
	switch proxy.preference {
	case shortCallsOnly:
		return t.scheduler.NextAdvice(now, 0, maxShortCallCost)
	case longCallsFirst:
		if o, ok := t.scheduler.NextAdvice(now, maxShortCallCost, 0); ok {
			return o, true
		}
	case anyCall:
	}
	return t.scheduler.NextAdvice(now, 0, 0)
}

// callAdvisor makes a call for advice over a line.
func (t *term) callAdvisor(proxy advisorProxy, o sched.AdviseOrder) {
	sentAt := t.coordinator.now()
	tickets, err := t.sendAdviceCall(t.ctx, proxy, o)
	if t.ctx.Err() != nil {
		return
	}
	t.config.Log.V(1).Info("advice", "job", string(o.Job), "step", o.Step, "named", len(o.Servers), "granted", len(tickets),
		"by", string(proxy.member), "took", t.coordinator.now().Sub(sentAt).String(), "outcome", describeOutcome(err))
	t.update(func(now time.Time, s *sched.Scheduler) {
		t.advisorProxies.callEnded(proxy.member, now, err != nil)
		if err != nil {
			s.AdviceFailed(now, o)
			return
		}
		s.Advised(now, o, tickets, sentAt)
	})
	t.requestAdvice()
}

func (t *term) sendAdviceCall(ctx context.Context, proxy advisorProxy, o sched.AdviseOrder) (map[sched.ServerID]sched.Ticket, error) {
	timeout := o.Cost + adviceMargin
	if proxy.address == "" {
		return t.config.ServerClient.Advise(ctx, timeout, o)
	}
	return t.coordinator.adviseThroughPeer(ctx, proxy.address, timeout, o)
}
