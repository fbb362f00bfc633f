package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/pastuse"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/sched"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// pastUseKey is the record of what the teams have used. Only a leader writes it, under the leader record's revision.
	// It lies outside cellPrefix, as each write there ends a watch call of every daemon.
	pastUseKey = "past-use"
	// pastUseInterval is the shortest time between two writes of the record, and the longest use that a crash loses while the store answers.
	pastUseInterval = 10 * time.Second
)

// pastUseRecord is what a term knows of the past-use record. The term's lock guards it.
type pastUseRecord struct {
	revision platform.Revision
	changes  uint64    // of the scheduler's past use, up to which it is recorded
	at       time.Time // when it was last read or written
}

// restorePastUse starts the scheduler's past use from the record. An unreadable record counts as none.
func (t *term) restorePastUse(now time.Time, s *sched.Scheduler, items []platform.Item) {
	for _, it := range items {
		if it.Key != pastUseKey {
			continue
		}
		t.pastUse.revision = it.Revision
		l, at, err := pastuse.Decode(it.Value, t.config.Scheduling.PastUseHalfLife)
		if err != nil {
			t.config.Log.Error(err, "past use not readable, starting without it", "revision", uint64(it.Revision), "bytes", len(it.Value))
			return
		}
		age := now.Sub(at)
		s.RestorePastUse(now, l, age)
		t.pastUse.at = now
		t.config.Log.Info("past use loaded", "teams", l.Len(), "age", age.Round(time.Millisecond).String(),
			"counted-age", min(max(age, 0), pastuse.MaxGap).Round(time.Millisecond).String(), "revision", uint64(it.Revision))
	}
}

// recordPastUse writes the past use at each interval in which it changed. It makes one call an interval, also after a failure, and a second
// one after a conflict, which has written nothing. It shares neither transactions nor limits with the records of progress.
func (t *term) recordPastUse(ctx context.Context) error {
	if t.config.Scheduling.PastUseHalfLife <= 0 {
		return nil
	}
	for {
		sleep(ctx, pastUseInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if t.writePastUse(ctx) {
			t.writePastUse(ctx)
		}
	}
}

// writePastUse writes the past use if it has changed, and reports whether the write conflicted with an earlier one. The record holds totals
// and is expected at its known revision, so neither a repeated write nor one that takes effect late counts use twice.
func (t *term) writePastUse(ctx context.Context) bool {
	t.mu.Lock()
	now := t.coordinator.now()
	l, changes := t.scheduler.PastUse(now)
	known := t.pastUse
	t.mu.Unlock()
	if changes == known.changes {
		return false
	}
	value, err := l.Encode(now)
	if err != nil {
		t.config.Log.Error(err, "past use not recorded", "teams", l.Len())
		return false
	}
	tx := t.fencedTransaction()
	tx.Preconditions = append(tx.Preconditions, platform.Precondition{Key: pastUseKey, Revision: known.revision})
	tx.Writes = []platform.Write{{Key: pastUseKey, Value: value}}
	revision, err := t.commit(ctx, tx)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		return t.handlePastUseFailure(err, len(value))
	}
	t.mu.Lock()
	t.pastUse = pastUseRecord{revision, changes, now}
	t.mu.Unlock()
	t.countPastUseWrite("recorded")
	t.config.Log.Info("past use recorded", "teams", l.Len(), "bytes", len(value), "write", t.coordinator.now().Sub(now).String())
	return false
}

// handlePastUseFailure handles a failed write and reports whether it conflicted with an earlier one. The next write then expects the revision
// that the store has, as an earlier one with an unknown outcome may have taken effect. If another daemon leads, the term ends.
func (t *term) handlePastUseFailure(err error, size int) bool {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		t.countPastUseWrite("failed")
		t.config.Log.Info("past use not recorded", "bytes", size, "error", err.Error())
		return false
	}
	t.countPastUseWrite("conflict")
	present := map[string]platform.Item{}
	for _, it := range conflict.Items {
		present[it.Key] = it
	}
	if present[leaderKey].Revision != t.revision {
		t.cancel(errDeposed)
		return false
	}
	revision := present[pastUseKey].Revision
	t.mu.Lock()
	t.pastUse.revision = revision
	t.mu.Unlock()
	t.config.Log.Info("past use had another revision, writing it again", "revision", uint64(revision))
	return true
}

func (t *term) countPastUseWrite(outcome string) {
	if m := t.config.Metrics; m != nil {
		m.GetOrCreateCounter(fmt.Sprintf("rosemaryspoke_past_use_writes_total{outcome=%q}", outcome)).Inc()
	}
}

// labelEscaper escapes the value of a metric's label.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// writePastUseMetrics writes the past use of each team, at the leader. There are at most pastuse.MaxTeams teams.
func (c *Coordinator) writePastUseMetrics(w io.Writer) {
	t := c.loadedTerm()
	if t == nil {
		return
	}
	t.mu.Lock()
	uses, at := t.scheduler.TeamUses(), t.pastUse.at
	t.mu.Unlock()
	if !at.IsZero() {
		fmt.Fprintf(w, "rosemaryspoke_past_use_record_age_seconds %g\n", c.now().Sub(at).Seconds())
	}
	for id, u := range uses {
		team := labelEscaper.Replace(strings.ToValidUTF8(string(id), "?"))
		for _, part := range []struct {
			kind  string
			value pastuse.ShareSeconds
		}{{"total", u.Total}, {"copies", u.Copies}, {"discarded", u.Discarded}} {
			fmt.Fprintf(w, "rosemaryspoke_past_use_share_seconds{team=\"%s\",kind=%q} %g\n", team, part.kind, float64(part.value))
		}
		fmt.Fprintf(w, "rosemaryspoke_past_use_level{team=\"%s\"} %d\n", team, int(u.Level))
	}
}

// methodResetPastUse is the call by which a daemon relays an operator's request to the leader.
const methodResetPastUse = "cell.reset-past-use"

// Errors of ResetPastUse.
var (
	ErrPastUseOff  = errors.New("past use isn't counted, as its half-life is 0")
	ErrUnknownTeam = errors.New("the team is neither configured nor has it past use")
)

type (
	resetRequest struct {
		Team ident.TeamID   `json:"team"`
		From ident.MemberID `json:"from"` // the daemon that the operator called
	}
	resetReply struct {
		Leading bool        `json:"leading"`
		Off     bool        `json:"off,omitempty"`
		Known   bool        `json:"known"`
		Former  pastuse.Use `json:"former"`
	}
)

func (c *Coordinator) resetPastUse(r resetRequest) resetReply {
	t := c.loadedTerm()
	if t == nil {
		return resetReply{}
	}
	if t.config.Scheduling.PastUseHalfLife <= 0 {
		return resetReply{Leading: true, Off: true}
	}
	reply := resetReply{Leading: true}
	t.update(func(now time.Time, s *sched.Scheduler) { reply.Former, reply.Known = s.ResetPastUse(now, r.Team) })
	t.config.Log.Info("past use reset", "team", string(r.Team), "from", string(r.From), "known", reply.Known,
		"total", float64(reply.Former.Total), "copies", float64(reply.Former.Copies), "discarded", float64(reply.Former.Discarded),
		"recorded-within", pastUseInterval.String(), "epoch", uint64(t.leader.Epoch))
	return reply
}

// ResetPastUse makes the leader forget the past use of a team, and returns what it was.
func (c *Coordinator) ResetPastUse(ctx context.Context, team ident.TeamID) (pastuse.Use, error) {
	request := resetRequest{team, c.config.Member}
	r := c.resetPastUse(request)
	if !r.Leading {
		var err error
		if r, err = callLeader[resetRequest, resetReply](ctx, c, reportTimeout, methodResetPastUse, request); err != nil {
			return pastuse.Use{}, fmt.Errorf("reset past use: %w", err)
		}
	}
	switch {
	case !r.Leading:
		return pastuse.Use{}, fmt.Errorf("reset past use: %w", ErrNoLeader)
	case r.Off:
		return pastuse.Use{}, ErrPastUseOff
	case !r.Known:
		return pastuse.Use{}, ErrUnknownTeam
	}
	return r.Former, nil
}
