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
	// pumpInterval looks at the queue even without a wake-up, because peers' room changes silently.
	pumpInterval = 50 * time.Millisecond
	// expireInterval is how often queued work past its deadline is refused.
	expireInterval = 100 * time.Millisecond
)

// pump offers queued work to the backend servers until the context ends.
func (d *Dispatcher) pump(ctx context.Context) {
	tick := time.NewTicker(pumpInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-tick.C:
		}
		d.queue.Offer(d.try)
	}
}

// try places one queued task on an own backend server, or hands it to a peer with room.
func (d *Dispatcher) try(item queue.Item[*entry]) queue.Verdict {
	e := item.Value
	if !d.claimForPlacing(e) {
		return queue.Taken
	}
	if e.gang != nil {
		d.spawn(func(ctx context.Context) { d.placeGang(ctx, e) })
		return queue.Taken
	}
	team := e.work.Task.Team
	if !d.config.Limits.Reserve(team, 1) {
		return d.tryPeers(e, false, "the own part of the team's limit is used up")
	}
	placed, err := d.pick(e.request())
	if err == nil {
		d.startLocal(e, placed)
		return queue.Taken
	}
	return d.tryPeers(e, true, reasonOf(err))
}

// pick reserves room on an own backend server. A quarantined one whose cooldown has passed gets one task as a probe.
func (d *Dispatcher) pick(r placement.Request) (placement.PlacedAttempt, error) {
	for {
		placed, err := d.config.Pool.Place(r)
		if err != nil || d.config.Blame.Probe(placed.Host) {
			return placed, err
		}
		d.config.Pool.Release(placed.Host, r.Attempt)
		r.Avoid = append(slices.Clone(r.Avoid), placed.Host)
	}
}

func reasonOf(err error) string {
	var none *placement.NoRoomError
	if errors.As(err, &none) {
		return none.Error()
	}
	return err.Error()
}

// claimForPlacing moves a queued entry to placing; false means that the entry has ended meanwhile.
func (d *Dispatcher) claimForPlacing(e *entry) bool {
	ok := false
	d.with(e.key, func(e *entry) {
		if e.phase == queued {
			e.phase, ok = placing, true
		}
	})
	return ok
}

// tryPeers hands the task to the best peer with room, with the part of the limit if one is reserved, or leaves it queued
// with the reason.
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
		d.with(e.key, func(e *entry) {
			if e.phase == placing {
				e.phase = queued
			}
		})
		d.record(e, "waits", reason)
		if !reserved {
			return queue.SkipTeam
		}
		d.config.Limits.Cancel(e.work.Task.Team, 1)
		return queue.SkipLarger
	}
	d.config.Fleet.Debit(to.ID, e.work.Task.Demand)
	d.with(e.key, func(e *entry) { e.member = to.ID })
	d.spawn(func(ctx context.Context) { d.forward(ctx, e, to, preempt, reserved) })
	return queue.Taken
}

func (d *Dispatcher) startLocal(e *entry, placed placement.PlacedAttempt) {
	self := d.config.Self().ID
	d.with(e.key, func(e *entry) { e.host, e.member = placed.Host, self })
	d.spawn(func(ctx context.Context) { d.start(ctx, e, placed.Host) })
}

// expire refuses queued work whose caller has stopped waiting, and frees expired gang reservations.
func (d *Dispatcher) expire() {
	now := d.config.Now()
	for _, item := range d.queue.RemoveExpired(now) {
		e := item.Value
		ended := false
		d.with(e.key, func(e *entry) {
			if e.phase == queued {
				e.phase, ended = finished, true
			}
		})
		switch {
		case ended && e.gang != nil:
			d.endGang(e.gang, "deadline passed while queued")
		case ended:
			d.finish(e, *e.notStarted("deadline passed while queued"), func() {})
		}
	}
	d.gangs.expire(now, d.releaseGang)
	d.orphans.expire(now, d.config.OrphanRetention, d.config.Servers.Acknowledge)
}

// freed gives back what an ended attempt held and looks at the queue again.
func (d *Dispatcher) freed(host ident.HostID, attempt ident.AttemptID, team ident.TeamID) {
	if d.config.Pool.Release(host, attempt) {
		d.config.Limits.Release(team, 1)
	}
	d.Wake()
}
