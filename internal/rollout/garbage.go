package rollout

import (
	"context"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

const (
	// sweepInterval is the pause between two sweeps. A part is deleted if two consecutive sweeps found it unreferenced with
	// the same revision. At 27,000 changes a day about 200 parts become garbage per interval.
	sweepInterval = 5 * time.Minute
	// maxDeletesPerSweep bounds the deletions of one sweep, because the store handles only several hundred writes per second.
	maxDeletesPerSweep = 1024
	// deleteInterval limits the deletions of a sweep to at most 50 per second.
	deleteInterval = 20 * time.Millisecond
)

// garbageCandidates holds the parts that the last sweep found unreferenced. Only the sweep uses it.
type garbageCandidates struct {
	revisions map[string]platform.Revision
}

// isCollector reports whether this daemon collects garbage. The collector is the daemon that reads the store in the store's
// region, or the first active member if that region isn't known.
func (r *Rollout) isCollector() bool {
	self := r.config.Self()
	for _, m := range r.config.View().Filter(member.Active) {
		if r.config.StoreRegion == "" || m.Region == r.config.StoreRegion {
			return m.ID == self.ID
		}
	}
	return false
}

// collect deletes parts that the index no longer refers to. A publish in progress writes each of its parts again, so that
// the revision differs from the one that the last sweep saw and the deletion is refused.
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
			r.config.Log.V(1).Info("garbage collection of configuration parts failed", "reason", err.Error())
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

// unreferenced lists the parts that the store's index doesn't refer to, with their revisions. It lists the parts before it
// reads the index, so that a part to which a publish has just referred isn't in the result.
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
		return nil, errOlder // The store doesn't hold the index in force, so it is unknown which parts are in use.
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
