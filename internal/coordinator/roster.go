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
	// rosterInterval is the interval at which changes of the roster are looked for.
	rosterInterval = 50 * time.Millisecond
	// rosterPerWrite fits a transaction: the leader's expectation, and for each server an expectation and a change.
	rosterPerWrite = (platform.MaxTransactionEntries - 1) / 2
)

// keepRoster records changes of the roster, one transaction at a time, until the context ends.
func (t *term) keepRoster(ctx context.Context) error {
	for {
		pause(ctx, rosterInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		for t.writeRoster(ctx) {
		}
	}
}

// writeRoster records some changes and reports whether there may be more.
func (t *term) writeRoster(ctx context.Context) bool {
	t.mu.Lock()
	changes := t.core.TakeRosterChanges(rosterPerWrite)
	t.mu.Unlock()
	if len(changes) == 0 {
		return false
	}
	tx := t.transaction()
	for _, c := range changes {
		key := rosterPrefix + string(c.Entry.Server.ID)
		revision := t.rosterAt[key]
		tx.Expect = append(tx.Expect, platform.Expectation{Key: key, Revision: revision})
		if c.Removed {
			if revision != 0 {
				tx.Deletes = append(tx.Deletes, key)
			}
			continue
		}
		value, err := json.Marshal(c.Entry)
		if err != nil {
			t.config.Log.Error(err, "encode a server of the roster", "server", string(c.Entry.Server.ID))
			return false
		}
		tx.Writes = append(tx.Writes, platform.Write{Key: key, Value: value})
	}
	revision, err := t.transact(ctx, tx)
	if err != nil {
		t.rosterFailed(ctx, tx, err)
		return false
	}
	for _, w := range tx.Writes {
		t.rosterAt[w.Key] = revision
	}
	for _, key := range tx.Deletes {
		delete(t.rosterAt, key)
	}
	t.do(func(now time.Time, s *sched.Scheduler) { s.RosterWritten(now, changes) })
	return true
}

// rosterFailed handles a failed write. After a conflict the next try expects what the store has: an earlier write without an
// answer may have taken effect.
func (t *term) rosterFailed(ctx context.Context, tx platform.Transaction, err error) {
	if ctx.Err() != nil {
		return
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		t.config.Log.Info("roster not written", "servers", len(tx.Expect)-1, "error", err.Error())
		pause(ctx, writeRetry)
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
	for _, e := range tx.Expect[1:] {
		t.rosterAt[e.Key] = present[e.Key]
	}
}

// addRoster adds the servers that the former leader knew.
func (t *term) addRoster(now time.Time, s *sched.Scheduler, items []platform.Item) {
	for _, it := range items {
		t.rosterAt[it.Key] = it.Revision
		var e sched.RosterEntry
		if err := json.Unmarshal(it.Value, &e); err != nil {
			t.config.Log.Error(err, "server of the roster not readable", "key", it.Key)
			continue
		}
		s.RestoreServer(now, e)
	}
}
