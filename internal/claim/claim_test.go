package claim

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// Guards against requests that run twice or are blocked when members, links and messages fail. Each case says which
// failure it guards against.
func TestMemberLinkAndMessageFailures(t *testing.T) {
	cases := map[string]struct {
		guards  string
		members []ident.MemberID
		run     func(t *testing.T, c *cluster)
	}{
		"resubmission through another member": {
			"a second run, or a lost answer, when a caller resubmits through another member",
			append(memberIDs(5), "x0"), func(t *testing.T, c *cluster) {
				g := c.mustAcquire("m0")
				c.expectRefused("x0", nil, &g)
				if err := c.nodes["m0"].table.Complete(t.Context(), g, []byte("shipped")); err != nil {
					t.Fatal(err)
				}
				_, err := c.acquire("m3")
				var held *HeldError
				if !errors.As(err, &held) || held.Claim.State != wire.ClaimComplete || string(held.Claim.Answer) != "shipped" {
					t.Errorf("got %v", err)
				}
				claim, found, err := c.nodes["x0"].table.Lookup(t.Context(), key)
				if err != nil || !found || string(claim.Answer) != "shipped" {
					t.Errorf("lookup: %+v, %t, %v", claim, found, err)
				}
			},
		},
		"two claimers split the votes": {
			"two claimers that both run the request, or both wait for each other", memberIDs(3), func(t *testing.T, c *cluster) {
				h := c.holders()
				c.nodes[h[2]].down = true
				// The second holder gets the rival's acquire before the claimer's; the first one never gets it.
				rival := wire.Claim{ClaimKey: key, Claimer: h[1], Incarnation: 1, Nonce: "rival"}
				sender := wire.Sender{Member: h[1], Incarnation: 1, Epoch: 1}
				if r, err := c.nodes[h[1]].table.HandleAcquire(t.Context(), wire.ClaimRequest{
					Sender: sender, Claim: rival,
				}); err != nil || !r.Granted {
					t.Fatalf("rival's acquire: %+v, %v", r, err)
				}
				c.expectRefused(h[0], nil, &Grant{Claim: rival}) // the third holder may have voted for the rival, so it may have won
				c.nodes[h[2]].down = false
				// The first holder keeps a tombstone of the rival's nonce, so it refuses the late acquire.
				late, err := c.nodes[h[0]].table.HandleAcquire(t.Context(), wire.ClaimRequest{Sender: sender, Claim: rival})
				if err != nil || late.Granted {
					t.Errorf("late acquire granted or failed: %+v, %v", late, err)
				}
			},
		},
		"split vote while all holders answer": {
			"ErrSplitVote, which means not run, while the other claimer may still win",
			memberIDs(2), func(t *testing.T, c *cluster) {
				rival := wire.Claim{ClaimKey: key, Claimer: "m1", Incarnation: 1, Nonce: "rival"}
				r := wire.ClaimRequest{Sender: wire.Sender{Member: "m1", Incarnation: 1, Epoch: 1}, Claim: rival}
				if reply, err := c.nodes["m1"].table.HandleAcquire(t.Context(), r); err != nil || !reply.Granted {
					t.Fatalf("rival's acquire: %+v, %v", reply, err)
				}
				c.expectRefused("m0", ErrSplitVote, nil)
				if reply, err := c.nodes["m0"].table.HandleAcquire(t.Context(), r); err != nil || reply.Granted {
					t.Errorf("the rival got a vote after ErrSplitVote was returned: %+v, %v", reply, err)
				}
				r.Claim.State = wire.ClaimReleased
				if _, err := c.nodes["m1"].table.HandleRelease(t.Context(), r); err != nil {
					t.Fatal(err)
				}
				c.mustAcquire("m0")
			},
		},
		"two submissions at one member": {
			"a submission that releases the votes of another one at the same member", memberIDs(3), func(_ *testing.T, c *cluster) {
				g := c.mustAcquire("m0")
				c.expectRefused("m0", nil, &g)
				c.expectRefused("m1", nil, &g)
			},
		},
		"holder dies before the vote": {
			"one dead holder that blocks all claims", memberIDs(3), func(_ *testing.T, c *cluster) {
				c.nodes[c.holders()[1]].down = true
				g := c.mustAcquire(c.holders()[0])
				c.expectRefused(c.holders()[2], nil, &g)
			},
		},
		"two holders die before the vote": {
			"a claim with a single vote", memberIDs(3), func(t *testing.T, c *cluster) {
				h := c.holders()
				c.nodes[h[1]].down, c.nodes[h[2]].down = true, true
				c.expectRefused(h[0], ErrUnavailable, nil)
				if c.keptClaims() != 0 {
					t.Errorf("%d votes left after the refusal, want 0", c.keptClaims())
				}
			},
		},
		"reply of a vote and its release are lost": {
			"a vote that is never released and blocks the request", memberIDs(3), func(t *testing.T, c *cluster) {
				h := c.holders()
				c.nodes[h[1]].down = true
				c.loseReply = func(to ident.MemberID, _ string) bool { return to == h[2] }
				c.loseMessage = func(_, _ ident.MemberID, method string) bool { return method == wire.MethodClaimRelease }
				c.expectRefused(h[0], ErrUnavailable, nil)
				if c.keptClaims() != 1 {
					t.Errorf("%d votes left, want only the one whose release was lost", c.keptClaims())
				}
				c.loseReply, c.loseMessage, c.nodes[h[1]].down = nil, nil, false
				c.nodes[h[0]].table.retryReleases(t.Context())
				if c.keptClaims() != 0 {
					t.Errorf("%d votes left, want 0", c.keptClaims())
				}
				c.mustAcquire(h[1])
			},
		},
		"voting holder dies after the grant": {
			"a claim that is lost when one of its two holders dies", memberIDs(6), func(_ *testing.T, c *cluster) {
				h := c.holders()
				c.nodes[h[2]].down = true
				g := c.mustAcquire("m0")
				c.nodes[h[2]].down = false
				c.removeMembers(h[0])
				c.expectRefused(h[1], nil, &g)
				c.removeMembers(h[1])
				c.expectRefused(h[2], nil, &g)
			},
		},
		"all holders die one by one after the answer": {
			"an answer that is lost when its holders die one after the other", memberIDs(6), func(t *testing.T, c *cluster) {
				h := c.holders()
				claimer := c.nonHolders(h)[0]
				g := c.mustAcquire(claimer)
				if err := c.nodes[claimer].table.Complete(t.Context(), g, []byte("done")); err != nil {
					t.Fatal(err)
				}
				for _, id := range h {
					c.removeMembers(id)
				}
				claim, found, err := c.nodes[claimer].table.Lookup(t.Context(), key)
				if err != nil || !found || string(claim.Answer) != "done" {
					t.Errorf("lookup: %+v, %t, %v", claim, found, err)
				}
			},
		},
		"two of three holders die at once": {
			"a second run after the claim was lost with its holders", memberIDs(6), func(_ *testing.T, c *cluster) {
				h := c.holders()
				claimer := c.nonHolders(h)[0]
				c.nodes[h[2]].down = true
				c.mustAcquire(claimer)
				c.nodes[h[2]].down = false
				c.removeMembers(h[0], h[1])
				c.expectRefused(claimer, ErrUncertain, nil)
				c.runKnown, c.inventoriesComplete = true, true
				c.expectRefused(claimer, ErrUncertain, nil)
				c.runKnown, c.inventoriesComplete = false, true
				c.mustAcquire(claimer)
			},
		},
		"holders are replaced after a loss": {
			"a possible loss that is forgotten when the members change again, or never expires",
			memberIDs(6), func(_ *testing.T, c *cluster) {
				h := c.holders()
				claimer := c.nonHolders(h)[0]
				c.nodes[h[2]].down = true
				c.mustAcquire(claimer)
				c.nodes[h[2]].down = false
				c.removeMembers(h[0], h[1])
				for _, id := range c.holders() {
					if id != claimer {
						c.nextView([]ident.MemberID{id}, newMember("n"+id, 1))
						delete(c.nodes, id)
						c.deliverView()
						c.runTransfers()
					}
				}
				c.expectRefused(claimer, ErrUncertain, nil)
				c.now = c.now.Add(2 * time.Hour)
				c.mustAcquire(claimer)
			},
		},
		"one of three holders dies": {
			"every request refused as uncertain after a single holder died", memberIDs(6), func(_ *testing.T, c *cluster) {
				c.removeMembers(c.holders()[0])
				c.mustAcquire(c.holders()[0])
			},
		},
		"whole region restarts": {
			"a region that counts as new although its claims were lost", memberIDs(3), func(_ *testing.T, c *cluster) {
				c.mustAcquire("m0")
				for i, id := range memberIDs(3) {
					c.nextView([]ident.MemberID{id}, newMember(id, ident.Incarnation(2+i)))
					c.deliverView()
				}
				c.runTransfers()
				c.expectRefused("m0", ErrUncertain, nil)
			},
		},
		"members join a new region": {
			"a new region whose requests are all refused as uncertain", []ident.MemberID{"x0"}, func(_ *testing.T, c *cluster) {
				c.nextView(nil, newMember("m0", 1))
				c.nextView(nil, newMember("m1", 1))
				c.nextView(nil, newMember("m2", 1))
				c.deliverView()
				c.runTransfers()
				g := c.mustAcquire("m1")
				c.nextView(nil, newMember("m3", 1))
				c.deliverView()
				c.runTransfers()
				c.expectRefused("m3", nil, &g)
			},
		},
		"transfer of claims unfinished": {
			"a vote of a new holder that has not received the earlier claims", memberIDs(4), func(_ *testing.T, c *cluster) {
				h := c.holders()
				c.nodes[h[2]].down = true
				g := c.mustAcquire(h[0])
				c.nodes[h[2]].down = false
				delete(c.nodes, h[0])
				c.nextView(h[:1])
				c.deliverView()
				c.expectRefused(h[2], nil, &g)                           // it was a holder before and knows the claim
				c.nodes[h[1]].down = true                                // the only other holder with the claim
				c.expectRefused(c.nonHolders(h)[0], ErrUnavailable, nil) // the others have not received its claims
				c.nodes[h[1]].down = false
				c.runTransfers()
				c.nodes[h[1]].down = true
				c.expectRefused(c.nonHolders(h)[0], nil, &g)
			},
		},
		"claimer with an old view": {
			"a claim with votes from two epochs", memberIDs(4), func(_ *testing.T, c *cluster) {
				old := c.nonHolders(c.holders())[0]
				c.nextView(c.holders()[:1])
				var rest []ident.MemberID
				for _, m := range c.view.Members {
					if m.ID != old {
						rest = append(rest, m.ID)
					}
				}
				c.deliverView(rest...)
				c.runTransfers()
				c.expectRefused(old, ErrUnavailable, nil)
			},
		},
		"paused claimer across a view change": {
			"a dispatch on a grant whose holders changed while its claimer was paused",
			memberIDs(5), func(t *testing.T, c *cluster) {
				h := c.holders()
				claimer := c.nonHolders(h)[0]
				g := c.mustAcquire(claimer)
				table := c.nodes[claimer].table
				if err := table.Validate(g); err != nil {
					t.Error(err)
				}
				c.nextView([]ident.MemberID{c.nonHolders(h)[1]})
				c.deliverView()
				if err := table.Validate(g); err != nil {
					t.Errorf("grant invalid after a member that isn't a holder left: %v", err)
				}
				c.removeMembers(h[0])
				if err := table.Validate(g); !errors.Is(err, ErrGrantExpired) {
					t.Errorf("got %v, want ErrExpired", err)
				}
			},
		},
		"grant older than half the retention": {
			"a dispatch after the holders dropped the claim", memberIDs(3), func(t *testing.T, c *cluster) {
				g := c.mustAcquire("m0")
				c.now = c.now.Add(31 * time.Minute)
				if err := c.nodes["m0"].table.Validate(g); !errors.Is(err, ErrGrantExpired) {
					t.Errorf("got %v, want ErrExpired", err)
				}
				c.expectRefused("m1", nil, &g)
				c.now = c.now.Add(30 * time.Minute)
				c.mustAcquire("m1")
			},
		},
		"link to the claim region lost": {
			"a claim outside its region, or a vote that is never released there",
			append(memberIDs(3), "x0"), func(t *testing.T, c *cluster) {
				c.loseMessage = func(from, to ident.MemberID, _ string) bool { return from[0] != to[0] }
				c.expectRefused("x0", ErrUnavailable, nil)
				if _, _, err := c.nodes["x0"].table.Lookup(t.Context(), key); !errors.Is(err, ErrUnavailable) {
					t.Errorf("lookup: %v", err)
				}
				g := c.mustAcquire("m0")
				c.loseMessage = nil
				c.expectRefused("x0", nil, &g)
			},
		},
		"link lost after the votes": {
			"a claim dispatched although the replies of its votes were lost, or votes that are never released",
			append(memberIDs(3), "x0"), func(t *testing.T, c *cluster) {
				c.loseReply = func(ident.MemberID, string) bool { return true }
				c.expectRefused("x0", ErrUnavailable, nil)
				c.loseReply = nil
				c.nodes["x0"].table.retryReleases(t.Context())
				if c.keptClaims() != 0 {
					t.Errorf("%d votes left, want 0", c.keptClaims())
				}
				c.mustAcquire("m0")
			},
		},
		"release by another member": {
			"a vote that another member releases, or a claim that it completes", memberIDs(3), func(t *testing.T, c *cluster) {
				g := c.mustAcquire("m0")
				r := wire.ClaimRequest{Sender: wire.Sender{Member: "m1", Incarnation: 1, Epoch: 1}, Claim: g.Claim}
				r.Claim.State = wire.ClaimReleased
				reply, err := c.nodes[c.holders()[0]].table.HandleRelease(t.Context(), r)
				if err != nil || reply.Granted || c.keptClaims() != 3 {
					t.Errorf("release by another member: %+v, %v, %d votes, want 3", reply, err, c.keptClaims())
				}
				r.Claim.State = wire.ClaimComplete
				if _, err := c.nodes[c.holders()[0]].table.HandleComplete(t.Context(), r); err == nil {
					t.Error("another member completed the claim")
				}
			},
		},
		"rival claim arrives by transfer": {
			"a winning claim that is lost when the loser of a split vote releases its own",
			memberIDs(4), func(t *testing.T, c *cluster) {
				h := c.holders()
				loser := wire.Claim{ClaimKey: key, Claimer: h[0], Incarnation: 1, Nonce: "loser"}
				r := wire.ClaimRequest{Sender: wire.Sender{Member: h[0], Incarnation: 1, Epoch: 1}, Claim: loser}
				if reply, err := c.nodes[h[0]].table.HandleAcquire(t.Context(), r); err != nil || !reply.Granted {
					t.Fatalf("rival's acquire: %+v, %v", reply, err)
				}
				g := c.mustAcquire(c.nonHolders(h)[0])
				c.removeMembers(h[1])
				r.Claim.State = wire.ClaimReleased
				for _, id := range c.holders() {
					if _, err := c.nodes[id].table.HandleRelease(t.Context(), r); err != nil {
						t.Fatal(err)
					}
				}
				c.nodes[h[2]].down = true // the only one of the original holders left that voted for the winner
				c.expectRefused(h[0], nil, &g)
			},
		},
		"new holder without earlier views": {
			"a vote of a new holder that knows no earlier view and has received no claims",
			memberIDs(3), func(t *testing.T, c *cluster) {
				var joiner ident.MemberID
				for i := 3; ; i++ {
					joiner = memberIDs(i + 1)[i]
					next := member.View{Members: append(slices.Clone(c.view.Members), newMember(joiner, 1))}
					if slices.ContainsFunc(Holders(next, "shore", key), func(m member.Member) bool { return m.ID == joiner }) {
						break
					}
				}
				c.mustAcquire("m0")
				c.nextView(nil, newMember(joiner, 1))
				c.deliverView()
				claim := wire.Claim{ClaimKey: key, Claimer: "m1", Incarnation: 1, Nonce: "second"}
				r := wire.ClaimRequest{Sender: wire.Sender{Member: "m1", Incarnation: 1, Epoch: c.view.Epoch}, Claim: claim}
				if reply, err := c.nodes[joiner].table.HandleAcquire(t.Context(), r); err != nil || reply.Granted || !reply.Stale {
					t.Errorf("acquire at the new holder: %+v, %v, want a stale refusal", reply, err)
				}
			},
		},
		"released grant": {
			"a request that can't be claimed again after its grant was released", memberIDs(3), func(t *testing.T, c *cluster) {
				g := c.mustAcquire("m0")
				if err := c.nodes["m0"].table.Release(t.Context(), g); err != nil {
					t.Fatal(err)
				}
				if _, found, err := c.nodes["m1"].table.Lookup(t.Context(), key); found || err != nil {
					t.Errorf("lookup: %t, %v", found, err)
				}
				c.mustAcquire("m1")
			},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.guards)
			test.run(t, newCluster(t, test.members...))
		})
	}
}

// nonHolders returns the members of the region that aren't among the given holders.
func (c *cluster) nonHolders(holders []ident.MemberID) []ident.MemberID {
	var ids []ident.MemberID
	for _, m := range c.view.Members {
		if m.Region == "shore" && !slices.Contains(holders, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
