package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/admission"
	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// clockDrift bounds how much slower a server's clock runs than the leader's, as a fraction.
const clockDrift = 0.02

// Options holds the settings of a Scheduler. The durations come from the installation's bounds.
type Options struct {
	// RunBase is one less than the first run number of this leader. It exceeds the run numbers of former leaders; 0 means
	// that there was none.
	RunBase RunNumber
	// RunRange is the number of run numbers of this leader; those of the next one come after them. 0 means that there is no bound.
	RunRange RunNumber
	// RunLease is how long a server keeps its runs without hearing from the leader.
	RunLease time.Duration
	// MaxFormerLease bounds the leases that former leaders may have granted.
	MaxFormerLease time.Duration
	// MaxRunLease is the longest lease that a server accepts. The clock of a restarted server starts anew, so it may take a
	// deadline for its former incarnation as a lease of this length.
	MaxRunLease time.Duration
	// LeaderOverlap bounds how long a replaced leader that is partitioned off goes on. It is 0 if all former leaders have certainly
	// stopped; commands that they have handed over may still be sent for MaxSendDelay.
	LeaderOverlap time.Duration
	// FormerUnaware is set if a former leader may not know this daemon, so that it may go on for longer while it reaches the servers.
	FormerUnaware bool
	// MaxSendDelay bounds how long after its hand-over a command may still be sent, if other daemons send commands for the leader.
	MaxSendDelay time.Duration
	// LedUntil returns the latest known time at which certainly no other leader had taken over; nil means that there can't be one.
	LedUntil func() time.Time
	// StoreAnsweredAt returns when the store last answered this leader; nil means that it always does. It is asked at least every
	// StoreInterval.
	StoreAnsweredAt func() time.Time
	StoreInterval   time.Duration
	// PollWait is how long a server may delay its reply to a poll until a run ends.
	PollWait time.Duration
	// MaxStopTime bounds the time that a server needs to stop a run.
	MaxStopTime time.Duration
	// EarlyStart is how long before its scheduled time an occurrence may start.
	EarlyStart time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// PastUseHalfLife is the time in which the past use of a team decays by half; 0 means that past use doesn't count.
	PastUseHalfLife time.Duration
	// Preemption describes the loss of a stopped run; nil means that no run is stopped to make room.
	Preemption *PreemptionOptions
	// Admission predicts which jobs beyond their team's weight would be served too late, so that daemons reject them.
	Admission bool
}

// Scheduler decides which task runs where. It isn't safe for concurrent use.
type Scheduler struct {
	options Options
	started time.Time // when this leader took over
	now     time.Time

	queues           map[ident.QueueID]*Queue
	teams            map[ident.TeamID]*team
	jobs             map[ident.JobID]*job
	scheduledJobs    []*job   // jobs with a schedule that haven't ended
	groups           []*group // groups with tasks to start or in progress, in no order
	servers          map[ServerID]*server
	byID             []*server // see sortedServers; nil if outdated
	services         map[ServiceID][]*server
	freeOrders       map[ServiceID]*freeOrder
	grantShares      map[ident.QueueID]float64 // share of the servers that a queue's advisor allows, learned from its answers
	runNumbersUsedUp bool
	passes           uint64 // number of scheduling passes

	durations         imageDurations
	fleetVersion      uint64               // incremented when the set of servers or their capacity changes
	rosterDirty       map[ServerID]*server // servers whose roster record is outdated
	evacuationMoves   evacuationMoves
	evacuated         map[ident.DataCentre]bool // see SetEvacuated
	formerReach       formerReach
	pollsIdle         bool      // see updateReach
	unknownRunsLostAt time.Time // see noteUnknownRunsLost
	rosterUrgent      bool      // see HasUrgentRosterChanges

	lastRosterChange uint64

	commands       []Command
	lastPollSerial uint64
	adviceQueue    []rankedGroup // groups that need advice, the most urgent first; then prefetchQueue
	starvation     starvation    // advisor calls for steps that have waited long
	prefetchQueue  []rankedGroup // groups that will be ready soon and need advice by then
	prefetchedAt   time.Time     // when prefetchQueue was last filled
	pending        pendingCounts
	dirtyJobs      map[ident.JobID]*job // jobs with unrecorded progress
	toWrite        writeQueue           // those of them without a write in flight
	endsToRecord   []*server            // servers that have had unrecorded ends since the last record, in the order of the first
	unknownJobs    map[ident.JobID]bool // jobs that aren't known, but have a run or an end that a server listed
	endedJobs      []*job               // jobs in a terminal state, in the order in which they ended
	passNeeded     bool                 // something changed since the last scheduling pass
	deposed        bool
	longRuns       []LongRun  // that TakeLongRuns hasn't returned yet
	decisions      []Decision // that TakeDecisions hasn't returned yet
	// droppedDecisions counts the decisions beyond maxDecisions.
	droppedDecisions int
	serverLog        serverLog
	stuckRuns        stuckRuns
	waitCheck        waitCheck
	delay            commonDelay
	unansweredStarts int // starts without an answer, on all servers
	counts           Counts
	pastUse          pastUse
	preemption       preemptionState
	admission        admissionState
}

// Counts holds counters for metrics, counted since the takeover. Ends counts the reported ends of runs, Lapses the runs that
// ended unreported because their lease expired or their server restarted or was replaced, and Advice the advisor calls. ServersRead
// is the number of servers that were examined one by one to find some for a group: it shows what the choice of servers costs.
type Counts struct {
	Starts, Ends, Failures, Lapses, Stops, Refusals, Advice uint64
	Passes, Polls, ServersRead                              uint64
	Moves                                                   uint64 // long-running tasks stopped in evacuated data centres
	// LongRuns counts the runs that took long because of their own work, see LongRun.
	LongRuns uint64
}

// team is the configuration and the usage of a team.
type team struct {
	Team
	used       resource.Vector
	usedSince  time.Time     // from when the use of its runs isn't in the past use yet
	level      pastuse.Level // see updateLevels
	tokens     float64       // jobs that the team may still submit within its weight (token bucket)
	refilledAt time.Time
}

// New returns a scheduler for a leader that takes over at the given time. Jobs and servers are added afterwards.
func New(o Options, now time.Time) *Scheduler {
	return &Scheduler{
		options: o, started: now, now: now,
		queues: map[ident.QueueID]*Queue{}, teams: map[ident.TeamID]*team{}, jobs: map[ident.JobID]*job{},
		servers: map[ServerID]*server{}, services: map[ServiceID][]*server{},
		freeOrders: map[ServiceID]*freeOrder{}, grantShares: map[ident.QueueID]float64{},
		delay: commonDelay{window: maxStartWindow}, durations: newDurations(), dirtyJobs: map[ident.JobID]*job{}, unknownJobs: map[ident.JobID]bool{}, rosterDirty: map[ServerID]*server{},
		toWrite: writeQueue{jobs: map[ident.JobID]*job{}}, starvation: starvation{usedShare: map[ServiceID]float64{}},
		pastUse: newPastUse(o.PastUseHalfLife, now), admission: admissionState{flows: map[flowKey]*admission.Flow{}},
	}
}

// Configure replaces the configuration of queues and teams.
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
	s.configurePastUse(c.Teams)
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

// TakeCommands returns the commands queued since the last call.
func (s *Scheduler) TakeCommands() []Command {
	commands := s.commands
	s.commands = nil
	return commands
}

// Deposed reports whether a server has rejected a command because it has seen a later leader.
func (s *Scheduler) Deposed() bool { return s.deposed }

// Counts returns the totals since the takeover.
func (s *Scheduler) Counts() Counts { return s.counts }

func (s *Scheduler) emit(cmd Command) { s.commands = append(s.commands, cmd) }

// AddJob adds an accepted job with its recorded progress. Jobs have to be added roughly in the order of their acceptance, in
// which they count against their team's weight. Inherited jobs may have runs on servers that this leader hasn't polled yet.
// It reports false for a job that is already known.
func (s *Scheduler) AddJob(now time.Time, spec *Job, p Progress, inherited bool) bool {
	s.now = now
	if _, ok := s.jobs[spec.ID]; ok {
		return false
	}
	// The former leader may keep running for a while and start jobs that reach it late.
	inherited = inherited || now.Sub(s.started) < s.options.LeaderOverlap && s.options.RunBase > 0
	j := newJob(spec, p, inherited)
	j.queue = s.queueOf(spec)
	j.surplus = !s.takeToken(s.team(spec.Team), spec.Accepted)
	j.forecastLate = s.isForecastLate(j)
	s.jobs[spec.ID] = j
	if j.state.Terminal() {
		j.recorded = j.state
		s.endedJobs = append(s.endedJobs, j)
		s.resolveUnknownJob(spec.ID)
		return true
	}
	if spec.HasSchedule() {
		s.scheduledJobs = append(s.scheduledJobs, j)
	}
	s.openOccurrences(j)
	s.resolveUnknownJob(spec.ID)
	s.passNeeded = true
	return true
}

// teamBurstSeconds is the size of a team's token bucket, in seconds of its weight.
const teamBurstSeconds = 2.0

// takeToken takes a token for a job from its team's bucket and reports whether there was one.
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

// Cancel cancels a job and stops its runs. It reports false if the job isn't known.
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

// finish moves a job to a terminal state and stops its runs.
func (s *Scheduler) finish(j *job, to State) {
	j.state = to
	j.endedAt = s.now
	s.endedJobs = append(s.endedJobs, j)
	s.countAdmission(j)
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
		return // the other members end on their own
	}
	for t := range g.tasks.used() {
		for _, p := range slices.Clone(t.runs) {
			s.stop(p, reason)
		}
	}
}

// queueOf returns the current configuration of a job's queue, or the one at acceptance if the queue was removed.
func (s *Scheduler) queueOf(j *Job) *Queue {
	if q, ok := s.queues[j.Queue.ID]; ok {
		return q
	}
	return &j.Queue
}

// State returns the state of a job as reported to callers. A terminal state is reported only once it is recorded.
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

// Tick handles timeouts: expired leases, unanswered commands, scheduled occurrences and slow tasks.
func (s *Scheduler) Tick(now time.Time) {
	s.now = now
	s.delay.update(now)
	s.updatePastUse()
	s.updateReach()
	for _, v := range s.sortedServers() {
		s.checkServer(v)
	}
	for _, g := range s.groups {
		s.checkProgress(g)
	}
	s.moveLongRunning()
	s.updateForecasts()
	s.scheduledJobs = slices.DeleteFunc(s.scheduledJobs, func(j *job) bool { return j.state.Terminal() })
	for _, j := range s.scheduledJobs {
		s.openOccurrences(j)
	}
	s.passNeeded = true
}

// sortedServers returns all servers in the order of their ids. The list is kept until a server is added or removed, as it is used on
// each tick and for each record of progress.
func (s *Scheduler) sortedServers() []*server {
	if s.byID == nil {
		s.byID = make([]*server, 0, len(s.servers))
		for _, v := range s.servers {
			s.byID = append(s.byID, v)
		}
		slices.SortFunc(s.byID, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.byID
}
