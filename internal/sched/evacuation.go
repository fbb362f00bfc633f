package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// SetEvacuated replaces the set of evacuated data centres. No run starts on their servers; those in progress continue.
func (s *Scheduler) SetEvacuated(now time.Time, evacuated map[ident.DataCentre]bool) {
	s.now = now
	s.evacuated = maps.Clone(evacuated)
	for _, v := range s.servers {
		v.evacuated = evacuated[v.info.DataCentre]
	}
	s.fleetVersion++
	s.passNeeded = true
}

// DataCentres returns the data centres of all known servers, sorted by name.
func (s *Scheduler) DataCentres() []ident.DataCentre {
	known := map[ident.DataCentre]bool{}
	for _, v := range s.servers {
		if v.info.DataCentre != "" {
			known[v.info.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

// EvacuationState is what is left in an evacuated data centre.
type EvacuationState struct {
	Servers int
	Runs    int // including those that are being stopped
}

// EvacuationState returns what is left in a data centre.
func (s *Scheduler) EvacuationState(id ident.DataCentre) EvacuationState {
	var e EvacuationState
	for _, v := range s.servers {
		if v.info.DataCentre == id {
			e.Servers++
			e.Runs += len(v.runs)
		}
	}
	return e
}

// admitsRepeatedStarts reports whether an unanswered start may be sent to the server again. It is stopped otherwise.
func (v *server) admitsRepeatedStarts() bool { return !v.cordoned && !v.evacuated }
