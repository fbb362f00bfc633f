package job

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/kv"
)

// failingStore fails the first calls that read or delete results.
type failingStore struct {
	platform.Store
	failuresLeft atomic.Int32
}

func (s *failingStore) Get(ctx context.Context, key string) (platform.Item, error) {
	if s.failuresLeft.Add(-1) >= 0 {
		return platform.Item{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Guards against results that stay in the store for ever: the record that named them was deleted, and the store didn't answer
// when they were to be deleted.
func TestDeletionOfExpiredResultsIsRepeated(t *testing.T) {
	store := &failingStore{Store: kv.New(kv.Config{}).Store()}
	b := &batch{key: batchKeyPrefix + "expired", record: record{
		Jobs: []*jobRecord{{ID: "j", Tasks: []taskRecord{{Stored: true}, {}, {Stored: true}}}},
	}}
	for _, key := range []string{resultKey("j", 0), resultKey("j", 2)} {
		if _, err := store.CompareAndSwap(t.Context(), key, 0, []byte("answer"), 0); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	table := &Table{config: Config{Store: store, Log: logr.Discard()}, baseCtx: ctx}
	t.Cleanup(table.wg.Wait)
	t.Cleanup(cancel)
	store.failuresLeft.Store(2)
	table.deleteBatch(ctx, b)
	for _, index := range []int{0, 2} {
		waitFor(t, "the deletion of a result", func() bool {
			_, err := store.Store.Get(ctx, resultKey("j", index))
			return isNotFound(err)
		})
	}
}
