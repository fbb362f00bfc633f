package preemption

import (
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

const ms = time.Millisecond

func cores(n float64) resource.Vector {
	return resource.Vector{CPU: resource.MilliCPU(1000 * n), Memory: 10}
}

// batchRun returns a run of a batch with slack.
func batchRun(n float64) Run {
	return Run{
		Priority: 2, Freed: cores(n), Stops: 1, Lost: Work(cores(n), 800*ms), Remaining: 2 * time.Second, Slack: 10 * time.Second, Wait: time.Second,
	}
}

func urgentStep(waiting int) Step {
	return Step{
		Charge: cores(5), Work: time.Second, Waiting: waiting, Slack: time.Second, SafeSlack: 400 * ms, Released: &Forecast{},
	}
}

func TestDecide(t *testing.T) {
	limits := Limits{StopTime: 250 * ms, Stops: 32}
	full := func(runs ...Run) Server {
		return Server{Free: resource.Vector{CPU: 1000, Memory: 1000}, Places: 10, Runs: runs}
	}
	for name, c := range map[string]struct {
		guards  string
		step    func(*Step)
		run     func(*Run) // changes the only run of the only server
		servers []Server   // instead of that one
		limits  func(*Limits)
		reason  Reason
		stopped [][]int // runs by plan
		places  int
	}{
		"a batch with slack gives way": {guards: "an urgent task that is late beside work that can wait", stopped: [][]int{{0}}, places: 1},
		"another priority":             {guards: "preemption among batches", step: func(s *Step) { s.Priority = 1 }, reason: NotUrgent},
		"surplus":                      {guards: "a team that takes more than its share", step: func(s *Step) { s.Surplus = true }, reason: NotUrgent},
		"its job has given way": {
			guards: "jobs that preempt each other in turn", step: func(s *Step) { s.GaveWay = true }, reason: NotUrgent,
		},
		"nothing waits": {guards: "a stop for tasks that have room already", step: func(s *Step) { s.Waiting = 0 }, reason: NotUrgent},
		"too late for a stop": {
			guards: "a loss that helps nobody", step: func(s *Step) { s.Slack, s.SafeSlack = 249*ms, 0 }, reason: Late,
		},
		"room is released in time": {
			guards: "a stop without need", step: func(s *Step) { s.Released.Add(390*ms, cores(5)) }, reason: RoomInTime,
		},
		"room is released before a stop would end": {
			guards: "a stop that comes later than the room", reason: RoomInTime,
			step: func(s *Step) { s.SafeSlack = 0; s.Released.Add(190*ms, cores(5)) },
		},
		"room is released too late": {
			guards: "an urgent task that is late", step: func(s *Step) { s.Released.Add(500*ms, cores(50)) }, stopped: [][]int{{0}}, places: 1,
		},
		"other work takes what is released": {
			guards: "room that is counted for several steps", stopped: [][]int{{0}}, places: 1,
			step: func(s *Step) { s.Released.Add(100*ms, cores(50)); s.Ahead = cores(46) },
		},
		"room elsewhere": {
			guards: "a stop instead of an advisor call", step: func(s *Step) { s.FreePlaces = 1 }, reason: RoomInTime,
		},
		"equal priority": {
			guards: "urgent work that stops urgent work", run: func(r *Run) { r.Priority = 0 }, reason: NothingYields,
		},
		"long-running": {guards: "a service that loses its tasks", run: func(r *Run) { r.LongRunning = true }, reason: NothingYields},
		"copy":         {guards: "a copy that was started for a late task", run: func(r *Run) { r.Copy = true }, reason: NothingYields},
		"gave way twice": {
			guards: "a task that never ends", run: func(r *Run) { r.TimesGivenWay = 2 }, reason: NothingYields,
		},
		"gave way once": {guards: "a bound that is too low", run: func(r *Run) { r.TimesGivenWay = 1 }, stopped: [][]int{{0}}, places: 1},
		"nearly done": {
			guards: "a run that is stopped as it ends", run: func(r *Run) { r.Remaining = 249 * ms }, reason: NothingYields,
		},
		"would be late": {
			guards: "a batch that is late for an urgent job", run: func(r *Run) { r.Slack = 999 * ms }, reason: NothingYields,
		},
		"would be late, surplus": {
			guards: "work beyond the weight that keeps its room", run: func(r *Run) { r.Slack, r.Surplus = -time.Hour, true },
			stopped: [][]int{{0}}, places: 1,
		},
		"of no use any more": {
			guards: "work without use that keeps its room", run: func(r *Run) { r.Slack, r.PastUse = -time.Hour, true },
			stopped: [][]int{{0}}, places: 1,
		},
		"loses as much as it gains": {
			guards: "stops that waste more than they help", run: func(r *Run) { r.Lost = 5 }, reason: TooCostly,
		},
		"frees too little": {guards: "a stop that makes no room", run: func(r *Run) { r.Freed = cores(3) }, reason: NothingYields},
		"several runs of one server": {
			guards: "room that is spread over servers", servers: []Server{full(batchRun(3), batchRun(3)), full(batchRun(2), batchRun(2))},
			stopped: [][]int{{0, 1}}, places: 1, step: func(s *Step) { s.Work = 2 * time.Second },
		},
		"the cheapest server": {
			guards: "the first server instead of the best", servers: []Server{full(batchRun(6)), full(batchRun(4))}, stopped: [][]int{{0}}, places: 1,
		},
		"one stop for two tasks": {
			guards: "more stops than the tasks need", servers: []Server{full(batchRun(9), batchRun(9))}, step: func(s *Step) { s.Waiting = 2 },
			stopped: [][]int{{0}}, places: 2,
		},
		"two servers for two tasks": {
			guards: "a step of which only a part starts", servers: []Server{full(batchRun(4)), full(batchRun(4)), full(batchRun(4))},
			step: func(s *Step) { s.Waiting = 2 }, stopped: [][]int{{0}, {0}}, places: 2,
		},
		"the limit of stops": {
			guards: "a pass that empties the fleet", servers: []Server{full(batchRun(4)), full(batchRun(4))}, step: func(s *Step) { s.Waiting = 2 },
			limits: func(l *Limits) { l.Stops = 1 }, stopped: [][]int{{0}}, places: 1,
		},
		"no stops left": {guards: "a pass that empties the fleet", limits: func(l *Limits) { l.Stops = 0 }, reason: TooManyStops},
		"a gang with members elsewhere": {
			guards: "a gang whose loss on other servers isn't counted", run: func(r *Run) { r.Stops, r.Lost = 4, 4*r.Lost }, reason: TooCostly,
		},
		"a gang that costs little": {
			guards: "a gang that never gives way", run: func(r *Run) { r.Stops, r.Lost = 2, 4.9 }, stopped: [][]int{{0}}, places: 1,
		},
		"a gang beyond the limit of stops": {
			guards: "a part of a gang that is stopped", run: func(r *Run) { r.Stops, r.Lost = 3, 1 }, limits: func(l *Limits) { l.Stops = 2 },
			reason: TooManyStops,
		},
		"at most so many on a server": {
			guards: "room that MaxPerServer forbids to use", servers: []Server{{Free: cores(1), Places: 0, Runs: []Run{batchRun(9)}}},
			reason: NothingYields,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, l := urgentStep(1), limits
			r := batchRun(4)
			if c.step != nil {
				c.step(&s)
			}
			if c.run != nil {
				c.run(&r)
			}
			if c.limits != nil {
				c.limits(&l)
			}
			if c.servers == nil {
				c.servers = []Server{full(r)}
			}
			v := Decide(&s, c.servers, l)
			var stopped [][]int
			places := 0
			for _, p := range v.Plans {
				stopped = append(stopped, slices.Sorted(slices.Values(p.Runs)))
				places += p.Places
				if p.Lost >= p.Gained {
					t.Errorf("loses %v and gains %v", p.Lost, p.Gained)
				}
			}
			if v.Reason != c.reason || places != c.places || !slices.EqualFunc(stopped, c.stopped, slices.Equal[[]int]) {
				t.Errorf("got %v, stops %v for %d tasks, want %v, %v, %d; guards against %s", v.Reason, stopped, places, c.reason, c.stopped,
					c.places, c.guards)
			}
		})
	}
}

// Guards against a GPU that counts for nothing, as most of its server's worth is there.
func TestWorkOfGPUs(t *testing.T) {
	if got := Work(resource.Vector{CPU: 2000, GPUs: 1}, 2*time.Second); got != 20 {
		t.Errorf("got %v core seconds, want 20", got)
	}
}

// Guards against room that is counted before it is released, and runs that overflow the forecast.
func TestForecast(t *testing.T) {
	var f Forecast
	f.Add(-time.Second, cores(1))
	f.Add(101*ms, cores(2))
	f.Add(time.Hour, cores(4))
	for within, want := range map[time.Duration]float64{-1: 0, 0: 1, 149 * ms: 1, 150 * ms: 3, 24 * time.Hour: 3} {
		if got := float64(f.Released(within).CPU) / 1000; got != want {
			t.Errorf("within %s: got %v cores, want %v", within, got, want)
		}
	}
}

// Guards against a search that isn't bounded, and one that misses the cheapest set.
func TestCheapestSet(t *testing.T) {
	list := []Candidate{{cores(1), 1}, {cores(1), 1}, {cores(2), 1.5}, {cores(4), 3}}
	for name, c := range map[string]struct {
		short float64
		below float64
		want  []int
	}{
		"one":           {short: 1, below: 10, want: []int{0}},
		"larger one":    {short: 2, below: 10, want: []int{2}},
		"two":           {short: 3, below: 10, want: []int{0, 2}},
		"all":           {short: 8, below: 10, want: []int{0, 1, 2, 3}},
		"too much":      {short: 9, below: 10},
		"too costly":    {short: 4, below: 3},
		"nothing short": {short: 0, below: 10},
	} {
		t.Run(name, func(t *testing.T) {
			set, _ := CheapestSet(list, resource.Vector{CPU: resource.MilliCPU(1000 * c.short)}, c.below)
			if !slices.Equal(set, c.want) {
				t.Errorf("got %v, want %v", set, c.want)
			}
		})
	}
	many := make([]Candidate, 500)
	for i := range many {
		many[i] = Candidate{cores(1), 1 + float64(i)/1000}
	}
	started := time.Now()
	CheapestSet(many, cores(250), 1e9)
	if took := time.Since(started); took > time.Second {
		t.Errorf("the search among 500 runs took %s", took)
	}
}
