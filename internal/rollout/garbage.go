package rollout

import (
	"context"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

const (
	// sweepInterval is the pause between two sweeps. A part is deleted when two sweeps in a row saw it unreferenced
	// with the same revision. At 27,000 changes a day about 200 parts become garbage in this time.
	sweepInterval = 5 * time.Minute
	// maxDeletesPerSweep bounds the deletions of one sweep, because the store takes several hundred writes per second.
	maxDeletesPerSweep = 1024
	// deleteInterval spreads the deletions of a sweep to at most 50 per second.
	deleteInterval = 20 * time.Millisecond
)

// garbageCandidates is what the last sweep saw unreferenced; only the sweep uses it.
type garbageCandidates struct {
	revisions map[string]platform.Revision
}

// isCollector reports whether this daemon is the one that collects: the reader of the store's region, or the first
// active member when that region isn't known.
func (r *Rollout) isCollector() bool {
	self := r.config.Self()
	for _, m := range r.config.View().Filter(member.Active) {
		if r.config.StoreRegion == "" || m.Region == r.config.StoreRegion {
			return m.ID == self.ID
		}
	}
	return false
}

// collect deletes parts that no index refers to any more. A publish in
// progress writes each of its parts anew, so that the revision differs from the one seen and the delete is refused.
func (r *Rollout) collect(ctx context.Context) {
	if !r.isCollector() {
		r.garbage.revisions = nil
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepInterval/2)
	defer cancel()
	unreferenced, err := r.unreferenced(ctx)
	if err != nil {
		if ctx.Err() == nil {
			r.config.Log.V(1).Info("configuration parts were not collected", "reason", err.Error())
		}
		return
	}
	deleted := 0
	for key, revision := range unreferenced {
		if r.garbage.revisions[key] != revision || deleted >= maxDeletesPerSweep {
			continue
		}
		if err := r.config.Store.Delete(ctx, key, revision); err == nil {
			r.counts.PartsCollected.Add(1)
		}
		deleted++
		select {
		case <-ctx.Done():
			return
		case <-time.After(deleteInterval):
		}
	}
	r.garbage.revisions = unreferenced
}

// unreferenced lists the parts that the store's index doesn't refer to, with their revisions. The list of parts is read
// before the index, so that a part that a publish has just put to use isn't listed.
func (r *Rollout) unreferenced(ctx context.Context) (map[string]platform.Revision, error) {
	items, err := r.config.Store.List(ctx, partPrefix)
	if err != nil {
		return nil, err
	}
	if _, err := r.readIndex(ctx); err != nil {
		return nil, err
	}
	current := r.current.Load()
	if r.confirmations.storedVersion() != current.version() || current.version() == 0 {
		return nil, errOlder // The store doesn't hold the index in force; nothing is certain.
	}
	used := make(map[string]bool, len(current.index.Entries))
	for _, hash := range current.index.Pages {
		used[hash] = true
	}
	for _, e := range current.index.Entries {
		used[e.Hash] = true
	}
	unreferenced := make(map[string]platform.Revision)
	for _, item := range items {
		if !used[strings.TrimPrefix(item.Key, partPrefix)] {
			unreferenced[item.Key] = item.Revision
		}
	}
	return unreferenced, nil
}
