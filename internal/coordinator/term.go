package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// runsPerTerm is the number of runs of a task in a term; later terms use higher numbers.
	runsPerTerm = 1000
	// passPause is the shortest time between two passes of the scheduler; events meanwhile share the next pass.
	passPause = 4 * time.Millisecond
	// passRest times the length of a pass follows without one, so that passes over a long queue leave the processor to the
	// answers of servers and advisors.
	passRest = 4
	// maxPassPause bounds the pause; it delays the start of tasks.
	maxPassPause = 40 * time.Millisecond
	// tickInterval is the interval at which leases and slow tasks are checked.
	tickInterval = 100 * time.Millisecond
	// confirmInterval is the longest silence of the store and of all peers after which a leader stops.
	confirmInterval = 2 * time.Second
	// handoverGain is the difference of handicaps from which a leader hands over to a faster host.
	handoverGain = 120 * time.Millisecond
	// handoverAfter is the age of a term from which it may be handed over, so that short absences of fast hosts do not make
	// the leadership wander.
	handoverAfter = 2 * time.Second
)

// errVacant reports that this daemon leaves the place to a faster one.
var errVacant = errors.New("a faster host is present")

// errDeposed reports that another daemon has taken over.
var errDeposed = errors.New("another daemon leads")

// term is the time during which this daemon schedules.
type term struct {
	owner    *Coordinator
	config   Config
	leader   Leader
	revision platform.Revision // of the leader record, which every write of the term expects
	fence    sched.FencingToken

	mu     sync.Mutex
	core   *sched.Scheduler
	loaded bool

	ctx    context.Context
	cancel context.CancelCauseFunc
	wake   chan struct{}
	flush  chan struct{}
	done   chan struct{}

	lines     lines
	revisions revisions
	// registered holds the registrations in the store; the watch of them alone uses it.
	registered map[sched.ServerID]sched.Server
	// rosterAt holds the revisions of the roster's keys; the load and then the writer of the roster use it.
	rosterAt map[string]platform.Revision
}

// newTerm returns a term. FormerEnded tells that the former leader certainly sends no orders any more.
func newTerm(o *Coordinator, l Leader, revision platform.Revision, formerEnded bool) *term {
	options := o.config.Scheduling
	options.RunBase = sched.RunNumber(l.Epoch-1) * runsPerTerm
	if formerEnded {
		options.LeaderOverlap = 0
	}
	return &term{
		owner: o, config: o.config, leader: l, revision: revision, fence: sched.FencingToken(l.Epoch), core: sched.New(options, o.now()),
		wake: make(chan struct{}, 1), flush: make(chan struct{}, 1), done: make(chan struct{}),
		lines: newLines(), revisions: revisions{at: map[ident.JobID]platform.Revision{}}, registered: map[sched.ServerID]sched.Server{}, rosterAt: map[string]platform.Revision{},
	}
}

// errShutdown reports that this daemon leaves the cell.
var errShutdown = errors.New("shutdown")

// vacateTimeout bounds the call by which a leader that stops leaves its place.
const vacateTimeout = 500 * time.Millisecond

// stop ends the term because this daemon leaves the cell.
func (t *term) stop() {
	t.mu.Lock()
	cancel := t.cancel
	t.mu.Unlock()
	if cancel != nil {
		cancel(errShutdown)
	}
}

// run loads the state and schedules until the term ends, and returns why it ended.
func (t *term) run(ctx context.Context) string {
	defer close(t.done)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.mu.Lock()
	t.ctx, t.cancel = ctx, cancel
	t.mu.Unlock()
	started := t.owner.now()
	at, err := t.load(ctx)
	if err != nil {
		return err.Error()
	}
	t.config.Log.Info("loaded", "epoch", uint64(t.leader.Epoch), "jobs", at.jobCount, "servers", at.serverCount,
		"took", t.owner.now().Sub(started).String())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.schedule(ctx) })
	g.Go(func() error { return t.tick(ctx) })
	g.Go(func() error { return t.record(ctx) })
	g.Go(func() error { return t.keepRoster(ctx) })
	g.Go(func() error { return t.watchServers(ctx, at.servers) })
	g.Go(func() error { return t.watchJobs(ctx, at.jobs) })
	g.Go(func() error { return t.guard(ctx) })
	g.Go(func() error { return t.logLoad(ctx) })
	err = g.Wait()
	cancel(err)
	if cause := context.Cause(t.ctx); errors.Is(cause, errVacant) || errors.Is(cause, errShutdown) {
		leaving, done := context.WithTimeout(context.WithoutCancel(ctx), vacateTimeout)
		defer done()
		t.vacate(leaving)
	}
	return context.Cause(t.ctx).Error()
}

// do runs a function on the scheduler and carries out the orders that follow.
func (t *term) do(f func(now time.Time, s *sched.Scheduler)) {
	t.mu.Lock()
	f(t.owner.now(), t.core)
	orders := t.core.TakeCommands()
	deposed := t.core.Deposed()
	some, terminal := t.core.HasProgressUpdates()
	t.mu.Unlock()
	if deposed {
		t.cancel(errDeposed)
		return
	}
	t.carryOut(orders)
	signal(t.wake)
	if some && terminal {
		signal(t.flush)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// schedule starts what fits after each change.
func (t *term) schedule(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wake:
		}
		t.mu.Lock()
		began := t.owner.now()
		t.core.Schedule(began)
		orders := t.core.TakeCommands()
		took := t.owner.now().Sub(began)
		t.mu.Unlock()
		t.carryOut(orders)
		t.seekAdvice()
		pause(ctx, min(max(passPause, passRest*took), maxPassPause))
	}
}

func (t *term) tick(ctx context.Context) error {
	for {
		pause(ctx, tickInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t.do(func(now time.Time, s *sched.Scheduler) { s.Tick(now) })
	}
}

// transaction returns a transaction that fails once another daemon leads.
func (t *term) transaction() platform.Transaction {
	return platform.Transaction{Expect: []platform.Expectation{{Key: leaderKey, Revision: t.revision}}}
}

// vacate marks the leader record, so that others take over without waiting for this daemon's presence to lapse.
func (t *term) vacate(ctx context.Context) {
	l := t.leader
	l.Vacant = true
	value, err := json.Marshal(l)
	if err != nil {
		t.config.Log.Error(err, "encode the leader record")
		return
	}
	tx := t.transaction()
	tx.Writes = []platform.Write{{Key: leaderKey, Value: value}}
	_, err = t.config.Store.Transact(ctx, tx)
	if err != nil {
		t.config.Log.Info("leadership not handed over; it lapses", "error", err.Error())
	}
}

// betterPeer returns a daemon that is present and has a much smaller handicap.
func (t *term) betterPeer(v *state) (ident.MemberID, bool) {
	for m, a := range v.alive {
		if a.Handicap+handoverGain < t.config.Handicap {
			return m, true
		}
	}
	return "", false
}

// guard ends the term when another daemon leads, or when neither the store nor a peer confirms this one.
func (t *term) guard(ctx context.Context) error {
	confirmed := t.owner.now()
	started := confirmed
	for {
		pause(ctx, confirmInterval/4)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		v := t.owner.view.get()
		if v.leader.Epoch > t.leader.Epoch {
			return errDeposed
		}
		if m, ok := t.betterPeer(&v); ok && t.owner.now().Sub(started) > handoverAfter {
			t.config.Log.Info("handing over to a faster host", "peer", string(m))
			return errVacant
		}
		if reached := t.owner.StoreReached(); reached.After(confirmed) {
			confirmed = reached
		}
		if t.owner.now().Sub(confirmed) < confirmInterval/2 {
			continue
		}
		epoch, answered := t.owner.askEpoch(ctx)
		if epoch > t.leader.Epoch {
			return errDeposed
		}
		if answered {
			confirmed = t.owner.now()
		}
		if t.owner.now().Sub(confirmed) > confirmInterval {
			return errors.New("neither the store nor a peer answers")
		}
	}
}
