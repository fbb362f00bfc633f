package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

func cores(n int64) resource.Vector { return resource.Vector{CPU: resource.Cores(n), Memory: 1} }

// servers returns servers with some cores free.
func servers(free ...int64) []Server {
	var out []Server
	for _, n := range free {
		out = append(out, Server{Free: resource.Vector{CPU: resource.Cores(n), Memory: 1000}})
	}
	return out
}

// step returns a step of three tasks of one core at work, the first two of which are to be moved, on a server that may take them all.
func step(change func(*Step)) Step {
	g := Step{Charge: cores(1), Tasks: 3, AtWork: 3, Places: []int{3}, Candidates: []Candidate{{0, true}, {1, true}}}
	if change != nil {
		change(&g)
	}
	return g
}

// Guards against moves that make more tasks unavailable than the step admits, or that leave a task without a place, and against tasks
// that stay in an evacuated data centre for ever.
func TestDecide(t *testing.T) {
	many := func(n int) []Step {
		var steps []Step
		for range n {
			steps = append(steps, step(nil))
		}
		return steps
	}
	for name, c := range map[string]struct {
		service Service
		want    string // moves, then the reasons of the other steps
	}{
		"one of the step at a time":   {Service{Servers: servers(9), Steps: []Step{step(nil)}}, "[{0 0}] map[]"},
		"also if more may be missing": {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) { g.MaxUnavailable = 2 })}}, "[{0 0}] map[]"},
		"none while another is moved": {Service{Moving: 1, Servers: servers(9), Steps: []Step{step(func(g *Step) {
			g.MaxUnavailable, g.AtWork, g.Moving = 3, 2, true
		})}}, "[] map[0:moving]"},
		"none while another isn't at work for another cause": {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) {
			g.AtWork = 2
		})}}, "[] map[0:unavailable]"},
		"another may be missing": {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) {
			g.AtWork, g.MaxUnavailable = 2, 2
		})}}, "[{0 0}] map[]"},
		"one that isn't at work first, as it makes no other unavailable": {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) {
			g.AtWork, g.Candidates[1].AtWork = 2, false
		})}}, "[{0 1}] map[]"},
		"not even that one beyond the limit": {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) {
			g.AtWork, g.Candidates[1].AtWork = 1, false
		})}}, "[] map[0:unavailable]"},
		"the only task of its step":     {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) { g.Tasks, g.AtWork = 1, 1 })}}, "[{0 0}] map[]"},
		"no gang":                       {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) { g.Gang = true })}}, "[] map[0:gang]"},
		"none that couldn't start":      {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) { g.Held = true })}}, "[] map[0:held]"},
		"none without a server":         {Service{Steps: []Step{step(func(g *Step) { g.Places = nil })}}, "[] map[0:no-room]"},
		"none without room":             {Service{Servers: servers(0), Steps: []Step{step(nil)}}, "[] map[0:no-room]"},
		"none without a place":          {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) { g.Places = []int{0} })}}, "[] map[0:no-room]"},
		"room counts once":              {Service{Servers: servers(1), Steps: many(2)}, "[{0 0}] map[1:no-room]"},
		"room of tasks without a run":   {Service{Servers: servers(1), Steps: []Step{step(func(g *Step) { g.MaxUnavailable, g.AtWork, g.Waiting = 2, 2, 1 })}}, "[] map[0:no-room]"},
		"places of tasks without a run": {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) { g.MaxUnavailable, g.AtWork, g.Waiting, g.Places = 2, 2, 1, []int{1} })}}, "[] map[0:no-room]"},
		"room on another server":        {Service{Servers: servers(0, 1), Steps: []Step{step(func(g *Step) { g.Places = []int{3, 3} })}}, "[{0 0}] map[]"},
		"a step without tasks to move":  {Service{Servers: servers(9), Steps: []Step{step(func(g *Step) { g.Candidates = nil })}}, "[] map[]"},
		"at most eight of a service": {
			Service{Moving: 6, Servers: servers(9), Steps: many(4)},
			"[{0 0} {1 0}] map[2:max-moves 3:max-moves]",
		},
	} {
		t.Run(name, func(t *testing.T) {
			v := Decide(c.service)
			if got := fmt.Sprint(v.Moves, v.Withheld); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

// simulatedTask is a long-running task: its server, and the rounds until it is at work.
type simulatedTask struct {
	server     int // -1 while it has none
	startsLeft int
	moved      bool
}

// simulation is a service of 98 servers with 60 steps of 15 tasks, a third of them in an evacuated data centre. In each round some tasks
// fail, and tasks without a run start on a random server that has room.
type simulation struct {
	rng     *rand.Rand
	free    []int64 // cores of each server
	steps   [][]simulatedTask
	limits  []int
	evacked func(server int) bool
}

func newSimulation(seed uint64, cores int64) *simulation {
	m := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), evacked: func(v int) bool { return v%3 == 0 }}
	for range 98 {
		m.free = append(m.free, cores)
	}
	for range 60 {
		var tasks []simulatedTask
		for range 15 {
			tasks = append(tasks, simulatedTask{server: m.pick(func(int) bool { return true })})
		}
		m.steps = append(m.steps, tasks)
		m.limits = append(m.limits, m.rng.IntN(4))
	}
	return m
}

// pick takes a core of a random server to which a condition applies, or returns -1.
func (m *simulation) pick(applies func(int) bool) int {
	for _, v := range m.rng.Perm(len(m.free)) {
		if m.free[v] > 0 && applies(v) {
			m.free[v]--
			return v
		}
	}
	return -1
}

// service returns the state for a decision, with the servers outside the evacuated data centre.
func (m *simulation) service() (s Service, left int) {
	for v, n := range m.free {
		if !m.evacked(v) {
			s.Servers = append(s.Servers, servers(n)...)
		}
	}
	places := make([]int, len(s.Servers))
	for i := range places {
		places[i] = 15
	}
	for i, tasks := range m.steps {
		g := Step{Charge: cores(1), Tasks: len(tasks), MaxUnavailable: m.limits[i], Places: places}
		for j, x := range tasks {
			atWork := x.server >= 0 && x.startsLeft == 0
			g.AtWork += count(atWork)
			g.Waiting += count(x.server < 0)
			if x.moved && !atWork {
				g.Moving = true
				s.Moving++
			}
			if x.server >= 0 && m.evacked(x.server) {
				g.Candidates = append(g.Candidates, Candidate{j, atWork})
				left++
			}
		}
		s.Steps = append(s.Steps, g)
	}
	return s, left
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// run plays the start of tasks and, in the first rounds, failures.
func (m *simulation) run(round int) {
	for i := range m.steps {
		for j := range m.steps[i] {
			x := &m.steps[i][j]
			switch {
			case x.server < 0:
				if x.server = m.pick(func(v int) bool { return !m.evacked(v) }); x.server >= 0 {
					x.startsLeft = 1 + m.rng.IntN(4)
				}
			case x.startsLeft > 0:
				x.startsLeft--
			case round < 300 && m.rng.IntN(2000) == 0:
				m.free[x.server]++
				x.server = -1
			default:
				x.moved = false
			}
		}
	}
}

// Guards, at the size of the large service of an installation and with tasks that fail meanwhile, against a move beyond a step's limit,
// more moves at once than MaxMoves, a moved task without a place, and a data centre that is never left.
func TestDecideUnderLoad(t *testing.T) {
	for seed := range uint64(5) {
		m := newSimulation(seed, 16)
		left := 1
		for round := 0; round < 2000 && left > 0; round++ {
			var s Service
			s, left = m.service()
			v := Decide(s)
			if len(v.Moves)+s.Moving > MaxMoves && len(v.Moves) > 0 {
				t.Fatalf("seed %d, round %d: %d moves beside %d", seed, round, len(v.Moves), s.Moving)
			}
			room := int64(0)
			for i, n := range m.free {
				room += n * int64(count(!m.evacked(i)))
			}
			for i := range s.Steps {
				room -= int64(s.Steps[i].Waiting)
			}
			for _, move := range v.Moves {
				g, x := &s.Steps[move.Step], &m.steps[move.Step][move.Task]
				missing := g.Tasks - g.AtWork + count(x.startsLeft == 0)
				if missing > max(g.MaxUnavailable, 1) || g.Moving || !m.evacked(x.server) {
					t.Fatalf("seed %d, round %d: step %d has %d missing of %d after the move of %+v", seed, round, move.Step, missing,
						g.MaxUnavailable, *x)
				}
				room--
				m.free[x.server]++
				x.server, x.moved = -1, true
			}
			if room < 0 && len(v.Moves) > 0 {
				t.Fatalf("seed %d, round %d: %d moves without room", seed, round, len(v.Moves))
			}
			m.run(round)
		}
		if left > 0 {
			t.Errorf("seed %d: %d tasks are left in the evacuated data centre", seed, left)
		}
	}
}
