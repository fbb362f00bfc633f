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

var errLink = errors.New("link is down")

// node is one member with its own view, so that a paused member keeps an old one.
type node struct {
	book *Book
	self member.Member
	view member.View
	down bool // no message reaches it
}

// cell is a set of members with claim region "shore"; members named x… are in another region.
type cell struct {
	t        *testing.T
	lock     sync.Mutex
	now      time.Time
	view     member.View
	nodes    map[ident.MemberID]*node
	losing   func(to ident.MemberID, method string) bool       // the message arrives, its reply is lost
	cut      func(from, to ident.MemberID, method string) bool // the message is lost
	before   func(to ident.MemberID, method string)            // runs before a message arrives
	known    bool
	complete bool
}

func newCell(t *testing.T, ids ...ident.MemberID) *cell {
	c := &cell{t: t, now: time.Unix(1_000_000, 0), nodes: map[ident.MemberID]*node{}, view: member.View{Epoch: 1}}
	for _, id := range ids {
		c.view.Members = append(c.view.Members, newMember(id, 1))
	}
	for _, m := range c.view.Members {
		c.start(m)
	}
	c.spread()
	return c
}

func newMember(id ident.MemberID, incarnation ident.Incarnation) member.Member {
	m := member.Member{ID: id, Incarnation: incarnation, Region: "shore", State: member.Active}
	if id[0] == 'x' {
		m.Region = "north"
	}
	return m
}

func (c *cell) start(m member.Member) {
	n := &node{self: m}
	book, err := New(Config{
		Self: func() member.Member { return m },
		View: func() member.View {
			c.lock.Lock()
			defer c.lock.Unlock()
			return n.view
		},
		Region: func(ident.TeamID) (ident.Region, bool) { return "shore", true },
		Call: func(ctx context.Context, to ident.MemberID, method string, r wire.ClaimRequest) (wire.ClaimReply, error) {
			peer, err := c.reach(m.ID, to, method)
			if err != nil {
				return wire.ClaimReply{}, err
			}
			reply, err := peer.book.local(ctx, method, r)
			if c.losing != nil && c.losing(to, method) {
				return wire.ClaimReply{}, errLink
			}
			return reply, err
		},
		Transfer: func(ctx context.Context, to ident.MemberID, r wire.ClaimTransfer) (wire.ClaimTransferReply, error) {
			peer, err := c.reach(m.ID, to, wire.MethodClaimTransfer)
			if err != nil {
				return wire.ClaimTransferReply{}, err
			}
			return peer.book.HandleTransfer(ctx, r)
		},
		Inventories: func(context.Context, wire.ClaimKey) (bool, bool) { return c.known, c.complete },
		Retention:   time.Hour, MaxClaims: 5000, Log: logr.Discard(),
		Now: func() time.Time {
			c.lock.Lock()
			defer c.lock.Unlock()
			return c.now
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	book.manual = true
	n.book = book
	c.t.Cleanup(book.Close)
	c.nodes[m.ID] = n
}

func (c *cell) reach(from, to ident.MemberID, method string) (*node, error) {
	c.lock.Lock()
	peer := c.nodes[to]
	lost := peer == nil || peer.down || c.cut != nil && c.cut(from, to, method)
	c.lock.Unlock()
	if lost {
		return nil, errLink
	}
	if c.before != nil {
		c.before(to, method)
	}
	return peer, nil
}

// spread gives the present view to all its members, or to those named.
func (c *cell) spread(ids ...ident.MemberID) {
	for _, m := range c.view.Members {
		if n := c.nodes[m.ID]; n != nil && (len(ids) == 0 || slices.Contains(ids, m.ID)) {
			c.lock.Lock()
			n.view = c.view
			c.lock.Unlock()
			n.book.ViewChanged()
		}
	}
}

// settle runs the transfers of all members that are up.
func (c *cell) settle() {
	for range 3 {
		for _, m := range c.view.Members {
			if n := c.nodes[m.ID]; n != nil && !n.down {
				n.book.round(c.t.Context(), n.view)
			}
		}
	}
}

// change makes the next view from the members that stay and those that join, which start with empty books.
func (c *cell) change(remove []ident.MemberID, join ...member.Member) {
	next := member.View{Epoch: c.view.Epoch + 1}
	for _, m := range c.view.Members {
		if !slices.Contains(remove, m.ID) {
			next.Members = append(next.Members, m)
		}
	}
	for _, m := range join {
		next.Members = append(next.Members, m)
		c.start(m)
	}
	c.view = next
}

// die takes members out of the cell and the view, and lets the rest settle.
func (c *cell) die(ids ...ident.MemberID) {
	for _, id := range ids {
		delete(c.nodes, id)
	}
	c.change(ids)
	c.spread()
	c.settle()
}

var key = wire.ClaimKey{Team: "swatch", Request: "order-17"}

// holders are the ids of the holders of the test key.
func (c *cell) holders() []ident.MemberID {
	var ids []ident.MemberID
	for _, m := range Holders(c.view, "shore", key) {
		ids = append(ids, m.ID)
	}
	return ids
}

func (c *cell) acquire(id ident.MemberID) (Grant, error) {
	return c.nodes[id].book.Acquire(c.t.Context(), key)
}

func (c *cell) granted(id ident.MemberID) Grant {
	c.t.Helper()
	g, err := c.acquire(id)
	if err != nil {
		c.t.Fatalf("acquire by %s: %v", id, err)
	}
	return g
}

// refused checks that an acquire fails with the error, or with a HeldError for the claim of a grant.
func (c *cell) refused(id ident.MemberID, want error, holder *Grant) {
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

// votes counts the holders that keep a claim of the test key.
func (c *cell) votes() int {
	n := 0
	for _, node := range c.nodes {
		s := node.book.shard(key)
		s.lock.Lock()
		n += len(s.entries[key])
		s.lock.Unlock()
	}
	return n
}

func names(n int) []ident.MemberID {
	var ids []ident.MemberID
	for i := range n {
		ids = append(ids, ident.MemberID(fmt.Sprintf("m%d", i)))
	}
	return ids
}
