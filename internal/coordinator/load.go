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
	// watchWait bounds a watch of jobs or registrations.
	watchWait = 5 * time.Second
	// serversPause is the pause between two watches of the registrations, which every server writes again and again.
	serversPause = 200 * time.Millisecond
	// jobsPause is the pause between two watches of the jobs. Daemons report jobs to the leader themselves; the watch
	// finds those whose report was lost.
	jobsPause = 250 * time.Millisecond
	// loadRetry is the pause after a failed read at a takeover.
	loadRetry = 100 * time.Millisecond
)

// loaded tells from which revisions the watches of a term go on.
type loaded struct {
	jobs, servers         platform.Revision
	jobCount, serverCount int
}

// load reads jobs, progress and registrations into the scheduler. The leader record was written before, so that former
// leaders record nothing any more.
func (t *term) load(ctx context.Context) (loaded, error) {
	var (
		at                                loaded
		jobs, progress, servers, rosterIn []platform.Item
	)
	read := func(into *[]platform.Item, prefix string, from *platform.Revision) func() error {
		return func() error {
			for {
				items, rev, err := platform.RangeAll(ctx, t.config.Store, prefix)
				if err == nil {
					*into = items
					if from != nil {
						*from = rev
					}
					return nil
				}
				if ctx.Err() != nil {
					return context.Cause(ctx)
				}
				t.config.Log.Info("load delayed", "prefix", prefix, "error", err.Error())
				pause(ctx, loadRetry)
			}
		}
	}
	var g errgroup.Group
	g.Go(read(&jobs, jobPrefix, &at.jobs))
	g.Go(read(&progress, progressPrefix, nil))
	g.Go(read(&servers, t.config.Registry.Prefix, &at.servers))
	g.Go(read(&rosterIn, rosterPrefix, nil))
	if err := g.Wait(); err != nil {
		return at, fmt.Errorf("load: %w", err)
	}
	records := t.decodeProgress(progress)
	t.do(func(now time.Time, s *sched.Scheduler) {
		if p := t.config.Policy.Current().Policy; p != nil {
			s.Configure(now, p.Scheduling())
		}
		at.jobCount = t.addJobs(now, s, jobs, records, true)
		t.addRoster(now, s, rosterIn)
		at.serverCount = t.addServers(now, s, servers)
	})
	t.mu.Lock()
	t.loaded = true
	t.mu.Unlock()
	return at, nil
}

func (t *term) decodeProgress(items []platform.Item) map[ident.JobID]sched.Progress {
	records := make(map[ident.JobID]sched.Progress, len(items))
	for _, it := range items {
		id := ident.JobID(strings.TrimPrefix(it.Key, progressPrefix))
		var p sched.Progress
		if err := json.Unmarshal(it.Value, &p); err != nil {
			t.config.Log.Error(err, "progress not readable", "job", string(id))
			continue
		}
		records[id] = p
		t.revisions.set(id, it.Revision)
	}
	return records
}

// addJobs adds recorded jobs that the scheduler doesn't know, and cancels those with a cancellation.
func (t *term) addJobs(
	now time.Time, s *sched.Scheduler, items []platform.Item, records map[ident.JobID]sched.Progress, inherited bool,
) int {
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
			t.config.Log.Error(err, "job not readable", "key", it.Key)
			continue
		}
		jobs = append(jobs, job)
	}
	slices.SortStableFunc(jobs, func(a, b *sched.Job) int { return a.Accepted.Compare(b.Accepted) })
	n := 0
	for _, j := range jobs {
		if s.AddJob(now, j, records[j.ID], inherited) {
			n++
		}
	}
	for _, id := range cancelled {
		s.Cancel(now, id)
	}
	return n
}

// addServers registers servers and returns how many are readable.
func (t *term) addServers(now time.Time, s *sched.Scheduler, items []platform.Item) int {
	n := 0
	for _, it := range items {
		v, err := t.config.Registry.Decode(it.Key, it.Value)
		if err != nil {
			t.config.Log.Info("skipped a registration", "error", err.Error())
			continue
		}
		n++
		t.registered[v.ID] = v
		s.Register(now, v)
	}
	return n
}

// watchServers follows the registrations.
func (t *term) watchServers(ctx context.Context, at platform.Revision) error {
	prefix := t.config.Registry.Prefix
	for ctx.Err() == nil {
		events, next, err := t.config.Store.Watch(ctx, prefix, at, watchWait)
		if errors.Is(err, platform.ErrHistoryLost) {
			next, err = t.readServers(ctx)
		}
		if err != nil {
			t.config.Log.V(1).Info("watch of registrations failed", "error", err.Error())
			pause(ctx, viewRetry)
			continue
		}
		at = next
		t.applyServers(events)
		pause(ctx, serversPause)
	}
	return ctx.Err()
}

// applyServers enters changes of registrations.
func (t *term) applyServers(events []platform.Event) {
	if len(events) == 0 {
		return
	}
	t.do(func(now time.Time, s *sched.Scheduler) {
		for _, e := range events {
			id := sched.ServerID(strings.TrimPrefix(e.Key, t.config.Registry.Prefix))
			if e.Deleted {
				s.Unregister(now, id)
				t.config.Servers.Forget(t.registered[id].Address) // opened again if it is still called
				delete(t.registered, id)
				t.config.Log.Info("server unregistered", "server", string(id))
				continue
			}
			old := t.registered[id]
			if t.addServers(now, s, []platform.Item{e.Item}) == 1 {
				v := t.registered[id]
				if old.Address != v.Address || old.Draining != v.Draining {
					t.config.Log.Info("server registered", "server", string(id), "address", v.Address, "draining", v.Draining)
				}
			}
		}
	})
}

// readServers reads all registrations again after the store dropped its history.
func (t *term) readServers(ctx context.Context) (platform.Revision, error) {
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
	for id := range t.registered {
		if !present[id] {
			events = append(events, platform.Event{
				Item: platform.Item{Key: t.config.Registry.Prefix + string(id)}, Deleted: true,
			})
		}
	}
	t.applyServers(events)
	return at, nil
}

// watchJobs finds jobs and cancellations that no daemon reported.
func (t *term) watchJobs(ctx context.Context, at platform.Revision) error {
	for ctx.Err() == nil {
		var items []platform.Item
		events, next, err := t.config.Store.Watch(ctx, jobPrefix, at, watchWait)
		if errors.Is(err, platform.ErrHistoryLost) {
			items, next, err = platform.RangeAll(ctx, t.config.Store, jobPrefix)
		}
		if err != nil {
			t.config.Log.V(1).Info("watch of jobs failed", "error", err.Error())
			pause(ctx, viewRetry)
			continue
		}
		at = next
		for _, e := range events {
			if !e.Deleted {
				items = append(items, e.Item)
			}
		}
		if len(items) > 0 {
			t.do(func(now time.Time, s *sched.Scheduler) {
				if n := t.addJobs(now, s, items, nil, false); n > 0 {
					t.config.Log.Info("found jobs that weren't reported", "jobs", n)
				}
			})
		}
		pause(ctx, jobsPause)
	}
	return ctx.Err()
}
