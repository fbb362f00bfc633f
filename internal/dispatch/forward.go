package dispatch

import (
	"context"
	"fmt"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// forward asks a peer to start the current attempt on one of its backend servers. It ends the local reservation of
// the team's limit, which the peer may use for the task.
func (d *Dispatcher) forward(ctx context.Context, e *entry, peer member.Member, preempt, reserved bool) {
	to := peer.ID
	f := wire.ForwardRequest{Sender: d.sender(), Kind: string(e.work.Kind), Urgent: e.work.Urgent, Preempt: preempt, Hops: 1, AllocationReserved: reserved}
	d.withEntry(e.key, func(e *entry) {
		f.Task = e.work.Task
		f.Task.Attempt, f.Task.Origin = e.attempt, f.Member
		f.Avoid = append(f.Avoid, e.avoid...)
	})
	if err := d.prepare(ctx, e); err != nil {
		d.endReservation(f, peer, false)
		d.endInvalid(e, err)
		return
	}
	reply, err := d.config.Peers.Forward(ctx, to, f)
	notDelivered := err != nil && d.config.Peers.NotDelivered(err)
	d.endReservation(f, peer, reply.AllocationUsed || err != nil && !notDelivered)
	switch {
	case notDelivered:
		d.config.Fleet.RecordRefusal(to, f.Task.Team)
		d.requeue(e, "retried", fmt.Sprintf("daemon %s could not be reached", to))
	case err != nil:
		d.markUncertain(e, f.Task.Attempt, fmt.Sprintf("the reply of daemon %s was lost: %v", to, err))
	case !reply.Accepted:
		d.config.Fleet.RecordRefusal(to, f.Task.Team)
		d.requeue(e, "waits", fmt.Sprintf("daemon %s refused: %s", to, reply.Reason))
	default:
		d.recordStart(e, f.Task.Attempt, reply.Host, to)
	}
}

// endReservation ends the reservation of the team's limit for a forwarded task: it goes to the peer if the task uses
// it or may use it, and is cancelled otherwise.
func (d *Dispatcher) endReservation(f wire.ForwardRequest, to member.Member, used bool) {
	switch {
	case !f.AllocationReserved, f.Incarnation != d.config.Self().Incarnation: // a removed incarnation has lost its reservations
	case used:
		d.config.Limits.Transfer(f.Task.Team, 1, to)
	default:
		d.config.Limits.Cancel(f.Task.Team, 1)
	}
}

// HandleForward starts a peer's task on a backend server of this daemon. A refused task never starts here.
func (d *Dispatcher) HandleForward(ctx context.Context, f wire.ForwardRequest) (wire.ForwardReply, error) {
	t := f.Task
	borrowed, reason := d.reserveForPeer(f)
	if reason != "" {
		return wire.ForwardReply{Reason: reason}, nil
	}
	r := placement.Request{
		Attempt: t.Attempt, Job: t.Job, Index: t.Index, Team: t.Team, Queue: t.Queue, Kind: api.Kind(f.Kind),
		Demand: t.Demand, Priority: t.Priority, NonIdempotent: t.NonIdempotent, Urgent: f.Urgent,
		Avoid: f.Avoid, Task: t,
	}
	placed, err := d.reserveHost(r)
	if err != nil && f.Urgent && f.Preempt {
		d.preempt(r) // The origin asks again when the preempted tasks have freed capacity.
	}
	if err != nil {
		d.config.Limits.Cancel(t.Team, 1)
		return wire.ForwardReply{Reason: placementReason(err)}, nil
	}
	// The start must be resolved even when the sender gives up. Otherwise the attempt would hold capacity that
	// nothing uses.
	reply := make(chan wire.ForwardReply, 1)
	d.spawn(func(ctx context.Context) { reply <- d.startForwarded(ctx, placed.Host, t) })
	select {
	case r := <-reply:
		r.AllocationUsed = r.Accepted && borrowed
		return r, nil
	case <-ctx.Done():
		return wire.ForwardReply{}, fmt.Errorf("start attempt %s: %w", t.Attempt, ctx.Err())
	}
}

// reserveForPeer counts a peer's task against this member's allocation of the limit, or else against the one that the
// peer offers, or returns why the task is refused. The view is checked after that: the allocation of a removed peer
// returns to the pool only when no member with the newer view counts tasks against it.
func (d *Dispatcher) reserveForPeer(f wire.ForwardRequest) (borrowed bool, reason string) {
	team := f.Task.Team
	if !d.config.Limits.Reserve(team, 1) {
		if !f.AllocationReserved || !d.config.Limits.Accept(team, 1) {
			return false, "no allocation of the team's limit is left"
		}
		borrowed = true
	}
	if reason = d.checkSender(f.Sender, f.Hops); reason != "" {
		d.config.Limits.Cancel(team, 1)
	}
	return borrowed, reason
}

func (d *Dispatcher) startForwarded(ctx context.Context, host ident.HostID, t backend.Task) wire.ForwardReply {
	state, err := d.sendStart(ctx, host, t)
	if state == neverStarted {
		d.releaseAttempt(host, t.Attempt, t.Team)
		return wire.ForwardReply{Reason: fmt.Sprintf("start on %s refused: %v", host, err)}
	}
	// A start with an unknown outcome counts as taken: the task may run, so only its result or a lapsed lease may
	// free the capacity.
	return wire.ForwardReply{Accepted: true, Host: host}
}

// checkSender returns why a peer's task is refused, or an empty string.
func (d *Dispatcher) checkSender(s wire.Sender, hops int) string {
	if !d.config.View().HasIncarnation(s.Member, s.Incarnation) {
		return fmt.Sprintf("sender %s with incarnation %d isn't in the member view", s.Member, s.Incarnation)
	}
	if hops > MaxHops {
		return "too many hops"
	}
	return ""
}

// HandleCancel stops an attempt on a backend server of this daemon on behalf of its origin.
func (d *Dispatcher) HandleCancel(ctx context.Context, c wire.CancelRequest) (wire.CancelReply, error) {
	host := c.Host
	if p, ok := d.config.Pool.Find(c.Attempt); ok {
		host = p.Host
	}
	if host == "" {
		return wire.CancelReply{}, nil
	}
	state, err := d.config.Servers.Stop(ctx, host, c.Attempt)
	if err != nil {
		return wire.CancelReply{}, fmt.Errorf("stop attempt %s on %s: %w", c.Attempt, host, err)
	}
	return wire.CancelReply{State: state, Known: true}, nil
}

// HandleQuery reports whether an attempt runs here, or its result waits here. The sender is the attempt's origin, so
// results go to it: the backend server itself may still name an origin that has died.
func (d *Dispatcher) HandleQuery(_ context.Context, q wire.QueryRequest) (wire.QueryReply, error) {
	epoch, complete := d.config.Servers.InventoryComplete()
	reply := wire.QueryReply{Epoch: epoch, Complete: complete}
	if p, ok := d.config.Pool.Find(q.Attempt); ok {
		d.config.Pool.SetOrigin(q.Attempt, q.Member)
		reply.Known, reply.Host = true, p.Host
		return reply, nil
	}
	if pending, ok := d.unconfirmed.get(q.Attempt); ok {
		reply.Known, reply.Host = true, pending.host
		// The origin still waits, so the result came before the origin knew of the attempt, or was addressed to a
		// dead origin.
		if !pending.pushing || pending.result.Origin != q.Member {
			d.redeliver(pending, q.Member)
		}
	}
	return reply, nil
}
