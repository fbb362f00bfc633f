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

// HandleGangReserve holds room and limit for as many tasks of a gang as fit on the own backend servers.
func (d *Dispatcher) HandleGangReserve(_ context.Context, r wire.GangReserve) (wire.GangReserveReply, error) {
	if reason := d.refuse(r.Sender, 0); reason != "" {
		return wire.GangReserveReply{Reason: reason}, nil
	}
	part := 0
	for part < r.Tasks && d.config.Limits.Reserve(r.Team, 1) {
		part++
	}
	if part == 0 {
		return wire.GangReserveReply{Reason: "no part of the team's limit is left"}, nil
	}
	until := d.config.Now().Add(r.Expiry.Duration())
	n := d.config.Pool.ReserveGang(r.Gang, gangRequest(r), part, until)
	if n < part {
		d.config.Limits.Cancel(r.Team, part-n)
	}
	if n == 0 {
		return wire.GangReserveReply{Reason: "no backend server has room"}, nil
	}
	d.gangs.mu.Lock()
	d.gangs.holds[r.Gang] = gangHold{team: r.Team, tasks: n, until: until}
	d.gangs.mu.Unlock()
	return wire.GangReserveReply{Held: n}, nil
}

// HandleGangCancel frees the room held for a gang.
func (d *Dispatcher) HandleGangCancel(_ context.Context, c wire.GangCancel) (struct{}, error) {
	if h, ok := d.gangs.take(c.Gang); ok {
		d.releaseGang(c.Gang, h)
	}
	return struct{}{}, nil
}

// HandleGangCommit starts the tasks of a gang on the room held for it.
func (d *Dispatcher) HandleGangCommit(ctx context.Context, c wire.GangCommit) (wire.GangCommitReply, error) {
	if reason := d.refuse(c.Sender, 0); reason != "" {
		return wire.GangCommitReply{Reason: reason}, nil
	}
	h, ok := d.gangs.take(c.Gang)
	if !ok {
		return wire.GangCommitReply{Reason: "the reservation has expired"}, nil
	}
	if len(c.Tasks) > h.tasks {
		d.releaseGang(c.Gang, h)
		return wire.GangCommitReply{Reason: "more tasks than reserved"}, nil
	}
	hosts, err := d.config.Pool.CommitGang(c.Gang, c.Tasks)
	if err != nil {
		d.config.Limits.Release(h.team, h.tasks)
		return wire.GangCommitReply{Reason: err.Error()}, nil
	}
	d.config.Limits.Release(h.team, h.tasks-len(c.Tasks))
	return d.startGang(ctx, c, hosts)
}

// startGang starts the tasks side by side; a host of "" in the reply means that the task never starts.
func (d *Dispatcher) startGang(ctx context.Context, c wire.GangCommit, hosts []ident.HostID) (wire.GangCommitReply, error) {
	reply := wire.GangCommitReply{Taken: true, Hosts: make([]ident.HostID, len(hosts))}
	var reasons []error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, t := range c.Tasks {
		wg.Go(func() {
			// The start is settled even when the sender gives up, so it runs under the dispatcher's context.
			state, err := d.send(d.base, hosts[i], t)
			if state != startNever {
				reply.Hosts[i] = hosts[i]
				return
			}
			d.freed(hosts[i], t.Attempt, t.Team)
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

// gangTable holds the reservations that this daemon's backend servers keep for gangs.
type gangTable struct {
	mu    sync.Mutex
	holds map[string]gangHold
}

type gangHold struct {
	team  ident.TeamID
	tasks int
	until time.Time
}

func newGangTable() *gangTable { return &gangTable{holds: map[string]gangHold{}} }

func (t *gangTable) take(id string) (gangHold, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.holds[id]
	delete(t.holds, id)
	return h, ok
}

func (t *gangTable) expire(now time.Time, release func(id string, h gangHold)) {
	t.mu.Lock()
	var expired []string
	for id, h := range t.holds {
		if now.After(h.until) {
			expired = append(expired, id)
		}
	}
	t.mu.Unlock()
	for _, id := range expired {
		if h, ok := t.take(id); ok {
			release(id, h)
		}
	}
}

func (d *Dispatcher) releaseGang(id string, h gangHold) {
	d.config.Pool.CancelGang(id)
	d.config.Limits.Release(h.team, h.tasks)
	d.Wake()
}

func gangRequest(r wire.GangReserve) placement.Request {
	return placement.Request{Team: r.Team, Kind: api.KindAllAtOnce, Demand: r.Demand, Avoid: r.Avoid}
}
