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

// EvacuationState is what is left in evacuated data centres.
type EvacuationState struct {
	Servers     int
	Runs        int // including those that are being stopped
	LongRunning int // among the runs
}

// EvacuationState returns what is left in some data centres, or in all evacuated ones if none is named.
func (s *Scheduler) EvacuationState(ids ...ident.DataCentre) EvacuationState {
	var e EvacuationState
	for _, v := range s.servers {
		if len(ids) == 0 && v.evacuated || slices.Contains(ids, v.info.DataCentre) {
			e.Servers++
			e.Runs += len(v.runs)
			e.LongRunning += len(v.runs) - v.finiteRuns
		}
	}
	return e
}

// admitsRepeatedStarts reports whether an unanswered start may be sent to the server again. It is stopped otherwise.
func (v *server) admitsRepeatedStarts() bool { return !v.cordoned && !v.evacuated }
