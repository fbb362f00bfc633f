// Package fleet tracks the load that peers report in summaries: usage per team, free capacity and backlog.
package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Error is the class of errors that New returns for an invalid configuration.
var Error = errs.Class("fleet")

// Defaults and limits of the exchange of summaries.
const (
	// DefaultRegionInterval is the interval of summaries to peers of this daemon's region.
	DefaultRegionInterval = time.Second
	// DefaultRemoteInterval is the interval of summaries to peers of other regions. It is longer, because traffic
	// between regions is billed by volume.
	DefaultRemoteInterval = 10 * time.Second
	// minChangeFraction is the relative change of usage from which a team is included in a delta summary. At the peak,
	// the 59 tasks of a team on one of six daemons vary by 13 % (one standard deviation) from turnover alone, so a
	// lower threshold would include most teams every few seconds.
	minChangeFraction = 0.25
	// maxUnsentAge is the time since a team's usage was last sent after which a smaller change is sent too, so that the
	// peers' sums do not stay wrong.
	maxUnsentAge = 20 * time.Second
	// summariesPerFull is the number of summaries per full summary. A full one repairs errors that a lost delta left
	// behind.
	summariesPerFull = 60
	// refusalBackoff is how long a member that refused a task for lack of capacity is not asked again for the same
	// team.
	refusalBackoff = 100 * time.Millisecond
)

// Config holds the dependencies of a Fleet.
type Config struct {
	Self            func() member.Member
	View            func() member.View
	OwnUsage        func() []wire.TeamUsage          // usage per team on this daemon's backend servers
	OwnCapacity     func() []wire.DataCentreCapacity // free and total capacity of this daemon's backend servers
	Backlog         func() int
	ConfigVersion   func() ident.Version
	PushSummary     func(ctx context.Context, to ident.MemberID, s wire.Summary) (wire.SummaryReply, error)
	CapacityChanged func() // called after each summary, which may announce capacity for queued work
	RegionInterval  time.Duration
	RemoteInterval  time.Duration
	Now             func() time.Time
	Log             logr.Logger
}

// Fleet tracks the last reported load of every peer.
type Fleet struct {
	config Config

	mu           sync.RWMutex
	peers        map[ident.MemberID]*peerLoad
	sent         map[ident.MemberID]*sendState
	usage        map[ident.TeamID]resource.Vector // sum over peers
	capacity     resource.Vector                  // sum over peers
	refusedUntil map[refusalKey]time.Time
}

// peerLoad is the last reported load of one peer.
type peerLoad struct {
	incarnation   ident.Incarnation
	teams         map[ident.TeamID]wire.TeamUsage
	reported      []wire.DataCentreCapacity // free and total capacity per data centre, from the last summary that contained it
	estimated     []wire.DataCentreCapacity // reported, adjusted for the tasks handed to the peer and ended there since
	backlog       int
	version       ident.Version
	lastSummaryAt time.Time
}

// sendState records what a peer has confirmed, from which the next delta is computed.
type sendState struct {
	teams     map[ident.TeamID]sentUsage // confirmed usage
	rooms     []wire.DataCentreCapacity  // confirmed capacity per data centre
	summaries int                        // number of summaries sent
	needsFull bool                       // the next summary has to be a full one
	nextDue   time.Time                  // no summary is sent earlier; zero for peers of this daemon's region
}

// sentUsage is the usage of a team that a peer confirmed, and when it was sent.
type sentUsage struct {
	wire.TeamUsage
	sentAt time.Time
}

// refusalKey identifies the refusals of tasks of one team by one member.
type refusalKey struct {
	member ident.MemberID
	team   ident.TeamID
}

// New returns a Fleet that has received no summaries.
func New(c Config) (*Fleet, error) {
	if c.Self == nil || c.View == nil || c.OwnUsage == nil || c.OwnCapacity == nil || c.Backlog == nil ||
		c.PushSummary == nil || c.ConfigVersion == nil {
		return nil, Error.New("Self, View, OwnUsage, OwnCapacity, Backlog, ConfigVersion and PushSummary must be set")
	}
	if c.RegionInterval <= 0 {
		c.RegionInterval = DefaultRegionInterval
	}
	if c.RemoteInterval <= 0 {
		c.RemoteInterval = DefaultRemoteInterval
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.CapacityChanged == nil {
		c.CapacityChanged = func() {}
	}
	return &Fleet{
		config:       c,
		peers:        map[ident.MemberID]*peerLoad{},
		sent:         map[ident.MemberID]*sendState{},
		usage:        map[ident.TeamID]resource.Vector{},
		refusedUntil: map[refusalKey]time.Time{},
	}, nil
}

// HandleSummary applies the summary of a peer. A peer that restarted or is unknown is asked for a full one.
func (f *Fleet) HandleSummary(s wire.Summary) wire.SummaryReply {
	f.mu.Lock()
	p, known := f.peers[s.Member]
	if !known || p.incarnation != s.Incarnation {
		if !s.Full {
			f.mu.Unlock()
			return wire.SummaryReply{WantFull: true, Version: f.config.ConfigVersion()}
		}
		f.forgetPeer(s.Member)
		p = &peerLoad{incarnation: s.Incarnation, teams: map[ident.TeamID]wire.TeamUsage{}}
		f.peers[s.Member] = p
	}
	f.apply(p, s)
	f.mu.Unlock()
	f.config.CapacityChanged()
	return wire.SummaryReply{Version: f.config.ConfigVersion()}
}

// apply stores a summary and updates the sums over all peers. The caller holds the lock.
func (f *Fleet) apply(p *peerLoad, s wire.Summary) {
	if s.Full {
		for t, u := range p.teams {
			f.usage[t] = f.usage[t].Sub(u.Used)
		}
		clear(p.teams)
	}
	for _, u := range s.Teams {
		f.usage[u.Team] = f.usage[u.Team].Sub(p.teams[u.Team].Used).Add(u.Used)
		if u.Running == 0 {
			delete(p.teams, u.Team)
			continue
		}
		p.teams[u.Team] = u
	}
	if s.Full || len(s.DataCentres) > 0 {
		f.capacity = f.capacity.Sub(sumCapacity(p.reported)).Add(sumCapacity(s.DataCentres))
		p.reported = s.DataCentres
	}
	// A summary without capacity means that it has not changed since the last report. Without this reset, a debit
	// would persist after its tasks ended between two summaries, and the peer would get no more work until the next
	// full summary (every 600 s between regions).
	p.estimated = slices.Clone(p.reported)
	p.backlog, p.version, p.lastSummaryAt = s.Backlog, s.Version, f.config.Now()
}

func sumCapacity(rooms []wire.DataCentreCapacity) resource.Vector {
	var sum resource.Vector
	for _, r := range rooms {
		sum = sum.Add(r.Capacity)
	}
	return sum
}

// forgetPeer deletes a peer and its contribution to the sums. The caller holds the lock.
func (f *Fleet) forgetPeer(id ident.MemberID) {
	p, ok := f.peers[id]
	if !ok {
		return
	}
	for t, u := range p.teams {
		f.usage[t] = f.usage[t].Sub(u.Used)
	}
	f.capacity = f.capacity.Sub(sumCapacity(p.estimated))
	delete(f.peers, id)
}

// ViewChanged deletes the peers that are no longer in the view.
func (f *Fleet) ViewChanged(v member.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, p := range f.peers {
		if !v.HasIncarnation(id, p.incarnation) {
			f.forgetPeer(id)
			delete(f.sent, id)
		}
	}
}

// DominantShare returns the team's dominant share of the capacity of the whole fleet, including this daemon's backend
// servers.
func (f *Fleet) DominantShare(team ident.TeamID, ownUsage, ownCapacity resource.Vector) float64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.usage[team].Add(ownUsage).DominantShare(f.capacity.Add(ownCapacity))
}

// Candidates returns the members that may have free capacity for the demand, those with the most free slots first.
// Members of other regions are returned only when no other member of this daemon's region qualifies.
func (f *Fleet) Candidates(team ident.TeamID, demand resource.Vector) []ident.MemberID {
	type option struct {
		id        ident.MemberID
		region    ident.Region
		freeSlots resource.Count
	}
	now, view, self := f.config.Now(), f.config.View(), f.config.Self()
	var options []option
	f.mu.RLock()
	for id, p := range f.peers {
		m, ok := view.Find(id)
		if !ok || m.State != member.Active || now.Before(f.refusedUntil[refusalKey{id, team}]) {
			continue
		}
		for _, r := range p.estimated {
			if demand.Fits(r.LargestFree) {
				options = append(options, option{id, r.Region, r.Free.Slots})
				break
			}
		}
	}
	f.mu.RUnlock()
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(-cmp.Compare(a.freeSlots, b.freeSlots), cmp.Compare(a.id, b.id))
	})
	var sameRegion, otherRegions []ident.MemberID
	for _, o := range options {
		if o.region == self.Region {
			sameRegion = append(sameRegion, o.id)
		} else {
			otherRegions = append(otherRegions, o.id)
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion
	}
	return otherRegions
}

// Debit subtracts the demand from the estimated free capacity of a peer. The peer's next summary resets the estimate.
func (f *Fleet) Debit(id ident.MemberID, demand resource.Vector) {
	f.updateEstimate(id, func(r *wire.DataCentreCapacity) bool {
		if !demand.Fits(r.LargestFree) {
			return false
		}
		r.Free = r.Free.Sub(demand)
		if !demand.Fits(r.Free) {
			r.LargestFree = resource.Vector{}
		}
		return true
	})
}

// Credit adds the demand of an ended task to the estimated free capacity of a peer. The peer's next summary resets the
// estimate.
func (f *Fleet) Credit(id ident.MemberID, demand resource.Vector) {
	f.updateEstimate(id, func(r *wire.DataCentreCapacity) bool {
		total := r.Free.Add(demand)
		if !total.Fits(r.Capacity) {
			return false
		}
		r.Free, r.LargestFree = total, r.LargestFree.Max(demand)
		return true
	})
}

// updateEstimate calls change for the estimated capacity of each data centre of a peer until it returns true.
func (f *Fleet) updateEstimate(id ident.MemberID, change func(*wire.DataCentreCapacity) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.peers[id]
	if !ok {
		return
	}
	for i := range p.estimated {
		if change(&p.estimated[i]) {
			return
		}
	}
}

// RecordRefusal records that a member refused a task of a team. For refusalBackoff, the member is no candidate for the team.
func (f *Fleet) RecordRefusal(id ident.MemberID, team ident.TeamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusedUntil[refusalKey{id, team}] = f.config.Now().Add(refusalBackoff)
}

// PeerCapacity returns the total capacity of the peers' backend servers.
func (f *Fleet) PeerCapacity() resource.Vector {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.capacity
}

// CouldFit reports whether the demand fits the total capacity of the largest host of any peer.
func (f *Fleet) CouldFit(demand resource.Vector) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		for _, r := range p.estimated {
			if demand.Fits(r.LargestHost) {
				return true
			}
		}
	}
	return false
}

// NoServersKnown reports whether no peer has reported any backend server.
func (f *Fleet) NoServersKnown() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		for _, r := range p.estimated {
			if r.LargestHost != (resource.Vector{}) {
				return false
			}
		}
	}
	return true
}

// RegionOwners returns the active members of this daemon's region that own a host whose total capacity fits the demand.
func (f *Fleet) RegionOwners(demand resource.Vector) []ident.MemberID {
	view, self := f.config.View(), f.config.Self()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var ids []ident.MemberID
	for id, p := range f.peers {
		m, ok := view.Find(id)
		if !ok || m.State != member.Active || m.Region != self.Region {
			continue
		}
		if slices.ContainsFunc(p.estimated, func(r wire.DataCentreCapacity) bool { return demand.Fits(r.LargestHost) }) {
			ids = append(ids, id)
		}
	}
	return ids
}

// AllPeersReported reports whether every active peer in the view has sent a summary.
func (f *Fleet) AllPeersReported() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	self := f.config.Self().ID
	for _, m := range f.config.View().Filter(member.Active) {
		if _, ok := f.peers[m.ID]; !ok && m.ID != self {
			return false
		}
	}
	return true
}
