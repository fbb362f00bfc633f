package worker

import (
	"fmt"
	"slices"
	"sync"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// ViolationKind names the invariant that was broken.
type ViolationKind string

// Kinds of violations.
const (
	Overcommit         ViolationKind = "overcommit"         // sum of running demand above the capacity
	RepeatedAttempt    ViolationKind = "repeated-attempt"   // an attempt id was started a second time
	ConcurrentTask     ViolationKind = "concurrent-task"    // a (job, index) runs twice at the same time
	RepeatedRequest    ViolationKind = "repeated-request"   // a non-idempotent request was started a second time
	StaleEpochAccepted ViolationKind = "stale-epoch-passed" // a start under a stale fence took effect
)

// Violation is one breach that a worker noticed.
type Violation struct {
	Kind    ViolationKind   `json:"kind"`
	Host    ident.HostID    `json:"host"`
	Attempt ident.AttemptID `json:"attempt"`
	Detail  string          `json:"detail"`
}

// String formats the violation for test messages.
func (v Violation) String() string {
	return fmt.Sprintf("%s on %s by attempt %s: %s", v.Kind, v.Host, v.Attempt, v.Detail)
}

type taskKey struct {
	job   ident.JobID
	index int
}

type requestKey struct {
	team    ident.TeamID
	request ident.RequestID
	index   int // a durable job has one run per task
}

// Ledger compares the runs of several workers. It is safe for concurrent use.
type Ledger struct {
	mu            sync.Mutex
	startHosts    map[ident.AttemptID]ident.HostID
	running       map[taskKey]map[ident.AttemptID]ident.HostID
	requests      map[requestKey]ident.AttemptID
	runningByTeam map[ident.TeamID]int // running tasks
	peakByTeam    map[ident.TeamID]int // see TakePeak
	violations    []Violation
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		startHosts:    map[ident.AttemptID]ident.HostID{},
		running:       map[taskKey]map[ident.AttemptID]ident.HostID{},
		requests:      map[requestKey]ident.AttemptID{},
		runningByTeam: map[ident.TeamID]int{},
		peakByTeam:    map[ident.TeamID]int{},
	}
}

// Violations returns every violation that any worker of the ledger noticed.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Running returns the number of a team's tasks that run now on all workers of the ledger.
func (l *Ledger) Running(team ident.TeamID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runningByTeam[team]
}

// TakePeak returns the largest number of a team's running tasks right after a start since the last call.
func (l *Ledger) TakePeak(team ident.TeamID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	peak := l.peakByTeam[team]
	delete(l.peakByTeam, team)
	return peak
}

// start records that an attempt begins to run and compares it with all others.
func (l *Ledger) recordStart(host ident.HostID, t backend.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first, ok := l.startHosts[t.Attempt]; ok {
		l.addLocked(RepeatedAttempt, host, t.Attempt, fmt.Sprintf("first started on %s", first))
	}
	l.startHosts[t.Attempt] = host
	key := taskKey{t.Job, t.Index}
	for attempt, other := range l.running[key] {
		l.addLocked(ConcurrentTask, host, t.Attempt,
			fmt.Sprintf("task %d of job %s also runs on %s as attempt %s", t.Index, t.Job, other, attempt))
	}
	if l.running[key] == nil {
		l.running[key] = map[ident.AttemptID]ident.HostID{}
	}
	l.running[key][t.Attempt] = host
	l.runningByTeam[t.Team]++
	l.peakByTeam[t.Team] = max(l.peakByTeam[t.Team], l.runningByTeam[t.Team])
	if !t.NonIdempotent || t.Request == "" {
		return
	}
	request := requestKey{t.Team, t.Request, t.Index}
	if first, ok := l.requests[request]; ok {
		l.addLocked(RepeatedRequest, host, t.Attempt,
			fmt.Sprintf("request %s of team %s already ran as attempt %s", t.Request, t.Team, first))
		return
	}
	l.requests[request] = t.Attempt
}

// end records that an attempt no longer runs.
func (l *Ledger) recordEnd(t backend.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := taskKey{t.Job, t.Index}
	if _, ok := l.running[key][t.Attempt]; ok {
		l.runningByTeam[t.Team]--
	}
	delete(l.running[key], t.Attempt)
	if len(l.running[key]) == 0 {
		delete(l.running, key)
	}
}

// overcommit records that the running demand is above the capacity.
func (l *Ledger) recordOvercommit(host ident.HostID, attempt ident.AttemptID, used, capacity resource.Vector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(Overcommit, host, attempt, fmt.Sprintf("%s run, capacity is %s", used, capacity))
}

// stale records that a start took effect although a newer fence was accepted.
func (l *Ledger) recordStaleStart(host ident.HostID, attempt ident.AttemptID, used, current backend.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(StaleEpochAccepted, host, attempt, fmt.Sprintf("started under %+v, in force is %+v", used, current))
}

func (l *Ledger) addLocked(kind ViolationKind, host ident.HostID, attempt ident.AttemptID, detail string) {
	l.violations = append(l.violations, Violation{Kind: kind, Host: host, Attempt: attempt, Detail: detail})
}
