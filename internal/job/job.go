// Package job keeps durable jobs: it records them in the store in batches before they are acknowledged,
// follows their tasks, and takes over the batches of dead members.
package job

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"github.com/rosemaryspoke/rosemaryspoke/internal/dispatch"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Error is the class of configurations that New refuses.
var Error = errs.Class("job")

// Defaults of the job table.
const (
	// DefaultFlushInterval is how often the table looks for something to write; the budget bounds the writes.
	DefaultFlushInterval = 50 * time.Millisecond
	// DefaultRetention is how long a finished job can be read.
	DefaultRetention = time.Hour
	// DefaultScanInterval is how often one member looks for batches without a live owner.
	DefaultScanInterval = time.Minute
	// maxJobBytes keeps the record of one job well below the store's value limit while results are added.
	maxJobBytes = platform.MaxValueBytes / 2
	// maxOpenBatchBytes is the size up to which a batch takes further jobs with a later write. It bounds the bytes of a
	// rewrite: 8.8 writes/s of 64 KB are 0.6 MB/s.
	maxOpenBatchBytes = 64 << 10
	// maxNewBatchBytes bounds a batch of new jobs only, so that many that wait are recorded with fewer writes.
	maxNewBatchBytes = 128 << 10
	// maxInlineBytes is the largest result that is kept in the batch record; larger ones get a key of their own, and
	// with it a write of their own.
	maxInlineBytes = 4 << 10
	// maxRecordBytes is the estimated size from which a batch takes no inline results, below the store's limit.
	maxRecordBytes = platform.MaxValueBytes * 3 / 4
	// withdrawGrace is how long a caller whose deadline passed waits for the outcome of the write under way.
	withdrawGrace = 3 * time.Second
	// taskRecordBytes is the estimated size of a task's state in the record.
	taskRecordBytes = 256
)

// ErrNotRecorded reports that the job was not written before the deadline; it won't run.
var ErrNotRecorded = errors.New("job was not recorded before the deadline")

// ErrUnknownOutcome reports that the job may or may not have been recorded; its id can be asked later.
var ErrUnknownOutcome = errors.New("outcome of the job record is unknown")

// ErrNotFound reports that no such job exists.
var ErrNotFound = errors.New("job not found")

// Dispatcher runs the tasks of jobs.
type Dispatcher struct {
	Submit      func(dispatch.Work) error
	SubmitGang  func([]dispatch.Work) error
	Resume      func(dispatch.Work, dispatch.AdoptedAttempt) error
	Cancel      func(k dispatch.Key, reason string) bool
	AdoptOrigin func(ctx context.Context, origin ident.MemberID, jobs []ident.JobID) ([]dispatch.AdoptedAttempt, bool)
	CouldFit    func(dispatch.Work) (bool, string)
	Admit       func(w dispatch.Work, n int) error // counts n tasks like w that aren't in the queue yet
	AddPending  func(w dispatch.Work, n int)       // the same without a check; a negative number takes them back
	Forget      func(k dispatch.Key)
}

// Config holds the dependencies of a Table.
type Config struct {
	Store           platform.Store
	Self            func() member.Member
	View            func() member.View
	Dispatcher      Dispatcher
	FlushInterval   time.Duration
	StoreWriteRate  float64       // budget of writes per second
	OtherWriteCount func() uint64 // running count of writes that share the budget; nil means none
	Retention       time.Duration
	ScanInterval    time.Duration
	Now             func() time.Time
	Log             logr.Logger
}

// Table holds the jobs that this member owns.
type Table struct {
	config Config

	mu                   sync.Mutex
	batches              map[string]*batch
	jobs                 map[ident.JobID]jobLocation
	pending              []*submission
	dirty                []*batch // in the order of their first unwritten change
	openBatch            *batch   // takes new jobs while it has room
	budget               budget
	consecutiveNewWrites int // writes of new jobs since the last rewrite
	lastCollection       time.Time
	cancels              *rate.Limiter
	jobChanged           chan struct{} // closed and replaced at every change of a job
	scanRequested        chan struct{}
	baseCtx              context.Context
	cancelBase           context.CancelFunc
	wg                   sync.WaitGroup
}

// batch is a record in the store and what waits for its next write.
type batch struct {
	key       string
	revision  platform.Revision
	record    record
	bytes     int      // estimated size of the record
	dirty     bool     // has changes that wait for a write
	urgent    bool     // a start waits for the write
	onWritten []func() // called after the next successful write
}

// jobLocation is where a job's record is.
type jobLocation struct {
	batch *batch
	job   *jobRecord
}

// submission is a new job that waits for its record.
type submission struct {
	job  *jobRecord
	done chan error
	// inWrite is set under the table's lock when the job goes into a batch that is being written.
	inWrite bool
	// withdrawn is set when the caller's deadline has passed.
	withdrawn bool
}

// New returns an empty table.
func New(c Config) (*Table, error) {
	if c.Store == nil || c.Self == nil || c.View == nil || c.Dispatcher.Submit == nil || c.Dispatcher.AdoptOrigin == nil ||
		c.Dispatcher.Admit == nil || c.Dispatcher.AddPending == nil {
		return nil, Error.New("Store, Self, View and Dispatcher must be set")
	}
	if c.FlushInterval <= 0 {
		c.FlushInterval = DefaultFlushInterval
	}
	if c.Retention <= 0 {
		c.Retention = DefaultRetention
	}
	if c.ScanInterval <= 0 {
		c.ScanInterval = DefaultScanInterval
	}
	if c.StoreWriteRate <= 0 {
		c.StoreWriteRate = DefaultStoreWriteRate
	}
	if c.OtherWriteCount == nil {
		c.OtherWriteCount = func() uint64 { return 0 }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	base, stop := context.WithCancel(context.Background())
	return &Table{
		config: c, batches: map[string]*batch{}, jobs: map[ident.JobID]jobLocation{},
		cancels:    rate.NewLimiter(cancelsPerSecond, cancelBurst),
		budget:     newBudget(c.StoreWriteRate, c.OtherWriteCount(), c.Now()),
		jobChanged: make(chan struct{}), scanRequested: make(chan struct{}, 1), baseCtx: base, cancelBase: stop,
	}, nil
}

// Run writes records and looks for batches of dead members until the context ends.
func (t *Table) Run(ctx context.Context) error {
	defer t.wg.Wait()
	defer t.cancelBase()
	t.wg.Go(func() { t.scanLoop(ctx) })
	tick := time.NewTicker(t.config.FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			t.flush(ctx)
		}
	}
}

// Policy is what the queue says about a job when it is submitted.
type Policy struct {
	Kind     api.Kind
	Urgent   bool
	Priority int
	Retries  int
}

// Create records a job and hands its tasks to the dispatcher. It returns after the record is in the store,
// with ErrNotRecorded when the context ended before, queue.ErrFull when the queued work takes too much memory, or
// ErrUnknownOutcome when the write can't be settled.
func (t *Table) Create(ctx context.Context, spec api.Spec, p Policy) (api.Job, error) {
	j := newJobRecord(spec, p, t.config.Now())
	w := j.work(0, t)
	if ok, reason := t.config.Dispatcher.CouldFit(w); !ok {
		return api.Job{}, fmt.Errorf("%w: %s", dispatch.ErrImpossible, reason)
	}
	if j.size() > maxJobBytes {
		return api.Job{}, fmt.Errorf("job record of %d bytes is above the bound of %d", j.size(), maxJobBytes)
	}
	if err := t.config.Dispatcher.Admit(w, len(j.Tasks)); err != nil {
		return api.Job{}, fmt.Errorf("create job: %w", err)
	}
	defer t.config.Dispatcher.AddPending(w, -len(j.Tasks)) // its tasks are counted by the queue then
	s := &submission{job: j, done: make(chan error, 1)}
	t.mu.Lock()
	t.pending = append(t.pending, s)
	t.mu.Unlock()
	select {
	case err := <-s.done:
		if err != nil {
			return api.Job{ID: j.ID}, err
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		return j.toAPI(t.config.Self().ID), nil
	case <-ctx.Done():
	}
	if t.withdraw(s) {
		return api.Job{ID: j.ID}, fmt.Errorf("%w: %w", ErrNotRecorded, ctx.Err())
	}
	// The record is being written now. Its outcome usually follows at once, and it is better than an unknown one.
	select {
	case err := <-s.done:
		if err != nil {
			return api.Job{ID: j.ID}, err
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		return j.toAPI(t.config.Self().ID), nil
	case <-time.After(withdrawGrace):
		return api.Job{ID: j.ID}, fmt.Errorf("%w: %w", ErrUnknownOutcome, ctx.Err())
	}
}

// withdraw takes back a submission that isn't in a write; one that is in a write isn't written again.
func (t *Table) withdraw(s *submission) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.withdrawn = true
	if s.inWrite {
		return false
	}
	for i, p := range t.pending {
		if p == s {
			t.pending = append(t.pending[:i], t.pending[i+1:]...)
			break
		}
	}
	return true
}

// DropAll forgets every job, because this incarnation was removed and another member takes them over.
func (t *Table) DropAll() {
	t.mu.Lock()
	var keys []dispatch.Key
	for _, b := range t.batches {
		for _, j := range b.record.Jobs {
			for i := range j.Tasks {
				keys = append(keys, dispatch.Key{Job: j.ID, Index: i})
			}
		}
	}
	clear(t.batches)
	clear(t.jobs)
	t.dirty, t.openBatch = nil, nil
	t.mu.Unlock()
	for _, k := range keys {
		t.config.Dispatcher.Forget(k)
	}
	t.config.Log.Info("dropped all jobs because the incarnation was removed", "tasks", len(keys))
}
