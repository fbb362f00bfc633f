// Package ident defines types for identifiers, epochs and versions, and checks and generates identifiers.
package ident

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"regexp"
)

// HostID identifies a host and the single backend server on it.
type HostID string

// MemberID identifies a daemon in the member view. It stays the same when the daemon restarts.
type MemberID string

// Incarnation distinguishes the successive joins of a member. It increases whenever the member joins the view.
type Incarnation uint64

// TeamID identifies a team.
type TeamID string

// QueueID identifies a queue.
type QueueID string

// JobID identifies a job. A synchronous request is a job with one task.
type JobID string

// RequestID identifies a request. The caller chooses it, unique per team.
type RequestID string

// AttemptID identifies one attempt to run a task. It is never reused.
type AttemptID string

// Region names a region.
type Region string

// DataCentre names a data centre.
type DataCentre string

// Rack names a rack in a data centre.
type Rack string

// Epoch numbers the successive member views. Commands to backend servers are fenced by it.
type Epoch uint64

// Version numbers the accepted configurations. It increases monotonically.
type Version uint64

// MaxLength is the maximum length of an identifier in bytes.
const MaxLength = 96

var pattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]*$`)

// Check returns an error that names the field if value is not a valid identifier.
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
