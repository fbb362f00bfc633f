package sched

import (
	"slices"
	"time"
)

const (
	// failureShareDecay is the factor by which each ended run reduces the weight of earlier ones in a server's share of failures.
	failureShareDecay = 0.9
	// suspectFailureShare is the share of failed runs from which a server is suspected, or a step counts as failing on a server.
	suspectFailureShare = 0.6
	// minRecentFailures is the decayed count of failed runs that a suspicion requires.
	minRecentFailures = 3.0
	// maxEndings bounds the ended runs that a server's share of failures is computed from.
	maxEndings = 20
	// maxComparedServers bounds the servers whose runs of a step are compared.
	maxComparedServers = 16
	// maxProvenSuspects is the share of a service's servers that may be suspected because steps fail on them which end well elsewhere.
	maxProvenSuspects = 0.5
)

// blame is what the failures of a step on a server are put down to.
type blame int

const (
	blameUnproven blame = iota // the step has run on no other server
	blameServer                // it ends well on another server
	blameStep                  // it fails on all other servers too
)

// stepOutcomes counts the runs of a group that were done or failed, by server. It shows whether a failure is the step's or a server's.
type stepOutcomes struct {
	servers []serverOutcomes
	failed  int
}

type serverOutcomes struct {
	id            ServerID
	ended, failed int
}

// note counts a run on a server. It reports whether the blame for failures on other servers may have changed.
func (o *stepOutcomes) note(id ServerID, failed bool) bool {
	o.failed += boolToInt(failed)
	for i := range o.servers {
		if e := &o.servers[i]; e.id == id {
			before := e.fails()
			e.ended++
			e.failed += boolToInt(failed)
			return e.fails() != before
		}
	}
	if len(o.servers) >= maxComparedServers {
		return false
	}
	o.servers = append(o.servers, serverOutcomes{id: id, ended: 1, failed: boolToInt(failed)})
	return o.failed > 0
}

// fails reports whether most runs on the server fail.
func (e *serverOutcomes) fails() bool {
	return float64(e.failed) >= suspectFailureShare*float64(e.ended)
}

// failsOn reports whether most runs on a server failed. The next attempts go to others, so that a few faulty servers don't use them up.
func (o *stepOutcomes) failsOn(id ServerID) bool {
	if o == nil || o.failed == 0 {
		return false
	}
	i := slices.IndexFunc(o.servers, func(e serverOutcomes) bool { return e.id == id })
	return i >= 0 && o.servers[i].fails()
}

// blameOn returns what failures on a server are put down to.
func (o *stepOutcomes) blameOn(id ServerID) blame {
	result := blameUnproven
	for i := range o.servers {
		switch e := &o.servers[i]; {
		case e.id == id:
		case !e.fails():
			return blameServer
		default:
			result = blameStep
		}
	}
	return result
}

// ending is an ended run on a server.
type ending struct {
	step   *stepOutcomes
	failed bool
}

// failureShare is a server's share of failures, with exponential decay. Failures that are put down to their steps don't count.
type failureShare struct {
	runs, failures float64
	proven         float64 // failures of steps that end well elsewhere
}

// shareOf returns the share of failures among ended runs, the latest of which comes last.
func (v *server) shareOf(endings []ending) failureShare {
	var f failureShare
	for _, e := range endings {
		f.runs *= failureShareDecay
		f.failures *= failureShareDecay
		f.proven *= failureShareDecay
		if !e.failed {
			f.runs++
			continue
		}
		switch e.step.blameOn(v.info.ID) {
		case blameStep:
			continue
		case blameServer:
			f.proven++
		case blameUnproven:
		}
		f.runs++
		f.failures++
	}
	return f
}

// suspicious reports whether most runs fail.
func (f *failureShare) suspicious() bool {
	return f.failures >= minRecentFailures && f.failures >= suspectFailureShare*f.runs
}

// isProven reports whether the proven failures alone are enough for a suspicion.
func (f *failureShare) isProven() bool {
	return f.proven >= minRecentFailures && f.proven >= suspectFailureShare*f.runs
}

// noteEnding counts an ended run on its server, and suspects that one if most runs on it fail through its own fault.
func (s *Scheduler) noteEnding(p *run, failed bool) {
	v, o := p.server, p.task.group.stepOutcomes()
	v.endings = append(v.endings, ending{o, failed})
	if n := len(v.endings) - maxEndings; n > 0 {
		v.endings = v.endings[n:]
	}
	s.reviewFailures(v)
}

// noteOutcome counts a run of a step that was done or failed, and reviews what other servers are suspected for.
func (s *Scheduler) noteOutcome(p *run, failed bool) {
	o := p.task.group.stepOutcomes()
	if !o.note(p.server.info.ID, failed) {
		return
	}
	for _, e := range o.servers {
		if v := s.servers[e.id]; v != nil && v != p.server {
			s.reviewFailures(v)
		}
	}
}

// stepOutcomes returns the outcomes of the group's runs.
func (g *group) stepOutcomes() *stepOutcomes {
	if g.outcomes == nil {
		g.outcomes = &stepOutcomes{}
	}
	return g.outcomes
}

// reviewFailures updates a server's share of failures, and suspects the server or ends a suspicion that has lost its reason.
func (s *Scheduler) reviewFailures(v *server) {
	if v.suspectedFor != nil && s.now.Before(v.noStartsBefore) && !v.reasonHolds() {
		s.liftSuspicion(v)
	}
	share := v.shareOf(v.endings)
	v.recentRuns, v.recentFailures = share.runs, share.failures
	if !share.suspicious() || s.now.Before(v.noStartsBefore) {
		return // runs that end during the quarantine were started before it
	}
	proven := share.isProven()
	if s.tooManySuspects(v.info.Service, suspectLimit(proven)) {
		return
	}
	endings := v.endings
	s.suspect(v)
	v.suspectedFor = endings
	if !proven {
		v.noStartsBefore = s.now.Add(quarantine) // a longer one needs proof that the server is at fault
	}
	s.decideSuspicion(v, CauseRunsFail, proven)
}

// decideSuspicion keeps the decision that a server is suspected.
func (s *Scheduler) decideSuspicion(v *server, cause Cause, proven bool) {
	s.decideServer(v, ServerDecision{
		Event: ServerQuarantined, Cause: cause, Runs: len(v.runs), Quarantine: v.noStartsBefore.Sub(s.now), Proven: proven,
	})
}

// suspectStalled quarantines the server of a stalled run, unless its step stalls or fails everywhere.
func (s *Scheduler) suspectStalled(p *run) {
	v, o := p.server, p.task.group.stepOutcomes()
	s.noteOutcome(p, true)
	b := o.blameOn(v.info.ID)
	if b == blameStep || s.now.Before(v.noStartsBefore) || s.tooManySuspects(v.info.Service, suspectLimit(b == blameServer)) {
		return
	}
	s.suspect(v)
	v.suspectedFor, v.suspectedStall = []ending{{o, true}}, true
	s.decideSuspicion(v, CauseRunStalled, b == blameServer)
}

// reasonHolds reports whether the ended or stalled runs that a server was suspected for still show that it is at fault.
func (v *server) reasonHolds() bool {
	if v.suspectedStall {
		return v.suspectedFor[0].step.blameOn(v.info.ID) != blameStep
	}
	share := v.shareOf(v.suspectedFor)
	return share.suspicious()
}

// liftSuspicion ends a quarantine that the server isn't to blame for.
func (s *Scheduler) liftSuspicion(v *server) {
	v.noStartsBefore = time.Time{}
	v.suspicions--
	if !v.suspectedStall {
		v.endings = append(v.suspectedFor[:len(v.suspectedFor):len(v.suspectedFor)], v.endings...)
	}
	v.suspectedFor, v.suspectedStall = nil, false
	s.passNeeded = true
	s.decideServer(v, ServerDecision{Event: ServerCleared, Cause: CauseStepsFail, Runs: len(v.runs)})
}

// suspectLimit returns the share of a service's servers that may be suspected.
func suspectLimit(proven bool) float64 {
	if proven {
		return maxProvenSuspects
	}
	return maxSuspects
}

// tooManySuspects reports whether the share of suspected servers of a service has reached a limit.
func (s *Scheduler) tooManySuspects(id ServiceID, limit float64) bool {
	n := 0
	for _, v := range s.services[id] {
		n += boolToInt(v.suspicions > 0)
	}
	return float64(n) >= limit*float64(len(s.services[id]))
}
