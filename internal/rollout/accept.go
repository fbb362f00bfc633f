package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// MemberStatus reports which version a member has in force.
type MemberStatus struct {
	Member       ident.MemberID `json:"member"`
	Region       ident.Region   `json:"region"`
	State        member.State   `json:"state"`
	Version      ident.Version  `json:"version"` // last one reported; 0 means that the member has confirmed none
	Answered     bool           `json:"answered"`
	Acknowledged bool           `json:"acknowledged"` // has the given version or a later one in force
	SilentMS     int64          `json:"silent-ms"`    // since the last answer; at most since a majority had the version
}

const (
	// maxMajorities bounds the versions for which the time of a majority is recorded.
	maxMajorities = 64
	// driftDivisor sets the allowance for a silent member whose clock may be slower: the freshness bound divided by it is
	// added to the wait.
	driftDivisor = 20
)

// majorityTimes records when this daemon first saw each version in force on a majority.
type majorityTimes struct {
	mutex sync.Mutex
	times map[ident.Version]time.Time
}

// firstSeen returns when the version was first seen in force on a majority, which is now if it wasn't recorded before.
func (m *majorityTimes) firstSeen(version ident.Version, now time.Time) time.Time {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if at, ok := m.times[version]; ok {
		return at
	}
	if m.times == nil {
		m.times = make(map[ident.Version]time.Time)
	}
	if len(m.times) >= maxMajorities {
		oldest := version
		for v := range m.times {
			oldest = min(oldest, v)
		}
		delete(m.times, oldest)
	}
	m.times[version] = now
	return now
}

// Status asks every member which version it has in force.
func (r *Rollout) Status(ctx context.Context) []MemberStatus {
	return r.status(ctx, r.current.Load().version())
}

func (r *Rollout) status(ctx context.Context, version ident.Version) []MemberStatus {
	self, view := r.config.Self(), r.config.View()
	var others []ident.MemberID
	for _, m := range view.Members {
		if m.ID != self.ID {
			others = append(others, m.ID)
		}
	}
	answers := r.queryVersions(ctx, others)
	now := r.config.Now()
	statuses := make([]MemberStatus, 0, len(view.Members))
	for _, m := range view.Members {
		s := MemberStatus{Member: m.ID, Region: m.Region, State: m.State}
		if m.ID == self.ID {
			s.Version, s.Answered = r.current.Load().version(), true
		} else {
			if s.Version, s.Answered = answers[m.ID]; !s.Answered {
				s.Version, s.SilentMS = r.confirmations.lastVersion(m.ID, now)
			}
		}
		s.Acknowledged = s.Answered && s.Version >= version
		statuses = append(statuses, s)
	}
	return statuses
}

// lastVersion returns the version that a member last reported and how many milliseconds ago, or -1 if it never did.
func (c *confirmations) lastVersion(id ident.MemberID, now time.Time) (ident.Version, int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if p, ok := c.peers[id]; ok {
		return p.version, now.Sub(p.asOf).Milliseconds()
	}
	return 0, -1
}

// Accepted reports whether a majority of the view has the version in force and every other member has acknowledged it or
// has been silent for longer than the freshness bound. The silence counts from the time at which a majority was first seen:
// from then on an older version on a silent member can't be confirmed by a majority, nor by the store, which has the new
// index.
func (r *Rollout) Accepted(ctx context.Context, version ident.Version) (bool, []MemberStatus, error) {
	if version == 0 {
		return false, nil, errors.New("check acceptance: version must be at least 1")
	}
	statuses := r.status(ctx, version)
	if err := ctx.Err(); err != nil {
		return false, statuses, fmt.Errorf("check acceptance: %w", err)
	}
	acknowledged := 0
	for _, s := range statuses {
		if s.Acknowledged {
			acknowledged++
		}
	}
	if acknowledged <= len(statuses)/2 {
		return false, statuses, nil
	}
	now := r.config.Now()
	sinceMajority := now.Sub(r.majorities.firstSeen(version, now))
	maxSilence := r.config.Freshness + r.config.Freshness/driftDivisor
	accepted := true
	for i := range statuses {
		s := &statuses[i]
		if s.Acknowledged {
			continue
		}
		if s.Answered {
			accepted = false // The member is reachable and has an older version.
			continue
		}
		silent := sinceMajority
		if s.SilentMS >= 0 {
			silent = min(silent, time.Duration(s.SilentMS)*time.Millisecond)
		}
		s.SilentMS = silent.Milliseconds()
		accepted = accepted && silent > maxSilence
	}
	return accepted, statuses, nil
}

// Await calls Accepted once per read interval until it returns true or the context ends.
func (r *Rollout) Await(ctx context.Context, version ident.Version) ([]MemberStatus, error) {
	for {
		accepted, statuses, err := r.Accepted(ctx, version)
		if err != nil || accepted {
			return statuses, err
		}
		select {
		case <-ctx.Done():
			return statuses, fmt.Errorf("wait until version %d is accepted: %w", version, ctx.Err())
		case <-time.After(r.config.ReadInterval):
		}
	}
}
