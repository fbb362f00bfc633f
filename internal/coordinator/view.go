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

// Keys of the store.
const (
	cellPrefix     = "cell/"
	leaderKey      = "cell/leader"
	presencePrefix = "cell/alive/"
	rosterPrefix   = "roster/"
	jobPrefix      = "job/"
	cancelSuffix   = "/cancel"
	progressPrefix = "progress/"
)

const (
	viewWatchTimeout = 3 * time.Second // longest watch of the cell, which bounds the age of the view
	watchRetryDelay  = 150 * time.Millisecond
)

// LeaderRecord is the record of the daemon that schedules. Each takeover increases the epoch, which fences orders.
type LeaderRecord struct {
	Member      ident.MemberID `json:"member"`
	Incarnation string         `json:"incarnation"`
	Address     string         `json:"address"`
	Epoch       ident.Epoch    `json:"epoch"`
	Vacant      bool           `json:"vacant,omitempty"` // the leader has stopped and left the place to another
}

// PresenceRecord is the presence record of a daemon, bound to its lease.
type PresenceRecord struct {
	Member        ident.MemberID   `json:"member"`
	Incarnation   string           `json:"incarnation"`
	Address       string           `json:"address"`
	DataCentre    ident.DataCentre `json:"data-centre"`
	ElectionDelay time.Duration    `json:"handicap"` // delay of this daemon's candidacies, for its processor and link
	revision      platform.Revision
}

// cellState is a snapshot of the cell.
type cellState struct {
	leader         LeaderRecord
	leaderRevision platform.Revision
	members        map[ident.MemberID]PresenceRecord
	confirmedAt    time.Time // when the call was sent whose answer confirmed it last
	reachableSince time.Time // first answer after the last failure
}

// leaderPresent reports whether the leader's incarnation is present, with the revision of its member's presence.
func (s *cellState) leaderPresent() (bool, platform.Revision) {
	a, ok := s.members[s.leader.Member]
	return ok && a.Incarnation == s.leader.Incarnation && !s.leader.Vacant, a.revision
}

// previousLeaderStopped reports whether the process of the recorded leader has certainly ended its term: it said so, or its host
// runs another process now. Otherwise it may be cut off and go on for a while.
func (s *cellState) previousLeaderStopped() bool {
	a, present := s.members[s.leader.Member]
	return s.leader.Vacant || present && a.Incarnation != s.leader.Incarnation
}

// view follows the cell's records in the store.
type view struct {
	store platform.TransactStore
	log   logr.Logger
	now   func() time.Time

	mu      sync.Mutex
	state   cellState
	changed chan struct{}
}

func newView(s platform.TransactStore, log logr.Logger) *view {
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

func (v *view) markUnreachable(err error) {
	v.mu.Lock()
	wasReachable := !v.state.reachableSince.IsZero()
	v.state.reachableSince = time.Time{}
	age := v.now().Sub(v.state.confirmedAt)
	v.mu.Unlock()
	if wasReachable {
		v.log.Info("lost the cell's records in the store", "error", err.Error(), "age", age.String())
	}
}

// readAndWatch reads the records and watches them until a call fails.
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

// apply enters changes, or the whole of the records.
func (v *view) apply(events []platform.Event, sentAt time.Time, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := cellState{
		leader: v.state.leader, leaderRevision: v.state.leaderRevision, members: map[ident.MemberID]PresenceRecord{},
		confirmedAt: sentAt, reachableSince: v.state.reachableSince,
	}
	if next.reachableSince.IsZero() {
		next.reachableSince = v.now()
		v.log.Info("reading the cell's records in the store", "records", len(events))
	}
	if !complete {
		for m, a := range v.state.members {
			next.members[m] = a
		}
	}
	for _, e := range events {
		if err := next.applyEvent(e); err != nil {
			v.log.Error(err, "skipped a record of the cell")
		}
	}
	v.state = next
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

func (s *cellState) applyEvent(e platform.Event) error {
	if e.Key == leaderKey {
		if e.Deleted {
			return nil // the epoch must not fall back
		}
		if e.Revision <= s.leaderRevision {
			return nil
		}
		var l LeaderRecord // absent fields must not keep their former values
		if err := json.Unmarshal(e.Value, &l); err != nil {
			return fmt.Errorf("decode %s: %w", e.Key, err)
		}
		s.leader, s.leaderRevision = l, e.Revision
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

// sleep waits for a time or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// JobKey returns the key of a job's record.
func JobKey(id ident.JobID) string { return jobPrefix + string(id) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id ident.JobID) string { return JobKey(id) + cancelSuffix }

// ProgressKey returns the key of a job's progress record.
func ProgressKey(id ident.JobID) string { return progressPrefix + string(id) }
