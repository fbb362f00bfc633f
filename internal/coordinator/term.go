package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// runsPerEpoch and epochsPerTerm give the range of run numbers that a term may use for a task, some four million: each term starts
	// above the range of the former one, which is runsPerEpoch times its epoch. JSON carries the numbers of two billion terms
	// exactly. Daemons before epochsPerTerm took one epoch a term.
	runsPerEpoch  = 1000
	epochsPerTerm = 4096
	// minPassPause is the shortest pause between two scheduling passes; events in the meantime share the next pass.
	minPassPause = 4 * time.Millisecond
	// passPauseFactor times the duration of a pass is the pause after it, so that passes over a long queue leave processor
	// time to handle the responses of servers and advisors.
	passPauseFactor = 4
	// maxPassPause bounds the pause, which delays the start of tasks.
	maxPassPause = 40 * time.Millisecond
	// maxCongestedPassPause is the bound while the leader can't handle replies in time: long passes would take the processor from the
	// replies that free capacity for them. The factor stays the same, as the scheduler then limits the unanswered starts as well, and
	// each pass sends at most what this limit admits. With few passes a second the two limits together kept a leader overloaded.
	maxCongestedPassPause = 120 * time.Millisecond
	// tickInterval is the interval at which leases and slow tasks are checked.
	tickInterval = 100 * time.Millisecond
	// minHandoverGain is by how much the election delay of a peer must be shorter for a leader to hand over to it.
	minHandoverGain = 120 * time.Millisecond
	// minHandoverAge is the age from which a term may be handed over, so that short absences of fast hosts do not cause
	// repeated changes of the leader.
	minHandoverAge = 2 * time.Second
)

// errHandover reports that this daemon hands the leadership over to a faster host.
var errHandover = errors.New("handed over to a faster host")

// errRunNumbers reports that a task has used up the run numbers of the term.
var errRunNumbers = errors.New("run numbers of the term are used up")

// errDeposed reports that another daemon has taken over.
var errDeposed = errors.New("another daemon took over")

// term runs the scheduler during one period of leadership, which an epoch identifies.
type term struct {
	coordinator *Coordinator
	config      Config
	leader      LeaderRecord
	revision    platform.Revision // of the leader record; a precondition of every write of the term
	fence       sched.FencingToken

	mu        sync.Mutex
	scheduler *sched.Scheduler
	loaded    bool
	passTime  time.Duration // taken by scheduling passes since the load was logged
	// storeConfirmedAt is the latest time at which the store has shown that no other daemon led.
	storeConfirmedAt time.Time
	pastUse          pastUseRecord
	queries          *rate.Limiter // of placements, see maxQueriesPerSecond

	ctx        context.Context
	serverCtx  context.Context // for calls to servers, see serverContext
	cancel     context.CancelCauseFunc
	goroutines *goroutines // for calls to servers and advisors

	wake  chan struct{}
	flush chan struct{}
	done  chan struct{}
	// rosterWake is signalled when a server awaits the roster.
	rosterWake chan struct{}
	// unknownJobs is signalled when the scheduler has unknown jobs.
	unknownJobs chan struct{}
	// confirmed is the latest known time at which certainly no other daemon led; see awaitConfirmation.
	confirmed atomic.Pointer[time.Time]
	// presenceRevision is the revision of this daemon's presence record since which the leader record has been unchanged. Only
	// monitorLeadership uses it and suspended, so they need no lock.
	presenceRevision platform.Revision
	suspended        bool // no commands are sent, see awaitConfirmation

	proxies           *serverProxies
	proxySerial       atomic.Uint64 // numbers the commands that proxies carry out
	advisorProxies    advisorProxies
	progressRevisions progressRevisions
	silences          silences
	evacuations       evacuations
	// registered holds the server registrations. Only load and then watchServers use it, so it needs no lock.
	registered map[sched.ServerID]sched.Server
	// unreadable holds the reason by the key of each unreadable registration. It is used like registered.
	unreadable map[string]string
	// rosterRevisions holds the revisions of the roster's keys. Only load and then recordRoster use it, so it needs no lock.
	rosterRevisions map[string]platform.Revision
}

// formerLeaders is what a new leader knows of those before it.
type formerLeaders int

const (
	formerUnaware formerLeaders = iota // they may go on and not know this daemon
	formerAware                        // they may go on, and ask this daemon whether it leads
	formerStopped                      // only the commands that they had handed over to proxies count
)

func (f formerLeaders) String() string { return [...]string{"unaware", "aware", "stopped"}[f] }

// newTerm returns a term whose leader record was sent to the store at a time.
func newTerm(c *Coordinator, l LeaderRecord, revision platform.Revision, sentAt time.Time, former formerLeaders) *term {
	options := c.config.Scheduling
	options.RunBase, options.RunRange = sched.RunNumber(l.Epoch-1)*runsPerEpoch, epochsPerTerm*runsPerEpoch
	options.MaxSendDelay = maxProxyLag // a former leader may have used proxies even if this one needs none
	options.FormerUnaware = former == formerUnaware
	if former == formerStopped {
		options.LeaderOverlap = 0
	}
	t := &term{
		coordinator: c, config: c.config, leader: l, revision: revision, fence: sched.FencingToken(l.Epoch),
		wake: make(chan struct{}, 1), flush: make(chan struct{}, 1), done: make(chan struct{}), unknownJobs: make(chan struct{}, 1),
		rosterWake:     make(chan struct{}, 1),
		advisorProxies: newAdvisorProxies(), progressRevisions: progressRevisions{byJob: map[ident.JobID]platform.Revision{}},
		proxies: newServerProxies(), goroutines: newGoroutines(), silences: silences{byServer: map[sched.ServerID]silence{}},
		registered: map[sched.ServerID]sched.Server{}, unreadable: map[string]string{}, rosterRevisions: map[string]platform.Revision{},
	}
	t.confirmed.Store(&sentAt)
	t.storeConfirmedAt = sentAt
	options.LedUntil = func() time.Time { return *t.confirmed.Load() }
	if c.presence != nil {
		c.presence.noteAnswer() // to the takeover
		options.StoreAnsweredAt, options.StoreInterval = c.presence.answeredAt, c.config.PresenceTTL/leaderRenewalsPerTTL
	}
	t.scheduler = sched.New(options, c.now())
	t.queries = rate.NewLimiter(maxQueriesPerSecond, maxQueriesPerSecond)
	return t
}

// errShutdown reports that this daemon leaves the cell.
var errShutdown = errors.New("shutdown")

// releaseTimeout bounds the store call that marks the leader record as vacant.
const releaseTimeout = 500 * time.Millisecond

// stop ends the term because this daemon leaves the cell.
func (t *term) stop() {
	t.mu.Lock()
	cancel := t.cancel
	t.mu.Unlock()
	if cancel != nil {
		cancel(errShutdown)
	}
}

// run loads the state, schedules until the term ends, and returns the reason for its end.
func (t *term) run(ctx context.Context) string {
	defer close(t.done)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t.mu.Lock()
	t.ctx, t.cancel = ctx, cancel
	t.serverCtx = WithSendCheck(ctx, t.mayCommand)
	t.mu.Unlock()
	if t.config.OnLeading != nil {
		t.config.OnLeading(true)
		defer t.config.OnLeading(false)
	}
	started := t.coordinator.now()
	loaded, err := t.load(ctx)
	if err != nil {
		return err.Error()
	}
	t.config.Log.Info("loaded", "epoch", uint64(t.leader.Epoch), "jobs", loaded.jobCount, "servers", loaded.serverCount,
		"took", t.coordinator.now().Sub(started).String())
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.schedule(ctx) })
	g.Go(func() error { return t.tick(ctx) })
	g.Go(func() error { return t.recordProgress(ctx) })
	g.Go(func() error { return t.recordRoster(ctx) })
	g.Go(func() error { return t.recordSettled(ctx) })
	g.Go(func() error { return t.recordPastUse(ctx) })
	g.Go(func() error { return t.watchServers(ctx, loaded.serversRevision) })
	g.Go(func() error { return t.watchJobs(ctx, loaded.jobsRevision) })
	g.Go(func() error { return t.loadUnknownJobs(ctx) })
	if t.config.EvacuationPrefix != "" {
		w := &evacuationWatch{}
		w.answered(t.coordinator.now())
		g.Go(func() error { return t.watchEvacuations(ctx, w, loaded.evacuationsRevision) })
		g.Go(func() error { return t.readEvacuationsThroughPeers(ctx, w) })
	}
	g.Go(func() error { return t.monitorLeadership(ctx) })
	g.Go(func() error { return t.confirmByPeers(ctx) })
	g.Go(func() error { return t.logLoad(ctx) })
	err = g.Wait()
	cancel(err)
	if cause := context.Cause(t.ctx); errors.Is(cause, errHandover) || errors.Is(cause, errShutdown) ||
		errors.Is(cause, errRunNumbers) {
		releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancelRelease()
		t.releaseLeadership(releaseCtx)
	}
	return context.Cause(t.ctx).Error()
}

// update calls a function with the scheduler and dispatches the resulting commands. It wakes the scheduling pass and, if a
// job has ended, the writer of progress.
func (t *term) update(f func(now time.Time, s *sched.Scheduler)) {
	t.mu.Lock()
	f(t.coordinator.now(), t.scheduler)
	commands := t.scheduler.TakeCommands()
	deposed, usedUp := t.scheduler.Deposed(), t.scheduler.RunNumbersUsedUp()
	decisions, dropped := t.scheduler.TakeDecisions()
	serverDecisions, droppedOnServers := t.scheduler.TakeServerDecisions()
	moves, droppedMoves := t.scheduler.TakeMoveDecisions()
	preemptions, droppedPreemptions := t.scheduler.TakePreemptions()
	longRuns := t.scheduler.TakeLongRuns()
	some, terminal := t.scheduler.HasProgressUpdates()
	unknown := t.scheduler.HasUnknownJobs()
	urgentRoster := t.scheduler.HasUrgentRosterChanges()
	t.mu.Unlock()
	t.logDecisions(decisions, dropped)
	t.logServerDecisions(serverDecisions, droppedOnServers)
	t.logMoves(moves, droppedMoves)
	t.logPreemptions(preemptions, droppedPreemptions)
	t.logLongRuns(longRuns)
	if deposed {
		t.cancel(errDeposed)
		return
	}
	if usedUp {
		t.cancel(errRunNumbers)
		return
	}
	t.dispatch(commands)
	notify(t.wake)
	if some && terminal {
		notify(t.flush)
	}
	if unknown {
		notify(t.unknownJobs)
	}
	if urgentRoster {
		notify(t.rosterWake)
	}
}

// notify sends a signal unless one is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// schedule runs scheduling passes after changes, at most one for each pause.
func (t *term) schedule(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.wake:
		}
		if !t.awaitConfirmation(ctx) { // starts would wait, and their jobs may be cancelled meanwhile
			return ctx.Err()
		}
		t.mu.Lock()
		started := t.coordinator.now()
		t.scheduler.Schedule(started)
		commands := t.scheduler.TakeCommands()
		congested := t.scheduler.Congested()
		took := t.coordinator.now().Sub(started)
		t.passTime += took
		t.mu.Unlock()
		t.dispatch(commands)
		t.requestAdvice()
		sleep(ctx, passPause(took, congested))
	}
}

// passPause returns the pause after a scheduling pass of a duration.
func passPause(took time.Duration, congested bool) time.Duration {
	longest := maxPassPause
	if congested {
		longest = maxCongestedPassPause
	}
	return min(max(minPassPause, passPauseFactor*took), longest)
}

// tick advances the timers of the scheduler.
func (t *term) tick(ctx context.Context) error {
	var chosenAt time.Time
	for {
		sleep(ctx, tickInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if now := t.coordinator.now(); now.Sub(chosenAt) >= proxyRefreshInterval {
			chosenAt = now
			t.chooseProxies()
		}
		t.update(func(now time.Time, s *sched.Scheduler) { s.Tick(now) })
	}
}

// fencedTransaction returns a transaction that conflicts once another daemon has written the leader record.
func (t *term) fencedTransaction() platform.Transaction {
	return platform.Transaction{Preconditions: []platform.Precondition{{Key: leaderKey, Revision: t.revision}}}
}

// recordSettled records that all former leaders have stopped sending commands, once this one has led for that long. If this one ends
// before, the next leader counts on all of them. The first leader has none before it.
func (t *term) recordSettled(ctx context.Context) error {
	if t.leader.Epoch <= 1 {
		return nil
	}
	value, err := json.Marshal(settledRecord{t.leader.Epoch})
	if err != nil {
		return fmt.Errorf("encode the record of a settled leader: %w", err)
	}
	tx := t.fencedTransaction()
	tx.Writes = []platform.Write{{Key: settledKey, Value: value}}
	for sleep(ctx, t.config.Scheduling.LeaderOverlap); ctx.Err() == nil; sleep(ctx, writeRetryDelay) {
		if t.formerLeadersMayGoOn() {
			continue
		}
		_, err := t.commit(ctx, tx)
		if err == nil {
			t.config.Log.Info("former leaders have stopped", "epoch", uint64(t.leader.Epoch))
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return errDeposed
		}
		t.config.Log.V(1).Info("settled leader not recorded", "error", err.Error())
	}
	return ctx.Err()
}

// formerLeadersMayGoOn reports whether former leaders may still send commands.
func (t *term) formerLeadersMayGoOn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.FormerLeadersMayGoOn(t.coordinator.now())
}

// releaseLeadership marks the leader record as vacant, so that another daemon takes over without waiting for this daemon's
// presence lease to expire.
func (t *term) releaseLeadership(ctx context.Context) {
	l := t.leader
	l.Vacant = true
	value, err := json.Marshal(l)
	if err != nil {
		t.config.Log.Error(err, "encode the leader record")
		return
	}
	tx := t.fencedTransaction()
	tx.Writes = []platform.Write{{Key: leaderKey, Value: value}}
	_, err = t.config.Store.Transact(ctx, tx)
	if err != nil {
		t.config.Log.Info("leadership not released; it ends with the presence lease", "error", err.Error())
	}
}

// fasterPeer returns a present daemon whose election delay is shorter by more than minHandoverGain.
func (t *term) fasterPeer(v *cellState) (ident.MemberID, bool) {
	for m, a := range v.members {
		if a.ElectionDelay+minHandoverGain < t.config.ElectionDelay {
			return m, true
		}
	}
	return "", false
}
