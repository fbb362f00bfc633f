package sched

import (
	"slices"
	"time"
)

// ServerReplaced handles proof that another server responded at the address of the server that a call was meant for, so that the
// incarnation which it was meant for has ended. It does nothing if the server has another address or incarnation since. If only a
// registration has named the address and the incarnation has answered at another one, the registration is refuted instead.
func (s *Scheduler) ServerReplaced(now time.Time, meant Server) {
	s.now = now
	v := s.servers[meant.ID]
	if v == nil || v.info.Address != meant.Address || v.info.Incarnation != meant.Incarnation {
		return
	}
	held := len(v.runs)
	v.polling = false
	if v.answeredAddress != "" && v.answeredAddress != meant.Address {
		v.info.Address = v.answeredAddress
		s.touchRoster(v)
		s.decideServer(v, ServerDecision{Event: ServerAddressRefuted, Cause: CauseReplaced, Runs: held})
		s.poll(v, 0, 0)
		return
	}
	s.noteUnknownRunsLost(v)
	s.loseAllRuns(v, CauseReplaced)
	s.remove(v, CauseReplaced, held)
}

// loseAllRuns releases all runs of a server, which are known to have ended.
func (s *Scheduler) loseAllRuns(v *server, cause Cause) {
	for _, p := range sortedRuns(v) {
		s.counts.Lapses++
		s.release(p, cause)
	}
}

// loseLongRunning releases the long-running runs of a server whose leases have expired.
func (s *Scheduler) loseLongRunning(v *server) {
	if len(v.runs) == v.finiteRuns {
		return
	}
	for _, p := range sortedRuns(v) {
		if p.task.group.step.LongRunning {
			s.counts.Lapses++
			s.release(p, CauseLeaseExpired)
		}
	}
}

// markOutcomesUnknown counts the runs of an unresponsive server as ended with an unknown outcome: each may have failed.
func (s *Scheduler) markOutcomesUnknown(v *server) {
	for _, p := range v.runs {
		p.task.unknownOutcomes++
		v.unknownOutcomeTasks = append(v.unknownOutcomeTasks, p.task)
	}
}

// clearUnknownOutcomes clears the unknown outcomes of a server's runs, once it has reported them or never will.
func (s *Scheduler) clearUnknownOutcomes(v *server) {
	for _, t := range v.unknownOutcomeTasks {
		t.unknownOutcomes--
	}
	v.unknownOutcomeTasks = nil
	s.passNeeded = true
}

// remove removes a server, which held a number of runs before.
func (s *Scheduler) remove(v *server, cause Cause, held int) {
	s.clearUnknownOutcomes(v)
	delete(s.servers, v.info.ID)
	s.byID = nil
	v.removed = true
	s.touchRoster(v)
	s.services[v.info.Service] = slices.DeleteFunc(s.services[v.info.Service], func(o *server) bool { return o == v })
	s.noteRemoval(v, cause, held)
	s.passNeeded = true
}
