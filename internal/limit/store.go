package limit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// storeTimeout bounds one store call. A later reply counts as lost.
	storeTimeout = 2 * time.Second
	// storePause is how long background work makes no store calls after the store was unavailable.
	storePause = time.Second
	// maxConflicts bounds how often one change is tried on a newer record after a conflict.
	maxConflicts = 3
)

var (
	errBudgetExhausted = errors.New("budget of store calls is exhausted")
	errRecordDeleted   = errors.New("record was deleted from the store")
	errNotMember       = errors.New("not in the member view")
)

// change describes what one write of a record does for this member. The edit function of write sets given, adopted,
// handovers and fromPool.
type change struct {
	nonce      string
	generation uint64 // generation of the team when the write began
	given      int    // subtracted from the usable allocation before the write
	adopted    int    // moved here from the allocations of dead members
	handovers  []handover
	fromPool   int // taken from the unallocated pool
}

// write applies edit to the record by compare-and-swap. The caller holds t.writeLock. edit runs on the newest record,
// with the current limit already set, and returns false when nothing needs to be written.
func (a *Allocator) write(ctx context.Context, t *team, self member.Member, edit func(*record, *change) bool) (change, error) {
	generation := a.generation(t)
	for range maxConflicts {
		if err := a.load(ctx, t, self, generation); err != nil {
			return change{}, err
		}
		limit, ok := a.config.Limit(t.id)
		if !ok {
			return change{}, fmt.Errorf("team %s has no limit", t.id)
		}
		next := t.cached.clone()
		next.rescale(max(0, min(limit, maxLimit)))
		c := change{nonce: ident.Random("limit"), generation: generation}
		if !edit(&next, &c) && t.cached.Limit <= next.Limit {
			return change{}, nil
		}
		own := next.find(self.ID, self.Incarnation)
		own.Nonce = c.nonce
		next.set(own)
		err := a.compareAndSwap(ctx, t, self, next, c.nonce)
		switch {
		case err == nil:
			a.applyRecord(t, self, generation, c)
			return c, nil
		case errors.Is(err, platform.ErrConflict):
			t.cacheValid = false
		case noEffect(err):
			return change{}, err
		default:
			t.cacheValid, t.uncertainWrite = false, &c
			a.markUncertain(t, generation, c)
			return change{}, fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, err)
		}
	}
	return change{}, platform.ErrConflict
}

// noEffect reports whether an error proves that a write never takes effect.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrTooLarge) || errors.Is(err, errBudgetExhausted)
}

// load reads the record unless the cached one may still be current. It then also determines the outcome of an earlier
// write whose outcome was unknown.
func (a *Allocator) load(ctx context.Context, t *team, self member.Member, generation uint64) error {
	if t.cacheValid {
		return nil
	}
	item, err := a.readRecord(ctx, t.id)
	switch {
	case errors.Is(err, platform.ErrNotFound) && t.revision == 0:
		item, err = platform.Item{Value: []byte("{}")}, nil
	case errors.Is(err, platform.ErrNotFound):
		return fmt.Errorf("%w: %w", errRecordDeleted, err)
	}
	if err != nil {
		return err
	}
	rec, err := decode(item)
	if err != nil {
		return err
	}
	unchanged := item.Revision == t.revision
	t.cached, t.revision = rec, item.Revision
	if last := t.uncertainWrite; last != nil {
		// While the revision is unchanged, the earlier write may still take effect. Another write at this revision
		// prevents that.
		if unchanged {
			if err := a.compareAndSwap(ctx, t, self, rec.clone(), ident.Random("limit")); err != nil {
				return fmt.Errorf("invalidate a write with an unknown outcome: %w", err)
			}
		}
		t.uncertainWrite = nil
		if rec.find(self.ID, self.Incarnation).Nonce != last.nonce {
			a.replan(t, generation, *last)
		}
	}
	t.cacheValid = true
	a.applyRecord(t, self, generation, change{})
	return nil
}

// applyRecord takes this member's allocation from the record, which is authoritative while no write of this member is in
// flight, and completes the change c.
func (a *Allocator) applyRecord(t *team, self member.Member, generation uint64, c change) {
	_, unlock := a.lockTeam(t.id)
	defer unlock()
	if t.generation != generation {
		return
	}
	t.allocation, t.limit = t.cached.find(self.ID, self.Incarnation), t.cached.Limit
	t.givenUncertain = 0
	t.adopted = max(0, t.adopted-c.adopted)
	t.completeHandovers(c.handovers)
}

// markUncertain keeps counting as given what a write with an unknown outcome gave away.
func (a *Allocator) markUncertain(t *team, generation uint64, c change) {
	_, unlock := a.lockTeam(t.id)
	defer unlock()
	if t.generation != generation {
		return
	}
	t.givenUncertain = c.given
	for _, h := range c.handovers {
		t.givenUncertain += h.n
	}
	t.adopted = max(0, t.adopted-c.adopted)
	t.completeHandovers(c.handovers)
}

// replan schedules again what a write with an unknown outcome didn't do. A handover must not be repeated after it
// took effect, because the allocation that the second one takes may be in use by then.
func (a *Allocator) replan(t *team, generation uint64, c change) {
	_, unlock := a.lockTeam(t.id)
	defer unlock()
	if t.generation != generation || c.generation != generation {
		return
	}
	t.adopted += c.adopted
	t.handovers = append(append([]handover{}, c.handovers...), t.handovers...)
}

// generation returns how often the team's state was reset. Results of work that began before a reset are ignored
// after it.
func (a *Allocator) generation(t *team) uint64 {
	_, unlock := a.lockTeam(t.id)
	defer unlock()
	return t.generation
}

// readRecord reads the record of a team within the call budget.
func (a *Allocator) readRecord(ctx context.Context, id ident.TeamID) (platform.Item, error) {
	if !a.readLimiter.AllowN(a.config.Now(), 1) {
		return platform.Item{}, errBudgetExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	a.storeReads.Add(1)
	item, err := a.config.Store.Get(ctx, keyPrefix+string(id))
	a.countError(err)
	if err != nil {
		return platform.Item{}, fmt.Errorf("read %s%s: %w", keyPrefix, id, err)
	}
	return item, nil
}

// compareAndSwap writes the record of a team within the call budget.
func (a *Allocator) compareAndSwap(ctx context.Context, t *team, self member.Member, next record, nonce string) error {
	next.Writer, next.Incarnation, next.Nonce = self.ID, self.Incarnation, nonce
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if !a.writeLimiter.AllowN(a.config.Now(), 1) {
		return errBudgetExhausted
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	a.storeWrites.Add(1)
	revision, err := a.config.Store.CompareAndSwap(ctx, keyPrefix+string(t.id), t.revision, value, 0)
	a.countError(err)
	if err != nil {
		return fmt.Errorf("write %s%s: %w", keyPrefix, t.id, err)
	}
	t.cached, t.revision, t.cacheValid = next, revision, true
	return nil
}

// countError counts the errors of the store and pauses background calls while it is unavailable.
func (a *Allocator) countError(err error) {
	switch {
	case err == nil, errors.Is(err, platform.ErrNotFound):
	case errors.Is(err, platform.ErrConflict):
		a.storeConflicts.Add(1)
	default:
		a.storeErrors.Add(1)
		if errors.Is(err, platform.ErrUnknownOutcome) {
			a.storeUnknown.Add(1)
		}
		a.storeResumeAt.Store(a.config.Now().Add(storePause).UnixNano())
	}
}
