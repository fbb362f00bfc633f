package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// MaxRecordBytes bounds the record well below the store's limit; an entry takes at most about 700 bytes.
	MaxRecordBytes = platform.MaxValueBytes / 4
	// maxUpdateAttempts bounds the attempts of one update while the writes of other members conflict with it.
	maxUpdateAttempts = 16
)

// writeStamp identifies one write of a value, so that a write of unknown outcome is recognised when the value is read.
type writeStamp struct {
	Writer      ident.MemberID    `json:"writer"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Nonce       string            `json:"nonce"`
}

// entry is a member in the record. The instance distinguishes processes with the same id.
type entry struct {
	Member
	Instance string `json:"instance"`
}

// record is the value of KeyMembers.
type record struct {
	writeStamp
	Epoch            ident.Epoch                  `json:"epoch"`
	Members          []entry                      `json:"members"`
	RegionFirstEpoch map[ident.Region]ident.Epoch `json:"founded,omitempty"` // see View.RegionFirstEpoch
}

func (r *record) find(id ident.MemberID) *entry {
	for i := range r.Members {
		if r.Members[i].ID == id {
			return &r.Members[i]
		}
	}
	return nil
}

func (r *record) put(e entry) {
	r.remove(e.ID)
	r.Members = append(r.Members, e)
	slices.SortFunc(r.Members, func(a, b entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

func (r *record) remove(id ident.MemberID) {
	r.Members = slices.DeleteFunc(r.Members, func(e entry) bool { return e.ID == id })
}

func (r *record) view() View {
	v := View{Epoch: r.Epoch, Members: make([]Member, len(r.Members)), RegionFirstEpoch: r.RegionFirstEpoch}
	for i, e := range r.Members {
		v.Members[i] = e.Member
	}
	return v
}

func (g *Group) newWriteStamp() writeStamp {
	return writeStamp{Writer: g.config.Self.ID, Incarnation: g.Self().Incarnation, Nonce: ident.Random("nonce")}
}

// updateRecord applies edit to the newest record and writes the result with the next epoch. After a conflict it repeats the
// edit on a newer record, so edit may run several times. An edit returns false when nothing has to change.
func (g *Group) updateRecord(ctx context.Context, edit func(next *record) bool) error {
	g.updateMu.Lock()
	defer g.updateMu.Unlock()
	g.mu.Lock()
	known := g.newestRevision != 0
	g.mu.Unlock()
	for range maxUpdateAttempts {
		if !known {
			if err := g.Refresh(ctx); err != nil {
				return err
			}
		}
		err := g.tryUpdate(ctx, edit)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		g.counters.conflicts.Add(1)
		known = false
	}
	return fmt.Errorf("update member record: %d attempts: %w", maxUpdateAttempts, platform.ErrConflict)
}

func (g *Group) tryUpdate(ctx context.Context, edit func(next *record) bool) error {
	g.mu.Lock()
	next, expect := g.newestRecord, g.newestRevision
	g.mu.Unlock()
	next.Members = slices.Clone(next.Members)
	next.Epoch++
	if !edit(&next) {
		return nil
	}
	next.writeStamp = g.newWriteStamp()
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode member record: %w", err)
	}
	if len(value) > MaxRecordBytes {
		return fmt.Errorf("member record has %d bytes, the limit is %d: %w", len(value), MaxRecordBytes, platform.ErrTooLarge)
	}
	revision, err := g.swapAndResolve(ctx, KeyMembers, expect, value, 0, next.Nonce)
	if err != nil {
		return fmt.Errorf("update member record: %w", err)
	}
	g.counters.changes.Add(1)
	g.installRecord(next, revision)
	return nil
}

// swapAndResolve writes by compare-and-swap and resolves an unknown outcome by reading the key: the write took effect if the
// value has its nonce. Otherwise it returns ErrConflict, also when the write took effect and was overwritten since, so
// the caller must read the key again and must recognise its own earlier change.
func (g *Group) swapAndResolve(
	ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID, nonce string,
) (platform.Revision, error) {
	revision, err := g.store.compareAndSwap(ctx, key, expect, value, lease)
	if err == nil || isStoreAnswer(err) || errors.Is(err, platform.ErrUnavailable) {
		return revision, err
	}
	item, readErr := g.store.get(ctx, key)
	if errors.Is(readErr, platform.ErrNotFound) {
		return 0, platform.ErrConflict
	}
	if readErr != nil {
		return 0, fmt.Errorf("%w, and reading the value back failed: %w", err, readErr)
	}
	var written writeStamp
	if err := json.Unmarshal(item.Value, &written); err == nil && written.Nonce == nonce {
		g.counters.resolvedWrites.Add(1)
		return item.Revision, nil
	}
	return 0, platform.ErrConflict
}

// Refresh reads the record. The view is then no older than the record was at the time of the call.
func (g *Group) Refresh(ctx context.Context) error {
	_, err := g.loadRecord(ctx)
	return err
}

// loadRecord reads the record and returns its revision, or 0 when there is no record yet.
func (g *Group) loadRecord(ctx context.Context) (platform.Revision, error) {
	item, err := g.store.get(ctx, KeyMembers)
	if errors.Is(err, platform.ErrNotFound) {
		if epoch := g.View().Epoch; epoch > 0 {
			return 0, fmt.Errorf("member record is missing, its last known epoch is %d: %w", epoch, err)
		}
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read member record: %w", err)
	}
	return item.Revision, g.decodeRecord(item)
}

func (g *Group) decodeRecord(item platform.Item) error {
	var r record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return fmt.Errorf("decode member record at revision %d: %w", item.Revision, err)
	}
	g.installRecord(r, item.Revision)
	return nil
}

// installRecord replaces the newest known record by r if the epoch of r is higher, and updates the view.
func (g *Group) installRecord(r record, revision platform.Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Epoch <= g.newestRecord.Epoch {
		return
	}
	g.newestRecord, g.newestRevision = r, revision
	old := g.snapshot.Load()
	next := &snapshot{view: r.view(), self: old.self}
	e := r.find(old.self.ID)
	switch {
	case e != nil && e.Instance == g.instance:
		next.self, next.joined = e.Member, true
	case old.self.Incarnation > 0 && e != nil && e.Incarnation > old.self.Incarnation:
		g.replaced = true
	}
	if old.joined && !next.joined && !g.leaving.Load() {
		g.removalPending = true
		g.config.Log.Info("this incarnation was removed from the view", "incarnation", old.self.Incarnation, "epoch", r.Epoch)
	}
	g.snapshot.Store(next)
	wake(g.viewChanged)
	wake(g.maintainNow)
}
