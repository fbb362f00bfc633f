package job

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// collectInterval is the interval at which batches past the retention are deleted.
const collectInterval = time.Second

// expiredBatches returns, once per collectInterval, the batches in which all jobs finished longer ago than the retention.
func (t *Table) expiredBatches() []*batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.config.Now()
	if now.Sub(t.lastCollection) < collectInterval {
		return nil
	}
	t.lastCollection = now
	var expired []*batch
	for _, b := range t.batches {
		if !slices.ContainsFunc(b.record.Jobs, func(j *jobRecord) bool {
			return j.Finished.IsZero() || now.Sub(j.Finished) <= t.config.Retention
		}) {
			expired = append(expired, b)
		}
	}
	return expired
}

// deleteBatch deletes the record of an expired batch and the separate results of its jobs.
func (t *Table) deleteBatch(ctx context.Context, b *batch) {
	if err := t.config.Store.Delete(ctx, b.key, b.revision); err != nil && !isConflict(err) && !isNotFound(err) {
		return // The next flush after collectInterval tries again.
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetBatch(b)
	var keys []string
	for _, j := range b.record.Jobs {
		for i, task := range j.Tasks {
			if task.Stored {
				keys = append(keys, resultKey(j.ID, i))
			}
		}
	}
	if len(keys) > 0 {
		t.wg.Go(func() { t.deleteResults(t.baseCtx, keys) })
	}
}

// deleteRetryDelay is the pause before a failed deletion of a separate result is repeated.
const deleteRetryDelay = time.Second

// deleteResults deletes separate results one after the other. No record names them any more, so a deletion that fails is
// repeated until the context ends.
func (t *Table) deleteResults(ctx context.Context, keys []string) {
	for _, key := range keys {
		for {
			err := t.deleteResult(ctx, key)
			if err == nil {
				break
			}
			t.config.Log.V(1).Info("failed to delete an expired result", "key", key, "error", err.Error())
			if !sleep(ctx, deleteRetryDelay) {
				return
			}
		}
	}
}

// deleteResult deletes a separate result if it exists.
func (t *Table) deleteResult(ctx context.Context, key string) error {
	item, err := t.config.Store.Get(ctx, key)
	if isNotFound(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read result: %w", err)
	}
	if err := t.config.Store.Delete(ctx, key, item.Revision); err != nil && !isNotFound(err) {
		return fmt.Errorf("delete result: %w", err)
	}
	return nil
}
