package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/coordinator"
	"github.com/rosemaryspoke/rosemaryspoke/internal/entry"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/txstore"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// holdingStore keeps the writes of job records without a reply, so that a test can apply them later.
type holdingStore struct {
	*txstore.Store
	mu   sync.Mutex
	held []platform.Transaction
}

func (s *holdingStore) Transact(ctx context.Context, t platform.Transaction) (platform.Revision, error) {
	if len(t.Writes) != 1 || !strings.HasPrefix(t.Writes[0].Key, "job/") {
		return s.Store.Transact(ctx, t)
	}
	s.mu.Lock()
	s.held = append(s.held, t)
	s.mu.Unlock()
	<-ctx.Done()
	return 0, fmt.Errorf("held back: %w", platform.ErrUnknownOutcome)
}

// applyHeld applies the writes that were held back and returns their errors.
func (s *holdingStore) applyHeld() []error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for _, t := range s.held {
		_, err := s.Store.Transact(context.Background(), t)
		errs = append(errs, err)
	}
	return errs
}

// cancelJob cancels a job within a time.
func (d *daemon) cancelJob(id int, limit time.Duration) entry.Response {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return d.gateway.Cancel(ctx, request(jobID(id)))
}

func submitWithin(d *daemon, id int, limit time.Duration) entry.Response {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return d.gateway.Submit(ctx, request(jobID(id)), func(ident.JobID) (*sched.Job, error) {
		return &sched.Job{Steps: []sched.Step{{Count: 1, Demand: taskDemand, Estimate: taskTime}}}, nil
	})
}

// Guards against jobs that run although the answer to their cancellation was that they don't exist: the write of a submission whose
// reply was lost took effect after the cancellation.
func TestCancellationOfUnrecordedJobBindsLateSubmissions(t *testing.T) {
	c := newCell(t, 1, taskTime)
	store := &holdingStore{Store: c.store}
	a := c.startWithStore(store, "a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" })
	b := c.start("b", 300*time.Millisecond)
	c.await("the view of b", 3*time.Second, func() bool { return b.leader() == "a" && b.configured() })

	if r := submitWithin(a, 0, 300*time.Millisecond); r.Kind != entry.Unknown {
		t.Fatalf("submission without a reply: %s, %s, want %s", r.Kind, r.Reason, entry.Unknown)
	}
	if r := b.cancelJob(0, 2*time.Second); r.Kind != entry.NoJob {
		t.Fatalf("cancellation: %s, %s, want %s", r.Kind, r.Reason, entry.NoJob)
	}
	if r := b.cancelJob(0, 2*time.Second); r.Kind != entry.NoJob {
		t.Errorf("repeated cancellation: %s, %s, want %s", r.Kind, r.Reason, entry.NoJob)
	}
	if errs := store.applyHeld(); len(errs) == 0 {
		t.Fatal("the submission made no write")
	} else {
		for _, err := range errs {
			if !errors.Is(err, platform.ErrConflict) {
				t.Errorf("late write of the submission: %v, want a conflict", err)
			}
		}
	}
	r := b.submit(jobID(0), 1)
	if r.Kind != entry.Refused || r.RetryAfter <= 0 {
		t.Errorf("submission after the cancellation: %s, retry after %s, want %s with a time", r.Kind, r.RetryAfter, entry.Refused)
	}
	if _, found := c.store.Peek(coordinator.JobKey(jobID(0))); found {
		t.Error("the cancelled job is recorded")
	}
	if r := b.submit(jobID(1), 1); r.Kind != entry.Accepted {
		t.Errorf("submission of another job: %s, %s", r.Kind, r.Reason)
	}
}

// Guards against a cancellation without an answer while the store loses the replies to its write, and against a second write that takes
// the mark of the first for a job.
func TestCancellationOfUnrecordedJobWhileRepliesAreLost(t *testing.T) {
	c := newCell(t, 1, taskTime)
	a := c.start("a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	var lost atomic.Int64
	c.store.SetFault(func(call, key string) txstore.Fault {
		if (call == "transact" && strings.HasPrefix(key, "job/") || call == "grant") && lost.Add(1) <= 2 {
			return txstore.LoseReply
		}
		return txstore.None
	})
	if r := a.cancelJob(0, 3*time.Second); r.Kind != entry.NoJob {
		t.Errorf("cancellation: %s, %s, want %s", r.Kind, r.Reason, entry.NoJob)
	}
	if lost.Load() < 2 {
		t.Errorf("%d calls lost their reply, want 2", lost.Load())
	}
}

// Guards against a team that blocks an id of another team by cancelling it first.
func TestCancellationByAnotherTeamBlocksNoJob(t *testing.T) {
	c := newCell(t, 1, taskTime)
	a := c.start("a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	c.store.Put(coordinator.CancelKey(jobID(0)), []byte(`{"teams":["red"]}`))
	if r := a.submit(jobID(0), 1); r.Kind != entry.Accepted {
		t.Fatalf("submission: %s, %s, want %s", r.Kind, r.Reason, entry.Accepted)
	}
	c.awaitCompleted(a, 1, 3*time.Second)

	c.store.Put(coordinator.CancelKey(jobID(1)), []byte(`{"teams":["red"]}`))
	if r := a.cancelJob(1, time.Second); r.Kind != entry.NoJob {
		t.Errorf("cancellation beside that of another team: %s, %s", r.Kind, r.Reason)
	}
	if it, _ := c.store.Peek(coordinator.CancelKey(jobID(1))); string(it.Value) != `{"teams":["red","blue"]}` {
		t.Errorf("mark: %s, want both teams", it.Value)
	}
	if r := a.submit(jobID(1), 1); r.Kind != entry.Refused {
		t.Errorf("submission after both cancellations: %s, want %s", r.Kind, entry.Refused)
	}
}

// Guards against marks that outlive a burst of cancellations, and against one lease for each of them.
func TestMarksOfCancellationsExpireWithASharedLease(t *testing.T) {
	var skipped atomic.Int64
	store := txstore.New(func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) })
	c := newCellInStore(t, store, 1, func(sched.TaskID) time.Duration { return taskTime })
	a := c.start("a", 0)
	c.await("leader a", 3*time.Second, func() bool { return a.leader() == "a" && a.configured() })
	grants := c.store.CallCount("grant")
	for n := range 20 {
		if r := a.cancelJob(n, time.Second); r.Kind != entry.NoJob {
			t.Fatalf("cancellation: %s, %s", r.Kind, r.Reason)
		}
	}
	if n := c.store.CallCount("grant") - grants; n > 2 { // one may be that of a presence record
		t.Errorf("%d leases for 20 cancellations, want one", n)
	}
	skipped.Add(int64(3 * time.Minute))
	c.await("a submission with a cancelled id", 5*time.Second, func() bool { return a.submit(jobID(3), 1).Kind == entry.Accepted })
	c.await("its completion", 5*time.Second, func() bool { return a.read(jobID(3)).State == sched.StateCompleted })
}
