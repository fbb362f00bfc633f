package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rosemaryspoke/rosemaryspoke/internal/member"
	"github.com/rosemaryspoke/rosemaryspoke/internal/peer/wire"
	"github.com/rosemaryspoke/rosemaryspoke/pkg/ident"
)

var errLinkDown = errors.New("simulated link is down")

// node is one member with its own view, which stays an old one while the member is paused.
type node struct {
	table *Table
	self  member.Member
	view  member.View
	down  bool // messages to it are lost
}

// cluster simulates members in the claim region "shore"; members whose id begins with x are in the region "north".
type cluster struct {
	t                   *testing.T
	lock                sync.Mutex
	now                 time.Time
	view                member.View
	nodes               map[ident.MemberID]*node
	loseReply           func(to ident.MemberID, method string) bool       // whether the reply of a delivered message is lost
	loseMessage         func(from, to ident.MemberID, method string) bool // whether the message itself is lost
	beforeDelivery      func(to ident.MemberID, method string)            // called before a message is delivered
	runKnown            bool
	inventoriesComplete bool
}

func newCluster(t *testing.T, ids ...ident.MemberID) *cluster {
	c := &cluster{t: t, now: time.Unix(1_000_000, 0), nodes: map[ident.MemberID]*node{}, view: member.View{Epoch: 1}}
	for _, id := range ids {
		c.view.Members = append(c.view.Members, newMember(id, 1))
	}
	for _, m := range c.view.Members {
		c.startMember(m)
	}
	c.deliverView()
	return c
}

func newMember(id ident.MemberID, incarnation ident.Incarnation) member.Member {
	m := member.Member{ID: id, Incarnation: incarnation, Region: "shore", State: member.Active}
	if id[0] == 'x' {
		m.Region = "north"
	}
	return m
}

func (c *cluster) startMember(m member.Member) {
	n := &node{self: m}
	table, err := New(Config{
		Self: func() member.Member { return m },
		View: func() member.View {
			c.lock.Lock()
			defer c.lock.Unlock()
			return n.view
		},
		ClaimRegion: func(ident.TeamID) (ident.Region, bool) { return "shore", true },
		Call: func(ctx context.Context, to ident.MemberID, method string, r wire.ClaimRequest) (wire.ClaimReply, error) {
			peer, err := c.connect(m.ID, to, method)
			if err != nil {
				return wire.ClaimReply{}, err
			}
			reply, err := peer.table.handleLocally(ctx, method, r)
			if c.loseReply != nil && c.loseReply(to, method) {
				return wire.ClaimReply{}, errLinkDown
			}
			return reply, err
		},
		Transfer: func(ctx context.Context, to ident.MemberID, r wire.ClaimTransferRequest) (wire.ClaimTransferReply, error) {
			peer, err := c.connect(m.ID, to, wire.MethodClaimTransfer)
			if err != nil {
				return wire.ClaimTransferReply{}, err
			}
			return peer.table.HandleTransfer(ctx, r)
		},
		SearchInventories: func(context.Context, wire.ClaimKey) (bool, bool) { return c.runKnown, c.inventoriesComplete },
		Retention:         time.Hour, MaxClaims: 5000, Log: logr.Discard(),
		Now: func() time.Time {
			c.lock.Lock()
			defer c.lock.Unlock()
			return c.now
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	table.manualTransfer = true
	n.table = table
	c.t.Cleanup(table.Close)
	c.nodes[m.ID] = n
}

func (c *cluster) connect(from, to ident.MemberID, method string) (*node, error) {
	c.lock.Lock()
	peer := c.nodes[to]
	lost := peer == nil || peer.down || c.loseMessage != nil && c.loseMessage(from, to, method)
	c.lock.Unlock()
	if lost {
		return nil, errLinkDown
	}
	if c.beforeDelivery != nil {
		c.beforeDelivery(to, method)
	}
	return peer, nil
}

// deliverView delivers the current view to the given members, or to all of its members.
func (c *cluster) deliverView(ids ...ident.MemberID) {
	for _, m := range c.view.Members {
		if n := c.nodes[m.ID]; n != nil && (len(ids) == 0 || slices.Contains(ids, m.ID)) {
			c.lock.Lock()
			n.view = c.view
			c.lock.Unlock()
			n.table.ViewChanged()
		}
	}
}

// runTransfers runs the transfers of all members that aren't down, often enough that their results spread.
func (c *cluster) runTransfers() {
	for range 3 {
		for _, m := range c.view.Members {
			if n := c.nodes[m.ID]; n != nil && !n.down {
				n.table.transferRound(c.t.Context(), n.view)
			}
		}
	}
}

// nextView creates the next view without the removed members and with the joining ones, which start with empty tables.
// It doesn't deliver the view.
func (c *cluster) nextView(remove []ident.MemberID, join ...member.Member) {
	next := member.View{Epoch: c.view.Epoch + 1}
	for _, m := range c.view.Members {
		if !slices.Contains(remove, m.ID) {
			next.Members = append(next.Members, m)
		}
	}
	for _, m := range join {
		next.Members = append(next.Members, m)
		c.startMember(m)
	}
	c.view = next
}

// removeMembers removes members from the cluster and the view, and runs the transfers of the others.
func (c *cluster) removeMembers(ids ...ident.MemberID) {
	for _, id := range ids {
		delete(c.nodes, id)
	}
	c.nextView(ids)
	c.deliverView()
	c.runTransfers()
}

var key = wire.ClaimKey{Team: "swatch", Request: "order-17"}

// holders returns the ids of the holders of the test key.
func (c *cluster) holders() []ident.MemberID {
	var ids []ident.MemberID
	for _, m := range Holders(c.view, "shore", key) {
		ids = append(ids, m.ID)
	}
	return ids
}

func (c *cluster) acquire(id ident.MemberID) (Grant, error) {
	return c.nodes[id].table.Acquire(c.t.Context(), key)
}

func (c *cluster) mustAcquire(id ident.MemberID) Grant {
	c.t.Helper()
	g, err := c.acquire(id)
	if err != nil {
		c.t.Fatalf("acquire by %s: %v", id, err)
	}
	return g
}

// expectRefused checks that an acquire fails with the wanted error or, if holder is set, with a HeldError for its claim.
func (c *cluster) expectRefused(id ident.MemberID, want error, holder *Grant) {
	c.t.Helper()
	_, err := c.acquire(id)
	var held *HeldError
	switch {
	case holder == nil && !errors.Is(err, want):
		c.t.Errorf("acquire by %s: got %v, want %v", id, err, want)
	case holder != nil && (!errors.As(err, &held) || held.Claim.Nonce != holder.Claim.Nonce):
		c.t.Errorf("acquire by %s: got %v, want the claim of %s", id, err, holder.Claim.Claimer)
	}
}

// keptClaims returns the number of claims of the test key that all members keep.
func (c *cluster) keptClaims() int {
	n := 0
	for _, node := range c.nodes {
		s := node.table.shard(key)
		s.lock.Lock()
		n += len(s.entries[key])
		s.lock.Unlock()
	}
	return n
}

func memberIDs(n int) []ident.MemberID {
	var ids []ident.MemberID
	for i := range n {
		ids = append(ids, ident.MemberID(fmt.Sprintf("m%d", i)))
	}
	return ids
}
