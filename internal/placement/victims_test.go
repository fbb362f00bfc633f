package placement

import (
	"errors"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/api"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

func TestVictims(t *testing.T) {
	type task struct {
		priority               int
		demand                 resource.Vector
		nonIdempotent, pending bool
		refused                []Action
	}
	cpuOnly := resource.Vector{CPU: resource.Cores(8), Slots: 1, Connections: 1}
	cases := map[string]struct {
		guards string
		tasks  []task // on one host of 16 cores and 8 slots, next to a non-idempotent task of 8 cores, 30 GB and 4 slots
		demand resource.Vector
		want   map[Action]int // nil means ErrNoVictims
	}{
		"non-idempotent work is not preempted": {
			guards: "a request that runs twice because it was preempted and restarted",
			tasks:  []task{{nonIdempotent: true, demand: cpuOnly}}, demand: smallDemand,
		},
		"work of equal priority is not preempted": {
			guards: "two urgent tasks that preempt each other in turn",
			tasks:  []task{{priority: 50, demand: cpuOnly}}, demand: smallDemand,
		},
		"an unconfirmed start is not preempted": {
			guards: "a stop that reaches the host before the start",
			tasks:  []task{{pending: true, demand: cpuOnly}}, demand: smallDemand,
		},
		"only CPU is short": {
			guards: "work that is ended although throttling it would be enough",
			tasks:  []task{{demand: cpuOnly}}, demand: smallDemand, want: map[Action]int{ActionThrottle: 1},
		},
		"memory is short": {
			guards: "a task that is throttled, which frees no memory",
			tasks:  []task{{demand: resource.Vector{CPU: 4000, Memory: 2048, Slots: 1, Connections: 1}}},
			demand: smallDemand, want: map[Action]int{ActionCheckpoint: 1},
		},
		"the task refused to checkpoint": {
			guards: "an urgent task that waits for a checkpoint that never comes",
			tasks: []task{{
				demand:  resource.Vector{CPU: 4000, Memory: 2048, Slots: 1, Connections: 1},
				refused: []Action{ActionCheckpoint},
			}},
			demand: smallDemand, want: map[Action]int{ActionStop: 1},
		},
		"checkpoints are preferred to a stop": {
			guards: "a stopped task although checkpointing several tasks would be enough",
			tasks: []task{
				{demand: resource.Vector{CPU: 4000, Memory: 1024, Slots: 1}, refused: []Action{ActionCheckpoint}},
				{demand: resource.Vector{CPU: 2000, Memory: 512, Slots: 1}},
				{demand: resource.Vector{CPU: 2000, Memory: 512, Slots: 1}},
			},
			demand: resource.Vector{CPU: 4000, Memory: 1024, Slots: 1}, want: map[Action]int{ActionCheckpoint: 2},
		},
		"not enough lower-priority work": {
			guards: "preempted work that does not free enough capacity",
			tasks:  []task{{demand: cpuOnly}}, demand: cpuHost,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			host := f.attachHost(0, cpuHost)
			base := newRequest(0, api.KindBatch, resource.Vector{CPU: 8000, Memory: resource.Gigabytes(30), Slots: 4})
			base.NonIdempotent = true
			if _, err := f.Place(base); err != nil {
				t.Fatal(err)
			}
			f.ConfirmStart(host, base.Attempt)
			for i, task := range c.tasks {
				q := newRequest(i+1, api.KindBatch, task.demand)
				q.Priority, q.NonIdempotent = task.priority, task.nonIdempotent
				if _, err := f.Place(q); err != nil {
					t.Fatal(err)
				}
				if !task.pending {
					f.ConfirmStart(host, q.Attempt)
				}
				for _, a := range task.refused {
					f.RecordRefusedAction(host, q.Attempt, a)
				}
			}
			q := newRequest(99, api.KindRequest, c.demand)
			q.Priority, q.Urgent = 50, true
			victims, err := f.SelectVictims(q)
			if c.want == nil {
				if !errors.Is(err, ErrNoVictims) {
					t.Fatalf("got %v, %v, want none; guards against %s", victims, err, c.guards)
				}
				return
			}
			got := map[Action]int{}
			for _, v := range victims {
				got[v.Action]++
				if v.Action == ActionThrottle {
					f.ConfirmThrottle(v.Host, v.Attempt, v.CPUPercent)
				} else {
					f.Release(v.Host, v.Attempt)
				}
			}
			if len(got) != len(c.want) {
				t.Fatalf("got %v, %v, want %v; guards against %s", got, err, c.want, c.guards)
			}
			for a, n := range c.want {
				if got[a] != n {
					t.Fatalf("got %v, want %v; guards against %s", got, c.want, c.guards)
				}
			}
			if _, err := f.Place(q); err != nil {
				t.Fatalf("no free capacity after the preemption: %v", err)
			}
		})
	}
}
