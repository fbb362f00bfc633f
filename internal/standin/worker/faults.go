package worker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Op is a protocol call; AnyOp matches every call.
type Op string

// Protocol calls that a fault can apply to.
const (
	AnyOp        Op = ""
	OpAttach     Op = "attach"
	OpPoll       Op = "poll"
	OpStart      Op = "start"
	OpStop       Op = "stop"
	OpCheckpoint Op = "checkpoint"
	OpThrottle   Op = "throttle"
)

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	FaultRefuse      FaultKind = "refuse"       // the next Count calls of Op are refused without effect
	FaultDelay       FaultKind = "delay"        // every call of Op waits for Delay before it takes effect; 0 ends the fault
	FaultLoseReply   FaultKind = "lose-reply"   // the reply of the next Count calls of Op is lost after the effect
	FaultReplyLoss   FaultKind = "lose-some"    // every reply is lost with Probability
	FaultFailAll     FaultKind = "fail-all"     // every task fails while On
	FaultFailJobs    FaultKind = "fail-jobs"    // tasks of Jobs fail; an empty list ends the fault
	FaultPartition   FaultKind = "vanish"       // no request reaches the server and no reply leaves it while On
	FaultPause       FaultKind = "pause"        // calls and completions of tasks wait while On
	FaultHold        FaultKind = "hold"         // tasks don't complete after their run time while On
	FaultLeave       FaultKind = "leave"        // the server reports that it is leaving while On
	FaultIgnoreFence FaultKind = "ignore-fence" // stale epochs and lapsed leases aren't refused while On
)

// Fault sets or ends a fault. It is also the body of POST /faults.
type Fault struct {
	Kind        FaultKind      `json:"kind"`
	Op          Op             `json:"op,omitempty"`
	Count       int            `json:"count,omitempty"`
	Probability float64        `json:"probability,omitempty"`
	Delay       backend.Millis `json:"delay-ms,omitempty"`
	Jobs        []ident.JobID  `json:"jobs,omitempty"`
	On          bool           `json:"on,omitempty"`
}

// remainingCalls is the number of calls that a fault still applies to.
type remainingCalls struct {
	op    Op
	count int
}

// Faults are the active faults of a worker. It is safe for concurrent use.
type Faults struct {
	worker *Worker

	mu              sync.Mutex
	random          *rand.Rand
	refuse          []remainingCalls
	lose            []remainingCalls
	delays          map[Op]time.Duration
	lossProbability float64
	failAll         bool
	failingJobs     map[ident.JobID]bool
	partitioned     bool
	paused          chan struct{} // closed when the pause ends; nil without a pause
	held            chan struct{} // closed when tasks may complete again; nil without a hold
	ignoreFence     bool
}

// Refuse makes the next n calls of op fail with ErrRefused and have no effect.
func (f *Faults) Refuse(op Op, n int) { _ = f.Apply(Fault{Kind: FaultRefuse, Op: op, Count: n}) }

// Delay delays the effect of every call of op; 0 ends the delay.
func (f *Faults) Delay(op Op, d time.Duration) {
	_ = f.Apply(Fault{Kind: FaultDelay, Op: op, Delay: backend.ToMillis(d)})
}

// LoseNextReplies drops the replies of the next n calls of op after the calls took effect.
func (f *Faults) LoseNextReplies(op Op, n int) {
	_ = f.Apply(Fault{Kind: FaultLoseReply, Op: op, Count: n})
}

// SetReplyLoss drops every reply with the probability p. Config.Seed makes the choice reproducible.
func (f *Faults) SetReplyLoss(p float64) { _ = f.Apply(Fault{Kind: FaultReplyLoss, Probability: p}) }

// FailAll sets whether every task fails.
func (f *Faults) FailAll(on bool) { _ = f.Apply(Fault{Kind: FaultFailAll, On: on}) }

// FailJobs makes the tasks of these jobs fail; it replaces the jobs of an earlier call.
func (f *Faults) FailJobs(jobs ...ident.JobID) { _ = f.Apply(Fault{Kind: FaultFailJobs, Jobs: jobs}) }

// Partition sets whether the server is cut off from all callers. Its tasks run until the lease lapses.
func (f *Faults) Partition(on bool) { _ = f.Apply(Fault{Kind: FaultPartition, On: on}) }

// Pause sets whether all calls and completions of tasks wait.
func (f *Faults) Pause(on bool) { _ = f.Apply(Fault{Kind: FaultPause, On: on}) }

// Hold sets whether tasks keep running after their run time. Calls and leases aren't affected.
func (f *Faults) Hold(on bool) { _ = f.Apply(Fault{Kind: FaultHold, On: on}) }

// IgnoreFence sets whether stale commands are accepted, so that a test can show that it detects them.
func (f *Faults) IgnoreFence(on bool) { _ = f.Apply(Fault{Kind: FaultIgnoreFence, On: on}) }

// Apply sets or ends one fault. It fails for an unknown kind.
func (f *Faults) Apply(fault Fault) error {
	if fault.Kind == FaultLeave {
		f.worker.SetLeaving(fault.On)
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fault.Kind {
	case FaultRefuse:
		f.refuse = append(f.refuse, remainingCalls{fault.Op, fault.Count})
	case FaultLoseReply:
		f.lose = append(f.lose, remainingCalls{fault.Op, fault.Count})
	case FaultDelay:
		if f.delays == nil {
			f.delays = map[Op]time.Duration{}
		}
		f.delays[fault.Op] = fault.Delay.Duration()
	case FaultReplyLoss:
		f.lossProbability = fault.Probability
	case FaultFailAll:
		f.failAll = fault.On
	case FaultFailJobs:
		f.failingJobs = map[ident.JobID]bool{}
		for _, job := range fault.Jobs {
			f.failingJobs[job] = true
		}
	case FaultPartition:
		f.partitioned = fault.On
	case FaultIgnoreFence:
		f.ignoreFence = fault.On
	case FaultPause:
		setBlocked(&f.paused, fault.On)
	case FaultHold:
		setBlocked(&f.held, fault.On)
	default:
		return fmt.Errorf("unknown fault kind %q", fault.Kind)
	}
	return nil
}

// setBlocked creates the channel on which calls and completions wait, or closes it so that they continue.
func setBlocked(blocked *chan struct{}, block bool) {
	switch {
	case block && *blocked == nil:
		*blocked = make(chan struct{})
	case !block && *blocked != nil:
		close(*blocked)
		*blocked = nil
	}
}

// beforeCall applies the faults that precede a call's effect.
func (f *Faults) beforeCall(op Op) error {
	f.mu.Lock()
	delay := f.delays[op] + f.delays[AnyOp]
	if op == AnyOp {
		delay = f.delays[AnyOp]
	}
	partitioned := f.partitioned
	refused := !partitioned && consume(f.refuse, op)
	f.mu.Unlock()
	switch {
	case partitioned:
		return backend.ErrUnreachable
	case refused:
		return backend.ErrRefused
	case delay > 0:
		done := make(chan struct{})
		f.worker.config.AfterFunc(delay, func() { close(done) })
		<-done
	}
	f.waitPaused()
	return nil
}

// replyLost waits for the end of a pause and reports whether the reply of a call that took effect is lost.
func (f *Faults) replyLost(op Op) bool {
	f.waitPaused()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partitioned || consume(f.lose, op) {
		return true
	}
	return f.lossProbability > 0 && f.random.Float64() < f.lossProbability
}

// consume reports whether a fault applies to the call, and counts the call against the first such fault.
func consume(counters []remainingCalls, op Op) bool {
	for i := range counters {
		c := &counters[i]
		if c.count > 0 && (c.op == op || c.op == AnyOp) {
			c.count--
			return true
		}
	}
	return false
}

// completionBlocked returns a channel that is closed when the pause or hold that keeps tasks from completing ends, or nil if
// there is none.
func (f *Faults) completionBlocked() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused != nil {
		return f.paused
	}
	return f.held
}

func (f *Faults) waitPaused() {
	f.mu.Lock()
	paused := f.paused
	f.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (f *Faults) taskFails(job ident.JobID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failAll || f.failingJobs[job]
}

func (f *Faults) fenceIgnored() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ignoreFence
}
