// Package worker is a stand-in of a backend server with fault injection, in process and over HTTP. It keeps the
// protocol of internal/backend, and records breaches of the scheduler's invariants instead of preventing them.
package worker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const (
	// knownAttempts bounds the remembered ends and tombstones; the oldest are forgotten.
	maxEndedAttempts = 1 << 16
	// replyAnswerBytes bounds the answers of one reply; the rest follows in the next poll.
	maxReplyAnswerBytes = 1 << 20
	// AnswerPrefix is what the default handler puts before the payload.
	AnswerPrefix = "done:"
)

// Config describes a worker. Zero fields take the defaults given with them.
type Config struct {
	Host        ident.HostID
	Capacity    resource.Vector
	Now         func() time.Time                                   // time.Now
	AfterFunc   func(d time.Duration, f func()) (stop func() bool) // time.AfterFunc
	Handler     func(backend.Task) ([]byte, error)                 // echoes the payload after AnswerPrefix
	Unsupported func(backend.Task) bool                            // tasks without checkpoint and throttle; none
	UsageFactor float64                                            // reported usage per declared demand; 1
	UsageLag    time.Duration                                      // delay of a usage report after the start
	Ledger      *Ledger                                            // shared by several workers; an own one
	Seed        uint64                                             // of the probabilistic faults
}

// Run is one attempt that was started, for tests.
type Run struct {
	Attempt ident.AttemptID   `json:"attempt"`
	Job     ident.JobID       `json:"job"`
	Index   int               `json:"index"`
	Request ident.RequestID   `json:"request,omitempty"`
	Started time.Time         `json:"started"`
	Exit    backend.ExitState `json:"exit,omitempty"` // empty while it runs, "lost" after a restart of the server
}

// exitLost is the end of a run whose server restarted.
const exitLost backend.ExitState = "lost"

// end is what is remembered of an attempt that doesn't run.
type endedAttempt struct {
	state backend.StopState
}

// finished is a result that waits for its acknowledgement.
type pendingResult struct {
	result   backend.Result
	sequence uint64
}

// running is an attempt that runs.
type activeTask struct {
	task            backend.Task
	started         time.Time
	stop            func() bool
	throttlePercent int
	reported        bool // usage was reported at the present throttle
	runIndex        int  // index into Worker.runs
}

// Worker is one stand-in backend server. It is safe for concurrent use.
type Worker struct {
	config Config
	faults *Faults

	mu              sync.Mutex
	bootCount       int
	bootID          string
	capacity        resource.Vector
	leaving         bool
	fence           backend.Fence
	leaseEnd        time.Time // zero when no lease is held
	stopLeaseTimer  func() bool
	running         map[ident.AttemptID]*activeTask
	pendingResults  []pendingResult // in sequence order
	sequence        uint64
	endedAttempts   map[ident.AttemptID]endedAttempt
	endOrder        []ident.AttemptID // of known, oldest first
	runs            []Run
	stateVersion    uint64 // counts changes of capacity and leaving
	reportedVersion uint64 // value of state that the last poll reply carried
	wake            chan struct{}
}

// New returns a worker that nobody has attached to.
func New(c Config) *Worker {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.AfterFunc == nil {
		c.AfterFunc = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	}
	if c.Handler == nil {
		c.Handler = func(t backend.Task) ([]byte, error) { return append([]byte(AnswerPrefix), t.Payload...), nil }
	}
	if c.Unsupported == nil {
		c.Unsupported = func(backend.Task) bool { return false }
	}
	c.UsageFactor = cmp.Or(c.UsageFactor, 1)
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	w := &Worker{config: c, wake: make(chan struct{}), running: map[ident.AttemptID]*activeTask{}}
	w.faults = &Faults{worker: w, random: rand.New(rand.NewPCG(c.Seed, 1)), failingJobs: map[ident.JobID]bool{}}
	w.Restart(c.Capacity)
	return w
}

// Faults returns the setters of the faults.
func (w *Worker) Faults() *Faults { return w.faults }

// Host returns the host's id.
func (w *Worker) Host() ident.HostID { return w.config.Host }

// Violations returns what this worker noticed; Ledger.Violations covers all workers.
func (w *Worker) Violations() []Violation {
	return slices.DeleteFunc(w.config.Ledger.Violations(), func(v Violation) bool { return v.Host != w.config.Host })
}

// Runs returns every attempt that was started, in the order of the starts.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// Restart loses all tasks, results, tombstones and the fence, and comes back with another boot id and the capacity.
func (w *Worker) Restart(capacity resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		r.stop()
		w.runs[r.runIndex].Exit = exitLost
		w.config.Ledger.recordEnd(r.task)
	}
	if w.stopLeaseTimer != nil {
		w.stopLeaseTimer()
	}
	w.bootCount++
	w.bootID = string(w.config.Host) + "-boot-" + strconv.Itoa(w.bootCount)
	w.capacity = capacity
	w.leaving = false
	w.fence, w.leaseEnd, w.stopLeaseTimer = backend.Fence{}, time.Time{}, nil
	w.running = map[ident.AttemptID]*activeTask{}
	w.pendingResults, w.sequence = nil, 0
	w.endedAttempts, w.endOrder = map[ident.AttemptID]endedAttempt{}, nil
	w.stateChangedLocked()
}

// SetCapacity changes the capacity without a restart; running tasks go on.
func (w *Worker) SetCapacity(capacity resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity = capacity
	w.stateChangedLocked()
}

// SetLeaving sets whether the server is leaving; a leaving server refuses starts and keeps its running tasks.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.stateChangedLocked()
}

// changedLocked announces a change of capacity or state to the waiting polls.
func (w *Worker) stateChangedLocked() {
	w.stateVersion++
	w.wakeLocked()
}

func (w *Worker) wakeLocked() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// renewLocked sets the end of the lease and its timer.
func (w *Worker) setLeaseLocked(lease time.Duration) {
	if w.stopLeaseTimer != nil {
		w.stopLeaseTimer()
	}
	w.leaseEnd = w.config.Now().Add(lease)
	w.stopLeaseTimer = w.config.AfterFunc(lease, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expireLocked()
	})
}

// expireLocked stops all tasks when the lease has lapsed. It runs at the lease's timer and before every command, so
// that a server that was paused beyond its lease stops the tasks before it looks at a command.
func (w *Worker) expireLocked() {
	if w.leaseEnd.IsZero() || w.config.Now().Before(w.leaseEnd) {
		return
	}
	w.leaseEnd = time.Time{}
	attempts := make([]ident.AttemptID, 0, len(w.running))
	for attempt := range w.running {
		attempts = append(attempts, attempt)
	}
	slices.Sort(attempts)
	for _, attempt := range attempts {
		w.finishLocked(attempt, backend.ExitLeaseLapsed, nil, "the owner's lease lapsed")
	}
}

// rememberLocked records how an attempt ended, within knownAttempts.
func (w *Worker) recordEndLocked(attempt ident.AttemptID, state backend.StopState) {
	if _, ok := w.endedAttempts[attempt]; !ok {
		w.endOrder = append(w.endOrder, attempt)
	}
	w.endedAttempts[attempt] = endedAttempt{state}
	if len(w.endOrder) > maxEndedAttempts {
		delete(w.endedAttempts, w.endOrder[0])
		w.endOrder = w.endOrder[1:]
	}
}

// Close ends all tasks and timers and releases paused calls.
func (w *Worker) Close() {
	w.Restart(w.config.Capacity)
	w.faults.Pause(false)
	w.faults.Hold(false)
}
