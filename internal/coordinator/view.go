package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Keys in the store, and their prefixes and suffixes.
const (
	cellPrefix     = "cell/"
	leaderKey      = "cell/leader"
	settledKey     = "cell/settled"
	presencePrefix = "cell/alive/"
	rosterPrefix   = "roster/"
	jobPrefix      = "job/"
	cancelSuffix   = "/cancel"
	progressPrefix = "progress/"
)

const (
	viewWatchTimeout = 3 * time.Second // longest duration of a watch call; bounds the age of the view
	watchRetryDelay  = 150 * time.Millisecond
)

// LeaderRecord is the store record of the leader. Each takeover increments the epoch, which is the fencing token of commands.
type LeaderRecord struct {
	Member      ident.MemberID `json:"member"`
	Incarnation string         `json:"incarnation"`
	Address     string         `json:"address"`
	Epoch       ident.Epoch    `json:"epoch"`
	Vacant      bool           `json:"vacant,omitempty"` // the leader has stopped; any daemon may take over
}

// settledRecord is the store record of the latest leader that has led for sched.Options.LeaderOverlap, so that all leaders before it
// have stopped sending commands.
type settledRecord struct {
	Epoch ident.Epoch `json:"epoch"`
}

// PresenceRecord is the store record of a running daemon. It is bound to a lease and disappears when the lease expires.
type PresenceRecord struct {
	Member        ident.MemberID   `json:"member"`
	Incarnation   string           `json:"incarnation"`
	Address       string           `json:"address"`
	DataCentre    ident.DataCentre `json:"data-centre"`
	Region        ident.Region     `json:"region"`
	ElectionDelay time.Duration    `json:"handicap"` // longer on hosts with less processor time or a slower link
	revision      platform.Revision
}

// cellState is a snapshot of the cell's records.
type cellState struct {
	leader         LeaderRecord
	leaderRevision platform.Revision
	settledEpoch   ident.Epoch // see settledRecord
	members        map[ident.MemberID]PresenceRecord
	addresses      map[ident.MemberID]string    // of the members
	departed       map[ident.MemberID]departure // daemons that lost their presence record, for departureMemory
	confirmedAt    time.Time                    // when the latest successful store call was sent
	reachableSince time.Time                    // first response after the last failed call; zero after a failure
}

// leaderPresent reports whether the leader's incarnation is present and hasn't stopped. It also returns the revision of the
// presence record of the leader's member.
func (s *cellState) leaderPresent() (bool, platform.Revision) {
	a, ok := s.members[s.leader.Member]
	return ok && a.Incarnation == s.leader.Incarnation && !s.leader.Vacant, a.revision
}

// formerLeaders returns whether former leaders may go on once this daemon takes over. Known tells whether the latest one has seen its
// presence record.
func (s *cellState) formerLeaders(known bool) formerLeaders {
	switch {
	case s.leader.Epoch == 0:
		return formerAware // there is none
	case s.formerLeadersStopped():
		return formerStopped
	case known && (s.leader.Epoch <= 1 || s.settledEpoch == s.leader.Epoch):
		return formerAware
	}
	return formerUnaware
}

// formerLeadersStopped reports whether no former leader decides anything any more. Its proxies may still send for maxProxyLag what it handed
// over. The recorded one has certainly ended its term if it marked the record as vacant, or its host now runs another process. Otherwise it may be partitioned and continue for a while, as may
// those before it until it has settled.
func (s *cellState) formerLeadersStopped() bool {
	a, present := s.members[s.leader.Member]
	ended := s.leader.Vacant || present && a.Incarnation != s.leader.Incarnation
	return ended && (s.leader.Epoch <= 1 || s.settledEpoch == s.leader.Epoch)
}

// view keeps an up-to-date copy of the cell's records.
type view struct {
	store platform.TransactionalStore
	log   logr.Logger
	now   func() time.Time

	mu      sync.Mutex
	state   cellState
	changed chan struct{}
}

func newView(s platform.TransactionalStore, log logr.Logger) *view {
	return &view{
		store: s, log: log, now: time.Now, changed: make(chan struct{}, 1),
		state: cellState{members: map[ident.MemberID]PresenceRecord{}},
	}
}

// get returns a snapshot; its map must not be changed.
func (v *view) get() cellState {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state
}

func (v *view) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := v.readAndWatch(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if !errors.Is(err, platform.ErrHistoryLost) {
			v.markUnreachable(err)
		}
		sleep(ctx, watchRetryDelay)
	}
	return nil
}

// markUnreachable records that a call to the store failed, and logs the first failure after a success.
func (v *view) markUnreachable(err error) {
	v.mu.Lock()
	wasReachable := !v.state.reachableSince.IsZero()
	v.state.reachableSince = time.Time{}
	age := v.now().Sub(v.state.confirmedAt)
	v.mu.Unlock()
	if wasReachable {
		v.log.Info("reading the cell's records failed", "error", err.Error(), "age", age.String())
	}
}

// readAndWatch reads the records and then watches them until a call fails.
func (v *view) readAndWatch(ctx context.Context) error {
	sentAt := v.now()
	items, at, err := platform.RangeAll(ctx, v.store, cellPrefix)
	if err != nil {
		return fmt.Errorf("read the cell: %w", err)
	}
	events := make([]platform.Event, len(items))
	for i, it := range items {
		events[i] = platform.Event{Item: it}
	}
	v.apply(events, sentAt, true)
	for {
		sentAt = v.now()
		events, next, err := v.store.Watch(ctx, cellPrefix, at, viewWatchTimeout)
		if err != nil {
			return fmt.Errorf("watch the cell: %w", err)
		}
		at = next
		v.apply(events, sentAt, false)
	}
}

// apply applies changes to the records, or replaces them if the events are a complete read.
func (v *view) apply(events []platform.Event, sentAt time.Time, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := cellState{
		leader: v.state.leader, leaderRevision: v.state.leaderRevision, settledEpoch: v.state.settledEpoch,
		members: map[ident.MemberID]PresenceRecord{}, departed: map[ident.MemberID]departure{}, confirmedAt: sentAt,
		reachableSince: v.state.reachableSince,
	}
	if next.reachableSince.IsZero() {
		next.reachableSince = v.now()
		v.log.Info("the cell's records are readable", "records", len(events))
	}
	if !complete {
		for m, a := range v.state.members {
			next.members[m] = a
		}
	}
	for _, e := range events {
		if err := next.applyEvent(e); err != nil {
			v.log.Error(err, "record of the cell skipped")
		}
	}
	next.noteDepartures(&v.state, v.now())
	next.addresses = make(map[ident.MemberID]string, len(next.members))
	for m, a := range next.members {
		next.addresses[m] = a.Address
	}
	v.state = next
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// noteDepartures takes over the departures of the former state and adds the members that are missing since.
func (s *cellState) noteDepartures(former *cellState, now time.Time) {
	for m, d := range former.departed {
		if now.Sub(d.at) < departureMemory {
			s.departed[m] = d
		}
	}
	for m, a := range former.members {
		s.departed[m] = departure{a.Address, now}
	}
	for m := range s.members {
		delete(s.departed, m)
	}
}

// applyEvent applies a change of a record.
func (s *cellState) applyEvent(e platform.Event) error {
	if e.Key == leaderKey {
		if e.Deleted {
			return nil // the epoch must never decrease
		}
		if e.Revision <= s.leaderRevision {
			return nil
		}
		var l LeaderRecord // a new variable, as fields that are absent in the JSON would keep their old values
		if err := json.Unmarshal(e.Value, &l); err != nil {
			return fmt.Errorf("decode %s: %w", e.Key, err)
		}
		s.leader, s.leaderRevision = l, e.Revision
		return nil
	}
	if e.Key == settledKey {
		var r settledRecord
		if err := json.Unmarshal(e.Value, &r); err != nil && !e.Deleted {
			return fmt.Errorf("decode %s: %w", e.Key, err)
		}
		s.settledEpoch = max(s.settledEpoch, r.Epoch)
		return nil
	}
	name, ok := strings.CutPrefix(e.Key, presencePrefix)
	if !ok {
		return nil
	}
	member := ident.MemberID(name)
	if e.Deleted {
		delete(s.members, member)
		return nil
	}
	var a PresenceRecord
	if err := json.Unmarshal(e.Value, &a); err != nil {
		return fmt.Errorf("decode %s: %w", e.Key, err)
	}
	a.revision = e.Revision
	s.members[member] = a
	return nil
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// JobKey returns the store key of a job.
func JobKey(id ident.JobID) string { return jobPrefix + string(id) }

// CancelKey returns the store key that marks a job as cancelled.
func CancelKey(id ident.JobID) string { return JobKey(id) + cancelSuffix }

// ProgressKey returns the store key of a job's progress.
func ProgressKey(id ident.JobID) string { return progressPrefix + string(id) }
