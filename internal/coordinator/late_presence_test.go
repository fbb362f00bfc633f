package coordinator_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
)

// latePresenceStore loses the answers to the first writes of presence records and carries each of them out after a delay.
type latePresenceStore struct {
	platform.TransactionalStore
	delay time.Duration

	mu   sync.Mutex
	lost int // writes that get no answer
}

func (s *latePresenceStore) Transact(ctx context.Context, t platform.Transaction) (platform.Revision, error) {
	s.mu.Lock()
	late := s.lost > 0 && len(t.Writes) == 1 && strings.HasPrefix(t.Writes[0].Key, "cell/alive/")
	if late {
		s.lost--
	}
	s.mu.Unlock()
	if !late {
		return s.TransactionalStore.Transact(ctx, t)
	}
	time.AfterFunc(s.delay, func() {
		_, _ = s.TransactionalStore.Transact(context.WithoutCancel(ctx), t) // nobody learns of the outcome
	})
	return 0, platform.ErrUnknownOutcome
}

// Guards against a daemon that never leads, also as the last one (review of issue 58): a write of its presence record without an answer took
// effect late and replaced the record by one under a lease that nobody renewed.
func TestDaemonLeadsAfterALatePresenceWrite(t *testing.T) {
	for name, play := range map[string]struct {
		lost  int
		delay time.Duration
	}{
		"shortly after the next one":  {1, 100 * time.Millisecond},
		"0.3 s after the next one":    {1, 300 * time.Millisecond},
		"0.7 s after the next one":    {1, 700 * time.Millisecond},
		"three writes, one by one":    {3, 500 * time.Millisecond},
		"after the end of its lease":  {1, 2 * time.Second},
		"before the next one's grant": {1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t, 1, taskTime)
			c.startWithStore(&latePresenceStore{TransactionalStore: c.store, delay: play.delay, lost: play.lost}, "a", 300*time.Millisecond)
			first := c.start("b", 0)
			c.await("leader b", 3*time.Second, func() bool { return first.leader() == "b" })
			time.Sleep(2500 * time.Millisecond) // the late writes are done
			first.stop()
			c.await("leader a", 6*time.Second, func() bool { return c.daemons["a"].leader() == "a" })
		})
	}
}
