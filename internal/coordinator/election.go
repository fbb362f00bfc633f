package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// electionInterval is the longest pause between two checks of the view.
	electionInterval = 150 * time.Millisecond
	// stabilizationTime is how long the store must have responded after a failure before a missing presence record counts,
	// so that a leader whose lease expired in the meantime can write its record again.
	stabilizationTime = 1200 * time.Millisecond
	// latencyFactor times the store's latency is added to a candidate's takeover delay, so that the candidate with the fastest
	// access to the store takes over first.
	latencyFactor = 5
	// maxLatencyDelay bounds the part of a candidate's takeover delay that depends on the store's latency.
	maxLatencyDelay = 200 * time.Millisecond
	// maxViewAge is the age above which a view is too old for a takeover.
	maxViewAge = 2 * viewWatchTimeout
)

// runElections takes over whenever the leadership is vacant, and runs the term.
func (c *Coordinator) runElections(ctx context.Context) error {
	var vacantSince time.Time // when this daemon first saw the leadership vacant
	for ctx.Err() == nil {
		timer := time.NewTimer(electionInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-c.view.changed:
			timer.Stop()
		case <-timer.C:
		}
		v := c.view.get()
		precondition, ok := c.canTakeOver(&v)
		if !ok {
			vacantSince = time.Time{}
			continue
		}
		now := c.now()
		if vacantSince.IsZero() {
			vacantSince = now
		}
		if wait := c.takeoverDelay(&v) - now.Sub(vacantSince); wait > 0 {
			sleep(ctx, min(wait, electionInterval))
			continue
		}
		if t := c.takeOver(ctx, &v, precondition); t != nil {
			c.runTerm(ctx, t)
		}
		vacantSince = time.Time{}
	}
	return nil
}

// canTakeOver reports whether the leadership is vacant as far as this daemon can tell. It also returns the precondition
// of the takeover on the presence record of the former leader's member, which has no key if the leader record is marked as
// vacant.
func (c *Coordinator) canTakeOver(v *cellState) (platform.Precondition, bool) {
	now := c.now()
	c.mu.Lock()
	leaving := c.leaving
	c.mu.Unlock()
	if leaving || v.reachableSince.IsZero() || now.Sub(v.confirmedAt) > maxViewAge || c.config.Policy.Current().Policy == nil {
		return platform.Precondition{}, false
	}
	if _, recorded := c.presence.precondition(); !recorded {
		return platform.Precondition{}, false // other daemons would at once take over from a leader without a presence record
	}
	alive, revision := v.leaderPresent()
	// The record may be this daemon's own if the response to its takeover was lost.
	if v.leader.Epoch > 0 && alive && v.leader.Incarnation != c.incarnation {
		return platform.Precondition{}, false
	}
	if v.leader.Vacant {
		return platform.Precondition{}, true
	}
	return platform.Precondition{Key: presencePrefix + string(v.leader.Member), Revision: revision}, true
}

// takeoverDelay returns how long this daemon waits, so that better candidates take over first.
func (c *Coordinator) takeoverDelay(v *cellState) time.Duration {
	if v.leader.Epoch == 0 {
		return 0
	}
	delay := c.config.ElectionDelay + min(latencyFactor*c.presence.storeLatency(), maxLatencyDelay)
	if _, present := v.members[v.leader.Member]; !present && !v.leader.Vacant {
		if reachable := c.now().Sub(v.reachableSince); reachable < stabilizationTime {
			delay += stabilizationTime - reachable
		}
	}
	return delay
}

// nextEpoch returns the epoch of the term after the one of a former leader, or of the first term.
func nextEpoch(former ident.Epoch) ident.Epoch {
	if former == 0 {
		return 1
	}
	return former + epochsPerTerm
}

// takeOver writes this daemon into the leader record. It returns nil if another daemon was faster or the store failed.
func (c *Coordinator) takeOver(ctx context.Context, v *cellState, precondition platform.Precondition) *term {
	record := LeaderRecord{
		Member: c.config.Member, Incarnation: c.incarnation, Address: c.config.Address, Epoch: nextEpoch(v.leader.Epoch),
	}
	value, err := json.Marshal(record)
	if err != nil {
		c.config.Log.Error(err, "encode the leader record")
		return nil
	}
	t := platform.Transaction{
		Preconditions: []platform.Precondition{{Key: leaderKey, Revision: v.leaderRevision}},
		Writes:        []platform.Write{{Key: leaderKey, Value: value}},
	}
	if v.leader.Epoch > 0 && precondition.Key != "" {
		t.Preconditions = append(t.Preconditions, precondition)
	}
	own, recorded := c.presence.precondition()
	if recorded && own.Key != precondition.Key {
		t.Preconditions = append(t.Preconditions, own)
	}
	sentAt := c.now()
	revision, err := c.config.Store.Transact(ctx, t)
	if err != nil {
		if !errors.Is(err, platform.ErrConflict) {
			c.config.Log.Info("takeover failed", "epoch", uint64(record.Epoch), "error", err.Error())
		}
		// If the response was lost, the view shows whether the write took effect.
		sleep(ctx, watchRetryDelay)
		return nil
	}
	former := v.formerLeaders(recorded && c.knownTo.holds(v.leader.Epoch, own.Revision))
	c.config.Log.Info("took over", "epoch", uint64(record.Epoch), "former", string(v.leader.Member), "former-leaders", former.String(),
		"view-age", c.now().Sub(v.confirmedAt).String())
	m := newTerm(c, record, revision, sentAt, former)
	if recorded {
		m.presenceRevision = own.Revision
	}
	return m
}

// runTerm runs a term until it ends.
func (c *Coordinator) runTerm(ctx context.Context, t *term) {
	c.mu.Lock()
	c.term, c.latestEpoch = t, t.leader.Epoch
	c.mu.Unlock()
	c.presence.setLeading(true)
	reason := t.run(ctx)
	c.presence.setLeading(false)
	c.mu.Lock()
	c.term = nil
	c.mu.Unlock()
	c.config.Log.Info("term ended", "epoch", uint64(t.leader.Epoch), "reason", reason)
}

// peerAddresses returns the addresses of the other daemons that are present.
func (c *Coordinator) peerAddresses() map[ident.MemberID]string {
	v := c.view.get()
	out := make(map[ident.MemberID]string, len(v.members))
	for m, a := range v.members {
		if m != c.config.Member {
			out[m] = a.Address
		}
	}
	return out
}
