package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// holdAfterEnd is how long room is held for a step after the last run that was stopped for it has ended.
	holdAfterEnd = time.Second
	// holdMargin is added to the longest stop: a hold whose stops haven't ended by then is given up, as their server doesn't answer.
	holdMargin = time.Second
)

// roomHold is room on a server that is held for a group while runs are stopped for it and until it has started there. It lasts over
// passes and is lost with the leader.
type roomHold struct {
	group  *group
	server *server
	places int       // tasks that the room is for
	stops  int       // runs on the server that were stopped for it and haven't ended
	freeBy time.Time // when the room is expected to be free
	endsAt time.Time
}

// room returns what is held.
func (h *roomHold) room() resource.Vector { return h.group.step.Charge().Times(int64(h.places)) }

// admits reports whether a server has free capacity for a charge of a group, besides what is held for others.
func (v *server) admits(g *group, charge resource.Vector) bool {
	if v.hold != nil && v.hold.group != g {
		charge = charge.Add(v.hold.room())
	}
	return v.fits(charge)
}

// unheld returns the free capacity of a server less the room that is held. It may be negative.
func (v *server) unheld() resource.Vector {
	free := v.info.Capacity.Sub(v.used)
	if v.hold != nil {
		free = free.Sub(v.hold.room())
	}
	return free
}

// heldTicketDue reports whether a call has to be made now for a valid ticket when the held room is free.
func (s *Scheduler) heldTicketDue(h *roomHold, q *Queue) bool {
	free := latest(s.now, h.freeBy)
	return free.Sub(s.now) <= q.Advisor.CallTime(1)+2*renewalLead && h.group.advice.ticket(h.server, free) == ""
}

// useHeldPlace counts a start of the group that room is held for on a server.
func (s *Scheduler) useHeldPlace(v *server) {
	h := v.hold
	h.places--
	h.group.heldPlaces--
	s.preemption.counts.Started++
	if h.places <= 0 {
		s.dropHold(h)
	}
}

// dropHold releases what is still held.
func (s *Scheduler) dropHold(h *roomHold) {
	h.group.heldPlaces -= h.places
	h.places = 0
	if h.server.hold == h {
		h.server.hold = nil
	}
}

// updateHolds gives up holds that have expired, and those of groups that don't need them any more: their tasks have started elsewhere
// or their jobs have ended. Stops under way aren't taken back.
func (s *Scheduler) updateHolds() {
	if len(s.preemption.holds) == 0 {
		return
	}
	for _, h := range s.preemption.holds {
		h.group.heldPlaces = 0
	}
	kept := s.preemption.holds[:0]
	for _, h := range s.preemption.holds {
		if h.places <= 0 {
			continue
		}
		g := h.group
		wanted := 0
		if !g.job.state.Terminal() && !h.server.removed && s.now.Before(h.endsAt) {
			wanted = min(h.places, g.waiting-g.heldPlaces)
		}
		s.preemption.counts.Unused += uint64(h.places - max(wanted, 0))
		h.places = max(wanted, 0)
		g.heldPlaces += h.places
		if h.places == 0 {
			s.dropHold(h)
			continue
		}
		kept = append(kept, h)
	}
	clear(s.preemption.holds[len(kept):])
	s.preemption.holds = kept
}

// notePreemptedEnd counts the end of a run that was stopped to make room. The room is held for a while longer once all of them have ended.
func (s *Scheduler) notePreemptedEnd(p *run) {
	s.preemption.stopping--
	h := p.madeRoom
	if h == nil {
		return
	}
	h.stops--
	if h.stops == 0 {
		h.endsAt = s.now.Add(holdAfterEnd)
	}
}

// heldForOthers returns the demand of the tasks of other groups of the same team for which room is held. They count against the team's limit
// like running ones, or a run would be stopped for a task that may not start.
func (s *Scheduler) heldForOthers(g *group) resource.Vector {
	var held resource.Vector
	for _, h := range s.preemption.holds {
		if h.group != g && h.group.job.spec.Team == g.job.spec.Team {
			held = held.Add(h.group.step.Demand.Times(int64(h.places)))
		}
	}
	return held
}
