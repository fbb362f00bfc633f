package platform

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

var (
	_ Store    = (*HTTPStore)(nil)
	_ HostList = (*HTTPHostList)(nil)
)

// HTTPStore is the HTTP adapter to the store. It never retries a write.
type HTTPStore struct{ transport *transport }

// NewHTTPStore returns an adapter, or an error that names the invalid setting. It opens no connection.
func NewHTTPStore(c HTTPConfig) (*HTTPStore, error) {
	t, err := newTransport(c, CallGet, CallList, CallSwap, CallDelete, CallWatch, CallGrant, CallRenew, CallRevoke)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return &HTTPStore{transport: t}, nil
}

// CallCounts returns the number of calls by kind since the start.
func (s *HTTPStore) CallCounts() CallCounts { return s.transport.counters.snapshot() }

// Get returns the item, or ErrNotFound.
func (s *HTTPStore) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := s.transport.get(ctx, CallGet, PathItem, url.Values{"key": {key}}, 0, &item)
	return item, err
}

// List returns the items under a prefix in key order, or ErrTooLarge when the reply exceeds its bound.
func (s *HTTPStore) List(ctx context.Context, prefix string) ([]Item, error) {
	var reply ItemsReply
	err := s.transport.get(ctx, CallList, PathItems, url.Values{"prefix": {prefix}}, 0, &reply)
	return reply.Items, err
}

// CompareAndSwap writes the value if the key's revision is expect; a value above MaxValueBytes isn't sent.
func (s *HTTPStore) CompareAndSwap(
	ctx context.Context, key string, expect Revision, value []byte, lease LeaseID,
) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%s: %d bytes: %w", CallSwap, len(value), ErrTooLarge)
	}
	var reply SwapReply
	err := s.transport.post(ctx, CallSwap, PathSwap, SwapRequest{Key: key, Expect: expect, Value: value, Lease: lease}, &reply)
	return reply.Revision, err
}

// Delete removes the key if its revision is expect.
func (s *HTTPStore) Delete(ctx context.Context, key string, expect Revision) error {
	return s.transport.post(ctx, CallDelete, PathDelete, DeleteRequest{Key: key, Expect: expect}, &struct{}{})
}

// Watch waits up to wait for changes under prefix after a revision and returns the revision to continue from.
func (s *HTTPStore) Watch(
	ctx context.Context, prefix string, after Revision, wait time.Duration,
) ([]Event, Revision, error) {
	var reply WatchReply
	query := url.Values{
		"prefix":      {prefix},
		"after":       {strconv.FormatUint(uint64(after), 10)},
		"wait-millis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := s.transport.get(ctx, CallWatch, PathWatch, query, max(wait, 0), &reply)
	return reply.Events, reply.Revision, err
}

// GrantLease creates a lease with a time to live in whole milliseconds.
func (s *HTTPStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var reply LeaseMessage
	err := s.transport.post(ctx, CallGrant, PathGrant, LeaseMessage{TTLMillis: ttl.Milliseconds()}, &reply)
	return reply.ID, err
}

// RenewLease extends the lease by its full time to live, or returns ErrNotFound.
func (s *HTTPStore) RenewLease(ctx context.Context, id LeaseID) error {
	return s.transport.post(ctx, CallRenew, PathRenew, LeaseMessage{ID: id}, &struct{}{})
}

// RevokeLease ends the lease and deletes its keys.
func (s *HTTPStore) RevokeLease(ctx context.Context, id LeaseID) error {
	return s.transport.post(ctx, CallRevoke, PathRevoke, LeaseMessage{ID: id}, &struct{}{})
}

// HTTPHostList is the HTTP adapter to the platform's host list.
type HTTPHostList struct {
	transport *transport

	mu    sync.Mutex
	known HostsReply // the list as of the last reply
}

// NewHTTPHostList returns an adapter, or an error that names the invalid setting. It opens no connection.
func NewHTTPHostList(c HTTPConfig) (*HTTPHostList, error) {
	t, err := newTransport(c, CallHosts)
	if err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return &HTTPHostList{transport: t}, nil
}

// CallCounts returns the number of calls by kind since the start.
func (l *HTTPHostList) CallCounts() CallCounts { return l.transport.counters.snapshot() }

// Hosts returns every host that the platform knows. If the platform supports it, only the hosts that changed since the last
// reply are transferred, because the whole list takes 852 KB at 6,300 hosts and is read every second.
func (l *HTTPHostList) Hosts(ctx context.Context) ([]Host, error) {
	l.mu.Lock()
	known := l.known
	l.mu.Unlock()
	var query url.Values
	if known.Version != "" {
		query = url.Values{"known": {known.Version}}
	}
	var reply HostsReply
	if err := l.transport.get(ctx, CallHosts, PathHosts, query, 0, &reply); err != nil {
		return nil, err
	}
	var applyErr error
	if reply.Since != "" {
		reply, applyErr = known.apply(reply)
	}
	l.mu.Lock()
	l.known = reply
	l.mu.Unlock()
	return slices.Clone(reply.Hosts), applyErr
}

// apply returns the list after the changes. If the changes don't match the list, it returns an error and an empty list, so
// that the next read requests the whole list.
func (r HostsReply) apply(changes HostsReply) (HostsReply, error) {
	hosts := slices.Clone(r.Hosts)
	at := make(map[ident.HostID]int, len(hosts))
	for i, h := range hosts {
		at[h.ID] = i
	}
	for _, h := range changes.Hosts {
		if i, ok := at[h.ID]; ok {
			hosts[i] = h
			continue
		}
		at[h.ID] = len(hosts)
		hosts = append(hosts, h)
	}
	if len(changes.Removed) > 0 {
		hosts = slices.DeleteFunc(hosts, func(h Host) bool { return slices.Contains(changes.Removed, h.ID) })
	}
	if r.Version == "" || changes.Since != r.Version || len(hosts) != changes.Count {
		return HostsReply{}, fmt.Errorf("host list: %w: changes since %q give %d hosts, want %d since %q",
			ErrUnavailable, changes.Since, len(hosts), changes.Count, r.Version)
	}
	return HostsReply{Hosts: hosts, Version: changes.Version}, nil
}
