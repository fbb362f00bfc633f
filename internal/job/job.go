// Package job manages durable jobs. It records them in the store, in batches, before they are acknowledged, tracks their
// tasks, and takes over the batches of members that were removed.
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

// Error is the class of the errors that New returns for an invalid Config.
var Error = errs.Class("job")

// Defaults and limits of the job table.
const (
	// DefaultFlushInterval is the interval at which the table writes new jobs and changes; the budget bounds the writes.
	DefaultFlushInterval = 50 * time.Millisecond
	// DefaultRetention is the time for which a finished job can be read.
	DefaultRetention = time.Hour
	// DefaultScanInterval is the interval at which one member scans for batches whose owner was removed.
	DefaultScanInterval = time.Minute
	// maxJobBytes bounds the estimated size of a new job. It leaves half of the store's value limit for results.
	maxJobBytes = platform.MaxValueBytes / 2
	// maxOpenBatchBytes bounds the size of a batch to which jobs are added after its first write. It bounds the bytes of
	// repeated writes: 8.8 writes/s of 64 KB are 0.6 MB/s.
	maxOpenBatchBytes = 64 << 10
	// maxNewBatchBytes bounds the first write of a batch. It is larger, so that many waiting jobs are recorded with fewer
	// writes.
	maxNewBatchBytes = 128 << 10
	// maxInlineBytes is the largest result that is stored in the batch record. A larger result is written to a separate
	// key, which costs a write of its own.
	maxInlineBytes = 4 << 10
	// maxRecordBytes bounds the estimated size of a batch with its inline results, below the store's value limit. Further
	// results are written to separate keys.
	maxRecordBytes = platform.MaxValueBytes * 3 / 4
	// withdrawGrace is how long a caller whose deadline has passed waits for the outcome of a write in progress.
	withdrawGrace = 3 * time.Second
	// taskRecordBytes is the estimated size of a task in the record, without its result.
	taskRecordBytes = 256
)

// ErrNotRecorded reports that the job was not written before the deadline and won't run.
var ErrNotRecorded = errors.New("job was not recorded before the deadline")

// ErrUnknownOutcome reports that it is unknown whether the job was recorded. The caller can look up its id later.
var ErrUnknownOutcome = errors.New("outcome of recording the job is unknown")

// ErrNotFound reports that this member owns no job with the id.
var ErrNotFound = errors.New("job not found")

// Dispatcher runs the tasks of jobs.
type Dispatcher struct {
	Submit      func(dispatch.Work) error
	SubmitGang  func([]dispatch.Work) error
	Resume      func(dispatch.Work, dispatch.AdoptedAttempt) error
	Cancel      func(k dispatch.Key, reason string) bool
	AdoptOrigin func(ctx context.Context, origin ident.MemberID, jobs []ident.JobID) ([]dispatch.AdoptedAttempt, bool)
	CouldFit    func(dispatch.Work) (bool, string)
	Admit       func(w dispatch.Work, n int) error // checks and counts n tasks like w that aren't queued yet
	AddPending  func(w dispatch.Work, n int)       // counts n tasks without a check; a negative n removes them
	Forget      func(k dispatch.Key)
}

// Config holds the dependencies of a Table.
type Config struct {
	Store           platform.Store
	Self            func() member.Member
	View            func() member.View
	Dispatcher      Dispatcher
	FlushInterval   time.Duration
	StoreWriteRate  float64       // writes per second that the budget allows
	OtherWriteCount func() uint64 // running count of other writes that share the budget; nil means none
	Retention       time.Duration
	ScanInterval    time.Duration
	Now             func() time.Time
	Log             logr.Logger
}

// Table manages the jobs that this member owns. It is safe for concurrent use.
type Table struct {
	config Config

	mu                   sync.Mutex
	batches              map[string]*batch
	jobs                 map[ident.JobID]jobLocation
	pending              []*submission
	dirty                []*batch // batches with unwritten changes, in the order of the first one
	openBatch            *batch   // batch to which new jobs are added up to maxOpenBatchBytes; may be nil
	budget               budget
	consecutiveNewWrites int // writes of new jobs since the last write of a changed batch
	lastCollection       time.Time
	cancelLimiter        *rate.Limiter
	jobChanged           chan struct{} // closed and replaced when a job changes
	scanRequested        chan struct{}
	baseCtx              context.Context
	cancelBase           context.CancelFunc
	wg                   sync.WaitGroup
}

// batch is a record in the store with the changes that wait for its next write.
type batch struct {
	key       string
	revision  platform.Revision
	record    record
	bytes     int      // estimated size of the record
	dirty     bool     // has unwritten changes
	urgent    bool     // the start of a task waits for the write
	onWritten []func() // called after the next successful write
}

// jobLocation is a job with the batch that contains it.
type jobLocation struct {
	batch *batch
	job   *jobRecord
}

// submission is a new job that waits until it is recorded.
type submission struct {
	job  *jobRecord
	done chan error
	// inWrite is set under the table's lock when the job is added to a batch that is being written.
	inWrite bool
	// withdrawn is set under the table's lock when the caller's deadline has passed.
	withdrawn bool
}

// New checks the configuration and returns an empty table.
func New(c Config) (*Table, error) {
	if c.Store == nil || c.Self == nil || c.View == nil || c.Dispatcher.Submit == nil || c.Dispatcher.AdoptOrigin == nil ||
		c.Dispatcher.Admit == nil || c.Dispatcher.AddPending == nil {
		return nil, Error.New("configuration fields Store, Self, View and functions of Dispatcher must be set")
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
		cancelLimiter: rate.NewLimiter(cancelsPerSecond, cancelBurst),
		budget:        newBudget(c.StoreWriteRate, c.OtherWriteCount(), c.Now()),
		jobChanged:    make(chan struct{}), scanRequested: make(chan struct{}, 1), baseCtx: base, cancelBase: stop,
	}, nil
}

// Run writes records and takes over the batches of removed members until the context ends.
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

// Policy contains the settings of a job's queue at the time of the submission.
type Policy struct {
	Kind     api.Kind
	Urgent   bool
	Priority int
	Retries  int
}

// Create records a job, submits its tasks to the dispatcher and returns once the record is in the store. It returns
// ErrNotRecorded if the context ended before, queue.ErrFull if the queued work uses too much memory, and
// ErrUnknownOutcome if it is unknown whether the job was recorded.
func (t *Table) Create(ctx context.Context, spec api.Spec, p Policy) (api.Job, error) {
	j := newJobRecord(spec, p, t.config.Now())
	w := j.work(0, t)
	if ok, reason := t.config.Dispatcher.CouldFit(w); !ok {
		return api.Job{}, fmt.Errorf("%w: %s", dispatch.ErrImpossible, reason)
	}
	if j.size() > maxJobBytes {
		return api.Job{}, fmt.Errorf("job record has %d bytes, at most %d are allowed", j.size(), maxJobBytes)
	}
	if err := t.config.Dispatcher.Admit(w, len(j.Tasks)); err != nil {
		return api.Job{}, fmt.Errorf("create job: %w", err)
	}
	defer t.config.Dispatcher.AddPending(w, -len(j.Tasks)) // from then on the queue counts the tasks
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
	// The record is being written. Its outcome usually arrives soon, and a known outcome is better than an unknown one.
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

// withdraw removes a pending submission and returns true. If the submission is being written, it returns false; a failed
// write is then not repeated.
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

// DropAll forgets every job and its tasks. It is called when this incarnation was removed, so that another member takes
// the jobs over.
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
