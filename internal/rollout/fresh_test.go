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

// Guards against a store outage that stops keyed work although a majority confirms the version.
func TestStoreOutageStopsNothing(t *testing.T) {
	c := newCell(t, six...)
	c.publish("a1", sample(2, 1))
	c.round(4)
	c.setCut(true, c.order, []ident.MemberID{"store"})
	for i := range 60 {
		c.round(1)
		if got := c.fresh(); len(got) != len(six) {
			t.Fatalf("round %d of the outage: only %v are fresh", i, got)
		}
	}
	receipt, err := c.nodes["a2"].Publish(context.Background(), sample(3, 1), 1, nil)
	if err == nil || receipt.Outcome != Refused {
		t.Errorf("publish in the outage: %s, %v", receipt.Outcome, err)
	}
}

// Guards against a withdrawn key that still works somewhere after the publish was accepted while the link is down.
func TestLinkLostAndKeyWithdrawn(t *testing.T) {
	c := newCell(t, six...)
	b, secret, err := bundle.GrantKey(sample(2, 1), "team-000", "leaked")
	if err != nil {
		t.Fatal(err)
	}
	c.publish("a1", b)
	c.round(4)
	c.setCut(true, []ident.MemberID{"b1", "b2"}, []ident.MemberID{"a1", "a2", "a3", "a4", "store"})
	withdrawn, err := bundle.WithdrawKey(b, "team-000", "leaked")
	if err != nil {
		t.Fatal(err)
	}
	c.publish("a2", withdrawn)
	works := func(name ident.MemberID) bool {
		r := c.nodes[name]
		return r.Fresh() && r.Current().Authorize("team-000", "closed", secret) == nil
	}
	acceptedAfter := -1
	for i := range 12 {
		c.round(1)
		accepted, _, err := c.nodes["a2"].Accepted(context.Background(), 2)
		if err != nil {
			t.Fatal(err)
		}
		if accepted && acceptedAfter < 0 {
			acceptedAfter = i
		}
		for _, name := range c.order {
			if accepted && works(name) {
				t.Errorf("round %d: accepted, but %s takes the withdrawn key", i, name)
			}
		}
	}
	if acceptedAfter < 4 || acceptedAfter > 9 {
		t.Errorf("accepted in round %d, expected soon after the bound of %s", acceptedAfter, testFreshness)
	}
	if got := c.fresh(); !slices.Equal(got, []ident.MemberID{"a1", "a2", "a3", "a4"}) {
		t.Errorf("fresh are %v", got)
	}
	if err := c.nodes["b1"].Current().Authorize("team-000", "open", ""); err != nil {
		t.Errorf("the open queue stopped: %v", err)
	}
	c.setCut(false, c.order, append(c.order, "store"))
	c.round(8)
	if got := c.fresh(); len(got) != len(six) || slices.Min(c.versions()) != 2 {
		t.Errorf("after the link returned: fresh %v, versions %v", got, c.versions())
	}
}

// Guards against the side of the store stopping when it has no majority.
func TestSideWithStoreStaysFreshWithoutMajority(t *testing.T) {
	c := newCell(t, "a1", "a2", "b1", "b2")
	c.publish("a1", sample(2, 1))
	c.round(4)
	c.setCut(true, []ident.MemberID{"b1", "b2"}, []ident.MemberID{"a1", "a2", "store"})
	c.round(10)
	if got := c.fresh(); !slices.Equal(got, []ident.MemberID{"a1", "a2"}) {
		t.Errorf("fresh are %v", got)
	}
}

// Guards against a publish that counts as accepted while a member that may still be fresh hasn't acknowledged it.
func TestAcceptedWaitsForSilentMembers(t *testing.T) {
	ctx := context.Background()
	c := newCell(t, "a1", "a2", "a3", "a4", "a5")
	c.publish("a1", sample(2, 1))
	c.round(4)
	c.setCut(true, []ident.MemberID{"a5"}, append(c.order, "store"))
	changed := sample(2, 1)
	changed.Teams[0].Limit = 9
	c.publish("a1", changed)
	accepted := func() bool {
		ok, _, err := c.nodes["a1"].Accepted(ctx, 2)
		if err != nil {
			t.Fatal(err)
		}
		return ok
	}
	if accepted() {
		t.Error("accepted without a majority")
	}
	c.round(3)
	if accepted() {
		t.Error("accepted as soon as a majority has it")
	}
	c.clock.Advance(testFreshness)
	if accepted() {
		t.Error("accepted without an allowance for clock drift")
	}
	c.clock.Advance(time.Second)
	if !accepted() {
		t.Error("not accepted after the bound")
	}
	// The member answers again with the old version: it is neither silent nor has it acknowledged.
	c.nodes["a5"].config.Pull = func(context.Context, ident.MemberID, wire.ConfigPullRequest) (wire.ConfigPullReply, error) {
		return wire.ConfigPullReply{}, errCut
	}
	c.setCut(false, []ident.MemberID{"a5"}, c.order)
	if accepted() {
		t.Error("accepted while a reachable member holds an older version")
	}
}

// Guards against a confirmation that counts from the moment of the answer: the answer may describe an earlier moment.
func TestFreshnessCountsFromBeforeTheRequest(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	c.publish("a1", sample(2, 1))
	c.round(3)
	c.setCut(true, c.order, []ident.MemberID{"store"})
	r := c.nodes["a2"]
	c.clock.Advance(testFreshness)
	if r.Fresh() {
		t.Fatal("fresh after the bound without a confirmation")
	}
	ask := r.config.Version
	r.config.Version = func(ctx context.Context, to ident.MemberID, request wire.ConfigVersionRequest) (wire.ConfigVersionReply, error) {
		reply, err := ask(ctx, to, request)
		c.clock.Advance(testFreshness) // The answer is under way for the whole bound.
		return reply, err
	}
	r.confirm(context.Background())
	if r.Fresh() {
		t.Error("fresh by an answer that describes a moment before the bound")
	}
}

// slowStore delays the reply of a watch by the whole freshness bound.
type slowStore struct {
	platform.Store
	clock *clock.Clock
}

func (s slowStore) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Event, platform.Revision, error) {
	events, next, err := s.Store.Watch(ctx, prefix, after, wait)
	s.clock.Advance(testFreshness)
	return events, next, err
}

// Guards against a watch that confirms the index as of its reply, which may describe the moment it was sent.
func TestWatchConfirmsFromBeforeItWasSent(t *testing.T) {
	c := newCell(t, "a1", "a2", "a3")
	c.publish("a1", sample(2, 1))
	r := c.nodes["a1"]
	r.sync(context.Background())
	if !r.Fresh() {
		t.Fatal("not fresh after reading the store")
	}
	r.config.Store = slowStore{r.config.Store, c.clock}
	r.sync(context.Background())
	if r.Fresh() {
		t.Error("fresh by a watch that was sent a whole bound ago")
	}
}

// Guards against confirmations that don't count as a majority being taken for one.
func TestMajority(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	said := func(version ident.Version, ago time.Duration) word { return word{version: version, at: now.Add(-ago)} }
	cases := map[string]struct {
		members int
		vouched bool
		peers   map[ident.MemberID]word
		want    time.Duration // age, -1 for none
	}{
		"no view":                   {0, true, nil, -1},
		"alone":                     {1, true, nil, 0},
		"alone after a restart":     {1, false, nil, -1},
		"one of two":                {2, true, nil, -1},
		"both of two":               {2, true, map[ident.MemberID]word{"m2": said(3, 1)}, 1},
		"three of five":             {5, true, map[ident.MemberID]word{"m2": said(3, 1), "m3": said(3, 2)}, 2},
		"the newest count":          {5, true, map[ident.MemberID]word{"m2": said(3, 9), "m3": said(3, 2), "m4": said(3, 4)}, 4},
		"half of four":              {4, true, map[ident.MemberID]word{"m2": said(3, 1)}, -1},
		"older versions count":      {3, true, map[ident.MemberID]word{"m2": said(2, 1)}, 1},
		"newer versions don't":      {3, true, map[ident.MemberID]word{"m2": said(4, 1)}, -1},
		"members that left don't":   {3, true, map[ident.MemberID]word{"m9": said(3, 1), "m8": said(3, 1)}, -1},
		"restarted without itself":  {5, false, map[ident.MemberID]word{"m2": said(3, 1), "m3": said(3, 1)}, -1},
		"restarted with a majority": {5, false, map[ident.MemberID]word{"m2": said(3, 1), "m3": said(3, 1), "m4": said(3, 1)}, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var view member.View
			for _, id := range []ident.MemberID{"m1", "m2", "m3", "m4", "m5"}[:test.members] {
				view.Members = append(view.Members, member.Member{ID: id, Incarnation: 2})
			}
			w := words{peers: test.peers, vouched: test.vouched}
			at, ok := w.majority(3, member.Member{ID: "m1", Incarnation: 2}, view, now)
			if ok != (test.want >= 0) || ok && now.Sub(at) != test.want {
				t.Errorf("got %v, %v", now.Sub(at), ok)
			}
		})
	}
}

// Guards against a Rollout that starts with settings under which it can't keep its promises.
func TestNewRefuses(t *testing.T) {
	good := newCell(t, "a1").nodes["a1"].config
	cases := map[string]func(*Config){
		"no store":            func(c *Config) { c.Store = nil },
		"no clock":            func(c *Config) { c.Now = nil },
		"no peers":            func(c *Config) { c.Pull = nil },
		"short freshness":     func(c *Config) { c.Freshness = 2 * c.ReadInterval },
		"no interval":         func(c *Config) { c.ReadInterval = 0 },
		"too many required":   func(c *Config) { c.Required = 3 },
		"negative required":   func(c *Config) { c.Required = -1 },
		"signer listed twice": func(c *Config) { c.Signers = append(c.Signers[:1:1], c.Signers[0]) },
		"cut key":             func(c *Config) { c.Signers = append(c.Signers[:1:1], c.Signers[1][:31]) },
	}
	for name, change := range cases {
		config := good
		change(&config)
		if _, err := New(config); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards against loops that outlive their context.
func TestRunEndsWithItsContext(t *testing.T) {
	c := newCell(t, "a1")
	c.publish("a1", sample(2, 1))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- c.nodes["a1"].Run(ctx) }()
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
}
