package coordinator_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
)

// refusingStore refuses the writes of a key, as a store does with a malformed or too large value.
type refusingStore struct {
	*txstore.Store
	key     string
	refused atomic.Int64
}

func (s *refusingStore) Transact(ctx context.Context, t platform.Transaction) (platform.Revision, error) {
	for _, w := range t.Writes {
		if w.Key == s.key {
			s.refused.Add(1)
			return 0, errors.New("status 400")
		}
	}
	return s.Store.Transact(ctx, t)
}

// Guards against one job whose progress the store refuses that keeps the progress of other jobs from being recorded, and against a write
// that is repeated without a pause.
func TestRefusedProgressKeepsNoOtherJobBack(t *testing.T) {
	c := newCell(t, 4, taskTime)
	store := &refusingStore{Store: c.store, key: coordinator.ProgressKey(jobID(0))}
	a := c.startWithStore(store, "a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	if r := a.submit(jobID(0), 200); r.Kind != entry.Accepted {
		t.Fatalf("job 0: %s", r.Kind)
	}
	c.await("a refused write", 3*time.Second, func() bool { return store.refused.Load() > 0 })
	for n := 1; n <= 8; n++ {
		if r := a.submit(jobID(n), 4); r.Kind != entry.Accepted {
			t.Fatalf("job %d: %s", n, r.Kind)
		}
	}
	for n := 1; n <= 8; n++ {
		c.await("completion of job "+string(jobID(n)), 5*time.Second, func() bool { return a.read(jobID(n)).State == sched.StateCompleted })
	}
	if n := store.refused.Load(); n > 60 {
		t.Errorf("%d refused writes", n)
	}
}
