package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/internal/queue"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// placeInterval is how often queued tasks are tried without a wake-up, because free capacity of peers changes
	// without one.
	placeInterval = 50 * time.Millisecond
	// expireInterval is how often queued tasks past their deadline, expired gang reservations and results past their
	// retention are removed.
	expireInterval = 100 * time.Millisecond
)

// placeLoop places queued tasks until the context ends.
func (d *Dispatcher) placeLoop(ctx context.Context) {
	tick := time.NewTicker(placeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-tick.C:
		}
		d.queue.Offer(d.tryPlace)
	}
}

// tryPlace places one queued task on a backend server of this daemon, or forwards it to a peer with free capacity.
func (d *Dispatcher) tryPlace(item queue.Item[*entry]) queue.Verdict {
	e := item.Value
	if !d.beginPlacing(e) {
		return queue.Taken
	}
	if e.gang != nil {
		d.spawn(func(ctx context.Context) { d.placeGang(ctx, e) })
		return queue.Taken
	}
	team := e.work.Task.Team
	if !d.config.Limits.Reserve(team, 1) {
		return d.tryPeers(e, false, "this daemon's allocation of the team's limit is used up")
	}
	placed, err := d.reserveHost(e.request())
	if err == nil {
		d.startLocal(e, placed)
		return queue.Taken
	}
	return d.tryPeers(e, true, placementReason(err))
}

// reserveHost reserves capacity for a task on a backend server of this daemon. It doesn't start the task.
// A quarantined server whose cooldown has passed gets one task as a probe.
func (d *Dispatcher) reserveHost(r placement.Request) (placement.PlacedAttempt, error) {
	for {
		placed, err := d.config.Pool.Place(r)
		if err != nil || d.config.Blame.AllowStart(placed.Host) {
			return placed, err
		}
		d.config.Pool.Release(placed.Host, r.Attempt)
		r.Avoid = append(slices.Clone(r.Avoid), placed.Host)
	}
}

func placementReason(err error) string {
	var noCapacity *placement.NoCapacityError
	if errors.As(err, &noCapacity) {
		return noCapacity.Error()
	}
	return err.Error()
}

// beginPlacing moves a queued entry to the phase placing. It returns false if the entry has ended in the meantime.
func (d *Dispatcher) beginPlacing(e *entry) bool {
	ok := false
	d.withEntry(e.key, func(e *entry) {
		if e.phase == queued {
			e.phase, ok = placing, true
		}
	})
	return ok
}

// tryPeers forwards the task to the best peer with free capacity, together with the reserved allocation of the team's
// limit, if any. Without such a peer the task stays queued with the reason.
func (d *Dispatcher) tryPeers(e *entry, reserved bool, reason string) queue.Verdict {
	candidates := d.config.Fleet.Candidates(e.work.Task.Team, e.work.Task.Demand)
	preempt := false
	if len(candidates) == 0 && e.work.Urgent && reserved && d.preemptionDue(e) {
		d.markPreemption(e)
		if preempt = !d.preempt(e.request()); preempt {
			candidates = d.config.Fleet.RegionOwners(e.work.Task.Demand)
		}
	}
	var to member.Member
	if len(candidates) > 0 {
		to, _ = d.config.View().Find(candidates[0])
	}
	if to.ID == "" {
		d.withEntry(e.key, func(e *entry) {
			if e.phase == placing {
				e.phase = queued
			}
		})
		d.recordDecision(e, "waits", reason)
		if !reserved {
			return queue.SkipTeam
		}
		d.config.Limits.Cancel(e.work.Task.Team, 1)
		return queue.SkipLarger
	}
	d.config.Fleet.Debit(to.ID, e.work.Task.Demand)
	d.withEntry(e.key, func(e *entry) { e.member = to.ID })
	d.spawn(func(ctx context.Context) { d.forward(ctx, e, to, preempt, reserved) })
	return queue.Taken
}

func (d *Dispatcher) startLocal(e *entry, placed placement.PlacedAttempt) {
	self := d.config.Self().ID
	d.withEntry(e.key, func(e *entry) { e.host, e.member = placed.Host, self })
	d.spawn(func(ctx context.Context) { d.start(ctx, e, placed.Host) })
}

// expire refuses queued tasks past their deadline, releases expired gang reservations, and drops results past their
// retention.
func (d *Dispatcher) expire() {
	now := d.config.Now()
	for _, item := range d.queue.RemoveExpired(now) {
		e := item.Value
		ended := false
		d.withEntry(e.key, func(e *entry) {
			if e.phase == queued {
				e.phase, ended = finished, true
			}
		})
		switch {
		case ended && e.gang != nil:
			d.endGang(e.gang, "deadline passed while queued")
		case ended:
			d.finish(e, *e.notStartedCompletion("deadline passed while queued"), func() {})
		}
	}
	d.gangs.expire(now, d.releaseGang)
	d.unconfirmed.expire(now, d.config.ResultRetention, d.config.Servers.Acknowledge)
}

// releaseAttempt releases the capacity and limit of an ended attempt and wakes the dispatcher.
func (d *Dispatcher) releaseAttempt(host ident.HostID, attempt ident.AttemptID, team ident.TeamID) {
	if d.config.Pool.Release(host, attempt) {
		d.config.Limits.Release(team, 1)
	}
	d.Wake()
}
