package rollout

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// fork returns an index root with the version and content that was never published, signed by n operators.
func (c *cluster) fork(version ident.Version, n int) []byte {
	segments := bundle.Split(testBundle(7, 1))
	index := bundle.NewIndex(version, version-1, segments)
	index.Writer, index.Nonce = "x1", "forked"
	for _, key := range c.signers[:n] {
		index.SignOffs = append(index.SignOffs, bundle.Sign(key, index.Digest()))
	}
	return index.Encode()
}

// Guards against bundles that may not be published, and against writes that precede the refusal.
func TestPublishRejectsInvalidRequests(t *testing.T) {
	base := testBundle(3, 1)
	edit := func(change func(*bundle.Bundle)) bundle.Bundle {
		b := base
		b.Teams = slices.Clone(base.Teams)
		change(&b)
		return b
	}
	cases := map[string]struct {
		bundle bundle.Bundle
		expect ident.Version
		signed func(*cluster, bundle.Digest) []bundle.SignOff
		want   error
	}{
		"unsigned": {
			base, 1, func(*cluster, bundle.Digest) []bundle.SignOff { return nil }, bundle.ErrTooFewSignOffs,
		},
		"one signer of two": {
			base, 1, func(c *cluster, d bundle.Digest) []bundle.SignOff {
				return []bundle.SignOff{bundle.Sign(c.signers[0], d)}
			}, bundle.ErrTooFewSignOffs,
		},
		"one signer twice": {
			base, 1, func(c *cluster, d bundle.Digest) []bundle.SignOff {
				return []bundle.SignOff{bundle.Sign(c.signers[0], d), bundle.Sign(c.signers[0], d)}
			}, bundle.ErrTooFewSignOffs,
		},
		"unknown signer": {
			base, 1, func(c *cluster, d bundle.Digest) []bundle.SignOff {
				return []bundle.SignOff{bundle.Sign(c.signers[0], d), bundle.Sign(c.signers[2], d)}
			}, bundle.ErrTooFewSignOffs,
		},
		"signed for another content": {
			base, 1, func(c *cluster, d bundle.Digest) []bundle.SignOff {
				d[0]++
				return []bundle.SignOff{bundle.Sign(c.signers[0], d), bundle.Sign(c.signers[1], d)}
			}, bundle.ErrInvalidSignature,
		},
		"claim region changed": {
			edit(func(b *bundle.Bundle) { b.Teams[1].ClaimRegion = "b" }), 1, nil, bundle.ErrClaimRegionChanged,
		},
		"too many teams":  {testBundle(bundle.MaxTeams+1, 0), 1, nil, bundle.Problems(nil)},
		"negative limit":  {edit(func(b *bundle.Bundle) { b.Teams[1].Limit = -1 }), 1, nil, bundle.Problems(nil)},
		"stale version":   {base, 0, nil, &ConflictError{}},
		"future version":  {base, 7, nil, &ConflictError{}},
		"id of 200 bytes": {edit(func(b *bundle.Bundle) { b.Teams[1].ID = ident.TeamID(strings.Repeat("x", 200)) }), 1, nil, bundle.Problems(nil)},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a1", "a2", "a3")
			c.publish("a1", base)
			r, writes := c.daemons["a1"], c.store.calls["swap"]
			var signOffs []bundle.SignOff
			if test.signed != nil {
				index := bundle.NewIndex(2, 1, bundle.Split(test.bundle))
				signOffs = test.signed(c, index.Digest())
			}
			receipt, err := r.Publish(context.Background(), test.bundle, test.expect, signOffs)
			var problems bundle.Problems
			var conflict *ConflictError
			switch test.want.(type) {
			case bundle.Problems:
				if !errors.As(err, &problems) {
					t.Errorf("got %v", err)
				}
			case *ConflictError:
				if !errors.As(err, &conflict) || conflict.Version != 1 || conflict.Writer != "a1" || len(conflict.Signers) != 2 {
					t.Errorf("got %v", err)
				}
			default:
				if !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
			}
			if receipt.Outcome != Refused || r.Current().Version() != 1 || c.store.calls["swap"] != writes {
				t.Errorf("outcome %s, version %d, %d writes", receipt.Outcome, r.Current().Version(), c.store.calls["swap"]-writes)
			}
		})
	}
}

// Guards against two operators both believing that their change is in force.
func TestConcurrentPublishReturnsConflict(t *testing.T) {
	cases := map[string]bool{"before the publish": false, "between read and swap": true}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, sixMembers...)
			c.publish("a1", testBundle(2, 1))
			c.runRounds(3)
			first, second := testBundle(3, 1), testBundle(4, 1)
			signed := c.sign(c.daemons["a2"], second, 1, 2)
			if late {
				c.store.swapFault = func(key string) (error, error) {
					if key == indexKey {
						c.store.swapFault = nil
						c.publish("a3", first)
					}
					return nil, nil
				}
			} else {
				c.publish("a3", first)
			}
			receipt, err := c.daemons["a2"].Publish(context.Background(), second, 1, signed)
			var conflict *ConflictError
			if !errors.As(err, &conflict) || conflict.Version != 2 || conflict.Writer != "a3" || receipt.Outcome != Refused {
				t.Errorf("loser got %v, outcome %s", err, receipt.Outcome)
			}
			c.runRounds(4)
			if got := len(c.daemons["b2"].Current().Teams()); got != 3 {
				t.Errorf("%d teams in force, not those of the winner", got)
			}
		})
	}
}

// Guards against a lost reply that is reported as the opposite of what the store did.
func TestLostReplyIsResolved(t *testing.T) {
	type swaps = func(c *cluster, n int) (before, after error)
	cases := map[string]struct {
		swap    swaps
		outcome Outcome
		version ident.Version // in force in the end
	}{
		"write took effect": {func(_ *cluster, n int) (error, error) {
			if n == 1 {
				return nil, platform.ErrUnknownOutcome
			}
			return nil, nil
		}, Pending, 2},
		"write had no effect": {func(_ *cluster, n int) (error, error) {
			if n == 1 {
				return platform.ErrUnknownOutcome, nil
			}
			return nil, nil
		}, Pending, 2},
		"store down, no effect": {func(*cluster, int) (error, error) { return platform.ErrUnavailable, nil }, Refused, 1},
		"no effect and another won": {func(c *cluster, n int) (error, error) {
			if n == 1 {
				c.publish("a3", testBundle(5, 1))
				return platform.ErrUnknownOutcome, nil
			}
			return nil, nil
		}, Refused, 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, sixMembers...)
			c.publish("a1", testBundle(2, 1))
			b := testBundle(3, 1)
			signed := c.sign(c.daemons["a2"], b, 1, 2)
			n := 0
			c.store.swapFault = func(key string) (error, error) {
				if key != indexKey {
					return nil, nil
				}
				n++
				return test.swap(c, n)
			}
			receipt, err := c.daemons["a2"].Publish(context.Background(), b, 1, signed)
			if receipt.Outcome != test.outcome || (err == nil) != (test.outcome == Pending) {
				t.Errorf("outcome %s, %v", receipt.Outcome, err)
			}
			c.store.swapFault = nil
			c.runRounds(4)
			if got := c.versions(); slices.Min(got) != test.version || slices.Max(got) != test.version {
				t.Errorf("versions %v", got)
			}
		})
	}
}

// Guards against a nonce that is lost under later publishes, and against a delayed write after Resolve said refused.
func TestResolveAfterLaterPublishes(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a1", "a2", "a3")
	mine := c.publish("a1", testBundle(1, 1))
	b := testBundle(2, 1)
	for i := range bundle.RecentNonces {
		b.Teams = slices.Clone(b.Teams)
		b.Teams[0].Limit = i
		c.publish("a2", b)
	}
	if outcome, err := c.daemons["a3"].Resolve(ctx, mine); err != nil || outcome == Refused {
		t.Errorf("own write: %s, %v", outcome, err)
	}
	other := mine
	other.Nonce = "never-written"
	if outcome, err := c.daemons["a3"].Resolve(ctx, other); err != nil || outcome != Refused {
		t.Errorf("write that lost: %s, %v", outcome, err)
	}
	b.Teams = slices.Clone(b.Teams)
	b.Teams[0].Limit = 99
	c.publish("a2", b)
	if outcome, err := c.daemons["a3"].Resolve(ctx, mine); !errors.Is(err, ErrOutcomeUnknown) || outcome != Pending {
		t.Errorf("beyond the record: %s, %v", outcome, err)
	}
	next := Receipt{Version: c.daemons["a2"].Current().Version() + 1, Nonce: "under-way", Writer: "a1"}
	delayed := c.store.items[indexKey].Revision
	if outcome, err := c.daemons["a3"].Resolve(ctx, next); err != nil || outcome != Refused {
		t.Errorf("write under way: %s, %v", outcome, err)
	}
	if _, err := c.store.CompareAndSwap(ctx, indexKey, delayed, []byte("{}"), 0); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("the delayed write got %v", err)
	}
}

// Guards against parts that are deleted while an index or a publish in progress needs them, and against garbage.
func TestCollectKeepsReferencedParts(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a1", "a2", "a3")
	first := testBundle(3, 1)
	c.publish("a1", first)
	second := testBundle(3, 1)
	second.Teams[0].Limit = 9
	c.publish("a1", second)
	c.daemons["a2"].collect(ctx) // Not the reader: it must not even list.
	c.daemons["a1"].collect(ctx)
	before := len(c.store.items)
	// The publish goes back to the first content, whose parts the sweep has seen unreferenced.
	c.publish("a2", first)
	c.daemons["a1"].collect(ctx)
	if len(c.store.items) < before {
		t.Error("parts in use were deleted")
	}
	c.daemons["a1"].collect(ctx)
	used := bundle.PageCount + len(c.daemons["a2"].current.Load().index.Entries)
	if got := len(c.store.items) - 1; got > used || c.store.calls["list"] != 3 || c.daemons["a1"].Counts().PartsCollected == 0 {
		t.Errorf("%d parts are left, %d in use at most, %d lists", got, used, c.store.calls["list"])
	}
	c.start("a3")
	if _, err := c.daemons["a3"].readIndex(ctx); err != nil {
		t.Errorf("a new daemon can't load: %v", err)
	}
}

// Guards against a sweep that deletes the parts of a publish between their write and the swap of the index.
func TestCollectDuringPublish(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a1", "a2", "a3")
	first, second := testBundle(3, 1), testBundle(3, 1)
	second.Teams[0].Limit = 9
	c.publish("a1", first)
	c.publish("a1", second)
	c.daemons["a1"].collect(ctx)
	c.store.swapFault = func(key string) (error, error) {
		if key == indexKey {
			c.daemons["a1"].collect(ctx)
		}
		return nil, nil
	}
	c.publish("a2", first)
	c.start("a3")
	if _, err := c.daemons["a3"].readIndex(ctx); err != nil || c.daemons["a3"].Current().Version() != 3 {
		t.Errorf("a new daemon is at version %d: %v", c.daemons["a3"].Current().Version(), err)
	}
}
