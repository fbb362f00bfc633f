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

// words is what the store and the peers last said about the newest version. Every time is taken before the
// request was sent, because the answer may describe any moment after it.
type words struct {
	mutex        sync.Mutex
	store        time.Time
	storeVersion ident.Version // 0 when the store doesn't hold the index in force
	peers        map[ident.MemberID]word
	vouched      bool // this daemon was fresh at least once since it started
	turn         int  // rotates the peers that are asked
}

type word struct {
	member  ident.MemberID
	version ident.Version
	at      time.Time
	since   time.Time // when this version was first heard of
}

// hear records the version that a peer has confirmed. Version 0 comes from a peer that can't vouch for what it holds.
func (w *words) hear(id ident.MemberID, version ident.Version, before time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.peers == nil {
		w.peers = make(map[ident.MemberID]word)
	}
	old := w.peers[id]
	if version == 0 || before.Before(old.at) {
		return
	}
	since := before
	if old.version == version {
		since = old.since
	}
	w.peers[id] = word{member: id, version: version, at: before, since: since}
}

func (w *words) storeConfirms(version ident.Version, before time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if version > w.storeVersion || version == w.storeVersion && before.After(w.store) {
		w.store, w.storeVersion = before, version
	}
}

// storeAgain renews the last confirmation after a watch without events.
func (w *words) storeAgain(before time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.storeVersion > 0 && before.After(w.store) {
		w.store = before
	}
}

func (w *words) storeLost() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.storeVersion = 0
}

// newer lists the members of the view that hold more than a version, the newest first.
func (w *words) newer(version ident.Version, view member.View) []word {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var newer []word
	for _, p := range w.peers {
		if _, ok := view.Find(p.member); ok && p.version > version {
			newer = append(newer, p)
		}
	}
	slices.SortFunc(newer, func(a, b word) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.member, b.member))
	})
	return newer
}

// Fresh reports whether this daemon has confirmed within the freshness bound that its configuration is current. Only
// then may it admit keyed work.
func (r *Rollout) Fresh() bool {
	now, version, epoch := r.config.Now(), r.held.Load().version(), r.config.View().Epoch
	if c := r.cached.Load(); c != nil && c.version == version && c.epoch == epoch && now.Before(c.until) {
		return true
	}
	until := r.freshUntil()
	r.cached.Store(&freshness{until: until, version: version, epoch: epoch})
	return now.Before(until)
}

// freshness is a result of freshUntil. It stays true until it lapses, because later answers can't change what was
// confirmed for an earlier moment; another version or view needs its own.
type freshness struct {
	until   time.Time
	version ident.Version
	epoch   ident.Epoch
}

// freshUntil returns when the confirmations lapse; the zero time means that there is none.
func (r *Rollout) freshUntil() time.Time {
	version, self, view, now := r.held.Load().version(), r.config.Self(), r.config.View(), r.config.Now()
	if version == 0 {
		return time.Time{}
	}
	r.words.mutex.Lock()
	defer r.words.mutex.Unlock()
	var until time.Time
	if r.words.storeVersion == version {
		until = r.words.store.Add(r.config.Freshness)
	}
	if at, ok := r.words.majority(version, self, view, now); ok && at.Add(r.config.Freshness).After(until) {
		until = at.Add(r.config.Freshness)
	}
	if now.Before(until) {
		r.words.vouched = true
	}
	return until
}

// majority returns the time since when a majority of the view is known to hold nothing above the version. A daemon
// that has not been fresh since its start doesn't count itself: it may have acknowledged a newer version before.
func (w *words) majority(version ident.Version, self member.Member, view member.View, now time.Time) (time.Time, bool) {
	var times []time.Time
	for _, m := range view.Members {
		switch p, ok := w.peers[m.ID]; {
		case m.ID == self.ID:
			if w.vouched && m.Incarnation == self.Incarnation {
				times = append(times, now)
			}
		case ok && p.version <= version:
			times = append(times, p.at)
		}
	}
	need := len(view.Members)/2 + 1
	if len(times) < need {
		return time.Time{}, false
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1], true
}

// confirmedVersion returns the version in force, or 0 until this daemon has been fresh once. A restarted daemon may
// have got an old version from a peer, so its word must not confirm that version to others.
func (r *Rollout) confirmedVersion() ident.Version {
	r.freshUntil()
	r.words.mutex.Lock()
	defer r.words.mutex.Unlock()
	if !r.words.vouched {
		return 0
	}
	return r.held.Load().version()
}

// confirm renews the freshness when half of the bound is used up: by a majority of the view, otherwise by the store.
func (r *Rollout) confirm(ctx context.Context) {
	if r.settled() {
		return
	}
	peers := r.peersToAsk()
	need := len(r.config.View().Members) / 2
	for len(peers) > 0 && !r.settled() && ctx.Err() == nil {
		n := min(max(need, 1), len(peers))
		r.ask(ctx, peers[:n])
		peers = peers[n:]
	}
	r.catchUp(ctx, "") // A peer may have named a newer version, which explains a missing majority.
	if r.settled() || ctx.Err() != nil {
		return
	}
	if _, err := r.readIndex(ctx); err != nil && ctx.Err() == nil {
		r.counts.StoreFailures.Add(1)
	}
}

// settled reports whether more than half of the freshness bound is left.
func (r *Rollout) settled() bool {
	return r.freshUntil().Sub(r.config.Now()) > r.config.Freshness/2
}

// peersToAsk lists the other members, those of the own region first, each region rotated by one per round, without
// those that have answered within the read interval.
func (r *Rollout) peersToAsk() []ident.MemberID {
	self, now := r.config.Self(), r.config.Now()
	var near, far []ident.MemberID
	r.words.mutex.Lock()
	defer r.words.mutex.Unlock()
	for _, m := range r.config.View().Members {
		p, ok := r.words.peers[m.ID]
		switch {
		case m.ID == self.ID || ok && now.Sub(p.at) < r.config.ReadInterval:
		case m.Region == self.Region:
			near = append(near, m.ID)
		default:
			far = append(far, m.ID)
		}
	}
	r.words.turn++
	return append(rotate(near, r.words.turn), rotate(far, r.words.turn)...)
}

func rotate(ids []ident.MemberID, n int) []ident.MemberID {
	if len(ids) == 0 {
		return nil
	}
	n %= len(ids)
	return append(slices.Clone(ids[n:]), ids[:n]...)
}

// ask asks members for their version and returns the answers; members that don't answer are missing.
func (r *Rollout) ask(ctx context.Context, members []ident.MemberID) map[ident.MemberID]ident.Version {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mutex sync.Mutex
	answers := make(map[ident.MemberID]ident.Version, len(members))
	var group errgroup.Group
	for _, id := range members {
		group.Go(func() error {
			before := r.config.Now()
			r.counts.VersionCalls.Add(1)
			reply, err := r.config.Version(ctx, id, wire.ConfigVersionRequest{Sender: r.sender()})
			if err != nil {
				return nil
			}
			r.words.hear(id, reply.Version, before)
			mutex.Lock()
			defer mutex.Unlock()
			answers[id] = reply.Version
			return nil
		})
	}
	_ = group.Wait()
	return answers
}
