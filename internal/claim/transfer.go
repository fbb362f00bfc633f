package claim

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	// pageClaims and pageBytes bound one page of a transfer; only a single larger key exceeds them.
	pageClaims = 256
	pageBytes  = 256 << 10
	// transferPause is the pause before members that did not answer are asked again.
	transferPause = 100 * time.Millisecond
	// transferTimeout bounds one page.
	transferTimeout = 2 * time.Second
)

// ViewChanged starts the transfer of the claims that this member must hold in the new view.
func (b *Book) ViewChanged() { b.observe() }

// observe enters the present view unless it is the current one, and returns it.
func (b *Book) observe() member.View {
	view := b.config.View()
	if uint64(view.Epoch) <= b.epoch.Load() {
		return view
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	self := b.config.Self()
	if view.Epoch <= b.current.Epoch || !view.Has(self.ID, self.Incarnation) {
		return view
	}
	b.enter(view)
	if !b.settled && !b.manual && b.ctx.Err() == nil {
		b.tasks.Go(func() { b.transfer(view) })
	}
	return view
}

// transfer asks the members of the region until all have answered or a newer view is entered.
func (b *Book) transfer(view member.View) {
	for !b.round(b.ctx, view) {
		select {
		case <-b.ctx.Done():
			return
		case <-time.After(transferPause):
		}
		b.observe()
	}
}

// round asks every member that has not answered once, and reports whether the transfer at this view is over.
func (b *Book) round(ctx context.Context, view member.View) bool {
	b.lock.Lock()
	waiting, current := slices.Clone(b.waiting), b.current.Epoch
	b.lock.Unlock()
	if current != view.Epoch {
		return true
	}
	for _, h := range waiting {
		if err := b.fetch(ctx, h, view); err != nil {
			b.config.Log.V(1).Info("transfer of claims is incomplete", "from", h.Member, "epoch", view.Epoch, "error", err.Error())
		}
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.current.Epoch != view.Epoch || len(b.waiting) == 0
}

// fetch reads all pages of one member.
func (b *Book) fetch(ctx context.Context, from wire.ClaimHolder, view member.View) error {
	self := b.config.Self()
	r := wire.ClaimTransfer{Sender: wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: view.Epoch}}
	var known wire.ClaimTransferReply
	for {
		page, err := b.page(ctx, from, r)
		if err != nil {
			return err
		}
		if r.Cursor == "" {
			known = page
		}
		for _, c := range page.Claims {
			s := b.shard(c.ClaimKey)
			s.lock.Lock()
			b.merge(s, c, b.config.Now())
			s.lock.Unlock()
		}
		if page.Cursor == "" {
			break
		}
		if page.Cursor == r.Cursor {
			return errors.New("page of claims repeats its cursor")
		}
		r.Cursor = page.Cursor
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.current.Epoch == view.Epoch && slices.Contains(b.waiting, from) {
		b.learn(from, known.Views, known.Evidence, b.config.Now())
	}
	return nil
}

func (b *Book) page(ctx context.Context, from wire.ClaimHolder, r wire.ClaimTransfer) (wire.ClaimTransferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	page, err := b.config.Transfer(ctx, from.Member, r)
	if err != nil {
		return page, fmt.Errorf("transfer claims from %s: %w", from.Member, err)
	}
	return page, nil
}

// HandleTransfer returns a page of the claims that the sender must hold. Both must be at the same epoch: this member
// then no longer votes at an older one, so that no claim is granted behind the transfer.
func (b *Book) HandleTransfer(_ context.Context, r wire.ClaimTransfer) (wire.ClaimTransferReply, error) {
	view := b.observe()
	sender, ok := view.Find(r.Member)
	if !ok || sender.Incarnation != r.Incarnation || r.Epoch != view.Epoch || uint64(r.Epoch) != b.epoch.Load() {
		return wire.ClaimTransferReply{}, fmt.Errorf("transfer at epoch %d to %s at %d: %w", view.Epoch, r.Member, r.Epoch, ErrEpoch)
	}
	var reply wire.ClaimTransferReply
	from, after := 0, wire.ClaimKey{}
	if r.Cursor == "" {
		b.lock.Lock()
		reply.Views, reply.Evidence = b.report()
		b.lock.Unlock()
	} else {
		var err error
		if from, after, err = parseCursor(r.Cursor); err != nil {
			return wire.ClaimTransferReply{}, err
		}
	}
	size := 0
	for i := from; i < shardCount; i++ {
		for _, claims := range b.claimsAfter(i, after) {
			if !b.mustHold(view, sender, claims[0].ClaimKey) {
				continue
			}
			count := len(reply.Claims)
			size += answerBytes(claims)
			if count > 0 && (count+len(claims) > pageClaims || size > pageBytes) {
				reply.Cursor = formatCursor(reply.Claims[count-1].ClaimKey)
				return reply, nil
			}
			reply.Claims = append(reply.Claims, claims...)
		}
		after = wire.ClaimKey{}
	}
	return reply, nil
}

// mustHold reports whether a member is a holder of the key.
func (b *Book) mustHold(view member.View, m member.Member, key wire.ClaimKey) bool {
	region, ok := b.config.Region(key.Team)
	return ok && region == m.Region && containsMember(Holders(view, region, key), m)
}

// claimsAfter lists the claims of each key of a shard in key order, behind a key.
func (b *Book) claimsAfter(i int, after wire.ClaimKey) [][]wire.Claim {
	s := &b.shards[i]
	s.lock.Lock()
	defer s.lock.Unlock()
	b.sweep(s, b.config.Now())
	var keys []wire.ClaimKey
	for key := range s.entries {
		if compareKeys(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	var claims [][]wire.Claim
	for _, key := range keys {
		claims = append(claims, s.entries[key])
	}
	return claims
}

func compareKeys(a, b wire.ClaimKey) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Request, b.Request))
}

// cursorSeparator can't occur in an identifier.
const cursorSeparator = "/"

func formatCursor(key wire.ClaimKey) string {
	return strings.Join([]string{strconv.Itoa(int(hash(key) % shardCount)), string(key.Team), string(key.Request)}, cursorSeparator)
}

func parseCursor(cursor string) (int, wire.ClaimKey, error) {
	parts := strings.SplitN(cursor, cursorSeparator, 3)
	if len(parts) != 3 {
		return 0, wire.ClaimKey{}, errors.New("malformed cursor of a claim transfer")
	}
	shard, err := strconv.Atoi(parts[0])
	if err != nil || shard < 0 || shard >= shardCount {
		return 0, wire.ClaimKey{}, errors.New("malformed cursor of a claim transfer")
	}
	return shard, wire.ClaimKey{Team: ident.TeamID(parts[1]), Request: ident.RequestID(parts[2])}, nil
}
