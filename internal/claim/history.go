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
	// maxViews bounds the views kept while not all members have settled.
	maxViews = 32
	// maxLosses bounds the possible losses kept; with more of them every key counts as uncertain.
	maxLosses = 8
)

// viewHistory is what this member knows about the views of its region. A claim granted in a view is kept by a quorum of
// its holders in that view, so a read quorum of them finds the claim or rules it out. A member is settled at an epoch once
// its transfer at that epoch has ended: it then has all earlier claims that it must hold in that view, except those that a
// possible loss covers.
type viewHistory struct {
	current        member.View
	views          []wire.ClaimView                 // known views up to and including the current one, oldest first
	answered       map[wire.ClaimHolder]bool        // members whose claims arrived at the current epoch, including this member
	unanswered     []wire.ClaimHolder               // members of the region whose claims have not arrived yet
	settledEpochs  map[wire.ClaimHolder]ident.Epoch // last epoch at which each answered member was settled; 0 means never
	settled        bool                             // the transfer at the current epoch has ended
	possibleLosses []possibleLoss
}

// possibleLoss is evidence that claims may have been lost. It is kept until these claims would have expired.
type possibleLoss struct {
	wire.ClaimEvidence
	until time.Time
}

func holderOf(m member.Member) wire.ClaimHolder {
	return wire.ClaimHolder{Member: m.ID, Incarnation: m.Incarnation}
}

func holderID(h wire.ClaimHolder) ident.MemberID { return h.Member }

// regionMembers returns the members of a region in the view.
func regionMembers(v member.View, region ident.Region) []wire.ClaimHolder {
	var members []wire.ClaimHolder
	for _, m := range v.Members {
		if m.Region == region {
			members = append(members, holderOf(m))
		}
	}
	return members
}

// enterView makes a view the current one and prepares its transfer. The caller holds the lock.
func (t *Table) enterView(view member.View) {
	self := t.config.Self()
	selfHolder := holderOf(self)
	t.current = view
	t.settled = false
	t.answered = map[wire.ClaimHolder]bool{selfHolder: true}
	firstEpoch := view.RegionFirstEpoch[self.Region]
	if len(t.views) == 0 && firstEpoch < view.Epoch && ident.Epoch(self.Incarnation) == firstEpoch {
		// This member was the first of the region, so nothing was claimed before it joined. The first view that it sees may
		// be a later one.
		t.views = append(t.views, wire.ClaimView{
			Epoch: firstEpoch, Members: []wire.ClaimHolder{selfHolder}, Settled: []wire.ClaimHolder{selfHolder},
		})
	}
	t.settledEpochs = map[wire.ClaimHolder]ident.Epoch{selfHolder: t.lastSettledEpoch(selfHolder)}
	members := regionMembers(view, self.Region)
	t.unanswered = slices.DeleteFunc(slices.Clone(members), func(h wire.ClaimHolder) bool { return h == selfHolder })
	t.views = append(t.views, wire.ClaimView{Epoch: view.Epoch, Members: members})
	if len(t.views) > maxViews {
		t.views = t.views[len(t.views)-maxViews:]
	}
	if view.Epoch == 1 || view.Epoch == firstEpoch {
		// Nothing was claimed before the first view of the region.
		t.unanswered = nil
		t.markSettled(members)
		for _, h := range members {
			t.answered[h] = true
		}
	}
	t.finishTransfer()
	t.epoch.Store(uint64(view.Epoch))
}

// lastSettledEpoch returns the last known epoch at which a member was settled; 0 means never. The caller holds the lock.
func (t *Table) lastSettledEpoch(h wire.ClaimHolder) ident.Epoch {
	for _, v := range slices.Backward(t.views) {
		if slices.Contains(v.Settled, h) {
			return v.Epoch
		}
	}
	return 0
}

// addAnswer records that a member's claims have arrived, and adds the views and possible losses that it knows. The caller
// holds the lock.
func (t *Table) addAnswer(from wire.ClaimHolder, views []wire.ClaimView, evidence []wire.ClaimEvidence, now time.Time) {
	t.answered[from] = true
	t.unanswered = slices.DeleteFunc(t.unanswered, func(h wire.ClaimHolder) bool { return h == from })
	for _, v := range views {
		if v.Epoch > t.current.Epoch {
			continue
		}
		i, found := slices.BinarySearchFunc(t.views, v.Epoch, func(o wire.ClaimView, e ident.Epoch) int {
			return int(int64(o.Epoch) - int64(e))
		})
		if !found {
			t.views = slices.Insert(t.views, i, wire.ClaimView{Epoch: v.Epoch, Members: slices.Clone(v.Members)})
		}
		for _, h := range v.Settled {
			if !slices.Contains(t.views[i].Settled, h) {
				t.views[i].Settled = append(t.views[i].Settled, h)
			}
		}
	}
	t.settledEpochs[from] = t.lastSettledEpoch(from)
	for _, e := range evidence {
		t.addLoss(possibleLoss{ClaimEvidence: e, until: now.Add(min(e.Remaining.Duration(), t.config.Retention))})
	}
	t.finishTransfer()
}

// finishTransfer ends the transfer once all members have answered. It records a possible loss if the answers don't prove
// that every earlier claim has arrived. The caller holds the lock.
func (t *Table) finishTransfer() {
	if len(t.unanswered) > 0 || t.settled {
		return
	}
	t.settled = true
	e := t.evidence()
	switch {
	case t.isNewRegion():
		t.markSettled(t.views[len(t.views)-1].Members)
	case !provesAllKeys(e):
		t.addLoss(possibleLoss{ClaimEvidence: e, until: t.config.Now().Add(t.config.Retention)})
	}
	t.markSettled([]wire.ClaimHolder{holderOf(t.config.Self())})
	oldest := t.current.Epoch
	for _, epoch := range t.settledEpochs {
		oldest = min(oldest, epoch)
	}
	t.views = slices.DeleteFunc(t.views, func(v wire.ClaimView) bool { return v.Epoch < oldest })
}

// markSettled records members as settled at the current epoch. The caller holds the lock.
func (t *Table) markSettled(members []wire.ClaimHolder) {
	last := &t.views[len(t.views)-1]
	for _, h := range members {
		if !slices.Contains(last.Settled, h) {
			last.Settled = append(last.Settled, h)
		}
	}
}

// isNewRegion reports whether the region is new: every member is in its first incarnation and none was ever settled. A
// region that lost all of its members doesn't count as new: they stay in the view as unreachable, and a member that joins
// after an operator removed them has the later epoch as its incarnation. The caller holds the lock.
func (t *Table) isNewRegion() bool {
	for _, v := range t.views {
		if len(v.Settled) > 0 {
			return false
		}
	}
	return !slices.ContainsFunc(t.views[len(t.views)-1].Members, func(h wire.ClaimHolder) bool { return h.Incarnation > 1 })
}

// evidence returns the known views and the members that have answered; its last view is the current one. The caller holds
// the lock.
func (t *Table) evidence() wire.ClaimEvidence {
	var e wire.ClaimEvidence
	for _, v := range t.views {
		v.Members, v.Settled = slices.Clone(v.Members), slices.Clone(v.Settled)
		e.Views = append(e.Views, v)
	}
	for h := range t.answered {
		e.Answered = append(e.Answered, h)
	}
	return e
}

// addLoss adds a possible loss or extends the time of a known one. The caller holds the lock.
func (t *Table) addLoss(l possibleLoss) {
	now := t.config.Now()
	t.possibleLosses = slices.DeleteFunc(t.possibleLosses, func(o possibleLoss) bool { return !now.Before(o.until) })
	for i, o := range t.possibleLosses {
		// All members that settle at an epoch find the same possible loss, and each of them reports it.
		if lastEpoch(o) == lastEpoch(l) {
			t.possibleLosses[i].until = later(o.until, l.until)
			return
		}
	}
	if len(t.possibleLosses) >= maxLosses {
		// Evidence without views makes every key uncertain.
		t.possibleLosses = []possibleLoss{{until: now.Add(t.config.Retention)}}
		return
	}
	if len(t.possibleLosses) > 0 && len(t.possibleLosses[0].Views) == 0 {
		t.possibleLosses[0].until = later(t.possibleLosses[0].until, l.until)
		return
	}
	t.possibleLosses = append(t.possibleLosses, l)
}

// lastEpoch returns the epoch at which the possible loss was found; 0 means that it covers every key.
func lastEpoch(l possibleLoss) ident.Epoch {
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

// transferReport returns the views and possible losses that this member reports on the first page of a transfer. The
// caller holds the lock.
func (t *Table) transferReport() ([]wire.ClaimView, []wire.ClaimEvidence) {
	views := t.evidence().Views
	var losses []wire.ClaimEvidence
	now := t.config.Now()
	for _, l := range t.possibleLosses {
		if now.Before(l.until) {
			l.Remaining = backend.ToMillis(l.until.Sub(now)) + 1
			losses = append(losses, l.ClaimEvidence)
		}
	}
	return views, losses
}

// votingState reports whether this member is ready to vote on a key, and whether it is certain that no earlier claim of
// the key was lost.
func (t *Table) votingState(key wire.ClaimKey) (ready, certain bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	now := t.config.Now()
	certain = true
	for _, l := range t.possibleLosses {
		if now.Before(l.until) && !provesKey(l.ClaimEvidence, key) {
			certain = false
		}
	}
	if t.settled {
		return true, certain
	}
	e := t.evidence()
	for _, v := range e.Views[:len(e.Views)-1] {
		for _, h := range topRanked(slices.Clone(v.Members), key, holderID) {
			if slices.Contains(t.unanswered, h) {
				return false, certain
			}
		}
	}
	_, found := lastCompleteEpoch(e, key)
	return found, certain && provesKey(e, key)
}

// lastCompleteEpoch returns the epoch of the last view in which a holder of the key that has answered was settled.
func lastCompleteEpoch(e wire.ClaimEvidence, key wire.ClaimKey) (ident.Epoch, bool) {
	for _, v := range slices.Backward(e.Views) {
		for _, h := range topRanked(slices.Clone(v.Members), key, holderID) {
			if slices.Contains(v.Settled, h) && slices.Contains(e.Answered, h) {
				return v.Epoch, true
			}
		}
	}
	return 0, false
}

// provesKey reports whether no claim of the key can be lost: in every view from lastCompleteEpoch to the one before the
// last, the holders that have answered form a read quorum. Claims of the last view itself are found by the votes in it.
func provesKey(e wire.ClaimEvidence, key wire.ClaimKey) bool {
	from, found := lastCompleteEpoch(e, key)
	if !found {
		return false
	}
	for _, v := range e.Views[:len(e.Views)-1] {
		holders, answers := topRanked(slices.Clone(v.Members), key, holderID), 0
		for _, h := range holders {
			if slices.Contains(e.Answered, h) {
				answers++
			}
		}
		if v.Epoch >= from && len(holders) > 0 && answers < readQuorum(len(holders)) {
			return false
		}
	}
	return true
}

// provesAllKeys reports whether provesKey is true for every key, whichever members are its holders.
func provesAllKeys(e wire.ClaimEvidence) bool {
	for i, v := range e.Views {
		ok := anyHoldersSuffice(v.Members, func(h wire.ClaimHolder) bool {
			return slices.Contains(v.Settled, h) && slices.Contains(e.Answered, h)
		}, func(int) int { return 1 })
		for _, later := range e.Views[i : len(e.Views)-1] {
			ok = ok && anyHoldersSuffice(later.Members, func(h wire.ClaimHolder) bool { return slices.Contains(e.Answered, h) }, readQuorum)
		}
		if ok {
			return true
		}
	}
	return false
}

// anyHoldersSuffice reports whether in every possible choice of holders among the members enough of them pass.
func anyHoldersSuffice(members []wire.ClaimHolder, pass func(wire.ClaimHolder) bool, need func(holders int) int) bool {
	failing := 0
	for _, h := range members {
		if !pass(h) {
			failing++
		}
	}
	holders := min(len(members), holderCount)
	return holders-min(failing, holders) >= need(holders) || holders == 0
}
