package job

import (
	"context"
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
	for _, j := range b.record.Jobs {
		for i, task := range j.Tasks {
			if task.Stored {
				t.wg.Go(func() { t.deleteResult(resultKey(j.ID, i)) })
			}
		}
	}
}

// deleteResult deletes a separate result. A result whose deletion fails stays in the store.
func (t *Table) deleteResult(key string) {
	item, err := t.config.Store.Get(t.baseCtx, key)
	if err != nil {
		return
	}
	if err := t.config.Store.Delete(t.baseCtx, key, item.Revision); err != nil {
		t.config.Log.V(1).Info("failed to delete an expired result", "key", key, "error", err.Error())
	}
}
