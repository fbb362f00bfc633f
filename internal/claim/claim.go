// Package claim keeps the claims of non-idempotent requests, so that each runs at most once. A request is claimed by a
// majority of the first three members in rendezvous order of its key within the team's claim region, at one epoch.
package claim

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// Error is the class of configurations that New refuses.
var Error = errs.Class("claim")

// Defaults of Config.
const (
	DefaultRetention = time.Hour
	DefaultMaxClaims = 50_000
	DefaultMaxBytes  = 32 << 20
)

// holderCount is the number of members that keep a claim.
const holderCount = 3

var (
	// ErrSplitVote reports that no claimer can get a majority. The request isn't claimed by the caller.
	ErrSplitVote = errors.New("votes on the claim are split")
	// ErrUnavailable reports that too few holders could vote. The request isn't claimed by the caller.
	ErrUnavailable = errors.New("too few holders of the claim can vote")
	// ErrUncertain reports that an earlier claim of the request may have been lost, so that a run can't be ruled out.
	ErrUncertain = errors.New("an earlier claim of the request may be lost")
	// ErrGrantExpired reports a grant that may no longer be dispatched.
	ErrGrantExpired = errors.New("grant no longer holds")
	// ErrEpochMismatch reports a message from another epoch; the sender tries again after the view changed.
	ErrEpochMismatch = errors.New("claim message from another epoch")
)

// HeldError reports that another submission holds the claim: its answer is in Claim once complete.
type HeldError struct {
	Claim wire.Claim
	// ClaimerRemoved means that the claimer's incarnation left the view: unless the claim is complete, a run can't be
	// ruled out.
	ClaimerRemoved bool
}

// Error names the claimer and the state.
func (e *HeldError) Error() string {
	return fmt.Sprintf("request %s is claimed by %s (%s)", e.Claim.Request, e.Claim.Claimer, e.Claim.State)
}

// Config has the settings and dependencies of a Book.
type Config struct {
	Self func() member.Member
	View func() member.View
	// Region returns the claim region of a team, which never changes. It must know removed teams too, as long as their
	// claims are kept: holders must go on handing them over, and the team may be added again.
	Region func(ident.TeamID) (ident.Region, bool)
	// Call sends acquire, complete, release or lookup to a holder.
	Call func(ctx context.Context, to ident.MemberID, method string, r wire.ClaimRequest) (wire.ClaimReply, error)
	// Transfer asks a member for a page of claims.
	Transfer func(ctx context.Context, to ident.MemberID, r wire.ClaimTransfer) (wire.ClaimTransferReply, error)
	// SearchInventories reports whether a backend server knows the request, and whether a run can be ruled out otherwise:
	// complete also covers runs that finished and were acknowledged. Nil means that nothing can be ruled out.
	SearchInventories func(ctx context.Context, key wire.ClaimKey) (known, complete bool)
	// Retention is how long a claim is kept after its last change; 0 means DefaultRetention. A grant must be dispatched
	// in the first half of it, and a caller must not submit a request again after it.
	Retention time.Duration
	// MaxClaims bounds the claims kept, MaxBytes their answers; 0 means the defaults. New claims are refused above.
	MaxClaims int
	MaxBytes  int
	Now       func() time.Time
	Log       logr.Logger
}

// Table is this member's side of the claims, as claimer and as holder.
type Table struct {
	config          Config
	shards          [shardCount]shard
	keptCount       atomic.Int64 // claims and barred nonces
	keptAnswerBytes atomic.Int64 // answers

	ctx            context.Context // ends with Close
	cancel         context.CancelFunc
	background     sync.WaitGroup
	manualTransfer bool // tests run transfers themselves

	epoch atomic.Uint64 // epoch of history.current, read under shard locks
	lock  sync.Mutex    // guards history
	viewHistory

	releasesLock    sync.Mutex
	pendingReleases []pendingRelease
	recentReleases  []recentRelease
}

// Grant is a claim won by this member.
type Grant struct {
	Claim       wire.Claim
	Epoch       ident.Epoch
	Holders     []member.Member
	RequestedAt time.Time // taken before the first vote was asked for
}

// New checks the configuration and returns an empty book.
func New(c Config) (*Table, error) {
	switch {
	case c.Self == nil, c.View == nil, c.Region == nil, c.Call == nil, c.Transfer == nil:
		return nil, Error.New("Self, View, Region, Call and Transfer must be set")
	case c.Retention < 0, c.MaxClaims < 0, c.MaxBytes < 0:
		return nil, Error.New("bounds must not be negative")
	}
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.MaxClaims = cmp.Or(c.MaxClaims, DefaultMaxClaims)
	c.MaxBytes = cmp.Or(c.MaxBytes, DefaultMaxBytes)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.SearchInventories == nil {
		c.SearchInventories = func(context.Context, wire.ClaimKey) (bool, bool) { return false, false }
	}
	b := &Table{config: c}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	for i := range b.shards {
		b.shards[i].entries = map[wire.ClaimKey][]wire.Claim{}
		b.shards[i].tombstones = map[string]struct{}{}
		b.shards[i].lastChange = map[wire.ClaimKey]time.Time{}
	}
	return b, nil
}

// Close ends the transfers that run in the background.
func (t *Table) Close() {
	t.cancel()
	t.background.Wait()
}

// Holders returns the first three members of the region in rendezvous order of the key, in any state: an unreachable
// member keeps its claims.
func Holders(v member.View, region ident.Region, key wire.ClaimKey) []member.Member {
	var members []member.Member
	for _, m := range v.Filter(member.Active, member.Draining, member.Unreachable) {
		if m.Region == region {
			members = append(members, m)
		}
	}
	return topRanked(members, key, func(m member.Member) ident.MemberID { return m.ID })
}

// topRanked sorts by the hash of key and member id, highest topRanked, and keeps the topRanked three.
func topRanked[M any](members []M, key wire.ClaimKey, id func(M) ident.MemberID) []M {
	seed := keyHash(key)
	slices.SortFunc(members, func(a, b M) int {
		x, y := xxh3.HashStringSeed(string(id(a)), seed), xxh3.HashStringSeed(string(id(b)), seed)
		switch {
		case x > y || x == y && id(a) < id(b):
			return -1
		case x == y && id(a) == id(b):
			return 0
		}
		return 1
	})
	return members[:min(len(members), holderCount)]
}

func keyHash(key wire.ClaimKey) uint64 {
	return xxh3.HashStringSeed(string(key.Request), xxh3.HashString(string(key.Team)))
}

// quorum is the number of votes that wins among n holders.
func quorum(n int) int { return n/2 + 1 }

// readQuorum is the number of holders among n that meets every quorum.
func readQuorum(n int) int { return n - quorum(n) + 1 }

// Validate returns an error unless the grant may be dispatched now. It must be called right before the dispatch.
// A grant survives a change of the view only when its holders are the same incarnations.
func (t *Table) Validate(g Grant) error {
	if t.config.Now().Sub(g.RequestedAt) >= t.config.Retention/2 {
		return fmt.Errorf("%w: older than half the retention", ErrGrantExpired)
	}
	view := t.config.View()
	if !view.Has(g.Claim.Claimer, g.Claim.Incarnation) {
		return fmt.Errorf("%w: own incarnation was removed", ErrGrantExpired)
	}
	if view.Epoch == g.Epoch {
		return nil
	}
	region, _ := t.config.Region(g.Claim.Team)
	same := slices.EqualFunc(Holders(view, region, g.Claim.ClaimKey), g.Holders, func(x, y member.Member) bool {
		return x.ID == y.ID && x.Incarnation == y.Incarnation
	})
	if !same {
		return fmt.Errorf("%w: its holders changed at epoch %d", ErrGrantExpired, view.Epoch)
	}
	return nil
}
