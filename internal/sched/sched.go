// Package sched implements the scheduling core as a state machine without I/O, goroutines or a clock of its own. Events
// arrive as method calls that carry the current time; the resulting commands are queued until TakeCommands returns them.
package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// ServerID identifies a backend server. A restarted server usually has a new id, but may return under its former one.
type ServerID string

// ServiceID names a pool of backend servers.
type ServiceID string

// FencingToken grows with each leader's term. Backend servers reject commands with a token lower than the highest seen.
type FencingToken uint64

// RunNumber numbers the runs of a task; a later run has a higher number.
type RunNumber uint64

// Checkpoint is the token under which a backend server saved a task's progress; empty means none.
type Checkpoint string

// Ticket is a queue advisor's permission to start tasks of a step on a server.
type Ticket string

// TaskID identifies a task inside a job.
type TaskID struct {
	Job        ident.JobID `json:"job"`
	Occurrence int         `json:"occurrence,omitempty"`
	Step       int         `json:"step,omitempty"`
	Index      int         `json:"index,omitempty"`
}

// Advisor describes the external service that decides which servers may run the steps of a queue.
type Advisor struct {
	BaseTime       time.Duration `json:"decide"` // duration of a call before the time for its servers
	TimePerServer  time.Duration `json:"period"` // added to the call for each server in the request
	TicketValidity time.Duration `json:"valid"`
}

// CallTime returns the expected duration of a call about n servers.
func (a Advisor) CallTime(n int) time.Duration { return a.BaseTime + time.Duration(n)*a.TimePerServer }

// Queue holds the configuration of a queue. A job is on time within Stretch times its expected work plus Target.
type Queue struct {
	ID          ident.QueueID `json:"id"`
	Service     ServiceID     `json:"service"`
	Priority    int           `json:"priority"` // 0 is the most urgent
	MaxAttempts int           `json:"max-attempts"`
	Stretch     float64       `json:"stretch"`
	Target      time.Duration `json:"target"`
	Advisor     *Advisor      `json:"advice,omitempty"`
}

// Team holds a team's entitlement and limit.
type Team struct {
	ID     ident.TeamID
	Weight float64         // rate in jobs per second that the team is entitled to; jobs beyond it are surplus; 0 means unlimited
	Limit  resource.Vector // total demand of the runs at one time; 0 means unlimited
}

// Config is the part of the configuration that scheduling uses.
type Config struct {
	Queues map[ident.QueueID]Queue
	Teams  map[ident.TeamID]Team
}

// Step describes a set of equal tasks of a job.
type Step struct {
	Count          int             `json:"count"`
	Demand         resource.Vector `json:"demand"`
	Estimate       time.Duration   `json:"estimate,omitempty"`
	After          []int           `json:"after,omitempty"` // indexes of earlier steps that must be complete first
	Label          string          `json:"label,omitempty"` // label required of the server
	Rack           ident.Rack      `json:"rack,omitempty"`  // rack that holds the input data
	MaxPerServer   int             `json:"max-per-server,omitempty"`
	Image          string          `json:"image,omitempty"`
	TailTarget     time.Duration   `json:"tail-target,omitempty"` // tail latency objective of a serving task
	MaxUnavailable int             `json:"may-miss,omitempty"`    // tasks that may be unavailable at the same time
	Checkpointing  bool            `json:"checkpointing,omitempty"`
	Gang           bool            `json:"gang,omitempty"`
	SameRack       bool            `json:"same-rack,omitempty"`
	Speculative    bool            `json:"speculative,omitempty"`
	LongRunning    bool            `json:"long-running,omitempty"`
	BestEffort     bool            `json:"fills,omitempty"` // uses only processor time that other tasks leave idle
}

// Charge returns the server capacity that a task of the step reserves. Best-effort tasks reserve no processor time.
func (s *Step) Charge() resource.Vector {
	v := s.Demand
	if s.BestEffort {
		v.CPU = 0
	}
	return v
}

// Job is a job as it was accepted. Queue is the queue's configuration at that time; it applies once the queue is removed
// from the configuration.
type Job struct {
	ID          ident.JobID   `json:"id"`
	Team        ident.TeamID  `json:"team,omitempty"`
	Queue       Queue         `json:"queue"`
	Payload     string        `json:"payload"`
	Steps       []Step        `json:"steps"`
	Accepted    time.Time     `json:"accepted"`
	Repetitions int           `json:"repetitions,omitempty"` // 0 means that the steps run once, without a schedule
	StartAt     time.Time     `json:"start-at,omitzero"`
	Interval    time.Duration `json:"interval,omitempty"`
	// Ended is set in the record of an ended job, which keeps neither payload nor steps.
	Ended *Progress `json:"ended,omitempty"`
}

// EndedRecord returns the record that replaces the job once it has ended with the given progress.
func (j *Job) EndedRecord(p Progress) *Job {
	return &Job{ID: j.ID, Team: j.Team, Queue: Queue{ID: j.Queue.ID}, Accepted: j.Accepted, Ended: &p}
}

// HasSchedule reports whether the job runs on a schedule.
func (j *Job) HasSchedule() bool { return j.Repetitions > 0 }

// Server describes a backend server as it registered itself.
type Server struct {
	ID          ServerID
	Incarnation int64 `json:"Born"` // start time in Unix milliseconds; grows with each restart
	Address     string
	Service     ServiceID
	DataCentre  ident.DataCentre
	Rack        ident.Rack
	Labels      []string
	Capacity    resource.Vector
	Draining    bool
	Remaining   time.Duration // minimum time until a draining server shuts down
	Cold        time.Duration // time for which it remains slow after its start, from the registration on
}

// Outcome is the result of a run.
type Outcome string

// Outcomes of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"
	OutcomeStopped        Outcome = "stopped"
	OutcomeLeaseExpired   Outcome = "lapsed"
	OutcomeGangBroken     Outcome = "broken" // another member of the gang ended first
	OutcomeGangIncomplete Outcome = "alone"  // not all members of the gang started
)

// ActiveRun is a run in progress in a server's inventory.
type ActiveRun struct {
	Task        TaskID
	Run         RunNumber
	Checkpoint  Checkpoint
	Percent     int           // progress of the task
	TailLatency time.Duration // measured tail latency of a serving task; without meaning for other tasks
}

// FinishedRun is an ended run. The server lists it until its number is acknowledged.
type FinishedRun struct {
	Number     uint64
	Task       TaskID
	Run        RunNumber
	Outcome    Outcome
	Checkpoint Checkpoint
}

// Inventory is a server's reply to a poll.
type Inventory struct {
	Incarnation int64
	Clock       time.Duration // the server's monotonic clock
	Delay       time.Duration // how much longer than its wait the poll took
	Running     []ActiveRun
	Finished    []FinishedRun // those with the lowest numbers that aren't acknowledged
	// MoreFinished reports that the server may have further ended runs, with higher numbers. A run that the inventory doesn't list
	// may be one of them.
	MoreFinished bool
}

// State is the state of a job as reported to callers.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Refusal is a server's reason for not starting a run.
type Refusal string

// Reasons for refusing a start.
const (
	RefusedFenced       Refusal = "fence"     // the server has seen a higher fencing token
	RefusedOldRun       Refusal = "old-run"   // a run of the task with this number or a higher one has ended there
	RefusedLeaseExpired Refusal = "late"      // the lease had expired on arrival
	RefusedCapacity     Refusal = "room"      // the server lacks capacity
	RefusedTicket       Refusal = "ticket"    // the ticket is invalid
	RefusedUnhealthy    Refusal = "unhealthy" // the server accepts no work at present
	RefusedInvalid      Refusal = "invalid"   // the command was malformed
)

// Command is an action that the caller of the Scheduler has to carry out.
type Command interface{ command() }

// StartCommand starts a run.
type StartCommand struct {
	Server     Server
	Task       TaskID
	Run        RunNumber
	Payload    string
	Checkpoint Checkpoint
	Ticket     Ticket
	Deadline   time.Duration // end of the lease on the server's clock
	Attempt    int
	JobAge     time.Duration // time since the job was due, for the log
	// CommonDelay is by how much replies are late in common. The reply may take that much longer than usual.
	CommonDelay time.Duration
}

// StopCommand stops a run and prevents runs of the task with a lower number from starting.
type StopCommand struct {
	Server Server
	Task   TaskID
	Run    RunNumber
	Reason string
	// CommonDelay is that of StartCommand.
	CommonDelay time.Duration
}

// ThrottleCommand limits a run to a percentage of its full speed.
type ThrottleCommand struct {
	Server  Server
	Task    TaskID
	Run     RunNumber
	Percent int
}

// PollCommand requests the inventory, renews the lease and acknowledges ended runs.
type PollCommand struct {
	Server       Server
	Acknowledged uint64
	Deadline     time.Duration // end of the lease on the server's clock; 0 doesn't renew it
	Wait         time.Duration // how long the server may delay its reply until a run ends
	Timeout      time.Duration // from the call on; a poll without a reply by then counts as failed, but a later reply is still used
	EndsAfter    time.Duration // from the call on; no reply is used after it
	Delay        time.Duration // pause before the call
	Serial       uint64        // numbers the polls of a scheduler
	Overdue      bool          // the latest call of the server has failed, so its other connections may be silent as well
}

// AdviceRequest asks a queue's advisor which of the servers may run a step. NextAdviceRequest returns it.
type AdviceRequest struct {
	Job        ident.JobID
	Occurrence int
	Step       int
	Servers    []ServerID
	Cost       time.Duration // expected duration of the call

	incarnations map[ServerID]int64 // of the servers at the time of the call
	expected     resource.MilliCPU  // processor time that the step is expected to take on each of the servers
}

func (StartCommand) command()    {}
func (StopCommand) command()     {}
func (ThrottleCommand) command() {}
func (PollCommand) command()     {}
