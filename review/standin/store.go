package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pageItems = 500
	// responseTime is that of the sites of today.
	responseTime = 4 * time.Millisecond
	history      = 20 * time.Second
	// reportLapse is the silence after which the store removes a server's entry: three status report intervals.
	reportLapse = 3 * reportInterval
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store. While it is down, no lease expires.
type store struct {
	mode atomic.Value // "up" or "silent"

	mu        sync.Mutex
	revision  uint64
	forgotten uint64 // revisions up to this one are no longer in the history
	items     map[string]item
	events    []item
	leases    map[uint64]lease
	changed   chan struct{} // closed at the next change
}

func newStore() *store {
	s := &store{revision: 100, forgotten: 100, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
	s.mode.Store("up")
	return s
}

func (s *store) isUp() bool { return s.mode.Load() == "up" }

func (s *store) setMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode == "up" && !s.isUp() { // leases paused while the store was down
		for id, l := range s.leases {
			l.ends = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		for key, it := range s.items {
			it.at = time.Now()
			s.items[key] = it
		}
	}
	s.mode.Store(mode)
}

func (s *store) change(it item, deleted bool) {
	old, exists := s.items[it.Key]
	it.Revision, it.Created, it.Deleted, it.at = s.revision, s.revision, deleted, time.Now()
	if exists {
		it.Created = old.Created
	}
	if deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.change(item{Key: key}, true)
	}
}

// expire ends leases, removes the entries of silent servers and drops the old history.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		if !s.isUp() {
			continue
		}
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		for key, it := range s.items {
			if strings.HasPrefix(key, "servers/") && now.Sub(it.at) > reportLapse {
				s.revision++
				s.remove(key)
			}
		}
		for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
			s.forgotten, s.events = s.events[0].Revision, s.events[1:]
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// writeAsOutsider writes a key as the operator or a server does, and reports whether the store accepted it.
func (s *store) writeAsOutsider(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUp() {
		return false
	}
	s.revision++
	s.change(item{Key: key, Value: value}, false)
	return true
}

func (s *store) read(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// ServeHTTP answers a call, unless the store is silent or the caller is cut off.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isSilent := func() bool { return !s.isUp() || links.isCut(r, "store") }
	if isSilent() {
		withhold(r)
	}
	time.Sleep(responseTime)
	status, body := s.handle(r)
	if isSilent() {
		withhold(r)
	}
	reply(w, status, body)
}

// withhold gives no response until the caller gives up.
func withhold(r *http.Request) {
	buffer := make([]byte, 1<<10)
	for {
		if _, err := r.Body.Read(buffer); err != nil {
			break // the context ends with the connection only once the body is read
		}
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) handle(r *http.Request) (int, any) {
	query := r.URL.Query()
	path, last := r.URL.Path, uint64(0)
	if i := strings.LastIndex(path, "/"); i > 0 {
		last, _ = strconv.ParseUint(path[i+1:], 10, 64)
		path = path[:i]
	}
	if path == "/kv-watch" {
		return s.watch(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method + " " + path {
	case "GET /kv-key":
		it, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, it
	case "GET /kv-range":
		return s.readRange(query.Get("prefix"), query.Get("after"))
	case "POST /kv-txn":
		return s.transact(r)
	case "POST /kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.revision++
		ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
		s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
		return http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": ttl.Milliseconds()}
	case "POST /kv-keep", "DELETE /kv-lease-end":
		l, ok := s.leases[last]
		if !ok {
			return http.StatusNotFound, nil
		}
		if r.Method == http.MethodDelete {
			s.endLease(last)
		} else {
			s.leases[last] = lease{l.ttl, time.Now().Add(l.ttl)}
		}
		return http.StatusOK, map[string]any{}
	}
	return http.StatusBadRequest, nil
}

func (s *store) readRange(prefix, after string) (int, any) {
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	hasMore := len(found) > pageItems
	return http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "hasMore": hasMore, "at": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var in struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Deletes  []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Writes)+len(in.Deletes) > 32 {
		return http.StatusBadRequest, nil
	}
	met, present := true, []item{}
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if ok {
			present = append(present, it)
		}
		met = met && it.Revision == e.Revision
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": present}
	}
	for _, x := range in.Writes {
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.change(item{Key: x.Key, Value: x.Value, Lease: x.Lease}, false)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}
