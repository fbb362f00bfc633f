package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// HandleGangReserve reserves capacity and limit for as many tasks of a gang as fit on the backend servers of this
// daemon.
func (d *Dispatcher) HandleGangReserve(_ context.Context, r wire.GangReserveRequest) (wire.GangReserveReply, error) {
	if reason := d.checkSender(r.Sender, 0); reason != "" {
		return wire.GangReserveReply{Reason: reason}, nil
	}
	reserved := 0
	for reserved < r.Tasks && d.config.Limits.Reserve(r.Team, 1) {
		reserved++
	}
	if reserved == 0 {
		return wire.GangReserveReply{Reason: "no allocation of the team's limit is left"}, nil
	}
	until := d.config.Now().Add(r.TTL.Duration())
	n := d.config.Pool.ReserveGang(r.Gang, gangRequest(r), reserved, until)
	if n < reserved {
		d.config.Limits.Cancel(r.Team, reserved-n)
	}
	if n == 0 {
		return wire.GangReserveReply{Reason: "no backend server has free capacity"}, nil
	}
	d.gangs.mu.Lock()
	d.gangs.reservations[r.Gang] = gangReservation{team: r.Team, tasks: n, until: until}
	d.gangs.mu.Unlock()
	return wire.GangReserveReply{Reserved: n}, nil
}

// HandleGangCancel releases the capacity reserved for a gang.
func (d *Dispatcher) HandleGangCancel(_ context.Context, c wire.GangCancelRequest) (struct{}, error) {
	if h, ok := d.gangs.remove(c.Gang); ok {
		d.releaseGang(c.Gang, h)
	}
	return struct{}{}, nil
}

// HandleGangCommit starts the tasks of a gang on the capacity reserved for it.
func (d *Dispatcher) HandleGangCommit(ctx context.Context, c wire.GangCommitRequest) (wire.GangCommitReply, error) {
	if reason := d.checkSender(c.Sender, 0); reason != "" {
		return wire.GangCommitReply{Reason: reason}, nil
	}
	h, ok := d.gangs.remove(c.Gang)
	if !ok {
		return wire.GangCommitReply{Reason: "the gang reservation has expired"}, nil
	}
	if len(c.Tasks) > h.tasks {
		d.releaseGang(c.Gang, h)
		return wire.GangCommitReply{Reason: "the commit names more tasks than are reserved"}, nil
	}
	hosts, err := d.config.Pool.CommitGang(c.Gang, c.Tasks)
	if err != nil {
		d.config.Limits.Release(h.team, h.tasks)
		return wire.GangCommitReply{Reason: err.Error()}, nil
	}
	d.config.Limits.Release(h.team, h.tasks-len(c.Tasks))
	return d.startGang(ctx, c, hosts)
}

// startGang starts the tasks in parallel. An empty host in the reply means that the task never starts.
func (d *Dispatcher) startGang(ctx context.Context, c wire.GangCommitRequest, hosts []ident.HostID) (wire.GangCommitReply, error) {
	reply := wire.GangCommitReply{Accepted: true, Hosts: make([]ident.HostID, len(hosts))}
	var reasons []error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, t := range c.Tasks {
		wg.Go(func() {
			// The start is resolved even when the sender gives up, so it runs under the dispatcher's context.
			state, err := d.sendStart(d.baseCtx, hosts[i], t)
			if state != neverStarted {
				reply.Hosts[i] = hosts[i]
				return
			}
			d.releaseAttempt(hosts[i], t.Attempt, t.Team)
			mu.Lock()
			reasons = append(reasons, err)
			mu.Unlock()
		})
	}
	wg.Wait()
	if err := errors.Join(reasons...); err != nil {
		reply.Reason = err.Error()
	}
	if err := ctx.Err(); err != nil {
		return wire.GangCommitReply{}, err
	}
	return reply, nil
}

// gangTable holds the gang reservations on this daemon's backend servers.
type gangTable struct {
	mu           sync.Mutex
	reservations map[string]gangReservation
}

type gangReservation struct {
	team  ident.TeamID
	tasks int
	until time.Time
}

func newGangTable() *gangTable { return &gangTable{reservations: map[string]gangReservation{}} }

func (t *gangTable) remove(id string) (gangReservation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.reservations[id]
	delete(t.reservations, id)
	return h, ok
}

func (t *gangTable) expire(now time.Time, release func(id string, h gangReservation)) {
	t.mu.Lock()
	var expired []string
	for id, h := range t.reservations {
		if now.After(h.until) {
			expired = append(expired, id)
		}
	}
	t.mu.Unlock()
	for _, id := range expired {
		if h, ok := t.remove(id); ok {
			release(id, h)
		}
	}
}

func (d *Dispatcher) releaseGang(id string, h gangReservation) {
	d.config.Pool.CancelGang(id)
	d.config.Limits.Release(h.team, h.tasks)
	d.Wake()
}

func gangRequest(r wire.GangReserveRequest) placement.Request {
	return placement.Request{Team: r.Team, Kind: api.KindAllAtOnce, Demand: r.Demand, Avoid: r.Avoid}
}
