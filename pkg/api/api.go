// Package api defines the types of the caller API, which is JSON over HTTP under /v1.
package api

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Limits of the requests and jobs that a caller may send.
const (
	MaxPayloadBytes = 256 << 10
	MaxBodyBytes    = 512 << 10
	MaxTasks        = 4096
	MaxPriority     = 100
	MaxDeadline     = 10 * time.Minute
	MaxRunTime      = 30 * 24 * time.Hour
)

// KeyHeader is the HTTP header that carries the team's API key.
const KeyHeader = "Authorization"

// Outcome is the result of a request or job from the caller's view. It is always one of the four constants.
type Outcome string

// Outcomes of a request or job.
const (
	// Answered means that the work ran and its complete answer is attached.
	Answered Outcome = "answered"
	// NotRun means that the work never reached a backend server and never will.
	NotRun Outcome = "not-run"
	// Failed means that the work ran and failed.
	Failed Outcome = "failed"
	// Unknown means that the work may have run, and that its answer is not known.
	Unknown Outcome = "unknown"
)

// Millis is a duration in milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Spec describes the work of a request or job.
type Spec struct {
	Team          ident.TeamID    `json:"team"`
	Queue         ident.QueueID   `json:"queue"`
	Request       ident.RequestID `json:"request-id,omitempty"` // idempotency key, unique per team
	Tasks         int             `json:"tasks,omitempty"`      // number of tasks; 0 means 1
	Demand        resource.Vector `json:"demand"`               // per task; slots and connections of 0 mean 1
	Priority      int             `json:"priority,omitempty"`   // 0 to MaxPriority, inside the team
	NonIdempotent bool            `json:"non-idempotent,omitempty"`
	RunTime       Millis          `json:"run-time-ms,omitempty"` // declared run time per task; services run until cancelled
	Deadline      Millis          `json:"deadline-ms,omitempty"` // how long the caller waits; 0 means the queue's default
	Payload       []byte          `json:"payload,omitempty"`
}

// Answer is the result of a synchronous request.
type Answer struct {
	Outcome  Outcome         `json:"outcome"`
	Request  ident.RequestID `json:"request-id"`
	Attempt  ident.AttemptID `json:"attempt-id,omitempty"`
	Team     ident.TeamID    `json:"team"`
	Host     ident.HostID    `json:"host,omitempty"`
	Payload  []byte          `json:"payload,omitempty"`
	Length   int             `json:"length"`
	Checksum uint32          `json:"checksum"` // CRC-32C of the payload
	Reason   string          `json:"reason,omitempty"`
	Waited   Millis          `json:"waited-ms"` // from arrival to start
}

// Phase is the state of a job or task in its life cycle.
type Phase string

// Phases of a job or task.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Succeeded Phase = "succeeded"
	Broken    Phase = "failed" // ended without success
	Cancelled Phase = "cancelled"
)

// Done reports whether p is a terminal phase.
func (p Phase) Done() bool { return p == Succeeded || p == Broken || p == Cancelled }

// TaskStatus describes one task of a job and its latest attempt.
type TaskStatus struct {
	Index    int             `json:"index"`
	Phase    Phase           `json:"phase"`
	Outcome  Outcome         `json:"outcome,omitempty"`
	Attempt  ident.AttemptID `json:"attempt-id,omitempty"`
	Attempts int             `json:"attempts"`
	Host     ident.HostID    `json:"host,omitempty"`
	Payload  []byte          `json:"payload,omitempty"`
	Reason   string          `json:"reason,omitempty"`
}

// Job describes a durable job and its present state.
type Job struct {
	ID        ident.JobID    `json:"id"`
	Spec      Spec           `json:"spec"`
	Kind      Kind           `json:"kind"`
	Phase     Phase          `json:"phase"`
	Outcome   Outcome        `json:"outcome,omitempty"`
	Submitted time.Time      `json:"submitted"`
	Finished  time.Time      `json:"finished,omitzero"`
	Owner     ident.MemberID `json:"owner"`
	Tasks     []TaskStatus   `json:"tasks,omitempty"`
}

// Kind is the kind of work that a queue accepts.
type Kind string

// Kinds of work.
const (
	KindRequest   Kind = "request"
	KindService   Kind = "service"
	KindBatch     Kind = "batch"
	KindAllAtOnce Kind = "all-at-once"
)

// Valid reports whether k is one of the defined kinds.
func (k Kind) Valid() bool {
	return k == KindRequest || k == KindService || k == KindBatch || k == KindAllAtOnce
}

// Decision records one scheduling decision about a job.
type Decision struct {
	At      time.Time       `json:"at"`
	Task    int             `json:"task"`
	Attempt ident.AttemptID `json:"attempt-id,omitempty"`
	Host    ident.HostID    `json:"host,omitempty"`
	Member  ident.MemberID  `json:"member,omitempty"`
	What    string          `json:"what"` // placed, waits, forwarded, preempted, retried, finished, refused
	Reason  string          `json:"reason"`
}

// Explanation lists the recorded scheduling decisions about a job.
type Explanation struct {
	Job       ident.JobID `json:"job"`
	Phase     Phase       `json:"phase"`
	Decisions []Decision  `json:"decisions"`
}

// Code is a stable, machine-readable error code.
type Code string

// Error codes of the API.
const (
	CodeInvalid      Code = "invalid-request"
	CodeTooLarge     Code = "body-too-large"
	CodeUnauthorized Code = "key-refused"
	CodeNotFound     Code = "not-found"
	CodeConflict     Code = "conflict"
	CodeOverloaded   Code = "overloaded"
	CodeImpossible   Code = "impossible-demand"
	CodeUnavailable  Code = "unavailable"
	CodeStale        Code = "configuration-not-fresh"
	CodeDeadline     Code = "deadline-passed"
	CodeInternal     Code = "internal"
)

// Problem is the body of every error response: RFC 9457 problem details with extension members.
type Problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Code       Code    `json:"code"`
	Detail     string  `json:"detail"`
	Field      string  `json:"field,omitempty"`
	Outcome    Outcome `json:"outcome"`
	RetryAfter Millis  `json:"retry-after-ms,omitempty"`
}

// Error returns the code, the field if any, and the detail.
func (p *Problem) Error() string {
	if p.Field != "" {
		return fmt.Sprintf("%s: %s: %s", p.Code, p.Field, p.Detail)
	}
	return fmt.Sprintf("%s: %s", p.Code, p.Detail)
}

var httpStatus = map[Code]int{
	CodeInvalid: http.StatusBadRequest, CodeTooLarge: http.StatusRequestEntityTooLarge,
	CodeUnauthorized: http.StatusUnauthorized, CodeNotFound: http.StatusNotFound,
	CodeConflict: http.StatusConflict, CodeOverloaded: http.StatusTooManyRequests,
	CodeImpossible: http.StatusUnprocessableEntity, CodeUnavailable: http.StatusServiceUnavailable,
	CodeStale: http.StatusServiceUnavailable, CodeDeadline: http.StatusGatewayTimeout,
	CodeInternal: http.StatusInternalServerError,
}

// NewProblem returns a problem with outcome NotRun and the HTTP status of the code.
func NewProblem(code Code, field, format string, args ...any) *Problem {
	status := httpStatus[code]
	return &Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Code: code,
		Detail: fmt.Sprintf(format, args...), Field: field, Outcome: NotRun,
	}
}
