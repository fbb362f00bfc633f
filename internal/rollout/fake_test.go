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
	platform.Store // nil: methods that this package doesn't use panic
	mutex          sync.Mutex
	items          map[string]platform.Item
	revision       platform.Revision
	swapFault      func(key string) (before, after error) // faults of CompareAndSwap, before or after its effect
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
	if s.swapFault != nil {
		before, after = s.swapFault(key)
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

// cluster runs several daemons in one process, with one store, one clock and connections that can be cut one by one.
type cluster struct {
	t                testing.TB
	clock            *clock.Clock
	store            *fakeStore
	view             member.View
	daemons          map[ident.MemberID]*Rollout
	names            []ident.MemberID
	cut              map[string]bool // "from>to"; to is a member or "store"
	mutex            sync.Mutex
	signers          []ed25519.PrivateKey
	crossRegionPulls int                    // pulls between regions that returned an index
	storeBytes       map[ident.MemberID]int // bytes that each daemon exchanged with the store, with values in base64
}

var errCut = errors.New("connection is cut")

// memberStore is one daemon's connection to the store, which can be cut.
type memberStore struct {
	*fakeStore
	cluster *cluster
	id      ident.MemberID
}

func (s memberStore) Get(ctx context.Context, key string) (platform.Item, error) {
	if s.cluster.isCut(s.id, "store") {
		return platform.Item{}, platform.ErrUnavailable
	}
	item, err := s.fakeStore.Get(ctx, key)
	s.cluster.countStoreBytes(s.id, item.Value)
	return item, err
}

func (s memberStore) CompareAndSwap(ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	if s.cluster.isCut(s.id, "store") {
		return 0, platform.ErrUnavailable
	}
	s.cluster.countStoreBytes(s.id, value)
	return s.fakeStore.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s memberStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
	if s.cluster.isCut(s.id, "store") {
		return nil, 0, platform.ErrUnavailable
	}
	events, next, err := s.fakeStore.Watch(ctx, prefix, after, wait)
	s.cluster.countStoreBytes(s.id, nil)
	for _, e := range events {
		s.cluster.countStoreBytes(s.id, e.Value)
	}
	return events, next, err
}

// countStoreBytes counts the bytes of one value that a daemon exchanged with the store.
func (c *cluster) countStoreBytes(id ident.MemberID, value []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.storeBytes[id] += httpOverheadBytes + base64.StdEncoding.EncodedLen(len(value))
}

// httpOverheadBytes is an allowance for the headers of an HTTP request to the store and of its response.
const httpOverheadBytes = 400

// newCluster starts a daemon for each name; the first letter of a name is the daemon's region. The store is in region a.
func newCluster(t testing.TB, names ...ident.MemberID) *cluster {
	t.Helper()
	c := &cluster{
		t: t, clock: clock.New(time.Unix(1_700_000_000, 0)), store: &fakeStore{},
		daemons: map[ident.MemberID]*Rollout{}, storeBytes: map[ident.MemberID]int{}, cut: map[string]bool{}, names: names, view: member.View{Epoch: 1},
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

// start replaces the daemon by a restarted one without any state.
func (c *cluster) start(name ident.MemberID) {
	c.t.Helper()
	public := func(k ed25519.PrivateKey) ed25519.PublicKey { return k.Public().(ed25519.PublicKey) }
	r, err := New(Config{
		Store: memberStore{c.store, c, name}, StoreRegion: "a",
		Self:    func() member.Member { m, _ := c.view.Find(name); return m },
		View:    func() member.View { return c.view },
		Signers: []ed25519.PublicKey{public(c.signers[0]), public(c.signers[1])}, RequiredSigners: 2,
		Freshness: testFreshness, ReadInterval: testInterval, Now: c.clock.Now,
		Pull: func(ctx context.Context, to ident.MemberID, request wire.ConfigPullRequest) (wire.ConfigPullReply, error) {
			if c.isCut(name, to) {
				return wire.ConfigPullReply{}, errCut
			}
			reply, err := c.daemons[to].HandlePull(ctx, request)
			if len(reply.Index) > 0 && name[:1] != to[:1] {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				c.crossRegionPulls++
			}
			return reply, err
		},
		Version: func(ctx context.Context, to ident.MemberID, request wire.ConfigVersionRequest) (wire.ConfigVersionReply, error) {
			if c.isCut(name, to) {
				return wire.ConfigVersionReply{}, errCut
			}
			return c.daemons[to].HandleVersion(ctx, request)
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.daemons[name] = r
}

func (c *cluster) isCut(from, to ident.MemberID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cut[fmt.Sprintf("%s>%s", from, to)]
}

// setCut cuts or restores the connections between the members and the targets, in both directions.
func (c *cluster) setCut(cut bool, members, targets []ident.MemberID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range members {
		for _, target := range targets {
			c.cut[fmt.Sprintf("%s>%s", m, target)] = cut
			c.cut[fmt.Sprintf("%s>%s", target, m)] = cut
		}
	}
}

// runRounds runs n rounds: every daemon reads its source, then every daemon confirms, then the clock advances by a read
// interval.
func (c *cluster) runRounds(n int) {
	for range n {
		for _, name := range c.names {
			c.daemons[name].sync(context.Background())
		}
		for _, name := range c.names {
			c.daemons[name].confirm(context.Background())
		}
		c.clock.Advance(testInterval)
	}
}

// sign returns the sign-offs of the first n operators for the bundle as the version after expect.
func (c *cluster) sign(r *Rollout, b bundle.Bundle, expect ident.Version, n int) []bundle.SignOff {
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

// publish signs the bundle and publishes it through the daemon.
func (c *cluster) publish(name ident.MemberID, b bundle.Bundle) Receipt {
	c.t.Helper()
	r := c.daemons[name]
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

// versions returns the version in force on every daemon, in the order of names.
func (c *cluster) versions() []ident.Version {
	var versions []ident.Version
	for _, name := range c.names {
		versions = append(versions, c.daemons[name].Current().Version())
	}
	return versions
}

func (c *cluster) freshDaemons() []ident.MemberID {
	var fresh []ident.MemberID
	for _, name := range c.names {
		if c.daemons[name].Fresh() {
			fresh = append(fresh, name)
		}
	}
	return fresh
}

// testBundle returns a bundle with the given numbers of teams and keys per team, and with two queues.
func testBundle(teams, keys int) bundle.Bundle {
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
