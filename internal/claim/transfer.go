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
	// maxPageClaims and maxPageBytes bound one page of a transfer; only the claims of a single key may exceed them.
	maxPageClaims = 256
	maxPageBytes  = 256 << 10
	// transferPause is the pause before the members that have not answered are asked again.
	transferPause = 100 * time.Millisecond
	// transferTimeout bounds the request of one page.
	transferTimeout = 2 * time.Second
)

// ViewChanged starts the transfer of the claims that this member must hold in the new view.
func (t *Table) ViewChanged() { t.enterCurrentView() }

// enterCurrentView reads the member's view, starts its transfer if the view is newer than the entered one, and returns it.
func (t *Table) enterCurrentView() member.View {
	view := t.config.View()
	if uint64(view.Epoch) <= t.epoch.Load() {
		return view
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	self := t.config.Self()
	if view.Epoch <= t.current.Epoch || !view.HasIncarnation(self.ID, self.Incarnation) {
		return view
	}
	t.enterView(view)
	if !t.settled && !t.manualTransfer && t.ctx.Err() == nil {
		t.background.Go(func() { t.transfer(view) })
	}
	return view
}

// transfer fetches claims from the members of the region until all have answered or a newer view is entered.
func (t *Table) transfer(view member.View) {
	for !t.transferRound(t.ctx, view) {
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(transferPause):
		}
		t.enterCurrentView()
	}
}

// transferRound fetches once from every member that has not answered, and reports whether the transfer of this view is
// over.
func (t *Table) transferRound(ctx context.Context, view member.View) bool {
	t.lock.Lock()
	waiting, current := slices.Clone(t.unanswered), t.current.Epoch
	t.lock.Unlock()
	if current != view.Epoch {
		return true
	}
	for _, h := range waiting {
		if err := t.fetchClaims(ctx, h, view); err != nil {
			t.config.Log.V(1).Info("fetching claims from a member failed", "from", h.Member, "epoch", view.Epoch, "error", err.Error())
		}
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.current.Epoch != view.Epoch || len(t.unanswered) == 0
}

// fetchClaims reads all pages of one member and merges their claims.
func (t *Table) fetchClaims(ctx context.Context, from wire.ClaimHolder, view member.View) error {
	self := t.config.Self()
	r := wire.ClaimTransferRequest{Sender: wire.Sender{Member: self.ID, Incarnation: self.Incarnation, Epoch: view.Epoch}}
	var known wire.ClaimTransferReply
	for {
		page, err := t.fetchPage(ctx, from, r)
		if err != nil {
			return err
		}
		if r.Cursor == "" {
			known = page
		}
		for _, c := range page.Claims {
			s := t.shard(c.ClaimKey)
			s.lock.Lock()
			t.merge(s, c, t.config.Now())
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
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.current.Epoch == view.Epoch && slices.Contains(t.unanswered, from) {
		t.addAnswer(from, known.Views, known.Evidence, t.config.Now())
	}
	return nil
}

func (t *Table) fetchPage(ctx context.Context, from wire.ClaimHolder, r wire.ClaimTransferRequest) (wire.ClaimTransferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	page, err := t.config.Transfer(ctx, from.Member, r)
	if err != nil {
		return page, fmt.Errorf("transfer claims from %s: %w", from.Member, err)
	}
	return page, nil
}

// HandleTransfer returns a page of the claims that the sender must hold. Both members must be at the same epoch: this
// member then no longer votes at an older one, so that no claim is granted at the old epoch after the transfer.
func (t *Table) HandleTransfer(_ context.Context, r wire.ClaimTransferRequest) (wire.ClaimTransferReply, error) {
	view := t.enterCurrentView()
	sender, ok := view.Find(r.Member)
	if !ok || sender.Incarnation != r.Incarnation || r.Epoch != view.Epoch || uint64(r.Epoch) != t.epoch.Load() {
		return wire.ClaimTransferReply{}, fmt.Errorf("transfer claims at epoch %d to %s at epoch %d: %w",
			view.Epoch, r.Member, r.Epoch, ErrEpochMismatch)
	}
	var reply wire.ClaimTransferReply
	from, after := 0, wire.ClaimKey{}
	if r.Cursor == "" {
		t.lock.Lock()
		reply.Views, reply.Evidence = t.transferReport()
		t.lock.Unlock()
	} else {
		var err error
		if from, after, err = parseCursor(r.Cursor); err != nil {
			return wire.ClaimTransferReply{}, err
		}
	}
	size := 0
	for i := from; i < shardCount; i++ {
		for _, claims := range t.claimsAfter(i, after) {
			if !t.memberIsHolder(view, sender, claims[0].ClaimKey) {
				continue
			}
			count := len(reply.Claims)
			size += answerBytes(claims)
			if count > 0 && (count+len(claims) > maxPageClaims || size > maxPageBytes) {
				reply.Cursor = formatCursor(reply.Claims[count-1].ClaimKey)
				return reply, nil
			}
			reply.Claims = append(reply.Claims, claims...)
		}
		after = wire.ClaimKey{}
	}
	return reply, nil
}

// memberIsHolder reports whether a member, in any incarnation, is a holder of the key in the view.
func (t *Table) memberIsHolder(view member.View, m member.Member, key wire.ClaimKey) bool {
	region, ok := t.config.ClaimRegion(key.Team)
	return ok && region == m.Region && containsMember(Holders(view, region, key), m)
}

// claimsAfter returns the claims of each key behind the given one in shard i, in key order.
func (t *Table) claimsAfter(i int, after wire.ClaimKey) [][]wire.Claim {
	s := &t.shards[i]
	s.lock.Lock()
	defer s.lock.Unlock()
	t.sweep(s, t.config.Now())
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
	return strings.Join([]string{strconv.Itoa(int(keyHash(key) % shardCount)), string(key.Team), string(key.Request)}, cursorSeparator)
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
