// Package worker simulates a backend server that implements the protocol of internal/backend, in process and over HTTP, with
// fault injection. It records violations of the scheduler's invariants instead of preventing them. Package runhost simulates
// the backend servers of the other protocol, that of internal/coordinator.
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
	// maxEndedAttempts bounds the ended attempts and tombstones that a worker keeps; the oldest are dropped.
	maxEndedAttempts = 1 << 16
	// maxReplyAnswerBytes bounds the answers in one reply; the next poll returns the rest. A single larger answer is sent
	// alone.
	maxReplyAnswerBytes = 1 << 20
	// AnswerPrefix is the text that the default handler puts before the payload.
	AnswerPrefix = "done:"
)

// Config configures a worker. A zero field has the default that its comment gives.
type Config struct {
	Host                   ident.HostID
	Capacity               resource.Vector
	Now                    func() time.Time                                   // default: time.Now
	AfterFunc              func(d time.Duration, f func()) (stop func() bool) // default: time.AfterFunc
	Handler                func(backend.Task) ([]byte, error)                 // computes the answer; default: AnswerPrefix + payload
	NoCheckpointOrThrottle func(backend.Task) bool                            // selects tasks that support neither; default: none
	UsageFactor            float64                                            // reported usage divided by the demand; default: 1
	UsageLag               time.Duration                                      // time from the start to the first usage report
	Ledger                 *Ledger                                            // may be shared by several workers; default: a new one
	Seed                   uint64                                             // seed of the probabilistic faults
}

// Run describes an attempt that was started.
type Run struct {
	Attempt ident.AttemptID   `json:"attempt"`
	Job     ident.JobID       `json:"job"`
	Index   int               `json:"index"`
	Request ident.RequestID   `json:"request,omitempty"`
	Started time.Time         `json:"started"`
	Exit    backend.ExitState `json:"exit,omitempty"` // empty while it runs, "lost" if the server restarted
}

// exitLost is the exit of a run whose server restarted.
const exitLost backend.ExitState = "lost"

// endedAttempt records how an attempt ended, or that it was stopped before its start.
type endedAttempt struct {
	state backend.StopState
}

// pendingResult is a result that isn't acknowledged yet.
type pendingResult struct {
	result   backend.Result
	sequence uint64
}

// activeTask is a running attempt.
type activeTask struct {
	task            backend.Task
	started         time.Time
	stop            func() bool // stops the timer that completes the task
	throttlePercent int
	reported        bool // usage was reported at the current throttle
	runIndex        int  // index into Worker.runs
}

// Worker is a simulated backend server. It is safe for concurrent use.
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
	sequence        uint64          // of the last result
	endedAttempts   map[ident.AttemptID]endedAttempt
	endOrder        []ident.AttemptID // keys of endedAttempts, oldest first
	runs            []Run
	stateVersion    uint64        // counts changes of capacity and leaving
	reportedVersion uint64        // stateVersion in the last reply to the owner
	wake            chan struct{} // closed when waiting polls must check again
}

// New returns a worker without an owner.
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
	if c.NoCheckpointOrThrottle == nil {
		c.NoCheckpointOrThrottle = func(backend.Task) bool { return false }
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

// Faults returns the faults of the worker.
func (w *Worker) Faults() *Faults { return w.faults }

// Host returns the id of the worker's host.
func (w *Worker) Host() ident.HostID { return w.config.Host }

// Violations returns the violations on this worker; Ledger.Violations covers all workers of the ledger.
func (w *Worker) Violations() []Violation {
	return slices.DeleteFunc(w.config.Ledger.Violations(), func(v Violation) bool { return v.Host != w.config.Host })
}

// Runs returns all attempts that were started, in start order.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// Restart simulates a restart of the server: tasks, results, tombstones, lease and fence are lost, and the server gets a
// new boot id and the given capacity.
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

// SetCapacity changes the capacity without a restart; running tasks continue.
func (w *Worker) SetCapacity(capacity resource.Vector) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacity = capacity
	w.stateChangedLocked()
}

// SetLeaving sets whether the server is leaving. A leaving server refuses starts and keeps its running tasks.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.stateChangedLocked()
}

// stateChangedLocked makes waiting polls report a change of the capacity or of the leaving state.
func (w *Worker) stateChangedLocked() {
	w.stateVersion++
	w.wakeLocked()
}

// wakeLocked makes waiting polls check again.
func (w *Worker) wakeLocked() {
	close(w.wake)
	w.wake = make(chan struct{})
}

// setLeaseLocked sets the end of the lease and the timer for it.
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

// expireLocked stops all tasks if the lease has lapsed. It runs on the lease's timer and before every command, so that a
// server that was paused for longer than its lease stops the tasks before it handles a command.
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

// recordEndLocked records how an attempt ended, and drops the oldest record above maxEndedAttempts.
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

// Close stops all tasks and timers and lets paused calls continue.
func (w *Worker) Close() {
	w.Restart(w.config.Capacity)
	w.faults.Pause(false)
	w.faults.Hold(false)
}
