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
	// adviceSlack is the time beyond its cost that a call for advice may take.
	adviceSlack = 1500 * time.Millisecond
	// linePenalty is how long a daemon is passed over after a failed call for advice.
	linePenalty = time.Second
	// shortCall is the cost up to which a call may use the lines kept for short ones.
	shortCall = 100 * time.Millisecond
	// keptShare of the lines is kept for short calls, which would else wait behind long ones. As many prefer long calls,
	// which would else wait while urgent short ones take each line that becomes free.
	keptShare = 0.34
	// minLines is the number of lines from which some are kept.
	minLines = 3
)

// preference is which calls a line takes.
type preference int

const (
	anyCall    preference = iota
	longFirst             // short ones only while no long one is due
	shortCalls            // no long ones
)

// line is a daemon through which calls for advice are made, one at a time: the advisor handles one call of each caller.
type line struct {
	member  ident.MemberID
	address string // empty for this daemon
	prefers preference
}

// lines tracks which daemons have calls for advice under way. Its fields are guarded by the term's lock.
type lines struct {
	calls map[ident.MemberID]int       // number of calls under way; members without one are absent
	until map[ident.MemberID]time.Time // end of the pause after a failure
}

func newLines() lines {
	return lines{calls: map[ident.MemberID]int{}, until: map[ident.MemberID]time.Time{}}
}

// underWay counts the daemons with a call under way.
func (l *lines) underWay() int { return len(l.calls) }

// begin enters a call.
func (l *lines) begin(m ident.MemberID) { l.calls[m]++ }

// end removes a call. A failed one pauses the line.
func (l *lines) end(m ident.MemberID, now time.Time, failed bool) {
	if l.calls[m]--; l.calls[m] == 0 {
		delete(l.calls, m)
	}
	if failed {
		l.until[m] = now.Add(linePenalty)
	}
}

// takes reports whether a line takes one more call: any line while it has none, and one that is kept for short calls while
// it has one, so that the advisor is at work while an answer is on its way and being handled.
func (l *lines) takes(n line) bool {
	under := l.calls[n.member]
	return under == 0 || under == 1 && n.prefers == shortCalls
}

// free returns the lines that take one more call. Those for long calls come first; this daemon comes last, as it has more to
// do.
func (l *lines) free(now time.Time, self ident.MemberID, peers map[ident.MemberID]string) []line {
	all := []line{{member: self}}
	for m, a := range peers {
		all = append(all, line{member: m, address: a})
	}
	slices.SortFunc(all, func(a, b line) int {
		if (a.address == "") != (b.address == "") {
			return cmp.Compare(b.address, a.address)
		}
		return cmp.Compare(a.member, b.member)
	})
	if kept := max(int(keptShare*float64(len(all))), 1); len(all) >= minLines {
		for i := range kept {
			all[i].prefers = longFirst
			all[len(all)-1-i].prefers = shortCalls
		}
	}
	return slices.DeleteFunc(all, func(n line) bool { return !l.takes(n) || now.Before(l.until[n.member]) })
}

// seekAdvice makes the calls for advice that free lines can take.
func (t *term) seekAdvice() {
	peers := t.owner.peers()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.owner.now()
	for _, n := range t.lines.free(now, t.config.Member, peers) {
		o, ok := t.nextCall(n, now)
		if !ok {
			continue
		}
		t.lines.begin(n.member)
		go t.advise(n, o)
	}
}

// nextCall returns the call that a line makes next.
func (t *term) nextCall(n line, now time.Time) (sched.AdviceRequest, bool) {
	switch n.prefers {
	case shortCalls:
		return t.core.NextAdviceRequest(now, 0, shortCall)
	case longFirst:
		if o, ok := t.core.NextAdviceRequest(now, shortCall, 0); ok {
			return o, true
		}
	case anyCall:
	}
	return t.core.NextAdviceRequest(now, 0, 0)
}

// advise makes a call for advice over a line.
func (t *term) advise(n line, o sched.AdviceRequest) {
	asked := t.owner.now()
	tickets, err := t.ask(t.ctx, n, o)
	if t.ctx.Err() != nil {
		return
	}
	t.config.Log.V(1).Info("advice", "job", string(o.Job), "step", o.Step, "named", len(o.Servers), "granted", len(tickets),
		"by", string(n.member), "took", t.owner.now().Sub(asked).String(), "outcome", outcome(err))
	t.do(func(now time.Time, s *sched.Scheduler) {
		t.lines.end(n.member, now, err != nil)
		if err != nil {
			s.AdviceFailed(now, o)
			return
		}
		s.AdviceReceived(now, o, tickets, asked)
	})
	t.seekAdvice()
}

func (t *term) ask(ctx context.Context, n line, o sched.AdviceRequest) (map[sched.ServerID]sched.Ticket, error) {
	timeout := o.Cost + adviceSlack
	if n.address == "" {
		return t.config.Servers.Advise(ctx, timeout, o)
	}
	return t.owner.askAdvice(ctx, n.address, timeout, o)
}
