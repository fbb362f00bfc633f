package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

var errTooManyClaims = errors.New("limit of kept claims or of their answers is reached")

// maxNonceLength bounds the length of a nonce in bytes.
const maxNonceLength = 64

// validateRequest returns an error for requests without a valid key or, if required, without a valid nonce.
func validateRequest(r wire.ClaimRequest, needNonce bool) error {
	if r.Claim.Team == "" || r.Claim.Request == "" || len(r.Claim.Team) > ident.MaxLength || len(r.Claim.Request) > ident.MaxLength {
		return errors.New("claim request without a valid key")
	}
	if needNonce && (r.Claim.Nonce == "" || len(r.Claim.Nonce) > maxNonceLength) {
		return errors.New("claim request without a valid nonce")
	}
	return nil
}

// sentByClaimer reports whether the sender is the claimer, in the same incarnation.
func sentByClaimer(r wire.ClaimRequest) bool {
	return r.Member == r.Claim.Claimer && r.Incarnation == r.Claim.Incarnation
}

// isHolder reports whether this member is a holder of the key in the view.
func (t *Table) isHolder(v member.View, key wire.ClaimKey) bool {
	region, ok := t.config.ClaimRegion(key.Team)
	self := t.config.Self()
	return ok && slices.ContainsFunc(Holders(v, region, key), func(m member.Member) bool {
		return m.ID == self.ID && m.Incarnation == self.Incarnation
	})
}

// HandleAcquire votes on a claim. The reply is stale if the epochs differ, or while the transfer may still bring earlier
// claims of the key.
func (t *Table) HandleAcquire(_ context.Context, r wire.ClaimRequest) (wire.ClaimReply, error) {
	if err := validateRequest(r, true); err != nil {
		return wire.ClaimReply{}, err
	}
	if !sentByClaimer(r) {
		return wire.ClaimReply{}, fmt.Errorf("acquire for claimer %s was sent by %s, which isn't that incarnation",
			r.Claim.Claimer, r.Member)
	}
	view := t.enterCurrentView()
	ready, certain := t.votingState(r.Claim.ClaimKey)
	stale := !ready || r.Epoch != view.Epoch || !view.HasIncarnation(r.Member, r.Incarnation) || !t.isHolder(view, r.Claim.ClaimKey)
	now := t.config.Now()
	s := t.shard(r.Claim.ClaimKey)
	s.lock.Lock()
	defer s.lock.Unlock()
	t.sweep(s, now)
	known := s.entries[r.Claim.ClaimKey]
	reply := replyFor(known, r.Claim.Nonce)
	reply.Uncertain = !certain && !reply.Known
	_, tombstoned := s.tombstones[r.Claim.Nonce]
	switch {
	// The epoch is compared under the shard's lock: a transfer at a newer epoch either reads the shard after this vote
	// or makes this vote stale.
	case stale || uint64(r.Epoch) != t.epoch.Load():
		reply.Stale = true
	case len(known) == 1 && known[0].Nonce == r.Claim.Nonce && known[0].State == wire.ClaimHeld:
		reply.Granted = true
	case len(known) > 0 || tombstoned:
	case t.keptCount.Load() >= int64(t.config.MaxClaims) || t.keptAnswerBytes.Load() >= int64(t.config.MaxBytes):
		return wire.ClaimReply{}, errTooManyClaims
	default:
		claim := r.Claim
		claim.State, claim.Answer = wire.ClaimHeld, nil
		t.put(s, claim.ClaimKey, []wire.Claim{claim}, now)
		reply.Granted, reply.Known, reply.Claim = true, true, claim
	}
	return reply, nil
}

// replyFor returns a reply with one of the known claims: a complete one, else the one with the nonce, else the first.
func replyFor(known []wire.Claim, nonce string) wire.ClaimReply {
	if len(known) == 0 {
		return wire.ClaimReply{}
	}
	best := known[0]
	for _, c := range known {
		if c.State == wire.ClaimComplete || best.State != wire.ClaimComplete && c.Nonce == nonce {
			best = c
		}
	}
	return wire.ClaimReply{Known: true, Claim: best}
}

// HandleComplete stores the answer of a claim. It is accepted at any epoch and replaces the rivals that lost.
func (t *Table) HandleComplete(_ context.Context, r wire.ClaimRequest) (wire.ClaimReply, error) {
	if err := validateRequest(r, true); err != nil {
		return wire.ClaimReply{}, err
	}
	if !sentByClaimer(r) {
		return wire.ClaimReply{}, fmt.Errorf("complete for claimer %s was sent by %s, which isn't that incarnation",
			r.Claim.Claimer, r.Member)
	}
	now := t.config.Now()
	s := t.shard(r.Claim.ClaimKey)
	s.lock.Lock()
	defer s.lock.Unlock()
	t.sweep(s, now)
	known := s.entries[r.Claim.ClaimKey]
	if len(known) > 0 && known[0].State == wire.ClaimComplete {
		return wire.ClaimReply{Granted: known[0].Nonce == r.Claim.Nonce, Known: true, Claim: known[0]}, nil
	}
	if len(known) == 0 && t.keptCount.Load() >= 2*int64(t.config.MaxClaims) {
		return wire.ClaimReply{}, errTooManyClaims
	}
	claim := r.Claim
	claim.State = wire.ClaimComplete
	t.put(s, claim.ClaimKey, []wire.Claim{claim}, now)
	return wire.ClaimReply{Granted: true, Known: true, Claim: claim}, nil
}

// HandleRelease removes the sender's own claim if the claim's state is released. Otherwise it only adds a tombstone for a
// nonce that has no vote here, so that the nonce's claimer can't get this vote later. Granted confirms that the nonce has
// no vote here and never gets one; Stale adds that it may have had a vote whose transfer has not arrived yet.
func (t *Table) HandleRelease(_ context.Context, r wire.ClaimRequest) (wire.ClaimReply, error) {
	if err := validateRequest(r, true); err != nil {
		return wire.ClaimReply{}, err
	}
	view := t.enterCurrentView()
	ready, _ := t.votingState(r.Claim.ClaimKey)
	now := t.config.Now()
	s := t.shard(r.Claim.ClaimKey)
	s.lock.Lock()
	defer s.lock.Unlock()
	t.sweep(s, now)
	known := s.entries[r.Claim.ClaimKey]
	i := slices.IndexFunc(known, func(c wire.Claim) bool { return c.Nonce == r.Claim.Nonce })
	withdrawn := sentByClaimer(r) && r.Claim.State == wire.ClaimReleased
	if i >= 0 && (!withdrawn || known[i].State == wire.ClaimComplete) {
		return wire.ClaimReply{Known: true, Claim: known[i]}, nil
	}
	if t.keptCount.Load() >= 2*int64(t.config.MaxClaims) {
		return wire.ClaimReply{}, errTooManyClaims
	}
	if i >= 0 {
		t.put(s, r.Claim.ClaimKey, slices.Delete(slices.Clone(known), i, i+1), now)
	}
	t.addTombstone(s, r.Claim.Nonce, now)
	stale := !ready || r.Epoch != view.Epoch || !t.isHolder(view, r.Claim.ClaimKey)
	return wire.ClaimReply{Granted: true, Stale: stale}, nil
}

// HandleLookup returns the claim kept for a key. A reply without Known proves that there is none only if it isn't Stale.
func (t *Table) HandleLookup(_ context.Context, r wire.ClaimRequest) (wire.ClaimReply, error) {
	if err := validateRequest(r, false); err != nil {
		return wire.ClaimReply{}, err
	}
	view := t.enterCurrentView()
	ready, certain := t.votingState(r.Claim.ClaimKey)
	s := t.shard(r.Claim.ClaimKey)
	s.lock.Lock()
	defer s.lock.Unlock()
	t.sweep(s, t.config.Now())
	reply := replyFor(s.entries[r.Claim.ClaimKey], r.Claim.Nonce)
	reply.Stale = !ready || r.Epoch != view.Epoch || !t.isHolder(view, r.Claim.ClaimKey)
	reply.Uncertain = !certain && !reply.Known
	return reply, nil
}
