package peer

import (
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

var (
	// ErrUnreachable reports that the request was certainly not delivered.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnknownOutcome reports that the request was sent and no reply came; it may have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the peer call is unknown")
	// ErrBackpressure reports that too many requests are in flight to the peer; nothing was sent.
	ErrBackpressure = errors.New("too many requests in flight")
	// ErrTooLarge reports a message above MaxFrameBytes; nothing was sent.
	ErrTooLarge = errors.New("message too large")
	// ErrInsecure reports a connection without TLS outside loopback.
	ErrInsecure = errors.New("TLS is required outside loopback")
)

// Code classifies the errors that a peer returns.
type Code int64

// Codes of RemoteError. Those of JSON-RPC keep their standard numbers.
const (
	CodeMalformed     Code = jsonrpc2.CodeInvalidRequest
	CodeUnknownMethod Code = jsonrpc2.CodeMethodNotFound
	CodeBadParameters Code = jsonrpc2.CodeInvalidParams
	CodeInternal      Code = jsonrpc2.CodeInternalError // the handler panicked
	CodeBusy          Code = -32000                     // too many requests in flight at the receiver
	CodeWrongSender   Code = -32001                     // the sender isn't the member that the certificate names
	CodeHandlerFailed Code = -32002                     // the handler returned an error
	CodeReplyTooLarge Code = -32003                     // the handler ran, its reply exceeds MaxFrameBytes
)

// RemoteError is an error returned by the peer.
type RemoteError struct {
	Method  string
	Code    Code
	Message string
}

// Error describes the method, code and message.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s refused by peer with code %d: %s", e.Method, e.Code, e.Message)
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
