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
	// maxPendingReleases bounds the unconfirmed releases that are kept for a retry.
	maxPendingReleases = 1024
	// releaseTimeout bounds the release of votes after the caller's context has ended.
	releaseTimeout = time.Second
	// maintenanceInterval is the interval at which Run retries releases and drops expired claims.
	maintenanceInterval = time.Second
	// maxRecentReleases bounds the releases that are repeated. They are repeated for releaseRepeatPeriod, which covers a
	// view change with its transfer of claims.
	maxRecentReleases   = 256
	releaseRepeatPeriod = 5 * time.Second
	maxParallelRepeats  = 16
)

// vote is the outcome of one call to a holder.
type vote struct {
	holder member.Member
	reply  wire.ClaimReply
	err    error
}

// pendingRelease is the release of a vote that its holder has not confirmed yet.
type pendingRelease struct {
	holder member.Member
	claim  wire.Claim
}

// Acquire claims a request for this member. Its error is a *HeldError or wraps ErrSplitVote, ErrUnavailable or
// ErrUncertain. After any of them the request isn't claimed by this member, because the nonce is never used again.
func (t *Table) Acquire(ctx context.Context, key wire.ClaimKey) (Grant, error) {
	view, self := t.config.View(), t.config.Self()
	region, ok := t.config.ClaimRegion(key.Team)
	if !ok {
		return Grant{}, fmt.Errorf("%w: team %s has no claim region", ErrUnavailable, key.Team)
	}
	holders := Holders(view, region, key)
	if len(holders) == 0 || !view.HasIncarnation(self.ID, self.Incarnation) {
		return Grant{}, fmt.Errorf("%w: region %s has no members, or this member isn't in the view", ErrUnavailable, region)
	}
	claim := wire.Claim{
		ClaimKey: key, Claimer: self.ID, Incarnation: self.Incarnation, Nonce: ident.Random("claim"), State: wire.ClaimHeld,
	}
	g := Grant{Claim: claim, Epoch: view.Epoch, Holders: holders, RequestedAt: t.config.Now()}
	votes := t.broadcast(ctx, holders, wire.MethodClaimAcquire, view.Epoch, claim)
	granted, uncertain, rivals := countVotes(votes, claim.Nonce)
	won := granted >= quorum(len(holders))
	if won && !hasComplete(rivals) && (!uncertain || t.provenNotRun(ctx, key)) {
		return g, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	t.addRecentRelease(claim)
	t.releaseVotes(ctx, holders, claim)
	switch {
	case won && uncertain && !hasComplete(rivals):
		return Grant{}, fmt.Errorf("claim %s: %w", key.Request, ErrUncertain)
	case len(rivals) == 0 && !anyTombstone(votes):
		return Grant{}, fmt.Errorf("claim %s: %w: %w", key.Request, ErrUnavailable, voteErrors(votes))
	case len(rivals) == 0:
		// A rival's release left a tombstone for this nonce, but no reply has a rival. Another one may have won meanwhile.
		lookups := t.broadcast(ctx, holders, wire.MethodClaimLookup, view.Epoch, wire.Claim{ClaimKey: key})
		_, _, rivals = countVotes(lookups, claim.Nonce)
	}
	return Grant{}, t.resolveConflict(ctx, view, holders, claim, rivals)
}

// anyTombstone reports whether a holder refused the vote without keeping a claim, as it does for a nonce with a tombstone.
func anyTombstone(votes []vote) bool {
	for _, v := range votes {
		if v.err == nil && !v.reply.Granted && !v.reply.Known && !v.reply.Stale {
			return true
		}
	}
	return false
}

// countVotes counts the granted votes and collects the claims with other nonces, complete ones first.
func countVotes(votes []vote, nonce string) (granted int, uncertain bool, rivals []wire.Claim) {
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

// hasComplete reports whether a rival is complete; countVotes puts complete ones first.
func hasComplete(rivals []wire.Claim) bool {
	return len(rivals) > 0 && rivals[0].State == wire.ClaimComplete
}

// resolveConflict decides between HeldError and ErrSplitVote after the votes for this claim were released. It asks the
// holders that didn't vote for a rival to refuse that rival's nonce from now on. If so many confirm that no rival can win
// any more, ErrSplitVote is correct: the request did not run.
func (t *Table) resolveConflict(
	ctx context.Context, view member.View, holders []member.Member, claim wire.Claim, rivals []wire.Claim,
) error {
	for _, rival := range rivals {
		held := &HeldError{Claim: rival, ClaimerRemoved: !view.HasIncarnation(rival.Claimer, rival.Incarnation)}
		if rival.State == wire.ClaimComplete {
			return held
		}
		confirmed := 0
		for _, v := range t.broadcast(ctx, holders, wire.MethodClaimRelease, view.Epoch, rival) {
			if v.err == nil && v.reply.Granted && !v.reply.Stale {
				confirmed++
			}
		}
		if len(holders)-confirmed >= quorum(len(holders)) {
			return held
		}
	}
	return fmt.Errorf("claim %s: %w", claim.Request, ErrSplitVote)
}

// provenNotRun reports whether the inventories prove that the request never ran.
func (t *Table) provenNotRun(ctx context.Context, key wire.ClaimKey) bool {
	known, complete := t.config.SearchInventories(ctx, key)
	return !known && complete
}

// voteErrors joins the reasons of the holders that didn't grant their vote.
func voteErrors(votes []vote) error {
	var all []error
	for _, v := range votes {
		switch {
		case v.err != nil:
			all = append(all, fmt.Errorf("%s: %w", v.holder.ID, v.err))
		case v.reply.Stale:
			all = append(all, fmt.Errorf("%s: %w", v.holder.ID, ErrEpochMismatch))
		case !v.reply.Granted:
			all = append(all, fmt.Errorf("%s: vote refused", v.holder.ID))
		}
	}
	return errors.Join(all...)
}

// broadcast calls all holders in parallel; this member itself is called without a message.
func (t *Table) broadcast(ctx context.Context, holders []member.Member, method string, epoch ident.Epoch, claim wire.Claim) []vote {
	self := t.config.Self()
	r := wire.ClaimRequest{
		Sender: wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: epoch}, Claim: claim,
	}
	results := make(chan vote, len(holders))
	for _, h := range holders {
		go func() {
			v := vote{holder: h}
			if h.ID == self.ID {
				v.reply, v.err = t.handleLocally(ctx, method, r)
			} else {
				v.reply, v.err = t.config.Call(ctx, h.ID, method, r)
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

// handleLocally runs this member's own handler for a method.
func (t *Table) handleLocally(ctx context.Context, method string, r wire.ClaimRequest) (wire.ClaimReply, error) {
	switch method {
	case wire.MethodClaimAcquire:
		return t.HandleAcquire(ctx, r)
	case wire.MethodClaimComplete:
		return t.HandleComplete(ctx, r)
	case wire.MethodClaimRelease:
		return t.HandleRelease(ctx, r)
	}
	return t.HandleLookup(ctx, r)
}

// releaseVotes releases the votes for a claim and reports whether every holder confirmed. Unconfirmed releases are kept
// for a retry.
func (t *Table) releaseVotes(ctx context.Context, holders []member.Member, claim wire.Claim) bool {
	claim.State = wire.ClaimReleased
	confirmed := true
	for _, v := range t.broadcast(ctx, holders, wire.MethodClaimRelease, t.config.View().Epoch, claim) {
		if v.err == nil {
			continue
		}
		confirmed = false
		t.releasesLock.Lock()
		if len(t.pendingReleases) < maxPendingReleases {
			t.pendingReleases = append(t.pendingReleases, pendingRelease{holder: v.holder, claim: claim})
		}
		t.releasesLock.Unlock()
	}
	return confirmed
}

// Release withdraws a grant that was not dispatched. It is sent to the holders of the grant and to the current ones, which
// may have received the claim by a transfer after a view change. An error means that a holder hasn't confirmed yet; Run
// then retries the release.
func (t *Table) Release(ctx context.Context, g Grant) error {
	region, _ := t.config.ClaimRegion(g.Claim.Team)
	targets := slices.Clone(g.Holders)
	for _, h := range Holders(t.config.View(), region, g.Claim.ClaimKey) {
		if !containsMember(targets, h) {
			targets = append(targets, h)
		}
	}
	t.addRecentRelease(g.Claim)
	if !t.releaseVotes(ctx, targets, g.Claim) {
		return fmt.Errorf("release claim %s: %w", g.Claim.Request, ErrUnavailable)
	}
	return nil
}

// Complete stores the answer at the holders of the grant and at the current ones. It returns an error unless a majority
// of the current holders confirmed; the caller may retry.
func (t *Table) Complete(ctx context.Context, g Grant, answer []byte) error {
	region, _ := t.config.ClaimRegion(g.Claim.Team)
	view := t.config.View()
	currentHolders := Holders(view, region, g.Claim.ClaimKey)
	targets := append([]member.Member{}, currentHolders...)
	for _, h := range g.Holders {
		if view.HasIncarnation(h.ID, h.Incarnation) && !containsMember(currentHolders, h) {
			targets = append(targets, h)
		}
	}
	claim := g.Claim
	claim.State, claim.Answer = wire.ClaimComplete, answer
	votes, confirmed := t.broadcast(ctx, targets, wire.MethodClaimComplete, view.Epoch, claim), 0
	for _, v := range votes {
		if v.err == nil && v.reply.Granted && containsMember(currentHolders, v.holder) {
			confirmed++
		}
	}
	if confirmed < quorum(len(currentHolders)) {
		return fmt.Errorf("complete claim %s: %w: %w", claim.Request, ErrUnavailable, voteErrors(votes))
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

// Lookup returns the claim of a key, preferably a complete one. False without an error proves that no claim is held.
func (t *Table) Lookup(ctx context.Context, key wire.ClaimKey) (wire.Claim, bool, error) {
	view := t.config.View()
	region, _ := t.config.ClaimRegion(key.Team)
	holders := Holders(view, region, key)
	votes := t.broadcast(ctx, holders, wire.MethodClaimLookup, view.Epoch, wire.Claim{ClaimKey: key})
	_, uncertain, claims := countVotes(votes, "")
	if len(claims) > 0 {
		return claims[0], true, nil
	}
	upToDate := 0
	for _, v := range votes {
		if v.err == nil && !v.reply.Stale {
			upToDate++
		}
	}
	switch {
	case len(holders) == 0 || upToDate < readQuorum(len(holders)):
		return wire.Claim{}, false, fmt.Errorf("look up claim %s: %w: %w", key.Request, ErrUnavailable, voteErrors(votes))
	case uncertain && !t.provenNotRun(ctx, key):
		return wire.Claim{}, false, fmt.Errorf("look up claim %s: %w", key.Request, ErrUncertain)
	}
	return wire.Claim{}, false, nil
}

// Run retries unconfirmed releases, repeats recent ones and drops expired claims until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.retryReleases(ctx)
			t.sweepAll()
		}
	}
}

// recentRelease is a release that is repeated until a time.
type recentRelease struct {
	claim wire.Claim
	until time.Time
}

func (t *Table) addRecentRelease(claim wire.Claim) {
	claim.State = wire.ClaimReleased
	t.releasesLock.Lock()
	defer t.releasesLock.Unlock()
	if len(t.recentReleases) < maxRecentReleases {
		t.recentReleases = append(t.recentReleases, recentRelease{claim: claim, until: t.config.Now().Add(releaseRepeatPeriod)})
	}
}

// repeatRecentReleases sends the recent releases to the current holders again. A holder that joined meanwhile may have
// fetched the claim from an old holder before the release arrived there, and would keep it until the retention ends.
func (t *Table) repeatRecentReleases(ctx context.Context) {
	now := t.config.Now()
	t.releasesLock.Lock()
	t.recentReleases = slices.DeleteFunc(t.recentReleases, func(r recentRelease) bool { return !now.Before(r.until) })
	recent := slices.Clone(t.recentReleases)
	t.releasesLock.Unlock()
	view := t.config.View()
	var group errgroup.Group
	group.SetLimit(maxParallelRepeats)
	for _, r := range recent {
		group.Go(func() error {
			region, _ := t.config.ClaimRegion(r.claim.Team)
			callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			t.broadcast(callCtx, Holders(view, region, r.claim.ClaimKey), wire.MethodClaimRelease, view.Epoch, r.claim)
			return nil
		})
	}
	_ = group.Wait() // an unconfirmed release is repeated at the next maintenanceInterval
}

// retryReleases repeats the recent releases and retries the unconfirmed ones; those to removed holders are dropped.
func (t *Table) retryReleases(ctx context.Context) {
	t.releasesLock.Lock()
	pending := t.pendingReleases
	t.pendingReleases = nil
	t.releasesLock.Unlock()
	view := t.config.View()
	t.repeatRecentReleases(ctx)
	for _, r := range pending {
		if view.HasIncarnation(r.holder.ID, r.holder.Incarnation) && ctx.Err() == nil {
			callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
			t.releaseVotes(callCtx, []member.Member{r.holder}, r.claim)
			cancel()
		}
	}
}
