package rollout

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// confirmations holds the latest confirmations of the newest version by the store and by peers. Each time is taken before
// the request was sent, because the reply may describe the state at any moment after it.
type confirmations struct {
	mutex        sync.Mutex
	storeAsOf    time.Time
	storeVersion ident.Version // 0 if the store doesn't hold the index in force
	peers        map[ident.MemberID]confirmation
	wasFresh     bool // this daemon has been fresh at least once since its start
	rotation     int  // rotates the order in which peers are asked
}

// confirmation is the version that a peer reported as its newest.
type confirmation struct {
	member  ident.MemberID
	version ident.Version
	asOf    time.Time
	since   time.Time // when the peer first reported this version
}

// recordPeer records the version that a peer confirmed. Version 0 comes from a peer that can't confirm its version and is
// ignored.
func (c *confirmations) recordPeer(id ident.MemberID, version ident.Version, sentAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.peers == nil {
		c.peers = make(map[ident.MemberID]confirmation)
	}
	previous := c.peers[id]
	if version == 0 || sentAt.Before(previous.asOf) {
		return
	}
	since := sentAt
	if previous.version == version {
		since = previous.since
	}
	c.peers[id] = confirmation{member: id, version: version, asOf: sentAt, since: since}
}

// recordStore records that the store held the version as its newest when the request was sent.
func (c *confirmations) recordStore(version ident.Version, sentAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version > c.storeVersion || version == c.storeVersion && sentAt.After(c.storeAsOf) {
		c.storeAsOf, c.storeVersion = sentAt, version
	}
}

// renewStore renews the confirmation by the store after a watch without events.
func (c *confirmations) renewStore(sentAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.storeVersion > 0 && sentAt.After(c.storeAsOf) {
		c.storeAsOf = sentAt
	}
}

// clearStore drops the confirmation by the store, because the store doesn't hold the index in force.
func (c *confirmations) clearStore() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.storeVersion = 0
}

// newerPeers returns the confirmations of members with a version above the given one, the newest first.
func (c *confirmations) newerPeers(version ident.Version, view member.View) []confirmation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var newer []confirmation
	for _, p := range c.peers {
		if _, ok := view.Find(p.member); ok && p.version > version {
			newer = append(newer, p)
		}
	}
	slices.SortFunc(newer, func(a, b confirmation) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.member, b.member))
	})
	return newer
}

// Fresh reports whether this daemon has confirmed within the freshness bound that its configuration is the newest. It may
// admit work that needs a key only while it is fresh.
func (r *Rollout) Fresh() bool {
	now, version, epoch := r.config.Now(), r.current.Load().version(), r.config.View().Epoch
	if c := r.cachedFreshness.Load(); c != nil && c.version == version && c.epoch == epoch && now.Before(c.until) {
		return true
	}
	until := r.freshUntil()
	r.cachedFreshness.Store(&cachedFreshness{until: until, version: version, epoch: epoch})
	return now.Before(until)
}

// cachedFreshness is a cached result of freshUntil. It stays valid until it expires, because later replies can't change
// what was confirmed for an earlier moment; another version or view needs a new result.
type cachedFreshness struct {
	until   time.Time
	version ident.Version
	epoch   ident.Epoch
}

// freshUntil returns when the confirmations expire, or the zero time if there are none.
func (r *Rollout) freshUntil() time.Time {
	version, self, view, now := r.current.Load().version(), r.config.Self(), r.config.View(), r.config.Now()
	if version == 0 {
		return time.Time{}
	}
	r.confirmations.mutex.Lock()
	defer r.confirmations.mutex.Unlock()
	var until time.Time
	if r.confirmations.storeVersion == version {
		until = r.confirmations.storeAsOf.Add(r.config.Freshness)
	}
	if at, ok := r.confirmations.majorityAsOf(version, self, view, now); ok && at.Add(r.config.Freshness).After(until) {
		until = at.Add(r.config.Freshness)
	}
	if now.Before(until) {
		r.confirmations.wasFresh = true
	}
	return until
}

// majorityAsOf returns the latest time as of which a majority of the view is known to have no version above the given one.
// A daemon that hasn't been fresh since its start doesn't count itself, because it may have acknowledged a newer version
// before it restarted.
func (c *confirmations) majorityAsOf(version ident.Version, self member.Member, view member.View, now time.Time) (time.Time, bool) {
	var times []time.Time
	for _, m := range view.Members {
		switch p, ok := c.peers[m.ID]; {
		case m.ID == self.ID:
			if c.wasFresh && m.Incarnation == self.Incarnation {
				times = append(times, now)
			}
		case ok && p.version <= version:
			times = append(times, p.asOf)
		}
	}
	quorum := len(view.Members)/2 + 1
	if len(times) < quorum {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum-1], true
}

// confirmedVersion returns the version in force, or 0 until this daemon has been fresh once. A restarted daemon may have
// pulled an old version from a peer, so it must not confirm that version to others.
func (r *Rollout) confirmedVersion() ident.Version {
	r.freshUntil()
	r.confirmations.mutex.Lock()
	defer r.confirmations.mutex.Unlock()
	if !r.confirmations.wasFresh {
		return 0
	}
	return r.current.Load().version()
}

// confirm renews the freshness when half of its bound has passed: by a majority of the view, otherwise by the store.
func (r *Rollout) confirm(ctx context.Context) {
	if r.recentlyConfirmed() {
		return
	}
	peers := r.peersToQuery()
	need := len(r.config.View().Members) / 2
	for len(peers) > 0 && !r.recentlyConfirmed() && ctx.Err() == nil {
		n := min(max(need, 1), len(peers))
		r.queryVersions(ctx, peers[:n])
		peers = peers[n:]
	}
	r.catchUp(ctx, "") // There may be no majority because a peer reported a newer version.
	if r.recentlyConfirmed() || ctx.Err() != nil {
		return
	}
	if _, err := r.readIndex(ctx); err != nil && ctx.Err() == nil {
		r.counts.StoreFailures.Add(1)
	}
}

// recentlyConfirmed reports whether more than half of the freshness bound is left.
func (r *Rollout) recentlyConfirmed() bool {
	return r.freshUntil().Sub(r.config.Now()) > r.config.Freshness/2
}

// peersToQuery lists the other members except those that answered within the read interval. Members of this daemon's region
// come first, and the order within and outside it is rotated by one per round.
func (r *Rollout) peersToQuery() []ident.MemberID {
	self, now := r.config.Self(), r.config.Now()
	var sameRegion, otherRegions []ident.MemberID
	r.confirmations.mutex.Lock()
	defer r.confirmations.mutex.Unlock()
	for _, m := range r.config.View().Members {
		p, ok := r.confirmations.peers[m.ID]
		switch {
		case m.ID == self.ID || ok && now.Sub(p.asOf) < r.config.ReadInterval:
		case m.Region == self.Region:
			sameRegion = append(sameRegion, m.ID)
		default:
			otherRegions = append(otherRegions, m.ID)
		}
	}
	r.confirmations.rotation++
	return append(rotate(sameRegion, r.confirmations.rotation), rotate(otherRegions, r.confirmations.rotation)...)
}

// rotate returns a copy of ids that starts at position n, modulo their number.
func rotate(ids []ident.MemberID, n int) []ident.MemberID {
	if len(ids) == 0 {
		return nil
	}
	n %= len(ids)
	return append(slices.Clone(ids[n:]), ids[:n]...)
}

// queryVersions asks members for their version and returns the answers. Members that don't answer are missing from them.
func (r *Rollout) queryVersions(ctx context.Context, members []ident.MemberID) map[ident.MemberID]ident.Version {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mutex sync.Mutex
	answers := make(map[ident.MemberID]ident.Version, len(members))
	var group errgroup.Group
	for _, id := range members {
		group.Go(func() error {
			sentAt := r.config.Now()
			r.counts.VersionCalls.Add(1)
			reply, err := r.config.Version(ctx, id, wire.ConfigVersionRequest{Sender: r.sender()})
			if err != nil {
				return nil
			}
			r.confirmations.recordPeer(id, reply.Version, sentAt)
			mutex.Lock()
			defer mutex.Unlock()
			answers[id] = reply.Version
			return nil
		})
	}
	_ = group.Wait()
	return answers
}
