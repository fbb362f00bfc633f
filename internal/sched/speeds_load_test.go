package sched

import (
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// placements counts the tasks of priority 0 by the speed of their servers, and the gangs on servers of different speeds.
type placements struct {
	fast, all         int
	mixedGangs, gangs int
}

// placementsSince reads the placements of the present runs every 100 ms, each run once, from a time on.
func (p *loadSimulation) placementsSince(from time.Duration) *placements {
	var out placements
	seen := map[runKey]bool{}
	p.every(100*time.Millisecond, func() {
		if p.now.Sub(epochStart) < from {
			return
		}
		speeds := map[*group]map[float64]bool{}
		for id, v := range p.s.servers {
			for key, r := range v.runs {
				g := r.task.group
				if seen[key] {
					continue
				}
				seen[key] = true
				speed := p.servers[id].speed
				if g.step.Gang {
					if speeds[g] == nil {
						speeds[g] = map[float64]bool{}
					}
					speeds[g][speed] = true
				} else if g.job.queue.Priority == 0 {
					out.all++
					out.fast += boolToInt(speed > 1)
				}
			}
		}
		for _, s := range speeds {
			out.gangs++
			out.mixedGangs += boolToInt(len(s) > 1)
		}
	})
	return &out
}

// A third of the servers is 1.3 times as fast. Guards against speeds that aren't learned beside a tail, or that are learned of
// equal servers, and against urgent tasks and gangs that are placed without regard to them.
func TestServerSpeedsUnderLoad(t *testing.T) {
	t.Parallel()
	for name, fast := range map[string]float64{"equal servers": 1, "a third is faster": 1.3} {
		t.Run(name, func(t *testing.T) {
			kinds, servers := uneven(0.3)
			ms := time.Millisecond
			kinds = append(kinds, workload{
				queue: advisedQueue("large", "second", 1, 2.2, 1200*ms, 150*ms, 1500*ms), rate: 0.3 * 3.57, burst: 1,
				steps: 1, width: 3, demand: demandOf(31, 0), gpus: []resource.Count{2, 4}, work: 4800 * ms, gang: true, allowedPercent: 60,
			})
			p := newLoadSimulation(1, 12, kinds, servers)
			p.t, p.moreWork = t, longTask(3)
			for i, v := range servers {
				p.servers[v.ID].speed = 1
				if i%3 == 2 {
					p.servers[v.ID].speed = fast
				}
			}
			for _, k := range kinds {
				p.addArrivals(k, 2*time.Minute, 0, 0)
			}
			placed := p.placementsSince(time.Minute)
			p.run(2 * time.Minute)
			known, right, wrong := 0, 0, 0
			for id, v := range p.s.servers {
				if v.speed.Runs() < 40 {
					continue
				}
				known++
				f := v.speed.Factor()
				switch truth := p.servers[id].speed; {
				case truth > 1 && f > 1.15 && f < 1.5:
					right++
				case truth == 1 && f != 1:
					wrong++
				}
			}
			t.Logf("servers with enough runs %d, known as fast %d, wrong %d, placements %+v, useful %.3v", known, right, wrong, *placed, p.usefulShare())
			if 20*wrong > known {
				t.Errorf("%d of %d servers of usual speed seem to have another one, want at most one in 20", wrong, known)
			}
			if fast == 1 {
				return
			}
			if 6*right < known { // half of a third
				t.Errorf("%d of %d servers are known to be faster, want at least half of the third that is", right, known)
			}
			if 10*placed.fast < 4*placed.all { // a third without regard to speeds
				t.Errorf("%d of %d urgent tasks on faster servers, want at least four tenths", placed.fast, placed.all)
			}
		})
	}
}
