// Package fleet keeps what the peers report of their load: usage per team, free capacity and backlog.
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

// Error is the class of configurations that New refuses.
var Error = errs.Class("fleet")

// Defaults of the exchange of summaries.
const (
	DefaultRegionInterval = time.Second
	// DefaultRemoteInterval is longer, because the link between regions is billed by volume.
	DefaultRemoteInterval = 10 * time.Second
	// A team is left out of a summary while its usage has changed by less than a quarter since it was last sent. At the
	// peak the 59 tasks of a team on one of six daemons vary by 13 % (one standard deviation) from turnover alone, so a
	// smaller threshold would send most teams every few seconds.
	changePart = 0.25
	// changeAge is the age after which any change is sent, so that the peers' sums don't stay wrong.
	changeAge = 20 * time.Second
	// fullEvery is the number of summaries after which a full one repairs whatever a lost delta left wrong.
	fullEvery = 60
	// refusalPause is how long a member that refused for lack of room isn't asked again for the same team.
	refusalPause = 100 * time.Millisecond
)

// Config holds the dependencies of a Fleet.
type Config struct {
	Self           func() member.Member
	View           func() member.View
	TeamUsage      func() []wire.TeamUsage // running work on own backend servers
	Rooms          func() []wire.Room      // capacity of own backend servers
	Backlog        func() int
	Version        func() ident.Version
	Push           func(ctx context.Context, to ident.MemberID, s wire.Summary) (wire.SummaryReply, error)
	Changed        func() // called when a peer's summary may make room for queued work
	RegionInterval time.Duration
	RemoteInterval time.Duration
	Now            func() time.Time
	Log            logr.Logger
}

// Fleet holds the last known load of every peer.
type Fleet struct {
	config Config

	mu       sync.RWMutex
	peers    map[ident.MemberID]*peerLoad
	sent     map[ident.MemberID]*sentState
	usage    map[ident.TeamID]resource.Vector // sum over peers
	capacity resource.Vector                  // sum over peers
	refused  map[refusal]time.Time
}

type peerLoad struct {
	incarnation ident.Incarnation
	teams       map[ident.TeamID]wire.TeamUsage
	reported    []wire.Room // of the last summary with rooms
	rooms       []wire.Room // reported, less what was handed to the peer and plus what ended there since
	backlog     int
	version     ident.Version
	heard       time.Time
}

type sentState struct {
	teams map[ident.TeamID]sentTeam
	rooms []wire.Room
	count int
	full  bool
	next  time.Time
}

type sentTeam struct {
	wire.TeamUsage
	at time.Time
}

type refusal struct {
	member ident.MemberID
	team   ident.TeamID
}

// New returns a Fleet without any report.
func New(c Config) (*Fleet, error) {
	if c.Self == nil || c.View == nil || c.TeamUsage == nil || c.Rooms == nil || c.Backlog == nil || c.Push == nil || c.Version == nil {
		return nil, Error.New("Self, View, TeamUsage, Rooms, Backlog, Version and Push must be set")
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
	if c.Changed == nil {
		c.Changed = func() {}
	}
	return &Fleet{
		config:  c,
		peers:   map[ident.MemberID]*peerLoad{},
		sent:    map[ident.MemberID]*sentState{},
		usage:   map[ident.TeamID]resource.Vector{},
		refused: map[refusal]time.Time{},
	}, nil
}

// Handle takes a peer's summary. A peer that restarted or is new to us is asked for a full one.
func (f *Fleet) Handle(s wire.Summary) wire.SummaryReply {
	f.mu.Lock()
	p, known := f.peers[s.Member]
	if !known || p.incarnation != s.Incarnation {
		if !s.Full {
			f.mu.Unlock()
			return wire.SummaryReply{WantFull: true, Version: f.config.Version()}
		}
		f.forget(s.Member)
		p = &peerLoad{incarnation: s.Incarnation, teams: map[ident.TeamID]wire.TeamUsage{}}
		f.peers[s.Member] = p
	}
	f.apply(p, s)
	f.mu.Unlock()
	f.config.Changed()
	return wire.SummaryReply{Version: f.config.Version()}
}

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
	if s.Full || len(s.Rooms) > 0 {
		f.capacity = f.capacity.Sub(total(p.reported)).Add(total(s.Rooms))
		p.reported = s.Rooms
	}
	// A summary without rooms says that they are as reported before. Without this reset a debit stays when the tasks ended
	// between two summaries, and the peer gets no more work until a full summary (every 300 s between regions).
	p.rooms = slices.Clone(p.reported)
	p.backlog, p.version, p.heard = s.Backlog, s.Version, f.config.Now()
}

func total(rooms []wire.Room) resource.Vector {
	var sum resource.Vector
	for _, r := range rooms {
		sum = sum.Add(r.Capacity)
	}
	return sum
}

// forget removes a peer's contribution; the caller holds the lock.
func (f *Fleet) forget(id ident.MemberID) {
	p, ok := f.peers[id]
	if !ok {
		return
	}
	for t, u := range p.teams {
		f.usage[t] = f.usage[t].Sub(u.Used)
	}
	f.capacity = f.capacity.Sub(total(p.rooms))
	delete(f.peers, id)
}

// ViewChanged forgets the peers that left the view.
func (f *Fleet) ViewChanged(v member.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, p := range f.peers {
		if !v.HasIncarnation(id, p.incarnation) {
			f.forget(id)
			delete(f.sent, id)
		}
	}
}

// Share returns the team's dominant share of the fleet's capacity, own backend servers included.
func (f *Fleet) Share(team ident.TeamID, ownUsage, ownCapacity resource.Vector) float64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.usage[team].Add(ownUsage).DominantShare(f.capacity.Add(ownCapacity))
}

// Candidates returns the members that may have room for the demand, best first: those of the own
// region, and those of other regions only when none of the own region has room.
func (f *Fleet) Candidates(team ident.TeamID, demand resource.Vector) []ident.MemberID {
	type option struct {
		id     ident.MemberID
		region ident.Region
		room   resource.Count
	}
	now, view, self := f.config.Now(), f.config.View(), f.config.Self()
	var options []option
	f.mu.RLock()
	for id, p := range f.peers {
		m, ok := view.Find(id)
		if !ok || m.State != member.Active || now.Before(f.refused[refusal{id, team}]) {
			continue
		}
		for _, r := range p.rooms {
			if demand.Fits(r.Largest) {
				options = append(options, option{id, r.Region, r.Total.Slots})
				break
			}
		}
	}
	f.mu.RUnlock()
	slices.SortFunc(options, func(a, b option) int {
		return cmp.Or(-cmp.Compare(a.room, b.room), cmp.Compare(a.id, b.id))
	})
	var near, far []ident.MemberID
	for _, o := range options {
		if o.region == self.Region {
			near = append(near, o.id)
		} else {
			far = append(far, o.id)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// Debit lowers the room that a peer is believed to have, until its next summary.
func (f *Fleet) Debit(id ident.MemberID, demand resource.Vector) {
	f.changeRoom(id, func(r *wire.Room) bool {
		if !demand.Fits(r.Largest) {
			return false
		}
		r.Total = r.Total.Sub(demand)
		if !demand.Fits(r.Total) {
			r.Largest = resource.Vector{}
		}
		return true
	})
}

// Credit raises the room that a peer is believed to have when a task handed to it has ended, until its next summary.
func (f *Fleet) Credit(id ident.MemberID, demand resource.Vector) {
	f.changeRoom(id, func(r *wire.Room) bool {
		total := r.Total.Add(demand)
		if !total.Fits(r.Capacity) {
			return false
		}
		r.Total, r.Largest = total, r.Largest.Max(demand)
		return true
	})
}

// changeRoom offers the rooms of a peer to change until it takes one.
func (f *Fleet) changeRoom(id ident.MemberID, change func(*wire.Room) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.peers[id]
	if !ok {
		return
	}
	for i := range p.rooms {
		if change(&p.rooms[i]) {
			return
		}
	}
}

// Refused records that a member refused a team's task; it isn't a candidate for a short pause.
func (f *Fleet) Refused(id ident.MemberID, team ident.TeamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[refusal{id, team}] = f.config.Now().Add(refusalPause)
}

// Capacity returns the capacity of the peers' backend servers.
func (f *Fleet) Capacity() resource.Vector {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.capacity
}

// CouldFit reports whether any peer's largest host could hold the demand when empty.
func (f *Fleet) CouldFit(demand resource.Vector) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		for _, r := range p.rooms {
			if demand.Fits(r.LargestHost) {
				return true
			}
		}
	}
	return false
}

// Empty reports whether no peer has told of a backend server.
func (f *Fleet) Empty() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		for _, r := range p.rooms {
			if r.LargestHost != (resource.Vector{}) {
				return false
			}
		}
	}
	return true
}

// Owners returns the active members of the own region with a host that could hold the demand when empty.
func (f *Fleet) Owners(demand resource.Vector) []ident.MemberID {
	view, self := f.config.View(), f.config.Self()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var ids []ident.MemberID
	for id, p := range f.peers {
		m, ok := view.Find(id)
		if !ok || m.State != member.Active || m.Region != self.Region {
			continue
		}
		if slices.ContainsFunc(p.rooms, func(r wire.Room) bool { return demand.Fits(r.LargestHost) }) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Heard reports whether every active peer of the view has sent a summary.
func (f *Fleet) Heard() bool {
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
