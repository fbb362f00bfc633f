package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// lateInventories makes the first inventories of some servers come late after each takeover, while jobs are accepted and
// cancelled. The usual faults can't show what a former leader's runs add to a team's usage: its runs end before LeaderOverlap
// is over, and until then all jobs count as inherited.
type lateInventories struct {
	random *rand.Rand // nil without this fault
	epoch  FencingToken
}

// leaderOverlap returns LeaderOverlap of the next leader. In the simulation a leader always stops when it is replaced.
func (l *lateInventories) leaderOverlap() time.Duration {
	if l.random != nil && l.random.IntN(4) > 0 {
		return 0
	}
	return time.Second
}

// extraRunTime returns how much longer than usual a run takes.
func (l *lateInventories) extraRunTime() time.Duration {
	if l.random == nil {
		return 0
	}
	return time.Duration(l.random.IntN(3000)) * time.Millisecond
}

// inject replaces the leader, silences servers after a takeover, and adds and cancels jobs.
func (l *lateInventories) inject(w *faultSimulation) {
	since := w.now.Sub(w.tookOverAt)
	if since > 1500*time.Millisecond && l.random.IntN(200) == 0 {
		w.takeOver()
	}
	if w.epoch != l.epoch {
		l.epoch = w.epoch
		for range 1 + l.random.IntN(2) {
			v := w.servers[ServerID(fmt.Sprintf("s%d", l.random.IntN(len(w.servers))))]
			v.silentUntil = w.now.Add(time.Duration(l.random.IntN(4000)) * time.Millisecond)
		}
	}
	if chance := l.random.IntN(100); chance < 2 || chance < 10 && since < time.Second {
		id := ident.JobID(fmt.Sprintf("j%03d", len(w.specs)))
		step := Step{Count: 1 + l.random.IntN(6), Demand: cores(1 + l.random.Int64N(4))}
		w.specs[id] = &Job{ID: id, Team: "blue", Queue: testQueue(), Steps: []Step{step}, Accepted: w.now}
		w.s.AddJob(w.leaderNow(), w.specs[id], Progress{}, false)
	}
	if len(w.specs) > 0 && l.random.IntN(100) == 0 {
		w.s.Cancel(w.leaderNow(), ident.JobID(fmt.Sprintf("j%03d", max(0, len(w.specs)-1-l.random.IntN(5)))))
	}
}

// Guards against a team above its limit, and the other violations that TestRandomFaults checks, when jobs are accepted after a
// takeover while the inventories of some servers aren't known. Found by the soak, seed 2.
func TestRandomFaultsAndLateInventories(t *testing.T) {
	t.Parallel()
	const seeds = 12
	for seed := range uint64(seeds) {
		w := newFaultSimulation(t, seed)
		w.lateInventories.random = rand.New(rand.NewPCG(seed, 3))
		for w.now.Sub(epochStart) < 40*time.Second && !t.Failed() {
			w.lateInventories.inject(w)
			w.step()
		}
		if t.Failed() {
			return
		}
	}
}
