package sched

import (
	"math/rand/v2"
	"testing"
	"time"
)

// leaderFreeze stops the leader of a faultSimulation for a while. Replies wait unread until it goes on. The leader's own clock goes
// on, as after a signal, or stands still, as in a suspension.
type leaderFreeze struct {
	random     *rand.Rand // nil if the leader is never frozen
	until      time.Time
	stoodStill time.Duration // how far the leader's clock is behind
}

// sendTime is the time at which a command was sent, and the leader's clock then.
type sendTime struct{ at, leaderNow time.Time }

func (z *leaderFreeze) end() { z.until, z.stoodStill = time.Time{}, 0 }

func (z *leaderFreeze) frozen(w *faultSimulation) bool { return w.now.Before(z.until) }

// inject may freeze the leader and reports whether it is frozen.
func (z *leaderFreeze) inject(w *faultSimulation) bool {
	if z.random != nil && !z.frozen(w) && z.random.IntN(400) == 0 {
		d := time.Duration(z.random.IntN(3000)) * time.Millisecond
		z.until = w.now.Add(d)
		if z.random.IntN(2) == 0 {
			z.stoodStill += d
		}
	}
	return z.frozen(w)
}

// extendGrace ends the grace for starts of tasks whose end is reported late at the reading of the report.
func (w *faultSimulation) extendGrace(late []TaskID) {
	for _, t := range late {
		w.lateEndGrace[t] = w.now
	}
}

func (w *faultSimulation) leaderNow() time.Time { return w.now.Add(-w.freeze.stoodStill) }

// toLeader calls f for the present leader, once it isn't frozen.
func (w *faultSimulation) toLeader(f func()) { w.toSender(w.s, f)() }

// toSender returns a function that calls f once the leader isn't frozen, if s still leads. Replies that waited are read in any
// order.
func (w *faultSimulation) toSender(s *Scheduler, f func()) func() {
	var deliver func()
	deliver = func() {
		switch {
		case f == nil:
		case w.s != s:
			w.isolation.as(w, s, f)
		case w.freeze.frozen(w):
			w.after(w.freeze.until.Sub(w.now)+time.Duration(w.freeze.random.IntN(30))*time.Millisecond, deliver)
		default:
			f()
		}
	}
	return deliver
}

// Guards against tasks that run twice, and the other violations that TestRandomFaults checks, when the leader stands still and
// reads replies late.
func TestRandomFaultsAndFreezes(t *testing.T) {
	t.Parallel()
	const seeds = 30
	for seed := range uint64(seeds) {
		w := newFaultSimulation(t, seed)
		w.freeze.random = rand.New(rand.NewPCG(seed, 2))
		for w.now.Sub(epochStart) < 40*time.Second && !t.Failed() {
			w.step()
		}
		if t.Failed() {
			return
		}
	}
}
