package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// clockDrift bounds how much slower than ours the clock of a server runs.
const clockDrift = 0.02

// Options holds the settings of a Scheduler. Durations come from the installation's bounds.
type Options struct {
	// RunBase is the number below the first run of this owner, so that its runs exceed those of former owners.
	RunBase RunNumber
	// Lease is how long a server keeps running what it holds without hearing from the owner.
	Lease time.Duration
	// MaxFormerLease bounds the leases that former owners may have granted.
	MaxFormerLease time.Duration
	// MaxServerLease is the longest lease that a server grants. One that restarted may read a deadline for its former life as
	// such a lease, since its clock starts anew.
	MaxServerLease time.Duration
	// LeaderOverlap bounds how long a replaced owner that nobody can reach goes on sending orders.
	LeaderOverlap time.Duration
	// PollWait is how long a server waits for an end before it answers a look.
	PollWait time.Duration
	// MaxStopTime bounds the time that a server takes to stop a run.
	MaxStopTime time.Duration
	// EarlyStart is how long before its time a scheduled occurrence may start.
	EarlyStart time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
}

// Scheduler decides which task runs where. It isn't safe for concurrent use.
type Scheduler struct {
	options Options
	started time.Time // when this owner took over
	now     time.Time

	queues        map[ident.QueueID]*Queue
	teams         map[ident.TeamID]*team
	jobs          map[ident.JobID]*job
	scheduledJobs []*job   // jobs with a schedule
	groups        []*group // groups with tasks to start or running, in no order
	servers       map[ServerID]*server
	services      map[ServiceID][]*server

	durations    durations
	fleetVersion uint64               // counts changes of the servers and their capacity
	rosterDirty  map[ServerID]*server // servers whose record is out of date

	commands      []Command
	adviceQueue   []rankedGroup        // groups that need advice, the most urgent first
	starvedBudget time.Duration        // time of the advisors that starved steps may still take
	prefetchQueue []rankedGroup        // groups whose turn comes soon and that need advice then
	prefetchedAt  time.Time            // when they were looked for
	dirtyJobs     map[ident.JobID]*job // progress that isn't recorded yet
	endedJobs     []*job               // terminal jobs in order of their end
	passNeeded    bool                 // something changed since the last pass
	deposed       bool
	counts        Counts
}

// Counts are totals for metrics.
type Counts struct {
	Starts, Ends, Failures, Lapses, Stops, Refusals, Advice uint64
}

type team struct {
	Team
	used       resource.Vector
	tokens     float64 // jobs that the team may still submit within its weight
	refilledAt time.Time
}

// New returns a scheduler for an owner that takes over at the given time. Jobs and servers are added to it afterwards.
func New(o Options, now time.Time) *Scheduler {
	return &Scheduler{
		options: o, started: now, now: now,
		queues: map[ident.QueueID]*Queue{}, teams: map[ident.TeamID]*team{}, jobs: map[ident.JobID]*job{},
		servers: map[ServerID]*server{}, services: map[ServiceID][]*server{},
		durations: newDurations(), dirtyJobs: map[ident.JobID]*job{}, rosterDirty: map[ServerID]*server{},
	}
}

// Configure sets the queues and teams in force.
func (s *Scheduler) Configure(now time.Time, c Config) {
	s.now = now
	s.queues = make(map[ident.QueueID]*Queue, len(c.Queues))
	for id, q := range c.Queues {
		s.queues[id] = &q
	}
	for _, j := range s.jobs {
		j.queue = s.queueOf(j.spec)
	}
	for id, t := range c.Teams {
		s.team(id).Team = t
	}
	for id, t := range s.teams {
		if _, ok := c.Teams[id]; !ok {
			t.Team = Team{ID: id}
		}
	}
	s.passNeeded = true
}

func (s *Scheduler) team(id ident.TeamID) *team {
	t := s.teams[id]
	if t == nil {
		t = &team{Team: Team{ID: id}}
		s.teams[id] = t
	}
	return t
}

// TakeCommands returns the orders since the last call.
func (s *Scheduler) TakeCommands() []Command {
	o := s.commands
	s.commands = nil
	return o
}

// Deposed reports whether a server has refused an order because a later owner is at work.
func (s *Scheduler) Deposed() bool { return s.deposed }

// Counts returns the totals since the takeover.
func (s *Scheduler) Counts() Counts { return s.counts }

func (s *Scheduler) emit(o Command) { s.commands = append(s.commands, o) }

// AddJob adds an accepted job with its recorded progress; jobs have to come about in the order of their acceptance, by which
// they count against the weight of their team. Inherited jobs may have runs on servers that haven't
// reported to this owner yet. It reports false for a job that is known.
func (s *Scheduler) AddJob(now time.Time, spec *Job, p Progress, inherited bool) bool {
	s.now = now
	if _, ok := s.jobs[spec.ID]; ok {
		return false
	}
	// The former owner may go on for a while and start jobs that are reported to it late.
	inherited = inherited || now.Sub(s.started) < s.options.LeaderOverlap && s.options.RunBase > 0
	j := newJob(spec, p, inherited)
	j.queue = s.queueOf(spec)
	j.surplus = !s.takeToken(s.team(spec.Team), spec.Accepted)
	s.jobs[spec.ID] = j
	if j.state.Terminal() {
		j.recorded = j.state
		s.endedJobs = append(s.endedJobs, j)
		return true
	}
	if spec.HasSchedule() {
		s.scheduledJobs = append(s.scheduledJobs, j)
	}
	s.openOccurrences(j)
	s.passNeeded = true
	return true
}

// teamBurstSeconds is how much of a team's weight it may save up, in seconds.
const teamBurstSeconds = 2.0

// takeToken counts a job against its team's weight and reports whether the team is within it.
func (s *Scheduler) takeToken(t *team, at time.Time) bool {
	if t.Weight <= 0 {
		return true
	}
	bucketSize := max(t.Weight*teamBurstSeconds, 1)
	switch {
	case t.refilledAt.IsZero():
		t.tokens, t.refilledAt = bucketSize, at
	case at.After(t.refilledAt):
		t.tokens = min(bucketSize, t.tokens+t.Weight*at.Sub(t.refilledAt).Seconds())
		t.refilledAt = at
	}
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Cancel cancels a job; its runs are stopped. It reports false where the job isn't known.
func (s *Scheduler) Cancel(now time.Time, id ident.JobID) bool {
	s.now = now
	j := s.jobs[id]
	if j == nil {
		return false
	}
	if !j.state.Terminal() {
		s.finish(j, StateCancelled)
	}
	return true
}

// finish moves a job to a terminal state and stops what it still runs.
func (s *Scheduler) finish(j *job, to State) {
	j.state = to
	j.endedAt = s.now
	s.endedJobs = append(s.endedJobs, j)
	s.markDirty(j)
	for _, o := range j.openOccurrences() {
		for _, g := range o.groups {
			s.stopGroup(g, string(to))
		}
	}
	s.passNeeded = true
}

func (s *Scheduler) stopGroup(g *group, reason string) {
	if g.step.Gang && g.complete() {
		return // the other members end by themselves
	}
	for _, t := range g.tasks {
		for _, p := range slices.Clone(t.runs) {
			s.stop(p, reason)
		}
	}
}

// queueOf returns the queue in force for a job, or the one it was accepted with where the queue was removed.
func (s *Scheduler) queueOf(j *Job) *Queue {
	if q, ok := s.queues[j.Queue.ID]; ok {
		return q
	}
	return &j.Queue
}

// State returns what callers see of a job. A terminal state is shown once it is recorded.
func (s *Scheduler) State(id ident.JobID) (State, *Job, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", nil, false
	}
	switch {
	case j.recorded.Terminal():
		return j.recorded, j.spec, true
	case j.begun:
		return StateRunning, j.spec, true
	}
	return StateQueued, j.spec, true
}

// Pending returns the number of accepted jobs of a queue of which no task has started.
func (s *Scheduler) Pending(q ident.QueueID) int {
	n := 0
	for _, j := range s.jobs {
		if j.spec.Queue.ID == q && !j.begun && !j.state.Terminal() {
			n++
		}
	}
	return n
}

func (s *Scheduler) markDirty(j *job) {
	j.changes++
	s.dirtyJobs[j.spec.ID] = j
}

// ProgressUpdate is the progress of a job that has to be recorded.
type ProgressUpdate struct {
	Job      ident.JobID
	Progress Progress
	EndedJob *Job   // record of the job itself where it has ended
	Changes  uint64 // passed back to Recorded
	Since    time.Time
}

// TakeProgressUpdates returns up to most changed jobs, terminal ones first. They are returned again unless Recorded follows
// or Unwritten is not called for them.
func (s *Scheduler) TakeProgressUpdates(limit int) []ProgressUpdate {
	jobs := make([]*job, 0, len(s.dirtyJobs))
	for _, j := range s.dirtyJobs {
		if !j.writeInFlight {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		if a.state.Terminal() != b.state.Terminal() {
			if a.state.Terminal() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.spec.ID, b.spec.ID)
	})
	if len(jobs) > limit {
		jobs = jobs[:limit]
	}
	out := make([]ProgressUpdate, len(jobs))
	for i, j := range jobs {
		j.writeInFlight = true
		out[i] = ProgressUpdate{Job: j.spec.ID, Progress: j.progress(), Changes: j.changes}
		if j.state.Terminal() {
			out[i].EndedJob = j.spec.EndedRecord(out[i].Progress)
		}
	}
	return out
}

// HasProgressUpdates reports whether progress waits to be recorded, and whether a job's end is among it.
func (s *Scheduler) HasProgressUpdates() (some, terminal bool) {
	for _, j := range s.dirtyJobs {
		if !j.writeInFlight {
			some = true
			if j.state.Terminal() {
				return true, true
			}
		}
	}
	return some, false
}

// ProgressWritten reports that the store has the progress; the ends in it can be acknowledged.
func (s *Scheduler) ProgressWritten(now time.Time, written []ProgressUpdate) {
	s.now = now
	for _, u := range written {
		j := s.jobs[u.Job]
		if j == nil {
			continue
		}
		j.writeInFlight = false
		j.recordedChanges = max(j.recordedChanges, u.Changes)
		if u.Progress.State.Terminal() {
			j.recorded = u.Progress.State
			j.dropDetails()
		}
		if j.changes == u.Changes {
			delete(s.dirtyJobs, u.Job)
		}
	}
	for _, v := range s.sortedServers() {
		s.advanceAcknowledged(v)
	}
}

// ProgressWriteFailed reports that the progress could not be recorded and has to be taken again.
func (s *Scheduler) ProgressWriteFailed(failed []ProgressUpdate) {
	for _, u := range failed {
		if j := s.jobs[u.Job]; j != nil {
			j.writeInFlight = false
		}
	}
}

// TakeExpired returns the ended jobs whose retention is over and forgets them, at most the given number.
func (s *Scheduler) TakeExpired(now time.Time, limit int) []ident.JobID {
	var ids []ident.JobID
	for len(s.endedJobs) > 0 && len(ids) < limit {
		j := s.endedJobs[0]
		if now.Sub(j.endedAt) < s.options.Retention || s.dirtyJobs[j.spec.ID] != nil || j.live() > 0 {
			break
		}
		s.endedJobs = s.endedJobs[1:]
		delete(s.jobs, j.spec.ID)
		ids = append(ids, j.spec.ID)
	}
	return ids
}

// Tick handles what depends on time alone: leases that end, repeated orders, scheduled occurrences and slow tasks.
func (s *Scheduler) Tick(now time.Time) {
	s.now = now
	for _, v := range s.sortedServers() {
		s.checkServer(v)
	}
	for _, g := range s.groups {
		s.checkProgress(g)
	}
	s.scheduledJobs = slices.DeleteFunc(s.scheduledJobs, func(j *job) bool { return j.state.Terminal() })
	for _, j := range s.scheduledJobs {
		s.openOccurrences(j)
	}
	s.passNeeded = true
}

func (s *Scheduler) sortedServers() []*server {
	all := make([]*server, 0, len(s.servers))
	for _, v := range s.servers {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return all
}
