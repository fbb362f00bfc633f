package sched

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// Bounds of a placement query and its answer.
const (
	maxQuerySteps = 64
	// maxQueryTasks is above the widest step of any installation.
	maxQueryTasks = 100_000
	// maxListedServers bounds each list of servers. The counts by status cover all.
	maxListedServers = 40
	// maxRankedForQuery bounds the waiting steps that a query compares itself with, as the leader does nothing else meanwhile.
	maxRankedForQuery = 20_000
	// maxRoomPerServer bounds the tasks that are counted on a server, as tasks without a noticeable demand fit without end.
	maxRoomPerServer = 1000
)

// Errors of ExplainPlacement; ErrBadQuery is wrapped with what is wrong.
var (
	ErrUnknownJob   = errors.New("the leader doesn't know the job")
	ErrUnknownQueue = errors.New("no such queue in the configuration")
	ErrUnknownTeam  = errors.New("no such team in the configuration")
	ErrBadQuery     = errors.New("query not understood")
)

// PlacementQuery asks where work would go now: the first waiting step of a job, the one with a number, or a job that isn't submitted.
type PlacementQuery struct {
	Job        ident.JobID   `json:"job,omitempty"`
	Occurrence *int          `json:"occurrence,omitempty"`
	Step       *int          `json:"step,omitempty"`
	Queue      ident.QueueID `json:"queue,omitempty"`
	Team       ident.TeamID  `json:"team,omitempty"`
	Steps      []Step        `json:"steps,omitempty"`
}

// PlacementExplanation tells where the tasks of a step would go and why.
type PlacementExplanation struct {
	Job        ident.JobID     `json:"job,omitempty"` // empty for a job that isn't submitted
	Occurrence int             `json:"occurrence"`
	Step       int             `json:"step"`
	Tasks      int             `json:"tasks"` // that wait
	Demand     resource.Vector `json:"demand"`
	Queue      QueueStanding   `json:"queue"`
	Team       TeamStanding    `json:"team"`
	Rank       string          `json:"rank"`
	StepsFirst int             `json:"steps-first"` // waiting steps of the service that come before it
	TasksFirst int             `json:"tasks-first"` // their waiting tasks
	StepsAfter int             `json:"steps-after"` // waiting steps of the service that come after it
	Truncated  bool            `json:"truncated,omitempty"`
	HeldBy     WaitReason      `json:"held-by,omitempty"` // why no task may start, or all that fit have started
	Room       int             `json:"room"`              // waiting tasks for which there is room now, before those that come first take theirs
	Candidates []Candidate     `json:"candidates"`        // servers that could take a task now, the preferred ones first
	Others     []OtherServer   `json:"others"`            // some of the servers that couldn't, with the reason

	Servers      map[ServerStatus]int `json:"servers"`                 // all servers of the service
	Preempted    []TaskID             `json:"preempted"`               // tasks whose runs would be stopped now to make room
	NotPreempted string               `json:"not-preempted,omitempty"` // why none would
	Note         string               `json:"note,omitempty"`
}

// QueueStanding describes a queue.
type QueueStanding struct {
	ID       ident.QueueID `json:"id"`
	Service  ServiceID     `json:"service"`
	Priority int           `json:"priority"`
	Advisor  bool          `json:"advisor,omitempty"`
}

// TeamStanding describes what a team is entitled to and has used.
type TeamStanding struct {
	ID      ident.TeamID    `json:"id"`
	Weight  float64         `json:"weight"` // jobs a second, 0 means unlimited
	Left    float64         `json:"left"`   // jobs that the team may send now within its weight; without meaning if that is unlimited
	Surplus bool            `json:"surplus,omitempty"`
	Limit   resource.Vector `json:"limit"` // 0 means unlimited
	Used    resource.Vector `json:"used"`
	PastUse TeamUse         `json:"past-use"`
}

// Candidate is a server that could take tasks.
type Candidate struct {
	Server ServerID `json:"server"`
	Tasks  int      `json:"tasks"` // that it has room for
	Score  float64  `json:"score"`
}

// OtherServer is a server that couldn't.
type OtherServer struct {
	Server ServerID     `json:"server"`
	Status ServerStatus `json:"status"`
}

// ExplainPlacement tells where work would go now. It starts, stops and reserves nothing.
func (s *Scheduler) ExplainPlacement(now time.Time, query PlacementQuery) (PlacementExplanation, error) {
	s.now = now
	counts := s.counts
	defer func() { s.counts = counts }()
	var (
		g    *group
		err  error
		note string
	)
	if query.Job != "" {
		g, err = s.queriedGroup(&query)
	} else {
		g, err = s.hypotheticalGroup(&query)
	}
	if err != nil {
		return PlacementExplanation{}, err
	}
	r := s.ranked(g)
	if query.Job == "" && r.queue.Advisor != nil {
		q := *r.queue
		q.Advisor = nil
		r.queue, note = &q, "the queue's advisor wasn't asked; it may allow fewer servers"
	}
	e := PlacementExplanation{
		Job: query.Job, Occurrence: g.occurrence, Step: g.index, Tasks: g.waiting, Demand: g.step.Demand, Rank: r.rank.String(), Note: note,
		Queue: QueueStanding{r.queue.ID, r.queue.Service, r.queue.Priority, g.job.queue.Advisor != nil},
		Team:  s.teamStanding(g.job), Servers: map[ServerStatus]int{}, Candidates: []Candidate{}, Others: []OtherServer{}, Preempted: []TaskID{},
	}
	ahead := s.compareWithWaiting(&e, &r)
	s.listServers(&e, &r)
	e.HeldBy = s.queryHeldBy(&e, &r, query.Job != "")
	s.explainPreemption(&e, &r, ahead)
	return e, nil
}

// queriedGroup returns the step of a job that a query names, or its first one with waiting tasks.
func (s *Scheduler) queriedGroup(query *PlacementQuery) (*group, error) {
	j := s.jobs[query.Job]
	if j == nil {
		return nil, ErrUnknownJob
	}
	for _, o := range j.openOccurrences() {
		if query.Occurrence != nil && *query.Occurrence != o.number {
			continue
		}
		for _, g := range o.groups {
			if query.Step != nil && *query.Step != g.index {
				continue
			}
			if g.hasWaiting() && (g.ready || query.Step != nil) {
				return g, nil
			}
		}
	}
	return nil, fmt.Errorf("%w: the job (%s) has no such step with waiting tasks", ErrBadQuery, j.state)
}

// hypotheticalGroup returns the first step of a job that the scheduler doesn't know and never will.
func (s *Scheduler) hypotheticalGroup(query *PlacementQuery) (*group, error) {
	q := s.queues[query.Queue]
	if q == nil {
		return nil, fmt.Errorf("%w: %q", ErrUnknownQueue, query.Queue)
	}
	if _, ok := s.pastUse.weights[query.Team]; !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknownTeam, query.Team)
	}
	if err := checkQuerySteps(query.Steps); err != nil {
		return nil, err
	}
	j := newJob(&Job{Team: query.Team, Queue: *q, Steps: query.Steps, Accepted: s.now}, Progress{}, false)
	j.queue = q
	team := *s.team(query.Team)
	j.surplus = !s.takeToken(&team, s.now)
	i := 0
	if query.Step != nil {
		i = *query.Step
	}
	if i < 0 || i >= len(query.Steps) {
		return nil, fmt.Errorf("%w: the job has no step %d", ErrBadQuery, i)
	}
	return j.create(0).groups[i], nil
}

// checkQuerySteps refuses steps that no job can have.
func checkQuerySteps(steps []Step) error {
	if len(steps) == 0 || len(steps) > maxQuerySteps {
		return fmt.Errorf("%w: a job has 1 to %d steps, got %d", ErrBadQuery, maxQuerySteps, len(steps))
	}
	for i, step := range steps {
		switch {
		case step.Count < 1 || step.Count > maxQueryTasks:
			return fmt.Errorf("%w: step %d: count must be 1 to %d, got %d", ErrBadQuery, i, maxQueryTasks, step.Count)
		case step.Demand.IsZero() || step.Demand.Negative():
			return fmt.Errorf("%w: step %d: demand must be above 0", ErrBadQuery, i)
		case step.Estimate < 0:
			return fmt.Errorf("%w: step %d: estimate must not be negative", ErrBadQuery, i)
		case slices.ContainsFunc(step.After, func(a int) bool { return a < 0 || a >= i }):
			return fmt.Errorf("%w: step %d: after must name earlier steps", ErrBadQuery, i)
		}
	}
	return nil
}

func (s *Scheduler) teamStanding(j *job) TeamStanding {
	t := *s.team(j.spec.Team) // a copy, as refilling takes nothing from the team
	standing := TeamStanding{ID: t.ID, Weight: t.Weight, Surplus: j.surplus, Limit: t.Limit, Used: t.used, PastUse: s.teamUse(t.ID)}
	if t.Weight > 0 && s.takeToken(&t, s.now) {
		standing.Left = t.tokens + 1
	}
	return standing
}

// compareWithWaiting counts the waiting steps of the service that come before and after a group, and returns the work of the former.
func (s *Scheduler) compareWithWaiting(e *PlacementExplanation, r *rankedGroup) (ahead workAhead) {
	p := pass{Scheduler: s, blocked: map[unknownInventory]bool{}}
	for i, g := range s.groups {
		if i >= maxRankedForQuery {
			e.Truncated = true
			return ahead
		}
		if g == r.group || g.job.queue.Service != r.queue.Service || g.finished() || g.job.state.Terminal() || !g.hasWaiting() {
			continue
		}
		o := s.ranked(g)
		if o.compare(r) < 0 {
			e.StepsFirst++
			e.TasksFirst += g.waiting
			ahead.add(&p, &o)
		} else {
			e.StepsAfter++
		}
	}
	return ahead
}

// listServers finds the servers of the service that could take tasks of a group, and why not the others.
func (s *Scheduler) listServers(e *PlacementExplanation, r *rankedGroup) {
	g := r.group
	p := pass{Scheduler: s, reserved: map[ServerID]bool{}}
	rack := g.rackInUse(nil)
	// A task without history is preferred by each server alike. It isn't kept.
	t := g.tasks.unused(0)
	all := slices.Clone(s.services[r.queue.Service])
	slices.SortFunc(all, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	for _, v := range all {
		status := s.serverStatus(r, v)
		e.Servers[status]++
		if status != ServerFree {
			if len(e.Others) < maxListedServers {
				e.Others = append(e.Others, OtherServer{v.info.ID, status})
			}
			continue
		}
		n := roomFor(g, v)
		e.Room = min(e.Room+n, g.waiting)
		e.Candidates = append(e.Candidates, Candidate{v.info.ID, n, p.score(g, t, v, rack)})
	}
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int { return cmp.Compare(b.Score, a.Score) })
	e.Candidates = e.Candidates[:min(len(e.Candidates), maxListedServers)]
}

// roomFor returns for how many waiting tasks of a group a server has room, at most maxRoomPerServer.
func roomFor(g *group, v *server) int {
	most := min(g.waiting, maxRoomPerServer)
	if g.step.MaxPerServer > 0 {
		most = min(most, g.step.MaxPerServer-g.runsOn(v))
	}
	n := 0
	for n < most && v.admits(g, g.step.Charge().Times(int64(n+1))) {
		n++
	}
	return n
}

// queryHeldBy returns why no task of a group starts now, or "" if one would.
func (s *Scheduler) queryHeldBy(e *PlacementExplanation, r *rankedGroup, known bool) WaitReason {
	g := r.group
	p := pass{Scheduler: s, reserved: map[ServerID]bool{}}
	if known {
		if held := s.heldReason(r); held != "" {
			return held
		}
	}
	n := 1
	if g.step.Gang {
		n = g.tasks.len()
	}
	switch {
	case !p.withinLimit(g, n):
		return WaitTeamLimit
	case e.Room < n && r.queue.Advisor != nil && e.Servers[ServerNoTicket] > 0:
		return WaitAdvice
	case e.Room < n:
		return WaitRoom
	case s.startWindowFull():
		return WaitStartWindow
	}
	return ""
}
