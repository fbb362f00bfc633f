package peer

import (
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

var (
	// ErrUnreachable reports that the request was certainly not delivered.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnknownOutcome reports that the request may have been delivered but no valid reply arrived; it may have taken
	// effect.
	ErrUnknownOutcome = errors.New("outcome of the peer call is unknown")
	// ErrBackpressure reports that too many requests are in flight to the peer; nothing was sent.
	ErrBackpressure = errors.New("too many requests in flight to the peer")
	// ErrTooLarge reports a message above MaxFrameBytes; nothing was sent.
	ErrTooLarge = errors.New("peer message too large")
	// ErrInsecure reports that an address outside loopback requires TLS, which isn't configured.
	ErrInsecure = errors.New("TLS is required for addresses outside loopback")
)

// Code classifies the errors that a peer returns.
type Code int64

// Codes of RemoteError. The first four have the standard numbers of JSON-RPC.
const (
	CodeMalformed     Code = jsonrpc2.CodeInvalidRequest
	CodeUnknownMethod Code = jsonrpc2.CodeMethodNotFound
	CodeBadParameters Code = jsonrpc2.CodeInvalidParams
	CodeInternal      Code = jsonrpc2.CodeInternalError // the handler panicked
	CodeBusy          Code = -32000                     // too many requests in flight at the receiver
	CodeWrongSender   Code = -32001                     // the certificate doesn't name the sender of the message
	CodeHandlerFailed Code = -32002                     // the handler returned an error
	CodeReplyTooLarge Code = -32003                     // the handler ran, but its reply exceeds MaxFrameBytes
)

// RemoteError is an error that the peer sent as its reply.
type RemoteError struct {
	Method  string
	Code    Code
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: peer returned error code %d: %s", e.Method, e.Code, e.Message)
}

// NotDelivered reports whether err proves that no handler ran for the request.
func NotDelivered(err error) bool {
	var remote *RemoteError
	if errors.As(err, &remote) {
		switch remote.Code {
		case CodeMalformed, CodeUnknownMethod, CodeBadParameters, CodeBusy, CodeWrongSender:
			return true
		}
		return false
	}
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrBackpressure) || errors.Is(err, ErrTooLarge) ||
		errors.Is(err, ErrInsecure)
}
