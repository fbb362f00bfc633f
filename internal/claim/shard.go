package claim

import (
	"slices"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
)

const (
	// shardCount is the number of locks.
	shardCount = 64
	// barLife is how long a released nonce is refused; it exceeds the delay of any acquire that is still on its way.
	barLife = 10 * time.Minute
	// maxRivals bounds the claims kept for one key; more than three can't come from three holders.
	maxRivals = 4
)

// shard holds the claims whose key falls on it. One key has several claims only after votes were split.
type shard struct {
	lock    sync.Mutex
	entries map[wire.ClaimKey][]wire.Claim
	touched map[wire.ClaimKey]time.Time // last change of a key
	barred  map[string]struct{}         // nonces that get no vote
	expiry  []expiring                  // in order of time
	bars    []expiring
}

// expiring is a key or a barred nonce together with the time from which its life counts.
type expiring struct {
	key   wire.ClaimKey
	nonce string
	since time.Time
}

func (b *Book) shard(key wire.ClaimKey) *shard { return &b.shards[hash(key)%shardCount] }

// sweep drops expired claims and bars. The caller holds the lock.
func (b *Book) sweep(s *shard, now time.Time) {
	for len(s.expiry) > 0 && now.Sub(s.expiry[0].since) >= b.config.Retention {
		e := s.expiry[0]
		s.expiry = s.expiry[1:]
		if s.touched[e.key].Equal(e.since) {
			b.account(s.entries[e.key], nil)
			delete(s.entries, e.key)
			delete(s.touched, e.key)
		}
	}
	for len(s.bars) > 0 && now.Sub(s.bars[0].since) >= min(barLife, b.config.Retention) {
		delete(s.barred, s.bars[0].nonce)
		s.bars = s.bars[1:]
		b.kept.Add(-1)
	}
}

// put replaces the claims of a key. The caller holds the lock.
func (b *Book) put(s *shard, key wire.ClaimKey, claims []wire.Claim, now time.Time) {
	b.account(s.entries[key], claims)
	if len(claims) == 0 {
		delete(s.entries, key)
		delete(s.touched, key)
		return
	}
	s.entries[key] = claims
	if !s.touched[key].Equal(now) {
		s.touched[key] = now
		s.expiry = append(s.expiry, expiring{key: key, since: now})
	}
}

// account updates the totals when claims replace others.
func (b *Book) account(old, fresh []wire.Claim) {
	b.kept.Add(int64(len(fresh) - len(old)))
	b.bytes.Add(int64(answerBytes(fresh) - answerBytes(old)))
}

func answerBytes(claims []wire.Claim) int {
	n := 0
	for _, c := range claims {
		n += len(c.Answer)
	}
	return n
}

// bar refuses a nonce from now on. The caller holds the lock.
func (b *Book) bar(s *shard, nonce string, now time.Time) {
	if _, ok := s.barred[nonce]; ok {
		return
	}
	s.barred[nonce] = struct{}{}
	s.bars = append(s.bars, expiring{nonce: nonce, since: now})
	b.kept.Add(1)
}

// merge adds what another holder keeps of a key: a complete claim replaces everything, and a rival is kept besides
// the own claims, so that the release of one leaves the other. The caller holds the lock.
func (b *Book) merge(s *shard, c wire.Claim, now time.Time) {
	old := s.entries[c.ClaimKey]
	i := slices.IndexFunc(old, func(o wire.Claim) bool { return o.Nonce == c.Nonce })
	switch {
	case len(old) > 0 && old[0].State == wire.ClaimComplete:
	case c.State == wire.ClaimComplete:
		b.put(s, c.ClaimKey, []wire.Claim{c}, now)
	case c.State == wire.ClaimHeld && i < 0 && len(old) < maxRivals:
		b.put(s, c.ClaimKey, append(slices.Clone(old), c), now)
	}
}

// prune expires claims of all shards.
func (b *Book) prune() {
	now := b.config.Now()
	for i := range b.shards {
		s := &b.shards[i]
		s.lock.Lock()
		b.sweep(s, now)
		s.lock.Unlock()
	}
}
