package sched

import (
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/evacuation"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// moveInterval is the pause between decisions on the long-running tasks of evacuated data centres. A moved task takes longer to be
	// at work again.
	moveInterval = 250 * time.Millisecond
	// formerMoveTime is how long after a takeover an inherited task that isn't at work counts as one that the former leader moved. It
	// exceeds the time until the servers have listed their runs and a moved task is at work again.
	formerMoveTime = 10 * time.Second
	// withheldLogPause is the shortest time between two decisions that keep the tasks of a step where they are.
	withheldLogPause = 10 * time.Second
)

// evacuationMoves are the moves of long-running tasks.
type evacuationMoves struct {
	decidedAt time.Time
	moving    int // tasks that were stopped to be moved and aren't at work again
	withheld  int // steps of which no task may be moved now
	decisions []MoveDecision
	dropped   int
}

// MoveDecision is a decision to move a long-running task, or not to move any of a step. The caller logs it.
type MoveDecision struct {
	Task       TaskID // without an index if no task is moved
	Run        RunNumber
	Server     ServerID
	DataCentre ident.DataCentre
	RunAge     time.Duration
	Withheld   evacuation.Reason // empty if the task is moved

	// What the decision is based on.
	Tasks, AtWork, MaxUnavailable int // of the step
	Candidates                    int // tasks of the step in evacuated data centres
	Moving                        int // tasks of the service that are being moved
	Service                       ServiceID
}

// TakeMoveDecisions returns the decisions on moves since the last call, and the number of those that weren't kept.
func (s *Scheduler) TakeMoveDecisions() ([]MoveDecision, int) {
	m := &s.evacuationMoves
	decisions, dropped := m.decisions, m.dropped
	m.decisions, m.dropped = nil, 0
	return decisions, dropped
}

// MovingTasks returns the number of tasks that are being moved, and of steps in evacuated data centres of which none may be moved now.
func (s *Scheduler) MovingTasks() (moving, withheld int) {
	return s.evacuationMoves.moving, s.evacuationMoves.withheld
}

// evacuatedService is the state of a service for a decision, with the groups of its steps.
type evacuatedService struct {
	evacuation.Service
	groups []*group
}

// moveLongRunning stops long-running tasks in evacuated data centres, so that they start elsewhere.
func (s *Scheduler) moveLongRunning() {
	m := &s.evacuationMoves
	if len(s.evacuated) == 0 && m.moving+m.withheld == 0 || s.now.Sub(m.decidedAt) < moveInterval {
		return
	}
	m.decidedAt, m.moving, m.withheld = s.now, 0, 0
	services := map[ServiceID]*evacuatedService{}
	var order []*evacuatedService
	for _, g := range s.groups {
		if !g.step.LongRunning || g.job.state.Terminal() {
			continue
		}
		step, moving := s.evacuatedStep(g)
		if len(step.Candidates) == 0 {
			g.moveWithheld = ""
		}
		if len(step.Candidates) == 0 && moving == 0 {
			continue
		}
		id := g.job.queue.Service
		e := services[id]
		if e == nil {
			e = &evacuatedService{}
			services[id] = e
			order = append(order, e)
		}
		e.Moving += moving
		m.moving += moving
		e.Steps, e.groups = append(e.Steps, step), append(e.groups, g)
	}
	for _, e := range order {
		s.moveTasksOf(e)
	}
}

// evacuatedStep returns the state of a step, without its places, and how many of its tasks are being moved.
func (s *Scheduler) evacuatedStep(g *group) (step evacuation.Step, moving int) {
	step = evacuation.Step{
		Charge: g.step.Charge(), Tasks: g.tasks.len() - g.done, MaxUnavailable: g.step.MaxUnavailable, Gang: g.step.Gang, Waiting: g.waiting,
	}
	for t := range g.tasks.used() {
		if t.done {
			continue
		}
		atWork := slices.ContainsFunc(t.runs, (*run).atWork)
		step.AtWork += boolToInt(atWork)
		if atWork {
			t.movedAt = time.Time{}
		}
		if !t.movedAt.IsZero() || !atWork && g.job.inherited && s.options.RunBase > 0 && s.now.Sub(s.started) < formerMoveTime {
			step.Moving = step.Moving || !t.movedAt.IsZero()
			moving++
		}
		if len(t.runs) == 1 && t.runs[0].mayBeMoved() {
			step.Candidates = append(step.Candidates, evacuation.Candidate{Task: t.index, AtWork: atWork})
		}
	}
	return step, moving
}

// atWork reports whether a run has confirmed that its long-running task is at work.
func (p *run) atWork() bool {
	return p.phase == phaseRunning && !p.unlisted && p.listedPercent >= 100 && p.server.failures == 0
}

// mayBeMoved reports whether a run is in an evacuated data centre and can be stopped there.
func (p *run) mayBeMoved() bool {
	v := p.server
	return v.evacuated && p.phase == phaseRunning && !p.unlisted && v.failures == 0
}

// moveTasksOf decides on the tasks of a service and stops those that are to be moved.
func (s *Scheduler) moveTasksOf(e *evacuatedService) {
	var servers []*server
	for _, v := range s.services[e.groups[0].job.queue.Service] {
		if v.usable(s.now) && len(v.unknownRuns) == 0 {
			servers = append(servers, v)
			e.Servers = append(e.Servers, evacuation.Server{Free: v.unheld()})
		}
	}
	for i, g := range e.groups {
		r := s.ranked(g)
		e.Steps[i].Held = s.heldReason(&r) != "" || !(&pass{Scheduler: s}).withinLimit(g, 0)
		e.Steps[i].Places = g.placesOn(servers)
	}
	verdict := evacuation.Decide(e.Service)
	moving := e.Moving
	for _, move := range verdict.Moves {
		moving++
		g := e.groups[move.Step]
		t := g.tasks.at(move.Task)
		p := t.runs[0]
		s.decideMove(g, MoveDecision{
			Task: t.id(), Run: p.number, Server: p.server.info.ID, DataCentre: p.server.info.DataCentre, RunAge: s.now.Sub(p.startedAt),
			Moving: moving,
		}, &e.Steps[move.Step])
		g.moveWithheld, g.moveWithheldAt = "", time.Time{}
		t.movedAt = s.now
		s.counts.Moves++
		s.evacuationMoves.moving++
		s.stop(p, "data centre evacuated")
	}
	for i, g := range e.groups {
		reason, ok := verdict.Withheld[i]
		if !ok {
			continue
		}
		s.evacuationMoves.withheld++
		if reason == evacuation.ReasonMoving || reason == g.moveWithheld || s.since(g.moveWithheldAt) < withheldLogPause && !g.moveWithheldAt.IsZero() {
			continue
		}
		g.moveWithheld, g.moveWithheldAt = reason, s.now
		s.decideMove(g, MoveDecision{
			Task: TaskID{Job: g.job.spec.ID, Occurrence: g.occurrence, Step: g.index}, Withheld: reason, Moving: moving,
		}, &e.Steps[i])
	}
}

// placesOn returns how many further tasks of a group each of some servers may take, apart from its free capacity.
func (g *group) placesOn(servers []*server) []int {
	places := make([]int, len(servers))
	running := map[*server]int{}
	if g.step.MaxPerServer > 0 {
		for t := range g.tasks.used() {
			for _, p := range t.runs {
				running[p.server]++
			}
		}
	}
	for i, v := range servers {
		allowed, answered := g.advice.allowed[v.incarnationID()]
		if !eligible(g.step, v) || g.job.queue.Advisor != nil && answered && !allowed {
			continue
		}
		places[i] = g.tasks.len()
		if g.step.MaxPerServer > 0 {
			places[i] = max(g.step.MaxPerServer-running[v], 0)
		}
	}
	return places
}

// decideMove keeps a decision on a step for the log.
func (s *Scheduler) decideMove(g *group, d MoveDecision, step *evacuation.Step) {
	m := &s.evacuationMoves
	if len(m.decisions) >= maxDecisions {
		m.dropped++
		return
	}
	d.Tasks, d.AtWork, d.MaxUnavailable, d.Candidates = step.Tasks, step.AtWork, g.step.MaxUnavailable, len(step.Candidates)
	d.Service = g.job.queue.Service
	m.decisions = append(m.decisions, d)
}
