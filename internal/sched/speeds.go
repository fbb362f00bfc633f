package sched

import (
	"math"

	"github.com/rosemaryspoke/rosemaryspoke/internal/durations"
)

const (
	// speedWeight is how much a server that is twice as fast counts in the placement score of steps of priority 0. One that is 1.3 times as
	// fast counts like one that is 7 % fuller: speed decides between servers that are about equally packed.
	speedWeight = 0.19
	// similarSpeed is the ratio up to which the speeds of a gang's servers count as similar. Speeds that are known differ from the usual one
	// by 10 % or more, and are off by 5 %.
	similarSpeed = 1.1
)

// speedScore rates a server for a task by its speed. It is 0 while no speed is known to differ.
func (g *group) speedScore(v *server) float64 {
	speed := v.speed.Factor()
	if speed == 1 || g.step.Gang || g.step.LongRunning || g.job.queue.Priority > 0 {
		return 0
	}
	return speedWeight * math.Log2(speed)
}

// speedRange is a range of speeds; the zero value contains all.
type speedRange struct{ from, to float64 }

func (x speedRange) contains(v *server) bool {
	if x == (speedRange{}) {
		return true
	}
	speed := v.speed.Factor()
	return speed >= x.from && speed <= x.to
}

// speedsOf returns the range of the speeds of some servers.
func speedsOf(servers []*server) speedRange {
	x := speedRange{from: durations.MaxSpeed, to: durations.MinSpeed}
	for _, v := range servers {
		x.from, x.to = min(x.from, v.speed.Factor()), max(x.to, v.speed.Factor())
	}
	return x
}

// assignAtOneSpeed returns servers of similar speed for the members of a gang that all have room on others of different speeds, or nil. All
// members take as long as the slowest one, so that a faster server among slower ones is wasted.
func (p *pass) assignAtOneSpeed(r *rankedGroup, tasks []*task, where []*server) []*server {
	x := speedsOf(where)
	if r.group.step.LongRunning || x.to <= similarSpeed*x.from {
		return nil
	}
	defer func() { p.speeds = speedRange{} }()
	for _, p.speeds = range []speedRange{{x.to / similarSpeed, durations.MaxSpeed}, {x.from, x.from * similarSpeed}} {
		if other, _ := p.assignGang(r, tasks); other != nil {
			return other
		}
	}
	return nil
}

// ServersOfOtherSpeed returns the number of servers whose speed is known to differ from the usual one.
func (s *Scheduler) ServersOfOtherSpeed() int {
	n := 0
	for _, v := range s.servers {
		n += boolToInt(v.speed.Factor() != 1)
	}
	return n
}
