package sched

import (
	"slices"
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
	Counts         Counts                           `json:"counts"`
}

// ServerDump is a summary of a backend server's state.
type ServerDump struct {
	ID             ServerID        `json:"id"`
	Attached       bool            `json:"attached"`
	Registered     bool            `json:"registered"`
	Draining       bool            `json:"draining,omitempty"`
	Failures       int             `json:"failures,omitempty"`
	Runs           int             `json:"runs"`
	Used           resource.Vector `json:"used"`
	LeaseEnds      string          `json:"lease-ends-in"`
	PollAge        string          `json:"look-age"`
	Acknowledged   uint64          `json:"acknowledged"`
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
			ID: v.info.ID, Attached: v.attached, Registered: v.registered, Draining: v.info.Draining, Failures: v.failures,
			Runs: len(v.runs), Used: v.used, LeaseEnds: v.leaseBound.Sub(now).String(), PollAge: now.Sub(v.polledAt).String(),
			Acknowledged: v.recordedUpTo, UnrecordedEnds: len(v.unrecordedEnds),
		})
	}
	for id, t := range s.teams {
		d.Teams[id] = t.used
	}
	return d
}

// JobExplanation describes a job and its incomplete steps for operators.
type JobExplanation struct {
	State   State             `json:"state"`
	Surplus bool              `json:"surplus,omitempty"` // beyond its team's weight
	Steps   []StepExplanation `json:"steps"`
}

// StepExplanation describes an incomplete step.
type StepExplanation struct {
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Done       int      `json:"done"`
	Tasks      int      `json:"tasks"`
	Ready      bool     `json:"ready"`
	Running    []string `json:"running,omitempty"`
	Allowed    int      `json:"allowed-servers"`
	Rank       string   `json:"rank,omitempty"`
}

// Explain returns the state and the rank of a job's incomplete steps.
func (s *Scheduler) Explain(id ident.JobID) (JobExplanation, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobExplanation{}, false
	}
	e := JobExplanation{State: j.state, Surplus: j.surplus}
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			if !g.complete() {
				e.Steps = append(e.Steps, s.explainGroup(g))
			}
		}
	}
	return e, true
}

func (s *Scheduler) explainGroup(g *group) StepExplanation {
	row := StepExplanation{Occurrence: g.occurrence, Step: g.index, Done: g.done, Tasks: len(g.tasks), Ready: g.ready}
	for _, t := range g.tasks {
		for _, p := range t.runs {
			row.Running = append(row.Running, string(p.server.info.ID))
		}
	}
	for id, ok := range g.advice.allowed {
		v := s.servers[id.server]
		row.Allowed += boolToInt(ok && v != nil && v.incarnationID() == id)
	}
	slices.Sort(row.Running)
	r := s.rankOf(g, g.job.queue)
	row.Rank = r.class.String() + ", slack " + r.slack.Round(time.Millisecond).String()
	return row
}
