package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// errUnchanged reports that the store still holds the index on which a publish builds.
var errUnchanged = errors.New("index is unchanged")

// swapIndex writes the index root and settles a lost reply by reading. While the index is unchanged the same root is
// written again, because a write whose reply is missing may still be under way; it can't take effect twice.
// The outcome is Pending once the root is in the store.
func (r *Rollout) swapIndex(ctx context.Context, expect platform.Revision, root []byte, receipt Receipt) (Outcome, error) {
	uncertain := false
	for {
		_, err := r.config.Store.CompareAndSwap(ctx, indexKey, expect, root, 0)
		switch {
		case err == nil:
			return Pending, nil
		case errors.Is(err, platform.ErrTooLarge), errors.Is(err, platform.ErrUnavailable) && !uncertain:
			return Refused, fmt.Errorf("write index: %w", err)
		case !errors.Is(err, platform.ErrConflict):
			uncertain = true
			r.counts.LostReplies.Add(1)
		}
		outcome, err := r.readOutcome(ctx, expect, receipt)
		var conflict *ConflictError
		if err == nil || errors.As(err, &conflict) || errors.Is(err, ErrOutcomeUnknown) {
			return outcome, err
		}
		r.config.Log.V(1).Info("publish is being settled", "version", receipt.Version, "reason", err.Error())
		select {
		case <-ctx.Done():
			return Pending, fmt.Errorf("version %d: %w: %w", receipt.Version, ErrOutcomeUnknown, ctx.Err())
		case <-time.After(outcomeRetryInterval):
		}
	}
}

// readOutcome reads the index and decides whether the receipt's write took effect. It returns errUnchanged when the index
// still has the expected revision.
func (r *Rollout) readOutcome(ctx context.Context, expect platform.Revision, receipt Receipt) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.config.Store.Get(ctx, indexKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Pending, err
	}
	if item.Revision == expect {
		return Pending, errUnchanged
	}
	stored, err := bundle.DecodeRoot(item.Value)
	if err != nil {
		return Pending, fmt.Errorf("read winner: %w", err)
	}
	return outcomeFrom(stored, receipt)
}

// outcomeFrom tells from a later index whether the receipt's write took effect: the index, or one of the publishes that it
// was built on, carries the nonce.
func outcomeFrom(stored bundle.Root, receipt Receipt) (Outcome, error) {
	switch {
	case stored.Nonce == receipt.Nonce && stored.Writer == receipt.Writer, slices.Contains(stored.Recent, receipt.Nonce):
		return Pending, nil
	case stored.Version <= receipt.Version+ident.Version(len(stored.Recent)):
		return Refused, conflictWith(receipt.Version-1, stored)
	}
	return Pending, fmt.Errorf("version %d: version %d has no record of it: %w", receipt.Version, stored.Version, ErrOutcomeUnknown)
}

// Resolve settles a publish that ended with ErrUndecided. When the index is still below the receipt's version it is
// written again unchanged, so that a delayed write finds another revision and is refused.
func (r *Rollout) Resolve(ctx context.Context, receipt Receipt) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.config.Store.Get(ctx, indexKey)
	if err != nil {
		return Pending, fmt.Errorf("resolve version %d: %w: %w", receipt.Version, ErrOutcomeUnknown, err)
	}
	stored, err := bundle.DecodeRoot(item.Value)
	if err != nil {
		return Pending, fmt.Errorf("resolve version %d: %w", receipt.Version, err)
	}
	if stored.Version < receipt.Version {
		if _, err := r.config.Store.CompareAndSwap(ctx, indexKey, item.Revision, item.Value, 0); err != nil {
			return Pending, fmt.Errorf("resolve version %d: %w: %w", receipt.Version, ErrOutcomeUnknown, err)
		}
		return Refused, nil
	}
	outcome, err := outcomeFrom(stored, receipt)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return Refused, nil
	}
	if err == nil {
		if accepted, _, err := r.Accepted(ctx, receipt.Version); err == nil && accepted {
			return Accepted, nil
		}
	}
	return outcome, err
}
