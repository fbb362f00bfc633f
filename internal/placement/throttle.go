package placement

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// FullCPUPercent is the CPU percentage of an attempt that is not throttled.
	FullCPUPercent = 100
	// RestoreDelay is the minimum time between the last change of an attempt's CPU percentage and its increase. It is
	// several times PreemptionWindow, so that a steady stream of urgent work does not change the percentage with every
	// request.
	RestoreDelay = 10 * time.Second
	// maxRestoredAttempts bounds the attempts, and so the throttle calls, of one RestoreThrottled.
	maxRestoredAttempts = 32
)

// RestoreThrottled selects throttled attempts whose hosts have free capacity for their full CPU demand, and charges
// the full demand from now on. The caller sends the throttle calls to the hosts and reports each result with
// ConfirmThrottle, RecordUnconfirmedThrottle or RecordRefusedAction. An attempt whose CPU percentage may be lower than
// charged is selected too, unless its host is overcommitted.
func (p *Pool) RestoreThrottled() []Victim {
	now := p.config.Now()
	var list []Victim
	for _, s := range p.shards {
		s.mu.Lock()
		for _, h := range s.list {
			for id, t := range h.attempts {
				if t.CPUPercent == 0 && !t.percentUncertain || t.pendingPercent > 0 || now.Sub(t.percentSetAt) < RestoreDelay ||
					len(list) == maxRestoredAttempts {
					continue
				}
				restored := *t
				restored.CPUPercent = 0
				if restored.charge().CPU-t.charge().CPU > h.available(false, now).CPU {
					continue
				}
				s.updateCharge(h, t, func(t *PlacedAttempt) { t.CPUPercent = 0 })
				t.pendingPercent, t.percentSetAt = FullCPUPercent, now
				list = append(list, Victim{Host: h.info.ID, Attempt: id, Action: ActionThrottle, CPUPercent: FullCPUPercent})
			}
		}
		s.mu.Unlock()
	}
	return list
}

// ConfirmThrottle records that the host confirmed the CPU percentage that SelectVictims or RestoreThrottled chose for
// an attempt. It returns false and changes nothing when no call with this percentage is under way.
func (p *Pool) ConfirmThrottle(id ident.HostID, attempt ident.AttemptID, percent int) bool {
	return p.withAttempt(id, attempt, func(s *shard, h *host, t *PlacedAttempt) bool {
		if t.pendingPercent != percent {
			return false
		}
		t.pendingPercent, t.percentUncertain, t.percentSetAt = 0, false, p.config.Now()
		if percent < FullCPUPercent {
			s.updateCharge(h, t, func(t *PlacedAttempt) { t.CPUPercent = percent })
		}
		return true
	})
}

// RecordUnconfirmedThrottle records that a throttle call ended and may or may not have taken effect. The full CPU demand
// stays charged, and RestoreThrottled selects the attempt again.
func (p *Pool) RecordUnconfirmedThrottle(id ident.HostID, attempt ident.AttemptID) {
	p.withAttempt(id, attempt, func(_ *shard, _ *host, t *PlacedAttempt) bool {
		t.pendingPercent, t.percentUncertain = 0, true
		return true
	})
}

// RecordRefusedAction records that a task can't be checkpointed or throttled, so that SelectVictims chooses another action.
func (p *Pool) RecordRefusedAction(id ident.HostID, attempt ident.AttemptID, action Action) {
	p.withAttempt(id, attempt, func(_ *shard, _ *host, t *PlacedAttempt) bool {
		if t.refusesCheckpoint = t.refusesCheckpoint || action == ActionCheckpoint; action == ActionThrottle {
			t.refusesThrottle, t.pendingPercent = true, 0
		}
		return true
	})
}

// withAttempt calls f for an attempt while the lock of its shard is held. It returns false when the attempt is not on
// the host.
func (p *Pool) withAttempt(id ident.HostID, attempt ident.AttemptID, f func(*shard, *host, *PlacedAttempt) bool) bool {
	s := p.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.hosts[id]
	if !ok {
		return false
	}
	t, ok := h.attempts[attempt]
	return ok && f(s, h, t)
}
