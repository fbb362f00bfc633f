package placement

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// FullShare is the percentage of an attempt that isn't throttled.
	FullShare = 100
	// RestorePause is the shortest time from the last change of an attempt's share until it is raised. It is several
	// times VictimHold, so that a steady flow of urgent work doesn't change a task's share with every request.
	RestorePause = 10 * time.Second
	// maxRestores bounds the attempts of one Restore, and so the calls that it causes.
	maxRestores = 32
)

// Restore chooses throttled attempts whose hosts have room for their full share, and counts the full share from now on.
// The caller tells the hosts and reports each result with Throttled, Unconfirmed or Refused. An attempt whose share may
// be lower than counted is chosen too, unless its host is overcommitted.
func (p *Pool) Restore() []Victim {
	now := p.config.Now()
	var list []Victim
	for _, s := range p.shards {
		s.mu.Lock()
		for _, h := range s.list {
			for id, t := range h.attempts {
				if t.Throttled == 0 && !t.unsure || t.calling > 0 || now.Sub(t.changed) < RestorePause || len(list) == maxRestores {
					continue
				}
				full := *t
				full.Throttled = 0
				if full.charge().CPU-t.charge().CPU > h.room(false, now).CPU {
					continue
				}
				s.recharge(h, t, func(t *Placed) { t.Throttled = 0 })
				t.calling, t.changed = FullShare, now
				list = append(list, Victim{Host: h.info.ID, Attempt: id, Action: ActionThrottle, Percent: FullShare})
			}
		}
		s.mu.Unlock()
	}
	return list
}

// Throttled records that the host confirmed the percentage that Victims or Restore chose for an attempt. It returns
// false and changes nothing when no such call is under way.
func (p *Pool) Throttled(id ident.HostID, attempt ident.AttemptID, percent int) bool {
	return p.called(id, attempt, func(s *shard, h *host, t *Placed) bool {
		if t.calling != percent {
			return false
		}
		t.calling, t.unsure, t.changed = 0, false, p.config.Now()
		if percent < FullShare {
			s.recharge(h, t, func(t *Placed) { t.Throttled = percent })
		}
		return true
	})
}

// Unconfirmed records that a call of Throttled's kind has ended and may or may not have taken effect. The full share
// stays counted, and Restore chooses the attempt again.
func (p *Pool) Unconfirmed(id ident.HostID, attempt ident.AttemptID) {
	p.called(id, attempt, func(_ *shard, _ *host, t *Placed) bool {
		t.calling, t.unsure = 0, true
		return true
	})
}

// Refused records that a task can't be checkpointed or throttled, so that Victims chooses another action.
func (p *Pool) Refused(id ident.HostID, attempt ident.AttemptID, action Action) {
	p.called(id, attempt, func(_ *shard, _ *host, t *Placed) bool {
		if t.noCheckpoint = t.noCheckpoint || action == ActionCheckpoint; action == ActionThrottle {
			t.noThrottle, t.calling = true, 0
		}
		return true
	})
}

// called runs f on an attempt under the lock of its shard; it returns false when the attempt isn't there.
func (p *Pool) called(id ident.HostID, attempt ident.AttemptID, f func(*shard, *host, *Placed) bool) bool {
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
