package member

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// maxBackoffIntervals is the longest delay after failed polls, in intervals.
const maxBackoffIntervals = 4

// presenceCache holds the presence keys as last read.
type presenceCache struct {
	mu         sync.Mutex
	synced     bool // the keys were read and no poll has failed since
	instanceOf map[ident.MemberID]string
}

func (w *presenceCache) init() { w.instanceOf = map[ident.MemberID]string{} }

// load replaces the cached keys and returns the revision after which to poll.
func (w *presenceCache) load(items []platform.Item) platform.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	var newest platform.Revision
	w.instanceOf = presentInstances(items)
	for _, i := range items {
		newest = max(newest, i.Revision)
	}
	w.synced = true
	return newest
}

func (w *presenceCache) apply(events []platform.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events {
		id, instance := presentInstance(e.Item)
		if e.Deleted {
			delete(w.instanceOf, id)
			continue
		}
		w.instanceOf[id] = instance
	}
}

func (w *presenceCache) invalidate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.synced = false
}

// instances returns the instance of each present member, and false while the keys may be outdated.
func (w *presenceCache) instances() (map[ident.MemberID]string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	instances := make(map[ident.MemberID]string, len(w.instanceOf))
	for id, instance := range w.instanceOf {
		instances[id] = instance
	}
	return instances, w.synced
}

// lostKey reports whether the presence key was deleted or written by another process since this one wrote it.
func (w *presenceCache) lostKey(id ident.MemberID, instance string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.synced && w.instanceOf[id] != instance
}

func (w *presenceCache) recordWrite(id ident.MemberID, instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instanceOf[id] = instance
}

func presentInstances(items []platform.Item) map[ident.MemberID]string {
	instances := make(map[ident.MemberID]string, len(items))
	for _, i := range items {
		id, instance := presentInstance(i)
		instances[id] = instance
	}
	return instances
}

// presentInstance decodes a presence key; a value that can't be decoded still shows that the member is present.
func presentInstance(i platform.Item) (ident.MemberID, string) {
	var v presenceValue
	_ = json.Unmarshal(i.Value, &v)
	return ident.MemberID(strings.TrimPrefix(i.Key, PrefixPresence)), v.Instance
}

// watchRecord polls the record and keeps the view up to date.
func (g *Group) watchRecord(ctx context.Context) error {
	return g.watchPrefix(ctx, KeyMembers, g.loadRecord, g.applyRecord, func() {})
}

// watchPresence polls the presence keys and keeps their cache up to date.
func (g *Group) watchPresence(ctx context.Context) error {
	return g.watchPrefix(ctx, PrefixPresence, g.loadPresence, g.applyPresence, g.presenceCache.invalidate)
}

func (g *Group) applyRecord(events []platform.Event) error {
	for _, e := range events {
		if e.Key != KeyMembers || e.Deleted {
			continue
		}
		if err := g.decodeRecord(e.Item); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) applyPresence(events []platform.Event) error {
	g.presenceCache.apply(events)
	if g.presenceCache.lostKey(g.config.Self.ID, g.instance) {
		wake(g.maintainNow)
	}
	return nil
}

func (g *Group) loadPresence(ctx context.Context) (platform.Revision, error) {
	items, err := g.store.list(ctx, PrefixPresence)
	if err != nil {
		return 0, fmt.Errorf("list presence keys: %w", err)
	}
	return g.presenceCache.load(items), nil
}

// watchPrefix loads the state under a prefix and polls for changes until ctx ends; after a failure it loads again.
func (g *Group) watchPrefix(
	ctx context.Context, prefix string, load func(context.Context) (platform.Revision, error),
	apply func([]platform.Event) error, failed func(),
) error {
	wait := longPollIntervals * g.config.Interval
	failures := 0
	for ctx.Err() == nil {
		after, err := load(ctx)
		for err == nil && ctx.Err() == nil {
			failures = 0
			started := time.Now()
			var events []platform.Event
			events, after, err = g.store.watch(ctx, prefix, after, wait)
			if err == nil {
				err = apply(events)
			}
			if err == nil && len(events) == 0 && time.Since(started) < g.config.Interval {
				sleep(ctx, g.config.Interval) // a store that answers long polls at once must not be called in a tight loop
			}
		}
		if ctx.Err() != nil {
			return nil
		}
		failed()
		failures = min(failures+1, maxBackoffIntervals)
		g.config.Log.V(1).Info("store poll failed", "prefix", prefix, "error", err.Error())
		sleep(ctx, jitter(time.Duration(failures)*g.config.Interval))
	}
	return nil
}

// jitter returns a duration between half of d and d, so that members don't all retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
