package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// watchTimeout is the longest duration of a watch call for jobs or server registrations.
	watchTimeout = 5 * time.Second
	// serverWatchPause is the pause between two watch calls for the registrations, which every server rewrites
	// periodically; the changes of a pause share one call.
	serverWatchPause = 200 * time.Millisecond
	// jobWatchPause is the pause between two watch calls for jobs. Daemons report jobs to the leader directly; the watch
	// finds those whose report was lost.
	jobWatchPause = 250 * time.Millisecond
	// loadRetryDelay is the pause after a failed read during a takeover.
	loadRetryDelay = 100 * time.Millisecond
)

// loadResult holds the revisions at which the watches of a term start, and the numbers of loaded jobs and servers.
type loadResult struct {
	jobsRevision, serversRevision, evacuationsRevision platform.Revision
	jobCount, serverCount                              int
}

// load reads jobs, progress, the roster and the server registrations into the scheduler. It runs after the leader record is
// written, so former leaders can no longer record anything.
func (t *term) load(ctx context.Context) (loadResult, error) {
	var (
		result                                        loadResult
		jobs, progress, servers, rosterItems, pastUse []platform.Item
		requests                                      []platform.Item // to evacuate data centres
	)
	read := func(into *[]platform.Item, prefix string, from *platform.Revision) func() error {
		return func() error {
			items, rev, err := t.readAll(ctx, prefix)
			*into = items
			if from != nil {
				*from = rev
			}
			return err
		}
	}
	var g errgroup.Group
	g.Go(read(&jobs, jobPrefix, &result.jobsRevision))
	g.Go(read(&progress, progressPrefix, nil))
	g.Go(read(&servers, t.config.Registry.Prefix, &result.serversRevision))
	g.Go(read(&rosterItems, rosterPrefix, nil))
	if t.config.EvacuationPrefix != "" {
		g.Go(read(&requests, t.config.EvacuationPrefix, &result.evacuationsRevision))
	}
	if t.config.Scheduling.PastUseHalfLife > 0 {
		g.Go(read(&pastUse, pastUseKey, nil))
	}
	if err := g.Wait(); err != nil {
		return result, fmt.Errorf("load: %w", err)
	}
	records := t.decodeProgress(progress)
	t.update(func(now time.Time, s *sched.Scheduler) {
		if p := t.config.Policy.Current().Policy; p != nil {
			s.Configure(now, p.SchedulingConfig())
		}
		result.jobCount = t.addJobs(now, s, jobs, records)
		t.addRoster(now, s, rosterItems)
		result.serverCount = t.addServers(now, s, servers)
		t.restorePastUse(now, s, pastUse)
	})
	t.changeEvacuations(sourceLoad, func(e *evacuations) { e.replace(t.evacuationItems(requests), result.evacuationsRevision) })
	t.mu.Lock()
	t.loaded = true
	t.mu.Unlock()
	return result, nil
}

// readAll reads all items under a prefix and returns them with the revision of the first page. A page that can't be read is read
// again until the context ends.
func (t *term) readAll(ctx context.Context, prefix string) ([]platform.Item, platform.Revision, error) {
	var r platform.RangeReader
	for {
		err := r.ReadAll(ctx, t.config.Store, prefix)
		if err == nil {
			return r.Items, r.Revision, nil
		}
		if ctx.Err() != nil {
			return nil, 0, context.Cause(ctx)
		}
		t.config.Log.Info("load failed, retrying", "prefix", prefix, "read", len(r.Items), "error", err.Error())
		sleep(ctx, loadRetryDelay)
	}
}

// decodeProgress decodes progress records and notes their revisions. It skips unreadable ones.
func (t *term) decodeProgress(items []platform.Item) map[ident.JobID]sched.Progress {
	records := make(map[ident.JobID]sched.Progress, len(items))
	for _, it := range items {
		id := ident.JobID(strings.TrimPrefix(it.Key, progressPrefix))
		var p sched.Progress
		if err := json.Unmarshal(it.Value, &p); err != nil {
			t.config.Log.Error(err, "progress record not readable", "job", string(id))
			continue
		}
		records[id] = p
		t.progressRevisions.set(id, it.Revision)
	}
	return records
}

// addJobs adds the recorded jobs that the scheduler does not know, oldest first, and cancels those with a cancellation
// record. A former leader may have started any of them. It returns the number of added jobs.
func (t *term) addJobs(now time.Time, s *sched.Scheduler, items []platform.Item, records map[ident.JobID]sched.Progress) int {
	var (
		jobs      []*sched.Job
		cancelled []ident.JobID
	)
	for _, it := range items {
		name := strings.TrimPrefix(it.Key, jobPrefix)
		if id, ok := strings.CutSuffix(name, cancelSuffix); ok {
			cancelled = append(cancelled, ident.JobID(id))
			continue
		}
		if s.HasJob(ident.JobID(name)) {
			continue
		}
		job := &sched.Job{}
		if err := json.Unmarshal(it.Value, job); err != nil {
			t.config.Log.Error(err, "job record not readable", "key", it.Key)
			continue
		}
		jobs = append(jobs, job)
	}
	slices.SortStableFunc(jobs, func(a, b *sched.Job) int { return a.Accepted.Compare(b.Accepted) })
	n := 0
	for _, j := range jobs {
		if s.AddJob(now, j, records[j.ID], true) {
			n++
		}
	}
	for _, id := range cancelled {
		s.Cancel(now, id)
	}
	return n
}

// addServers registers servers with the scheduler and returns the number of readable registrations.
func (t *term) addServers(now time.Time, s *sched.Scheduler, items []platform.Item) int {
	n := 0
	for _, it := range items {
		v, err := t.config.Registry.Decode(it.Key, it.Value)
		if err != nil {
			t.logUnreadable(it.Key, err)
			continue
		}
		n++
		delete(t.unreadable, it.Key)
		t.registered[v.ID] = v
		s.Register(now, v)
	}
	return n
}

// logUnreadable logs an unreadable registration, but only once while the reason stays the same, as it may be rewritten
// periodically.
func (t *term) logUnreadable(key string, err error) {
	if reason := err.Error(); t.unreadable[key] != reason {
		t.unreadable[key] = reason
		t.config.Log.Info("server registration skipped", "error", reason)
	}
}

// watchServers applies changes of the server registrations until the context ends.
func (t *term) watchServers(ctx context.Context, at platform.Revision) error {
	prefix := t.config.Registry.Prefix
	for ctx.Err() == nil {
		events, next, err := t.config.Store.Watch(ctx, prefix, at, watchTimeout)
		if errors.Is(err, platform.ErrHistoryLost) {
			next, err = t.resyncServers(ctx)
		}
		if err != nil {
			t.config.Log.V(1).Info("watch of server registrations failed", "error", err.Error())
			sleep(ctx, watchRetryDelay)
			continue
		}
		at = next
		t.applyServerEvents(events)
		sleep(ctx, serverWatchPause)
	}
	return ctx.Err()
}

// applyServerEvents applies changes of the server registrations.
func (t *term) applyServerEvents(events []platform.Event) {
	if len(events) == 0 {
		return
	}
	t.update(func(now time.Time, s *sched.Scheduler) {
		for _, e := range events {
			id := sched.ServerID(strings.TrimPrefix(e.Key, t.config.Registry.Prefix))
			old, known := t.registered[id]
			if e.Deleted {
				delete(t.unreadable, e.Key)
				t.unregister(now, s, id)
				if known && !t.usesAddress(old.Address) {
					t.closeConnections(old.Address) // a later call opens them again
				}
				continue
			}
			if t.addServers(now, s, []platform.Item{e.Item}) == 0 {
				t.unregister(now, s, id) // an unreadable entry names no server to use
				continue
			}
			v := t.registered[id]
			if old.Address != v.Address || old.Draining != v.Draining {
				t.config.Log.Info("server registered", "server", string(id), "address", v.Address, "draining", v.Draining)
			}
		}
	})
}

// usesAddress reports whether a registered server has an address. An entry of another writer may repeat that of a server, and a
// restarted server may return to its address under a new id.
func (t *term) usesAddress(address string) bool {
	for _, v := range t.registered {
		if v.Address == address {
			return true
		}
	}
	return false
}

// unregister removes the registration of a server. Its runs continue and hold their capacity.
func (t *term) unregister(now time.Time, s *sched.Scheduler, id sched.ServerID) {
	if _, ok := t.registered[id]; !ok {
		return
	}
	s.Unregister(now, id)
	delete(t.registered, id)
	t.config.Log.Info("server unregistered", "server", string(id))
}

// resyncServers reads all registrations again after the store has discarded the history that the watch needs.
func (t *term) resyncServers(ctx context.Context) (platform.Revision, error) {
	items, at, err := platform.RangeAll(ctx, t.config.Store, t.config.Registry.Prefix)
	if err != nil {
		return 0, err
	}
	events := make([]platform.Event, 0, len(items))
	present := map[sched.ServerID]bool{}
	for _, it := range items {
		present[sched.ServerID(strings.TrimPrefix(it.Key, t.config.Registry.Prefix))] = true
		events = append(events, platform.Event{Item: it})
	}
	remove := func(key string) {
		if !present[sched.ServerID(strings.TrimPrefix(key, t.config.Registry.Prefix))] {
			events = append(events, platform.Event{Item: platform.Item{Key: key}, Deleted: true})
		}
	}
	for id := range t.registered {
		remove(t.config.Registry.Prefix + string(id))
	}
	for key := range t.unreadable {
		remove(key)
	}
	t.applyServerEvents(events)
	return at, nil
}

// watchJobs finds jobs and cancellations whose report to the leader was lost.
func (t *term) watchJobs(ctx context.Context, at platform.Revision) error {
	for ctx.Err() == nil {
		var items []platform.Item
		events, next, err := t.config.Store.Watch(ctx, jobPrefix, at, watchTimeout)
		if errors.Is(err, platform.ErrHistoryLost) {
			items, next, err = platform.RangeAll(ctx, t.config.Store, jobPrefix)
		}
		if err != nil {
			t.config.Log.V(1).Info("watch of jobs failed", "error", err.Error())
			sleep(ctx, watchRetryDelay)
			continue
		}
		at = next
		if len(events) > 0 {
			items = remaining(events)
		}
		if len(items) > 0 {
			t.update(func(now time.Time, s *sched.Scheduler) {
				if n := t.addJobs(now, s, items, nil); n > 0 {
					t.config.Log.Info("found unreported jobs in the store", "jobs", n)
				}
			})
		}
		sleep(ctx, jobWatchPause)
	}
	return ctx.Err()
}

// remaining returns the items that events leave. A mark of a cancellation that has expired says nothing about a job that is created
// after it.
func remaining(events []platform.Event) []platform.Item {
	var items []platform.Item
	for _, e := range events {
		if e.Deleted {
			items = slices.DeleteFunc(items, func(it platform.Item) bool { return it.Key == e.Key })
			continue
		}
		items = append(items, e.Item)
	}
	return items
}

// loadUnknownJobs reads the records of jobs whose runs servers have listed before the jobs were reported or found by the watch.
func (t *term) loadUnknownJobs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.unknownJobs:
		}
		t.mu.Lock()
		ids := t.scheduler.UnknownJobs()
		t.mu.Unlock()
		for _, id := range ids {
			if err := t.loadUnknownJob(ctx, id); err != nil {
				t.config.Log.Info("load of an unknown job failed", "job", string(id), "error", err.Error())
				sleep(ctx, loadRetryDelay)
				notify(t.unknownJobs)
				break
			}
		}
	}
}

// loadUnknownJob adds an unknown job to the scheduler, or reports that it has no readable record.
func (t *term) loadUnknownJob(ctx context.Context, id ident.JobID) error {
	readCtx, cancel := context.WithTimeout(ctx, t.config.StoreTimeout.Timeout(minWriteTimeout, maxWriteTimeout))
	defer cancel()
	item, err := t.config.Store.Get(readCtx, JobKey(id))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read the job: %w", err)
	}
	t.update(func(now time.Time, s *sched.Scheduler) {
		if err == nil {
			t.addJobs(now, s, []platform.Item{item}, nil)
		}
		if !s.HasJob(id) {
			s.JobAbsent(now, id)
		}
	})
	t.config.Log.Info("read the record of an unknown job", "job", string(id), "found", err == nil)
	return nil
}
