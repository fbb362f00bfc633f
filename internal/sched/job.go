package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/durations"
	"github.com/rosemaryspoke/rosemaryspoke/internal/evacuation"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// job is the runtime state of an accepted job.
type job struct {
	spec             *Job
	queue            *Queue      // current configuration
	state            State       // StateQueued stands for all states that aren't terminal
	recorded         State       // terminal state in the store
	begun            bool        // a task has started
	inherited        bool        // accepted under a former leader
	services         []ServiceID // see Progress.Services
	recordedServices int         // those of services, from the first on, that the store has
	surplus          bool        // beyond its team's weight
	forecastLate     bool        // accepted although it was forecast to be too late, see updateForecasts
	endedAt          time.Time
	remaining        Remaining // of a job that ended under a former leader, see Progress
	occurrences      map[int]*occurrence
	idle             map[string]*idleClass // occurrences that are kept as ranges, by classKey
	due              int                   // occurrences below it are due
	doneBefore       int                   // all occurrences below it are done
	doneAhead        numberSet             // further ones that are done
	unbalanced       bool                  // idle occurrences may have to be opened
	dropped          bool                  // only the end of the job is known

	criticalPath   time.Duration // expected duration of the longest path through all steps
	criticalPathAt time.Time

	changes         uint64 // version of the progress
	recordedChanges uint64
	writeInFlight   bool
	refusedWrites   refusedWrites
	endToWrite      bool // counted in writeQueue.ended
	gaveWay         bool // a task was stopped to make room
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	number int
	groups []*group
	done   bool
}

// group holds the tasks of one step of one occurrence, which share placement constraints.
type group struct {
	job            *job
	occurrence     int
	index          int
	step           *Step
	tasks          taskTable
	done           int
	waiting        int         // tasks without a run that aren't done
	running        int         // runs that hold capacity
	tracked        bool        // listed in Scheduler.groups
	gangRun        RunNumber   // current run of a gang step
	failedRuns     []RunNumber // failed runs of the gang
	used           bool        // a task has had a run, or has recorded failures or a checkpoint
	ready          bool        // all steps before it are complete
	readySince     time.Time
	lastStart      time.Time // when a task was last started
	advice         advice
	outcomes       *stepOutcomes // nil until a run is done or fails
	noStartsBefore time.Time     // pause after a refused start
	waitReportedAt time.Time     // when CheckWaiting last returned the group
	isLargeVersion uint64        // fleetVersion for which isLarge was computed
	isLarge        bool          // a task is large for some server of the service
	reservation    groupReservation
	moveWithheld   evacuation.Reason // why no task leaves its evacuated data centre, as of the latest MoveDecision
	moveWithheldAt time.Time
	heldPlaces     int       // tasks for which room is held, see roomHold
	nextPreemption time.Time // no decision on preemption before this time
}

// task is the runtime state of a task.
type task struct {
	group           *group
	index           int
	done            bool
	failedRuns      []RunNumber
	lastRun         RunNumber
	unknownOutcomes int // runs with an unknown outcome; each may have failed
	checkpoint      Checkpoint
	runs            []*run
	lostAt          time.Time // when a run was last released without a reported end
	waitingSince    time.Time // when the last run ended or was released; zero without one
	avoidServer     ServerID  // server of the last failed, stalled or slow run
	refusals        int       // refused starts since the last confirmed one, see pauseAfterRefusal
	refusedLeap     RunNumber // see skipRefusedNumbers
	shortRuns       int       // short runs in a row, see pauseAfterShortRun
	noStartsBefore  time.Time // no starts before this time
	movedAt         time.Time // when a run was stopped in an evacuated data centre; zero once the task is at work again or a later run has ended
	unansweredAt    time.Time // when a start was last given up without an answer; zero once a run is confirmed
	probedAt        time.Time // when servers were last probed for the task, see probeCommands
	timesGivenWay   int       // runs that were stopped to make room
}

type phase int

const (
	phaseStarting phase = iota // the start is unanswered
	phaseRunning
	phaseStopping
)

// run is one attempt at a task on a server. It holds capacity until its end is known for certain.
type run struct {
	task             *task
	number           RunNumber
	server           *server
	ticket           Ticket
	phase            phase
	startedAt        time.Time
	confirmedAt      time.Time // when the start was answered or an inventory first listed the run
	sentAt           time.Time // last start or stop command
	startAttempts    int
	startUncertain   bool          // a start is unanswered and may still take effect
	startDeadline    time.Duration // of the last start, on the clock of startIncarnation; 0 if a former leader started the run
	startIncarnation int64
	startLeaseEnds   time.Time // when startDeadline is due
	confirmInDoubt   bool      // a later incarnation of the server than the known one may have confirmed the start
	unlisted         bool      // the latest inventory listed neither the run nor all ended ones, so it may have ended
	stoppingSince    time.Time // when the first stop was sent
	stopAnsweredAt   time.Time // when the stop was answered
	progressPercent  int       // highest one
	listedPercent    int       // in the latest inventory that listed the run
	progressAt       time.Time // when the progress last rose
	samples          durations.Samples
	longNoted        bool // see noteLongRun
	tailLatency      time.Duration
	speedPercent     int
	speedUnknown     bool      // a former leader may have throttled the run
	speedUnanswered  bool      // the latest throttle command got no answer
	copied           bool      // a copy beside another run of its task
	preempted        bool      // being stopped to make room
	madeRoom         *roomHold // for which it is being stopped, or nil
}

func newJob(spec *Job, p Progress, inherited bool) *job {
	if spec.Ended != nil {
		p = *spec.Ended
	}
	j := &job{
		spec: spec, state: StateQueued, inherited: inherited, occurrences: map[int]*occurrence{}, idle: map[string]*idleClass{},
	}
	if p.State.Terminal() {
		j.state = p.State
		j.endedAt = p.Ended
		j.remaining = p.Remaining
		j.begun = p.Begun
		j.dropped = true
		return j
	}
	j.begun = p.Begun
	j.services, j.recordedServices = slices.Clone(p.Services), len(p.Services)
	j.restore(p)
	return j
}

// dropDetails releases the payload and the steps of an ended job, unless some of its runs still hold capacity.
func (j *job) dropDetails() {
	if j.live() == 0 {
		j.spec = j.spec.EndedRecord(Progress{State: j.state, Ended: j.endedAt})
		j.occurrences, j.idle, j.doneAhead, j.dropped = nil, nil, nil, true
	}
}

// create creates the runtime state of occurrence k.
func (j *job) create(k int) *occurrence {
	o := &occurrence{number: k}
	for i := range j.spec.Steps {
		g := &group{job: j, occurrence: k, index: i, step: &j.spec.Steps[i]}
		g.tasks = newTaskTable(g, g.step.Count)
		g.waiting = g.step.Count
		o.groups = append(o.groups, g)
	}
	j.occurrences[k] = o
	return o
}

// live counts the runs of the job that hold capacity.
func (j *job) live() int {
	n := 0
	for _, o := range j.occurrences {
		n += o.live()
	}
	return n
}

func (g *group) live() int { return g.running }

// markDone marks the task as done.
func (t *task) markDone() {
	if t.waiting() {
		t.group.waiting--
	}
	t.done = true
	t.group.tasks.setDone(t.index)
	t.dropIfDone()
}

// dropIfDone releases the memory of a task that is done and has no runs.
func (t *task) dropIfDone() {
	if t.done && len(t.runs) == 0 {
		t.group.tasks.drop(t.index)
	}
}

// complete reports whether every task of the group is done.
func (g *group) complete() bool { return g.done == g.tasks.len() }

// lostAt returns when a run of the group was last released without a reported end.
func (g *group) lostAt() time.Time {
	var last time.Time
	for t := range g.tasks.used() {
		last = latest(last, t.lostAt)
	}
	return last
}

// waiting reports whether the task has to be started.
func (t *task) waiting() bool { return !t.done && len(t.runs) == 0 }

func (t *task) id() TaskID {
	return TaskID{Job: t.group.job.spec.ID, Occurrence: t.group.occurrence, Step: t.group.index, Index: t.index}
}

func (t *task) charge() resource.Vector { return t.group.step.Charge() }

// readyGroups marks the groups of an occurrence whose predecessors are complete as ready.
func (s *Scheduler) readyGroups(j *job, o *occurrence) {
	for _, g := range o.groups {
		if g.ready || !o.predecessorsDone(g) {
			continue
		}
		g.ready = true
		g.readySince = s.now
		if !g.complete() || g.live() > 0 {
			s.track(g)
		}
	}
}

func (s *Scheduler) track(g *group) {
	if !g.tracked {
		g.tracked = true
		s.groups = append(s.groups, g)
		s.passNeeded = true
	}
}

func (o *occurrence) predecessorsDone(g *group) bool {
	for _, i := range g.step.After {
		if !o.groups[i].complete() {
			return false
		}
	}
	return true
}

// lookup returns the task with an id, or nil.
func (s *Scheduler) lookup(id TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := s.occurrence(j, id.Occurrence)
	if o == nil || id.Step < 0 || id.Step >= len(o.groups) {
		return nil
	}
	g := o.groups[id.Step]
	if id.Index < 0 || id.Index >= g.tasks.len() {
		return nil
	}
	return g.tasks.at(id.Index)
}

// HasJob reports whether the scheduler knows the job.
func (s *Scheduler) HasJob(id ident.JobID) bool { return s.jobs[id] != nil }

func (j *job) begin() { j.begun = true }

// saveCheckpoint stores a checkpoint of the task, or of all members of its gang.
func (t *task) saveCheckpoint(c Checkpoint) {
	if !t.group.step.Gang {
		t.checkpoint = c
		return
	}
	for o := range t.group.tasks.all() {
		o.checkpoint = c
	}
}
