package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// randomEvacuations evacuates the data centres of a simulation at random, with random numbers of its own.
type randomEvacuations struct {
	*faultSimulation
	random    *rand.Rand
	leader    *Scheduler
	evacuated map[ident.DataCentre]time.Time // by the leader's clock
}

// step begins and ends evacuations. A new leader learns of those in progress before it starts anything.
func (e *randomEvacuations) step() {
	changed := e.leader != e.s
	if dc := ident.DataCentre([]string{"d0", "d1"}[e.random.IntN(2)]); e.random.IntN(200) == 0 {
		if _, ok := e.evacuated[dc]; ok {
			delete(e.evacuated, dc)
		} else {
			e.evacuated[dc] = e.leaderNow()
		}
		changed = true
	}
	if changed && !e.freeze.frozen(e.faultSimulation) {
		set := map[ident.DataCentre]bool{}
		for dc := range e.evacuated {
			set[dc] = true
			if e.leader != e.s {
				e.evacuated[dc] = e.leaderNow()
			}
		}
		e.leader = e.s
		e.s.SetEvacuated(e.leaderNow(), set)
	}
	e.faultSimulation.step()
	if e.leader == e.s {
		e.check()
	}
}

// check reports runs that were started, or whose start was repeated, in an evacuated data centre.
func (e *randomEvacuations) check() {
	for _, v := range e.s.sortedServers() {
		since, ok := e.evacuated[v.info.DataCentre]
		if !ok || !v.evacuated {
			continue
		}
		for _, p := range v.runs {
			if p.startAttempts > 0 && (p.startedAt.After(since) || p.phase == phaseStarting && p.sentAt.After(since)) {
				e.Errorf("seed %d, after %v: run %d of %v was started on %s, %s after the evacuation of its data centre", e.seed,
					e.now.Sub(epochStart), p.number, p.task.id(), v.info.ID, e.leaderNow().Sub(since))
			}
		}
	}
}

// Guards, under the faults of TestRandomFaults, against starts in evacuated data centres, and against tasks that run twice or a state that
// is broken because a start there is given up.
func TestRandomFaultsDuringEvacuations(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		w := newFaultSimulation(t, seed)
		for _, id := range slices.Sorted(maps.Keys(w.servers)) {
			v := w.servers[id]
			v.info.DataCentre = "d" + ident.DataCentre(id[len(id)-1:])
			w.s.Register(w.leaderNow(), v.info)
		}
		e := &randomEvacuations{faultSimulation: w, random: rand.New(rand.NewPCG(seed, 9)), leader: w.s, evacuated: map[ident.DataCentre]time.Time{}}
		for w.now.Sub(epochStart) < 40*time.Second && !t.Failed() {
			e.step()
		}
		if w.starts == 0 {
			t.Errorf("seed %d: nothing was started", seed)
		}
	}
}
