package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost reports that the store no longer has the changes after the revision that a watch names.
var ErrHistoryLost = errors.New("history is no longer available")

// MaxTransactionEntries bounds the expectations, writes and deletes of one transaction together.
const MaxTransactionEntries = 32

// Precondition is a condition of a transaction: the key has this revision, or doesn't exist where it is 0.
type Precondition struct {
	Key      string
	Revision Revision
}

// Write sets a key in a transaction, bound to a lease when it isn't 0.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction changes several keys at once if all its expectations hold.
type Transaction struct {
	Preconditions []Precondition
	Writes        []Write
	Deletes       []string
}

// ConflictError reports a transaction whose expectations didn't hold; it wraps ErrConflict.
type ConflictError struct {
	Items []Item // present state of the expected keys that exist
}

// Error implements error.
func (e *ConflictError) Error() string { return "an expected key has another revision" }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Page is a part of the keys under a prefix with the revision at which it was read.
type Page struct {
	Items    []Item
	Revision Revision
	HasMore  bool
}

// TransactionalStore is a store with transactions over several keys and a bounded history. Its methods return the same errors
// as those of Store.
type TransactionalStore interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the keys under a prefix that come after the given key. Pages are no snapshot.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Transact returns the revision of the change, a *ConflictError, or ErrNotFound where a lease doesn't exist.
	Transact(ctx context.Context, t Transaction) (Revision, error)
	// Watch waits up to wait for changes under prefix after a revision, or returns ErrHistoryLost.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// GrantLease creates a lease; its keys are deleted when it lapses.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease by its full time to live, or returns ErrNotFound.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// RangeAll reads all pages under a prefix. The revision is that of the first page, from which a watch misses nothing.
func RangeAll(ctx context.Context, s TransactionalStore, prefix string) ([]Item, Revision, error) {
	var (
		items []Item
		start Revision
		after string
	)
	for {
		p, err := s.Range(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if start == 0 {
			start = p.Revision
		}
		items = append(items, p.Items...)
		if !p.HasMore || len(p.Items) == 0 {
			return items, start, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}
