package member

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// watchIsolation updates the result of Isolated once per interval while the store doesn't answer.
func (g *Group) watchIsolation(ctx context.Context) error {
	for ctx.Err() == nil {
		// The probes start before the store counts as unhealthy, so that the result is known by then.
		if g.health.succeededWithin(g.config.LeaseTTL / 2) {
			g.isolated.Store(false)
		} else {
			g.isolated.Store(g.checkIsolation(ctx))
		}
		sleep(ctx, g.config.Interval)
	}
	return nil
}

// Isolated reports whether this member may have been removed from the view without learning of it. It must then stop
// renewing leases of backend servers, because another member may own the servers and start their tasks again.
//
// A member can be removed only by one that reaches at least half of the active members, and only if none of these
// reaches it. So it may continue while the store answers, or while more than half of the active members answer its
// probes. Members of a region that has lost its link are marked as unreachable instead of removed, so a member may also
// continue while all active members of its own region answer.
func (g *Group) Isolated() bool { return g.isolated.Load() && !g.health.healthy() }

// checkIsolation probes the active members directly and applies the rule of Isolated.
func (g *Group) checkIsolation(ctx context.Context) bool {
	s := g.snapshot.Load()
	if !s.joined {
		return false
	}
	active := s.view.Filter(Active)
	reached := g.probeDirectly(ctx, s, active)
	answers, ownRegionAnswers := 0, true
	for i, m := range active {
		if reached[i] {
			answers++
		} else if m.Region == s.self.Region {
			ownRegionAnswers = false
		}
	}
	return !ownRegionAnswers && 2*answers <= len(active)
}

// probeDirectly reports which members answer a direct probe; this member counts as reached.
func (g *Group) probeDirectly(ctx context.Context, s *snapshot, members []Member) []bool {
	reached := make([]bool, len(members))
	var group errgroup.Group
	group.SetLimit(maxParallelProbes)
	for i, m := range members {
		group.Go(func() error {
			if m.ID == s.self.ID {
				reached[i] = true
				return nil
			}
			callCtx, cancel := context.WithTimeout(ctx, g.config.ProbeTimeout)
			defer cancel()
			reached[i] = g.config.Probe(callCtx, m) == nil
			return nil
		})
	}
	_ = group.Wait() // the probes report through reached
	return reached
}

// reachesHalf reports whether this member reaches at least half of the active members. Only then may it remove others, so
// that it never removes a member that continues without the store; see Isolated.
func (g *Group) reachesHalf(ctx context.Context, s *snapshot) bool {
	active := s.view.Filter(Active)
	answers := 0
	for _, ok := range g.probeDirectly(ctx, s, active) {
		if ok {
			answers++
		}
	}
	return 2*answers >= len(active)
}

// succeededWithin reports whether a store call succeeded within the last d.
func (h *health) succeededWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lastSuccess.IsZero() && h.now().Sub(h.lastSuccess) <= d
}
