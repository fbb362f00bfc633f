package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

var sixMembers = []ident.MemberID{"a1", "a2", "a3", "a4", "b1", "b2"}

// Guards against a change that doesn't reach every daemon, or that crosses the link between regions more than once.
func TestPublishReachesEveryDaemon(t *testing.T) {
	c := newCluster(t, sixMembers...)
	receipt := c.publish("a3", testBundle(6, 2))
	if receipt.Version != 1 || receipt.Outcome != Pending {
		t.Fatalf("receipt %+v", receipt)
	}
	c.runRounds(4)
	if got := c.versions(); slices.Min(got) != 1 {
		t.Fatalf("versions %v after four rounds", got)
	}
	if got := c.freshDaemons(); len(got) != len(sixMembers) {
		t.Errorf("only %v are fresh", got)
	}
	if accepted, statuses, err := c.daemons["a2"].Accepted(context.Background(), 1); err != nil || !accepted {
		t.Errorf("not accepted: %+v, %v", statuses, err)
	}
	c.crossRegionPulls = 0
	changed := testBundle(6, 2)
	for i := range 10 {
		changed.Teams = slices.Clone(changed.Teams)
		changed.Teams[0].Limit = 16 - i
		c.publish(sixMembers[i%len(sixMembers)], changed)
		c.runRounds(4)
		if got := c.versions(); slices.Min(got) != ident.Version(i+2) {
			t.Fatalf("versions %v after four rounds", got)
		}
	}
	if c.crossRegionPulls > 10 {
		t.Errorf("%d copies of ten changes crossed the region link", c.crossRegionPulls)
	}
	if got := c.daemons["b1"].Current().Limit("team-000"); got != 7 {
		t.Errorf("limit is %d on b1", got)
	}
}

// Guards against a daemon that is more than 12 s behind after a burst of changes.
func TestBurstIsInForceEverywhereInTime(t *testing.T) {
	c := newCluster(t, sixMembers...)
	b := testBundle(6, 1)
	for i := range 50 { // 5 a second for 10 s
		b.Teams = slices.Clone(b.Teams)
		b.Teams[i%6].Limit = i
		c.publish(sixMembers[i%len(sixMembers)], b)
		if i%5 == 4 {
			c.runRounds(1)
		}
	}
	c.runRounds(4)
	if got := c.versions(); slices.Min(got) != 50 {
		t.Errorf("versions %v four read intervals after the burst", got)
	}
}

// Guards against a restarted daemon that puts an old version in force again or confirms it to others.
func TestRestartNeverReverts(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3", "a4", "a5")
	c.publish("a1", testBundle(2, 1))
	c.runRounds(4)
	left, right := []ident.MemberID{"a1", "a2", "a3"}, []ident.MemberID{"a4", "a5"}
	c.setCut(true, left, right)
	c.setCut(true, right, []ident.MemberID{"store"})
	changed := testBundle(2, 1)
	changed.Teams[0].Limit = 9
	c.publish("a1", changed)
	c.runRounds(8)
	if got := c.versions(); !slices.Equal(got, []ident.Version{2, 2, 2, 1, 1}) {
		t.Fatalf("versions %v", got)
	}
	// a3 restarts in the partition of a4 and a5, which have the old version. With a3 they would be a majority.
	c.setCut(false, left, right)
	c.setCut(true, []ident.MemberID{"a1", "a2"}, []ident.MemberID{"a3", "a4", "a5"})
	c.setCut(true, []ident.MemberID{"a3"}, []ident.MemberID{"store"})
	c.start("a3")
	c.runRounds(8)
	for _, name := range []ident.MemberID{"a3", "a4", "a5"} {
		if c.daemons[name].Fresh() {
			t.Errorf("%s is fresh on version %d", name, c.daemons[name].Current().Version())
		}
	}
	c.setCut(false, c.names, append(c.names, "store"))
	c.runRounds(8)
	if got := c.versions(); slices.Min(got) != 2 || len(c.freshDaemons()) != 5 {
		t.Errorf("versions %v, fresh %v after the connections were restored", got, c.freshDaemons())
	}
}

// Guards against an older or forked index, from the store or a peer, that is put in force.
func TestOlderAndForkedIndexesAreIgnored(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3")
	c.publish("a1", testBundle(2, 1))
	old := c.store.items[indexKey]
	changed := testBundle(2, 1)
	changed.Teams[0].Limit = 9
	c.publish("a1", changed)
	c.runRounds(3)
	r, ctx := c.daemons["a1"], context.Background()
	for name, counted := range map[string]func() uint64{
		"older index from the store": func() uint64 {
			_ = r.applyStored(ctx, old.Value, c.clock.Now())
			return r.Counts().Older
		},
		"older index from a peer": func() uint64 {
			_ = r.applyReply("a2", wire.ConfigPullReply{Version: 1, Index: old.Value})
			return r.Counts().Older
		},
		"fork from the store": func() uint64 {
			if err := r.applyStored(ctx, c.fork(2, 2), c.clock.Now()); !errors.Is(err, ErrForked) {
				t.Errorf("got %v", err)
			}
			return r.Counts().Forked
		},
		"fork from a peer": func() uint64 {
			if err := r.applyReply("a2", wire.ConfigPullReply{Version: 2, Index: c.fork(2, 2)}); !errors.Is(err, ErrForked) {
				t.Errorf("got %v", err)
			}
			return r.Counts().Forked
		},
	} {
		if counted() == 0 || r.Current().Version() != 2 || r.Current().Limit("team-000") != 9 {
			t.Errorf("%s: counted %+v, version %d", name, r.Counts(), r.Current().Version())
		}
	}
}

// Guards against an index that was written to the store without the checks of a publish.
func TestIndexWithoutSignOffsInTheStoreIsRefused(t *testing.T) {
	for name, n := range map[string]int{"unsigned": 0, "too few signers": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a1", "a2", "a3")
			c.publish("a1", testBundle(2, 1))
			c.runRounds(3)
			item := c.store.items[indexKey]
			if _, err := c.store.CompareAndSwap(context.Background(), indexKey, item.Revision, c.fork(2, n), 0); err != nil {
				t.Fatal(err)
			}
			c.runRounds(2)
			if got := c.versions(); slices.Max(got) != 1 || c.daemons["a1"].Counts().Unsigned == 0 {
				t.Errorf("versions %v, counts %+v", got, c.daemons["a1"].Counts())
			}
		})
	}
}

// Guards against content in the store or in a peer's reply that differs from what the operators signed.
func TestTamperedContentIsRefused(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3")
	c.publish("a1", testBundle(2, 1))
	reply, err := c.daemons["a1"].HandlePull(context.Background(), wire.ConfigPullRequest{})
	if err != nil {
		t.Fatal(err)
	}
	reply.Segments[0].Value = bytes.Replace(reply.Segments[0].Value, []byte("0"), []byte("1"), 1)
	if err := c.daemons["a2"].applyReply("a1", reply); !errors.Is(err, bundle.ErrInvalidIndex) {
		t.Errorf("reply: got %v", err)
	}
	hash, _ := c.daemons["a1"].current.Load().index.Lookup("team/team-000")
	item := c.store.items[partPrefix+hash]
	item.Value = append(slices.Clone(item.Value), ' ')
	c.store.items[item.Key] = item
	if _, err := c.daemons["a2"].readIndex(context.Background()); !errors.Is(err, bundle.ErrInvalidSegment) {
		t.Errorf("store: got %v", err)
	}
	if c.daemons["a2"].Current().Version() != 0 || c.daemons["a2"].Counts().Malformed == 0 {
		t.Error("tampered content is in force or wasn't counted")
	}
}

// Guards against deltas with segments that the receiver already has, and against removed teams that stay in force.
func TestDeltaContainsOnlyChanges(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3")
	b := testBundle(110, 2)
	c.publish("a1", b)
	c.runRounds(2)
	granted, secret, err := bundle.GrantKey(b, "team-007", "new")
	if err != nil {
		t.Fatal(err)
	}
	c.publish("a1", granted)
	removed := granted
	removed.Teams = slices.Delete(slices.Clone(granted.Teams), 3, 4)
	c.publish("a1", removed)
	reply, err := c.daemons["a1"].HandlePull(context.Background(), wire.ConfigPullRequest{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	var changed []string
	for _, s := range reply.Segments {
		changed = append(changed, s.Name)
	}
	slices.Sort(changed)
	if !slices.Equal(changed, []string{"keys/team-007", "retired/team-003"}) || !slices.Equal(reply.Removed, []string{"keys/team-003", "team/team-003"}) {
		t.Errorf("segments %v, removed %v", changed, reply.Removed)
	}
	if err := c.daemons["a2"].applyReply("a1", reply); err != nil {
		t.Fatal(err)
	}
	current := c.daemons["a2"].Current()
	if _, ok := current.Team("team-003"); ok || current.Authorize("team-007", "closed", secret) != nil {
		t.Errorf("version %d misses a change", current.Version())
	}
	if region, ok := current.ClaimRegion("team-003"); !ok || region != "a" {
		t.Errorf("claim region %q of the removed team", region)
	}
}

// Guards against an older index that replaces a newer one because it was activated later.
func TestActivateIgnoresOlderIndex(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3")
	c.publish("a1", testBundle(2, 1))
	r := c.daemons["a1"]
	old := r.current.Load()
	c.publish("a1", testBundle(3, 1))
	if err := r.activate(old.index, old.segments); err != nil || r.Current().Version() != 2 {
		t.Errorf("version %d, %v", r.Current().Version(), err)
	}
}

// Guards against reads of the store by every daemon: the load that the store can take grows more slowly than the fleet.
func TestOneDaemonReadsTheStore(t *testing.T) {
	c := newCluster(t, sixMembers...)
	c.publish("a1", testBundle(2, 1))
	c.runRounds(6)
	clear(c.store.calls)
	c.runRounds(10)
	if got := c.store.calls; got["watch"] != 10 || got["get"] != 0 {
		t.Errorf("calls in ten rounds: %v", got)
	}
}

// Guards against every daemon of a region pulling from another region as soon as it learns of a newer version there.
func TestCatchUpAcrossRegionsIsDelayed(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, sixMembers...)
	c.publish("a1", testBundle(2, 1))
	c.runRounds(4)
	c.publish("a1", testBundle(3, 1))
	r := c.daemons["b2"]
	r.queryVersions(ctx, []ident.MemberID{"a1"})
	if r.catchUp(ctx, ""); r.Current().Version() != 1 {
		t.Error("pulled from the other region at once")
	}
	c.clock.Advance(3 * testInterval)
	if r.catchUp(ctx, ""); r.Current().Version() != 2 {
		t.Error("not pulled from the other region after three read intervals")
	}
}

// Guards against callbacks that miss the newest version or get versions out of order.
func TestOnChangeReportsIncreasingVersions(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3")
	var seen []ident.Version
	c.daemons["a2"].OnChange(func(b *bundle.Compiled) { seen = append(seen, b.Version()) })
	b := testBundle(2, 1)
	for i := range 5 {
		b.Teams = slices.Clone(b.Teams)
		b.Teams[0].Limit = i
		c.publish("a1", b)
		c.runRounds(2)
	}
	if !slices.IsSorted(seen) || len(slices.Compact(seen)) != len(seen) || seen[len(seen)-1] != 5 {
		t.Errorf("callbacks got versions %v", seen)
	}
}

// Guards against a region that gets no changes because no other daemon takes over when its reader stops or loses the store.
func TestNextDaemonTakesOverAsReader(t *testing.T) {
	faults := map[string]func(*cluster){
		"reader stopped":        func(c *cluster) { c.setCut(true, []ident.MemberID{"a1"}, append(c.names, "store")) },
		"reader lost the store": func(c *cluster) { c.setCut(true, []ident.MemberID{"a1"}, []ident.MemberID{"store"}) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, sixMembers...)
			c.publish("a3", testBundle(2, 1))
			c.runRounds(4)
			fault(c)
			changed := testBundle(2, 1)
			changed.Teams[0].Limit = 9
			c.publish("a4", changed)
			// a4 stops right after the write, so only the store has the change.
			c.setCut(true, []ident.MemberID{"a4"}, append(c.names, "store"))
			c.runRounds(5)
			for _, name := range []ident.MemberID{"a2", "a3", "b1", "b2"} {
				if got := c.daemons[name].Current().Version(); got != 2 {
					t.Errorf("%s is at version %d", name, got)
				}
			}
		})
	}
}

// Guards against secrets and key hashes in the state dump.
func TestDumpContainsNoKeys(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3")
	b, secret, err := bundle.GrantKey(testBundle(3, 2), "team-001", "new")
	if err != nil {
		t.Fatal(err)
	}
	c.publish("a1", b)
	c.runRounds(2)
	dump, err := json.Marshal(c.daemons["a1"].Dump())
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{secret, bundle.HashSecret(secret), b.Teams[0].Keys[0].Hash} {
		if bytes.Contains(dump, []byte(part)) {
			t.Error("the dump contains a secret or a key hash")
		}
	}
	if !bytes.Contains(dump, []byte(`"fresh":true`)) || !bytes.Contains(dump, []byte(`"teams":3`)) {
		t.Errorf("dump %s", dump)
	}
}
