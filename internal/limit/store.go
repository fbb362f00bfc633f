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
	errBudget     = errors.New("budget of store calls is spent")
	errRecordLost = errors.New("record disappeared from the store")
	errNotMember  = errors.New("not in the member view")
)

// change is what one write of a record does for this member. Each field is set by edit.
type change struct {
	nonce  string
	begun  uint64 // generation of the team when the write began
	given  int    // lowered before the write
	moved  int    // of the dead members' parts
	handed []handover
	taken  int // from the pool
}

// write applies edit to the record by compare-and-swap. The caller holds t.writer. edit runs on the newest record
// after the limit in force is set, and returns false when nothing needs to be written.
func (s *Split) write(ctx context.Context, t *team, self member.Member, edit func(*record, *change) bool) (change, error) {
	generation := s.generation(t)
	for range maxConflicts {
		if err := s.load(ctx, t, self, generation); err != nil {
			return change{}, err
		}
		limit, ok := s.config.Limit(t.id)
		if !ok {
			return change{}, fmt.Errorf("team %s has no limit", t.id)
		}
		next := t.rec.clone()
		next.rescale(max(0, min(limit, maxLimit)))
		c := change{nonce: ident.Random("limit"), begun: generation}
		if !edit(&next, &c) && t.rec.Limit <= next.Limit {
			return change{}, nil
		}
		own := next.find(self.ID, self.Incarnation)
		own.Nonce = c.nonce
		next.set(own)
		err := s.swap(ctx, t, self, next, c.nonce)
		switch {
		case err == nil:
			s.settle(t, self, generation, c)
			return c, nil
		case errors.Is(err, platform.ErrConflict):
			t.known = false
		case noEffect(err):
			return change{}, err
		default:
			t.known, t.unsettled = false, &c
			s.suspend(t, generation, c)
			return change{}, fmt.Errorf("%w: %w", platform.ErrUnknownOutcome, err)
		}
	}
	return change{}, platform.ErrConflict
}

// noEffect reports whether an error proves that a write never takes effect.
func noEffect(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, platform.ErrTooLarge) || errors.Is(err, errBudget)
}

// load reads the record unless the cached one may be current, and settles a write without known outcome.
func (s *Split) load(ctx context.Context, t *team, self member.Member, generation uint64) error {
	if t.known {
		return nil
	}
	item, err := s.get(ctx, t.id)
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
	t.rec, t.revision = rec, item.Revision
	if last := t.unsettled; last != nil {
		// While the revision is unchanged, the write may still take effect. Another write at this revision excludes it.
		if unchanged {
			if err := s.swap(ctx, t, self, rec.clone(), ident.Random("limit")); err != nil {
				return fmt.Errorf("exclude a write without known outcome: %w", err)
			}
		}
		t.unsettled = nil
		if rec.find(self.ID, self.Incarnation).Nonce != last.nonce {
			s.restore(t, generation, *last)
		}
	}
	t.known = true
	s.settle(t, self, generation, change{})
	return nil
}

// settle takes the own share from the record, which is the truth while no own write is open, and ends the change.
func (s *Split) settle(t *team, self member.Member, generation uint64, c change) {
	_, unlock := s.locked(t.id)
	defer unlock()
	if t.generation != generation {
		return
	}
	t.share, t.limit = t.rec.find(self.ID, self.Incarnation), t.rec.Limit
	t.lowered = 0
	t.adopted = max(0, t.adopted-c.moved)
	t.handedOver(c.handed)
}

// suspend keeps what a write without known outcome gave away as given.
func (s *Split) suspend(t *team, generation uint64, c change) {
	_, unlock := s.locked(t.id)
	defer unlock()
	if t.generation != generation {
		return
	}
	t.lowered = c.given
	for _, h := range c.handed {
		t.lowered += h.n
	}
	t.adopted = max(0, t.adopted-c.moved)
	t.handedOver(c.handed)
}

// restore plans again what a suspended write didn't do. A handover must not be repeated after it took effect: the part
// that the second one takes may be in use by then.
func (s *Split) restore(t *team, generation uint64, c change) {
	_, unlock := s.locked(t.id)
	defer unlock()
	if t.generation != generation || c.begun != generation {
		return
	}
	t.adopted += c.moved
	t.handovers = append(append([]handover{}, c.handed...), t.handovers...)
}

// generation returns the team's count of drops; results of work begun before a drop are ignored after it.
func (s *Split) generation(t *team) uint64 {
	_, unlock := s.locked(t.id)
	defer unlock()
	return t.generation
}

// get reads a record within the budget.
func (s *Split) get(ctx context.Context, id ident.TeamID) (platform.Item, error) {
	if !s.reads.AllowN(s.config.Now(), 1) {
		return platform.Item{}, errBudget
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.storeReads.Add(1)
	item, err := s.config.Store.Get(ctx, keyPrefix+string(id))
	s.observe(err)
	if err != nil {
		return platform.Item{}, fmt.Errorf("read %s%s: %w", keyPrefix, id, err)
	}
	return item, nil
}

// swap writes a record within the budget.
func (s *Split) swap(ctx context.Context, t *team, self member.Member, next record, nonce string) error {
	next.Writer, next.Incarnation, next.Nonce = self.ID, self.Incarnation, nonce
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	if !s.writes.AllowN(s.config.Now(), 1) {
		return errBudget
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.storeWrites.Add(1)
	revision, err := s.config.Store.CompareAndSwap(ctx, keyPrefix+string(t.id), t.revision, value, 0)
	s.observe(err)
	if err != nil {
		return fmt.Errorf("write %s%s: %w", keyPrefix, t.id, err)
	}
	t.rec, t.revision, t.known = next, revision, true
	return nil
}

// observe counts the errors of the store and pauses background calls while it is unavailable.
func (s *Split) observe(err error) {
	switch {
	case err == nil, errors.Is(err, platform.ErrNotFound):
	case errors.Is(err, platform.ErrConflict):
		s.storeConflicts.Add(1)
	default:
		s.storeErrors.Add(1)
		if errors.Is(err, platform.ErrUnknownOutcome) {
			s.storeUnknown.Add(1)
		}
		s.resume.Store(s.config.Now().Add(storePause).UnixNano())
	}
}
