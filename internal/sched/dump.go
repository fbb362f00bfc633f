package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Dump is a summary of the scheduler's state for operators.
type Dump struct {
	Term           string                           `json:"term"` // time since the takeover
	Jobs           map[State]int                    `json:"jobs"`
	Waiting        int                              `json:"waiting-groups"`
	AwaitingAdvice int                              `json:"groups-that-need-advice"`
	UnrecordedJobs int                              `json:"jobs-with-unrecorded-progress"`
	Servers        []ServerDump                     `json:"servers"`
	Teams          map[ident.TeamID]resource.Vector `json:"team-usage"`
	PastUse        map[ident.TeamID]TeamUse         `json:"past-use,omitempty"`
	Counts         Counts                           `json:"counts"`
}

// ServerDump is a summary of a backend server's state.
type ServerDump struct {
	ID             ServerID        `json:"id"`
	Attached       bool            `json:"attached"`
	Registered     bool            `json:"registered"`
	Draining       bool            `json:"draining,omitempty"`
	Evacuated      bool            `json:"evacuated,omitempty"`
	Failures       int             `json:"failures,omitempty"`
	Runs           int             `json:"runs"`
	Used           resource.Vector `json:"used"`
	LeaseEnds      string          `json:"lease-ends-in"`
	PollAge        string          `json:"look-age"`
	Acknowledged   uint64          `json:"acknowledged"`
	Speed          float64         `json:"speed"` // multiple of the usual speed, 1 unless known to differ
	UnrecordedEnds int             `json:"unacknowledged-ends,omitempty"`
}

// Dump returns a summary of the scheduler's state.
func (s *Scheduler) Dump(now time.Time) Dump {
	d := Dump{
		Term: now.Sub(s.started).String(), Jobs: map[State]int{}, AwaitingAdvice: len(s.adviceQueue), UnrecordedJobs: len(s.dirtyJobs),
		Teams: map[ident.TeamID]resource.Vector{}, Counts: s.counts,
	}
	for id := range s.jobs {
		state, _, _ := s.State(id)
		d.Jobs[state]++
	}
	for _, g := range s.groups {
		d.Waiting += boolToInt(g.hasWaiting())
	}
	for _, v := range s.sortedServers() {
		d.Servers = append(d.Servers, ServerDump{
			ID: v.info.ID, Attached: v.attached, Registered: v.registered, Draining: v.info.Draining, Evacuated: v.evacuated, Failures: v.failures,
			Runs: len(v.runs), Used: v.used, LeaseEnds: v.leaseBound.Sub(now).String(), PollAge: now.Sub(v.polledAt).String(),
			Acknowledged: v.recordedUpTo, UnrecordedEnds: len(v.unrecordedEnds), Speed: v.speed.Factor(),
		})
	}
	for id, t := range s.teams {
		d.Teams[id] = t.used
	}
	d.PastUse = s.TeamUses()
	return d
}
