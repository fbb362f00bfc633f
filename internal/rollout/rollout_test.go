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

var six = []ident.MemberID{"a1", "a2", "a3", "a4", "b1", "b2"}

// Guards against a change that doesn't reach every daemon, or that crosses the region link more than once.
func TestPublishReachesEveryDaemon(t *testing.T) {
	c := newCell(t, six...)
	receipt := c.publish("a3", sample(6, 2))
	if receipt.Version != 1 || receipt.Outcome != Pending {
		t.Fatalf("receipt %+v", receipt)
	}
	c.round(4)
	if got := c.versions(); slices.Min(got) != 1 {
		t.Fatalf("versions %v after four rounds", got)
	}
	if got := c.fresh(); len(got) != len(six) {
		t.Errorf("fresh are %v", got)
	}
	if accepted, statuses, err := c.nodes["a2"].Accepted(context.Background(), 1); err != nil || !accepted {
		t.Errorf("not accepted: %+v, %v", statuses, err)
	}
	c.crossed = 0
	changed := sample(6, 2)
	for i := range 10 {
		changed.Teams = slices.Clone(changed.Teams)
		changed.Teams[0].Limit = 16 - i
		c.publish(six[i%len(six)], changed)
		c.round(4)
		if got := c.versions(); slices.Min(got) != ident.Version(i+2) {
			t.Fatalf("versions %v after four rounds", got)
		}
	}
	if c.crossed > 10 {
		t.Errorf("%d copies of ten changes crossed the region link", c.crossed)
	}
	if got := c.nodes["b1"].Current().Limit("team-000"); got != 7 {
		t.Errorf("limit is %d on b1", got)
	}
}

// Guards against a daemon in a burst of changes that falls behind by more than the bound of 12 s.
func TestBurstIsInForceEverywhereInTime(t *testing.T) {
	c := newCell(t, six...)
	b := sample(6, 1)
	for i := range 50 { // 5 a second for 10 s
		b.Teams = slices.Clone(b.Teams)
		b.Teams[i%6].Limit = i
		c.publish(six[i%len(six)], b)
		if i%5 == 4 {
			c.round(1)
		}
	}
	c.round(4)
	if got := c.versions(); slices.Min(got) != 50 {
		t.Errorf("versions %v four read intervals after the burst", got)
	}
}

// Guards against a restarted daemon that brings an old version back into force or confirms it to others.
func TestRestartNeverReverts(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3", "a4", "a5")
	c.publish("a1", sample(2, 1))
	c.round(4)
	left, right := []ident.MemberID{"a1", "a2", "a3"}, []ident.MemberID{"a4", "a5"}
	c.setCut(true, left, right)
	c.setCut(true, right, []ident.MemberID{"store"})
	changed := sample(2, 1)
	changed.Teams[0].Limit = 9
	c.publish("a1", changed)
	c.round(8)
	if got := c.versions(); !slices.Equal(got, []ident.Version{2, 2, 2, 1, 1}) {
		t.Fatalf("versions %v", got)
	}
	// a3 restarts on the other side, where two daemons hold the old version. With a3 they would be a majority.
	c.setCut(false, left, right)
	c.setCut(true, []ident.MemberID{"a1", "a2"}, []ident.MemberID{"a3", "a4", "a5"})
	c.setCut(true, []ident.MemberID{"a3"}, []ident.MemberID{"store"})
	c.start("a3")
	c.round(8)
	for _, name := range []ident.MemberID{"a3", "a4", "a5"} {
		if c.nodes[name].Fresh() {
			t.Errorf("%s is fresh on version %d", name, c.nodes[name].Current().Version())
		}
	}
	c.setCut(false, c.order, append(c.order, "store"))
	c.round(8)
	if got := c.versions(); slices.Min(got) != 2 || len(c.fresh()) != 5 {
		t.Errorf("versions %v, fresh %v after the link returned", got, c.fresh())
	}
}

// Guards against older indexes and forks, from the store or a peer, being put in force.
func TestOlderAndForkedIndexesAreIgnored(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	c.publish("a1", sample(2, 1))
	old := c.store.items[indexKey]
	changed := sample(2, 1)
	changed.Teams[0].Limit = 9
	c.publish("a1", changed)
	c.round(3)
	r, ctx := c.nodes["a1"], context.Background()
	for name, seen := range map[string]func() uint64{
		"store": func() uint64 {
			_ = r.applyStored(ctx, old.Value, c.clock.Now())
			return r.Counts().Older
		},
		"peer": func() uint64 {
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
		if seen() == 0 || r.Current().Version() != 2 || r.Current().Limit("team-000") != 9 {
			t.Errorf("%s: counted %+v, version %d", name, r.Counts(), r.Current().Version())
		}
	}
}

// Guards against an index in the store that bypassed the publish checks.
func TestIndexWithoutSignOffsInTheStoreIsRefused(t *testing.T) {
	for name, n := range map[string]int{"unsigned": 0, "too few signers": 1} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, "a1", "a2", "a3")
			c.publish("a1", sample(2, 1))
			c.round(3)
			item := c.store.items[indexKey]
			if _, err := c.store.CompareAndSwap(context.Background(), indexKey, item.Revision, c.fork(2, n), 0); err != nil {
				t.Fatal(err)
			}
			c.round(2)
			if got := c.versions(); slices.Max(got) != 1 || c.nodes["a1"].Counts().Unsigned == 0 {
				t.Errorf("versions %v, counts %+v", got, c.nodes["a1"].Counts())
			}
		})
	}
}

// Guards against content in the store or in a peer's reply that differs from what the operators signed.
func TestTamperedContentIsRefused(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	c.publish("a1", sample(2, 1))
	reply, err := c.nodes["a1"].HandlePull(context.Background(), wire.ConfigPullRequest{})
	if err != nil {
		t.Fatal(err)
	}
	reply.Segments[0].Value = bytes.Replace(reply.Segments[0].Value, []byte("0"), []byte("1"), 1)
	if err := c.nodes["a2"].applyReply("a1", reply); !errors.Is(err, bundle.ErrIndex) {
		t.Errorf("reply: got %v", err)
	}
	hash, _ := c.nodes["a1"].held.Load().index.Lookup("team/team-000")
	item := c.store.items[partPrefix+hash]
	item.Value = append(slices.Clone(item.Value), ' ')
	c.store.items[item.Key] = item
	if _, err := c.nodes["a2"].readIndex(context.Background()); !errors.Is(err, bundle.ErrSegment) {
		t.Errorf("store: got %v", err)
	}
	if c.nodes["a2"].Current().Version() != 0 || c.nodes["a2"].Counts().Malformed == 0 {
		t.Error("tampered content is in force or wasn't counted")
	}
}

// Guards against deltas that carry what the receiver already holds, and against removed teams that stay.
func TestDeltaHoldsWhatChanged(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	b := sample(110, 2)
	c.publish("a1", b)
	c.round(2)
	granted, secret, err := bundle.GrantKey(b, "team-007", "new")
	if err != nil {
		t.Fatal(err)
	}
	c.publish("a1", granted)
	removed := granted
	removed.Teams = slices.Delete(slices.Clone(granted.Teams), 3, 4)
	c.publish("a1", removed)
	reply, err := c.nodes["a1"].HandlePull(context.Background(), wire.ConfigPullRequest{Version: 1})
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
	if err := c.nodes["a2"].applyReply("a1", reply); err != nil {
		t.Fatal(err)
	}
	current := c.nodes["a2"].Current()
	if _, ok := current.Team("team-003"); ok || current.Authorize("team-007", "closed", secret) != nil {
		t.Errorf("version %d lacks a change", current.Version())
	}
	if region, ok := current.ClaimRegion("team-003"); !ok || region != "a" {
		t.Errorf("claim region %q of the removed team", region)
	}
}

// Guards against an adoption that loses a race with a newer one and then replaces it.
func TestAdoptKeepsTheNewest(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	c.publish("a1", sample(2, 1))
	r := c.nodes["a1"]
	old := r.held.Load()
	c.publish("a1", sample(3, 1))
	if err := r.adopt(old.index, old.segments); err != nil || r.Current().Version() != 2 {
		t.Errorf("version %d, %v", r.Current().Version(), err)
	}
}

// Guards against every daemon reading the store, whose rates grow more slowly than the fleet.
func TestOneDaemonReadsTheStore(t *testing.T) {
	c := newCell(t, six...)
	c.publish("a1", sample(2, 1))
	c.round(6)
	clear(c.store.calls)
	c.round(10)
	if got := c.store.calls; got["watch"] != 10 || got["get"] != 0 {
		t.Errorf("calls in ten rounds: %v", got)
	}
}

// Guards against every daemon of a region pulling over the link as soon as it hears of a newer version there.
func TestCatchUpOverTheLinkWaits(t *testing.T) {
	ctx := context.Background()
	c := newCell(t, six...)
	c.publish("a1", sample(2, 1))
	c.round(4)
	c.publish("a1", sample(3, 1))
	r := c.nodes["b2"]
	r.ask(ctx, []ident.MemberID{"a1"})
	if r.catchUp(ctx, ""); r.Current().Version() != 1 {
		t.Error("pulled over the link at once")
	}
	c.clock.Advance(3 * testInterval)
	if r.catchUp(ctx, ""); r.Current().Version() != 2 {
		t.Error("not pulled after its region's reader had time to")
	}
}

// Guards against callbacks that miss the newest version or see versions out of order.
func TestOnChangeSeesGrowingVersions(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	var seen []ident.Version
	c.nodes["a2"].OnChange(func(b *bundle.Compiled) { seen = append(seen, b.Version()) })
	b := sample(2, 1)
	for i := range 5 {
		b.Teams = slices.Clone(b.Teams)
		b.Teams[0].Limit = i
		c.publish("a1", b)
		c.round(2)
	}
	if !slices.IsSorted(seen) || len(slices.Compact(seen)) != len(seen) || seen[len(seen)-1] != 5 {
		t.Errorf("callbacks saw %v", seen)
	}
}

// Guards against a second daemon of the region that doesn't take over when the reader stops or loses the store.
func TestNextDaemonTakesOverAsReader(t *testing.T) {
	faults := map[string]func(*cell){
		"reader is dead":      func(c *cell) { c.setCut(true, []ident.MemberID{"a1"}, append(c.order, "store")) },
		"reader has no store": func(c *cell) { c.setCut(true, []ident.MemberID{"a1"}, []ident.MemberID{"store"}) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, six...)
			c.publish("a3", sample(2, 1))
			c.round(4)
			fault(c)
			changed := sample(2, 1)
			changed.Teams[0].Limit = 9
			c.publish("a4", changed)
			// a4 stops right after the write, so only the store has the change.
			c.setCut(true, []ident.MemberID{"a4"}, append(c.order, "store"))
			c.round(5)
			for _, name := range []ident.MemberID{"a2", "a3", "b1", "b2"} {
				if got := c.nodes[name].Current().Version(); got != 2 {
					t.Errorf("%s is at version %d", name, got)
				}
			}
		})
	}
}

// Guards against secrets and key hashes in the state dump.
func TestDumpHoldsNoKeys(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	b, secret, err := bundle.GrantKey(sample(3, 2), "team-001", "new")
	if err != nil {
		t.Fatal(err)
	}
	c.publish("a1", b)
	c.round(2)
	dump, err := json.Marshal(c.nodes["a1"].Dump())
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{secret, bundle.HashSecret(secret), b.Teams[0].Keys[0].Hash} {
		if bytes.Contains(dump, []byte(part)) {
			t.Error("the dump holds a secret or a key hash")
		}
	}
	if !bytes.Contains(dump, []byte(`"fresh":true`)) || !bytes.Contains(dump, []byte(`"teams":3`)) {
		t.Errorf("dump %s", dump)
	}
}
