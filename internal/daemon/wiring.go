package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/ownership"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// maxLoadAge is how long a computed localLoad is reused. The queue reads it for every team.
const maxLoadAge = 20 * time.Millisecond

// call returns a function that calls a peer method with typed request and reply.
func call[Req, Resp any](d *Daemon, method string) func(context.Context, ident.MemberID, Req) (Resp, error) {
	return func(ctx context.Context, to ident.MemberID, r Req) (Resp, error) {
		return peer.Call[Req, Resp](ctx, d.node, to, method, r)
	}
}

func (d *Daemon) dispatchPeers() dispatch.Peers {
	return dispatch.Peers{
		Forward:      call[wire.ForwardRequest, wire.ForwardReply](d, wire.MethodForward),
		Answer:       call[wire.ResultPush, wire.ResultReply](d, wire.MethodResult),
		Query:        call[wire.QueryRequest, wire.QueryReply](d, wire.MethodQuery),
		Cancel:       call[wire.CancelRequest, wire.CancelReply](d, wire.MethodCancel),
		AdoptOrigin:  call[wire.AdoptOriginRequest, wire.AdoptOriginReply](d, wire.MethodAdoptOrigin),
		Find:         call[wire.FindRequest, wire.FindReply](d, wire.MethodFind),
		GangReserve:  call[wire.GangReserveRequest, wire.GangReserveReply](d, wire.MethodGangReserve),
		GangCommit:   call[wire.GangCommitRequest, wire.GangCommitReply](d, wire.MethodGangCommit),
		GangCancel:   call[wire.GangCancelRequest, struct{}](d, wire.MethodGangCancel),
		NotDelivered: peer.NotDelivered,
	}
}

// localLoad is the usage and capacity of all backend servers that this daemon owns.
type localLoad struct {
	teams      map[ident.TeamID]resource.Vector
	capacity   resource.Vector
	measuredAt time.Time
}

// ownershipTracker keeps the previous and the current member view, to tell which member owned a backend server before
// the last change, and caches the load of this daemon's backend servers.
type ownershipTracker struct {
	mu       sync.Mutex
	previous member.View // the view before current
	current  member.View
	hosts    map[ident.HostID]platform.Host

	loadMu     sync.Mutex
	cachedLoad localLoad
}

func newOwnershipTracker() *ownershipTracker {
	return &ownershipTracker{hosts: map[ident.HostID]platform.Host{}}
}

func (t *ownershipTracker) setView(v member.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.previous, t.current = t.current, v
}

func (t *ownershipTracker) recordHost(h platform.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[h.ID] = h
}

// localLoad returns the load of this daemon's backend servers, at most maxLoadAge old.
func (t *ownershipTracker) localLoad(p *placement.Pool) localLoad {
	t.loadMu.Lock()
	defer t.loadMu.Unlock()
	now := time.Now()
	if now.Sub(t.cachedLoad.measuredAt) < maxLoadAge {
		return t.cachedLoad
	}
	l := localLoad{teams: map[ident.TeamID]resource.Vector{}, measuredAt: now}
	for _, u := range p.TeamUsage() {
		l.teams[u.Team] = u.Used
	}
	for _, r := range p.CapacityByDataCentre() {
		l.capacity = l.capacity.Add(r.Capacity)
	}
	t.cachedLoad = l
	return l
}

// previousOwnerInView reports whether another member owned the backend server in the previous view and is still in the
// current one. Such a member hands the limit allocation of its running tasks over itself.
func (t *ownershipTracker) previousOwnerInView(h platform.Host, self ident.MemberID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, ok := ownership.Owner(t.previous, h)
	if !ok || owner == self {
		return false
	}
	m, _ := t.previous.Find(owner)
	return t.current.HasIncarnation(m.ID, m.Incarnation)
}

// currentOwner returns the member that owns the backend server in the current view.
func (t *ownershipTracker) currentOwner(id ident.HostID) (member.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[id]
	if !ok {
		return member.Member{}, false
	}
	owner, ok := ownership.Owner(t.current, h)
	if !ok {
		return member.Member{}, false
	}
	return t.current.Find(owner)
}

// addRunning counts n running tasks of a newly attached backend server against the team's limit.
func (d *Daemon) addRunning(h platform.Host, team ident.TeamID, n int) {
	if d.ownership.previousOwnerInView(h, d.members.Self().ID) {
		d.limits.Receive(team, n)
		return
	}
	d.limits.Adopt(team, n)
}

// removeRunning hands the limit allocation of n running tasks over to the backend server's new owner, or releases it if
// the new owner is unknown or this member.
func (d *Daemon) removeRunning(host ident.HostID, team ident.TeamID, n int) {
	to, ok := d.ownership.currentOwner(host)
	if !ok || to.ID == d.members.Self().ID {
		d.limits.Release(team, n)
		return
	}
	d.limits.HandOver(team, n, to)
}

// ownerOf returns the member that owns a host, for the operators' host list.
func (d *Daemon) ownerOf(h platform.Host) ident.MemberID {
	owner, _ := ownership.Owner(d.members.View(), h)
	return owner
}

// lookupClaim looks a claim up and wraps the error.
func (d *Daemon) lookupClaim(ctx context.Context, k wire.ClaimKey) (wire.Claim, bool, error) {
	c, ok, err := d.claims.Lookup(ctx, k)
	if err != nil {
		return c, false, fmt.Errorf("look up claim: %w", err)
	}
	return c, ok, nil
}
