package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost reports that the store no longer has the changes after the revision given to a watch.
var ErrHistoryLost = errors.New("history is no longer available")

// MaxTransactionEntries bounds the total of preconditions, writes and deletes of one transaction.
const MaxTransactionEntries = 32

// Precondition of a transaction requires that the key has this revision, or doesn't exist if it is 0.
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

// Transaction changes several keys atomically if all its preconditions hold. Daemons that can't reach the store send it to a
// peer, so its JSON names must not change.
type Transaction struct {
	Preconditions []Precondition `json:"Expect"`
	Writes        []Write
	Deletes       []string
}

// ConflictError reports a transaction whose preconditions didn't hold; it wraps ErrConflict.
type ConflictError struct {
	Items []Item // current state of the preconditions' keys that exist
}

// Error implements error.
func (e *ConflictError) Error() string { return "a key of a precondition has another revision" }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Page is a part of the keys under a prefix with the revision at which it was read.
type Page struct {
	Items    []Item
	Revision Revision
	HasMore  bool
}

// TransactionalStore is a store with multi-key transactions and a bounded history. Its methods return the same errors
// as those of Store.
type TransactionalStore interface {
	// Get returns the item, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns the keys under a prefix that come after the given key. Several pages aren't a consistent snapshot.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Transact returns the revision of the change, a *ConflictError, or ErrNotFound where a lease doesn't exist.
	Transact(ctx context.Context, t Transaction) (Revision, error)
	// Watch waits up to wait for changes under prefix after a revision, or returns ErrHistoryLost.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// GrantLease creates a lease; its keys are deleted when it expires.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends the lease by its full time to live, or returns ErrNotFound.
	RenewLease(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// RangeAll reads all pages under a prefix. It returns the revision of the first page: a watch from there misses no change.
func RangeAll(ctx context.Context, s TransactionalStore, prefix string) ([]Item, Revision, error) {
	var r RangeReader
	if err := r.ReadAll(ctx, s, prefix); err != nil {
		return nil, 0, err
	}
	return r.Items, r.Revision, nil
}

// RangeReader reads all pages under a prefix. After a page that can't be read, another call of ReadAll goes on with that page.
type RangeReader struct {
	Items    []Item
	Revision Revision // of the first page: a watch from there misses no change
	after    string
}

// ReadAll reads the remaining pages.
func (r *RangeReader) ReadAll(ctx context.Context, s TransactionalStore, prefix string) error {
	for {
		p, err := s.Range(ctx, prefix, r.after)
		if err != nil {
			return err
		}
		if r.Revision == 0 {
			r.Revision = p.Revision
		}
		r.Items = append(r.Items, p.Items...)
		if !p.HasMore || len(p.Items) == 0 {
			return nil
		}
		r.after = p.Items[len(p.Items)-1].Key
	}
}
