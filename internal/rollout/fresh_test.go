package rollout

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/bundle"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/internal/platform"
	"github.com/rosemaryspoke/rosemaryspoke/internal/standin/clock"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against a store outage that blocks work that needs a key although a majority confirms the version.
func TestStoreOutageStopsNothing(t *testing.T) {
	c := newCluster(t, sixMembers...)
	c.publish("a1", testBundle(2, 1))
	c.runRounds(4)
	c.setCut(true, c.names, []ident.MemberID{"store"})
	for i := range 60 {
		c.runRounds(1)
		if got := c.freshDaemons(); len(got) != len(sixMembers) {
			t.Fatalf("round %d of the outage: only %v are fresh", i, got)
		}
	}
	receipt, err := c.daemons["a2"].Publish(context.Background(), testBundle(3, 1), 1, nil)
	if err == nil || receipt.Outcome != Refused {
		t.Errorf("publish during the outage: %s, %v", receipt.Outcome, err)
	}
}

// Guards against a withdrawn key that is still accepted in a region without a link after the publish was accepted.
func TestLinkLostAndKeyWithdrawn(t *testing.T) {
	c := newCluster(t, sixMembers...)
	b, secret, err := bundle.GrantKey(testBundle(2, 1), "team-000", "leaked")
	if err != nil {
		t.Fatal(err)
	}
	c.publish("a1", b)
	c.runRounds(4)
	c.setCut(true, []ident.MemberID{"b1", "b2"}, []ident.MemberID{"a1", "a2", "a3", "a4", "store"})
	withdrawn, err := bundle.WithdrawKey(b, "team-000", "leaked")
	if err != nil {
		t.Fatal(err)
	}
	c.publish("a2", withdrawn)
	admitted := func(name ident.MemberID) bool {
		r := c.daemons[name]
		return r.Fresh() && r.Current().Authorize("team-000", "closed", secret) == nil
	}
	acceptedAfter := -1
	for i := range 12 {
		c.runRounds(1)
		accepted, _, err := c.daemons["a2"].Accepted(context.Background(), 2)
		if err != nil {
			t.Fatal(err)
		}
		if accepted && acceptedAfter < 0 {
			acceptedAfter = i
		}
		for _, name := range c.names {
			if accepted && admitted(name) {
				t.Errorf("round %d: version accepted, but %s admits the withdrawn key", i, name)
			}
		}
	}
	if acceptedAfter < 4 || acceptedAfter > 9 {
		t.Errorf("accepted in round %d, expected soon after the freshness bound of %s", acceptedAfter, testFreshness)
	}
	if got := c.freshDaemons(); !slices.Equal(got, []ident.MemberID{"a1", "a2", "a3", "a4"}) {
		t.Errorf("%v are fresh", got)
	}
	if err := c.daemons["b1"].Current().Authorize("team-000", "open", ""); err != nil {
		t.Errorf("the open queue refused work: %v", err)
	}
	c.setCut(false, c.names, append(c.names, "store"))
	c.runRounds(8)
	if got := c.freshDaemons(); len(got) != len(sixMembers) || slices.Min(c.versions()) != 2 {
		t.Errorf("after the link was restored: fresh %v, versions %v", got, c.versions())
	}
}

// Guards against a partition that can reach the store but has no majority and is therefore no longer fresh.
func TestSideWithStoreStaysFreshWithoutMajority(t *testing.T) {
	c := newCluster(t, "a1", "a2", "b1", "b2")
	c.publish("a1", testBundle(2, 1))
	c.runRounds(4)
	c.setCut(true, []ident.MemberID{"b1", "b2"}, []ident.MemberID{"a1", "a2", "store"})
	c.runRounds(10)
	if got := c.freshDaemons(); !slices.Equal(got, []ident.MemberID{"a1", "a2"}) {
		t.Errorf("%v are fresh", got)
	}
}

// Guards against a publish that is reported as accepted while a member that may still be fresh hasn't acknowledged it.
func TestAcceptedWaitsForSilentMembers(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, "a1", "a2", "a3", "a4", "a5")
	c.publish("a1", testBundle(2, 1))
	c.runRounds(4)
	c.setCut(true, []ident.MemberID{"a5"}, append(c.names, "store"))
	changed := testBundle(2, 1)
	changed.Teams[0].Limit = 9
	c.publish("a1", changed)
	accepted := func() bool {
		ok, _, err := c.daemons["a1"].Accepted(ctx, 2)
		if err != nil {
			t.Fatal(err)
		}
		return ok
	}
	if accepted() {
		t.Error("accepted without a majority")
	}
	c.runRounds(3)
	if accepted() {
		t.Error("accepted as soon as a majority has the version")
	}
	c.clock.Advance(testFreshness)
	if accepted() {
		t.Error("accepted without an allowance for clock drift")
	}
	c.clock.Advance(time.Second)
	if !accepted() {
		t.Error("not accepted after the freshness bound and the drift allowance")
	}
	// The member answers again, with the old version: it is no longer silent, but hasn't acknowledged the new version.
	c.daemons["a5"].config.Pull = func(context.Context, ident.MemberID, wire.ConfigPullRequest) (wire.ConfigPullReply, error) {
		return wire.ConfigPullReply{}, errCut
	}
	c.setCut(false, []ident.MemberID{"a5"}, c.names)
	if accepted() {
		t.Error("accepted while a reachable member holds an older version")
	}
}

// Guards against a confirmation that counts from the time of the reply, although the reply may describe an earlier state.
func TestFreshnessCountsFromBeforeTheRequest(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3")
	c.publish("a1", testBundle(2, 1))
	c.runRounds(3)
	c.setCut(true, c.names, []ident.MemberID{"store"})
	r := c.daemons["a2"]
	c.clock.Advance(testFreshness)
	if r.Fresh() {
		t.Fatal("fresh after the freshness bound without a confirmation")
	}
	queryVersion := r.config.Version
	r.config.Version = func(ctx context.Context, to ident.MemberID, request wire.ConfigVersionRequest) (wire.ConfigVersionReply, error) {
		reply, err := queryVersion(ctx, to, request)
		c.clock.Advance(testFreshness) // The reply takes as long as the freshness bound.
		return reply, err
	}
	r.confirm(context.Background())
	if r.Fresh() {
		t.Error("fresh by a reply to a request that was sent a whole freshness bound ago")
	}
}

// slowStore delays the reply to a watch by the freshness bound.
type slowStore struct {
	platform.Store
	clock *clock.Clock
}

func (s slowStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
	events, next, err := s.Store.Watch(ctx, prefix, after, wait)
	s.clock.Advance(testFreshness)
	return events, next, err
}

// Guards against a watch that confirms the index as of its reply, although the reply may describe the state when the watch
// was sent.
func TestWatchConfirmsAsOfItsRequest(t *testing.T) {
	c := newCluster(t, "a1", "a2", "a3")
	c.publish("a1", testBundle(2, 1))
	r := c.daemons["a1"]
	r.sync(context.Background())
	if !r.Fresh() {
		t.Fatal("not fresh after reading the store")
	}
	r.config.Store = slowStore{r.config.Store, c.clock}
	r.sync(context.Background())
	if r.Fresh() {
		t.Error("fresh by a watch that was sent a whole freshness bound ago")
	}
}

// Guards against a majority that includes confirmations that don't count.
func TestMajority(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	seen := func(version ident.Version, ago time.Duration) confirmation {
		return confirmation{version: version, asOf: now.Add(-ago)}
	}
	cases := map[string]struct {
		members  int
		wasFresh bool
		peers    map[ident.MemberID]confirmation
		want     time.Duration // age, -1 for none
	}{
		"no view":                   {0, true, nil, -1},
		"only member":               {1, true, nil, 0},
		"only member, restarted":    {1, false, nil, -1},
		"one of two":                {2, true, nil, -1},
		"both of two":               {2, true, map[ident.MemberID]confirmation{"m2": seen(3, 1)}, 1},
		"three of five":             {5, true, map[ident.MemberID]confirmation{"m2": seen(3, 1), "m3": seen(3, 2)}, 2},
		"newest ones count":         {5, true, map[ident.MemberID]confirmation{"m2": seen(3, 9), "m3": seen(3, 2), "m4": seen(3, 4)}, 4},
		"half of four":              {4, true, map[ident.MemberID]confirmation{"m2": seen(3, 1)}, -1},
		"older version counts":      {3, true, map[ident.MemberID]confirmation{"m2": seen(2, 1)}, 1},
		"newer version not counted": {3, true, map[ident.MemberID]confirmation{"m2": seen(4, 1)}, -1},
		"non-members not counted":   {3, true, map[ident.MemberID]confirmation{"m9": seen(3, 1), "m8": seen(3, 1)}, -1},
		"restarted, not counted":    {5, false, map[ident.MemberID]confirmation{"m2": seen(3, 1), "m3": seen(3, 1)}, -1},
		"restarted, 3 others":       {5, false, map[ident.MemberID]confirmation{"m2": seen(3, 1), "m3": seen(3, 1), "m4": seen(3, 1)}, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var view member.View
			for _, id := range []ident.MemberID{"m1", "m2", "m3", "m4", "m5"}[:test.members] {
				view.Members = append(view.Members, member.Member{ID: id, Incarnation: 2})
			}
			received := confirmations{peers: test.peers, wasFresh: test.wasFresh}
			at, ok := received.majorityAsOf(3, member.Member{ID: "m1", Incarnation: 2}, view, now)
			if ok != (test.want >= 0) || ok && now.Sub(at) != test.want {
				t.Errorf("got %v, %v", now.Sub(at), ok)
			}
		})
	}
}

// Guards against a Rollout that starts with settings under which its guarantees don't hold.
func TestNewRejectsInvalidConfig(t *testing.T) {
	valid := newCluster(t, "a1").daemons["a1"].config
	cases := map[string]func(*Config){
		"no store":                              func(c *Config) { c.Store = nil },
		"no clock":                              func(c *Config) { c.Now = nil },
		"no pull from peers":                    func(c *Config) { c.Pull = nil },
		"freshness below three read intervals":  func(c *Config) { c.Freshness = 2 * c.ReadInterval },
		"no read interval":                      func(c *Config) { c.ReadInterval = 0 },
		"more sign-offs required than signers":  func(c *Config) { c.RequiredSigners = 3 },
		"negative number of sign-offs required": func(c *Config) { c.RequiredSigners = -1 },
		"signer listed twice":                   func(c *Config) { c.Signers = append(c.Signers[:1:1], c.Signers[0]) },
		"truncated key":                         func(c *Config) { c.Signers = append(c.Signers[:1:1], c.Signers[1][:31]) },
	}
	for name, change := range cases {
		config := valid
		change(&config)
		if _, err := New(config); err == nil {
			t.Errorf("%s: the config was accepted", name)
		}
	}
}

// Guards against loops that keep running after their context has ended.
func TestRunStopsWithItsContext(t *testing.T) {
	c := newCluster(t, "a1")
	c.publish("a1", testBundle(2, 1))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- c.daemons["a1"].Run(ctx) }()
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
