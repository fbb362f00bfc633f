package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// maxReleases bounds the releases kept for another try.
	maxReleases = 1024
	// releaseTimeout bounds the release of votes after the caller's context has ended.
	releaseTimeout = time.Second
	// runInterval is the pause between tries of releases and between sweeps.
	runInterval = time.Second
	// maxRecent bounds the releases that are sent again; repeatReleases is how long, which covers a change of the view
	// with its transfer of claims.
	maxRecent      = 256
	repeatReleases = 5 * time.Second
	repeatParallel = 16
)

// vote is the outcome of one call to a holder.
type vote struct {
	holder member.Member
	reply  wire.ClaimReply
	err    error
}

// release is a vote to be withdrawn that its holder has not confirmed.
type release struct {
	holder member.Member
	claim  wire.Claim
}

// Acquire claims a request for this member. Its error is a *HeldError or wraps ErrSplit, ErrUnavailable or
// ErrUncertain; after each of them the request isn't claimed by this member, because its nonce is never used again.
func (b *Book) Acquire(ctx context.Context, key wire.ClaimKey) (Grant, error) {
	view, self := b.config.View(), b.config.Self()
	region, ok := b.config.Region(key.Team)
	if !ok {
		return Grant{}, fmt.Errorf("%w: team %s has no claim region", ErrUnavailable, key.Team)
	}
	holders := Holders(view, region, key)
	if len(holders) == 0 || !view.Has(self.ID, self.Incarnation) {
		return Grant{}, fmt.Errorf("%w: no member of region %s", ErrUnavailable, region)
	}
	claim := wire.Claim{
		ClaimKey: key, Claimer: self.ID, Incarnation: self.Incarnation, Nonce: ident.Random("claim"), State: wire.ClaimHeld,
	}
	g := Grant{Claim: claim, Epoch: view.Epoch, Holders: holders, Begun: b.config.Now()}
	votes := b.broadcast(ctx, holders, wire.MethodClaimAcquire, view.Epoch, claim)
	granted, uncertain, rivals := tally(votes, claim.Nonce)
	won := granted >= quorum(len(holders))
	if won && !completed(rivals) && (!uncertain || b.ruledOut(ctx, key)) {
		return g, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	b.noteRelease(claim)
	b.withdraw(ctx, holders, claim)
	switch {
	case won && uncertain && !completed(rivals):
		return Grant{}, fmt.Errorf("claim %s: %w", key.Request, ErrUncertain)
	case len(rivals) == 0 && !barred(votes):
		return Grant{}, fmt.Errorf("claim %s: %w: %w", key.Request, ErrUnavailable, reasons(votes))
	case len(rivals) == 0:
		// A rival barred this claim and is gone from these replies; another one may have won meanwhile.
		again := b.broadcast(ctx, holders, wire.MethodClaimLookup, view.Epoch, wire.Claim{ClaimKey: key})
		_, _, rivals = tally(again, claim.Nonce)
	}
	return Grant{}, b.contest(ctx, view, holders, claim, rivals)
}

// barred reports whether a holder refused the vote without keeping a claim, as it does for a barred nonce.
func barred(votes []vote) bool {
	for _, v := range votes {
		if v.err == nil && !v.reply.Granted && !v.reply.Known && !v.reply.Stale {
			return true
		}
	}
	return false
}

// tally counts the votes and collects the claims of others, complete ones first.
func tally(votes []vote, nonce string) (granted int, uncertain bool, rivals []wire.Claim) {
	seen := map[string]bool{nonce: true}
	for _, v := range votes {
		if v.err != nil {
			continue
		}
		if v.reply.Granted {
			granted++
		}
		uncertain = uncertain || v.reply.Uncertain
		if c := v.reply.Claim; v.reply.Known && c.State == wire.ClaimComplete {
			rivals = append([]wire.Claim{c}, rivals...)
		} else if v.reply.Known && !seen[c.Nonce] {
			seen[c.Nonce] = true
			rivals = append(rivals, c)
		}
	}
	return granted, uncertain, rivals
}

func completed(rivals []wire.Claim) bool {
	return len(rivals) > 0 && rivals[0].State == wire.ClaimComplete
}

// contest decides between HeldError and ErrSplit after the own votes were withdrawn. Every rival is barred from the
// holders that didn't vote for it. When enough confirm, it can't win any more, and the refusal as not run is true.
func (b *Book) contest(ctx context.Context, view member.View, holders []member.Member, claim wire.Claim, rivals []wire.Claim) error {
	for _, rival := range rivals {
		held := &HeldError{Claim: rival, ClaimerGone: !view.Has(rival.Claimer, rival.Incarnation)}
		if rival.State == wire.ClaimComplete {
			return held
		}
		barred := 0
		for _, v := range b.broadcast(ctx, holders, wire.MethodClaimRelease, view.Epoch, rival) {
			if v.err == nil && v.reply.Granted && !v.reply.Stale {
				barred++
			}
		}
		if len(holders)-barred >= quorum(len(holders)) {
			return held
		}
	}
	return fmt.Errorf("claim %s: %w", claim.Request, ErrSplit)
}

// ruledOut reports whether the inventories prove that the request never ran.
func (b *Book) ruledOut(ctx context.Context, key wire.ClaimKey) bool {
	known, complete := b.config.Inventories(ctx, key)
	return !known && complete
}

// reasons joins what the holders said.
func reasons(votes []vote) error {
	var all []error
	for _, v := range votes {
		switch {
		case v.err != nil:
			all = append(all, fmt.Errorf("%s: %w", v.holder.ID, v.err))
		case v.reply.Stale:
			all = append(all, fmt.Errorf("%s: %w", v.holder.ID, ErrEpoch))
		case !v.reply.Granted:
			all = append(all, fmt.Errorf("%s: refused", v.holder.ID))
		}
	}
	return errors.Join(all...)
}

// broadcast calls all holders at once; a call to this member itself needs no message.
func (b *Book) broadcast(ctx context.Context, holders []member.Member, method string, epoch ident.Epoch, claim wire.Claim) []vote {
	self := b.config.Self()
	r := wire.ClaimRequest{
		Sender: wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: epoch}, Claim: claim,
	}
	results := make(chan vote, len(holders))
	for _, h := range holders {
		go func() {
			v := vote{holder: h}
			if h.ID == self.ID {
				v.reply, v.err = b.local(ctx, method, r)
			} else {
				v.reply, v.err = b.config.Call(ctx, h.ID, method, r)
			}
			results <- v
		}()
	}
	votes := make([]vote, 0, len(holders))
	for range holders {
		votes = append(votes, <-results)
	}
	return votes
}

// local runs a holder's handler in this process.
func (b *Book) local(ctx context.Context, method string, r wire.ClaimRequest) (wire.ClaimReply, error) {
	switch method {
	case wire.MethodClaimAcquire:
		return b.HandleAcquire(ctx, r)
	case wire.MethodClaimComplete:
		return b.HandleComplete(ctx, r)
	case wire.MethodClaimRelease:
		return b.HandleRelease(ctx, r)
	}
	return b.HandleLookup(ctx, r)
}

// withdraw releases the votes for a claim and reports whether every holder confirmed. The others are tried again.
func (b *Book) withdraw(ctx context.Context, holders []member.Member, claim wire.Claim) bool {
	claim.State = wire.ClaimReleased
	confirmed := true
	for _, v := range b.broadcast(ctx, holders, wire.MethodClaimRelease, b.config.View().Epoch, claim) {
		if v.err == nil {
			continue
		}
		confirmed = false
		b.releasesLock.Lock()
		if len(b.releases) < maxReleases {
			b.releases = append(b.releases, release{holder: v.holder, claim: claim})
		}
		b.releasesLock.Unlock()
	}
	return confirmed
}

// Release gives up a grant that was not dispatched, at its holders and at the present ones, which may have received
// the claim with a change of the view. An error says that some holder didn't confirm yet; the release is then tried
// again by Run.
func (b *Book) Release(ctx context.Context, g Grant) error {
	region, _ := b.config.Region(g.Claim.Team)
	targets := slices.Clone(g.Holders)
	for _, h := range Holders(b.config.View(), region, g.Claim.ClaimKey) {
		if !containsMember(targets, h) {
			targets = append(targets, h)
		}
	}
	b.noteRelease(g.Claim)
	if !b.withdraw(ctx, targets, g.Claim) {
		return fmt.Errorf("release claim %s: %w", g.Claim.Request, ErrUnavailable)
	}
	return nil
}

// Complete stores the answer at the holders of the grant and at the present ones. It returns an error unless a
// majority of the present holders confirmed; the caller may try again.
func (b *Book) Complete(ctx context.Context, g Grant, answer []byte) error {
	region, _ := b.config.Region(g.Claim.Team)
	view := b.config.View()
	present := Holders(view, region, g.Claim.ClaimKey)
	targets := append([]member.Member{}, present...)
	for _, h := range g.Holders {
		if view.Has(h.ID, h.Incarnation) && !containsMember(present, h) {
			targets = append(targets, h)
		}
	}
	claim := g.Claim
	claim.State, claim.Answer = wire.ClaimComplete, answer
	votes, confirmed := b.broadcast(ctx, targets, wire.MethodClaimComplete, view.Epoch, claim), 0
	for _, v := range votes {
		if v.err == nil && v.reply.Granted && containsMember(present, v.holder) {
			confirmed++
		}
	}
	if confirmed < quorum(len(present)) {
		return fmt.Errorf("complete claim %s: %w: %w", claim.Request, ErrUnavailable, reasons(votes))
	}
	return nil
}

func containsMember(members []member.Member, m member.Member) bool {
	for _, o := range members {
		if o.ID == m.ID {
			return true
		}
	}
	return false
}

// Lookup returns the claim of a key, a complete one first. Without an error, false proves that no claim holds.
func (b *Book) Lookup(ctx context.Context, key wire.ClaimKey) (wire.Claim, bool, error) {
	view := b.config.View()
	region, _ := b.config.Region(key.Team)
	holders := Holders(view, region, key)
	votes := b.broadcast(ctx, holders, wire.MethodClaimLookup, view.Epoch, wire.Claim{ClaimKey: key})
	_, uncertain, claims := tally(votes, "")
	if len(claims) > 0 {
		return claims[0], true, nil
	}
	fresh := 0
	for _, v := range votes {
		if v.err == nil && !v.reply.Stale {
			fresh++
		}
	}
	switch {
	case len(holders) == 0 || fresh < overlap(len(holders)):
		return wire.Claim{}, false, fmt.Errorf("look up claim %s: %w: %w", key.Request, ErrUnavailable, reasons(votes))
	case uncertain && !b.ruledOut(ctx, key):
		return wire.Claim{}, false, fmt.Errorf("look up claim %s: %w", key.Request, ErrUncertain)
	}
	return wire.Claim{}, false, nil
}

// Run repeats unconfirmed releases and drops expired claims until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.flush(ctx)
			b.prune()
		}
	}
}

// recentRelease is a release that is sent again for a while.
type recentRelease struct {
	claim wire.Claim
	until time.Time
}

func (b *Book) noteRelease(claim wire.Claim) {
	claim.State = wire.ClaimReleased
	b.releasesLock.Lock()
	defer b.releasesLock.Unlock()
	if len(b.recent) < maxRecent {
		b.recent = append(b.recent, recentRelease{claim: claim, until: b.config.Now().Add(repeatReleases)})
	}
}

// repeat sends the recent releases to the present holders again. A holder that joined meanwhile may have fetched the
// claim before its old holder was told, and would keep it until the retention ends.
func (b *Book) repeat(ctx context.Context) {
	now := b.config.Now()
	b.releasesLock.Lock()
	b.recent = slices.DeleteFunc(b.recent, func(r recentRelease) bool { return !now.Before(r.until) })
	recent := slices.Clone(b.recent)
	b.releasesLock.Unlock()
	view := b.config.View()
	var group errgroup.Group
	group.SetLimit(repeatParallel)
	for _, r := range recent {
		group.Go(func() error {
			region, _ := b.config.Region(r.claim.Team)
			bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			b.broadcast(bounded, Holders(view, region, r.claim.ClaimKey), wire.MethodClaimRelease, view.Epoch, r.claim)
			return nil
		})
	}
	_ = group.Wait() // an unconfirmed release is sent again by the next round
}

// flush tries the unconfirmed releases once more; those of removed holders are dropped.
func (b *Book) flush(ctx context.Context) {
	b.releasesLock.Lock()
	open := b.releases
	b.releases = nil
	b.releasesLock.Unlock()
	view := b.config.View()
	b.repeat(ctx)
	for _, r := range open {
		if view.Has(r.holder.ID, r.holder.Incarnation) && ctx.Err() == nil {
			bounded, cancel := context.WithTimeout(ctx, releaseTimeout)
			b.withdraw(bounded, []member.Member{r.holder}, r.claim)
			cancel()
		}
	}
}
