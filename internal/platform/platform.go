// Package platform defines the interfaces of the platform's key-value store and host list and implements them over HTTP.
package platform

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Revision numbers the writes of the store; 0 means that a key doesn't exist.
type Revision uint64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Item is a key with its value and the revision of its last write.
type Item struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Event is a change of a key seen by a watch.
type Event struct {
	Item
	Deleted bool `json:"deleted"`
}

var (
	// ErrConflict reports that the key's revision differs from the expected one.
	ErrConflict = errors.New("revision conflict")
	// ErrNotFound reports that the key or lease doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable reports that the store did not accept the call; it had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome reports that the reply was lost; a write may have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the store call is unknown")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// Store is the key-value service. Every method may return ErrUnavailable or ErrUnknownOutcome.
type Store interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items under a prefix in key order.
	List(ctx context.Context, prefix string) ([]Item, error)
	// CompareAndSwap writes value if the key's revision is expect (0 creates), bound to lease when it isn't 0. The key
	// leaves its former lease. ErrNotFound reports that the lease doesn't exist.
	CompareAndSwap(ctx context.Context, key string, expect Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Watch waits up to wait for changes under prefix after a revision and returns the revision to continue from.
	// Several changes of one key may be merged into the newest. No revision is too old to continue from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// GrantLease creates a lease; its keys are deleted when it expires.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease by its full time to live, or returns ErrNotFound.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID         ident.HostID     `json:"id"`
	Address    string           `json:"address"` // host:port of the backend server
	Region     ident.Region     `json:"region"`
	DataCentre ident.DataCentre `json:"data-centre"`
	Rack       ident.Rack       `json:"rack"`
	State      HostState        `json:"state"`
}

// HostList is the platform's list of hosts; it lags behind their actual state.
type HostList interface {
	// Hosts returns every host that the platform knows.
	Hosts(ctx context.Context) ([]Host, error)
}
