package sched

import (
	"slices"
	"time"
)

// A leader that has lost the store can't see daemons that were added since, and one of them may have taken over. The servers tell: they
// refuse the commands of a leader once a later one has called them. So a leader without the store goes on only while it reaches half of the
// servers, and a leader that a former one may not know counts the time that this one goes on from when it has reached more than half.
const (
	// MaxIsolation is how long a leader without the store goes on while it reaches more than half of the servers.
	MaxIsolation = time.Hour
	// TiedIsolation is the same for a leader that reaches exactly half of them. Its successor may reach the other half.
	TiedIsolation = 8 * time.Second
)

// formerReach is how many of the servers of the former leaders' roster this leader has called, with its fencing token.
type formerReach struct {
	listed, reached int
	half, more      time.Time // when it had called half and more than half of them; zero before
}

// noteReached notes that a server has accepted this leader's fencing token.
func (s *Scheduler) noteReached(v *server) {
	if !v.restored || v.reached {
		return
	}
	v.reached = true
	s.formerReach.reached++
	s.formerReach.update(s.now)
}

func (r *formerReach) update(now time.Time) {
	if r.half.IsZero() && 2*r.reached >= r.listed {
		r.half = now
	}
	if r.more.IsZero() && 2*r.reached > r.listed {
		r.more = now
	}
}

// formerExtension returns for how much longer than Options.LeaderOverlap after the takeover a former leader may go on.
func (s *Scheduler) formerExtension() time.Duration {
	r := &s.formerReach
	if !s.options.FormerUnaware || r.listed == 0 {
		return 0
	}
	bound := scale(MaxIsolation, 1+clockDrift)
	if !r.half.IsZero() {
		bound = min(bound, max(r.half.Sub(s.started), scale(TiedIsolation, 1+clockDrift)))
	}
	if !r.more.IsZero() {
		bound = min(bound, r.more.Sub(s.started))
	}
	return bound
}

// FormerLeadersMayGoOn reports whether former leaders may still send commands.
func (s *Scheduler) FormerLeadersMayGoOn(now time.Time) bool {
	return now.Before(s.started.Add(s.options.LeaderOverlap + s.formerExtension()))
}

// serverLeaseEnded is leaseEnded for a bound of a server's leases, which former leaders may have granted unless the server refuses them.
func (s *Scheduler) serverLeaseEnded(v *server, bound time.Time) bool {
	if v.fenced {
		return s.leaseEnded(bound)
	}
	return s.leaseEnded(bound.Add(s.formerExtension()))
}

// ServersReachedAt returns the latest times since which half and more than half of the servers have answered this leader; zero if they
// haven't. The roster, by which a successor counts, may have each of the servers that are counted, and certainly has those that answered. A
// server that has restarted since a time, when the store was last known to have no successor, doesn't know the successor's fencing token.
func (s *Scheduler) ServersReachedAt(now, since time.Time) (half, more time.Time) {
	var answered []time.Time
	count := len(s.servers)
	for _, v := range s.servers {
		if v.rosterAddress != "" && !v.restartedAt.After(since) {
			answered = append(answered, v.incarnationSeenAt)
		}
	}
	for id, v := range s.rosterDirty {
		count += boolToInt(v.removed && s.servers[id] == nil)
	}
	if count == 0 {
		return now, now // no command can reach any
	}
	slices.SortFunc(answered, func(a, b time.Time) int { return b.Compare(a) })
	if i := (count+1)/2 - 1; i < len(answered) {
		half = answered[i]
	}
	if i := count / 2; i < len(answered) {
		more = answered[i]
	}
	return half, more
}

// updateReach decides whether idle servers are polled to know how many of them this leader reaches.
func (s *Scheduler) updateReach() {
	s.pollsIdle = false
	if !s.storeAnswers() {
		_, more := s.ServersReachedAt(s.now, s.now)
		s.pollsIdle = s.now.Sub(more) >= silentStorePollInterval/2
	}
}

// formerLeaseBound returns when all leases have expired that a former leader granted up to the given time.
func (s *Scheduler) formerLeaseBound(granted time.Time) time.Time {
	if s.options.RunBase == 0 {
		return s.started // there was no former leader
	}
	return granted.Add(scale(s.options.MaxFormerLease, 1+clockDrift) + leaseMargin)
}

// leaseEnded reports whether a lease whose end is bounded by a time is over for certain. A later leader may have renewed it, unless it took
// over after that time, so this leader's clock alone doesn't tell.
func (s *Scheduler) leaseEnded(bound time.Time) bool {
	return s.now.After(bound) && !s.mayHaveSuccessor(bound)
}

// lossInDoubt reports whether a later leader may have learned the end of a task's run before this one took that run for lost, as after a
// restart of its server. A former leader may have started an inherited task on any server that was lost with an unknown inventory.
func (s *Scheduler) lossInDoubt(t *task) bool {
	return s.mayHaveSuccessor(t.lostAt) || t.group.job.inherited && s.mayHaveSuccessor(s.unknownRunsLostAt)
}

// mayHaveSuccessor reports whether a later leader may have taken over before a time; it is false for the zero time.
func (s *Scheduler) mayHaveSuccessor(at time.Time) bool {
	return !at.IsZero() && s.options.LedUntil != nil && s.options.LedUntil().Before(at)
}

// noteUnknownRunsLost notes that a server has ended or restarted, with all runs of former leaders that it hasn't listed.
func (s *Scheduler) noteUnknownRunsLost(v *server) {
	if s.options.RunBase > 0 && !v.inventoryKnown {
		s.unknownRunsLostAt = s.now
	}
}
