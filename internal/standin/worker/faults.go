package worker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Op names a call; AnyOp stands for all of them.
type Op string

// Calls that faults apply to.
const (
	AnyOp        Op = ""
	OpAttach     Op = "attach"
	OpPoll       Op = "poll"
	OpStart      Op = "start"
	OpStop       Op = "stop"
	OpCheckpoint Op = "checkpoint"
	OpThrottle   Op = "throttle"
)

// FaultKind names a fault.
type FaultKind string

// Faults that can be set.
const (
	FaultRefuse      FaultKind = "refuse"       // the next Count calls of Op are refused without effect
	FaultDelay       FaultKind = "delay"        // every call of Op waits Delay before it takes effect; 0 ends it
	FaultLoseReply   FaultKind = "lose-reply"   // the reply of the next Count calls of Op is lost after the effect
	FaultReplyLoss   FaultKind = "lose-some"    // each reply of any call is lost with Probability
	FaultFailAll     FaultKind = "fail-all"     // every task fails while On
	FaultFailJobs    FaultKind = "fail-jobs"    // tasks of Jobs fail; an empty list ends it
	FaultPartition   FaultKind = "vanish"       // nothing reaches the server and no reply leaves it while On
	FaultPause       FaultKind = "pause"        // calls and finished tasks wait while On
	FaultHold        FaultKind = "hold"         // tasks whose run time is over don't end while On
	FaultLeave       FaultKind = "leave"        // the server reports that it is leaving while On
	FaultIgnoreFence FaultKind = "ignore-fence" // stale epochs and lapsed leases aren't refused while On
)

// Fault is one setting of a fault, also the body of POST /faults.
type Fault struct {
	Kind        FaultKind      `json:"kind"`
	Op          Op             `json:"op,omitempty"`
	Count       int            `json:"count,omitempty"`
	Probability float64        `json:"probability,omitempty"`
	Delay       backend.Millis `json:"delay-ms,omitempty"`
	Jobs        []ident.JobID  `json:"jobs,omitempty"`
	On          bool           `json:"on,omitempty"`
}

type remainingCalls struct {
	op    Op
	count int
}

// Faults holds the faults of one worker. It is safe for concurrent use.
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
	paused          chan struct{} // closed when the pause ends; nil while not paused
	held            chan struct{} // closed when tasks may end again; nil while they may
	ignoreFence     bool
}

// Refuse makes the next n calls of op fail with ErrRefused and without effect.
func (f *Faults) Refuse(op Op, n int) { _ = f.Apply(Fault{Kind: FaultRefuse, Op: op, Count: n}) }

// Delay makes every call of op wait before it takes effect; 0 ends the delay.
func (f *Faults) Delay(op Op, d time.Duration) {
	_ = f.Apply(Fault{Kind: FaultDelay, Op: op, Delay: backend.ToMillis(d)})
}

// LoseNextReplies drops the replies of the next n calls of op after they took effect.
func (f *Faults) LoseNextReplies(op Op, n int) {
	_ = f.Apply(Fault{Kind: FaultLoseReply, Op: op, Count: n})
}

// SetReplyLoss drops each reply with a probability, drawn from Config.Seed.
func (f *Faults) SetReplyLoss(p float64) { _ = f.Apply(Fault{Kind: FaultReplyLoss, Probability: p}) }

// FailAll makes every task fail.
func (f *Faults) FailAll(on bool) { _ = f.Apply(Fault{Kind: FaultFailAll, On: on}) }

// FailJobs makes the tasks of these jobs fail.
func (f *Faults) FailJobs(jobs ...ident.JobID) { _ = f.Apply(Fault{Kind: FaultFailJobs, Jobs: jobs}) }

// Partition cuts the server off; its tasks go on until the lease lapses.
func (f *Faults) Partition(on bool) { _ = f.Apply(Fault{Kind: FaultPartition, On: on}) }

// Pause holds all calls and the ends of tasks until it is switched off.
func (f *Faults) Pause(on bool) { _ = f.Apply(Fault{Kind: FaultPause, On: on}) }

// Hold keeps tasks running past their run time until it is switched off; calls and leases go on.
func (f *Faults) Hold(on bool) { _ = f.Apply(Fault{Kind: FaultHold, On: on}) }

// IgnoreFence lets stale commands through, to show that a test notices them.
func (f *Faults) IgnoreFence(on bool) { _ = f.Apply(Fault{Kind: FaultIgnoreFence, On: on}) }

// Apply sets one fault; an unknown kind is an error.
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
		return fmt.Errorf("unknown fault %q", fault.Kind)
	}
	return nil
}

// gate closes a gate, or opens it and lets those through that wait.
func setBlocked(blocked *chan struct{}, block bool) {
	switch {
	case block && *blocked == nil:
		*blocked = make(chan struct{})
	case !block && *blocked != nil:
		close(*blocked)
		*blocked = nil
	}
}

// before applies the faults that precede a call's effect.
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

// after reports whether the reply of a call that took effect is lost.
func (f *Faults) replyLost(op Op) bool {
	f.waitPaused()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.partitioned || consume(f.lose, op) {
		return true
	}
	return f.lossProbability > 0 && f.random.Float64() < f.lossProbability
}

// take uses up one count for the call.
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

// holding returns a channel that is closed when a gate that keeps tasks from ending opens; nil when there is none.
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
