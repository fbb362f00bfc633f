// Package evacuation decides which long-running tasks leave evacuated data centres. Such a task never ends on its own, so it is stopped
// and started again elsewhere. Finite tasks run to completion.
package evacuation

import "github.com/rosemaryspoke/rosemaryspoke/pkg/resource"

// MaxMoves bounds the tasks of a service that are moved at once. A moved task takes a stop and a start, and the room that it leaves is of
// no use to the others, so more moves at once would only make more tasks unavailable.
const MaxMoves = 8

// Service is the state of a service with long-running tasks in evacuated data centres.
type Service struct {
	Moving  int      // tasks that were stopped to be moved and aren't at work again
	Servers []Server // usable ones outside the evacuated data centres
	Steps   []Step   // those with a task to move, or with one that is being moved; the first ones come first
}

// Server is a server that may take moved tasks.
type Server struct {
	Free resource.Vector
}

// Step is the state of a step with long-running tasks.
type Step struct {
	Charge         resource.Vector // room that a task takes
	Tasks          int             // tasks that should be at work
	AtWork         int             // tasks whose progress is 100 %
	MaxUnavailable int             // 0 means one
	Gang           bool
	Moving         bool        // a task was stopped to be moved and isn't at work again
	Held           bool        // a stopped task couldn't be started again now, whatever room there is
	Waiting        int         // tasks without a run, which take room before a moved one
	Places         []int       // for each of Service.Servers, how many further tasks may run there, apart from the room
	Candidates     []Candidate // tasks in evacuated data centres; the first ones come first
}

// Candidate is a task that may be moved.
type Candidate struct {
	Task   int // its index in the step
	AtWork bool
}

// Reason is why no task of a step is moved.
type Reason string

// Reasons, in the order in which they are checked.
const (
	ReasonGang        Reason = "gang"
	ReasonMoving      Reason = "moving"      // another task of the step is being moved
	ReasonHeld        Reason = "held"        // see Step.Held
	ReasonUnavailable Reason = "unavailable" // as many tasks as MaxUnavailable admits aren't at work
	ReasonMaxMoves    Reason = "max-moves"   // MaxMoves tasks of the service are being moved
	ReasonNoRoom      Reason = "no-room"     // no server outside the evacuated data centres has room
)

// Move is a task that is to be stopped, so that it starts elsewhere.
type Move struct {
	Step int // index in Service.Steps
	Task int
}

// Verdict holds the tasks to move, and why the other steps with candidates have none.
type Verdict struct {
	Moves    []Move
	Withheld map[int]Reason // by the index in Service.Steps
}

// Decide returns the tasks to move now, at most one for each step.
func Decide(s Service) Verdict {
	v := Verdict{Withheld: map[int]Reason{}}
	rooms := newRooms(&s)
	moving := s.Moving
	for i := range s.Steps {
		g := &s.Steps[i]
		if len(g.Candidates) == 0 {
			continue
		}
		c, reason := g.choose()
		switch {
		case reason != "":
		case moving >= MaxMoves:
			reason = ReasonMaxMoves
		case !rooms.take(i):
			reason = ReasonNoRoom
		}
		if reason != "" {
			v.Withheld[i] = reason
			continue
		}
		moving++
		v.Moves = append(v.Moves, Move{Step: i, Task: c.Task})
	}
	return v
}

// choose returns the candidate to move by the state of its step, or the reason why there is none. The first one that isn't at work is
// preferred: its move makes no further task unavailable.
func (g *Step) choose() (Candidate, Reason) {
	switch {
	case g.Gang:
		return Candidate{}, ReasonGang
	case g.Moving:
		return Candidate{}, ReasonMoving
	case g.Held:
		return Candidate{}, ReasonHeld
	}
	c := g.Candidates[0]
	for _, other := range g.Candidates {
		if !other.AtWork {
			c = other
			break
		}
	}
	unavailable := g.Tasks - g.AtWork
	if c.AtWork {
		unavailable++
	}
	if unavailable > max(g.MaxUnavailable, 1) {
		return Candidate{}, ReasonUnavailable
	}
	return c, ""
}

// rooms is the room that the servers have left for moved tasks.
type rooms struct {
	service *Service
	free    []resource.Vector
	taken   [][]int // places taken by tasks of each step on each server; nil for a step without any
}

// newRooms returns the room that the tasks without a run leave.
func newRooms(s *Service) *rooms {
	r := &rooms{service: s, free: make([]resource.Vector, len(s.Servers)), taken: make([][]int, len(s.Steps))}
	for i, v := range s.Servers {
		r.free[i] = v.Free
	}
	for i := range s.Steps {
		for range s.Steps[i].Waiting {
			if !r.take(i) {
				break
			}
		}
	}
	return r
}

// take takes the room of a task of a step on the first server that has it, and reports whether there was one.
func (r *rooms) take(step int) bool {
	g := &r.service.Steps[step]
	for i, places := range g.Places {
		if r.taken[step] != nil {
			places -= r.taken[step][i]
		}
		if places <= 0 || !g.Charge.Fits(r.free[i]) {
			continue
		}
		if r.taken[step] == nil {
			r.taken[step] = make([]int, len(g.Places))
		}
		r.taken[step][i]++
		r.free[i] = r.free[i].Sub(g.Charge)
		return true
	}
	return false
}
