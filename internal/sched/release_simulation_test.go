package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	releaseServers  = 24
	releaseTime     = 25 * time.Second
	releaseInterval = 500 * time.Millisecond // a server is replaced in each
	releaseNotice   = 2 * time.Second        // from the registration as draining to the earliest shutdown
)

// release is a rolling release of all servers, while at times the leader can't reach some of them, their answers are late or the store
// is down. It has no takeover.
type release struct {
	*serverLosses
	roomSince map[TaskID]time.Time // since when a server that the leader reaches may run the task
	longest   time.Duration        // that a task had no run
}

func newRelease(t *testing.T, seed uint64) *release {
	r := &release{serverLosses: newScriptedLosses(t, releaseServers), roomSince: map[TaskID]time.Time{}}
	r.seed, r.random = seed, rand.New(rand.NewPCG(seed, 3))
	for i := range 8 {
		r.addLongRunningJob([]ident.QueueID{"quotes", advisedQueueID}[i%2])
		r.advance(r.upTo(300 * time.Millisecond))
	}
	r.advance(2 * time.Second)
	return r
}

// replaceOldest launches a server and shuts the oldest one down once it has drained.
func (r *release) replaceOldest() {
	r.launchLate()
	for _, v := range r.live("pool") {
		if v.info.Draining {
			continue
		}
		v.info.Draining, v.info.Remaining = true, releaseNotice
		known := r.registerLate(v)
		r.after(known+releaseNotice+r.upTo(2*time.Second), func() {
			r.end(v)
			r.after(r.storeDelay()+r.upTo(time.Second), func() { r.unregister(v.info.ID) })
		})
		return
	}
}

// storeDelay is how late the leader learns of a change in the store, or of one that waits for the store.
func (r *release) storeDelay() time.Duration { return max(r.script.storeDownUntil.Sub(r.now), 0) }

func (r *release) registerLate(v *faultyServer) time.Duration {
	delay := r.storeDelay()
	r.after(delay, func() {
		if r.alive(v) {
			r.register(v)
		}
	})
	return delay
}

func (r *release) launchLate() {
	if r.storeDelay() == 0 {
		r.launch("pool", r.newAddress())
		return
	}
	r.after(r.storeDelay(), func() { r.launch("pool", r.newAddress()) })
}

// impair makes some servers silent, some commands late or the store unavailable for a time.
func (r *release) impair() {
	d := 300*time.Millisecond + r.upTo(4*time.Second)
	live := r.live("pool")
	rack := live[r.random.IntN(len(live))].info.Rack
	switch r.random.IntN(6) {
	case 0, 1: // a rack
		for _, v := range live {
			if v.info.Rack == rack {
				v.silentUntil = latest(v.silentUntil, r.now.Add(d))
			}
		}
	case 2, 3: // a third of all servers
		for _, v := range live {
			if r.random.IntN(3) == 0 {
				v.silentUntil = latest(v.silentUntil, r.now.Add(d))
			}
		}
	case 4:
		for _, v := range live {
			if r.random.IntN(6) == 0 {
				r.script.lateBy[v.info.ID] = 500*time.Millisecond + r.upTo(4500*time.Millisecond)
				r.after(d, func() { delete(r.script.lateBy, v.info.ID) })
			}
		}
	case 5:
		r.script.storeDownUntil = latest(r.script.storeDownUntil, r.now.Add(d))
	}
}

// reachable reports whether a server that the leader reaches and that stays may run a task.
func (r *release) reachable(task TaskID) bool {
	queue := r.queues[r.specs[task.Job].Queue.ID]
	for _, v := range r.live("pool") {
		if !v.info.Draining && !r.now.Before(v.silentUntil) && r.script.lateBy[v.info.ID] == 0 &&
			(queue.Advisor == nil || r.allows(task.Job, task.Step, v.info.ID)) {
			return true
		}
	}
	return false
}

// checkLongRunning checks that each long-running task has another run in time, if a server could run it all the while.
func (r *release) checkLongRunning() {
	for i := range len(r.specs) {
		task := TaskID{Job: ident.JobID(fmt.Sprintf("j%03d", i))}
		if r.serverOf(task) != nil || !r.reachable(task) || r.roomSince[task].IsZero() {
			r.roomSince[task] = r.now
		}
		away := r.now.Sub(r.roomSince[task])
		r.longest = max(r.longest, away)
		if away > longRunningBound {
			r.Errorf("seed %d, after %v: %v has had no run for %v", r.seed, r.now.Sub(epochStart), task, away)
		}
	}
}

// Guards against a long-running task without a run for over 9 s during a rolling release, while the leader can't reach some of the
// servers, their answers are late or the store is down, and against tasks that run twice then.
func TestRollingReleaseKeepsLongRunningTasks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		newRelease(t, seed).run()
		if t.Failed() {
			return
		}
	}
}

// Guards against the same in seeds that failed. 5213, 5248: a lapsed task was started on servers that had just fallen silent, one after the
// other. 6008: the lease of a draining server that answered no stops was renewed. 5352: see KNOWN-RED.txt.
func TestRollingReleaseSeeds(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{5213, 5248, 5352, 6008} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newRelease(t, seed).run() })
	}
}

func (r *release) run() {
	for until := r.now.Add(releaseTime); r.now.Before(until) && !r.Failed(); {
		if r.now.Sub(epochStart)%releaseInterval == 0 {
			r.replaceOldest()
		}
		if r.random.IntN(100) == 0 {
			r.impair()
		}
		r.faultSimulation.step()
		r.checkLongRunning()
	}
}
