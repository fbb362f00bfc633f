// Package ident holds the named types for identifiers, epochs and versions.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"regexp"
)

// HostID identifies a host and the one backend server on it.
type HostID string

// MemberID identifies a daemon in the member view; it survives restarts of the daemon.
type MemberID string

// Incarnation counts the times a member joined the view; it grows on every join.
type Incarnation uint64

// TeamID identifies a team.
type TeamID string

// QueueID identifies a queue.
type QueueID string

// JobID identifies a job; a synchronous request is a job with one task.
type JobID string

// RequestID is the caller's identifier of a request, unique per team.
type RequestID string

// AttemptID identifies one attempt to run one task; it is never reused.
type AttemptID string

// Region names a region.
type Region string

// DataCentre names a data centre.
type DataCentre string

// Rack names a rack inside a data centre.
type Rack string

// Epoch numbers the states of the member view; it fences commands to backend servers.
type Epoch uint64

// Version numbers the accepted configurations; it only grows.
type Version uint64

// MaxLength bounds the length of every identifier in bytes.
const MaxLength = 96

var pattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]*$`)

// Check returns an error that names the field when the value isn't a valid identifier.
func Check(field, value string) error {
	switch {
	case value == "":
		return fmt.Errorf("%s: must not be empty", field)
	case len(value) > MaxLength:
		return fmt.Errorf("%s: %d bytes, at most %d allowed", field, len(value), MaxLength)
	case !pattern.MatchString(value):
		return fmt.Errorf("%s: %q must start with a letter or digit and contain only letters, digits and . _ : -", field, value)
	}
	return nil
}

// Random returns a random identifier with the given prefix and 96 bits of entropy.
func Random(prefix string) string {
	var raw [12]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never fails since Go 1.24.
	return prefix + "-" + hex.EncodeToString(raw[:])
}
