package worker

import (
	"fmt"
	"slices"
	"sync"

	"github.com/rosemaryspoke/rosemaryspoke/internal/backend"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// ViolationKind is the invariant that was violated.
type ViolationKind string

// Kinds of violations.
const (
	Overcommit         ViolationKind = "overcommit"         // the running tasks demand more than the capacity
	RepeatedAttempt    ViolationKind = "repeated-attempt"   // an attempt was started more than once
	ConcurrentTask     ViolationKind = "concurrent-task"    // a task has two running attempts
	RepeatedRequest    ViolationKind = "repeated-request"   // a non-idempotent request was started more than once
	StaleEpochAccepted ViolationKind = "stale-epoch-passed" // a start with a stale fence took effect
)

// Violation is a violated invariant that a worker detected.
type Violation struct {
	Kind    ViolationKind   `json:"kind"`
	Host    ident.HostID    `json:"host"`
	Attempt ident.AttemptID `json:"attempt"`
	Detail  string          `json:"detail"`
}

// String formats the violation for failure messages of tests.
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
	index   int // a durable job runs the request once per task
}

// Ledger records the starts and ends of attempts on several workers and detects violations among them. It is safe for
// concurrent use.
type Ledger struct {
	mu            sync.Mutex
	startHosts    map[ident.AttemptID]ident.HostID
	running       map[taskKey]map[ident.AttemptID]ident.HostID
	requests      map[requestKey]ident.AttemptID
	runningByTeam map[ident.TeamID]int // number of running tasks
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

// Violations returns the violations on all workers of the ledger.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Running returns the number of a team's running tasks on all workers of the ledger.
func (l *Ledger) Running(team ident.TeamID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runningByTeam[team]
}

// TakePeak returns the largest number of a team's running tasks since the last call, counted at every start.
func (l *Ledger) TakePeak(team ident.TeamID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	peak := l.peakByTeam[team]
	delete(l.peakByTeam, team)
	return peak
}

// recordStart records the start of an attempt and the violations that it causes.
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

// recordEnd records the end of an attempt.
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

// recordOvercommit records that the running tasks demand more than the capacity.
func (l *Ledger) recordOvercommit(host ident.HostID, attempt ident.AttemptID, used, capacity resource.Vector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(Overcommit, host, attempt, fmt.Sprintf("running tasks demand %s, capacity is %s", used, capacity))
}

// recordStaleStart records that a start took effect although its fence was stale or the lease had lapsed.
func (l *Ledger) recordStaleStart(host ident.HostID, attempt ident.AttemptID, used, current backend.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(StaleEpochAccepted, host, attempt, fmt.Sprintf("started with fence %+v, the accepted fence is %+v", used, current))
}

func (l *Ledger) addLocked(kind ViolationKind, host ident.HostID, attempt ident.AttemptID, detail string) {
	l.violations = append(l.violations, Violation{Kind: kind, Host: host, Attempt: attempt, Detail: detail})
}
