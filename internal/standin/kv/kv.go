// Package kv implements the platform's key-value store and host list in memory, with fault injection, for tests and the
// demo.
package kv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	defaultTick = 50 * time.Millisecond
	// maxWatchWait bounds the wait of a watch, so that a client that asks for too long a wait doesn't hold its connection
	// forever.
	maxWatchWait = 2 * time.Minute
	// minChangeLogLength keeps a short change log from being compacted at every write.
	minChangeLogLength = 1024
	// maxPastHostLists bounds the earlier host lists that are kept to compute the changes since them.
	maxPastHostLists = 16
)

// Config configures a server.
type Config struct {
	Now           func() time.Time // clock of the leases and of the host list; nil means time.Now
	HostListDelay time.Duration    // time until a change of the host list becomes visible
	Seed          uint64           // seed of the probabilistic faults
	Tick          time.Duration    // interval of Run; 0 means 50 ms
}

// entry is the last write of a key. A deleted key keeps its entry, so that watches see the deletion.
type entry struct {
	value    []byte
	revision platform.Revision
	lease    platform.LeaseID
	deleted  bool
}

// lease is a granted lease and the keys that are attached to it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// loggedChange records that a key was written or deleted at a revision.
type loggedChange struct {
	revision platform.Revision
	key      string
}

// hostList is a version of the host list and the time from which it is visible.
type hostList struct {
	visibleFrom time.Time
	version     string
	hosts       []platform.Host
}

// Server is an in-memory store and host list. It is safe for concurrent use.
type Server struct {
	config Config
	faults faults

	mu        sync.Mutex
	revision  platform.Revision
	entries   map[string]*entry
	changeLog []loggedChange // in revision order; superseded changes are compacted
	leases    map[platform.LeaseID]*lease
	lastLease platform.LeaseID
	changed   chan struct{} // closed at the next write
	hosts     []hostList    // the visible list and later ones, in the order in which they were set
	pastHosts []hostList    // the last maxPastHostLists lists before hosts
	counts    platform.CallCounts
}

// New returns an empty store without faults.
func New(c Config) *Server {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Tick <= 0 {
		c.Tick = defaultTick
	}
	s := &Server{
		config: c, entries: map[string]*entry{}, leases: map[platform.LeaseID]*lease{},
		changed: make(chan struct{}), counts: platform.CallCounts{},
	}
	s.faults.init(c.Seed)
	return s
}

// Run ends expired leases at every tick until ctx ends. Without it, pending watches see the end of a lease only at the next
// call.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.Tick()
		}
	}
}

// Tick ends the leases that have expired. Every call to the store does so too before it takes effect.
func (s *Server) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// Counts returns the number of received calls by kind, including refused ones.
func (s *Server) Counts() platform.CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(platform.CallCounts, len(s.counts))
	for k, n := range s.counts {
		counts[k] = n
	}
	return counts
}

// SetHosts replaces the host list. The new list becomes visible after the configured delay.
func (s *Server) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostList{
		visibleFrom: s.config.Now().Add(s.config.HostListDelay), version: ident.Random("hosts"), hosts: slices.Clone(hosts),
	})
}

// visibleHosts returns the visible list, or only its changes if the version that the client knows is still kept. The caller
// holds the lock.
func (s *Server) visibleHosts(known string) platform.HostsReply {
	now := s.config.Now()
	for len(s.hosts) > 1 && !s.hosts[1].visibleFrom.After(now) {
		s.pastHosts = append(s.pastHosts, s.hosts[0])
		s.pastHosts = s.pastHosts[max(0, len(s.pastHosts)-maxPastHostLists):]
		s.hosts = s.hosts[1:]
	}
	if len(s.hosts) == 0 || s.hosts[0].visibleFrom.After(now) {
		return platform.HostsReply{}
	}
	current := s.hosts[0]
	if known == current.version {
		return platform.HostsReply{Version: known, Since: known, Count: len(current.hosts)}
	}
	for _, old := range s.pastHosts {
		if old.version == known {
			return hostChanges(old, current)
		}
	}
	return platform.HostsReply{Hosts: slices.Clone(current.hosts), Version: current.version}
}

// hostChanges returns the hosts that are new or changed in the current list, and the ids of those that were removed.
func hostChanges(old, current hostList) platform.HostsReply {
	reply := platform.HostsReply{Version: current.version, Since: old.version, Count: len(current.hosts)}
	unmatched := map[ident.HostID]platform.Host{}
	for _, h := range old.hosts {
		unmatched[h.ID] = h
	}
	for _, h := range current.hosts {
		if unmatched[h.ID] != h {
			reply.Hosts = append(reply.Hosts, h)
		}
		delete(unmatched, h.ID)
	}
	for _, h := range old.hosts {
		if _, ok := unmatched[h.ID]; ok {
			reply.Removed = append(reply.Removed, h.ID)
		}
	}
	return reply
}

// expireLeases ends the leases that have expired, in the order of their ids, so that revisions are reproducible. The caller
// holds the lock.
func (s *Server) expireLeases() {
	now := s.config.Now()
	var ended []platform.LeaseID
	for id, l := range s.leases {
		if !l.expires.After(now) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		s.endLease(id)
	}
}

// endLease deletes a lease and its keys, in key order. The caller holds the lock.
func (s *Server) endLease(id platform.LeaseID) {
	var keys []string
	for k := range s.leases[id].keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.write(k, &entry{deleted: true})
	}
	delete(s.leases, id)
}

// write stores the entry at the next revision, moves the key to the entry's lease and wakes the watches.
func (s *Server) write(key string, e *entry) platform.Revision {
	if old := s.entries[key]; old != nil && old.lease != 0 {
		if l := s.leases[old.lease]; l != nil {
			delete(l.keys, key)
		}
	}
	if e.lease != 0 {
		s.leases[e.lease].keys[key] = struct{}{}
	}
	s.revision++
	e.revision = s.revision
	s.entries[key] = e
	s.changeLog = append(s.changeLog, loggedChange{revision: e.revision, key: key})
	if len(s.changeLog) > minChangeLogLength+2*len(s.entries) {
		s.changeLog = slices.DeleteFunc(s.changeLog, func(c loggedChange) bool { return s.entries[c.key].revision != c.revision })
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return e.revision
}

// liveEntry returns the entry of a key, or nil if the key doesn't exist.
func (s *Server) liveEntry(key string) *entry {
	if e := s.entries[key]; e != nil && !e.deleted {
		return e
	}
	return nil
}

// swap writes a value if the key has the expected revision; 0 means that the key must not exist.
func (s *Server) swap(r platform.SwapRequest) (platform.Revision, error) {
	if len(r.Value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	var current platform.Revision
	if e := s.liveEntry(r.Key); e != nil {
		current = e.revision
	}
	if current != r.Expect {
		return 0, platform.ErrConflict
	}
	if r.Lease != 0 && s.leases[r.Lease] == nil {
		return 0, platform.ErrNotFound
	}
	return s.write(r.Key, &entry{value: slices.Clone(r.Value), lease: r.Lease}), nil
}

// remove deletes a key if it has the expected revision.
func (s *Server) remove(r platform.DeleteRequest) error {
	e := s.liveEntry(r.Key)
	if e == nil {
		return platform.ErrNotFound
	}
	if e.revision != r.Expect {
		return platform.ErrConflict
	}
	s.write(r.Key, &entry{deleted: true})
	return nil
}

// list returns the items under a prefix in key order.
func (s *Server) list(prefix string) []platform.Item {
	items := []platform.Item{}
	for k, e := range s.entries {
		if !e.deleted && strings.HasPrefix(k, prefix) {
			items = append(items, platform.Item{Key: k, Value: slices.Clone(e.value), Revision: e.revision})
		}
	}
	slices.SortFunc(items, func(a, b platform.Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// events returns the last change of each key under the prefix that changed after a revision.
func (s *Server) events(prefix string, after platform.Revision) []platform.Event {
	from, _ := slices.BinarySearchFunc(s.changeLog, after+1, func(c loggedChange, r platform.Revision) int {
		return int(int64(c.revision) - int64(r))
	})
	var events []platform.Event
	for _, c := range s.changeLog[from:] {
		e := s.entries[c.key]
		if e.revision != c.revision || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		item := platform.Item{Key: c.key, Value: slices.Clone(e.value), Revision: e.revision}
		events = append(events, platform.Event{Item: item, Deleted: e.deleted})
	}
	return events
}

// Store returns an in-process client without a region. Faults apply to it as they do over HTTP.
func (s *Server) Store() platform.Store { return s.StoreFrom("") }

// StoreFrom returns an in-process client in the given region.
func (s *Server) StoreFrom(region ident.Region) platform.Store {
	return &client{server: s, region: region}
}

// HostListFrom returns an in-process client of the host list in the given region.
func (s *Server) HostListFrom(region ident.Region) platform.HostList {
	return &client{server: s, region: region}
}
