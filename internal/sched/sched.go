// Package sched is the scheduling core: a state machine without I/O, goroutines or a clock. Events come in as method
// calls with the time at which they are handled; the orders that follow are collected and taken with Take.
package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// ServerID identifies one life of a backend server, unless the server restarts under its former id.
type ServerID string

// ServiceID names a pool of backend servers.
type ServiceID string

// FencingToken is the number that backend servers compare; they ignore orders with a lower one.
type FencingToken uint64

// RunNumber numbers the starts of a task; a later start has a higher run.
type RunNumber uint64

// Checkpoint is a backend server's token for saved progress; empty means none.
type Checkpoint string

// Ticket is the permission of a queue's advisor to start a step on a server.
type Ticket string

// TaskID identifies a task inside a job.
type TaskID struct {
	Job        ident.JobID `json:"job"`
	Occurrence int         `json:"occurrence,omitempty"`
	Step       int         `json:"step,omitempty"`
	Index      int         `json:"index,omitempty"`
}

// Advisor describes the service that restricts the servers of a queue.
type Advisor struct {
	BaseTime       time.Duration `json:"decide"` // time of a call
	TimePerServer  time.Duration `json:"period"` // additional time for each server named
	TicketValidity time.Duration `json:"valid"`  // validity of a ticket
}

// CallTime returns the time that a call naming n servers takes.
func (a Advisor) CallTime(n int) time.Duration { return a.BaseTime + time.Duration(n)*a.TimePerServer }

// Queue holds the configuration of a queue.
type Queue struct {
	ID          ident.QueueID `json:"id"`
	Service     ServiceID     `json:"service"`
	Priority    int           `json:"priority"` // 0 is the most urgent
	MaxAttempts int           `json:"max-attempts"`
	Stretch     float64       `json:"stretch"` // a job is on time within this multiple of its work
	Target      time.Duration `json:"target"`  // and this much more
	Advisor     *Advisor      `json:"advice,omitempty"`
}

// Team holds the configuration of a team.
type Team struct {
	ID     ident.TeamID
	Weight float64         // jobs per second that the team is entitled to
	Limit  resource.Vector // most that may run at once; 0 means unlimited
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
	After          []int           `json:"after,omitempty"` // earlier steps that must be done first
	Label          string          `json:"label,omitempty"` // label that the server must have
	Rack           ident.Rack      `json:"rack,omitempty"`  // rack that has the data
	MaxPerServer   int             `json:"max-per-server,omitempty"`
	Image          string          `json:"image,omitempty"`
	TailTarget     time.Duration   `json:"tail-target,omitempty"` // response time that a serving task must keep
	MaxUnavailable int             `json:"may-miss,omitempty"`    // tasks that may be unavailable at once
	Checkpointing  bool            `json:"checkpointing,omitempty"`
	Gang           bool            `json:"gang,omitempty"`
	SameRack       bool            `json:"same-rack,omitempty"`
	Speculative    bool            `json:"speculative,omitempty"`
	LongRunning    bool            `json:"long-running,omitempty"`
	BestEffort     bool            `json:"fills,omitempty"` // uses only processor time that other tasks leave
}

// Charge returns what a task of the step takes from the capacity of a server.
func (s *Step) Charge() resource.Vector {
	v := s.Demand
	if s.BestEffort {
		v.CPU = 0
	}
	return v
}

// Job is a job as it was accepted. Queue is the queue's configuration at that time, used once the queue is removed.
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
	// Ended is set in the records of ended jobs, which keep neither payload nor steps.
	Ended *Progress `json:"ended,omitempty"`
}

// EndedRecord returns the record of a job that has ended.
func (j *Job) EndedRecord(p Progress) *Job {
	return &Job{ID: j.ID, Team: j.Team, Queue: Queue{ID: j.Queue.ID}, Accepted: j.Accepted, Ended: &p}
}

// HasSchedule reports whether the job runs on a schedule.
func (j *Job) HasSchedule() bool { return j.Repetitions > 0 }

// Server describes a backend server as it reports itself.
type Server struct {
	ID          ServerID
	Incarnation int64 `json:"Born"` // start of this life, milliseconds since 1970
	Address     string
	Service     ServiceID
	DataCentre  ident.DataCentre
	Rack        ident.Rack
	Labels      []string
	Capacity    resource.Vector
	Draining    bool
	Remaining   time.Duration // shortest time left while draining
}

// Outcome tells how a run ended.
type Outcome string

// Ends of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"
	OutcomeStopped        Outcome = "stopped"
	OutcomeLeaseExpired   Outcome = "lapsed"
	OutcomeGangBroken     Outcome = "broken" // another member of the gang ended
	OutcomeGangIncomplete Outcome = "alone"  // the gang never was complete
)

// ActiveRun is a row of a server's inventory.
type ActiveRun struct {
	Task        TaskID
	Run         RunNumber
	Checkpoint  Checkpoint
	Percent     int
	TailLatency time.Duration // tail of the response times, for serving tasks
}

// FinishedRun is an ended run that a server lists until it is acknowledged.
type FinishedRun struct {
	Number     uint64
	Task       TaskID
	Run        RunNumber
	Outcome    Outcome
	Checkpoint Checkpoint
}

// Inventory is a server's answer to a look.
type Inventory struct {
	Incarnation int64
	Clock       time.Duration // the server's steady clock
	Running     []ActiveRun
	Finished    []FinishedRun
}

// State is what callers see of a job.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Terminal reports whether a job in this state never changes again.
func (s State) Terminal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Refusal is a server's reason for not starting a run.
type Refusal string

// Refusals of a start.
const (
	RefusedFenced       Refusal = "fence"     // a higher fence was used
	RefusedOldRun       Refusal = "old-run"   // a run that isn't lower has ended there
	RefusedLeaseExpired Refusal = "late"      // the lease had ended on arrival
	RefusedCapacity     Refusal = "room"      // it doesn't fit
	RefusedTicket       Refusal = "ticket"    // the ticket isn't valid
	RefusedUnhealthy    Refusal = "unhealthy" // the server takes nothing at present
	RefusedInvalid      Refusal = "invalid"   // the order was malformed
)

// Command is something for the shell to do.
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
	JobAge     time.Duration // age of the job, for the log
}

// StopCommand stops a run and keeps lower ones from starting.
type StopCommand struct {
	Server Server
	Task   TaskID
	Run    RunNumber
	Reason string
}

// ThrottleCommand sets the share of its speed at which a run works.
type ThrottleCommand struct {
	Server  Server
	Task    TaskID
	Run     RunNumber
	Percent int
}

// PollCommand asks for the inventory, renews the lease and acknowledges ends.
type PollCommand struct {
	Server       Server
	Acknowledged uint64
	Deadline     time.Duration // end of the lease on the server's clock; 0 leaves it
	Wait         time.Duration // how long the server may wait for an end
	Delay        time.Duration // pause before the call
	Serial       uint64
}

// AdviceRequest is a call to the advisor of a queue: which servers may run a step. It is taken with NextAdvice.
type AdviceRequest struct {
	Job        ident.JobID
	Occurrence int
	Step       int
	Servers    []ServerID
	Cost       time.Duration
}

func (StartCommand) command()    {}
func (StopCommand) command()     {}
func (ThrottleCommand) command() {}
func (PollCommand) command()     {}
