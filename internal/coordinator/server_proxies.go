package coordinator

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// serversPerProxy is the number of servers for which a data centre gets one more proxy. A proxy has up to 12 connections to each.
	serversPerProxy = 256
	// proxyRefreshInterval is the interval at which the proxies are chosen anew.
	proxyRefreshInterval = 500 * time.Millisecond
	// detourTime is how long calls to a server take the second way to it, after an answer by that way to a repeated call.
	detourTime = 10 * time.Second
)

// serverProxies are the daemons that make a leader's calls to servers. Each is in the data centre of its servers. One process can't make
// all calls of a large fleet: two calls for each task took most of the processor time of a leader of 1,100 servers.
type serverProxies struct {
	mu     sync.Mutex
	groups map[ident.DataCentre]proxyGroup
	all    map[string]*serverProxy // by incarnation
	// detours holds until when the calls to a server take the second way to it.
	detours  map[sched.ServerID]time.Time
	sessions atomic.Uint64 // number of the latest session with a proxy

	direct, proxied, exchanges, failures atomic.Uint64 // see callCounts
}

// callCounts are totals of a term.
type callCounts struct {
	direct, proxied uint64 // calls to servers
	exchanges       uint64 // messages to proxies
	failures        uint64 // of proxies
}

// counts returns the totals of the term.
func (s *serverProxies) counts() callCounts {
	return callCounts{direct: s.direct.Load(), proxied: s.proxied.Load(), exchanges: s.exchanges.Load(), failures: s.failures.Load()}
}

// state returns the number of proxies that take commands, and that of calls without an outcome.
func (s *serverProxies) state(now time.Time) (ready, pending int) {
	for _, p := range s.list() {
		calls, _ := p.load()
		pending += calls
		if p.isReady(now) {
			ready++
		}
	}
	return ready, pending
}

// proxyGroup holds the proxies of a data centre. The spare one replaces a proxy that fails.
type proxyGroup struct {
	primary []*serverProxy
	spare   *serverProxy // may be nil
}

func newServerProxies() *serverProxies {
	return &serverProxies{groups: map[ident.DataCentre]proxyGroup{}, all: map[string]*serverProxy{}, detours: map[sched.ServerID]time.Time{}}
}

// isRepeated reports whether a server didn't answer the former call of a command's kind, so that the way to it may be what fails.
func isRepeated(command sched.Command) bool {
	switch c := command.(type) {
	case sched.StartCommand:
		return c.Attempt > 1
	case sched.PollCommand:
		return c.Overdue
	}
	return false
}

// route returns the proxy for a command, or nil if the leader makes the call itself, and whether this is the second way to its server. A
// repeated command takes the other way than the one before: a proxy may be the only daemon that doesn't reach a server.
func (s *serverProxies) route(command sched.Command, now time.Time) (p *serverProxy, second bool) {
	v := commandServer(command)
	s.mu.Lock()
	g := s.groups[v.DataCentre]
	detour := now.Before(s.detours[v.ID])
	s.mu.Unlock()
	if len(g.primary) == 0 {
		return nil, false
	}
	spare := g.spare
	if spare != nil && !spare.isReady(now) {
		spare = nil
	}
	preferred := g.preferred(v.ID)
	switch {
	case !preferred.isReady(now):
		return spare, false
	case detour != isRepeated(command):
		return spare, true
	}
	return preferred, false
}

// noteAnswer notes by which way a server has answered a repeated command. Calls to it take this way from then on, the second one for
// detourTime.
func (s *serverProxies) noteAnswer(command sched.Command, second bool, now time.Time) {
	if !isRepeated(command) {
		return
	}
	id := commandServer(command).ID
	s.mu.Lock()
	defer s.mu.Unlock()
	if second {
		s.detours[id] = now.Add(detourTime)
	} else {
		delete(s.detours, id)
	}
}

// preferred returns the primary proxy of a server by rendezvous hashing, so that few servers change theirs when one comes or goes.
func (g *proxyGroup) preferred(id sched.ServerID) *serverProxy {
	if len(g.primary) == 1 {
		return g.primary[0]
	}
	weight := func(p *serverProxy) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(p.member))
		_, _ = h.Write([]byte(id))
		return h.Sum64()
	}
	return slices.MaxFunc(g.primary, func(a, b *serverProxy) int { return cmp.Compare(weight(a), weight(b)) })
}

// forgetDetours removes the detours that are over.
func (s *serverProxies) forgetDetours(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.detours, func(_ sched.ServerID, until time.Time) bool { return !now.Before(until) })
}

// choose chooses the daemons with the shortest election delay in each data centre, as they have the most processor time, and returns
// the proxies that are new and those whose daemon has gone.
func (s *serverProxies) choose(
	self ident.MemberID, members map[ident.MemberID]PresenceRecord, servers map[ident.DataCentre]int,
) (added, gone []*serverProxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := map[ident.DataCentre][]PresenceRecord{}
	present := map[string]bool{}
	for m, r := range members {
		present[r.Incarnation] = true
		if m != self && servers[r.DataCentre] > 0 {
			candidates[r.DataCentre] = append(candidates[r.DataCentre], r)
		}
	}
	groups := make(map[ident.DataCentre]proxyGroup, len(candidates))
	chosen := map[string]bool{}
	for dc, daemons := range candidates {
		slices.SortFunc(daemons, func(a, b PresenceRecord) int {
			return cmp.Or(cmp.Compare(a.ElectionDelay, b.ElectionDelay), cmp.Compare(a.Member, b.Member))
		})
		wanted := (servers[dc] + serversPerProxy - 1) / serversPerProxy
		var g proxyGroup
		for _, r := range daemons[:min(wanted+1, len(daemons))] {
			p := s.all[r.Incarnation]
			if p == nil {
				p = newServerProxy(r, &s.sessions)
				s.all[r.Incarnation] = p
				added = append(added, p)
			}
			chosen[r.Incarnation] = true
			if len(g.primary) < wanted {
				g.primary = append(g.primary, p)
			} else {
				g.spare = p
			}
		}
		groups[dc] = g
	}
	s.groups = groups
	for incarnation, p := range s.all {
		p.setChosen(chosen[incarnation])
		if !present[incarnation] {
			gone = append(gone, p)
			delete(s.all, incarnation)
		}
	}
	return added, gone
}

// drop removes a proxy and reports true, unless it has been chosen again.
func (s *serverProxies) drop(p *serverProxy) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, chosen := p.load(); chosen {
		return false
	}
	if s.all[p.incarnation] == p {
		delete(s.all, p.incarnation)
	}
	return true
}

// list returns all proxies.
func (s *serverProxies) list() []*serverProxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*serverProxy, 0, len(s.all))
	for _, p := range s.all {
		out = append(out, p)
	}
	return out
}

// chooseProxies chooses the proxies for the present servers. A leader of few servers calls them itself: a proxy adds a hop, and saves
// little.
func (t *term) chooseProxies() {
	t.mu.Lock()
	servers := t.scheduler.ServersByDataCentre()
	t.mu.Unlock()
	total := 0
	for _, n := range servers {
		total += n
	}
	if total <= t.config.MaxDirectServers {
		servers = nil
	}
	t.proxies.forgetDetours(t.coordinator.now())
	added, gone := t.proxies.choose(t.config.Member, t.coordinator.view.get().members, servers)
	for _, p := range gone {
		t.proxyFailed(p, p.currentSession(), "its daemon has left the cell")
	}
	for _, p := range added {
		go t.runProxy(t.ctx, p)
	}
}

// closeConnections closes the connections of this daemon and of the proxies to an address that is no longer in use.
func (t *term) closeConnections(address string) {
	t.config.ServerClient.CloseConnections(address)
	for _, p := range t.proxies.list() {
		p.closeConnections(address)
	}
}
