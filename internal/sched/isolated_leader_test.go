package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// isolation cuts some servers off together with the leader. The leader goes on without the store until another one has taken over, and for
// up to isolationTime after that. Terms may be short, and the clocks of servers are slow.
type isolation struct {
	random  *rand.Rand // nil without this fault
	cutOff  map[ServerID]bool
	fence   FencingToken // of the leader that is cut off
	until   time.Time    // when the cut heals
	due     time.Time    // when another leader takes over
	formers []formerLeader
	stopped bool // the last leader had certainly stopped when it was replaced
	led     time.Duration
}

// formerLeader is a leader that goes on after a takeover.
type formerLeader struct {
	s     *Scheduler
	fence FencingToken
	until time.Time
}

// isolationTime is how long a leader goes on after a takeover: isolationTimeout of internal/coordinator with a clock 2 % slow.
const isolationTime = 1940 * time.Millisecond

// leaderOverlap returns LeaderOverlap of the next leader.
func (w *faultSimulation) leaderOverlap() time.Duration {
	z := &w.isolation
	switch {
	case z.random == nil:
		return w.lateInventories.leaderOverlap()
	case z.stopped && z.led >= 2*time.Second:
		return 0
	}
	return 2 * time.Second
}

// cutsLeader reports whether the present leader is cut off from the store.
func (z *isolation) cutsLeader(w *faultSimulation) bool {
	return w.now.Before(z.until) && w.epoch <= z.fence
}

// reaches reports whether the commands of a leader reach a server.
func (z *isolation) reaches(w *faultSimulation, fence FencingToken, id ServerID) bool {
	return !w.now.Before(z.until) || z.cutOff[id] == (fence <= z.fence)
}

// as calls f for a former leader that goes on.
func (z *isolation) as(w *faultSimulation, s *Scheduler, f func()) {
	for _, l := range z.formers {
		if l.s == s && w.now.Before(l.until) {
			present, epoch := w.s, w.epoch
			w.s, w.epoch = l.s, l.fence
			f()
			w.s, w.epoch = present, epoch
		}
	}
}

// addJob adds a job. While a former leader goes on, it may be reported to that one, and the present one finds it later.
func (z *isolation) addJob(w *faultSimulation, job *Job) {
	late := false
	for _, l := range z.formers {
		if w.now.Before(l.until) && z.random.IntN(2) == 0 {
			z.as(w, l.s, func() { w.s.AddJob(w.leaderNow(), job, Progress{}, false) })
			late = true
		}
	}
	if late {
		w.after(time.Duration(z.random.IntN(3000))*time.Millisecond, func() { w.s.AddJob(w.leaderNow(), job, w.recorded[job.ID], true) })
		return
	}
	w.s.AddJob(w.leaderNow(), job, Progress{}, false)
}

// step lets former leaders go on, and begins cuts and takeovers.
func (z *isolation) step(w *faultSimulation) {
	if z.random == nil {
		return
	}
	for _, l := range z.formers {
		z.as(w, l.s, func() {
			if w.now.Sub(epochStart)%(100*time.Millisecond) == 0 {
				w.s.Tick(w.leaderNow())
			}
			w.s.Schedule(w.leaderNow())
			w.sendCommands()
		})
	}
	cut := w.now.Before(z.until)
	switch {
	case cut && w.epoch <= z.fence:
		if !w.now.Before(z.due) {
			z.formers = append(z.formers, formerLeader{w.s, w.epoch, w.now.Add(time.Duration(z.random.Int64N(int64(isolationTime))))})
			z.takeOver(w, false)
		}
	case z.random.IntN(600) == 0 || cut && z.random.IntN(200) == 0 && w.now.Sub(w.tookOverAt) < time.Second:
		z.takeOver(w, true)
	case !cut && z.random.IntN(300) == 0:
		z.cutOff, z.fence = map[ServerID]bool{}, w.epoch
		for i := range len(w.servers) {
			if z.random.IntN(2) == 0 {
				z.cutOff[ServerID(fmt.Sprintf("s%d", i))] = true
			}
		}
		z.due = w.now.Add(time.Duration(800+z.random.IntN(1000)) * time.Millisecond)
		z.until = z.due.Add(time.Duration(1000+z.random.IntN(10000)) * time.Millisecond)
	}
}

func (z *isolation) takeOver(w *faultSimulation, stopped bool) {
	z.stopped, z.led = stopped, w.now.Sub(w.tookOverAt)
	w.takeOver()
}

func newIsolationSimulation(t *testing.T, seed uint64) *faultSimulation {
	w := newFaultSimulation(t, seed)
	w.isolation.random = rand.New(rand.NewPCG(seed, 4))
	for i := range len(w.servers) {
		w.servers[ServerID(fmt.Sprintf("s%d", i))].slow = clockDrift * float64(w.isolation.random.IntN(3)) / 2
	}
	return w
}

// Guards against tasks that run twice, and the other violations that TestRandomFaults checks, when leaders are cut off from the store
// together with servers and go on after a takeover, also several times in a row.
func TestRandomIsolatedLeaders(t *testing.T) {
	t.Parallel()
	const seeds = 40
	for seed := range uint64(seeds) {
		w := newIsolationSimulation(t, seed)
		for w.now.Sub(epochStart) < 40*time.Second && !t.Failed() {
			w.step()
		}
		if t.Failed() {
			return
		}
	}
}
