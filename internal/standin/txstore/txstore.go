// Package txstore is a stand-in of a store with transactions, leases and a bounded history, kept in memory, with faults.
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

// Fault is what happens to a call.
type Fault int

// Faults.
const (
	None        Fault = iota
	Unavailable       // refused, without effect
	LoseReply         // carried out, without an answer
	LoseRequest       // not carried out, without an answer
)

// pageSize is small, so that tests cross pages.
const pageSize = 50

type entry struct {
	item  platform.Item
	lease platform.LeaseID
}

// Store is the stand-in. Its zero value is not usable.
type Store struct {
	mu      sync.Mutex
	at      platform.Revision
	oldest  platform.Revision // history from it on is available
	keys    map[string]entry
	history []platform.Event
	leases  map[platform.LeaseID]lease
	nextID  platform.LeaseID
	changed chan struct{}
	fault   func(call, key string) Fault
	calls   map[string]int
	now     func() time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

var _ platform.TransactionalStore = (*Store)(nil)

// New returns an empty store. Leases end by the given clock.
func New(now func() time.Time) *Store {
	return &Store{
		at: 100, oldest: 100, keys: map[string]entry{}, leases: map[platform.LeaseID]lease{}, changed: make(chan struct{}),
		fault: func(string, string) Fault { return None }, calls: map[string]int{}, now: now,
	}
}

// SetFault decides the fate of each call by its name and first key.
func (s *Store) SetFault(f func(call, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f == nil {
		f = func(string, string) Fault { return None }
	}
	s.fault = f
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.at
}

// Calls returns how often a call was made.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Put writes a key as another writer.
func (s *Store) Put(key string, value []byte) platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.put(key, value, 0)
	return s.at
}

// Drop deletes a key as another writer.
func (s *Store) Drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.remove(key)
}

func (s *Store) put(key string, value []byte, id platform.LeaseID) {
	it := platform.Item{Key: key, Value: value, Revision: s.at}
	s.keys[key] = entry{it, id}
	s.record(platform.Event{Item: it})
}

func (s *Store) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.record(platform.Event{Item: platform.Item{Key: key, Revision: s.at}, Deleted: true})
	}
}

func (s *Store) record(e platform.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse ends the leases whose time is over.
func (s *Store) lapse() {
	for id, l := range s.leases {
		if !s.now().Before(l.end) {
			s.end(id)
		}
	}
}

func (s *Store) end(id platform.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.keys {
		if e.lease == id {
			s.at++
			s.remove(key)
		}
	}
}

var errLost = errors.New("connection lost")

// call applies the fault of a call around its effect.
func (s *Store) call(name, key string, write bool, effect func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[name]++
	s.lapse()
	lost := platform.ErrUnavailable
	if write {
		lost = platform.ErrUnknownOutcome
	}
	switch s.fault(name, key) {
	case Unavailable:
		return fmt.Errorf("%w: refused", platform.ErrUnavailable)
	case LoseRequest:
		return fmt.Errorf("%w: %w", lost, errLost)
	case LoseReply:
		_ = effect() // the caller never learns of it
		return fmt.Errorf("%w: %w", lost, errLost)
	case None:
	}
	return effect()
}

// Get returns an item.
func (s *Store) Get(_ context.Context, key string) (it platform.Item, err error) {
	err = s.call("get", key, false, func() error {
		e, ok := s.keys[key]
		if !ok {
			return platform.ErrNotFound
		}
		it = e.item
		return nil
	})
	return it, err
}

// Range returns a page.
func (s *Store) Range(_ context.Context, prefix, after string) (p platform.Page, err error) {
	err = s.call("range", prefix, false, func() error {
		var names []string
		for key := range s.keys {
			if strings.HasPrefix(key, prefix) && key > after {
				names = append(names, key)
			}
		}
		sort.Strings(names)
		if p.HasMore = len(names) > pageSize; p.HasMore {
			names = names[:pageSize]
		}
		for _, n := range names {
			p.Items = append(p.Items, s.keys[n].item)
		}
		p.Revision = s.at
		return nil
	})
	return p, err
}

// Transact changes keys if all expectations hold.
func (s *Store) Transact(_ context.Context, t platform.Transaction) (at platform.Revision, err error) {
	first := ""
	if len(t.Writes) > 0 {
		first = t.Writes[0].Key
	}
	if n := len(t.Preconditions) + len(t.Writes) + len(t.Deletes); n > platform.MaxTransactionEntries {
		return 0, fmt.Errorf("%d entries", n)
	}
	err = s.call("transact", first, true, func() error {
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
		s.at++
		for _, w := range t.Writes {
			s.put(w.Key, w.Value, w.Lease)
		}
		for _, d := range t.Deletes {
			s.remove(d)
		}
		at = s.at
		return nil
	})
	return at, err
}

// Watch waits for changes.
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
		err := s.call("watch", prefix, false, func() error {
			if after < s.oldest {
				return platform.ErrHistoryLost
			}
			for _, e := range s.history {
				if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
					events = append(events, e)
				}
			}
			at, changed = s.at, s.changed
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

// GrantLease creates a lease.
func (s *Store) GrantLease(_ context.Context, ttl time.Duration) (id platform.LeaseID, err error) {
	err = s.call("grant", "", true, func() error {
		s.nextID++
		id = s.nextID
		s.leases[id] = lease{ttl, s.now().Add(ttl)}
		return nil
	})
	return id, err
}

// RenewLease extends a lease.
func (s *Store) RenewLease(_ context.Context, id platform.LeaseID) error {
	return s.call("renew", "", false, func() error {
		l, ok := s.leases[id]
		if !ok {
			return platform.ErrNotFound
		}
		l.end = s.now().Add(l.ttl)
		s.leases[id] = l
		return nil
	})
}

// RevokeLease ends a lease.
func (s *Store) RevokeLease(_ context.Context, id platform.LeaseID) error {
	return s.call("revoke", "", true, func() error {
		if _, ok := s.leases[id]; !ok {
			return platform.ErrNotFound
		}
		s.end(id)
		return nil
	})
}
