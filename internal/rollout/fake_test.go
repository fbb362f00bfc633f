package rollout

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/clock"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

const (
	testFreshness = 5 * time.Second
	testInterval  = time.Second
)

// fakeStore keeps items in memory. A watch returns at once.
type fakeStore struct {
	platform.Store // methods that this package doesn't use stay nil
	mutex          sync.Mutex
	items          map[string]platform.Item
	revision       platform.Revision
	swap           func(key string) (before, after error) // faults of CompareAndSwap, before or after its effect
	calls          map[string]int
}

func (s *fakeStore) count(call string) {
	if s.calls == nil {
		s.calls, s.items = map[string]int{}, map[string]platform.Item{}
	}
	s.calls[call]++
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Item, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count("get")
	item, ok := s.items[key]
	if !ok {
		return item, platform.ErrNotFound
	}
	return item, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.Item, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count("list")
	var items []platform.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expect platform.Revision, value []byte, _ platform.LeaseID) (platform.Revision, error) {
	var before, after error
	if s.swap != nil {
		before, after = s.swap(key)
	}
	if before != nil {
		return 0, before
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count("swap")
	if s.items[key].Revision != expect {
		return 0, platform.ErrConflict
	}
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	s.revision++
	s.items[key] = platform.Item{Key: key, Value: slices.Clone(value), Revision: s.revision}
	return s.revision, after
}

func (s *fakeStore) Delete(_ context.Context, key string, expect platform.Revision) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count("delete")
	if s.items[key].Revision != expect {
		return platform.ErrConflict
	}
	delete(s.items, key)
	return nil
}

func (s *fakeStore) Watch(_ context.Context, prefix string, after platform.Revision, _ time.Duration) ([]platform.Event, platform.Revision, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.count("watch")
	var events []platform.Event
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && item.Revision > after {
			events = append(events, platform.Event{Item: item})
		}
	}
	return events, s.revision, nil
}

// cell is a set of daemons with one store, one clock and a switch for every connection.
type cell struct {
	t       testing.TB
	clock   *clock.Clock
	store   *fakeStore
	view    member.View
	nodes   map[ident.MemberID]*Rollout
	order   []ident.MemberID
	cut     map[string]bool // "from>to"; to is a member or "store"
	mutex   sync.Mutex
	signers []ed25519.PrivateKey
	crossed int                    // pulls with content between regions
	stored  map[ident.MemberID]int // bytes that each daemon exchanged with the store, in base64
}

var errCut = errors.New("connection is cut")

// storeOf is a daemon's path to the store, which can be cut.
type storeOf struct {
	*fakeStore
	cell *cell
	id   ident.MemberID
}

func (s storeOf) Get(ctx context.Context, key string) (platform.Item, error) {
	if s.cell.isCut(s.id, "store") {
		return platform.Item{}, platform.ErrUnavailable
	}
	item, err := s.fakeStore.Get(ctx, key)
	s.cell.account(s.id, item.Value)
	return item, err
}

func (s storeOf) CompareAndSwap(ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	if s.cell.isCut(s.id, "store") {
		return 0, platform.ErrUnavailable
	}
	s.cell.account(s.id, value)
	return s.fakeStore.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s storeOf) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
	if s.cell.isCut(s.id, "store") {
		return nil, 0, platform.ErrUnavailable
	}
	events, next, err := s.fakeStore.Watch(ctx, prefix, after, wait)
	s.cell.account(s.id, nil)
	for _, e := range events {
		s.cell.account(s.id, e.Value)
	}
	return events, next, err
}

// account counts a value that a daemon exchanged with the store.
func (c *cell) account(id ident.MemberID, value []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stored[id] += callBytes + base64.StdEncoding.EncodedLen(len(value))
}

// callBytes is an allowance for the head of an HTTP call to the store and of its reply.
const callBytes = 400

// newCell starts a daemon per name; the name's first letter is its region. The store is in region a.
func newCell(t testing.TB, names ...ident.MemberID) *cell {
	t.Helper()
	c := &cell{
		t: t, clock: clock.New(time.Unix(1_700_000_000, 0)), store: &fakeStore{},
		nodes: map[ident.MemberID]*Rollout{}, stored: map[ident.MemberID]int{}, cut: map[string]bool{}, order: names, view: member.View{Epoch: 1},
	}
	for seed := range byte(3) {
		c.signers = append(c.signers, ed25519.NewKeyFromSeed(slices.Repeat([]byte{seed + 1}, ed25519.SeedSize)))
	}
	for _, name := range names {
		c.view.Members = append(c.view.Members, member.Member{
			ID: name, Incarnation: 1, Region: ident.Region(name[:1]), State: member.Active,
		})
	}
	for _, name := range names {
		c.start(name)
	}
	return c
}

// start replaces the daemon by one with an empty memory.
func (c *cell) start(name ident.MemberID) {
	c.t.Helper()
	public := func(k ed25519.PrivateKey) ed25519.PublicKey { return k.Public().(ed25519.PublicKey) }
	r, err := New(Config{
		Store: storeOf{c.store, c, name}, StoreRegion: "a",
		Self:    func() member.Member { m, _ := c.view.Find(name); return m },
		View:    func() member.View { return c.view },
		Signers: []ed25519.PublicKey{public(c.signers[0]), public(c.signers[1])}, Required: 2,
		Freshness: testFreshness, ReadInterval: testInterval, Now: c.clock.Now,
		Pull: func(ctx context.Context, to ident.MemberID, request wire.ConfigPullRequest) (wire.ConfigPullReply, error) {
			if c.isCut(name, to) {
				return wire.ConfigPullReply{}, errCut
			}
			reply, err := c.nodes[to].HandlePull(ctx, request)
			if len(reply.Index) > 0 && name[:1] != to[:1] {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.crossed++
			}
			return reply, err
		},
		Version: func(ctx context.Context, to ident.MemberID, request wire.ConfigVersionRequest) (wire.ConfigVersionReply, error) {
			if c.isCut(name, to) {
				return wire.ConfigVersionReply{}, errCut
			}
			return c.nodes[to].HandleVersion(ctx, request)
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[name] = r
}

func (c *cell) isCut(from, to ident.MemberID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cut[fmt.Sprintf("%s>%s", from, to)]
}

// setCut opens or cuts the connections from the members to the targets, in both directions.
func (c *cell) setCut(cut bool, members, targets []ident.MemberID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range members {
		for _, target := range targets {
			c.cut[fmt.Sprintf("%s>%s", m, target)] = cut
			c.cut[fmt.Sprintf("%s>%s", target, m)] = cut
		}
	}
}

// round lets every daemon read its source and confirm once, and then moves the clock by a read interval.
func (c *cell) round(n int) {
	for range n {
		for _, name := range c.order {
			c.nodes[name].sync(context.Background())
		}
		for _, name := range c.order {
			c.nodes[name].confirm(context.Background())
		}
		c.clock.Advance(testInterval)
	}
}

// sign returns sign-offs of the first n operators for the bundle as the version after expect.
func (c *cell) sign(r *Rollout, b bundle.Bundle, expect ident.Version, n int) []bundle.SignOff {
	c.t.Helper()
	proposal, err := r.Prepare(context.Background(), b, expect)
	if err != nil {
		c.t.Fatal(err)
	}
	var signOffs []bundle.SignOff
	for _, key := range c.signers[:n] {
		signOffs = append(signOffs, bundle.Sign(key, proposal.Digest))
	}
	return signOffs
}

// publish signs and publishes the bundle through a daemon.
func (c *cell) publish(name ident.MemberID, b bundle.Bundle) Receipt {
	c.t.Helper()
	r := c.nodes[name]
	if _, err := r.readIndex(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	expect := r.Current().Version()
	receipt, err := r.Publish(context.Background(), b, expect, c.sign(r, b, expect, 2))
	if err != nil {
		c.t.Fatal(err)
	}
	return receipt
}

// versions returns the version in force on every daemon, in order.
func (c *cell) versions() []ident.Version {
	var versions []ident.Version
	for _, name := range c.order {
		versions = append(versions, c.nodes[name].Current().Version())
	}
	return versions
}

// fresh returns the daemons that are fresh.
func (c *cell) fresh() []ident.MemberID {
	var fresh []ident.MemberID
	for _, name := range c.order {
		if c.nodes[name].Fresh() {
			fresh = append(fresh, name)
		}
	}
	return fresh
}

// sample returns a bundle with n teams, each with keys, and two queues.
func sample(teams, keys int) bundle.Bundle {
	b := bundle.Bundle{Queues: []bundle.Queue{{ID: "closed", Kind: "batch"}, {ID: "open", Kind: "request", Open: true}}}
	for i := range teams {
		t := bundle.Team{ID: ident.TeamID(fmt.Sprintf("team-%03d", i)), Share: 1 + i, Limit: 100, ClaimRegion: "a"}
		for k := range keys {
			id := fmt.Sprintf("key-%d", k)
			t.Keys = append(t.Keys, bundle.Key{ID: id, Hash: bundle.HashSecret(string(t.ID) + id)})
		}
		b.Teams = append(b.Teams, t)
	}
	return b
}
