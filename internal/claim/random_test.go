package claim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

// pendingGrant is a grant that its claimer has not dispatched yet.
type pendingGrant struct {
	claimer *node
	grant   Grant
}

// Guards against any order of submissions, crashes, joins, lagging views, lost messages and lost replies in which a
// request is dispatched twice. The search of the inventories never rules out a run, so a lost claim must end in
// ErrUncertain.
func TestRandomHistories(t *testing.T) {
	uncertain, dispatches := 0, 0
	for seed := range uint64(100) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			c := newCluster(t, append(memberIDs(3+random.IntN(4)), "x0", "x1")...)
			loss := random.IntN(4)
			fails := func() bool { return random.IntN(20) < loss }
			var lock sync.Mutex // the parallel messages of a broadcast share the random source
			c.loseReply = func(ident.MemberID, string) bool {
				lock.Lock()
				defer lock.Unlock()
				return fails()
			}
			c.loseMessage = func(_, _ ident.MemberID, _ string) bool {
				lock.Lock()
				defer lock.Unlock()
				return fails()
			}
			var undispatched []pendingGrant
			dispatched, next := map[wire.ClaimKey]int{}, 10
			for step := range 150 {
				m := c.view.Members[random.IntN(len(c.view.Members))]
				n := c.nodes[m.ID]
				k := wire.ClaimKey{Team: "swatch", Request: ident.RequestID(fmt.Sprint(random.IntN(6)))}
				switch random.IntN(10) {
				case 0, 1, 2, 3:
					g, err := n.table.Acquire(t.Context(), k)
					if err == nil {
						undispatched = append(undispatched, pendingGrant{n, g})
					} else if errors.Is(err, ErrUncertain) {
						uncertain++
					}
				case 4, 5: // dispatch, possibly long after the grant
					if len(undispatched) == 0 {
						continue
					}
					i := random.IntN(len(undispatched))
					a := undispatched[i]
					undispatched = append(undispatched[:i], undispatched[i+1:]...)
					if a.claimer.table.Validate(a.grant) != nil {
						_ = a.claimer.table.Release(t.Context(), a.grant)
						continue
					}
					dispatched[a.grant.Claim.ClaimKey]++
					dispatches++
					if dispatched[a.grant.Claim.ClaimKey] > 1 {
						t.Fatalf("step %d: request %s was dispatched twice", step, a.grant.Claim.Request)
					}
					if random.IntN(2) == 0 {
						_ = a.claimer.table.Complete(t.Context(), a.grant, []byte("done"))
					}
				case 6:
					c.runTransfers()
				case 7: // only one member sees the view for now
					c.deliverView(m.ID)
				case 8:
					n.table.retryReleases(t.Context())
				case 9:
					if m.Region != "shore" || random.IntN(3) > 0 {
						continue
					}
					c.deliverView()
					c.runTransfers()
					dead := []ident.MemberID{m.ID}
					if random.IntN(3) == 0 && len(c.view.Members) > 4 {
						dead = append(dead, c.holders()[0])
					}
					for _, id := range dead {
						delete(c.nodes, id)
					}
					joiner := newMember(ident.MemberID(fmt.Sprintf("m%d", next)), 1)
					next++
					c.nextView(dead, joiner)
					c.nodes[joiner.ID].view = c.view // a joining member sees the view in which it joined at once
					c.nodes[joiner.ID].table.ViewChanged()
				}
				undispatched = dropDeadClaimers(undispatched, c)
			}
		})
	}
	t.Logf("%d dispatches, %d acquires refused with ErrUncertain", dispatches, uncertain)
	if dispatches < 300 {
		t.Errorf("%d dispatches, want at least 300 for the test to be meaningful", dispatches)
	}
}

// dropDeadClaimers returns the grants whose claimers are still in the cluster.
func dropDeadClaimers(grants []pendingGrant, c *cluster) []pendingGrant {
	var alive []pendingGrant
	for _, a := range grants {
		if c.nodes[a.claimer.self.ID] == a.claimer {
			alive = append(alive, a)
		}
	}
	return alive
}

// Guards against two grants of one key when claimers run concurrently, and against data races.
func TestConcurrentClaimers(t *testing.T) {
	for round := range 50 {
		c := newCluster(t, memberIDs(5)...)
		var lock sync.Mutex
		granted, split := 0, 0
		var wait sync.WaitGroup
		for _, n := range c.nodes {
			wait.Go(func() {
				_, err := n.table.Acquire(t.Context(), key)
				var held *HeldError
				lock.Lock()
				defer lock.Unlock()
				switch {
				case err == nil:
					granted++
				case errors.Is(err, ErrSplitVote):
					split++
				case !errors.As(err, &held):
					t.Errorf("round %d: %v", round, err)
				}
			})
		}
		wait.Wait()
		if granted > 1 {
			t.Fatalf("round %d: %d claimers won", round, granted)
		}
		if granted == 0 {
			// When no claimer won, nothing may be left that blocks the next submission.
			c.mustAcquire("m0")
		}
	}
}

// Guards against transfer pages above their bounds, claims that are missed between pages, and votes above MaxClaims.
func TestTransferPagesAndBounds(t *testing.T) {
	c := newCluster(t, memberIDs(3)...)
	const claims = 1500
	for i := range claims {
		k := wire.ClaimKey{Team: "swatch", Request: ident.RequestID(fmt.Sprint(i))}
		g, err := c.nodes["m0"].table.Acquire(t.Context(), k)
		if err != nil {
			t.Fatal(err)
		}
		if i%3 == 0 {
			if err := c.nodes["m0"].table.Complete(t.Context(), g, make([]byte, 4<<10)); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.nextView(nil, newMember("m3", 1))
	c.deliverView()
	joiner := c.nodes["m3"].table
	pages, cursor := 0, ""
	for {
		r := wire.ClaimTransferRequest{Sender: wire.Sender{Member: "m3", Incarnation: 1, Epoch: c.view.Epoch}, Cursor: cursor}
		page, err := c.nodes["m0"].table.HandleTransfer(t.Context(), r)
		if err != nil {
			t.Fatal(err)
		}
		if len(page.Claims) > maxPageClaims || answerBytes(page.Claims) > maxPageBytes {
			t.Errorf("page of %d claims and %d answer bytes exceeds a bound", len(page.Claims), answerBytes(page.Claims))
		}
		pages++
		if cursor = page.Cursor; cursor == "" {
			break
		}
	}
	c.runTransfers()
	want := 0
	for i := range claims {
		k := wire.ClaimKey{Team: "swatch", Request: ident.RequestID(fmt.Sprint(i))}
		if joiner.isHolder(c.view, k) {
			want++
		}
	}
	if got := int(joiner.keptCount.Load()); got != want || pages < 3 {
		t.Errorf("got %d claims in %d pages, want %d claims in at least 3 pages", got, pages, want)
	}
	joiner.config.MaxClaims = want
	extra := wire.Claim{ClaimKey: wire.ClaimKey{Team: "swatch", Request: "extra"}, Claimer: "m3", Incarnation: 1, Nonce: "n"}
	for i := 0; !joiner.isHolder(c.view, extra.ClaimKey); i++ {
		extra.Request = ident.RequestID(fmt.Sprint("extra-", i))
	}
	r := wire.ClaimRequest{Sender: wire.Sender{Member: "m3", Incarnation: 1, Epoch: c.view.Epoch}, Claim: extra}
	if reply, err := joiner.HandleAcquire(t.Context(), r); !errors.Is(err, errTooManyClaims) || reply.Granted {
		t.Errorf("acquire above MaxClaims: %+v, %v, want errTooManyClaims", reply, err)
	}
}

// Guards against votes on messages without a valid key or nonce or from a wrong sender or epoch, against malformed cursors
// and against a configuration without dependencies.
func TestMalformedMessages(t *testing.T) {
	c := newCluster(t, memberIDs(3)...)
	table := c.nodes["m0"].table
	good := wire.ClaimRequest{
		Sender: wire.Sender{Member: "m1", Incarnation: 1, Epoch: 1},
		Claim:  wire.Claim{ClaimKey: key, Claimer: "m1", Incarnation: 1, Nonce: "n"},
	}
	cases := map[string]func(*wire.ClaimRequest){
		"no team":                 func(r *wire.ClaimRequest) { r.Claim.Team = "" },
		"no request":              func(r *wire.ClaimRequest) { r.Claim.Request = "" },
		"request too long":        func(r *wire.ClaimRequest) { r.Claim.Request = ident.RequestID(make([]byte, 4096)) },
		"no nonce":                func(r *wire.ClaimRequest) { r.Claim.Nonce = "" },
		"nonce too long":          func(r *wire.ClaimRequest) { r.Claim.Nonce = string(make([]byte, 4096)) },
		"claim of another member": func(r *wire.ClaimRequest) { r.Claim.Claimer = "m2" },
		"old incarnation":         func(r *wire.ClaimRequest) { r.Incarnation, r.Claim.Incarnation = 0, 0 },
		"another epoch":           func(r *wire.ClaimRequest) { r.Epoch = 9 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			r := good
			change(&r)
			if reply, err := table.HandleAcquire(t.Context(), r); reply.Granted {
				t.Errorf("malformed acquire granted: %+v, %v", reply, err)
			}
		})
	}
	for _, cursor := range []string{"x", "1/a", "-1/a/b", "9999/a/b", "//"} {
		if _, err := table.HandleTransfer(t.Context(), wire.ClaimTransferRequest{Sender: good.Sender, Cursor: cursor}); err == nil {
			t.Errorf("cursor %q was accepted", cursor)
		}
	}
	if _, err := New(Config{Self: func() member.Member { return member.Member{} }}); err == nil {
		t.Error("a configuration without dependencies was accepted")
	}
}
