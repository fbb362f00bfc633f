// Package backend defines the interface of a backend server, which runs tasks, and implements it over HTTP.
package backend

import (
	"context"
	"errors"
	"hash/crc32"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Millis is a duration in milliseconds, as messages carry it.
type Millis int64

// Duration converts to time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ToMillis converts from time.Duration, rounding down.
func ToMillis(d time.Duration) Millis { return Millis(d / time.Millisecond) }

var (
	// ErrStaleEpoch reports that the backend server accepted a higher epoch, or the same one from another owner.
	ErrStaleEpoch = errors.New("stale epoch")
	// ErrLeaving reports that the backend server is leaving and accepts no new work.
	ErrLeaving = errors.New("backend server is leaving")
	// ErrLeaseLapsed reports that the lease lapsed; the owner must attach again.
	ErrLeaseLapsed = errors.New("lease of the backend server lapsed")
	// ErrStopped reports that the attempt was stopped before its start arrived; it never ran and never will.
	ErrStopped = errors.New("attempt was stopped before its start")
	// ErrDuplicate reports that the attempt is already known; it isn't started again.
	ErrDuplicate = errors.New("attempt is already known")
	// ErrUnsupported reports that the task can't be checkpointed or throttled.
	ErrUnsupported = errors.New("operation isn't supported by the task")
	// ErrRefused reports that the backend server refused the call for another reason; it had no effect.
	ErrRefused = errors.New("backend server refused the call")
	// ErrUnreachable reports that the connection could not be made; the call had no effect.
	ErrUnreachable = errors.New("backend server unreachable")
	// ErrUnknownOutcome reports that the reply was lost; the call may have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the backend call is unknown")
)

// Fence identifies the owner that sends a command; commands below the highest accepted epoch are refused. A command with
// the number of an earlier attach is refused too: a start that waited in the socket of a paused server must not take
// effect after its owner saw the lease lapse, attached again at the same epoch and restarted the task elsewhere.
type Fence struct {
	Epoch        ident.Epoch    `json:"epoch"`
	Owner        ident.MemberID `json:"owner"`
	AttachNumber uint64         `json:"attach,omitempty"` // increases with every attach of the owner
}

// Task describes one attempt in a start command.
type Task struct {
	Attempt       ident.AttemptID `json:"attempt"`
	Job           ident.JobID     `json:"job"`
	Index         int             `json:"index"` // number of the task inside its job
	Team          ident.TeamID    `json:"team"`
	Queue         ident.QueueID   `json:"queue"`
	Request       ident.RequestID `json:"request,omitempty"`
	Origin        ident.MemberID  `json:"origin"` // daemon that holds the caller's request or the job record
	Demand        resource.Vector `json:"demand"`
	NonIdempotent bool            `json:"non-idempotent,omitempty"`
	Priority      int             `json:"priority,omitempty"`
	Payload       []byte          `json:"payload,omitempty"`
	RunTime       Millis          `json:"run-time-ms,omitempty"` // declared run time; 0 runs until stopped
}

// ExitState is how a finished attempt ended.
type ExitState string

// Exit states of an attempt.
const (
	ExitSucceeded    ExitState = "succeeded"
	ExitFailed       ExitState = "failed"
	ExitStopped      ExitState = "stopped"
	ExitCheckpointed ExitState = "checkpointed"
	ExitLeaseLapsed  ExitState = "lease-lapsed"
)

// Result is a finished attempt that the owner hasn't acknowledged yet.
type Result struct {
	Attempt  ident.AttemptID `json:"attempt"`
	Job      ident.JobID     `json:"job"`
	Index    int             `json:"index"`
	Team     ident.TeamID    `json:"team"`
	Queue    ident.QueueID   `json:"queue"`
	Request  ident.RequestID `json:"request,omitempty"`
	Origin   ident.MemberID  `json:"origin"`
	Exit     ExitState       `json:"exit"`
	Answer   []byte          `json:"answer,omitempty"`
	Length   int             `json:"length"`   // length of Answer in bytes
	Checksum uint32          `json:"checksum"` // CRC-32C of Answer
	Message  string          `json:"message,omitempty"`
	Ran      Millis          `json:"ran-ms"`
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of an answer.
func Checksum(answer []byte) uint32 { return crc32.Checksum(answer, castagnoli) }

// Intact reports whether the answer matches the declared length and checksum.
func (r Result) Intact() bool {
	return len(r.Answer) == r.Length && Checksum(r.Answer) == r.Checksum
}

// Running is an attempt that was running at the time of the inventory.
type Running struct {
	Task
	Throttled bool   `json:"throttled,omitempty"`
	Ran       Millis `json:"ran-ms"`
}

// Inventory is a backend server's reply to an attach.
type Inventory struct {
	Boot     string          `json:"boot"` // changes when the server restarts
	Capacity resource.Vector `json:"capacity"`
	Leaving  bool            `json:"leaving"`
	Running  []Running       `json:"running,omitempty"` // without payloads
	Finished []Result        `json:"finished,omitempty"`
	Cursor   uint64          `json:"cursor,omitempty"` // number of the last finished attempt listed
}

// Usage is a delayed report of an attempt's actual resource usage.
type Usage struct {
	Attempt ident.AttemptID `json:"attempt"`
	Used    resource.Vector `json:"used"`
}

// PollRequest renews the lease, acknowledges results and waits for changes.
type PollRequest struct {
	Fence
	Lease       Millis            `json:"lease-ms"`
	Wait        Millis            `json:"wait-ms"`
	After       uint64            `json:"after,omitempty"` // cursor of the last reply received
	Acknowledge []ident.AttemptID `json:"acknowledge,omitempty"`
	Caretaker   bool              `json:"caretaker,omitempty"` // the sender renews the lease for a dead owner and may send no commands
}

// PollReply carries the finished attempts after the request's cursor and what changed since the last poll. Attempts
// that aren't acknowledged are sent again only when the cursor shows that a reply was lost, or at an attach.
type PollReply struct {
	Boot     string          `json:"boot"`
	Capacity resource.Vector `json:"capacity"`
	Leaving  bool            `json:"leaving"`
	Finished []Result        `json:"finished,omitempty"`
	Usage    []Usage         `json:"usage,omitempty"`
	Cursor   uint64          `json:"cursor,omitempty"` // number of the last finished attempt listed
}

// StopState is the state in which a stop found an attempt.
type StopState string

// Replies to a stop.
const (
	StopNeverStarted StopState = "never-started"
	StopStopped      StopState = "stopped"
	StopFinished     StopState = "finished"
)

// Server is one backend server. Every method may return ErrStaleEpoch, ErrUnreachable or ErrUnknownOutcome.
type Server interface {
	// Attach takes ownership at an epoch and returns the inventory. The lease starts with the attach.
	Attach(ctx context.Context, f Fence, lease Millis) (Inventory, error)
	// Poll renews the lease and returns finished attempts, usage and state.
	Poll(ctx context.Context, r PollRequest) (PollReply, error)
	// Start runs an attempt; it may return ErrLeaving, ErrLeaseLapsed, ErrStopped or ErrDuplicate.
	Start(ctx context.Context, f Fence, t Task) error
	// Stop ends an attempt. An unknown attempt is remembered, so that a late start of it is refused.
	Stop(ctx context.Context, f Fence, attempt ident.AttemptID) (StopState, error)
	// Checkpoint saves and ends an attempt, which finishes as ExitCheckpointed; or returns ErrUnsupported.
	Checkpoint(ctx context.Context, f Fence, attempt ident.AttemptID) error
	// Throttle limits an attempt to a share of its demand in percent; or returns ErrUnsupported.
	Throttle(ctx context.Context, f Fence, attempt ident.AttemptID, percent int) error
}
