// Package claim keeps claims on non-idempotent requests, so that each request runs at most once. A member claims a request
// by a majority of votes, at one epoch, from its holders: the first three members of the team's claim region in rendezvous
// order of the request's key.
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

// Error is the class of the errors that New returns for an invalid Config.
var Error = errs.Class("claim")

// Defaults of Config.
const (
	DefaultRetention = time.Hour
	DefaultMaxClaims = 50_000
	DefaultMaxBytes  = 32 << 20
)

// holderCount is the number of members that vote on a claim and keep it.
const holderCount = 3

var (
	// ErrSplitVote reports that none of the competing claims can get a majority. The request isn't claimed by the caller.
	ErrSplitVote = errors.New("none of the competing claims can get a majority of the votes")
	// ErrUnavailable reports that too few holders could vote. The request isn't claimed by the caller.
	ErrUnavailable = errors.New("too few holders of the claim can vote")
	// ErrUncertain reports that an earlier claim of the request may have been lost, so that a run can't be ruled out.
	ErrUncertain = errors.New("an earlier claim of the request may have been lost")
	// ErrGrantExpired reports a grant that may no longer be dispatched.
	ErrGrantExpired = errors.New("grant has expired")
	// ErrEpochMismatch reports a message from another epoch; the sender retries after its view changed.
	ErrEpochMismatch = errors.New("claim message from another epoch")
)

// HeldError reports that another submission holds the claim. Claim contains the answer once it is complete.
type HeldError struct {
	Claim wire.Claim
	// ClaimerRemoved means that the claimer's incarnation is no longer in the view. Unless the claim is complete, a run
	// can't be ruled out.
	ClaimerRemoved bool
}

// Error implements error.
func (e *HeldError) Error() string {
	return fmt.Sprintf("request %s is claimed by %s (%s)", e.Claim.Request, e.Claim.Claimer, e.Claim.State)
}

// Config has the settings and dependencies of a Table.
type Config struct {
	Self func() member.Member
	View func() member.View
	// ClaimRegion returns the claim region of a team, which never changes. It must also know removed teams while their
	// claims are kept: holders must continue to transfer these claims, and the team may be added again.
	ClaimRegion func(ident.TeamID) (ident.Region, bool)
	// Call sends an acquire, complete, release or lookup message to a holder.
	Call func(ctx context.Context, to ident.MemberID, method string, r wire.ClaimRequest) (wire.ClaimReply, error)
	// Transfer asks a member for a page of the claims that this member must hold.
	Transfer func(ctx context.Context, to ident.MemberID, r wire.ClaimTransferRequest) (wire.ClaimTransferReply, error)
	// SearchInventories reports whether a backend server knows the request, and whether the search was complete, so that
	// an unknown request certainly never ran. A complete search also covers runs that finished and were acknowledged. Nil
	// means that no run can be ruled out.
	SearchInventories func(ctx context.Context, key wire.ClaimKey) (known, complete bool)
	// Retention is how long a claim is kept after its last change; 0 means DefaultRetention. A grant must be dispatched
	// within the first half of the retention, and a caller must not submit a request again after it.
	Retention time.Duration
	// MaxClaims bounds the number of claims kept, MaxBytes the size of their answers; 0 means the defaults. New claims are
	// refused at either bound.
	MaxClaims int
	MaxBytes  int
	Now       func() time.Time
	Log       logr.Logger
}

// Table acquires claims for this member and keeps the claims that it holds for others. It is safe for concurrent use.
type Table struct {
	config          Config
	shards          [shardCount]shard
	keptCount       atomic.Int64 // number of claims and tombstones
	keptAnswerBytes atomic.Int64 // size of the answers

	ctx            context.Context // ends with Close
	cancel         context.CancelFunc
	background     sync.WaitGroup
	manualTransfer bool // set by tests, which call transferRound themselves

	epoch atomic.Uint64 // epoch of viewHistory.current, read under shard locks
	lock  sync.Mutex    // guards viewHistory
	viewHistory

	releasesLock    sync.Mutex
	pendingReleases []pendingRelease
	recentReleases  []recentRelease
}

// Grant is a claim that this member acquired.
type Grant struct {
	Claim       wire.Claim
	Epoch       ident.Epoch
	Holders     []member.Member
	RequestedAt time.Time // before the first vote was requested
}

// New checks the configuration and returns an empty table.
func New(c Config) (*Table, error) {
	switch {
	case c.Self == nil, c.View == nil, c.ClaimRegion == nil, c.Call == nil, c.Transfer == nil:
		return nil, Error.New("Config.Self, View, Region, Call and Transfer must be set")
	case c.Retention < 0, c.MaxClaims < 0, c.MaxBytes < 0:
		return nil, Error.New("Config.Retention, MaxClaims and MaxBytes must not be negative")
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
	t := &Table{config: c}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	for i := range t.shards {
		t.shards[i].entries = map[wire.ClaimKey][]wire.Claim{}
		t.shards[i].tombstones = map[string]struct{}{}
		t.shards[i].lastChange = map[wire.ClaimKey]time.Time{}
	}
	return t, nil
}

// Close cancels the transfers that run in the background and waits for them.
func (t *Table) Close() {
	t.cancel()
	t.background.Wait()
}

// Holders returns the first three members of the region in rendezvous order of the key, in any state, because an
// unreachable member keeps its claims.
func Holders(v member.View, region ident.Region, key wire.ClaimKey) []member.Member {
	var members []member.Member
	for _, m := range v.Filter(member.Active, member.Draining, member.Unreachable) {
		if m.Region == region {
			members = append(members, m)
		}
	}
	return topRanked(members, key, func(m member.Member) ident.MemberID { return m.ID })
}

// topRanked sorts members by the hash of key and member id, highest first, and returns the first holderCount of them.
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

// quorum returns the number of votes among n holders that wins a claim.
func quorum(n int) int { return n/2 + 1 }

// readQuorum returns the number of holders among n that intersects every quorum of votes.
func readQuorum(n int) int { return n - quorum(n) + 1 }

// Validate returns an error unless the grant may be dispatched now. It must be called right before the dispatch.
// After a view change a grant is valid only if its holders are still the same incarnations.
func (t *Table) Validate(g Grant) error {
	if t.config.Now().Sub(g.RequestedAt) >= t.config.Retention/2 {
		return fmt.Errorf("%w: older than half the retention", ErrGrantExpired)
	}
	view := t.config.View()
	if !view.HasIncarnation(g.Claim.Claimer, g.Claim.Incarnation) {
		return fmt.Errorf("%w: the claimer's incarnation was removed from the view", ErrGrantExpired)
	}
	if view.Epoch == g.Epoch {
		return nil
	}
	region, _ := t.config.ClaimRegion(g.Claim.Team)
	same := slices.EqualFunc(Holders(view, region, g.Claim.ClaimKey), g.Holders, func(x, y member.Member) bool {
		return x.ID == y.ID && x.Incarnation == y.Incarnation
	})
	if !same {
		return fmt.Errorf("%w: its holders have changed by epoch %d", ErrGrantExpired, view.Epoch)
	}
	return nil
}
