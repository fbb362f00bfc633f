// Package txstore is an in-memory implementation of platform.TransactionalStore for tests, with transactions, leases, a history
// that can be compacted, and fault injection.
package txstore

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// Fault is the fault that is injected into a call.
type Fault int

// Faults that a call can have.
const (
	None        Fault = iota
	Unavailable       // the call is refused and has no effect
	LoseReply         // the call takes effect, but its reply is lost
	LoseRequest       // the request is lost, so the call has no effect and no reply
)

// pageSize is the number of items in a page of Range. It is small so that tests read more than one page.
const pageSize = 50

// entry is a key's current item and the lease that it is attached to; 0 means none.
type entry struct {
	item  platform.Item
	lease platform.LeaseID
}

// Store is the in-memory store; New creates one. It is safe for concurrent use.
type Store struct {
	mu             sync.Mutex
	revision       platform.Revision
	oldestRevision platform.Revision // history after this revision is available
	keys           map[string]entry
	history        []platform.Event
	leases         map[platform.LeaseID]lease
	nextID         platform.LeaseID
	changed        chan struct{} // closed at the next change
	fault          func(call, key string) Fault
	callCounts     map[string]int
	now            func() time.Time
	pausedAt       time.Time // when leases were paused; zero while they run
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

var _ platform.TransactionalStore = (*Store)(nil)

// New returns an empty store without faults. Leases expire by the given clock.
func New(now func() time.Time) *Store {
	return &Store{
		revision: 100, oldestRevision: 100, keys: map[string]entry{}, leases: map[platform.LeaseID]lease{},
		changed: make(chan struct{}),
		fault:   func(string, string) Fault { return None }, callCounts: map[string]int{}, now: now,
	}
}

// SetFault sets the function that chooses the fault of each call by the call's name and its key: the prefix for a range or
// a watch, the first written key for a transaction, and an empty key for calls about leases. A nil function ends all faults.
func (s *Store) SetFault(f func(call, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == nil {
		f = func(string, string) Fault { return None }
	}
	s.fault = f
}

// Compact drops the history up to the current revision. A watch from an earlier revision then fails with ErrHistoryLost.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldestRevision = nil, s.revision
}

// CallCount returns the number of calls with the name; calls that a fault refused or lost are included.
func (s *Store) CallCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[name]
}

// Put writes a key without a lease, past the faults and the call counts, as another client would.
func (s *Store) Put(key string, value []byte) platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	return s.revision
}

// Delete deletes a key, past the faults and the call counts, as another client would.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// Peek returns the item of a key and whether there is one, past the faults and the call counts.
func (s *Store) Peek(key string) (platform.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.keys[key]
	return e.item, ok
}

func (s *Store) put(key string, value []byte, id platform.LeaseID) {
	it := platform.Item{Key: key, Value: value, Revision: s.revision}
	s.keys[key] = entry{it, id}
	s.record(platform.Event{Item: it})
}

func (s *Store) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.record(platform.Event{Item: platform.Item{Key: key, Revision: s.revision}, Deleted: true})
	}
}

// record adds a change to the history and wakes the watches.
func (s *Store) record(e platform.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// PauseLeases stops the time of all leases, as some stores do during an outage, or lets it go on.
func (s *Store) PauseLeases(paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if paused == !s.pausedAt.IsZero() {
		return
	}
	if paused {
		s.expireLeases()
		s.pausedAt = s.now()
		return
	}
	for id, l := range s.leases {
		l.expires = l.expires.Add(s.now().Sub(s.pausedAt))
		s.leases[id] = l
	}
	s.pausedAt = time.Time{}
}

// expireLeases ends the leases that have expired. The caller holds the lock.
func (s *Store) expireLeases() {
	if !s.pausedAt.IsZero() {
		return
	}
	for id, l := range s.leases {
		if !s.now().Before(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and deletes its keys. The caller holds the lock.
func (s *Store) endLease(id platform.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.keys {
		if e.lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

var errConnectionLost = errors.New("connection lost")

// applyFault counts a call and runs its effect as the fault of the call demands. A lost request or reply leaves the outcome
// of a write unknown; a read is reported as unavailable.
func (s *Store) applyFault(name, key string, write bool, effect func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCounts[name]++
	s.expireLeases()
	lostErr := platform.ErrUnavailable
	if write {
		lostErr = platform.ErrUnknownOutcome
	}
	switch s.fault(name, key) {
	case Unavailable:
		return fmt.Errorf("%w: refused", platform.ErrUnavailable)
	case LoseRequest:
		return fmt.Errorf("%w: %w", lostErr, errConnectionLost)
	case LoseReply:
		_ = effect() // the caller gets no reply
		return fmt.Errorf("%w: %w", lostErr, errConnectionLost)
	case None:
	}
	return effect()
}

// Get returns the item of a key, or ErrNotFound.
func (s *Store) Get(_ context.Context, key string) (it platform.Item, err error) {
	err = s.applyFault("get", key, false, func() error {
		e, ok := s.keys[key]
		if !ok {
			return platform.ErrNotFound
		}
		it = e.item
		return nil
	})
	return it, err
}

// Range returns the first page of items under the prefix whose keys are after the given key, in key order.
func (s *Store) Range(_ context.Context, prefix, after string) (p platform.Page, err error) {
	err = s.applyFault("range", prefix, false, func() error {
		var keys []string
		for key := range s.keys {
			if strings.HasPrefix(key, prefix) && key > after {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		if p.HasMore = len(keys) > pageSize; p.HasMore {
			keys = keys[:pageSize]
		}
		for _, key := range keys {
			p.Items = append(p.Items, s.keys[key].item)
		}
		p.Revision = s.revision
		return nil
	})
	return p, err
}

// Transact writes and deletes keys at one revision if every expected revision matches; otherwise it returns a ConflictError
// with the expected keys that exist.
func (s *Store) Transact(_ context.Context, t platform.Transaction) (at platform.Revision, err error) {
	firstKey := ""
	if len(t.Writes) > 0 {
		firstKey = t.Writes[0].Key
	}
	if n := len(t.Preconditions) + len(t.Writes) + len(t.Deletes); n > platform.MaxTransactionEntries {
		return 0, fmt.Errorf("transaction has %d entries, more than %d", n, platform.MaxTransactionEntries)
	}
	for _, w := range t.Writes {
		if len(w.Value) > platform.MaxValueBytes {
			return 0, fmt.Errorf("value of %s has %d bytes: %w", w.Key, len(w.Value), platform.ErrTooLarge)
		}
	}
	err = s.applyFault("transact", firstKey, true, func() error {
		conflict := false
		var present []platform.Item
		for _, x := range t.Preconditions {
			e, ok := s.keys[x.Key]
			if ok {
				present = append(present, e.item)
			}
			conflict = conflict || e.item.Revision != x.Revision
		}
		if conflict {
			return &platform.ConflictError{Items: present}
		}
		for _, w := range t.Writes {
			if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
				return platform.ErrNotFound
			}
		}
		s.revision++
		for _, w := range t.Writes {
			s.put(w.Key, w.Value, w.Lease)
		}
		for _, d := range t.Deletes {
			s.remove(d)
		}
		at = s.revision
		return nil
	})
	return at, err
}

// Watch returns the changes under the prefix after a revision. If there are none, it waits for the first one, at most for
// the given time.
func (s *Store) Watch(
	ctx context.Context, prefix string, after platform.Revision, wait time.Duration,
) ([]platform.Event, platform.Revision, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		var (
			events  []platform.Event
			at      platform.Revision
			changed chan struct{}
		)
		err := s.applyFault("watch", prefix, false, func() error {
			if after < s.oldestRevision {
				return platform.ErrHistoryLost
			}
			for _, e := range s.history {
				if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
					events = append(events, e)
				}
			}
			at, changed = s.revision, s.changed
			return nil
		})
		if err != nil || len(events) > 0 {
			return events, at, err
		}
		select {
		case <-ctx.Done():
			return nil, at, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		case <-timeout.C:
			return nil, at, nil
		case <-changed:
		}
	}
}

// GrantLease creates a lease with the given time to live.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (id platform.LeaseID, err error) {
	err = s.applyFault("grant", "", true, func() error {
		s.nextID++
		id = s.nextID
		s.leases[id] = lease{ttl, s.now().Add(ttl)}
		return nil
	})
	return id, err
}

// RenewLease extends a lease by its full time to live.
func (s *Store) RenewLease(_ context.Context, id platform.LeaseID) error {
	return s.applyFault("renew", "", false, func() error {
		l, ok := s.leases[id]
		if !ok {
			return platform.ErrNotFound
		}
		l.expires = s.now().Add(l.ttl)
		s.leases[id] = l
		return nil
	})
}

// RevokeLease ends a lease and deletes its keys.
func (s *Store) RevokeLease(_ context.Context, id platform.LeaseID) error {
	return s.applyFault("revoke", "", true, func() error {
		if _, ok := s.leases[id]; !ok {
			return platform.ErrNotFound
		}
		s.endLease(id)
		return nil
	})
}
