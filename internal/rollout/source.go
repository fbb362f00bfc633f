package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Keys in the store. Segments and pages share a prefix, because both are named by content hash.
const (
	indexKey   = "config/index"
	partPrefix = "config/parts/"
)

const (
	storeTimeout = 3 * time.Second
	// maxParallelParts bounds the concurrent store calls for segments and pages.
	maxParallelParts = 8
	// maxRemoteSources is how many members of the store's region a daemon of another region tries before the store.
	maxRemoteSources = 2
	// sourceBackoffRounds is the number of read intervals for which a source is skipped after it failed to answer.
	sourceBackoffRounds = 5
)

// watchCursor is the position in the store's history up to which the index has been read.
type watchCursor struct {
	after platform.Revision // 0 means that the index must be read first
}

// sourceBackoff records when peers that failed to answer are tried again.
type sourceBackoff struct {
	mutex   sync.Mutex
	retryAt map[ident.MemberID]time.Time
}

func (b *sourceBackoff) backOff(id ident.MemberID, until time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.retryAt == nil {
		b.retryAt = make(map[ident.MemberID]time.Time)
	}
	b.retryAt[id] = until
}

func (b *sourceBackoff) available(id ident.MemberID, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !now.Before(b.retryAt[id])
}

// pullSources lists the peers to pull from, in order; the store comes after them. The first active member of a region by id
// has no peers in its own region before it: it reads the store, or pulls from the region of the store.
func (r *Rollout) pullSources() []ident.MemberID {
	self, now := r.config.Self(), r.config.Now()
	var peers []ident.MemberID
	active := r.config.View().Filter(member.Active)
	for _, m := range active {
		if m.ID == self.ID {
			break
		}
		if m.Region == self.Region && r.backoff.available(m.ID, now) {
			peers = append(peers, m.ID)
		}
	}
	if r.config.StoreRegion == "" || r.config.StoreRegion == self.Region {
		return peers
	}
	remote := 0
	for _, m := range active {
		if m.Region == r.config.StoreRegion && r.backoff.available(m.ID, now) && remote < maxRemoteSources {
			peers = append(peers, m.ID)
			remote++
		}
	}
	return peers
}

// sync reads the newest configuration from the first source that answers.
func (r *Rollout) sync(ctx context.Context) {
	for _, peer := range r.pullSources() {
		err := r.pullFrom(ctx, peer)
		if err == nil {
			r.sourceReachable.Store(true)
			r.catchUp(ctx, peer)
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.backoff.backOff(peer, r.config.Now().Add(sourceBackoffRounds*r.config.ReadInterval))
		r.config.Log.V(1).Info("pull of the configuration failed", "member", peer, "reason", err.Error())
	}
	err := r.readStore(ctx)
	r.sourceReachable.Store(err == nil || permanent(err)) // The store answered, even if its index is refused.
	if err != nil && ctx.Err() == nil {
		r.counts.StoreFailures.Add(1)
		r.config.Log.V(1).Info("read of the configuration store failed", "reason", err.Error())
	}
	r.catchUp(ctx, "")
}

// catchUp pulls from a peer that is known to have a newer version, if the regular source hasn't delivered it. Peers of
// other regions are asked only after three read intervals, so that normally one copy crosses the link between regions.
func (r *Rollout) catchUp(ctx context.Context, except ident.MemberID) {
	self, view, have := r.config.Self(), r.config.View(), r.current.Load().version()
	for _, peer := range r.confirmations.newerPeers(have, view) {
		m, _ := view.Find(peer.member)
		if peer.member == except || peer.member == self.ID {
			continue
		}
		if m.Region != self.Region && r.config.Now().Sub(peer.since) < 3*r.config.ReadInterval {
			continue
		}
		if err := r.pullFrom(ctx, peer.member); err == nil && r.current.Load().version() > have {
			return
		}
	}
}

// readStore reads the index, and from then on watches it for changes. An empty watch reply confirms the index as of the
// time at which the watch request was sent.
func (r *Rollout) readStore(ctx context.Context) error {
	sentAt := r.config.Now()
	if r.cursor.after == 0 {
		revision, err := r.readIndex(ctx)
		if err == nil {
			r.cursor.after = revision
		}
		return err
	}
	wait := min(r.config.ReadInterval, r.config.Freshness/3)
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	r.counts.StoreReads.Add(1)
	events, after, err := r.config.Store.Watch(ctx, indexKey, r.cursor.after, wait)
	if err != nil {
		r.cursor.after = 0
		return fmt.Errorf("watch index: %w", err)
	}
	if after < r.cursor.after {
		r.cursor.after = 0 // The store has lost writes, so the index is read again.
		return nil
	}
	r.cursor.after = after
	if len(events) > 1 {
		r.cursor.after = 0 // In a burst of changes, one read of the newest index costs less than an event per version.
	}
	if len(events) == 0 {
		r.confirmations.renewStore(sentAt)
		return nil
	}
	last := events[len(events)-1]
	if last.Deleted || last.Key != indexKey {
		r.confirmations.clearStore()
		return nil
	}
	if err := r.applyStored(ctx, last.Value, sentAt); err != nil {
		if !permanent(err) {
			r.cursor.after = 0
		}
		return err
	}
	return nil
}

// readIndex reads the index and puts it in force if it is newer.
func (r *Rollout) readIndex(ctx context.Context) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sentAt := r.config.Now()
	r.counts.StoreReads.Add(1)
	item, err := r.config.Store.Get(ctx, indexKey)
	if errors.Is(err, platform.ErrNotFound) {
		r.confirmations.clearStore()
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("get index: %w", err)
	}
	if err := r.applyStored(ctx, item.Value, sentAt); err != nil {
		if permanent(err) {
			return item.Revision, err
		}
		return 0, err
	}
	return item.Revision, nil
}

// permanent reports whether the same index will be refused again if it is read again.
func permanent(err error) bool {
	return errors.Is(err, ErrForked) || errors.Is(err, bundle.ErrInvalidIndex) || errors.Is(err, bundle.ErrInvalidSegment) ||
		errors.Is(err, bundle.ErrTooFewSignOffs) || errors.Is(err, bundle.ErrInvalidSignature)
}

// applyStored puts an index from the store in force. If it is already in force, it counts as a confirmation.
func (r *Rollout) applyStored(ctx context.Context, encoded []byte, sentAt time.Time) error {
	root, err := bundle.DecodeRoot(encoded)
	if err != nil {
		r.counts.Malformed.Add(1)
		r.confirmations.clearStore()
		return err
	}
	switch err := r.checkRoot(root); {
	case errors.Is(err, errSame):
		r.confirmations.recordStore(root.Version, sentAt)
		return nil
	case errors.Is(err, errOlder):
		r.confirmations.clearStore()
		return nil
	case err != nil:
		r.confirmations.clearStore()
		return err
	}
	index, segments, err := r.fetch(ctx, root)
	if err != nil {
		return err
	}
	if err := r.activate(index, segments); err != nil {
		return err
	}
	r.confirmations.recordStore(root.Version, sentAt)
	return nil
}

// fetch reads the pages and segments that differ from those of the configuration in force.
func (r *Rollout) fetch(ctx context.Context, root bundle.Root) (bundle.Index, map[string][]byte, error) {
	current := r.current.Load()
	var pages [bundle.PageCount][]bundle.Entry
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelParts)
	for n, hash := range root.Pages {
		if current.version() > 0 && current.index.Pages[n] == hash {
			pages[n] = current.index.Page(n)
			continue
		}
		group.Go(func() error {
			data, err := r.readPart(inner, hash)
			if err != nil {
				return err
			}
			pages[n], err = bundle.DecodePage(hash, data)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return bundle.Index{}, nil, err
	}
	var entries []bundle.Entry
	for _, page := range pages {
		entries = append(entries, page...)
	}
	index, err := root.Complete(entries)
	if err != nil {
		return bundle.Index{}, nil, err
	}
	segments, err := r.fetchSegments(ctx, current, index)
	return index, segments, err
}

func (r *Rollout) fetchSegments(ctx context.Context, current *snapshot, index bundle.Index) (map[string][]byte, error) {
	segments := make(map[string][]byte, len(index.Entries))
	var mutex sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelParts)
	for _, e := range index.Entries {
		if hash, ok := current.index.Lookup(e.Name); ok && hash == e.Hash {
			mutex.Lock()
			segments[e.Name] = current.segments[e.Name]
			mutex.Unlock()
			continue
		}
		group.Go(func() error {
			data, err := r.readPart(ctx, e.Hash)
			if err != nil {
				return err
			}
			mutex.Lock()
			defer mutex.Unlock()
			segments[e.Name] = data
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return segments, nil
}

// readPart reads a segment or page and verifies its content hash.
func (r *Rollout) readPart(ctx context.Context, hash string) ([]byte, error) {
	r.counts.StoreReads.Add(1)
	item, err := r.config.Store.Get(ctx, partPrefix+hash)
	if err != nil {
		return nil, fmt.Errorf("get part %s: %w", hash, err)
	}
	if bundle.Hash(item.Value) != hash {
		return nil, fmt.Errorf("part %s: %w: content doesn't match the hash", hash, bundle.ErrInvalidSegment)
	}
	return item.Value, nil
}
