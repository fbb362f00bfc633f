package sched

import (
	"slices"
	"time"
)

// RunDetail describes a run that holds capacity, and what is known of its server, for operators.
type RunDetail struct {
	Index        int       `json:"index"`
	Run          RunNumber `json:"run"`
	Phase        string    `json:"phase"`
	Age          string    `json:"age"`
	CommandAge   string    `json:"command-age,omitempty"` // time since the last start or stop was sent
	Starts       int       `json:"starts"`                // how often the start was sent; 0 for a run that an inventory showed
	StopAnswered bool      `json:"stop-answered,omitempty"`

	Server      ServerID `json:"server"`
	Incarnation int64    `json:"incarnation"`
	Address     string   `json:"address"`
	ServerKnown bool     `json:"server-known"` // it is the server that the scheduler has under the id
	InService   bool     `json:"in-service"`   // it is among the servers of its service
	AddedAgain  bool     `json:"added-again,omitempty"`
	RemovedAge  string   `json:"removed-age,omitempty"` // time since the server was removed
	Removal     Cause    `json:"removal,omitempty"`
	Registered  bool     `json:"registered"`
	Attached    bool     `json:"attached"`
	Failures    int      `json:"failures"`
	PollAge     string   `json:"poll-age,omitempty"`
	LeaseEndsIn string   `json:"lease-ends-in"`
}

func (s *Scheduler) runDetail(p *run) RunDetail {
	v := p.server
	current := s.servers[v.info.ID]
	return RunDetail{
		Index: p.task.index, Run: p.number, Phase: p.phase.String(), Age: age(s.now, p.startedAt), CommandAge: age(s.now, p.sentAt),
		Starts: p.startAttempts, StopAnswered: !p.stopAnsweredAt.IsZero(),
		Server: v.info.ID, Incarnation: v.info.Incarnation, Address: v.info.Address, ServerKnown: current == v,
		InService: slices.Contains(s.services[v.info.Service], v), AddedAgain: current != nil && current != v,
		RemovedAge: age(s.now, v.history.removedAt), Removal: v.history.cause,
		Registered: v.registered, Attached: v.attached, Failures: v.failures, PollAge: age(s.now, v.polledAt),
		LeaseEndsIn: v.leaseBound.Sub(s.now).String(),
	}
}

// age formats the time since a moment; it is empty for the zero time.
func age(now, at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return now.Sub(at).String()
}
