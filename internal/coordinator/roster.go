package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
)

const (
	// rosterInterval is the interval at which changes of the roster are recorded. New servers, which await them, are recorded at once.
	rosterInterval = 50 * time.Millisecond
	// rosterEntriesPerWrite is the number of servers that fit a transaction: beside the precondition on the leader record
	// each server takes a precondition and a write or delete.
	rosterEntriesPerWrite = (platform.MaxTransactionEntries - 1) / 2
)

// recordRoster records changes of the roster, the durable list of servers on which runs may be in progress, until the
// context ends. It makes one transaction at a time.
func (t *term) recordRoster(ctx context.Context) error {
	timer := time.NewTicker(rosterInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.rosterWake:
		case <-timer.C:
		}
		for t.writeRoster(ctx) {
		}
	}
}

// writeRoster records a batch of changes and reports whether there may be more.
func (t *term) writeRoster(ctx context.Context) bool {
	t.mu.Lock()
	changes := t.scheduler.TakeRosterChanges(rosterEntriesPerWrite)
	t.mu.Unlock()
	if len(changes) == 0 {
		return false
	}
	tx := t.fencedTransaction()
	for _, c := range changes {
		key := rosterPrefix + string(c.Entry.Server.ID)
		revision := t.rosterRevisions[key]
		tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: key, Revision: revision})
		if c.Removed {
			if revision != 0 {
				tx.Deletes = append(tx.Deletes, key)
			}
			continue
		}
		value, err := json.Marshal(c.Entry)
		if err != nil {
			t.config.Log.Error(err, "encode the roster entry of a server", "server", string(c.Entry.Server.ID))
			return false
		}
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
	}
	revision, err := t.commit(ctx, tx)
	if err != nil {
		t.handleRosterFailure(ctx, tx, err)
		return false
	}
	for _, w := range tx.Writes {
		t.rosterRevisions[w.Key] = revision
	}
	for _, key := range tx.Deletes {
		delete(t.rosterRevisions, key)
	}
	t.update(func(now time.Time, s *sched.Scheduler) { s.RosterWritten(now, changes) })
	return true
}

// handleRosterFailure handles a failed write. After a conflict the next attempt expects the revisions that the store has,
// as an earlier write with an unknown outcome may have taken effect.
func (t *term) handleRosterFailure(ctx context.Context, tx platform.Transaction, err error) {
	if ctx.Err() != nil {
		return
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		t.config.Log.Info("roster not written", "servers", len(tx.Preconditions)-1, "error", err.Error())
		sleep(ctx, writeRetryDelay)
		return
	}
	present := map[string]platform.Revision{}
	for _, it := range conflict.Items {
		present[it.Key] = it.Revision
	}
	if present[leaderKey] != t.revision {
		t.cancel(errDeposed)
		return
	}
	for _, e := range tx.Preconditions[1:] {
		t.rosterRevisions[e.Key] = present[e.Key]
	}
}

// addRoster adds the servers that the former leader recorded to the scheduler.
func (t *term) addRoster(now time.Time, s *sched.Scheduler, items []platform.Item) {
	for _, it := range items {
		t.rosterRevisions[it.Key] = it.Revision
		var e sched.RosterEntry
		if err := json.Unmarshal(it.Value, &e); err != nil {
			t.config.Log.Error(err, "roster entry of a server not readable", "key", it.Key)
			continue
		}
		s.RestoreServer(now, e)
	}
}
