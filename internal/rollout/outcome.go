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

// errUnchanged reports that the store still holds the index on which the publish is based.
var errUnchanged = errors.New("index is unchanged")

// swapIndex writes the index root. If the reply is lost, it reads the index to find out whether the write took effect. As
// long as the index is unchanged it writes the same root again, because a write without a reply may still be in flight; both
// expect the same revision, so that only one can take effect. The outcome is Pending once the root is in the store.
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
		if err == nil || errors.As(err, &conflict) || errors.Is(err, ErrUnknownOutcome) {
			return outcome, err
		}
		r.config.Log.V(1).Info("outcome of the publish is still unknown", "version", receipt.Version, "reason", err.Error())
		select {
		case <-ctx.Done():
			return Pending, fmt.Errorf("version %d: %w: %w", receipt.Version, ErrUnknownOutcome, ctx.Err())
		case <-time.After(outcomeRetryInterval):
		}
	}
}

// readOutcome reads the index and determines whether the publish of the receipt took effect. It returns errUnchanged if the
// index still has the expected revision.
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
		return Pending, fmt.Errorf("decode the stored index: %w", err)
	}
	return outcomeFrom(stored, receipt)
}

// outcomeFrom determines from the stored index whether the publish of the receipt took effect: the nonce of the receipt is
// that of the index or of one of the recent publishes that the index lists.
func outcomeFrom(stored bundle.Root, receipt Receipt) (Outcome, error) {
	switch {
	case stored.Nonce == receipt.Nonce && stored.Writer == receipt.Writer, slices.Contains(stored.Recent, receipt.Nonce):
		return Pending, nil
	case stored.Version <= receipt.Version+ident.Version(len(stored.Recent)):
		return Refused, conflictWith(receipt.Version-1, stored)
	}
	return Pending, fmt.Errorf("version %d: version %d doesn't list it: %w", receipt.Version, stored.Version, ErrUnknownOutcome)
}

// Resolve determines the outcome of a publish that ended with ErrUnknownOutcome. If the version in the store is still below
// that of the receipt, it writes the index again unchanged, so that the revision changes and a delayed write is refused.
func (r *Rollout) Resolve(ctx context.Context, receipt Receipt) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.config.Store.Get(ctx, indexKey)
	if err != nil {
		return Pending, fmt.Errorf("resolve version %d: %w: %w", receipt.Version, ErrUnknownOutcome, err)
	}
	stored, err := bundle.DecodeRoot(item.Value)
	if err != nil {
		return Pending, fmt.Errorf("resolve version %d: %w", receipt.Version, err)
	}
	if stored.Version < receipt.Version {
		if _, err := r.config.Store.CompareAndSwap(ctx, indexKey, item.Revision, item.Value, 0); err != nil {
			return Pending, fmt.Errorf("resolve version %d: %w: %w", receipt.Version, ErrUnknownOutcome, err)
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
