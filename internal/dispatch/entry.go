package dispatch

import (
	"fmt"
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/placement"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// phase is the state of an entry.
type phase string

const (
	queued    phase = "queued"
	placing   phase = "placing"   // an attempt is being sent to a backend server or a peer
	running   phase = "running"   // an attempt runs on a known backend server
	uncertain phase = "uncertain" // an attempt may run on an unknown backend server
	waiting   phase = "waiting"   // backoff before the next attempt
	finished  phase = "finished"
)

// maxAvoided bounds the hosts that later attempts of a task avoid.
const maxAvoided = 4

// entry is a task that has not ended. Its fields are guarded by the lock of its shard.
type entry struct {
	key            Key
	work           Work
	phase          phase
	attempt        ident.AttemptID
	host           ident.HostID
	member         ident.MemberID // daemon that was asked to run the attempt
	attempts       int            // attempts that count against the retries
	submitted      time.Time
	started        time.Time
	lastPreemption time.Time // last time that lower-priority tasks were preempted for this one
	mayHaveRun     bool      // an attempt may have run
	cancelReason   string
	abandoned      bool // the caller got the outcome unknown; a late result still completes the claim
	missedAudits   int  // consecutive audits that did not find the attempt
	auditing       bool // an audit of this entry is in progress
	locationStale  bool // the known location may be out of date
	avoid          []ident.HostID
	gang           *gang
}

type shard struct {
	mu           sync.Mutex
	entries      map[Key]*entry
	history      map[ident.JobID]*history
	historyOrder []ident.JobID
	log          logr.Logger
}

type history struct {
	team      ident.TeamID
	decisions []api.Decision
}

func (d *Dispatcher) shard(job ident.JobID) *shard {
	return &d.shards[maphash.String(d.seed, string(job))%shardCount]
}

// withEntry runs f on the entry under the lock of its shard, and reports whether the entry exists.
func (d *Dispatcher) withEntry(k Key, f func(e *entry)) bool {
	s := d.shard(k.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[k]
	if ok {
		f(e)
	}
	return ok
}

func (d *Dispatcher) newAttempt(k Key) ident.AttemptID {
	return ident.AttemptID(ident.Random(fmt.Sprintf("%s.%d", k.Job, k.Index)))
}

func (e *entry) request() placement.Request {
	t := e.work.Task
	t.Attempt = e.attempt
	return placement.Request{
		Attempt: e.attempt, Job: t.Job, Index: t.Index, Team: t.Team, Queue: t.Queue, Kind: e.work.Kind,
		Demand: t.Demand, Priority: t.Priority, NonIdempotent: t.NonIdempotent, Urgent: e.work.Urgent,
		Avoid: e.avoid, Task: t,
	}
}

func (e *entry) avoidHost(h ident.HostID) {
	if h == "" || slices.Contains(e.avoid, h) {
		return
	}
	e.avoid = append(e.avoid, h)
	if len(e.avoid) > maxAvoided {
		e.avoid = slices.Delete(e.avoid, 0, 1)
	}
}

// recordDecision adds a decision to the job's explanation. The caller must not hold the shard's lock.
func (d *Dispatcher) recordDecision(e *entry, what, reason string) {
	s := d.shard(e.key.Job)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDecision(e, d.config.Now(), what, reason)
}

func (s *shard) recordDecision(e *entry, now time.Time, what, reason string) {
	h, ok := s.history[e.key.Job]
	if !ok {
		if len(s.historyOrder) >= maxExplained {
			delete(s.history, s.historyOrder[0])
			s.historyOrder = s.historyOrder[1:]
		}
		h = &history{team: e.work.Task.Team}
		s.history[e.key.Job] = h
		s.historyOrder = append(s.historyOrder, e.key.Job)
	}
	if n := len(h.decisions); n > 0 {
		// Repeated waits for the same reason are one decision, not thousands.
		if last := &h.decisions[n-1]; last.What == what && last.Reason == reason && last.Task == e.key.Index {
			return
		}
	}
	if len(h.decisions) >= maxDecisions {
		h.decisions = slices.Delete(h.decisions, 0, 1)
	}
	s.log.V(1).Info(what, "job", e.key.Job, "task", e.key.Index, "attempt", e.attempt, "team", e.work.Task.Team,
		"host", e.host, "daemon", e.member, "reason", reason)
	h.decisions = append(h.decisions, api.Decision{
		At: now, Task: e.key.Index, Attempt: e.attempt, Host: e.host, Member: e.member, What: what, Reason: reason,
	})
}

// Explain returns the team of a job and the decisions kept about it.
func (d *Dispatcher) Explain(job ident.JobID) (team ident.TeamID, decisions []api.Decision, ok bool) {
	s := d.shard(job)
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.history[job]
	if !ok {
		return "", nil, false
	}
	return h.team, slices.Clone(h.decisions), true
}

// Status is the current state of a task.
type Status struct {
	Phase    api.Phase
	Attempt  ident.AttemptID
	Attempts int
	Host     ident.HostID
}

// Status returns the state of a task that has not ended.
func (d *Dispatcher) Status(k Key) (Status, bool) {
	var st Status
	ok := d.withEntry(k, func(e *entry) {
		st = Status{Phase: api.Queued, Attempt: e.attempt, Attempts: e.attempts, Host: e.host}
		if e.phase == running || e.phase == uncertain {
			st.Phase = api.Running
		}
	})
	return st, ok
}

// Forget removes a task without reporting its end, because another member has taken over its job.
func (d *Dispatcher) Forget(k Key) {
	d.queue.Remove(k.String())
	d.remove(k)
}

// Dump returns the queue's state for the state dump.
func (d *Dispatcher) Dump() any { return d.queue.Dump() }
