package rollout

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Outcome is the result of a publish: Accepted, Pending or Refused.
type Outcome string

const (
	// Accepted means that the version is in force on a majority and every other member has acknowledged it or is no
	// longer fresh.
	Accepted Outcome = "accepted"
	// Pending means that the index was written, or may have been, and the version isn't accepted yet.
	Pending Outcome = "pending"
	// Refused means that the index wasn't written and never will be.
	Refused Outcome = "refused"
)

// Receipt identifies a publish and reports its outcome. Writer and Nonce are also recorded in the index.
type Receipt struct {
	Version ident.Version   `json:"version"`
	Outcome Outcome         `json:"outcome"`
	Digest  string          `json:"digest"`
	Writer  ident.MemberID  `json:"writer"`
	Nonce   string          `json:"nonce"`
	Changes []bundle.Change `json:"changes,omitempty"`
}

// Proposal is the index that a publish would write, for operators to review and sign.
type Proposal struct {
	Version   ident.Version   `json:"version"`
	Digest    bundle.Digest   `json:"-"` // input of bundle.Sign
	DigestHex string          `json:"digest"`
	Changes   []bundle.Change `json:"changes"`
}

// ConflictError reports that the store holds another version than the publish expected, and who published it.
type ConflictError struct {
	Expected  ident.Version  `json:"expected"`
	Version   ident.Version  `json:"version"` // version in the store
	Writer    ident.MemberID `json:"writer"`  // daemon through which that version was published
	Nonce     string         `json:"nonce"`
	Published time.Time      `json:"published"`
	Signers   []string       `json:"signers,omitempty"`
}

// Error names both versions and the origin of the one in the store.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("expected version %d, but version %d was published through %s at %s, signed off by %v",
		e.Expected, e.Version, e.Writer, e.Published.Format(time.RFC3339), e.Signers)
}

// ErrUnknownOutcome reports a publish whose index write got no reply while the store couldn't be read to determine the
// outcome. Resolve determines it later.
var ErrUnknownOutcome = errors.New("outcome of the publish is not known yet")

const (
	// publishTimeout bounds the writes of a publish. It is far shorter than the time for which unreferenced parts are kept.
	publishTimeout = 30 * time.Second
	// partAttempts is the number of attempts to write a part. Parts are named by content hash, so that a retry is safe.
	partAttempts = 3
	// outcomeRetryInterval is the pause between two attempts to determine the outcome after a lost reply.
	outcomeRetryInterval = 250 * time.Millisecond
)

// publishBase is the store's index on which a publish is based.
type publishBase struct {
	revision    platform.Revision // 0 if the store has no index
	snapshot    *snapshot
	partsStored bool // the store's index is that of the snapshot, so all its parts are in the store
}

// Prepare checks the bundle and returns the index digest that operators must sign. The digest depends only on the bundles
// and the version, so that the sign-offs are also valid for a publish through another daemon.
func (r *Rollout) Prepare(ctx context.Context, b bundle.Bundle, expect ident.Version) (Proposal, error) {
	from, err := r.readBase(ctx, expect)
	if err != nil {
		return Proposal{}, fmt.Errorf("prepare: %w", err)
	}
	index, _, err := r.buildIndex(b, from.snapshot)
	if err != nil {
		return Proposal{}, fmt.Errorf("prepare: %w", err)
	}
	digest := index.Digest()
	return Proposal{
		Version: index.Version, Digest: digest, DigestHex: digest.String(), Changes: bundle.Diff(from.snapshot.bundle, b),
	}, nil
}

// Publish writes the bundle as the version after expect. It returns a ConflictError if the store holds another version, and
// ErrUnknownOutcome with the outcome Pending if the outcome couldn't be determined after a lost reply. Without an error the
// outcome is Accepted or Pending; Await waits until a pending version is accepted.
func (r *Rollout) Publish(ctx context.Context, b bundle.Bundle, expect ident.Version, signOffs []bundle.SignOff) (Receipt, error) {
	receipt, err := r.publish(ctx, b, expect, signOffs)
	if err != nil {
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			r.counts.Conflicts.Add(1)
		}
		return receipt, fmt.Errorf("publish: %w", err)
	}
	r.counts.Published.Add(1)
	r.config.Log.Info("configuration published", "version", receipt.Version, "digest", receipt.Digest)
	if accepted, _, err := r.Accepted(ctx, receipt.Version); err == nil && accepted {
		receipt.Outcome = Accepted
	}
	return receipt, nil
}

func (r *Rollout) publish(ctx context.Context, b bundle.Bundle, expect ident.Version, signOffs []bundle.SignOff) (Receipt, error) {
	writeCtx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	self := r.config.Self()
	receipt := Receipt{Version: expect + 1, Outcome: Refused, Writer: self.ID, Nonce: ident.Random("p")}
	from, err := r.readBase(writeCtx, expect)
	if err != nil {
		return receipt, err
	}
	index, segments, err := r.buildIndex(b, from.snapshot)
	if err != nil {
		return receipt, err
	}
	index.Writer, index.Incarnation, index.Nonce = self.ID, self.Incarnation, receipt.Nonce
	index.Published = r.config.Now().UTC().Truncate(time.Second)
	index.SignOffs = signOffs
	receipt.Digest, receipt.Changes = index.Digest().String(), bundle.Diff(from.snapshot.bundle, b)
	if err := bundle.Verify(index.Digest(), signOffs, r.config.Signers, r.config.RequiredSigners); err != nil {
		return receipt, err
	}
	root := index.Encode()
	if _, err := bundle.DecodeRoot(root); err != nil {
		return receipt, err
	}
	if err := r.writeParts(writeCtx, from, index, segments); err != nil {
		return receipt, err
	}
	sentAt := r.config.Now()
	if receipt.Outcome, err = r.swapIndex(writeCtx, from.revision, root, receipt); err != nil {
		return receipt, err
	}
	if err := r.activate(index, segments); err != nil {
		return receipt, err
	}
	r.confirmations.recordStore(index.Version, sentAt)
	return receipt, nil
}

// readBase reads the store's index, puts it in force if it is newer, and compares its version with the expected one.
func (r *Rollout) readBase(ctx context.Context, expect ident.Version) (publishBase, error) {
	revision, err := r.readIndex(ctx)
	if err != nil {
		return publishBase{}, err
	}
	current := r.current.Load()
	if current.version() != expect {
		return publishBase{}, conflictWith(expect, current.index.Root)
	}
	return publishBase{revision: revision, snapshot: current, partsStored: r.confirmations.storedVersion() == current.version()}, nil
}

// storedVersion returns the version that the store last confirmed, or 0.
func (c *confirmations) storedVersion() ident.Version {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.storeVersion
}

// buildIndex validates the bundle and builds the index that follows the given snapshot, with its segments.
func (r *Rollout) buildIndex(b bundle.Bundle, from *snapshot) (bundle.Index, map[string][]byte, error) {
	if err := bundle.Validate(b); err != nil {
		return bundle.Index{}, nil, err
	}
	if err := bundle.CheckClaimRegions(from.bundle, b); err != nil {
		return bundle.Index{}, nil, err
	}
	b.Retired = bundle.Retire(from.bundle, b, from.version()+1)
	segments := bundle.Split(b)
	for name, value := range segments {
		if len(value) > platform.MaxValueBytes {
			return bundle.Index{}, nil, fmt.Errorf("segment %s: %d bytes: %w", name, len(value), platform.ErrTooLarge)
		}
	}
	index := bundle.NewIndex(from.version()+1, from.version(), segments)
	if from.version() > 0 {
		recent := append([]string{from.index.Nonce}, from.index.Recent...)
		index.Recent = recent[:min(len(recent), bundle.RecentNonces)]
	}
	return index, segments, nil
}

// writeParts writes the segments and pages that the store doesn't have yet.
func (r *Rollout) writeParts(ctx context.Context, from publishBase, index bundle.Index, segments map[string][]byte) error {
	parts := index.PagesByHash()
	for _, e := range index.Entries {
		parts[e.Hash] = segments[e.Name]
	}
	if from.partsStored {
		for _, hash := range from.snapshot.index.Pages {
			delete(parts, hash)
		}
		for _, e := range from.snapshot.index.Entries {
			delete(parts, e.Hash)
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelParts)
	for hash, value := range parts {
		group.Go(func() error { return r.writePart(ctx, hash, value) })
	}
	return group.Wait()
}

// writePart ensures that the part exists with a revision newer than this call. A part that is left from an earlier publish
// is written again, so that a garbage collector that saw its old revision can't delete it.
func (r *Rollout) writePart(ctx context.Context, hash string, value []byte) error {
	var expect platform.Revision
	var err error
	for range partAttempts {
		if _, err = r.config.Store.CompareAndSwap(ctx, partPrefix+hash, expect, value, 0); err == nil {
			r.counts.PartsWritten.Add(1)
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknownOutcome) {
			break
		}
		item, readErr := r.config.Store.Get(ctx, partPrefix+hash)
		switch {
		case errors.Is(readErr, platform.ErrNotFound):
			expect = 0
		case readErr != nil:
			return fmt.Errorf("write part %s: %w", hash, readErr)
		case expect > 0 && item.Revision > expect && errors.Is(err, platform.ErrUnknownOutcome) && bytes.Equal(item.Value, value):
			r.counts.PartsWritten.Add(1)
			return nil
		default:
			expect = item.Revision
		}
	}
	return fmt.Errorf("write part %s: %w", hash, err)
}

// conflictWith returns the error of a publish that expected another version than that of the stored index.
func conflictWith(expect ident.Version, winner bundle.Root) *ConflictError {
	e := &ConflictError{
		Expected: expect, Version: winner.Version, Writer: winner.Writer, Nonce: winner.Nonce, Published: winner.Published,
	}
	for _, s := range winner.SignOffs {
		e.Signers = append(e.Signers, s.Signer)
	}
	return e
}
