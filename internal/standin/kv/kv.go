// Package kv is a stand-in of the platform's key-value store and host list for tests and the demo.
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
	// maxWait bounds a watch, so that a client with a wrong wait doesn't hold its connection for ever.
	maxWatchWait = 2 * time.Minute
	// minLogLength keeps small logs from being compacted at each write.
	minChangeLogLength = 1024
	// maxPast bounds the lists that are kept to answer with changes.
	maxPastHostLists = 16
)

// Config configures the stand-in.
type Config struct {
	Now           func() time.Time // clock of the leases and of the host list; nil means time.Now
	HostListDelay time.Duration    // time until a host list that was set becomes visible
	Seed          uint64           // seed of the probabilistic faults
	Tick          time.Duration    // interval of Run; 0 means 50 ms
}

// entry is the last write of a key; a deleted key keeps its revision so that watches see the deletion.
type entry struct {
	value    []byte
	revision platform.Revision
	lease    platform.LeaseID
	deleted  bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

type loggedChange struct {
	revision platform.Revision
	key      string
}

type hostList struct {
	visibleFrom time.Time
	version     string
	hosts       []platform.Host
}

// Server is the stand-in. Its methods may be called from several goroutines.
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
	hosts     []hostList    // in the order in which they were set
	pastHosts []hostList    // the last maxPast lists before hosts
	counts    platform.Calls
}

// New returns an empty stand-in without faults.
func New(c Config) *Server {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Tick <= 0 {
		c.Tick = defaultTick
	}
	s := &Server{
		config: c, entries: map[string]*entry{}, leases: map[platform.LeaseID]*lease{},
		changed: make(chan struct{}), counts: platform.Calls{},
	}
	s.faults.init(c.Seed)
	return s
}

// Run ends lapsed leases at every tick until ctx ends. Without it pending watches see a lapse at the next call.
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

// Tick ends the leases that have lapsed. Every call to the store does the same before it takes effect.
func (s *Server) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// Counts returns the calls that arrived, by kind; refused calls are included.
func (s *Server) Counts() platform.Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(platform.Calls, len(s.counts))
	for k, n := range s.counts {
		counts[k] = n
	}
	return counts
}

// SetHosts replaces the host list; it becomes visible after the configured lag.
func (s *Server) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostList{
		visibleFrom: s.config.Now().Add(s.config.HostListDelay), version: ident.Random("hosts"), hosts: slices.Clone(hosts),
	})
}

// visibleHosts returns the list that is visible now, or its changes since a version that is known and kept.
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

// changes returns the hosts of the current list that are new or different, and those that it no longer has.
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

// lapse runs with the lock held. Leases end in the order of their ids, so that revisions are reproducible.
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

// write stores the entry under the next revision and wakes the watches.
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

func (s *Server) liveEntry(key string) *entry {
	if e := s.entries[key]; e != nil && !e.deleted {
		return e
	}
	return nil
}

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

// events returns the newest change of each key under the prefix after a revision.
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

// Store returns a client in the same process, with the same faults as over HTTP.
func (s *Server) Store() platform.Store { return s.StoreFrom("") }

// StoreFrom returns a client whose calls count as coming from the region.
func (s *Server) StoreFrom(region ident.Region) platform.Store {
	return &client{server: s, region: region}
}

// HostListFrom returns a host list client whose calls count as coming from the region.
func (s *Server) HostListFrom(region ident.Region) platform.HostList {
	return &client{server: s, region: region}
}
