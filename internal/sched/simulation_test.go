package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/resource"
)

// faultSimulation runs a scheduler against servers that lose, delay and repeat calls, restart and become unresponsive, and
// replaces the leader. It checks the invariants that servers can observe.
type faultSimulation struct {
	*testing.T
	random          *rand.Rand
	now             time.Time
	s               *Scheduler
	epoch           FencingToken
	tookOverAt      time.Time // takeover by the current leader
	servers         map[ServerID]*faultyServer
	specs           map[ident.JobID]*Job
	recorded        map[ident.JobID]Progress
	done            map[TaskID]bool       // tasks with a successful run whose report isn't lost
	successes       map[TaskID][]*success // successful runs, without those that a restart lost
	lateEndGrace    map[TaskID]time.Time  // until then, a start may be sent after an end that is reported late
	everDone        map[TaskID]bool       // tasks with a run that ever succeeded
	failed          map[TaskID]map[RunNumber]bool
	roster          map[ServerID]RosterEntry // in the store
	events          []delayedCall
	seed            uint64
	starts          int
	freeze          leaderFreeze
	cancelled       []ident.JobID
	losses          *serverLosses // nil if servers keep their ids and addresses
	lateInventories lateInventories
	isolation       isolation
	contention      *PreemptionOptions // set if urgent jobs preempt batches
}

// delayedCall is a call or a reply that arrives later.
type delayedCall struct {
	at time.Time
	do func()
}

const (
	teamLimitCores = 24
	maxOneWayDelay = 10 * time.Millisecond // longest one-way delay of a call that isn't late
)

func newFaultSimulation(t *testing.T, seed uint64) *faultSimulation {
	w := emptyFaultSimulation(t, seed)
	for i := range 4 {
		w.addServer(testServer(ServerID(fmt.Sprintf("s%d", i)), 8)).started = epochStart.Add(-time.Hour)
	}
	w.takeOver()
	return w
}

// emptyFaultSimulation returns a simulation without servers and without a leader.
func emptyFaultSimulation(t *testing.T, seed uint64) *faultSimulation {
	return &faultSimulation{
		T: t, random: rand.New(rand.NewPCG(seed, 1)), now: epochStart, servers: map[ServerID]*faultyServer{}, seed: seed,
		specs: map[ident.JobID]*Job{}, recorded: map[ident.JobID]Progress{}, done: map[TaskID]bool{},
		successes: map[TaskID][]*success{}, everDone: map[TaskID]bool{}, lateEndGrace: map[TaskID]time.Time{},
		failed: map[TaskID]map[RunNumber]bool{}, roster: map[ServerID]RosterEntry{},
	}
}

func (w *faultSimulation) addServer(info Server) *faultyServer {
	v := &faultyServer{info: info, started: w.now, runs: map[runKey]faultyServerRun{}, endedRuns: map[TaskID]RunNumber{}}
	w.servers[info.ID] = v
	return v
}

// takeOver replaces the leader by one that knows only what is recorded.
func (w *faultSimulation) takeOver() {
	w.epoch++
	w.tookOverAt = w.now
	w.freeze.end()
	w.s = New(Options{
		RunBase: RunNumber(w.epoch-1) * 1000, RunLease: 4 * time.Second, MaxFormerLease: 4 * time.Second, MaxRunLease: maxRunLease,
		LeaderOverlap: w.leaderOverlap(), PollWait: 400 * time.Millisecond, MaxStopTime: 50 * time.Millisecond, Retention: time.Hour,
		Preemption: w.contention,
	}, w.leaderNow())
	w.s.Configure(w.leaderNow(), w.config())
	for i := range len(w.specs) {
		id := ident.JobID(fmt.Sprintf("j%03d", i))
		w.s.AddJob(w.leaderNow(), w.specs[id], w.recorded[id], true)
	}
	for _, id := range w.cancelled {
		w.s.Cancel(w.leaderNow(), id)
	}
	for i := range len(w.servers) {
		if e, ok := w.roster[ServerID(fmt.Sprintf("s%d", i))]; ok {
			w.s.RestoreServer(w.leaderNow(), e)
		}
	}
	if w.losses != nil {
		w.losses.takeOver()
		return
	}
	for i := range len(w.servers) {
		v := w.servers[ServerID(fmt.Sprintf("s%d", i))]
		if _, rostered := w.roster[v.info.ID]; rostered && w.random.IntN(5) == 0 {
			// Its registration expired and is renewed later.
			w.after(time.Duration(w.random.IntN(4000))*time.Millisecond, w.toSender(w.s, func() { w.s.Register(w.leaderNow(), v.info) }))
			continue
		}
		w.s.Register(w.leaderNow(), v.info)
	}
}

// config returns the configuration without server losses.
func (w *faultSimulation) config() Config {
	if w.losses != nil {
		return Config{Queues: w.losses.queues, Teams: map[ident.TeamID]Team{"blue": {ID: "blue"}}}
	}
	return Config{
		Queues: map[ident.QueueID]Queue{"quotes": testQueue(), "batch": batchOfContention()},
		Teams:  map[ident.TeamID]Team{"blue": {ID: "blue", Limit: resource.Vector{CPU: resource.Cores(teamLimitCores)}}},
	}
}

// recordRoster records changes of the roster. The write may be lost, or take effect without a reply.
func (w *faultSimulation) recordRoster() {
	changes := w.s.TakeRosterChanges(10)
	chance := w.random.IntN(10)
	if len(changes) == 0 || chance == 0 {
		return
	}
	for _, c := range changes {
		if c.Removed {
			delete(w.roster, c.Entry.Server.ID)
		} else {
			w.roster[c.Entry.Server.ID] = c.Entry
		}
	}
	if chance > 1 {
		w.s.RosterWritten(w.leaderNow(), changes)
	}
}

func (w *faultSimulation) after(d time.Duration, do func()) {
	w.events = append(w.events, delayedCall{w.now.Add(d), do})
}

// deliver delivers a command. At random, the command is lost or late, or its reply is lost or, if lateAnswers is set, late. Replies reach only the leader that sent the
// command.
func (w *faultSimulation) deliver(effect func() (answer func()), lost func(), lateAnswers bool) {
	s := w.s
	delay := time.Duration(1+w.random.IntN(int(maxOneWayDelay/time.Millisecond))) * time.Millisecond
	timeout := 300 * time.Millisecond
	chance := w.random.IntN(100)
	if w.losses.calm() || w.contention != nil && w.random.IntN(20) > 0 { // with many faults hardly any server is usable and full
		chance = 50
	}
	switch {
	case lateAnswers && chance > 96: // carried out, but the reply is late
		w.after(delay, func() {
			if answer := effect(); answer != nil {
				w.after(timeout+time.Duration(w.random.IntN(3000))*time.Millisecond, w.toSender(s, answer))
			}
		})
		w.after(timeout, w.toSender(s, lost))
	case chance < 3: // never arrives
		w.after(timeout, w.toSender(s, lost))
	case chance < 6: // carried out late, without a reply
		w.after(timeout+time.Duration(w.random.IntN(3000))*time.Millisecond, func() { effect() })
		w.after(timeout, w.toSender(s, lost))
	case chance < 9: // carried out, but the reply is lost
		w.after(delay, func() { effect() })
		w.after(timeout, w.toSender(s, lost))
	default:
		w.after(delay, func() {
			if answer := effect(); answer != nil {
				w.after(delay, w.toSender(s, answer))
				return
			}
			w.after(timeout, w.toSender(s, lost))
		})
	}
}
