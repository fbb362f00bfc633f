package backend

import (
	"errors"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Paths of the calls; every call is a POST with a JSON body.
const (
	PathAttach     = "/v1/attach"
	PathPoll       = "/v1/poll"
	PathStart      = "/v1/start"
	PathStop       = "/v1/stop"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
)

// MaxBodyBytes bounds the body of a request and of a reply.
const MaxBodyBytes = 16 << 20

// AttachRequest is the body of an attach.
type AttachRequest struct {
	Fence
	Lease Millis `json:"lease-ms"`
}

// StartRequest is the body of a start.
type StartRequest struct {
	Fence
	Task Task `json:"task"`
}

// AttemptRequest is the body of a stop, a checkpoint or a throttle.
type AttemptRequest struct {
	Fence
	Attempt ident.AttemptID `json:"attempt"`
	Percent int             `json:"percent,omitempty"`
}

// StopReply is the reply to a stop.
type StopReply struct {
	State StopState `json:"state"`
}

// Refusal is the body of a reply with status 409: a stable code, and the fence in force for a stale epoch.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
	Current *Fence `json:"current,omitempty"`
}

// StaleEpochError is an ErrStaleEpoch with the fence in force at the backend server.
type StaleEpochError struct {
	Current Fence
}

// Error implements error.
func (s StaleEpochError) Error() string {
	return fmt.Sprintf("%v: epoch %d of %s is in force", ErrStaleEpoch, s.Current.Epoch, s.Current.Owner)
}

// Is makes errors.Is(err, ErrStaleEpoch) true.
func (s StaleEpochError) Is(target error) bool { return target == ErrStaleEpoch }

// refusalCodes are the stable codes of the refusals; they are part of the protocol.
var refusalCodes = map[string]error{
	"stale-epoch":  ErrStaleEpoch,
	"leaving":      ErrLeaving,
	"lease-lapsed": ErrLeaseLapsed,
	"stopped":      ErrStopped,
	"duplicate":    ErrDuplicate,
	"unsupported":  ErrUnsupported,
	"refused":      ErrRefused,
}

// RefusalOf converts an error of a Server to its message; false when the error isn't a refusal.
func RefusalOf(err error) (Refusal, bool) {
	for code, value := range refusalCodes {
		if !errors.Is(err, value) {
			continue
		}
		r := Refusal{Code: code}
		var stale StaleEpochError
		if errors.As(err, &stale) {
			r.Current = &stale.Current
		}
		return r, true
	}
	return Refusal{}, false
}

// Err converts the message back to the error; an unknown code becomes ErrRefused.
func (r Refusal) Err() error {
	value, ok := refusalCodes[r.Code]
	switch {
	case ok && value == ErrStaleEpoch && r.Current != nil:
		return StaleEpochError{Current: *r.Current}
	case ok && r.Message == "":
		return value
	case ok:
		return fmt.Errorf("%w: %s", value, r.Message)
	}
	return fmt.Errorf("%w: code %q", ErrRefused, r.Code)
}
