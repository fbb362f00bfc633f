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

// usageAge is how long the sums over the own backend servers are reused; the queue asks for them per team.
const usageAge = 20 * time.Millisecond

// call returns the typed call of a peer method.
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

// load is the sum over the own backend servers.
type load struct {
	teams    map[ident.TeamID]resource.Vector
	capacity resource.Vector
	at       time.Time
}

// owners remembers who owned each backend server before, and caches the load of the own ones.
type owners struct {
	mu       sync.Mutex
	previous member.View // the view before the present one
	present  member.View
	hosts    map[ident.HostID]platform.Host

	loadMu sync.Mutex
	cached load
}

func newOwners() *owners { return &owners{hosts: map[ident.HostID]platform.Host{}} }

func (o *owners) viewChanged(v member.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.previous, o.present = o.present, v
}

func (o *owners) seen(h platform.Host) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hosts[h.ID] = h
}

// load returns the sums over the own backend servers, at most usageAge old.
func (o *owners) load(p *placement.Pool) load {
	o.loadMu.Lock()
	defer o.loadMu.Unlock()
	now := time.Now()
	if now.Sub(o.cached.at) < usageAge {
		return o.cached
	}
	l := load{teams: map[ident.TeamID]resource.Vector{}, at: now}
	for _, u := range p.TeamUsage() {
		l.teams[u.Team] = u.Used
	}
	for _, r := range p.CapacityByDataCentre() {
		l.capacity = l.capacity.Add(r.Capacity)
	}
	o.cached = l
	return l
}

// handedOver reports whether the backend server came from a member that is still in the view, which then
// passes the part of the limit on itself.
func (o *owners) handedOver(h platform.Host, self ident.MemberID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	owner, ok := ownership.Owner(o.previous, h)
	if !ok || owner == self {
		return false
	}
	m, _ := o.previous.Find(owner)
	return o.present.Has(m.ID, m.Incarnation)
}

// next returns the member that owns the backend server in the present view.
func (o *owners) next(id ident.HostID) (member.Member, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.hosts[id]
	if !ok {
		return member.Member{}, false
	}
	owner, ok := ownership.Owner(o.present, h)
	if !ok {
		return member.Member{}, false
	}
	return o.present.Find(owner)
}

// arrive counts a running task that came with a backend server against the team's limit.
func (d *Daemon) arrive(h platform.Host, team ident.TeamID, n int) {
	if d.owners.handedOver(h, d.members.Self().ID) {
		d.limits.Receive(team, n)
		return
	}
	d.limits.Adopt(team, n)
}

// depart passes a running task's part of the limit on with its backend server.
func (d *Daemon) depart(host ident.HostID, team ident.TeamID, n int) {
	to, ok := d.owners.next(host)
	if !ok || to.ID == d.members.Self().ID {
		d.limits.Release(team, n)
		return
	}
	d.limits.HandOver(team, n, to)
}

// ownerOf returns the owner of a host, for the operators' list.
func (d *Daemon) ownerOf(h platform.Host) ident.MemberID {
	owner, _ := ownership.Owner(d.members.View(), h)
	return owner
}

// lookupClaim adapts the result of a lookup.
func (d *Daemon) lookupClaim(ctx context.Context, k wire.ClaimKey) (wire.Claim, bool, error) {
	c, ok, err := d.claims.Lookup(ctx, k)
	if err != nil {
		return c, false, fmt.Errorf("look up claim: %w", err)
	}
	return c, ok, nil
}
