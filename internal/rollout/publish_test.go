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

// fork returns a root with the given version and with content that was never published, signed by the first n operators.
func (c *cluster) fork(version ident.Version, n int) []byte {
	segments := bundle.Split(testBundle(7, 1))
	index := bundle.NewIndex(version, version-1, segments)
	index.Writer, index.Nonce = "x1", "forked"
	for _, key := range c.signers[:n] {
		index.SignOffs = append(index.SignOffs, bundle.Sign(key, index.Digest()))
	}
	return index.Encode()
}

// Guards against a publish that should be refused but is accepted, and against writes to the store before the refusal.
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
		"same signer twice": {
			base, 1, func(c *cluster, d bundle.Digest) []bundle.SignOff {
				return []bundle.SignOff{bundle.Sign(c.signers[0], d), bundle.Sign(c.signers[0], d)}
			}, bundle.ErrTooFewSignOffs,
		},
		"unknown signer": {
			base, 1, func(c *cluster, d bundle.Digest) []bundle.SignOff {
				return []bundle.SignOff{bundle.Sign(c.signers[0], d), bundle.Sign(c.signers[2], d)}
			}, bundle.ErrTooFewSignOffs,
		},
		"signatures of another digest": {
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
		"older version":   {base, 0, nil, &ConflictError{}},
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

// Guards against two concurrent publishes whose operators both believe that their change is in force.
func TestConcurrentPublishReturnsConflict(t *testing.T) {
	cases := map[string]bool{"other publish before the read": false, "other publish between read and write": true}
	for name, betweenReadAndWrite := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, sixMembers...)
			c.publish("a1", testBundle(2, 1))
			c.runRounds(3)
			first, second := testBundle(3, 1), testBundle(4, 1)
			signed := c.sign(c.daemons["a2"], second, 1, 2)
			if betweenReadAndWrite {
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
				t.Errorf("second publish returned %v, outcome %s", err, receipt.Outcome)
			}
			c.runRounds(4)
			if got := len(c.daemons["b2"].Current().Teams()); got != 3 {
				t.Errorf("%d teams in force, expected the 3 of the first publish", got)
			}
		})
	}
}

// Guards against a publish whose write got no reply and whose reported outcome differs from what the store did.
func TestLostReplyIsResolved(t *testing.T) {
	type swaps = func(c *cluster, n int) (before, after error)
	cases := map[string]struct {
		swap    swaps
		outcome Outcome
		version ident.Version // version in force at the end
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
		"store unavailable": {func(*cluster, int) (error, error) { return platform.ErrUnavailable, nil }, Refused, 1},
		"write had no effect and another publish came first": {func(c *cluster, n int) (error, error) {
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

// Guards against a nonce that is lost after later publishes, and against a delayed write that takes effect after Resolve returned
// Refused.
func TestResolveAfterLaterPublishes(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a1", "a2", "a3")
	published := c.publish("a1", testBundle(1, 1))
	b := testBundle(2, 1)
	for i := range bundle.RecentNonces {
		b.Teams = slices.Clone(b.Teams)
		b.Teams[0].Limit = i
		c.publish("a2", b)
	}
	if outcome, err := c.daemons["a3"].Resolve(ctx, published); err != nil || outcome == Refused {
		t.Errorf("publish followed by others: %s, %v", outcome, err)
	}
	neverWritten := published
	neverWritten.Nonce = "never-written"
	if outcome, err := c.daemons["a3"].Resolve(ctx, neverWritten); err != nil || outcome != Refused {
		t.Errorf("publish that was never written: %s, %v", outcome, err)
	}
	b.Teams = slices.Clone(b.Teams)
	b.Teams[0].Limit = 99
	c.publish("a2", b)
	if outcome, err := c.daemons["a3"].Resolve(ctx, published); !errors.Is(err, ErrUnknownOutcome) || outcome != Pending {
		t.Errorf("publish older than the recent nonces: %s, %v", outcome, err)
	}
	next := Receipt{Version: c.daemons["a2"].Current().Version() + 1, Nonce: "under-way", Writer: "a1"}
	delayed := c.store.items[indexKey].Revision
	if outcome, err := c.daemons["a3"].Resolve(ctx, next); err != nil || outcome != Refused {
		t.Errorf("write still in flight: %s, %v", outcome, err)
	}
	if _, err := c.store.CompareAndSwap(ctx, indexKey, delayed, []byte("{}"), 0); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("delayed write returned %v", err)
	}
}

// Guards against deletion of parts that an index or a publish in progress refers to, and against garbage that is never deleted.
func TestCollectKeepsReferencedParts(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a1", "a2", "a3")
	first := testBundle(3, 1)
	c.publish("a1", first)
	second := testBundle(3, 1)
	second.Teams[0].Limit = 9
	c.publish("a1", second)
	c.daemons["a2"].collect(ctx) // It isn't the collector, so it must not even list the parts.
	c.daemons["a1"].collect(ctx)
	before := len(c.store.items)
	// The publish restores the first content, whose parts the sweep found unreferenced.
	c.publish("a2", first)
	c.daemons["a1"].collect(ctx)
	if len(c.store.items) < before {
		t.Error("referenced parts were deleted")
	}
	c.daemons["a1"].collect(ctx)
	used := bundle.PageCount + len(c.daemons["a2"].current.Load().index.Entries)
	if got := len(c.store.items) - 1; got > used || c.store.calls["list"] != 3 || c.daemons["a1"].Counts().PartsCollected == 0 {
		t.Errorf("%d parts are left, at most %d are referenced, %d lists", got, used, c.store.calls["list"])
	}
	c.start("a3")
	if _, err := c.daemons["a3"].readIndex(ctx); err != nil {
		t.Errorf("a new daemon can't read the index: %v", err)
	}
}

// Guards against a sweep that deletes the parts of a publish after they were written and before the index refers to them.
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
