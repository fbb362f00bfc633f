package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
)

const (
	// shardCount reduces lock contention between requests with different keys.
	shardCount = 64
	// tombstoneLifetime is how long a released nonce is refused. It exceeds the delay of any acquire that is still in
	// flight.
	tombstoneLifetime = 10 * time.Minute
	// maxClaimsPerKey bounds the claims kept for one key; three holders can't vote for more than three.
	maxClaimsPerKey = 4
)

// shard holds the claims whose keys hash to it. A key has several claims only after a split vote.
type shard struct {
	lock            sync.Mutex
	entries         map[wire.ClaimKey][]wire.Claim
	lastChange      map[wire.ClaimKey]time.Time // last change of a key
	tombstones      map[string]struct{}         // nonces that never get a vote
	claimExpiry     []expiryEntry               // oldest first
	tombstoneExpiry []expiryEntry
}

// expiryEntry is a key or a nonce with a tombstone, and the time at which its lifetime started.
type expiryEntry struct {
	key   wire.ClaimKey
	nonce string
	since time.Time
}

func (t *Table) shard(key wire.ClaimKey) *shard { return &t.shards[keyHash(key)%shardCount] }

// sweep drops expired claims and tombstones. The caller holds the lock.
func (t *Table) sweep(s *shard, now time.Time) {
	for len(s.claimExpiry) > 0 && now.Sub(s.claimExpiry[0].since) >= t.config.Retention {
		e := s.claimExpiry[0]
		s.claimExpiry = s.claimExpiry[1:]
		if s.lastChange[e.key].Equal(e.since) {
			t.updateTotals(s.entries[e.key], nil)
			delete(s.entries, e.key)
			delete(s.lastChange, e.key)
		}
	}
	for len(s.tombstoneExpiry) > 0 && now.Sub(s.tombstoneExpiry[0].since) >= min(tombstoneLifetime, t.config.Retention) {
		delete(s.tombstones, s.tombstoneExpiry[0].nonce)
		s.tombstoneExpiry = s.tombstoneExpiry[1:]
		t.keptCount.Add(-1)
	}
}

// put replaces the claims of a key. The caller holds the lock.
func (t *Table) put(s *shard, key wire.ClaimKey, claims []wire.Claim, now time.Time) {
	t.updateTotals(s.entries[key], claims)
	if len(claims) == 0 {
		delete(s.entries, key)
		delete(s.lastChange, key)
		return
	}
	s.entries[key] = claims
	if !s.lastChange[key].Equal(now) {
		s.lastChange[key] = now
		s.claimExpiry = append(s.claimExpiry, expiryEntry{key: key, since: now})
	}
}

// updateTotals adjusts keptCount and keptAnswerBytes when claims replace others.
func (t *Table) updateTotals(old, updated []wire.Claim) {
	t.keptCount.Add(int64(len(updated) - len(old)))
	t.keptAnswerBytes.Add(int64(answerBytes(updated) - answerBytes(old)))
}

func answerBytes(claims []wire.Claim) int {
	n := 0
	for _, c := range claims {
		n += len(c.Answer)
	}
	return n
}

// addTombstone makes this holder refuse a nonce from now on. The caller holds the lock.
func (t *Table) addTombstone(s *shard, nonce string, now time.Time) {
	if _, ok := s.tombstones[nonce]; ok {
		return
	}
	s.tombstones[nonce] = struct{}{}
	s.tombstoneExpiry = append(s.tombstoneExpiry, expiryEntry{nonce: nonce, since: now})
	t.keptCount.Add(1)
}

// merge adds a claim from another holder. A complete claim replaces all others of its key; a rival is kept next to the
// existing claims, so that the release of one leaves the other. The caller holds the lock.
func (t *Table) merge(s *shard, c wire.Claim, now time.Time) {
	old := s.entries[c.ClaimKey]
	i := slices.IndexFunc(old, func(o wire.Claim) bool { return o.Nonce == c.Nonce })
	switch {
	case len(old) > 0 && old[0].State == wire.ClaimComplete:
	case c.State == wire.ClaimComplete:
		t.put(s, c.ClaimKey, []wire.Claim{c}, now)
	case c.State == wire.ClaimHeld && i < 0 && len(old) < maxClaimsPerKey:
		t.put(s, c.ClaimKey, append(slices.Clone(old), c), now)
	}
}

// sweepAll drops expired claims and tombstones of all shards.
func (t *Table) sweepAll() {
	now := t.config.Now()
	for i := range t.shards {
		s := &t.shards[i]
		s.lock.Lock()
		t.sweep(s, now)
		s.lock.Unlock()
	}
}
