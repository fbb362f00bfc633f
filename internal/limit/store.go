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
	// storeTimeout bounds one store call; a later reply counts as lost.
	storeTimeout = 2 * time.Second
	// storePause is the time without background store calls after the store was unavailable.
	storePause = time.Second
	// maxConflicts bounds how often one change is tried again on a newer record.
	maxConflicts = 3
)

var (
	errBudgetExhausted = errors.New("budget of store calls is spent")
	errRecordLost      = errors.New("record disappeared from the store")
	errNotMember       = errors.New("not in the member view")
)

// change is what one write of a record does for this member. Each field is set by edit.
type change struct {
	nonce      string
	generation uint64 // generation of the team when the write began
	given      int    // lowered before the write
	adopted    int    // of the dead members' parts
	handovers  []handover
	fromPool   int // from the pool
}

// write applies edit to the record by compare-and-swap. The caller holds t.writer. edit runs on the newest record
// after the limit in force is set, and returns false when nothing needs to be written.
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

// load reads the record unless the cached one may be current, and settles a write without known outcome.
func (a *Allocator) load(ctx context.Context, t *team, self member.Member, generation uint64) error {
	if t.cacheValid {
		return nil
	}
	item, err := a.readRecord(ctx, t.id)
	switch {
	case errors.Is(err, platform.ErrNotFound) && t.revision == 0:
		item, err = platform.Item{Value: []byte("{}")}, nil
	case errors.Is(err, platform.ErrNotFound):
		return fmt.Errorf("%w: %w", errRecordLost, err)
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
		// While the revision is unchanged, the write may still take effect. Another write at this revision excludes it.
		if unchanged {
			if err := a.compareAndSwap(ctx, t, self, rec.clone(), ident.Random("limit")); err != nil {
				return fmt.Errorf("exclude a write without known outcome: %w", err)
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

// applyRecord takes the own share from the record, which is the truth while no own write is open, and ends the change.
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

// markUncertain keeps what a write without known outcome gave away as given.
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

// replan plans again what a suspended write didn't do. A handover must not be repeated after it took effect: the part
// that the second one takes may be in use by then.
func (a *Allocator) replan(t *team, generation uint64, c change) {
	_, unlock := a.lockTeam(t.id)
	defer unlock()
	if t.generation != generation || c.generation != generation {
		return
	}
	t.adopted += c.adopted
	t.handovers = append(append([]handover{}, c.handovers...), t.handovers...)
}

// generation returns the team's count of drops; results of work begun before a drop are ignored after it.
func (a *Allocator) generation(t *team) uint64 {
	_, unlock := a.lockTeam(t.id)
	defer unlock()
	return t.generation
}

// readRecord reads a record within the budget.
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

// compareAndSwap writes a record within the budget.
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
