package claim

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// maxViews bounds the views remembered while members have not all settled.
	maxViews = 32
	// maxEvidence bounds the losses remembered; more of them make every key uncertain.
	maxEvidence = 8
)

// history is what this member knows of the views of its region. Claims granted in a view lie at a quorum of its
// holders, so a claim is found or ruled out by an overlapping set of them.
type history struct {
	current  member.View
	views    []wire.ClaimView                 // known views up to the current one, oldest first
	answered map[wire.ClaimHolder]bool        // members whose claims arrived at the current epoch, self included
	waiting  []wire.ClaimHolder               // members of the region that have not answered
	bases    map[wire.ClaimHolder]ident.Epoch // last epoch at which each answering member was settled
	settled  bool                             // nobody is waited for
	losses   []loss
}

// loss is evidence kept until the claims that may be lost have expired.
type loss struct {
	wire.ClaimEvidence
	until time.Time
}

func holderOf(m member.Member) wire.ClaimHolder {
	return wire.ClaimHolder{Member: m.ID, Incarnation: m.Incarnation}
}

func holderID(h wire.ClaimHolder) ident.MemberID { return h.Member }

// regionOf lists the members of a region.
func regionOf(v member.View, region ident.Region) []wire.ClaimHolder {
	var members []wire.ClaimHolder
	for _, m := range v.Members {
		if m.Region == region {
			members = append(members, holderOf(m))
		}
	}
	return members
}

// enter starts a new epoch. The caller holds the lock.
func (b *Book) enter(view member.View) {
	self := b.config.Self()
	me := holderOf(self)
	b.current = view
	b.settled = false
	b.answered = map[wire.ClaimHolder]bool{me: true}
	founded := view.Founded[self.Region]
	if len(b.views) == 0 && founded < view.Epoch && ident.Epoch(self.Incarnation) == founded {
		// This member founded the region, so nothing was claimed before. It may see its first view later than that.
		b.views = append(b.views, wire.ClaimView{
			Epoch: founded, Members: []wire.ClaimHolder{me}, Settled: []wire.ClaimHolder{me},
		})
	}
	b.bases = map[wire.ClaimHolder]ident.Epoch{me: b.base(me)}
	members := regionOf(view, self.Region)
	b.waiting = slices.DeleteFunc(slices.Clone(members), func(h wire.ClaimHolder) bool { return h == me })
	b.views = append(b.views, wire.ClaimView{Epoch: view.Epoch, Members: members})
	if len(b.views) > maxViews {
		b.views = b.views[len(b.views)-maxViews:]
	}
	if view.Epoch == 1 || view.Epoch == founded {
		// Nothing was claimed before the first view of the region.
		b.waiting = nil
		b.markSettled(members)
		for _, h := range members {
			b.answered[h] = true
		}
	}
	b.settle()
	b.epoch.Store(uint64(view.Epoch))
}

// base is the last known epoch at which a member was settled; 0 means never. The caller holds the lock.
func (b *Book) base(h wire.ClaimHolder) ident.Epoch {
	for _, v := range slices.Backward(b.views) {
		if slices.Contains(v.Settled, h) {
			return v.Epoch
		}
	}
	return 0
}

// learn takes over the views and losses that an answering member knows. The caller holds the lock.
func (b *Book) learn(from wire.ClaimHolder, views []wire.ClaimView, evidence []wire.ClaimEvidence, now time.Time) {
	b.answered[from] = true
	b.waiting = slices.DeleteFunc(b.waiting, func(h wire.ClaimHolder) bool { return h == from })
	for _, v := range views {
		if v.Epoch > b.current.Epoch {
			continue
		}
		i, found := slices.BinarySearchFunc(b.views, v.Epoch, func(o wire.ClaimView, e ident.Epoch) int {
			return int(int64(o.Epoch) - int64(e))
		})
		if !found {
			b.views = slices.Insert(b.views, i, wire.ClaimView{Epoch: v.Epoch, Members: slices.Clone(v.Members)})
		}
		for _, h := range v.Settled {
			if !slices.Contains(b.views[i].Settled, h) {
				b.views[i].Settled = append(b.views[i].Settled, h)
			}
		}
	}
	b.bases[from] = b.base(from)
	for _, e := range evidence {
		b.remember(loss{ClaimEvidence: e, until: now.Add(min(e.Remaining.Duration(), b.config.Retention))})
	}
	b.settle()
}

// settle ends the transfer once nobody is waited for. The caller holds the lock.
func (b *Book) settle() {
	if len(b.waiting) > 0 || b.settled {
		return
	}
	b.settled = true
	e := b.evidence()
	switch {
	case b.fresh():
		b.markSettled(b.views[len(b.views)-1].Members)
	case !trivial(e):
		b.remember(loss{ClaimEvidence: e, until: b.config.Now().Add(b.config.Retention)})
	}
	b.markSettled([]wire.ClaimHolder{holderOf(b.config.Self())})
	oldest := b.current.Epoch
	for _, base := range b.bases {
		oldest = min(oldest, base)
	}
	b.views = slices.DeleteFunc(b.views, func(v wire.ClaimView) bool { return v.Epoch < oldest })
}

// markSettled notes members as settled at the current epoch.
func (b *Book) markSettled(members []wire.ClaimHolder) {
	last := &b.views[len(b.views)-1]
	for _, h := range members {
		if !slices.Contains(last.Settled, h) {
			last.Settled = append(last.Settled, h)
		}
	}
}

// fresh reports whether the region is new: every member is in its first incarnation and none was ever settled. A
// region that lost all members isn't taken for new: those stay in the view as unreachable, and the incarnation of a
// member that joins after an operator removed them is the later epoch.
func (b *Book) fresh() bool {
	for _, v := range b.views {
		if len(v.Settled) > 0 {
			return false
		}
	}
	return !slices.ContainsFunc(b.views[len(b.views)-1].Members, func(h wire.ClaimHolder) bool { return h.Incarnation > 1 })
}

// evidence is what the answers so far prove; its last view is the current one. The caller holds the lock.
func (b *Book) evidence() wire.ClaimEvidence {
	var e wire.ClaimEvidence
	for _, v := range b.views {
		v.Members, v.Settled = slices.Clone(v.Members), slices.Clone(v.Settled)
		e.Views = append(e.Views, v)
	}
	for h := range b.answered {
		e.Answered = append(e.Answered, h)
	}
	return e
}

// remember keeps a loss. The caller holds the lock.
func (b *Book) remember(l loss) {
	now := b.config.Now()
	b.losses = slices.DeleteFunc(b.losses, func(o loss) bool { return !now.Before(o.until) })
	for i, o := range b.losses {
		// All members that settle at one epoch find the same; it comes back from each of them.
		if lastEpoch(o) == lastEpoch(l) {
			b.losses[i].until = later(o.until, l.until)
			return
		}
	}
	if len(b.losses) >= maxEvidence {
		// Evidence without views makes every key uncertain.
		b.losses = []loss{{until: now.Add(b.config.Retention)}}
		return
	}
	if len(b.losses) > 0 && len(b.losses[0].Views) == 0 {
		b.losses[0].until = later(b.losses[0].until, l.until)
		return
	}
	b.losses = append(b.losses, l)
}

// lastEpoch is the epoch at which the loss was found; 0 stands for one that covers every key.
func lastEpoch(l loss) ident.Epoch {
	if len(l.Views) == 0 {
		return 0
	}
	return l.Views[len(l.Views)-1].Epoch
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// report is the part of a transfer's first page that describes what this member knows. The caller holds the lock.
func (b *Book) report() ([]wire.ClaimView, []wire.ClaimEvidence) {
	views := b.evidence().Views
	var losses []wire.ClaimEvidence
	now := b.config.Now()
	for _, l := range b.losses {
		if now.Before(l.until) {
			l.Remaining = backend.ToMillis(l.until.Sub(now)) + 1
			losses = append(losses, l.ClaimEvidence)
		}
	}
	return views, losses
}

// judge reports whether this member may vote on a key, and whether no earlier claim of it can be lost.
func (b *Book) judge(key wire.ClaimKey) (ready, certain bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	now := b.config.Now()
	certain = true
	for _, l := range b.losses {
		if now.Before(l.until) && !proves(l.ClaimEvidence, key) {
			certain = false
		}
	}
	if b.settled {
		return true, certain
	}
	e := b.evidence()
	for _, v := range e.Views[:len(e.Views)-1] {
		for _, h := range first(slices.Clone(v.Members), key, holderID) {
			if slices.Contains(b.waiting, h) {
				return false, certain
			}
		}
	}
	_, found := floor(e, key)
	return found, certain && proves(e, key)
}

// floor is the last view in which an answering holder of the key had all its earlier claims.
func floor(e wire.ClaimEvidence, key wire.ClaimKey) (ident.Epoch, bool) {
	for _, v := range slices.Backward(e.Views) {
		for _, h := range first(slices.Clone(v.Members), key, holderID) {
			if slices.Contains(v.Settled, h) && slices.Contains(e.Answered, h) {
				return v.Epoch, true
			}
		}
	}
	return 0, false
}

// proves reports whether no claim of the key can be lost: from the floor on, the answering holders of every view
// before the last meet every quorum of it. Claims of the last view itself are met by its own votes.
func proves(e wire.ClaimEvidence, key wire.ClaimKey) bool {
	from, found := floor(e, key)
	if !found {
		return false
	}
	for _, v := range e.Views[:len(e.Views)-1] {
		holders, answers := first(slices.Clone(v.Members), key, holderID), 0
		for _, h := range holders {
			if slices.Contains(e.Answered, h) {
				answers++
			}
		}
		if v.Epoch >= from && len(holders) > 0 && answers < overlap(len(holders)) {
			return false
		}
	}
	return true
}

// trivial reports whether the evidence proves every key, whatever its holders are.
func trivial(e wire.ClaimEvidence) bool {
	for i, v := range e.Views {
		ok := enough(v.Members, func(h wire.ClaimHolder) bool {
			return slices.Contains(v.Settled, h) && slices.Contains(e.Answered, h)
		}, func(int) int { return 1 })
		for _, later := range e.Views[i : len(e.Views)-1] {
			ok = ok && enough(later.Members, func(h wire.ClaimHolder) bool { return slices.Contains(e.Answered, h) }, overlap)
		}
		if ok {
			return true
		}
	}
	return false
}

// enough reports whether any choice of holders among the members has the needed number that pass.
func enough(members []wire.ClaimHolder, pass func(wire.ClaimHolder) bool, need func(holders int) int) bool {
	failing := 0
	for _, h := range members {
		if !pass(h) {
			failing++
		}
	}
	holders := min(len(members), holderCount)
	return holders-min(failing, holders) >= need(holders) || holders == 0
}
