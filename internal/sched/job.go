package sched

import (
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// job is an accepted job with its runs.
type job struct {
	spec           *Job
	queue          *Queue // in force
	state          State  // Queued stands for every state that isn't terminal
	recorded       State  // terminal state that the store has
	begun          bool   // a task has started
	inherited      bool   // accepted under a former owner
	surplus        bool   // beyond the rate that its team is entitled to
	endedAt        time.Time
	occurrences    map[int]*occurrence
	nextOccurrence int // first occurrence that isn't opened
	doneBefore     int // occurrences that are done; none below it is open

	criticalPath   time.Duration // expected work on the longest path
	criticalPathAt time.Time

	changes         uint64 // counts changes of the progress
	recordedChanges uint64
	writeInFlight   bool
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	number int
	groups []*group
	done   bool
}

// group is the set of tasks of one step of one occurrence; its members are placed alike.
type group struct {
	job            *job
	occurrence     int
	index          int
	step           *Step
	tasks          []*task
	done           int
	waiting        int         // tasks that have to be started
	running        int         // runs that hold capacity
	tracked        bool        // in Scheduler.groups
	gangRun        RunNumber   // present run of an all-at-once step
	failedRuns     []RunNumber // failed runs of the gang
	ready          bool        // all steps before it are done
	readySince     time.Time
	advice         advice
	noStartsBefore time.Time // pause after a refused start
	isLargeVersion uint64    // the fleet for which isLarge holds
	isLarge        bool      // a task is large for a server
}

// task is one task of a group.
type task struct {
	group       *group
	index       int
	done        bool
	failedRuns  []RunNumber
	lastRun     RunNumber
	unknownEnds int // runs whose end isn't known; each may have failed
	checkpoint  Checkpoint
	runs        []*run
	avoidServer ServerID // server of the last failure
}

type phase int

const (
	phaseStarting phase = iota // the start isn't answered
	phaseRunning
	phaseStopping
)

// run is one start of a task on a server. It holds capacity until its end is certain.
type run struct {
	task           *task
	number         RunNumber
	server         *server
	phase          phase
	startedAt      time.Time
	confirmedAt    time.Time // when the start was answered or the run was first listed
	sentAt         time.Time // last start or stop order
	startAttempts  int
	startUncertain bool      // a start got no answer and may take effect late
	stopAnsweredAt time.Time // when the stop was answered
	percent        int
	percentAt      time.Time // when percent last rose
	tailLatency    time.Duration
	speedPercent   int
}

func newJob(spec *Job, p Progress, inherited bool) *job {
	if spec.Ended != nil {
		p = *spec.Ended
	}
	j := &job{spec: spec, state: StateQueued, inherited: inherited, occurrences: map[int]*occurrence{}}
	if p.State.Terminal() {
		j.state = p.State
		j.endedAt = p.Ended
		j.begun = p.Begun
		return j
	}
	j.begun = p.Begun
	j.doneBefore = p.DoneBefore
	j.nextOccurrence = p.DoneBefore
	for k, op := range p.Occurrences {
		o := j.create(k)
		o.restore(op)
		j.nextOccurrence = max(j.nextOccurrence, k+1)
	}
	for k := j.doneBefore; k < j.nextOccurrence; k++ {
		if j.occurrences[k] == nil {
			j.create(k)
		}
	}
	return j
}

// dropDetails drops what an ended job no longer needs, unless runs of it still hold capacity.
func (j *job) dropDetails() {
	if j.live() == 0 {
		j.spec = j.spec.EndedRecord(Progress{State: j.state, Ended: j.endedAt})
		j.occurrences = nil
	}
}

// openOccurrences returns the occurrences that aren't forgotten, in order.
func (j *job) openOccurrences() []*occurrence {
	all := make([]*occurrence, 0, len(j.occurrences))
	for k := range j.nextOccurrence {
		if o := j.occurrences[k]; o != nil {
			all = append(all, o)
		}
	}
	return all
}

// create makes the runtime state of an occurrence.
func (j *job) create(k int) *occurrence {
	o := &occurrence{number: k}
	for i := range j.spec.Steps {
		g := &group{job: j, occurrence: k, index: i, step: &j.spec.Steps[i]}
		g.tasks = make([]*task, g.step.Count)
		g.waiting = g.step.Count
		for n := range g.tasks {
			g.tasks[n] = &task{group: g, index: n}
		}
		o.groups = append(o.groups, g)
	}
	j.occurrences[k] = o
	return o
}

// due returns the time at which an occurrence may start.
func (j *job) due(k int) time.Time {
	if !j.spec.HasSchedule() {
		return j.spec.Accepted
	}
	return j.spec.StartAt.Add(time.Duration(k) * j.spec.Interval)
}

// live counts the runs of the job that hold capacity.
func (j *job) live() int {
	n := 0
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			n += g.live()
		}
	}
	return n
}

func (g *group) live() int { return g.running }

// markDone notes that a task of the group is done.
func (t *task) markDone() {
	if t.waiting() {
		t.group.waiting--
	}
	t.done = true
}

// complete reports whether every task of the group is done.
func (g *group) complete() bool { return g.done == len(g.tasks) }

// waiting reports whether a task has to be started.
func (t *task) waiting() bool { return !t.done && len(t.runs) == 0 }

func (t *task) id() TaskID {
	return TaskID{Job: t.group.job.spec.ID, Occurrence: t.group.occurrence, Step: t.group.index, Index: t.index}
}

func (t *task) charge() resource.Vector { return t.group.step.Charge() }

// openOccurrences creates the occurrences that are due and lists the groups whose turn has come.
func (s *Scheduler) openOccurrences(j *job) {
	count := max(j.spec.Repetitions, 1)
	for j.nextOccurrence < count {
		if j.spec.HasSchedule() && s.now.Before(j.due(j.nextOccurrence).Add(-s.options.EarlyStart)) {
			break
		}
		j.create(j.nextOccurrence)
		j.nextOccurrence++
	}
	for _, o := range j.openOccurrences() {
		s.readyGroups(j, o)
	}
}

// readyGroups lists the groups of an occurrence whose predecessors are done.
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

// lookup finds a task by its id.
func (s *Scheduler) lookup(id TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.groups) {
		return nil
	}
	g := o.groups[id.Step]
	if id.Index < 0 || id.Index >= len(g.tasks) {
		return nil
	}
	return g.tasks[id.Index]
}

// HasJob reports whether the scheduler has the job.
func (s *Scheduler) HasJob(id ident.JobID) bool { return s.jobs[id] != nil }
