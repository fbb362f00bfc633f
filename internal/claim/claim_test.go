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

func TestFaults(t *testing.T) {
	cases := map[string]struct {
		guards  string
		members []ident.MemberID
		run     func(t *testing.T, c *cell)
	}{
		"resubmission through another member": {
			"a second run, or a lost answer, when a caller submits again elsewhere", append(names(5), "x0"), func(t *testing.T, c *cell) {
				g := c.granted("m0")
				c.refused("x0", nil, &g)
				if err := c.nodes["m0"].book.Complete(t.Context(), g, []byte("shipped")); err != nil {
					t.Fatal(err)
				}
				_, err := c.acquire("m3")
				var held *HeldError
				if !errors.As(err, &held) || held.Claim.State != wire.ClaimComplete || string(held.Claim.Answer) != "shipped" {
					t.Errorf("got %v", err)
				}
				claim, found, err := c.nodes["x0"].book.Lookup(t.Context(), key)
				if err != nil || !found || string(claim.Answer) != "shipped" {
					t.Errorf("lookup: %+v, %t, %v", claim, found, err)
				}
			},
		},
		"two claimers split the votes": {
			"two claimers that both run the request, or both wait for each other", names(3), func(t *testing.T, c *cell) {
				h := c.holders()
				c.nodes[h[2]].down = true
				// The rival's vote arrives at the second holder before the claimer's, and at the first one never.
				rival := wire.Claim{ClaimKey: key, Claimer: h[1], Incarnation: 1, Nonce: "rival"}
				sender := wire.Sender{Member: h[1], Incarnation: 1, Epoch: 1}
				if r, err := c.nodes[h[1]].book.HandleAcquire(t.Context(), wire.ClaimRequest{Sender: sender, Claim: rival}); err != nil || !r.Granted {
					t.Fatalf("%+v, %v", r, err)
				}
				c.refused(h[0], nil, &Grant{Claim: rival}) // the third holder may have voted for the rival
				c.nodes[h[2]].down = false
				// The first holder barred the rival; a late vote is refused there.
				late, err := c.nodes[h[0]].book.HandleAcquire(t.Context(), wire.ClaimRequest{Sender: sender, Claim: rival})
				if err != nil || late.Granted {
					t.Errorf("late vote: %+v, %v", late, err)
				}
			},
		},
		"split with all holders answering": {
			"a refusal as not run while the other claimer may still win", names(2), func(t *testing.T, c *cell) {
				rival := wire.Claim{ClaimKey: key, Claimer: "m1", Incarnation: 1, Nonce: "rival"}
				r := wire.ClaimRequest{Sender: wire.Sender{Member: "m1", Incarnation: 1, Epoch: 1}, Claim: rival}
				if reply, err := c.nodes["m1"].book.HandleAcquire(t.Context(), r); err != nil || !reply.Granted {
					t.Fatalf("%+v, %v", reply, err)
				}
				c.refused("m0", ErrSplit, nil)
				if reply, err := c.nodes["m0"].book.HandleAcquire(t.Context(), r); err != nil || reply.Granted {
					t.Errorf("the rival won after the split was reported: %+v, %v", reply, err)
				}
				r.Claim.State = wire.ClaimReleased
				if _, err := c.nodes["m1"].book.HandleRelease(t.Context(), r); err != nil {
					t.Fatal(err)
				}
				c.granted("m0")
			},
		},
		"two submissions at one member": {
			"a submission that releases the votes of another one at the same member", names(3), func(_ *testing.T, c *cell) {
				g := c.granted("m0")
				c.refused("m0", nil, &g)
				c.refused("m1", nil, &g)
			},
		},
		"holder dies before the vote": {
			"one dead holder that stops all claims", names(3), func(_ *testing.T, c *cell) {
				c.nodes[c.holders()[1]].down = true
				g := c.granted(c.holders()[0])
				c.refused(c.holders()[2], nil, &g)
			},
		},
		"two holders die before the vote": {
			"a claim with one vote", names(3), func(t *testing.T, c *cell) {
				h := c.holders()
				c.nodes[h[1]].down, c.nodes[h[2]].down = true, true
				c.refused(h[0], ErrUnavailable, nil)
				if c.votes() != 0 {
					t.Errorf("%d votes left after the refusal", c.votes())
				}
			},
		},
		"reply of a vote and its release are lost": {
			"a vote that stays behind and blocks the request", names(3), func(t *testing.T, c *cell) {
				h := c.holders()
				c.nodes[h[1]].down = true
				c.losing = func(to ident.MemberID, _ string) bool { return to == h[2] }
				c.cut = func(_, _ ident.MemberID, method string) bool { return method == wire.MethodClaimRelease }
				c.refused(h[0], ErrUnavailable, nil)
				if c.votes() != 1 {
					t.Errorf("%d votes left, want the one whose release is lost", c.votes())
				}
				c.losing, c.cut, c.nodes[h[1]].down = nil, nil, false
				c.nodes[h[0]].book.flush(t.Context())
				if c.votes() != 0 {
					t.Errorf("%d votes left", c.votes())
				}
				c.granted(h[1])
			},
		},
		"voting holder dies after the grant": {
			"a claim that is forgotten with one of its two holders", names(6), func(_ *testing.T, c *cell) {
				h := c.holders()
				c.nodes[h[2]].down = true
				g := c.granted("m0")
				c.nodes[h[2]].down = false
				c.die(h[0])
				c.refused(h[1], nil, &g)
				c.die(h[1])
				c.refused(h[2], nil, &g)
			},
		},
		"holder dies after the answer": {
			"an answer that is forgotten with its holders one after the other", names(6), func(t *testing.T, c *cell) {
				h := c.holders()
				claimer := c.others(h)[0]
				g := c.granted(claimer)
				if err := c.nodes[claimer].book.Complete(t.Context(), g, []byte("done")); err != nil {
					t.Fatal(err)
				}
				for _, id := range h {
					c.die(id)
				}
				claim, found, err := c.nodes[claimer].book.Lookup(t.Context(), key)
				if err != nil || !found || string(claim.Answer) != "done" {
					t.Errorf("lookup: %+v, %t, %v", claim, found, err)
				}
			},
		},
		"two of three holders die at once": {
			"a second run after the claim was lost", names(6), func(_ *testing.T, c *cell) {
				h := c.holders()
				claimer := c.others(h)[0]
				c.nodes[h[2]].down = true
				c.granted(claimer)
				c.nodes[h[2]].down = false
				c.die(h[0], h[1])
				c.refused(claimer, ErrUncertain, nil)
				c.known, c.complete = true, true
				c.refused(claimer, ErrUncertain, nil)
				c.known, c.complete = false, true
				c.granted(claimer)
			},
		},
		"a joiner learns of the loss": {
			"a loss that is forgotten when the members change again", names(6), func(_ *testing.T, c *cell) {
				h := c.holders()
				claimer := c.others(h)[0]
				c.nodes[h[2]].down = true
				c.granted(claimer)
				c.nodes[h[2]].down = false
				c.die(h[0], h[1])
				for _, id := range c.holders() {
					if id != claimer {
						c.change([]ident.MemberID{id}, newMember("n"+id, 1))
						delete(c.nodes, id)
						c.spread()
						c.settle()
					}
				}
				c.refused(claimer, ErrUncertain, nil)
				c.now = c.now.Add(2 * time.Hour)
				c.granted(claimer)
			},
		},
		"one of three holders dies": {
			"every request refused as uncertain after a single death", names(6), func(_ *testing.T, c *cell) {
				c.die(c.holders()[0])
				c.granted(c.holders()[0])
			},
		},
		"whole region restarts": {
			"a region that takes itself for new after its claims were lost", names(3), func(_ *testing.T, c *cell) {
				c.granted("m0")
				for i, id := range names(3) {
					c.change([]ident.MemberID{id}, newMember(id, ident.Incarnation(2+i)))
					c.spread()
				}
				c.settle()
				c.refused("m0", ErrUncertain, nil)
			},
		},
		"members join a new region": {
			"a new region whose requests are all uncertain", []ident.MemberID{"x0"}, func(_ *testing.T, c *cell) {
				c.change(nil, newMember("m0", 1))
				c.change(nil, newMember("m1", 1))
				c.change(nil, newMember("m2", 1))
				c.spread()
				c.settle()
				g := c.granted("m1")
				c.change(nil, newMember("m3", 1))
				c.spread()
				c.settle()
				c.refused("m3", nil, &g)
			},
		},
		"transfer unfinished": {
			"a vote of a new holder that has not got the old claims", names(4), func(_ *testing.T, c *cell) {
				h := c.holders()
				c.nodes[h[2]].down = true
				g := c.granted(h[0])
				c.nodes[h[2]].down = false
				delete(c.nodes, h[0])
				c.change(h[:1])
				c.spread()
				c.refused(h[2], nil, &g)                       // the old holder answers
				c.nodes[h[1]].down = true                      // the only old holder with the claim
				c.refused(c.others(h)[0], ErrUnavailable, nil) // both others have not heard from it
				c.nodes[h[1]].down = false
				c.settle()
				c.nodes[h[1]].down = true
				c.refused(c.others(h)[0], nil, &g)
			},
		},
		"claimer with an old view": {
			"votes at two epochs for one request", names(4), func(_ *testing.T, c *cell) {
				old := c.others(c.holders())[0]
				c.change(c.holders()[:1])
				var rest []ident.MemberID
				for _, m := range c.view.Members {
					if m.ID != old {
						rest = append(rest, m.ID)
					}
				}
				c.spread(rest...)
				c.settle()
				c.refused(old, ErrUnavailable, nil)
			},
		},
		"paused claimer across a view change": {
			"a dispatch on a grant whose holders changed while its claimer was paused", names(5), func(t *testing.T, c *cell) {
				h := c.holders()
				claimer := c.others(h)[0]
				g := c.granted(claimer)
				book := c.nodes[claimer].book
				if err := book.Validate(g); err != nil {
					t.Error(err)
				}
				c.change([]ident.MemberID{c.others(h)[1]})
				c.spread()
				if err := book.Validate(g); err != nil {
					t.Errorf("a member that is no holder left: %v", err)
				}
				c.die(h[0])
				if err := book.Validate(g); !errors.Is(err, ErrExpired) {
					t.Errorf("got %v, want ErrExpired", err)
				}
			},
		},
		"grant kept too long": {
			"a dispatch after the holders forgot the claim", names(3), func(t *testing.T, c *cell) {
				g := c.granted("m0")
				c.now = c.now.Add(31 * time.Minute)
				if err := c.nodes["m0"].book.Validate(g); !errors.Is(err, ErrExpired) {
					t.Errorf("got %v, want ErrExpired", err)
				}
				c.refused("m1", nil, &g)
				c.now = c.now.Add(30 * time.Minute)
				c.granted("m1")
			},
		},
		"link to the claim region lost": {
			"a claim outside its region, or a vote left behind there", append(names(3), "x0"), func(t *testing.T, c *cell) {
				c.cut = func(from, to ident.MemberID, _ string) bool { return from[0] != to[0] }
				c.refused("x0", ErrUnavailable, nil)
				if _, _, err := c.nodes["x0"].book.Lookup(t.Context(), key); !errors.Is(err, ErrUnavailable) {
					t.Errorf("lookup: %v", err)
				}
				g := c.granted("m0")
				c.cut = nil
				c.refused("x0", nil, &g)
			},
		},
		"link lost after the votes": {
			"a nonce that is dispatched after its votes could not be withdrawn", append(names(3), "x0"), func(t *testing.T, c *cell) {
				c.losing = func(ident.MemberID, string) bool { return true }
				c.refused("x0", ErrUnavailable, nil)
				c.losing = nil
				c.nodes["x0"].book.flush(t.Context())
				if c.votes() != 0 {
					t.Errorf("%d votes left", c.votes())
				}
				c.granted("m0")
			},
		},
		"release of another's claim": {
			"a vote that someone else withdraws", names(3), func(t *testing.T, c *cell) {
				g := c.granted("m0")
				r := wire.ClaimRequest{Sender: wire.Sender{Member: "m1", Incarnation: 1, Epoch: 1}, Claim: g.Claim}
				r.Claim.State = wire.ClaimReleased
				reply, err := c.nodes[c.holders()[0]].book.HandleRelease(t.Context(), r)
				if err != nil || reply.Granted || c.votes() != 3 {
					t.Errorf("%+v, %v, %d votes", reply, err, c.votes())
				}
				r.Claim.State = wire.ClaimComplete
				if _, err := c.nodes[c.holders()[0]].book.HandleComplete(t.Context(), r); err == nil {
					t.Error("another member completed the claim")
				}
			},
		},
		"rival of a split arrives by transfer": {
			"a winner that is forgotten when the loser of a split withdraws its vote", names(4), func(t *testing.T, c *cell) {
				h := c.holders()
				loser := wire.Claim{ClaimKey: key, Claimer: h[0], Incarnation: 1, Nonce: "loser"}
				r := wire.ClaimRequest{Sender: wire.Sender{Member: h[0], Incarnation: 1, Epoch: 1}, Claim: loser}
				if reply, err := c.nodes[h[0]].book.HandleAcquire(t.Context(), r); err != nil || !reply.Granted {
					t.Fatalf("%+v, %v", reply, err)
				}
				g := c.granted(c.others(h)[0])
				c.die(h[1])
				r.Claim.State = wire.ClaimReleased
				for _, id := range c.holders() {
					if _, err := c.nodes[id].book.HandleRelease(t.Context(), r); err != nil {
						t.Fatal(err)
					}
				}
				c.nodes[h[2]].down = true // the only voter for the winner that was a holder before
				c.refused(h[0], nil, &g)
			},
		},
		"joiner without history": {
			"a vote of a new holder that knows no earlier view and has heard from nobody", names(3), func(t *testing.T, c *cell) {
				var joiner ident.MemberID
				for i := 3; ; i++ {
					joiner = names(i + 1)[i]
					next := member.View{Members: append(slices.Clone(c.view.Members), newMember(joiner, 1))}
					if slices.ContainsFunc(Holders(next, "shore", key), func(m member.Member) bool { return m.ID == joiner }) {
						break
					}
				}
				c.granted("m0")
				c.change(nil, newMember(joiner, 1))
				c.spread()
				claim := wire.Claim{ClaimKey: key, Claimer: "m1", Incarnation: 1, Nonce: "second"}
				r := wire.ClaimRequest{Sender: wire.Sender{Member: "m1", Incarnation: 1, Epoch: c.view.Epoch}, Claim: claim}
				if reply, err := c.nodes[joiner].book.HandleAcquire(t.Context(), r); err != nil || reply.Granted || !reply.Stale {
					t.Errorf("%+v, %v", reply, err)
				}
			},
		},
		"released grant": {
			"a request that can't run after it was refused as not run", names(3), func(t *testing.T, c *cell) {
				g := c.granted("m0")
				if err := c.nodes["m0"].book.Release(t.Context(), g); err != nil {
					t.Fatal(err)
				}
				if _, found, err := c.nodes["m1"].book.Lookup(t.Context(), key); found || err != nil {
					t.Errorf("lookup: %t, %v", found, err)
				}
				c.granted("m1")
			},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Log("guards against", test.guards)
			test.run(t, newCell(t, test.members...))
		})
	}
}

// others are the members of the region that hold no claim of the test key.
func (c *cell) others(holders []ident.MemberID) []ident.MemberID {
	var ids []ident.MemberID
	for _, m := range c.view.Members {
		if m.Region == "shore" && !slices.Contains(holders, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
